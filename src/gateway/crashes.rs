//! Finds out whether a backend server whose connections broke has crashed.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use siskinbend_link::Reachability;
use siskinbend_link::probe;
use siskinbend_routing::AttemptStage;
use siskinbend_routing::CrashTracker;
use siskinbend_routing::crashes::BlockedPart;
use siskinbend_routing::crashes::CrashReport;
use siskinbend_routing::crashes::Suspect;
use siskinbend_site::CrashEntry;
use siskinbend_types::AgentId;
use siskinbend_types::PromptPart;
use siskinbend_types::Time;
use tokio::time::sleep;

use super::Gateway;
use super::attempt::Call;
use super::crash_log;
use super::fleet::Target;
use crate::clock::unix_millis;
use crate::sync::lock;

/// Delay of the check after the first broken connection. The other connections to a server that
/// crashed break within it.
const CHECK_DELAY: Duration = Duration::from_millis(60);
/// Timeout of the check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of own entries of the shared log that are remembered.
const MAX_SHARED: usize = 64;

/// Crashes of backend servers, as far as this gateway knows.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    /// Requests whose connection broke, by the backend server that is being checked.
    pending: Mutex<BTreeMap<AgentId, Vec<Suspect>>>,
    tracker: Mutex<CrashTracker>,
    /// Latest entries that this gateway added to the shared log, with the time of the crash.
    shared: Mutex<VecDeque<(CrashEntry, Time)>>,
}

impl Crashes {
    fn pending(&self) -> MutexGuard<'_, BTreeMap<AgentId, Vec<Suspect>>> {
        lock(&self.pending)
    }

    fn tracker(&self) -> MutexGuard<'_, CrashTracker> {
        lock(&self.tracker)
    }

    /// Remembers an entry of this gateway, in case the shared log loses it.
    fn remember_shared(&self, entry: &CrashEntry, crashed_at: Time) {
        let mut shared = lock(&self.shared);
        shared.push_back((entry.clone(), crashed_at));
        if shared.len() > MAX_SHARED {
            shared.pop_front();
        }
    }

    /// Lists the entries of this gateway that still count.
    pub fn list_shared(&self, now: Time) -> Vec<(CrashEntry, Time)> {
        let retention = self.retention();
        let mut shared = lock(&self.shared);
        shared.retain(|(_, crashed_at)| now.since(*crashed_at) < retention);
        shared.iter().cloned().collect()
    }

    /// Returns a blocked part of a request's prompt and the time until the end of its block.
    pub fn find_blocked(&self, call: &Call, now: Time) -> Option<(PromptPart, Duration)> {
        self.tracker().find_blocked(call.head.shared_parts(), now)
    }

    /// Returns the time for which a crash counts.
    pub fn retention(&self) -> Duration {
        self.tracker().retention()
    }

    /// Returns the number of blocked parts.
    pub fn count_blocked(&self, now: Time) -> usize {
        self.tracker().count_blocked(now)
    }

    /// Records that a request was answered completely by an attempt sent at `sent_at`.
    pub fn record_answer(&self, call: &Call, sent_at: Time) {
        let parts = call.head.shared_parts();
        if !parts.is_empty() {
            self.tracker().record_answer(parts, sent_at);
        }
    }
}

/// Records that the connection of an attempt broke, and starts a check of its backend server.
pub(super) fn record_loss(
    gateway: &Arc<Gateway>,
    call: &Call,
    target: &Target,
    stage: AttemptStage,
) {
    let parts = call.head.shared_parts();
    log::info!(
        request:% = call.head.id,
        fingerprint:% = call.fingerprint(),
        server:% = target.id,
        stage:% = stage,
        prompt = join_parts(parts);
        "attempt_broken"
    );
    let suspect = Suspect {
        request: call.head.id.clone(),
        parts: parts.to_vec(),
        stage,
    };
    let mut pending = gateway.crashes.pending();
    let is_checked = pending.contains_key(&target.id);
    pending.entry(target.id.clone()).or_default().push(suspect);
    if !is_checked {
        tokio::spawn(check_server(Arc::clone(gateway), target.clone()));
    }
}

async fn check_server(gateway: Arc<Gateway>, target: Target) {
    sleep(CHECK_DELAY).await;
    let reachability = probe(target.address, CHECK_TIMEOUT).await;
    let suspects = gateway.crashes.pending().remove(&target.id);
    let suspects = suspects.unwrap_or_default();
    // A server that is leaving exits when it has finished, and may be registered no longer.
    let is_staying = gateway.fleet().is_ready(&target.id);
    log::info!(
        server:% = target.id,
        service:% = target.service,
        address:% = target.address,
        found:% = reachability,
        leaving = !is_staying,
        requests = suspects.len();
        "server_checked"
    );
    if reachability == Reachability::NotListening && is_staying {
        gateway.metrics.crashes.inc();
        let report = CrashReport {
            server: target.id,
            incarnation: target.incarnation,
            service: target.service,
            suspects,
        };
        report_crash(&gateway, report).await;
    }
}

/// Records a crash and adds it to the log that the gateways share.
async fn report_crash(gateway: &Arc<Gateway>, report: CrashReport) {
    let now = gateway.now();
    record_crash(gateway, report.clone(), now, now);
    let is_evidence = |s: &Suspect| s.stage != AttemptStage::Streaming && !s.parts.is_empty();
    let entry = CrashEntry {
        reporter: gateway.settings.node.clone(),
        reported_ms: unix_millis(),
        report: CrashReport {
            suspects: report.suspects.into_iter().filter(is_evidence).collect(),
            ..report
        },
    };
    if !entry.report.suspects.is_empty() {
        gateway.crashes.remember_shared(&entry, now);
        crash_log::share(gateway, &entry, now).await;
    }
}

/// Records a crash at the time `at` and logs the parts that it blocks.
pub(super) fn record_crash(gateway: &Arc<Gateway>, report: CrashReport, at: Time, now: Time) {
    let blocked = gateway.crashes.tracker().record_crash(report, at, now);
    for BlockedPart {
        part,
        weight,
        servers,
    } in blocked
    {
        let servers: Vec<&str> = servers.iter().map(AgentId::as_str).collect();
        log::warn!(part:% = part, weight, servers = servers.join(","); "prompt_part_blocked");
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
