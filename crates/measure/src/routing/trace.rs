//! The requests of a run: who sends what and when.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use siskinbend_types::Organisation;
use siskinbend_types::Priority;

/// Replicas of the service.
pub const REPLICAS: usize = 12;
/// Requests that a replica runs at a time. At the planned size a replica produces 4,160 tokens a
/// second (3.2 million over 770 replicas) in streams of one token each 33 ms.
pub const SLOTS: u32 = 138;
/// Entries.
pub const ENTRIES: usize = 6;
/// Availability zones.
pub const ZONES: usize = 3;
/// Organisations; the first is the large one in the scenario `large`.
pub const ORGANISATIONS: usize = 10;
/// Start and end of the measured part, in microseconds.
pub const MEASURED: (u64, u64) = (30_000_000, 150_000_000);
/// Time from arrival after which the caller gives up, in microseconds.
pub const PATIENCE: u64 = 30_000_000;

/// How many times a small organisation's share the large one sends.
const LARGE: f64 = 20.0;
/// Prompt prefixes of each organisation.
const PREFIXES: u64 = 20;
/// Share of requests that start with one of these.
const PREFIXED: f64 = 0.8;
/// Share of the prefill time that a cached prefix saves.
pub const SAVED: f64 = 0.7;
/// Prefill time without cache: least, and mean of the exponential part, in microseconds. 95 of 100
/// stay under the 1.2 s to the first token that the planned size allows.
const PREFILL: (f64, f64) = (100_000.0, 250_000.0);
/// Time from first to last token, likewise: 213 tokens (3.2 million over 15,000 requests a second)
/// of 33 ms.
const DECODE: (f64, f64) = (2_000_000.0, 5_000_000.0);

/// Requests a second that all replicas can answer if every prefix is cached.
///
/// This is the strictest base of goodput: each missed prefix counts against the policy.
pub fn capacity() -> f64 {
    let prefill = (PREFILL.0 + PREFILL.1) * (1.0 - PREFIXED * SAVED);
    let hold = (prefill + DECODE.0 + DECODE.1) / 1e6;
    REPLICAS as f64 * f64::from(SLOTS) / hold
}

/// What goes wrong during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    None,
    /// One backend server stops for 30 s.
    Stalled,
    /// One backend server takes four times as long for everything.
    Slow,
}

/// Who sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Senders {
    /// All organisations alike.
    Equal,
    /// One sends 20 times as much as each other.
    OneLarge,
    /// As `OneLarge` without the requests of the large one.
    SmallOnly,
}

/// One set-up that all policies run.
#[derive(Debug, Clone, Copy)]
pub struct Case {
    /// Name in the output.
    pub name: &'static str,
    /// Offered load in percent of capacity.
    pub load: u32,
    /// What goes wrong.
    pub fault: Fault,
    /// Who sends.
    pub senders: Senders,
}

impl Case {
    /// All set-ups in the order of the output.
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
    /// The entry.
    pub entry: usize,
    /// The organisation.
    pub sender: usize,
    /// Prompt prefix, if it is a common one.
    pub prefix: Option<u64>,
    /// Priority.
    pub priority: Priority,
    /// Prefill time without cache in microseconds.
    pub prefill: f64,
    /// Time from first to last token in microseconds.
    pub decode: f64,
}

/// The requests of a run in the order of arrival.
pub struct Trace(pub Vec<Arrival>);

impl Trace {
    /// Draws the requests; all policies get the same ones for the same seed.
    pub fn draw(case: &Case, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mean = 1e6 * 100.0 / (capacity() * f64::from(case.load));
        let large = if case.senders == Senders::Equal {
            1.0
        } else {
            LARGE
        };
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        while at < MEASURED.1 as f64 {
            at += draw_exponential(mean, &mut rng);
            let arrival = draw_arrival(at as u64, large, &mut rng);
            // The small organisations send the same requests whether or not the large one does.
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
    let small = (ORGANISATIONS - 1) as f64;
    let sender = if rng.random_bool(large / (large + small)) {
        0
    } else {
        rng.random_range(1..ORGANISATIONS)
    };
    // The square makes low numbers more popular.
    let popular = (rng.random::<f64>().powi(2) * PREFIXES as f64) as u64;
    let prefixed = rng.random_bool(PREFIXED);
    let priority = match rng.random_range(0..10) {
        0..6 => Priority::Interactive,
        6..9 => Priority::Normal,
        _ => Priority::Batch,
    };
    Arrival {
        at,
        entry: rng.random_range(0..ENTRIES),
        sender,
        prefix: prefixed.then_some(sender as u64 * PREFIXES + popular),
        priority,
        prefill: PREFILL.0 + draw_exponential(PREFILL.1, rng),
        decode: DECODE.0 + draw_exponential(DECODE.1, rng),
    }
}

/// Name of an organisation.
pub fn name_sender(sender: usize) -> Organisation {
    format!("grower-{sender}").parse().expect("a valid name")
}
