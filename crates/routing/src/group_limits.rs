//! Concurrency limits of one gateway for the lock-step groups of one service.
//!
//! Meant for a load under which one group is late and others are not: the late one receives fewer
//! requests, the others take them, and requests are refused only when every group is full.

use std::collections::BTreeMap;

use siskinbend_types::EngineGroup;
use siskinbend_types::Time;

use crate::ConcurrencyLimit;
use crate::GroupRoom;
use crate::UrgencyShares;
use crate::group_room::RoomChange;

/// Utilisation of a group's slots from which its concurrency limit is enforced. While slots are
/// free, late responses have other causes than overload.
const BUSY_UTILISATION: f64 = 0.6;

/// Limits by group; the key `None` stands for the replicas that are in no known group.
#[derive(Debug, Default)]
pub struct GroupLimits {
    limits: BTreeMap<Option<EngineGroup>, ConcurrencyLimit>,
    /// Rooms by group; they count only with [`GroupLimits::urgency`].
    rooms: BTreeMap<Option<EngineGroup>, GroupRoom>,
    /// Demand by priority, if the service's requests have different ones.
    urgency: Option<UrgencyShares>,
}

impl GroupLimits {
    /// Sets whether the service's requests have different priorities.
    pub fn set_urgency(&mut self, has_priorities: bool) {
        if has_priorities {
            self.urgency.get_or_insert_default();
        } else {
            self.urgency = None;
            self.rooms.clear();
        }
    }

    /// Lists the groups that take no new request of a priority; 0 is the most urgent.
    /// `estimate_load` returns the requests per slot of a group.
    pub fn list_full<Estimate>(
        &self,
        priority: u8,
        estimate_load: Estimate,
        now: Time,
    ) -> Vec<Option<EngineGroup>>
    where
        Estimate: Fn(Option<&EngineGroup>) -> f64,
    {
        let is_full = |(group, limit): &(&Option<EngineGroup>, &ConcurrencyLimit)| {
            let room = self.find_room(group, priority, now);
            if room.is_none() && !limit.is_reached() {
                return false;
            }
            let load = estimate_load(group.as_ref());
            let is_limited = limit.is_reached() && load >= BUSY_UTILISATION;
            is_limited || room.is_some_and(|room| load >= room.max(BUSY_UTILISATION))
        };
        let full = self.limits.iter().filter(is_full);
        full.map(|(group, _)| group.clone()).collect()
    }

    /// Returns the requests per slot up to which a group takes requests of a priority, if its room
    /// is known.
    fn find_room(&self, group: &Option<EngineGroup>, priority: u8, now: Time) -> Option<f64> {
        let urgency = self.urgency.as_ref()?;
        let room = self.rooms.get(group)?.room(now)?;
        Some(room * urgency.usable_fraction(priority))
    }

    /// Records a new request of a priority and whether it was admitted.
    pub fn record_request(&mut self, priority: u8, is_admitted: bool, now: Time) {
        if let Some(urgency) = &mut self.urgency {
            urgency.record_asked(priority, now);
            if is_admitted {
                urgency.record_admitted(priority);
            }
        }
    }

    /// Records a pause within an answer of a group, as a multiple of its goal. `estimate_load`
    /// returns the requests per slot of the group. Returns the measurements of the room if a window
    /// has ended.
    pub fn record_pause<Estimate>(
        &mut self,
        group: &Option<EngineGroup>,
        ratio: f64,
        estimate_load: Estimate,
        now: Time,
    ) -> Option<RoomChange>
    where
        Estimate: FnOnce(Option<&EngineGroup>) -> f64,
    {
        self.of_group(group).record_pause(ratio > 1.0);
        self.urgency.as_ref()?;
        let load = estimate_load(group.as_ref());
        let room = self.rooms.entry(group.clone()).or_default();
        room.record_pause(ratio, load, now)
    }

    /// Discards the latest pauses of a group that stood still, which are no measure of its room.
    pub fn record_standstill(&mut self, group: &Option<EngineGroup>, now: Time) {
        if let Some(room) = self.rooms.get_mut(group) {
            room.restart(now);
        }
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
