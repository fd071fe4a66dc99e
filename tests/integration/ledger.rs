//! The agent's ledger. Guards against attempts that start late or twice, and against answers that
//! wrongly prove that an attempt did not run.

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
use crate::call_util::attempt_ref;
use crate::call_util::name;

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

/// Returns a time in the window.
fn time_in(window: u64) -> Time {
    Time::from_millis((window - 1) * 30_000 + 10)
}

/// Cancels an attempt dispatched in `window`, at a time in the window `now`.
fn cancel(ledger: &mut Ledger, (attempt, window): (u32, u64), now: u64) -> CancelState {
    ledger.cancel(&attempt_ref(attempt, window), time_in(now))
}

/// Admits an attempt dispatched in `window`, at a time in the window `now`.
fn admit(ledger: &mut Ledger, (attempt, window): (u32, u64), now: u64) -> Result<(), Reason> {
    ledger.admit(&dispatch(attempt_ref(attempt, window)), time_in(now))
}

fn run_attempt(ledger: &mut Ledger, window: u64) {
    let now = time_in(window);
    assert_eq!(ledger.admit(&dispatch(attempt_ref(1, window)), now), Ok(()));
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
    for window in 1..12 {
        let mut ledger = ledger();
        assert_eq!(cancel(&mut ledger, (1, 1), 1), CancelState::NeverStarts);
        let refused = admit(&mut ledger, (1, 1), window);
        assert!(refused.is_err(), "admitted in window {window}");
    }
}

#[test]
fn cancelled_while_queued_never_starts() {
    let mut ledger = ledger();
    admit(&mut ledger, (1, 1), 1).unwrap();
    assert_eq!(cancel(&mut ledger, (1, 1), 1), CancelState::NeverStarts);
    assert!(!ledger.start(ID, FIRST, time_in(1)));
    assert!(ledger.is_idle());
}

#[test]
fn attempt_queued_longer_than_its_claim_never_starts() {
    let mut ledger = ledger();
    admit(&mut ledger, (1, 1), 1).unwrap();
    assert!(!ledger.start(ID, FIRST, time_in(5)));
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
    // The earlier incarnation may have started the attempt, so neither answer may prove anything.
    assert_eq!(
        cancel(&mut ledger, (1, 1), 1),
        CancelState::OtherIncarnation
    );
    let owner = name("growers");
    assert_eq!(
        ledger.lookup(&attempt_ref(1, 1), &owner, time_in(1)),
        LookupResult::OtherIncarnation
    );
}

#[test]
fn copy_of_a_dispatch_does_not_run_again() {
    let mut ledger = ledger();
    let first = dispatch(attempt_ref(1, 1));
    ledger.admit(&first, time_in(1)).unwrap();
    assert_eq!(ledger.admit(&first, time_in(1)), Err(Reason::Duplicate));
    assert!(ledger.start(ID, FIRST, time_in(1)));
    assert_eq!(ledger.admit(&first, time_in(1)), Err(Reason::Duplicate));
    ledger.finish(ID, FIRST, ExecutionResult::Failed, time_in(1));
    assert_eq!(ledger.admit(&first, time_in(1)), Err(Reason::Duplicate));
    // During a drain the copy must still be refused with a reason that proves nothing.
    ledger.drain();
    assert_eq!(ledger.admit(&first, time_in(1)), Err(Reason::Duplicate));
}

#[test]
fn dropped_record_does_not_prove_not_run() {
    let owner = name("growers");
    for window in 1..12 {
        let mut ledger = ledger();
        run_attempt(&mut ledger, 1);
        let refused = admit(&mut ledger, (1, 1), window);
        let proves_not_run = !matches!(refused, Err(Reason::Duplicate | Reason::OutcomeLost));
        assert!(!proves_not_run, "{refused:?} in window {window}");
        let state = cancel(&mut ledger, (1, 1), window);
        assert_ne!(state, CancelState::NeverStarts, "in window {window}");
        let found = ledger.lookup(&attempt_ref(1, 1), &owner, time_in(window));
        assert_ne!(found, LookupResult::NeverStarts, "in window {window}");
    }
}

#[test]
fn future_window_proves_nothing() {
    let mut ledger = ledger();
    // A tombstone recorded now would be dropped before a dispatch of window 9 becomes admissible.
    assert_eq!(cancel(&mut ledger, (1, 9), 1), CancelState::Forgotten);
    assert_eq!(admit(&mut ledger, (1, 9), 1), Err(Reason::Protocol));
}

#[test]
fn old_records_are_dropped() {
    let mut ledger = ledger();
    run_attempt(&mut ledger, 1);
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
    assert!(ledger.start(ID, FIRST, time_in(1)));
    assert!(!ledger.is_idle());
    ledger.finish(ID, FIRST, ExecutionResult::Failed, time_in(1));
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
fn lookup_by_another_organisation_reveals_and_changes_nothing() {
    let other = name("inspectors");
    let owner = name("growers");
    let mut ledger = ledger();
    admit(&mut ledger, (1, 1), 1).unwrap();
    assert_eq!(
        ledger.lookup(&attempt_ref(1, 1), &other, time_in(1)),
        LookupResult::Forgotten
    );
    assert!(ledger.start(ID, FIRST, time_in(1)));
    ledger.finish(
        ID,
        FIRST,
        ExecutionResult::Answered(Some(answer("booked"))),
        time_in(1),
    );
    assert_eq!(
        ledger.lookup(&attempt_ref(1, 1), &other, time_in(1)),
        LookupResult::Forgotten
    );
    let found = ledger.lookup(&attempt_ref(1, 1), &owner, time_in(1));
    assert_eq!(found, LookupResult::Finished(answer("booked")));
}

#[test]
#[should_panic(expected = "attempt 1 of request 00000000000000000000000000000001 starts again")]
fn second_start_panics() {
    let mut ledger = ledger();
    run_attempt(&mut ledger, 1);
    ledger.start(ID, FIRST, time_in(1));
}
