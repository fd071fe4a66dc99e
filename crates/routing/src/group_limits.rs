//! Concurrency limits of one gateway for the lock-step groups of one service.
//!
//! Meant for a load under which one group is late and others are not: the late one receives fewer
//! requests, the others take them, and requests are refused only when every group is full.

use std::collections::BTreeMap;

use siskinbend_types::EngineGroup;

use crate::ConcurrencyLimit;
use crate::Picker;

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

    /// Number of requests that the usable groups of a picker may be sent, [`u32::MAX`] if one of
    /// them has no limit or free slots; `None` if all groups are closed.
    pub fn count_free(&self, picker: &Picker, closed: &[Option<EngineGroup>]) -> Option<u32> {
        let mut seen: Vec<&Option<EngineGroup>> = Vec::new();
        let mut free: Option<u32> = None;
        for group in picker.list_groups() {
            if seen.contains(&group) || closed.contains(group) {
                continue;
            }
            seen.push(group);
            let limit = self
                .limits
                .get(group)
                .and_then(ConcurrencyLimit::count_free);
            let Some(count) = limit else {
                return Some(u32::MAX);
            };
            if picker.estimate_load(group.as_ref()) < BUSY_UTILISATION {
                return Some(u32::MAX);
            }
            free = Some(free.unwrap_or(0).saturating_add(count));
        }
        free
    }

    /// Returns the limit of a group.
    pub fn of_group(&mut self, group: &Option<EngineGroup>) -> &mut ConcurrencyLimit {
        self.limits.entry(group.clone()).or_default()
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
