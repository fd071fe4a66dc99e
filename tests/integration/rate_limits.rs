//! Rate limits of organisations. Guards against an organisation that exceeds its rate.

use std::time::Duration;

use siskinbend_routing::RateLimiter;
use siskinbend_types::Organisation;
use siskinbend_types::Rate;
use siskinbend_types::Time;

fn count_admitted(
    limiter: &mut RateLimiter,
    organisation: &str,
    rate: f64,
    entries: u16,
    duration: Duration,
) -> u32 {
    let organisation: Organisation = organisation.parse().expect("a valid name");
    let rate = Rate::try_from(rate).expect("a valid rate");
    let mut admitted = 0;
    let mut now = Time::default();
    while now.since(Time::default()) < duration {
        admitted += u32::from(limiter.admit(&organisation, rate, entries, now));
        now = now + Duration::from_millis(1);
    }
    admitted
}

#[test]
fn rate_is_enforced() {
    // 10 s at 100 requests a second, plus the burst of one second.
    let admitted = count_admitted(
        &mut RateLimiter::default(),
        "a",
        100.0,
        1,
        Duration::from_secs(10),
    );
    assert!((1_090..=1_100).contains(&admitted), "{admitted}");
}

#[test]
fn entries_share_rate() {
    // If each of four entries admitted the full rate, the organisation could send four times its
    // rate.
    let admitted = count_admitted(
        &mut RateLimiter::default(),
        "a",
        100.0,
        4,
        Duration::from_secs(10),
    );
    assert!((270..=275).contains(&admitted), "{admitted}");
}

#[test]
fn organisations_are_limited_separately() {
    let mut limiter = RateLimiter::default();
    count_admitted(&mut limiter, "large", 10.0, 1, Duration::from_secs(5));
    let small = count_admitted(&mut limiter, "small", 10.0, 1, Duration::from_secs(5));
    assert!(small >= 59, "{small}");
}
