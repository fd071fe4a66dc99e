//! Map switches by engine orders. Guards against a pass in which ranks use different maps, under
//! late, lost and repeated orders, frozen and killed coordinators, and several concurrent
//! coordinators.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use siskinbend_groups::orders::EndReason;
use siskinbend_groups::orders::MAX_LEAD_PASSES;
use siskinbend_groups::orders::Recovery;
use siskinbend_groups::orders::RecoveryTarget;
use siskinbend_groups::orders::Round;
use siskinbend_groups::orders::Switch;
use siskinbend_groups::orders::SwitchTarget;
use siskinbend_groups::orders::find_earliest_hold;
use siskinbend_groups::orders::generate_version;
use siskinbend_site::engine::Armed;
use siskinbend_site::engine::Order;
use siskinbend_site::engine::OrderReply;
use siskinbend_site::engine::RankState;
use siskinbend_site::engine::Task;
use siskinbend_types::Time;

const RANKS: usize = 4;
const COORDINATORS: usize = 3;
const TICKS: u64 = 1_500;
/// Maximum delay of an order in ticks; a pass takes about three.
const MAX_DELAY_TICKS: u64 = 40;

/// Ticks for which a pass is held only if no coordinator ends the switch.
const MAX_HELD_TICKS: u32 = 15;

/// Fault probabilities per tick or per order.
#[derive(Debug, Clone, Copy)]
struct Faults {
    late: f64,
    lost: f64,
    unread: f64,
    frozen: f64,
    killed: f64,
    reopened: f64,
    /// Whether all coordinators lead at the same time. Otherwise only the first one that isn't
    /// frozen leads, and only the first one freezes.
    concurrent_leaders: bool,
    /// Whether the rank of a frozen coordinator is unreachable.
    unreachable: bool,
}

const NO_FAULTS: Faults = Faults {
    late: 0.0,
    lost: 0.0,
    unread: 0.0,
    frozen: 0.0,
    killed: 0.0,
    reopened: 0.0,
    concurrent_leaders: false,
    unreachable: false,
};

const MANY_FAULTS: Faults = Faults {
    late: 0.25,
    lost: 0.15,
    unread: 0.05,
    frozen: 0.01,
    killed: 0.005,
    reopened: 0.001,
    concurrent_leaders: true,
    unreachable: true,
};

#[derive(Debug, Clone, Default)]
struct Rank {
    state: RankState,
    highest: u64,
}

/// A simulated group that follows the documented rules of the engine.
struct Group {
    ranks: Vec<Rank>,
    late: Vec<(u64, usize, Order)>,
    switched: u32,
}

impl Group {
    fn new() -> Group {
        let rank = |rank: usize| Rank {
            state: RankState {
                epoch: 1,
                rank: rank as u16,
                size: RANKS as u16,
                open: true,
                pace: 1.0,
                ..RankState::default()
            },
            highest: 0,
        };
        Group {
            ranks: (0..RANKS).map(rank).collect(),
            late: Vec::new(),
            switched: 0,
        }
    }

    /// Applies an order and returns whether it was accepted.
    fn apply(&mut self, rank: usize, order: &Order) -> bool {
        let Rank { state, highest } = &mut self.ranks[rank];
        if order.epoch != state.epoch {
            return false;
        }
        match &order.task {
            Task::Prepare { version, .. } => {
                let accepted = *version > *highest && state.armed.is_none();
                if accepted {
                    *highest = *version;
                    state.prepared = Some(*version);
                }
                accepted
            }
            Task::Arm(armed) => {
                let accepted = state.prepared == Some(armed.version) && armed.step > state.step;
                if accepted {
                    state.armed = Some(*armed);
                }
                accepted
            }
            Task::Disarm { version } => {
                let accepted = state.armed.is_some_and(|a| a.version == *version);
                if accepted {
                    state.armed = None;
                }
                accepted
            }
            Task::Hold { step } => {
                let free = state.held.is_none_or(|held| held == *step);
                let accepted = free && *step > state.step;
                if accepted {
                    state.held = Some(*step);
                }
                accepted
            }
            Task::Go { step } => {
                let accepted = state.held == Some(*step);
                if accepted {
                    state.held = None;
                }
                accepted
            }
        }
    }

