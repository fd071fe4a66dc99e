//! Measures what a request, a chunk and an open stream cost, with the programs as processes.

mod load;
mod process;
mod site;

use bpaf::Bpaf;

use self::load::Sample;
use self::process::read_average;
use self::site::Site;

/// Longest mean time between two answers with full load: one entry on two cores must carry 15,000
/// requests a second.
const TARGET_REQUEST_NS: f64 = 1e9 / 15_000.0;

/// Most processor time of an entry for a forwarded chunk, in nanoseconds.
const TARGET_CHUNK_NS: f64 = 5_000.0;

/// An entry with the open streams must stay below this, in MiB.
const TARGET_MEMORY: u64 = 128;

/// Step to which memory is rounded up, in MiB.
const MEMORY_STEP: u64 = 16;

/// Open streams to which the target applies.
const TARGET_STREAMS: usize = 1_000;

/// Connections of the run that shows the latency of an idle entry.
const LIGHT: usize = 1;

/// Options of the experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Seed of the token and the prompts
    #[bpaf(argument("N"))]
    pub seed: u64,
    /// Short requests of each run with full load
    #[bpaf(argument("N"), fallback(100_000))]
    pub requests: u64,
    /// Connections with full load
    #[bpaf(argument("N"), fallback(64))]
    pub connections: usize,
    /// Open streams whose memory is measured
    #[bpaf(argument("N"), fallback(1_000))]
    pub streams: usize,
    /// Tokens of each stream whose chunks are measured
    #[bpaf(argument("N"), fallback(400))]
    pub tokens: u32,
}

impl Options {
    /// The run that belongs to the experiment `routing`.
    pub fn from_seed(seed: u64) -> Self {
        Self {
            seed,
            requests: 100_000,
            connections: 64,
            streams: 1_000,
            tokens: 400,
        }
    }
}

/// Runs the experiment and returns one line per variant, baseline first.
///
/// # Errors
///
/// Returns a sentence if a program can't be started or requests fail.
pub fn run(options: &Options) -> Result<Vec<String>, String> {
    let before = read_average()?;
    let site = Site::start(options.seed)?;
    let memory = site.measure_memory(options.streams)?;
    let light = options.requests / 50;
    let mut lines = Vec::new();
    let mut full = None;
    for (load, requests, connections) in [
        ("light", light, LIGHT),
        ("full", options.requests, options.connections),
    ] {
        let direct = site.send_short(&site.direct(), requests, connections)?;
        lines.push(format!("variant=direct load={load} {}", direct.latency));
        let through = site.send_short(&site.entry(), requests, connections)?;
        lines.push(format!(
            "variant=siskinbend load={load} {} cpu_entry_us={:.1} cpu_agent_us={:.1} \
             wait_entry_us={:.1}",
            through.latency,
            through.entry.per_us(through.latency.requests),
            through.agents.per_us(through.latency.requests),
            through.wait.per_us(through.latency.requests),
        ));
        full = Some(through);
    }
    let direct = site.send_streams(&site.direct_engine(), options)?;
    lines.push(format!("variant=direct load=streams {}", direct.latency));
    let streamed = site.send_streams(&site.entry(), options)?;
    let chunk_ns = streamed.entry.per_ns(streamed.latency.chunks);
    lines.push(format!(
        "variant=siskinbend load=streams {} cpu_chunk_ns={chunk_ns:.0} cpu_agent_chunk_ns={:.0} \
         wait_chunk_ns={:.0}",
        streamed.latency,
        streamed.agents.per_ns(streamed.latency.chunks),
        streamed.wait.per_ns(streamed.latency.chunks),
    ));
    lines.push(format!(
        "variant=siskinbend load=open streams={} entry_rest_mib={} entry_open_mib={} \
         agent_rest_mib={} agent_open_mib={}",
        options.streams,
        round_up(memory.entry_rest),
        round_up(memory.entry_open),
        round_up(memory.agent_rest),
        round_up(memory.agent_open),
    ));
    let request_ns = full.map_or(f64::INFINITY, |sample: Sample| sample.latency.find_pace());
    lines.push(format!(
        "target=request_ns wanted_ns={TARGET_REQUEST_NS:.0} seen_ns={request_ns:.0} met={}",
        request_ns <= TARGET_REQUEST_NS
    ));
    lines.push(format!(
        "target=cpu_chunk_ns wanted_ns={TARGET_CHUNK_NS:.0} seen_ns={chunk_ns:.0} met={}",
        chunk_ns <= TARGET_CHUNK_NS
    ));
    if options.streams >= TARGET_STREAMS {
        lines.push(format!(
            "target=entry_open_mib wanted={TARGET_MEMORY} seen={} met={}",
            round_up(memory.entry_open),
            memory.entry_open < TARGET_MEMORY
        ));
    }
    // Beside the output, which repeats but for its times.
    eprintln!(
        "machine cores={} load_before={before} load_after={}",
        std::thread::available_parallelism().map_or(0, usize::from),
        read_average()?
    );
    Ok(lines)
}

/// Rounds MiB up, so that runs which differ a little print the same.
fn round_up(mib: u64) -> u64 {
    mib.div_ceil(MEMORY_STEP) * MEMORY_STEP
}
