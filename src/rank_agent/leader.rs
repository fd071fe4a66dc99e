//! Tasks of a group's leader: plans expert maps, coordinates switches to them, and completes
//! switches that another leader left unfinished.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join;
use futures::future::join_all;
use siskinbend_groups::orders::EndReason;
use siskinbend_groups::orders::Recovery;
use siskinbend_groups::orders::RecoveryTarget;
use siskinbend_groups::orders::Round;
use siskinbend_groups::orders::Switch;
use siskinbend_groups::orders::SwitchTarget;
use siskinbend_groups::orders::find_earliest_hold;
use siskinbend_groups::orders::generate_version;
use siskinbend_groups::report::RankReport;
use siskinbend_groups::view::MIN_REPORT_INTERVAL;
use siskinbend_placement::even_split::MIN_SWITCH_GAIN;
use siskinbend_placement::even_split::compute_mean_skews;
use siskinbend_placement::even_split::compute_skew;
use siskinbend_placement::even_split::plan_sets;
use siskinbend_site::engine::Order;
use siskinbend_site::engine::OrderReply;
use siskinbend_site::engine::Placement;
use siskinbend_site::engine::RankState;
use siskinbend_types::Time;
use tokio::time::sleep;

use super::Agent;
use super::relay;
use super::relay::MapBase;

/// Interval at which ranks that copy experts are polled.
const COPY_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Interval at which ranks are polled while a pass may be held.
const HOLD_POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Interval at which a rank that is about to switch is polled.
const SWITCH_POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Maximum wait for the pass of a switch, which does not start while the group has no requests.
const SWITCH_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which the coordinator of an unknown switch may release its hold before this leader
/// does.
const ORPHANED_HOLD_DELAY: Duration = Duration::from_millis(300);
/// Timeout of a switch or recovery, after which the leader reads the group again.
const PROCEDURE_TIMEOUT: Duration = Duration::from_secs(12);
/// Placeholder for the address of a rank that could not be read.
const UNKNOWN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Snapshot of the group from recent reports.
struct GroupSnapshot {
    ranks: Vec<SocketAddr>,
    states: Vec<RankState>,
    map: Vec<Placement>,
    /// Rank that could not be read; its address and state are placeholders.
    missing: Option<usize>,
}

/// Does the leader's tasks whenever this agent leads the group, until it is asked to stop.
pub(super) async fn run(agent: &Arc<Agent>) {
    let mut held_since: Option<Time> = None;
    while !agent.shutdown.is_draining() {
        tokio::select! {
            () = sleep(MIN_REPORT_INTERVAL) => {}
            () = agent.shutdown.wait() => return,
        }
        let now = agent.now();
        read_silent_ranks(agent, now).await;
        let Some(group) = snapshot_group(agent, now) else {
            held_since = None;
            continue;
        };
        if find_earliest_hold(&group.list_states()).is_some() {
            let since = *held_since.get_or_insert(now);
            if now.since(since) >= ORPHANED_HOLD_DELAY {
                recover(agent, &group).await;
                held_since = None;
            }
            continue;
        }
        held_since = None;
        if group.missing.is_none() && group.is_settled() {
            rebalance(agent, &group).await;
        }
    }
}

/// Reads the ranks whose agents are silent, if this agent leads. One of these ranks may hold a
/// pass.
async fn read_silent_ranks(agent: &Agent, now: Time) {
    let silent = agent.group_view().list_silent_ranks(now);
    let reads = silent.into_iter().map(|rank| async move {
        let state = agent.engine.read_state(rank).await?;
        let cached = agent.group_view().find_placement(rank, &state);
        let placement = match cached {
            Some(placement) => placement,
            None => agent.engine.read_placement(rank).await?,
        };
        log::info!(rank:% = rank, number = state.rank, held:? = state.held; "rank_read_directly");
        Some(RankReport {
            rank,
            state,
            placement,
            age_ms: 0,
        })
    });
    for report in join_all(reads).await.into_iter().flatten() {
        let now = agent.now();
        agent.group_view().record_direct_read(report, now);
    }
}

