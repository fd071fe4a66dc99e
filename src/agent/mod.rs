//! The agent: runs next to one backend server and schedules the requests that it serves.

mod attempt;
mod backend;
mod group;
mod peer;
mod scheduler;

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use displaydoc::Display;
use quinn::Connection;
use quinn::Endpoint;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use siskinbend_groups::RankIndex;
use siskinbend_types::Incarnation;
use siskinbend_types::ServiceName;
use siskinbend_wire::Dispatch;
use siskinbend_wire::Hello;
use siskinbend_wire::Status;
use siskinbend_wire::TransportError;
use siskinbend_wire::transport;

use self::backend::Backend;
use self::scheduler::Scheduler;
use crate::admin;
use crate::admin::AdminState;
use crate::admin::ProcessStatus;
use crate::clock::Clock;
use crate::document;
use crate::document::ActiveDocument;
use crate::document_sync::ApplyCallback;
use crate::document_sync::DocumentSync;
use crate::keys;
use crate::limits;
use crate::metrics::Metrics;
use crate::platform;
use crate::settings;
use crate::shutdown::Shutdown;
use crate::vms;

/// Why an agent cannot start.
#[derive(Debug, Display)]
pub enum AgentError {
    /// {0}
    Transport(TransportError),
    /// {0}
    Document(document::LoadError),
    /// cannot bind the admin address: {0}
    Admin(std::io::Error),
    /// cannot install the signal handlers: {0}
    Signals(std::io::Error),
}

/// State of an agent process.
pub(crate) struct Agent {
    pub(crate) settings: settings::Agent,
    pub(crate) clock: Clock,
    pub(crate) incarnation: Incarnation,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) shutdown: Shutdown,
    pub(crate) scheduler: Arc<Scheduler>,
    pub(crate) backend: Backend,
    pub(crate) active: Arc<ActiveDocument>,
    pub(crate) document_sync: Arc<DocumentSync>,
    /// Stable ids of the connections that belong to entries.
    entry_connections: Mutex<HashSet<usize>>,
    /// Handle to the task of the group, if the backend server is a rank of one.
    pub(crate) group: Option<Arc<group::GroupHandle>>,
    /// Wakes the tasks that push the status to peers.
    pub(crate) status_changed: watch::Sender<()>,
}

impl Agent {
    fn new(settings: settings::Agent, active: ActiveDocument) -> Arc<Self> {
        let clock = Clock::start();
        let incarnation = Incarnation(rand::random());
        let scheduler = Arc::new(Scheduler::new(incarnation, clock.now()));
        let metrics = Arc::new(Metrics::default());
        let active = Arc::new(active);
        let apply = build_apply_callback(settings.service.clone(), &scheduler, &metrics);
        if let (Some(document), Some(version)) = (active.document(), active.version()) {
            apply(&document, version);
        }
        let common = &settings.common;
        let store = common.platform.as_ref().map(platform::connect);
        let environment = common.environment;
        let document_sync =
            DocumentSync::new(Arc::clone(&active), store, environment, clock, apply);
        Arc::new(Self {
            clock,
            incarnation,
            metrics,
            shutdown: Shutdown::default(),
            scheduler,
            backend: Backend::new(settings.backend.clone()),
            active,
            document_sync,
            entry_connections: Mutex::default(),
            group: settings.group.as_ref().map(|_| Arc::default()),
            status_changed: watch::Sender::new(()),
            settings,
        })
    }

    fn lock_entry_connections(&self) -> MutexGuard<'_, HashSet<usize>> {
        self.entry_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a connection belongs to an entry; only entries send dispatches and probes.
    pub(crate) fn register_entry(&self, connection: &Connection) {
        self.lock_entry_connections().insert(connection.stable_id());
    }

    /// Removes a lost connection.
    pub(crate) fn unregister_entry(&self, connection: &Connection) {
        self.lock_entry_connections()
            .remove(&connection.stable_id());
    }

    fn count_entries(&self) -> u16 {
        u16::try_from(self.lock_entry_connections().len()).unwrap_or(u16::MAX)
    }

    /// The status that is sent along with answers and reports.
    pub(crate) fn status(&self) -> Status {
        let now = self.clock.now();
        Status {
            entries: self.count_entries(),
            newest: self.active.version(),
            ..self.scheduler.status(self.incarnation, now)
        }
    }

    fn build_hello(&self) -> Hello {
        Hello {
            agent: self.settings.common.name.clone(),
            zone: self.settings.common.zone.clone(),
            service: self.settings.service.clone(),
            serving: self.is_serving(),
            status: self.status(),
        }
    }

    /// Returns whether entries may choose this agent. In a group, only the agent of rank 0 serves
    /// entries.
    fn is_serving(&self) -> bool {
        let group = self.settings.group.as_ref();
        group.is_none_or(|group| group.rank == RankIndex(0))
    }

    /// Maximum size in bytes of the request body that the document allows for a dispatch.
    pub(crate) fn body_limit(&self, dispatch: &Dispatch) -> usize {
        let limit = self.active.document().and_then(|document| {
            let service = document.find_service(self.settings.service.as_str())?;
            let path = dispatch.path.split('?').next()?.strip_prefix("/v1")?;
            Some(service.find_route(&dispatch.method, path)?.body_limit.0)
        });
        limit
            .and_then(|bytes| usize::try_from(bytes).ok())
            .unwrap_or(0)
    }

    fn drain_timeout(&self) -> Duration {
        self.active
            .document()
            .and_then(|d| {
                d.find_service(self.settings.service.as_str())
                    .map(|s| s.drain_ms)
            })
            .map_or(limits::DRAIN_TIMEOUT, Duration::from_millis)
    }
}

