//! Rows and transactions of the platform's table service, as data.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Longest key in bytes.
const MAX_KEY_BYTES: usize = 512;

/// Key of a row: segments of `a-z 0-9 - _ .` separated by slashes, so that it needs no escaping.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "SmolStr")]
pub struct Key(SmolStr);

impl Key {
    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A text that is not a key.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum KeyError {
    /// the key "{0}" is empty, longer than 512 bytes, or has a character other than a-z 0-9 - _ . /
    Malformed(SmolStr),
}

impl std::error::Error for KeyError {}

impl TryFrom<SmolStr> for Key {
    type Error = KeyError;

    fn try_from(text: SmolStr) -> Result<Self, KeyError> {
        let allowed = |b: u8| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'/');
        if (1..=MAX_KEY_BYTES).contains(&text.len()) && text.bytes().all(allowed) {
            Ok(Self(text))
        } else {
            Err(KeyError::Malformed(text))
        }
    }
}

impl FromStr for Key {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        SmolStr::new(text).try_into()
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Revision of a row: the revision of the table at its last write. It never repeats, not even for
/// a row that was deleted and written again.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies one transaction; drawn at random by its author and kept with every row it writes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TransactionId(SmolStr);

impl TransactionId {
    /// The id made of 128 random bits.
    pub fn from_random(bits: u128) -> Self {
        Self(smol_str::format_smolstr!("{bits:032x}"))
    }
}

impl From<&str> for TransactionId {
    /// Takes any text, because rows may have been written by other programs.
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for TransactionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A row as read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: Key,
    /// Value of the row.
    pub value: String,
    /// Revision of the last write.
    pub revision: Revision,
    /// The transaction of the last write.
    pub writer: TransactionId,
}

/// Condition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: Key,
    /// Revision that the row must have, `None` if it must be absent.
    pub revision: Option<Revision>,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: Key,
    /// New value, `None` to delete the row.
    pub value: Option<String>,
    /// Time after which the row expires, in milliseconds by the clock of the table service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ttl_ms: Option<u64>,
}

/// A transaction: its writes are applied together if all its checks hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// Id of the transaction.
    pub id: TransactionId,
    /// Conditions.
    pub checks: Vec<Check>,
    /// Writes.
    pub writes: Vec<Write>,
}

/// Answer of the table service to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitAnswer {
    /// All writes were applied.
    Applied(Revision),
    /// Nothing was applied, because this row had another revision (`None`: was absent).
    Conflict(Key, Option<Revision>),
}

/// Why a call of the platform failed; also the label of its counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, displaydoc::Display)]
pub enum Cause {
    /// the service can't be reached
    Unreachable,
    /// the connection failed before the answer was complete
    Broken,
    /// the service didn't answer in time
    Timeout,
    /// the service reported a fault of its own
    Failed,
    /// the service refused the request as malformed
    Rejected,
    /// the service refused the request because of its rate
    Limited,
    /// the answer can't be understood
    Malformed,
    /// calls are held back after failures
    BreakerOpen,
}

impl Cause {
    /// Every cause, in the order of its discriminant.
    pub const ALL: &'static [Cause] = &[
        Cause::Unreachable,
        Cause::Broken,
        Cause::Timeout,
        Cause::Failed,
        Cause::Rejected,
        Cause::Limited,
        Cause::Malformed,
        Cause::BreakerOpen,
    ];

    /// The name in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Unreachable => "unreachable",
            Cause::Broken => "broken",
            Cause::Timeout => "timeout",
            Cause::Failed => "failed",
            Cause::Rejected => "rejected",
            Cause::Limited => "limited",
            Cause::Malformed => "malformed",
            Cause::BreakerOpen => "breaker_open",
        }
    }
}

/// A failed call of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum StoreError {
    /// nothing was written: {0}
    NotApplied(Cause),
    /// the write may have taken effect or may still do so: {0}
    Ambiguous(Cause),
}

impl std::error::Error for StoreError {}

impl StoreError {
    /// Why the call failed.
    pub fn cause(self) -> Cause {
        match self {
            StoreError::NotApplied(cause) | StoreError::Ambiguous(cause) => cause,
        }
    }
}

/// What a row tells about a write of it whose answer was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteStatus {
    /// The write took effect and is the last one.
    Applied,
    /// The write has not taken effect, and it still may: the request may be on its way.
    Pending,
    /// The row has been written since, so the write can't take effect any more; whether it did
    /// before is not visible in this row.
    Superseded,
}

/// Judges a write of unknown effect by a read of its row that began after the write.
///
/// `checked` is the revision that the transaction's check on this row names.
pub fn classify_write(
    id: &TransactionId,
    checked: Option<Revision>,
    row: Option<&Row>,
) -> WriteStatus {
    match row {
        Some(row) if row.writer == *id => WriteStatus::Applied,
        _ if row.map(|row| row.revision) == checked => WriteStatus::Pending,
        _ => WriteStatus::Superseded,
    }
}
