//! Settings of one process as the platform hands them over.

use std::net::SocketAddr;
use std::time::Duration;

use siskinbend_types::ServiceName;
use siskinbend_types::Zone;
use smol_str::SmolStr;

/// Settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM.
    pub node: SmolStr,
    /// Its availability zone.
    pub zone: Zone,
    /// Where callers connect, if the process serves them.
    pub callers: Option<SocketAddr>,
    /// Where readiness is asked for, if the process serves callers.
    pub ready: Option<SocketAddr>,
    /// Where the processes of the system reach each other on this VM.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// The backend server on this VM, if there is one.
    pub backend: Option<SocketAddr>,
    /// Its service.
    pub service: Option<ServiceName>,
    /// The platform's store.
    pub store: SocketAddr,
    /// Time limits that the operators set.
    pub bounds: Bounds,
}

/// Time limits that the operators set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time after which a key that was taken away may not be used any more.
    pub revoke: Duration,
    /// Time between the request to stop and the forced end of a process.
    pub grace: Duration,
    /// Retries that a service may get, as a part of its requests.
    pub retry_ratio: f64,
    /// Retries that a service may get beyond that part.
    pub retry_slack: u32,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            revoke: Duration::from_secs(5),
            grace: Duration::from_secs(8),
            retry_ratio: 0.1,
            retry_slack: 30,
        }
    }
}
