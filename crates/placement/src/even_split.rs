//! Placement for engines that split the tokens of an expert evenly over its replicas.
//!
//! Meant for demand that shifts within seconds: a plan consists of a few copies, each of which
//! shortens the forward pass, so that the switch can follow soon.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Exponent of the load in the objective. A high exponent follows the most loaded rank, but still
/// shows progress when several ranks are equally loaded.
const OBJECTIVE_POWER: i32 = 8;
/// Number of most loaded ranks from which experts are copied or moved.
const HOT_RANKS: usize = 3;
/// Number of least loaded ranks to which experts are copied or moved.
const COLD_RANKS: usize = 8;
/// Number of hottest experts of a hot rank for which changes are evaluated.
const HOT_EXPERTS: usize = 4;
/// Maximum changes of one set in one plan.
const MAX_CHANGES: usize = 64;
/// Minimum relative improvement of the objective that counts as progress.
const MIN_PROGRESS: f64 = 1e-4;

/// Maximum load over mean load of a perfectly even set.
const EVEN_SKEW: f64 = 1.0;
/// Minimum gain of a switch: the reduction of the skew (maximum load over mean load), as a mean
/// over the sets. Plans that gain less follow the noise of the demand: they double the number of
/// switches without balancing the load.
pub const MIN_SWITCH_GAIN: f64 = 0.15;
/// Lower bound on a slowdown, so that a malformed value never causes a division by zero.
const MIN_SLOWDOWN: f64 = 0.1;

/// Time that the copies of one switch may take, unless a single one takes longer. The demand moves
/// on while ranks copy.
const MAX_COPY_TIME: Duration = Duration::from_millis(230);

/// Returns how many experts of all sets one switch may copy to a rank, at least one. A copy time of
/// zero sets no limit.
pub fn find_rank_copies(copy_time: Duration) -> usize {
    let copies = MAX_COPY_TIME.as_micros().checked_div(copy_time.as_micros());
    copies.map_or(usize::MAX, |copies| (copies as usize).max(1))
}

/// The experts of each rank in one set.
pub type SetMap = Vec<Vec<u16>>;

/// Limits of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Experts that a rank can hold in a set.
    pub slots: usize,
    /// Maximum experts of a set that one plan copies to a rank.
    pub max_copies: usize,
    /// Maximum experts of all sets that the plans of one switch copy to a rank. The switch waits for
    /// the rank with the most copies.
    pub rank_copies: usize,
    /// Minimum reduction of the skew by each copy.
    pub min_gain: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slots: 8,
            max_copies: 3,
            rank_copies: usize::MAX,
            min_gain: 0.03,
        }
    }
}

/// A plan for one set.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The new map.
    pub map: SetMap,
    /// Number of copies that the new map requires.
    pub copies: usize,
    /// Maximum load over mean load before the plan, under the given demand.
    pub skew_before: f64,
    /// Maximum load over mean load after the plan.
    pub skew_after: f64,
    /// Number of changes that the search applied, including those after the best map.
    pub iterations: usize,
}

/// One change: an expert is copied or moved to a rank, and another one may leave that rank.
#[derive(Debug, Clone, Copy)]
struct Change {
    expert: u16,
    to: usize,
    /// The expert that leaves `to`; it is dropped, or moves to `from` if the change swaps.
    evicted: Option<u16>,
    /// The rank that the expert leaves; none if it is copied.
    from: Option<usize>,
    /// Whether the evicted expert moves to `from`.
    swaps: bool,
}

impl Change {
    fn copies(&self) -> usize {
        if self.swaps { 2 } else { 1 }
    }
}

struct SetDraft<'demand> {
    /// Tokens of each expert as a multiple of the mean load.
    demand: Vec<f64>,
    map: SetMap,
    holders: Vec<Vec<usize>>,
    /// Time that each rank needs for its tokens, as a multiple of the mean load.
    loads: Vec<f64>,
    /// Each load to the power of [`OBJECTIVE_POWER`]; their sum is the objective.
    powers: Vec<f64>,
    slowdowns: Vec<f64>,
    /// Number of experts on each rank that were not there in the initial map.
    new_experts: Vec<usize>,
    /// Maximum of that number.
    max_experts: Vec<usize>,
    initial: &'demand SetMap,
}

