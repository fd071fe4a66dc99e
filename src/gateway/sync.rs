//! Follows the configuration and the registry in the platform's store.

use std::sync::Arc;
use std::time::Duration;

use siskinbend_site::Config;
use siskinbend_site::SourceError;
use siskinbend_types::Time;
use tokio::time::Instant;
use tokio::time::sleep;

use super::Gateway;
use super::TICK;

/// Time for which one call waits for a change of the configuration; it must be shorter than the age
/// up to which the configuration is certain.
const CONFIG_WAIT: Duration = Duration::from_millis(1_000);
/// Time for which one call waits for a change of the registry.
const SERVERS_WAIT: Duration = Duration::from_millis(2_000);
/// Time for which changes of the registry gather after one, so that many servers that start
/// together take few calls. A leaving server is known well within the two seconds that it grants.
const GATHER_TIME: Duration = Duration::from_millis(250);
/// Interval at which all is read anew, in case a change was not told.
const REREAD: Duration = Duration::from_secs(14);
/// First pause after a failed call; it doubles up to [`LONGEST_PAUSE`].
const SHORTEST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// Starts the tasks that follow the store.
pub(super) fn start(gateway: &Arc<Gateway>) {
    tokio::spawn(follow_config(Arc::clone(gateway)));
    tokio::spawn(follow_servers(Arc::clone(gateway)));
    tokio::spawn(tick(Arc::clone(gateway)));
}

async fn tick(gateway: Arc<Gateway>) {
    loop {
        sleep(TICK).await;
        let now = gateway.now();
        let updates = gateway.view().remove_expired(now);
        let mut fleet = gateway.fleet();
        fleet.apply(updates, now);
        fleet.tick(now);
    }
}

/// Position in the store's history, and when all was last read.
#[derive(Debug, Clone, Copy)]
struct Position {
    after: u64,
    read: Instant,
}

impl Position {
    fn is_current(&self) -> bool {
        self.read.elapsed() < REREAD
    }
}

/// Failures in a row of the calls about one matter.
struct Trouble {
    matter: &'static str,
    pause: Duration,
    since: Option<Time>,
}

impl Trouble {
    fn new(matter: &'static str) -> Trouble {
        Trouble {
            matter,
            pause: SHORTEST_PAUSE,
            since: None,
        }
    }

    fn clear(&mut self, now: Time) {
        if let Some(since) = self.since.take() {
            let lost = now.since(since).as_millis() as u64;
            log::info!(matter = self.matter, lost_ms = lost; "store_regained");
        }
        self.pause = SHORTEST_PAUSE;
    }

    async fn wait(&mut self, error: SourceError, now: Time) {
        if self.since.is_none() {
            log::warn!(matter = self.matter, error:% = error; "store_lost");
            self.since = Some(now);
        }
        sleep(self.pause).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }
}

async fn follow_config(gateway: Arc<Gateway>) {
    let source = Arc::clone(&gateway.adapter.source);
    let mut position: Option<Position> = None;
    let mut trouble = Trouble::new("config");
    loop {
        let asked = gateway.now();
        let known = position.filter(Position::is_current);
        let answer = match known {
            Some(known) => source.watch_config(known.after, CONFIG_WAIT).await,
            None => source.read_config().await,
        };
        let now = gateway.now();
        match answer {
            Ok(change) => {
                trouble.clear(now);
                let read = match known {
                    Some(known) => known.read,
                    None => Instant::now(),
                };
                let after = change.position;
                position = Some(Position { after, read });
                // A call that waited in vain tells that nothing changed while it waited.
                let waited = known.is_some() && change.content.is_none();
                let confirmed = match waited && now.since(asked) >= CONFIG_WAIT {
                    true => asked + CONFIG_WAIT,
                    false => asked,
                };
                take_config(&gateway, change.content, confirmed, now);
            }
            Err(SourceError::HistoryGone) => position = None,
            Err(error) => trouble.wait(error, now).await,
        }
    }
}

fn take_config(gateway: &Arc<Gateway>, content: Option<Config>, asked: Time, now: Time) {
    let newer = gateway.view().update_config(content, asked);
    if let Some(config) = newer {
        log::info!(
            version:% = config.version,
            routes = config.routes.values().map(Vec::len).sum::<usize>(),
            took_ms = now.since(asked).as_millis() as u64;
            "config_in_force"
        );
    }
}

async fn follow_servers(gateway: Arc<Gateway>) {
    let source = Arc::clone(&gateway.adapter.source);
    let mut position: Option<Position> = None;
    let mut trouble = Trouble::new("servers");
    loop {
        let known = position.filter(Position::is_current);
        let answer = match known {
            Some(known) => source
                .watch_servers(known.after, SERVERS_WAIT)
                .await
                .map(|change| {
                    let now = gateway.now();
                    let updates = gateway.view().apply_changes(change.content, now);
                    (change.position, known.read, updates)
                }),
            None => source.read_servers().await.map(|change| {
                let now = gateway.now();
                let updates = gateway.view().replace_servers(change.content, now);
                (change.position, Instant::now(), updates)
            }),
        };
        let now = gateway.now();
        match answer {
            Ok((after, read, updates)) => {
                trouble.clear(now);
                position = Some(Position { after, read });
                let changed = !updates.is_empty();
                gateway.fleet().apply(updates, now);
                if changed {
                    sleep(GATHER_TIME).await;
                }
            }
            Err(SourceError::HistoryGone) => position = None,
            Err(error) => {
                gateway.view().record_store_failure();
                trouble.wait(error, now).await;
            }
        }
    }
}
