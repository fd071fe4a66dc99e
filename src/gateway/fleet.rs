//! The backend servers as the gateway uses them: choice, connections and retry budgets.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Weak;
use std::time::Duration;

use siskinbend_link::Connection;
use siskinbend_link::ConnectionPool;
use siskinbend_request::DirectAttempts;
use siskinbend_request::RetryBudget;
use siskinbend_routing::AttemptResult;
use siskinbend_routing::ConcurrencyLimit;
use siskinbend_routing::LivenessTracker;
use siskinbend_routing::LoadReport;
use siskinbend_routing::Observation;
use siskinbend_routing::Picker;
use siskinbend_routing::Requirements;
use siskinbend_routing::picker;
use siskinbend_routing::policy::Tuning;
use siskinbend_site::BackendServer;
use siskinbend_site::ServerState;
use siskinbend_site::settings::Bounds;
use siskinbend_site::view::ServerUpdate;
use siskinbend_types::AgentId;
use siskinbend_types::Incarnation;
use siskinbend_types::Reason;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;
use siskinbend_types::Window;
use siskinbend_types::Zone;

use super::Gateway;
use super::metrics::ServiceState;
use crate::peer::RankLoad;

/// Retries that one gateway may save up. All gateways together must stay within the slack that
/// the operators grant, and no gateway knows how many there are.
const RETRY_BURST: u32 = 7;
/// Part of the granted retry ratio that is used, so that windows of any phase stay within it.
const RATIO_USED: f64 = 0.7;
/// Part of a service's slots in use from which its limit is kept.
const BUSY_USE: f64 = 0.6;
/// Time for which a group counts as closed after it was last seen so.
const CLOSED_TIME: Duration = Duration::from_millis(800);
/// Random replicas that the choice compares. More would make gateways that hold the same report
/// choose the same replica.
const CHOICES: usize = 4;

/// One service with its replicas.
struct Pick {
    picker: Picker,
    budget: RetryBudget,
    lively: LivenessTracker,
    limit: ConcurrencyLimit,
    /// When the group behind the service was last seen closed; `None` if it runs.
    closed: Option<Time>,
}

/// One backend server with its idle connections.
struct Peer {
    server: BackendServer,
    report: LoadReport,
    /// When the report was made.
    reported: Time,
    pool: ConnectionPool,
}

/// A chosen backend server.
#[derive(Debug, Clone)]
pub(super) struct Target {
    pub id: AgentId,
    pub address: SocketAddr,
    pub service: ServiceName,
    /// Requests that run or wait there, as last told.
    pub load: u32,
    /// Age of that figure in milliseconds.
    pub heard: u64,
}

/// All backend servers.
pub(super) struct Fleet {
    zone: Zone,
    bounds: Bounds,
    services: HashMap<ServiceName, Pick>,
    peers: BTreeMap<AgentId, Peer>,
}

