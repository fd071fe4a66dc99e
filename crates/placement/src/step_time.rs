//! Expected step time of one layer, and how much a move of a replica would save.

use crate::counts::LayerDemand;
use crate::map::LayerMap;
use crate::map::Shape;
use crate::split::LayerDraft;
use crate::split::ReplicaLoad;

/// Balancing passes over a whole layer after a move is applied.
const BALANCE_PASSES: usize = 4;
/// Balancing passes over the experts affected by a move while it is evaluated.
const TRIAL_PASSES: usize = 2;
/// Target ranks that are evaluated for a new replica.
const MAX_TARGET_RANKS: usize = 3;
/// Slowest ranks, and hottest experts on each of them, for which moves are evaluated.
const HOT_RANKS: usize = 4;
const HOT_EXPERTS: usize = 3;
/// Lower bound on the standard deviation of an estimated rank load. Keeps the comparison finite for
/// a group with few counts.
const MIN_DEVIATION: f64 = 1e-3;

/// One move of a plan: a rank loads an expert into a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ReplicaMove {
    pub expert: usize,
    /// The rank that loads the expert.
    pub rank: u16,
    /// The expert whose replica on that rank is removed.
    pub evicted: Option<usize>,
    /// The rank that the evicted expert moves to in exchange, if it has no other replica.
    pub exchange_rank: Option<u16>,
}

impl ReplicaMove {
    /// Number of replicas that have to be loaded.
    pub fn count_loads(&self) -> u64 {
        1 + u64::from(self.exchange_rank.is_some())
    }
}

/// A layer under its estimated demand, changed move by move while a plan is made.
pub(crate) struct StepTimeModel<'a> {
    pub draft: LayerDraft,
    speeds: &'a [f64],
    /// Relative variance of each expert's estimate.
    relative_variance: Vec<f64>,
    /// Experts on each rank.
    hosted: Vec<Vec<usize>>,
    slots: usize,
    /// Inverse of each rank's load in an even layer.
    scales: Vec<f64>,
    /// Sharpness of the soft maximum over the ranks.
    sharpness: f64,
}

