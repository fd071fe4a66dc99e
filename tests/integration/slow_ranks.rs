//! Slow replicas of a group that runs in lock-step.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use siskinbend_request::Attempts;
use siskinbend_request::RetryBudget;
use siskinbend_routing::Kind;
use siskinbend_routing::Picker;
use siskinbend_routing::Wish;
use siskinbend_routing::pace::find_limit;
use siskinbend_types::Time;

use crate::choice::agent;
use crate::choice::picker;
use crate::choice::seen;

/// A group of 12 ranks of which the first `slow` take `pace` times the usual time.
fn group(slow: usize, pace: f64, running: u32) -> Picker {
    let mut picker = picker(Kind::Siskinbend);
    for n in 0..12 {
        picker.observe(&agent(n), seen(running), Time(1));
        picker.set_pace(&agent(n), if n < slow { pace } else { 1.0 });
    }
    picker
}

/// Replicas among the first `slow` that get one of 200 requests.
fn count_slow(picker: &mut Picker, slow: usize) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let slow: Vec<_> = (0..slow).map(agent).collect();
    let mut chosen = 0;
    for _ in 0..200 {
        let choice = picker.choose(&Wish::default(), Time(2), &mut rng);
        let choice = choice.expect("there are replicas");
        chosen += usize::from(slow.contains(&choice.agent));
        picker.sent(&choice.agent, Time(2));
    }
    chosen
}

/// Guards against a group that a slow rank keeps slow: when the others had no slots free, it used
/// to get work, and every pass of the group took as long as that work.
#[test]
fn full_group_spares_slow_rank() {
    for running in [0, 8, 16, 30] {
        let mut picker = group(2, 5.0, running);
        assert_eq!(count_slow(&mut picker, 2), 0, "{running} requests each");
    }
}

/// Guards against a group that loses more by leaving slow ranks out than by waiting for them.
#[test]
fn most_ranks_slow() {
    let mut picker = group(10, 1.5, 0);
    assert!(count_slow(&mut picker, 10) > 100);
    let mut picker = group(12, 5.0, 0);
    assert_eq!(count_slow(&mut picker, 12), 200);
}

/// Guards against a limit that does not bring the most work: it is compared with every other one.
#[test]
fn limit_brings_most_work() {
    let paces = [1.0, 1.0, 1.0, 1.02, 1.3, 2.0, 5.0, 5.0];
    let work = |limit: f64| paces.iter().filter(|p| **p <= limit).count() as f64 / limit;
    let limit = find_limit(&paces);
    for other in paces {
        assert!(work(other) * 0.8 <= work(limit), "{limit} against {other}");
    }
    assert!(limit < 2.0);
    assert_eq!(find_limit(&[]), f64::INFINITY);
}

/// Guards against requests that stay on a slow rank until they end: they hold all others up. A
/// stream that may be sent once more goes on elsewhere; one that may not stays.
#[test]
fn streams_leave_slow_rank() {
    let picker = group(1, 5.0, 8);
    assert!(picker.holds_up(&agent(0)));
    assert!(!picker.holds_up(&agent(1)));
    let deadline = Time::from_millis(8_000);
    let now = Time::from_millis(2_000);
    let mut budget = RetryBudget::new(1);
    let mut once = Attempts::new(true, 1, deadline);
    once.begin();
    assert!(
        !once.may_leave(&agent(0), &mut budget, now),
        "no more attempts"
    );
    let mut unsafe_call = Attempts::new(false, 2, deadline);
    unsafe_call.begin();
    assert!(
        !unsafe_call.may_leave(&agent(0), &mut budget, now),
        "would run twice"
    );
    let mut late = Attempts::new(true, 2, deadline);
    late.begin();
    let end = Time::from_millis(7_800);
    assert!(!late.may_leave(&agent(0), &mut budget, end), "no time left");
    let mut stream = Attempts::new(true, 2, deadline);
    stream.begin();
    assert!(stream.may_leave(&agent(0), &mut budget, now));
    assert_eq!(stream.avoid(), [agent(0)]);
    stream.begin();
    assert!(
        !stream.may_leave(&agent(0), &mut budget, now),
        "it moves once"
    );
    let mut second = Attempts::new(true, 2, deadline);
    second.begin();
    assert!(
        !second.may_leave(&agent(0), &mut budget, now),
        "no budget left"
    );
}
