//! One run of the load tool and its result.

use std::fmt;
use std::process::Command;

use super::process::Spent;
use super::process::find_program;

/// What the load tool printed.
#[derive(Debug, Clone)]
pub(super) struct Latency {
    pub(super) requests: u64,
    pub(super) chunks: u64,
    pub(super) p50: u64,
    pub(super) p99: u64,
    /// Requests a second.
    pub(super) rate: f64,
}

impl Latency {
    /// Mean time between two answers in nanoseconds.
    pub(super) fn find_pace(&self) -> f64 {
        1e9 / self.rate
    }
}

impl fmt::Display for Latency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "requests={} chunks={} p50_us={} p99_us={} request_ns={:.0}",
            self.requests,
            self.chunks,
            self.p50,
            self.p99,
            self.find_pace()
        )
    }
}

/// A run with the processor time that it took.
#[derive(Debug, Clone)]
pub(super) struct Sample {
    pub(super) latency: Latency,
    pub(super) entry: Spent,
    /// All agents together.
    pub(super) agents: Spent,
    /// What the entry's threads waited for a core.
    pub(super) wait: Spent,
}

/// Runs the load tool; every request must succeed.
pub(super) fn send(arguments: &[String]) -> Result<Latency, String> {
    let output = Command::new(find_program("siskinbend-standins")?)
        .arg("load")
        .args(arguments)
        .output()
        .map_err(|e| format!("the load tool can't be started: {e}"))?;
    let line = String::from_utf8_lossy(&output.stdout).trim().to_owned();
    if !output.status.success() {
        let error = String::from_utf8_lossy(&output.stderr).trim().to_owned();
        return Err(format!("requests failed: {line} {error}"));
    }
    read_line(&line).ok_or_else(|| format!("the load tool printed \"{line}\""))
}

fn read_line(line: &str) -> Option<Latency> {
    let find = |name: &str| {
        line.split_whitespace()
            .find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
    };
    Some(Latency {
        requests: find("requests")?.parse().ok()?,
        chunks: find("chunk_count")?.parse().ok()?,
        p50: find("p50_us")?.parse().ok()?,
        p99: find("p99_us")?.parse().ok()?,
        rate: find("requests_per_s")?.parse().ok()?,
    })
}
