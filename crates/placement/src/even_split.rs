//! Placement for engines that split the tokens of an expert evenly over its replicas.
//!
//! Meant for demand that shifts within seconds: a plan consists of a few copies, each of which
//! shortens the forward pass, so that the switch can follow soon.

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

/// The experts of each rank in one set.
pub type SetMap = Vec<Vec<u16>>;

/// Limits of a plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Experts that a rank can hold in a set.
    pub slots: usize,
    /// Maximum experts of a set that one plan copies to a rank.
    pub max_copies: usize,
    /// Minimum reduction of the skew by each copy.
    pub min_gain: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slots: 8,
            max_copies: 3,
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
    demand: &'demand [f64],
    map: SetMap,
    holders: Vec<Vec<usize>>,
    /// Time that each rank needs for its tokens, in tokens of a rank with a slowdown of 1.
    loads: Vec<f64>,
    slowdowns: &'demand [f64],
    /// Sum over the ranks of (load / mean load) ^ [`OBJECTIVE_POWER`].
    objective: f64,
    /// Number of experts on each rank that were not there in the initial map.
    new_experts: Vec<usize>,
    initial: &'demand SetMap,
    mean: f64,
}

/// Maximum load over mean load. `slowdowns` holds the time that each rank needs for the same work,
/// as a multiple of the normal time.
pub fn compute_skew(demand: &[f64], slowdowns: &[f64], map: &SetMap) -> f64 {
    let draft = SetDraft::new(demand, slowdowns, map);
    draft.max_load() / draft.mean
}

/// Plans one set. `demand` holds the tokens of each expert, `slowdowns` the time that each rank
/// needs for the same work, as a multiple of the normal time.
pub fn plan_set(demand: &[f64], slowdowns: &[f64], map: &SetMap, limits: &Limits) -> Plan {
    let mut draft = SetDraft::new(demand, slowdowns, map);
    let before = draft.max_load() / draft.mean;
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
        let now = draft.max_load() / draft.mean;
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
    fn new(demand: &'demand [f64], slowdowns: &'demand [f64], map: &'demand SetMap) -> Self {
        let mut holders = vec![Vec::new(); demand.len()];
        for (rank, experts) in map.iter().enumerate() {
            for expert in experts {
                holders[usize::from(*expert)].push(rank);
            }
        }
        assert_eq!(slowdowns.len(), map.len(), "one slowdown per rank");
        let total: f64 = demand.iter().sum();
        let speed: f64 = slowdowns
            .iter()
            .map(|slowdown| 1.0 / slowdown.max(MIN_SLOWDOWN))
            .sum();
        let mut draft = SetDraft {
            demand,
            map: map.clone(),
            holders,
            loads: vec![0.0; map.len()],
            new_experts: vec![0; map.len()],
            initial: map,
            slowdowns,
            objective: 0.0,
            mean: (total / speed.max(MIN_SLOWDOWN)).max(f64::MIN_POSITIVE),
        };
        for expert in 0..demand.len() {
            draft.add_loads(expert, 1.0);
        }
        draft
    }

    /// Adds the load of an expert to its ranks, or subtracts it with a sign of -1.
    fn add_loads(&mut self, expert: usize, sign: f64) {
        let share = self.demand[expert] / self.holders[expert].len().max(1) as f64;
        for rank in &self.holders[expert] {
            let load = &mut self.loads[*rank];
            self.objective -= (*load / self.mean).powi(OBJECTIVE_POWER);
            *load += sign * share * self.slowdowns[*rank].max(MIN_SLOWDOWN);
            self.objective += (*load / self.mean).powi(OBJECTIVE_POWER);
        }
    }

    fn max_load(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    /// Recomputes the objective from the loads, so that rounding errors of many evaluations don't
    /// accumulate.
    fn recompute_objective(&mut self) {
        let part = |load: &f64| (load / self.mean).powi(OBJECTIVE_POWER);
        self.objective = self.loads.iter().map(part).sum();
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
    fn find_change(&mut self, limits: &Limits) -> Option<Change> {
        let order = self.sort_ranks();
        self.recompute_objective();
        let base = self.objective;
        let mut best: Option<(f64, Change)> = None;
        for hot in order.iter().take(HOT_RANKS).copied() {
            for expert in self.list_hottest(hot) {
                for cold in order.iter().rev().take(COLD_RANKS).copied() {
                    for change in self.list_changes(expert, hot, cold, limits) {
                        let gain = (base - self.evaluate_change(&change)) / change.copies() as f64;
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

    fn list_changes(&self, expert: u16, hot: usize, cold: usize, limits: &Limits) -> Vec<Change> {
        let mut changes = Vec::new();
        let has = self.map[cold].contains(&expert);
        if hot == cold || has || !self.may_copy(cold, expert, limits) {
            return changes;
        }
        let change = Change {
            expert,
            to: cold,
            evicted: None,
            from: None,
            swaps: false,
        };
        let from = Some(hot);
        if self.map[cold].len() < limits.slots {
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
            let fits = !self.map[hot].contains(other) && self.may_copy(hot, *other, limits);
            if fits {
                changes.push(Change {
                    evicted,
                    from,
                    swaps: true,
                    ..change
                });
            }
        }
        changes
    }

    fn may_copy(&self, rank: usize, expert: u16, limits: &Limits) -> bool {
        self.initial[rank].contains(&expert) || self.new_experts[rank] < limits.max_copies
    }

    /// Returns the objective after a change. The draft is left unchanged.
    fn evaluate_change(&mut self, change: &Change) -> f64 {
        self.move_loads(change, false);
        let value = self.objective;
        self.move_loads(change, true);
        value
    }

    fn move_loads(&mut self, change: &Change, undo: bool) {
        let expert = usize::from(change.expert);
        self.add_loads(expert, -1.0);
        relocate(
            &mut self.holders[expert],
            change.from,
            Some(change.to),
            undo,
        );
        self.add_loads(expert, 1.0);
        if let Some(other) = change.evicted {
            let other = usize::from(other);
            let target = change.from.filter(|_| change.swaps);
            self.add_loads(other, -1.0);
            relocate(&mut self.holders[other], Some(change.to), target, undo);
            self.add_loads(other, 1.0);
        }
    }

    fn apply(&mut self, change: &Change) {
        self.move_loads(change, false);
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
    }

    fn insert(&mut self, rank: usize, expert: u16) {
        self.map[rank].push(expert);
        self.map[rank].sort_unstable();
        if !self.initial[rank].contains(&expert) {
            self.new_experts[rank] += 1;
        }
    }

    fn remove(&mut self, rank: usize, expert: u16) {
        self.map[rank].retain(|e| *e != expert);
        if !self.initial[rank].contains(&expert) {
            self.new_experts[rank] -= 1;
        }
    }
}

/// Replaces one holder by another, or undoes the replacement.
fn relocate(holders: &mut Vec<usize>, from: Option<usize>, to: Option<usize>, undo: bool) {
    let (from, to) = if undo { (to, from) } else { (from, to) };
    if let Some(from) = from {
        holders.retain(|rank| *rank != from);
    }
    if let Some(to) = to {
        holders.push(to);
    }
}
