//! The load report that an agent sends to the entries.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// Load of one agent at the time of the report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that the backend server runs.
    pub running: u32,
    /// Requests that wait in the agent's queue.
    pub queued: u32,
    /// Requests that the backend server can run at a time.
    pub slots: u32,
    /// Smoothed time that a request holds its slot; zero until one finishes.
    pub hold: Duration,
    /// Time since the backend server last made progress; zero if it runs nothing.
    pub idle: Duration,
}

impl LoadReport {
    /// Number of requests that run or wait.
    pub fn total(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }
}
