//! Subsets of replicas. Guards against an entry that loses all its replicas when a zone fails, and
//! against a removed replica that changes most of every subset.

use siskinbend_routing::subset::Member;
use siskinbend_routing::subset::pick_subset;
use siskinbend_types::AgentId;
use siskinbend_types::Zone;

const ZONES: [&str; 3] = ["recife", "caruaru", "petrolina"];

fn list_members(count: usize) -> Vec<Member> {
    let build = |n: usize| Member {
        agent: format!("agent-{n}").parse().expect("a valid name"),
        zone: ZONES[n % ZONES.len()].parse().expect("a valid name"),
    };
    (0..count).map(build).collect()
}

fn pick(entry: usize, members: &[Member]) -> Vec<AgentId> {
    let own_zone: Zone = ZONES[entry % ZONES.len()].parse().expect("a valid name");
    pick_subset(&format!("entry-{entry}"), &own_zone, members, 6)
}

#[test]
fn zone_loss_leaves_replicas() {
    let members = list_members(48);
    for entry in 0..60 {
        let picked = pick(entry, &members);
        let own_zone = ZONES[entry % ZONES.len()];
        let outside = members
            .iter()
            .filter(|m| picked.contains(&m.agent) && m.zone.as_str() != own_zone);
        assert!(outside.count() >= 2, "entry {entry}");
    }
}

#[test]
fn load_is_spread() {
    // If the hash ignored the entry's name, all entries would choose the same replicas.
    let members = list_members(48);
    let mut entries = vec![0; members.len()];
    for entry in 0..390 {
        for agent in pick(entry, &members) {
            let at = members.iter().position(|m| m.agent == agent);
            entries[at.expect("a subset has members only")] += 1;
        }
    }
    // The mean is 390 * 6 / 48, or 49 entries per replica.
    assert!(entries.iter().all(|n| (20..=90).contains(n)), "{entries:?}");
}

#[test]
fn removal_replaces_one_member() {
    let members = list_members(48);
    for entry in 0..60 {
        let before = pick(entry, &members);
        let removed = &before[0];
        let rest: Vec<Member> = members
            .iter()
            .filter(|m| m.agent != *removed)
            .cloned()
            .collect();
        let after = pick(entry, &rest);
        let kept = before.iter().filter(|agent| after.contains(agent)).count();
        assert!(kept >= 5, "entry {entry} kept {kept}");
    }
}
