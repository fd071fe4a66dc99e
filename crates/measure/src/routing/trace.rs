//! Generates the requests of a run, and the parameters of the simulated service.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use siskinbend_types::Organisation;
use siskinbend_types::Priority;

/// Number of replicas of the service.
pub const REPLICA_COUNT: usize = 12;
/// Requests that a replica runs concurrently. At the planned size a replica produces 4,160 tokens a
/// second (3.2 million over 770 replicas) in streams of one token each 33 ms.
pub const SLOTS: u32 = 138;
/// Number of entries.
pub const ENTRY_COUNT: usize = 6;
/// Number of availability zones.
pub const ZONE_COUNT: usize = 3;
/// Number of organisations; the first is the large one in the scenario `large`.
pub const ORGANISATION_COUNT: usize = 10;
/// Start and end of the measured interval in microseconds.
pub const MEASURED_US: (u64, u64) = (30_000_000, 150_000_000);
/// Request timeout of the callers in microseconds, from the arrival on.
pub const REQUEST_TIMEOUT_US: u64 = 30_000_000;

/// Request rate of the large organisation as a multiple of the rate of a small one.
const LARGE_RATE: f64 = 20.0;
/// Common prompt prefixes of each organisation.
const PREFIXES: u64 = 20;
/// Share of requests that start with a common prefix.
const PREFIX_SHARE: f64 = 0.8;
/// Share of the prefill time that a cached prefix saves.
pub const CACHED_SAVING: f64 = 0.7;
/// Prefill time without cache in microseconds: minimum, and mean of the exponentially distributed
/// part. 95 % stay below 1.2 s, the time to first token that the planned size allows.
const PREFILL_US: (f64, f64) = (100_000.0, 250_000.0);
/// Time from first to last token in microseconds, as minimum and mean of the exponentially
/// distributed part: 213 tokens (3.2 million over 15,000 requests a second) of 33 ms.
const DECODE_US: (f64, f64) = (2_000_000.0, 5_000_000.0);

/// Returns the requests per second that all replicas can answer if every prefix is cached.
///
/// Goodput is relative to this capacity, so that each cache miss of a prefix lowers it.
pub fn capacity() -> f64 {
    let prefill = (PREFILL_US.0 + PREFILL_US.1) * (1.0 - PREFIX_SHARE * CACHED_SAVING);
    let slot_seconds = (prefill + DECODE_US.0 + DECODE_US.1) / 1e6;
    REPLICA_COUNT as f64 * f64::from(SLOTS) / slot_seconds
}

/// Fault that is injected in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// One backend server stops for 30 s.
    Stalled,
    /// One backend server takes four times as long for each request.
    Slow,
}

/// Distribution of the requests over the organisations.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Senders {
    /// All organisations send at the same rate.
    Equal,
    /// One organisation sends at 20 times the rate of each other one.
    OneLarge,
    /// As `OneLarge`, but without the requests of the large organisation.
    SmallOnly,
}

/// A scenario that is run with every policy.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    /// Name in the output.
    pub name: &'static str,
    /// Offered load in percent of capacity.
    pub load: u32,
    /// Fault that is injected.
    pub fault: Fault,
    /// Distribution of the requests over the organisations.
    pub senders: Senders,
}

impl Case {
    /// Returns all cases in the order of the output.
    pub fn all() -> Vec<Case> {
        let case = |name, load, fault, senders| Case {
            name,
            load,
            fault,
            senders,
        };
        vec![
            case("steady", 50, Fault::None, Senders::Equal),
            case("steady", 80, Fault::None, Senders::Equal),
            case("steady", 95, Fault::None, Senders::Equal),
            case("steady", 130, Fault::None, Senders::Equal),
            case("stalled", 80, Fault::Stalled, Senders::Equal),
            case("slow", 80, Fault::Slow, Senders::Equal),
            case("large", 130, Fault::None, Senders::OneLarge),
        ]
    }
}

/// One request.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time of arrival at the entry in microseconds.
    pub at: u64,
    /// Index of the entry.
    pub entry: usize,
    /// Index of the organisation that sends the request.
    pub sender: usize,
    /// Common prefix of the prompt, if it has one.
    pub prefix: Option<u64>,
    /// Priority of the request.
    pub priority: Priority,
    /// Prefill time without cache in microseconds.
    pub prefill: f64,
    /// Time from first to last token in microseconds.
    pub decode: f64,
}

/// The requests of a run in the order of arrival.
pub struct Trace(pub Vec<Arrival>);

impl Trace {
    /// Draws the requests. The same case and seed give the same requests for all policies.
    pub fn draw(case: &Case, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mean = 1e6 * 100.0 / (capacity() * f64::from(case.load));
        let large = if case.senders == Senders::Equal {
            1.0
        } else {
            LARGE_RATE
        };
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        while at < MEASURED_US.1 as f64 {
            at += draw_exponential(mean, &mut rng);
            let arrival = draw_arrival(at as u64, large, &mut rng);
            // The requests of the large organisation are always drawn, so that the small ones send
            // the same requests with and without it.
            if case.senders != Senders::SmallOnly || arrival.sender != 0 {
                arrivals.push(arrival);
            }
        }
        Self(arrivals)
    }
}

fn draw_exponential(mean: f64, rng: &mut ChaCha8Rng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn draw_arrival(at: u64, large: f64, rng: &mut ChaCha8Rng) -> Arrival {
    let small = (ORGANISATION_COUNT - 1) as f64;
    let sender = if rng.random_bool(large / (large + small)) {
        0
    } else {
        rng.random_range(1..ORGANISATION_COUNT)
    };
    // Squaring makes prefixes with low numbers more frequent.
    let popular = (rng.random::<f64>().powi(2) * PREFIXES as f64) as u64;
    let prefixed = rng.random_bool(PREFIX_SHARE);
    let priority = match rng.random_range(0..10) {
        0..6 => Priority::Interactive,
        6..9 => Priority::Normal,
        _ => Priority::Batch,
    };
    Arrival {
        at,
        entry: rng.random_range(0..ENTRY_COUNT),
        sender,
        prefix: prefixed.then_some(sender as u64 * PREFIXES + popular),
        priority,
        prefill: PREFILL_US.0 + draw_exponential(PREFILL_US.1, rng),
        decode: DECODE_US.0 + draw_exponential(DECODE_US.1, rng),
    }
}

/// Returns the name of an organisation.
pub fn organisation_name(sender: usize) -> Organisation {
    format!("grower-{sender}").parse().expect("a valid name")
}
