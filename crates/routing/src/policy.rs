//! The policies that pick one of the usable replicas.

use rand::Rng;
use rand::RngCore;
use rand::seq::index::sample;
use serde::Deserialize;
use serde::Serialize;

/// Which policy a picker follows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// Any replica with equal chance.
    Random,
    /// Each replica in turn.
    RoundRobin,
    /// The replica whose last report shows the least load.
    LeastReported,
    /// The one of two random replicas whose last report shows less load.
    TwoChoices,
    /// Corrected load, prefix affinity with bounded load, own zone first.
    #[default]
    Siskinbend,
}

impl PolicyKind {
    /// Every policy, baselines first.
    pub const ALL: [PolicyKind; 5] = [
        PolicyKind::Random,
        PolicyKind::RoundRobin,
        PolicyKind::LeastReported,
        PolicyKind::TwoChoices,
        PolicyKind::Siskinbend,
    ];

    /// The name in settings and output.
    pub fn as_str(self) -> &'static str {
        match self {
            PolicyKind::Random => "random",
            PolicyKind::RoundRobin => "round_robin",
            PolicyKind::LeastReported => "least_reported",
            PolicyKind::TwoChoices => "two_choices",
            PolicyKind::Siskinbend => "siskinbend",
        }
    }

    /// Builds the policy.
    pub(crate) fn build(self, tuning: Tuning) -> Box<dyn Policy> {
        match self {
            PolicyKind::Random => Box::new(Random),
            PolicyKind::RoundRobin => Box::new(RoundRobin::default()),
            PolicyKind::LeastReported => Box::new(LeastReported),
            PolicyKind::TwoChoices => Box::new(TwoChoices),
            PolicyKind::Siskinbend => Box::new(Siskinbend { tuning }),
        }
    }
}

/// Parameters of siskinbend's own policy.
#[derive(Debug, Clone, Copy)]
pub struct Tuning {
    /// Random replicas whose corrected loads are compared.
    pub sample_size: usize,
    /// Replicas, in the order of the consistent hash, that may serve a prefix.
    pub affinity_replicas: usize,
    /// Largest load of a home as a multiple of the mean load.
    pub affinity_bound: f64,
    /// Load, in requests per slot, above which a home must not exceed the mean. Waiting for a slot
    /// there would cost more than the cached prefix saves.
    pub affinity_ceiling: f64,
    /// Mean load, in requests per slot, from which all replicas count as saturated.
    pub saturation_load: f64,
    /// Largest load of a home as a multiple of the mean load when all are saturated.
    pub saturated_bound: f64,
    /// Mean load of the own zone, in requests per slot, up to which nothing spills.
    pub spill_load: f64,
    /// Largest load of the own zone as a multiple of the mean load, above `spill`.
    pub spill_ratio: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            sample_size: 3,
            affinity_replicas: 2,
            affinity_bound: 1.25,
            affinity_ceiling: 0.95,
            saturation_load: 1.1,
            saturated_bound: 1.08,
            spill_load: 0.7,
            spill_ratio: 1.03,
        }
    }
}

/// What a policy sees of one usable replica.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Requests running or waiting per slot, as last reported.
    pub reported_load: f64,
    /// The same after the correction by the entry's own work since the report and by the
    /// replica's speed.
    pub corrected_load: f64,
    /// Load that one more request adds.
    pub added_load: f64,
    /// Whether the replica is in the entry's own availability zone.
    pub local: bool,
    /// Hash of the replica and the prompt prefix, if the request has one.
    pub affinity: Option<u64>,
}

/// Picks one of several usable replicas.
pub trait Policy: Send {
    /// The position of the choice in `from`, which is never empty.
    fn pick(&mut self, from: &[Candidate], rng: &mut dyn RngCore) -> usize;
}

struct Random;

impl Policy for Random {
    fn pick(&mut self, from: &[Candidate], rng: &mut dyn RngCore) -> usize {
        rng.random_range(0..from.len())
    }
}

