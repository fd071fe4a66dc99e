//! Estimates the demand of each expert and the speed of each rank from the reported counts.

use std::collections::VecDeque;

use crate::codec::Report;
use crate::map::ExpertMap;
use crate::map::FULL_SHARE;
use crate::map::Shape;

/// Weight of an interval relative to the next one, for a memory of about four intervals.
const DECAY: f64 = 0.75;
/// Prior for the relative standard deviation of one interval's demand, and its weight as a number
/// of observed differences between intervals.
const PRIOR_DEVIATION: f64 = 0.15;
const PRIOR_WEIGHT: f64 = 256.0;
/// Maximum correlation of adjacent intervals; also assumed while the correlation is unknown.
const MAX_CORRELATION: f64 = 0.5;
/// Standard deviations between an interval and the mean above which the demand has jumped.
const MIN_JUMP_DEVIATIONS: f64 = 5.0;
/// Ratio of demand to the mean above which a jump is a burst.
const MIN_BURST_RATIO: f64 = 1.5;
/// Sum of the squared distances of eight intervals from their centre. The variance of a fitted
/// slope is that of one interval divided by this.
const SLOPE_VARIANCE_DIVISOR: f64 = 42.0;
/// Minimum number of intervals before the first plan.
const MIN_READY_INTERVALS: u32 = 2;
/// Number of recent intervals whose counts are kept. A report of an older interval is rejected.
const WINDOW_INTERVALS: u32 = 8;
/// Number of maps kept to interpret reports from before a switch.
const MAX_MAPS: usize = 8;
/// Relative difference from the median speed that counts as noise.
const SPEED_TOLERANCE: f64 = 0.08;
/// Minimum speed relative to the median; its inverse is the maximum. Without it, a rank that stalls
/// for most of an interval would have a speed close to 0.
const MIN_SPEED: f64 = 0.05;
/// Weight of a new speed in the smoothed speed.
const SPEED_SMOOTHING: f64 = 0.6;

/// Estimated demand of one layer.
#[derive(Debug, Clone, PartialEq)]
pub struct LayerDemand {
    /// Tokens per step of each expert, as an exponentially decayed mean.
    pub mean: Vec<f64>,
    /// Tokens per step of each expert in the newest interval.
    pub latest: Vec<f64>,
    /// Change of the tokens per step from one interval to the next, by expert.
    pub trend: Vec<f64>,
    /// Variance of one interval's tokens per step around the mean, by expert.
    pub variance: Vec<f64>,
    /// Tokens per step that a placement is planned for: the mean, or the newest interval for an
    /// expert whose demand has jumped.
    pub planned: Vec<f64>,
    /// Variance of the planned tokens, as an estimate of the true demand, by expert.
    pub error_variance: Vec<f64>,
    /// Number of experts without any count yet; the mean of the others is assumed for them.
    pub uncounted: usize,
}

impl Demand {
    /// Returns whether the counts suffice for a plan: every expert was counted, or the ranks had
    /// enough time to report all that they will.
    pub fn is_ready(&self) -> bool {
        let seen = self.layers.iter().all(|l| l.uncounted == 0);
        let counted = self
            .layers
            .iter()
            .all(|l| l.planned.iter().sum::<f64>() > 0.0);
        counted
            && (seen && self.intervals >= MIN_READY_INTERVALS || self.intervals >= WINDOW_INTERVALS)
    }
}

impl LayerDemand {
    fn new(experts: usize) -> LayerDemand {
        let zeros = vec![0.0; experts];
        LayerDemand {
            mean: zeros.clone(),
            latest: zeros.clone(),
            trend: zeros.clone(),
            variance: zeros.clone(),
            planned: zeros.clone(),
            error_variance: zeros,
            uncounted: 0,
        }
    }

    /// Experts whose demand rose suddenly, in descending order of the rise.
    pub fn list_bursts(&self) -> Vec<usize> {
        let excess = |e: usize| self.latest[e] - self.mean[e];
        let mut bursts: Vec<usize> = (0..self.mean.len())
            .filter(|e| self.has_jumped(*e) && self.latest[*e] > MIN_BURST_RATIO * self.mean[*e])
            .collect();
        bursts.sort_by(|a, b| excess(*b).total_cmp(&excess(*a)));
        bursts
    }

    /// Whether the newest interval differs from the mean by more than noise.
    fn has_jumped(&self, expert: usize) -> bool {
        let difference = (self.latest[expert] - self.mean[expert]).abs();
        difference > MIN_JUMP_DEVIATIONS * self.variance[expert].sqrt()
    }

