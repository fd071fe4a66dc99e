//! One policy on one trace.

use std::collections::BTreeSet;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use siskinbend_placement::DemandEstimator;
use siskinbend_placement::ExpertMap;
use siskinbend_placement::MapChange;
use siskinbend_placement::Policy;
use siskinbend_placement::PolicyInput;
use siskinbend_placement::Report;
use siskinbend_placement::Shape;
use siskinbend_placement::bound;
use siskinbend_placement::packing::pack_map;
use siskinbend_types::ByteSize;
use siskinbend_types::Version;

use super::noise::draw_normal;
use super::noise::draw_poisson;
use super::trace::Kind;
use super::trace::Noise;
use super::trace::Trace;

/// Steps in a second.
pub const STEPS_A_SECOND: u32 = 30;
/// Seconds between two reports of a rank.
pub const INTERVAL_S: u32 = 10;
/// Part of an interval in which weights may be loaded, so that a change is in force before the
/// next decision.
const LOADING_S: u64 = 8;
/// Pause of a switch: the ranks exchange their tables between two steps.
const SWITCH_PAUSE_US: u64 = 200;
/// Time of one token on a rank of usual speed.
const TOKEN_NS: f64 = 2_000.0;
/// Deviation of a measured step time.
const CLOCK_DEVIATION: f64 = 0.01;
/// Shares of late, lost and duplicated reports in the lossy trace, and the most intervals of delay.
const LATE_SHARE: f64 = 0.3;
const LOST_SHARE: f64 = 0.25;
const DUPLICATE_SHARE: f64 = 0.1;
const LATE_INTERVALS: u32 = 3;

/// What all policies have in common.
#[derive(Debug, Clone, Copy)]
pub struct Setting {
    /// Size of the group.
    pub shape: Shape,
    /// Seconds of the trace.
    pub seconds: u32,
    /// Expert choices of all tokens of a step in a layer.
    pub tokens: f64,
    /// Weights of one expert in one layer.
    pub expert_size: ByteSize,
    /// Bytes a second from the weight store.
    pub load_rate: ByteSize,
    /// Seed of the trace and its noise.
    pub seed: u64,
}

/// What was measured.
#[derive(Debug, Default)]
pub struct Figures {
    /// Skew of each step.
    pub skews: Vec<f64>,
    /// Replicas loaded.
    pub moves: u64,
    /// Bytes loaded.
    pub bytes: u64,
    /// Map switches.
    pub switches: u64,
    /// Time in which the group paused for switches.
    pub pause_us: u64,
    /// Duration of each decision, divided by the number of layers.
    pub plans_ns: Vec<u64>,
    /// Ranks that loaded anything, summed over all changes.
    pub ranks_touched: u64,
}

impl Figures {
    /// Mean of the skew over all steps.
    pub fn mean_skew(&self) -> f64 {
        self.skews.iter().sum::<f64>() / self.skews.len() as f64
    }
}

/// A policy that runs through a trace.
pub struct Course<'a> {
    setting: Setting,
    kind: Kind,
    /// Equal copies of the policy; the fastest decides on the figure of a plan's duration, because
    /// other processes of the machine interrupt the others.
    policies: &'a mut [Box<dyn Policy>],
    /// Whether changes take force at once, without regard to the weight store.
    instant: bool,
    map: ExpertMap,
    pending: Option<(u32, MapChange)>,
    aggregate: DemandEstimator,
    /// Expected tokens of each expert since the last report or switch.
    counted: Vec<Vec<f64>>,
    steps: u32,
    /// Reports on their way with the interval in which they arrive.
    mail: Vec<(u32, Vec<u8>)>,
    rng: ChaCha8Rng,
    figures: Figures,
}

/// Runs a policy through a trace.
pub fn run(
    setting: Setting,
    kind: Kind,
    policies: &mut [Box<dyn Policy>],
    instant: bool,
) -> Figures {
    let trace = draw_trace(setting, kind);
    let map = start_map(setting, &trace);
    let course = Course {
        setting,
        kind,
        policies,
        instant,
        aggregate: DemandEstimator::new(setting.shape, map.clone()),
        counted: clear_counts(setting.shape),
        steps: 0,
        map,
        pending: None,
        mail: Vec::new(),
        rng: ChaCha8Rng::seed_from_u64(setting.seed ^ 0x7e90),
        figures: Figures::default(),
    };
    course.run(&trace)
}