impl Fleet {
    pub fn new(zone: Zone, bounds: Bounds) -> Fleet {
        Fleet {
            zone,
            bounds,
            services: HashMap::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Takes in changes of the registry.
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
        let newer = |p: &&Peer| {
            p.server.address == server.address && p.server.started_ms > server.started_ms
        };
        if self.peers.values().any(|p| newer(&p)) {
            return;
        }
        let moved = self.peers.get(&server.id).is_some_and(|p| {
            p.server.service != server.service || p.server.started_ms != server.started_ms
        });
        if moved {
            self.remove(&server.id);
        }
        self.supersede(&server);
        let report = LoadReport {
            slots: server.slots,
            ..LoadReport::default()
        };
        let id = server.id.clone();
        match self.peers.get_mut(&id) {
            Some(peer) => peer.server = server,
            None => {
                let peer = Peer {
                    server,
                    report,
                    reported: now,
                    pool: ConnectionPool::default(),
                };
                self.peers.insert(id.clone(), peer);
            }
        }
        self.observe(&id, None, now);
    }

    /// Drops earlier runs at the address of a server: their entries lapse only later.
    fn supersede(&mut self, server: &BackendServer) {
        let older = |p: &&Peer| {
            p.server.address == server.address
                && p.server.id != server.id
                && p.server.started_ms < server.started_ms
        };
        let gone: Vec<AgentId> = self
            .peers
            .values()
            .filter(older)
            .map(|p| p.server.id.clone())
            .collect();
        for id in gone {
            log::info!(server:% = id, by:% = server.id; "server_superseded");
            self.remove(&id);
        }
    }

    fn remove(&mut self, id: &AgentId) {
        if let Some(peer) = self.peers.remove(id) {
            log::info!(server:% = id, service:% = peer.server.service; "server_removed");
            if let Some(pick) = self.services.get_mut(&peer.server.service) {
                pick.picker.remove(id);
                pick.lively.remove(id);
            }
        }
    }

    /// Takes in a load report, or repeats the last one so that ejections can end.
    pub fn observe(&mut self, id: &AgentId, report: Option<LoadReport>, now: Time) {
        self.observe_aged(id, report.map(|r| (r, Duration::ZERO)), now);
    }

    fn observe_aged(&mut self, id: &AgentId, report: Option<(LoadReport, Duration)>, now: Time) {
        let Some(peer) = self.peers.get_mut(id) else {
            return;
        };
        let age = match report {
            Some((report, age)) => {
                peer.report = report;
                peer.reported = now;
                age
            }
            None => Duration::MAX,
        };
        let seen = Observation {
            incarnation: Incarnation(peer.server.started_ms),
            window: Window(0),
            zone: peer.server.zone.clone(),
            draining: peer.server.state == ServerState::Draining,
            report: peer.report,
            report_age: age,
        };
        let service = peer.server.service.clone();
        self.service(&service).picker.observe(id, seen, now);
    }

    /// Repeats what is known of every backend server.
    pub fn refresh(&mut self, now: Time) {
        let ids: Vec<AgentId> = self.peers.keys().cloned().collect();
        for id in ids {
            self.observe(&id, None, now);
        }
        for peer in self.peers.values_mut() {
            peer.pool.prune();
        }
    }

    fn service(&mut self, name: &ServiceName) -> &mut Pick {
        if !self.services.contains_key(name) {
            let settings = picker::Settings {
                tuning: Tuning {
                    sample_size: CHOICES,
                    ..Tuning::default()
                },
                ..picker::Settings::default()
            };
            let ratio = self.bounds.retry_ratio * RATIO_USED;
            let pick = Pick {
                picker: Picker::new(settings, self.zone.clone()),
                budget: RetryBudget::new(RETRY_BURST.min(self.bounds.retry_slack))
                    .with_ratio(ratio),
                lively: LivenessTracker::default(),
                limit: ConcurrencyLimit::default(),
                closed: None,
            };
            self.services.insert(name.clone(), pick);
        }
        self.services.get_mut(name).expect("it was inserted above")
    }

    /// Chooses a backend server and counts the attempt as sent to it.
    pub fn choose(
        &mut self,
        service: &ServiceName,
        avoid: &[AgentId],
        now: Time,
    ) -> Result<Target, Reason> {
        let wish = Requirements {
            avoid: avoid.to_vec(),
            ..Requirements::default()
        };
        let pick = self.service(service);
        let choice = pick.picker.choose(&wish, now, &mut rand::rng())?;
        pick.picker.record_dispatch(&choice.agent, now);
        let peer = self.peers.get(&choice.agent).ok_or(Reason::NoReplica)?;
        Ok(Target {
            id: choice.agent,
            address: peer.server.address,
            service: service.clone(),
            load: peer.report.total(),
            heard: now.since(peer.reported).as_millis() as u64,
        })
    }

    /// Notes how an attempt ended.
    pub fn done(&mut self, target: &Target, done: AttemptResult, now: Time) {
        self.service(&target.service)
            .picker
            .record_result(&target.id, done, now);
    }

    /// Notes the time to the first part of an answer.
    pub fn first(&mut self, target: &Target, after: Duration, now: Time) {
        self.service(&target.service)
            .picker
            .record_first_token(&target.id, after, now);
    }

    /// Notes that a backend server sent something.
    pub fn progress(&mut self, target: &Target, now: Time) {
        self.service(&target.service)
            .lively
            .record_message(&target.id, now);
    }

    /// How long a backend server has been silent while others of its service were not.
    pub fn silence(&mut self, target: &Target, begun: Time, now: Time) -> Duration {
        self.service(&target.service)
            .lively
            .measure_silence(&target.id, begun, now)
    }

    /// Whether a request leaves a backend server that holds its group up, to go on elsewhere.
    pub fn leaves(&mut self, target: &Target, attempts: &mut DirectAttempts, now: Time) -> bool {
        let pick = self.service(&target.service);
        pick.picker.delays_group(&target.id)
            && attempts.try_abandon(&target.id, &mut pick.budget, now)
    }

    /// One replica of each service whose engines have agents, the others of the service after it
    /// in the order in which they lead.
    pub fn list_groups(&self, services: &[ServiceName]) -> Vec<Vec<SocketAddr>> {
        let ranks = |service: &ServiceName| {
            let own = |p: &&Peer| &p.server.service == service;
            let mut ranks: Vec<SocketAddr> = self
                .peers
                .values()
                .filter(own)
                .map(|p| p.server.address)
                .collect();
            ranks.sort();
            ranks.dedup();
            ranks
        };
        services.iter().map(ranks).collect()
    }

    /// The limit on requests under way at a service.
    pub fn limit(&mut self, service: &ServiceName) -> &mut ConcurrencyLimit {
        &mut self.service(service).limit
    }

    /// Counts a request as under way, unless its service has as much as it can answer in time.
    /// While slots are free, late answers have another cause than too many requests.
    fn take(&mut self, service: &ServiceName) -> bool {
        let pick = self.service(service);
        let free = pick.picker.estimate_load() < BUSY_USE;
        pick.limit.try_acquire(free)
    }

    /// Whether no replica of a service can run anything now.
    pub fn is_closed(&mut self, service: &ServiceName, now: Time) -> bool {
        let closed = self.service(service).closed;
        closed.is_some_and(|seen| now.since(seen) <= CLOSED_TIME)
    }

    /// Takes in the loads that the leader of a group told.
    pub fn hear_loads(&mut self, loads: &[RankLoad], now: Time) {
        for load in loads {
            let found = self
                .peers
                .values()
                .find(|p| p.server.address == load.rank)
                .map(|p| {
                    (
                        p.server.id.clone(),
                        p.server.service.clone(),
                        p.report.slots,
                    )
                });
            let Some((id, service, slots)) = found else {
                continue;
            };
            let report = LoadReport {
                running: load.running,
                queued: load.queued,
                slots,
                ..LoadReport::default()
            };
            let age = Duration::from_millis(u64::from(load.age));
            let closed = (!load.open).then_some(now);
            let pick = self.service(&service);
            if pick.closed.is_some() != closed.is_some() {
                log::info!(service:% = service, open = load.open; "group_state");
            }
            pick.closed = closed;
            self.observe_aged(&id, Some((report, age)), now);
            self.service(&service).picker.set_slowdown(&id, load.pace);
        }
    }

    /// What is believed of each service.
    pub fn list_states(&self, now: Time) -> Vec<ServiceState> {
        let describe = |(service, pick): (&ServiceName, &Pick)| {
            let own = |p: &&Peer| &p.server.service == service;
            let peers = || self.peers.values().filter(own);
            let ages = peers().map(|p| now.since(p.reported).as_secs_f64());
            ServiceState {
                service: service.clone(),
                servers: peers().count(),
                running: pick.limit.in_flight(),
                limit: pick.limit.limit(),
                report_age: ages.fold(0.0, f64::max),
                open: pick.closed.is_none_or(|seen| now.since(seen) > CLOSED_TIME),
            }
        };
        self.services.iter().map(describe).collect()
    }

    /// The retry budget of a service.
    pub fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        &mut self.service(service).budget
    }

