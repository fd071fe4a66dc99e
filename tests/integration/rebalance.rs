//! The experiment `rebalance`. Guards against figures that are not reproducible or not possible.

use siskinbend_measure::rebalance;
use siskinbend_measure::rebalance::Options;
use siskinbend_types::ByteSize;

fn options(seed: u64) -> Options {
    Options {
        seed,
        ranks: 8,
        experts: 32,
        layers: 1,
        slots: 6,
        steps: 3_000,
        tokens: 64,
        expert_size: ByteSize(8 << 20),
        load_rate: ByteSize(256 << 20),
        trace: None,
        price: None,
        plot: None,
    }
}

/// The output lines without the planning time.
fn run(options: &Options) -> Vec<Vec<String>> {
    let lines = rebalance::run(options).expect("the options fit");
    let fields = |line: &String| {
        let fields = line.split(' ').filter(|f| !f.starts_with("plan_us="));
        fields.map(str::to_owned).collect()
    };
    lines.iter().map(fields).collect()
}

fn read_skew(line: &[String]) -> f64 {
    let text = line[2].strip_prefix("skew_mean=").expect("third field");
    text.parse().expect("a number")
}

#[test]
fn the_same_seed_gives_the_same_figures() {
    assert_eq!(run(&options(5)), run(&options(5)));
    assert_ne!(run(&options(5)), run(&options(6)));
}

#[test]
fn no_policy_beats_the_bound() {
    // A policy below the bound means that the bound or the step times are wrong.
    for seed in 5..8 {
        for trace in run(&options(seed)).chunks(5) {
            let bound = read_skew(&trace[4]);
            for policy in &trace[..4] {
                assert!(read_skew(policy) >= bound, "{policy:?} below {bound}");
            }
        }
    }
}

#[test]
fn options_that_do_not_fit_are_refused() {
    let narrow = Options {
        slots: 3,
        ..options(5)
    };
    let error = rebalance::run(&narrow).unwrap_err();
    assert_eq!(error, "32 experts do not fit into 24 slots");
}