/// Runs the bound through a trace: the loads that no placement can beat, with the same sampling.
pub fn run_bound(setting: Setting, kind: Kind) -> Figures {
    let trace = draw_trace(setting, kind);
    let mut noise = Noise::new(setting.shape, setting.seed ^ 0x0153);
    let mut rng = ChaCha8Rng::seed_from_u64(setting.seed ^ 0x57e9);
    let mut figures = Figures::default();
    for second in 0..setting.seconds {
        let mut demand = trace.list_demand(second);
        noise.disturb(&mut demand);
        let speeds = trace.list_speeds(second, setting.shape.ranks);
        let fast = vec![1.0; speeds.iter().filter(|s| **s >= 1.0).count()];
        let loads: Vec<Vec<f64>> = demand
            .iter()
            .map(|layer| bound::compute_even_loads(layer.iter().sum(), &speeds))
            .map(|loads| loads.into_iter().flatten().collect())
            .collect();
        let floor: f64 = find_floor(setting.shape, &demand, &speeds);
        for _ in 0..STEPS_A_SECOND {
            let skew = draw_skew(&loads, &fast, &mut rng);
            figures.skews.push(skew.max(floor));
        }
    }
    figures
}

/// Skew that the limited number of replicas enforces, whatever the noise.
fn find_floor(shape: Shape, demand: &[Vec<f64>], speeds: &[f64]) -> f64 {
    if speeds.iter().any(|s| *s != speeds[0]) {
        return 0.0;
    }
    let level: f64 = demand
        .iter()
        .map(|layer| bound::compute_min_peak(shape, layer, speeds))
        .sum();
    let even: f64 = demand.iter().flatten().sum::<f64>() / speeds.iter().sum::<f64>();
    level / even - 1.0
}

fn draw_trace(setting: Setting, kind: Kind) -> Trace {
    Trace::new(
        kind,
        setting.shape,
        setting.tokens,
        setting.seconds,
        setting.seed,
    )
}

/// The map that fits the demand at the beginning: a group that has run for a while.
fn start_map(setting: Setting, trace: &Trace) -> ExpertMap {
    let speeds = vec![1.0; usize::from(setting.shape.ranks)];
    pack_map(setting.shape, &trace.list_demand(0), &speeds, Version(0))
        .expect("the options were checked for room")
}

fn clear_counts(shape: Shape) -> Vec<Vec<f64>> {
    vec![vec![0.0; usize::from(shape.experts)]; usize::from(shape.layers)]
}

/// Draws the loads of one step; every layer waits for its slowest rank.
fn draw_skew(loads: &[Vec<f64>], speeds: &[f64], rng: &mut ChaCha8Rng) -> f64 {
    let (mut slowest, mut mean) = (0.0, 0.0);
    for layer in loads {
        let (mut top, mut sum) = (0.0f64, 0.0);
        for (load, speed) in layer.iter().zip(speeds) {
            let time = draw_poisson(*load, rng) / speed;
            top = top.max(time);
            sum += time;
        }
        slowest += top;
        mean += sum / layer.len() as f64;
    }
    slowest / mean - 1.0
}

