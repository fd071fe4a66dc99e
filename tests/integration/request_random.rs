//! Random runs over the machines of a request; guards against interleavings nobody thought of.

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

use crate::call_util::Bench;
use crate::call_util::answer;
use crate::call_util::keyed;
use crate::call_util::plain;
use crate::call_util::target;

fn run_world(seed: u64, count: u32, faults: Faults) -> Counts {
    let mut world = World::new(seed, count, faults);
    world.run();
    world.oracle.counts()
}

fn assert_sound(seed: u64, counts: &Counts) {
    let faults = [
        counts.ran_twice,
        counts.false_not_run,
        counts.crossed,
        counts.cut_unseen,
        counts.unheld,
    ];
    assert_eq!(faults, [0; 5], "seed {seed}: {counts}");
}

#[test]
fn faults_of_processes_network_and_table_cause_no_false_outcome() {
    for seed in 100..105 {
        let counts = run_world(seed, 10_000, Faults::default());
        assert_sound(seed, &counts);
        assert!(counts.answered > 0, "seed {seed}: {counts}");
        let sparse = Faults {
            gap_us: 30_000,
            interval_us: 300_000,
            freeze_us: 20_000_000,
            ..Faults::default()
        };
        assert_sound(seed, &run_world(seed, 5_000, sparse));
    }
}

#[test]
fn copied_and_shuffled_messages_cause_no_false_outcome() {
    for seed in 200..203 {
        let faults = Faults {
            copies: 0.3,
            late: 0.2,
            shuffled: 1.0,
            ..Faults::default()
        };
        assert_sound(seed, &run_world(seed, 10_000, faults));
    }
}

#[test]
fn same_seed_gives_the_same_counts() {
    let run = || run_world(7, 3_000, Faults::default());
    assert_eq!(run(), run());
}

/// One random event; numbers of attempts are near those in use.
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
    let held = (2..5u128, 1..4u32, 0..3u8).prop_map(|(id, attempt, state)| {
        let (_, mut row) = Bench::claiming(id);
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
        2 => held,
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

/// Whether the event proves that its attempt never runs.
fn proves(event: &Event) -> Option<Attempt> {
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

/// Drives a call with the events and compares it with a plain account of its attempts.
fn check_call(spec: CallSpec, events: Vec<(Event, u64)>) -> Result<(), TestCaseError> {
    let idempotent = spec.idempotent;
    let mut bench = Bench::new(spec);
    // Dispatched attempts, and whether a proof came while they were open.
    let mut attempts: BTreeMap<Attempt, bool> = BTreeMap::new();
    let mut begun = false;
    let mut ends = 0;
    bench.send(Event::Start);
    for (event, wait) in events {
        bench.wait(wait);
        if let Some(proved) = proves(&event).and_then(|a| attempts.get_mut(&a)) {
            *proved = true;
        }
        for action in bench.send(event) {
            let recorded = matches!(action, Action::RecordAnswer { .. });
            prop_assert!(ends == 0 || recorded, "{:?} follows the end", action);
            match action {
                Action::Dispatch { attempt, .. } => {
                    prop_assert!(!begun, "dispatched after the answer began");
                    prop_assert!(idempotent || attempts.values().all(|proved| *proved));
                    prop_assert!(attempts.insert(attempt, false).is_none());
                }
                Action::ForwardHead => begun = true,
                Action::ForwardChunk => prop_assert!(begun),
                Action::ForwardEnd => {
                    prop_assert!(begun);
                    ends += 1;
                }
                Action::Replay(_) => {
                    prop_assert!(!begun);
                    ends += 1;
                }
                Action::Fail { outcome, .. } => {
                    let proved = attempts.values().all(|proved| *proved) && !begun;
                    prop_assert!(proved || outcome == Outcome::Unknown, "{attempts:?}");
                    ends += 1;
                }
                _ => {}
            }
        }
        prop_assert_eq!(ends == 1, bench.call.is_done());
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
    fn no_order_of_events_gives_a_false_outcome(
        kind in 0..4u8,
        resume: bool,
        events in prop::collection::vec((event(), 0..1_500u64), 1..40),
    ) {
        let mut spec = match kind {
            0 => plain(true),
            1 => plain(false),
            _ => keyed(1),
        };
        spec.resumable = resume;
        if let (3, Some(key)) = (kind, &mut spec.key) {
            key.on_outage = OnOutage::Run;
        }
        check_call(spec, events)?;
    }
}
