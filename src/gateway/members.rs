//! Keeps the list of the gateways that run, which share the request limits of backend servers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use siskinbend_site::Member;
use siskinbend_site::SourceError;
use smol_str::SmolStr;
use tokio::time::timeout;

use super::Gateway;
use super::store_watch::Backoff;
use crate::clock::unix_millis;

/// Interval at which a gateway states that it runs and reads which others do.
const INTERVAL: Duration = Duration::from_secs(25);
/// Age of a statement from which its gateway no longer shares limits. It spans several statements, so
/// that one that was missed or is read late does not change the shares.
const MAX_AGE: Duration = Duration::from_secs(80);
/// Age of a statement from which it is removed.
const REMOVAL_AGE: Duration = Duration::from_secs(600);

/// Announces this gateway and reads which others run.
pub(super) async fn run(gateway: Arc<Gateway>) {
    let mut backoff = Backoff::new("gateways");
    let mut timeline = gateway.timeline.subscribe();
    loop {
        match update(&gateway).await {
            Ok(()) => {
                backoff.reset(gateway.now());
                // A restored store may have lost the statement. The gateway outlives this task, so
                // the wait ends only with a change.
                let _ = timeout(INTERVAL, timeline.changed()).await;
            }
            Err(error) => backoff.wait(error, gateway.now()).await,
        }
    }
}

async fn update(gateway: &Arc<Gateway>) -> Result<(), SourceError> {
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
    apply(gateway, running.map(|m| m.node.clone()).collect());
    let gone: Vec<Member> = members
        .into_iter()
        .filter(|m| age(m) >= REMOVAL_AGE)
        .collect();
    if !gone.is_empty() {
        membership.remove(&gone).await?;
    }
    announced
}

fn apply(gateway: &Arc<Gateway>, names: BTreeSet<SmolStr>) {
    let now = gateway.now();
    let time_of_day = Duration::from_millis(unix_millis());
    let (before, after) = gateway.fleet().set_gateways(names, time_of_day, now);
    if before != after {
        log::info!(before, after; "gateways_changed");
    }
}
