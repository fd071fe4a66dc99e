//! Placement for engines that divide the tokens of an expert evenly between its replicas.
//!
//! Answers the load pattern of a demand that shifts within seconds: a few copies at a time, each of
//! them chosen because it shortens the pass, so that the switch can follow soon.

/// Exponent of the load in the objective; a high one follows the most loaded rank, but still shows
/// progress when several ranks are equally loaded.
const POWER: i32 = 8;
/// Ranks with the highest load from which experts are taken.
const HOT_RANKS: usize = 3;
/// Ranks with the least load to which experts are given.
const COOL_RANKS: usize = 8;
/// Heaviest experts of a hot rank that are weighed.
const HOT_EXPERTS: usize = 4;
/// Most changes of one set in one plan.
const MOST_CHANGES: usize = 64;
/// Least improvement of the objective, as a part of it, that counts as progress.
const LEAST_PROGRESS: f64 = 1e-4;

/// Highest load over the mean load of a set that could not be more even.
const EVEN: f64 = 1.0;
/// Least gain of a switch, as the mean over the sets of the highest load over the mean load. Plans
/// that gain less follow the noise of the demand: they double the switches and even nothing out.
pub const MIN_SWITCH_GAIN: f64 = 0.15;
/// Least pace that counts, so that a malformed one divides nothing by zero.
const LEAST_PACE: f64 = 0.1;

/// Experts of each rank of one set.
pub type SetMap = Vec<Vec<u16>>;

/// Limits of a plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Experts that a rank can hold in a set.
    pub slots: usize,
    /// Experts of a set that one plan may copy to a rank.
    pub max_copies: usize,
    /// Least part of the load of an even set by which a copy must lower the highest load.
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
    /// Copies that it takes.
    pub copies: usize,
    /// Highest load over the mean load before, under the given demand.
    pub skew_before: f64,
    /// The same after.
    pub skew_after: f64,
    /// Changes that were tried one after another.
    pub iterations: usize,
}

/// One change: an expert comes to a rank, another may leave it.
#[derive(Debug, Clone, Copy)]
struct Change {
    expert: u16,
    to: usize,
    /// Leaves `to` for good, or goes to `from` in exchange.
    evicts: Option<u16>,
    /// The rank that the expert leaves, if it moves.
    from: Option<usize>,
    /// Whether the evicted expert goes to `from`.
    swaps: bool,
}

impl Change {
    fn copies(&self) -> usize {
        if self.swaps { 2 } else { 1 }
    }
}

struct Draft<'demand> {
    demand: &'demand [f64],
    map: SetMap,
    holders: Vec<Vec<usize>>,
    /// Time that each rank's tokens take, in tokens of a rank of the usual pace.
    loads: Vec<f64>,
    paces: &'demand [f64],
    /// Sum over the ranks of the load over the mean, to the power of the objective.
    power: f64,
    copied: Vec<usize>,
    start: &'demand SetMap,
    mean: f64,
}

/// The highest load over that of an even set. `paces` holds the time that each rank takes for the
/// same work, as a multiple of the usual time.
pub fn compute_skew(demand: &[f64], paces: &[f64], map: &SetMap) -> f64 {
    let draft = Draft::new(demand, paces, map);
    draft.highest() / draft.mean
}

/// Plans one set: `demand` holds the tokens of each expert, `paces` the time that each rank takes
/// for the same work, as a multiple of the usual time.
pub fn plan_set(demand: &[f64], paces: &[f64], map: &SetMap, settings: &Limits) -> Plan {
    let mut draft = Draft::new(demand, paces, map);
    let before = draft.highest() / draft.mean;
    let mut best = (draft.map.clone(), before, 0);
    if before - EVEN < settings.min_gain {
        return Plan {
            map: best.0,
            copies: 0,
            skew_before: before,
            skew_after: before,
            iterations: 0,
        };
    }
    let mut tries = 0;
    while tries < MOST_CHANGES {
        let Some(change) = draft.find_change(settings) else {
            break;
        };
        tries += 1;
        draft.apply(&change);
        let now = draft.highest() / draft.mean;
        let copies = draft.count_copies();
        let wanted = settings.min_gain * copies.saturating_sub(best.2) as f64;
        let gained = best.1 - now;
        if gained >= wanted && gained > 0.0 {
            best = (draft.map.clone(), now, copies);
        } else if best.1 - EVEN < wanted {
            // Not even an even set would be worth this many copies.
            break;
        }
    }
    Plan {
        map: best.0,
        copies: best.2,
        skew_before: before,
        skew_after: best.1,
        iterations: tries,
    }
}

/// The means over the sets of the highest load over the mean load, before and after the plans.
pub fn compute_mean_skews(plans: &[Plan]) -> (f64, f64) {
    let sets = plans.len().max(1) as f64;
    let before: f64 = plans.iter().map(|plan| plan.skew_before).sum();
    let after: f64 = plans.iter().map(|plan| plan.skew_after).sum();
    (before / sets, after / sets)
}

impl<'demand> Draft<'demand> {
    fn new(demand: &'demand [f64], paces: &'demand [f64], map: &'demand SetMap) -> Self {
        let mut holders = vec![Vec::new(); demand.len()];
        for (rank, experts) in map.iter().enumerate() {
            for expert in experts {
                holders[usize::from(*expert)].push(rank);
            }
        }
        assert_eq!(paces.len(), map.len(), "one pace for each rank");
        let total: f64 = demand.iter().sum();
        let speed: f64 = paces.iter().map(|pace| 1.0 / pace.max(LEAST_PACE)).sum();
        let mut draft = Draft {
            demand,
            map: map.clone(),
            holders,
            loads: vec![0.0; map.len()],
            copied: vec![0; map.len()],
            start: map,
            paces,
            power: 0.0,
            mean: (total / speed.max(LEAST_PACE)).max(f64::MIN_POSITIVE),
        };
        for expert in 0..demand.len() {
            draft.put(expert, 1.0);
        }
        draft
    }

