//! Agents known to this entry, grouped by service, and the connections to them.

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

/// Retry budget of one service, shared by its calls. It has a lock of its own because it is locked
/// for every event of a call, such as a chunk, which must not contend with the picker.
pub(crate) type Budget = Arc<Mutex<RetryBudget>>;

/// Replicas and retry budget of one service.
struct Pool {
    picker: Picker,
    budget: Budget,
}

/// Connection to an agent, with its last status.
#[derive(Debug, Clone)]
struct Link {
    connection: Connection,
    hello: Hello,
    status: Status,
    last_status: Time,
    /// Whether the platform lists its VM as leaving.
    leaving: bool,
}

/// All agents known to this entry.
pub(crate) struct Fleet {
    pub(crate) dialer: Arc<Dialer>,
    zone: Zone,
    /// Agents from the settings, which are never removed.
    static_agents: Vec<SocketAddr>,
    pools: Mutex<BTreeMap<ServiceName, Pool>>,
    links: Mutex<HashMap<AgentId, Link>>,
    membership: Mutex<Membership>,
    rate_limiter: Mutex<RateLimiter>,
    directory: Mutex<Directory>,
    /// Notifies the link tasks that the subset may have changed.
    pub(crate) subset_changed: watch::Sender<()>,
}

impl Fleet {
    pub(crate) fn new(
        dialer: Arc<Dialer>,
        name: AgentId,
        zone: Zone,
        static_agents: Vec<SocketAddr>,
    ) -> Self {
        let directory = Directory::new(name, zone.clone());
        Self {
            directory: Mutex::new(directory),
            subset_changed: watch::Sender::new(()),
            dialer,
            zone,
            static_agents,
            pools: Mutex::default(),
            links: Mutex::default(),
            membership: Mutex::default(),
            rate_limiter: Mutex::default(),
        }
    }

    fn with_pool<T>(&self, service: &ServiceName, f: impl FnOnce(&mut Pool) -> T) -> T {
        let mut pools = lock(&self.pools);
        if !pools.contains_key(service) {
            let picker = Picker::new(picker::Settings::default(), self.zone.clone());
            let pool = Pool {
                picker,
                budget: Arc::new(Mutex::new(RetryBudget::new(limits::RETRY_BURST))),
            };
            pools.insert(service.clone(), pool);
        }
        f(pools.get_mut(service).expect("the pool was inserted above"))
    }

