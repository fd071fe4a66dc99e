//! Choice of a replica: draining, outdated reports, prefix affinity and zones.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use siskinbend_routing::AttemptResult;
use siskinbend_routing::Feature;
use siskinbend_routing::LoadReport;
use siskinbend_routing::Observation;
use siskinbend_routing::Picker;
use siskinbend_routing::PolicyKind;
use siskinbend_routing::Requirements;
use siskinbend_routing::Verdict;
use siskinbend_routing::picker::Settings;
use siskinbend_routing::subset::Member;
use siskinbend_routing::subset::pick_subset;
use siskinbend_types::AgentId;
use siskinbend_types::Incarnation;
use siskinbend_types::Reason;
use siskinbend_types::Time;
use siskinbend_types::Window;
use siskinbend_types::Zone;

pub fn agent(n: usize) -> AgentId {
    format!("agent-{n}").parse().expect("a valid name")
}

pub fn zone(n: usize) -> Zone {
    format!("zone-{n}").parse().expect("a valid name")
}

/// A message from an agent in zone 0 that runs `running` requests in 16 slots.
pub fn observation(running: u32) -> Observation {
    Observation {
        incarnation: Incarnation(1),
        window: Window(1),
        zone: zone(0),
        draining: false,
        report: LoadReport {
            running,
            slots: 16,
            ..LoadReport::default()
        },
        report_age: Duration::ZERO,
    }
}

pub fn picker(policy: PolicyKind) -> Picker {
    Picker::new(
        Settings {
            policy,
            ..Settings::default()
        },
        zone(0),
    )
}

fn idle_picker(count: usize) -> Picker {
    let mut picker = picker(PolicyKind::Siskinbend);
    (0..count).for_each(|n| picker.observe(&agent(n), observation(0), Time(1)));
    picker
}

// Guards against requests to a draining replica, also after one of its earlier messages arrives
// late.
#[test]
fn draining_is_never_chosen() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut picker = idle_picker(3);
    picker.observe(
        &agent(0),
        Observation {
            draining: true,
            ..observation(0)
        },
        Time(2),
    );
    picker.observe(&agent(0), observation(0), Time(3));
    picker.record_dispatch(&agent(1), Time(3));
    picker.record_result(&agent(1), AttemptResult::Refused(Reason::Draining), Time(4));
    for _ in 0..200 {
        let choice = picker
            .choose(&Requirements::default(), Time(5), &mut rng)
            .expect("one is left");
        assert_eq!(choice.agent, agent(2));
    }
    picker.observe(
        &agent(2),
        Observation {
            draining: true,
            ..observation(0)
        },
        Time(6),
    );
    assert_eq!(
        picker.choose(&Requirements::default(), Time(7), &mut rng),
        Err(Reason::Draining)
    );
}

/// Returns the load of each of 12 replicas after 8 entries with the same reports sent 12 requests
/// each.
fn simulate_entries(policy: PolicyKind) -> Vec<u32> {
    let mut loads = vec![5; 12];
    loads[0] = 0;
    let start = loads.clone();
    for entry in 0..8 {
        let mut rng = ChaCha8Rng::seed_from_u64(entry);
        let mut picker = picker(policy);
        (0..12).for_each(|n| picker.observe(&agent(n), observation(start[n]), Time(1)));
        for _ in 0..12 {
            let choice = picker
                .choose(&Requirements::default(), Time(2), &mut rng)
                .expect("all usable");
            picker.record_dispatch(&choice.agent, Time(2));
            let at = (0..12)
                .find(|n| agent(*n) == choice.agent)
                .expect("a known agent");
            loads[at] += 1;
        }
    }
    loads
}

// Guards against entries that all choose the replica that is idle according to the same outdated
// report.
#[test]
fn stale_reports_cause_no_herding() {
    let limit = |loads: &[u32]| 2 * loads.iter().sum::<u32>() / 12;
    let own = simulate_entries(PolicyKind::Siskinbend);
    assert!(own.iter().all(|load| *load <= limit(&own)), "{own:?}");
    let baseline = simulate_entries(PolicyKind::LeastReported);
    assert!(
        baseline[0] > limit(&baseline),
        "the case is too easy: {baseline:?}"
    );
}

// Guards against a dispatch that is counted twice or not at all because a report arrives late.
#[test]
fn late_report_is_corrected() {
    let mut picker = idle_picker(1);
    for at in [8_500, 8_600, 9_500, 9_600, 9_700] {
        picker.record_dispatch(&agent(0), Time::from_millis(at));
    }
    picker.record_result(
        &agent(0),
        AttemptResult::Cancelled,
        Time::from_millis(9_800),
    );
    let late = Observation {
        report_age: Duration::from_secs(1),
        ..observation(8)
    };
    picker.observe(&agent(0), late, Time::from_millis(10_000));
    // After the report was made, three attempts were sent and one ended. The report shows twice the
    // four attempts of this entry, so one other entry is assumed and counts with half the weight.
    assert_eq!(
        picker.explain(Time::from_millis(10_000))[0].load,
        (8.0 + 2.0 * 1.5) / 16.0
    );
}

// Guards against a frequent prefix that overloads the replica that caches it.
#[test]
fn prefix_affinity_is_bounded() {
    let mut rng = ChaCha8Rng::seed_from_u64(2);
    let requirements = Requirements {
        prefix: Some(7),
        ..Requirements::default()
    };
    let mut picker = idle_picker(12);
    let first = picker
        .choose(&requirements, Time(2), &mut rng)
        .expect("all usable");
    for _ in 0..50 {
        assert_eq!(
            picker.choose(&requirements, Time(2), &mut rng),
            Ok(first.clone())
        );
    }
    for _ in 0..96 {
        let choice = picker
            .choose(&requirements, Time(2), &mut rng)
            .expect("all usable");
        picker.record_dispatch(&choice.agent, Time(2));
    }
    // 1.25 times the mean of 8, plus one request before and one after the comparison.
    let highest = picker.explain(Time(2)).iter().map(|e| e.outstanding).max();
    assert!(
        highest <= Some(12),
        "{highest:?} of 96 on one of 12 replicas"
    );
}

