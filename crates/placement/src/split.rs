//! Splits the tokens of each expert over its replicas so that the ranks are evenly loaded.

use crate::map::LayerMap;
use crate::map::Replica;
use crate::map::WHOLE;

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
}

impl Draft {
    /// The layer as it is, under the given demand.
    #[expect(dead_code)]
    pub fn from_map(layer: &LayerMap, demand: &[f64], ranks: usize) -> Draft {
        let split = |(on, tokens): (&Vec<Replica>, &f64)| {
            let part = |replica: &Replica| Part {
                rank: replica.rank,
                tokens: tokens * f64::from(replica.share) / f64::from(WHOLE),
            };
            on.iter().map(part).collect()
        };
        let mut draft = Draft {
            experts: layer.experts.iter().zip(demand).map(split).collect(),
            loads: vec![0.0; ranks],
        };
        draft.sum_loads();
        draft
    }

    /// Adds up the loads anew, so that rounding errors of many small changes don't pile up.
    pub fn sum_loads(&mut self) {
        self.loads.fill(0.0);
        for part in self.experts.iter().flatten() {
            self.loads[usize::from(part.rank)] += part.tokens;
        }
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
        let parts = &mut self.experts[expert];
        let total: f64 = parts.iter().map(|p| p.tokens).sum();
        if let [only] = parts.as_mut_slice() {
            only.tokens = total;
            return;
        }
        for part in parts.iter() {
            self.loads[usize::from(part.rank)] -= part.tokens;
        }
        let level = fill_level(parts, &self.loads, speeds, total);
        let mut rest = total;
        for part in parts.iter_mut() {
            let rank = usize::from(part.rank);
            part.tokens = (level * speeds[rank] - self.loads[rank]).clamp(0.0, rest);
            rest -= part.tokens;
        }
        parts[0].tokens += rest;
        for part in parts.iter() {
            self.loads[usize::from(part.rank)] += part.tokens;
        }
    }

    /// The layer with whole shares that add up.
    pub fn to_map(&self) -> LayerMap {
        LayerMap {
            experts: self.experts.iter().map(|on| round_shares(on)).collect(),
        }
    }
}

/// Load over speed at which the replicas take up all tokens.
fn fill_level(parts: &[Part], loads: &[f64], speeds: &[f64], total: f64) -> f64 {
    // The level is the least over all prefixes of the ranks by level, which few enough replicas
    // allow to find by repeated exclusion of the ranks above it.
    let mut ceiling = f64::INFINITY;
    loop {
        let (mut load, mut speed) = (total, 0.0);
        for part in parts {
            let rank = usize::from(part.rank);
            if loads[rank] / speeds[rank] < ceiling {
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
            let own = loads[rank] / speeds[rank];
            own < ceiling && own > level
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
        true => part.tokens / total * f64::from(WHOLE),
        false => f64::from(WHOLE) / on.len() as f64,
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
    for index in 0..usize::from(WHOLE - sum) {
        let count = replicas.len();
        replicas[index % count].0.share += 1;
    }
    let mut replicas: Vec<Replica> = replicas.into_iter().map(|(r, _)| r).collect();
    replicas.sort_by_key(|r| r.rank);
    replicas
}
