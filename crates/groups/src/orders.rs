//! Expert map switch for engines that take orders one by one and don't support fencing numbers.
//!
//! An order may be lost, be answered late, or be executed seconds later, after newer ones. The map
//! version makes this safe: a rank that has prepared a higher version refuses every order for a
//! lower one. [`Switch`] holds a forward pass at one rank, arms all ranks for that pass, and
//! releases the pass only when all ranks are armed. [`Recovery`] ends an unfinished switch. If all
//! ranks are armed, it releases the pass. Otherwise it makes one unarmed rank prepare a higher
//! version, after which the switch can never complete, and only then disarms the other ranks.
//!
//! Both advance by the states that are read from the ranks after each round of orders. The safety
//! argument is in docs/decisions/0008-map-orders.md.

use std::time::Duration;

use siskinbend_site::engine::Armed;
use siskinbend_site::engine::Order;
use siskinbend_site::engine::OrderReply;
use siskinbend_site::engine::Placement;
use siskinbend_site::engine::RankState;
use siskinbend_site::engine::Task;
use siskinbend_types::Time;

/// Time that the orders of a switch take after the hold if no switch was measured. The held pass is
/// chosen to begin later than that, so that the hold blocks nothing.
const ORDERS_DURATION: Duration = Duration::from_millis(60);
/// The same if orders time out and have to be repeated.
const RETRIED_ORDERS_DURATION: Duration = Duration::from_millis(300);
/// Minimum distance of the held pass from the current pass.
const MIN_LEAD_PASSES: u64 = 2;
/// Maximum distance of the held pass from the current pass. A later coordinator that stays clear of
/// this many passes never holds a pass that an earlier one may still release.
pub const MAX_LEAD_PASSES: u64 = 8;
/// Interval after which the prepare order is repeated for a rank that has not prepared the map. It
/// is longer than the copies of one order take, because a repeated order costs as much as the
/// first.
const PREPARE_RETRY_INTERVAL: Duration = Duration::from_millis(700);
/// Timeout for all ranks to copy their experts.
const PREPARE_TIMEOUT: Duration = Duration::from_secs(6);
/// Time within which a confirmed hold appears in the state of its rank. Until then the order is not
/// repeated: the rank refuses a second hold while it has one.
const HOLD_VISIBLE_TIMEOUT: Duration = Duration::from_millis(60);
/// Number of holds that come too late after which a switch is abandoned.
const MAX_HOLD_ATTEMPTS: u32 = 5;
/// Consecutive rounds with an unread rank after which a recovery ends, so that it can be started
/// again without that rank.
const MAX_UNREAD_ROUNDS: u32 = 5;
/// Number of lowest bits of a version, which contain the rank of the coordinator that generated it.
const RANK_BITS: u32 = 10;
/// Number of random bits above them, so that a restarted coordinator never uses a version twice.
const RANDOM_BITS: u32 = 18;

/// Generates a version that is higher than all versions that the ranks have had and that no other
/// switch uses. `coordinator` is the rank that generates it.
pub fn generate_version(states: &[RankState], coordinator: usize, random: u64) -> u64 {
    let versions = states.iter().flat_map(|s| {
        let armed = s.armed.map_or(0, |a| a.version);
        [s.map, s.prepared.unwrap_or(0), armed]
    });
    let highest = versions.max().unwrap_or(0) >> (RANK_BITS + RANDOM_BITS);
    let random = random & ((1 << RANDOM_BITS) - 1);
    let coordinator = coordinator as u64 & ((1 << RANK_BITS) - 1);
    ((highest + 1) << RANDOM_BITS | random) << RANK_BITS | coordinator
}

/// The rank of the coordinator that generated a version, in a group of `size` ranks; `None` if the
/// group is too large for the version to contain it.
fn decode_coordinator(version: u64, size: usize) -> Option<usize> {
    let coordinator = (version & ((1 << RANK_BITS) - 1)) as usize;
    (size <= 1 << RANK_BITS).then_some(coordinator)
}

/// The rank at which a coordinator holds passes. It is on another VM than the coordinator, so that
/// the group doesn't have to wait for the coordinator's VM, and it differs for each coordinator.
fn find_hold_rank(coordinator: usize, size: usize) -> usize {
    (coordinator + 1) % size
}

