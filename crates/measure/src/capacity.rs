//! Measures the slopes of state, messages and processor time over fleet size.

use bpaf::Bpaf;

/// Options of the experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Seed of every random choice; the same seed gives the same output
    #[bpaf(argument("N"))]
    pub seed: u64,
}

/// Runs the experiment and returns one line per variant, baseline first.
///
/// # Errors
///
/// Returns a sentence if the options don't fit together.
pub fn run(options: &Options) -> Result<Vec<String>, String> {
    Err(format!(
        "the experiment capacity isn't built yet (seed {})",
        options.seed
    ))
}
