//! Subsets of replicas; guards against a zone loss that takes all replicas of an entry, and
//! against a single leaving replica that reshuffles every subset.

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
    let own: Zone = ZONES[entry % ZONES.len()].parse().expect("a valid name");
    pick_subset(&format!("entry-{entry}"), &own, members, 6)
}

#[test]
fn zone_loss_leaves_replicas() {
    let members = list_members(48);
    for entry in 0..60 {
        let picked = pick(entry, &members);
        let own = ZONES[entry % ZONES.len()];
        let outside = members
            .iter()
            .filter(|m| picked.contains(&m.agent) && m.zone.as_str() != own);
        assert!(outside.count() >= 2, "entry {entry}");
    }
}

#[test]
fn load_is_spread() {
    // Without the hash of the entry's name all entries would crowd the same replicas.
    let members = list_members(48);
    let mut uses = vec![0; members.len()];
    for entry in 0..390 {
        for agent in pick(entry, &members) {
            let at = members.iter().position(|m| m.agent == agent);
            uses[at.expect("a subset has members only")] += 1;
        }
    }
    // 390 * 6 / 48 is 49 entries a replica on average.
    assert!(uses.iter().all(|n| (20..=90).contains(n)), "{uses:?}");
}

#[test]
fn departure_moves_one() {
    let members = list_members(48);
    for entry in 0..60 {
        let before = pick(entry, &members);
        let gone = &before[0];
        let rest: Vec<Member> = members
            .iter()
            .filter(|m| m.agent != *gone)
            .cloned()
            .collect();
        let after = pick(entry, &rest);
        let kept = before.iter().filter(|agent| after.contains(agent)).count();
        assert!(kept >= 5, "entry {entry} kept {kept}");
    }
}
