//! Attempts that a gateway sends straight to backend servers.

use std::time::Duration;

use siskinbend_request::AttemptFailure;
use siskinbend_request::DirectAttempts;
use siskinbend_request::NextStep;
use siskinbend_request::RetryBudget;
use siskinbend_request::retry_after::RefusalCause;
use siskinbend_request::retry_after::find_retry_delay;
use siskinbend_types::AgentId;
use siskinbend_types::Reason;
use siskinbend_types::Time;

const DEADLINE: Time = Time(1_000_000);

fn server(n: usize) -> AgentId {
    format!("server-{n}").parse().expect("a valid name")
}

fn fail_attempt(
    attempts: &mut DirectAttempts,
    n: usize,
    failure: AttemptFailure,
    budget: &mut RetryBudget,
) -> NextStep {
    attempts.start_attempt();
    attempts.decide_next(server(n), failure, budget, Time(0))
}

/// Guards against a request that may not be repeated and runs twice. After a failure that does not
/// prove that it did not run, it must be neither sent again nor reported as not run.
#[test]
fn non_idempotent_requests_run_once() {
    for failure in [
        AttemptFailure::ConnectionLost,
        AttemptFailure::Stalled,
        AttemptFailure::Failed,
    ] {
        let mut attempts = DirectAttempts::new(false, 3, DEADLINE);
        let next = fail_attempt(&mut attempts, 1, failure, &mut RetryBudget::new(9));
        assert!(
            matches!(next, NextStep::Fail(_) | NextStep::ForwardFailure),
            "{failure:?} was followed by {next:?}"
        );
    }
}

/// Guards against a second send of a request that may not be repeated and may have run.
#[test]
#[should_panic(expected = "a second time")]
fn second_send_panics() {
    let mut attempts = DirectAttempts::new(false, 3, DEADLINE);
    fail_attempt(
        &mut attempts,
        1,
        AttemptFailure::ConnectionLost,
        &mut RetryBudget::new(9),
    );
    attempts.start_attempt();
}

/// Guards against a refusal that is reported as not run although an earlier attempt may have run.
#[test]
fn not_run_requires_proof_for_every_attempt() {
    let mut attempts = DirectAttempts::new(true, 2, DEADLINE);
    let mut budget = RetryBudget::new(9);
    assert_eq!(
        fail_attempt(
            &mut attempts,
            1,
            AttemptFailure::ConnectionLost,
            &mut budget
        ),
        NextStep::Retry
    );
    let next = fail_attempt(
        &mut attempts,
        2,
        AttemptFailure::Refused(Reason::QueueFull),
        &mut budget,
    );
    assert!(matches!(next, NextStep::Fail(_)), "it ended with {next:?}");
}

/// Guards against more attempts than the route allows, and against retries beyond the budget.
#[test]
fn attempts_are_bounded() {
    let mut budget = RetryBudget::new(1);
    let mut attempts = DirectAttempts::new(true, 2, DEADLINE);
    assert_eq!(
        fail_attempt(
            &mut attempts,
            1,
            AttemptFailure::Refused(Reason::QueueFull),
            &mut budget
        ),
        NextStep::Retry
    );
    assert_eq!(
        fail_attempt(
            &mut attempts,
            2,
            AttemptFailure::Refused(Reason::QueueFull),
            &mut budget
        ),
        NextStep::Refuse(Reason::QueueFull)
    );
    let mut attempts = DirectAttempts::new(true, 2, DEADLINE);
    let next = fail_attempt(
        &mut attempts,
        1,
        AttemptFailure::Refused(Reason::QueueFull),
        &mut budget,
    );
    assert_eq!(
        next,
        NextStep::Refuse(Reason::QueueFull),
        "the budget was used up"
    );
}

/// Guards against an attempt that counts as sent although no connection could be opened.
#[test]
fn unsent_attempts_are_not_counted() {
    let mut budget = RetryBudget::new(0);
    let mut attempts = DirectAttempts::new(false, 1, DEADLINE);
    assert_eq!(
        fail_attempt(&mut attempts, 1, AttemptFailure::NotSent, &mut budget),
        NextStep::Retry
    );
    assert_eq!(attempts.sent(), 0);
    assert_eq!(attempts.tried(), [server(1)]);
}

/// Guards against callers that all retry at once, or too late to be served.
#[test]
fn retry_delays_are_spread() {
    for cause in [
        RefusalCause::Overloaded,
        RefusalCause::Closed,
        RefusalCause::Failure,
    ] {
        for remaining in [200, 1_000, 8_000] {
            let remaining = Duration::from_millis(remaining);
            let shortest = find_retry_delay(cause, remaining, 0);
            let longest = find_retry_delay(cause, remaining, u32::MAX);
            assert!(
                shortest < longest,
                "{cause:?} with {remaining:?} remaining: {shortest:?} to {longest:?}"
            );
            assert!(
                longest <= remaining / 3,
                "{cause:?} with {remaining:?} remaining: {longest:?}"
            );
        }
    }
}
