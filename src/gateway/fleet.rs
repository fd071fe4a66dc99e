//! State of all backend servers: load, liveness, idle connections and retry budgets.

mod choice;
mod limits;
mod queue;
mod signals;
mod slow_start;
mod state;
mod zones;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use siskinbend_groups::directory::Directory;
use siskinbend_groups::directory::DirectoryAnswer;
use siskinbend_groups::directory::DirectoryQuery;
use siskinbend_groups::report::GroupLoads;
use siskinbend_link::Connection;
use siskinbend_link::ConnectionPool;
use siskinbend_request::RetryBudget;
use siskinbend_routing::AttemptResult;
use siskinbend_routing::GroupLimits;
use siskinbend_routing::LeavingRuns;
use siskinbend_routing::LivenessTracker;
use siskinbend_routing::LoadReport;
use siskinbend_routing::Observation;
use siskinbend_routing::Pauses;
use siskinbend_routing::Picker;
use siskinbend_routing::ReturnCalendar;
use siskinbend_routing::SendRules;
use siskinbend_routing::ServerLimits;
use siskinbend_routing::picker;
use siskinbend_routing::policy::Tuning;
use siskinbend_routing::standstill::CLOSED_TTL;
use siskinbend_site::BackendServer;
use siskinbend_site::NodeSettings;
use siskinbend_site::ServerState;
use siskinbend_site::registry::ServerUpdate;
use siskinbend_site::settings::Bounds;
use siskinbend_types::AgentId;
use siskinbend_types::EngineGroup;
use siskinbend_types::Incarnation;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;
use siskinbend_types::Window;
use siskinbend_types::Zone;
use siskinbend_types::ZoneRegions;
use smol_str::SmolStr;

use super::guards::AdmissionPermit;
use zones::Zones;

pub(super) use state::GroupState;
pub(super) use state::LeavingServer;
pub(super) use state::LimitedServer;
pub(super) use state::PausedServer;
pub(super) use state::ServiceState;

pub(super) use choice::HedgeRequest;
pub(super) use limits::StreamTiming;
pub(super) use queue::Admission;
pub(super) use queue::StartedRequest;

/// Maximum number of retries that one gateway can accumulate. All gateways together must stay
/// within the slack that the operators allow, and a gateway does not know how many gateways there
/// are.
const RETRY_BURST: u32 = 7;
/// Fraction of the operators' retry ratio that is used, so that the ratio holds in measurement
/// windows of any phase.
const RETRY_RATIO_FRACTION: f64 = 0.7;
/// Number of randomly sampled replicas that are compared. With a larger sample, gateways with the
/// same load reports would choose the same replica.
const SAMPLE_SIZE: usize = 4;

/// Routing state of one service.
struct ServiceRouting {
    picker: Picker,
    budget: RetryBudget,
    liveness: LivenessTracker,
    limits: GroupLimits,
    /// Groups of the service's ranks.
    directory: Directory,
    /// Groups that were closed according to their latest loads, with the time of these.
    closed: BTreeMap<EngineGroup, Time>,
    /// Zones whose servers may get no requests.
    closed_zones: Vec<Zone>,
    returns: ReturnCalendar,
    streams: queue::StreamQueue,
}

impl ServiceRouting {
    /// Lists the groups that are closed, so that none of their replicas can run requests.
    fn list_closed(&self, now: Time) -> Vec<Option<EngineGroup>> {
        let closed = self.closed.iter();
        let closed = closed.filter(|(_, at)| now.since(**at) <= CLOSED_TTL);
        closed.map(|(group, _)| Some(group.clone())).collect()
    }

    /// Counts an admitted request against the limit of another group than before.
    fn move_permit(&mut self, permit: &mut AdmissionPermit, group: &Option<EngineGroup>) {
        self.release(permit);
        self.streams.confirm(permit);
        self.limits.of_group(group).acquire();
        permit.counted = Some(group.clone());
    }

    /// Ends the permit of a request.
    fn release(&mut self, permit: &mut AdmissionPermit) {
        if let Some(group) = permit.counted.take() {
            self.limits.of_group(&group).release();
        }
    }
}

