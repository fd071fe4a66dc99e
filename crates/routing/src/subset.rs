//! The replicas of a service that one entry keeps connections to.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use siskinbend_types::AgentId;
use siskinbend_types::Zone;

/// Hash that is the same in every process built by the same compiler.
///
/// Processes of two releases may differ, which only costs prefix hits during a roll-out.
pub(crate) fn stable_hash<Key>(key: Key) -> u64
where
    Key: Hash,
{
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}

/// A replica that may enter the subset.
#[derive(Debug, Clone)]
pub struct Member {
    /// The replica's agent.
    pub agent: AgentId,
    /// Its availability zone.
    pub zone: Zone,
}

/// Picks at most `size` of the members for the entry named `entry` in the zone `own`.
///
/// Half of the places go to the entry's own zone. The others are dealt to the other zones in turn,
/// so that the loss of one zone leaves replicas to every entry. Within a zone the rendezvous hash
/// decides; a member that comes or goes therefore displaces at most one other per zone.
pub fn pick_subset(entry: &str, own: &Zone, members: &[Member], size: usize) -> Vec<AgentId> {
    let mut zones: BTreeMap<&Zone, Vec<&AgentId>> = BTreeMap::new();
    for member in members {
        zones.entry(&member.zone).or_default().push(&member.agent);
    }
    for agents in zones.values_mut() {
        agents.sort_by_cached_key(|agent| (stable_hash((entry, *agent)), *agent));
    }
    let local = zones.remove(own).unwrap_or_default();
    let (first, rest) = local.split_at(size.div_ceil(2).min(local.len()));
    let mut remote: Vec<(&Zone, Vec<&AgentId>)> = zones.into_iter().collect();
    remote.sort_by_cached_key(|(zone, _)| stable_hash((entry, *zone)));
    let rounds = remote
        .iter()
        .map(|(_, agents)| agents.len())
        .max()
        .unwrap_or(0);
    let dealt = (0..rounds).flat_map(|n| remote.iter().filter_map(move |(_, a)| a.get(n).copied()));
    let order = first
        .iter()
        .copied()
        .chain(dealt)
        .chain(rest.iter().copied());
    order.take(size).cloned().collect()
}
