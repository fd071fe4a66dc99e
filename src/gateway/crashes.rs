//! Finds out whether a backend server whose connections broke has crashed, and shares what it was
//! running with the other gateways.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use siskinbend_link::Reachability;
use siskinbend_link::probe;
use siskinbend_routing::AttemptStage;
use siskinbend_routing::CrashTracker;
use siskinbend_routing::crashes;
use siskinbend_routing::crashes::BlockedPart;
use siskinbend_routing::crashes::CrashReport;
use siskinbend_routing::crashes::Suspect;
use siskinbend_site::CrashEntry;
use siskinbend_site::SourceError;
use siskinbend_types::AgentId;
use siskinbend_types::PromptPart;
use siskinbend_types::Time;
use tokio::time::sleep;

use super::Gateway;
use super::attempt::Call;
use super::fleet::Target;
use super::store_watch::Backoff;
use super::store_watch::Position;
use crate::clock::unix_millis;
use crate::sync::lock;

/// Delay of the check after the first broken connection. The other connections to a server that
/// crashed break within it.
const CHECK_DELAY: Duration = Duration::from_millis(60);
/// Timeout of the check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// Long-poll duration of a watch of the shared log. A connection that has gone silent is noticed
/// after it.
const LOG_POLL: Duration = Duration::from_secs(8);
/// Delay after a change of the shared log before the next watch. It batches the reports of one crash
/// by many gateways.
const BATCH_DELAY: Duration = Duration::from_millis(250);
/// Interval of complete reads of the shared log, in case the store did not report a change.
const RESYNC_INTERVAL: Duration = Duration::from_secs(60);
/// Initial delay before an entry is written again after a failure; it doubles up to
/// [`MAX_WRITE_DELAY`].
const MIN_WRITE_DELAY: Duration = Duration::from_millis(150);
/// Maximum delay before an entry is written again.
const MAX_WRITE_DELAY: Duration = Duration::from_secs(2);

/// Crashes of backend servers, as far as this gateway knows.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    /// Requests whose connection broke, by the backend server that is being checked.
    pending: Mutex<BTreeMap<AgentId, Vec<Suspect>>>,
    tracker: Mutex<CrashTracker>,
}

impl Crashes {
    fn pending(&self) -> MutexGuard<'_, BTreeMap<AgentId, Vec<Suspect>>> {
        lock(&self.pending)
    }

    fn tracker(&self) -> MutexGuard<'_, CrashTracker> {
        lock(&self.tracker)
    }

    /// Returns a blocked part of a request's prompt and the time until the end of its block.
    pub fn find_blocked(&self, call: &Call, now: Time) -> Option<(PromptPart, Duration)> {
        self.tracker().find_blocked(call.head.shared_parts(), now)
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
        share(gateway, &entry, now).await;
    }
}

/// Adds an entry to the shared log, and tries again for as long as the entry counts.
async fn share(gateway: &Arc<Gateway>, entry: &CrashEntry, crashed_at: Time) {
    let server = &entry.report.server;
    let retention = crashes::Settings::default().retention;
    let mut delay = MIN_WRITE_DELAY;
    while let Err(error) = gateway.adapter.crash_log.add(entry).await {
        if delay == MIN_WRITE_DELAY {
            log::warn!(server:% = server, error:% = error; "crash_not_shared");
        }
        if gateway.now().since(crashed_at) >= retention {
            return;
        }
        sleep(delay).await;
        delay = (delay * 2).min(MAX_WRITE_DELAY);
    }
    let took = gateway.now().since(crashed_at).as_millis() as u64;
    log::info!(server:% = server, requests = entry.report.suspects.len(), took_ms = took; "crash_shared");
}

fn record_crash(gateway: &Arc<Gateway>, report: CrashReport, at: Time, now: Time) {
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

/// Watches the crashes that other gateways report.
pub(super) async fn watch(gateway: Arc<Gateway>) {
    let source = Arc::clone(&gateway.adapter.crash_log);
    let mut position: Option<Position> = None;
    let mut backoff = Backoff::new("crashes");
    loop {
        let current = position.filter(|p| p.is_current(RESYNC_INTERVAL));
        let response = match current {
            Some(current) => source.watch(current.after, LOG_POLL).await,
            None => source.read().await,
        };
        let now = gateway.now();
        match response {
            Ok(read) => {
                backoff.reset(now);
                position = Some(match current {
                    Some(current) => current.advance(read.position),
                    None => Position::of_read(read.position),
                });
                let changed = !read.content.is_empty();
                let expired = apply(&gateway, read.content, now);
                remove(&gateway, &expired).await;
                if changed {
                    sleep(BATCH_DELAY).await;
                }
            }
            Err(SourceError::HistoryGone) => position = None,
            Err(error) => backoff.wait(error, now).await,
        }
    }
}

/// Records crashes of the shared log by their age, and returns the entries that no longer count.
fn apply(gateway: &Arc<Gateway>, entries: Vec<CrashEntry>, now: Time) -> Vec<CrashEntry> {
    let unix_now = unix_millis();
    let retention = crashes::Settings::default().retention;
    let mut expired = Vec::new();
    for entry in entries {
        let age = Duration::from_millis(unix_now.saturating_sub(entry.reported_ms));
        if age >= retention {
            expired.push(entry);
        } else {
            record_crash(gateway, entry.report, now.before(age), now);
        }
    }
    expired
}

async fn remove(gateway: &Arc<Gateway>, expired: &[CrashEntry]) {
    if expired.is_empty() {
        return;
    }
    match gateway.adapter.crash_log.remove(expired).await {
        Ok(()) => log::info!(count = expired.len(); "crash_entries_removed"),
        Err(error) => log::warn!(error:% = error; "crash_entries_kept"),
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
