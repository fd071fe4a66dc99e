//! Measures the spread of a document version through the fleet.

mod fleet;
mod operator;
mod sample;

use std::time::Duration;

use bpaf::Bpaf;
use siskinbend_types::Time;

use fleet::Fleet;
use fleet::Report;

/// Options of the experiment.
#[derive(Debug, Clone, Bpaf)]
pub struct Options {
    /// Seed of every random choice; the same seed gives the same output
    #[bpaf(argument("N"))]
    pub seed: u64,
    /// Processes that have the document in force
    #[bpaf(argument("N"), fallback(1160))]
    pub nodes: usize,
    /// Organisations in the document
    #[bpaf(argument("N"), fallback(820))]
    pub organisations: usize,
}

/// Largest fleet that is simulated.
const NODES: usize = 20_000;
/// Interval of the planned 420 changes a day.
const CHANGE_GAP: Duration = Duration::from_secs(206);
/// Time before the first change, for the fleet to start.
const WARM_UP: Duration = Duration::from_secs(60);
/// Length of an outage.
const OUTAGE: Duration = Duration::from_secs(120);

/// What happens in a run.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Variant {
    name: &'static str,
    changes: u32,
    gap: Duration,
    /// Processes tell each other of versions.
    peers: bool,
    /// The platform is away from this time after the last acceptance.
    outage: Option<Duration>,
    /// Processes can't reach each other while the platform is away.
    cut: bool,
    restart: Restart,
    /// The last change is accepted when the outage ends instead of before it.
    late: bool,
}

/// Restarts during the outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Restart {
    /// None.
    None,
    /// Every process once, one after the other in random order.
    Rolling,
    /// Every process at the same time.
    AtOnce,
}

const STEADY: Variant = Variant {
    name: "steady",
    changes: 6,
    gap: CHANGE_GAP,
    peers: true,
    outage: None,
    cut: false,
    restart: Restart::None,
    late: false,
};

const OUTAGE_AFTER: Variant = Variant {
    name: "outage",
    changes: 2,
    gap: Duration::from_secs(30),
    outage: Some(Duration::ZERO),
    ..STEADY
};

const VARIANTS: [Variant; 7] = [
    Variant {
        name: "poll_only",
        peers: false,
        ..STEADY
    },
    STEADY,
    Variant {
        name: "burst",
        changes: 20,
        gap: Duration::from_millis(500),
        ..STEADY
    },
    OUTAGE_AFTER,
    Variant {
        name: "reconnect",
        cut: true,
        late: true,
        ..OUTAGE_AFTER
    },
    Variant {
        name: "restart",
        restart: Restart::Rolling,
        ..OUTAGE_AFTER
    },
    Variant {
        name: "restart_all",
        restart: Restart::AtOnce,
        ..OUTAGE_AFTER
    },
];

/// Runs the experiment and returns one line per variant, baseline first.
///
/// # Errors
///
/// Returns a sentence if the options don't fit together.
pub fn run(options: &Options) -> Result<Vec<String>, String> {
    if !(2..=NODES).contains(&options.nodes) {
        return Err(format!("--nodes must be between 2 and {NODES}"));
    }
    if options.organisations == 0 {
        return Err("--organisations must be at least 1".to_owned());
    }
    let line = |variant: &Variant| {
        let report = run_variant(options, *variant);
        describe(options, variant, &report)
    };
    Ok(VARIANTS.iter().map(line).collect())
}

fn run_variant(options: &Options, variant: Variant) -> Report {
    let mut fleet = Fleet::new(options, variant);
    let mut at = Time(0) + WARM_UP;
    for change in 1..=variant.changes {
        let last = change == variant.changes;
        if last && variant.late {
            fleet.run_until(at);
            fleet.set_outage(true);
            at = at + OUTAGE;
            fleet.run_until(at);
            fleet.set_outage(false);
        }
        fleet.run_until(at);
        fleet.start_change(change);
        at = at + variant.gap;
        if last && variant.outage.is_some() && !variant.late {
            fleet.run_to_acceptance();
            fleet.set_outage(true);
            fleet.plan_restarts(OUTAGE);
            at = fleet.now() + OUTAGE;
            fleet.run_until(at);
            fleet.set_outage(false);
        }
    }
    fleet.run_until(at + WARM_UP);
    fleet.report()
}

fn describe(options: &Options, variant: &Variant, report: &Report) -> String {
    let last = match report.last {
        Some(last) => format!("{:.2}", last.as_secs_f64()),
        None => "never".to_owned(),
    };
    format!(
        "variant={} nodes={} changes={} lost_races={} last_s={last} reads_s={:.1} \
         reads_peak={} writes_s={:.2} writes_peak={} bytes_s={:.0} bytes_busiest={:.0} \
         document_bytes={} peer_fetches={} busy={} object_reads={} reversions={} \
         false_accepts={}",
        variant.name,
        options.nodes,
        report.accepted,
        report.refused,
        report.reads.mean,
        report.reads.peak,
        report.writes.mean,
        report.writes.peak,
        report.bytes,
        report.busiest,
        report.document,
        report.fetches,
        report.busy,
        report.objects,
        report.reversions,
        report.falsehoods,
    )
}
