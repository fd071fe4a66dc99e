//! Watches the configuration and the server registry in the platform's store.

use std::sync::Arc;
use std::time::Duration;

use siskinbend_site::OperatorRows;
use siskinbend_site::Position;
use siskinbend_site::SourceError;
use siskinbend_site::StoredConfig;
use siskinbend_site::Versioned;
use siskinbend_types::Time;
use tokio::time::Instant;
use tokio::time::sleep;

use super::Gateway;
use super::REFRESH_INTERVAL;
use super::crash_log;
use super::evacuations;
use super::members;

/// Long-poll duration of a configuration watch. It must be shorter than the maximum age at which
/// the configuration counts as fresh.
const CONFIG_POLL: Duration = Duration::from_millis(1_000);
/// Long-poll duration of a registry watch.
const REGISTRY_POLL: Duration = Duration::from_millis(2_000);
/// Delay after a registry change before the next watch. It batches the changes of many servers that
/// start together, and is well below the two seconds that a leaving server grants.
const BATCH_DELAY: Duration = Duration::from_millis(250);
/// Interval of complete reads, in case the store did not report a change.
const RESYNC_INTERVAL: Duration = Duration::from_secs(14);
/// Initial backoff after a failed call; it doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff after a failed call.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Starts the tasks that watch the store and update the gateway's state.
pub(super) fn start(gateway: &Arc<Gateway>) {
    tokio::spawn(watch_config(Arc::clone(gateway)));
    tokio::spawn(watch_servers(Arc::clone(gateway)));
    tokio::spawn(crash_log::watch(Arc::clone(gateway)));
    tokio::spawn(members::run(Arc::clone(gateway)));
    tokio::spawn(refresh_periodically(Arc::clone(gateway)));
}

async fn refresh_periodically(gateway: Arc<Gateway>) {
    loop {
        sleep(REFRESH_INTERVAL).await;
        let now = gateway.now();
        evacuations::refresh(&gateway, now);
        let updates = gateway.view().update_servers(now);
        let mut fleet = gateway.fleet();
        fleet.apply(updates, now);
        fleet.refresh(now);
    }
}

/// Position that a watch has reached, and time of the last complete read.
#[derive(Debug, Clone, Copy)]
pub(super) struct Cursor {
    pub after: Position,
    read_at: Instant,
}

impl Cursor {
    /// Creates the cursor of a complete read that has just ended.
    pub fn of_read(after: Position) -> Cursor {
        Cursor {
            after,
            read_at: Instant::now(),
        }
    }

    /// Returns the cursor after a watch.
    pub fn advance(self, after: Position) -> Cursor {
        Cursor { after, ..self }
    }

    /// Whether the next complete read is not due yet, if they are made at this interval.
    pub fn is_current(&self, interval: Duration) -> bool {
        self.read_at.elapsed() < interval
    }
}

/// Backoff and logging of consecutive failures of one watch.
pub(super) struct Backoff {
    matter: &'static str,
    delay: Duration,
    failing_since: Option<Time>,
}

impl Backoff {
    /// Creates the backoff of the watch of `matter`.
    pub fn new(matter: &'static str) -> Backoff {
        Backoff {
            matter,
            delay: MIN_BACKOFF,
            failing_since: None,
        }
    }

    /// Returns how long the next call waits for changes: not at all after a failure, because the store
    /// may have been restored meanwhile, which only an answer tells.
    pub fn limit_wait(&self, wait: Duration) -> Duration {
        match self.failing_since {
            Some(_) => Duration::ZERO,
            None => wait,
        }
    }

    /// Records a successful call.
    pub fn reset(&mut self, now: Time) {
        if let Some(since) = self.failing_since.take() {
            let outage = now.since(since).as_millis() as u64;
            log::info!(matter = self.matter, lost_ms = outage; "store_regained");
        }
        self.delay = MIN_BACKOFF;
    }

    /// Records a failed call and waits before the next one.
    pub async fn wait(&mut self, error: SourceError, now: Time) {
        if self.failing_since.is_none() {
            log::warn!(matter = self.matter, error:% = error; "store_lost");
            self.failing_since = Some(now);
        }
        sleep(self.delay).await;
        self.delay = (self.delay * 2).min(MAX_BACKOFF);
    }
}

