//! Random variables that the standard distributions of `rand` don't cover.

use std::f64::consts::TAU;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Mean from which the normal approximation of a Poisson variable is used.
const NORMAL_FROM: f64 = 16.0;

/// A normal variable with mean 0 and standard deviation 1, by Box and Muller.
pub fn draw_normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (TAU * rng.random::<f64>()).cos()
}

/// A Poisson variable: products of uniform variables for a small mean, else the normal
/// approximation with the first correction of its skewness.
pub fn draw_poisson(mean: f64, rng: &mut ChaCha8Rng) -> f64 {
    if mean >= NORMAL_FROM {
        let z = draw_normal(rng);
        return (mean + mean.sqrt() * z + (z * z - 1.0) / 6.0)
            .round()
            .max(0.0);
    }
    let (limit, mut product, mut count) = ((-mean).exp(), rng.random::<f64>(), 0.0);
    while product > limit {
        product *= rng.random::<f64>();
        count += 1.0;
    }
    count
}
