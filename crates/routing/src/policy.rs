//! The policies that pick one of the usable replicas.

use rand::Rng;
use rand::RngCore;
use rand::seq::index::sample;
use serde::Deserialize;
use serde::Serialize;

/// The policy of a picker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PolicyKind {
    /// Each replica with equal probability.
    Random,
    /// Each replica in turn.
    RoundRobin,
    /// The replica whose last report shows the least load.
    LeastReported,
    /// The replica with less load, of two random ones, according to their last reports.
    TwoChoices,
    /// Corrected load, prefix affinity with bounded load, replicas in the own zone first.
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

/// Parameters of [`PolicyKind::Siskinbend`]. Loads are in requests per slot.
#[derive(Debug, Clone, Copy)]
pub struct Tuning {
    /// Number of random replicas whose corrected loads are compared.
    pub sample_size: usize,
    /// Number of replicas, in the order of the rendezvous hash, that may be chosen for a cached
    /// prefix.
    pub affinity_replicas: usize,
    /// Largest load of a replica chosen for its cached prefix, as a multiple of the mean load.
    pub affinity_bound: f64,
    /// Load above which a replica chosen for its cached prefix must not exceed the mean load.
    /// Waiting for a slot there would cost more than the cached prefix saves.
    pub affinity_ceiling: f64,
    /// Mean load above which all replicas count as saturated.
    pub saturation_load: f64,
    /// Largest load of such a replica above `affinity_ceiling`, as a multiple of the mean load,
    /// while all replicas are saturated.
    pub saturated_bound: f64,
    /// Mean load of the own zone up to which no requests go to other zones. Replicas of lock-step
    /// groups have no such load: every request slows all others of its group down.
    pub spill_load: f64,
    /// Above `spill_load`, the largest load of the own zone as a multiple of the mean load.
    pub spill_ratio: f64,
    /// Smallest share of the usable replicas that are in the own zone for it to be preferred. The
    /// first replicas of a zone that comes back are idle, and would get all its requests.
    pub min_local_share: f64,
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
            min_local_share: 0.125,
        }
    }
}

/// Properties of one usable replica.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Requests that run or wait per slot, as last reported.
    pub reported_load: f64,
    /// Reported load corrected by the entry's own changes since the report and by the replica's
    /// hold time.
    pub corrected_load: f64,
    /// Corrected load that one more request adds.
    pub added_load: f64,
    /// Whether the replica is in the entry's own availability zone.
    pub local: bool,
    /// Whether the replica runs in lock-step with others.
    pub grouped: bool,
    /// Rendezvous hash of the replica and the prompt prefix, if the request has one.
    pub affinity: Option<u64>,
}

/// Picks one of several usable replicas.
pub trait Policy: Send {
    /// Returns the index of the chosen candidate; there is at least one.
    fn pick(&mut self, candidates: &[Candidate], rng: &mut dyn RngCore) -> usize;
}

struct Random;

impl Policy for Random {
    fn pick(&mut self, candidates: &[Candidate], rng: &mut dyn RngCore) -> usize {
        rng.random_range(0..candidates.len())
    }
}

#[derive(Default)]
struct RoundRobin {
    next: usize,
}

impl Policy for RoundRobin {
    fn pick(&mut self, candidates: &[Candidate], _rng: &mut dyn RngCore) -> usize {
        self.next = self.next.wrapping_add(1);
        self.next % candidates.len()
    }
}

struct LeastReported;

impl Policy for LeastReported {
    fn pick(&mut self, candidates: &[Candidate], rng: &mut dyn RngCore) -> usize {
        // Ties are broken at random. Otherwise the first replica would receive all requests while
        // the fleet is idle.
        let least = candidates
            .iter()
            .map(|c| c.reported_load)
            .fold(f64::INFINITY, f64::min);
        let ties = || (0..candidates.len()).filter(|i| candidates[*i].reported_load <= least);
        ties()
            .nth(rng.random_range(0..ties().count().max(1)))
            .unwrap_or(0)
    }
}

struct TwoChoices;

impl Policy for TwoChoices {
    fn pick(&mut self, candidates: &[Candidate], rng: &mut dyn RngCore) -> usize {
        let a = rng.random_range(0..candidates.len());
        let b = rng.random_range(0..candidates.len());
        if candidates[b].reported_load < candidates[a].reported_load {
            b
        } else {
            a
        }
    }
}

/// Prefix affinity with bounded load, then the least corrected load of a few random replicas.
///
/// Only a few random replicas are compared: entries with the same outdated report would otherwise
/// all choose the same replica.
struct Siskinbend {
    tuning: Tuning,
}

impl Siskinbend {
    /// Returns the candidates in the own zone, or all candidates if the own zone has too much load or
    /// too few of them.
    fn filter_by_zone(&self, candidates: &[Candidate]) -> Vec<usize> {
        let all: Vec<usize> = (0..candidates.len()).collect();
        let local: Vec<usize> = all
            .iter()
            .copied()
            .filter(|i| candidates[*i].local)
            .collect();
        let spill_load = match candidates.iter().any(|c| c.grouped) {
            true => 0.0,
            false => self.tuning.spill_load,
        };
        let limit = spill_load.max(mean_load(candidates, &all) * self.tuning.spill_ratio);
        let min_local = all.len() as f64 * self.tuning.min_local_share;
        let is_small = local.is_empty() || (local.len() as f64) < min_local;
        if is_small || mean_load(candidates, &local) > limit {
            all
        } else {
            local
        }
    }

    /// Returns the first candidate for the prefix, in the order of the rendezvous hash, whose load
    /// is within the bound.
    fn find_by_prefix(&self, candidates: &[Candidate], scope: &[usize]) -> Option<usize> {
        let mean = mean_load(candidates, scope);
        // When every replica has a queue, a longer one matters less: the agent serves first the
        // organisations that are owed service, and a cached prefix saves work.
        let factor = if mean > self.tuning.saturation_load {
            self.tuning.saturated_bound
        } else {
            1.0
        };
        let limit = (mean * self.tuning.affinity_bound)
            .min(self.tuning.affinity_ceiling.max(mean * factor));
        let mut hashed: Vec<(u64, usize)> = scope
            .iter()
            .filter_map(|i| Some((candidates[*i].affinity?, *i)))
            .collect();
        hashed.sort_unstable_by(|a, b| b.cmp(a));
        let fits = |i: &usize| candidates[*i].corrected_load <= limit + candidates[*i].added_load;
        hashed
            .into_iter()
            .take(self.tuning.affinity_replicas)
            .map(|(_, i)| i)
            .find(fits)
    }
}

fn mean_load(candidates: &[Candidate], scope: &[usize]) -> f64 {
    let sum: f64 = scope.iter().map(|i| candidates[*i].corrected_load).sum();
    sum / scope.len().max(1) as f64
}

impl Policy for Siskinbend {
    fn pick(&mut self, candidates: &[Candidate], rng: &mut dyn RngCore) -> usize {
        let scope = self.filter_by_zone(candidates);
        if let Some(index) = self.find_by_prefix(candidates, &scope) {
            return index;
        }
        let size = self.tuning.sample_size.clamp(1, scope.len());
        let sampled = sample(rng, scope.len(), size).into_iter().map(|i| scope[i]);
        sampled
            .min_by(|a, b| {
                candidates[*a]
                    .corrected_load
                    .total_cmp(&candidates[*b].corrected_load)
            })
            .unwrap_or(0)
    }
}
