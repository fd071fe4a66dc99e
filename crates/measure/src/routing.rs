//! Measures latency and the share of shed requests for each replica choice policy.

mod fleet;
mod plot;
mod trace;

use std::path::PathBuf;

use bpaf::Bpaf;

use siskinbend_routing::PolicyKind;

use fleet::Fleet;
use fleet::RoutingStats;
use trace::Case;
use trace::Senders;
use trace::Trace;

/// Options of the experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Seed of every random choice; the same seed gives the same output
    #[bpaf(argument("N"))]
    pub seed: u64,
    /// Writes a chart of latency against load to this SVG file
    #[bpaf(argument("FILE"))]
    pub plot: Option<PathBuf>,
}

/// Result of one policy in one case; a line of the output.
struct Row {
    policy: PolicyKind,
    case: Case,
    stats: RoutingStats,
    /// p99 time to first token in microseconds of the small organisations in a run without the large
    /// one.
    alone: Option<u64>,
}

/// Runs the experiment and returns one line per variant, baseline first.
///
/// # Errors
///
/// Returns a message if the chart can't be written.
pub fn run(options: &Options) -> Result<Vec<String>, String> {
    let mut rows = Vec::new();
    for case in Case::all() {
        for policy in PolicyKind::ALL {
            rows.push(measure(policy, case, options.seed));
        }
    }
    if let Some(file) = &options.plot {
        plot::draw(&rows, file)?;
    }
    Ok(rows.iter().map(format_row).collect())
}

fn measure(policy: PolicyKind, case: Case, seed: u64) -> Row {
    let stats = Fleet::new(policy, case.fault, seed).run(Trace::draw(&case, seed));
    let alone = (case.senders == Senders::OneLarge).then(|| {
        let without = Case {
            senders: Senders::SmallOnly,
            ..case
        };
        let stats = Fleet::new(policy, case.fault, seed).run(Trace::draw(&without, seed));
        stats.small.value_at_quantile(0.99)
    });
    Row {
        policy,
        case,
        stats,
        alone,
    }
}

fn format_row(row: &Row) -> String {
    let stats = &row.stats;
    let small = stats.small.value_at_quantile(0.99);
    let (small, alone) = match row.alone {
        Some(alone) => (small.to_string(), alone.to_string()),
        None => ("-".to_owned(), "-".to_owned()),
    };
    format!(
        "policy={} load={} scenario={} ttft_p50_us={} ttft_p99_us={} shed={:.4} prefix_hit={:.4} \
         unevenness={:.3} goodput={:.4} retries={:.4} small_p99_us={small} \
         small_alone_p99_us={alone}",
        row.policy.as_str(),
        row.case.load,
        row.case.name,
        stats.first_token.value_at_quantile(0.5),
        stats.first_token.value_at_quantile(0.99),
        stats.shed_share(),
        stats.hit_share(),
        stats.mean_unevenness(),
        stats.goodput(),
        stats.retry_share(),
    )
}
