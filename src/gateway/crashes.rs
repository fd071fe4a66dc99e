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
use siskinbend_routing::crashes::Blocked;
use siskinbend_routing::crashes::Cause;
use siskinbend_routing::crashes::CrashReport;
use siskinbend_routing::crashes::Suspect;
use siskinbend_site::CrashEntry;
use siskinbend_types::AgentId;
use siskinbend_types::PromptPart;
use siskinbend_types::Time;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

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
/// Maximum time for which a request waits for the check of a server to which it was sent before.
const MAX_CHECK_WAIT: Duration = Duration::from_millis(150);
/// Maximum number of own entries of the shared log that are remembered.
const MAX_SHARED: usize = 64;

/// Crashes of backend servers, as far as this gateway knows.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    /// Requests whose connection broke, by the backend server that is being checked.
    pending: Mutex<BTreeMap<AgentId, Vec<Suspect>>>,
    /// Notified after each check.
    checked: Notify,
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

    /// Returns what a request is blocked for, and the time until the end of the block.
    pub fn find_blocked(&self, call: &Call, now: Time) -> Option<(Cause, Duration)> {
        let fingerprint = call.fingerprint();
        let parts = call.head.shared_parts();
        self.tracker().find_blocked(fingerprint, parts, now)
    }

    /// Waits until the servers have been checked that may have crashed because of the same request.
    pub async fn wait_until_checked(&self, call: &Call) {
        let waiting = async {
            loop {
                let checked = self.checked.notified();
                if !self.is_checked_for(call) {
                    return;
                }
                checked.await;
            }
        };
        if timeout(MAX_CHECK_WAIT, waiting).await.is_err() {
            log::info!(request:% = call.head.id; "server_check_slow");
        }
    }

    /// Whether the check of a server is under way that may have crashed because of the same request.
    pub fn is_checked_for(&self, call: &Call) -> bool {
        let pending = self.pending();
        let suspects = pending.values().flatten();
        let mut weighty = suspects.filter(|s| s.stage != AttemptStage::Streaming);
        weighty.any(|s| s.fingerprint == Some(call.fingerprint()))
    }

    /// Returns the time for which a crash counts.
    pub fn retention(&self) -> Duration {
        self.tracker().retention()
    }

    /// Returns the numbers of blocked parts and of blocked requests.
    pub fn count_blocked(&self, now: Time) -> (usize, usize) {
        let tracker = self.tracker();
        let requests = tracker.count_blocked_requests(now);
        (tracker.count_blocked_parts(now), requests)
    }

    /// Records that a request was answered by an attempt sent at `sent_at`, at least so far that it
    /// can't have crashed its server.
    pub fn record_answer(&self, call: &Call, sent_at: Time) {
        let parts = call.head.shared_parts();
        self.tracker()
            .record_answer(call.fingerprint(), parts, sent_at);
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
        fingerprint: Some(call.fingerprint()),
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
    let has_crashed = reachability == Reachability::NotListening && is_staying;
    let report = CrashReport {
        server: target.id,
        incarnation: target.incarnation,
        service: target.service,
        suspects,
    };
    let now = gateway.now();
    if has_crashed {
        gateway.metrics.crashes.inc();
        record_crash(&gateway, report.clone(), now, now);
    }
    gateway.crashes.checked.notify_waiters();
    if has_crashed {
        share_crash(&gateway, report, now).await;
    }
}

/// Adds a crash to the log that the gateways share.
async fn share_crash(gateway: &Arc<Gateway>, report: CrashReport, now: Time) {
    let is_evidence = |s: &Suspect| s.stage != AttemptStage::Streaming;
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

/// Records a crash at the time `at` and logs what it blocks.
pub(super) fn record_crash(gateway: &Arc<Gateway>, report: CrashReport, at: Time, now: Time) {
    let blocked = gateway.crashes.tracker().record_crash(report, at, now);
    for Blocked {
        cause,
        weight,
        servers,
    } in blocked
    {
        let servers: Vec<&str> = servers.iter().map(AgentId::as_str).collect();
        let servers = servers.join(",");
        match cause {
            Cause::Request(fingerprint) => {
                log::warn!(fingerprint:% = fingerprint, weight, servers; "request_blocked");
            }
            Cause::Part(part) => {
                log::warn!(part:% = part, weight, servers; "prompt_part_blocked");
            }
        }
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
