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
    Counts(CountReport),
}

/// A count report of one rank.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct CountReport {
    /// Incarnation of the group.
    pub(super) life: Incarnation,
    /// Incarnation of the reporting agent; each one numbers its intervals from 0.
    pub(super) incarnation: Incarnation,
    /// The reporting rank.
    pub(super) rank: RankIndex,
    /// The report as encoded by the placement crate.
    pub(super) report: Vec<u8>,
}

impl Payload {
    /// The rank that sent the message.
    pub(super) fn sender(&self) -> RankIndex {
        match self {
            Payload::Switch(envelope) => envelope.from,
            Payload::Counts(counts) => counts.rank,
        }
    }
}

struct Peer {
    address: SocketAddr,
    connection: Mutex<Option<Connection>>,
    /// Held while connecting, so that only one attempt is in flight.
    connecting: tokio::sync::Mutex<()>,
}

impl Peer {
    fn find_open(&self) -> Option<Connection> {
        let connection = self.connection.lock();
        let connection = connection.unwrap_or_else(PoisonError::into_inner).clone();
        connection.filter(|c| c.close_reason().is_none())
    }

    fn set_connection(&self, connection: Connection) {
        *self
            .connection
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some(connection);
    }
}

/// Sends messages to the agents of the other ranks, and connects when there is a message to send.
///
/// The ranks exchange messages with the coordinator only, so most pairs never connect.
pub(super) struct RankConnections {
    agent: Arc<Agent>,
    endpoint: Endpoint,
    tasks: TaskTracker,
    peers: BTreeMap<RankIndex, Peer>,
}

impl RankConnections {
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

    /// Returns whether a message from a rank may be processed, and keeps its connection for
    /// messages to that rank.
    ///
    /// Agents connect from the address on which they listen, so a message from another address is
    /// not from that rank.
    pub(super) fn accept_message(&self, from: RankIndex, connection: &Connection) -> bool {
        let Some(peer) = self.peers.get(&from) else {
            return false;
        };
        if peer.address != connection.remote_address() {
            return false;
        }
        if peer.find_open().is_none() {
            peer.set_connection(connection.clone());
        }
        true
    }

    /// Sends a message in the background; the message may be lost.
    pub(super) fn send(self: &Arc<Self>, to: RankIndex, payload: &Payload) {
        match postcard::to_allocvec(payload) {
            Ok(bytes) => {
                let connections = Arc::clone(self);
                tokio::spawn(async move { connections.send_encoded(to, bytes.into()).await });
            }
            Err(error) => log::error!(error:% = error; "group_message_not_encoded"),
        }
    }

    async fn send_encoded(self: Arc<Self>, to: RankIndex, bytes: Bytes) {
        let Some(connection) = self.connect(to).await else {
            return;
        };
        let sending = async {
            // The receiver answers with a separate message, so only this direction is used.
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
        if let Some(connection) = peer.find_open() {
            return Some(connection);
        }
        // While another attempt is in flight, the message is dropped; its sender repeats it.
        let guard = peer.connecting.try_lock().ok()?;
        if let Some(connection) = peer.find_open() {
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
        peer.set_connection(connection.clone());
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