    /// Begins the next pass unless it is held, and asserts that all ranks use the same map.
    fn pass(&mut self, seed: u64) {
        let step = self.ranks[0].state.step + 1;
        if self.ranks.iter().any(|r| r.state.held == Some(step)) {
            return;
        }
        for Rank { state, .. } in &mut self.ranks {
            state.step = step;
            if let Some(Armed { version, .. }) = state.armed.filter(|a| a.step == step) {
                state.map = version;
                state.armed = None;
                state.prepared = None;
            }
        }
        let map = self.ranks[0].state.map;
        for Rank { state, .. } in &self.ranks {
            assert_eq!(
                state.map, map,
                "rank {} in pass {step}, seed {seed}",
                state.rank
            );
        }
    }

    fn is_held(&self) -> bool {
        let step = self.ranks[0].state.step;
        let held = |r: &Rank| r.state.held.is_some_and(|held| held <= step + 1);
        self.ranks.iter().any(held)
    }

    /// Whether a rank other than that of the first coordinator is unarmed.
    fn is_half_armed(&self) -> bool {
        self.ranks[1..].iter().any(|r| r.state.armed.is_none())
    }

    fn reopen(&mut self) {
        for rank in &mut self.ranks {
            rank.state = RankState {
                epoch: rank.state.epoch + 1,
                map: 0,
                prepared: None,
                armed: None,
                held: None,
                ..rank.state.clone()
            };
            rank.highest = 0;
        }
    }
}

#[derive(Default)]
enum Work {
    #[default]
    Idle,
    Switch(Box<Switch>),
    Recovery(Box<Recovery>),
}

struct Coordinator {
    own: usize,
    work: Work,
    floor: Option<(u64, u64)>,
    orphaned_rounds: u32,
    frozen_until: u64,
}

impl Coordinator {
    fn new(own: usize) -> Coordinator {
        Coordinator {
            own,
            work: Work::Idle,
            floor: None,
            orphaned_rounds: 0,
            frozen_until: 0,
        }
    }

    /// Performs one round, as the leader's shell does.
    fn act(&mut self, seen: &[Option<RankState>], version: u64, now: Time) -> Round {
        let round = match &mut self.work {
            Work::Idle => return self.begin(seen, version, now),
            Work::Switch(switch) => {
                let round = switch.advance(seen, now);
                if let (Some((_, floor)), Some(pass)) = (&mut self.floor, switch.held_pass()) {
                    *floor = pass.max(*floor);
                }
                round
            }
            Work::Recovery(recovery) => recovery.advance(seen),
        };
        if round.ended.is_some() {
            self.work = Work::Idle;
        }
        round
    }

    fn begin(&mut self, seen: &[Option<RankState>], version: u64, now: Time) -> Round {
        let unread: Vec<usize> = (0..RANKS).filter(|rank| seen[*rank].is_none()).collect();
        let states: Vec<RankState> = seen.iter().flatten().cloned().collect();
        if unread.len() > 1 {
            return Round::default();
        }
        let epoch = states[0].epoch;
        if let Some((index, step)) = find_earliest_hold(&states) {
            self.orphaned_rounds += 1;
            if self.orphaned_rounds > 2 {
                self.orphaned_rounds = 0;
                let recovery = Recovery::new(RecoveryTarget {
                    held_rank: usize::from(states[index].rank),
                    step,
                    epoch,
                    version,
                    map: Vec::new(),
                    unreadable: unread.first().copied(),
                });
                self.work = Work::Recovery(Box::new(recovery));
            }
            return Round::default();
        }
        if !unread.is_empty() {
            return Round::default();
        }
        self.orphaned_rounds = 0;
        let calm = |s: &RankState| s.armed.is_none() && s.map == states[0].map;
        if !states.iter().all(calm) {
            return Round::default();
        }
        let step = states[0].step;
        let floor = match self.floor {
            Some((known, floor)) if known == epoch => floor,
            _ => step + MAX_LEAD_PASSES,
        };
        self.floor = Some((epoch, floor));
        let target = SwitchTarget {
            own_rank: self.own,
            epoch,
            version,
            map: Vec::new(),
            after_pass: floor,
            ..SwitchTarget::default()
        };
        self.work = Work::Switch(Box::new(Switch::new(target, RANKS, now)));
        Round::default()
    }
}

