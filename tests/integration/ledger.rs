//! The agent's ledger; guards against work that starts late or twice and against false proofs.

use siskinbend_request::AttemptRef;
use siskinbend_request::CancelState;
use siskinbend_request::Dispatch;
use siskinbend_request::ExecutionResult;
use siskinbend_request::Ledger;
use siskinbend_request::LookupResult;
use siskinbend_request::ledger::Settings;
use siskinbend_types::Attempt;
use siskinbend_types::Incarnation;
use siskinbend_types::Reason;
use siskinbend_types::RequestId;
use siskinbend_types::Time;
use siskinbend_types::Window;

use crate::call_util::answer;
use crate::call_util::name;
use crate::call_util::refer;

const ID: RequestId = RequestId(1);
const FIRST: Attempt = Attempt(1);

fn ledger() -> Ledger {
    Ledger::new(Settings::default(), Incarnation(1), Time(0))
}

fn dispatch(attempt: AttemptRef) -> Dispatch {
    Dispatch {
        attempt,
        organisation: name("growers"),
        idempotent: false,
    }
}

/// A time within the window.
fn within(window: u64) -> Time {
    Time::from_millis((window - 1) * 30_000 + 10)
}

/// Cancels an attempt of a window in another window.
fn cancel(ledger: &mut Ledger, (attempt, window): (u32, u64), now: u64) -> CancelState {
    ledger.cancel(&refer(attempt, window), within(now))
}

/// Dispatches an attempt of a window in another window.
fn admit(ledger: &mut Ledger, (attempt, window): (u32, u64), now: u64) -> Result<(), Reason> {
    ledger.admit(&dispatch(refer(attempt, window)), within(now))
}

fn run_to_end(ledger: &mut Ledger, window: u64) {
    let now = within(window);
    assert_eq!(ledger.admit(&dispatch(refer(1, window)), now), Ok(()));
    assert!(ledger.start(ID, FIRST, now));
    ledger.finish(
        ID,
        FIRST,
        ExecutionResult::Answered(Some(answer("booked"))),
        now,
    );
}

#[test]
fn dispatch_after_its_cancel_does_not_run() {
    let mut ledger = ledger();
    assert_eq!(cancel(&mut ledger, (1, 1), 1), CancelState::NeverStarts);
    assert_eq!(admit(&mut ledger, (1, 1), 1), Err(Reason::Tombstone));
}

#[test]
fn tombstone_is_kept_until_its_dispatch_is_stale() {
    for late in 1..12 {
        let mut ledger = ledger();
        assert_eq!(cancel(&mut ledger, (1, 1), 1), CancelState::NeverStarts);
        let refused = admit(&mut ledger, (1, 1), late);
        assert!(refused.is_err(), "admitted in window {late}");
    }
}

#[test]
fn cancelled_while_queued_never_starts() {
    let mut ledger = ledger();
    admit(&mut ledger, (1, 1), 1).unwrap();
    assert_eq!(cancel(&mut ledger, (1, 1), 1), CancelState::NeverStarts);
    assert!(!ledger.start(ID, FIRST, within(1)));
    assert!(ledger.is_idle());
}

#[test]
fn queued_longer_than_a_claim_lives_never_starts() {
    let mut ledger = ledger();
    admit(&mut ledger, (1, 1), 1).unwrap();
    assert!(!ledger.start(ID, FIRST, within(5)));
    assert!(ledger.is_idle());
}

#[test]
fn dispatch_of_a_paused_entry_is_stale() {
    let mut ledger = ledger();
    assert_eq!(admit(&mut ledger, (1, 1), 2), Ok(()));
    assert_eq!(admit(&mut ledger, (2, 1), 3), Err(Reason::StaleWindow));
}

#[test]
fn dispatch_for_an_earlier_run_is_refused() {
    let mut ledger = Ledger::new(Settings::default(), Incarnation(2), Time(0));
    let refused = admit(&mut ledger, (1, 1), 1);
    assert_eq!(refused, Err(Reason::WrongIncarnation));
    // The earlier run may have started it, so neither answer proves anything.
    assert_eq!(
        cancel(&mut ledger, (1, 1), 1),
        CancelState::OtherIncarnation
    );
    let owner = name("growers");
    assert_eq!(
        ledger.lookup(&refer(1, 1), &owner, within(1)),
        LookupResult::OtherIncarnation
    );
}

