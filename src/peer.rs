//! Calls from one process of the system to the agent beside a rank.

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
use tokio::time::timeout;

/// Longest time for an agent to answer, including its call of its rank.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Longest time to open a connection.
const CONNECT_TIME: Duration = Duration::from_millis(250);
/// Longest message in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Paths of the calls.
pub(crate) const PUSH_PATH: &str = "/push";
pub(crate) const STATE_PATH: &str = "/state";
pub(crate) const ORDER_PATH: &str = "/order";
pub(crate) const LOADS_PATH: &str = "/loads";

/// One place of a map that changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct MapChange {
    /// The set.
    pub set: u16,
    /// The rank.
    pub rank: u16,
    /// Its experts.
    pub experts: Vec<u16>,
}

/// An order that is passed on by the agent beside the rank.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum RelayedOrder {
    /// The order as it is.
    Whole(Order),
    /// An order to prepare a map that differs from one that the agent has passed on before.
    Change {
        /// Version of that earlier map.
        base: u64,
        /// Version of the map.
        version: u64,
        /// The epoch in which it may be begun.
        epoch: u64,
        /// What differs.
        changes: Vec<MapChange>,
    },
}

/// What an agent answers to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum RelayedReply {
    /// The rank's answer.
    Answered(OrderReply),
    /// The agent does not have the earlier map.
    NoBase,
}

/// Load of one rank.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct RankLoad {
    /// Address of the rank.
    pub rank: SocketAddr,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub queued: u32,
    /// Time that its work takes, as a multiple of the usual time.
    pub pace: f64,
    /// Whether its group runs passes.
    pub open: bool,
    /// Age of the figures in milliseconds.
    pub age: u32,
}

/// The other agents; each is named by the address of its rank and listens on the same VM.
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

    /// Calls the agent beside a rank, `None` if it gives no usable answer in time.
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
        let address = SocketAddr::new(rank.ip(), self.port);
        let body = postcard::to_stdvec(message).ok()?;
        let answer = timeout(ANSWER_TIME, self.exchange(address, path, body.into())).await;
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
        let kept = self.pool(address, ConnectionPool::take);
        let mut link = match kept {
            Some(link) => link,
            None => Connection::open(address, CONNECT_TIME, CloseMode::Graceful).await?,
        };
        let request = Request::post(path)
            .header(http::header::HOST, address.to_string())
            .body(Full::new(body))
            .map_err(|_| ConnectionError::NotSent)?;
        let response = link.send(request).await?;
        if !response.status().is_success() {
            return Err(ConnectionError::Broken);
        }
        let bytes = read_body(response.into_body(), MAX_MESSAGE_BYTES).await?;
        self.pool(address, |pool| pool.put(link));
        Ok(bytes)
    }

    fn pool<Use, Taken>(&self, address: SocketAddr, used: Use) -> Taken
    where
        Use: FnOnce(&mut ConnectionPool) -> Taken,
    {
        let mut pools = self.pools.lock().unwrap_or_else(|e| e.into_inner());
        used(pools.entry(address).or_default())
    }
}
