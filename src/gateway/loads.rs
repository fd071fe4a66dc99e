//! Polls the rank agents of engine groups for the load of their ranks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use siskinbend_types::ServiceName;
use tokio::time::sleep;

use super::Gateway;
use crate::peer::LOADS_PATH;
use crate::peer::RankLoad;

/// Interval between two polls of a group.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Interval at which the task checks whether the configuration is known.
const CONFIG_CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// Maximum number of agents of a group that are asked in one poll, until the leader is found.
const MAX_AGENTS_ASKED: usize = 3;

/// Polls the load of all groups.
pub(super) async fn run(gateway: Arc<Gateway>) {
    loop {
        let Some(config) = gateway.config() else {
            sleep(CONFIG_CHECK_INTERVAL).await;
            continue;
        };
        let services: Vec<ServiceName> = config
            .services
            .iter()
            .filter(|s| s.engine.is_some())
            .map(|s| s.name.clone())
            .collect();
        let groups = gateway.fleet().list_groups(&services);
        for ranks in groups {
            poll_group(&gateway, &ranks).await;
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn poll_group(gateway: &Arc<Gateway>, ranks: &[SocketAddr]) {
    for rank in ranks.iter().take(MAX_AGENTS_ASKED) {
        let response: Option<Vec<RankLoad>> = gateway.peers.call(*rank, LOADS_PATH, &()).await;
        // Only the leader has the load of other ranks.
        if let Some(loads) = response.filter(|loads| loads.len() > 1) {
            let now = gateway.now();
            gateway.fleet().record_loads(&loads, now);
            return;
        }
    }
}
