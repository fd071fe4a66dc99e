//! Concurrency limits of one gateway for the lock-step groups of one service.
//!
//! Meant for a load under which one group is late and others are not: the late one receives fewer
//! requests, the others take them, and requests are refused only when every group is full.

use std::collections::BTreeMap;

use siskinbend_types::EngineGroup;

use crate::ConcurrencyLimit;

/// Utilisation of a group's slots from which its concurrency limit is enforced. While slots are
/// free, late responses have other causes than overload.
const BUSY_UTILISATION: f64 = 0.6;

/// Limits by group; the key `None` stands for the replicas that are in no known group.
#[derive(Debug, Default)]
pub struct GroupLimits {
    limits: BTreeMap<Option<EngineGroup>, ConcurrencyLimit>,
}

impl GroupLimits {
    /// Lists the groups that take no new requests. `estimate_load` returns the requests per slot of
    /// a group.
    pub fn list_full<Estimate>(&self, estimate_load: Estimate) -> Vec<Option<EngineGroup>>
    where
        Estimate: Fn(Option<&EngineGroup>) -> f64,
    {
        let is_full = |(group, limit): &(&Option<EngineGroup>, &ConcurrencyLimit)| {
            limit.is_reached() && estimate_load(group.as_ref()) >= BUSY_UTILISATION
        };
        let full = self.limits.iter().filter(is_full);
        full.map(|(group, _)| group.clone()).collect()
    }

    /// Returns the limit of a group.
    pub fn of_group(&mut self, group: &Option<EngineGroup>) -> &mut ConcurrencyLimit {
        self.limits.entry(group.clone()).or_default()
    }

    /// Finds the limit of a group, if there has been one.
    pub fn find(&self, group: &Option<EngineGroup>) -> Option<&ConcurrencyLimit> {
        self.limits.get(group)
    }

    /// Number of requests in flight in all groups.
    pub fn in_flight(&self) -> u32 {
        self.limits.values().map(ConcurrencyLimit::in_flight).sum()
    }

    /// Sum of the limits of all groups that have one; `None` if none has.
    pub fn total_limit(&self) -> Option<u32> {
        let limits = || self.limits.values().filter_map(ConcurrencyLimit::limit);
        limits().next()?;
        Some(limits().sum())
    }
}
