//! Reads ranks and sends orders to them through their agents.
//!
//! In a large group, one agent of each availability zone passes a message on to the others of its
//! zone. A map that is sent to each agent one by one would occupy the leader's link for seconds.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join;
use futures::future::join_all;
use siskinbend_site::engine::Order;
use siskinbend_site::engine::OrderReply;
use siskinbend_site::engine::Placement;
use siskinbend_site::engine::RankState;
use siskinbend_site::engine::Task;

use super::Agent;
use super::map_history::encode_change;
use crate::peer::RELAY_PATH;
use crate::peer::RelayAnswer;
use crate::peer::RelayCall;
use crate::peer::RelayMessage;
use crate::peer::RelayedOrder;

/// Timeout of a message that another agent passes on to several agents.
const ZONE_TIMEOUT: Duration = Duration::from_millis(700);

/// Active map of the group, relative to which new maps are sent.
pub(super) struct MapBase<'map> {
    /// Version of the map.
    pub version: u64,
    /// Experts by set and rank.
    pub map: &'map [Placement],
}

/// Executes a message on the ranks that it names: on the own one, and on others through their
/// agents.
pub(super) async fn execute(agent: &Arc<Agent>, message: RelayMessage) -> Vec<RelayAnswer> {
    let call = &message.call;
    let answers = message.ranks.into_iter().map(|rank| async move {
        if rank == agent.rank_address {
            return execute_own(agent, call).await;
        }
        let single = RelayMessage {
            ranks: vec![rank],
            call: call.clone(),
        };
        let response: Option<Vec<RelayAnswer>> = agent.peers.call(rank, RELAY_PATH, &single).await;
        let answer = response.and_then(|answers| answers.into_iter().next());
        answer.unwrap_or(RelayAnswer::Silent)
    });
    join_all(answers).await
}

async fn execute_own(agent: &Arc<Agent>, call: &RelayCall) -> RelayAnswer {
    let rank = agent.rank_address;
    match call {
        RelayCall::Read => RelayAnswer::State(agent.engine.read_state(rank).await),
        RelayCall::Order(relayed) => {
            let order = agent.map_history().resolve(relayed.clone());
            match order {
                Some(order) => RelayAnswer::Replied(agent.engine.send_order(rank, &order).await),
                None => RelayAnswer::NoBase,
            }
        }
    }
}

/// Whether the agent of a rank responds.
pub(super) async fn is_responsive(agent: &Arc<Agent>, rank: SocketAddr) -> bool {
    let answers = send(agent, rank, vec![rank], RelayCall::Read).await;
    answers.iter().any(|answer| *answer != RelayAnswer::Silent)
}

/// Reads the current state of ranks through their agents, or directly if an agent does not respond.
pub(super) async fn read_states(
    agent: &Arc<Agent>,
    ranks: &[SocketAddr],
) -> Vec<Option<RankState>> {
    let indirect = ranks
        .iter()
        .copied()
        .filter(|rank| !is_direct(agent, *rank));
    let answers = broadcast(agent, indirect.collect(), &RelayCall::Read).await;
    let reads = ranks.iter().map(|rank| {
        let answer = answers.get(rank);
        async move {
            match answer {
                Some(RelayAnswer::State(Some(state))) => Some(state.clone()),
                _ => agent.engine.read_state(*rank).await,
            }
        }
    });
    join_all(reads).await
}

/// Sends orders to ranks, and returns the replies in the same order.
pub(super) async fn send_orders(
    agent: &Arc<Agent>,
    base: &MapBase<'_>,
    orders: &[(SocketAddr, &Order)],
) -> Vec<OrderReply> {
    // Equal orders are sent together.
    let mut relayed: Vec<(&Order, Vec<SocketAddr>)> = Vec::new();
    for (rank, order) in orders {
        if is_hold(order) || is_direct(agent, *rank) {
            continue;
        }
        match relayed.iter_mut().find(|(other, _)| other == order) {
            Some((_, ranks)) => ranks.push(*rank),
            None => relayed.push((order, vec![*rank])),
        }
    }
    let relays = relayed
        .into_iter()
        .map(|(order, ranks)| relay_order(agent, base, order, ranks));
    let direct = orders
        .iter()
        .filter(|(rank, order)| is_hold(order) || is_direct(agent, *rank))
        .map(|(rank, order)| async { (*rank, agent.engine.send_order(*rank, order).await) });
    let (relayed, direct) = join(join_all(relays), join_all(direct)).await;
    let replies: BTreeMap<SocketAddr, OrderReply> =
        relayed.into_iter().flatten().chain(direct).collect();
    let reply = |(rank, order): &(SocketAddr, &Order)| {
        let reply = replies.get(rank).copied().unwrap_or(OrderReply::Unknown);
        log::debug!(rank:% = rank, task = order.task.as_str(), reply:? = reply; "order_given");
        reply
    };
    orders.iter().map(reply).collect()
}

