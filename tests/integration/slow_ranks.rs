//! Slow replicas of a group that runs in lock-step.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use siskinbend_request::DirectAttempts;
use siskinbend_request::RetryBudget;
use siskinbend_routing::Picker;
use siskinbend_routing::PolicyKind;
use siskinbend_routing::Requirements;
use siskinbend_routing::slowdown::find_max_slowdown;
use siskinbend_types::Time;

use crate::choice::agent;
use crate::choice::picker;
use crate::choice::seen;

/// A group of 12 ranks of which the first `slow` take `pace` times the usual time.
fn group(slow: usize, pace: f64, running: u32) -> Picker {
    let mut picker = picker(PolicyKind::Siskinbend);
    for n in 0..12 {
        picker.observe(&agent(n), seen(running), Time(1));
        picker.set_slowdown(&agent(n), if n < slow { pace } else { 1.0 });
    }
    picker
}

/// Replicas among the first `slow` that get one of 200 requests.
fn count_slow(picker: &mut Picker, slow: usize) -> usize {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let slow: Vec<_> = (0..slow).map(agent).collect();
    let mut chosen = 0;
    for _ in 0..200 {
        let choice = picker.choose(&Requirements::default(), Time(2), &mut rng);
        let choice = choice.expect("there are replicas");
        chosen += usize::from(slow.contains(&choice.agent));
        picker.record_dispatch(&choice.agent, Time(2));
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
    let limit = find_max_slowdown(&paces);
    for other in paces {
        assert!(work(other) * 0.8 <= work(limit), "{limit} against {other}");
    }
    assert!(limit < 2.0);
    assert_eq!(find_max_slowdown(&[]), f64::INFINITY);
}

/// Guards against requests that stay on a slow rank until they end: they hold all others up. A
/// stream that may be sent once more goes on elsewhere; one that may not stays.
#[test]
fn streams_leave_slow_rank() {
    let picker = group(1, 5.0, 8);
    assert!(picker.delays_group(&agent(0)));
    assert!(!picker.delays_group(&agent(1)));
    let deadline = Time::from_millis(8_000);
    let now = Time::from_millis(2_000);
    let mut budget = RetryBudget::new(1);
    let mut once = DirectAttempts::new(true, 1, deadline);
    once.start_attempt();
    assert!(
        !once.try_abandon(&agent(0), &mut budget, now),
        "no more attempts"
    );
    let mut unsafe_call = DirectAttempts::new(false, 2, deadline);
    unsafe_call.start_attempt();
    assert!(
        !unsafe_call.try_abandon(&agent(0), &mut budget, now),
        "would run twice"
    );
    let mut late = DirectAttempts::new(true, 2, deadline);
    late.start_attempt();
    let end = Time::from_millis(7_800);
    assert!(
        !late.try_abandon(&agent(0), &mut budget, end),
        "no time left"
    );
    let mut stream = DirectAttempts::new(true, 2, deadline);
    stream.start_attempt();
    assert!(stream.try_abandon(&agent(0), &mut budget, now));
    assert_eq!(stream.tried(), [agent(0)]);
    stream.start_attempt();
    assert!(
        !stream.try_abandon(&agent(0), &mut budget, now),
        "it moves once"
    );
    let mut second = DirectAttempts::new(true, 2, deadline);
    second.start_attempt();
    assert!(
        !second.try_abandon(&agent(0), &mut budget, now),
        "no budget left"
    );
}
