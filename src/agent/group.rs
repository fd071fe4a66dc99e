//! The agent's part of a group of ranks: map switches, count reports and placement.

mod driver;
mod engine;
mod lease;
mod links;
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

use self::driver::Driver;
use self::engine::Engine;
use self::engine::EngineError;
use self::engine::RankView;
use self::engine::TokenCounts;
use self::lease::Holder;
use self::links::Links;
use self::links::Payload;
use super::Agent;
use crate::limits;
use crate::metrics::ReasonLabels;
use crate::platform;
use crate::settings::GroupSettings;

/// Something that the group's task hears.
enum Input {
    /// A message of another rank's agent.
    Message(Payload, Connection),
    /// The rank's state, asked for at that time.
    Engine(RankView, Time),
    /// The rank's state after a write.
    Written(EngineState),
    /// The engine's answer to a load command.
    Load(MapRef, Result<(), EngineError>),
    /// The rank's counts since the last read.
    Tokens(Vec<TokenCounts>),
    /// The content of a map in force.
    Map(MapRef, Result<ExpertMap, String>),
    /// The result of a call of the store for the lease.
    Lease(LeaseEvent),
    /// The number of the lease row.
    Fence(FencingNumber),
}

/// What the other tasks of the agent use of its group.
pub(crate) struct Port {
    inbox: mpsc::Sender<Input>,
    receiver: Mutex<Option<mpsc::Receiver<Input>>>,
    note: Mutex<String>,
    /// No switch depends on an answer of this agent.
    settled: watch::Sender<bool>,
}

impl Default for Port {
    fn default() -> Self {
        let (inbox, receiver) = mpsc::channel(limits::GROUP_INBOX_CAPACITY);
        Self {
            inbox,
            receiver: Mutex::new(Some(receiver)),
            note: Mutex::new("not started".to_owned()),
            settled: watch::Sender::new(true),
        }
    }
}

impl Port {
    /// Hands over a message that came over a connection.
    pub(super) fn receive(&self, bytes: &Bytes, connection: Connection) {
        match postcard::from_bytes(bytes) {
            // A full inbox drops the message; its sender repeats it.
            Ok(payload) => {
                let _ = self.inbox.try_send(Input::Message(payload, connection));
            }
            Err(error) => log::warn!(error:% = error; "group_message_malformed"),
        }
    }

    /// One line for the status page.
    pub(super) fn describe(&self) -> String {
        self.note
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Waits until no switch depends on this agent.
    pub(super) async fn wait_settled(&self) {
        // The sender lives as long as the port.
        let _ = self.settled.subscribe().wait_for(|settled| *settled).await;
    }

    fn publish(&self, note: String, settled: bool) {
        *self.note.lock().unwrap_or_else(PoisonError::into_inner) = note;
        self.settled
            .send_if_modified(|old| std::mem::replace(old, settled) != settled);
    }
}

impl Agent {
    fn count_group(&self, reason: &'static str) {
        let labels = ReasonLabels { reason };
        self.metrics.group_faults.get_or_create(&labels).inc();
    }
}

/// Starts the group's task; a broken invariant in it ends the process.
pub(super) fn start(agent: &Arc<Agent>, endpoint: &Endpoint, tasks: &TaskTracker) {
    let (Some(settings), Some(port)) = (&agent.settings.group, &agent.group) else {
        return;
    };
    let receiver = port
        .receiver
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .take();
    let Some(receiver) = receiver else { return };
    let links = Links::new(
        Arc::clone(agent),
        endpoint.clone(),
        tasks.clone(),
        &settings.peers,
    );
    let running = tokio::spawn(run(
        Arc::clone(agent),
        Arc::clone(port),
        settings.clone(),
        links,
        receiver,
    ));
    tokio::spawn(async move {
        if running.await.is_err() {
            log::error!("invariant_broken");
            std::process::abort();
        }
    });
}

async fn run(
    agent: Arc<Agent>,
    port: Arc<Port>,
    settings: GroupSettings,
    links: Arc<Links>,
    receiver: mpsc::Receiver<Input>,
) {
    let (group, shape) = wait_group(&agent, &settings, &port).await;
    let engine = Engine::new(agent.settings.backend.clone(), settings.rank);
    let engine = Arc::new(engine);
    let view = wait_engine(&agent, &engine).await;
    let inbox = port.inbox.clone();
    let common = &agent.settings.common;
    let store = common.platform.as_ref().map(platform::connect);
    let holder = match (store, lease::build_key(&settings.name)) {
        (Some(store), Some(key)) => {
            let learning = lease::learn_fence(Arc::clone(&store), key.clone(), inbox.clone());
            tokio::spawn(learning);
            Some(Holder::new(key, agent.incarnation, store, inbox.clone()))
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
    let driver = Driver::start(driver::Parts {
        agent,
        port,
        settings,
        links,
        engine,
        holder,
        group,
        shape,
        state: view.state,
    });
    driver.run(receiver).await;
}

/// The group's entry in a document.
fn find_group(document: &Document, settings: &GroupSettings) -> Option<Group> {
    let mut groups = document.groups.iter();
    groups.find(|group| group.name == settings.name).cloned()
}

/// Waits until the document has the group with as many ranks as the settings.
async fn wait_group(agent: &Agent, settings: &GroupSettings, port: &Port) -> (Group, Shape) {
    let mut reported = None;
    loop {
        if let Some(document) = agent.active.document() {
            let found = find_group(&document, settings);
            let problem = match &found {
                None => "the document doesn't have the group",
                Some(group) if group.service != agent.settings.service => {
                    "the group belongs to another service"
                }
                Some(group) if usize::try_from(group.ranks) != Ok(settings.count_ranks()) => {
                    "the group has another number of ranks"
                }
                Some(_) => "the group is larger than the placement can handle",
            };
            let fits = |group: &Group| {
                group.service == agent.settings.service
                    && usize::try_from(group.ranks) == Ok(settings.count_ranks())
            };
            if let Some(group) = found.filter(fits)
                && let Some(shape) = planner::read_shape(&group)
            {
                return (group, shape);
            }
            if reported != Some(problem) {
                reported = Some(problem);
                log::error!(group:% = settings.name, problem; "group_unusable");
                port.publish(problem.to_owned(), true);
            }
        }
        tokio::time::sleep(limits::TICK_INTERVAL).await;
    }
}

/// Waits until the engine's rank answers.
async fn wait_engine(agent: &Agent, engine: &Engine) -> RankView {
    let mut reported = false;
    loop {
        match engine.read_state().await {
            Ok(view) => return view,
            Err(error) if !reported => {
                reported = true;
                log::warn!(error:% = error; "rank_state_unavailable");
                agent.count_group("engine_unavailable");
            }
            Err(_) => {}
        }
        tokio::time::sleep(limits::TICK_INTERVAL).await;
    }
}

/// Reads the rank's state again and again.
async fn poll_engine(agent: Arc<Agent>, engine: Arc<Engine>, inbox: mpsc::Sender<Input>) {
    let mut ticks = tokio::time::interval(limits::RANK_POLL_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut available = true;
    loop {
        ticks.tick().await;
        let asked = agent.clock.now();
        match engine.read_state().await {
            Ok(view) => {
                available = true;
                if inbox.send(Input::Engine(view, asked)).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                if std::mem::replace(&mut available, false) {
                    log::warn!(error:% = error; "rank_state_unavailable");
                    agent.count_group("engine_unavailable");
                }
                tokio::time::sleep(limits::TICK_INTERVAL).await;
            }
        }
    }
}
