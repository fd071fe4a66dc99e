//! Shares crashes of backend servers with the other gateways.

use std::sync::Arc;
use std::time::Duration;

use siskinbend_site::CrashEntry;
use siskinbend_site::SourceError;
use siskinbend_types::Time;
use siskinbend_types::Timeline;
use tokio::time::sleep;

use super::Gateway;
use super::crashes;
use super::store_watch::Backoff;
use super::store_watch::Cursor;
use crate::clock::unix_millis;

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

/// Adds an entry to the shared log, and tries again for as long as the entry counts.
pub(super) async fn share(gateway: &Arc<Gateway>, entry: &CrashEntry, crashed_at: Time) {
    let server = &entry.report.server;
    let retention = gateway.crashes.retention();
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

/// Watches the crashes that other gateways report.
pub(super) async fn watch(gateway: Arc<Gateway>) {
    let source = Arc::clone(&gateway.adapter.crash_log);
    let mut cursor: Option<Cursor> = None;
    let mut known_timeline: Option<Timeline> = None;
    let mut backoff = Backoff::new("crashes");
    loop {
        let current = cursor.filter(|c| c.is_current(RESYNC_INTERVAL));
        let response = match current {
            Some(current) => {
                let wait = backoff.limit_wait(LOG_POLL);
                let read = source.watch(current.after, wait).await;
                read.and_then(|read| read.since(current.after))
            }
            None => source.read().await,
        };
        let now = gateway.now();
        match response {
            Ok(read) => {
                backoff.reset(now);
                gateway.record_timeline("crashes", read.position.timeline);
                cursor = Some(match current {
                    Some(current) => current.advance(read.position),
                    None => Cursor::of_read(read.position),
                });
                if known_timeline.is_some_and(|known| known < read.position.timeline) {
                    share_again(&gateway, &read.content, now);
                }
                known_timeline = Some(read.position.timeline);
                let changed = !read.content.is_empty();
                let expired = apply(&gateway, read.content, now);
                remove(&gateway, &expired).await;
                if changed {
                    sleep(BATCH_DELAY).await;
                }
            }
            Err(SourceError::HistoryGone) => cursor = None,
            Err(error) => backoff.wait(error, now).await,
        }
    }
}

/// Adds the entries of this gateway again that a restored store has lost.
fn share_again(gateway: &Arc<Gateway>, found: &[CrashEntry], now: Time) {
    let shared = gateway.crashes.list_shared(now).into_iter();
    for (entry, crashed_at) in shared.filter(|(entry, _)| !found.contains(entry)) {
        let gateway = Arc::clone(gateway);
        tokio::spawn(async move { share(&gateway, &entry, crashed_at).await });
    }
}

/// Records crashes of the shared log by their age, and returns the entries that no longer count.
fn apply(gateway: &Arc<Gateway>, entries: Vec<CrashEntry>, now: Time) -> Vec<CrashEntry> {
    let unix_now = unix_millis();
    let retention = gateway.crashes.retention();
    let mut expired = Vec::new();
    for entry in entries {
        let age = Duration::from_millis(unix_now.saturating_sub(entry.reported_ms));
        if age >= retention {
            expired.push(entry);
        } else {
            crashes::record_crash(gateway, entry.report, now.before(age), now);
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
