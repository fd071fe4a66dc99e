//! Traits of the platform's services.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use siskinbend_control::table::Commit;
use siskinbend_control::table::CommitAnswer;
use siskinbend_control::table::Key;
use siskinbend_control::table::Row;
use siskinbend_control::table::StoreError;
use siskinbend_types::Digest;
use siskinbend_types::VmId;
use siskinbend_types::Zone;

/// The platform's transactional table service.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads one row, `None` if it is absent or expired. The result is not older than the call.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotApplied`] if the service did not answer.
    async fn read(&self, key: &Key) -> Result<Option<Row>, StoreError>;

    /// Reads the first `limit` rows whose keys start with `prefix`, ordered by key.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotApplied`] if the service did not answer.
    async fn scan(&self, prefix: &Key, limit: usize) -> Result<Vec<Row>, StoreError>;

    /// Applies a transaction.
    ///
    /// # Errors
    ///
    /// [`StoreError::Ambiguous`] if the transaction may have been applied or may still be.
    async fn commit(&self, commit: &Commit) -> Result<CommitAnswer, StoreError>;
}

/// The platform's object store, in which each object is named by the digest of its content.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Writes an object. The operation is idempotent.
    ///
    /// # Errors
    ///
    /// [`StoreError::Ambiguous`] if the object may have been written.
    async fn put(&self, name: &Digest, content: Bytes) -> Result<(), StoreError>;

    /// Reads an object, `None` if it is absent. The caller must verify the digest.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotApplied`] if the service did not answer.
    async fn get(&self, name: &Digest) -> Result<Option<Bytes>, StoreError>;
}

/// State of a VM on the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be stopped.
    Leaving,
}

/// One VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Id of the VM.
    pub id: VmId,
    /// Availability zone of the VM.
    pub zone: Zone,
    /// Address of the agent next to the VM's backend server.
    pub address: SocketAddr,
    /// State of the VM.
    pub state: VmState,
}

/// The platform's list of VMs; its content is delayed.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// [`StoreError::NotApplied`] if the service did not answer.
    async fn list(&self) -> Result<Vec<Vm>, StoreError>;
}
