//! The policies that pick one of the usable replicas.

use rand::Rng;
use rand::RngCore;
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
    pub(crate) fn build(self) -> Box<dyn Policy> {
        match self {
            Kind::Random => Box::new(Random),
            Kind::RoundRobin => Box::new(RoundRobin::default()),
            Kind::LeastReported => Box::new(LeastReported),
            Kind::TwoChoices => Box::new(TwoChoices),
            Kind::Siskinbend => Box::new(Siskinbend),
        }
    }
}

/// What a policy sees of one usable replica.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Share of the slots that the last report shows in use or waited for.
    pub reported: f64,
    /// The same after the correction by the entry's own work since the report.
    pub corrected: f64,
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

/// The position with the least value; ties go to the first.
fn least<Value>(from: &[Candidate], value: Value) -> usize
where
    Value: Fn(&Candidate) -> f64,
{
    (0..from.len())
        .min_by(|a, b| value(&from[*a]).total_cmp(&value(&from[*b])))
        .unwrap_or(0)
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
    fn pick(&mut self, from: &[Candidate], _rng: &mut dyn RngCore) -> usize {
        least(from, |c| c.reported)
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

struct Siskinbend;

impl Policy for Siskinbend {
    fn pick(&mut self, from: &[Candidate], rng: &mut dyn RngCore) -> usize {
        let a = rng.random_range(0..from.len());
        let b = rng.random_range(0..from.len());
        if from[b].corrected < from[a].corrected {
            b
        } else {
            a
        }
    }
}
