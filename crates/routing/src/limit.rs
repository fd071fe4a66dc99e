//! Limit on the requests that one gateway has under way at a service.
//!
//! Answers the load pattern of a service with more work than it can do in time: every request that
//! is taken then slows all others, until none is answered within its goal. The limit follows the
//! share of answers that come late, so that those that are taken come in time and the others are
//! refused at once.

use std::time::Duration;

use siskinbend_types::Time;

/// Parameters of the limit.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Time over which answers are judged together.
    pub window: Duration,
    /// Fewest answers that are judged together.
    pub answers: u32,
    /// Share of late answers above which the limit falls.
    pub late: f64,
    /// Share of late pauses within answers above which the limit falls; one is enough to make a
    /// whole answer late.
    pub paused: f64,
    /// Mean time of answers, as a multiple of the time in which they should come, up to which the
    /// limit rises.
    pub calm: f64,
    /// Most and least that is left of the limit after a window with too many late answers.
    pub fall: (f64, f64),
    /// Growth of the limit after each window without, as a part of it.
    pub rise: f64,
    /// Requests that are always allowed.
    pub least: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: Duration::from_millis(400),
            answers: 4,
            late: 0.2,
            paused: 0.02,
            calm: 0.8,
            fall: (0.92, 0.5),
            rise: 0.06,
            least: 4.0,
        }
    }
}

/// What made a limit change, over one window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Seen {
    /// The limit after it.
    pub most: Option<u32>,
    /// Most requests that were under way.
    pub peak: u32,
    /// Share of late answers.
    pub late: f64,
    /// Share of late pauses within answers.
    pub paused: f64,
    /// Mean time of the answers, as a multiple of the time in which they should come.
    pub mean: f64,
}

/// The limit of one gateway for one service.
#[derive(Debug, Clone, Default)]
pub struct Limit {
    settings: Settings,
    running: u32,
    /// Most requests under way; none until answers came late.
    most: Option<f64>,
    begun: Time,
    /// When the limit last fell.
    fell: Time,
    answers: u32,
    late: u32,
    /// Sum of the times that they took.
    took: f64,
    /// Pauses within answers, and those that were too long.
    pauses: u32,
    paused: u32,
    /// Most requests that were under way in this window.
    peak: u32,
}

impl Limit {
    /// A limit that allows everything until answers come late.
    pub fn new(settings: Settings) -> Limit {
        Limit {
            settings,
            ..Limit::default()
        }
    }

    /// Whether another request may begin; if so it counts until [`Limit::end`]. `free` tells that
    /// the service has room, so that the limit isn't kept.
    pub fn begin(&mut self, free: bool) -> bool {
        let full = self
            .most
            .is_some_and(|most| f64::from(self.running) >= most);
        if full && !free {
            return false;
        }
        self.running += 1;
        self.peak = self.peak.max(self.running);
        true
    }

    /// Notes that a request has ended.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Notes the time that an answer, or a part of one, took, as a multiple of the time in which it
    /// should come; `sent` is when its request came.
    ///
    /// Requests from before the limit last fell say nothing about the limit as it is now.
    ///
    /// Returns what was seen if the limit changed.
    pub fn judge(&mut self, took: f64, sent: Time, now: Time) -> Option<Seen> {
        if sent < self.fell {
            return None;
        }
        self.answers += 1;
        self.late += u32::from(took > 1.0);
        self.took += took;
        let over = now.since(self.begun) >= self.settings.window;
        if !over || self.answers < self.settings.answers {
            return None;
        }
        let before = self.most();
        let mut seen = Seen {
            most: None,
            peak: self.peak,
            late: f64::from(self.late) / f64::from(self.answers),
            paused: f64::from(self.paused) / f64::from(self.pauses.max(1)),
            mean: self.took / f64::from(self.answers),
        };
        self.adapt(&seen, now);
        self.begun = now;
        (self.answers, self.late, self.peak) = (0, 0, self.running);
        self.took = 0.0;
        (self.pauses, self.paused) = (0, 0);
        seen.most = self.most();
        (seen.most != before).then_some(seen)
    }

    /// Notes whether a pause within an answer was too long.
    pub fn judge_pause(&mut self, late: bool) {
        self.pauses += 1;
        self.paused += u32::from(late);
    }

    /// Requests under way.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// The most requests that may be under way, if there is a limit.
    pub fn most(&self) -> Option<u32> {
        self.most.map(|most| most as u32)
    }

    fn adapt(&mut self, seen: &Seen, now: Time) {
        let settings = self.settings;
        let (peak, mean) = (f64::from(seen.peak), seen.mean);
        if seen.late > settings.late || seen.paused > settings.paused {
            let most = self.most.unwrap_or(peak).min(peak);
            let (highest, lowest) = settings.fall;
            let wanted = (1.0 / mean.max(f64::MIN_POSITIVE)).clamp(lowest, highest);
            self.most = Some((most * wanted).max(settings.least));
            self.fell = now;
        } else if let Some(most) = &mut self.most {
            // A limit that isn't used says nothing about whether it is too low.
            if peak >= *most * 0.8 && mean <= settings.calm {
                *most += (*most * settings.rise).max(1.0);
            }
        }
    }
}
