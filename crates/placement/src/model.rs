//! Expected step time of one layer, and what a step towards another placement would save.

use crate::counts::LayerDemand;
use crate::map::LayerMap;
use crate::map::Shape;
use crate::split::Draft;
use crate::split::Part;

/// Passes over a whole layer after a step was taken.
const LEVEL_SWEEPS: usize = 4;
/// Passes over the experts near a step while it is weighed.
const TRIAL_SWEEPS: usize = 2;
/// Ranks that are weighed as targets of a replica.
const TARGETS: usize = 3;
/// Ranks and experts on each of them that are weighed for relief.
const HOT_RANKS: usize = 4;
const HOT_EXPERTS: usize = 3;
/// Least deviation of an estimated rank level, so that a group with few counts can be compared.
const LEAST_DEVIATION: f64 = 1e-3;

/// One step of a plan: a rank takes an expert into a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Step {
    pub expert: usize,
    /// The rank that loads the expert.
    pub rank: u16,
    /// The expert that gives up its slot there.
    pub evicts: Option<usize>,
    /// The rank with which the two experts are exchanged, if the evicted one has no other replica.
    pub back: Option<u16>,
}

impl Step {
    /// Replicas that are loaded.
    pub fn count_loads(&self) -> u64 {
        1 + u64::from(self.back.is_some())
    }
}

/// A layer under its estimated demand while a plan is made.
pub(crate) struct Model<'a> {
    pub draft: Draft,
    speeds: &'a [f64],
    /// Relative variance of each expert's estimate.
    errors: Vec<f64>,
    /// Experts on each rank.
    hosted: Vec<Vec<usize>>,
    slots: usize,
    /// Inverse of each rank's load in an even layer.
    scales: Vec<f64>,
    /// Sharpness of the expected maximum.
    beta: f64,
}

