//! Tells a change of demand from noise.

use crate::counts::LayerDemand;
use crate::model::Model;

/// Deviations by which one rank must be above an even load.
const RANK_DEVIATIONS: f64 = 5.0;
/// Mean over the ranks of the squared deviations from an even load. It would be 1 for independent
/// ranks; ranks that share hot experts deviate together.
const MEAN_SQUARE: f64 = 4.0;
/// Deviations of the sum of squared changes of all experts' demand.
const DRIFT_DEVIATIONS: f64 = 2.5;
/// Intervals for which a layer stays open to changes after noise last failed to explain its
/// demand. Drift goes on for longer than one test shows it.
const OPEN_INTERVALS: u32 = 40;
/// Intervals after which the demand is known well enough to measure changes against.
const BASE_INTERVALS: u32 = 4;

/// Watches one layer.
#[derive(Debug, Clone, Default)]
pub(crate) struct Watch {
    /// The demand for which the layer was last evened out.
    base: Option<Base>,
    /// Intervals for which the layer is still open to changes.
    open: u32,
}

/// A demand and its error.
#[derive(Debug, Clone)]
struct Base {
    planned: Vec<f64>,
    errors: Vec<f64>,
}

impl Watch {
    /// Looks at the newest estimate and tells whether the layer is open to changes.
    pub fn observe(&mut self, layer: &LayerDemand, model: &Model<'_>, intervals: u32) -> bool {
        if self.base.is_none() && intervals >= BASE_INTERVALS {
            self.rebase(layer);
        }
        let drift = self.base.as_ref().map_or(0.0, |b| b.find_drift(layer));
        let (highest, square) = model.compare_ranks();
        if highest > RANK_DEVIATIONS || square > MEAN_SQUARE || drift > DRIFT_DEVIATIONS {
            self.open = OPEN_INTERVALS;
        } else {
            self.open = self.open.saturating_sub(1);
        }
        self.open > 0
    }

    /// Measures later changes against this demand; called when the layer was evened out for it.
    pub fn rebase(&mut self, layer: &LayerDemand) {
        self.base = Some(Base {
            planned: layer.planned.clone(),
            errors: layer.error_variance.clone(),
        });
    }
}

impl Base {
    /// How far the demand has moved away, as the deviation of a sum of squares over all experts
    /// from its mean: a small change of many experts shows here long before it shows on one rank.
    fn find_drift(&self, layer: &LayerDemand) -> f64 {
        let own: f64 = self.planned.iter().sum();
        let scale = layer.planned.iter().sum::<f64>() / own.max(f64::MIN_POSITIVE);
        let mut sum = 0.0;
        for expert in 0..self.planned.len() {
            let change = layer.planned[expert] - scale * self.planned[expert];
            let error = layer.error_variance[expert] + scale * scale * self.errors[expert];
            sum += change * change / error.max(f64::MIN_POSITIVE);
        }
        let count = self.planned.len() as f64;
        (sum - count) / (2.0 * count).sqrt()
    }
}
