//! Concurrency limit of one gateway for one service.
//!
//! Under overload, every admitted request slows down all others until none meets its latency goal.
//! The limit follows the share of late answers: admitted requests are answered in time and the
//! others are refused at once.

use std::time::Duration;

use siskinbend_types::Time;

use crate::Standstill;
use crate::standstill::StandstillTracker;

/// Utilisation of a group's slots from which its concurrency limit is enforced. While slots are
/// free, late responses have other causes than overload.
const BUSY_UTILISATION: f64 = 0.6;
/// Utilisation up to which the room of a group is not enforced. The room is known only roughly while
/// there are few requests.
const MIN_ROOM: f64 = 0.66;
/// Time before the first report of a standstill in which it may already have begun: groups are asked
/// for their state every 300 ms, and the answer takes up to 100 ms.
const REPORT_DELAY: Duration = Duration::from_millis(400);
/// Time for which the requests that a standstill held up are admitted beyond the limit, so that they
/// take no place of requests that arrive after it.
const ALLOWANCE_TIME: Duration = Duration::from_secs(3);

/// Parameters of the limit.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Shortest time over which answers are evaluated together.
    pub window: Duration,
    /// Fewest answers that are evaluated together.
    pub min_answers: u32,
    /// Share of late answers above which the limit is lowered.
    pub max_late_share: f64,
    /// Share of late pauses within answers above which the limit is lowered. One late pause is
    /// enough to make a whole answer late.
    pub max_late_pause_share: f64,
    /// The limit is raised only while the mean answer time, as a multiple of its goal, is at most
    /// this.
    pub raise_below: f64,
    /// Largest and smallest factor by which the limit is lowered after a window with too many late
    /// answers.
    pub decrease: (f64, f64),
    /// Share of the limit by which it is raised after any other window.
    pub increase: f64,
    /// Lower bound of the limit, in requests.
    pub min_limit: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: Duration::from_millis(400),
            min_answers: 4,
            max_late_share: 0.2,
            max_late_pause_share: 0.02,
            raise_below: 0.8,
            decrease: (0.92, 0.5),
            increase: 0.06,
            min_limit: 4.0,
        }
    }
}

/// A change of the limit and the measurements of the window that caused it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The new limit.
    pub limit: Option<u32>,
    /// Highest number of requests in flight.
    pub peak: u32,
    /// Share of late answers.
    pub late_share: f64,
    /// Share of late pauses within answers.
    pub late_pause_share: f64,
    /// Mean answer time as a multiple of its goal.
    pub mean_ratio: f64,
}

/// Room of the group of a limit.
#[derive(Debug, Clone, Copy)]
struct Room {
    /// Requests per slot, of all gateways.
    per_slot: f64,
    /// Number of requests of this gateway that fit into it.
    own_share: f64,
}

/// The limit of one gateway for one service or one lock-step group.
#[derive(Debug, Clone, Default)]
pub struct ConcurrencyLimit {
    settings: Settings,
    in_flight: u32,
    /// `None` until answers are late for the first time.
    limit: Option<f64>,
    window_start: Time,
    last_decrease: Time,
    /// The limit before the last decrease.
    limit_before: Option<f64>,
    room: Option<Room>,
    standstills: StandstillTracker,
    /// Number of requests in flight at the latest data of the group.
    running_at_data: u32,
    /// Number of requests beyond the limit that a standstill held up, and until when they are
    /// allowed.
    allowance: (u32, Time),
    answers: u32,
    late_answers: u32,
    /// Sum of the answer times, each as a multiple of its goal.
    ratio_sum: f64,
    pauses: u32,
    late_pauses: u32,
    /// Highest number of requests in flight in this window.
    peak: u32,
}

impl ConcurrencyLimit {
    /// Creates a limit that admits everything until answers are late.
    pub fn new(settings: Settings) -> ConcurrencyLimit {
        ConcurrencyLimit {
            settings,
            ..ConcurrencyLimit::default()
        }
    }

    /// Admits a request if the limit allows it; it counts until [`ConcurrencyLimit::release`].
    ///
    /// With `has_capacity` the service has free slots and the limit is not enforced.
    pub fn try_acquire(&mut self, has_capacity: bool) -> bool {
        let admits = !self.is_reached() || has_capacity;
        if admits {
            self.acquire();
        }
        admits
    }

    /// Whether as many requests are in flight as the limit allows.
    pub fn is_reached(&self) -> bool {
        self.limit
            .is_some_and(|limit| f64::from(self.in_flight) >= limit + f64::from(self.allowance.0))
    }

    /// Whether [`ConcurrencyLimit::is_full`] can be true at any load, so that the load has to be
    /// estimated.
    pub fn can_be_full(&self) -> bool {
        self.is_reached() || self.room.is_some()
    }

    /// Whether the group takes no new requests at a load, in requests per slot.
    pub fn is_full(&self, load: f64) -> bool {
        self.is_reached() && load >= BUSY_UTILISATION || self.count_in_room(load) == Some(0)
    }

    /// Number of requests that may be admitted at a load, in requests per slot; `None` if it is not
    /// limited.
    pub fn count_free(&self, load: f64) -> Option<u32> {
        if load < BUSY_UTILISATION {
            return None;
        }
        let in_limit = self.limit.map(|limit| {
            let limit = limit + f64::from(self.allowance.0);
            (limit.ceil() as u32).saturating_sub(self.in_flight)
        });
        in_limit.into_iter().chain(self.count_in_room(load)).min()
    }

