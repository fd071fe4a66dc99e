//! The leader's work: plans a new map, drives the switch, ends what another one left unfinished.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use siskinbend_groups::orders::Ended;
use siskinbend_groups::orders::Goal;
use siskinbend_groups::orders::Recovery;
use siskinbend_groups::orders::Round;
use siskinbend_groups::orders::Switch;
use siskinbend_placement::even::Settings;
use siskinbend_placement::even::plan_set;
use siskinbend_site::engine::Counts;
use siskinbend_site::engine::Order;
use siskinbend_site::engine::OrderReply;
use siskinbend_site::engine::Placement;
use siskinbend_site::engine::RankState;
use siskinbend_types::Time;
use tokio::time::sleep;

use super::Agent;
use super::BEAT;
use super::roster::Push;
use crate::peer::ORDER_PATH;
use crate::peer::STATE_PATH;

/// Pause between two looks at ranks that copy experts.
const COPY_PAUSE: Duration = Duration::from_millis(40);
/// Pause between two looks at ranks that have to answer at once.
const SHORT_PAUSE: Duration = Duration::from_millis(4);
/// Time for which a hold without a known switch is left to its coordinator.
const ORPHAN_TIME: Duration = Duration::from_millis(300);
/// Longest time that a switch or recovery is driven before the group is looked at anew.
const DRIVE_TIME: Duration = Duration::from_secs(12);
/// Bits of a version that are drawn at random, so that no two switches ever use the same one.
const RANDOM_BITS: u32 = 24;
/// Least expected gain of a switch: the sum over the sets of highest load over mean load.
const LEAST_GAIN: f64 = 0.3;

/// The group as the agents told it.
struct Group {
    ranks: Vec<SocketAddr>,
    states: Vec<RankState>,
    map: Vec<Placement>,
}

/// Leads the group whenever this agent is the first one that answers, until it is asked to stop.
pub(super) async fn run(agent: &Arc<Agent>) {
    let mut orphan: Option<Time> = None;
    while !agent.shutdown.is_draining() {
        tokio::select! {
            () = sleep(BEAT) => {}
            () = agent.shutdown.wait() => return,
        }
        let now = agent.now();
        fill_in(agent, now).await;
        let Some(group) = read_group(agent, now) else {
            orphan = None;
            continue;
        };
        if let Some(rank) = group.states.iter().position(|s| s.held.is_some()) {
            let since = *orphan.get_or_insert(now);
            if now.since(since) >= ORPHAN_TIME {
                recover(agent, &group, rank).await;
                orphan = None;
            }
            continue;
        }
        orphan = None;
        if group.is_calm() {
            improve(agent, &group).await;
        }
    }
}

/// Reads the ranks whose agents are silent, if this agent leads: one of them may hold a pass.
async fn fill_in(agent: &Agent, now: Time) {
    let silent = agent.roster().list_silent(now);
    let reads = silent.into_iter().map(|rank| async move {
        let state = agent.engine.read_state(rank).await?;
        let known = agent.roster().find_placement(rank, &state);
        let placement = match known {
            Some(placement) => placement,
            None => agent.engine.read_placement(rank).await?,
        };
        log::info!(rank:% = rank, number = state.rank, held:? = state.held; "rank_read_directly");
        Some(Push {
            rank,
            state,
            counts: Counts::default(),
            placement,
        })
    });
    for push in join_all(reads).await.into_iter().flatten() {
        let now = agent.now();
        agent.roster().fill(push, now);
    }
}

/// The whole group, if this agent leads it and every rank was heard lately.
fn read_group(agent: &Agent, now: Time) -> Option<Group> {
    let roster = agent.roster();
    if !roster.list_candidates(now).is_empty() {
        return None;
    }
    let ranks = roster.list_ranks(now)?;
    let fresh = roster.list_fresh(now);
    let sets = fresh.first()?.placement.len();
    let map = (0..sets)
        .map(|set| {
            let experts = |p: &&Push| p.placement.get(set).cloned();
            fresh.iter().filter_map(experts).collect()
        })
        .collect();
    Some(Group {
        ranks,
        states: fresh.iter().map(|p| p.state.clone()).collect(),
        map,
    })
}

