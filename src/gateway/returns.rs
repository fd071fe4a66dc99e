//! Times at which the callers of refused streams are told to come back.

use std::sync::Arc;
use std::time::Duration;

use siskinbend_request::retry_after::max_retry_delay;
use siskinbend_types::Reason;
use siskinbend_types::Time;

use super::Gateway;
use super::attempt::Call;

/// Records that a stream was admitted to its service.
pub(super) fn record_admission(gateway: &Arc<Gateway>, call: &Call) {
    let now = gateway.now();
    gateway.fleet().returns(&call.service).record_admission(now);
}

/// Books the time at which the caller of a stream that was refused for want of capacity comes back.
/// Returns the time until then; `None` if none can be booked.
pub(super) fn book(
    gateway: &Arc<Gateway>,
    call: &Call,
    reason: Reason,
    now: Time,
) -> Option<Duration> {
    let is_overload = matches!(
        reason,
        Reason::QueueFull | Reason::ShareExceeded | Reason::Displaced
    );
    if !call.route.kind.is_stream() || !is_overload {
        return None;
    }
    let longest = now + max_retry_delay(call.time_left(now));
    // A request that starts later can no longer have its first event before the deadline.
    let latest = longest.min(call.deadline.before(call.route.latency_goal));
    let booked = gateway
        .fleet()
        .returns(&call.service)
        .book(latest, rand::random(), now);
    let metrics = &gateway.metrics;
    match booked {
        Some(_) => metrics.booked_returns.inc(),
        None => metrics.unbooked_returns.inc(),
    };
    booked
}