async fn watch_config(gateway: Arc<Gateway>) {
    let source = Arc::clone(&gateway.adapter.source);
    let mut cursor: Option<Cursor> = None;
    let mut backoff = Backoff::new("config");
    loop {
        let requested_at = gateway.now();
        let current = cursor.filter(|c| c.is_current(RESYNC_INTERVAL));
        let response = match current {
            Some(current) => {
                let read = source.watch_config(current.after, CONFIG_POLL).await;
                read.and_then(|read| read.since(current.after))
            }
            None => source.read_config().await,
        };
        let now = gateway.now();
        match response {
            Ok(read) => {
                backoff.reset(now);
                gateway.record_timeline("config", read.position.timeline);
                cursor = Some(match current {
                    Some(current) => current.advance(read.position),
                    None => Cursor::of_read(read.position),
                });
                // A watch that ended without a change confirms the configuration for its duration.
                let unchanged =
                    read.content.config.is_none() && read.content.evacuations.is_unchanged();
                let confirmed_at = match unchanged && now.since(requested_at) >= CONFIG_POLL {
                    true => requested_at + CONFIG_POLL,
                    false => requested_at,
                };
                apply_rows(&gateway, read, confirmed_at, now);
            }
            Err(SourceError::HistoryGone) => cursor = None,
            Err(error) => {
                cursor = None;
                evacuations::record_failure(&gateway, requested_at);
                backoff.wait(error, now).await;
            }
        }
    }
}

fn apply_rows(
    gateway: &Arc<Gateway>,
    read: Versioned<OperatorRows>,
    confirmed_at: Time,
    now: Time,
) {
    let position = read.position;
    let OperatorRows {
        config,
        evacuations,
    } = read.content;
    // A gateway without a configuration serves no requests, so the evacuations are known first.
    let evacuations = Versioned {
        content: evacuations,
        position,
    };
    evacuations::record(gateway, evacuations, confirmed_at, now);
    let config = Versioned {
        content: config,
        position,
    };
    apply_config(gateway, config, confirmed_at, now);
}

fn apply_config(
    gateway: &Arc<Gateway>,
    read: Versioned<Option<StoredConfig>>,
    confirmed_at: Time,
    now: Time,
) {
    let found = read.content.as_ref().map(|c| c.config.version);
    let (newer, known) = {
        let mut view = gateway.view();
        let newer = view.update_config(read, confirmed_at, now);
        (newer, view.config().map(|c| c.version))
    };
    if let (Some(found), Some(known)) = (found, known)
        && found != known
    {
        log::warn!(version:% = found, known:% = known; "config_not_taken");
    }
    if let Some(config) = newer {
        gateway.fleet().set_prioritised(&config.list_prioritised());
        if gateway.fleet().configure_slow_start(&config) {
            gateway.slow_start_added.notify_one();
        }
        log::info!(
            version:% = config.version,
            routes = config.routes.values().map(Vec::len).sum::<usize>(),
            took_ms = now.since(confirmed_at).as_millis() as u64;
            "config_in_force"
        );
    }
}

async fn watch_servers(gateway: Arc<Gateway>) {
    let source = Arc::clone(&gateway.adapter.source);
    let mut cursor: Option<Cursor> = None;
    let mut backoff = Backoff::new("servers");
    loop {
        let current = cursor.filter(|c| c.is_current(RESYNC_INTERVAL));
        let response = match current {
            Some(current) => source
                .watch_servers(current.after, backoff.limit_wait(REGISTRY_POLL))
                .await
                .and_then(|read| read.since(current.after))
                .map(|read| {
                    let now = gateway.now();
                    let updates = gateway.view().apply_changes(read.content, now);
                    (current.advance(read.position), updates)
                }),
            None => source.read_servers().await.map(|read| {
                let now = gateway.now();
                let cursor = Cursor::of_read(read.position);
                (cursor, gateway.view().replace_servers(read, now))
            }),
        };
        let now = gateway.now();
        match response {
            Ok((reached, updates)) => {
                backoff.reset(now);
                gateway.record_timeline("servers", reached.after.timeline);
                cursor = Some(reached);
                let changed = !updates.is_empty();
                gateway.fleet().apply_read(updates, now);
                if changed {
                    sleep(BATCH_DELAY).await;
                }
            }
            Err(SourceError::HistoryGone) => cursor = None,
            Err(error) => {
                gateway.view().record_store_failure();
                backoff.wait(error, now).await;
            }
        }
    }
}
