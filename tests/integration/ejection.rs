//! Ejection of frozen, stalled, failing and slow replicas, its limit, and readmission.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use siskinbend_routing::AttemptResult;
use siskinbend_routing::LoadReport;
use siskinbend_routing::Observation;
use siskinbend_routing::Picker;
use siskinbend_routing::PolicyKind;
use siskinbend_routing::Requirements;
use siskinbend_routing::Verdict;
use siskinbend_types::AgentId;
use siskinbend_types::Time;

use crate::choice::agent;
use crate::choice::observation;
use crate::choice::picker;

fn verdict(picker: &Picker, agent: &AgentId, now: Time) -> Verdict {
    let explained = picker.explain(now);
    explained
        .iter()
        .find(|e| &e.agent == agent)
        .expect("a known replica")
        .verdict
}

/// Runs the probe timer from `from` to `to` ms; only replicas for which `answering` holds answer.
fn probe(picker: &mut Picker, from: u64, to: u64, answering: impl Fn(&AgentId) -> bool) {
    for at in (from..=to).step_by(250) {
        for probed in picker.take_due_probes(Time::from_millis(at)) {
            if answering(&probed) {
                picker.observe(&probed, observation(0), Time::from_millis(at + 1));
            }
        }
    }
}

fn fail(picker: &mut Picker, agent: &AgentId, times: u32, now: Time) {
    for _ in 0..times {
        picker.record_dispatch(agent, now);
        picker.record_result(agent, AttemptResult::Failed, now);
    }
}

/// Returns the share of 4,000 choices that go to a replica.
fn share(picker: &mut Picker, replica: &AgentId, now: Time) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut choose = || {
        picker
            .choose(&Requirements::default(), now, &mut rng)
            .expect("some are usable")
    };
    (0..4_000).filter(|_| &choose().agent == replica).count() as f64 / 4_000.0
}

// Guards against requests that go to a frozen process for longer than 3 s.
#[test]
fn frozen_replica_is_ejected_within_3_s() {
    for offset in [0, 1, 100, 249] {
        let mut picker = picker(PolicyKind::Random);
        (0..4).for_each(|n| picker.observe(&agent(n), observation(0), Time(1)));
        probe(&mut picker, 250, 5_000, |_| true);
        // The last message from the replica arrives at some time between two runs of the timer.
        picker.observe(&agent(0), observation(0), Time::from_millis(5_000 + offset));
        probe(&mut picker, 5_250, 8_000 + offset, |a| *a != agent(0));
        let now = Time::from_millis(8_000 + offset);
        assert_eq!(
            verdict(&picker, &agent(0), now),
            Verdict::Silent,
            "offset {offset}"
        );
        assert_eq!(share(&mut picker, &agent(0), now), 0.0);
        assert_eq!(verdict(&picker, &agent(1), now), Verdict::Usable);
    }
}

// Guards against an entry that ejects every replica after it was itself paused.
#[test]
fn paused_entry_ejects_no_replica() {
    let mut picker = picker(PolicyKind::Random);
    (0..4).for_each(|n| picker.observe(&agent(n), observation(0), Time(1)));
    probe(&mut picker, 250, 1_250, |_| false);
    let resumed = Time::from_millis(20_000);
    assert_eq!(verdict(&picker, &agent(0), resumed), Verdict::Usable);
    picker.take_due_probes(resumed);
    assert_eq!(verdict(&picker, &agent(0), resumed), Verdict::Usable);
}

// Guards against requests to a backend server that no longer makes progress.
#[test]
fn stalled_backend_is_ejected() {
    let mut picker = picker(PolicyKind::Random);
    (0..4).for_each(|n| picker.observe(&agent(n), observation(2), Time(1)));
    let idle = Duration::from_millis(1_600);
    let report = LoadReport {
        idle,
        ..observation(2).report
    };
    picker.observe(
        &agent(0),
        Observation {
            report,
            ..observation(2)
        },
        Time(2),
    );
    assert_eq!(verdict(&picker, &agent(0), Time(3)), Verdict::Stalled);
}

