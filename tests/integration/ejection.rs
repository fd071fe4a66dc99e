//! Ejection of frozen, stalled, failing and slow replicas, its cap, and readmission.

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
use crate::choice::picker;
use crate::choice::seen;

fn verdict(picker: &Picker, agent: &AgentId, now: Time) -> Verdict {
    let explained = picker.explain(now);
    explained
        .iter()
        .find(|e| &e.agent == agent)
        .expect("a known replica")
        .verdict
}

/// Runs the probe timer from `from` to `to` ms; only `answering` replicas answer.
fn probe(picker: &mut Picker, from: u64, to: u64, answering: impl Fn(&AgentId) -> bool) {
    for at in (from..=to).step_by(250) {
        for asked in picker.take_due_probes(Time::from_millis(at)) {
            if answering(&asked) {
                picker.observe(&asked, seen(0), Time::from_millis(at + 1));
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

/// Share of 4,000 choices that go to a replica.
fn share(picker: &mut Picker, of: &AgentId, now: Time) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let mut choose = || {
        picker
            .choose(&Requirements::default(), now, &mut rng)
            .expect("some are usable")
    };
    (0..4_000).filter(|_| &choose().agent == of).count() as f64 / 4_000.0
}

// Guards against requests to a frozen process for longer than 3 s.
#[test]
fn frozen_is_ejected_within_3_s() {
    for phase in [0, 1, 100, 249] {
        let mut picker = picker(PolicyKind::Random);
        (0..4).for_each(|n| picker.observe(&agent(n), seen(0), Time(1)));
        probe(&mut picker, 250, 5_000, |_| true);
        // The last word of the replica falls anywhere between two runs of the timer.
        picker.observe(&agent(0), seen(0), Time::from_millis(5_000 + phase));
        probe(&mut picker, 5_250, 8_000 + phase, |a| *a != agent(0));
        let now = Time::from_millis(8_000 + phase);
        assert_eq!(
            verdict(&picker, &agent(0), now),
            Verdict::Silent,
            "phase {phase}"
        );
        assert_eq!(share(&mut picker, &agent(0), now), 0.0);
        assert_eq!(verdict(&picker, &agent(1), now), Verdict::Usable);
    }
}

// Guards against an entry that was paused itself and takes every replica for frozen.
#[test]
fn paused_entry_ejects_nobody() {
    let mut picker = picker(PolicyKind::Random);
    (0..4).for_each(|n| picker.observe(&agent(n), seen(0), Time(1)));
    probe(&mut picker, 250, 1_250, |_| false);
    let awake = Time::from_millis(20_000);
    assert_eq!(verdict(&picker, &agent(0), awake), Verdict::Usable);
    picker.take_due_probes(awake);
    assert_eq!(verdict(&picker, &agent(0), awake), Verdict::Usable);
}

// Guards against requests to a backend server that no longer makes progress.
#[test]
fn stalled_backend_is_ejected() {
    let mut picker = picker(PolicyKind::Random);
    (0..4).for_each(|n| picker.observe(&agent(n), seen(2), Time(1)));
    let idle = Duration::from_millis(1_600);
    let report = LoadReport {
        idle,
        ..seen(2).report
    };
    picker.observe(&agent(0), Observation { report, ..seen(2) }, Time(2));
    assert_eq!(verdict(&picker, &agent(0), Time(3)), Verdict::Stalled);
}

// Guards against a replica that drags the tail of the latency along.
#[test]
fn slow_outlier_is_ejected() {
    let mut picker = picker(PolicyKind::Random);
    (0..6).for_each(|n| picker.observe(&agent(n), seen(0), Time(1)));
    for _ in 0..40 {
        for n in 0..6 {
            let after = if n == 5 { 1_000 } else { 200 };
            picker.record_first_token(&agent(n), Duration::from_millis(after), Time(2));
        }
    }
    assert_eq!(verdict(&picker, &agent(5), Time(3)), Verdict::Slow);
    assert_eq!(verdict(&picker, &agent(0), Time(3)), Verdict::Usable);
}

// Guards against a burst of requests to a replica that has only just recovered.
#[test]
fn readmission_is_gradual() {
    let mut picker = picker(PolicyKind::Random);
    (0..4).for_each(|n| picker.observe(&agent(n), seen(0), Time(1)));
    fail(&mut picker, &agent(0), 3, Time::from_millis(1_000));
    picker.observe(&agent(0), seen(0), Time::from_millis(5_900));
    assert_eq!(
        verdict(&picker, &agent(0), Time::from_millis(5_900)),
        Verdict::Failed
    );
    assert_eq!(share(&mut picker, &agent(0), Time::from_millis(5_900)), 0.0);
    picker.take_due_probes(Time::from_millis(6_000));
    picker.observe(&agent(0), seen(0), Time::from_millis(6_000));
    let shares: Vec<f64> = [6_100, 11_000, 16_000]
        .map(|at| {
            picker.take_due_probes(Time::from_millis(at));
            (0..4).for_each(|n| picker.observe(&agent(n), seen(0), Time::from_millis(at)));
            share(&mut picker, &agent(0), Time::from_millis(at))
        })
        .to_vec();
    assert!(shares[0] > 0.0 && shares[0] < 0.05, "{shares:?}");
    assert!(shares[1] > 0.08 && shares[1] < 0.2, "{shares:?}");
    assert!(shares[2] > 0.22, "{shares:?}");
}

// Guards against a replica that fails again at once but returns as soon as the first time.
#[test]
fn repeated_ejection_is_longer() {
    let mut picker = picker(PolicyKind::Random);
    (0..4).for_each(|n| picker.observe(&agent(n), seen(0), Time(1)));
    fail(&mut picker, &agent(0), 3, Time::from_millis(0));
    picker.observe(&agent(0), seen(0), Time::from_millis(5_000));
    fail(&mut picker, &agent(0), 1, Time::from_millis(5_100));
    picker.observe(&agent(0), seen(0), Time::from_millis(15_000));
    assert_eq!(
        verdict(&picker, &agent(0), Time::from_millis(15_000)),
        Verdict::Failed
    );
    picker.observe(&agent(0), seen(0), Time::from_millis(15_100));
    assert_eq!(
        verdict(&picker, &agent(0), Time::from_millis(15_100)),
        Verdict::Readmitted
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    // Guards against failures that eject so many replicas that the rest is overloaded.
    #[test]
    fn ejected_share_is_capped(
        count in 1usize..16,
        failures in prop::collection::vec((0usize..16, any::<bool>()), 1..200),
    ) {
        let mut picker = picker(PolicyKind::Random);
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        (0..count).for_each(|n| picker.observe(&agent(n), seen(0), Time(1)));
        for (n, stalls) in failures {
            let agent = agent(n % count);
            if stalls {
                let report = LoadReport { idle: Duration::from_secs(9), ..seen(1).report };
                picker.observe(&agent, Observation { report, ..seen(1) }, Time(2));
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
