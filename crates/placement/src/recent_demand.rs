//! Recent demand for each expert, from the counts that the ranks report with every heartbeat.
//!
//! Meant for demand that shifts every few seconds: old counts decay quickly, and a rank that
//! restarts or doesn't report doesn't distort the demand of the others.

use std::time::Duration;

use siskinbend_types::Time;

/// Settings of the estimate.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Time constant of the exponential decay: the time in which counts decay to 1/e.
    pub time_constant: Duration,
    /// Minimum sum of the decayed counts for an estimate.
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

/// Measures how often one rank's requests chose each expert since the last report to the leader.
#[derive(Debug, Clone, Default)]
pub struct DemandMeter {
    /// Epoch and total counts of the last report.
    reported: Option<(u64, Vec<u64>)>,
}

impl DemandMeter {
    /// The counts since the last report; all 0 before the first report and after a restart of the
    /// rank.
    pub fn measure(&self, epoch: u64, counts: &[u64]) -> Vec<u32> {
        match &self.reported {
            Some((old_epoch, reported))
                if *old_epoch == epoch && is_monotonic(counts, reported) =>
            {
                let chosen =
                    |(new, old): (&u64, &u64)| u32::try_from(new - old).unwrap_or(u32::MAX);
                counts.iter().zip(reported).map(chosen).collect()
            }
            _ => vec![0; counts.len()],
        }
    }

    /// Records that the leader has received the counts up to these totals.
    pub fn mark_reported(&mut self, epoch: u64, counts: Vec<u64>) {
        self.reported = Some((epoch, counts));
    }
}

/// Recent demand for the experts of a group.
#[derive(Debug, Clone, Default)]
pub struct RecentDemand {
    settings: Settings,
    decayed_counts: Vec<f64>,
    decayed_at: Time,
}

impl RecentDemand {
    /// Creates an estimate without counts.
    pub fn new(settings: Settings) -> RecentDemand {
        RecentDemand {
            settings,
            ..RecentDemand::default()
        }
    }

    /// Adds how often a rank's requests chose each expert since its last report.
    pub fn add(&mut self, chosen: &[u32], now: Time) {
        self.decay(now);
        self.decayed_counts.resize(chosen.len(), 0.0);
        for (weight, chosen) in self.decayed_counts.iter_mut().zip(chosen) {
            *weight += f64::from(*chosen);
        }
    }

    /// Number of counted experts in all sets.
    pub fn len(&self) -> usize {
        self.decayed_counts.len()
    }

    /// Sum of the decayed counts.
    pub fn sum_counts(&self) -> f64 {
        self.decayed_counts.iter().sum()
    }

    /// Whether no counts were added yet.
    pub fn is_empty(&self) -> bool {
        self.decayed_counts.is_empty()
    }

    /// The decayed counts of each expert, set by set; `None` if their sum is below the minimum.
    pub fn estimate(&mut self, now: Time) -> Option<&[f64]> {
        self.decay(now);
        let total = self.sum_counts();
        (total >= self.settings.min_count).then_some(&self.decayed_counts)
    }

    fn decay(&mut self, now: Time) {
        let passed = now.since(self.decayed_at).as_secs_f64();
        self.decayed_at = now;
        let kept = (-passed / self.settings.time_constant.as_secs_f64()).exp();
        for weight in &mut self.decayed_counts {
            *weight *= kept;
        }
    }
}

fn is_monotonic(new: &[u64], old: &[u64]) -> bool {
    new.len() == old.len() && new.iter().zip(old).all(|(new, old)| new >= old)
}