// Guards against a slow replica that raises the tail latency.
#[test]
fn slow_outlier_is_ejected() {
    let mut picker = picker(PolicyKind::Random);
    (0..6).for_each(|n| picker.observe(&agent(n), observation(0), Time(1)));
    for _ in 0..40 {
        for n in 0..6 {
            let after = if n == 5 { 1_000 } else { 200 };
            picker.record_first_token(&agent(n), Duration::from_millis(after), Time(2));
        }
    }
    assert_eq!(verdict(&picker, &agent(5), Time(3)), Verdict::Slow);
    assert_eq!(verdict(&picker, &agent(0), Time(3)), Verdict::Usable);
}

// Guards against a burst of requests to a replica that has just recovered.
#[test]
fn readmission_is_gradual() {
    let mut picker = picker(PolicyKind::Random);
    (0..4).for_each(|n| picker.observe(&agent(n), observation(0), Time(1)));
    fail(&mut picker, &agent(0), 3, Time::from_millis(1_000));
    picker.observe(&agent(0), observation(0), Time::from_millis(5_900));
    assert_eq!(
        verdict(&picker, &agent(0), Time::from_millis(5_900)),
        Verdict::Failed
    );
    assert_eq!(share(&mut picker, &agent(0), Time::from_millis(5_900)), 0.0);
    picker.take_due_probes(Time::from_millis(6_000));
    picker.observe(&agent(0), observation(0), Time::from_millis(6_000));
    let shares: Vec<f64> = [6_100, 11_000, 16_000]
        .map(|at| {
            picker.take_due_probes(Time::from_millis(at));
            (0..4).for_each(|n| picker.observe(&agent(n), observation(0), Time::from_millis(at)));
            share(&mut picker, &agent(0), Time::from_millis(at))
        })
        .to_vec();
    assert!(shares[0] > 0.0 && shares[0] < 0.05, "{shares:?}");
    assert!(shares[1] > 0.08 && shares[1] < 0.2, "{shares:?}");
    assert!(shares[2] > 0.22, "{shares:?}");
}

// Guards against a replica that fails again after its readmission and is ejected for no longer than
// the first time.
#[test]
fn repeated_ejection_is_longer() {
    let mut picker = picker(PolicyKind::Random);
    (0..4).for_each(|n| picker.observe(&agent(n), observation(0), Time(1)));
    fail(&mut picker, &agent(0), 3, Time::from_millis(0));
    picker.observe(&agent(0), observation(0), Time::from_millis(5_000));
    fail(&mut picker, &agent(0), 1, Time::from_millis(5_100));
    picker.observe(&agent(0), observation(0), Time::from_millis(15_000));
    assert_eq!(
        verdict(&picker, &agent(0), Time::from_millis(15_000)),
        Verdict::Failed
    );
    picker.observe(&agent(0), observation(0), Time::from_millis(15_100));
    assert_eq!(
        verdict(&picker, &agent(0), Time::from_millis(15_100)),
        Verdict::Readmitted
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    // Guards against ejecting so many replicas that the others are overloaded.
    #[test]
    fn ejected_share_is_capped(
        count in 1usize..16,
        failures in prop::collection::vec((0usize..16, any::<bool>()), 1..200),
    ) {
        let mut picker = picker(PolicyKind::Random);
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        (0..count).for_each(|n| picker.observe(&agent(n), observation(0), Time(1)));
        for (n, stalls) in failures {
            let agent = agent(n % count);
            if stalls {
                let report = LoadReport { idle: Duration::from_secs(9), ..observation(1).report };
                picker.observe(&agent, Observation { report, ..observation(1) }, Time(2));
            } else {
                fail(&mut picker, &agent, 3, Time(2));
            }
            let usable = |v: Verdict| v == Verdict::Usable;
            let ejected = picker.explain(Time(3)).iter().filter(|e| !usable(e.verdict)).count();
            prop_assert!(ejected as f64 <= 0.34 * count as f64, "{} of {}", ejected, count);
            prop_assert!(picker.choose(&Requirements::default(), Time(3), &mut rng).is_ok());
        }
    }
}
