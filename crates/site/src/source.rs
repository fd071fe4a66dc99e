//! Border to the platform's store of configuration and registry.

use std::time::Duration;

use async_trait::async_trait;
use siskinbend_types::AgentId;

use crate::BackendServer;
use crate::Config;

/// Why the platform's store told nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum SourceError {
    /// the store can't be reached or gave no answer in time
    Unreachable,
    /// the store refused the call for now
    Refused,
    /// the changes since the last answer are no longer kept
    HistoryGone,
    /// the answer can't be understood
    Malformed,
}

impl std::error::Error for SourceError {}

/// One change of the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChange {
    /// The entry was written.
    Put(BackendServer),
    /// The entry was removed, or names no usable backend server any more.
    Removed(AgentId),
}

/// What a read of the store told.
#[derive(Debug, Clone, PartialEq)]
pub struct Versioned<Content> {
    /// The content.
    pub content: Content,
    /// Position in the store's history; changes after it are still to be read.
    pub position: u64,
}

/// The platform's store of configuration and registry.
#[async_trait]
pub trait Source: Send + Sync {
    /// Reads the newest configuration, `None` if there is none or it can't be understood.
    ///
    /// # Errors
    ///
    /// Any [`SourceError`] but [`SourceError::HistoryGone`].
    async fn read_config(&self) -> Result<Versioned<Option<Config>>, SourceError>;

    /// Reads the whole registry.
    ///
    /// # Errors
    ///
    /// Any [`SourceError`] but [`SourceError::HistoryGone`].
    async fn read_servers(&self) -> Result<Versioned<Vec<BackendServer>>, SourceError>;

    /// Waits for a newer configuration, at most `wait`; `None` if there was none.
    ///
    /// # Errors
    ///
    /// [`SourceError::HistoryGone`] if the configuration has to be read anew.
    async fn watch_config(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Versioned<Option<Config>>, SourceError>;

    /// Waits for changes of the registry, at most `wait`.
    ///
    /// # Errors
    ///
    /// [`SourceError::HistoryGone`] if the registry has to be read anew.
    async fn watch_servers(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Versioned<Vec<ServerChange>>, SourceError>;
}
