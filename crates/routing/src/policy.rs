//! The policies that pick one of the usable replicas.

use rand::Rng;
use rand::RngCore;
use rand::seq::index::sample;
use serde::Deserialize;
use serde::Serialize;

/// Which policy a picker follows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
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

impl Kind {
    /// Every policy, baselines first.
    pub const ALL: [Kind; 5] = [
        Kind::Random,
        Kind::RoundRobin,
        Kind::LeastReported,
        Kind::TwoChoices,
        Kind::Siskinbend,
    ];

    /// The name in settings and output.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Random => "random",
            Kind::RoundRobin => "round_robin",
            Kind::LeastReported => "least_reported",
            Kind::TwoChoices => "two_choices",
            Kind::Siskinbend => "siskinbend",
        }
    }

    /// Builds the policy.
    pub(crate) fn build(self, tuning: Tuning) -> Box<dyn Policy> {
        match self {
            Kind::Random => Box::new(Random),
            Kind::RoundRobin => Box::new(RoundRobin::default()),
            Kind::LeastReported => Box::new(LeastReported),
            Kind::TwoChoices => Box::new(TwoChoices),
            Kind::Siskinbend => Box::new(Siskinbend { tuning }),
        }
    }
}

/// Parameters of siskinbend's own policy.
#[derive(Debug, Clone, Copy)]
pub struct Tuning {
    /// Random replicas whose corrected loads are compared.
    pub choices: usize,
    /// Replicas, in the order of the consistent hash, that may serve a prefix.
    pub homes: usize,
    /// Largest load of a home as a multiple of the mean load.
    pub bound: f64,
    /// Load, in requests per slot, above which a home must not exceed the mean. Waiting for a slot
    /// there would cost more than the cached prefix saves.
    pub ceiling: f64,
    /// Mean load, in requests per slot, from which all replicas count as saturated.
    pub saturation: f64,
    /// Largest load of a home as a multiple of the mean load when all are saturated.
    pub leeway: f64,
    /// Mean load of the own zone, in requests per slot, up to which nothing spills.
    pub spill: f64,
    /// Largest load of the own zone as a multiple of the mean load, above `spill`.
    pub tilt: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            choices: 3,
            homes: 2,
            bound: 1.25,
            ceiling: 0.95,
            saturation: 1.1,
            leeway: 1.08,
            spill: 0.7,
            tilt: 1.03,
        }
    }
}

/// What a policy sees of one usable replica.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Requests running or waiting per slot, as last reported.
    pub reported: f64,
    /// The same after the correction by the entry's own work since the report and by the
    /// replica's speed.
    pub corrected: f64,
    /// Load that one more request adds.
    pub step: f64,
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
            .map(|c| c.reported)
            .fold(f64::INFINITY, f64::min);
        let ties = || (0..from.len()).filter(|i| from[*i].reported <= least);
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
        if from[b].reported < from[a].reported {
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
        let limit = self.tuning.spill.max(mean(from, &all) * self.tuning.tilt);
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
        let leeway = if mean > self.tuning.saturation {
            self.tuning.leeway
        } else {
            1.0
        };
        let limit = (mean * self.tuning.bound).min(self.tuning.ceiling.max(mean * leeway));
        let mut homes: Vec<(u64, usize)> = scope
            .iter()
            .filter_map(|i| Some((from[*i].affinity?, *i)))
            .collect();
        homes.sort_unstable_by(|a, b| b.cmp(a));
        let fits = |i: &usize| from[*i].corrected <= limit + from[*i].step;
        homes
            .into_iter()
            .take(self.tuning.homes)
            .map(|(_, i)| i)
            .find(fits)
    }
}

/// Mean corrected load of some candidates, which are never none.
fn mean(from: &[Candidate], scope: &[usize]) -> f64 {
    let sum: f64 = scope.iter().map(|i| from[*i].corrected).sum();
    sum / scope.len().max(1) as f64
}

impl Policy for Siskinbend {
    fn pick(&mut self, from: &[Candidate], rng: &mut dyn RngCore) -> usize {
        let scope = self.scope(from);
        if let Some(home) = self.home(from, &scope) {
            return home;
        }
        let amount = self.tuning.choices.clamp(1, scope.len());
        let drawn = sample(rng, scope.len(), amount)
            .into_iter()
            .map(|i| scope[i]);
        drawn
            .min_by(|a, b| from[*a].corrected.total_cmp(&from[*b].corrected))
            .unwrap_or(0)
    }
}
