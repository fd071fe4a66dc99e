//! Reads the rank and tells the leader of the group.

use std::sync::Arc;

use siskinbend_placement::recent_demand::DemandMeter;
use siskinbend_site::engine::ExpertCounts;
use siskinbend_site::engine::Placement;
use tokio::time::sleep;

use super::Agent;
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
    let mut meter = DemandMeter::default();
    loop {
        let beat = agent.roster().find_beat();
        sleep(beat).await;
        if let Some((push, counts)) = read(&agent, &mut known, &meter).await {
            let epoch = push.state.epoch;
            tell(&agent, push).await;
            meter.mark_reported(epoch, counts.counts);
        }
    }
}

async fn read(
    agent: &Agent,
    known: &mut Option<Known>,
    meter: &DemandMeter,
) -> Option<(Push, ExpertCounts)> {
    let state = agent.engine.read_state(agent.own).await?;
    agent.roster().note_size(state.size);
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
    let push = Push {
        rank: agent.own,
        chosen: meter.measure(state.epoch, &counts.counts),
        state,
        placement,
    };
    Some((push, counts))
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