    /// An idle connection to a backend server.
    pub fn take_link(&mut self, id: &AgentId) -> Option<Connection> {
        self.peers.get_mut(id)?.pool.take()
    }

    /// Keeps a connection for later requests.
    pub fn keep_link(&mut self, id: &AgentId, link: Connection) {
        if let Some(peer) = self.peers.get_mut(id) {
            peer.pool.put(link);
        }
    }
}

/// A request that was taken; it counts against the limit of its service until it is dropped.
pub(super) struct Taken {
    gateway: Weak<Gateway>,
    service: ServiceName,
}

impl Taken {
    /// Takes a request unless its service has as much as it can answer in time.
    pub fn take(gateway: &Arc<Gateway>, service: &ServiceName) -> Option<Taken> {
        let taken = gateway.fleet().take(service);
        taken.then(|| Taken {
            gateway: Arc::downgrade(gateway),
            service: service.clone(),
        })
    }
}

impl Drop for Taken {
    fn drop(&mut self) {
        if let Some(gateway) = self.gateway.upgrade() {
            gateway.fleet().limit(&self.service).release();
        }
    }
}

/// An attempt that is under way; it counts as cancelled if it is dropped.
pub(super) struct Flight {
    gateway: Weak<Gateway>,
    pub target: Target,
    ended: bool,
}

impl Flight {
    pub fn new(gateway: &Arc<Gateway>, target: Target) -> Flight {
        Flight {
            gateway: Arc::downgrade(gateway),
            target,
            ended: false,
        }
    }

    pub fn end(&mut self, done: AttemptResult) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        if let Some(gateway) = self.gateway.upgrade() {
            let now = gateway.now();
            gateway.fleet().done(&self.target, done, now);
        }
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.end(AttemptResult::Cancelled);
    }
}
