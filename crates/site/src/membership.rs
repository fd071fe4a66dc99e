//! Interface to the list of gateways that run.

use async_trait::async_trait;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use crate::SourceError;

/// Statement of a gateway that it runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM of the gateway.
    pub node: SmolStr,
    /// When it made the statement, in Unix milliseconds by its own clock.
    pub stated_ms: u64,
}

/// Client of the list of gateways.
#[async_trait]
pub trait Membership: Send + Sync {
    /// States that a gateway runs, in place of its earlier statement.
    ///
    /// # Errors
    ///
    /// Any [`SourceError`] except [`SourceError::HistoryGone`].
    async fn announce(&self, member: &Member) -> Result<(), SourceError>;

    /// Reads the statements of all gateways.
    ///
    /// # Errors
    ///
    /// Any [`SourceError`]; [`SourceError::HistoryGone`] if the store was restored meanwhile.
    async fn read(&self) -> Result<Vec<Member>, SourceError>;

    /// Removes the statements of gateways that are gone.
    ///
    /// # Errors
    ///
    /// Any [`SourceError`] except [`SourceError::HistoryGone`].
    async fn remove(&self, members: &[Member]) -> Result<(), SourceError>;
}
