//! Generator of the token count of each expert in each step, with skew, drift and noise.

use std::f64::consts::TAU;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use serde::Serialize;
use siskinbend_placement::Shape;

/// Mean number of tokens that each layer routes in a step.
pub const TOKENS_PER_STEP: f64 = 4_096.0;

/// An expert whose popularity is multiplied.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HotExpert {
    /// Index of the layer.
    pub layer: u16,
    /// Index of the expert within its layer.
    pub expert: u16,
    /// Factor by which its popularity is multiplied.
    pub factor: f64,
}

/// Body of `POST /demand`; it replaces all settings, and absent fields take their default.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DemandSettings {
    /// Amplitude of the logarithm of an expert's popularity; 0 makes all experts equally popular.
    pub skew: f64,
    /// Period of the popularity drift in steps; 0 disables the drift.
    pub period: u64,
    /// Experts whose popularity is multiplied by a factor.
    pub hot: Vec<HotExpert>,
}

impl Default for DemandSettings {
    fn default() -> Self {
        Self {
            skew: 1.0,
            period: 100_000,
            hot: Vec::new(),
        }
    }
}

/// Draws the token counts of consecutive steps.
#[derive(Debug)]
pub(super) struct DemandGenerator {
    shape: Shape,
    pub(super) settings: DemandSettings,
    rng: ChaCha8Rng,
    /// Phase of each layer's popularity wave, as a fraction of the period.
    phase_shifts: Vec<f64>,
}

impl DemandGenerator {
    pub(super) fn new(shape: Shape, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let phase_shifts = (0..shape.layers).map(|_| rng.random()).collect();
        Self {
            shape,
            settings: DemandSettings::default(),
            rng,
            phase_shifts,
        }
    }

    /// Draws the tokens of each expert in a step, by layer.
    pub(super) fn draw(&mut self, step: u64) -> Vec<Vec<u64>> {
        (0..self.shape.layers)
            .map(|layer| self.draw_layer(layer, step))
            .collect()
    }

    fn draw_layer(&mut self, layer: u16, step: u64) -> Vec<u64> {
        let DemandSettings { skew, period, .. } = self.settings;
        let drift = match period {
            0 => 0.0,
            period => (step % period) as f64 / period as f64,
        };
        let shift = drift + self.phase_shifts[usize::from(layer)];
        // Experts with adjacent indices rise and fall together. The initial map places them on one
        // rank, so that the drift skews the load of the ranks.
        let popularity = |expert: u16| {
            let phase = f64::from(expert) / f64::from(self.shape.experts) + shift;
            let hot = self.settings.hot.iter();
            let matching = hot.filter(|h| (h.layer, h.expert) == (layer, expert));
            (skew * (TAU * phase).sin()).exp() * matching.map(|h| h.factor).product::<f64>()
        };
        let weights: Vec<f64> = (0..self.shape.experts).map(popularity).collect();
        let sum: f64 = weights.iter().sum();
        let mean = |weight: &f64| TOKENS_PER_STEP * weight / sum;
        weights
            .iter()
            .map(|weight| draw_count(&mut self.rng, mean(weight)))
            .collect()
    }
}

/// Draws a count whose mean and variance approximate those of a Poisson variable.
fn draw_count(rng: &mut ChaCha8Rng, mean: f64) -> u64 {
    // The sum of 12 uniform variables has variance 1 and is approximately normal.
    let normal = (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0;
    (mean + mean.sqrt() * normal).round().max(0.0) as u64
}
