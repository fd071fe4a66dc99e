//! Measures the map switches of a group under faults.

use std::time::Duration;

use bpaf::Bpaf;

use self::faults::Faults;
use self::world::Setup;
use self::world::World;

pub mod engines;
pub mod faults;
pub mod hold;
pub mod stats;
pub mod world;

use self::stats::SwitchStats;

/// Options of the experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Seed of every random choice; the same seed gives the same output
    #[bpaf(argument("N"))]
    pub seed: u64,
    /// Number of consecutive seeds to run; each output line is their total
    #[bpaf(argument("N"), fallback(1))]
    pub runs: u64,
    /// Ranks of the group
    #[bpaf(argument("N"), fallback(64))]
    pub ranks: u16,
    /// Engine steps of each run
    #[bpaf(argument("N"), fallback(3000))]
    pub steps: u64,
    /// Share of messages lost in the variants with faults, from 0 to 0.5
    #[bpaf(argument("P"), fallback(0.05))]
    pub loss: f64,
    /// Time between two switches in milliseconds
    #[bpaf(argument("MS"), fallback(3000))]
    pub period: u64,
}

/// Runs the experiment and returns one line per variant.
///
/// # Errors
///
/// Returns a message if an option is out of range or if a group stops making progress.
pub fn run(options: &Options) -> Result<Vec<String>, String> {
    if options.ranks == 0 || options.steps == 0 || options.runs == 0 || options.period == 0 {
        return Err("--ranks, --steps, --runs and --period must be at least 1".into());
    }
    if !(0.0..=0.5).contains(&options.loss) {
        return Err(format!("--loss {} is not from 0 to 0.5", options.loss));
    }
    let without_faults = Faults::none();
    let with_faults = Faults {
        loss: options.loss,
        ..Faults::all()
    };
    let mut lines = Vec::new();
    for (variant, faults) in [("no_faults", &without_faults), ("faults", &with_faults)] {
        let mut total = SwitchStats::default();
        for seed in options.seed..options.seed.saturating_add(options.runs) {
            let setup = Setup {
                seed,
                ranks: options.ranks,
                steps: options.steps,
                period: Duration::from_millis(options.period),
                faults: faults.clone(),
                ..Setup::default()
            };
            total.add(&World::start(setup).run()?);
        }
        lines.push(format!("variant={variant} {total}"));
    }
    for (variant, loss) in [("hold_resume", 0.0), ("hold_resume_loss", options.loss)] {
        let mut total = SwitchStats::default();
        for seed in options.seed..options.seed.saturating_add(options.runs) {
            total.add(&hold::run(options, seed, loss));
        }
        lines.push(format!("variant={variant} {total}"));
    }
    Ok(lines)
}
