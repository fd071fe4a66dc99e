//! Lower bound on the step time of any placement.
//!
//! The bound has two parts.
//!
//! First, if the map is fixed before the step, tokens arrive independently and replicas are drawn
//! at random by their shares, the loads of the ranks are independent Poisson variables. The map
//! determines only their means. The probability that a Poisson variable stays below a level is
//! log-concave in its mean, so the probability that all ranks stay below it is highest for equal
//! means. The maximum load is therefore stochastically smallest for equal means, and so are its
//! mean and its quantiles.
//!
//! Second, the number of ranks that can hold a replica of one expert is limited, which bounds the
//! highest mean from below. This part is comparable with the mean time of the ranks only if all
//! ranks have the same speed.
//!
//! A slow rank may take any part of the load. The bound subtracts the load that the rank could
//! process within [`MAX_CREDITED_TIME`] and then ignores the rank. It holds as long as the rank's
//! time is below that.

use crate::map::Shape;

/// Step time of a slow rank, relative to the mean, up to which it is assumed to process load.
pub const MAX_CREDITED_TIME: f64 = 1.25;

/// Mean load of each rank, in the unit of `total`, for which the maximum load is stochastically
/// smallest. `None` for ranks with a speed below 1, which are not part of the bound.
pub fn compute_even_loads(total: f64, speeds: &[f64]) -> Vec<Option<f64>> {
    let level = total / speeds.iter().sum::<f64>();
    let slow: f64 = speeds.iter().filter(|s| **s < 1.0).sum();
    let fast: f64 = speeds.iter().filter(|s| **s >= 1.0).sum();
    let rest = (total - slow * level * MAX_CREDITED_TIME).max(0.0);
    let share = |speed: &f64| (*speed >= 1.0).then(|| rest * speed / fast);
    speeds.iter().map(share).collect()
}

/// Lowest possible maximum over the ranks of mean load over speed.
pub fn compute_min_peak(shape: Shape, demand: &[f64], speeds: &[f64]) -> f64 {
    let even = demand.iter().sum::<f64>() / speeds.iter().sum::<f64>();
    let slots = usize::from(shape.ranks) * usize::from(shape.slots);
    let spare = slots.saturating_sub(usize::from(shape.experts));
    let mut fastest = speeds.to_vec();
    fastest.sort_by(|a, b| b.total_cmp(a));
    let max_speed: f64 = fastest.iter().take(spare + 1).sum();
    let hottest = demand.iter().copied().fold(0.0, f64::max);
    even.max(hottest / max_speed)
}
