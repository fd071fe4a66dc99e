//! Silence of a backend server that runs an attempt.
//!
//! A silent server may go on: silence alone is no reason to end an attempt before its deadline, but
//! one to send a hedge.

use std::sync::Arc;
use std::time::Duration;

use siskinbend_types::Time;

use super::Gateway;
use super::attempt::Call;
use super::fleet::Target;

/// Interval at which an attempt is checked for silence.
pub(super) const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Silence of a backend server after which a hedge is sent, while others of the service respond.
const MAX_SILENCE: Duration = Duration::from_millis(900);
/// Shortest such silence for requests with little time.
const MIN_SILENCE: Duration = Duration::from_millis(150);

/// Detects the silence of one attempt, and records it once.
#[derive(Debug)]
pub(super) struct SilenceDetector {
    /// When data was first expected.
    since: Time,
    is_recorded: bool,
}

impl SilenceDetector {
    /// Creates a detector for data that is expected from now on.
    pub fn new(now: Time) -> SilenceDetector {
        SilenceDetector {
            since: now,
            is_recorded: false,
        }
    }

    /// Whether a backend server is so silent that a request that may be repeated needs a hedge.
    pub fn is_silent(&mut self, gateway: &Arc<Gateway>, call: &Call, target: &Target) -> bool {
        if !call.route.kind.is_retryable() {
            return false;
        }
        let now = gateway.now();
        let mut fleet = gateway.fleet();
        let silence = fleet.measure_silence(target, self.since, now);
        if silence < max_silence(call) {
            return false;
        }
        if !std::mem::replace(&mut self.is_recorded, true) {
            fleet.record_silence(target, now);
            log::info!(
                request:% = call.head.id,
                server:% = target.id,
                silent_ms = silence.as_millis() as u64,
                left_ms = call.time_left(now).as_millis() as u64;
                "attempt_silent"
            );
        }
        true
    }
}

/// Returns the silence that leaves enough time for an attempt at another backend server.
fn max_silence(call: &Call) -> Duration {
    let total = call.deadline.since(call.received_at);
    (total / 3).max(MIN_SILENCE).min(MAX_SILENCE)
}
