//! Recent demand for each expert, from counts that ranks keep since their start.
//!
//! Answers the load pattern of a demand that shifts every few seconds: old counts fade quickly, and
//! a rank that restarts or stays silent does not distort the rest.

use std::collections::HashMap;
use std::time::Duration;

use siskinbend_types::Time;

/// Limits of the estimate.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Time in which counts fade to about a third.
    pub memory: Duration,
    /// Choices that must be remembered for an estimate.
    pub least: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            memory: Duration::from_millis(800),
            least: 2_000.0,
        }
    }
}

/// Recent demand of a group.
#[derive(Debug, Clone, Default)]
pub struct Recent {
    settings: Settings,
    /// The newest counts of each rank, with the epoch in which they were made.
    last: HashMap<u16, (u64, Vec<u64>)>,
    weights: Vec<f64>,
    faded: Time,
}

impl Recent {
    /// An estimate without counts.
    pub fn new(settings: Settings) -> Recent {
        Recent {
            settings,
            ..Recent::default()
        }
    }

    /// Adds the counts of a rank: how often each expert was chosen since the rank started.
    pub fn add(&mut self, rank: u16, epoch: u64, counts: Vec<u64>, now: Time) {
        self.fade(now);
        if self.weights.len() != counts.len() {
            self.weights = vec![0.0; counts.len()];
            self.last.clear();
        }
        let before = self.last.get(&rank);
        if let Some((_, before)) = before.filter(|(e, b)| *e == epoch && is_after(&counts, b)) {
            for (weight, (new, old)) in self.weights.iter_mut().zip(counts.iter().zip(before)) {
                *weight += (new - old) as f64;
            }
        }
        self.last.insert(rank, (epoch, counts));
    }

    /// The demand of each expert, set after set; `None` if too little was counted lately.
    pub fn estimate(&mut self, now: Time) -> Option<&[f64]> {
        self.fade(now);
        let total: f64 = self.weights.iter().sum();
        (total >= self.settings.least).then_some(&self.weights)
    }

    fn fade(&mut self, now: Time) {
        let passed = now.since(self.faded).as_secs_f64();
        self.faded = now;
        let kept = (-passed / self.settings.memory.as_secs_f64()).exp();
        for weight in &mut self.weights {
            *weight *= kept;
        }
    }
}

fn is_after(new: &[u64], old: &[u64]) -> bool {
    new.iter().zip(old).all(|(new, old)| new >= old)
}