impl<'a> Model<'a> {
    pub fn new(shape: Shape, map: &LayerMap, layer: &LayerDemand, speeds: &'a [f64]) -> Model<'a> {
        let ranks = usize::from(shape.ranks);
        let relative = |(variance, mean): (f64, &f64)| match *mean > 0.0 {
            true => variance / (mean * mean),
            false => 0.0,
        };
        let errors: Vec<f64> = layer
            .error_variance
            .iter()
            .copied()
            .zip(&layer.planned)
            .map(relative)
            .collect();
        let both = layer
            .error_variance
            .iter()
            .zip(&layer.variance)
            .map(|(e, v)| e + v);
        let noise = both.zip(&layer.planned).map(relative).collect();
        let draft = Draft::from_map(map, &layer.planned, noise, ranks);
        let mut hosted = vec![Vec::new(); ranks];
        for (expert, parts) in draft.experts.iter().enumerate() {
            for part in parts {
                hosted[usize::from(part.rank)].push(expert);
            }
        }
        let total: f64 = layer.planned.iter().sum();
        let even = total / speeds.iter().sum::<f64>();
        // The bound is tightest at this value if all ranks have the same deviation: the highest of
        // n normal variables lies about sqrt(2 ln n) deviations above their mean.
        let spread: f64 = draft.spreads.iter().sum::<f64>() / ranks as f64;
        let deviation = ((spread + even).max(f64::MIN_POSITIVE) / (even * even)).sqrt();
        Model {
            speeds,
            errors,
            hosted,
            slots: usize::from(shape.slots),
            scales: speeds.iter().map(|s| 1.0 / (s * even)).collect(),
            beta: (2.0 * f64::from(shape.ranks).ln().max(1.0)).sqrt() / deviation,
            draft,
        }
    }

    /// Load over speed of a rank, relative to that of a perfectly even layer.
    pub fn level(&self, rank: usize) -> f64 {
        self.draft.loads[rank] * self.scales[rank]
    }

    /// Expected time of the slowest rank, relative to an even layer without noise.
    ///
    /// The loads are normal variables whose variance comes from counting and from the noise of the
    /// experts' demand; the mean of their maximum is at most `ln(sum exp(b l + b2 v / 2)) / b` for
    /// any `b`. The soft maximum also credits relief of the second slowest rank, so that a plan
    /// doesn't stop where several ranks are equally slow.
    pub fn time(&self) -> f64 {
        let ranks = self.draft.loads.iter().zip(&self.draft.spreads);
        let exponent = |((load, spread), scale): ((&f64, &f64), &f64)| {
            let variance = (spread + load) * scale * scale;
            self.beta * (load * scale + self.beta * variance / 2.0)
        };
        let exponents: Vec<f64> = ranks.zip(&self.scales).map(exponent).collect();
        let top = exponents.iter().copied().fold(0.0, f64::max);
        let sum: f64 = exponents.iter().map(|e| (e - top).exp()).sum();
        (top + sum.ln()) / self.beta
    }

    /// Deviations of the estimate by which the highest rank is above an even load, and the mean over
    /// all ranks of their square.
    pub fn compare_ranks(&self) -> (f64, f64) {
        let count = self.draft.loads.len();
        let (mut highest, mut sum) = (0.0f64, 0.0);
        for rank in 0..count {
            let deviations = (self.level(rank) - 1.0) / self.find_deviation(rank);
            highest = highest.max(deviations);
            sum += deviations * deviations;
        }
        (highest, sum / count as f64)
    }

    /// Deviation of the estimated level of a rank.
    fn find_deviation(&self, rank: usize) -> f64 {
        let variance = |expert: &usize| self.tokens(*expert, rank).powi(2) * self.errors[*expert];
        let sum: f64 = self.hosted[rank].iter().map(variance).sum();
        (sum.sqrt() * self.scales[rank]).max(LEAST_DEVIATION)
    }

    /// Tokens a step of an expert on a rank.
    fn tokens(&self, expert: usize, rank: usize) -> f64 {
        let parts = &self.draft.experts[expert];
        let part = parts.iter().find(|p| usize::from(p.rank) == rank);
        part.map_or(0.0, |p| p.tokens)
    }

    /// Levels the shares of all experts.
    pub fn level_shares(&mut self) {
        self.draft.level(self.speeds, LEVEL_SWEEPS);
        self.draft.sum_loads();
    }

    /// The experts whose relief would help most: the largest on the slowest ranks.
    pub fn list_hot(&self) -> Vec<(usize, u16)> {
        let mut ranks: Vec<usize> = (0..self.draft.loads.len()).collect();
        ranks.sort_by(|a, b| self.level(*b).total_cmp(&self.level(*a)));
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
        let level = |rank: &u16| self.level(usize::from(*rank));
        ranks
            .max_by(|a, b| level(a).total_cmp(&level(b)))
            .unwrap_or(0)
    }

    /// Weighs the steps that relieve one of the experts and returns the best with the time after.
    pub fn find_best(&mut self, hot: &[(usize, u16)]) -> Option<(Step, f64)> {
        let mut cold: Vec<u16> = (0..self.draft.loads.len() as u16).collect();
        cold.sort_by(|a, b| {
            let level = |rank: &u16| self.level(usize::from(*rank));
            level(a).total_cmp(&level(b))
        });
        let mut best: Option<(Step, f64)> = None;
        for (expert, from) in hot {
            let steps: Vec<Step> = cold
                .iter()
                .filter(|rank| **rank != *from && !self.hosts(*expert, **rank))
                .filter_map(|rank| self.propose(*expert, *from, *rank))
                .take(TARGETS)
                .collect();
            for step in steps {
                let time = self.try_step(&step);
                // Of two steps with the same saving, the one with fewer loads is the better one.
                if best.is_none_or(|(held, least)| {
                    time * step.count_loads() as f64 <= least * held.count_loads() as f64
                        && time < least
                }) {
                    best = Some((step, time));
                }
            }
        }
        best
    }

    fn hosts(&self, expert: usize, rank: u16) -> bool {
        self.draft.experts[expert].iter().any(|p| p.rank == rank)
    }

    /// The cheapest step that brings an expert to a rank: an unused slot, else the slot of the
    /// least used replica that isn't the last of its expert, else an exchange.
    fn propose(&self, expert: usize, from: u16, rank: u16) -> Option<Step> {
        let on = &self.hosted[usize::from(rank)];
        let step = Step {
            expert,
            rank,
            evicts: None,
            back: None,
        };
        if on.len() < self.slots {
            return Some(step);
        }
        let least = |wanted: &dyn Fn(usize) -> bool| {
            let tokens = |e: &usize| self.tokens(*e, usize::from(rank));
            on.iter()
                .copied()
                .filter(|e| wanted(*e))
                .min_by(|a, b| tokens(a).total_cmp(&tokens(b)))
        };
        if let Some(cold) = least(&|e| self.draft.experts[e].len() > 1) {
            return Some(Step {
                evicts: Some(cold),
                ..step
            });
        }
        let cold = least(&|e| !self.hosts(e, from))?;
        Some(Step {
            evicts: Some(cold),
            back: Some(from),
            ..step
        })
    }

    /// The time after a step, which is taken back.
    fn try_step(&mut self, step: &Step) -> f64 {
        let mut near: Vec<usize> = self.hosted[usize::from(step.rank)].clone();
        let from = self.find_slowest(step.expert);
        near.extend(&self.hosted[usize::from(from)]);
        // The tokens of an expert with one replica can't be split.
        near.retain(|e| self.draft.experts[*e].len() > 1);
        near.extend(step.evicts);
        near.push(step.expert);
        near.sort_unstable();
        near.dedup();
        let saved: Vec<(usize, Vec<Part>)> = near
            .iter()
            .map(|e| (*e, self.draft.experts[*e].clone()))
            .collect();
        let loads = self.draft.loads.clone();
        let spreads = self.draft.spreads.clone();
        self.change_parts(step);
        for _ in 0..TRIAL_SWEEPS {
            for expert in &near {
                self.draft.split_expert(*expert, self.speeds);
            }
        }
        let time = self.time();
        for (expert, held) in saved {
            self.draft.experts[expert] = held;
        }
        self.draft.loads = loads;
        self.draft.spreads = spreads;
        time
    }

    /// Takes a step and levels the shares.
    pub fn apply(&mut self, step: &Step) {
        self.change_parts(step);
        let target = usize::from(step.rank);
        if let Some(cold) = step.evicts {
            self.hosted[target].retain(|e| *e != cold);
            if let Some(back) = step.back {
                let from = &mut self.hosted[usize::from(back)];
                from.retain(|e| *e != step.expert);
                from.push(cold);
            }
        }
        self.hosted[target].push(step.expert);
        self.level_shares();
    }

    /// Changes the replicas and loads of the experts of a step; shares are not levelled.
    fn change_parts(&mut self, step: &Step) {
        if let Some(cold) = step.evicts {
            let freed = self.draft.drop_part(cold, step.rank);
            match step.back {
                Some(back) => self.draft.add_part(cold, back, freed),
                None => {
                    let first = self.draft.experts[cold][0].rank;
                    let held = self.draft.drop_part(cold, first);
                    self.draft.add_part(cold, first, held + freed);
                    self.draft.split_expert(cold, self.speeds);
                }
            }
        }
        let moved = step
            .back
            .map_or(0.0, |b| self.draft.drop_part(step.expert, b));
        self.draft.add_part(step.expert, step.rank, moved);
    }
}