/// Changes of the loads of a few ranks.
#[derive(Debug, Default)]
struct LoadChanges(Vec<(usize, f64)>);

impl LoadChanges {
    fn add(&mut self, rank: usize, load: f64) {
        match self.0.iter_mut().find(|(other, _)| *other == rank) {
            Some((_, sum)) => *sum += load,
            None => self.0.push((rank, load)),
        }
    }
}

/// Maximum load over mean load. `slowdowns` holds the time that each rank needs for the same work,
/// as a multiple of the normal time.
pub fn compute_skew(demand: &[f64], slowdowns: &[f64], map: &SetMap) -> f64 {
    SetDraft::new(demand, slowdowns, map).max_load()
}

/// Plans one set. `demand` holds the tokens of each expert, `slowdowns` the time that each rank
/// needs for the same work, as a multiple of the normal time.
pub fn plan_set(demand: &[f64], slowdowns: &[f64], map: &SetMap, limits: &Limits) -> Plan {
    let used = vec![0; map.len()];
    plan_set_within(demand, slowdowns, map, limits, &used)
}

/// Plans all sets for one switch, the most uneven one first. `demand` holds the tokens of each
/// expert, set by set.
///
/// Copies count by rank over all sets: a switch that brings most of the gain soon, with another one
/// after it, is worth more than a complete one that comes when the demand has moved on.
pub fn plan_sets(demand: &[f64], slowdowns: &[f64], maps: &[SetMap], limits: &Limits) -> Vec<Plan> {
    let experts = demand.len() / maps.len().max(1);
    let demands: Vec<&[f64]> = demand.chunks(experts.max(1)).collect();
    let skew = |set: &usize| compute_skew(demands[*set], slowdowns, &maps[*set]);
    let mut order: Vec<(f64, usize)> = (0..maps.len()).map(|set| (skew(&set), set)).collect();
    order.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut used = vec![0; slowdowns.len()];
    let mut plans: Vec<(usize, Plan)> = Vec::with_capacity(maps.len());
    for (_, set) in order {
        let plan = plan_set_within(demands[set], slowdowns, &maps[set], limits, &used);
        for (used, (new, old)) in used.iter_mut().zip(plan.map.iter().zip(&maps[set])) {
            *used += new.iter().filter(|expert| !old.contains(expert)).count();
        }
        plans.push((set, plan));
    }
    plans.sort_by_key(|(set, _)| *set);
    plans.into_iter().map(|(_, plan)| plan).collect()
}

/// Plans one set after the plans of other sets have used copies of each rank.
fn plan_set_within(
    demand: &[f64],
    slowdowns: &[f64],
    map: &SetMap,
    limits: &Limits,
    used: &[usize],
) -> Plan {
    let mut draft = SetDraft::new(demand, slowdowns, map);
    for (max, used) in draft.max_experts.iter_mut().zip(used) {
        *max = limits
            .max_copies
            .min(limits.rank_copies.saturating_sub(*used));
    }
    let before = draft.max_load();
    let mut best = (draft.map.clone(), before, 0);
    if before - EVEN_SKEW < limits.min_gain {
        return Plan {
            map: best.0,
            copies: 0,
            skew_before: before,
            skew_after: before,
            iterations: 0,
        };
    }
    let mut iterations = 0;
    while iterations < MAX_CHANGES {
        let Some(change) = draft.find_change(limits) else {
            break;
        };
        iterations += 1;
        draft.apply(&change);
        let now = draft.max_load();
        let copies = draft.count_copies();
        let required = limits.min_gain * copies.saturating_sub(best.2) as f64;
        let gained = best.1 - now;
        if gained >= required && gained > 0.0 {
            best = (draft.map.clone(), now, copies);
        } else if best.1 - EVEN_SKEW < required {
            // Even a perfectly even set would not be worth this many copies.
            break;
        }
    }
    Plan {
        map: best.0,
        copies: best.2,
        skew_before: before,
        skew_after: best.1,
        iterations,
    }
}

