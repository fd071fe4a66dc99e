//! The leader's work: plans a new map, drives the switch, ends what another one left unfinished.

use std::collections::BTreeSet;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use siskinbend_groups::orders::EndReason;
use siskinbend_groups::orders::Recovery;
use siskinbend_groups::orders::RecoveryTarget;
use siskinbend_groups::orders::Round;
use siskinbend_groups::orders::Switch;
use siskinbend_groups::orders::SwitchTarget;
use siskinbend_groups::orders::find_earliest_hold;
use siskinbend_groups::orders::generate_version;
use siskinbend_placement::even_split::Limits;
use siskinbend_placement::even_split::MIN_SWITCH_GAIN;
use siskinbend_placement::even_split::Plan;
use siskinbend_placement::even_split::compute_mean_skews;
use siskinbend_placement::even_split::plan_set;
use siskinbend_site::engine::Order;
use siskinbend_site::engine::OrderReply;
use siskinbend_site::engine::Placement;
use siskinbend_site::engine::RankState;
use siskinbend_site::engine::Task;
use siskinbend_types::Time;
use tokio::time::sleep;

use super::Agent;
use super::maps::shorten;
use super::roster::Push;
use super::roster::SHORTEST_BEAT;
use crate::peer::ORDER_PATH;
use crate::peer::RelayedOrder;
use crate::peer::RelayedReply;
use crate::peer::STATE_PATH;

/// Pause between two looks at ranks that copy experts.
const COPY_PAUSE: Duration = Duration::from_millis(60);
/// Pause between two looks at ranks that have to answer at once.
const SHORT_PAUSE: Duration = Duration::from_millis(4);
/// Pause between two looks at a rank that is about to switch.
const MAP_PAUSE: Duration = Duration::from_millis(15);
/// Longest wait for the pass of a switch; it may not come while the group has nothing to do.
const MAP_TIME: Duration = Duration::from_millis(700);
/// Time for which a hold without a known switch is left to its coordinator.
const ORPHAN_TIME: Duration = Duration::from_millis(300);
/// Longest time that a switch or recovery is driven before the group is looked at anew.
const DRIVE_TIME: Duration = Duration::from_secs(12);
/// Gain in one set that copying a GB must bring.
const GAIN_PER_GB: f64 = 0.1;
/// MB in a GB.
const MB_PER_GB: f64 = 1_000.0;
/// Least and most gain that is asked of one copy. Each copy also makes the switch later, whatever
/// its size.
const LEAST_COPY: f64 = 0.03;
const MOST_COPY: f64 = 0.1;

/// Stands for the address of a rank that was not heard.
const NO_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// The group as the agents told it.
struct Group {
    ranks: Vec<SocketAddr>,
    states: Vec<RankState>,
    map: Vec<Placement>,
    /// A rank that could not be read; its address and state mean nothing.
    missing: Option<usize>,
}

/// Leads the group whenever this agent is the first one that answers, until it is asked to stop.
pub(super) async fn run(agent: &Arc<Agent>) {
    let mut orphan: Option<Time> = None;
    while !agent.shutdown.is_draining() {
        tokio::select! {
            () = sleep(SHORTEST_BEAT) => {}
            () = agent.shutdown.wait() => return,
        }
        let now = agent.now();
        fill_in(agent, now).await;
        let Some(group) = read_group(agent, now) else {
            orphan = None;
            continue;
        };
        if find_earliest_hold(&group.list_states()).is_some() {
            let since = *orphan.get_or_insert(now);
            if now.since(since) >= ORPHAN_TIME {
                recover(agent, &group).await;
                orphan = None;
            }
            continue;
        }
        orphan = None;
        if group.missing.is_none() && group.is_calm() {
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
            chosen: Vec::new(),
            placement,
        })
    });
    for push in join_all(reads).await.into_iter().flatten() {
        let now = agent.now();
        agent.roster().fill(push, now);
    }
}

/// The group, if this agent leads it and every rank but at most one was heard lately.
fn read_group(agent: &Agent, now: Time) -> Option<Group> {
    let roster = agent.roster();
    if !roster.list_candidates(now).is_empty() {
        return None;
    }
    let missing = roster.find_missing(now);
    if missing.is_none() {
        roster.list_ranks(now)?;
    }
    let mut fresh: Vec<Push> = roster.list_fresh(now).into_iter().cloned().collect();
    let sets = fresh.first()?.placement.len();
    if let Some(rank) = missing {
        let nothing = Push {
            rank: NO_ADDRESS,
            state: RankState::default(),
            chosen: Vec::new(),
            placement: vec![Vec::new(); sets],
        };
        fresh.insert(rank, nothing);
    }
    let map = (0..sets)
        .map(|set| {
            let experts = |p: &Push| p.placement.get(set).cloned();
            fresh.iter().filter_map(experts).collect()
        })
        .collect();
    Some(Group {
        ranks: fresh.iter().map(|p| p.rank).collect(),
        states: fresh.into_iter().map(|p| p.state).collect(),
        map,
        missing,
    })
}