    /// Number of intervals in which the demand changes by the given fraction.
    pub fn estimate_lifetime(&self, part: f64) -> f64 {
        let squares = |values: &[f64]| values.iter().map(|v| v * v).sum::<f64>();
        let noise = self.variance.iter().sum::<f64>() / SLOPE_VARIANCE_DIVISOR;
        let drift = (squares(&self.trend) - noise).max(0.0).sqrt();
        part * squares(&self.mean).sqrt() / drift.max(f64::MIN_POSITIVE)
    }

    /// Sets the planned demand to a forecast some intervals ahead. The trend of each expert is
    /// shrunk by the fraction of it that noise explains.
    pub fn forecast(&mut self, intervals: f64) {
        for expert in 0..self.mean.len() {
            if self.has_jumped(expert) {
                continue;
            }
            let square = self.trend[expert].powi(2);
            let noise = self.variance[expert] / SLOPE_VARIANCE_DIVISOR;
            let reliability = square / (square + noise).max(f64::MIN_POSITIVE);
            let ahead = self.mean[expert] + intervals * reliability * self.trend[expert];
            self.planned[expert] = ahead.max(0.5 * self.mean[expert]);
        }
    }

    /// Fills in the mean of the other experts for experts without any count.
    fn fill_uncounted(&mut self) {
        let seen: Vec<f64> = self.mean.iter().copied().filter(|m| !m.is_nan()).collect();
        self.uncounted = self.mean.len() - seen.len();
        let average = seen.iter().sum::<f64>() / seen.len().max(1) as f64;
        for expert in 0..self.mean.len() {
            if self.mean[expert].is_nan() {
                self.mean[expert] = average;
                self.latest[expert] = average;
            }
        }
    }

    /// Sets the planned demand and its variance. On entry, mean, newest interval and variance are
    /// set, and `error_variance` holds the variance of each mean relative to that of one interval.
    fn plan(&mut self) {
        for expert in 0..self.mean.len() {
            let jumped = self.has_jumped(expert);
            self.planned[expert] = match jumped {
                true => self.latest[expert],
                false => self.mean[expert],
            };
            let kept = if jumped {
                1.0
            } else {
                self.error_variance[expert]
            };
            self.error_variance[expert] = self.variance[expert] * kept;
        }
    }
}

/// Estimated demand of a group.
#[derive(Debug, Clone, PartialEq)]
pub struct Demand {
    /// The layers.
    pub layers: Vec<LayerDemand>,
    /// Speed of each rank relative to the median of the ranks.
    pub speeds: Vec<f64>,
    /// Number of intervals so far.
    pub intervals: u32,
    /// Steps per interval.
    pub steps: f64,
}

/// Reason why a report was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum ReportError {
    /// the report names a rank that the group doesn't have
    UnknownRank,
    /// the map version of the report is unknown
    UnknownMap,
    /// the number of counts doesn't match the map
    WrongSize,
    /// the report has already been counted
    Duplicate,
    /// the interval of the report is too old
    Late,
}

impl ReportError {
    /// The name in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            ReportError::UnknownRank => "unknown_rank",
            ReportError::UnknownMap => "unknown_map",
            ReportError::WrongSize => "wrong_size",
            ReportError::Duplicate => "duplicate",
            ReportError::Late => "late",
        }
    }
}

/// Tokens and observed steps of each expert of each layer in one interval.
#[derive(Debug, Clone)]
struct Interval {
    tokens: Vec<f64>,
    steps: Vec<f64>,
}

/// State of one rank.
#[derive(Debug, Clone, Copy, Default)]
struct RankState {
    newest: Option<u32>,
    seen: u32,
    rate: Option<f64>,
}

/// Aggregates reports, which may be late, lost or duplicated, into a demand estimate.
#[derive(Debug, Clone)]
pub struct DemandEstimator {
    shape: Shape,
    maps: VecDeque<ExpertMap>,
    ranks: Vec<RankState>,
    intervals: VecDeque<Interval>,
    /// Last rate of each expert that was dropped with an old interval; NaN if there is none.
    last_rates: Vec<f64>,
    newest: Option<u32>,
    counted: u32,
    steps: f64,
}

impl DemandEstimator {
    /// Creates an estimator without reports.
    pub fn new(shape: Shape, map: ExpertMap) -> DemandEstimator {
        DemandEstimator {
            shape,
            maps: VecDeque::from([map]),
            ranks: vec![RankState::default(); usize::from(shape.ranks)],
            intervals: VecDeque::new(),
            last_rates: vec![f64::NAN; usize::from(shape.layers) * usize::from(shape.experts)],
            newest: None,
            counted: 0,
            steps: 0.0,
        }
    }

    /// Adds a map so that reports made under it can be interpreted. Call it at every switch.
    pub fn add_map(&mut self, map: ExpertMap) {
        self.maps.push_front(map);
        self.maps.truncate(MAX_MAPS);
    }

