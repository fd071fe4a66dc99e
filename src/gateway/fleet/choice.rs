//! Choice of a backend server for an attempt.

use siskinbend_routing::Picker;
use siskinbend_routing::Requirements;
use siskinbend_routing::send_rules;
use siskinbend_routing::send_rules::Withheld;
use siskinbend_types::AgentId;
use siskinbend_types::Incarnation;
use siskinbend_types::Reason;
use siskinbend_types::RegionSet;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;

use super::Fleet;
use super::Target;
use super::signals;
use crate::gateway::guards::AdmissionPermit;

/// Choice that found no backend server.
struct FailedChoice<'call> {
    /// Error of the choice.
    reason: Reason,
    /// Backend servers that the request has tried.
    avoid: &'call [AgentId],
    withheld: &'call [Withheld],
    /// Whether groups are at their limit.
    is_limited: bool,
}

impl FailedChoice<'_> {
    /// Finds why there is none, by choosing again without the evacuations and without each rule.
    fn explain(&self, picker: &mut Picker, mut requirements: Requirements, now: Time) -> Reason {
        if picker.are_all_closed(&requirements.closed_zones) {
            // Whatever else leaves no server is found as if no zone were evacuated.
            requirements.closed_zones.clear();
            if picker.choose(&requirements, now, &mut rand::rng()).is_ok() {
                return Reason::ZoneEvacuated;
            }
        }
        let rule = send_rules::find_cause(self.withheld, |left_out| {
            requirements.avoid = [self.avoid, left_out].concat();
            let choice = picker.choose(&requirements, now, &mut rand::rng());
            choice.is_ok()
        });
        signals::find_reason(self.reason, rule, self.is_limited)
    }
}

impl Fleet {
    /// Chooses a backend server and records an attempt as sent to it.
    ///
    /// With a permit the attempt counts against the concurrency limit of the server's group. A new
    /// request goes to no group whose limit is reached; one that was admitted before may.
    pub fn choose(
        &mut self,
        service: &ServiceName,
        avoid: &[AgentId],
        regions: &RegionSet,
        permit: Option<&mut AdmissionPermit>,
        now: Time,
    ) -> Result<Target, Reason> {
        let withheld = self.rules.list_withheld(now);
        let routing = self.service(service);
        let mut closed_groups = routing.list_closed(now);
        let is_new = permit
            .as_ref()
            .is_some_and(|permit| permit.counted.is_none());
        let full = match is_new {
            true => routing
                .limits
                .list_full(|group| routing.picker.estimate_load(group, &routing.closed_zones)),
            false => Vec::new(),
        };
        let is_limited = !full.is_empty();
        closed_groups.extend(full);
        let requirements = Requirements {
            avoid: [avoid, &send_rules::join_withheld(&withheld)].concat(),
            closed_groups,
            closed_zones: routing.closed_zones.clone(),
            regions: regions.clone(),
            ..Requirements::default()
        };
        let picker = &mut routing.picker;
        let choice = picker.choose(&requirements, now, &mut rand::rng());
        let choice = choice.map_err(|reason| {
            let failure = FailedChoice {
                reason,
                avoid,
                withheld: &withheld,
                is_limited,
            };
            failure.explain(picker, requirements, now)
        })?;
        picker.record_dispatch(&choice.agent, now);
        self.rules.record_dispatch(&choice.agent, now);
        let routing = self.service(service);
        let group = routing.picker.find_group(&choice.agent).cloned();
        if let Some(permit) = permit {
            routing.move_permit(permit, &group);
        }
        let replica = self.replicas.get(&choice.agent).ok_or(Reason::NoReplica)?;
        Ok(Target {
            id: choice.agent,
            incarnation: Incarnation(replica.server.started_ms),
            address: replica.server.address,
            service: service.clone(),
            group,
            load: replica.report.total(),
            report_age_ms: now.since(replica.reported_at).as_millis() as u64,
        })
    }
}
