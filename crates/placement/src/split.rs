//! Splits the tokens of each expert over its replicas so that the ranks are evenly loaded.

use crate::map::FULL_SHARE;
use crate::map::LayerMap;
use crate::map::Replica;

/// Weight of an even split over the replicas of an expert, relative to an even load of the ranks.
/// Of two splits with nearly the same rank loads, the more even one is less sensitive to noise in
/// the demand of single experts.
const EVEN_SPLIT_WEIGHT: f64 = 0.15;

/// Load of one replica while a plan is made.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ReplicaLoad {
    pub rank: u16,
    /// Tokens per step.
    pub tokens: f64,
}

/// One layer while a plan is made.
#[derive(Debug, Clone)]
pub(crate) struct LayerDraft {
    /// The replicas of each expert.
    pub experts: Vec<Vec<ReplicaLoad>>,
    /// Tokens per step of each rank.
    pub loads: Vec<f64>,
    /// Variance of each rank's tokens that comes from the noise of its experts' demand.
    pub variances: Vec<f64>,
    /// Relative variance of the demand of each expert.
    pub noise: Vec<f64>,
}

impl LayerDraft {
    /// The present replicas and shares under the given demand.
    pub fn from_map(layer: &LayerMap, demand: &[f64], noise: Vec<f64>, ranks: usize) -> LayerDraft {
        let split = |(on, tokens): (&Vec<Replica>, &f64)| {
            let part = |replica: &Replica| ReplicaLoad {
                rank: replica.rank,
                tokens: tokens * f64::from(replica.share) / f64::from(FULL_SHARE),
            };
            on.iter().map(part).collect()
        };
        let mut draft = LayerDraft {
            experts: layer.experts.iter().zip(demand).map(split).collect(),
            loads: vec![0.0; ranks],
            variances: vec![0.0; ranks],
            noise,
        };
        draft.recompute_loads();
        draft
    }

    /// Recomputes the loads from the replicas, so that rounding errors of many small changes don't
    /// accumulate.
    pub fn recompute_loads(&mut self) {
        self.loads.fill(0.0);
        self.variances.fill(0.0);
        for expert in 0..self.experts.len() {
            self.add_loads(expert, 1.0);
        }
    }

    /// Adds the tokens of an expert to its ranks, or subtracts them with a sign of -1.
    fn add_loads(&mut self, expert: usize, sign: f64) {
        for part in &self.experts[expert] {
            let rank = usize::from(part.rank);
            self.loads[rank] += sign * part.tokens;
            self.variances[rank] += sign * part.tokens * part.tokens * self.noise[expert];
        }
    }

    /// Adds a replica.
    pub fn add_replica(&mut self, expert: usize, rank: u16, tokens: f64) {
        self.add_loads(expert, -1.0);
        self.experts[expert].push(ReplicaLoad { rank, tokens });
        self.add_loads(expert, 1.0);
    }

    /// Removes a replica and returns its tokens.
    pub fn remove_replica(&mut self, expert: usize, rank: u16) -> f64 {
        self.add_loads(expert, -1.0);
        let parts = &mut self.experts[expert];
        let at = parts.iter().position(|p| p.rank == rank);
        let tokens = at.map_or(0.0, |at| parts.remove(at).tokens);
        self.add_loads(expert, 1.0);
        tokens
    }

    /// Balances the loads by `passes` passes over all experts.
    ///
    /// Each pass splits one expert after another so that the sum over the ranks of squared load
    /// over speed is minimal. That sum is convex and the constraints of the experts are independent
    /// of each other, so the passes converge to the split with the lowest maximum load.
    pub fn balance(&mut self, speeds: &[f64], passes: usize) {
        for _ in 0..passes {
            for expert in 0..self.experts.len() {
                if self.experts[expert].len() > 1 {
                    self.split_expert(expert, speeds);
                }
            }
        }
    }

    /// Splits the tokens of one expert over its replicas.
    pub fn split_expert(&mut self, expert: usize, speeds: &[f64]) {
        self.add_loads(expert, -1.0);
        let parts = &mut self.experts[expert];
        let total: f64 = parts.iter().map(|p| p.tokens).sum();
        let level = find_fill_level(parts, &self.loads, speeds, total);
        let mut rest = total;
        for part in parts.iter_mut() {
            let rank = usize::from(part.rank);
            part.tokens = tokens_at_level(level, self.loads[rank], speeds[rank]).clamp(0.0, rest);
            rest -= part.tokens;
        }
        parts[0].tokens += rest;
        self.add_loads(expert, 1.0);
    }

    /// The layer with shares rounded to integers that add up to [`FULL_SHARE`].
    pub fn to_map(&self) -> LayerMap {
        LayerMap {
            experts: self.experts.iter().map(|on| round_shares(on)).collect(),
        }
    }
}

/// Tokens that a replica receives if its rank is filled up to a level of load over speed.
fn tokens_at_level(level: f64, load: f64, speed: f64) -> f64 {
    (level * speed - load) / (1.0 + EVEN_SPLIT_WEIGHT)
}

/// Level of load over speed at which the replicas receive all tokens (water filling).
///
/// A replica whose rank is above the level receives nothing. Excluding such replicas lowers the
/// level, so the loop excludes them until none is above it.
fn find_fill_level(parts: &[ReplicaLoad], loads: &[f64], speeds: &[f64], total: f64) -> f64 {
    let mut ceiling = f64::INFINITY;
    loop {
        let (mut load, mut speed) = (total * (1.0 + EVEN_SPLIT_WEIGHT), 0.0);
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

/// Rounds shares by the largest-remainder method.
fn round_shares(on: &[ReplicaLoad]) -> Vec<Replica> {
    let total: f64 = on.iter().map(|p| p.tokens).sum();
    let exact = |part: &ReplicaLoad| match total > 0.0 {
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
