//! Concurrency limits of the groups, and standstills that leave them unchanged.

use std::collections::BTreeSet;
use std::time::Duration;

use siskinbend_routing::ReturnCalendar;
use siskinbend_routing::Standstill;
use siskinbend_routing::limit::LimitChange;
use siskinbend_types::EngineGroup;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;

use super::Fleet;
use super::Target;

/// Time of data of a stream, for the limit of the group that sent it.
#[derive(Debug, Clone, Copy)]
pub(in crate::gateway) enum StreamTiming {
    /// First event.
    First {
        /// Time since the request arrived, as a multiple of its goal.
        goal_ratio: f64,
        received_at: Time,
    },
    /// Any later data.
    Next {
        /// Time since the previous data, as a multiple of its goal, if there is one.
        goal_ratio: Option<f64>,
        previous: Time,
    },
}

impl Fleet {
    /// Records the time of data in the concurrency limit of a target's group. `sent_at` is when the
    /// attempt was sent.
    pub fn record_timing(
        &mut self,
        target: &Target,
        sent_at: Time,
        timing: StreamTiming,
        now: Time,
    ) {
        let waiting_since = match timing {
            StreamTiming::First { .. } => sent_at,
            StreamTiming::Next { previous, .. } => previous.max(sent_at),
        };
        let limit = self.service(&target.service).limits.of_group(&target.group);
        let standstill = limit.record_data(waiting_since, now);
        match timing {
            StreamTiming::First {
                goal_ratio,
                received_at,
            } => {
                if let Some(change) = limit.record_answer(goal_ratio, received_at, now) {
                    log_change(target, &change);
                }
            }
            StreamTiming::Next {
                goal_ratio,
                previous,
            } => self.record_pause(target, goal_ratio, previous, now),
        }
        self.record_standstill(&target.service, target.group.as_ref(), standstill);
    }

    /// Records a pause within an answer of a target, as a multiple of its goal if it has one.
    fn record_pause(&mut self, target: &Target, ratio: Option<f64>, since: Time, now: Time) {
        let routing = self.service(&target.service);
        let picker = &routing.picker;
        let closed_zones = &routing.closed_zones;
        let estimate_load = |group: Option<&EngineGroup>| picker.estimate_load(group, closed_zones);
        let limits = &mut routing.limits;
        if let Some(change) = limits.record_pause(&target.group, ratio, since, estimate_load, now) {
            log::info!(
                service:% = target.service,
                group:% = target.group.as_ref().map(ToString::to_string).unwrap_or_default(),
                room = format!("{:.2}", change.room),
                load = format!("{:.2}", change.load),
                mean = format!("{:.2}", change.mean),
                deviation = format!("{:.2}", change.deviation);
                "group_room"
            );
        }
    }

    /// Sets which services have streams of different priorities; the room of their groups is
    /// measured.
    pub fn set_prioritised(&mut self, services: &BTreeSet<ServiceName>) {
        for service in services {
            self.service(service);
        }
        for (service, routing) in &mut self.services {
            routing.limits.set_rooms(services.contains(service));
        }
    }

    /// Records whether a group is open.
    pub(super) fn set_group_state(
        &mut self,
        service: &ServiceName,
        group: &EngineGroup,
        open: bool,
        now: Time,
    ) {
        let routing = self.service(service);
        let limit = routing.limits.of_group(&Some(group.clone()));
        let standstill = limit.record_state(open, now);
        let was_open = !routing.closed.contains_key(group);
        if open {
            routing.closed.remove(group);
        } else {
            routing.closed.insert(group.clone(), now);
        }
        if open != was_open {
            log::info!(service:% = service, group:% = group, open; "group_state");
        }
        self.record_standstill(service, Some(group), standstill);
        self.recheck_waiting(service, now);
    }

    /// Returns the calendar of the callers of a service that are expected to come back.
    pub fn returns(&mut self, service: &ServiceName) -> &mut ReturnCalendar {
        &mut self.service(service).returns
    }

    /// Number of standstills of groups since the start.
    pub fn standstills(&self) -> u64 {
        self.standstills
    }

    fn record_standstill(
        &mut self,
        service: &ServiceName,
        group: Option<&EngineGroup>,
        standstill: Option<Standstill>,
    ) {
        let Some(standstill) = standstill else {
            return;
        };
        self.standstills += 1;
        let lasted: Duration = standstill.ended.since(standstill.since);
        let limit = self.service(service).limits.of_group(&group.cloned());
        log::info!(
            service:% = service,
            group = group.map(ToString::to_string).unwrap_or_default(),
            ms = lasted.as_millis() as u64,
            limit = limit.limit().unwrap_or(0),
            running = limit.in_flight();
            "group_standstill"
        );
    }
}

fn log_change(target: &Target, change: &LimitChange) {
    log::info!(
        service:% = target.service,
        group:% = target.group.as_ref().map(ToString::to_string).unwrap_or_default(),
        most = change.limit.unwrap_or(0),
        peak = change.peak,
        late = format!("{:.2}", change.late_share),
        paused = format!("{:.3}", change.late_pause_share),
        mean = format!("{:.2}", change.mean_ratio);
        "limit_changed"
    );
}