impl<'a> StepTimeModel<'a> {
    pub fn new(
        shape: Shape,
        map: &LayerMap,
        layer: &LayerDemand,
        speeds: &'a [f64],
    ) -> StepTimeModel<'a> {
        let ranks = usize::from(shape.ranks);
        let relative = |(variance, mean): (f64, &f64)| match *mean > 0.0 {
            true => variance / (mean * mean),
            false => 0.0,
        };
        let relative_variance: Vec<f64> = layer
            .error_variance
            .iter()
            .copied()
            .zip(&layer.planned)
            .map(relative)
            .collect();
        let total_variance = layer
            .error_variance
            .iter()
            .zip(&layer.variance)
            .map(|(e, v)| e + v);
        let noise = total_variance.zip(&layer.planned).map(relative).collect();
        let draft = LayerDraft::from_map(map, &layer.planned, noise, ranks);
        let mut hosted = vec![Vec::new(); ranks];
        for (expert, parts) in draft.experts.iter().enumerate() {
            for part in parts {
                hosted[usize::from(part.rank)].push(expert);
            }
        }
        let total: f64 = layer.planned.iter().sum();
        let even = total / speeds.iter().sum::<f64>();
        // If all ranks have the same standard deviation, the bound in `expected_time` is tightest
        // at this sharpness: the maximum of n normal variables lies about sqrt(2 ln n) standard
        // deviations above their mean.
        let mean_variance: f64 = draft.variances.iter().sum::<f64>() / ranks as f64;
        let deviation = ((mean_variance + even).max(f64::MIN_POSITIVE) / (even * even)).sqrt();
        StepTimeModel {
            speeds,
            relative_variance,
            hosted,
            slots: usize::from(shape.slots),
            scales: speeds.iter().map(|s| 1.0 / (s * even)).collect(),
            sharpness: (2.0 * f64::from(shape.ranks).ln().max(1.0)).sqrt() / deviation,
            draft,
        }
    }

    /// Load over speed of a rank, relative to a perfectly even layer.
    pub fn relative_load(&self, rank: usize) -> f64 {
        self.draft.loads[rank] * self.scales[rank]
    }

    /// Expected time of the slowest rank, relative to an even layer without noise.
    ///
    /// Models the loads as normal variables whose variance comes from counting and from the noise
    /// of the experts' demand. The mean of their maximum is at most
    /// `ln(sum(exp(b * l + b^2 * v / 2))) / b` for loads `l`, variances `v` and any sharpness `b`.
    /// This soft maximum also falls when the second slowest rank is relieved, so a plan doesn't get
    /// stuck where several ranks are equally slow.
    pub fn expected_time(&self) -> f64 {
        let ranks = self.draft.loads.iter().zip(&self.draft.variances);
        let exponent = |((load, noise), scale): ((&f64, &f64), &f64)| {
            let variance = (noise + load) * scale * scale;
            self.sharpness * (load * scale + self.sharpness * variance / 2.0)
        };
        let exponents: Vec<f64> = ranks.zip(&self.scales).map(exponent).collect();
        let top = exponents.iter().copied().fold(0.0, f64::max);
        let sum: f64 = exponents.iter().map(|e| (e - top).exp()).sum();
        (top + sum.ln()) / self.sharpness
    }

    /// Returns how far the most loaded rank is above an even load, in standard deviations of the
    /// estimate, and the mean over all ranks of the squared deviations.
    pub fn compute_deviations(&self) -> (f64, f64) {
        let count = self.draft.loads.len();
        let (mut highest, mut sum) = (0.0f64, 0.0);
        for rank in 0..count {
            let deviations = (self.relative_load(rank) - 1.0) / self.estimate_deviation(rank);
            highest = highest.max(deviations);
            sum += deviations * deviations;
        }
        (highest, sum / count as f64)
    }

    /// Standard deviation of the estimated relative load of a rank.
    fn estimate_deviation(&self, rank: usize) -> f64 {
        let variance =
            |expert: &usize| self.tokens(*expert, rank).powi(2) * self.relative_variance[*expert];
        let sum: f64 = self.hosted[rank].iter().map(variance).sum();
        (sum.sqrt() * self.scales[rank]).max(MIN_DEVIATION)
    }

    /// Tokens per step of an expert on a rank.
    fn tokens(&self, expert: usize, rank: usize) -> f64 {
        let parts = &self.draft.experts[expert];
        let part = parts.iter().find(|p| usize::from(p.rank) == rank);
        part.map_or(0.0, |p| p.tokens)
    }

    /// Balances the shares of all experts.
    pub fn balance_shares(&mut self) {
        self.draft.balance(self.speeds, BALANCE_PASSES);
        self.draft.recompute_loads();
    }

    /// The experts whose relief would save most time: the hottest ones on the slowest ranks, each
    /// with that rank.
    pub fn list_hottest(&self) -> Vec<(usize, u16)> {
        let mut ranks: Vec<usize> = (0..self.draft.loads.len()).collect();
        ranks.sort_by(|a, b| self.relative_load(*b).total_cmp(&self.relative_load(*a)));
        let mut hot: Vec<(usize, u16)> = Vec::new();
        for rank in ranks.into_iter().take(HOT_RANKS) {
            let mut experts = self.hosted[rank].clone();
            experts.sort_by(|a, b| self.tokens(*b, rank).total_cmp(&self.tokens(*a, rank)));
            for expert in experts.into_iter().take(HOT_EXPERTS) {
                if hot.iter().all(|(e, _)| *e != expert) {
                    hot.push((expert, rank as u16));
                }
            }
        }
        hot
    }

    /// The slowest rank that holds an expert.
    pub fn find_slowest(&self, expert: usize) -> u16 {
        let ranks = self.draft.experts[expert].iter().map(|p| p.rank);
        let level = |rank: &u16| self.relative_load(usize::from(*rank));
        ranks
            .max_by(|a, b| level(a).total_cmp(&level(b)))
            .unwrap_or(0)
    }

    /// Evaluates the moves that relieve one of the experts and returns the best one with the
    /// expected time after it.
    pub fn find_best_move(&mut self, hot: &[(usize, u16)]) -> Option<(ReplicaMove, f64)> {
        let mut cold: Vec<u16> = (0..self.draft.loads.len() as u16).collect();
        cold.sort_by(|a, b| {
            let level = |rank: &u16| self.relative_load(usize::from(*rank));
            level(a).total_cmp(&level(b))
        });
        let mut best: Option<(ReplicaMove, f64)> = None;
        for (expert, from) in hot {
            let changes: Vec<ReplicaMove> = cold
                .iter()
                .filter(|rank| **rank != *from && !self.hosts(*expert, **rank))
                .filter_map(|rank| self.propose_move(*expert, *from, *rank))
                .take(MAX_TARGET_RANKS)
                .collect();
            for change in changes {
                let time = self.evaluate_move(&change);
                // A faster move with more loads must shorten the time in proportion to its loads.
                if best.is_none_or(|(current, shortest)| {
                    time * change.count_loads() as f64 <= shortest * current.count_loads() as f64
                        && time < shortest
                }) {
                    best = Some((change, time));
                }
            }
        }
        best
    }

    fn hosts(&self, expert: usize, rank: u16) -> bool {
        self.draft.experts[expert].iter().any(|p| p.rank == rank)
    }

    /// The cheapest move that places an expert on a rank: into an unused slot, else into the slot
    /// of the least loaded replica that isn't the last one of its expert, else by an exchange.
    fn propose_move(&self, expert: usize, from: u16, rank: u16) -> Option<ReplicaMove> {
        let on = &self.hosted[usize::from(rank)];
        let change = ReplicaMove {
            expert,
            rank,
            evicted: None,
            exchange_rank: None,
        };
        if on.len() < self.slots {
            return Some(change);
        }
        let find_coldest = |may_evict: &dyn Fn(usize) -> bool| {
            let tokens = |e: &usize| self.tokens(*e, usize::from(rank));
            on.iter()
                .copied()
                .filter(|e| may_evict(*e))
                .min_by(|a, b| tokens(a).total_cmp(&tokens(b)))
        };
        if let Some(cold) = find_coldest(&|e| self.draft.experts[e].len() > 1) {
            return Some(ReplicaMove {
                evicted: Some(cold),
                ..change
            });
        }
        let cold = find_coldest(&|e| !self.hosts(e, from))?;
        Some(ReplicaMove {
            evicted: Some(cold),
            exchange_rank: Some(from),
            ..change
        })
    }

    /// Returns the expected time after a move. The layer is left unchanged.
    fn evaluate_move(&mut self, change: &ReplicaMove) -> f64 {
        let mut near: Vec<usize> = self.hosted[usize::from(change.rank)].clone();
        let from = self.find_slowest(change.expert);
        near.extend(&self.hosted[usize::from(from)]);
        // An expert with a single replica has nothing to split.
        near.retain(|e| self.draft.experts[*e].len() > 1);
        near.extend(change.evicted);
        near.push(change.expert);
        near.sort_unstable();
        near.dedup();
        let saved: Vec<(usize, Vec<ReplicaLoad>)> = near
            .iter()
            .map(|e| (*e, self.draft.experts[*e].clone()))
            .collect();
        let loads = self.draft.loads.clone();
        let variances = self.draft.variances.clone();
        self.update_replicas(change);
        for _ in 0..TRIAL_PASSES {
            for expert in &near {
                self.draft.split_expert(*expert, self.speeds);
            }
        }
        let time = self.expected_time();
        for (expert, replicas) in saved {
            self.draft.experts[expert] = replicas;
        }
        self.draft.loads = loads;
        self.draft.variances = variances;
        time
    }

    /// Applies a move and balances the shares.
    pub fn apply(&mut self, change: &ReplicaMove) {
        self.update_replicas(change);
        let target = usize::from(change.rank);
        if let Some(cold) = change.evicted {
            self.hosted[target].retain(|e| *e != cold);
            if let Some(exchange_rank) = change.exchange_rank {
                let from = &mut self.hosted[usize::from(exchange_rank)];
                from.retain(|e| *e != change.expert);
                from.push(cold);
            }
        }
        self.hosted[target].push(change.expert);
        self.balance_shares();
    }

    /// Updates the replicas and loads of the experts of a move, without balancing the shares.
    fn update_replicas(&mut self, change: &ReplicaMove) {
        if let Some(cold) = change.evicted {
            let freed = self.draft.remove_replica(cold, change.rank);
            match change.exchange_rank {
                Some(exchange_rank) => self.draft.add_replica(cold, exchange_rank, freed),
                None => {
                    let first = self.draft.experts[cold][0].rank;
                    let replicas = self.draft.remove_replica(cold, first);
                    self.draft.add_replica(cold, first, replicas + freed);
                    self.draft.split_expert(cold, self.speeds);
                }
            }
        }
        let moved = change
            .exchange_rank
            .map_or(0.0, |b| self.draft.remove_replica(change.expert, b));
        self.draft.add_replica(change.expert, change.rank, moved);
    }
}
