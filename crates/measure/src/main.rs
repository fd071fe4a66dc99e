//! Runs one experiment and prints its lines; exit status 2 for an unknown name or option.

use std::process::ExitCode;

use bpaf::Bpaf;

use siskinbend_measure::capacity;
use siskinbend_measure::documents;
use siskinbend_measure::links;
use siskinbend_measure::overhead;
use siskinbend_measure::rebalance;
use siskinbend_measure::requests;
use siskinbend_measure::routing;
use siskinbend_measure::switch;

/// Runs one experiment and prints one key=value line per policy or variant
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Experiment {
    /// Slopes of state, messages and processor time over fleet size
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity::options))] capacity::Options),
    /// Spread of a document version through the fleet
    #[bpaf(command)]
    Documents(#[bpaf(external(documents::options))] documents::Options),
    /// Bytes of control traffic on real connections
    #[bpaf(command)]
    Links(#[bpaf(external(links::options))] links::Options),
    /// Cost of a request, a chunk and an open stream
    #[bpaf(command)]
    Overhead(#[bpaf(external(overhead::options))] overhead::Options),
    /// Step-time skew and cost of each placement policy
    #[bpaf(command)]
    Rebalance(#[bpaf(external(rebalance::options))] rebalance::Options),
    /// Outcomes of requests under a mix of faults
    #[bpaf(command)]
    Requests(#[bpaf(external(requests::options))] requests::Options),
    /// Latency and shed share of each replica choice policy
    #[bpaf(command)]
    Routing(#[bpaf(external(routing::options))] routing::Options),
    /// Map switches of a group under faults
    #[bpaf(command)]
    Switch(#[bpaf(external(switch::options))] switch::Options),
}

fn main() -> ExitCode {
    let parsed = experiment().run_inner(bpaf::Args::current_args());
    let chosen = match parsed {
        Ok(chosen) => chosen,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    let lines = match &chosen {
        Experiment::Capacity(options) => capacity::run(options),
        Experiment::Documents(options) => documents::run(options),
        Experiment::Links(options) => links::run(options),
        Experiment::Overhead(options) => overhead::run(options),
        Experiment::Rebalance(options) => rebalance::run(options),
        Experiment::Requests(options) => requests::run(options),
        Experiment::Routing(options) => routing::run(options).and_then(|mut lines| {
            lines.extend(overhead::run(&overhead::Options::from_seed(options.seed))?);
            Ok(lines)
        }),
        Experiment::Switch(options) => switch::run(options),
    };
    match lines {
        Ok(lines) => {
            for line in lines {
                println!("{line}");
            }
            ExitCode::SUCCESS
        }
        Err(sentence) => {
            eprintln!("error: {sentence}");
            ExitCode::from(2)
        }
    }
}