impl Group {
    /// States of the ranks that were read.
    fn list_states(&self) -> Vec<RankState> {
        let read = |(rank, _): &(usize, &RankState)| self.missing != Some(*rank);
        let states = self.states.iter().enumerate().filter(read);
        states.map(|(_, state)| state.clone()).collect()
    }

    /// A map that no rank has to copy experts for. Experts that no rank was seen to hold are at
    /// the one that could not be read.
    fn complete_map(&self, experts: usize) -> Vec<Placement> {
        let mut map = self.map.clone();
        let Some(missing) = self.missing else {
            return map;
        };
        for set in &mut map {
            let held: BTreeSet<u16> = set.iter().flatten().copied().collect();
            let experts = 0..u16::try_from(experts).unwrap_or(u16::MAX);
            set[missing] = experts.filter(|e| !held.contains(e)).collect();
        }
        map
    }

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

async fn improve(agent: &Arc<Agent>, group: &Group) {
    let now = agent.now();
    let demand: Vec<f64> = match agent.roster().demand.estimate(now) {
        Some(demand) => demand.to_vec(),
        None => return,
    };
    let sets = group.map.len();
    let experts = demand.len() / sets.max(1);
    let Some(settings) = find_limits(agent, now).await else {
        return;
    };
    let paces: Vec<f64> = group.states.iter().map(|s| s.pace).collect();
    let plans: Vec<Plan> = group
        .map
        .iter()
        .enumerate()
        .map(|(set, present)| {
            let demand = &demand[set * experts..][..experts];
            plan_set(demand, &paces, present, &settings)
        })
        .collect();
    let (before, after) = compute_mean_skews(&plans);
    if before - after < MIN_SWITCH_GAIN {
        return;
    }
    let copies: usize = plans.iter().map(|plan| plan.copies).sum();
    let map: Vec<Placement> = plans.into_iter().map(|plan| plan.map).collect();
    let seen = read_fresh(agent, &group.ranks).await;
    let own = group.ranks.iter().position(|r| *r == agent.own);
    let (Some(own), Some(floor)) = (own, find_floor(agent, group, &seen)) else {
        return;
    };
    let placed = map.clone();
    let goal = SwitchTarget {
        own_rank: own,
        epoch: group.states[own].epoch,
        version: generate_version(&group.states, own, rand::random()),
        map,
        after_pass: floor,
    };
    let version = goal.version;
    log::info!(
        version,
        skew_before = format!("{before:.2}"),
        skew_after = format!("{after:.2}"),
        copies,
        step = group.states[own].step;
        "switch_started"
    );
    let mut switch = Switch::new(goal, group.ranks.len(), now);
    let ended = drive(agent, group, seen, &mut switch).await;
    if let Some(pass) = switch.held_pass() {
        agent.roster().hold_pass(pass);
    }
    let took = agent.now().since(now).as_millis() as u64;
    log::info!(version, outcome:% = describe(ended), took_ms = took; "switch_ended");
    if ended == Some(EndReason::Switched) {
        await_map(agent, version, &placed).await;
    }
    if ended == Some(EndReason::Blocked) {
        recover(agent, group).await;
    }
}

/// Waits until the pass of a switch has begun. All ranks were armed for it, so what is true of this
/// agent's rank is true of all of them.
async fn await_map(agent: &Agent, version: u64, map: &[Placement]) {
    let begun = agent.now();
    while agent.now().since(begun) < MAP_TIME {
        let state = agent.engine.read_state(agent.own).await;
        if let Some(state) = state.filter(|s| s.map == version) {
            agent.roster().note_switch(version, map, state.step);
            return;
        }
        sleep(MAP_PAUSE).await;
    }
}

/// Limits of the service's engines on placements, read from the configuration now and then.
async fn find_limits(agent: &Agent, now: Time) -> Option<Limits> {
    let known = agent.roster().find_limits(now);
    if known.is_some() {
        return known;
    }
    let service = agent.settings.service.as_ref()?;
    let config = match agent.source.read_config().await {
        Ok(change) => change.content?,
        Err(error) => {
            log::warn!(matter = "config", error:% = error; "store_lost");
            return agent.roster().keep_limits(now);
        }
    };
    let engine = config.find_service(service)?.engine.as_ref()?;
    let limits = Limits {
        slots: usize::from(engine.rank_capacity),
        max_copies: usize::from(engine.spare),
        min_gain: (engine.expert_mb / MB_PER_GB * GAIN_PER_GB).clamp(LEAST_COPY, MOST_COPY),
    };
    agent.roster().set_limits(limits, now);
    Some(limits)
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
async fn recover(agent: &Arc<Agent>, group: &Group) {
    let mut addresses = group.ranks.clone();
    addresses.retain(|address| *address != NO_ADDRESS);
    let mut seen = read_fresh(agent, &addresses).await;
    let states: Option<Vec<RankState>> = seen.iter().cloned().collect();
    let Some(states) = states else {
        return;
    };
    if let Some(missing) = group.missing {
        seen.insert(missing, None);
    }
    let Some((place, step)) = find_earliest_hold(&states) else {
        return;
    };
    let Some(own) = group.ranks.iter().position(|r| *r == agent.own) else {
        return;
    };
    let held = usize::from(states[place].rank);
    let epoch = states[place].epoch;
    let version = generate_version(&states, own, rand::random());
    let experts = agent.roster().demand.len() / group.map.len().max(1);
    log::warn!(rank = held, step, version, missing:? = group.missing; "recovery_started");
    let mut recovery = Recovery::new(RecoveryTarget {
        held_rank: held,
        step,
        epoch,
        version,
        map: group.complete_map(experts),
        unreadable: group.missing,
    });
    let ended = drive(agent, group, seen, &mut recovery).await;
    log::warn!(rank = held, step, outcome:% = describe(ended); "recovery_ended");
}

fn describe(ended: Option<EndReason>) -> String {
    ended.map_or_else(|| "it took too long".to_owned(), |e| e.to_string())
}

/// Work that is done in rounds of reads and orders.
trait Rounds {
    fn advance(&mut self, seen: &[Option<RankState>], now: Time) -> Round;

    fn hear(&mut self, rank: usize, order: &Order, reply: OrderReply);

    /// Whether a rank has to be read again before the next round.
    fn needs(&self, rank: usize) -> bool;

    /// Whether the group may stand still until the work is done.
    fn is_urgent(&self) -> bool;
}

impl Rounds for Switch {
    fn advance(&mut self, seen: &[Option<RankState>], now: Time) -> Round {
        Switch::advance(self, seen, now)
    }

    fn hear(&mut self, rank: usize, order: &Order, reply: OrderReply) {
        Switch::record_reply(self, rank, order, reply);
    }

    fn needs(&self, rank: usize) -> bool {
        Switch::needs_read(self, rank)
    }

    fn is_urgent(&self) -> bool {
        self.held_pass().is_some()
    }
}

impl Rounds for Recovery {
    fn advance(&mut self, seen: &[Option<RankState>], _now: Time) -> Round {
        Recovery::advance(self, seen)
    }

    fn hear(&mut self, _rank: usize, _order: &Order, _reply: OrderReply) {}

    fn needs(&self, rank: usize) -> bool {
        Recovery::needs_read(self, rank)
    }

    fn is_urgent(&self) -> bool {
        true
    }
}

/// Reads the ranks, gives the orders of a round, and so on until the work has ended.
async fn drive<Work>(
    agent: &Arc<Agent>,
    group: &Group,
    mut seen: Vec<Option<RankState>>,
    work: &mut Work,
) -> Option<EndReason>
where
    Work: Rounds,
{
    let ranks = &group.ranks;
    let begun = agent.now();
    while agent.now().since(begun) < DRIVE_TIME {
        let round = work.advance(&seen, agent.now());
        if round.ended.is_some() {
            return round.ended;
        }
        let idle = round.orders.is_empty();
        let given = round.orders.into_iter().map(|(rank, order)| {
            let address = ranks[rank];
            async move {
                let reply = give(agent, group, address, &order).await;
                (rank, order, reply)
            }
        });
        for (rank, order, reply) in join_all(given).await {
            work.hear(rank, &order, reply);
        }
        match (work.is_urgent(), idle) {
            (true, true) => sleep(SHORT_PAUSE).await,
            (true, false) => {}
            (false, _) => sleep(COPY_PAUSE).await,
        }
        let needed: Vec<usize> = (0..ranks.len()).filter(|rank| work.needs(*rank)).collect();
        let addresses: Vec<SocketAddr> = needed.iter().map(|rank| ranks[*rank]).collect();
        let read = read_fresh(agent, &addresses).await;
        for (rank, state) in needed.into_iter().zip(read) {
            seen[rank] = state;
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

async fn give(agent: &Arc<Agent>, group: &Group, rank: SocketAddr, order: &Order) -> OrderReply {
    let direct = rank == agent.own || agent.roster().is_direct(rank);
    // A pass is stopped and released by one VM only: any other one might freeze with the order.
    let urgent = matches!(order.task, Task::Hold { .. } | Task::Go { .. });
    let passed = match direct || urgent {
        true => None,
        false => pass(agent, group, rank, order).await,
    };
    let reply = match passed {
        Some(reply) => reply,
        None => agent.engine.send_order(rank, order).await,
    };
    log::debug!(rank:% = rank, task = order.task.as_str(), reply:? = reply; "order_given");
    reply
}

/// Gives an order through the agent beside the rank, a map by its difference if it can be.
async fn pass(
    agent: &Arc<Agent>,
    group: &Group,
    rank: SocketAddr,
    order: &Order,
) -> Option<OrderReply> {
    if let Some(short) = shorten(order, group.states[0].map, &group.map) {
        match agent.peers.call(rank, ORDER_PATH, &short).await? {
            RelayedReply::Answered(reply) => return Some(reply),
            RelayedReply::NoBase => {}
        }
    }
    let whole = RelayedOrder::Whole(order.clone());
    match agent.peers.call(rank, ORDER_PATH, &whole).await? {
        RelayedReply::Answered(reply) => Some(reply),
        RelayedReply::NoBase => None,
    }
}
