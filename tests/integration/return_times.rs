//! The calendar of the times at which refused callers come back.

use std::collections::BTreeMap;
use std::time::Duration;

use siskinbend_routing::ReturnCalendar;
use siskinbend_routing::return_times::Settings;
use siskinbend_types::Time;

const SLOT_MS: u64 = 100;
const MIN_DELAY: Duration = Duration::from_millis(150);
/// Longest delay of a caller with 8 s left.
const MAX_DELAY: Duration = Duration::from_millis(2_400);
/// Requests that the gateway admits per second.
const RATE: u64 = 50;

/// Returns a calendar of a gateway that admitted `rate` requests a second for 5 s.
fn calendar(rate: u64) -> ReturnCalendar {
    let mut calendar = ReturnCalendar::default();
    for n in 0..5 * rate {
        calendar.record_admission(Time::from_millis(n * 1_000 / rate));
    }
    calendar
}

/// Books callers at a time, in milliseconds, and counts them by the slot in which they come back.
fn book(calendar: &mut ReturnCalendar, callers: u32, ms: u64) -> BTreeMap<u64, u32> {
    let now = Time::from_millis(ms);
    let mut slots = BTreeMap::new();
    for caller in 0..callers {
        let position = f64::from(caller % 10) / 10.0;
        if let Some(delay) = calendar.book(now + MAX_DELAY, position, now) {
            assert!(delay >= MIN_DELAY && delay <= MAX_DELAY, "{delay:?}");
            let at = ms + delay.as_millis() as u64;
            *slots.entry(at / SLOT_MS).or_insert(0) += 1;
        }
    }
    slots
}

/// Guards against a moment at which more callers come back than the service has capacity for, and
/// against capacity that is left unused while callers are refused.
#[test]
fn slots_hold_their_capacity() {
    for rate in [3, RATE, 400] {
        let slots = book(&mut calendar(rate), 400, 5_000);
        let share = Settings::default().return_share;
        let capacity = rate as f64 * share * SLOT_MS as f64 / 1_000.0;
        let fullest = slots.values().copied().max().unwrap_or(0);
        assert!(
            f64::from(fullest) <= capacity.ceil(),
            "{fullest} at {rate}/s"
        );
        let total: u32 = slots.values().sum();
        // The slots between the shortest and the longest delay, rounded to whole slots.
        let expected = (capacity * 22.0).min(400.0);
        assert!(f64::from(total) <= expected + 1.0, "{total} at {rate}/s");
        assert!(
            f64::from(total) >= expected.floor() - 2.0,
            "{total} at {rate}/s"
        );
    }
}

/// Guards against a caller that is refused again and overtakes one that is refused for the first
/// time.
#[test]
fn second_refusal_gains_nothing() {
    let mut calendar = calendar(RATE);
    let now = Time::from_millis(5_000);
    let first = calendar.book(now + MAX_DELAY, 0.0, now);
    for _ in 0..40 {
        calendar.book(now + MAX_DELAY, 0.0, now);
    }
    let again = calendar.book(now + MAX_DELAY, 0.0, now);
    assert!(
        first.is_some() && again >= first,
        "{again:?} before {first:?}"
    );
}

/// Guards against times that are made up where the rate is not known: after a restart, 400 callers
/// at once find a gateway that has admitted nothing, and so does an idle one.
#[test]
fn unknown_rate_books_nothing() {
    assert!(book(&mut ReturnCalendar::default(), 400, 90_000_000).is_empty());
    assert!(book(&mut calendar(RATE), 400, 8_000).is_empty());
}

/// Guards against bookings that outlive their time when a gateway was frozen.
#[test]
fn past_bookings_expire() {
    let mut calendar = calendar(RATE);
    book(&mut calendar, 400, 5_000);
    assert!(calendar.booked(Time::from_millis(5_000)) > 0);
    assert_eq!(calendar.booked(Time::from_millis(12_000)), 0);
}

/// Guards against a time at which the request could no longer start.
#[test]
fn short_deadline_is_kept() {
    let mut calendar = calendar(RATE);
    let now = Time::from_millis(5_020);
    let short = Duration::from_millis(240);
    assert_eq!(calendar.book(now + short, 1.0, now), None);
    let delay = calendar.book(now + Duration::from_millis(400), 1.0, now);
    assert!(
        delay.is_some_and(|d| d <= Duration::from_millis(400)),
        "{delay:?}"
    );
}
