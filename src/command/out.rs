//! Output of the operator's commands.

use std::fmt::Arguments;
use std::io::ErrorKind;
use std::io::Write;

/// Writes to standard output. A reader that has seen enough closes the pipe, which ends neither
/// the command's work nor its success.
pub(crate) fn write(text: Arguments<'_>) {
    match std::io::stdout().lock().write_fmt(text) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            eprintln!("error: the output can't be written: {error}");
        }
        _ => {}
    }
}

/// Prints a line.
macro_rules! say {
    ($($part:tt)*) => {
        $crate::command::out::write(format_args!("{}\n", format_args!($($part)*)))
    };
}
pub(crate) use say;
