//! Standard output of the operator's commands.

use std::fmt::Arguments;
use std::io::ErrorKind;
use std::io::Write;

/// Writes to standard output. A closed pipe is ignored: a reader such as `head` may stop early, and
/// the command still completes its work and succeeds.
pub(crate) fn write(text: Arguments<'_>) {
    match std::io::stdout().lock().write_fmt(text) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => {
            eprintln!("error: cannot write to standard output: {error}");
        }
        _ => {}
    }
}

/// Prints a line to standard output; ignores a closed pipe.
macro_rules! print_line {
    ($($part:tt)*) => {
        $crate::command::out::write(format_args!("{}\n", format_args!($($part)*)))
    };
}
pub(crate) use print_line;
