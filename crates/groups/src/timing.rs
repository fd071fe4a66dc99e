//! Repetition of unanswered messages, and the margin of a switch from measured times.

use std::time::Duration;

use siskinbend_types::Time;

use crate::message::Step;
use crate::options::Options;

/// Largest factor on the margin after steps that turned out too near.
const BOOST_MAX: u32 = 16;

/// Step time assumed before any was measured; short, so that the margin has steps to spare.
const STEP_GUESS: Duration = Duration::from_millis(1);

/// Round trip assumed before any was measured.
const TRIP_GUESS: Duration = Duration::from_millis(50);

/// Intervals that double up to a limit.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    interval: Duration,
    limit: Duration,
    due: Time,
}

impl Backoff {
    /// Starts with one interval from now.
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

    /// Returns true once an interval has ended, and starts the next one.
    pub fn expire(&mut self, now: Time) -> bool {
        if now < self.due {
            return false;
        }
        self.interval = (self.interval * 2).min(self.limit);
        self.due = now + self.interval;
        true
    }
}

/// Measured step time and round trip, from which the step of a switch is chosen.
#[derive(Debug, Clone, Default)]
pub struct TimingEstimate {
    trip: Option<Duration>,
    deviation: Duration,
    fastest: Option<Duration>,
    newest: Option<(Step, Time)>,
    boost: u32,
}

impl TimingEstimate {
    /// Notes that all ranks answered after `trip`; smoothed as in RFC 6298.
    pub fn record_round_trip(&mut self, trip: Duration) {
        let Some(mean) = self.trip else {
            self.trip = Some(trip);
            self.deviation = trip / 2;
            return;
        };
        self.deviation = (self.deviation * 3 + mean.abs_diff(trip)) / 4;
        self.trip = Some((mean * 7 + trip) / 8);
    }

    /// Notes the step that the coordinator's own rank has started. The fast steps set the
    /// estimate, because a step that comes early is the danger.
    pub fn record_step(&mut self, step: Step, now: Time) {
        let Some((newest, since)) = self.newest else {
            self.newest = Some((step, now));
            return;
        };
        if step <= newest {
            return;
        }
        let steps = u32::try_from(step.0 - newest.0).unwrap_or(u32::MAX);
        let sample = now.since(since) / steps;
        // Reports that arrive together say nothing about the step time.
        if !sample.is_zero() {
            let slower = self.fastest.map(|f| f + sample.saturating_sub(f) / 16);
            self.fastest = Some(slower.map_or(sample, |s| s.min(sample)));
        }
        self.newest = Some((step, now));
    }

    /// Notes that a proposed step had already started at a rank.
    pub fn record_passed_step(&mut self) {
        self.boost = (self.boost.max(1) * 2).min(BOOST_MAX);
    }

    /// Notes that a switch was committed.
    pub fn record_commit(&mut self) {
        self.boost = self.boost.saturating_sub(1);
    }

    /// Longest time that an answer of all ranks is expected to take.
    pub fn max_round_trip(&self) -> Duration {
        let mean = self.trip.unwrap_or(TRIP_GUESS);
        mean + self.deviation * 4
    }

    /// Time between a proposal and its step.
    pub fn margin(&self, options: &Options) -> Duration {
        let wanted = (self.max_round_trip() * 4).max(options.min_margin) * self.boost.max(1);
        wanted.min(options.max_margin)
    }

    /// The step that is expected to start no earlier than `margin` from now.
    ///
    /// The extrapolation from the newest report is bounded: an idle engine starts no steps, and
    /// a step far ahead would delay the switch long after the engine is busy again.
    pub fn step_after(&self, margin: Duration, now: Time) -> Step {
        let fastest = self.fastest.unwrap_or(STEP_GUESS);
        let (newest, since) = self.newest.unwrap_or((Step(0), now));
        let ahead = margin + now.since(since).min(margin);
        let steps = ahead.as_nanos().div_ceil(fastest.as_nanos().max(1));
        Step(newest.0 + u64::try_from(steps).unwrap_or(u64::MAX / 2) + 1)
    }
}
