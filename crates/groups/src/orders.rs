//! Expert map switch for engines that take orders one by one and know no fencing numbers.
//!
//! An order may be lost, answered late, or carried out seconds later, after newer ones. What makes
//! that safe is the version of a map: a rank that has prepared a higher version refuses every order
//! for a lower one. [`Switch`] arms all ranks for a pass that it holds at one of them, and lets the
//! pass begin only when all are armed. [`Recovery`] ends a switch that was left unfinished: if all
//! ranks are armed it lets the pass begin; otherwise it first makes one unarmed rank prepare a
//! higher version, after which the switch can never be completed, and only then disarms the others.
//!
//! Both are driven by the states that are read from the ranks after each round of orders. The
//! argument is in docs/decisions/0008-map-orders.md.

use std::time::Duration;

use siskinbend_site::engine::Armed;
use siskinbend_site::engine::Order;
use siskinbend_site::engine::OrderReply;
use siskinbend_site::engine::Placement;
use siskinbend_site::engine::RankState;
use siskinbend_site::engine::Task;
use siskinbend_types::Time;

/// Time that the orders of a switch normally take after the hold; the held pass begins later, so
/// that the hold stops nothing.
const ORDERS_TIME: Duration = Duration::from_millis(60);
/// The same if orders go unanswered and have to be repeated.
const REPEATS_TIME: Duration = Duration::from_millis(300);
/// Fewest passes between the present one and the held one.
const LEAST_LEAD: u64 = 2;
/// Most passes between the present one and a held one. A later coordinator that keeps clear of
/// this many passes never holds a pass that an earlier one may still release.
pub const MAX_LEAD_PASSES: u64 = 8;
/// Time after which a rank that has not prepared the map is asked again. The copies of one order
/// take less, and a repeated order costs as much as the first.
const PREPARE_AGAIN: Duration = Duration::from_millis(700);
/// Longest time for all ranks to copy their experts.
const PREPARE_TIME: Duration = Duration::from_secs(6);
/// Holds that may come too late before a switch is given up.
const MOST_HOLDS: u32 = 5;
/// Rounds in which a rank may be unread before a recovery is begun anew, without it.
const MOST_UNREAD: u32 = 5;
/// Lowest bits of a version, which tell the rank of the coordinator that drew it.
const RANK_BITS: u32 = 10;
/// Bits above them that are drawn at random, so that a coordinator that was started anew never
/// uses a version twice.
const RANDOM_BITS: u32 = 18;

/// A version higher than all that the ranks have had, used by no other switch. `coordinator` is the rank
/// that draws it.
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

/// The rank of the coordinator that drew a version, in a group of `size` ranks; `None` if it can't
/// be told.
fn find_coordinator(version: u64, size: usize) -> Option<usize> {
    let coordinator = (version & ((1 << RANK_BITS) - 1)) as usize;
    (size <= 1 << RANK_BITS).then_some(coordinator)
}

/// The rank at which a coordinator holds its passes. It is on another VM than the coordinator, so
/// that the group need not wait for that VM, and no two coordinators have the same one.
fn hold_rank(coordinator: usize, size: usize) -> usize {
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

/// What to do after a look at the ranks.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Round {
    /// Orders to give, by rank.
    pub orders: Vec<(usize, Order)>,
    /// Set once there is nothing more to do.
    pub ended: Option<EndReason>,
}

impl Round {
    fn end(ended: EndReason) -> Round {
        Round {
            ended: Some(ended),
            ..Round::default()
        }
    }

