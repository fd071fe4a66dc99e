//! Distinguishes a change of demand from noise.

use crate::counts::LayerDemand;
use crate::step_time::StepTimeModel;

/// A layer counts as changed if one rank is more standard deviations than this above an even load.
const MAX_RANK_DEVIATIONS: f64 = 5.0;
/// A layer counts as changed if the mean over the ranks of the squared deviations from an even load
/// is above this. Noise alone would give 1 if the ranks were independent, but ranks that share hot
/// experts deviate together.
const MAX_MEAN_SQUARE: f64 = 4.0;
/// A layer counts as changed if its drift, as returned by [`Baseline::compute_drift`], is above
/// this.
const MAX_DRIFT_DEVIATIONS: f64 = 2.5;
/// Intervals for which a layer stays open to changes after its demand last differed from the
/// baseline by more than noise. Drift goes on for longer than a single test detects it.
const OPEN_INTERVALS: u32 = 40;
/// Intervals after which the demand is known well enough to serve as a baseline.
const MIN_BASELINE_INTERVALS: u32 = 4;

/// Detects changes of the demand of one layer.
#[derive(Debug, Clone, Default)]
pub(crate) struct ChangeDetector {
    /// The demand for which the layer was last balanced.
    baseline: Option<Baseline>,
    /// Intervals for which the layer stays open to changes.
    open_intervals: u32,
}

/// A demand and the variance of its estimate.
#[derive(Debug, Clone)]
struct Baseline {
    planned: Vec<f64>,
    error_variance: Vec<f64>,
}

impl ChangeDetector {
    /// Updates the detector with the newest estimate and returns whether the layer is open to
    /// changes.
    pub fn update(
        &mut self,
        layer: &LayerDemand,
        model: &StepTimeModel<'_>,
        intervals: u32,
    ) -> bool {
        if self.baseline.is_none() && intervals >= MIN_BASELINE_INTERVALS {
            self.reset_baseline(layer);
        }
        let drift = self
            .baseline
            .as_ref()
            .map_or(0.0, |b| b.compute_drift(layer));
        let (highest, square) = model.compute_deviations();
        if highest > MAX_RANK_DEVIATIONS || square > MAX_MEAN_SQUARE || drift > MAX_DRIFT_DEVIATIONS
        {
            self.open_intervals = OPEN_INTERVALS;
        } else {
            self.open_intervals = self.open_intervals.saturating_sub(1);
        }
        self.open_intervals > 0
    }

    /// Makes this demand the baseline for later changes; called when the layer was balanced for it.
    pub fn reset_baseline(&mut self, layer: &LayerDemand) {
        self.baseline = Some(Baseline {
            planned: layer.planned.clone(),
            error_variance: layer.error_variance.clone(),
        });
    }
}

impl Baseline {
    /// Sum over all experts of the squared, normalized changes of demand, as its distance from the
    /// mean under noise in standard deviations. Detects a small change of many experts long before
    /// it is visible on one rank.
    fn compute_drift(&self, layer: &LayerDemand) -> f64 {
        let own: f64 = self.planned.iter().sum();
        let scale = layer.planned.iter().sum::<f64>() / own.max(f64::MIN_POSITIVE);
        let mut sum = 0.0;
        for expert in 0..self.planned.len() {
            let change = layer.planned[expert] - scale * self.planned[expert];
            let error = layer.error_variance[expert] + scale * scale * self.error_variance[expert];
            sum += change * change / error.max(f64::MIN_POSITIVE);
        }
        let count = self.planned.len() as f64;
        (sum - count) / (2.0 * count).sqrt()
    }
}
