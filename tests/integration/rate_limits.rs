//! Rate limits of organisations; guards against one organisation taking more than its rate.

use std::time::Duration;

use siskinbend_routing::RateLimiter;
use siskinbend_types::Organisation;
use siskinbend_types::Rate;
use siskinbend_types::Time;

fn count_admitted(
    quota: &mut RateLimiter,
    who: &str,
    rate: f64,
    entries: u16,
    span: Duration,
) -> u32 {
    let who: Organisation = who.parse().expect("a valid name");
    let rate = Rate::try_from(rate).expect("a valid rate");
    let mut admitted = 0;
    let mut now = Time::default();
    while now.since(Time::default()) < span {
        admitted += u32::from(quota.admit(&who, rate, entries, now));
        now = now + Duration::from_millis(1);
    }
    admitted
}

#[test]
fn rate_is_kept() {
    // 10 s at 100 a second, and the burst of one second.
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
    // Four entries that each admitted the whole rate would let the organisation send four times it.
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
fn organisations_are_apart() {
    let mut quota = RateLimiter::default();
    count_admitted(&mut quota, "large", 10.0, 1, Duration::from_secs(5));
    let small = count_admitted(&mut quota, "small", 10.0, 1, Duration::from_secs(5));
    assert!(small >= 59, "{small}");
}
