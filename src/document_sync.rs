//! Synchronises the document of this process with the platform and with its peers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use quinn::Connection;

use siskinbend_control::promotion::Environment;
use siskinbend_control::promotion::VersionRecord as EnvironmentRow;
use siskinbend_control::version::Action;
use siskinbend_control::version::Content;
use siskinbend_control::version::Context;
use siskinbend_control::version::Counts;
use siskinbend_control::version::Event;
use siskinbend_control::version::FetchError;
use siskinbend_control::version::FetchLimiter;
use siskinbend_control::version::Fleet;
use siskinbend_control::version::Source;
use siskinbend_control::version::VersionTag;
use siskinbend_control::version::VersionTracker;
use siskinbend_document::Document;
use siskinbend_store::Client;
use siskinbend_store::ObjectStore;
use siskinbend_store::client::Service;
use siskinbend_wire::DocumentVersion;
use siskinbend_wire::Message;
use siskinbend_wire::Sender;

use crate::clock::Clock;
use crate::document::ActiveDocument;
use crate::exchange;
use crate::limits;
use crate::sync::lock;

/// The services of the platform with their names in the metrics.
const SERVICES: [(&str, Service); 3] = [
    ("table", Service::Table),
    ("objects", Service::Objects),
    ("vms", Service::Vms),
];

/// A counter with its source.
#[derive(Debug, Clone, Copy)]
pub struct SourceCounter {
    /// `table`, `objects`, `vms` or `document`.
    pub source: &'static str,
    /// What was counted.
    pub name: &'static str,
    /// Value of the counter.
    pub value: u64,
}

/// Called before a document becomes the active one.
pub type ApplyCallback = Box<dyn Fn(&Document, DocumentVersion) + Send + Sync>;

/// Fetches newer documents from peers and the platform, and distributes them to peers.
pub struct DocumentSync {
    active: Arc<ActiveDocument>,
    store: Option<Arc<Client>>,
    environment: Environment,
    clock: Clock,
    tracker: Mutex<Option<VersionTracker>>,
    fetch_limiter: Mutex<FetchLimiter>,
    peers: Mutex<HashMap<SocketAddr, Connection>>,
    /// Estimated number of processes that poll the table.
    node_count: AtomicUsize,
    on_apply: ApplyCallback,
}

fn to_tag(version: DocumentVersion) -> VersionTag {
    VersionTag {
        version: version.version,
        digest: version.digest,
    }
}

fn to_document_version(tag: VersionTag) -> DocumentVersion {
    DocumentVersion {
        version: tag.version,
        digest: tag.digest,
    }
}

impl DocumentSync {
    /// Creates the synchronisation; [`DocumentSync::run`] polls for documents.
    pub fn new(
        active: Arc<ActiveDocument>,
        store: Option<Arc<Client>>,
        environment: Environment,
        clock: Clock,
        on_apply: ApplyCallback,
    ) -> Arc<Self> {
        Arc::new(Self {
            active,
            store,
            environment,
            clock,
            tracker: Mutex::default(),
            fetch_limiter: Mutex::default(),
            peers: Mutex::default(),
            node_count: AtomicUsize::new(1),
            on_apply,
        })
    }

    /// Adds a connected peer.
    pub fn add_peer(&self, connection: &Connection) {
        lock(&self.peers).insert(connection.remote_address(), connection.clone());
    }

    /// Removes a peer whose connection is lost, unless it has connected again since.
    pub fn remove_peer(&self, connection: &Connection) {
        let mut peers = lock(&self.peers);
        let address = connection.remote_address();
        if peers
            .get(&address)
            .is_some_and(|c| c.stable_id() == connection.stable_id())
        {
            peers.remove(&address);
        }
    }

    /// Reads the counters of the platform's services and of the document versions.
    pub fn read_counters(&self) -> Vec<SourceCounter> {
        let build = |source, name, value| SourceCounter {
            source,
            name,
            value,
        };
        let mut counts = Vec::new();
        if let Some(store) = &self.store {
            for (source, service) in SERVICES {
                let read = store.counters(service).read_all();
                counts.extend(
                    read.iter()
                        .map(|count| build(source, count.name, count.value)),
                );
            }
        }
        if let Some(tracker) = &*lock(&self.tracker) {
            let Counts {
                split,
                stale,
                corrupt,
                failed,
            } = tracker.counts();
            let document_counts = [
                ("split", split),
                ("stale", stale),
                ("corrupt", corrupt),
                ("failed", failed),
            ];
            counts.extend(document_counts.map(|(name, value)| build("document", name, value)));
        }
        counts
    }

    /// Sets the number of processes that poll the table. The poll interval depends on it, so that
    /// all processes together stay under the limits of the table.
    pub fn set_node_count(&self, count: usize) {
        self.node_count.store(count, Ordering::Relaxed);
    }

    /// Records the document version that a message of a peer carried.
    pub fn record_version(self: &Arc<Self>, from: SocketAddr, version: Option<DocumentVersion>) {
        // Most messages carry no new version; checking first avoids the lock of the tracker.
        if version.is_some() && version != self.active.version() {
            self.handle(Event::PeerVersion(from, version.map(to_tag)));
        }
    }

