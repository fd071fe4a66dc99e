//! The agents that this entry knows, by service, and the connections to them.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use quinn::Connection;
use tokio::sync::watch;

use siskinbend_control::membership::ListedVm;
use siskinbend_control::membership::Membership;
use siskinbend_document::Document;
use siskinbend_request::Action;
use siskinbend_request::Call;
use siskinbend_request::Event;
use siskinbend_request::RetryBudget;
use siskinbend_request::Target;
use siskinbend_routing::AttemptResult;
use siskinbend_routing::LoadReport;
use siskinbend_routing::Observation;
use siskinbend_routing::Picker;
use siskinbend_routing::RateLimiter;
use siskinbend_routing::Requirements;
use siskinbend_routing::picker;
use siskinbend_store::Vm;
use siskinbend_store::VmState;
use siskinbend_types::AgentId;
use siskinbend_types::Organisation;
use siskinbend_types::Rate;
use siskinbend_types::Reason;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;
use siskinbend_types::Zone;
use siskinbend_wire::Hello;
use siskinbend_wire::Load;
use siskinbend_wire::Status;
use siskinbend_wire::transport::Dialer;

use super::directory::Directory;
use super::link;
use crate::limits;
use crate::sync::lock;

/// Retry budget of one service, shared by its calls; apart from the picker, because every chunk of
/// an answer passes through it.
pub(crate) type Budget = Arc<Mutex<RetryBudget>>;

/// Replicas and retry budget of one service.
struct Pool {
    picker: Picker,
    budget: Budget,
}

/// A connected agent.
#[derive(Debug, Clone)]
struct Link {
    connection: Connection,
    hello: Hello,
    status: Status,
    heard: Time,
    /// The platform's list says that its VM is leaving.
    leaving: bool,
}

/// All agents that this entry knows.
pub(crate) struct Fleet {
    pub(crate) dialer: Arc<Dialer>,
    zone: Zone,
    /// Agents of the settings, which are never forgotten.
    fixed: Vec<SocketAddr>,
    pools: Mutex<BTreeMap<ServiceName, Pool>>,
    links: Mutex<HashMap<AgentId, Link>>,
    membership: Mutex<Membership>,
    quota: Mutex<RateLimiter>,
    directory: Mutex<Directory>,
    /// Tells the links that another choice of agents may be due.
    pub(crate) changed: watch::Sender<()>,
}

impl Fleet {
    pub(crate) fn new(
        dialer: Arc<Dialer>,
        name: AgentId,
        zone: Zone,
        fixed: Vec<SocketAddr>,
    ) -> Self {
        let directory = Directory::new(name, zone.clone());
        Self {
            directory: Mutex::new(directory),
            changed: watch::Sender::new(()),
            dialer,
            zone,
            fixed,
            pools: Mutex::default(),
            links: Mutex::default(),
            membership: Mutex::default(),
            quota: Mutex::default(),
        }
    }

    fn with_pool<T>(&self, service: &ServiceName, act: impl FnOnce(&mut Pool) -> T) -> T {
        let mut pools = lock(&self.pools);
        if !pools.contains_key(service) {
            let picker = Picker::new(picker::Settings::default(), self.zone.clone());
            let pool = Pool {
                picker,
                budget: Arc::new(Mutex::new(RetryBudget::new(limits::RETRY_BURST))),
            };
            pools.insert(service.clone(), pool);
        }
        act(pools.get_mut(service).expect("the pool was inserted above"))
    }

    /// Merges the platform's list and returns the addresses that were not known before.
    pub(crate) fn merge_list(&self, list: Vec<Vm>, now: Time) -> Vec<SocketAddr> {
        let mut membership = lock(&self.membership);
        let known = |address: &SocketAddr, membership: &Membership| {
            membership.get(*address).is_some() || self.fixed.contains(address)
        };
        let new: Vec<_> = list.iter().map(|vm| vm.address).collect();
        let new = new.into_iter().filter(|a| !known(a, &membership)).collect();
        let listed = |vm: Vm| ListedVm {
            vm: vm.id,
            zone: vm.zone,
            address: vm.address,
            leaving: vm.state == VmState::Leaving,
        };
        membership.merge_list(list.into_iter().map(listed).collect(), now);
        membership.tick(now);
        drop(membership);
        self.apply_leaving(now);
        new
    }

