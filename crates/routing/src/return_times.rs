//! Calendar of the times at which callers of refused requests are told to come back.
//!
//! Without it, refused callers come back when there is no capacity, or all at one moment. A caller
//! may come back through another gateway. Each gateway therefore books callers only against the rate
//! at which it admitted requests itself, so that all bookings together fit the service.

use std::collections::VecDeque;
use std::time::Duration;

use siskinbend_types::Time;

/// Parameters of the calendar.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Length of a slot.
    pub slot: Duration,
    /// Number of slots that can be booked.
    pub slots: usize,
    /// Shortest time ahead; a caller that comes back sooner finds the load that it was refused for.
    pub min_delay: Duration,
    /// Share of the admitted rate that is booked; the rest is left for new requests.
    pub return_share: f64,
    /// Number of past slots over which the admitted rate is measured.
    pub rate_slots: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slot: Duration::from_millis(100),
            slots: 64,
            min_delay: Duration::from_millis(150),
            return_share: 0.5,
            rate_slots: 20,
        }
    }
}

/// Bookings of one gateway for one service.
#[derive(Debug)]
pub struct ReturnCalendar {
    settings: Settings,
    /// Number of the slot that contains the latest time seen.
    current: u64,
    /// Requests admitted in each past slot, the oldest first, and in the current one.
    admitted: VecDeque<u32>,
    /// Bookings from the current slot on.
    booked: VecDeque<u32>,
}

impl Default for ReturnCalendar {
    fn default() -> Self {
        Self::new(Settings::default())
    }
}

impl ReturnCalendar {
    /// Creates an empty calendar.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            current: 0,
            admitted: VecDeque::with_capacity(settings.rate_slots + 1),
            booked: VecDeque::with_capacity(settings.slots),
        }
    }

    /// Records that a request was admitted to the service.
    pub fn record_admission(&mut self, now: Time) {
        self.advance(now);
        if let Some(admitted) = self.admitted.back_mut() {
            *admitted += 1;
        }
    }

    /// Books the earliest slot with capacity that begins after [`Settings::min_delay`] and ends
    /// before `latest`. Returns the time until a moment in it; `position` from 0 to 1 spreads the
    /// callers of one slot.
    ///
    /// Returns `None` if nothing was admitted lately or no such slot has capacity.
    pub fn book(&mut self, latest: Time, position: f64, now: Time) -> Option<Duration> {
        self.advance(now);
        let capacity = self.admitted_per_slot() * self.settings.return_share;
        let earliest = now + self.settings.min_delay;
        let first = self.slot_of(earliest) + 1;
        let last = self.slot_of(latest).checked_sub(1)?;
        let end = self.current + self.settings.slots as u64;
        let has_capacity = |slot: &u64| {
            let at = (slot - self.current) as usize;
            self.booked
                .get(at)
                .is_some_and(|booked| *booked < slot_capacity(*slot, capacity))
        };
        let slot = (first..=last.min(end - 1)).find(has_capacity)?;
        let at = (slot - self.current) as usize;
        self.booked[at] += 1;
        let start = Time(slot * self.slot_micros());
        let within = self.settings.slot.mul_f64(position.clamp(0.0, 1.0));
        Some((start + within).since(now))
    }

    /// Number of callers that are expected to come back.
    pub fn booked(&mut self, now: Time) -> u32 {
        self.advance(now);
        self.booked.iter().sum()
    }

    /// Requests admitted per slot lately.
    fn admitted_per_slot(&self) -> f64 {
        let admitted: u32 = self.admitted.iter().take(self.settings.rate_slots).sum();
        f64::from(admitted) / self.settings.rate_slots as f64
    }

    /// Moves both rows to the current slot. Past bookings expire by this.
    fn advance(&mut self, now: Time) {
        let slot = self.slot_of(now).max(self.current);
        let passed = (slot - self.current) as usize;
        self.current = slot;
        for _ in 0..passed.min(self.booked.len()) {
            self.booked.pop_front();
        }
        self.booked.resize(self.settings.slots, 0);
        for _ in 0..passed.min(self.settings.rate_slots + 1) {
            self.admitted.push_back(0);
        }
        while self.admitted.len() < self.settings.rate_slots + 1 {
            self.admitted.push_front(0);
        }
        while self.admitted.len() > self.settings.rate_slots + 1 {
            self.admitted.pop_front();
        }
    }

    fn slot_of(&self, time: Time) -> u64 {
        time.0 / self.slot_micros()
    }

    fn slot_micros(&self) -> u64 {
        (self.settings.slot.as_micros() as u64).max(1)
    }
}

/// Returns how many callers fit into a slot. A capacity below 1, or its fraction, is distributed
/// over the slots, so that ten slots hold as many as ten times the capacity.
fn slot_capacity(slot: u64, capacity: f64) -> u32 {
    // Whole multiples keep the precision at large slot numbers.
    let position = (slot % 1_000) as f64;
    (((position + 1.0) * capacity).floor() - (position * capacity).floor()) as u32
}
