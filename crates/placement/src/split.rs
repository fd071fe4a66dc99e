//! Splits the tokens of each expert over its replicas so that the ranks are evenly loaded.

use crate::map::FULL_SHARE;
use crate::map::LayerMap;
use crate::map::Replica;

/// Weight of an even split over the replicas of an expert against an even load of the ranks. Of two
/// splits that load the ranks almost alike, the more even one suffers less from noise in the demand
/// of single experts.
const EVENNESS: f64 = 0.15;

/// One replica while a plan is made.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Part {
    pub rank: u16,
    /// Tokens a step.
    pub tokens: f64,
}

/// One layer while a plan is made.
#[derive(Debug, Clone)]
pub(crate) struct Draft {
    /// The replicas of each expert.
    pub experts: Vec<Vec<Part>>,
    /// Tokens a step of each rank.
    pub loads: Vec<f64>,
    /// Variance of the tokens of each rank that comes from the noise of its experts' demand.
    pub spreads: Vec<f64>,
    /// Relative variance of the demand of each expert.
    pub noise: Vec<f64>,
}

impl Draft {
    /// The layer as it is, under the given demand.
    pub fn from_map(layer: &LayerMap, demand: &[f64], noise: Vec<f64>, ranks: usize) -> Draft {
        let split = |(on, tokens): (&Vec<Replica>, &f64)| {
            let part = |replica: &Replica| Part {
                rank: replica.rank,
                tokens: tokens * f64::from(replica.share) / f64::from(FULL_SHARE),
            };
            on.iter().map(part).collect()
        };
        let mut draft = Draft {
            experts: layer.experts.iter().zip(demand).map(split).collect(),
            loads: vec![0.0; ranks],
            spreads: vec![0.0; ranks],
            noise,
        };
        draft.sum_loads();
        draft
    }

    /// Adds up the loads anew, so that rounding errors of many small changes don't pile up.
    pub fn sum_loads(&mut self) {
        self.loads.fill(0.0);
        self.spreads.fill(0.0);
        for expert in 0..self.experts.len() {
            self.put(expert, 1.0);
        }
    }

    /// Adds the parts of an expert to the ranks, or takes them away with a sign of -1.
    fn put(&mut self, expert: usize, sign: f64) {
        for part in &self.experts[expert] {
            let rank = usize::from(part.rank);
            self.loads[rank] += sign * part.tokens;
            self.spreads[rank] += sign * part.tokens * part.tokens * self.noise[expert];
        }
    }

    /// Adds a replica.
    pub fn add_part(&mut self, expert: usize, rank: u16, tokens: f64) {
        self.put(expert, -1.0);
        self.experts[expert].push(Part { rank, tokens });
        self.put(expert, 1.0);
    }

    /// Removes a replica and returns its tokens.
    pub fn drop_part(&mut self, expert: usize, rank: u16) -> f64 {
        self.put(expert, -1.0);
        let parts = &mut self.experts[expert];
        let at = parts.iter().position(|p| p.rank == rank);
        let tokens = at.map_or(0.0, |at| parts.remove(at).tokens);
        self.put(expert, 1.0);
        tokens
    }

    /// Levels the loads by `sweeps` passes over all experts.
    ///
    /// Each pass splits one expert after the other at the least sum of squared load over speed.
    /// That sum is convex and the splits are independent of each other, so the passes converge to
    /// the split with the lowest highest load.
    pub fn level(&mut self, speeds: &[f64], sweeps: usize) {
        for _ in 0..sweeps {
            for expert in 0..self.experts.len() {
                if self.experts[expert].len() > 1 {
                    self.split_expert(expert, speeds);
                }
            }
        }
    }

    /// Splits one expert over its replicas.
    pub fn split_expert(&mut self, expert: usize, speeds: &[f64]) {
        self.put(expert, -1.0);
        let parts = &mut self.experts[expert];
        let total: f64 = parts.iter().map(|p| p.tokens).sum();
        let level = fill_level(parts, &self.loads, speeds, total);
        let mut rest = total;
        for part in parts.iter_mut() {
            let rank = usize::from(part.rank);
            part.tokens = take(level, self.loads[rank], speeds[rank]).clamp(0.0, rest);
            rest -= part.tokens;
        }
        parts[0].tokens += rest;
        self.put(expert, 1.0);
    }

    /// The layer with whole shares that add up.
    pub fn to_map(&self) -> LayerMap {
        LayerMap {
            experts: self.experts.iter().map(|on| round_shares(on)).collect(),
        }
    }
}

/// Tokens that a replica takes up to a level.
fn take(level: f64, load: f64, speed: f64) -> f64 {
    (level * speed - load) / (1.0 + EVENNESS)
}

/// Level at which the replicas take up all tokens.
///
/// A replica whose rank is above the level takes nothing. Leaving such replicas out lowers the
/// level, so they are left out until none is above it.
fn fill_level(parts: &[Part], loads: &[f64], speeds: &[f64], total: f64) -> f64 {
    let mut ceiling = f64::INFINITY;
    loop {
        let (mut load, mut speed) = (total * (1.0 + EVENNESS), 0.0);
        for part in parts {
            let rank = usize::from(part.rank);
            if loads[rank] < ceiling * speeds[rank] {
                load += loads[rank];
                speed += speeds[rank];
            }
        }
        if speed <= 0.0 {
            return ceiling;
        }
        let level = load / speed;
        let above = parts.iter().any(|part| {
            let rank = usize::from(part.rank);
            loads[rank] < ceiling * speeds[rank] && loads[rank] > level * speeds[rank]
        });
        ceiling = level;
        if !above {
            return level;
        }
    }
}

/// Rounds shares by the largest remainder.
fn round_shares(on: &[Part]) -> Vec<Replica> {
    let total: f64 = on.iter().map(|p| p.tokens).sum();
    let exact = |part: &Part| match total > 0.0 {
        true => part.tokens / total * f64::from(FULL_SHARE),
        false => f64::from(FULL_SHARE) / on.len() as f64,
    };
    let mut replicas: Vec<(Replica, f64)> = on
        .iter()
        .map(|part| {
            let share = exact(part).floor() as u16;
            let replica = Replica {
                rank: part.rank,
                share,
            };
            (replica, exact(part) - f64::from(share))
        })
        .collect();
    let sum: u16 = replicas.iter().map(|(r, _)| r.share).sum();
    replicas.sort_by(|a, b| b.1.total_cmp(&a.1));
    for index in 0..usize::from(FULL_SHARE - sum) {
        let count = replicas.len();
        replicas[index % count].0.share += 1;
    }
    let mut replicas: Vec<Replica> = replicas.into_iter().map(|(r, _)| r).collect();
    replicas.sort_by_key(|r| r.rank);
    replicas
}
