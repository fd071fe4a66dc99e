//! Reads the agent's rank and reports it to the leader of the group.

use std::sync::Arc;

use siskinbend_placement::recent_demand::DemandMeter;
use siskinbend_site::engine::ExpertCounts;
use siskinbend_site::engine::Placement;
use tokio::time::sleep;

use super::Agent;
use super::group_view::RankReport;
use crate::peer::PUSH_PATH;

/// Experts of the rank with the epoch and map for which they were read.
struct CachedPlacement {
    epoch: u64,
    map: u64,
    placement: Placement,
}

/// Reads and reports the rank periodically.
pub(super) async fn run(agent: Arc<Agent>) {
    let mut cached: Option<CachedPlacement> = None;
    let mut meter = DemandMeter::default();
    loop {
        let interval = agent.group_view().report_interval();
        sleep(interval).await;
        if let Some((report, counts)) = read_rank(&agent, &mut cached, &meter).await {
            let epoch = report.state.epoch;
            send_report(&agent, report).await;
            meter.mark_reported(epoch, counts.counts);
        }
    }
}

async fn read_rank(
    agent: &Agent,
    cached: &mut Option<CachedPlacement>,
    meter: &DemandMeter,
) -> Option<(RankReport, ExpertCounts)> {
    let state = agent.engine.read_state(agent.rank_address).await?;
    agent.group_view().set_size(state.size);
    let counts = agent.engine.read_counts(agent.rank_address).await?;
    let is_current = cached
        .as_ref()
        .is_some_and(|c| c.epoch == state.epoch && c.map == state.map);
    if !is_current {
        let placement = agent.engine.read_placement(agent.rank_address).await?;
        log::info!(
            group:% = state.group,
            rank = state.rank,
            epoch = state.epoch,
            map = state.map,
            step = state.step;
            "map_in_force"
        );
        *cached = Some(CachedPlacement {
            epoch: state.epoch,
            map: state.map,
            placement,
        });
    }
    let placement = cached.as_ref()?.placement.clone();
    let report = RankReport {
        rank: agent.rank_address,
        chosen: meter.measure(state.epoch, &counts.counts),
        state,
        placement,
    };
    Some((report, counts))
}

/// Sends a report to the first candidate for leader that responds. If none does, this agent leads
/// and records the report itself.
async fn send_report(agent: &Agent, report: RankReport) {
    let candidates = agent.group_view().list_leader_candidates(agent.now());
    for leader in candidates {
        let response: Option<()> = agent.peers.call(leader, PUSH_PATH, &report).await;
        let now = agent.now();
        let mut group_view = agent.group_view();
        if response.is_some() {
            group_view.mark_responsive(leader);
            return;
        }
        group_view.mark_unresponsive(leader, now);
    }
    let now = agent.now();
    agent.group_view().record_report(report, now);
}
