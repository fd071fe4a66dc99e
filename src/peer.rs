//! Client and messages of the calls to rank agents.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde::Deserialize;
use serde::Serialize;
use siskinbend_link::CloseMode;
use siskinbend_link::Connection;
use siskinbend_link::ConnectionError;
use siskinbend_link::ConnectionPool;
use siskinbend_link::read_body;
use siskinbend_site::engine::Order;
use siskinbend_site::engine::OrderReply;
use siskinbend_site::engine::RankState;
use tokio::time::timeout;

/// Timeout of a call, including the agent's own call to its rank.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of a message.
pub(crate) const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Path on which an agent reports ranks towards the leader.
pub(crate) const PUSH_PATH: &str = "/push";
/// Path on which an agent reads its rank, relays an order to it, or passes both on to the agents of
/// other ranks.
pub(crate) const RELAY_PATH: &str = "/relay";
/// Path that returns the load of the group's ranks.
pub(crate) const LOADS_PATH: &str = "/loads";
/// Path that returns which group each rank of the service belongs to.
pub(crate) const DIRECTORY_PATH: &str = "/directory";
/// Path that returns the limits of expert maps.
pub(crate) const LIMITS_PATH: &str = "/limits";

/// New experts of one rank in one layer set.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MapChange {
    /// Index of the layer set.
    pub set: u16,
    /// Index of the rank.
    pub rank: u16,
    /// Expert ids that the rank holds in this set.
    pub experts: Vec<u16>,
}

/// Order that the agent of a rank relays to it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum RelayedOrder {
    /// The complete order.
    Whole(Order),
    /// An order to prepare a map, encoded as the difference from a map that the agent relayed
    /// before.
    Change {
        /// Version of the earlier map.
        base: u64,
        /// Version of the new map.
        version: u64,
        /// The only epoch in which the rank may start the action.
        epoch: u64,
        /// Differences from the earlier map.
        changes: Vec<MapChange>,
    },
}

/// What an agent does with its rank for another agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum RelayCall {
    /// Reads the state of the rank.
    Read,
    /// Sends an order to the rank.
    Order(RelayedOrder),
}

/// Call for several ranks. The receiver passes it on to the agents of the other ranks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct RelayMessage {
    /// Addresses of the ranks.
    pub ranks: Vec<SocketAddr>,
    /// What to do with each of them.
    pub call: RelayCall,
}

/// Answer for one rank.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum RelayAnswer {
    /// State of the rank, if it could be read.
    State(Option<RankState>),
    /// The rank's reply to the order.
    Replied(OrderReply),
    /// The agent no longer has the map that the new one is based on.
    NoBase,
    /// The agent of the rank did not respond.
    Silent,
}

/// Client of the rank agents. Each agent is addressed by its rank, whose VM it runs on.
pub(crate) struct PeerClient {
    port: u16,
    pools: Mutex<HashMap<SocketAddr, ConnectionPool>>,
}

impl PeerClient {
    pub fn new(port: u16) -> PeerClient {
        PeerClient {
            port,
            pools: Mutex::new(HashMap::new()),
        }
    }

    /// Calls the agent of a rank; `None` without a valid response within the timeout.
    pub async fn call<Message, Answer>(
        &self,
        rank: SocketAddr,
        path: &'static str,
        message: &Message,
    ) -> Option<Answer>
    where
        Message: Serialize,
        Answer: for<'de> Deserialize<'de>,
    {
        self.call_within(CALL_TIMEOUT, rank, path, message).await
    }

    /// Calls the agent of a rank with another timeout than usual.
    pub async fn call_within<Message, Answer>(
        &self,
        limit: Duration,
        rank: SocketAddr,
        path: &'static str,
        message: &Message,
    ) -> Option<Answer>
    where
        Message: Serialize,
        Answer: for<'de> Deserialize<'de>,
    {
        let address = SocketAddr::new(rank.ip(), self.port);
        let body = postcard::to_stdvec(message).ok()?;
        let answer = timeout(limit, self.exchange(address, path, body.into())).await;
        let bytes = match answer {
            Ok(Ok(bytes)) => bytes,
            Ok(Err(error)) => {
                log::debug!(peer:% = address, path, error:% = error; "agent_silent");
                return None;
            }
            Err(_) => {
                log::debug!(peer:% = address, path; "agent_timed_out");
                return None;
            }
        };
        postcard::from_bytes(&bytes).ok()
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        path: &'static str,
        body: Bytes,
    ) -> Result<Bytes, ConnectionError> {
        let idle = self.with_pool(address, ConnectionPool::take);
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open(address, CONNECT_TIMEOUT, CloseMode::Graceful).await?,
        };
        let request = Request::post(path)
            .header(http::header::HOST, address.to_string())
            .body(Full::new(body))
            .map_err(|_| ConnectionError::NotSent)?;
        let response = connection.send(request).await?;
        if !response.status().is_success() {
            return Err(ConnectionError::Broken);
        }
        let bytes = read_body(response.into_body(), MAX_MESSAGE_BYTES).await?;
        self.with_pool(address, |pool| pool.put(connection));
        Ok(bytes)
    }

    fn with_pool<Apply, Output>(&self, address: SocketAddr, apply: Apply) -> Output
    where
        Apply: FnOnce(&mut ConnectionPool) -> Output,
    {
        let mut pools = self.pools.lock().unwrap_or_else(|e| e.into_inner());
        apply(pools.entry(address).or_default())
    }
}