/// Takes a snapshot of the group, if this agent leads it and at most one rank has no recent report.
fn snapshot_group(agent: &Agent, now: Time) -> Option<GroupSnapshot> {
    let group_view = agent.group_view();
    if !group_view.list_leader_candidates(now).is_empty() {
        return None;
    }
    let missing = group_view.find_missing_rank(now);
    if missing.is_none() {
        group_view.list_addresses(now)?;
    }
    let mut reports: Vec<RankReport> = group_view.list_recent(now).into_iter().cloned().collect();
    let sets = reports.first()?.placement.len();
    if let Some(rank) = missing {
        let placeholder = RankReport {
            rank: UNKNOWN_ADDRESS,
            state: RankState::default(),
            placement: vec![Vec::new(); sets],
            age_ms: 0,
        };
        reports.insert(rank, placeholder);
    }
    let map = (0..sets)
        .map(|set| {
            let experts = |r: &RankReport| r.placement.get(set).cloned();
            reports.iter().filter_map(experts).collect()
        })
        .collect();
    Some(GroupSnapshot {
        ranks: reports.iter().map(|r| r.rank).collect(),
        states: reports.into_iter().map(|r| r.state).collect(),
        map,
        missing,
    })
}

impl GroupSnapshot {
    /// Lists the states of the ranks that could be read.
    fn list_states(&self) -> Vec<RankState> {
        let is_readable = |(rank, _): &(usize, &RankState)| self.missing != Some(*rank);
        let states = self.states.iter().enumerate().filter(is_readable);
        states.map(|(_, state)| state.clone()).collect()
    }

    /// Returns a map for which no rank has to copy experts. Experts that no other rank holds are
    /// assigned to the rank that could not be read.
    fn infer_map(&self, experts: usize) -> Vec<Placement> {
        let mut map = self.map.clone();
        let Some(missing) = self.missing else {
            return map;
        };
        for set in &mut map {
            let placed: BTreeSet<u16> = set.iter().flatten().copied().collect();
            let experts = 0..u16::try_from(experts).unwrap_or(u16::MAX);
            set[missing] = experts.filter(|e| !placed.contains(e)).collect();
        }
        map
    }

    /// Whether all ranks use the same map and no switch is in progress.
    fn is_settled(&self) -> bool {
        let first = &self.states[0];
        self.states.iter().all(|s| {
            s.open
                && s.epoch == first.epoch
                && s.map == first.map
                && s.armed.is_none()
                && s.held.is_none()
        })
    }
}

/// Asks the agents with lower addresses that did not respond lately whether they are back. Returns
/// whether none is, so that this agent may give orders. An agent that only one other could not reach
/// for a moment still leads, and orders of two leaders would obstruct each other.
async fn confirm_lead(agent: &Arc<Agent>) -> bool {
    let skipped = agent.group_view().list_skipped();
    let calls = skipped
        .into_iter()
        .map(|rank| async move { relay::is_responsive(agent, rank).await.then_some(rank) });
    let responsive: Vec<SocketAddr> = join_all(calls).await.into_iter().flatten().collect();
    for rank in &responsive {
        log::info!(leader:% = rank; "leader_is_back");
        agent.group_view().mark_responsive(*rank);
    }
    responsive.is_empty()
}

