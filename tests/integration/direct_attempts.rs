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

fn end(
    attempts: &mut DirectAttempts,
    n: usize,
    ending: AttemptFailure,
    budget: &mut RetryBudget,
) -> NextStep {
    attempts.start_attempt();
    attempts.decide_next(server(n), ending, budget, Time(0))
}

/// Guards against a booking that runs twice: after any ending that does not prove the opposite, it
/// is not sent again and not called "not run".
#[test]
fn bookings_run_once() {
    for ending in [
        AttemptFailure::ConnectionLost,
        AttemptFailure::Stalled,
        AttemptFailure::Failed,
    ] {
        let mut attempts = DirectAttempts::new(false, 3, DEADLINE);
        let next = end(&mut attempts, 1, ending, &mut RetryBudget::new(9));
        assert!(
            matches!(next, NextStep::Fail(_) | NextStep::ForwardFailure),
            "{ending:?} was followed by {next:?}"
        );
    }
}

/// Guards against a second send to a server that could run the same booking.
#[test]
#[should_panic(expected = "a second time")]
fn second_send_panics() {
    let mut attempts = DirectAttempts::new(false, 3, DEADLINE);
    end(
        &mut attempts,
        1,
        AttemptFailure::ConnectionLost,
        &mut RetryBudget::new(9),
    );
    attempts.start_attempt();
}

/// Guards against a refusal that says "not run" after an earlier attempt may have run.
#[test]
fn not_run_is_true() {
    let mut attempts = DirectAttempts::new(true, 2, DEADLINE);
    let mut budget = RetryBudget::new(9);
    assert_eq!(
        end(
            &mut attempts,
            1,
            AttemptFailure::ConnectionLost,
            &mut budget
        ),
        NextStep::Retry
    );
    let next = end(
        &mut attempts,
        2,
        AttemptFailure::Refused(Reason::QueueFull),
        &mut budget,
    );
    assert!(matches!(next, NextStep::Fail(_)), "it ended with {next:?}");
}

/// Guards against more servers than the route allows, and against retries beyond the budget.
#[test]
fn attempts_are_bounded() {
    let mut budget = RetryBudget::new(1);
    let mut attempts = DirectAttempts::new(true, 2, DEADLINE);
    assert_eq!(
        end(
            &mut attempts,
            1,
            AttemptFailure::Refused(Reason::QueueFull),
            &mut budget
        ),
        NextStep::Retry
    );
    assert_eq!(
        end(
            &mut attempts,
            2,
            AttemptFailure::Refused(Reason::QueueFull),
            &mut budget
        ),
        NextStep::Refuse(Reason::QueueFull)
    );
    let mut attempts = DirectAttempts::new(true, 2, DEADLINE);
    let next = end(
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

/// Guards against a connection that could not be opened being counted as a send.
#[test]
fn unsent_is_free() {
    let mut budget = RetryBudget::new(0);
    let mut attempts = DirectAttempts::new(false, 1, DEADLINE);
    assert_eq!(
        end(&mut attempts, 1, AttemptFailure::NotSent, &mut budget),
        NextStep::Retry
    );
    assert_eq!(attempts.sent(), 0);
    assert_eq!(attempts.tried(), [server(1)]);
}

/// Guards against callers that come back all at once, or too late to be served.
#[test]
fn returns_are_spread() {
    for cause in [
        RefusalCause::Overloaded,
        RefusalCause::Closed,
        RefusalCause::Failure,
    ] {
        for left in [200, 1_000, 8_000] {
            let left = Duration::from_millis(left);
            let early = find_retry_delay(cause, left, 0);
            let late = find_retry_delay(cause, left, u32::MAX);
            assert!(
                early < late,
                "{cause:?} with {left:?} left: {early:?} to {late:?}"
            );
            assert!(late <= left / 3, "{cause:?} with {left:?} left: {late:?}");
        }
    }
}