    /// Adds the tokens of an expert to its ranks, or takes them away with a sign of -1.
    fn put(&mut self, expert: usize, sign: f64) {
        let share = self.demand[expert] / self.holders[expert].len().max(1) as f64;
        for rank in &self.holders[expert] {
            let load = &mut self.loads[*rank];
            self.power -= (*load / self.mean).powi(POWER);
            *load += sign * share * self.paces[*rank].max(LEAST_PACE);
            self.power += (*load / self.mean).powi(POWER);
        }
    }

    fn highest(&self) -> f64 {
        self.loads.iter().copied().fold(0.0, f64::max)
    }

    /// Adds the objective up anew, so that rounding errors of many trials don't pile up.
    fn sum_power(&mut self) {
        let part = |load: &f64| (load / self.mean).powi(POWER);
        self.power = self.loads.iter().map(part).sum();
    }

    /// Experts of all ranks that they did not have at the start.
    fn count_copies(&self) -> usize {
        self.copied.iter().sum()
    }

    fn rank_order(&self) -> Vec<usize> {
        let mut order: Vec<usize> = (0..self.loads.len()).collect();
        order.sort_by(|a, b| self.loads[*b].total_cmp(&self.loads[*a]));
        order
    }

    /// The change that improves the objective most for each copy.
    fn find_change(&mut self, settings: &Limits) -> Option<Change> {
        let order = self.rank_order();
        self.sum_power();
        let base = self.power;
        let mut best: Option<(f64, Change)> = None;
        for hot in order.iter().take(HOT_RANKS).copied() {
            for expert in self.list_heavy(hot) {
                for cool in order.iter().rev().take(COOL_RANKS).copied() {
                    for change in self.list_changes(expert, hot, cool, settings) {
                        let gain = (base - self.try_change(&change)) / change.copies() as f64;
                        let better = best.as_ref().is_none_or(|(most, _)| gain > *most);
                        if gain > base * LEAST_PROGRESS && better {
                            best = Some((gain, change));
                        }
                    }
                }
            }
        }
        best.map(|(_, change)| change)
    }

    fn list_heavy(&self, rank: usize) -> Vec<u16> {
        let share = |expert: &u16| {
            let expert = usize::from(*expert);
            self.demand[expert] / self.holders[expert].len() as f64
        };
        let mut experts = self.map[rank].clone();
        experts.sort_by(|a, b| share(b).total_cmp(&share(a)));
        experts.truncate(HOT_EXPERTS);
        experts
    }

    fn list_changes(&self, expert: u16, hot: usize, cool: usize, settings: &Limits) -> Vec<Change> {
        let mut changes = Vec::new();
        let has = self.map[cool].contains(&expert);
        if hot == cool || has || !self.may_copy(cool, expert, settings) {
            return changes;
        }
        let change = Change {
            expert,
            to: cool,
            evicts: None,
            from: None,
            swaps: false,
        };
        let from = Some(hot);
        if self.map[cool].len() < settings.slots {
            changes.push(change);
            changes.push(Change { from, ..change });
        }
        for other in &self.map[cool] {
            let evicts = Some(*other);
            if self.holders[usize::from(*other)].len() > 1 {
                changes.push(Change { evicts, ..change });
                changes.push(Change {
                    evicts,
                    from,
                    ..change
                });
            }
            let fits = !self.map[hot].contains(other) && self.may_copy(hot, *other, settings);
            if fits {
                changes.push(Change {
                    evicts,
                    from,
                    swaps: true,
                    ..change
                });
            }
        }
        changes
    }

    fn may_copy(&self, rank: usize, expert: u16, settings: &Limits) -> bool {
        self.start[rank].contains(&expert) || self.copied[rank] < settings.max_copies
    }

    /// The objective after a change, which is taken back.
    fn try_change(&mut self, change: &Change) -> f64 {
        self.shift(change, false);
        let value = self.power;
        self.shift(change, true);
        value
    }

    fn shift(&mut self, change: &Change, back: bool) {
        let expert = usize::from(change.expert);
        self.put(expert, -1.0);
        relocate(
            &mut self.holders[expert],
            change.from,
            Some(change.to),
            back,
        );
        self.put(expert, 1.0);
        if let Some(other) = change.evicts {
            let other = usize::from(other);
            let goes = change.from.filter(|_| change.swaps);
            self.put(other, -1.0);
            relocate(&mut self.holders[other], Some(change.to), goes, back);
            self.put(other, 1.0);
        }
    }

    fn apply(&mut self, change: &Change) {
        self.shift(change, false);
        if let Some(from) = change.from {
            self.remove(from, change.expert);
        }
        if let Some(other) = change.evicts {
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
        if !self.start[rank].contains(&expert) {
            self.copied[rank] += 1;
        }
    }

    fn remove(&mut self, rank: usize, expert: u16) {
        self.map[rank].retain(|e| *e != expert);
        if !self.start[rank].contains(&expert) {
            self.copied[rank] -= 1;
        }
    }
}

/// Moves one holder from a rank to another, or back.
fn relocate(holders: &mut Vec<usize>, from: Option<usize>, to: Option<usize>, back: bool) {
    let (from, to) = if back { (to, from) } else { (from, to) };
    if let Some(from) = from {
        holders.retain(|rank| *rank != from);
    }
    if let Some(to) = to {
        holders.push(to);
    }
}
