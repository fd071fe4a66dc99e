//! Starts the role that the command line names.

use std::future::Future;
use std::process::ExitCode;

use crate::agent;
use crate::command::document;
use crate::command::status;
use crate::entry;
use crate::logs;
use crate::settings::Command;
use crate::settings::Common;
use crate::settings::Finding;
use crate::settings::command;

/// Exit status for wrong settings.
const USAGE: u8 = 2;

/// Reads the command line and runs until the command ends.
pub fn run() -> ExitCode {
    let parsed = command().run_inner(bpaf::Args::current_args());
    let chosen = match parsed {
        Ok(chosen) => chosen,
        Err(failure) => {
            failure.print_message(100);
            return ExitCode::from(if failure.exit_code() == 0 { 0 } else { USAGE });
        }
    };
    match chosen {
        Command::Entry(flags) => match flags.check() {
            Ok(entry) => run_role(&entry.common.clone(), entry::run(entry)),
            Err(findings) => report(&findings),
        },
        Command::Agent(flags) => match flags.check() {
            Ok(agent) => run_role(&agent.common.clone(), agent::run(agent)),
            Err(findings) => report(&findings),
        },
        Command::Document(command) => run_command(document::run(command)),
        Command::Status(flags) => run_command(status::run(flags)),
    }
}

fn report(findings: &[Finding]) -> ExitCode {
    for finding in findings {
        eprintln!("error: {finding}");
    }
    ExitCode::from(USAGE)
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
            eprintln!("error: the runtime can't start: {error}");
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
            eprintln!("error: the runtime can't start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(role) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(error:% = error; "process_failed");
            ExitCode::FAILURE
        }
    }
}