// Guards against unnecessary traffic between zones, and against a zone that is overloaded while
// others are idle.
#[test]
fn own_zone_is_preferred_until_it_is_loaded() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut picker = picker(PolicyKind::Siskinbend);
    for n in 0..6 {
        picker.observe(
            &agent(n),
            Observation {
                zone: zone(n % 2),
                ..observation(4)
            },
            Time(1),
        );
    }
    let mut remote = |picker: &mut Picker| {
        let mut choose = || {
            picker
                .choose(&Requirements::default(), Time(2), &mut rng)
                .expect("usable")
        };
        let local = [agent(0), agent(2), agent(4)];
        (0..1_000)
            .filter(|_| !local.contains(&choose().agent))
            .count()
    };
    assert_eq!(remote(&mut picker), 0);
    for n in [0, 2, 4] {
        picker.observe(&agent(n), observation(16), Time(2));
    }
    let moved = remote(&mut picker);
    assert!(moved > 900, "{moved} of 1,000 left the full zone");
}

// Guards against a request for an adapter that reaches an engine without it, also after the engine
// lost the adapter by a restart.
#[test]
fn required_features_are_met() {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut picker = idle_picker(6);
    let features = vec![Feature::Adapter("ladders".into())];
    picker.set_features(&agent(4), features.clone());
    let requirements = Requirements {
        features,
        ..Requirements::default()
    };
    for _ in 0..100 {
        let choice = picker.choose(&requirements, Time(2), &mut rng);
        assert_eq!(choice.map(|c| c.agent), Ok(agent(4)));
    }
    picker.observe(
        &agent(4),
        Observation {
            incarnation: Incarnation(2),
            ..observation(0)
        },
        Time(3),
    );
    assert_eq!(
        picker.choose(&requirements, Time(3), &mut rng),
        Err(Reason::NoReplica)
    );
}

// Guards against an entry that depends on one zone, and against a removed replica that causes many
// connections to be replaced.
#[test]
fn subset_spans_zones_and_is_stable() {
    let member = |n: usize| Member {
        agent: agent(n),
        zone: zone(n % 3),
    };
    let mut members: Vec<Member> = (0..60).map(member).collect();
    let before = pick_subset("entry-1", &zone(0), &members, 12);
    let in_zone = |z: usize| {
        before
            .iter()
            .filter(|a| members.iter().any(|m| m.agent == **a && m.zone == zone(z)))
            .count()
    };
    assert_eq!([in_zone(0), in_zone(1), in_zone(2)], [6, 3, 3]);
    members.retain(|m| m.agent != before[0]);
    let after = pick_subset("entry-1", &zone(0), &members, 12);
    assert_eq!(after.iter().filter(|a| !before.contains(a)).count(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    // Guards against a choice that is unknown, avoided or unusable after any sequence of events.
    #[test]
    fn choice_is_always_usable(
        steps in prop::collection::vec((0usize..6, 0usize..8, 0u64..400), 1..200),
        seed: u64,
    ) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut picker = picker(PolicyKind::Siskinbend);
        let mut now = Time(1);
        for (n, action, wait) in steps {
            now = now + Duration::from_millis(wait);
            let draining = action == 1 && wait < 40;
            match action {
                0 | 1 => {
                    let observation = Observation { draining, ..observation(n as u32) };
                    picker.observe(&agent(n), observation, now);
                }
                2 => picker.record_dispatch(&agent(n), now),
                3 => picker.record_result(&agent(n), AttemptResult::Ok { first_token: None }, now),
                4 => picker.record_result(&agent(n), AttemptResult::Failed, now),
                5 => {
                    let refused = AttemptResult::Refused(Reason::QueueFull);
                    picker.record_result(&agent(n), refused, now);
                }
                6 if wait < 20 => picker.remove(&agent(n)),
                _ => drop(picker.take_due_probes(now)),
            }
            let explained = picker.explain(now);
            let requirements = Requirements {
                prefix: Some(wait),
                avoid: vec![agent(n)],
                ..Requirements::default()
            };
            if let Ok(choice) = picker.choose(&requirements, now, &mut rng) {
                prop_assert_ne!(&choice.agent, &agent(n));
                let verdict = explained.iter().find(|e| e.agent == choice.agent).map(|e| e.verdict);
                prop_assert!(matches!(verdict, Some(Verdict::Usable | Verdict::Readmitted)));
            }
        }
    }
}

/// Guards against sending all requests to the first of many local replicas that comes back, which is
/// idle, and against giving up the preference for the own zone with it.
#[test]
fn few_local_replicas() {
    let share_of_local = |local: usize| {
        let mut picker = picker(PolicyKind::Siskinbend);
        for n in 0..local + 48 {
            let mut seen = observation(if n < local { 0 } else { 8 });
            seen.zone = zone(usize::from(n >= local));
            picker.observe(&agent(n), seen, Time(1));
        }
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        let mut is_local = |_: &usize| {
            let choice = picker.choose(&Requirements::default(), Time(2), &mut rng);
            let chosen = choice.expect("a replica").agent;
            (0..local).any(|n| agent(n) == chosen)
        };
        (0..1_000).filter(|n| is_local(n)).count()
    };
    assert!(share_of_local(1) < 150, "{}", share_of_local(1));
    assert_eq!(share_of_local(24), 1_000);
}
