//! Recent demand for each expert, from what the ranks tell at every beat.
//!
//! Answers the load pattern of a demand that shifts every few seconds: old counts fade quickly, and
//! a rank that restarts or stays silent does not distort the rest.

use std::time::Duration;

use siskinbend_types::Time;

/// Limits of the estimate.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Time in which counts fade to about a third.
    pub time_constant: Duration,
    /// Choices that must be remembered for an estimate.
    pub min_count: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            time_constant: Duration::from_millis(250),
            min_count: 600.0,
        }
    }
}

/// What one rank's requests chose since the leader was last told.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    /// Epoch and counts that were told last.
    told: Option<(u64, Vec<u64>)>,
}

impl DemandMeter {
    /// The choices since the last ones that were told; none if the rank has started anew.
    pub fn measure(&self, epoch: u64, counts: &[u64]) -> Vec<u32> {
        match &self.told {
            Some((known, told)) if *known == epoch && is_after(counts, told) => {
                let chosen =
                    |(new, old): (&u64, &u64)| u32::try_from(new - old).unwrap_or(u32::MAX);
                counts.iter().zip(told).map(chosen).collect()
            }
            _ => vec![0; counts.len()],
        }
    }

    /// Notes that a leader has taken in what was measured.
    pub fn mark_reported(&mut self, epoch: u64, counts: Vec<u64>) {
        self.told = Some((epoch, counts));
    }
}

/// Recent demand of a group.
#[derive(Debug, Clone, Default)]
pub struct RecentDemand {
    settings: Settings,
    weights: Vec<f64>,
    faded: Time,
}

impl RecentDemand {
    /// An estimate without counts.
    pub fn new(settings: Settings) -> RecentDemand {
        RecentDemand {
            settings,
            ..RecentDemand::default()
        }
    }

    /// Adds how often a rank's requests chose each expert lately.
    pub fn add(&mut self, chosen: &[u32], now: Time) {
        self.fade(now);
        self.weights.resize(chosen.len(), 0.0);
        for (weight, chosen) in self.weights.iter_mut().zip(chosen) {
            *weight += f64::from(*chosen);
        }
    }

    /// Experts of all sets that were counted.
    pub fn len(&self) -> usize {
        self.weights.len()
    }

    /// Whether nothing was counted yet.
    pub fn is_empty(&self) -> bool {
        self.weights.is_empty()
    }

    /// The demand of each expert, set after set; `None` if too little was counted lately.
    pub fn estimate(&mut self, now: Time) -> Option<&[f64]> {
        self.fade(now);
        let total: f64 = self.weights.iter().sum();
        (total >= self.settings.min_count).then_some(&self.weights)
    }

    fn fade(&mut self, now: Time) {
        let passed = now.since(self.faded).as_secs_f64();
        self.faded = now;
        let kept = (-passed / self.settings.time_constant.as_secs_f64()).exp();
        for weight in &mut self.weights {
            *weight *= kept;
        }
    }
}

fn is_after(new: &[u64], old: &[u64]) -> bool {
    new.len() == old.len() && new.iter().zip(old).all(|(new, old)| new >= old)
}