/// Backend server with its latest load report and idle connections.
struct Replica {
    server: BackendServer,
    report: LoadReport,
    /// Receipt time of the report.
    reported_at: Time,
    pool: ConnectionPool,
}

/// Backend server chosen for an attempt.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub id: AgentId,
    /// Run of the backend server.
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub service: ServiceName,
    /// Lock-step group of the backend server, if it is known.
    pub group: Option<EngineGroup>,
    /// Number of running and queued requests in the latest load report.
    pub load: u32,
    /// Age of that report in milliseconds.
    pub report_age_ms: u64,
}

/// State of all backend servers and services.
pub(super) struct Fleet {
    zone: Zone,
    regions: ZoneRegions,
    bounds: Bounds,
    services: HashMap<ServiceName, ServiceRouting>,
    replicas: BTreeMap<AgentId, Replica>,
    rules: SendRules,
    zones: Zones,
    /// Number of standstills of groups since the start.
    standstills: u64,
}

impl Fleet {
    pub fn new(settings: &NodeSettings) -> Fleet {
        Fleet {
            zone: settings.zone.clone(),
            regions: settings.regions.clone(),
            bounds: settings.bounds,
            services: HashMap::new(),
            replicas: BTreeMap::new(),
            rules: SendRules {
                limits: ServerLimits::new(settings.node.clone()),
                slow_start: slow_start::create(settings),
                pauses: Pauses::default(),
                leaving: LeavingRuns::default(),
            },
            zones: Zones::default(),
            standstills: 0,
        }
    }

    /// Sets the regions of the availability zones.
    pub fn set_regions(&mut self, regions: &ZoneRegions) {
        self.regions = regions.clone();
        for routing in self.services.values_mut() {
            routing.picker.set_regions(regions.clone());
        }
    }

    /// Applies changes of the registry.
    pub fn apply(&mut self, updates: Vec<ServerUpdate>, now: Time) {
        for update in updates {
            match update {
                ServerUpdate::Put(server) => self.put(server, now),
                ServerUpdate::Removed(id) => self.remove(&id),
            }
        }
    }

    fn put(&mut self, server: BackendServer, now: Time) {
        log::info!(
            server:% = server.id,
            service:% = server.service,
            address:% = server.address,
            state:? = server.state,
            born = server.started_ms;
            "server_registered"
        );
        let is_newer = |p: &&Replica| {
            p.server.address == server.address && p.server.started_ms > server.started_ms
        };
        if self.replicas.values().any(|p| is_newer(&p)) {
            return;
        }
        let is_restarted = self.replicas.get(&server.id).is_some_and(|p| {
            p.server.service != server.service || p.server.started_ms != server.started_ms
        });
        if is_restarted {
            self.remove(&server.id);
        }
        self.remove_superseded(&server);
        self.observe_start(&server, now);
        let report = LoadReport {
            slots: server.slots,
            ..LoadReport::default()
        };
        let id = server.id.clone();
        match self.replicas.get_mut(&id) {
            Some(replica) => replica.server = server,
            None => {
                let replica = Replica {
                    server,
                    report,
                    reported_at: now,
                    pool: ConnectionPool::default(),
                };
                self.replicas.insert(id.clone(), replica);
            }
        }
        self.observe_run(&id, now);
        self.record_load(&id, None, now);
    }

    /// Removes earlier processes at the address of a server, whose registry entries expire only
    /// later.
    fn remove_superseded(&mut self, server: &BackendServer) {
        let is_older = |p: &&Replica| {
            p.server.address == server.address
                && p.server.id != server.id
                && p.server.started_ms < server.started_ms
        };
        let superseded: Vec<AgentId> = self
            .replicas
            .values()
            .filter(is_older)
            .map(|p| p.server.id.clone())
            .collect();
        for id in superseded {
            log::info!(server:% = id, by:% = server.id; "server_superseded");
            self.remove(&id);
        }
    }

    fn remove(&mut self, id: &AgentId) {
        if let Some(replica) = self.replicas.remove(id) {
            log::info!(server:% = id, service:% = replica.server.service; "server_removed");
            self.rules.remove(id);
            if let Some(routing) = self.services.get_mut(&replica.server.service) {
                routing.picker.remove(id);
                routing.liveness.remove(id);
            }
        }
    }