/// How a switch or a recovery ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum EndReason {
    /// all ranks switch at the same pass
    Switched,
    /// no rank was armed and the old map stays
    Abandoned,
    /// the group opened anew, which clears every order
    Reopened,
    /// another coordinator has blocked the switch; a recovery has to end it
    Blocked,
    /// the held pass may begin
    Released,
}

/// Orders that follow from the states of the ranks, or the end of the switch or recovery.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Round {
    /// Orders to send, with their ranks.
    pub orders: Vec<(usize, Order)>,
    /// Set when the switch or recovery has ended.
    pub ended: Option<EndReason>,
}

impl Round {
    fn end(ended: EndReason) -> Round {
        Round {
            ended: Some(ended),
            ..Round::default()
        }
    }

    fn single(rank: usize, task: Task, epoch: u64) -> Round {
        Round {
            orders: vec![(rank, Order { task, epoch })],
            ended: None,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Preparing,
    /// All ranks are prepared; the rank that holds is read once more for its current pass.
    Choosing,
    Holding {
        step: u64,
        attempts: u32,
    },
    Arming {
        step: u64,
    },
    Releasing {
        step: u64,
    },
}

/// Parameters of a switch.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SwitchTarget {
    /// The coordinator's own rank.
    pub own_rank: usize,
    /// The group's epoch.
    pub epoch: u64,
    /// Version of the map; higher than all versions that the ranks have had, and used by no other
    /// switch.
    pub version: u64,
    /// Experts by set and rank.
    pub map: Vec<Placement>,
    /// The held pass must come after this one. It is the last pass that this coordinator held, but
    /// at least [`MAX_LEAD_PASSES`] beyond the pass at which it first saw the group.
    pub after_pass: u64,
    /// Time that the orders of the previous switch took after its hold; `None` if none was measured.
    pub order_time: Option<Duration>,
}

/// One switch of a group to a new map.
#[derive(Debug)]
pub struct Switch {
    target: SwitchTarget,
    size: usize,
    /// The rank at which the pass is held.
    holder: usize,
    phase: Phase,
    started: Time,
    /// When the prepare order was last sent to each rank.
    prepare_sent: Vec<Option<Time>>,
    /// Whether each rank has prepared the map.
    ready: Vec<bool>,
    /// Whether each rank is armed.
    armed: Vec<bool>,
    /// When the hold order was last sent.
    hold_sent: Time,
    /// Whether the rank has confirmed that order.
    is_hold_confirmed: bool,
    /// Time from the confirmed hold until all ranks were armed.
    order_time: Option<Duration>,
    /// Whether an order of this switch was not answered.
    has_unanswered: bool,
    /// The current pass when the switch began.
    first: Option<u64>,
}

impl Switch {
    /// Creates a switch of a group of `size` ranks.
    pub fn new(target: SwitchTarget, size: usize, now: Time) -> Switch {
        Switch {
            holder: find_hold_rank(target.own_rank, size),
            target,
            size,
            phase: Phase::Preparing,
            started: now,
            prepare_sent: vec![None; size],
            ready: vec![false; size],
            armed: vec![false; size],
            hold_sent: now,
            is_hold_confirmed: false,
            order_time: None,
            has_unanswered: false,
            first: None,
        }
    }

    /// Records the answer to an order. An order without an answer is repeated in the next round. A
    /// rank that confirms an arm order is armed.
    pub fn record_reply(&mut self, rank: usize, order: &Order, reply: OrderReply) {
        match (&order.task, reply) {
            (_, OrderReply::Unknown) => {
                self.prepare_sent[rank] = None;
                self.has_unanswered = true;
            }
            (Task::Arm(_), OrderReply::Holds) => self.armed[rank] = true,
            (Task::Hold { .. }, OrderReply::Begun | OrderReply::Holds) => {
                self.is_hold_confirmed = true;
            }
            _ => {}
        }
    }

    /// Whether the state of a rank has to be read before the next round. An earlier state may be
    /// outdated, but a rank that is prepared or armed for this switch stays so or refuses the next
    /// order. The pass to hold is chosen by the current pass of the rank that holds it.
    pub fn needs_read(&self, rank: usize) -> bool {
        match self.phase {
            Phase::Preparing => !self.ready[rank],
            Phase::Arming { .. } => !self.armed[rank],
            Phase::Choosing | Phase::Holding { .. } | Phase::Releasing { .. } => {
                rank == self.holder
            }
        }
    }