/// Sends one order to several ranks through their agents; a map is sent as a difference if
/// possible.
async fn relay_order(
    agent: &Arc<Agent>,
    base: &MapBase<'_>,
    order: &Order,
    ranks: Vec<SocketAddr>,
) -> Vec<(SocketAddr, OrderReply)> {
    let mut replies = Vec::new();
    let mut whole = Vec::new();
    let change = encode_change(order, base.version, base.map);
    if let Some(change) = change {
        let answers = broadcast(agent, ranks, &RelayCall::Order(change)).await;
        for (rank, answer) in answers {
            match answer {
                RelayAnswer::NoBase => whole.push(rank),
                answer => replies.push((rank, find_reply(&answer))),
            }
        }
    } else {
        whole = ranks;
    }
    if whole.is_empty() {
        return replies;
    }
    let call = RelayCall::Order(RelayedOrder::Whole(order.clone()));
    let answers = broadcast(agent, whole, &call).await;
    let is_map = matches!(order.task, Task::Prepare { .. });
    let sends = answers.into_iter().map(|(rank, answer)| async move {
        // A complete map to each silent agent's rank would occupy the link of this VM.
        let reply = match answer {
            RelayAnswer::Silent if !is_map => agent.engine.send_order(rank, order).await,
            answer => find_reply(&answer),
        };
        (rank, reply)
    });
    replies.extend(join_all(sends).await);
    replies
}

fn find_reply(answer: &RelayAnswer) -> OrderReply {
    match answer {
        RelayAnswer::Replied(reply) => *reply,
        RelayAnswer::NoBase | RelayAnswer::Silent | RelayAnswer::State(_) => OrderReply::Unknown,
    }
}

/// Whether an order is sent without another agent: the freeze of a relaying VM must not delay the
/// hold or the release of a pass.
fn is_hold(order: &Order) -> bool {
    matches!(order.task, Task::Hold { .. } | Task::Go { .. })
}

fn is_direct(agent: &Agent, rank: SocketAddr) -> bool {
    rank == agent.rank_address || agent.group_view().is_read_directly(rank)
}

/// Sends a message to the agents of several ranks, and returns the answer for each rank.
async fn broadcast(
    agent: &Arc<Agent>,
    ranks: Vec<SocketAddr>,
    call: &RelayCall,
) -> BTreeMap<SocketAddr, RelayAnswer> {
    let mut batches: BTreeMap<SocketAddr, Vec<SocketAddr>> = BTreeMap::new();
    {
        let view = agent.group_view();
        let now = agent.now();
        for rank in ranks {
            batches
                .entry(view.find_relay(rank, now))
                .or_default()
                .push(rank);
        }
    }
    let sends = batches.into_iter().map(|(receiver, ranks)| async move {
        let answers = send(agent, receiver, ranks.clone(), call.clone()).await;
        if ranks.len() > 1 && answers.is_empty() {
            let now = agent.now();
            agent.group_view().mark_unresponsive(receiver, now);
        }
        let padded = answers
            .into_iter()
            .chain(std::iter::repeat(RelayAnswer::Silent));
        ranks.into_iter().zip(padded).collect::<Vec<_>>()
    });
    join_all(sends).await.into_iter().flatten().collect()
}

/// Sends a message to one agent; the answers are empty if it does not respond.
async fn send(
    agent: &Arc<Agent>,
    receiver: SocketAddr,
    ranks: Vec<SocketAddr>,
    call: RelayCall,
) -> Vec<RelayAnswer> {
    let is_single = ranks == [receiver];
    let message = RelayMessage { ranks, call };
    if receiver == agent.rank_address {
        return execute(agent, message).await;
    }
    let response: Option<Vec<RelayAnswer>> = if is_single {
        agent.peers.call(receiver, RELAY_PATH, &message).await
    } else {
        agent
            .peers
            .call_within(ZONE_TIMEOUT, receiver, RELAY_PATH, &message)
            .await
    };
    response.unwrap_or_default()
}
