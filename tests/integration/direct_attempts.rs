//! Attempts that a gateway sends straight to backend servers.

use std::time::Duration;

use siskinbend_request::Attempts;
use siskinbend_request::Ending;
use siskinbend_request::Next;
use siskinbend_request::RetryBudget;
use siskinbend_request::returns::Cause;
use siskinbend_request::returns::find_return;
use siskinbend_types::AgentId;
use siskinbend_types::Reason;
use siskinbend_types::Time;

const DEADLINE: Time = Time(1_000_000);

fn server(n: usize) -> AgentId {
    format!("server-{n}").parse().expect("a valid name")
}

fn end(attempts: &mut Attempts, n: usize, ending: Ending, budget: &mut RetryBudget) -> Next {
    attempts.begin();
    attempts.end(server(n), ending, budget, Time(0))
}

/// Guards against a booking that runs twice: after any ending that does not prove the opposite, it
/// is not sent again and not called "not run".
#[test]
fn bookings_run_once() {
    for ending in [Ending::Lost, Ending::Silent, Ending::Failed] {
        let mut attempts = Attempts::new(false, 3, DEADLINE);
        let next = end(&mut attempts, 1, ending, &mut RetryBudget::new(9));
        assert!(
            matches!(next, Next::Fail(_) | Next::PassOn),
            "{ending:?} was followed by {next:?}"
        );
    }
}

/// Guards against a second send to a server that could run the same booking.
#[test]
#[should_panic(expected = "a second time")]
fn second_send_panics() {
    let mut attempts = Attempts::new(false, 3, DEADLINE);
    end(&mut attempts, 1, Ending::Lost, &mut RetryBudget::new(9));
    attempts.begin();
}

/// Guards against a refusal that says "not run" after an earlier attempt may have run.
#[test]
fn not_run_is_true() {
    let mut attempts = Attempts::new(true, 2, DEADLINE);
    let mut budget = RetryBudget::new(9);
    assert_eq!(
        end(&mut attempts, 1, Ending::Lost, &mut budget),
        Next::Retry
    );
    let next = end(
        &mut attempts,
        2,
        Ending::Refused(Reason::QueueFull),
        &mut budget,
    );
    assert!(matches!(next, Next::Fail(_)), "it ended with {next:?}");
}

/// Guards against more servers than the route allows, and against retries beyond the budget.
#[test]
fn attempts_are_bounded() {
    let mut budget = RetryBudget::new(1);
    let mut attempts = Attempts::new(true, 2, DEADLINE);
    assert_eq!(
        end(
            &mut attempts,
            1,
            Ending::Refused(Reason::QueueFull),
            &mut budget
        ),
        Next::Retry
    );
    assert_eq!(
        end(
            &mut attempts,
            2,
            Ending::Refused(Reason::QueueFull),
            &mut budget
        ),
        Next::Refuse(Reason::QueueFull)
    );
    let mut attempts = Attempts::new(true, 2, DEADLINE);
    let next = end(
        &mut attempts,
        1,
        Ending::Refused(Reason::QueueFull),
        &mut budget,
    );
    assert_eq!(
        next,
        Next::Refuse(Reason::QueueFull),
        "the budget was used up"
    );
}

/// Guards against a connection that could not be opened being counted as a send.
#[test]
fn unsent_is_free() {
    let mut budget = RetryBudget::new(0);
    let mut attempts = Attempts::new(false, 1, DEADLINE);
    assert_eq!(
        end(&mut attempts, 1, Ending::NotSent, &mut budget),
        Next::Retry
    );
    assert_eq!(attempts.sent(), 0);
    assert_eq!(attempts.avoid(), [server(1)]);
}

/// Guards against callers that come back all at once, or too late to be served.
#[test]
fn returns_are_spread() {
    for cause in [Cause::Full, Cause::Closed, Cause::Broken] {
        for left in [200, 1_000, 8_000] {
            let left = Duration::from_millis(left);
            let early = find_return(cause, left, 0);
            let late = find_return(cause, left, u32::MAX);
            assert!(
                early < late,
                "{cause:?} with {left:?} left: {early:?} to {late:?}"
            );
            assert!(late <= left / 3, "{cause:?} with {left:?} left: {late:?}");
        }
    }
}
