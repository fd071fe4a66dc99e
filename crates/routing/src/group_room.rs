//! Room of a lock-step group: how many requests per slot can run at a time so that the pauses within
//! their answers stay within their goals.
//!
//! All ranks of a group run each pass together, so a pass that is too long makes all running answers
//! late at once, and passes grow with the number of requests. Meant for a burst that fills a group
//! within a second or two: the room is known before pauses exceed their goal. All gateways see the
//! same passes and the same load reports, so they arrive at the same room without an exchange.

use std::time::Duration;

use siskinbend_types::Time;

/// Parameters of the measurement.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Shortest time over which pauses are evaluated together.
    pub window: Duration,
    /// Fewest pauses that are evaluated together.
    pub min_pauses: u32,
    /// Standard deviations between the mean pause and one that counts as the longest. An answer has
    /// tens of pauses and is late if a single one is.
    pub deviations: f64,
    /// Value to which longer pauses, as multiples of their goal, are reduced: they have other causes
    /// than the number of requests, such as a switch of the expert map.
    pub max_ratio: f64,
    /// Weight of a new window that is smaller than the smoothed room. It is high, because room that
    /// was short for a moment, while other experts were in demand than the map was made for, will be
    /// short again.
    pub fall_weight: f64,
    /// Weight of a new window that is larger.
    pub rise_weight: f64,
    /// Age at which a measurement no longer counts.
    pub max_age: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: Duration::from_millis(400),
            min_pauses: 20,
            deviations: 2.0,
            max_ratio: 1.6,
            fall_weight: 0.7,
            rise_weight: 0.08,
            max_age: Duration::from_secs(3),
        }
    }
}

/// Measurements of one window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoomChange {
    /// Smoothed room in requests per slot.
    pub room: f64,
    /// Mean load in requests per slot.
    pub load: f64,
    /// Mean pause as a multiple of its goal.
    pub mean: f64,
    /// Standard deviation of the pauses.
    pub deviation: f64,
}

/// Pauses of one window.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    start: Time,
    pauses: u32,
    /// Sums of the pauses, each as a multiple of its goal, and of their squares.
    sum: f64,
    square_sum: f64,
    /// Sum of the loads at these pauses, in requests per slot.
    load_sum: f64,
}

/// Room of one group.
#[derive(Debug, Clone, Default)]
pub struct GroupRoom {
    settings: Settings,
    window: Window,
    /// Smoothed room in requests per slot, with the time of its latest measurement.
    room: Option<(f64, Time)>,
}

impl GroupRoom {
    /// Creates a group whose room is not known.
    pub fn new(settings: Settings) -> GroupRoom {
        GroupRoom {
            settings,
            ..GroupRoom::default()
        }
    }

    /// Records a pause within an answer as a multiple of its goal, and the load of the group, in
    /// requests per slot. Returns the measurements if a window has ended.
    pub fn record_pause(&mut self, ratio: f64, load: f64, now: Time) -> Option<RoomChange> {
        if now.since(self.window.start) > self.settings.max_age {
            self.restart(now);
        }
        let ratio = ratio.min(self.settings.max_ratio);
        let window = &mut self.window;
        window.pauses += 1;
        window.sum += ratio;
        window.square_sum += ratio * ratio;
        window.load_sum += load;
        let is_over = now.since(window.start) >= self.settings.window;
        (is_over && window.pauses >= self.settings.min_pauses).then(|| self.evaluate(now))
    }

    /// Discards the pauses of the current window, for example because the group stood still.
    pub fn restart(&mut self, now: Time) {
        self.window = Window {
            start: now,
            ..Window::default()
        };
    }

    /// Returns the room in requests per slot, if there is a recent measurement.
    pub fn room(&self, now: Time) -> Option<f64> {
        let (room, at) = self.room?;
        (now.since(at) <= self.settings.max_age).then_some(room)
    }

    fn evaluate(&mut self, now: Time) -> RoomChange {
        let count = f64::from(self.window.pauses);
        let mean = self.window.sum / count;
        let variance = (self.window.square_sum / count - mean * mean).max(0.0);
        let deviation = variance.sqrt();
        let longest = mean + self.settings.deviations * deviation;
        let load = self.window.load_sum / count;
        // A pass takes some time even without requests, so that pauses grow less than in proportion
        // to the load. While pauses are short this underestimates the room; it becomes exact as they
        // approach their goal.
        let measured = load / longest.max(f64::MIN_POSITIVE);
        let room = match self.room(now) {
            Some(room) if measured < room => room + (measured - room) * self.settings.fall_weight,
            Some(room) => room + (measured - room) * self.settings.rise_weight,
            None => measured,
        };
        self.room = Some((room, now));
        self.restart(now);
        RoomChange {
            room,
            load,
            mean,
            deviation,
        }
    }
}