    /// Merges the platform's list of VMs and returns the addresses that are new.
    pub(crate) fn merge_list(&self, list: Vec<Vm>, now: Time) -> Vec<SocketAddr> {
        let mut membership = lock(&self.membership);
        let known = |address: &SocketAddr, membership: &Membership| {
            membership.get(*address).is_some() || self.static_agents.contains(address)
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

    /// Updates the picker for agents whose VM started or stopped leaving, without waiting for their
    /// next report.
    fn apply_leaving(&self, now: Time) {
        let membership = lock(&self.membership);
        let is_leaving = |link: &Link| {
            let member = membership.get(link.connection.remote_address());
            member.is_some_and(|m| m.leaving)
        };
        let mut links = lock(&self.links);
        let mut changed = Vec::new();
        for (agent, link) in links.iter_mut() {
            if is_leaving(link) != link.leaving {
                link.leaving = !link.leaving;
                changed.push((agent.clone(), link.status));
            }
        }
        drop((links, membership));
        for (agent, status) in changed {
            self.observe(&agent, &status, now);
        }
    }

    /// Stores the properties of a connected agent; returns whether to keep the connection.
    pub(crate) fn update_directory(&self, address: SocketAddr, hello: &Hello) -> bool {
        let (changed, chosen) = {
            let mut directory = lock(&self.directory);
            (
                directory.update(address, hello),
                directory.should_connect(address),
            )
        };
        if changed {
            self.subset_changed.send_replace(());
        }
        chosen
    }

    /// Removes an agent from the directory, which frees its slot in the subset for another.
    pub(crate) fn remove_from_directory(&self, address: SocketAddr) {
        if lock(&self.directory).remove(address) {
            self.subset_changed.send_replace(());
        }
    }

    /// Returns whether this entry should be connected to an agent.
    pub(crate) fn should_connect(&self, address: SocketAddr) -> bool {
        lock(&self.directory).should_connect(address)
    }

    /// Returns whether an address is in the settings or the membership.
    pub(crate) fn is_known_address(&self, address: SocketAddr) -> bool {
        self.static_agents.contains(&address) || lock(&self.membership).get(address).is_some()
    }

    /// Adds a connected agent to the membership and the links.
    pub(crate) fn add_link(&self, connection: &Connection, hello: &Hello, opened: Time, now: Time) {
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
            last_status: now,
            leaving,
        };
        lock(&self.links).insert(hello.agent.clone(), link);
    }

    /// Records the reply to a probe that was sent at `alive_after`.
    pub(crate) fn record_probe_reply(
        &self,
        agent: &AgentId,
        status: &Status,
        alive_after: Time,
        now: Time,
    ) {
        let Some(link) = lock(&self.links).get(agent).cloned() else {
            return;
        };
        let from = link.connection.remote_address();
        let report = link::build_report(from, &link.hello, status, alive_after);
        lock(&self.membership).merge_report(report, now);
        self.observe(agent, status, now);
    }

    /// Removes the agent of a lost connection, unless the agent has reconnected since.
    pub(crate) fn remove_link(&self, connection: &Connection) {
        let mut links = lock(&self.links);
        let uses_connection = |link: &Link| link.connection.stable_id() == connection.stable_id();
        let name = links
            .iter()
            .find(|(_, link)| uses_connection(link))
            .map(|(name, _)| name.clone());
        let Some(link) = name.and_then(|name| links.remove(&name)) else {
            return;
        };
        drop(links);
        self.with_pool(&link.hello.service, |pool| {
            pool.picker.remove(&link.hello.agent);
        });
    }

    /// Takes a token for one request; returns false if the organisation has used up its rate.
    /// The rate is divided by the number of entries that the agents report.
    pub(crate) fn admit(&self, who: &Organisation, rate: Rate, now: Time) -> bool {
        let entries = lock(&self.links).values().map(|l| l.status.entries).max();
        lock(&self.rate_limiter).admit(who, rate, entries.unwrap_or(1), now)
    }

    /// Drops the rate limiter state of organisations that are no longer in the document.
    pub(crate) fn retain_organisations(&self, document: &Document) {
        let known = |who: &Organisation| document.organisations.iter().any(|o| o.name == *who);
        lock(&self.rate_limiter).retain(known);
    }

    /// Returns the number of connected agents.
    pub(crate) fn count_links(&self) -> usize {
        lock(&self.links).len()
    }

    /// Returns the time since the last status of an agent, `None` if it isn't connected.
    pub(crate) fn status_age(&self, agent: &AgentId, now: Time) -> Option<Duration> {
        lock(&self.links)
            .get(agent)
            .map(|link| now.since(link.last_status))
    }

    /// Returns the connection to an agent, if it is connected.
    pub(crate) fn find_connection(&self, agent: &AgentId) -> Option<Connection> {
        lock(&self.links)
            .get(agent)
            .map(|link| link.connection.clone())
    }

    /// Returns the connection to an agent, or opens one to an agent outside the subset: the claim
    /// of a call with an idempotency key may name any agent of the service.
    pub(crate) async fn connect_to(&self, agent: &AgentId) -> Option<Connection> {
        if let Some(connection) = self.find_connection(agent) {
            return Some(connection);
        }
        let address = lock(&self.directory).find_address(agent)?;
        self.dialer.connect(address).await.ok()
    }

    /// Records the status of an agent and updates the picker of its service.
    pub(crate) fn observe(&self, agent: &AgentId, status: &Status, now: Time) {
        let (service, observation) = {
            let mut links = lock(&self.links);
            let Some(link) = links.get_mut(agent) else {
                return;
            };
            link.last_status = now;
            link.status = *status;
            let observation = Observation {
                incarnation: status.incarnation,
                window: status.window,
                zone: link.hello.zone.clone(),
                draining: status.draining || link.leaving,
                report: to_report(&status.load),
                report_age: Duration::ZERO,
            };
            (link.hello.service.clone(), observation)
        };
        self.with_pool(&service, |pool| {
            pool.picker.observe(agent, observation, now);
        });
    }

    /// Chooses a replica and records the dispatch of an attempt to it.
    pub(crate) fn choose(
        &self,
        service: &ServiceName,
        requirements: &Requirements,
        now: Time,
    ) -> Result<Target, Reason> {
        self.with_pool(service, |pool| {
            let choice = pool.picker.choose(requirements, now, &mut rand::rng())?;
            pool.picker.record_dispatch(&choice.agent, now);
            Ok(Target {
                agent: choice.agent,
                incarnation: choice.incarnation,
                window: choice.window,
            })
        })
    }

    /// Records the time to the first chunk of an answer for the replica choice.
    pub(crate) fn record_first_token(
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

    /// Records the result of an attempt for the replica choice.
    pub(crate) fn record_result(
        &self,
        service: &ServiceName,
        agent: &AgentId,
        result: AttemptResult,
        now: Time,
    ) {
        self.with_pool(service, |pool| {
            pool.picker.record_result(agent, result, now);
        });
    }

    /// Returns the retry budget of a service.
    pub(crate) fn retry_budget(&self, service: &ServiceName) -> Budget {
        self.with_pool(service, |pool| Arc::clone(&pool.budget))
    }

    /// Passes an event to a call and returns the actions to execute.
    pub(crate) fn handle(budget: &Budget, call: &mut Call, event: Event, now: Time) -> Vec<Action> {
        call.handle(event, now, &mut lock(budget))
    }

    /// Returns the agents to be probed now and records the probes as sent. The probe interval grows
    /// with the number of agents, to limit the total rate.
    pub(crate) fn take_due_probes(&self, now: Time) -> Vec<AgentId> {
        #[expect(
            clippy::cast_precision_loss,
            reason = "there are far fewer than 2^52 links"
        )]
        let probe_seconds = self.count_links() as f64 / limits::MAX_PROBES_PER_SECOND;
        let probe_delay = limits::MIN_PROBE_INTERVAL.max(Duration::from_secs_f64(probe_seconds));
        let mut pools = lock(&self.pools);
        let due = |pool: &mut Pool| {
            pool.picker.set_probe_delay(probe_delay);
            pool.picker.take_due_probes(now)
        };
        pools.values_mut().flat_map(due).collect()
    }

    /// Returns one line for each replica that says why it is or isn't chosen.
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