impl Group {
    /// Whether all ranks use the same map and none is about to change it.
    fn is_calm(&self) -> bool {
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

/// A version higher than all that the ranks have had, never used before.
fn draw_version(states: &[RankState]) -> u64 {
    let versions = states.iter().flat_map(|s| {
        let armed = s.armed.map_or(0, |a| a.version);
        [s.map, s.prepared.unwrap_or(0), armed]
    });
    let highest = versions.max().unwrap_or(0) >> RANDOM_BITS;
    let random = u64::from(rand::random::<u32>() >> (u32::BITS - RANDOM_BITS));
    ((highest + 1) << RANDOM_BITS) | random
}

async fn improve(agent: &Arc<Agent>, group: &Group) {
    let now = agent.now();
    let demand: Vec<f64> = match agent.roster().demand.estimate(now) {
        Some(demand) => demand.to_vec(),
        None => return,
    };
    let sets = group.map.len();
    let experts = demand.len() / sets.max(1);
    let settings = Settings::default();
    let paces: Vec<f64> = group.states.iter().map(|s| s.pace).collect();
    let (mut map, mut before, mut after, mut copies) = (Vec::new(), 0.0, 0.0, 0);
    for (set, present) in group.map.iter().enumerate() {
        let plan = plan_set(
            &demand[set * experts..][..experts],
            &paces,
            present,
            &settings,
        );
        before += plan.before;
        after += plan.after;
        copies += plan.copies;
        map.push(plan.map);
    }
    if before - after < LEAST_GAIN {
        return;
    }
    let seen = read_fresh(agent, &group.ranks).await;
    let own = group.ranks.iter().position(|r| *r == agent.own);
    let (Some(own), Some(floor)) = (own, find_floor(agent, group, &seen)) else {
        return;
    };
    let goal = Goal {
        own,
        epoch: group.states[own].epoch,
        version: draw_version(&group.states),
        map,
        floor,
    };
    let version = goal.version;
    let mean = |skew: f64| format!("{:.2}", skew / sets as f64);
    log::info!(
        version,
        skew_before = mean(before),
        skew_after = mean(after),
        copies,
        step = group.states[own].step;
        "switch_started"
    );
    let mut switch = Switch::new(goal, group.ranks.len(), now);
    let ended = drive(agent, &group.ranks, |seen, unanswered, now| {
        for rank in unanswered {
            switch.miss_answer(*rank);
        }
        let round = switch.advance(seen, now);
        (round, switch.held_pass().is_some())
    })
    .await;
    if let Some(pass) = switch.held_pass() {
        agent.roster().hold_pass(pass);
    }
    let took = agent.now().since(now).as_millis() as u64;
    log::info!(version, outcome:% = describe(ended), took_ms = took; "switch_ended");
    if ended == Some(Ended::Blocked) {
        recover(agent, group, own).await;
    }
}

/// The pass after which a new switch may hold one, if every rank is fresh and calm.
fn find_floor(agent: &Agent, group: &Group, seen: &[Option<RankState>]) -> Option<u64> {
    let first = &group.states[0];
    let calm =
        |s: &RankState| s.epoch == first.epoch && s.open && s.armed.is_none() && s.held.is_none();
    let all = seen.iter().all(|s| s.as_ref().is_some_and(calm));
    let step = seen.iter().flatten().map(|s| s.step).max()?;
    all.then(|| agent.roster().find_floor(first.epoch, step))
}

/// Ends the switch whose pass is held at a rank.
async fn recover(agent: &Arc<Agent>, group: &Group, rank: usize) {
    let seen = read_fresh(agent, &group.ranks).await;
    let states: Vec<RankState> = seen.into_iter().flatten().collect();
    let Some((epoch, step)) = states
        .iter()
        .find(|s| usize::from(s.rank) == rank)
        .and_then(|s| Some((s.epoch, s.held?)))
    else {
        return;
    };
    let version = draw_version(&states);
    log::warn!(rank, step, version; "recovery_started");
    let mut recovery = Recovery::new(rank, step, epoch, version, group.map.clone());
    let ended = drive(agent, &group.ranks, |seen, _, _| {
        (recovery.advance(seen), true)
    })
    .await;
    log::warn!(rank, step, outcome:% = describe(ended); "recovery_ended");
}

fn describe(ended: Option<Ended>) -> String {
    ended.map_or_else(|| "it took too long".to_owned(), |e| e.to_string())
}

/// Reads the ranks, gives the orders of a round, and so on until it has ended.
async fn drive<Advance>(
    agent: &Arc<Agent>,
    ranks: &[SocketAddr],
    mut advance: Advance,
) -> Option<Ended>
where
    Advance: FnMut(&[Option<RankState>], &[usize], Time) -> (Round, bool),
{
    let begun = agent.now();
    let mut unanswered: Vec<usize> = Vec::new();
    while agent.now().since(begun) < DRIVE_TIME {
        let seen = read_fresh(agent, ranks).await;
        let (round, urgent) = advance(&seen, &unanswered, agent.now());
        if round.ended.is_some() {
            return round.ended;
        }
        let idle = round.orders.is_empty();
        let given = round.orders.into_iter().map(|(rank, order)| {
            let address = ranks[rank];
            async move { (rank, give(agent, address, &order).await) }
        });
        unanswered = join_all(given)
            .await
            .into_iter()
            .filter(|(_, reply)| *reply == OrderReply::Unknown)
            .map(|(rank, _)| rank)
            .collect();
        if idle {
            sleep(if urgent { SHORT_PAUSE } else { COPY_PAUSE }).await;
        }
    }
    None
}

/// Reads all ranks now, through their agents, or directly where an agent does not answer.
async fn read_fresh(agent: &Arc<Agent>, ranks: &[SocketAddr]) -> Vec<Option<RankState>> {
    let reads = ranks.iter().map(|rank| async move {
        if *rank == agent.own || agent.roster().is_direct(*rank) {
            return agent.engine.read_state(*rank).await;
        }
        let told: Option<Option<RankState>> = agent.peers.call(*rank, STATE_PATH, &()).await;
        match told {
            Some(Some(state)) => Some(state),
            _ => agent.engine.read_state(*rank).await,
        }
    });
    join_all(reads).await
}

async fn give(agent: &Arc<Agent>, rank: SocketAddr, order: &Order) -> OrderReply {
    let direct = rank == agent.own || agent.roster().is_direct(rank);
    let reply = if direct {
        agent.engine.give_order(rank, order).await
    } else {
        match agent.peers.call(rank, ORDER_PATH, order).await {
            Some(reply) => reply,
            None => agent.engine.give_order(rank, order).await,
        }
    };
    log::debug!(
        rank:% = rank,
        task = order.task.as_str(),
        reply:? = reply;
        "order_given"
    );
    reply
}