#[test]
fn copy_of_a_dispatch_does_not_run_again() {
    let mut ledger = ledger();
    let first = dispatch(refer(1, 1));
    ledger.admit(&first, within(1)).unwrap();
    assert_eq!(ledger.admit(&first, within(1)), Err(Reason::Duplicate));
    assert!(ledger.start(ID, FIRST, within(1)));
    assert_eq!(ledger.admit(&first, within(1)), Err(Reason::Duplicate));
    ledger.finish(ID, FIRST, ExecutionResult::Failed, within(1));
    assert_eq!(ledger.admit(&first, within(1)), Err(Reason::Duplicate));
    // A drain must not turn the refusal of the copy into a proof.
    ledger.drain();
    assert_eq!(ledger.admit(&first, within(1)), Err(Reason::Duplicate));
}

#[test]
fn dropped_record_is_not_taken_for_work_that_never_started() {
    let owner = name("growers");
    for late in 1..12 {
        let mut ledger = ledger();
        run_to_end(&mut ledger, 1);
        let refused = admit(&mut ledger, (1, 1), late);
        let proved = !matches!(refused, Err(Reason::Duplicate | Reason::OutcomeLost));
        assert!(!proved, "{refused:?} in window {late}");
        let state = cancel(&mut ledger, (1, 1), late);
        assert_ne!(state, CancelState::NeverStarts, "in window {late}");
        let found = ledger.lookup(&refer(1, 1), &owner, within(late));
        assert_ne!(found, LookupResult::NeverStarts, "in window {late}");
    }
}

#[test]
fn window_from_the_future_proves_nothing() {
    let mut ledger = ledger();
    // A tombstone left now would be gone when a dispatch of window 9 is admissible.
    assert_eq!(cancel(&mut ledger, (1, 9), 1), CancelState::Forgotten);
    assert_eq!(admit(&mut ledger, (1, 9), 1), Err(Reason::Protocol));
}

#[test]
fn old_records_are_dropped() {
    let mut ledger = ledger();
    run_to_end(&mut ledger, 1);
    assert_eq!(cancel(&mut ledger, (1, 1), 4), CancelState::Finished);
    assert_eq!(cancel(&mut ledger, (1, 1), 5), CancelState::Forgotten);
    assert_eq!(ledger.window(), Window(5));
}

#[test]
fn drain_refuses_new_work_and_finishes_old() {
    let mut ledger = ledger();
    admit(&mut ledger, (1, 1), 1).unwrap();
    ledger.drain();
    assert_eq!(admit(&mut ledger, (2, 1), 1), Err(Reason::Draining));
    assert!(ledger.start(ID, FIRST, within(1)));
    assert!(!ledger.is_idle());
    ledger.finish(ID, FIRST, ExecutionResult::Failed, within(1));
    assert!(ledger.is_idle());
}

#[test]
fn refused_by_the_queue_never_starts() {
    let mut ledger = ledger();
    admit(&mut ledger, (1, 1), 1).unwrap();
    ledger.refuse(ID, FIRST);
    assert!(ledger.is_idle());
    assert_eq!(admit(&mut ledger, (1, 1), 1), Err(Reason::Tombstone));
}

#[test]
fn lookup_by_another_organisation_learns_and_changes_nothing() {
    let stranger = name("inspectors");
    let owner = name("growers");
    let mut ledger = ledger();
    admit(&mut ledger, (1, 1), 1).unwrap();
    assert_eq!(
        ledger.lookup(&refer(1, 1), &stranger, within(1)),
        LookupResult::Forgotten
    );
    assert!(ledger.start(ID, FIRST, within(1)));
    ledger.finish(
        ID,
        FIRST,
        ExecutionResult::Answered(Some(answer("booked"))),
        within(1),
    );
    assert_eq!(
        ledger.lookup(&refer(1, 1), &stranger, within(1)),
        LookupResult::Forgotten
    );
    let found = ledger.lookup(&refer(1, 1), &owner, within(1));
    assert_eq!(found, LookupResult::Finished(answer("booked")));
}

#[test]
#[should_panic(expected = "attempt 1 of request 00000000000000000000000000000001 starts again")]
fn second_start_stops_the_process() {
    let mut ledger = ledger();
    run_to_end(&mut ledger, 1);
    ledger.start(ID, FIRST, within(1));
}
