//! Learns newer documents from peers and the platform, and passes them on.

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

/// The services of the platform with their names in metrics.
const SERVICES: [(&str, Service); 3] = [
    ("table", Service::Table),
    ("objects", Service::Objects),
    ("vms", Service::Vms),
];

/// One counter with its source.
#[derive(Debug, Clone, Copy)]
pub struct SourceCounter {
    /// `table`, `objects`, `vms` or `document`.
    pub source: &'static str,
    /// What was counted.
    pub name: &'static str,
    /// How often it happened.
    pub value: u64,
}

/// Called when a document is put in force.
pub type ApplyCallback = Box<dyn Fn(&Document, DocumentVersion) + Send + Sync>;

/// Keeps this process's document up to date.
pub struct DocumentSync {
    active: Arc<ActiveDocument>,
    store: Option<Arc<Client>>,
    environment: Environment,
    clock: Clock,
    tracker: Mutex<Option<VersionTracker>>,
    gate: Mutex<FetchLimiter>,
    peers: Mutex<HashMap<SocketAddr, Connection>>,
    /// Processes that poll the table, as far as known.
    nodes: AtomicUsize,
    applied: ApplyCallback,
}

fn to_tag(newest: DocumentVersion) -> VersionTag {
    VersionTag {
        version: newest.version,
        digest: newest.digest,
    }
}

fn to_newest(tag: VersionTag) -> DocumentVersion {
    DocumentVersion {
        version: tag.version,
        digest: tag.digest,
    }
}

impl DocumentSync {
    /// Prepares to learn documents; [`DocumentSync::run`] does so.
    pub fn new(
        active: Arc<ActiveDocument>,
        store: Option<Arc<Client>>,
        environment: Environment,
        clock: Clock,
        applied: ApplyCallback,
    ) -> Arc<Self> {
        Arc::new(Self {
            active,
            store,
            environment,
            clock,
            tracker: Mutex::default(),
            gate: Mutex::default(),
            peers: Mutex::default(),
            nodes: AtomicUsize::new(1),
            applied,
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

    /// Reads the counters of the platform's services and of the document's document_sync.
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
            let own = [
                ("split", split),
                ("stale", stale),
                ("corrupt", corrupt),
                ("failed", failed),
            ];
            counts.extend(own.map(|(name, value)| build("document", name, value)));
        }
        counts
    }

    /// Tells how many processes poll the table, so that all together stay under its limits.
    pub fn set_node_count(&self, nodes: usize) {
        self.nodes.store(nodes, Ordering::Relaxed);
    }

    /// Takes in a version that rode on a message of a peer.
    pub fn record_version(self: &Arc<Self>, from: SocketAddr, newest: Option<DocumentVersion>) {
        // Most messages bring nothing new; the lock of the tracker is for those that do.
        if newest.is_some() && newest != self.active.newest() {
            self.handle(Event::PeerVersion(from, newest.map(to_tag)));
        }
    }

    /// Answers a beacon of a peer.
    pub fn answer_beacon(
        self: &Arc<Self>,
        from: SocketAddr,
        newest: Option<DocumentVersion>,
    ) -> Message {
        self.handle(Event::PeerVersion(from, newest.map(to_tag)));
        Message::Beacon(self.active.newest())
    }

    /// Sends the content of a document to a peer that asks for it.
    pub async fn serve_fetch(&self, wanted: DocumentVersion, sender: Sender) {
        let content = lock(&self.tracker)
            .as_ref()
            .and_then(|t| t.current().cloned());
        let content = content.filter(|content| content.tag == to_tag(wanted));
        let Some(content) = content else {
            return exchange::reply(sender, Message::NoContent(false)).await;
        };
        if !lock(&self.gate).try_acquire() {
            return exchange::reply(sender, Message::NoContent(true)).await;
        }
        let bytes = Bytes::from(content.text.as_bytes().to_vec());
        exchange::reply(sender, Message::Content(bytes)).await;
        lock(&self.gate).release();
    }

    /// Moves time forward until the process ends.
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
                nodes: self.nodes.load(Ordering::Relaxed),
            },
            rng: &mut rng,
        };
        let mut guard = lock(&self.tracker);
        let tracker = guard.get_or_insert_with(|| VersionTracker::start(&mut context));
        let actions = tracker.handle(event, &mut context);
        // Documents are put in force under the lock, so that they come in order.
        for action in actions {
            match action {
                Action::Apply(content) => self.apply(&content),
                other => {
                    tokio::spawn(Arc::clone(self).act(other));
                }
            }
        }
    }

    fn apply(&self, content: &Content) {
        // The text was read when it was fetched.
        let Ok(document) = Document::parse(&content.text) else {
            log::error!(version:% = content.tag.version; "document_unreadable");
            return;
        };
        (self.applied)(&document, to_newest(content.tag));
        self.active.replace(document, to_newest(content.tag));
        log::info!(
            version:% = content.tag.version, digest:% = content.tag.digest;
            "document_applied"
        );
    }

    async fn act(self: Arc<Self>, action: Action) {
        match action {
            Action::Poll => {
                let tag = self.poll().await;
                self.handle(Event::Polled(tag));
            }
            Action::SendBeacon(peer, tag) => {
                let question = Message::Beacon(tag.map(to_newest));
                let answer = self.ask(peer, &question).await;
                if let Some(Message::Beacon(newest)) = answer {
                    self.handle(Event::PeerVersion(peer, newest.map(to_tag)));
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

    async fn ask(&self, peer: SocketAddr, question: &Message) -> Option<Message> {
        let connection = lock(&self.peers).get(&peer).cloned()?;
        exchange::call(&connection, exchange::NO_REQUEST, question).await
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
            Source::Peer(peer) => match self.ask(peer, &Message::Fetch(to_newest(tag))).await {
                Some(Message::Content(bytes)) => bytes,
                Some(Message::NoContent(true)) => return Err(FetchError::Busy),
                Some(Message::NoContent(false)) => return Err(FetchError::Missing),
                _ => return Err(FetchError::Failed),
            },
        };
        let text = std::str::from_utf8(&bytes).map_err(|_| FetchError::Unreadable)?;
        if Document::digest(text) == tag.digest && Document::parse(text).is_err() {
            // An accepted document that this program can't read; it keeps what it has.
            log::error!(version:% = tag.version, digest:% = tag.digest; "document_unreadable");
            return Err(FetchError::Unreadable);
        }
        Ok(text.into())
    }
}
