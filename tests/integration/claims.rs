//! Claims of calls with an idempotency key. Guards against an operation that runs again when the
//! call is repeated.

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

use crate::call_util::Harness;
use crate::call_util::answer;
use crate::call_util::assert_failure;
use crate::call_util::find_claim_write;
use crate::call_util::find_dispatch;
use crate::call_util::find_failure;
use crate::call_util::spec_with_key;
use crate::call_util::target;

/// Creates a call that repeats another one and has found its claim row; also returns that row and
/// the actions of the repeat.
fn repeat() -> (Harness, ClaimRow, Vec<Action>) {
    let (_, row) = Harness::claiming(1);
    let (mut harness, _) = Harness::claiming(2);
    let actions = harness.handle(Event::ClaimConflict(Box::new(row.clone()), 5));
    (harness, row, actions)
}

fn find_record(actions: &[Action]) -> Option<(ClaimState, Option<u64>)> {
    actions.iter().find_map(|action| match action {
        Action::RecordAnswer { row, replaces } => Some((row.state.clone(), *replaces)),
        _ => None,
    })
}

#[test]
fn nothing_is_dispatched_before_the_claim() {
    let (mut harness, row) = Harness::claiming(1);
    let actions = harness.handle(Event::ClaimWritten(5));
    assert_eq!(find_dispatch(&actions), Some((row.attempt, target(1))));
}

#[test]
fn unknown_claim_write_runs_nothing() {
    let (mut harness, _) = Harness::claiming(1);
    let actions = harness.handle(Event::ClaimUnavailable);
    assert_failure(&actions, Outcome::NotRun, Reason::StoreUnavailable);
}

#[test]
fn repeat_of_running_work_does_not_run() {
    let (mut harness, row, actions) = repeat();
    assert_eq!(actions, vec![Action::Lookup(Box::new(row))]);
    let actions = harness.handle(Event::LookedUp(LookupResult::Running));
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
        let (mut harness, ..) = repeat();
        let actions = harness.handle(event.clone());
        let expected = Some((Outcome::Unknown, Reason::OutcomeLost));
        assert_eq!(find_failure(&actions), expected, "{event:?}");
    }
}

#[test]
fn repeat_of_finished_work_gets_its_answer() {
    let (mut harness, ..) = repeat();
    let actions = harness.handle(Event::LookedUp(LookupResult::Finished(answer("booked"))));
    let state = ClaimState::Answered(Some(answer("booked")));
    assert_eq!(find_record(&actions), Some((state, Some(5))));
    assert_eq!(actions[1], Action::Replay(answer("booked")));
}

#[test]
fn takeover_replaces_only_the_row_that_was_looked_up() {
    let (mut harness, row, _) = repeat();
    let actions = harness.handle(Event::LookedUp(LookupResult::NeverStarts));
    let taken_over = find_claim_write(&actions);
    let replaces = Some(5);
    assert!(actions.contains(&Action::WriteClaim {
        row: Box::new(taken_over.clone()),
        replaces
    }));
    assert!(taken_over.attempt > row.attempt);
    let actions = harness.handle(Event::ClaimWritten(6));
    assert_eq!(
        find_dispatch(&actions),
        Some((taken_over.attempt, target(1)))
    );
}

#[test]
fn takeover_whose_response_is_lost_is_claimed_once() {
    // The response to the first write is lost and the old row is read back, so the write is
    // repeated. The first write then takes effect.
    let (mut harness, row, _) = repeat();
    let first = find_claim_write(&harness.handle(Event::LookedUp(LookupResult::NeverStarts)));
    let second = find_claim_write(&harness.handle(Event::ClaimConflict(Box::new(row), 5)));
    assert!(second.attempt > first.attempt);
    let actions = harness.handle(Event::ClaimConflict(Box::new(first), 6));
    assert_eq!(find_dispatch(&actions), None);
    let third = find_claim_write(&actions);
    let actions = harness.handle(Event::ClaimConflict(Box::new(third.clone()), 7));
    assert_eq!(find_dispatch(&actions), Some((third.attempt, target(1))));
}

#[test]
fn paused_owner_does_not_run_after_a_takeover() {
    let (mut owner, row) = Harness::claiming(1);
    owner.handle(Event::ClaimWritten(5));
    // The repeat has recorded a tombstone for the owner's attempt and replaced its row.
    owner.handle(Event::Refused(row.attempt, Reason::Tombstone));
    let actions = owner.handle(Event::TargetChosen(target(2)));
    assert!(matches!(
        &actions[..],
        [Action::WriteClaim {
            replaces: Some(5),
            ..
        }]
    ));
    let (mut repeat, _) = Harness::claiming(2);
    repeat.handle(Event::ClaimConflict(Box::new(row), 5));
    let taken_over = find_claim_write(&repeat.handle(Event::LookedUp(LookupResult::NeverStarts)));
    // The owner must not look up, and thereby cancel, the repeat's attempt.
    let actions = owner.handle(Event::ClaimConflict(Box::new(taken_over), 6));
    assert_failure(&actions, Outcome::Unknown, Reason::InProgress);
}

