//! Choice of the replicas of a service to which one entry keeps connections.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use siskinbend_types::AgentId;
use siskinbend_types::Zone;

/// Returns a hash that is the same in all processes built with the same compiler.
///
/// Processes of two releases may differ, which only costs cache hits on prefixes during a roll-out.
pub(crate) fn stable_hash<Key>(key: Key) -> u64
where
    Key: Hash,
{
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}

/// A candidate for the subset.
#[derive(Debug, Clone)]
pub struct Member {
    /// The replica's agent.
    pub agent: AgentId,
    /// Its availability zone.
    pub zone: Zone,
}

/// Picks at most `size` of the members for the entry named `entry` in the zone `own_zone`.
///
/// Up to half of the subset comes from the entry's own zone. The rest is taken from the other zones
/// in turn, so that every entry keeps replicas when one zone fails. Within a zone the members are
/// ordered by rendezvous hashing, so adding or removing a member displaces at most one other per
/// zone.
pub fn pick_subset(entry: &str, own_zone: &Zone, members: &[Member], size: usize) -> Vec<AgentId> {
    let mut zones: BTreeMap<&Zone, Vec<&AgentId>> = BTreeMap::new();
    for member in members {
        zones.entry(&member.zone).or_default().push(&member.agent);
    }
    for agents in zones.values_mut() {
        agents.sort_by_cached_key(|agent| (stable_hash((entry, *agent)), *agent));
    }
    let local = zones.remove(own_zone).unwrap_or_default();
    let (first, spare) = local.split_at(size.div_ceil(2).min(local.len()));
    let mut remote: Vec<(&Zone, Vec<&AgentId>)> = zones.into_iter().collect();
    remote.sort_by_cached_key(|(zone, _)| stable_hash((entry, *zone)));
    let rounds = remote
        .iter()
        .map(|(_, agents)| agents.len())
        .max()
        .unwrap_or(0);
    let alternating =
        (0..rounds).flat_map(|n| remote.iter().filter_map(move |(_, a)| a.get(n).copied()));
    let order = first
        .iter()
        .copied()
        .chain(alternating)
        .chain(spare.iter().copied());
    order.take(size).cloned().collect()
}
