//! Lower bound on the step time that no placement can beat.
//!
//! Two facts give the bound.
//!
//! First, with a map fixed before the step, tokens that arrive independently and replicas drawn at
//! random by their shares, the loads of the ranks are independent Poisson variables whatever the
//! map, and only their means depend on it. The chance that a Poisson variable stays below a level is
//! log-concave in its mean, so the chance that all ranks stay below it is highest when the means are
//! equal. Equal means therefore give the stochastically least highest load, and so the least mean
//! and the least quantiles.
//!
//! Second, an expert can be on only so many ranks, which bounds the highest mean from below. This
//! part compares with the mean time of the ranks only if all have the same speed.
//!
//! A slow rank may take any part of the load. It is credited with what it could take without being
//! more than [`MAX_CREDITED_TIME`] of the mean behind, and then ignored; the bound holds as long as it is
//! below that.

use crate::map::Shape;

/// Step time of a slow rank, relative to the mean, up to which its help is credited.
pub const MAX_CREDITED_TIME: f64 = 1.25;

/// The mean load of each rank in the unit of `total` that gives the stochastically least highest
/// load, and none for ranks below the usual speed, which are not part of the bound.
pub fn compute_even_loads(total: f64, speeds: &[f64]) -> Vec<Option<f64>> {
    let level = total / speeds.iter().sum::<f64>();
    let slow: f64 = speeds.iter().filter(|s| **s < 1.0).sum();
    let fast: f64 = speeds.iter().filter(|s| **s >= 1.0).sum();
    let rest = (total - slow * level * MAX_CREDITED_TIME).max(0.0);
    let share = |speed: &f64| (*speed >= 1.0).then(|| rest * speed / fast);
    speeds.iter().map(share).collect()
}

/// The least possible highest mean of load over speed.
pub fn compute_min_peak(shape: Shape, demand: &[f64], speeds: &[f64]) -> f64 {
    let even = demand.iter().sum::<f64>() / speeds.iter().sum::<f64>();
    let slots = usize::from(shape.ranks) * usize::from(shape.slots);
    let spare = slots.saturating_sub(usize::from(shape.experts));
    let mut fastest = speeds.to_vec();
    fastest.sort_by(|a, b| b.total_cmp(a));
    let help: f64 = fastest.iter().take(spare + 1).sum();
    let hottest = demand.iter().copied().fold(0.0, f64::max);
    even.max(hottest / help)
}
