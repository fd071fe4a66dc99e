//! Command line of the stand-ins; exit status 2 for an unknown name or option.

use std::process::ExitCode;

use bpaf::Bpaf;

use siskinbend_standins::call;
use siskinbend_standins::engine;
use siskinbend_standins::group;
use siskinbend_standins::keys;
use siskinbend_standins::load;
use siskinbend_standins::plain;
use siskinbend_standins::platform;
use siskinbend_standins::runs;
use siskinbend_standins::server;
use siskinbend_standins::site;
use siskinbend_standins::switches;

/// Runs one stand-in of the platform or of a backend server, or a test caller
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Simulated model engine with continuous batching
    #[bpaf(command)]
    Engine(#[bpaf(external(engine::options))] engine::Options),
    /// Simulated group of ranks that run in lockstep on an expert map
    #[bpaf(command)]
    Group(#[bpaf(external(group::options))] group::Options),
    /// Plain service that counts executions
    #[bpaf(command)]
    Plain(#[bpaf(external(plain::options))] plain::Options),
    /// Table service, object store and VM list
    #[bpaf(command)]
    Platform(#[bpaf(external(platform::options))] platform::Options),
    /// Generates a certificate authority and one certificate for each name
    #[bpaf(command)]
    Keys(#[bpaf(external(keys::options))] keys::Options),
    /// Sends requests through an entry and prints one line for each
    #[bpaf(command)]
    Call(#[bpaf(external(call::options))] call::Options),
    /// Sends many requests and prints latency percentiles
    #[bpaf(command)]
    Load(#[bpaf(external(load::options))] load::Options),
    /// Checks that no reference ran twice
    #[bpaf(command)]
    Runs(#[bpaf(external(runs::options))] runs::Options),
    /// Waits for map switches of a group and checks that no step used two maps
    #[bpaf(command)]
    Switches(#[bpaf(external(switches::options))] switches::Options),
    /// The users' platform with its replicas; checks what gateways and rank agents serve
    #[bpaf(command)]
    Site(#[bpaf(external(site::options))] site::Options),
    /// Prints ports of 127.0.0.1 that are free for TCP and UDP
    #[bpaf(command)]
    Ports {
        /// Number of ports
        #[bpaf(argument("N"))]
        count: usize,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    let command = match command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { 2 });
        }
    };
    let result = match command {
        Command::Engine(options) => {
            server::run(options.listen, engine::build_router(&options)).await
        }
        Command::Group(options) => match group::build_router(&options) {
            Ok(router) => server::run(options.listen, router).await,
            Err(error) => Err(error.into()),
        },
        Command::Plain(options) => server::run(options.listen, plain::build_router(&options)).await,
        Command::Platform(options) => server::run(options.listen, platform::build_router()).await,
        Command::Keys(options) => keys::write(&options).map(|()| true),
        Command::Call(options) => call::run(&options).await,
        Command::Load(options) => load::run(&options).await,
        Command::Runs(options) => runs::run(&options).await,
        Command::Switches(options) => switches::run(&options).await,
        Command::Site(options) => site::run(options).await,
        Command::Ports { count } => server::print_ports(count),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}
