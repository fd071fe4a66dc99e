//! Choice of a backend server for an attempt.

use siskinbend_request::DirectAttempts;
use siskinbend_request::HedgeCause;
use siskinbend_request::HedgeRefusal;
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

/// Request for which a hedge is to be sent.
pub(in crate::gateway) struct HedgeRequest<'call> {
    pub service: &'call ServiceName,
    /// Backend servers that run the request already.
    pub running: &'call [&'call Target],
    /// Regions that the request may run in.
    pub regions: &'call RegionSet,
    pub cause: HedgeCause,
}

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
        let is_new = permit
            .as_ref()
            .is_some_and(|permit| permit.counted.is_none());
        let id = self.find_usable(service, avoid, regions, is_new, now)?;
        let target = self.record_dispatch(service, id, now)?;
        if let Some(permit) = permit {
            self.move_permit(&target, permit);
        }
        Ok(target)
    }

    /// Chooses a backend server for a hedge beside the attempts that run, and records the hedge as
    /// sent to it. Only a hedge that is sent takes a retry from the budget.
    ///
    /// The request's permit stays with the group that it has until the hedge is answered.
    pub fn choose_hedge(
        &mut self,
        request: &HedgeRequest<'_>,
        attempts: &DirectAttempts,
        now: Time,
    ) -> Result<Target, HedgeRefusal> {
        let HedgeRequest { service, cause, .. } = *request;
        attempts.check_hedge(cause, &self.service(service).budget, now)?;
        let running = request.running.iter().map(|target| target.id.clone());
        let avoid: Vec<AgentId> = attempts.tried().iter().cloned().chain(running).collect();
        let id = self
            .find_usable(service, &avoid, request.regions, false, now)
            .map_err(HedgeRefusal::NoServer)?;
        let routing = self.service(service);
        if cause == HedgeCause::Slow && routing.picker.delays_group(&id) {
            return Err(HedgeRefusal::NoServer(Reason::SlowReplica));
        }
        if !routing.budget.try_withdraw() {
            return Err(HedgeRefusal::NoBudget);
        }
        self.record_dispatch(service, id, now)
            .map_err(HedgeRefusal::NoServer)
    }

    /// Counts a request against the limit of the group of the server that runs it.
    pub fn move_permit(&mut self, target: &Target, permit: &mut AdmissionPermit) {
        self.service(&target.service)
            .move_permit(permit, &target.group);
    }

    /// Finds a backend server that may get an attempt now.
    fn find_usable(
        &mut self,
        service: &ServiceName,
        avoid: &[AgentId],
        regions: &RegionSet,
        is_new: bool,
        now: Time,
    ) -> Result<AgentId, Reason> {
        let withheld = self.rules.list_withheld(now);
        let routing = self.service(service);
        let mut closed_groups = routing.list_closed(now);
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
        match picker.choose(&requirements, now, &mut rand::rng()) {
            Ok(choice) => Ok(choice.agent),
            Err(reason) => {
                let failure = FailedChoice {
                    reason,
                    avoid,
                    withheld: &withheld,
                    is_limited,
                };
                Err(failure.explain(picker, requirements, now))
            }
        }
    }

    /// Records an attempt as sent to a backend server.
    fn record_dispatch(
        &mut self,
        service: &ServiceName,
        id: AgentId,
        now: Time,
    ) -> Result<Target, Reason> {
        let replica = self.replicas.get(&id).ok_or(Reason::NoReplica)?;
        let (incarnation, address) = (replica.server.started_ms, replica.server.address);
        let (load, reported_at) = (replica.report.total(), replica.reported_at);
        let picker = &mut self.service(service).picker;
        picker.record_dispatch(&id, now);
        let group = picker.find_group(&id).cloned();
        self.rules.record_dispatch(&id, now);
        Ok(Target {
            id,
            incarnation: Incarnation(incarnation),
            address,
            service: service.clone(),
            group,
            load,
            report_age_ms: now.since(reported_at).as_millis() as u64,
        })
    }
}
