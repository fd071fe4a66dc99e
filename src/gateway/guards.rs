//! Requests and attempts in flight, which are accounted for when they end or are dropped.

use std::sync::Arc;
use std::sync::Weak;

use siskinbend_routing::AttemptResult;
use siskinbend_types::EngineGroup;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;

use super::Gateway;
use super::fleet::StartedRequest;
use super::fleet::Target;

/// Permit of a request, which counts against the concurrency limit of the group that runs it until
/// dropped. It counts against none before the first attempt.
pub(super) struct AdmissionPermit {
    gateway: Weak<Gateway>,
    service: ServiceName,
    /// Group against whose limit the request counts, if it counts.
    pub counted: Option<Option<EngineGroup>>,
    /// Place in the fairness between organisations, if the service has a limit.
    pub started: Option<StartedRequest>,
}

impl AdmissionPermit {
    /// Creates a permit of a request for which no backend server has been chosen.
    pub fn new(gateway: &Arc<Gateway>, service: &ServiceName) -> AdmissionPermit {
        AdmissionPermit {
            gateway: Arc::downgrade(gateway),
            service: service.clone(),
            counted: None,
            started: None,
        }
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        if let Some(gateway) = self.gateway.upgrade() {
            let service = self.service.clone();
            let now = gateway.now();
            gateway.fleet().release(&service, self, now);
        }
    }
}

/// Attempt in flight; dropping it before [`finish`](AttemptGuard::finish) records a cancellation.
pub(super) struct AttemptGuard {
    gateway: Weak<Gateway>,
    pub target: Target,
    pub sent_at: Time,
    is_finished: bool,
}

impl AttemptGuard {
    pub fn new(gateway: &Arc<Gateway>, target: Target) -> AttemptGuard {
        AttemptGuard {
            gateway: Arc::downgrade(gateway),
            target,
            sent_at: gateway.now(),
            is_finished: false,
        }
    }

    /// Records that the connection to the backend server failed or broke.
    pub fn record_connection_failure(&self) {
        if let Some(gateway) = self.gateway.upgrade() {
            let now = gateway.now();
            gateway.fleet().record_connection_failure(&self.target, now);
        }
    }

    /// Records the result of the attempt; later calls have no effect.
    pub fn finish(&mut self, result: AttemptResult) {
        if std::mem::replace(&mut self.is_finished, true) {
            return;
        }
        if let Some(gateway) = self.gateway.upgrade() {
            let now = gateway.now();
            gateway.fleet().record_result(&self.target, result, now);
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.finish(AttemptResult::Cancelled);
    }
}
