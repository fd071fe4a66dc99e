//! The entry role: accepts requests from callers and runs each to its outcome.

mod claims;
mod directory;
mod driver;
mod fleet;
mod http;
mod link;
mod problem;
mod response;
mod server;

use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use tokio_util::task::TaskTracker;

use siskinbend_request::call::CANCEL_TIMEOUT;
use siskinbend_store::Client;
use siskinbend_types::Incarnation;
use siskinbend_wire::TransportError;
use siskinbend_wire::transport;
use siskinbend_wire::transport::Dialer;

use self::fleet::Fleet;
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

/// Reason why an entry can't start.
#[derive(Debug, Display)]
pub enum EntryError {
    /// {0}
    Transport(TransportError),
    /// {0}
    Document(document::LoadError),
    /// cannot bind the address for callers: {0}
    Listen(std::io::Error),
    /// cannot bind the admin address: {0}
    Admin(std::io::Error),
    /// cannot install the signal handlers: {0}
    Signals(std::io::Error),
}

/// State of an entry process.
pub(crate) struct Entry {
    pub(crate) settings: settings::Entry,
    pub(crate) clock: Clock,
    pub(crate) incarnation: Incarnation,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) shutdown: Shutdown,
    pub(crate) active: Arc<ActiveDocument>,
    pub(crate) document_sync: Arc<DocumentSync>,
    pub(crate) fleet: Fleet,
    pub(crate) store: Option<Arc<Client>>,
    /// Tasks of the requests in flight; a draining entry waits for them to finish.
    pub(crate) requests: TaskTracker,
}

impl Entry {
    /// Returns the time within which every request that was taken ends: no route has a longer timeout
    /// than its service's drain time.
    fn drain_timeout(&self) -> Duration {
        let document = self.active.document();
        let longest = document.and_then(|document| document.longest_drain());
        longest.map_or(limits::DRAIN_TIMEOUT, |drain| drain + CANCEL_TIMEOUT)
    }
}

impl AdminState for Entry {
    fn is_ready(&self) -> bool {
        !self.shutdown.is_draining() && self.active.version().is_some()
    }

    fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    fn status(&self) -> ProcessStatus {
        let newest = self.active.version();
        ProcessStatus {
            name: self.settings.common.name.to_string(),
            role: "entry".to_owned(),
            zone: self.settings.common.zone.to_string(),
            incarnation: self.incarnation.to_string(),
            draining: self.shutdown.is_draining(),
            version: newest.map(|n| n.version.0),
            digest: newest.map(|n| n.digest.to_string()),
            notes: self.fleet.explain(self.clock.now()),
        }
    }

    fn document_sync(&self) -> &DocumentSync {
        &self.document_sync
    }

    fn shutdown(&self) -> &Shutdown {
        &self.shutdown
    }
}

fn build(settings: settings::Entry, active: ActiveDocument, dialer: Arc<Dialer>) -> Arc<Entry> {
    let common = &settings.common;
    let clock = Clock::start();
    let metrics = Arc::new(Metrics::default());
    let active = Arc::new(active);
    let version = metrics.version.clone();
    let apply: ApplyCallback = Box::new(move |_, newest| {
        version.set(i64::try_from(newest.version.0).unwrap_or(i64::MAX));
    });
    if let (Some(document), Some(newest)) = (active.document(), active.version()) {
        apply(&document, newest);
    }
    let store = common.platform.as_ref().map(platform::connect);
    let document_sync = DocumentSync::new(
        Arc::clone(&active),
        store.clone(),
        common.environment,
        clock,
        apply,
    );
    let static_agents = settings
        .agents
        .iter()
        .map(|(_, address)| *address)
        .collect();
    let fleet = Fleet::new(
        dialer,
        common.name.clone(),
        common.zone.clone(),
        static_agents,
    );
    Arc::new(Entry {
        clock,
        incarnation: Incarnation(rand::random()),
        metrics,
        shutdown: Shutdown::default(),
        active,
        document_sync,
        fleet,
        store,
        requests: TaskTracker::new(),
        settings,
    })
}

/// Polls the platform's list of VMs: connects to new agents, deselects agents whose VM is leaving,
/// and starts the drain when this entry's own VM is leaving.
async fn watch_vms(entry: Arc<Entry>) {
    let Some(store) = entry.store.clone() else {
        return;
    };
    let own_address = entry.settings.common.listen;
    vms::watch(store, limits::ENTRY_LIST_INTERVAL, |list| {
        entry.document_sync.set_node_count(list.len());
        if vms::is_leaving(&list, own_address) && !entry.shutdown.is_draining() {
            log::info!(source = "platform"; "drain_started");
            entry.shutdown.drain();
        }
        if let Some(document) = entry.active.document() {
            entry.fleet.retain_organisations(&document);
        }
        for address in entry.fleet.merge_list(list, entry.clock.now()) {
            tokio::spawn(link::maintain(Arc::clone(&entry), address));
        }
    })
    .await;
}

/// Runs an entry until it has drained.
///
/// # Errors
///
/// Returns the reason why the entry can't start.
pub async fn run(settings: settings::Entry) -> Result<(), EntryError> {
    let common = settings.common.clone();
    let active = ActiveDocument::load(&common).map_err(EntryError::Document)?;
    let keys = keys::load(&common).map_err(EntryError::Transport)?;
    let local = std::net::SocketAddr::new(common.listen.ip(), 0);
    let endpoint = transport::bind_client(local, &keys).map_err(EntryError::Transport)?;
    let dialer = Dialer::new(endpoint.clone(), &keys, settings.agents.len());
    let dialer = Arc::new(dialer.map_err(EntryError::Transport)?);
    let entry = build(settings, active, Arc::clone(&dialer));
    let peer_source = Arc::clone(&entry);
    let count_peers = move || peer_source.fleet.count_links();
    tokio::spawn(keys::watch(common.clone(), None, Some(dialer), count_peers));
    entry
        .shutdown
        .watch_signals()
        .map_err(EntryError::Signals)?;
    let admin = admin::serve(common.admin, Arc::<Entry>::clone(&entry))
        .await
        .map_err(EntryError::Admin)?;
    for (_, address) in entry.settings.agents.clone() {
        tokio::spawn(link::maintain(Arc::clone(&entry), address));
    }
    if common.document.is_none() {
        tokio::spawn(Arc::clone(&entry.document_sync).run());
    }
    tokio::spawn(watch_vms(Arc::clone(&entry)));
    tokio::spawn(link::run_probes(Arc::clone(&entry)));
    let server = server::start(Arc::clone(&entry), common.listen)
        .await
        .map_err(EntryError::Listen)?;
    log::info!(
        name:% = common.name, listen:% = server.address, admin:% = admin,
        incarnation:% = entry.incarnation;
        "entry_started"
    );
    entry.shutdown.wait().await;
    tokio::time::sleep(limits::DRAIN_GRACE_PERIOD).await;
    server.drain(entry.drain_timeout()).await;
    endpoint.close(quinn::VarInt::from_u32(0), b"drained");
    // A timeout means that the network is down and peers can't receive the close frame.
    let _ = tokio::time::timeout(limits::CONTROL_TIMEOUT, endpoint.wait_idle()).await;
    log::info!(name:% = common.name; "entry_drained");
    Ok(())
}