    /// Stops choosing agents whose VM is leaving, without waiting for their next report.
    fn apply_leaving(&self, now: Time) {
        let membership = lock(&self.membership);
        let leaves = |link: &Link| {
            let member = membership.get(link.connection.remote_address());
            member.is_some_and(|m| m.leaving)
        };
        let mut links = lock(&self.links);
        let mut changed = Vec::new();
        for (agent, link) in links.iter_mut() {
            if leaves(link) != link.leaving {
                link.leaving = !link.leaving;
                changed.push((agent.clone(), link.status));
            }
        }
        drop((links, membership));
        for (agent, status) in changed {
            self.observe(&agent, &status, now);
        }
    }

    /// Notes what a connected agent says, and tells whether this entry keeps the connection.
    pub(crate) fn learn(&self, address: SocketAddr, hello: &Hello) -> bool {
        let (changed, chosen) = {
            let mut directory = lock(&self.directory);
            (
                directory.learn(address, hello),
                directory.is_chosen(address),
            )
        };
        if changed {
            self.changed.send_replace(());
        }
        chosen
    }

    /// Gives the place of an agent in the subset to another.
    pub(crate) fn forget(&self, address: SocketAddr) {
        if lock(&self.directory).forget(address) {
            self.changed.send_replace(());
        }
    }

    /// Tells whether this entry keeps a connection to an agent.
    pub(crate) fn is_chosen(&self, address: SocketAddr) -> bool {
        lock(&self.directory).is_chosen(address)
    }

    /// Tells whether an address is still worth connecting to.
    pub(crate) fn is_wanted(&self, address: SocketAddr) -> bool {
        self.fixed.contains(&address) || lock(&self.membership).get(address).is_some()
    }

    /// Adds a connected agent.
    pub(crate) fn add(&self, connection: &Connection, hello: &Hello, opened: Time, now: Time) {
        let report = link::build_report(connection.remote_address(), hello, &hello.status, opened);
        let leaving = {
            let mut membership = lock(&self.membership);
            membership.merge_report(report, now);
            let member = membership.get(connection.remote_address());
            member.is_some_and(|m| m.leaving)
        };
        let link = Link {
            connection: connection.clone(),
            hello: hello.clone(),
            status: hello.status,
            heard: now,
            leaving,
        };
        lock(&self.links).insert(hello.agent.clone(), link);
    }

    /// Takes in the answer to a probe.
    pub(crate) fn confirm(&self, agent: &AgentId, status: &Status, alive_after: Time, now: Time) {
        let Some(link) = lock(&self.links).get(agent).cloned() else {
            return;
        };
        let from = link.connection.remote_address();
        let report = link::build_report(from, &link.hello, status, alive_after);
        lock(&self.membership).merge_report(report, now);
        self.observe(agent, status, now);
    }

    /// Forgets the agent of a lost connection, unless it has connected again since.
    pub(crate) fn remove(&self, connection: &Connection) {
        let mut links = lock(&self.links);
        let lost = |link: &Link| link.connection.stable_id() == connection.stable_id();
        let name = links
            .iter()
            .find(|(_, link)| lost(link))
            .map(|(name, _)| name.clone());
        let Some(link) = name.and_then(|name| links.remove(&name)) else {
            return;
        };
        drop(links);
        self.with_pool(&link.hello.service, |pool| {
            pool.picker.remove(&link.hello.agent);
        });
    }

    /// Takes a request into account; false if the organisation has used up its rate.
    pub(crate) fn admit(&self, who: &Organisation, rate: Rate, now: Time) -> bool {
        let entries = lock(&self.links).values().map(|l| l.status.entries).max();
        lock(&self.quota).admit(who, rate, entries.unwrap_or(1), now)
    }

    /// Forgets the rates of organisations that are no longer in the document.
    pub(crate) fn retain_organisations(&self, document: &Document) {
        let known = |who: &Organisation| document.organisations.iter().any(|o| o.name == *who);
        lock(&self.quota).retain(known);
    }

    /// Number of connected agents.
    pub(crate) fn count_links(&self) -> usize {
        lock(&self.links).len()
    }

    /// Time since an agent was last heard; `None` if it isn't connected.
    pub(crate) fn find_silence(&self, agent: &AgentId, now: Time) -> Option<Duration> {
        lock(&self.links)
            .get(agent)
            .map(|link| now.since(link.heard))
    }

