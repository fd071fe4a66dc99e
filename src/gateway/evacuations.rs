//! Applies the evacuations of availability zones that the store shows.

use std::sync::Arc;
use std::time::Duration;

use siskinbend_site::Versioned;
use siskinbend_site::ZoneStatus;
use siskinbend_site::evacuation::EvacuationRows;
use siskinbend_types::Time;
use tokio::time::timeout;

use super::Gateway;
use super::attempt::Call;

/// Part of the operators' bound on evacuations that is left for a late report of the store (1 s) and
/// for opening a connection.
const BOUND_MARGIN: Duration = Duration::from_millis(1_500);
/// Lowest age at which the latest call to the store counts as too old. A process that runs makes one
/// every 2.9 s, also while each of them times out.
const MIN_CHECK_AGE: Duration = Duration::from_millis(3_200);
/// Maximum time for which a request waits for a call to the store.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Records the evacuated zones in an answer of the store, which was correct at `confirmed_at`.
pub(super) fn record(
    gateway: &Arc<Gateway>,
    read: Versioned<EvacuationRows>,
    confirmed_at: Time,
    now: Time,
) {
    gateway.view().record_evacuations(read, confirmed_at, now);
    refresh(gateway, now);
    gateway.evacuations_checked.send_replace(confirmed_at);
}

/// Records a failed call to the store. Until one succeeds, the latest known set applies.
pub(super) fn record_failure(gateway: &Arc<Gateway>, requested_at: Time) {
    gateway.evacuations_checked.send_replace(requested_at);
}

/// Applies the evacuated zones to the choice of servers.
pub(super) fn refresh(gateway: &Arc<Gateway>, now: Time) {
    // The view stays locked, so that no older set replaces a newer one.
    let mut view = gateway.view();
    let evacuated = view.update_evacuations(now).zones();
    gateway.fleet().set_evacuations(evacuated, now);
}

/// Waits until the store was asked for evacuations, if the process was frozen for so long that it may
/// have missed one. Requests that arrived meanwhile would otherwise reach the zone too late.
pub(super) async fn wait_until_checked(gateway: &Arc<Gateway>, call: &Call) {
    let started = gateway.now();
    if is_checked(gateway, started) {
        return;
    }
    let is_recent = |at: &Time| is_recent(gateway, *at, gateway.now());
    let mut checks = gateway.evacuations_checked.subscribe();
    let time_limit = MAX_WAIT.min(call.time_left(started));
    let is_checked = timeout(time_limit, checks.wait_for(is_recent))
        .await
        .is_ok();
    let waited_ms = gateway.now().since(started).as_millis() as u64;
    log::info!(request:% = call.head.id, checked = is_checked, waited_ms; "evacuations_awaited");
}

/// Whether the store was asked for evacuations so recently that none can have been missed.
pub(super) fn is_checked(gateway: &Arc<Gateway>, now: Time) -> bool {
    let checked_at = *gateway.evacuations_checked.borrow();
    is_recent(gateway, checked_at, now)
}

/// Whether a check of the evacuations is young enough; any is if the operators set no bound.
fn is_recent(gateway: &Arc<Gateway>, checked_at: Time, now: Time) -> bool {
    let bound = gateway.settings.bounds.evacuate;
    let max_age = bound.map(|bound| bound.saturating_sub(BOUND_MARGIN).max(MIN_CHECK_AGE));
    max_age.is_none_or(|max_age| now.since(checked_at) < max_age)
}

/// Lists the zones and their states for the status page and the metrics.
pub(super) fn list_zones(gateway: &Gateway, now: Time) -> Vec<ZoneStatus> {
    let config = gateway.config();
    gateway.fleet().list_zones(config.as_deref(), now)
}
