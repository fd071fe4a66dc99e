//! Settings that the platform provides for one process.

use std::net::SocketAddr;
use std::time::Duration;

use siskinbend_types::ServiceName;
use siskinbend_types::Zone;
use siskinbend_types::ZoneRegions;
use smol_str::SmolStr;

/// Settings of one process; `check-settings` prints them under these names.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeSettings {
    /// Name of the VM.
    pub node: SmolStr,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Listen address for callers, if the process serves any.
    pub callers: Option<SocketAddr>,
    /// Listen address of the readiness check, if the process serves callers.
    pub ready: Option<SocketAddr>,
    /// Listen address for other siskinbend processes.
    pub peers: SocketAddr,
    /// Listen address of the metrics endpoint.
    pub metrics: SocketAddr,
    /// Address of the backend server on this VM, if there is one.
    pub backend: Option<SocketAddr>,
    /// Service of that backend server.
    pub service: Option<ServiceName>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Regions of the availability zones.
    pub regions: ZoneRegions,
    /// Limits set by the operators.
    pub bounds: Bounds,
}

/// Limits set by the operators; `check-settings` prints them under these names.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Maximum time for which a revoked API key may still be accepted.
    pub revoke: Duration,
    /// Time between the stop signal and the forced end of a process.
    pub grace: Duration,
    /// Maximum ratio of retries to requests of a service.
    pub retry_ratio: f64,
    /// Number of retries allowed beyond that ratio.
    pub retry_slack: u32,
    /// Maximum rate of requests to a cold backend server, as a multiple of the rate that it
    /// tolerates.
    pub cold_overrun: f64,
    /// Number of requests a second allowed beyond that.
    pub cold_slack: f64,
    /// Maximum time from an evacuation of a zone to the last request that reaches it; `None` if the
    /// operators evacuate no zones.
    pub evacuate: Option<Duration>,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            revoke: Duration::from_secs(5),
            grace: Duration::from_secs(8),
            retry_ratio: 0.1,
            retry_slack: 30,
            cold_overrun: 1.0,
            cold_slack: 0.0,
            evacuate: None,
        }
    }
}