/// Result of a run.
#[derive(Debug, Default)]
struct Tally {
    /// Completed switches.
    switched: u32,
    /// Times that a pass was held for [`MAX_HELD_TICKS`] while the other ranks were not all armed.
    stalls: u32,
}

/// Runs a group and its coordinators.
fn run(seed: u64, faults: Faults) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut group = Group::new();
    let mut all: Vec<Coordinator> = (0..COORDINATORS).map(Coordinator::new).collect();
    let (mut held_for, mut stalls) = (0, 0);
    for tick in 0..TICKS {
        // The last quarter has no faults, so that every unfinished switch has to end.
        let faults = if tick < TICKS * 3 / 4 {
            faults
        } else {
            NO_FAULTS
        };
        let due: Vec<_> = group.late.extract_if(.., |(at, ..)| *at <= tick).collect();
        for (_, rank, order) in due {
            group.apply(rank, &order);
        }
        if tick % 3 == 0 {
            group.pass(seed);
        }
        let stopped = group.is_held() && group.is_half_armed();
        held_for = if stopped { held_for + 1 } else { 0 };
        stalls += u32::from(held_for == MAX_HELD_TICKS);
        if rng.random_bool(faults.reopened) {
            group.reopen();
        }
        let frozen = all.iter().filter(|c| c.frozen_until > tick).count();
        for leader in &mut all {
            if rng.random_bool(faults.killed) {
                *leader = Coordinator::new(leader.own);
            }
            let leads = faults.concurrent_leaders || (frozen == 0 && leader.own == 0);
            if leads && leader.frozen_until <= tick && rng.random_bool(faults.frozen) {
                leader.frozen_until = tick + rng.random_range(1..60);
            }
        }
        let cut: Vec<bool> = (0..RANKS)
            .map(|rank| faults.unreachable && all.get(rank).is_some_and(|c| c.frozen_until > tick))
            .collect();
        let awake = all.iter_mut().filter(|c| c.frozen_until <= tick);
        for leader in awake.take(if faults.concurrent_leaders {
            COORDINATORS
        } else {
            1
        }) {
            let seen: Vec<Option<RankState>> = group
                .ranks
                .iter()
                .zip(&cut)
                .map(|(r, cut)| (!cut && !rng.random_bool(faults.unread)).then(|| r.state.clone()))
                .collect();
            let states: Vec<RankState> = group.ranks.iter().map(|r| r.state.clone()).collect();
            let version = generate_version(&states, leader.own, rng.random());
            let round = leader.act(&seen, version, Time::from_millis(tick * 20));
            group.switched += u32::from(round.ended == Some(EndReason::Switched));
            for (rank, order) in round.orders.into_iter().filter(|(rank, _)| !cut[*rank]) {
                if rng.random_bool(faults.late) {
                    let at = tick + rng.random_range(1..MAX_DELAY_TICKS);
                    group.late.push((at, rank, order));
                } else if !rng.random_bool(faults.lost) {
                    group.apply(rank, &order);
                }
            }
        }
    }
    let states: Vec<&RankState> = group.ranks.iter().map(|r| &r.state).collect();
    let highest: Vec<u64> = group.ranks.iter().map(|r| r.highest).collect();
    assert!(
        !group.is_held(),
        "a pass is still held at the end of seed {seed}: {states:?} {highest:?}"
    );
    Tally {
        switched: group.switched,
        stalls,
    }
}

