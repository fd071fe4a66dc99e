//! Interface to the log of crashes that all gateways of a deployment share.

use std::time::Duration;

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;
use siskinbend_routing::crashes::CrashReport;
use smol_str::SmolStr;

use crate::Position;
use crate::SourceError;
use crate::Versioned;

/// Crash of a backend server, as one gateway reported it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashEntry {
    /// Name of the VM of the gateway.
    pub reporter: SmolStr,
    /// When it reported the crash, in Unix milliseconds by its own clock.
    pub reported_ms: u64,
    /// The crash.
    pub report: CrashReport,
}

/// Client of the shared log of crashes.
#[async_trait]
pub trait CrashLog: Send + Sync {
    /// Adds an entry. Adding the same entry again has no effect.
    ///
    /// # Errors
    ///
    /// Any [`SourceError`] except [`SourceError::HistoryGone`].
    async fn add(&self, entry: &CrashEntry) -> Result<(), SourceError>;

    /// Reads all entries.
    ///
    /// # Errors
    ///
    /// Any [`SourceError`]; [`SourceError::HistoryGone`] if the store was restored meanwhile.
    async fn read(&self) -> Result<Versioned<Vec<CrashEntry>>, SourceError>;

    /// Waits up to `wait` for entries after position `after`. The answer may be of another history
    /// than the position.
    ///
    /// # Errors
    ///
    /// [`SourceError::HistoryGone`] if the entries must be read again in full, or any other
    /// [`SourceError`].
    async fn watch(
        &self,
        after: Position,
        wait: Duration,
    ) -> Result<Versioned<Vec<CrashEntry>>, SourceError>;

    /// Removes entries.
    ///
    /// # Errors
    ///
    /// Any [`SourceError`] except [`SourceError::HistoryGone`].
    async fn remove(&self, entries: &[CrashEntry]) -> Result<(), SourceError>;
}