    /// Sets the room of the group, measured at a load, both in requests per slot.
    pub fn set_room(&mut self, per_slot: f64, load: f64) {
        let share = f64::from(self.in_flight) * per_slot / load.max(f64::MIN_POSITIVE);
        self.room = Some(Room {
            per_slot,
            own_share: share.max(self.settings.min_limit),
        });
    }

    /// Forgets the room of the group.
    pub fn clear_room(&mut self) {
        self.room = None;
    }

    /// Number of requests for which the group has room at a load, as this gateway's share of it; at
    /// least one while there is any. `None` if the room is not known. A gateway without requests
    /// there can't tell.
    fn count_in_room(&self, load: f64) -> Option<u32> {
        let room = self.room.filter(|_| self.in_flight > 0)?;
        let per_slot = room.per_slot.max(MIN_ROOM);
        if load >= per_slot {
            return Some(0);
        }
        let free = f64::from(self.in_flight) * (per_slot / load.max(f64::MIN_POSITIVE) - 1.0);
        Some(free.max(1.0) as u32)
    }

    /// Records whether the group is open. Returns the standstill that ended.
    pub fn record_state(&mut self, is_open: bool, now: Time) -> Option<Standstill> {
        let ended = self.standstills.record_state(is_open, now);
        ended.inspect(|standstill| self.restore(standstill, now))
    }

    /// Records data of a stream that had waited for it since `waiting_since`, before the data is
    /// evaluated. Returns the standstill that ended.
    pub fn record_data(&mut self, waiting_since: Time, now: Time) -> Option<Standstill> {
        if now >= self.allowance.1 {
            self.allowance = (0, now);
        }
        let ended = self.standstills.record_data(waiting_since, now);
        if let Some(standstill) = &ended {
            self.restore(standstill, now);
        }
        if !self.standstills.is_closed() {
            self.running_at_data = self.in_flight;
        }
        ended
    }

    /// Restores the limit from before a standstill.
    fn restore(&mut self, standstill: &Standstill, now: Time) {
        if self.limit.is_some() && self.last_decrease + REPORT_DELAY > standstill.since {
            self.limit = self.limit_before;
        }
        let held = self.in_flight.saturating_sub(self.running_at_data);
        if held > 0 {
            self.allowance = (held, now + ALLOWANCE_TIME);
        }
    }

    /// Counts a request regardless of the limit until [`ConcurrencyLimit::release`].
    pub fn acquire(&mut self) {
        self.in_flight += 1;
        self.peak = self.peak.max(self.in_flight);
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records the time of an answer, or of a part of one, as a multiple of its goal. `received` is
    /// the arrival of its request.
    ///
    /// Requests that arrived before the last decrease are ignored, because they ran under the
    /// earlier limit, and so are requests that a standstill of the group held up.
    ///
    /// Returns the measurements of the window if the limit changed.
    pub fn record_answer(&mut self, ratio: f64, received: Time, now: Time) -> Option<LimitChange> {
        if received < self.last_decrease || self.standstills.is_affected(received) {
            return None;
        }
        self.answers += 1;
        self.late_answers += u32::from(ratio > 1.0);
        self.ratio_sum += ratio;
        let is_over = now.since(self.window_start) >= self.settings.window;
        if !is_over || self.answers < self.settings.min_answers {
            return None;
        }
        let before = self.limit();
        let mut change = LimitChange {
            limit: None,
            peak: self.peak,
            late_share: f64::from(self.late_answers) / f64::from(self.answers),
            late_pause_share: f64::from(self.late_pauses) / f64::from(self.pauses.max(1)),
            mean_ratio: self.ratio_sum / f64::from(self.answers),
        };
        self.adapt(&change, now);
        self.window_start = now;
        (self.answers, self.late_answers, self.peak) = (0, 0, self.in_flight);
        self.ratio_sum = 0.0;
        (self.pauses, self.late_pauses) = (0, 0);
        change.limit = self.limit();
        (change.limit != before).then_some(change)
    }

    /// Records a pause within an answer that began at `since`. Returns whether it counts; one in a
    /// standstill does not.
    pub fn record_pause(&mut self, is_late: bool, since: Time) -> bool {
        if self.standstills.is_affected(since) {
            return false;
        }
        self.pauses += 1;
        self.late_pauses += u32::from(is_late);
        true
    }

    /// Number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The current limit, if there is one.
    pub fn limit(&self) -> Option<u32> {
        let share = self.room.map(|room| room.own_share);
        let limit = match (self.limit, share) {
            (Some(limit), Some(share)) => Some(limit.min(share)),
            (limit, share) => limit.or(share),
        };
        limit.map(|limit| limit as u32)
    }

    fn adapt(&mut self, window: &LimitChange, now: Time) {
        let settings = self.settings;
        let (peak, mean) = (f64::from(window.peak), window.mean_ratio);
        if window.late_share > settings.max_late_share
            || window.late_pause_share > settings.max_late_pause_share
        {
            self.limit_before = self.limit;
            let limit = self.limit.unwrap_or(peak).min(peak);
            let (largest, smallest) = settings.decrease;
            let factor = (1.0 / mean.max(f64::MIN_POSITIVE)).clamp(smallest, largest);
            self.limit = Some((limit * factor).max(settings.min_limit));
            self.last_decrease = now;
        } else if let Some(limit) = &mut self.limit {
            // Only a limit that is nearly reached can be too low.
            if peak >= *limit * 0.8 && mean <= settings.raise_below {
                *limit += (*limit * settings.increase).max(1.0);
            }
        }
    }
}