    /// The pass that is or was held, if any.
    pub fn held_pass(&self) -> Option<u64> {
        match self.phase {
            Phase::Preparing | Phase::Choosing => None,
            Phase::Holding { step, .. } | Phase::Arming { step } | Phase::Releasing { step } => {
                Some(step)
            }
        }
    }

    /// Whether all ranks have prepared the map, so that the remaining orders are due without delay.
    pub fn is_prepared(&self) -> bool {
        self.phase != Phase::Preparing
    }

    /// Time that the orders took after the hold, once all ranks are armed.
    pub fn order_time(&self) -> Option<Duration> {
        self.order_time
    }

    /// Determines the next orders from the states of the ranks, all read after the last round of
    /// orders. `None` stands for a rank that could not be read.
    pub fn advance(&mut self, states: &[Option<RankState>], now: Time) -> Round {
        let version = self.target.version;
        assert_eq!(states.len(), self.size, "ranks for version {version}");
        let epoch = self.target.epoch;
        if states.iter().flatten().any(|s| s.epoch != epoch || !s.open) {
            return Round::end(EndReason::Reopened);
        }
        if let Some(holder) = &states[self.holder] {
            self.first.get_or_insert(holder.step);
        }
        match self.phase {
            Phase::Preparing => self.prepare(states, now),
            Phase::Choosing => self.choose_pass(states, 0, now),
            Phase::Holding { step, attempts } => self.hold(states, step, attempts, now),
            Phase::Arming { step } => self.arm(states, step, now),
            Phase::Releasing { step } => self.release(states, step),
        }
    }

    fn prepare(&mut self, states: &[Option<RankState>], now: Time) -> Round {
        let version = self.target.version;
        let mut round = Round::default();
        for (rank, state) in states.iter().enumerate() {
            let Some(state) = state else { continue };
            let newest = state.map.max(state.prepared.unwrap_or(0));
            if state.prepared == Some(version) && state.armed.is_none() {
                self.ready[rank] = true;
            } else if newest > version || state.armed.is_some() {
                return Round::end(EndReason::Abandoned);
            } else if self.prepare_sent[rank]
                .is_none_or(|at| now.since(at) >= PREPARE_RETRY_INTERVAL)
            {
                self.prepare_sent[rank] = Some(now);
                let task = Task::Prepare {
                    version,
                    map: self.target.map.clone(),
                };
                let epoch = self.target.epoch;
                round.orders.push((rank, Order { task, epoch }));
            }
        }
        if self.ready.iter().all(|ready| *ready) {
            // The state of the rank that holds may be as old as the copies of the others took.
            self.phase = Phase::Choosing;
            return Round::default();
        }
        if now.since(self.started) > PREPARE_TIMEOUT {
            return Round::end(EndReason::Abandoned);
        }
        round
    }

    /// Chooses the distance of the held pass from the current pass by the duration of recent
    /// passes.
    fn choose_lead(&self, step: u64, now: Time) -> u64 {
        let passes = step.saturating_sub(self.first.unwrap_or(step));
        let pass = now.since(self.started).as_secs_f64() / passes.max(1) as f64;
        let time = match self.has_unanswered {
            true => RETRIED_ORDERS_DURATION,
            false => self.target.order_time.unwrap_or(ORDERS_DURATION),
        };
        // The current pass may end at any moment.
        let lead = (time.as_secs_f64() / pass.max(f64::MIN_POSITIVE)).ceil() + 1.0;
        (lead as u64).clamp(MIN_LEAD_PASSES, MAX_LEAD_PASSES)
    }

    fn choose_pass(&mut self, states: &[Option<RankState>], attempts: u32, now: Time) -> Round {
        let Some(holder) = &states[self.holder] else {
            return Round::default();
        };
        if attempts >= MAX_HOLD_ATTEMPTS || holder.held.is_some() {
            return Round::end(EndReason::Abandoned);
        }
        let lead = self.choose_lead(holder.step, now);
        let step = (holder.step + lead).max(self.target.after_pass + 1);
        if step > holder.step + MAX_LEAD_PASSES {
            // The pass is too far ahead as long as the group is idle.
            return Round::default();
        }
        self.phase = Phase::Holding { step, attempts };
        self.send_hold(step, now)
    }