    /// Adds a report.
    ///
    /// The tokens of an expert are divided by the share of its traffic that the reporting ranks
    /// carry, so a lost report increases the variance of the estimate but doesn't bias it.
    ///
    /// # Errors
    ///
    /// Returns an error if the report was not counted.
    pub fn ingest(&mut self, report: &Report) -> Result<(), ReportError> {
        let rank = usize::from(report.rank);
        let state = *self.ranks.get(rank).ok_or(ReportError::UnknownRank)?;
        let map = self.maps.iter().find(|m| m.version == report.version);
        let map = map.ok_or(ReportError::UnknownMap)?;
        let hosted: Vec<Vec<(usize, u16)>> = map
            .layers
            .iter()
            .map(|layer| layer.list_hosted(report.rank).collect())
            .collect();
        let sizes = report.layers.iter().map(Vec::len);
        if report.steps == 0 || !sizes.eq(hosted.iter().map(Vec::len)) {
            return Err(ReportError::WrongSize);
        }
        self.ranks[rank] = state.mark(report.interval)?;
        let age = self
            .open_interval(report.interval)
            .ok_or(ReportError::Late)?;
        self.ranks[rank].observe_speed(report);
        self.steps = f64::from(report.steps);
        let interval = &mut self.intervals[age];
        let experts = usize::from(self.shape.experts);
        for (layer, (on, counts)) in hosted.iter().zip(&report.layers).enumerate() {
            for ((expert, share), count) in on.iter().zip(counts) {
                let at = layer * experts + expert;
                interval.tokens[at] += *count as f64;
                interval.steps[at] +=
                    f64::from(report.steps) * f64::from(*share) / f64::from(FULL_SHARE);
            }
        }
        Ok(())
    }

    /// Adds an interval if it is new, and returns its age.
    fn open_interval(&mut self, number: u32) -> Option<usize> {
        let newest = self.newest.unwrap_or(number);
        if number >= newest {
            let fresh = if self.newest.is_some() {
                number - newest
            } else {
                1
            };
            let size = usize::from(self.shape.layers) * usize::from(self.shape.experts);
            for _ in 0..fresh.min(WINDOW_INTERVALS) {
                self.intervals.push_front(Interval {
                    tokens: vec![0.0; size],
                    steps: vec![0.0; size],
                });
                self.counted += 1;
            }
            while self.intervals.len() > WINDOW_INTERVALS as usize {
                self.drop_oldest();
            }
            self.newest = Some(number);
            return Some(0);
        }
        let age = (newest - number) as usize;
        (age < self.intervals.len()).then_some(age)
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.intervals.pop_back() else {
            return;
        };
        for (at, steps) in oldest.steps.iter().enumerate() {
            if *steps > 0.0 {
                self.last_rates[at] = oldest.tokens[at] / steps;
            }
        }
    }

    /// Estimates the demand from the reports so far.
    pub fn estimate(&self) -> Demand {
        let experts = usize::from(self.shape.experts);
        let layers = (0..usize::from(self.shape.layers))
            .map(|layer| self.estimate_layer(layer * experts, experts))
            .collect();
        Demand {
            layers,
            speeds: self.compare_speeds(),
            intervals: self.counted,
            steps: self.steps,
        }
    }

    fn estimate_layer(&self, start: usize, experts: usize) -> LayerDemand {
        let mut layer = LayerDemand::new(experts);
        let mut changes = [Vec::new(), Vec::new()];
        for expert in 0..experts {
            let series = self.list_rates(start + expert);
            let weights: f64 = series
                .iter()
                .map(|(age, _, seen)| decay_weight(*age) * seen)
                .sum();
            if weights <= 0.0 {
                layer.mean[expert] = self.last_rates[start + expert];
                layer.latest[expert] = layer.mean[expert];
                layer.error_variance[expert] = 1.0;
                continue;
            }
            let (mut sum, mut squares) = (0.0, 0.0);
            for (age, rate, seen) in &series {
                sum += decay_weight(*age) * seen * rate;
                squares += (decay_weight(*age) * seen).powi(2);
            }
            let mean = sum / weights;
            layer.error_variance[expert] = squares / (weights * weights);
            layer.mean[expert] = mean;
            layer.latest[expert] = series[0].1;
            layer.trend[expert] = fit_slope(&series);
            if mean <= 0.0 {
                continue;
            }
            for (lag, found) in (1..).zip(&mut changes) {
                let pairs = series.iter().zip(series.iter().skip(lag));
                let square = |new: f64, old: f64| ((new - old) / mean).powi(2) / 2.0;
                found.extend(pairs.map(|(new, old)| square(new.1, old.1)));
            }
        }
        layer.fill_uncounted();
        let (relative, correlation) = pool_variance(&mut changes);
        for (expert, mean) in layer.mean.iter().enumerate() {
            layer.variance[expert] = (relative * mean * mean).max(mean / self.steps.max(1.0));
            layer.error_variance[expert] *= 1.0 + 2.0 * DECAY * correlation;
        }
        layer.plan();
        layer
    }