async fn rebalance(agent: &Arc<Agent>, group: &GroupSnapshot) {
    let now = agent.now();
    let demand: Vec<f64> = match agent.group_view().demand.estimate(now) {
        Some(demand) => demand.to_vec(),
        None => return,
    };
    let sets = group.map.len();
    let experts = demand.len() / sets.max(1);
    let slowdowns: Vec<f64> = group.states.iter().map(|s| s.pace).collect();
    let skews = group.map.iter().enumerate().map(|(set, current)| {
        compute_skew(&demand[set * experts..][..experts], &slowdowns, current)
    });
    let skew = skews.sum::<f64>() / sets.max(1) as f64;
    if !agent.group_view().plan_gate.is_plan_due(skew, now) {
        return;
    }
    let Some(limits) = agent.group_view().limits() else {
        return;
    };
    let plans = plan_sets(&demand, &slowdowns, &group.map, &limits);
    let (before, after) = compute_mean_skews(&plans);
    if before - after < MIN_SWITCH_GAIN {
        agent.group_view().plan_gate.record_rejected(after, now);
        return;
    }
    let copies: usize = plans.iter().map(|plan| plan.copies).sum();
    let map: Vec<Placement> = plans.into_iter().map(|plan| plan.map).collect();
    let states = relay::read_states(agent, &group.ranks).await;
    let own = group.ranks.iter().position(|r| *r == agent.rank_address);
    let (Some(own), Some(floor)) = (own, find_hold_floor(agent, group, &states)) else {
        return;
    };
    if !confirm_lead(agent).await {
        return;
    }
    let new_map = map.clone();
    let target = SwitchTarget {
        own_rank: own,
        epoch: group.states[own].epoch,
        version: generate_version(&group.states, own, rand::random()),
        map,
        after_pass: floor,
        order_time: agent.group_view().order_time,
    };
    let version = target.version;
    log::info!(
        version,
        skew_before = format!("{before:.2}"),
        skew_after = format!("{after:.2}"),
        copies,
        step = group.states[own].step;
        "switch_started"
    );
    let mut switch = Switch::new(target, group.ranks.len(), now);
    let ended = run_rounds(agent, group, states, &mut switch).await;
    if let Some(pass) = switch.held_pass() {
        agent.group_view().record_hold(pass);
    }
    if let Some(time) = switch.order_time() {
        agent.group_view().order_time = Some(time);
    }
    let took = agent.now().since(now).as_millis() as u64;
    log::info!(version, outcome:% = describe_outcome(ended), took_ms = took; "switch_ended");
    if ended == Some(EndReason::Switched) {
        wait_for_switch(agent, version, &new_map).await;
    }
    if ended == Some(EndReason::Blocked) {
        recover(agent, group).await;
    }
}

/// Waits until the pass of a switch has started at this agent's rank. All ranks are armed for the
/// same pass, so all of them switch when one does.
async fn wait_for_switch(agent: &Agent, version: u64, map: &[Placement]) {
    let started = agent.now();
    while agent.now().since(started) < SWITCH_TIMEOUT {
        let state = agent.engine.read_state(agent.rank_address).await;
        if let Some(state) = state.filter(|s| s.map == version) {
            agent.group_view().record_switch(version, map, state.step);
            return;
        }
        sleep(SWITCH_POLL_INTERVAL).await;
    }
}

/// Returns the latest pass that a new switch may not hold, if every rank was read and no switch is
/// in progress.
fn find_hold_floor(
    agent: &Agent,
    group: &GroupSnapshot,
    states: &[Option<RankState>],
) -> Option<u64> {
    let first = &group.states[0];
    let is_settled =
        |s: &RankState| s.epoch == first.epoch && s.open && s.armed.is_none() && s.held.is_none();
    let all_settled = states.iter().all(|s| s.as_ref().is_some_and(is_settled));
    let step = states.iter().flatten().map(|s| s.step).max()?;
    all_settled.then(|| agent.group_view().hold_floor(first.epoch, step))
}

/// Completes a switch whose pass is still held at a rank.
async fn recover(agent: &Arc<Agent>, group: &GroupSnapshot) {
    let mut addresses = group.ranks.clone();
    addresses.retain(|address| *address != UNKNOWN_ADDRESS);
    let (leads, mut reads) = join(confirm_lead(agent), relay::read_states(agent, &addresses)).await;
    if !leads {
        return;
    }
    let states: Option<Vec<RankState>> = reads.iter().cloned().collect();
    let Some(states) = states else {
        return;
    };
    if let Some(missing) = group.missing {
        reads.insert(missing, None);
    }
    let Some((index, step)) = find_earliest_hold(&states) else {
        return;
    };
    let Some(own) = group.ranks.iter().position(|r| *r == agent.rank_address) else {
        return;
    };
    let held = usize::from(states[index].rank);
    let epoch = states[index].epoch;
    let version = generate_version(&states, own, rand::random());
    let experts = agent.group_view().demand.len() / group.map.len().max(1);
    log::warn!(rank = held, step, version, missing:? = group.missing; "recovery_started");
    let mut recovery = Recovery::new(RecoveryTarget {
        held_rank: held,
        step,
        epoch,
        version,
        map: group.infer_map(experts),
        unreadable: group.missing,
    });
    let ended = run_rounds(agent, group, reads, &mut recovery).await;
    log::warn!(rank = held, step, outcome:% = describe_outcome(ended); "recovery_ended");
}