    fn send_hold(&mut self, step: u64, now: Time) -> Round {
        self.hold_sent = now;
        self.is_hold_confirmed = false;
        Round::single(self.holder, Task::Hold { step }, self.target.epoch)
    }

    fn hold(&mut self, states: &[Option<RankState>], step: u64, attempts: u32, now: Time) -> Round {
        let Some(holder) = &states[self.holder] else {
            return Round::default();
        };
        if holder.held == Some(step) {
            self.phase = Phase::Arming { step };
            return self.arm(states, step, now);
        }
        if holder.step >= step {
            return self.choose_pass(states, attempts + 1, now);
        }
        if self.is_hold_confirmed && now.since(self.hold_sent) < HOLD_VISIBLE_TIMEOUT {
            return Round::default();
        }
        self.send_hold(step, now)
    }

    fn arm(&mut self, states: &[Option<RankState>], step: u64, now: Time) -> Round {
        let version = self.target.version;
        let wanted = Armed { version, step };
        let mut round = Round::default();
        for (rank, state) in states.iter().enumerate() {
            let Some(state) = state.as_ref().filter(|_| !self.armed[rank]) else {
                continue;
            };
            if state.armed == Some(wanted) {
                self.armed[rank] = true;
            } else if state.prepared != Some(version) {
                return Round::end(EndReason::Blocked);
            } else if rank != self.target.own_rank || self.are_others_armed() {
                let task = Task::Arm(wanted);
                let epoch = self.target.epoch;
                round.orders.push((rank, Order { task, epoch }));
            }
        }
        if self.armed.iter().any(|armed| !armed) {
            return round;
        }
        self.phase = Phase::Releasing { step };
        self.order_time = Some(now.since(self.hold_sent));
        self.release(states, step)
    }

    /// Whether all ranks except the coordinator's own are armed. The own rank is armed last, so
    /// that it is certainly unarmed while another rank is unarmed.
    fn are_others_armed(&self) -> bool {
        let own = self.target.own_rank;
        let mut others = self
            .armed
            .iter()
            .enumerate()
            .filter(|(rank, _)| *rank != own);
        others.all(|(_, armed)| *armed)
    }

    /// Releases the pass. A delayed copy of the hold order may hold it again; a recovery ends that.
    fn release(&mut self, states: &[Option<RankState>], step: u64) -> Round {
        match &states[self.holder] {
            None => Round::default(),
            Some(holder) if holder.held == Some(step) => {
                Round::single(self.holder, Task::Go { step }, self.target.epoch)
            }
            Some(_) => Round::end(EndReason::Switched),
        }
    }
}

/// Finds the earliest held pass. Returns the rank that holds it, and the pass.
pub fn find_earliest_hold(states: &[RankState]) -> Option<(usize, u64)> {
    let holds = states.iter().enumerate();
    let holds = holds.filter_map(|(rank, state)| Some((rank, state.held?)));
    holds.min_by_key(|(_, pass)| *pass)
}

/// Ends a switch that its coordinator left unfinished.
#[derive(Debug)]
pub struct Recovery {
    target: RecoveryTarget,
    /// Whether an unarmed rank has prepared the higher version, so that the switch can never
    /// complete.
    blocked: bool,
    /// Consecutive rounds in which a rank could not be read.
    unread: u32,
}

/// Parameters of a recovery.
#[derive(Debug, Clone, PartialEq)]
pub struct RecoveryTarget {
    /// The rank at which the pass is held.
    pub held_rank: usize,
    /// The held pass.
    pub step: u64,
    /// The group's epoch.
    pub epoch: u64,
    /// Version of the map; higher than all versions that the ranks have had.
    pub version: u64,
    /// A map for which no rank has to copy experts, by set and rank.
    pub map: Vec<Placement>,
    /// A rank whose state can't be read.
    pub unreadable: Option<usize>,
}

impl Recovery {
    /// Creates a recovery that releases a held pass.
    pub fn new(target: RecoveryTarget) -> Recovery {
        Recovery {
            target,
            blocked: false,
            unread: 0,
        }
    }

    /// Whether the state of a rank has to be read before the next round.
    pub fn needs_read(&self, rank: usize) -> bool {
        self.target.unreadable != Some(rank)
    }

