//! Slow replicas of a lock-step group.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use siskinbend_request::AttemptFailure;
use siskinbend_request::DirectAttempts;
use siskinbend_request::HedgeCause;
use siskinbend_request::HedgeRefusal;
use siskinbend_request::NextStep;
use siskinbend_request::RetryBudget;
use siskinbend_routing::Picker;
use siskinbend_routing::PolicyKind;
use siskinbend_routing::Requirements;
use siskinbend_routing::slowdown::find_max_slowdown;
use siskinbend_types::Reason;
use siskinbend_types::Time;

use crate::choice::agent;
use crate::choice::observation;
use crate::choice::picker;

/// A group of 12 ranks of which the first `slow` take `slowdown` times the usual time.
fn group(slow: usize, slowdown: f64, running: u32) -> Picker {
    let mut picker = picker(PolicyKind::Siskinbend);
    for n in 0..12 {
        picker.observe(&agent(n), observation(running), Time(1));
        picker.set_slowdown(&agent(n), if n < slow { slowdown } else { 1.0 });
    }
    picker
}

/// Returns how many of 200 requests go to the first `slow` replicas.
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

/// Guards against a slow rank that receives work because the other ranks have no free slots. Every
/// step of the group then takes as long as the slow rank.
#[test]
fn full_group_excludes_slow_ranks() {
    for running in [0, 8, 16, 30] {
        let mut picker = group(2, 5.0, running);
        assert_eq!(count_slow(&mut picker, 2), 0, "{running} requests each");
    }
}

/// Guards against excluding so many slow ranks that the group loses more throughput than by waiting
/// for them.
#[test]
fn slow_majority_is_not_excluded() {
    let mut picker = group(10, 1.5, 0);
    assert!(count_slow(&mut picker, 10) > 100);
    let mut picker = group(12, 5.0, 0);
    assert_eq!(count_slow(&mut picker, 12), 200);
}

/// Guards against a limit with a low throughput, by comparison with every other limit.
#[test]
fn limit_has_the_best_throughput() {
    let slowdowns = [1.0, 1.0, 1.0, 1.02, 1.3, 2.0, 5.0, 5.0];
    let throughput = |limit: f64| slowdowns.iter().filter(|p| **p <= limit).count() as f64 / limit;
    let limit = find_max_slowdown(&slowdowns);
    for other in slowdowns {
        assert!(
            throughput(other) * 0.8 <= throughput(limit),
            "{limit} against {other}"
        );
    }
    assert!(limit < 2.0);
    assert_eq!(find_max_slowdown(&[]), f64::INFINITY);
}

/// Guards against requests that stay on a slow rank until they end and delay all other ranks. A
/// stream is moved only if it may be sent again.
#[test]
fn streams_are_moved_from_a_slow_rank() {
    let picker = group(1, 5.0, 8);
    assert!(picker.delays_group(&agent(0)));
    assert!(!picker.delays_group(&agent(1)));
    let deadline = Time::from_millis(8_000);
    let now = Time::from_millis(2_000);
    let mut budget = RetryBudget::new(1);
    let start = |idempotent, max_attempts| {
        let mut attempts = DirectAttempts::new(idempotent, max_attempts, deadline);
        attempts.start_attempt();
        attempts
    };
    let check = |attempts: &DirectAttempts, budget: &RetryBudget, now| {
        attempts.check_hedge(HedgeCause::Slow, budget, now)
    };
    assert_eq!(
        check(&start(true, 1), &budget, now),
        Err(HedgeRefusal::AttemptsUsed)
    );
    assert_eq!(
        check(&start(false, 2), &budget, now),
        Err(HedgeRefusal::NotIdempotent)
    );
    let end = Time::from_millis(7_800);
    assert_eq!(
        check(&start(true, 2), &budget, end),
        Err(HedgeRefusal::Late)
    );
    let mut stream = start(true, 2);
    assert_eq!(check(&stream, &budget, now), Ok(()));
    stream.start_attempt();
    stream.record_replaced(agent(0));
    assert_eq!(stream.tried(), [agent(0)]);
    assert_eq!(
        check(&stream, &budget, now),
        Err(HedgeRefusal::AttemptsUsed),
        "it moves only once"
    );
    assert!(budget.try_withdraw());
    assert_eq!(
        check(&start(true, 2), &budget, now),
        Err(HedgeRefusal::NoBudget)
    );
}

/// Guards against a check that uses up the budget although no server for the hedge is found, and
/// against connections that fail without end.
#[test]
fn checks_take_no_budget() {
    let mut budget = RetryBudget::new(1);
    let mut attempts = DirectAttempts::new(true, 2, Time::from_millis(8_000));
    attempts.start_attempt();
    let check = |attempts: &DirectAttempts, budget: &RetryBudget| {
        attempts.check_hedge(HedgeCause::Slow, budget, Time::default())
    };
    for _ in 0..10 {
        assert_eq!(check(&attempts, &budget), Ok(()));
    }
    for n in 1..5 {
        assert_eq!(check(&attempts, &budget), Ok(()), "after {n}");
        attempts.start_attempt();
        attempts.record_failure(agent(n), AttemptFailure::NotSent);
    }
    assert_eq!(check(&attempts, &budget), Err(HedgeRefusal::AttemptsUsed));
    assert!(budget.try_withdraw());
}

/// Guards against a request that is reported as not run although an attempt that was given up for a
/// hedge ran it.
#[test]
fn replaced_attempt_has_run() {
    let mut attempts = DirectAttempts::new(true, 2, Time::from_millis(8_000));
    attempts.start_attempt();
    attempts.start_attempt();
    attempts.record_replaced(agent(0));
    let refused = AttemptFailure::Refused(Reason::QueueFull);
    let next = attempts.decide_next(agent(1), refused, &mut RetryBudget::new(9), Time::default());
    assert_eq!(next, NextStep::Fail(Reason::QueueFull));
}
