//! Outcomes of a call without a key; guards against false `not_run`, repeated work and answers
//! that are cut or crossed.

use siskinbend_request::Action;
use siskinbend_request::CancelState;
use siskinbend_request::Event;
use siskinbend_request::RetryBudget;
use siskinbend_types::Attempt;
use siskinbend_types::Outcome;
use siskinbend_types::Reason;

use crate::call_util::Bench;
use crate::call_util::DEADLINE;
use crate::call_util::STALL;
use crate::call_util::assert_failure;
use crate::call_util::chooses;
use crate::call_util::dispatched;
use crate::call_util::failure;
use crate::call_util::plain;
use crate::call_util::target;

const FIRST: Attempt = Attempt(1);
const SECOND: Attempt = Attempt(2);

#[test]
fn refused_attempt_is_retried_elsewhere() {
    let mut bench = Bench::dispatched(plain(false));
    let actions = bench.send(Event::Refused(FIRST, Reason::QueueFull));
    let avoid = vec![target(1).agent];
    assert!(actions.contains(&Action::Choose { avoid }));
    let actions = bench.send(Event::TargetChosen(target(2)));
    assert_eq!(dispatched(&actions), Some((SECOND, target(2))));
}

#[test]
fn silence_alone_is_never_not_run() {
    let mut bench = Bench::dispatched(plain(false));
    bench.wait(STALL);
    let actions = bench.send(Event::Timer);
    assert!(matches!(actions[0], Action::Cancel { attempt: FIRST, .. }));
    assert!(!bench.call.is_done());
    bench.wait(1_000);
    let actions = bench.send(Event::Timer);
    assert_failure(&actions, Outcome::Unknown, Reason::Stalled);
}

#[test]
fn work_that_ran_before_its_cancel_is_unknown() {
    use CancelState::Finished;
    use CancelState::Forgotten;
    use CancelState::OtherIncarnation;
    use CancelState::Running;
    for state in [Running, Finished, OtherIncarnation, Forgotten] {
        let mut bench = Bench::dispatched(plain(false));
        bench.send(Event::LinkLost(FIRST));
        let actions = bench.send(Event::Cancelled(FIRST, state));
        let expected = Some((Outcome::Unknown, Reason::LinkLost));
        assert_eq!(failure(&actions), expected, "{state:?}");
    }
}

#[test]
fn confirmed_cancel_allows_another_attempt() {
    let mut bench = Bench::dispatched(plain(false));
    bench.send(Event::LinkLost(FIRST));
    assert!(chooses(
        &bench.send(Event::Cancelled(FIRST, CancelState::NeverStarts))
    ));
}

#[test]
fn refusal_of_a_copy_proves_nothing() {
    let mut bench = Bench::dispatched(plain(false));
    assert_eq!(bench.send(Event::Refused(FIRST, Reason::Duplicate)), vec![]);
    bench.send(Event::Head(FIRST));
    assert_eq!(bench.send(Event::Refused(FIRST, Reason::Duplicate)), vec![]);
    assert_eq!(bench.send(Event::End(FIRST, 0)), vec![Action::ForwardEnd]);
    let mut bench = Bench::dispatched(plain(false));
    let actions = bench.send(Event::Refused(FIRST, Reason::OutcomeLost));
    assert_failure(&actions, Outcome::Unknown, Reason::OutcomeLost);
}

#[test]
fn refusal_of_the_second_attempt_does_not_clear_the_first() {
    let mut spec = plain(true);
    spec.max_attempts = 2;
    let mut bench = Bench::dispatched(spec);
    assert!(chooses(
        &bench.send(Event::Aborted(FIRST, Reason::BackendFailed))
    ));
    bench.send(Event::TargetChosen(target(2)));
    let actions = bench.send(Event::Refused(SECOND, Reason::Draining));
    assert_failure(&actions, Outcome::Unknown, Reason::Draining);
}

