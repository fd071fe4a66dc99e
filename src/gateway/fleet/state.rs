//! State of services, groups and backend servers, for the metrics and the status page.

use std::collections::BTreeSet;
use std::time::Duration;

use siskinbend_types::AgentId;
use siskinbend_types::EngineGroup;
use siskinbend_types::Rate;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;

use super::Fleet;
use super::ServiceRouting;

/// State of one service.
#[derive(Debug)]
pub struct ServiceState {
    pub service: ServiceName,
    /// Number of known backend servers.
    pub servers: usize,
    /// Number of streams in flight.
    pub running: u32,
    /// Maximum number of streams in flight, if there is a limit.
    pub limit: Option<u32>,
    /// Number of streams that wait for a place under the limit.
    pub waiting: usize,
    /// Age of the oldest load report in seconds.
    pub report_age: f64,
    /// Whether the group behind the service runs passes.
    pub open: bool,
}

/// State of one engine group.
#[derive(Debug)]
pub struct GroupState {
    pub service: ServiceName,
    pub group: EngineGroup,
    /// Whether the group runs passes.
    pub open: bool,
    /// Number of streams in flight.
    pub running: u32,
    /// Maximum number of streams in flight, if there is a limit.
    pub limit: Option<u32>,
}

/// Registered backend server that says that it is leaving.
#[derive(Debug)]
pub struct LeavingServer {
    pub server: AgentId,
    pub service: ServiceName,
    /// Time since the first answer that said so.
    pub age: Duration,
}

/// Registered backend server that has asked for a pause.
#[derive(Debug)]
pub struct PausedServer {
    pub server: AgentId,
    pub service: ServiceName,
    /// Time until the end of the pause.
    pub left: Duration,
}

/// Registered backend server that names a request limit.
#[derive(Debug)]
pub struct LimitedServer {
    pub server: AgentId,
    pub service: ServiceName,
    /// Limit for all gateways together.
    pub limit: Rate,
}

impl Fleet {
    /// Describes each service.
    pub fn list_states(&self, now: Time) -> Vec<ServiceState> {
        let describe = |(service, routing): (&ServiceName, &ServiceRouting)| {
            let is_own = |p: &&super::Replica| &p.server.service == service;
            let replicas = || self.replicas.values().filter(is_own);
            let ages = replicas().map(|p| now.since(p.reported_at).as_secs_f64());
            ServiceState {
                service: service.clone(),
                servers: replicas().count(),
                running: routing.limits.in_flight(),
                limit: routing.limits.total_limit(),
                waiting: routing.streams.waiting(),
                report_age: ages.fold(0.0, f64::max),
                open: routing.list_closed(now).is_empty(),
            }
        };
        self.services.iter().map(describe).collect()
    }

    /// Describes each engine group that has a registered rank.
    pub fn list_groups(&self, now: Time) -> Vec<GroupState> {
        let mut groups = BTreeSet::new();
        for replica in self.replicas.values() {
            let service = &replica.server.service;
            let routing = self.services.get(service);
            let group = routing.and_then(|r| r.picker.find_group(&replica.server.id));
            groups.extend(group.map(|group| (service, group)));
        }
        let describe = |(service, group): (&ServiceName, &EngineGroup)| {
            let routing = self.services.get(service)?;
            let key = Some(group.clone());
            let limit = routing.limits.find(&key);
            Some(GroupState {
                service: service.clone(),
                group: group.clone(),
                open: !routing.list_closed(now).contains(&key),
                running: limit.map_or(0, |limit| limit.in_flight()),
                limit: limit.and_then(|limit| limit.limit()),
            })
        };
        groups.into_iter().filter_map(describe).collect()
    }

    /// Lists the registered backend servers that say that they are leaving.
    pub fn list_leaving(&self, now: Time) -> Vec<LeavingServer> {
        let describe = |(server, run): (&AgentId, &siskinbend_routing::LeavingRun)| {
            Some(LeavingServer {
                server: server.clone(),
                service: self.find_service(server)?,
                age: now.since(run.since),
            })
        };
        let leaving = self.rules.leaving.list();
        leaving.filter_map(describe).collect()
    }

    /// Lists the registered backend servers that have asked for a pause.
    pub fn list_paused(&self, now: Time) -> Vec<PausedServer> {
        let describe = |(server, end): (&AgentId, Time)| {
            Some(PausedServer {
                server: server.clone(),
                service: self.find_service(server)?,
                left: end.since(now),
            })
        };
        let paused = self.rules.pauses.list(now);
        paused.filter_map(describe).collect()
    }

    /// Lists the registered backend servers that name a request limit.
    pub fn list_limited(&self) -> Vec<LimitedServer> {
        let describe = |(server, limit): (&AgentId, Rate)| {
            Some(LimitedServer {
                server: server.clone(),
                service: self.find_service(server)?,
                limit,
            })
        };
        let mut limited: Vec<LimitedServer> =
            self.rules.limits.list().filter_map(describe).collect();
        limited.sort_by(|a, b| a.server.cmp(&b.server));
        limited
    }

    /// Returns the service of a registered backend server.
    fn find_service(&self, server: &AgentId) -> Option<ServiceName> {
        let replica = self.replicas.get(server)?;
        Some(replica.server.service.clone())
    }
}
