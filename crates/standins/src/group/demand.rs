//! Tokens of each expert in each step: skewed, drifting and noisy.

use std::f64::consts::TAU;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use siskinbend_placement::Shape;

/// Tokens that each layer routes in a step.
pub const STEP_TOKENS: f64 = 4_096.0;

/// An expert whose popularity is multiplied.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hot {
    /// The layer.
    pub layer: u16,
    /// The expert.
    pub expert: u16,
    /// Factor on its popularity.
    pub factor: f64,
}

/// Body of `POST /demand`; it replaces the demand, and absent fields take their default.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Amplitude of the logarithm of an expert's popularity; 0 is even.
    pub skew: f64,
    /// Steps in which the popularity of an expert rises and falls once; 0 stops the drift.
    pub period: u64,
    /// Experts that are hotter than the rest says.
    pub hot: Vec<Hot>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            skew: 1.0,
            period: 100_000,
            hot: Vec::new(),
        }
    }
}

/// Draws the demand of step after step.
#[derive(Debug)]
pub(super) struct Demand {
    shape: Shape,
    pub(super) settings: Settings,
    rng: ChaCha8Rng,
    /// Shift of each layer's wave, as a part of the period.
    shifts: Vec<f64>,
}

impl Demand {
    pub(super) fn new(shape: Shape, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let shifts = (0..shape.layers).map(|_| rng.random()).collect();
        Self {
            shape,
            settings: Settings::default(),
            rng,
            shifts,
        }
    }

    /// Tokens of each expert of each layer in a step.
    pub(super) fn draw(&mut self, step: u64) -> Vec<Vec<u64>> {
        (0..self.shape.layers)
            .map(|layer| self.draw_layer(layer, step))
            .collect()
    }

    fn draw_layer(&mut self, layer: u16, step: u64) -> Vec<u64> {
        let Settings { skew, period, .. } = self.settings;
        let turn = match period {
            0 => 0.0,
            period => (step % period) as f64 / period as f64,
        };
        let shift = turn + self.shifts[usize::from(layer)];
        // Neighbours rise and fall together: the first map places them on one rank.
        let popularity = |expert: u16| {
            let phase = f64::from(expert) / f64::from(self.shape.experts) + shift;
            let hot = self.settings.hot.iter();
            let own = hot.filter(|h| (h.layer, h.expert) == (layer, expert));
            (skew * (TAU * phase).sin()).exp() * own.map(|h| h.factor).product::<f64>()
        };
        let weights: Vec<f64> = (0..self.shape.experts).map(popularity).collect();
        let sum: f64 = weights.iter().sum();
        let mean = |weight: &f64| STEP_TOKENS * weight / sum;
        weights
            .iter()
            .map(|weight| draw_count(&mut self.rng, mean(weight)))
            .collect()
    }
}

/// A count with the mean and variance of a Poisson variable.
fn draw_count(rng: &mut ChaCha8Rng, mean: f64) -> u64 {
    // The sum of 12 uniform variables has variance 1 and is close to normal.
    let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (mean + mean.sqrt() * normal).round().max(0.0) as u64
}