fn describe_outcome(ended: Option<EndReason>) -> String {
    ended.map_or_else(|| "it took too long".to_owned(), |e| e.to_string())
}

/// Procedure that runs in rounds of reading ranks and sending orders.
trait Procedure {
    fn advance(&mut self, states: &[Option<RankState>], now: Time) -> Round;

    fn record_reply(&mut self, rank: usize, order: &Order, reply: OrderReply);

    /// Whether a rank must be read again before the next round.
    fn needs_read(&self, rank: usize) -> bool;

    /// Whether the next round is due at once, because the map is waiting or a pass may be held.
    fn is_urgent(&self) -> bool;
}

impl Procedure for Switch {
    fn advance(&mut self, states: &[Option<RankState>], now: Time) -> Round {
        Switch::advance(self, states, now)
    }

    fn record_reply(&mut self, rank: usize, order: &Order, reply: OrderReply) {
        Switch::record_reply(self, rank, order, reply);
    }

    fn needs_read(&self, rank: usize) -> bool {
        Switch::needs_read(self, rank)
    }

    fn is_urgent(&self) -> bool {
        self.is_prepared()
    }
}

impl Procedure for Recovery {
    fn advance(&mut self, states: &[Option<RankState>], _now: Time) -> Round {
        Recovery::advance(self, states)
    }

    fn record_reply(&mut self, _rank: usize, _order: &Order, _reply: OrderReply) {}

    fn needs_read(&self, rank: usize) -> bool {
        Recovery::needs_read(self, rank)
    }

    fn is_urgent(&self) -> bool {
        true
    }
}

/// Alternates between sending the orders of a round and reading the ranks until the procedure ends;
/// `None` if it timed out.
async fn run_rounds<Steps>(
    agent: &Arc<Agent>,
    group: &GroupSnapshot,
    mut states: Vec<Option<RankState>>,
    procedure: &mut Steps,
) -> Option<EndReason>
where
    Steps: Procedure,
{
    let ranks = &group.ranks;
    let started = agent.now();
    while agent.now().since(started) < PROCEDURE_TIMEOUT {
        let round = procedure.advance(&states, agent.now());
        if round.ended.is_some() {
            return round.ended;
        }
        let is_idle = round.orders.is_empty();
        let base = MapBase {
            version: group.states[0].map,
            map: &group.map,
        };
        let orders: Vec<(SocketAddr, &Order)> = round
            .orders
            .iter()
            .map(|(rank, order)| (ranks[*rank], order))
            .collect();
        let replies = relay::send_orders(agent, &base, &orders).await;
        for ((rank, order), reply) in round.orders.iter().zip(replies) {
            procedure.record_reply(*rank, order, reply);
        }
        match (procedure.is_urgent(), is_idle) {
            (true, true) => sleep(HOLD_POLL_INTERVAL).await,
            (true, false) => {}
            (false, _) => sleep(COPY_POLL_INTERVAL).await,
        }
        let needed: Vec<usize> = (0..ranks.len())
            .filter(|rank| procedure.needs_read(*rank))
            .collect();
        let addresses: Vec<SocketAddr> = needed.iter().map(|rank| ranks[*rank]).collect();
        let reads = relay::read_states(agent, &addresses).await;
        for (rank, state) in needed.into_iter().zip(reads) {
            states[rank] = state;
        }
    }
    None
}
