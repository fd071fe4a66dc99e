//! Keeps the list of the gateways that run, which share the request limits of backend servers and the
//! rates of cold ones.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use siskinbend_site::Member;
use siskinbend_site::SourceError;
use smol_str::SmolStr;
use tokio::time::sleep;
use tokio::time::timeout;

use super::Gateway;
use super::store_watch::Backoff;
use crate::clock::unix_millis;

/// Interval at which a gateway states that it runs and reads which others do.
const INTERVAL: Duration = Duration::from_secs(25);
/// First interval after a start or a change of the list, if there are services with a slow start; it
/// doubles up to [`INTERVAL`]. Gateways that start together each miss those that state it after their
/// first read.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the task checks whether the configuration is known.
const CONFIG_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Age of a statement from which its gateway no longer shares limits. It spans several statements, so
/// that one that was missed or is read late does not change the shares.
const MAX_AGE: Duration = Duration::from_secs(80);
/// Age of a statement from which it is removed.
const REMOVAL_AGE: Duration = Duration::from_secs(600);

/// Announces this gateway and reads which others run.
pub(super) async fn run(gateway: Arc<Gateway>) {
    let mut backoff = Backoff::new("gateways");
    let mut interval: Option<Duration> = None;
    let mut timeline = gateway.timeline.subscribe();
    loop {
        match update(&gateway).await {
            Ok(has_changed) => {
                backoff.reset(gateway.now());
                let next = match interval {
                    Some(latest) if !has_changed => (latest * 2).min(INTERVAL),
                    _ => find_first_interval(&gateway).await,
                };
                interval = Some(next);
                // A restored store may have lost the statement. The gateway outlives this task, so
                // the wait ends only with a change.
                tokio::select! {
                    _ = timeout(next, timeline.changed()) => {}
                    () = gateway.slow_start_added.notified() => interval = None,
                }
            }
            Err(error) => backoff.wait(error, gateway.now()).await,
        }
    }
}

/// Returns the interval until the list is read again after it changed.
async fn find_first_interval(gateway: &Gateway) -> Duration {
    loop {
        if let Some(config) = gateway.config() {
            let has_slow_start = config.services.iter().any(|s| s.slow_start.is_some());
            return match has_slow_start {
                true => MIN_INTERVAL,
                false => INTERVAL,
            };
        }
        sleep(CONFIG_CHECK_INTERVAL).await;
    }
}

/// Returns whether the number of gateways has changed.
async fn update(gateway: &Arc<Gateway>) -> Result<bool, SourceError> {
    let membership = &gateway.adapter.membership;
    let own = Member {
        node: gateway.settings.node.clone(),
        stated_ms: unix_millis(),
    };
    // The others are read in any case: the statement may have taken effect without an answer.
    let announced = membership.announce(&own).await;
    let members = membership.read().await?;
    let unix_now = unix_millis();
    let age = |m: &Member| Duration::from_millis(unix_now.saturating_sub(m.stated_ms));
    let running = members.iter().filter(|m| age(m) < MAX_AGE);
    let has_changed = apply(gateway, running.map(|m| m.node.clone()).collect());
    let gone: Vec<Member> = members
        .into_iter()
        .filter(|m| age(m) >= REMOVAL_AGE)
        .collect();
    if !gone.is_empty() {
        membership.remove(&gone).await?;
    }
    announced.map(|()| has_changed)
}

fn apply(gateway: &Arc<Gateway>, names: BTreeSet<SmolStr>) -> bool {
    let now = gateway.now();
    let time_of_day = Duration::from_millis(unix_millis());
    let (before, after) = gateway.fleet().set_gateways(names, time_of_day, now);
    if before != after {
        log::info!(before, after; "gateways_changed");
    }
    before != after
}
