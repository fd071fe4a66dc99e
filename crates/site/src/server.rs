//! Backend servers in the platform's registry.

use std::net::SocketAddr;
use std::time::Duration;

use siskinbend_types::AgentId;
use siskinbend_types::ServiceName;
use siskinbend_types::Zone;

/// Registration state of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// Accepts new requests.
    Ready,
    /// Finishes its requests and then stops.
    Draining,
}

/// Registry entry of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendServer {
    /// Id of the registration.
    pub id: AgentId,
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Zone,
    /// Number of requests that can run at the same time.
    pub slots: u32,
    /// Whether the backend server accepts new requests.
    pub state: ServerState,
    /// Time for which the backend server stays cold after its start, counted from the time at which
    /// the entry was written.
    pub cold_for: Duration,
    /// Start time of the process, in Unix milliseconds by its own clock; 0 if unknown.
    pub started_ms: u64,
}
