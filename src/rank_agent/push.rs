//! Reads the rank and tells the leader of the group.

use std::sync::Arc;

use siskinbend_site::engine::Placement;
use tokio::time::MissedTickBehavior;
use tokio::time::interval;

use super::Agent;
use super::BEAT;
use super::roster::Push;
use crate::peer::PUSH_PATH;

/// The experts of the rank and the map for which they were read.
struct Known {
    epoch: u64,
    map: u64,
    placement: Placement,
}

/// Reads the rank at every beat and passes on what it tells.
pub(super) async fn run(agent: Arc<Agent>) {
    let mut known: Option<Known> = None;
    let mut beats = interval(BEAT);
    beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        beats.tick().await;
        if let Some(push) = read(&agent, &mut known).await {
            tell(&agent, push).await;
        }
    }
}

async fn read(agent: &Agent, known: &mut Option<Known>) -> Option<Push> {
    let state = agent.engine.read_state(agent.own).await?;
    let counts = agent.engine.read_counts(agent.own).await?;
    let current = known
        .as_ref()
        .is_some_and(|k| k.epoch == state.epoch && k.map == state.map);
    if !current {
        let placement = agent.engine.read_placement(agent.own).await?;
        log::info!(
            group:% = state.group,
            rank = state.rank,
            epoch = state.epoch,
            map = state.map,
            step = state.step;
            "map_in_force"
        );
        *known = Some(Known {
            epoch: state.epoch,
            map: state.map,
            placement,
        });
    }
    let placement = known.as_ref()?.placement.clone();
    Some(Push {
        rank: agent.own,
        state,
        counts,
        placement,
    })
}

/// Tells the first agent that answers; an agent that finds none before itself leads.
async fn tell(agent: &Agent, push: Push) {
    let candidates = agent.roster().list_candidates(agent.now());
    for leader in candidates {
        let told: Option<()> = agent.peers.call(leader, PUSH_PATH, &push).await;
        let now = agent.now();
        let mut roster = agent.roster();
        if told.is_some() {
            roster.trust(leader);
            return;
        }
        roster.pass_over(leader, now);
    }
    let now = agent.now();
    agent.roster().hear(push, now);
}