/// Guards against switches that never end without any faults.
#[test]
fn switches_end_without_faults() {
    assert!(
        run(1, NO_FAULTS).switched > 20,
        "too few switches without faults"
    );
}

/// Guards against two maps in one pass, and against a pass that stays held forever.
#[test]
fn all_ranks_use_one_map_per_pass() {
    let switched: u32 = (0..400).map(|seed| run(seed, MANY_FAULTS).switched).sum();
    assert!(switched > 400, "only {switched} switches in 400 runs");
}

/// Guards against late orders that are unsafe even with a single leader.
#[test]
fn late_orders_are_safe_with_one_leader() {
    let faults = Faults {
        late: 0.5,
        ..NO_FAULTS
    };
    for seed in 0..200 {
        run(seed, faults);
    }
}

/// Guards against a group that stalls while the VM of its coordinator is frozen. The VM can freeze
/// while a pass is held, and its rank is then unreachable. Recovery has to wait for that rank only
/// if all other ranks are armed, because it may then be armed too.
#[test]
fn frozen_leader_does_not_stop_the_group() {
    let faults = Faults {
        frozen: 0.01,
        unreachable: true,
        ..NO_FAULTS
    };
    let runs: Vec<Tally> = (0..200).map(|seed| run(seed, faults)).collect();
    let stalls: u32 = runs.iter().map(|t| t.stalls).sum();
    let switched: u32 = runs.iter().map(|t| t.switched).sum();
    assert!(switched > 1_000, "only {switched} switches");
    assert_eq!(stalls, 0, "the group stopped during {switched} switches");
}

/// Guards against a recovery that disarms a switch that it hasn't blocked. A switch that began
/// after the recovery has a higher version, and a late disarm order could reach one rank after the
/// pass of that switch was released.
#[test]
fn recovery_does_not_disarm_a_newer_switch() {
    let state = |rank: u16, armed: bool, held: Option<u64>| RankState {
        epoch: 1,
        rank,
        size: RANKS as u16,
        open: true,
        pace: 1.0,
        step: 40,
        prepared: Some(7),
        armed: armed.then_some(Armed {
            version: 7,
            step: 45,
        }),
        held,
        ..RankState::default()
    };
    let mut recovery = Recovery::new(RecoveryTarget {
        held_rank: 1,
        step: 41,
        epoch: 1,
        version: 5,
        map: Vec::new(),
        unreadable: None,
    });
    let seen = [
        Some(state(0, true, None)),
        Some(state(1, false, Some(41))),
        Some(state(2, true, Some(45))),
        Some(state(3, true, None)),
    ];
    let round = recovery.advance(&seen);
    assert_eq!(round.ended, Some(EndReason::Blocked), "{round:?}");
}

/// States of ranks that are at a pass and may have prepared a version.
fn read_group(step: u64, prepared: Option<u64>) -> Vec<Option<RankState>> {
    let state = |rank: usize| RankState {
        epoch: 1,
        rank: rank as u16,
        size: RANKS as u16,
        open: true,
        step,
        prepared,
        ..RankState::default()
    };
    (0..RANKS).map(|rank| Some(state(rank))).collect()
}

/// A switch to version 7 and its hold order, after its preparation took 120 ms and `passes` passes.
/// `reply` is what one rank answers to the prepare order, `order_time` what the orders of the switch
/// before took.
fn prepare_switch(
    passes: u64,
    reply: OrderReply,
    order_time: Option<Duration>,
) -> (Switch, usize, Order) {
    let target = SwitchTarget {
        epoch: 1,
        version: 7,
        order_time,
        ..SwitchTarget::default()
    };
    let mut switch = Switch::new(target, RANKS, Time::default());
    let round = switch.advance(&read_group(40, None), Time::default());
    for (rank, order) in round.orders {
        let answer = if rank == 2 { reply } else { OrderReply::Begun };
        switch.record_reply(rank, &order, answer);
    }
    // The state of a rank that was prepared early shows an earlier pass.
    let round = switch.advance(&read_group(40, Some(7)), Time::from_millis(120));
    assert_eq!(
        round,
        Round::default(),
        "the pass is not chosen by an old state"
    );
    let read: Vec<usize> = (0..RANKS).filter(|rank| switch.needs_read(*rank)).collect();
    let states = read_group(40 + passes, Some(7));
    let round = switch.advance(&states, Time::from_millis(120));
    let (holder, order) = round.orders.into_iter().next().expect("a hold order");
    assert_eq!(read, [holder], "only the rank that holds is read");
    (switch, holder, order)
}

