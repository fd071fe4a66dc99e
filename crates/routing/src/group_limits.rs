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

/// Utilisation of a group's slots from which its concurrency limit is enforced. While slots are
/// free, late responses have other causes than overload.
const BUSY_UTILISATION: f64 = 0.6;

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
            limit.is_reached() && estimate_load(group.as_ref()) >= BUSY_UTILISATION
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
            if picker.estimate_load(group.as_ref(), closed_zones) < BUSY_UTILISATION {
                return Some(u32::MAX);
            }
            free = Some(free.unwrap_or(0).saturating_add(count));
        }
        free
    }

    /// Sets whether the rooms of the groups are measured and cap the limits.
    pub fn set_rooms(&mut self, has_rooms: bool) {
        self.has_rooms = has_rooms;
        if !has_rooms {
            self.rooms.clear();
            self.limits.values_mut().for_each(ConcurrencyLimit::uncap);
        }
    }

    /// Records a pause within an answer of a group, as a multiple of its goal, that began at `since`.
    /// `estimate_load` returns the requests per slot of the group. Returns the measurements of the
    /// room if a window has ended.
    pub fn record_pause<Estimate>(
        &mut self,
        group: &Option<EngineGroup>,
        ratio: f64,
        since: Time,
        estimate_load: Estimate,
        now: Time,
    ) -> Option<RoomChange>
    where
        Estimate: FnOnce(Option<&EngineGroup>) -> f64,
    {
        let limit = self.limits.entry(group.clone()).or_default();
        let is_counted = limit.record_pause(ratio > 1.0, since);
        if !self.has_rooms {
            return None;
        }
        let room = self.rooms.entry(group.clone()).or_default();
        if !is_counted {
            room.restart(now);
            return None;
        }
        let change = room.record_pause(ratio, estimate_load(group.as_ref()), now)?;
        // Each gateway gets a share of the room by what it has in flight.
        limit.cap(change.room / change.load.max(f64::MIN_POSITIVE));
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
