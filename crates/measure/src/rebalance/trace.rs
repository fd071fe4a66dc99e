//! Demand over time.

use std::f64::consts::PI;
use std::str::FromStr;

use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use siskinbend_placement::Shape;

use super::noise::draw_normal;

/// Exponent of the Zipf law of expert popularity.
const ZIPF_EXPONENT: f64 = 0.7;
/// Experts that drift together, because the same kind of text activates them.
const CLUSTER_EXPERTS: usize = 8;
/// Share of the clusters that change places in popularity over the season.
const SEASON_SHARE: f64 = 0.5;
/// Traffic of the organisations relative to each other.
const ORGANISATIONS: [f64; 10] = [8.0, 6.0, 5.0, 3.0, 2.0, 1.0, 1.0, 1.0, 1.0, 1.0];
/// Deviation of the logarithm of an organisation's popularity of a cluster and of an expert.
const TASTE_DEVIATION: f64 = 0.5;
/// Deviation of the logarithm of an expert's demand around its mean.
const NOISE_DEVIATION: f64 = 0.12;
/// Correlation of that deviation from one second to the next; an answer takes several seconds.
const NOISE_MEMORY: f64 = 0.8;
/// Experts of a layer that a burst hits, and its height.
const BURST_EXPERTS: usize = 4;
const BURST_FACTOR: f64 = 6.0;
/// Traffic of the organisation that comes and goes, relative to all others.
const VISITOR_SHARE: f64 = 0.5;
/// Speed of the slow rank.
const SLOW_SPEED: f64 = 0.6;
const SLOW_RANK: usize = 7;

/// A course of demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Popularity drifts from one season to the next.
    Drift,
    /// A few experts suddenly become hot, twice.
    Burst,
    /// A large organisation arrives and leaves.
    Visitor,
    /// One rank computes slowly for half of the time.
    SlowRank,
    /// Drift, with reports that are late, lost or duplicated.
    Lossy,
    /// Constant demand with noise.
    Steady,
}

impl Kind {
    /// Every trace.
    pub const ALL: [Kind; 6] = [
        Kind::Drift,
        Kind::Burst,
        Kind::Visitor,
        Kind::SlowRank,
        Kind::Lossy,
        Kind::Steady,
    ];

    /// The name in the output.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Drift => "drift",
            Kind::Burst => "burst",
            Kind::Visitor => "organisation",
            Kind::SlowRank => "slow_rank",
            Kind::Lossy => "lossy_counts",
            Kind::Steady => "steady",
        }
    }
}

impl FromStr for Kind {
    type Err = String;

    fn from_str(text: &str) -> Result<Kind, String> {
        let found = Kind::ALL.into_iter().find(|kind| kind.as_str() == text);
        found.ok_or_else(|| format!("there is no trace \"{text}\""))
    }
}

/// Popularity in one layer.
struct Layer {
    /// Logarithm of the popularity at the beginning and the end of the season.
    season: [Vec<f64>; 2],
    /// Logarithm of each organisation's own factor.
    taste: Vec<Vec<f64>>,
    /// Popularity with the organisation that comes and goes; adds up to 1.
    visitor: Vec<f64>,
    /// Experts of the two bursts.
    bursts: [Vec<usize>; 2],
}

/// A course of demand over a number of seconds.
pub struct Trace {
    kind: Kind,
    layers: Vec<Layer>,
    /// Tokens a step and layer over all experts.
    tokens: f64,
    seconds: f64,
}

impl Trace {
    /// Draws a trace.
    pub fn new(kind: Kind, shape: Shape, tokens: f64, seconds: u32, seed: u64) -> Trace {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let experts = usize::from(shape.experts);
        Trace {
            kind,
            layers: (0..shape.layers)
                .map(|_| draw_layer(experts, &mut rng))
                .collect(),
            tokens,
            seconds: f64::from(seconds),
        }
    }

    /// Expected tokens a step of each expert of each layer, without noise.
    pub fn list_demand(&self, second: u32) -> Vec<Vec<f64>> {
        let at = f64::from(second) / self.seconds;
        self.layers.iter().map(|l| self.sum_layer(l, at)).collect()
    }

    /// Speed of each rank.
    pub fn list_speeds(&self, second: u32, ranks: u16) -> Vec<f64> {
        let mut speeds = vec![1.0; usize::from(ranks)];
        let at = f64::from(second) / self.seconds;
        if self.kind == Kind::SlowRank && (0.25..0.75).contains(&at) {
            speeds[SLOW_RANK % usize::from(ranks)] = SLOW_SPEED;
        }
        speeds
    }