impl AdminState for Agent {
    fn is_ready(&self) -> bool {
        !self.shutdown.is_draining() && self.active.version().is_some()
    }

    fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    fn status(&self) -> ProcessStatus {
        let status = Agent::status(self);
        let document = status.newest;
        let mut notes = vec![format!(
            "service={} running={} queued={} slots={} window={}",
            self.settings.service,
            status.load.running,
            status.load.queued,
            status.load.slots,
            status.window,
        )];
        notes.extend(self.group.as_ref().map(|group| group.describe()));
        ProcessStatus {
            name: self.settings.common.name.to_string(),
            role: "agent".to_owned(),
            zone: self.settings.common.zone.to_string(),
            incarnation: self.incarnation.to_string(),
            draining: status.draining,
            version: document.map(|d| d.version.0),
            digest: document.map(|d| d.digest.to_string()),
            notes,
        }
    }

    fn document_sync(&self) -> &DocumentSync {
        &self.document_sync
    }

    fn shutdown(&self) -> &Shutdown {
        &self.shutdown
    }
}

/// Builds the callback that applies the limits of a new document to this agent.
fn build_apply_callback(
    name: ServiceName,
    scheduler: &Arc<Scheduler>,
    metrics: &Arc<Metrics>,
) -> ApplyCallback {
    let scheduler = Arc::clone(scheduler);
    let metrics = Arc::clone(metrics);
    Box::new(move |document, version| {
        match document.find_service(name.as_str()) {
            Some(service) => scheduler.configure(service, &document.organisations),
            // The service was removed; entries send no more requests for it.
            None => log::warn!(service:% = name; "service_not_in_document"),
        }
        metrics
            .version
            .set(i64::try_from(version.version.0).unwrap_or(i64::MAX));
    })
}

/// Runs an agent until it has drained.
///
/// # Errors
///
/// Returns an error if the agent cannot start.
pub async fn run(settings: settings::Agent) -> Result<(), AgentError> {
    let common = settings.common.clone();
    let active = ActiveDocument::load(&common).map_err(AgentError::Document)?;
    let keys = keys::load(&common).map_err(AgentError::Transport)?;
    let ranks = settings.group.as_ref().map_or(0, |group| group.peers.len());
    let endpoint =
        transport::bind_server(common.listen, &keys, ranks).map_err(AgentError::Transport)?;
    let agent = Agent::new(settings, active);
    tokio::spawn(keys::watch(
        common.clone(),
        Some(endpoint.clone()),
        None,
        || 0,
    ));
    agent
        .shutdown
        .watch_signals()
        .map_err(AgentError::Signals)?;
    let admin = admin::serve(common.admin, Arc::<Agent>::clone(&agent))
        .await
        .map_err(AgentError::Admin)?;
    log::info!(
        name:% = common.name, service:% = agent.settings.service, listen:% = common.listen,
        admin:% = admin, incarnation:% = agent.incarnation;
        "agent_started"
    );
    let tasks = TaskTracker::new();
    tasks.spawn(run_ticks(Arc::clone(&agent)));
    if agent.settings.common.document.is_none() {
        tokio::spawn(Arc::clone(&agent.document_sync).run());
    }
    tokio::spawn(watch_vms(Arc::clone(&agent)));
    group::start(&agent, &endpoint, &tasks);
    tokio::spawn(peer::accept(
        Arc::clone(&agent),
        endpoint.clone(),
        tasks.clone(),
    ));
    agent.shutdown.wait().await;
    drain(&agent, &endpoint, &tasks).await;
    Ok(())
}

/// Starts the drain when the platform's VM list marks this VM as leaving.
async fn watch_vms(agent: Arc<Agent>) {
    let Some(authority) = agent.settings.common.platform.clone() else {
        return;
    };
    let store = platform::connect(&authority);
    let own = agent.settings.common.listen;
    vms::watch(store, limits::AGENT_LIST_INTERVAL, |list| {
        agent.document_sync.set_node_count(list.len());
        if vms::is_leaving(&list, own) && !agent.shutdown.is_draining() {
            log::info!(source = "platform"; "drain_started");
            agent.shutdown.drain();
        }
    })
    .await;
}

async fn run_ticks(agent: Arc<Agent>) {
    let mut ticks = tokio::time::interval(limits::TICK_INTERVAL);
    while !(agent.shutdown.is_draining() && agent.scheduler.is_idle()) {
        ticks.tick().await;
        agent.scheduler.tick(agent.clock.now());
    }
}

async fn drain(agent: &Agent, endpoint: &Endpoint, tasks: &TaskTracker) {
    agent.scheduler.drain();
    agent.status_changed.send_replace(());
    tasks.close();
    let limit = agent.drain_timeout();
    if tokio::time::timeout(limit, tasks.wait()).await.is_err() {
        let load = agent.status().load;
        log::warn!(running = load.running, queued = load.queued; "drain_time_exceeded");
    }
    if let Some(group) = &agent.group {
        // If this agent has promised a switch, the steps of the whole group wait for its decision.
        let settled = tokio::time::timeout(limits::GROUP_LEAVE_TIMEOUT, group.wait_settled()).await;
        if settled.is_err() {
            log::warn!(group = group.describe(); "left_during_switch");
        }
    }
    endpoint.close(quinn::VarInt::from_u32(0), b"drained");
    // The timeout expires only if the network is down; then the peers cannot get the close frame.
    let _ = tokio::time::timeout(limits::CONTROL_TIMEOUT, endpoint.wait_idle()).await;
    log::info!(name:% = agent.settings.common.name; "agent_drained");
}
