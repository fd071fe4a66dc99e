//! The replicas of a service that one entry keeps connections to.

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
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The replica's agent.
    pub agent: AgentId,
    /// Its availability zone.
    pub zone: Zone,
}

/// Picks at most `size` of the members for the entry named `entry` in `own`.
pub fn pick_subset(entry: &str, own: &Zone, members: &[Member], size: usize) -> Vec<AgentId> {
    let mut order: Vec<&Member> = members.iter().collect();
    order.sort_by_key(|m| (&m.zone != own, stable_hash((entry, &m.agent))));
    order
        .into_iter()
        .take(size)
        .map(|m| m.agent.clone())
        .collect()
}
