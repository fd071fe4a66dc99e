//! Concurrency limits of one gateway for the lock-step groups of one service.
//!
//! Meant for a load under which one group is late and others are not: the late one receives fewer
//! requests, the others take them, and requests are refused only when every group is full.

use std::collections::BTreeMap;

use siskinbend_types::EngineGroup;
use siskinbend_types::Time;
use siskinbend_types::Zone;

use crate::ConcurrencyLimit;
use crate::GroupRoom;
use crate::Picker;
use crate::group_room::RoomChange;

/// Limits by group; the key `None` stands for the replicas that are in no known group.
#[derive(Debug, Default)]
pub struct GroupLimits {
    limits: BTreeMap<Option<EngineGroup>, ConcurrencyLimit>,
    rooms: BTreeMap<Option<EngineGroup>, GroupRoom>,
    /// Whether the rooms of the groups cap the limits.
    has_rooms: bool,
}

impl GroupLimits {
    /// Lists the groups that take no new requests. `estimate_load` returns the requests per slot of
    /// a group.
    pub fn list_full<Estimate>(&self, estimate_load: Estimate) -> Vec<Option<EngineGroup>>
    where
        Estimate: Fn(Option<&EngineGroup>) -> f64,
    {
        let is_full = |(group, limit): &(&Option<EngineGroup>, &ConcurrencyLimit)| {
            limit.can_be_full() && limit.is_full(estimate_load(group.as_ref()))
        };
        let full = self.limits.iter().filter(is_full);
        full.map(|(group, _)| group.clone()).collect()
    }

    /// Number of requests that the usable groups of a picker may be sent, [`u32::MAX`] if one of
    /// them has no limit or free slots; `None` if all groups are closed.
    pub fn count_free(
        &self,
        picker: &Picker,
        closed: &[Option<EngineGroup>],
        closed_zones: &[Zone],
    ) -> Option<u32> {
        let mut seen: Vec<&Option<EngineGroup>> = Vec::new();
        let mut free: Option<u32> = None;
        for group in picker.list_groups(closed_zones) {
            if seen.contains(&group) || closed.contains(group) {
                continue;
            }
            seen.push(group);
            let load = picker.estimate_load(group.as_ref(), closed_zones);
            let limit = self.limits.get(group);
            let Some(count) = limit.and_then(|limit| limit.count_free(load)) else {
                return Some(u32::MAX);
            };
            free = Some(free.unwrap_or(0).saturating_add(count));
        }
        free
    }

    /// Sets whether the rooms of the groups are measured and cap the limits.
    pub fn set_rooms(&mut self, has_rooms: bool) {
        self.has_rooms = has_rooms;
        if !has_rooms {
            self.rooms.clear();
            self.limits
                .values_mut()
                .for_each(ConcurrencyLimit::clear_room);
        }
    }

    /// Forgets rooms without a recent measurement.
    pub fn expire_rooms(&mut self, now: Time) {
        let expired = self.rooms.iter().filter(|(_, r)| r.room(now).is_none());
        for (group, _) in expired {
            if let Some(limit) = self.limits.get_mut(group) {
                limit.clear_room();
            }
        }
    }

    /// Records a pause within an answer of a group, as a multiple of its goal if it has one, that began
    /// at `since`.
    /// `estimate_load` returns the requests per slot of the group. Returns the measurements of the
    /// room if a window has ended.
    pub fn record_pause<Estimate>(
        &mut self,
        group: &Option<EngineGroup>,
        ratio: Option<f64>,
        since: Time,
        estimate_load: Estimate,
        now: Time,
    ) -> Option<RoomChange>
    where
        Estimate: FnOnce(Option<&EngineGroup>) -> f64,
    {
        let limit = self.limits.entry(group.clone()).or_default();
        let is_counted = limit.record_pause(ratio.is_some_and(|r| r > 1.0), since);
        if !self.has_rooms {
            return None;
        }
        let room = self.rooms.entry(group.clone()).or_default();
        if !is_counted {
            room.restart(now);
            return None;
        }
        let change = room.record_pause(ratio?, estimate_load(group.as_ref()), now)?;
        limit.set_room(change.room, change.load);
        Some(change)
    }

    /// Finds the limit of a group, if there has been one.
    pub fn find(&self, group: &Option<EngineGroup>) -> Option<&ConcurrencyLimit> {
        self.limits.get(group)
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
