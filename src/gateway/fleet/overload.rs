//! What the fleet learns about the room of its groups.

use std::collections::BTreeSet;

use siskinbend_types::EngineGroup;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;

use super::Fleet;
use super::Target;

impl Fleet {
    /// Records a pause within an answer of a target, as a multiple of its goal.
    pub fn record_pause(&mut self, target: &Target, ratio: f64, now: Time) {
        let closed_zones = self.zones.list_closed();
        let routing = self.service(&target.service);
        let picker = &routing.picker;
        let estimate_load =
            |group: Option<&EngineGroup>| picker.estimate_load(group, &closed_zones);
        let change = routing
            .limits
            .record_pause(&target.group, ratio, estimate_load, now);
        if let Some(change) = change {
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

    /// Sets which services have streams of different priorities.
    pub fn set_prioritised(&mut self, services: &BTreeSet<ServiceName>) {
        for service in services {
            self.service(service);
        }
        for (service, routing) in &mut self.services {
            routing.limits.set_urgency(services.contains(service));
        }
    }
}
