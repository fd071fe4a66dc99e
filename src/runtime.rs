//! Runs the command that the command line selects.

use std::future::Future;
use std::process::ExitCode;
use std::time::Duration;

use siskinbend_site::NodeSettings;

use crate::agent;
use crate::command::document;
use crate::command::explain;
use crate::command::out::print_line;
use crate::command::status;
use crate::entry;
use crate::gateway;
use crate::logs;
use crate::platform;
use crate::rank_agent;
use crate::settings::Command;
use crate::settings::Common;
use crate::settings::PlatformFlags;
use crate::settings::command;

/// Time allowed for writing the last log lines when a process ends.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Exit status for invalid flags or settings.
const USAGE_ERROR: u8 = 2;

/// Reads the command line and runs until the command ends.
pub fn run() -> ExitCode {
    let parsed = command().run_inner(bpaf::Args::current_args());
    let selected = match parsed {
        Ok(selected) => selected,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 {
                0
            } else {
                USAGE_ERROR
            });
        }
    };
    match selected {
        Command::Entry(flags) => match flags.check() {
            Ok(entry) => run_role(&entry.common.clone(), entry::run(entry)),
            Err(findings) => print_findings(&findings),
        },
        Command::Agent(flags) => match flags.check() {
            Ok(agent) => run_role(&agent.common.clone(), agent::run(agent)),
            Err(findings) => print_findings(&findings),
        },
        Command::Gateway(flags) => run_with_settings_file(&flags, |settings| {
            let adapter = platform::new_adapter(&settings);
            run_on_current_thread(gateway::run(settings, flags.settings.clone(), adapter))
        }),
        Command::RankAgent(flags) => run_with_settings_file(&flags, |settings| {
            let (engine, source) = (platform::new_engine(), platform::new_source(&settings));
            let file = flags.settings.clone();
            run_on_current_thread(rank_agent::run(settings, file, engine, source))
        }),
        Command::Explain(flags) => explain::run(&flags),
        Command::CheckSettings(flags) => check_settings(&flags),
        Command::Document(command) => run_command(document::run(command)),
        Command::Status(flags) => run_command(status::run(flags)),
    }
}

/// Loads the settings file of a platform and runs a role with it.
fn run_with_settings_file<Role>(flags: &PlatformFlags, role: Role) -> ExitCode
where
    Role: FnOnce(NodeSettings) -> ExitCode,
{
    let settings = match platform::load_settings(&flags.settings) {
        Ok(settings) => settings,
        Err(findings) => return print_findings(&findings),
    };
    let flush = match logs::init_stdout(flags.log) {
        Ok(flush) => flush,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::FAILURE;
        }
    };
    let status = role(settings);
    flush.wait(LOG_FLUSH_TIMEOUT);
    status
}

fn check_settings(flags: &PlatformFlags) -> ExitCode {
    match platform::load_settings(&flags.settings) {
        Ok(settings) => {
            print_line!("{settings:#?}");
            ExitCode::SUCCESS
        }
        Err(findings) => print_findings(&findings),
    }
}

/// Runs a role on one thread, for VMs that have a fraction of a core.
fn run_on_current_thread<F, E>(role: F) -> ExitCode
where
    F: Future<Output = Result<(), E>>,
    E: std::fmt::Display,
{
    let built = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match built {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    to_exit_code(runtime.block_on(role))
}

fn to_exit_code<E>(result: Result<(), E>) -> ExitCode
where
    E: std::fmt::Display,
{
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(error:% = error; "process_failed");
            ExitCode::FAILURE
        }
    }
}

fn print_findings<F>(findings: &[F]) -> ExitCode
where
    F: std::fmt::Display,
{
    for finding in findings {
        eprintln!("error: {finding}");
    }
    ExitCode::from(USAGE_ERROR)
}

fn run_command<F>(command: F) -> ExitCode
where
    F: Future<Output = ExitCode>,
{
    match tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime.block_on(command),
        Err(error) => {
            eprintln!("error: cannot start the runtime: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run_role<F, E>(common: &Common, role: F) -> ExitCode
where
    F: Future<Output = Result<(), E>>,
    E: std::fmt::Display,
{
    if let Err(error) = logs::init(common.log) {
        eprintln!("error: {error}");
        return ExitCode::FAILURE;
    }
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    if let Some(threads) = common.threads {
        builder.worker_threads(threads);
    }
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: cannot start the runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    to_exit_code(runtime.block_on(role))
}
