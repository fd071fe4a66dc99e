//! Finds out whether a backend server whose connections broke has crashed.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use siskinbend_link::Reachability;
use siskinbend_link::probe;
use siskinbend_routing::AttemptStage;
use siskinbend_types::AgentId;
use siskinbend_types::PromptPart;
use tokio::time::sleep;

use super::Gateway;
use super::attempt::Call;
use super::fleet::Target;
use crate::sync::lock;

/// Delay of the check after the first broken connection. The other connections to a server that
/// crashed break within it.
const CHECK_DELAY: Duration = Duration::from_millis(60);
/// Timeout of the check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Backend servers that are being checked.
#[derive(Debug, Default)]
pub(super) struct CrashChecks {
    servers: Mutex<BTreeSet<AgentId>>,
}

/// Records that the connection of an attempt broke, and starts a check of its backend server.
pub(super) fn record_loss(
    gateway: &Arc<Gateway>,
    call: &Call,
    target: &Target,
    stage: AttemptStage,
) {
    log::info!(
        request:% = call.head.id,
        server:% = target.id,
        stage:% = stage,
        prompt = join_parts(call.head.shared_parts());
        "attempt_broken"
    );
    let is_new = lock(&gateway.crash_checks.servers).insert(target.id.clone());
    if is_new {
        tokio::spawn(check_server(Arc::clone(gateway), target.clone()));
    }
}

async fn check_server(gateway: Arc<Gateway>, target: Target) {
    sleep(CHECK_DELAY).await;
    let reachability = probe(target.address, CHECK_TIMEOUT).await;
    lock(&gateway.crash_checks.servers).remove(&target.id);
    log::info!(
        server:% = target.id,
        service:% = target.service,
        address:% = target.address,
        found:% = reachability;
        "server_checked"
    );
    if reachability == Reachability::NotListening {
        gateway.metrics.crashes.inc();
    }
}

/// Writes the parts of a prompt for the log, separated by commas.
fn join_parts(parts: &[PromptPart]) -> String {
    let mut text = String::new();
    for part in parts {
        let separator = if text.is_empty() { "" } else { "," };
        // Writing to a string cannot fail.
        let _ = write!(text, "{separator}{part}");
    }
    text
}
