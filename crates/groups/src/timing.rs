//! Backoff for unanswered messages, and the margin of a switch derived from measured times.

use std::time::Duration;

use siskinbend_types::Time;

use crate::message::Step;
use crate::options::Options;

/// Maximum factor on the margin after proposals whose step had already started.
const MAX_MARGIN_FACTOR: u32 = 16;

/// Step time assumed until one is measured. It is short, so that the proposed step is far enough
/// ahead.
const DEFAULT_STEP_TIME: Duration = Duration::from_millis(1);

/// Round-trip time assumed until one is measured.
const DEFAULT_ROUND_TRIP: Duration = Duration::from_millis(50);

/// Exponential backoff: the interval doubles up to a limit.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    interval: Duration,
    limit: Duration,
    due: Time,
}

impl Backoff {
    /// Starts the first interval now.
    pub fn start(interval: Duration, limit: Duration, now: Time) -> Self {
        Self {
            interval,
            limit,
            due: now + interval,
        }
    }

    /// When the interval ends.
    pub fn due(&self) -> Time {
        self.due
    }

    /// If the interval has ended, starts the next one and returns true.
    pub fn expire(&mut self, now: Time) -> bool {
        if now < self.due {
            return false;
        }
        self.interval = (self.interval * 2).min(self.limit);
        self.due = now + self.interval;
        true
    }
}

/// Measured step time and round-trip time, from which the step of a switch is chosen.
#[derive(Debug, Clone, Default)]
pub struct TimingEstimate {
    round_trip: Option<Duration>,
    deviation: Duration,
    step_time: Option<Duration>,
    last_step: Option<(Step, Time)>,
    margin_factor: u32,
}

impl TimingEstimate {
    /// Records that all ranks answered after `round_trip`. The time is smoothed as in RFC 6298.
    pub fn record_round_trip(&mut self, round_trip: Duration) {
        let Some(mean) = self.round_trip else {
            self.round_trip = Some(round_trip);
            self.deviation = round_trip / 2;
            return;
        };
        self.deviation = (self.deviation * 3 + mean.abs_diff(round_trip)) / 4;
        self.round_trip = Some((mean * 7 + round_trip) / 8);
    }

    /// Records the step that the coordinator's own rank has started. The estimate follows the fast
    /// steps, because a switch fails if its step starts early.
    pub fn record_step(&mut self, step: Step, now: Time) {
        let Some((last_step, since)) = self.last_step else {
            self.last_step = Some((step, now));
            return;
        };
        if step <= last_step {
            return;
        }
        let steps = u32::try_from(step.0 - last_step.0).unwrap_or(u32::MAX);
        let sample = now.since(since) / steps;
        // Reports that arrive at the same time carry no information on the step time.
        if !sample.is_zero() {
            let slower = self.step_time.map(|f| f + sample.saturating_sub(f) / 16);
            self.step_time = Some(slower.map_or(sample, |s| s.min(sample)));
        }
        self.last_step = Some((step, now));
    }

    /// Records that a rank had already started a proposed step.
    pub fn record_passed_step(&mut self) {
        self.margin_factor = (self.margin_factor.max(1) * 2).min(MAX_MARGIN_FACTOR);
    }

    /// Records that a switch was committed.
    pub fn record_commit(&mut self) {
        self.margin_factor = self.margin_factor.saturating_sub(1);
    }

    /// Upper estimate of the time until all ranks have answered.
    pub fn max_round_trip(&self) -> Duration {
        let mean = self.round_trip.unwrap_or(DEFAULT_ROUND_TRIP);
        mean + self.deviation * 4
    }

    /// Time between a proposal and its step.
    pub fn margin(&self, options: &Options) -> Duration {
        let wanted =
            (self.max_round_trip() * 4).max(options.min_margin) * self.margin_factor.max(1);
        wanted.min(options.max_margin)
    }

    /// The first step that is expected to start no earlier than `margin` from now.
    ///
    /// The extrapolation from the newest report is limited: an idle engine starts no steps, and a
    /// step too far ahead would delay the switch until long after the engine is busy again.
    pub fn step_after(&self, margin: Duration, now: Time) -> Step {
        let step_time = self.step_time.unwrap_or(DEFAULT_STEP_TIME);
        let (last_step, since) = self.last_step.unwrap_or((Step(0), now));
        let ahead = margin + now.since(since).min(margin);
        let steps = ahead.as_nanos().div_ceil(step_time.as_nanos().max(1));
        Step(last_step.0 + u64::try_from(steps).unwrap_or(u64::MAX / 2) + 1)
    }
}
