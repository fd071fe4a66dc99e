//! Log output: one line of key=value pairs for each event.

use std::fmt::Write;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;

use crate::log_writer::FlushHandle;
use crate::log_writer::Limits;
use crate::log_writer::LogWriter;

/// Writes log lines of at least this level to standard error.
///
/// # Errors
///
/// Returns an error if a logger is already set.
pub fn init(level: log::LevelFilter) -> Result<(), log::SetLoggerError> {
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("siskinbend", level)
        .format(|out, message, record| out.finish(format_args!("{}", format_line(message, record))))
        .chain(std::io::stderr())
        .apply()
}

/// Why the log cannot be set up.
#[derive(Debug, displaydoc::Display)]
pub enum InitError {
    /// cannot start the log thread: {0}
    Thread(std::io::Error),
    /// {0}
    Logger(log::SetLoggerError),
}

impl std::error::Error for InitError {}

/// Writes log lines of at least this level to standard output, without blocking on a slow reader.
///
/// # Errors
///
/// Returns an error if the log thread cannot be started or a logger is already set.
pub fn init_stdout(level: log::LevelFilter) -> Result<FlushHandle, InitError> {
    let (writer, flush) =
        LogWriter::start(std::io::stdout(), Limits::default()).map_err(InitError::Thread)?;
    let writer: Box<dyn std::io::Write + Send> = Box::new(writer);
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("siskinbend", level)
        .level_for("siskinbend_platform", level)
        .level_for("siskinbend_link", level)
        .format(|out, message, record| out.finish(format_args!("{}", format_line(message, record))))
        .chain(fern::Output::writer(writer, "\n"))
        .apply()
        .map_err(InitError::Logger)?;
    Ok(flush)
}

fn format_line(message: &std::fmt::Arguments<'_>, record: &Record<'_>) -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let mut line = Line(String::with_capacity(128));
    line.push(
        "ts",
        &format!("{}.{:03}", now.as_secs(), now.subsec_millis()),
    );
    line.push("level", &record.level().as_str().to_lowercase());
    line.push("event", &message.to_string());
    // The visit cannot fail: the visitor below never returns an error.
    let _ = record.key_values().visit(&mut line);
    line.0
}

/// A log line to which key=value pairs are appended.
struct Line(String);

impl Line {
    fn push(&mut self, key: &str, value: &str) {
        if !self.0.is_empty() {
            self.0.push(' ');
        }
        let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
        // Writing to a string cannot fail.
        let _ = if !value.is_empty() && value.chars().all(plain) {
            write!(self.0, "{key}={value}")
        } else {
            write!(self.0, "{key}={value:?}")
        };
    }
}

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.push(key.as_str(), &value.to_string());
        Ok(())
    }
}
