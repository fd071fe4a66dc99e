//! Polls the rank agents of engine groups for the load of their ranks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use rand::seq::IndexedRandom;
use siskinbend_groups::directory::DirectoryAnswer;
use siskinbend_groups::report::GroupLoads;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;
use tokio::time::sleep;

use super::Gateway;
use crate::peer::DIRECTORY_PATH;
use crate::peer::LOADS_PATH;

/// Interval between two polls of a group.
const POLL_INTERVAL: Duration = Duration::from_millis(300);
/// Interval between two reads of the groups of a service.
const DIRECTORY_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which the task checks whether the configuration is known.
const CONFIG_CHECK_INTERVAL: Duration = Duration::from_millis(30);
/// Maximum number of agents of a group that are asked in one poll, until one knows the loads.
const MAX_AGENTS_ASKED: usize = 3;

/// Polls the load of all groups.
pub(super) async fn run(gateway: Arc<Gateway>) {
    let mut directories_read: Option<Time> = None;
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
        let now = gateway.now();
        let is_due = directories_read.is_none_or(|at| now.since(at) >= DIRECTORY_INTERVAL);
        if is_due {
            let reads = services.iter().map(|s| read_directory(&gateway, s));
            let have_all_groups = join_all(reads).await.into_iter().all(|complete| complete);
            directories_read = have_all_groups.then_some(now);
        }
        let groups: Vec<Vec<SocketAddr>> = {
            let fleet = gateway.fleet();
            services
                .iter()
                .flat_map(|s| fleet.list_load_sources(s))
                .collect()
        };
        join_all(groups.iter().map(|ranks| poll_group(&gateway, ranks))).await;
        sleep(POLL_INTERVAL).await;
    }
}

/// Asks one agent of a service which group each rank belongs to. Returns whether the group of every
/// registered rank is known.
async fn read_directory(gateway: &Arc<Gateway>, service: &ServiceName) -> bool {
    let (ranks, query) = {
        let fleet = gateway.fleet();
        (
            fleet.list_addresses(service),
            fleet.query_directory(service),
        )
    };
    let Some(rank) = ranks.choose(&mut rand::rng()) else {
        return true;
    };
    let answer: Option<DirectoryAnswer> = gateway.peers.call(*rank, DIRECTORY_PATH, &query).await;
    match answer {
        Some(answer) => gateway.fleet().merge_directory(service, answer),
        None => false,
    }
}

async fn poll_group(gateway: &Arc<Gateway>, ranks: &[SocketAddr]) {
    for rank in ranks.iter().take(MAX_AGENTS_ASKED) {
        let response: Option<Option<GroupLoads>> = gateway.peers.call(*rank, LOADS_PATH, &()).await;
        if let Some(Some(loads)) = response {
            let now = gateway.now();
            gateway.fleet().record_loads(&loads, now);
            return;
        }
    }
}