    /// Records a load report, or repeats the latest one so that ejections can end.
    pub fn record_load(&mut self, id: &AgentId, report: Option<LoadReport>, now: Time) {
        self.record_aged_load(id, report.map(|r| (r, Duration::ZERO)), now);
    }

    fn record_aged_load(
        &mut self,
        id: &AgentId,
        report: Option<(LoadReport, Duration)>,
        now: Time,
    ) {
        let Some(replica) = self.replicas.get_mut(id) else {
            return;
        };
        let age = match report {
            Some((report, age)) => {
                replica.report = report;
                replica.reported_at = now;
                age
            }
            None => Duration::MAX,
        };
        let observation = Observation {
            incarnation: Incarnation(replica.server.started_ms),
            window: Window(0),
            zone: replica.server.zone.clone(),
            draining: replica.server.state == ServerState::Draining,
            report: replica.report,
            report_age: age,
        };
        let service = replica.server.service.clone();
        self.service(&service).picker.observe(id, observation, now);
    }

    /// Sets the gateways that share the limits of backend servers. Returns their number before and
    /// now.
    pub fn set_gateways(
        &mut self,
        names: BTreeSet<SmolStr>,
        time_of_day: Duration,
        now: Time,
    ) -> (usize, usize) {
        self.rules.slow_start.set_gateways(names.clone());
        let limits = &mut self.rules.limits;
        let before = limits.count_gateways();
        limits.set_gateways(names, time_of_day, now);
        (before, limits.count_gateways())
    }

    /// Returns the limits that backend servers name.
    pub fn server_limits(&self) -> &ServerLimits {
        &self.rules.limits
    }

    /// Repeats the latest load report of every backend server and closes expired idle connections.
    pub fn refresh(&mut self, now: Time) {
        self.log_cold_changes(now);
        let ids: Vec<AgentId> = self.replicas.keys().cloned().collect();
        for id in ids {
            self.observe_run(&id, now);
            self.record_load(&id, None, now);
        }
        self.expire_signals(now);
        for routing in self.services.values_mut() {
            routing.limits.expire_rooms(now);
        }
        for replica in self.replicas.values_mut() {
            replica.pool.prune();
        }
    }

    /// Returns the routing state of a service, created on first use.
    fn service(&mut self, name: &ServiceName) -> &mut ServiceRouting {
        if !self.services.contains_key(name) {
            let settings = picker::Settings {
                tuning: Tuning {
                    sample_size: SAMPLE_SIZE,
                    ..Tuning::default()
                },
                ..picker::Settings::default()
            };
            let ratio = self.bounds.retry_ratio * RETRY_RATIO_FRACTION;
            let mut picker = Picker::new(settings, self.zone.clone());
            picker.set_regions(self.regions.clone());
            let routing = ServiceRouting {
                picker,
                budget: RetryBudget::new(RETRY_BURST.min(self.bounds.retry_slack))
                    .with_ratio(ratio),
                liveness: LivenessTracker::default(),
                limits: GroupLimits::default(),
                directory: Directory::default(),
                closed: BTreeMap::new(),
                closed_zones: self.zones.list_closed(),
                returns: ReturnCalendar::default(),
                streams: queue::StreamQueue::default(),
            };
            self.services.insert(name.clone(), routing);
        }
        self.services
            .get_mut(name)
            .expect("inserted above if absent")
    }

    /// Whether a backend server is registered and accepts new requests.
    pub fn is_ready(&self, id: &AgentId) -> bool {
        let replica = self.replicas.get(id);
        replica.is_some_and(|r| r.server.state == ServerState::Ready)
    }

    /// Records the result of an attempt.
    pub fn record_result(&mut self, target: &Target, result: AttemptResult, now: Time) {
        self.service(&target.service)
            .picker
            .record_result(&target.id, result, now);
    }

    /// Records that an attempt is silent, and that it goes on nevertheless.
    pub fn record_silence(&mut self, target: &Target, now: Time) {
        self.service(&target.service)
            .picker
            .record_silence(&target.id, now);
    }

