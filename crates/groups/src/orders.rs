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

/// Passes between the present one and the one at whose beginning the ranks switch. The orders of a
/// switch normally take less time than these passes, so that the hold stops nothing.
const LEAD_PASSES: u64 = 3;
/// Most passes between the present one and a held one. A later coordinator that keeps clear of
/// this many passes never holds a pass that an earlier one may still release.
pub const MOST_LEAD: u64 = 8;
/// Time after which a rank that has not prepared the map is asked again. The copies of one order
/// take less, and a repeated order costs as much as the first.
const PREPARE_AGAIN: Duration = Duration::from_millis(700);
/// Longest time for all ranks to copy their experts.
const PREPARE_TIME: Duration = Duration::from_secs(6);
/// Holds that may come too late before a switch is given up.
const MOST_HOLDS: u32 = 5;

/// How a switch or a recovery ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Ended {
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
    pub ended: Option<Ended>,
}

impl Round {
    fn end(ended: Ended) -> Round {
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
pub struct Goal {
    /// The rank at which the pass is held: the coordinator's own one.
    pub own: usize,
    /// The group's epoch.
    pub epoch: u64,
    /// Higher than all versions that the ranks have had, and used by no other switch.
    pub version: u64,
    /// Experts by set and rank.
    pub map: Vec<Placement>,
    /// The pass to be held comes after this one: the last that this coordinator held before, and
    /// [`MOST_LEAD`] beyond the pass at which it first saw the group.
    pub floor: u64,
}

/// One switch of a group to a new map.
#[derive(Debug)]
pub struct Switch {
    goal: Goal,
    size: usize,
    phase: Phase,
    begun: Time,
    /// When each rank was last asked to prepare the map.
    asked: Vec<Option<Time>>,
    /// Ranks that have prepared the map.
    ready: Vec<bool>,
    /// Ranks that are armed.
    armed: Vec<bool>,
}

impl Switch {
    /// A switch of a group of `size` ranks.
    pub fn new(goal: Goal, size: usize, now: Time) -> Switch {
        Switch {
            goal,
            size,
            phase: Phase::Preparing,
            begun: now,
            asked: vec![None; size],
            ready: vec![false; size],
            armed: vec![false; size],
        }
    }

    /// Takes in the answer to an order. One that got none is given again in the next round; a
    /// rank that says that it is armed is.
    pub fn hear(&mut self, rank: usize, order: &Order, reply: OrderReply) {
        match (&order.task, reply) {
            (_, OrderReply::Unknown) => self.asked[rank] = None,
            (Task::Arm(_), OrderReply::Holds) => self.armed[rank] = true,
            _ => {}
        }
    }

    /// Whether a rank has to be read again before the next round. What it said before may be old,
    /// but a rank that was prepared or armed for this switch stays so, or refuses the next order.
    pub fn needs(&self, rank: usize) -> bool {
        match self.phase {
            Phase::Preparing => !self.ready[rank],
            Phase::Arming { .. } => !self.armed[rank],
            Phase::Holding { .. } | Phase::Releasing { .. } => rank == self.goal.own,
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
            return Round::end(Ended::Reopened);
        }
        match self.phase {
            Phase::Preparing => self.prepare(seen, now),
            Phase::Holding { step, tries } => self.hold(seen, step, tries),
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
                return Round::end(Ended::Abandoned);
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
            return self.choose_pass(seen, 0);
        }
        if now.since(self.begun) > PREPARE_TIME {
            return Round::end(Ended::Abandoned);
        }
        round
    }

    fn choose_pass(&mut self, seen: &[Option<RankState>], tries: u32) -> Round {
        let Some(own) = &seen[self.goal.own] else {
            return Round::default();
        };
        if tries >= MOST_HOLDS || own.held.is_some() {
            return Round::end(Ended::Abandoned);
        }
        let step = (own.step + LEAD_PASSES).max(self.goal.floor + 1);
        if step > own.step + MOST_LEAD {
            // The pass is too far ahead while the group stands still.
            return Round::default();
        }
        self.phase = Phase::Holding { step, tries };
        Round::one(self.goal.own, Task::Hold { step }, self.goal.epoch)
    }

    fn hold(&mut self, seen: &[Option<RankState>], step: u64, tries: u32) -> Round {
        let Some(own) = &seen[self.goal.own] else {
            return Round::default();
        };
        if own.held == Some(step) {
            self.phase = Phase::Arming { step };
            return self.arm(seen, step);
        }
        if own.step >= step {
            return self.choose_pass(seen, tries + 1);
        }
        Round::one(self.goal.own, Task::Hold { step }, self.goal.epoch)
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
                return Round::end(Ended::Blocked);
            } else {
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

    /// Lets the pass begin. A late copy of the hold may stop it again, which a recovery ends.
    fn release(&mut self, seen: &[Option<RankState>], step: u64) -> Round {
        match &seen[self.goal.own] {
            None => Round::default(),
            Some(own) if own.held == Some(step) => {
                Round::one(self.goal.own, Task::Go { step }, self.goal.epoch)
            }
            Some(_) => Round::end(Ended::Switched),
        }
    }
}

/// The rank at which the earliest held pass is held, and that pass.
pub fn find_hold(states: &[RankState]) -> Option<(usize, u64)> {
    let holds = states.iter().enumerate();
    let holds = holds.filter_map(|(rank, state)| Some((rank, state.held?)));
    holds.min_by_key(|(_, pass)| *pass)
}

/// Ends a switch that its coordinator left unfinished.
#[derive(Debug)]
pub struct Recovery {
    /// The rank at which the pass is held.
    held: usize,
    step: u64,
    epoch: u64,
    /// Higher than all versions that the ranks have had.
    version: u64,
    /// The map in force, by set and rank.
    map: Vec<Placement>,
    /// Whether a rank that was never armed has prepared the higher version.
    blocked: bool,
}

impl Recovery {
    /// A recovery of the pass `step`, held at the rank `held`.
    pub fn new(held: usize, step: u64, epoch: u64, version: u64, map: Vec<Placement>) -> Recovery {
        Recovery {
            held,
            step,
            epoch,
            version,
            map,
            blocked: false,
        }
    }

    /// Looks at the ranks, all read after the last round of orders, and decides what follows.
    pub fn advance(&mut self, seen: &[Option<RankState>]) -> Round {
        if seen.iter().flatten().any(|s| s.epoch != self.epoch) {
            return Round::end(Ended::Reopened);
        }
        let Some(held) = &seen[self.held] else {
            return Round::default();
        };
        if held.held != Some(self.step) {
            return Round::end(Ended::Released);
        }
        // All ranks may also be armed for a later pass, if a hold arrived long after its switch.
        let armed = |s: &Option<RankState>| s.as_ref().and_then(|s| s.armed);
        let all = armed(&seen[self.held]).filter(|a| a.step >= self.step);
        if all.is_some() && seen.iter().all(|s| armed(s) == all) {
            return Round::one(self.held, Task::Go { step: self.step }, self.epoch);
        }
        if !self.blocked {
            return self.block(seen);
        }
        self.clear(seen)
    }

    /// Makes one unarmed rank refuse the switch for good.
    fn block(&mut self, seen: &[Option<RankState>]) -> Round {
        let unarmed = |s: &&RankState| s.armed.is_none();
        let safe = |s: &&RankState| unarmed(s) && s.prepared.unwrap_or(0) >= self.version;
        if seen.iter().flatten().any(|s| safe(&s)) {
            self.blocked = true;
            return self.clear(seen);
        }
        let first = seen
            .iter()
            .position(|s| s.as_ref().is_some_and(|s| unarmed(&s) && !s.busy));
        match first {
            Some(rank) => Round::one(rank, self.prepare(), self.epoch),
            None => Round::default(),
        }
    }

    /// Disarms all ranks, makes them refuse the switch, and then lets the pass begin.
    fn clear(&self, seen: &[Option<RankState>]) -> Round {
        let mut round = Round::default();
        let mut clear = 0;
        for (rank, state) in seen.iter().enumerate() {
            let Some(state) = state else { continue };
            let task = match state.armed {
                Some(armed) => Task::Disarm {
                    version: armed.version,
                },
                None if state.prepared.unwrap_or(0) >= self.version => {
                    clear += 1;
                    continue;
                }
                None if state.busy => continue,
                None => self.prepare(),
            };
            let epoch = self.epoch;
            round.orders.push((rank, Order { task, epoch }));
        }
        if clear == seen.len() {
            return Round::one(self.held, Task::Go { step: self.step }, self.epoch);
        }
        round
    }

    fn prepare(&self) -> Task {
        Task::Prepare {
            version: self.version,
            map: self.map.clone(),
        }
    }
}
