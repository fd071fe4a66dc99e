//! Random event sequences for the state machines of a request. Guards against interleavings that no
//! other test covers.

use std::collections::BTreeMap;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use siskinbend_measure::requests::Counts;
use siskinbend_measure::requests::Faults;
use siskinbend_measure::requests::World;
use siskinbend_request::Action;
use siskinbend_request::CallSpec;
use siskinbend_request::CancelState;
use siskinbend_request::ClaimState;
use siskinbend_request::Event;
use siskinbend_request::LookupResult;
use siskinbend_request::OnOutage;
use siskinbend_types::Attempt;
use siskinbend_types::Outcome;
use siskinbend_types::Reason;

use crate::call_util::Harness;
use crate::call_util::answer;
use crate::call_util::spec_with_key;
use crate::call_util::spec_without_key;
use crate::call_util::target;

fn run_world(seed: u64, count: u32, faults: Faults) -> Counts {
    let mut world = World::new(seed, count, faults);
    world.run();
    world.oracle.counts()
}

fn assert_no_violations(seed: u64, counts: &Counts) {
    let faults = [
        counts.ran_twice,
        counts.false_not_run,
        counts.mixed_answers,
        counts.undetected_truncations,
        counts.missing_claims,
    ];
    assert_eq!(faults, [0; 5], "seed {seed}: {counts}");
}

#[test]
fn faults_of_processes_network_and_table_cause_no_false_outcome() {
    for seed in 100..105 {
        let counts = run_world(seed, 10_000, Faults::default());
        assert_no_violations(seed, &counts);
        assert!(counts.answered > 0, "seed {seed}: {counts}");
        let sparse = Faults {
            request_interval_us: 30_000,
            fault_interval_us: 300_000,
            max_freeze_us: 20_000_000,
            ..Faults::default()
        };
        assert_no_violations(seed, &run_world(seed, 5_000, sparse));
    }
}

#[test]
fn copied_and_shuffled_messages_cause_no_false_outcome() {
    for seed in 200..203 {
        let faults = Faults {
            duplicates: 0.3,
            delayed: 0.2,
            reordered: 1.0,
            ..Faults::default()
        };
        assert_no_violations(seed, &run_world(seed, 10_000, faults));
    }
}

#[test]
fn same_seed_gives_the_same_counts() {
    let run = || run_world(7, 3_000, Faults::default());
    assert_eq!(run(), run());
}

/// Generates one event; the attempt numbers are close to those in use.
fn event() -> impl Strategy<Value = Event> {
    let attempt = || (1..5u32).prop_map(Attempt);
    let reason = || prop::sample::select(Reason::ALL);
    let state = prop::sample::select(vec![
        CancelState::NeverStarts,
        CancelState::Running,
        CancelState::Finished,
        CancelState::OtherIncarnation,
        CancelState::Forgotten,
    ]);
    let found = prop::sample::select(vec![
        LookupResult::NeverStarts,
        LookupResult::Running,
        LookupResult::Forgotten,
        LookupResult::Finished(answer("booked")),
    ]);
    let conflict = (2..5u128, 1..4u32, 0..3u8).prop_map(|(id, attempt, state)| {
        let (_, mut row) = Harness::claiming(id);
        row.attempt = Attempt(attempt);
        row.state = match state {
            0 => ClaimState::Claimed,
            1 => ClaimState::NotRun,
            _ => ClaimState::Answered(None),
        };
        Event::ClaimConflict(Box::new(row), 7)
    });
    prop_oneof![
        4 => (0..4u64).prop_map(|agent| Event::TargetChosen(target(agent))),
        4 => (1..9u64).prop_map(Event::ClaimWritten),
        2 => conflict,
        1 => Just(Event::ClaimUnavailable),
        1 => found.prop_map(Event::LookedUp),
        1 => Just(Event::LookupFailed),
        1 => attempt().prop_map(Event::NotSent),
        2 => attempt().prop_map(Event::Accepted),
        3 => (attempt(), reason()).prop_map(|(a, r)| Event::Refused(a, r)),
        3 => attempt().prop_map(Event::Head),
        3 => (attempt(), 0..3u64).prop_map(|(a, i)| Event::Chunk(a, i)),
        2 => (attempt(), 0..3u64).prop_map(|(a, n)| Event::End(a, n)),
        1 => (attempt(), reason()).prop_map(|(a, r)| Event::Aborted(a, r)),
        2 => attempt().prop_map(Event::LinkLost),
        1 => attempt().prop_map(Event::Resumed),
        1 => attempt().prop_map(Event::NotResumed),
        3 => (attempt(), state).prop_map(|(a, s)| Event::Cancelled(a, s)),
        2 => Just(Event::Timer),
        1 => Just(Event::NoTarget(Reason::NoReplica)),
    ]
}

/// Returns the attempt that the event proves never to run.
fn find_proof(event: &Event) -> Option<Attempt> {
    match event {
        Event::NotSent(attempt) | Event::Cancelled(attempt, CancelState::NeverStarts) => {
            Some(*attempt)
        }
        Event::Refused(attempt, reason) => {
            let proof = !matches!(reason, Reason::Duplicate | Reason::OutcomeLost);
            proof.then_some(*attempt)
        }
        _ => None,
    }
}

/// Passes the events to a call and checks its actions against a simple record of its attempts.
fn check_call(spec: CallSpec, events: Vec<(Event, u64)>) -> Result<(), TestCaseError> {
    let idempotent = spec.idempotent;
    let mut harness = Harness::new(spec);
    // Dispatched attempts, and whether an event has proved that they never run.
    let mut attempts: BTreeMap<Attempt, bool> = BTreeMap::new();
    let mut answer_started = false;
    let mut ends = 0;
    harness.handle(Event::Start);
    for (event, wait) in events {
        harness.advance(wait);
        if let Some(proved) = find_proof(&event).and_then(|a| attempts.get_mut(&a)) {
            *proved = true;
        }
        for action in harness.handle(event) {
            let recorded = matches!(action, Action::RecordAnswer { .. });
            prop_assert!(ends == 0 || recorded, "{:?} follows the end", action);
            match action {
                Action::Dispatch { attempt, .. } => {
                    prop_assert!(!answer_started, "dispatched after the answer began");
                    prop_assert!(idempotent || attempts.values().all(|proved| *proved));
                    prop_assert!(attempts.insert(attempt, false).is_none());
                }
                Action::ForwardHead => answer_started = true,
                Action::ForwardChunk => prop_assert!(answer_started),
                Action::ForwardEnd => {
                    prop_assert!(answer_started);
                    ends += 1;
                }
                Action::Replay(_) => {
                    prop_assert!(!answer_started);
                    ends += 1;
                }
                Action::Fail { outcome, .. } => {
                    let proved = attempts.values().all(|proved| *proved) && !answer_started;
                    prop_assert!(proved || outcome == Outcome::Unknown, "{attempts:?}");
                    ends += 1;
                }
                _ => {}
            }
        }
        prop_assert_eq!(ends == 1, harness.call.is_done());
    }
    prop_assert!(attempts.len() <= 3);
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_event_order_causes_a_false_outcome(
        kind in 0..4u8,
        resume: bool,
        events in prop::collection::vec((event(), 0..1_500u64), 1..40),
    ) {
        let mut spec = match kind {
            0 => spec_without_key(true),
            1 => spec_without_key(false),
            _ => spec_with_key(1),
        };
        spec.resumable = resume;
        if let (3, Some(key)) = (kind, &mut spec.key) {
            key.on_outage = OnOutage::Run;
        }
        check_call(spec, events)?;
    }
}