#[derive(Default)]
struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn pick(&mut self, from: &[Candidate], _rng: &mut dyn RngCore) -> usize {
        self.next = self.next.wrapping_add(1);
        self.next % from.len()
    }
}

struct LeastReported;

impl Policy for LeastReported {
    fn pick(&mut self, from: &[Candidate], rng: &mut dyn RngCore) -> usize {
        // Ties are broken at random; the first replica would otherwise take all of an idle fleet.
        let least = from
            .iter()
            .map(|c| c.reported_load)
            .fold(f64::INFINITY, f64::min);
        let ties = || (0..from.len()).filter(|i| from[*i].reported_load <= least);
        ties()
            .nth(rng.random_range(0..ties().count().max(1)))
            .unwrap_or(0)
    }
}

struct TwoChoices;

impl Policy for TwoChoices {
    fn pick(&mut self, from: &[Candidate], rng: &mut dyn RngCore) -> usize {
        let a = rng.random_range(0..from.len());
        let b = rng.random_range(0..from.len());
        if from[b].reported_load < from[a].reported_load {
            b
        } else {
            a
        }
    }
}

/// Prefix affinity with bounded load, then the least corrected load of a few random replicas.
///
/// Comparing only a few random replicas keeps entries that hold the same late report from all
/// choosing the same replica.
struct Siskinbend {
    tuning: Tuning,
}

impl Siskinbend {
    /// The replicas to choose from: those of the own zone unless it is loaded more than the rest.
    fn scope(&self, from: &[Candidate]) -> Vec<usize> {
        let all: Vec<usize> = (0..from.len()).collect();
        let local: Vec<usize> = all.iter().copied().filter(|i| from[*i].local).collect();
        let limit = self
            .tuning
            .spill_load
            .max(mean(from, &all) * self.tuning.spill_ratio);
        if local.is_empty() || mean(from, &local) > limit {
            all
        } else {
            local
        }
    }

    /// The first home of the prefix whose load is within the bound.
    fn home(&self, from: &[Candidate], scope: &[usize]) -> Option<usize> {
        let mean = mean(from, scope);
        // When every replica has a queue, a longer one matters less: the agent lets the
        // organisations that are owed service go first, and a cached prefix saves work.
        let leeway = if mean > self.tuning.saturation_load {
            self.tuning.saturated_bound
        } else {
            1.0
        };
        let limit = (mean * self.tuning.affinity_bound)
            .min(self.tuning.affinity_ceiling.max(mean * leeway));
        let mut homes: Vec<(u64, usize)> = scope
            .iter()
            .filter_map(|i| Some((from[*i].affinity?, *i)))
            .collect();
        homes.sort_unstable_by(|a, b| b.cmp(a));
        let fits = |i: &usize| from[*i].corrected_load <= limit + from[*i].added_load;
        homes
            .into_iter()
            .take(self.tuning.affinity_replicas)
            .map(|(_, i)| i)
            .find(fits)
    }
}

/// Mean corrected load of some candidates, which are never none.
fn mean(from: &[Candidate], scope: &[usize]) -> f64 {
    let sum: f64 = scope.iter().map(|i| from[*i].corrected_load).sum();
    sum / scope.len().max(1) as f64
}

impl Policy for Siskinbend {
    fn pick(&mut self, from: &[Candidate], rng: &mut dyn RngCore) -> usize {
        let scope = self.scope(from);
        if let Some(home) = self.home(from, &scope) {
            return home;
        }
        let amount = self.tuning.sample_size.clamp(1, scope.len());
        let drawn = sample(rng, scope.len(), amount)
            .into_iter()
            .map(|i| scope[i]);
        drawn
            .min_by(|a, b| from[*a].corrected_load.total_cmp(&from[*b].corrected_load))
            .unwrap_or(0)
    }
}
