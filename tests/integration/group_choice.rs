//! Choice of replicas when several lock-step groups stand behind one service.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use siskinbend_routing::GroupLimits;
use siskinbend_routing::Observation;
use siskinbend_routing::Picker;
use siskinbend_routing::PolicyKind;
use siskinbend_routing::Requirements;
use siskinbend_types::EngineGroup;
use siskinbend_types::Reason;
use siskinbend_types::Time;

use crate::choice::agent;
use crate::choice::observation;
use crate::choice::picker;
use crate::choice::zone;

const GROUPS: usize = 3;
const RANKS: usize = 8;

fn group(n: usize) -> EngineGroup {
    format!("g{n}").parse().expect("any text is a group")
}

/// Three groups of eight ranks whose slowdowns `slowdown` returns by group and rank.
fn groups(slowdown: impl Fn(usize, usize) -> f64) -> Picker {
    let mut picker = picker(PolicyKind::Siskinbend);
    for n in 0..GROUPS * RANKS {
        picker.observe(&agent(n), observation(2), Time(1));
        picker.set_group(&agent(n), &group(n / RANKS));
        picker.set_slowdown(&agent(n), slowdown(n / RANKS, n % RANKS));
    }
    picker
}

/// Sends requests; returns how many each rank receives.
fn send_requests(picker: &mut Picker, requirements: &Requirements, count: usize) -> Vec<usize> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut received = vec![0; GROUPS * RANKS];
    for _ in 0..count {
        let choice = picker.choose(requirements, Time(2), &mut rng);
        let choice = choice.expect("there are open groups");
        let index = (0..received.len()).position(|n| agent(n) == choice.agent);
        received[index.expect("a known rank")] += 1;
        picker.record_dispatch(&choice.agent, Time(2));
    }
    received
}

/// Guards against an outage of one group that shuts the whole service: its requests are shared by
/// the other groups.
#[test]
fn closed_group_is_skipped() {
    let mut picker = groups(|_, _| 1.0);
    let requirements = Requirements {
        closed_groups: vec![Some(group(1))],
        ..Requirements::default()
    };
    let received = send_requests(&mut picker, &requirements, 600);
    let sums: Vec<usize> = received.chunks(RANKS).map(|r| r.iter().sum()).collect();
    assert_eq!(sums[1], 0);
    assert!(sums[0].abs_diff(sums[2]) < 100, "{sums:?}");
}

/// Guards against requests that wait for a group to open: without an open group they are refused at
/// once.
#[test]
fn closed_groups_refuse() {
    let mut picker = groups(|_, _| 1.0);
    let requirements = Requirements {
        closed_groups: (0..GROUPS).map(|n| Some(group(n))).collect(),
        ..Requirements::default()
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let choice = picker.choose(&requirements, Time(2), &mut rng);
    assert_eq!(choice, Err(Reason::NoReplica));
}

/// Guards against a slow rank that costs other groups capacity, or that is kept because most ranks
/// of another group are as slow.
#[test]
fn slow_ranks_count_by_group() {
    let slowdown = |group: usize, rank: usize| match (group, rank) {
        (0, 0) => 2.0,
        (1, _) => 2.0,
        _ => 1.0,
    };
    let mut picker = groups(slowdown);
    assert!(picker.delays_group(&agent(0)));
    assert!(
        !picker.delays_group(&agent(RANKS)),
        "its whole group is slow"
    );
    let received = send_requests(&mut picker, &Requirements::default(), 600);
    assert_eq!(received[0], 0);
    assert!(
        received[RANKS..2 * RANKS].iter().all(|n| *n > 0),
        "{received:?}"
    );
}

/// Guards against a group in a busy zone that is loaded into lateness while groups in other zones
/// have little to do: requests leave their zone as soon as it has more load than the others.
#[test]
fn busy_zone_shares_its_requests() {
    let mut picker = picker(PolicyKind::Siskinbend);
    for n in 0..GROUPS * RANKS {
        let running = if n < RANKS { 6 } else { 2 };
        let state = Observation {
            zone: zone(n / RANKS),
            ..observation(running)
        };
        picker.observe(&agent(n), state, Time(1));
        picker.set_group(&agent(n), &group(n / RANKS));
    }
    let received = send_requests(&mut picker, &Requirements::default(), 40);
    let sums: Vec<usize> = received.chunks(RANKS).map(|r| r.iter().sum()).collect();
    assert!(sums[0] < sums[1] && sums[0] < sums[2], "{sums:?}");
}

/// Records answers, from a time on, that take `ratio` times their goal until the limit reacts.
fn record_answers(limits: &mut GroupLimits, group: &Option<EngineGroup>, ratio: f64, from_ms: u64) {
    for n in 1..=20 {
        let now = Time::from_millis(from_ms + 100 * n);
        limits.of_group(group).record_answer(ratio, now, now);
    }
}

/// Guards against refusals because one group is late: the others take its requests, and only when
/// all are full is a request refused.
#[test]
fn late_group_sheds_alone() {
    let mut limits = GroupLimits::default();
    let groups: Vec<Option<EngineGroup>> = (0..GROUPS).map(|n| Some(group(n))).collect();
    for group in &groups {
        (0..40).for_each(|_| limits.of_group(group).acquire());
    }
    record_answers(&mut limits, &groups[0], 2.0, 0);
    record_answers(&mut limits, &groups[1], 0.5, 0);
    assert_eq!(limits.list_full(|_| 0.9), [groups[0].clone()]);
    assert!(limits.list_full(|_| 0.3).is_empty(), "slots are free");
    record_answers(&mut limits, &groups[1], 2.0, 3_000);
    record_answers(&mut limits, &groups[2], 2.0, 3_000);
    assert_eq!(limits.list_full(|_| 0.9), groups);
    assert_eq!(limits.in_flight(), 120);
}

/// Guards against taking a group whose availability zone is evacuated for one with free slots, so that
/// requests start that no group can take.
#[test]
fn evacuated_group_is_not_free() {
    let mut picker = groups(|_, _| 1.0);
    for n in 0..RANKS {
        let inside = Observation {
            zone: zone(9),
            ..observation(20)
        };
        picker.observe(&agent(n), inside, Time(2));
    }
    for n in RANKS..GROUPS * RANKS {
        picker.observe(&agent(n), observation(20), Time(2));
    }
    let mut limits = GroupLimits::default();
    for n in 0..GROUPS {
        let group = Some(group(n));
        (0..40).for_each(|_| limits.of_group(&group).acquire());
        record_answers(&mut limits, &group, 2.0, 0);
    }
    assert_eq!(limits.count_free(&picker, &[], &[zone(9)]), Some(0));
}