/// The mean skews (maximum load over mean load) of the sets before and after the plans.
pub fn compute_mean_skews(plans: &[Plan]) -> (f64, f64) {
    let sets = plans.len().max(1) as f64;
    let before: f64 = plans.iter().map(|plan| plan.skew_before).sum();
    let after: f64 = plans.iter().map(|plan| plan.skew_after).sum();
    (before / sets, after / sets)
}

impl<'demand> SetDraft<'demand> {
    fn new(demand: &[f64], slowdowns: &[f64], map: &'demand SetMap) -> Self {
        let mut holders = vec![Vec::new(); demand.len()];
        for (rank, experts) in map.iter().enumerate() {
            for expert in experts {
                holders[usize::from(*expert)].push(rank);
            }
        }
        assert_eq!(slowdowns.len(), map.len(), "one slowdown per rank");
        let slowdowns: Vec<f64> = slowdowns.iter().map(|s| s.max(MIN_SLOWDOWN)).collect();
        let total: f64 = demand.iter().sum();
        let speed: f64 = slowdowns.iter().map(|slowdown| 1.0 / slowdown).sum();
        let mean = (total / speed.max(MIN_SLOWDOWN)).max(f64::MIN_POSITIVE);
        let mut draft = SetDraft {
            demand: demand.iter().map(|tokens| tokens / mean).collect(),
            map: map.clone(),
            holders,
            loads: vec![0.0; map.len()],
            powers: vec![0.0; map.len()],
            new_experts: vec![0; map.len()],
            max_experts: vec![usize::MAX; map.len()],
            initial: map,
            slowdowns,
        };
        draft.recompute_loads();
        draft
    }

    /// Recomputes the loads from the map, so that rounding errors of many changes don't accumulate.
    fn recompute_loads(&mut self) {
        self.loads.fill(0.0);
        for (demand, holders) in self.demand.iter().zip(&self.holders) {
            let share = demand / holders.len().max(1) as f64;
            for rank in holders {
                self.loads[*rank] += share * self.slowdowns[*rank];
            }
        }
        let power = |load: &f64| load.powi(OBJECTIVE_POWER);
        self.powers = self.loads.iter().map(power).collect();
    }

    fn max_load(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    /// Number of experts on all ranks that were not there in the initial map.
    fn count_copies(&self) -> usize {
        self.new_experts.iter().sum()
    }

    fn sort_ranks(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.loads.len()).collect();
        order.sort_by(|a, b| self.loads[*b].total_cmp(&self.loads[*a]));
        order
    }

    /// The change with the highest improvement of the objective per copy.
    fn find_change(&self, limits: &Limits) -> Option<Change> {
        let order = self.sort_ranks();
        let base: f64 = self.powers.iter().sum();
        let mut best: Option<(f64, Change)> = None;
        let mut changes = Vec::new();
        let mut loads = LoadChanges::default();
        for hot in order.iter().take(HOT_RANKS).copied() {
            for expert in self.list_hottest(hot) {
                for cold in order.iter().rev().take(COLD_RANKS).copied() {
                    changes.clear();
                    self.list_changes(expert, hot, cold, limits.slots, &mut changes);
                    for change in changes.iter().copied() {
                        let improvement = self.evaluate_change(&change, &mut loads);
                        let gain = improvement / change.copies() as f64;
                        let better = best.as_ref().is_none_or(|(best_gain, _)| gain > *best_gain);
                        if gain > base * MIN_PROGRESS && better {
                            best = Some((gain, change));
                        }
                    }
                }
            }
        }
        best.map(|(_, change)| change)
    }

