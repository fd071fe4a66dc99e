//! Backend servers as the platform's registry lists them.

use std::net::SocketAddr;

use siskinbend_types::AgentId;
use siskinbend_types::ServiceName;
use siskinbend_types::Zone;

/// Whether a backend server takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// Its id, under which it is registered.
    pub id: AgentId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: ServerState,
    /// When this run of it started, in milliseconds of its own clock; 0 if it isn't known.
    pub started_ms: u64,
}
