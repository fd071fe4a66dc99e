//! Measures the outcomes of requests under a mix of faults.
//!
//! A seeded event queue drives many [`siskinbend_request::Call`]s and several ledgers. An oracle
//! counts which requests the backend servers executed.

mod agent;
mod entry;
mod faults;
mod load;
mod oracle;
mod table;
mod world;

use bpaf::Bpaf;

pub use faults::Faults;
pub use oracle::CallerOutcome;
pub use oracle::Counts;
pub use oracle::HistoryEvent;
pub use world::World;

/// Options of the experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Seed of every random choice; the same seed gives the same output
    #[bpaf(argument("N"))]
    pub seed: u64,
    /// Number of requests that callers send
    #[bpaf(argument("M"), fallback(100_000), display_fallback)]
    pub count: u32,
}

/// Runs the experiment and returns one line per variant, baseline first.
///
/// # Errors
///
/// Returns a message if an option is out of range.
pub fn run(options: &Options) -> Result<Vec<String>, String> {
    if options.count == 0 {
        return Err("--count must be at least 1".to_owned());
    }
    // In the sparse variant requests are rare and faults frequent, so that several processes fail
    // during one call.
    let sparse = Faults {
        request_interval_us: 30_000,
        fault_interval_us: 500_000,
        max_freeze_us: 20_000_000,
        ..Faults::default()
    };
    let variants = [
        ("calm", Faults::none()),
        ("faults", Faults::default()),
        ("sparse", sparse),
    ];
    Ok(variants
        .into_iter()
        .map(|(variant, faults)| {
            let mut world = World::new(options.seed, options.count, faults);
            world.run();
            format!("variant={variant} {}", world.oracle.counts())
        })
        .collect())
}
