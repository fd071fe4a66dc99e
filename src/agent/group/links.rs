//! Connections to the agents of the other ranks.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use quinn::Connection;
use quinn::Endpoint;
use serde::Deserialize;
use serde::Serialize;
use tokio_util::task::TaskTracker;

use siskinbend_groups::Envelope;
use siskinbend_groups::RankIndex;
use siskinbend_types::Incarnation;
use siskinbend_wire::Message;
use siskinbend_wire::Sender;
use siskinbend_wire::transport;

use crate::agent::Agent;
use crate::agent::peer;
use crate::exchange::NO_REQUEST;
use crate::limits;

/// Content of [`Message::Group`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) enum Payload {
    /// A message of the map switch.
    Switch(Envelope),
    /// A count report for the coordinator.
    Counts(Counts),
}

/// A count report on its way.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Counts {
    /// Life of the group.
    pub(super) life: Incarnation,
    /// Run of the reporting agent, which numbers its intervals from 0.
    pub(super) run: Incarnation,
    /// The reporting rank.
    pub(super) from: RankIndex,
    /// The report as the placement encodes it.
    pub(super) report: Vec<u8>,
}

impl Payload {
    /// The rank that sent it.
    pub(super) fn from(&self) -> RankIndex {
        match self {
            Payload::Switch(envelope) => envelope.from,
            Payload::Counts(counts) => counts.from,
        }
    }
}

struct Peer {
    address: SocketAddr,
    connection: Mutex<Option<Connection>>,
    /// Held while connecting, so that one attempt is under way at a time.
    connecting: tokio::sync::Mutex<()>,
}

impl Peer {
    fn find(&self) -> Option<Connection> {
        let connection = self.connection.lock();
        let connection = connection.unwrap_or_else(PoisonError::into_inner).clone();
        connection.filter(|c| c.close_reason().is_none())
    }

    fn put(&self, connection: Connection) {
        *self
            .connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(connection);
    }
}

/// Sends messages to the other ranks and connects when there is something to send.
///
/// The traffic of a group is a star around its coordinator, so most pairs never connect.
pub(super) struct Links {
    agent: Arc<Agent>,
    endpoint: Endpoint,
    tasks: TaskTracker,
    peers: BTreeMap<RankIndex, Peer>,
}

impl Links {
    pub(super) fn new(
        agent: Arc<Agent>,
        endpoint: Endpoint,
        tasks: TaskTracker,
        peers: &[(RankIndex, SocketAddr)],
    ) -> Arc<Self> {
        let peer = |(rank, address): &(RankIndex, SocketAddr)| {
            let peer = Peer {
                address: *address,
                connection: Mutex::default(),
                connecting: tokio::sync::Mutex::default(),
            };
            (*rank, peer)
        };
        Arc::new(Self {
            agent,
            endpoint,
            tasks,
            peers: peers.iter().map(peer).collect(),
        })
    }

    /// Takes a connection over which a rank has sent a message, and tells whether the message may
    /// be used: agents connect from the address on which they listen.
    pub(super) fn adopt(&self, from: RankIndex, connection: &Connection) -> bool {
        let Some(peer) = self.peers.get(&from) else {
            return false;
        };
        if peer.address != connection.remote_address() {
            return false;
        }
        if peer.find().is_none() {
            peer.put(connection.clone());
        }
        true
    }

    /// Sends a message in the background; it may be lost.
    pub(super) fn send(self: &Arc<Self>, to: RankIndex, payload: &Payload) {
        match postcard::to_allocvec(payload) {
            Ok(bytes) => {
                let links = Arc::clone(self);
                tokio::spawn(async move { links.deliver(to, bytes.into()).await });
            }
            Err(error) => log::error!(error:% = error; "group_message_not_encoded"),
        }
    }

    async fn deliver(self: Arc<Self>, to: RankIndex, bytes: Bytes) {
        let Some(connection) = self.connect(to).await else {
            return;
        };
        let sending = async {
            // The receiver answers with a message of its own, so only this direction is used.
            let (stream, _) = connection.open_bi().await.ok()?;
            let mut sender = Sender::new(NO_REQUEST, stream);
            sender.send(&[Message::Group(bytes)]).await.ok()?;
            sender.finish().await;
            Some(())
        };
        if !matches!(
            tokio::time::timeout(limits::CONTROL_TIMEOUT, sending).await,
            Ok(Some(()))
        ) {
            log::debug!(rank:% = to; "group_message_lost");
        }
    }

    async fn connect(self: &Arc<Self>, to: RankIndex) -> Option<Connection> {
        let peer = self.peers.get(&to)?;
        if let Some(connection) = peer.find() {
            return Some(connection);
        }
        // A message that finds an attempt under way is dropped; its sender repeats it.
        let guard = peer.connecting.try_lock().ok()?;
        if let Some(connection) = peer.find() {
            return Some(connection);
        }
        let connection = match transport::connect(&self.endpoint, peer.address).await {
            Ok(connection) => connection,
            Err(error) => {
                log::debug!(rank:% = to, error:% = error; "rank_unreachable");
                return None;
            }
        };
        log::debug!(rank:% = to, address:% = peer.address; "rank_connected");
        peer.put(connection.clone());
        drop(guard);
        let agent = Arc::clone(&self.agent);
        tokio::spawn(peer::serve_streams(
            agent,
            connection.clone(),
            self.tasks.clone(),
        ));
        Some(connection)
    }
}
