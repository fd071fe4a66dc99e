//! The agent's part in a group of ranks: map switches, count reports and placement.

mod connections;
mod driver;
mod engine;
mod lease;
mod planner;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use quinn::Connection;
use quinn::Endpoint;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use siskinbend_control::lease::Event as LeaseEvent;
use siskinbend_document::Document;
use siskinbend_document::Group;
use siskinbend_groups::EngineState;
use siskinbend_groups::MapRef;
use siskinbend_placement::ExpertMap;
use siskinbend_placement::Shape;
use siskinbend_types::FencingNumber;
use siskinbend_types::Time;

use self::connections::Payload;
use self::connections::RankConnections;
use self::driver::Driver;
use self::engine::Engine;
use self::engine::EngineError;
use self::engine::RankView;
use self::engine::TokenCounts;
use self::lease::LeaseHolder;
use super::Agent;
use crate::limits;
use crate::metrics::ReasonLabels;
use crate::platform;
use crate::settings::GroupSettings;

/// Input of the group's task.
enum Input {
    /// A message from the agent of another rank.
    Message(Payload, Connection),
    /// State of the rank, with the time at which it was requested.
    RankView(RankView, Time),
    /// State of the rank after a write of the record.
    RecordWritten(EngineState),
    /// Answer of the engine to a load command.
    LoadAnswered(MapRef, Result<(), EngineError>),
    /// Token counts of the rank since the last read.
    TokenCounts(Vec<TokenCounts>),
    /// Content of the committed map, or why it could not be read.
    Map(MapRef, Result<ExpertMap, String>),
    /// Result of a store call for the lease.
    LeaseEvent(LeaseEvent),
    /// Fencing number of the lease row, read at the start.
    InitialFence(FencingNumber),
}

/// Handle to the group's task for the other tasks of the agent.
pub(crate) struct GroupHandle {
    inbox: mpsc::Sender<Input>,
    receiver: Mutex<Option<mpsc::Receiver<Input>>>,
    status_line: Mutex<String>,
    /// Whether no switch in progress depends on this agent.
    settled: watch::Sender<bool>,
}

impl Default for GroupHandle {
    fn default() -> Self {
        let (inbox, receiver) = mpsc::channel(limits::GROUP_INBOX_CAPACITY);
        Self {
            inbox,
            receiver: Mutex::new(Some(receiver)),
            status_line: Mutex::new("not started".to_owned()),
            settled: watch::Sender::new(true),
        }
    }
}

impl GroupHandle {
    /// Passes a received message to the group's task.
    pub(super) fn receive(&self, bytes: &Bytes, connection: Connection) {
        match postcard::from_bytes(bytes) {
            // A message that does not fit in the inbox is dropped; its sender repeats it.
            Ok(payload) => {
                let _ = self.inbox.try_send(Input::Message(payload, connection));
            }
            Err(error) => log::warn!(error:% = error; "group_message_malformed"),
        }
    }

