//! Reads the agent's rank and reports it towards the leader of the group.

use std::sync::Arc;
use std::time::SystemTime;

use siskinbend_groups::report::GroupLoads;
use siskinbend_groups::report::RankReport;
use siskinbend_groups::report::ReportBundle;
use siskinbend_placement::recent_demand::DemandMeter;
use siskinbend_site::engine::ExpertCounts;
use siskinbend_site::engine::Placement;
use tokio::time::sleep;

use super::Agent;
use crate::peer::PUSH_PATH;

/// Experts of the rank with the epoch and map for which they were read.
struct CachedPlacement {
    epoch: u64,
    map: u64,
    placement: Placement,
}

/// Reads and reports the rank periodically, together with the reports that this agent relays.
pub(super) async fn run(agent: Arc<Agent>) {
    let mut cached: Option<CachedPlacement> = None;
    let mut meter = DemandMeter::default();
    loop {
        let interval = agent.group_view().report_interval();
        sleep(interval).await;
        let read = read_rank(&agent, &mut cached).await;
        let own = read.as_ref().map(|(report, counts)| {
            let chosen = meter.measure(report.state.epoch, &counts.counts);
            (report.clone(), chosen)
        });
        let bundle = agent.group_view().collect(own, agent.now());
        send_bundle(&agent, bundle).await;
        if let Some((report, counts)) = read {
            meter.mark_reported(report.state.epoch, counts.counts);
        }
    }
}

async fn read_rank(
    agent: &Agent,
    cached: &mut Option<CachedPlacement>,
) -> Option<(RankReport, ExpertCounts)> {
    let state = agent.engine.read_state(agent.rank_address).await?;
    let unix_time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let unix_ms = unix_time.map_or(0, |time| time.as_millis() as u64);
    agent.group_view().set_own_state(&state, unix_ms);
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
    let report = RankReport {
        rank: agent.rank_address,
        state,
        placement: cached.as_ref()?.placement.clone(),
        age_ms: 0,
    };
    Some((report, counts))
}

/// Sends reports to the first receiver that responds. If none does, this agent leads and records
/// the reports itself.
async fn send_bundle(agent: &Agent, bundle: ReportBundle) {
    let receivers = agent.group_view().list_receivers(agent.now());
    if bundle.reports.is_empty() {
        return;
    }
    for receiver in receivers {
        let response: Option<Option<GroupLoads>> =
            agent.peers.call(receiver, PUSH_PATH, &bundle).await;
        let now = agent.now();
        let mut view = agent.group_view();
        if let Some(loads) = response {
            view.mark_responsive(receiver);
            if let Some(loads) = loads {
                view.set_leader_loads(loads, now);
            }
            return;
        }
        view.mark_unresponsive(receiver, now);
    }
    let now = agent.now();
    agent.group_view().record_bundle(bundle, now);
}