    fn list_hottest(&self, rank: usize) -> Vec<u16> {
        let share = |expert: &u16| {
            let expert = usize::from(*expert);
            self.demand[expert] / self.holders[expert].len() as f64
        };
        let mut experts = self.map[rank].clone();
        experts.sort_by(|a, b| share(b).total_cmp(&share(a)));
        experts.truncate(HOT_EXPERTS);
        experts
    }

    fn list_changes(
        &self,
        expert: u16,
        hot: usize,
        cold: usize,
        slots: usize,
        changes: &mut Vec<Change>,
    ) {
        let has = self.map[cold].contains(&expert);
        if hot == cold || has || !self.may_copy(cold, expert) {
            return;
        }
        let change = Change {
            expert,
            to: cold,
            evicted: None,
            from: None,
            swaps: false,
        };
        let from = Some(hot);
        if self.map[cold].len() < slots {
            changes.push(change);
            changes.push(Change { from, ..change });
        }
        for other in &self.map[cold] {
            let evicted = Some(*other);
            if self.holders[usize::from(*other)].len() > 1 {
                changes.push(Change { evicted, ..change });
                changes.push(Change {
                    evicted,
                    from,
                    ..change
                });
            }
            let fits = !self.map[hot].contains(other) && self.may_copy(hot, *other);
            if fits {
                changes.push(Change {
                    evicted,
                    from,
                    swaps: true,
                    ..change
                });
            }
        }
    }

    fn may_copy(&self, rank: usize, expert: u16) -> bool {
        let is_back = self.initial[rank].contains(&expert);
        is_back || self.new_experts[rank] < self.max_experts[rank]
    }

    /// Returns by how much a change lowers the objective. `loads` is only working memory.
    fn evaluate_change(&self, change: &Change, loads: &mut LoadChanges) -> f64 {
        loads.0.clear();
        self.shift_load(change.expert, change.from, Some(change.to), loads);
        if let Some(other) = change.evicted {
            let target = change.from.filter(|_| change.swaps);
            self.shift_load(other, Some(change.to), target, loads);
        }
        let improvement = |(rank, load): &(usize, f64)| {
            self.powers[*rank] - (self.loads[*rank] + load).powi(OBJECTIVE_POWER)
        };
        loads.0.iter().map(improvement).sum()
    }

    /// Adds the changes of loads if an expert leaves one rank and joins another.
    fn shift_load(
        &self,
        expert: u16,
        from: Option<usize>,
        to: Option<usize>,
        loads: &mut LoadChanges,
    ) {
        let demand = self.demand[usize::from(expert)];
        let holders = &self.holders[usize::from(expert)];
        let count = holders.len() + usize::from(to.is_some()) - usize::from(from.is_some());
        let old = demand / holders.len().max(1) as f64;
        let new = demand / count.max(1) as f64;
        for rank in holders {
            let share = if from == Some(*rank) { -old } else { new - old };
            loads.add(*rank, share * self.slowdowns[*rank]);
        }
        if let Some(rank) = to {
            loads.add(rank, new * self.slowdowns[rank]);
        }
    }

    fn apply(&mut self, change: &Change) {
        if let Some(from) = change.from {
            self.remove(from, change.expert);
        }
        if let Some(other) = change.evicted {
            self.remove(change.to, other);
            if let Some(from) = change.from.filter(|_| change.swaps) {
                self.insert(from, other);
            }
        }
        self.insert(change.to, change.expert);
        self.recompute_loads();
    }

    fn insert(&mut self, rank: usize, expert: u16) {
        self.map[rank].push(expert);
        self.map[rank].sort_unstable();
        self.holders[usize::from(expert)].push(rank);
        if !self.initial[rank].contains(&expert) {
            self.new_experts[rank] += 1;
        }
    }

    fn remove(&mut self, rank: usize, expert: u16) {
        self.map[rank].retain(|e| *e != expert);
        self.holders[usize::from(expert)].retain(|holder| *holder != rank);
        if !self.initial[rank].contains(&expert) {
            self.new_experts[rank] -= 1;
        }
    }
}
