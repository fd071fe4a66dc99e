//! The entry: takes the callers' requests and drives each to its outcome.

mod answer;
mod claims;
mod driver;
mod fleet;
mod http;
mod link;
mod problem;
mod server;

use std::sync::Arc;

use displaydoc::Display;
use tokio_util::task::TaskTracker;

use siskinbend_store::Table;
use siskinbend_types::Incarnation;
use siskinbend_wire::Keys;
use siskinbend_wire::TransportError;
use siskinbend_wire::transport;

use self::fleet::Fleet;
use crate::admin;
use crate::admin::Pages;
use crate::admin::ProcessStatus;
use crate::clock::Clock;
use crate::document;
use crate::document::Active;
use crate::limits;
use crate::metrics::Metrics;
use crate::platform;
use crate::settings;
use crate::shutdown::Shutdown;

/// Why an entry can't start.
#[derive(Debug, Display)]
pub enum EntryError {
    /// {0}
    Transport(TransportError),
    /// {0}
    Document(document::LoadError),
    /// the address for callers can't be bound: {0}
    Listen(std::io::Error),
    /// the admin address can't be bound: {0}
    Admin(std::io::Error),
    /// signals can't be watched: {0}
    Signals(std::io::Error),
}

/// State of an entry process.
pub(crate) struct Entry {
    pub(crate) settings: settings::Entry,
    pub(crate) clock: Clock,
    pub(crate) incarnation: Incarnation,
    pub(crate) metrics: Metrics,
    pub(crate) shutdown: Shutdown,
    pub(crate) active: Active,
    pub(crate) fleet: Fleet,
    pub(crate) table: Option<Arc<dyn Table>>,
    /// Requests in flight; a draining entry waits for them.
    pub(crate) requests: TaskTracker,
}

impl Pages for Entry {
    fn is_ready(&self) -> bool {
        !self.shutdown.is_draining() && self.active.newest().is_some()
    }

    fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    fn status(&self) -> ProcessStatus {
        let newest = self.active.newest();
        ProcessStatus {
            name: self.settings.common.name.to_string(),
            role: "entry",
            zone: self.settings.common.zone.to_string(),
            incarnation: self.incarnation.to_string(),
            draining: self.shutdown.is_draining(),
            version: newest.map(|n| n.version.0),
            digest: newest.map(|n| n.digest.to_string()),
            notes: self.fleet.explain(self.clock.now()),
        }
    }

    fn shutdown(&self) -> &Shutdown {
        &self.shutdown
    }
}

/// Runs an entry until it has drained.
///
/// # Errors
///
/// Returns why it can't start.
pub async fn run(settings: settings::Entry) -> Result<(), EntryError> {
    let common = settings.common.clone();
    let active = Active::start(&common).map_err(EntryError::Document)?;
    let keys = Keys::load(&common.ca, &common.cert, &common.key).map_err(EntryError::Transport)?;
    let local = std::net::SocketAddr::new(common.listen.ip(), 0);
    let endpoint = transport::dial_only(local, &keys).map_err(EntryError::Transport)?;
    let entry = Arc::new(Entry {
        clock: Clock::start(),
        incarnation: Incarnation(rand::random()),
        metrics: Metrics::default(),
        shutdown: Shutdown::default(),
        active,
        fleet: Fleet::new(endpoint.clone(), common.zone.clone()),
        table: common
            .platform
            .as_ref()
            .map(|p| platform::connect(p) as Arc<dyn Table>),
        requests: TaskTracker::new(),
        settings,
    });
    entry
        .shutdown
        .watch_signals()
        .map_err(EntryError::Signals)?;
    let admin = admin::serve(common.admin, Arc::<Entry>::clone(&entry))
        .await
        .map_err(EntryError::Admin)?;
    for (name, address) in entry.settings.agents.clone() {
        tokio::spawn(link::keep(Arc::clone(&entry), name, address));
    }
    tokio::spawn(link::probe(Arc::clone(&entry)));
    let serving = server::start(Arc::clone(&entry), common.listen)
        .await
        .map_err(EntryError::Listen)?;
    log::info!(
        name:% = common.name, listen:% = serving.address, admin:% = admin,
        incarnation:% = entry.incarnation;
        "entry_started"
    );
    entry.shutdown.wait().await;
    tokio::time::sleep(limits::READY_GRACE).await;
    serving.drain(limits::ENTRY_DRAIN).await;
    endpoint.close(quinn::VarInt::from_u32(0), b"drained");
    // The peers get the close frame unless the network is down; then there is nothing to wait for.
    let _ = tokio::time::timeout(limits::CONTROL_TIMEOUT, endpoint.wait_idle()).await;
    log::info!(name:% = common.name; "entry_drained");
    Ok(())
}
