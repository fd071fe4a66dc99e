//! Asks the agents beside engine groups for the load of their ranks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use siskinbend_types::ServiceName;
use tokio::time::sleep;

use super::Gateway;
use crate::peer::LOADS_PATH;
use crate::peer::RankLoad;

/// Interval between two looks at a group.
const INTERVAL: Duration = Duration::from_millis(300);
/// Pause until the configuration is known.
const FIRST_PAUSE: Duration = Duration::from_millis(30);
/// Agents that are asked for the leader before the next look.
const MOST_ASKED: usize = 3;

/// Follows the load of all groups.
pub(super) async fn run(gateway: Arc<Gateway>) {
    loop {
        let Some(config) = gateway.config() else {
            sleep(FIRST_PAUSE).await;
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
            ask(&gateway, &ranks).await;
        }
        sleep(INTERVAL).await;
    }
}

async fn ask(gateway: &Arc<Gateway>, ranks: &[SocketAddr]) {
    for rank in ranks.iter().take(MOST_ASKED) {
        let told: Option<Vec<RankLoad>> = gateway.peers.call(*rank, LOADS_PATH, &()).await;
        // An agent that doesn't lead knows only its own rank, if any.
        if let Some(loads) = told.filter(|loads| loads.len() > 1) {
            let now = gateway.now();
            gateway.fleet().hear_loads(&loads, now);
            return;
        }
    }
}
