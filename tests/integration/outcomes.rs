//! Outcomes of a call without an idempotency key. Guards against a false `not_run`, operations that
//! run twice, truncated answers and answers of another attempt.

use siskinbend_request::Action;
use siskinbend_request::CancelState;
use siskinbend_request::Event;
use siskinbend_request::RetryBudget;
use siskinbend_types::Attempt;
use siskinbend_types::Outcome;
use siskinbend_types::Reason;

use crate::call_util::DEADLINE_MS;
use crate::call_util::Harness;
use crate::call_util::STALL_MS;
use crate::call_util::assert_failure;
use crate::call_util::find_dispatch;
use crate::call_util::find_failure;
use crate::call_util::requests_target;
use crate::call_util::spec_without_key;
use crate::call_util::target;

const FIRST: Attempt = Attempt(1);
const SECOND: Attempt = Attempt(2);

#[test]
fn refused_attempt_is_retried_elsewhere() {
    let mut harness = Harness::dispatched(spec_without_key(false));
    let actions = harness.handle(Event::Refused(FIRST, Reason::QueueFull));
    let avoid = vec![target(1).agent];
    assert!(actions.contains(&Action::Choose { avoid }));
    let actions = harness.handle(Event::TargetChosen(target(2)));
    assert_eq!(find_dispatch(&actions), Some((SECOND, target(2))));
}

#[test]
fn silence_alone_is_never_not_run() {
    let mut harness = Harness::dispatched(spec_without_key(false));
    harness.advance(STALL_MS);
    let actions = harness.handle(Event::Timer);
    assert!(matches!(actions[0], Action::Cancel { attempt: FIRST, .. }));
    assert!(!harness.call.is_done());
    harness.advance(1_000);
    let actions = harness.handle(Event::Timer);
    assert_failure(&actions, Outcome::Unknown, Reason::Stalled);
}

#[test]
fn work_that_ran_before_its_cancel_is_unknown() {
    use CancelState::Finished;
    use CancelState::Forgotten;
    use CancelState::OtherIncarnation;
    use CancelState::Running;
    for state in [Running, Finished, OtherIncarnation, Forgotten] {
        let mut harness = Harness::dispatched(spec_without_key(false));
        harness.handle(Event::LinkLost(FIRST));
        let actions = harness.handle(Event::Cancelled(FIRST, state));
        let expected = Some((Outcome::Unknown, Reason::LinkLost));
        assert_eq!(find_failure(&actions), expected, "{state:?}");
    }
}

#[test]
fn confirmed_cancel_allows_another_attempt() {
    let mut harness = Harness::dispatched(spec_without_key(false));
    harness.handle(Event::LinkLost(FIRST));
    assert!(requests_target(
        &harness.handle(Event::Cancelled(FIRST, CancelState::NeverStarts))
    ));
}

#[test]
fn refusal_of_a_copy_proves_nothing() {
    let mut harness = Harness::dispatched(spec_without_key(false));
    assert_eq!(
        harness.handle(Event::Refused(FIRST, Reason::Duplicate)),
        vec![]
    );
    harness.handle(Event::Head(FIRST));
    assert_eq!(
        harness.handle(Event::Refused(FIRST, Reason::Duplicate)),
        vec![]
    );
    assert_eq!(
        harness.handle(Event::End(FIRST, 0)),
        vec![Action::ForwardEnd]
    );
    let mut harness = Harness::dispatched(spec_without_key(false));
    let actions = harness.handle(Event::Refused(FIRST, Reason::OutcomeLost));
    assert_failure(&actions, Outcome::Unknown, Reason::OutcomeLost);
}

#[test]
fn refusal_of_the_second_attempt_does_not_clear_the_first() {
    let mut spec = spec_without_key(true);
    spec.max_attempts = 2;
    let mut harness = Harness::dispatched(spec);
    assert!(requests_target(
        &harness.handle(Event::Aborted(FIRST, Reason::BackendFailed))
    ));
    harness.handle(Event::TargetChosen(target(2)));
    let actions = harness.handle(Event::Refused(SECOND, Reason::Draining));
    assert_failure(&actions, Outcome::Unknown, Reason::Draining);
}

#[test]
fn proof_of_an_earlier_attempt_does_not_count_for_the_open_one() {
    let mut harness = Harness::dispatched(spec_without_key(false));
    harness.handle(Event::Refused(FIRST, Reason::Draining));
    harness.handle(Event::TargetChosen(target(2)));
    assert_eq!(
        harness.handle(Event::Refused(FIRST, Reason::Draining)),
        vec![]
    );
    harness.handle(Event::LinkLost(SECOND));
    assert_eq!(
        harness.handle(Event::Cancelled(FIRST, CancelState::NeverStarts)),
        vec![]
    );
    assert!(!harness.call.is_done());
}

