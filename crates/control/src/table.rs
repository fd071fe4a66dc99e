//! Data types for rows and transactions of the platform's table service.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 512;

/// Key of a row: segments of `a-z 0-9 - _ .` separated by slashes, so that it needs no escaping.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "SmolStr")]
pub struct Key(SmolStr);

impl Key {
    /// Returns the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// Why a text is not a valid key.
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

/// Revision of a row: the table's revision at the last write of the row. Revisions are never reused,
/// not even for a row that was deleted and written again.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies a transaction. Its author draws the id at random, and every row that the transaction
/// writes stores it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TransactionId(SmolStr);

impl TransactionId {
    /// Creates an id from 128 random bits.
    pub fn from_random(bits: u128) -> Self {
        Self(smol_str::format_smolstr!("{bits:032x}"))
    }
}

impl From<&str> for TransactionId {
    /// Accepts any text, because other programs may have written the row.
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Display for TransactionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: Key,
    /// Value of the row.
    pub value: String,
    /// Revision of the last write.
    pub revision: Revision,
    /// Transaction that wrote the row last.
    pub writer: TransactionId,
}

/// Precondition of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Check {
    /// Key of the row.
    pub key: Key,
    /// Required revision of the row, `None` if the row must be absent.
    pub revision: Option<Revision>,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: Key,
    /// New value, `None` to delete the row.
    pub value: Option<String>,
    /// Time to live of the row in milliseconds, by the clock of the table service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ttl_ms: Option<u64>,
}

/// A transaction: all its writes are applied atomically if all its checks hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// Id of the transaction.
    pub id: TransactionId,
    /// Preconditions.
    pub checks: Vec<Check>,
    /// Writes.
    pub writes: Vec<Write>,
}

/// Answer of the table service to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CommitAnswer {
    /// All writes were applied.
    Applied(Revision),
    /// Nothing was applied, because this row had this other revision (`None` if it was absent).
    Conflict(Key, Option<Revision>),
}

/// Why a call to the platform failed; also the label of its counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, displaydoc::Display)]
pub enum Cause {
    /// the service is unreachable
    Unreachable,
    /// the connection failed before the answer was complete
    Broken,
    /// the service did not answer in time
    Timeout,
    /// the service reported an internal error
    Failed,
    /// the service rejected the request as malformed
    Rejected,
    /// the service rejected the request because of its rate limit
    Limited,
    /// the answer can't be decoded
    Malformed,
    /// the circuit breaker is open after repeated failures
    BreakerOpen,
}

impl Cause {
    /// All causes, ordered by discriminant.
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

    /// Returns the name used in metrics and logs.
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

/// A failed call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum StoreError {
    /// nothing was written: {0}
    NotApplied(Cause),
    /// the write may have been applied or may still be applied: {0}
    Ambiguous(Cause),
}

impl std::error::Error for StoreError {}

impl StoreError {
    /// Returns why the call failed.
    pub fn cause(self) -> Cause {
        match self {
            StoreError::NotApplied(cause) | StoreError::Ambiguous(cause) => cause,
        }
    }
}

/// Effect of a write whose answer was lost, according to its row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteStatus {
    /// The write was applied and is the latest one.
    Applied,
    /// The write has not been applied, but its request may still be in flight.
    Pending,
    /// Another write changed the row, so this one can no longer be applied. Whether it was applied
    /// before that is not visible in the row.
    Superseded,
}

/// Determines the effect of a write from a read of its row that started after the write.
///
/// `checked` is the revision that the transaction requires of this row.
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
