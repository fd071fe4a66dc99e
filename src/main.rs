//! Entry point of the `siskinbend` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    siskinbend::runtime::run()
}