#[test]
fn proof_of_an_earlier_attempt_does_not_count_for_the_open_one() {
    let mut bench = Bench::dispatched(plain(false));
    bench.send(Event::Refused(FIRST, Reason::Draining));
    bench.send(Event::TargetChosen(target(2)));
    assert_eq!(bench.send(Event::Refused(FIRST, Reason::Draining)), vec![]);
    bench.send(Event::LinkLost(SECOND));
    assert_eq!(
        bench.send(Event::Cancelled(FIRST, CancelState::NeverStarts)),
        vec![]
    );
    assert!(!bench.call.is_done());
}

#[test]
fn late_frames_of_an_earlier_attempt_are_not_passed() {
    let mut bench = Bench::dispatched(plain(true));
    bench.send(Event::LinkLost(FIRST));
    bench.send(Event::Cancelled(FIRST, CancelState::Running));
    bench.send(Event::TargetChosen(target(2)));
    assert_eq!(bench.send(Event::Head(FIRST)), vec![]);
    bench.send(Event::Head(SECOND));
    assert_eq!(bench.send(Event::Chunk(FIRST, 0)), vec![]);
    assert_eq!(bench.send(Event::End(FIRST, 0)), vec![]);
    assert_eq!(
        bench.send(Event::Chunk(SECOND, 0)),
        vec![Action::ForwardChunk]
    );
    assert_eq!(bench.send(Event::End(SECOND, 1)), vec![Action::ForwardEnd]);
}

#[test]
fn begun_answer_is_never_restarted() {
    let breaks = [
        Event::LinkLost(FIRST),
        Event::Aborted(FIRST, Reason::BackendFailed),
        Event::Refused(FIRST, Reason::Draining),
        Event::NotSent(FIRST),
    ];
    for event in breaks {
        let mut bench = Bench::dispatched(plain(true));
        bench.send(Event::Head(FIRST));
        let actions = bench.send(event.clone());
        let outcome = failure(&actions).map(|(outcome, _)| outcome);
        assert_eq!(outcome, Some(Outcome::Unknown), "{event:?}");
        assert!(bench.call.is_done());
    }
}

#[test]
fn missing_chunk_does_not_end_cleanly() {
    for event in [Event::Chunk(FIRST, 2), Event::End(FIRST, 2)] {
        let mut bench = Bench::dispatched(plain(true));
        bench.send(Event::Head(FIRST));
        bench.send(Event::Chunk(FIRST, 0));
        let actions = bench.send(event);
        assert_failure(&actions, Outcome::Unknown, Reason::Protocol);
    }
}

#[test]
fn repeated_chunk_is_passed_once() {
    let mut bench = Bench::dispatched(plain(true));
    bench.send(Event::Head(FIRST));
    bench.send(Event::Chunk(FIRST, 0));
    assert_eq!(bench.send(Event::Chunk(FIRST, 0)), vec![]);
    assert_eq!(bench.send(Event::Head(FIRST)), vec![]);
    assert_eq!(bench.send(Event::End(FIRST, 1)), vec![Action::ForwardEnd]);
}

#[test]
fn hang_up_cancels_the_work() {
    let mut bench = Bench::dispatched(plain(false));
    let actions = bench.send(Event::CallerGone);
    assert!(matches!(actions[0], Action::Cancel { attempt: FIRST, .. }));
    assert_failure(&actions, Outcome::Unknown, Reason::CallerGone);
}

#[test]
fn call_of_a_paused_entry_is_not_dispatched_after_its_deadline() {
    let mut bench = Bench::new(plain(false));
    bench.send(Event::Start);
    bench.wait(DEADLINE);
    let actions = bench.send(Event::TargetChosen(target(1)));
    assert_failure(&actions, Outcome::NotRun, Reason::Deadline);
    assert_eq!(dispatched(&actions), None);
}

#[test]
fn retries_stop_when_the_budget_is_used_up() {
    let mut budget = RetryBudget::new(1);
    let mut bench = Bench::new(plain(false));
    std::mem::swap(&mut bench.budget, &mut budget);
    bench.send(Event::Start);
    bench.send(Event::TargetChosen(target(1)));
    bench.send(Event::NotSent(FIRST));
    bench.send(Event::TargetChosen(target(2)));
    let actions = bench.send(Event::Refused(SECOND, Reason::QueueFull));
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