/// The lead that a switch chooses for the held pass.
fn choose_lead(passes: u64, reply: OrderReply) -> u64 {
    match prepare_switch(passes, reply, None).2.task {
        Task::Hold { step: held } => held - (40 + passes),
        task => panic!("no hold: {task:?}"),
    }
}

/// Guards against a hold of a pass that has begun, and is refused, because the rank was prepared
/// long before the others: its pass is read again when all are prepared.
#[test]
fn hold_follows_the_current_pass() {
    let (_, _, order) = prepare_switch(20, OrderReply::Begun, None);
    let Task::Hold { step } = order.task else {
        panic!("no hold: {order:?}");
    };
    assert!(step > 60, "pass {step} has begun");
}

/// Guards against maps that wait for passes although the orders are quick, and against holds that
/// stop a group whose orders are slow: the held pass begins after the time that orders took before.
#[test]
fn lead_follows_order_time() {
    let find_lead = |order_ms: u64| {
        let time = Duration::from_millis(order_ms);
        match prepare_switch(4, OrderReply::Begun, Some(time)).2.task {
            Task::Hold { step } => step - 44,
            task => panic!("no hold: {task:?}"),
        }
    };
    assert_eq!(find_lead(25), 2, "one pass of 30 ms and the current one");
    assert_eq!(find_lead(80), 4, "three passes and the current one");
}

/// Guards against holds that the rank refuses because it has the same hold already: a confirmed hold
/// is not repeated until it should have appeared in the rank's state.
#[test]
fn confirmed_hold_is_not_repeated() {
    let states = read_group(42, Some(7));
    let (mut switch, holder, order) = prepare_switch(2, OrderReply::Begun, None);
    switch.record_reply(holder, &order, OrderReply::Begun);
    let early = switch.advance(&states, Time::from_millis(130));
    assert_eq!(early.orders, [], "the state may be older than the reply");
    let late = switch.advance(&states, Time::from_millis(200));
    assert_eq!(
        late.orders,
        [(holder, order.clone())],
        "it may have been lost"
    );
    switch.record_reply(holder, &order, OrderReply::Unknown);
    let repeated = switch.advance(&states, Time::from_millis(205));
    assert_eq!(repeated.orders, [(holder, order)], "it was not confirmed");
}

/// Guards against a group that stalls at every switch while some orders go unanswered: the repeated
/// orders arrived after the held pass was due.
#[test]
fn lead_allows_for_unanswered_orders() {
    for passes in [1, 2, 4] {
        let pass = 120 / passes;
        let lead = choose_lead(passes, OrderReply::Unknown);
        assert!(
            lead == MAX_LEAD_PASSES || (lead - 1) * pass >= 300,
            "{lead} passes of {pass} ms"
        );
    }
}

/// Guards against switches that stop a group with short passes, and against switches that are
/// delayed unnecessarily in a group with long passes. The orders normally take less than 60 ms.
#[test]
fn lead_follows_pass_duration() {
    for passes in [1, 2, 4, 6] {
        let pass = 120 / passes;
        let lead = choose_lead(passes, OrderReply::Begun);
        assert!((lead - 1) * pass >= 60, "{lead} passes of {pass} ms");
        assert!((lead - 1) * pass < 60 + pass, "{lead} passes of {pass} ms");
    }
    assert_eq!(choose_lead(0, OrderReply::Begun), 2, "the group is idle");
}