    /// Age, tokens per step and observed steps of an expert, for the intervals that counted it.
    fn list_rates(&self, at: usize) -> Vec<(usize, f64, f64)> {
        let seen = |(age, interval): (usize, &Interval)| {
            let steps = interval.steps[at];
            (steps > 0.0).then(|| (age, interval.tokens[at] / steps, steps))
        };
        self.intervals.iter().enumerate().filter_map(seen).collect()
    }

    fn compare_speeds(&self) -> Vec<f64> {
        let mut rates: Vec<f64> = self.ranks.iter().filter_map(|r| r.rate).collect();
        let median = find_median(&mut rates).unwrap_or(1.0);
        let compare = |rank: &RankState| match rank.rate {
            Some(rate) if (rate / median - 1.0).abs() > SPEED_TOLERANCE => {
                (rate / median).clamp(MIN_SPEED, 1.0 / MIN_SPEED)
            }
            _ => 1.0,
        };
        self.ranks.iter().map(compare).collect()
    }
}

impl RankState {
    /// Marks an interval as counted.
    fn mark(self, interval: u32) -> Result<RankState, ReportError> {
        let newest = self.newest.unwrap_or(interval);
        if interval > newest || self.newest.is_none() {
            let seen = self.seen.checked_shl(interval - newest).unwrap_or(0) | 1;
            return Ok(RankState {
                newest: Some(interval),
                seen,
                ..self
            });
        }
        let age = newest - interval;
        if age >= WINDOW_INTERVALS {
            return Err(ReportError::Late);
        }
        if self.seen & (1 << age) != 0 {
            return Err(ReportError::Duplicate);
        }
        Ok(RankState {
            seen: self.seen | 1 << age,
            ..self
        })
    }

    /// Updates the tokens per nanosecond of busy time. A stall counts as busy time and lowers the
    /// rate.
    fn observe_speed(&mut self, report: &Report) {
        let tokens: u64 = report.layers.iter().flatten().sum();
        let busy = f64::from(report.busy_ns) * f64::from(report.steps);
        if tokens == 0 || busy <= 0.0 || self.newest != Some(report.interval) {
            return;
        }
        let rate = tokens as f64 / busy;
        self.rate = Some(match self.rate {
            Some(old) => old + SPEED_SMOOTHING * (rate - old),
            None => rate,
        });
    }
}

/// Estimates the relative variance of an interval and the correlation of adjacent intervals over
/// all experts of a layer, from half the squared differences of intervals one and two apart.
///
/// Answers that span two intervals correlate adjacent intervals, so only intervals two apart show
/// the whole variance. The median prevents a burst from raising the variance by which it is
/// detected. The median of a squared standard normal variable is 0.455.
fn pool_variance(changes: &mut [Vec<f64>; 2]) -> (f64, f64) {
    let weight = changes[1].len() as f64;
    let [near, far] = changes
        .each_mut()
        .map(|c| find_median(c).unwrap_or(0.0) / 0.455);
    let prior = PRIOR_DEVIATION * PRIOR_DEVIATION;
    let relative = (far * weight + prior * PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT);
    let correlation = match far > 0.0 {
        true => (1.0 - near / far).clamp(0.0, MAX_CORRELATION),
        false => MAX_CORRELATION,
    };
    (relative, correlation)
}

fn decay_weight(age: usize) -> f64 {
    DECAY.powi(i32::try_from(age).unwrap_or(i32::MAX))
}

/// Slope per interval by least squares. Ages run backwards in time, hence the sign.
fn fit_slope(series: &[(usize, f64, f64)]) -> f64 {
    let count = series.len() as f64;
    let age = series.iter().map(|s| s.0 as f64).sum::<f64>() / count;
    let rate = series.iter().map(|s| s.1).sum::<f64>() / count;
    let (mut above, mut below) = (0.0, 0.0);
    for (a, r, _) in series {
        above += (*a as f64 - age) * (r - rate);
        below += (*a as f64 - age).powi(2);
    }
    if below > 0.0 { -above / below } else { 0.0 }
}

fn find_median(values: &mut [f64]) -> Option<f64> {
    let middle = values.len().checked_sub(1)? / 2;
    Some(*values.select_nth_unstable_by(middle, f64::total_cmp).1)
}