    /// Records the time to the first event of a stream.
    pub fn record_first_event(&mut self, target: &Target, latency: Duration, now: Time) {
        self.service(&target.service)
            .picker
            .record_first_token(&target.id, latency, now);
    }

    /// Records that a backend server sent data.
    pub fn record_activity(&mut self, target: &Target, now: Time) {
        self.service(&target.service)
            .liveness
            .record_message(&target.id, now);
    }

    /// Returns for how long a backend server has been silent while others of its service were not.
    pub fn measure_silence(&mut self, target: &Target, started: Time, now: Time) -> Duration {
        self.service(&target.service)
            .liveness
            .measure_silence(&target.id, started, now)
    }

    /// Whether a stream should move to another replica because its current one delays the group.
    pub fn delays_group(&mut self, target: &Target) -> bool {
        self.service(&target.service)
            .picker
            .delays_group(&target.id)
    }

    /// Lists the addresses of a service's replicas.
    pub fn list_addresses(&self, service: &ServiceName) -> Vec<SocketAddr> {
        let own = self
            .replicas
            .values()
            .filter(|p| p.server.service == *service);
        own.map(|p| p.server.address).collect()
    }

    /// Builds a query for the groups of a service's ranks.
    pub fn query_directory(&self, service: &ServiceName) -> DirectoryQuery {
        let routing = self.services.get(service);
        routing.map_or_else(
            || Directory::default().query(None),
            |routing| routing.directory.query(None),
        )
    }

    /// Merges the groups of a service's ranks. Returns whether the group of every registered rank
    /// is known.
    pub fn merge_directory(&mut self, service: &ServiceName, answer: DirectoryAnswer) -> bool {
        let addresses: BTreeSet<SocketAddr> = self.list_addresses(service).into_iter().collect();
        let directory = &mut self.service(service).directory;
        directory.merge(answer.into_iter().flatten());
        directory.retain(|rank| addresses.contains(rank));
        let known = |rank: &SocketAddr| directory.find(*rank).is_some();
        addresses.iter().all(known)
    }

    /// Lists the agents to ask for the loads of each group of a service, in the order of asking.
    pub fn list_load_sources(&self, service: &ServiceName) -> Vec<Vec<SocketAddr>> {
        let routing = self.services.get(service);
        routing.map_or_else(Vec::new, |r| r.directory.list_load_sources(&self.zone))
    }

    /// Records the loads of a group.
    pub fn record_loads(&mut self, loads: &GroupLoads, now: Time) {
        let ids: HashMap<SocketAddr, AgentId> = self
            .replicas
            .values()
            .map(|p| (p.server.address, p.server.id.clone()))
            .collect();
        let mut services = BTreeSet::new();
        for load in &loads.ranks {
            let Some(id) = ids.get(&load.rank) else {
                continue;
            };
            let Some(replica) = self.replicas.get(id) else {
                continue;
            };
            let service = replica.server.service.clone();
            let report = LoadReport {
                running: load.running,
                queued: load.queued,
                slots: replica.report.slots,
                ..LoadReport::default()
            };
            let age = Duration::from_millis(u64::from(load.age_ms));
            self.record_aged_load(id, Some((report, age)), now);
            let picker = &mut self.service(&service).picker;
            picker.set_slowdown(id, f64::from(load.pace));
            picker.set_group(id, &loads.group);
            services.insert(service);
        }
        for service in services {
            self.set_group_state(&service, &loads.group, loads.open, now);
        }
    }

    /// Returns the retry budget of a service.
    pub fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        &mut self.service(service).budget
    }

    /// Takes an idle connection to a backend server.
    pub fn take_connection(&mut self, id: &AgentId) -> Option<Connection> {
        self.replicas.get_mut(id)?.pool.take()
    }

    /// Returns a connection to the pool of its backend server.
    pub fn return_connection(&mut self, id: &AgentId, connection: Connection) {
        if let Some(replica) = self.replicas.get_mut(id) {
            replica.pool.put(connection);
        }
    }
}