    /// Returns one line for the status page.
    pub(super) fn describe(&self) -> String {
        self.status_line
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Waits until no switch in progress depends on this agent.
    pub(super) async fn wait_settled(&self) {
        // This cannot fail: the handle owns the sender.
        let _ = self.settled.subscribe().wait_for(|settled| *settled).await;
    }

    fn publish(&self, status_line: String, settled: bool) {
        *self
            .status_line
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = status_line;
        self.settled
            .send_if_modified(|old| std::mem::replace(old, settled) != settled);
    }
}

impl Agent {
    fn record_group_fault(&self, reason: &'static str) {
        let labels = ReasonLabels { reason };
        self.metrics.group_faults.get_or_create(&labels).inc();
    }
}

/// Starts the group's task. A panic in it is a broken invariant and ends the process.
pub(super) fn start(agent: &Arc<Agent>, endpoint: &Endpoint, tasks: &TaskTracker) {
    let (Some(settings), Some(handle)) = (&agent.settings.group, &agent.group) else {
        return;
    };
    let receiver = handle
        .receiver
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .take();
    let Some(receiver) = receiver else { return };
    let connections = RankConnections::new(
        Arc::clone(agent),
        endpoint.clone(),
        tasks.clone(),
        &settings.peers,
    );
    let task = tokio::spawn(run(
        Arc::clone(agent),
        Arc::clone(handle),
        settings.clone(),
        connections,
        receiver,
    ));
    tokio::spawn(async move {
        if task.await.is_err() {
            log::error!("invariant_broken");
            std::process::abort();
        }
    });
}

async fn run(
    agent: Arc<Agent>,
    handle: Arc<GroupHandle>,
    settings: GroupSettings,
    connections: Arc<RankConnections>,
    receiver: mpsc::Receiver<Input>,
) {
    let (group, shape) = wait_group(&agent, &settings, &handle).await;
    let engine = Engine::new(agent.settings.backend.clone(), settings.rank);
    let engine = Arc::new(engine);
    let view = wait_engine(&agent, &engine).await;
    let inbox = handle.inbox.clone();
    let common = &agent.settings.common;
    let store = common.platform.as_ref().map(platform::connect);
    let holder = match (store, lease::build_key(&settings.name)) {
        (Some(store), Some(key)) => {
            let read_fence =
                lease::read_initial_fence(Arc::clone(&store), key.clone(), inbox.clone());
            tokio::spawn(read_fence);
            Some(LeaseHolder::new(
                key,
                agent.incarnation,
                store,
                inbox.clone(),
            ))
        }
        _ => {
            log::warn!(group:% = settings.name; "placement_needs_platform");
            None
        }
    };
    tokio::spawn(poll_engine(
        Arc::clone(&agent),
        Arc::clone(&engine),
        inbox.clone(),
    ));
    let driver = Driver::start(driver::Context {
        agent,
        handle,
        settings,
        connections,
        engine,
        holder,
        group,
        shape,
        state: view.state,
    });
    driver.run(receiver).await;
}

/// Finds the group's entry in a document.
fn find_group(document: &Document, settings: &GroupSettings) -> Option<Group> {
    let mut groups = document.groups.iter();
    groups.find(|group| group.name == settings.name).cloned()
}

/// Waits until the document contains the group, with the service and the number of ranks of the
/// settings.
async fn wait_group(
    agent: &Agent,
    settings: &GroupSettings,
    handle: &GroupHandle,
) -> (Group, Shape) {
    let mut reported = None;
    loop {
        if let Some(document) = agent.active.document() {
            let found = find_group(&document, settings);
            let problem = match &found {
                None => "the document does not contain the group",
                Some(group) if group.service != agent.settings.service => {
                    "the group belongs to another service"
                }
                Some(group) if usize::try_from(group.ranks) != Ok(settings.count_ranks()) => {
                    "the number of ranks differs from the settings"
                }
                Some(_) => "the group is too large for the placement",
            };
            let fits = |group: &Group| {
                group.service == agent.settings.service
                    && usize::try_from(group.ranks) == Ok(settings.count_ranks())
            };
            if let Some(group) = found.filter(fits)
                && let Some(shape) = planner::build_shape(&group)
            {
                return (group, shape);
            }
            if reported != Some(problem) {
                reported = Some(problem);
                log::error!(group:% = settings.name, problem; "group_unusable");
                handle.publish(problem.to_owned(), true);
            }
        }
        tokio::time::sleep(limits::TICK_INTERVAL).await;
    }
}

/// Waits until the engine answers for its rank.
async fn wait_engine(agent: &Agent, engine: &Engine) -> RankView {
    let mut reported = false;
    loop {
        match engine.read_state().await {
            Ok(view) => return view,
            Err(error) if !reported => {
                reported = true;
                log::warn!(error:% = error; "rank_state_unavailable");
                agent.record_group_fault("engine_unavailable");
            }
            Err(_) => {}
        }
        tokio::time::sleep(limits::TICK_INTERVAL).await;
    }
}

/// Polls the state of the rank.
async fn poll_engine(agent: Arc<Agent>, engine: Arc<Engine>, inbox: mpsc::Sender<Input>) {
    let mut ticks = tokio::time::interval(limits::RANK_POLL_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut available = true;
    loop {
        ticks.tick().await;
        let requested_at = agent.clock.now();
        match engine.read_state().await {
            Ok(view) => {
                available = true;
                if inbox
                    .send(Input::RankView(view, requested_at))
                    .await
                    .is_err()
                {
                    return;
                }
            }
            Err(error) => {
                if std::mem::replace(&mut available, false) {
                    log::warn!(error:% = error; "rank_state_unavailable");
                    agent.record_group_fault("engine_unavailable");
                }
                tokio::time::sleep(limits::TICK_INTERVAL).await;
            }
        }
    }
}