    /// Records the version in the beacon of a peer and returns the answer.
    pub fn answer_beacon(
        self: &Arc<Self>,
        from: SocketAddr,
        version: Option<DocumentVersion>,
    ) -> Message {
        self.handle(Event::PeerVersion(from, version.map(to_tag)));
        Message::Beacon(self.active.version())
    }

    /// Sends the content of a document to a peer that requests it.
    pub async fn serve_fetch(&self, wanted: DocumentVersion, sender: Sender) {
        let content = lock(&self.tracker)
            .as_ref()
            .and_then(|t| t.current().cloned());
        let content = content.filter(|content| content.tag == to_tag(wanted));
        let Some(content) = content else {
            return exchange::reply(sender, Message::NoContent(false)).await;
        };
        if !lock(&self.fetch_limiter).try_acquire() {
            return exchange::reply(sender, Message::NoContent(true)).await;
        }
        let bytes = Bytes::from(content.text.as_bytes().to_vec());
        exchange::reply(sender, Message::Content(bytes)).await;
        lock(&self.fetch_limiter).release();
    }

    /// Runs the timers of the synchronisation until the process ends.
    pub async fn run(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(limits::DOCUMENT_SYNC_INTERVAL);
        loop {
            ticks.tick().await;
            self.handle(Event::Tick);
        }
    }

    fn handle(self: &Arc<Self>, event: Event) {
        let peers: Vec<SocketAddr> = lock(&self.peers).keys().copied().collect();
        let mut rng = rand::rng();
        let mut context = Context {
            now: self.clock.now(),
            fleet: Fleet {
                peers: &peers,
                nodes: self.node_count.load(Ordering::Relaxed),
            },
            rng: &mut rng,
        };
        let mut guard = lock(&self.tracker);
        let tracker = guard.get_or_insert_with(|| VersionTracker::start(&mut context));
        let actions = tracker.handle(event, &mut context);
        // Documents are applied under the lock, so that they are applied in order.
        for action in actions {
            match action {
                Action::Apply(content) => self.apply(&content),
                other => {
                    tokio::spawn(Arc::clone(self).execute(other));
                }
            }
        }
    }

    fn apply(&self, content: &Content) {
        // The text was parsed once when it was fetched.
        let Ok(document) = Document::parse(&content.text) else {
            log::error!(version:% = content.tag.version; "document_unreadable");
            return;
        };
        (self.on_apply)(&document, to_document_version(content.tag));
        self.active
            .replace(document, to_document_version(content.tag));
        log::info!(
            version:% = content.tag.version, digest:% = content.tag.digest;
            "document_applied"
        );
    }

    async fn execute(self: Arc<Self>, action: Action) {
        match action {
            Action::Poll => {
                let tag = self.poll().await;
                self.handle(Event::Polled(tag));
            }
            Action::SendBeacon(peer, tag) => {
                let message = Message::Beacon(tag.map(to_document_version));
                let answer = self.call(peer, &message).await;
                if let Some(Message::Beacon(version)) = answer {
                    self.handle(Event::PeerVersion(peer, version.map(to_tag)));
                }
            }
            Action::Fetch(source, tag) => {
                let text = self.fetch(source, tag).await;
                if let Err(error) = text {
                    log::debug!(version:% = tag.version, error:% = error; "fetch_failed");
                }
                self.handle(Event::Fetched(source, tag, text));
            }
            Action::Apply(_) => {}
        }
    }

    async fn poll(&self) -> Option<VersionTag> {
        let store = self.store.as_ref()?;
        let row = store.read_coalesced(&self.environment.key()).await.ok()??;
        let entry = EnvironmentRow::decode(&row.value);
        if entry.is_none() {
            log::error!(key:% = row.key; "environment_row_unreadable");
        }
        entry.map(|entry| entry.tag)
    }

    async fn call(&self, peer: SocketAddr, message: &Message) -> Option<Message> {
        let connection = lock(&self.peers).get(&peer).cloned()?;
        exchange::call(&connection, exchange::NO_REQUEST, message).await
    }

    async fn fetch(&self, source: Source, tag: VersionTag) -> Result<Arc<str>, FetchError> {
        let bytes = match source {
            Source::ObjectStore => {
                let store = self.store.as_ref().ok_or(FetchError::Missing)?;
                let content = store
                    .get(&tag.digest)
                    .await
                    .map_err(|_| FetchError::Failed)?;
                content.ok_or(FetchError::Missing)?
            }
            Source::Peer(peer) => match self
                .call(peer, &Message::Fetch(to_document_version(tag)))
                .await
            {
                Some(Message::Content(bytes)) => bytes,
                Some(Message::NoContent(true)) => return Err(FetchError::Busy),
                Some(Message::NoContent(false)) => return Err(FetchError::Missing),
                _ => return Err(FetchError::Failed),
            },
        };
        let text = std::str::from_utf8(&bytes).map_err(|_| FetchError::Unreadable)?;
        if Document::digest(text) == tag.digest && Document::parse(text).is_err() {
            // The document was accepted, but this version of the program cannot parse it. The
            // active document stays in use.
            log::error!(version:% = tag.version, digest:% = tag.digest; "document_unreadable");
            return Err(FetchError::Unreadable);
        }
        Ok(text.into())
    }
}
