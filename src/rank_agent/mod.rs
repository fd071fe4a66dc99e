//! Agent beside one rank of an engine group: reads what its rank counts, passes orders on, and, if
//! it leads the group, evens out the experts.

mod maps;
mod push;
mod roster;
mod serve;
mod steer;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use siskinbend_site::Engine;
use siskinbend_site::NodeSettings;
use siskinbend_site::Source;
use siskinbend_types::Time;

use crate::clock::BootClock;
use crate::peer::PeerClient;
use crate::platform;
use crate::shutdown::Shutdown;

use maps::Maps;
use roster::Roster;

/// Interval at which the registry is read.
const REGISTRY_READ: Duration = Duration::from_secs(20);
/// Interval at which a registry that lacks a rank of the group is read.
const REGISTRY_WAIT: Duration = Duration::from_millis(2_500);
/// Pause after the registry could not be read.
const REGISTRY_PAUSE: Duration = Duration::from_millis(800);

/// State of an agent that its tasks share.
pub(crate) struct Agent {
    settings: NodeSettings,
    /// The rank on this VM.
    own: SocketAddr,
    engine: Arc<dyn Engine>,
    source: Arc<dyn Source>,
    peers: PeerClient,
    clock: BootClock,
    shutdown: Shutdown,
    roster: Mutex<Roster>,
    maps: Mutex<Maps>,
}

/// Why an agent could not start.
#[derive(Debug, displaydoc::Display)]
pub enum StartError {
    /// the settings name no backend server on this VM
    NoBackend,
    /// the address for other agents can't be bound: {0}
    Bind(std::io::Error),
    /// the signals can't be watched: {0}
    Signals(std::io::Error),
}

impl std::error::Error for StartError {}

impl Agent {
    fn now(&self) -> Time {
        self.clock.now()
    }

    fn maps(&self) -> MutexGuard<'_, Maps> {
        self.maps.lock().unwrap_or_else(|e| e.into_inner())
    }

    fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// Runs an agent until it is asked to stop.
///
/// # Errors
///
/// Returns an error if its address can't be bound.
pub async fn run(
    settings: NodeSettings,
    file: PathBuf,
    engine: Arc<dyn Engine>,
    source: Arc<dyn Source>,
) -> Result<(), StartError> {
    let own = settings.backend.ok_or(StartError::NoBackend)?;
    let shutdown = Shutdown::default();
    shutdown.watch_signals().map_err(StartError::Signals)?;
    let agent = Arc::new(Agent {
        own,
        engine,
        source,
        peers: PeerClient::new(settings.peers.port()),
        clock: BootClock,
        shutdown,
        roster: Mutex::new(Roster::new(own)),
        maps: Mutex::default(),
        settings,
    });
    platform::watch_settings(file, |_| {}).map_err(StartError::Signals)?;
    log::info!(
        node:% = agent.settings.node,
        zone:% = agent.settings.zone,
        rank:% = own,
        peers:% = agent.settings.peers;
        "rank_agent_started"
    );
    serve::start(&agent).await.map_err(StartError::Bind)?;
    tokio::spawn(follow_registry(Arc::clone(&agent)));
    tokio::spawn(push::run(Arc::clone(&agent)));
    steer::run(&agent).await;
    log::info!(node:% = agent.settings.node; "rank_agent_stopped");
    Ok(())
}

async fn follow_registry(agent: Arc<Agent>) {
    let mut lost = false;
    loop {
        match agent.source.read_servers().await {
            Ok(change) => {
                if std::mem::take(&mut lost) {
                    log::info!(matter = "servers"; "store_regained");
                }
                let service = agent.settings.service.clone();
                let ranks = change
                    .content
                    .into_iter()
                    .filter(|s| service.as_ref().is_none_or(|own| *own == s.service))
                    .map(|s| s.address)
                    .collect();
                agent.roster().set_members(ranks);
                wait_registry(&agent).await;
            }
            Err(error) => {
                if !std::mem::replace(&mut lost, true) {
                    log::warn!(matter = "servers", error:% = error; "store_lost");
                }
                tokio::time::sleep(REGISTRY_PAUSE).await;
            }
        }
    }
}

/// Waits until the registry should be read again: sooner if a rank of the group was missing.
async fn wait_registry(agent: &Agent) {
    let mut waited = Duration::ZERO;
    while waited < REGISTRY_READ {
        tokio::time::sleep(REGISTRY_WAIT).await;
        waited += REGISTRY_WAIT;
        if !agent.roster().is_complete() {
            return;
        }
    }
}
