//! Exchanges with other agents which group each rank of the service belongs to.

use std::sync::Arc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use siskinbend_groups::directory::DirectoryAnswer;
use tokio::time::sleep;

use super::Agent;
use crate::peer::DIRECTORY_PATH;

/// Interval of exchanges while ranks of the group are missing.
const INCOMPLETE_INTERVAL: Duration = Duration::from_millis(150);
/// Interval of exchanges while all ranks of the group are known.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// Time without the group of a registered rank after which the rank is read directly, because its
/// agent may be away.
const IDENTIFY_DELAY: Duration = Duration::from_secs(3);

/// Exchanges directories periodically.
pub(super) async fn run(agent: Arc<Agent>) {
    let mut incomplete_since = agent.now();
    loop {
        let is_complete = agent.group_view().is_complete();
        let now = agent.now();
        if is_complete {
            incomplete_since = now;
        }
        if now.since(incomplete_since) >= IDENTIFY_DELAY {
            identify_rank(&agent).await;
            incomplete_since = now;
        }
        exchange(&agent).await;
        sleep(if is_complete {
            EXCHANGE_INTERVAL
        } else {
            INCOMPLETE_INTERVAL
        })
        .await;
    }
}

async fn exchange(agent: &Agent) {
    let (partner, query) = {
        let view = agent.group_view();
        (view.choose_partner(rand::random()), view.query_directory())
    };
    let Some(partner) = partner else {
        return;
    };
    let answer: Option<DirectoryAnswer> = agent.peers.call(partner, DIRECTORY_PATH, &query).await;
    if let Some(Some(entries)) = answer {
        agent.group_view().merge_directory(entries);
    }
}

/// Reads one rank whose group is unknown, if this agent leads its group.
async fn identify_rank(agent: &Agent) {
    let rank = {
        let view = agent.group_view();
        let leads = view.list_leader_candidates(agent.now()).is_empty();
        let unidentified = view.list_unidentified();
        let chosen = unidentified.choose(&mut rand::rng()).copied();
        chosen.filter(|_| leads)
    };
    let Some(rank) = rank else {
        return;
    };
    if let Some(state) = agent.engine.read_state(rank).await {
        log::info!(rank:% = rank, group:% = state.group; "rank_identified");
        agent.group_view().identify(rank, state.group);
    }
}