    /// Determines the next orders from the states of the ranks, all read after the last round of
    /// orders.
    pub fn advance(&mut self, states: &[Option<RankState>]) -> Round {
        let RecoveryTarget {
            held_rank: held,
            step,
            epoch,
            ..
        } = self.target;
        if states.iter().flatten().any(|s| s.epoch != epoch) {
            return Round::end(EndReason::Reopened);
        }
        let Some(holder) = &states[held] else {
            return Round::default();
        };
        if holder.held != Some(step) {
            return Round::end(EndReason::Released);
        }
        // If a hold order arrived long after its switch, all ranks may be armed for a later pass.
        let armed = |s: &Option<RankState>| s.as_ref().and_then(|s| s.armed);
        let all = armed(&states[held]).filter(|a| a.step >= step);
        if all.is_some() && states.iter().all(|s| armed(s) == all) {
            return Round::single(held, Task::Go { step }, epoch);
        }
        let unread = |(rank, state): (usize, &Option<RankState>)| {
            state.is_none() && self.target.unreadable != Some(rank)
        };
        self.unread = if states.iter().enumerate().any(unread) {
            self.unread + 1
        } else {
            0
        };
        let newer = |armed: Armed| armed.version >= self.target.version;
        let stuck = self.unread >= MAX_UNREAD_ROUNDS;
        if stuck || states.iter().filter_map(armed).any(newer) || !self.can_skip_unreadable(states)
        {
            return Round::end(EndReason::Blocked);
        }
        if !self.blocked {
            return self.block(states);
        }
        self.disarm_all(states)
    }

    /// Whether the unreadable rank, if any, is certainly not armed for the held pass.
    ///
    /// That is the case if it belongs to the coordinator that holds the pass, which arms its own
    /// rank only after all others, and one of the others is unarmed.
    fn can_skip_unreadable(&self, states: &[Option<RankState>]) -> bool {
        let Some(missing) = self.target.unreadable else {
            return true;
        };
        let size = states.len();
        let own_hold = find_hold_rank(missing, size) == self.target.held_rank;
        let own_switch = states
            .iter()
            .flatten()
            .filter_map(|s| s.armed)
            .all(|armed| {
                armed.step >= self.target.step
                    && decode_coordinator(armed.version, size) == Some(missing)
            });
        let unarmed = states.iter().flatten().any(|s| s.armed.is_none());
        states[missing].is_none() && own_hold && own_switch && unarmed
    }

    /// Makes one unarmed rank prepare the higher version, after which it refuses the switch for
    /// good.
    fn block(&mut self, states: &[Option<RankState>]) -> Round {
        let unarmed = |s: &&RankState| s.armed.is_none();
        let safe = |s: &&RankState| unarmed(s) && s.prepared.unwrap_or(0) >= self.target.version;
        if states.iter().flatten().any(|s| safe(&s)) {
            self.blocked = true;
            return self.disarm_all(states);
        }
        let first = states
            .iter()
            .position(|s| s.as_ref().is_some_and(|s| unarmed(&s) && !s.busy));
        match first {
            Some(rank) => Round::single(rank, self.prepare(), self.target.epoch),
            None => Round::default(),
        }
    }

    /// Disarms all ranks, makes them prepare the higher version, and then releases the pass.
    fn disarm_all(&self, states: &[Option<RankState>]) -> Round {
        let mut round = Round::default();
        let mut refusing = 0;
        let epoch = self.target.epoch;
        for (rank, state) in states.iter().enumerate() {
            let Some(state) = state else { continue };
            let task = match state.armed {
                Some(armed) => Task::Disarm {
                    version: armed.version,
                },
                None if state.prepared.unwrap_or(0) >= self.target.version => {
                    refusing += 1;
                    continue;
                }
                None if state.busy => continue,
                None => self.prepare(),
            };
            round.orders.push((rank, Order { task, epoch }));
        }
        let readable = states.len() - usize::from(self.target.unreadable.is_some());
        if refusing == readable {
            let step = self.target.step;
            return Round::single(self.target.held_rank, Task::Go { step }, epoch);
        }
        round
    }

    fn prepare(&self) -> Task {
        Task::Prepare {
            version: self.target.version,
            map: self.target.map.clone(),
        }
    }
}