    fn one(rank: usize, task: Task, epoch: u64) -> Round {
        Round {
            orders: vec![(rank, Order { task, epoch })],
            ended: None,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Preparing,
    Holding { step: u64, tries: u32 },
    Arming { step: u64 },
    Releasing { step: u64 },
}

/// What a switch is to bring about.
#[derive(Debug, Clone, PartialEq)]
pub struct SwitchTarget {
    /// The coordinator's own rank.
    pub own_rank: usize,
    /// The group's epoch.
    pub epoch: u64,
    /// Higher than all versions that the ranks have had, and used by no other switch.
    pub version: u64,
    /// Experts by set and rank.
    pub map: Vec<Placement>,
    /// The pass to be held comes after this one: the last that this coordinator held before, and
    /// [`MAX_LEAD_PASSES`] beyond the pass at which it first saw the group.
    pub after_pass: u64,
}

/// One switch of a group to a new map.
#[derive(Debug)]
pub struct Switch {
    goal: SwitchTarget,
    size: usize,
    /// The rank at which the pass is held.
    holder: usize,
    phase: Phase,
    begun: Time,
    /// When each rank was last asked to prepare the map.
    asked: Vec<Option<Time>>,
    /// Ranks that have prepared the map.
    ready: Vec<bool>,
    /// Ranks that are armed.
    armed: Vec<bool>,
    /// Whether an order of this switch got no answer.
    unanswered: bool,
    /// The pass at which the switch began.
    first: Option<u64>,
}

impl Switch {
    /// A switch of a group of `size` ranks.
    pub fn new(goal: SwitchTarget, size: usize, now: Time) -> Switch {
        Switch {
            holder: hold_rank(goal.own_rank, size),
            goal,
            size,
            phase: Phase::Preparing,
            begun: now,
            asked: vec![None; size],
            ready: vec![false; size],
            armed: vec![false; size],
            unanswered: false,
            first: None,
        }
    }

    /// Takes in the answer to an order. One that got none is given again in the next round; a
    /// rank that says that it is armed is.
    pub fn record_reply(&mut self, rank: usize, order: &Order, reply: OrderReply) {
        match (&order.task, reply) {
            (_, OrderReply::Unknown) => {
                self.asked[rank] = None;
                self.unanswered = true;
            }
            (Task::Arm(_), OrderReply::Holds) => self.armed[rank] = true,
            _ => {}
        }
    }

    /// Whether a rank has to be read again before the next round. What it said before may be old,
    /// but a rank that was prepared or armed for this switch stays so, or refuses the next order.
    pub fn needs_read(&self, rank: usize) -> bool {
        match self.phase {
            Phase::Preparing => !self.ready[rank],
            Phase::Arming { .. } => !self.armed[rank],
            Phase::Holding { .. } | Phase::Releasing { .. } => rank == self.holder,
        }
    }

    /// The pass that is or was held, if any.
    pub fn held_pass(&self) -> Option<u64> {
        match self.phase {
            Phase::Preparing => None,
            Phase::Holding { step, .. } | Phase::Arming { step } | Phase::Releasing { step } => {
                Some(step)
            }
        }
    }

    /// Looks at the ranks, all read after the last round of orders, and decides what follows.
    /// `None` stands for a rank that can't be read.
    pub fn advance(&mut self, seen: &[Option<RankState>], now: Time) -> Round {
        let version = self.goal.version;
        assert_eq!(seen.len(), self.size, "ranks for version {version}");
        let epoch = self.goal.epoch;
        if seen.iter().flatten().any(|s| s.epoch != epoch || !s.open) {
            return Round::end(EndReason::Reopened);
        }
        if let Some(holder) = &seen[self.holder] {
            self.first.get_or_insert(holder.step);
        }
        match self.phase {
            Phase::Preparing => self.prepare(seen, now),
            Phase::Holding { step, tries } => self.hold(seen, step, tries, now),
            Phase::Arming { step } => self.arm(seen, step),
            Phase::Releasing { step } => self.release(seen, step),
        }
    }

    fn prepare(&mut self, seen: &[Option<RankState>], now: Time) -> Round {
        let version = self.goal.version;
        let mut round = Round::default();
        for (rank, state) in seen.iter().enumerate() {
            let Some(state) = state else { continue };
            let newest = state.map.max(state.prepared.unwrap_or(0));
            if state.prepared == Some(version) && state.armed.is_none() {
                self.ready[rank] = true;
            } else if newest > version || state.armed.is_some() {
                return Round::end(EndReason::Abandoned);
            } else if self.asked[rank].is_none_or(|at| now.since(at) >= PREPARE_AGAIN) {
                self.asked[rank] = Some(now);
                let task = Task::Prepare {
                    version,
                    map: self.goal.map.clone(),
                };
                let epoch = self.goal.epoch;
                round.orders.push((rank, Order { task, epoch }));
            }
        }
        if self.ready.iter().all(|ready| *ready) {
            return self.choose_pass(seen, 0, now);
        }
        if now.since(self.begun) > PREPARE_TIME {
            return Round::end(EndReason::Abandoned);
        }
        round
    }

    /// Passes between the present one and the held one, by the time that passes took lately.
    fn find_lead(&self, step: u64, now: Time) -> u64 {
        let passes = step.saturating_sub(self.first.unwrap_or(step));
        let pass = now.since(self.begun).as_secs_f64() / passes.max(1) as f64;
        let time = match self.unanswered {
            true => REPEATS_TIME,
            false => ORDERS_TIME,
        };
        // The present pass may end at once.
        let lead = (time.as_secs_f64() / pass.max(f64::MIN_POSITIVE)).ceil() + 1.0;
        (lead as u64).clamp(LEAST_LEAD, MAX_LEAD_PASSES)
    }

    fn choose_pass(&mut self, seen: &[Option<RankState>], tries: u32, now: Time) -> Round {
        let Some(holder) = &seen[self.holder] else {
            return Round::default();
        };
        if tries >= MOST_HOLDS || holder.held.is_some() {
            return Round::end(EndReason::Abandoned);
        }
        let lead = self.find_lead(holder.step, now);
        let step = (holder.step + lead).max(self.goal.after_pass + 1);
        if step > holder.step + MAX_LEAD_PASSES {
            // The pass is too far ahead while the group stands still.
            return Round::default();
        }
        self.phase = Phase::Holding { step, tries };
        Round::one(self.holder, Task::Hold { step }, self.goal.epoch)
    }

    fn hold(&mut self, seen: &[Option<RankState>], step: u64, tries: u32, now: Time) -> Round {
        let Some(holder) = &seen[self.holder] else {
            return Round::default();
        };
        if holder.held == Some(step) {
            self.phase = Phase::Arming { step };
            return self.arm(seen, step);
        }
        if holder.step >= step {
            return self.choose_pass(seen, tries + 1, now);
        }
        Round::one(self.holder, Task::Hold { step }, self.goal.epoch)
    }

    fn arm(&mut self, seen: &[Option<RankState>], step: u64) -> Round {
        let version = self.goal.version;
        let wanted = Armed { version, step };
        let mut round = Round::default();
        for (rank, state) in seen.iter().enumerate() {
            let Some(state) = state.as_ref().filter(|_| !self.armed[rank]) else {
                continue;
            };
            if state.armed == Some(wanted) {
                self.armed[rank] = true;
            } else if state.prepared != Some(version) {
                return Round::end(EndReason::Blocked);
            } else if rank != self.goal.own_rank || self.others_armed() {
                let task = Task::Arm(wanted);
                let epoch = self.goal.epoch;
                round.orders.push((rank, Order { task, epoch }));
            }
        }
        if self.armed.iter().any(|armed| !armed) {
            return round;
        }
        self.phase = Phase::Releasing { step };
        self.release(seen, step)
    }

    /// Whether all ranks but the coordinator's own are armed. Its own is armed last, so that it is
    /// known not to be while another one isn't.
    fn others_armed(&self) -> bool {
        let own = self.goal.own_rank;
        let mut others = self
            .armed
            .iter()
            .enumerate()
            .filter(|(rank, _)| *rank != own);
        others.all(|(_, armed)| *armed)
    }

    /// Lets the pass begin. A late copy of the hold may stop it again, which a recovery ends.
    fn release(&mut self, seen: &[Option<RankState>], step: u64) -> Round {
        match &seen[self.holder] {
            None => Round::default(),
            Some(holder) if holder.held == Some(step) => {
                Round::one(self.holder, Task::Go { step }, self.goal.epoch)
            }
            Some(_) => Round::end(EndReason::Switched),
        }
    }
}

/// The rank at which the earliest held pass is held, and that pass.
pub fn find_earliest_hold(states: &[RankState]) -> Option<(usize, u64)> {
    let holds = states.iter().enumerate();
    let holds = holds.filter_map(|(rank, state)| Some((rank, state.held?)));
    holds.min_by_key(|(_, pass)| *pass)
}

/// Ends a switch that its coordinator left unfinished.
#[derive(Debug)]
pub struct Recovery {
    goal: RecoveryTarget,
    /// Whether a rank that was never armed has prepared the higher version.
    blocked: bool,
    /// Rounds one after another in which a rank could not be read.
    unread: u32,
}

/// What a recovery is to bring about.
#[derive(Debug, Clone, PartialEq)]
pub struct RecoveryTarget {
    /// The rank at which the pass is held.
    pub held_rank: usize,
    /// The pass.
    pub step: u64,
    /// The group's epoch.
    pub epoch: u64,
    /// Higher than all versions that the ranks have had.
    pub version: u64,
    /// A map that no rank has to copy experts for, by set and rank.
    pub map: Vec<Placement>,
    /// A rank that can't be read.
    pub unreadable: Option<usize>,
}

impl Recovery {
    /// A recovery that lets a held pass begin.
    pub fn new(goal: RecoveryTarget) -> Recovery {
        Recovery {
            goal,
            blocked: false,
            unread: 0,
        }
    }

    /// Whether a rank has to be read again before the next round.
    pub fn needs_read(&self, rank: usize) -> bool {
        self.goal.unreadable != Some(rank)
    }

    /// Looks at the ranks, all read after the last round of orders, and decides what follows.
    pub fn advance(&mut self, seen: &[Option<RankState>]) -> Round {
        let RecoveryTarget {
            held_rank: held,
            step,
            epoch,
            ..
        } = self.goal;
        if seen.iter().flatten().any(|s| s.epoch != epoch) {
            return Round::end(EndReason::Reopened);
        }
        let Some(holder) = &seen[held] else {
            return Round::default();
        };
        if holder.held != Some(step) {
            return Round::end(EndReason::Released);
        }
        // All ranks may also be armed for a later pass, if a hold arrived long after its switch.
        let armed = |s: &Option<RankState>| s.as_ref().and_then(|s| s.armed);
        let all = armed(&seen[held]).filter(|a| a.step >= step);
        if all.is_some() && seen.iter().all(|s| armed(s) == all) {
            return Round::one(held, Task::Go { step }, epoch);
        }
        let unread = |(rank, state): (usize, &Option<RankState>)| {
            state.is_none() && self.goal.unreadable != Some(rank)
        };
        self.unread = if seen.iter().enumerate().any(unread) {
            self.unread + 1
        } else {
            0
        };
        let newer = |armed: Armed| armed.version >= self.goal.version;
        let stuck = self.unread >= MOST_UNREAD;
        if stuck || seen.iter().filter_map(armed).any(newer) || !self.may_go_without(seen) {
            return Round::end(EndReason::Blocked);
        }
        if !self.blocked {
            return self.block(seen);
        }
        self.clear(seen)
    }

    /// Whether the rank that can't be read, if any, is certainly not armed for the held pass.
    ///
    /// It is that of the coordinator that holds the pass, which arms itself only after all others;
    /// and one of the others is not armed.
    fn may_go_without(&self, seen: &[Option<RankState>]) -> bool {
        let Some(missing) = self.goal.unreadable else {
            return true;
        };
        let size = seen.len();
        let own_hold = hold_rank(missing, size) == self.goal.held_rank;
        let own_switch = seen.iter().flatten().filter_map(|s| s.armed).all(|armed| {
            armed.step >= self.goal.step && find_coordinator(armed.version, size) == Some(missing)
        });
        let unarmed = seen.iter().flatten().any(|s| s.armed.is_none());
        seen[missing].is_none() && own_hold && own_switch && unarmed
    }

    /// Makes one unarmed rank refuse the switch for good.
    fn block(&mut self, seen: &[Option<RankState>]) -> Round {
        let unarmed = |s: &&RankState| s.armed.is_none();
        let safe = |s: &&RankState| unarmed(s) && s.prepared.unwrap_or(0) >= self.goal.version;
        if seen.iter().flatten().any(|s| safe(&s)) {
            self.blocked = true;
            return self.clear(seen);
        }
        let first = seen
            .iter()
            .position(|s| s.as_ref().is_some_and(|s| unarmed(&s) && !s.busy));
        match first {
            Some(rank) => Round::one(rank, self.prepare(), self.goal.epoch),
            None => Round::default(),
        }
    }

    /// Disarms all ranks, makes them refuse the switch, and then lets the pass begin.
    fn clear(&self, seen: &[Option<RankState>]) -> Round {
        let mut round = Round::default();
        let mut clear = 0;
        let epoch = self.goal.epoch;
        for (rank, state) in seen.iter().enumerate() {
            let Some(state) = state else { continue };
            let task = match state.armed {
                Some(armed) => Task::Disarm {
                    version: armed.version,
                },
                None if state.prepared.unwrap_or(0) >= self.goal.version => {
                    clear += 1;
                    continue;
                }
                None if state.busy => continue,
                None => self.prepare(),
            };
            round.orders.push((rank, Order { task, epoch }));
        }
        let readable = seen.len() - usize::from(self.goal.unreadable.is_some());
        if clear == readable {
            let step = self.goal.step;
            return Round::one(self.goal.held_rank, Task::Go { step }, epoch);
        }
        round
    }

    fn prepare(&self) -> Task {
        Task::Prepare {
            version: self.goal.version,
            map: self.goal.map.clone(),
        }
    }
}