#[test]
fn late_frames_of_an_earlier_attempt_are_not_forwarded() {
    let mut harness = Harness::dispatched(spec_without_key(true));
    harness.handle(Event::LinkLost(FIRST));
    harness.handle(Event::Cancelled(FIRST, CancelState::Running));
    harness.handle(Event::TargetChosen(target(2)));
    assert_eq!(harness.handle(Event::Head(FIRST)), vec![]);
    harness.handle(Event::Head(SECOND));
    assert_eq!(harness.handle(Event::Chunk(FIRST, 0)), vec![]);
    assert_eq!(harness.handle(Event::End(FIRST, 0)), vec![]);
    assert_eq!(
        harness.handle(Event::Chunk(SECOND, 0)),
        vec![Action::ForwardChunk]
    );
    assert_eq!(
        harness.handle(Event::End(SECOND, 1)),
        vec![Action::ForwardEnd]
    );
}

#[test]
fn begun_answer_is_never_restarted() {
    let failures = [
        Event::LinkLost(FIRST),
        Event::Aborted(FIRST, Reason::BackendFailed),
        Event::Refused(FIRST, Reason::Draining),
        Event::NotSent(FIRST),
    ];
    for event in failures {
        let mut harness = Harness::dispatched(spec_without_key(true));
        harness.handle(Event::Head(FIRST));
        let actions = harness.handle(event.clone());
        let outcome = find_failure(&actions).map(|(outcome, _)| outcome);
        assert_eq!(outcome, Some(Outcome::Unknown), "{event:?}");
        assert!(harness.call.is_done());
    }
}

#[test]
fn missing_chunk_does_not_end_cleanly() {
    for event in [Event::Chunk(FIRST, 2), Event::End(FIRST, 2)] {
        let mut harness = Harness::dispatched(spec_without_key(true));
        harness.handle(Event::Head(FIRST));
        harness.handle(Event::Chunk(FIRST, 0));
        let actions = harness.handle(event);
        assert_failure(&actions, Outcome::Unknown, Reason::Protocol);
    }
}

#[test]
fn repeated_chunk_is_forwarded_once() {
    let mut harness = Harness::dispatched(spec_without_key(true));
    harness.handle(Event::Head(FIRST));
    harness.handle(Event::Chunk(FIRST, 0));
    assert_eq!(harness.handle(Event::Chunk(FIRST, 0)), vec![]);
    assert_eq!(harness.handle(Event::Head(FIRST)), vec![]);
    assert_eq!(
        harness.handle(Event::End(FIRST, 1)),
        vec![Action::ForwardEnd]
    );
}

#[test]
fn disconnect_of_the_caller_cancels_the_attempt() {
    let mut harness = Harness::dispatched(spec_without_key(false));
    let actions = harness.handle(Event::CallerGone);
    assert!(matches!(actions[0], Action::Cancel { attempt: FIRST, .. }));
    assert_failure(&actions, Outcome::Unknown, Reason::CallerGone);
}

#[test]
fn call_of_a_paused_entry_is_not_dispatched_after_its_deadline() {
    let mut harness = Harness::new(spec_without_key(false));
    harness.handle(Event::Start);
    harness.advance(DEADLINE_MS);
    let actions = harness.handle(Event::TargetChosen(target(1)));
    assert_failure(&actions, Outcome::NotRun, Reason::Deadline);
    assert_eq!(find_dispatch(&actions), None);
}

#[test]
fn retries_stop_when_the_budget_is_used_up() {
    let mut budget = RetryBudget::new(1);
    let mut harness = Harness::new(spec_without_key(false));
    std::mem::swap(&mut harness.budget, &mut budget);
    harness.handle(Event::Start);
    harness.handle(Event::TargetChosen(target(1)));
    harness.handle(Event::NotSent(FIRST));
    harness.handle(Event::TargetChosen(target(2)));
    let actions = harness.handle(Event::Refused(SECOND, Reason::QueueFull));
    assert_failure(&actions, Outcome::NotRun, Reason::RetryBudget);
}

#[test]
fn retries_stay_within_a_tenth_of_requests() {
    let mut budget = RetryBudget::new(10);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.deposit();
        retries += u32::from(budget.try_withdraw());
    }
    assert!(retries <= 1_000 + 10, "{retries} retries of 10000 requests");
}
