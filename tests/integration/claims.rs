//! Claims of keyed calls; guards against an operation that runs again through a repeat.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use siskinbend_request::Action;
use siskinbend_request::CancelState;
use siskinbend_request::ClaimError;
use siskinbend_request::ClaimRow;
use siskinbend_request::ClaimState;
use siskinbend_request::Event;
use siskinbend_request::LookupResult;
use siskinbend_request::OnOutage;
use siskinbend_request::claim;
use siskinbend_types::Attempt;
use siskinbend_types::Outcome;
use siskinbend_types::Reason;

use crate::call_util::Bench;
use crate::call_util::answer;
use crate::call_util::assert_failure;
use crate::call_util::dispatched;
use crate::call_util::failure;
use crate::call_util::keyed;
use crate::call_util::target;
use crate::call_util::written_row;

/// The row of the first call and a repeat that has found it.
fn repeat() -> (Bench, ClaimRow, Vec<Action>) {
    let (_, row) = Bench::claiming(1);
    let (mut bench, _) = Bench::claiming(2);
    let actions = bench.send(Event::ClaimConflict(Box::new(row.clone()), 5));
    (bench, row, actions)
}

fn recorded(actions: &[Action]) -> Option<(ClaimState, Option<u64>)> {
    actions.iter().find_map(|action| match action {
        Action::RecordAnswer { row, replaces } => Some((row.state.clone(), *replaces)),
        _ => None,
    })
}

#[test]
fn nothing_is_dispatched_before_the_claim() {
    let (mut bench, row) = Bench::claiming(1);
    let actions = bench.send(Event::ClaimWritten(5));
    assert_eq!(dispatched(&actions), Some((row.attempt, target(1))));
}

#[test]
fn unknown_claim_write_runs_nothing() {
    let (mut bench, _) = Bench::claiming(1);
    let actions = bench.send(Event::ClaimUnavailable);
    assert_failure(&actions, Outcome::NotRun, Reason::StoreUnavailable);
}

#[test]
fn repeat_of_running_work_does_not_run() {
    let (mut bench, row, actions) = repeat();
    assert_eq!(actions, vec![Action::Lookup(Box::new(row))]);
    let actions = bench.send(Event::LookedUp(LookupResult::Running));
    assert_failure(&actions, Outcome::Unknown, Reason::InProgress);
}

#[test]
fn repeat_after_the_agent_is_gone_does_not_run() {
    let lost = [
        Event::LookupFailed,
        Event::LookedUp(LookupResult::OtherIncarnation),
        Event::LookedUp(LookupResult::Forgotten),
        Event::LookedUp(LookupResult::FinishedWithoutAnswer),
    ];
    for event in lost {
        let (mut bench, ..) = repeat();
        let actions = bench.send(event.clone());
        let expected = Some((Outcome::Unknown, Reason::OutcomeLost));
        assert_eq!(failure(&actions), expected, "{event:?}");
    }
}

#[test]
fn repeat_of_finished_work_gets_its_answer() {
    let (mut bench, ..) = repeat();
    let actions = bench.send(Event::LookedUp(LookupResult::Finished(answer("booked"))));
    let state = ClaimState::Answered(Some(answer("booked")));
    assert_eq!(recorded(&actions), Some((state, Some(5))));
    assert_eq!(actions[1], Action::Replay(answer("booked")));
}

#[test]
fn takeover_replaces_exactly_the_row_that_was_asked_about() {
    let (mut bench, row, _) = repeat();
    let actions = bench.send(Event::LookedUp(LookupResult::NeverStarts));
    let taken = written_row(&actions);
    let replaces = Some(5);
    assert!(actions.contains(&Action::WriteClaim {
        row: Box::new(taken.clone()),
        replaces
    }));
    assert!(taken.attempt > row.attempt);
    let actions = bench.send(Event::ClaimWritten(6));
    assert_eq!(dispatched(&actions), Some((taken.attempt, target(1))));
}

#[test]
fn takeover_whose_response_is_lost_is_claimed_once() {
    // The write was delayed: the old row is read back and the write is sent again; then the
    // first one turns out to have taken effect.
    let (mut bench, row, _) = repeat();
    let first = written_row(&bench.send(Event::LookedUp(LookupResult::NeverStarts)));
    let second = written_row(&bench.send(Event::ClaimConflict(Box::new(row), 5)));
    assert!(second.attempt > first.attempt);
    let actions = bench.send(Event::ClaimConflict(Box::new(first), 6));
    assert_eq!(dispatched(&actions), None);
    let third = written_row(&actions);
    let actions = bench.send(Event::ClaimConflict(Box::new(third.clone()), 7));
    assert_eq!(dispatched(&actions), Some((third.attempt, target(1))));
}

#[test]
fn paused_owner_does_not_run_after_a_takeover() {
    let (mut owner, row) = Bench::claiming(1);
    owner.send(Event::ClaimWritten(5));
    // The repeat left a tombstone for the owner's attempt and replaced its row.
    owner.send(Event::Refused(row.attempt, Reason::Tombstone));
    let actions = owner.send(Event::TargetChosen(target(2)));
    assert!(matches!(
        &actions[..],
        [Action::WriteClaim {
            replaces: Some(5),
            ..
        }]
    ));
    let (mut repeat, _) = Bench::claiming(2);
    repeat.send(Event::ClaimConflict(Box::new(row), 5));
    let taken = written_row(&repeat.send(Event::LookedUp(LookupResult::NeverStarts)));
    // It doesn't cancel the repeat in turn.
    let actions = owner.send(Event::ClaimConflict(Box::new(taken), 6));
    assert_failure(&actions, Outcome::Unknown, Reason::InProgress);
}