impl Course<'_> {
    fn run(mut self, trace: &Trace) -> Figures {
        let shape = self.setting.shape;
        let mut noise = Noise::new(shape, self.setting.seed ^ 0x0153);
        let mut steps_rng = ChaCha8Rng::seed_from_u64(self.setting.seed ^ 0x57e9);
        for second in 0..self.setting.seconds {
            self.switch_when_loaded(second);
            let mut demand = trace.list_demand(second);
            noise.disturb(&mut demand);
            let speeds = trace.list_speeds(second, shape.ranks);
            let loads: Vec<Vec<f64>> = self
                .map
                .layers
                .iter()
                .zip(&demand)
                .map(|(layer, tokens)| layer.sum_loads(tokens, shape.ranks))
                .collect();
            for _ in 0..STEPS_A_SECOND {
                let skew = draw_skew(&loads, &speeds, &mut steps_rng);
                self.figures.skews.push(skew);
            }
            self.count(&demand);
            if (second + 1) % INTERVAL_S == 0 {
                self.report(second / INTERVAL_S, &speeds);
                self.decide(second + 1);
            }
        }
        self.figures
    }

    fn count(&mut self, demand: &[Vec<f64>]) {
        for (total, tokens) in self
            .counted
            .iter_mut()
            .flatten()
            .zip(demand.iter().flatten())
        {
            *total += tokens * f64::from(STEPS_A_SECOND);
        }
        self.steps += STEPS_A_SECOND;
    }

    /// Sends the report of every rank and delivers what is due.
    fn report(&mut self, interval: u32, speeds: &[f64]) {
        let lossy = self.kind == Kind::Lossy;
        for rank in 0..self.setting.shape.ranks {
            let report = self.draw_report(rank, interval, speeds[usize::from(rank)]);
            if self.steps == 0 || (lossy && self.rng.random_bool(LOST_SHARE)) {
                continue;
            }
            let late = lossy && self.rng.random_bool(LATE_SHARE);
            let delay = if late {
                self.rng.random_range(1..=LATE_INTERVALS)
            } else {
                0
            };
            let bytes = report.encode();
            if lossy && self.rng.random_bool(DUPLICATE_SHARE) {
                self.mail.push((interval + delay + 1, bytes.clone()));
            }
            self.mail.push((interval + delay, bytes));
        }
        self.counted = clear_counts(self.setting.shape);
        self.steps = 0;
        let shape = self.setting.shape;
        let aggregate = &mut self.aggregate;
        self.mail.retain(|(due, bytes)| {
            if *due <= interval {
                // A refused report is a duplicate or too late; the aggregate has no use for it.
                let report = Report::decode(bytes, shape).expect("a report decodes");
                let _ = aggregate.ingest(&report);
            }
            *due > interval
        });
    }

    fn draw_report(&mut self, rank: u16, interval: u32, speed: f64) -> Report {
        let mut layers = Vec::with_capacity(self.map.layers.len());
        for (layer, tokens) in self.map.layers.iter().zip(&self.counted) {
            let counts = layer.list_hosted(rank).map(|(expert, share)| {
                let mean = tokens[expert] * f64::from(share) / 10_000.0;
                draw_poisson(mean, &mut self.rng) as u64
            });
            layers.push(counts.collect::<Vec<u64>>());
        }
        let tokens: u64 = layers.iter().flatten().sum();
        let error = 1.0 + CLOCK_DEVIATION * draw_normal(&mut self.rng);
        let busy = tokens as f64 * TOKEN_NS / speed * error / f64::from(self.steps.max(1));
        Report {
            version: self.map.version,
            interval,
            rank,
            steps: self.steps,
            busy_ns: busy as u32,
            layers,
        }
    }

    fn decide(&mut self, second: u32) {
        if self.pending.is_some() {
            return;
        }
        let setting = self.setting;
        let demand = self.aggregate.estimate();
        let view = PolicyInput {
            shape: setting.shape,
            map: &self.map,
            demand: &demand,
            expert_size: setting.expert_size,
            budget: ByteSize(setting.load_rate.0 * LOADING_S),
        };
        let mut spent = u64::MAX;
        let mut decisions = Vec::new();
        for policy in self.policies.iter_mut() {
            let begin = Instant::now();
            decisions.push(policy.decide(&view));
            spent = spent.min(begin.elapsed().as_nanos() as u64);
        }
        self.figures
            .plans_ns
            .push(spent / u64::from(setting.shape.layers));
        let same = decisions.windows(2).all(|pair| pair[0] == pair[1]);
        assert!(same, "second {second}: equal policies decided differently");
        let Some(decision) = decisions.pop() else {
            return;
        };
        let Some(change) = decision.change else {
            return;
        };
        let bytes = change.loads.len() as u64 * setting.expert_size.0;
        let ranks: BTreeSet<u16> = change.loads.iter().map(|l| l.rank).collect();
        self.figures.moves += change.loads.len() as u64;
        self.figures.bytes += bytes;
        self.figures.ranks_touched += ranks.len() as u64;
        let loading = bytes.div_ceil(setting.load_rate.0);
        let ready = second + if self.instant { 0 } else { loading as u32 };
        self.pending = Some((ready, change));
    }

    fn switch_when_loaded(&mut self, second: u32) {
        let Some((_, change)) = self.pending.take_if(|(ready, _)| *ready <= second) else {
            return;
        };
        let checked = change.map.validate(self.setting.shape);
        assert!(checked.is_ok(), "second {second}: {checked:?}");
        self.map = change.map;
        self.aggregate.add_map(self.map.clone());
        self.figures.switches += 1;
        self.figures.pause_us += SWITCH_PAUSE_US;
        self.counted = clear_counts(self.setting.shape);
        self.steps = 0;
    }
}