    fn sum_layer(&self, layer: &Layer, at: f64) -> Vec<f64> {
        let drifts = matches!(self.kind, Kind::Drift | Kind::Lossy);
        let passed = if drifts {
            0.5 - 0.5 * (PI * at).cos()
        } else {
            0.0
        };
        let [from, to] = &layer.season;
        let all: f64 = ORGANISATIONS.iter().sum();
        let mut demand = vec![0.0; from.len()];
        for (weight, taste) in ORGANISATIONS.iter().zip(&layer.taste) {
            let own: Vec<f64> = (0..from.len())
                .map(|e| (from[e] * (1.0 - passed) + to[e] * passed + taste[e]).exp())
                .collect();
            let sum: f64 = own.iter().sum();
            for (total, popularity) in demand.iter_mut().zip(&own) {
                *total += self.tokens * weight / all * popularity / sum;
            }
        }
        if self.kind == Kind::Visitor && (0.25..0.7).contains(&at) {
            for (total, popularity) in demand.iter_mut().zip(&layer.visitor) {
                *total += self.tokens * VISITOR_SHARE * popularity;
            }
        }
        if self.kind == Kind::Burst {
            for (burst, span) in layer.bursts.iter().zip([0.2..0.45, 0.6..0.8]) {
                if span.contains(&at) {
                    burst.iter().for_each(|e| demand[*e] *= BURST_FACTOR);
                }
            }
        }
        demand
    }
}

/// Deviation of the demand from its mean, correlated over time.
pub struct Noise {
    state: Vec<Vec<f64>>,
    rng: ChaCha8Rng,
}

impl Noise {
    /// Noise in its long-term distribution.
    pub fn new(shape: Shape, seed: u64) -> Noise {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let state = (0..shape.layers)
            .map(|_| (0..shape.experts).map(|_| draw_normal(&mut rng)).collect())
            .collect();
        Noise { state, rng }
    }

    /// Moves on by a second and applies the noise to the demand.
    pub fn disturb(&mut self, demand: &mut [Vec<f64>]) {
        let fresh = (1.0 - NOISE_MEMORY * NOISE_MEMORY).sqrt();
        for (layer, state) in demand.iter_mut().zip(&mut self.state) {
            for (tokens, z) in layer.iter_mut().zip(state) {
                *z = NOISE_MEMORY * *z + fresh * draw_normal(&mut self.rng);
                *tokens *= (NOISE_DEVIATION * *z).exp();
            }
        }
    }
}

fn draw_layer(experts: usize, rng: &mut ChaCha8Rng) -> Layer {
    let mut places: Vec<usize> = (0..experts).collect();
    places.shuffle(rng);
    let from = rank_by_zipf(&places);
    let to = rank_by_zipf(&swap_clusters(&places, rng));
    let mut others: Vec<usize> = (0..experts).collect();
    others.shuffle(rng);
    let visitor: Vec<f64> = rank_by_zipf(&others).iter().map(|l| l.exp()).collect();
    let sum: f64 = visitor.iter().sum();
    let mut hit: Vec<usize> = (0..experts).collect();
    hit.shuffle(rng);
    let burst = BURST_EXPERTS.min(experts / 2);
    Layer {
        season: [from, to],
        taste: ORGANISATIONS
            .iter()
            .map(|_| draw_taste(experts, rng))
            .collect(),
        visitor: visitor.iter().map(|v| v / sum).collect(),
        bursts: [hit[..burst].to_vec(), hit[burst..2 * burst].to_vec()],
    }
}

/// Lets some clusters exchange their places in popularity with each other.
fn swap_clusters(places: &[usize], rng: &mut ChaCha8Rng) -> Vec<usize> {
    let mut next = places.to_vec();
    let mut clusters: Vec<usize> = (0..places.len() / CLUSTER_EXPERTS).collect();
    clusters.shuffle(rng);
    clusters.truncate((clusters.len() as f64 * SEASON_SHARE).round() as usize);
    for (index, cluster) in clusters.iter().enumerate() {
        let other = clusters[(index + 1) % clusters.len()];
        for expert in 0..CLUSTER_EXPERTS {
            next[cluster * CLUSTER_EXPERTS + expert] = places[other * CLUSTER_EXPERTS + expert];
        }
    }
    next
}

fn rank_by_zipf(places: &[usize]) -> Vec<f64> {
    let popularity = |place: &usize| -ZIPF_EXPONENT * (*place as f64 + 1.0).ln();
    places.iter().map(popularity).collect()
}

fn draw_taste(experts: usize, rng: &mut ChaCha8Rng) -> Vec<f64> {
    let clusters: Vec<f64> = (0..experts.div_ceil(CLUSTER_EXPERTS))
        .map(|_| draw_normal(rng))
        .collect();
    (0..experts)
        .map(|e| TASTE_DEVIATION * (clusters[e / CLUSTER_EXPERTS] + draw_normal(rng)))
        .collect()
}