#[test]
fn each_attempt_is_claimed_before_it_is_dispatched() {
    let (mut bench, row) = Bench::claiming(1);
    bench.send(Event::ClaimWritten(5));
    bench.send(Event::Refused(row.attempt, Reason::QueueFull));
    let actions = bench.send(Event::TargetChosen(target(2)));
    assert_eq!(dispatched(&actions), None);
    let row = written_row(&actions);
    assert_eq!((row.attempt, row.agent), (Attempt(2), target(2).agent));
    // The table fails now; the row names the first attempt, so the second must not run.
    let actions = bench.send(Event::ClaimUnavailable);
    assert_failure(&actions, Outcome::NotRun, Reason::StoreUnavailable);
}

#[test]
fn proved_not_run_is_recorded_for_repeats() {
    let (mut bench, row) = Bench::claiming(1);
    bench.send(Event::ClaimWritten(5));
    bench.send(Event::Refused(row.attempt, Reason::QueueFull));
    let actions = bench.send(Event::NoTarget(Reason::NoReplica));
    assert_eq!(recorded(&actions), Some((ClaimState::NotRun, Some(5))));
    let (mut repeat, _) = Bench::claiming(2);
    let row = Box::new(ClaimRow {
        state: ClaimState::NotRun,
        ..row
    });
    let actions = repeat.send(Event::ClaimConflict(row, 6));
    assert!(matches!(
        &actions[..],
        [Action::WriteClaim {
            replaces: Some(6),
            ..
        }]
    ));
}

#[test]
fn reused_key_does_not_get_the_answer_of_another_body() {
    let mut spec = keyed(2);
    if let Some(key) = &mut spec.key {
        key.body_digest.0[0] = 9;
    }
    let (_, row) = Bench::claiming(1);
    let mut bench = Bench::new(spec);
    bench.send(Event::Start);
    bench.send(Event::TargetChosen(target(1)));
    let state = ClaimState::Answered(Some(answer("booked")));
    let actions = bench.send(Event::ClaimConflict(Box::new(ClaimRow { state, ..row }), 5));
    assert_failure(&actions, Outcome::NotRun, Reason::KeyReused);
}

#[test]
fn lost_answer_of_own_finished_work_is_fetched() {
    let (mut bench, row) = Bench::claiming(1);
    bench.send(Event::ClaimWritten(5));
    bench.send(Event::LinkLost(row.attempt));
    let actions = bench.send(Event::Cancelled(row.attempt, CancelState::Finished));
    assert!(actions.contains(&Action::Lookup(Box::new(row))));
    let actions = bench.send(Event::LookedUp(LookupResult::Finished(answer("booked"))));
    assert_eq!(actions[1], Action::Replay(answer("booked")));
}

#[test]
fn outage_runs_without_a_claim_only_if_no_row_was_seen() {
    let mut spec = keyed(1);
    if let Some(key) = &mut spec.key {
        key.on_outage = OnOutage::Run;
    }
    let mut bench = Bench::dispatched(spec.clone());
    assert!(dispatched(&bench.send(Event::ClaimUnavailable)).is_some());
    let (_, row) = Bench::claiming(2);
    let mut bench = Bench::dispatched(spec);
    bench.send(Event::ClaimConflict(Box::new(row), 5));
    bench.send(Event::LookedUp(LookupResult::NeverStarts));
    let actions = bench.send(Event::ClaimUnavailable);
    assert_failure(&actions, Outcome::NotRun, Reason::StoreUnavailable);
}

#[test]
fn claim_outlives_every_start_of_its_attempt() {
    let mut spec = keyed(1);
    if let Some(key) = &mut spec.key {
        key.retention = Duration::from_secs(1);
    }
    let mut bench = Bench::new(spec);
    bench.send(Event::Start);
    let row = written_row(&bench.send(Event::TargetChosen(target(1))));
    // Four windows of 30 s and the 10 s until the deadline.
    assert_eq!(row.retention, Duration::from_secs(130));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn rows_survive_their_text_form(id: u128, window: u64, body: Vec<u8>, kept in 0..4u8) {
        let (_, row) = Bench::claiming(id);
        let state = match kept {
            0 => ClaimState::Claimed,
            1 => ClaimState::NotRun,
            2 => ClaimState::Answered(None),
            _ => ClaimState::Answered(Some(siskinbend_request::StoredAnswer {
                body,
                ..answer("")
            })),
        };
        let row = ClaimRow { state, window: siskinbend_types::Window(window), ..row };
        let text = claim::encode(&row).unwrap();
        prop_assert_eq!(claim::decode(&text), Ok(row));
    }

    #[test]
    fn foreign_text_is_an_error(text: String) {
        prop_assert!(claim::decode(&text).is_err());
    }
}

#[test]
fn answer_too_large_for_a_row_is_an_error() {
    let (_, row) = Bench::claiming(1);
    let large = answer(&"x".repeat(claim::MAX_STORED_BYTES + 1));
    let row = ClaimRow {
        state: ClaimState::Answered(Some(large)),
        ..row
    };
    assert_eq!(
        claim::encode(&row),
        Err(ClaimError::AnswerTooLarge(claim::MAX_STORED_BYTES + 1))
    );
}