#[test]
fn each_attempt_is_claimed_before_it_is_dispatched() {
    let (mut harness, row) = Harness::claiming(1);
    harness.handle(Event::ClaimWritten(5));
    harness.handle(Event::Refused(row.attempt, Reason::QueueFull));
    let actions = harness.handle(Event::TargetChosen(target(2)));
    assert_eq!(find_dispatch(&actions), None);
    let row = find_claim_write(&actions);
    assert_eq!((row.attempt, row.agent), (Attempt(2), target(2).agent));
    // The table becomes unreachable. Its row names the first attempt, so the second must not run.
    let actions = harness.handle(Event::ClaimUnavailable);
    assert_failure(&actions, Outcome::NotRun, Reason::StoreUnavailable);
}

#[test]
fn proved_not_run_is_recorded_for_repeats() {
    let (mut harness, row) = Harness::claiming(1);
    harness.handle(Event::ClaimWritten(5));
    harness.handle(Event::Refused(row.attempt, Reason::QueueFull));
    let actions = harness.handle(Event::NoTarget(Reason::NoReplica));
    assert_eq!(find_record(&actions), Some((ClaimState::NotRun, Some(5))));
    let (mut repeat, _) = Harness::claiming(2);
    let row = Box::new(ClaimRow {
        state: ClaimState::NotRun,
        ..row
    });
    let actions = repeat.handle(Event::ClaimConflict(row, 6));
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
    let mut spec = spec_with_key(2);
    if let Some(key) = &mut spec.key {
        key.body_digest.0[0] = 9;
    }
    let (_, row) = Harness::claiming(1);
    let mut harness = Harness::new(spec);
    harness.handle(Event::Start);
    harness.handle(Event::TargetChosen(target(1)));
    let state = ClaimState::Answered(Some(answer("booked")));
    let actions = harness.handle(Event::ClaimConflict(Box::new(ClaimRow { state, ..row }), 5));
    assert_failure(&actions, Outcome::NotRun, Reason::KeyReused);
}

#[test]
fn lost_answer_of_own_finished_work_is_fetched() {
    let (mut harness, row) = Harness::claiming(1);
    harness.handle(Event::ClaimWritten(5));
    harness.handle(Event::LinkLost(row.attempt));
    let actions = harness.handle(Event::Cancelled(row.attempt, CancelState::Finished));
    assert!(actions.contains(&Action::Lookup(Box::new(row))));
    let actions = harness.handle(Event::LookedUp(LookupResult::Finished(answer("booked"))));
    assert_eq!(actions[1], Action::Replay(answer("booked")));
}

#[test]
fn outage_runs_without_a_claim_only_if_no_row_was_seen() {
    let mut spec = spec_with_key(1);
    if let Some(key) = &mut spec.key {
        key.on_outage = OnOutage::Run;
    }
    let mut harness = Harness::dispatched(spec.clone());
    assert!(find_dispatch(&harness.handle(Event::ClaimUnavailable)).is_some());
    let (_, row) = Harness::claiming(2);
    let mut harness = Harness::dispatched(spec);
    harness.handle(Event::ClaimConflict(Box::new(row), 5));
    harness.handle(Event::LookedUp(LookupResult::NeverStarts));
    let actions = harness.handle(Event::ClaimUnavailable);
    assert_failure(&actions, Outcome::NotRun, Reason::StoreUnavailable);
}

#[test]
fn claim_outlives_every_start_of_its_attempt() {
    let mut spec = spec_with_key(1);
    if let Some(key) = &mut spec.key {
        key.retention = Duration::from_secs(1);
    }
    let mut harness = Harness::new(spec);
    harness.handle(Event::Start);
    let row = find_claim_write(&harness.handle(Event::TargetChosen(target(1))));
    // Four windows of 30 s plus the 10 s until the deadline.
    assert_eq!(row.retention, Duration::from_secs(130));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn rows_survive_encoding(id: u128, window: u64, body: Vec<u8>, kind in 0..4u8) {
        let (_, row) = Harness::claiming(id);
        let state = match kind {
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
    fn invalid_text_is_an_error(text: String) {
        prop_assert!(claim::decode(&text).is_err());
    }
}

#[test]
fn answer_too_large_for_a_row_is_an_error() {
    let (_, row) = Harness::claiming(1);
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