    /// The connection to an agent.
    pub(crate) fn find_connection(&self, agent: &AgentId) -> Option<Connection> {
        lock(&self.links)
            .get(agent)
            .map(|link| link.connection.clone())
    }

    /// The connection to an agent, or a connection of its own to an agent outside the subset: the
    /// claim of a keyed call may name any agent of the service.
    pub(crate) async fn reach(&self, agent: &AgentId) -> Option<Connection> {
        if let Some(connection) = self.find_connection(agent) {
            return Some(connection);
        }
        let address = lock(&self.directory).find_address(agent)?;
        self.dialer.connect(address).await.ok()
    }

    /// Takes in the status of an agent.
    pub(crate) fn observe(&self, agent: &AgentId, status: &Status, now: Time) {
        let (service, seen) = {
            let mut links = lock(&self.links);
            let Some(link) = links.get_mut(agent) else {
                return;
            };
            link.heard = now;
            link.status = *status;
            let seen = Observation {
                incarnation: status.incarnation,
                window: status.window,
                zone: link.hello.zone.clone(),
                draining: status.draining || link.leaving,
                report: to_report(&status.load),
                report_age: Duration::ZERO,
            };
            (link.hello.service.clone(), seen)
        };
        self.with_pool(&service, |pool| {
            pool.picker.observe(agent, seen, now);
        });
    }

    /// Chooses a replica and counts the attempt as sent to it.
    pub(crate) fn choose(
        &self,
        service: &ServiceName,
        wish: &Requirements,
        now: Time,
    ) -> Result<Target, Reason> {
        self.with_pool(service, |pool| {
            let choice = pool.picker.choose(wish, now, &mut rand::rng())?;
            pool.picker.record_dispatch(&choice.agent, now);
            Ok(Target {
                agent: choice.agent,
                incarnation: choice.incarnation,
                window: choice.window,
            })
        })
    }

    /// Tells the replica choice how long the first part of an answer took.
    pub(crate) fn note_first(
        &self,
        service: &ServiceName,
        agent: &AgentId,
        after: Duration,
        now: Time,
    ) {
        self.with_pool(service, |pool| {
            pool.picker.record_first_token(agent, after, now);
        });
    }

    /// Tells the replica choice how an attempt ended.
    pub(crate) fn note_done(
        &self,
        service: &ServiceName,
        agent: &AgentId,
        done: AttemptResult,
        now: Time,
    ) {
        self.with_pool(service, |pool| pool.picker.record_result(agent, done, now));
    }

    /// The retry budget of a service.
    pub(crate) fn find_budget(&self, service: &ServiceName) -> Budget {
        self.with_pool(service, |pool| Arc::clone(&pool.budget))
    }

    /// Hands an event to a call.
    pub(crate) fn handle(budget: &Budget, call: &mut Call, event: Event, now: Time) -> Vec<Action> {
        call.handle(event, now, &mut lock(budget))
    }

    /// The agents that need a probe now; with many agents each is probed more rarely.
    pub(crate) fn find_probes(&self, now: Time) -> Vec<AgentId> {
        #[expect(
            clippy::cast_precision_loss,
            reason = "there are far fewer than 2^52 links"
        )]
        let share = self.count_links() as f64 / limits::MAX_PROBES_PER_SECOND;
        let quiet = limits::MIN_PROBE_INTERVAL.max(Duration::from_secs_f64(share));
        let mut pools = lock(&self.pools);
        let due = |pool: &mut Pool| {
            pool.picker.set_probe_delay(quiet);
            pool.picker.take_due_probes(now)
        };
        pools.values_mut().flat_map(due).collect()
    }

    /// One line for each replica: why it is or isn't chosen.
    pub(crate) fn explain(&self, now: Time) -> Vec<String> {
        let pools = lock(&self.pools);
        let lines = pools.iter().flat_map(|(service, pool)| {
            pool.picker.explain(now).into_iter().map(move |e| {
                format!(
                    "service={service} agent={} zone={} load={:.2} outstanding={} heard_ms={}: {}",
                    e.agent, e.zone, e.load, e.outstanding, e.heard_ms, e.verdict
                )
            })
        });
        lines.collect()
    }
}

fn to_report(load: &Load) -> LoadReport {
    LoadReport {
        running: load.running,
        queued: load.queued,
        slots: load.slots,
        hold: Duration::from_millis(u64::from(load.hold_ms)),
        idle: Duration::from_millis(u64::from(load.idle_ms)),
    }
}
