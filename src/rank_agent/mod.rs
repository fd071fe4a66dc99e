//! Agent of one rank of an engine group: reports its rank's state and expert counts, relays orders,
//! and rebalances the experts if it leads the group.

mod directory;
mod leader;
mod limits;
mod map_history;
mod relay;
mod report;
mod server;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use siskinbend_groups::view::GroupView;
use siskinbend_site::Engine;
use siskinbend_site::NodeSettings;
use siskinbend_site::Source;
use siskinbend_site::registry::Registry;
use siskinbend_types::Time;
use siskinbend_types::Zone;
use tokio::time::sleep;

use crate::clock::BootClock;
use crate::peer::PeerClient;
use crate::platform;
use crate::shutdown::Shutdown;

use map_history::MapHistory;

/// Interval of registry reads.
const REGISTRY_INTERVAL: Duration = Duration::from_secs(20);
/// Interval of registry reads while a rank of the group is not registered.
const INCOMPLETE_REGISTRY_INTERVAL: Duration = Duration::from_millis(2_500);
/// Delay before a failed registry read is retried.
const REGISTRY_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Shared state of an agent's tasks.
pub(crate) struct Agent {
    settings: NodeSettings,
    /// Address of the rank on this VM.
    rank_address: SocketAddr,
    engine: Arc<dyn Engine>,
    source: Arc<dyn Source>,
    peers: PeerClient,
    clock: BootClock,
    shutdown: Shutdown,
    group_view: Mutex<GroupView>,
    map_history: Mutex<MapHistory>,
}

/// Why an agent cannot start.
#[derive(Debug, displaydoc::Display)]
pub enum StartError {
    /// the settings have no address of a backend server on this VM
    NoBackend,
    /// cannot bind the listener for other agents: {0}
    Bind(std::io::Error),
    /// cannot install the signal handlers: {0}
    Signals(std::io::Error),
}

impl std::error::Error for StartError {}

impl Agent {
    fn now(&self) -> Time {
        self.clock.now()
    }

    fn map_history(&self) -> MutexGuard<'_, MapHistory> {
        self.map_history.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn group_view(&self) -> MutexGuard<'_, GroupView> {
        self.group_view.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Runs an agent until it receives a stop signal.
///
/// # Errors
///
/// Returns an error if the settings lack the rank's address, the agent's address cannot be bound or
/// the signal handlers cannot be installed.
pub async fn run(
    settings: NodeSettings,
    settings_file: PathBuf,
    engine: Arc<dyn Engine>,
    source: Arc<dyn Source>,
) -> Result<(), StartError> {
    let rank_address = settings.backend.ok_or(StartError::NoBackend)?;
    let shutdown = Shutdown::default();
    shutdown.watch_signals().map_err(StartError::Signals)?;
    let agent = Arc::new(Agent {
        rank_address,
        engine,
        source,
        peers: PeerClient::new(settings.peers.port()),
        clock: BootClock,
        shutdown,
        group_view: Mutex::new(GroupView::new(rank_address, settings.zone.clone())),
        map_history: Mutex::default(),
        settings,
    });
    platform::watch_settings(settings_file, |_| {}).map_err(StartError::Signals)?;
    log::info!(
        node:% = agent.settings.node,
        zone:% = agent.settings.zone,
        rank:% = rank_address,
        peers:% = agent.settings.peers;
        "rank_agent_started"
    );
    server::start(&agent).await.map_err(StartError::Bind)?;
    tokio::spawn(poll_registry(Arc::clone(&agent)));
    tokio::spawn(report::run(Arc::clone(&agent)));
    tokio::spawn(directory::run(Arc::clone(&agent)));
    tokio::spawn(limits::run(Arc::clone(&agent)));
    leader::run(&agent).await;
    log::info!(node:% = agent.settings.node; "rank_agent_stopped");
    Ok(())
}

async fn poll_registry(agent: Arc<Agent>) {
    let mut registry = Registry::default();
    let mut is_failing = false;
    loop {
        match agent.source.read_servers().await {
            Ok(read) => {
                if std::mem::take(&mut is_failing) {
                    log::info!(matter = "servers"; "store_regained");
                }
                let now = agent.now();
                registry.replace(read.content, read.position.timeline, now);
                registry.update(now);
                agent
                    .group_view()
                    .set_registered(list_ranks(&agent, &registry));
                match registry.is_recovering(now) {
                    true => sleep(INCOMPLETE_REGISTRY_INTERVAL).await,
                    false => wait_for_next_read(&agent).await,
                }
            }
            Err(error) => {
                registry.record_failure();
                if !std::mem::replace(&mut is_failing, true) {
                    log::warn!(matter = "servers", error:% = error; "store_lost");
                }
                sleep(REGISTRY_RETRY_DELAY).await;
            }
        }
    }
}

/// Lists the ranks of the service with their availability zones.
fn list_ranks(agent: &Agent, registry: &Registry) -> BTreeMap<SocketAddr, Zone> {
    let service = agent.settings.service.as_ref();
    registry
        .list()
        .filter(|s| service.is_none_or(|own| *own == s.service))
        .map(|s| (s.address, s.zone.clone()))
        .collect()
}

/// Waits until the registry should be read again, which is sooner if a rank of the group is
/// missing.
async fn wait_for_next_read(agent: &Agent) {
    let mut waited = Duration::ZERO;
    while waited < REGISTRY_INTERVAL {
        sleep(INCOMPLETE_REGISTRY_INTERVAL).await;
        waited += INCOMPLETE_REGISTRY_INTERVAL;
        if agent.group_view().lacks_registrations() {
            return;
        }
    }
}
