//! Claim rows: which attempt may run the operation of an idempotency key.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use siskinbend_types::AgentId;
use siskinbend_types::Attempt;
use siskinbend_types::Digest;
use siskinbend_types::Incarnation;
use siskinbend_types::Organisation;
use siskinbend_types::RequestId;
use siskinbend_types::ServiceName;
use siskinbend_types::Window;
use smol_str::SmolStr;

/// Largest body in bytes that is stored with a key; the table is meant for small rows.
pub const STORED_BYTES: usize = 4096;

/// An answer kept for repeats of a keyed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the content type header.
    pub content_type: SmolStr,
    /// Body, at most [`STORED_BYTES`].
    pub body: Vec<u8>,
}

/// What is known of the operation of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The named attempt may be dispatched, queued, running or finished.
    Claimed,
    /// The operation ran and was answered; the answer is missing if it was too large.
    Answered(Option<StoredAnswer>),
    /// Proved: the named attempt never runs.
    NotRun,
}

/// One row of the table service, `claim/{organisation}/{service}/{key}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// The organisation that sent the key.
    pub organisation: Organisation,
    /// The service called.
    pub service: ServiceName,
    /// Digest of the key.
    pub key: Digest,
    /// Digest of the request body.
    pub body: Digest,
    /// The request that holds the claim.
    pub id: RequestId,
    /// The attempt that may run.
    pub attempt: Attempt,
    /// The agent to which the attempt is dispatched.
    pub agent: AgentId,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The dispatch window of the attempt.
    pub window: Window,
    /// What is known of the operation.
    pub state: ClaimState,
    /// How long the table keeps the row after this write, by the clock of the table service.
    pub retention: Duration,
}

impl ClaimRow {
    /// The row's key in the table.
    pub fn path(&self) -> String {
        claim_path(&self.organisation, &self.service, &self.key)
    }
}

/// The key in the table of the row of an idempotency key.
pub fn claim_path(organisation: &Organisation, service: &ServiceName, key: &Digest) -> String {
    format!("claim/{organisation}/{service}/{key}")
}

/// Why a row of the table could not be read.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum ClaimError {
    /// the claim row is not valid JSON of the expected form: {0}
    Form(String),
    /// the stored answer has {0} bytes, more than are kept
    Size(usize),
}

impl std::error::Error for ClaimError {}

/// Writes the row as JSON text for the table.
///
/// # Errors
///
/// Returns [`ClaimError::Size`] if the stored answer is too large.
pub fn encode(row: &ClaimRow) -> Result<String, ClaimError> {
    serde_json::to_string(row).map_err(|error| ClaimError::Form(error.to_string()))
}

/// Reads a row from the JSON text of the table.
///
/// # Errors
///
/// Returns the first fault found.
pub fn decode(text: &str) -> Result<ClaimRow, ClaimError> {
    serde_json::from_str(text).map_err(|error| ClaimError::Form(error.to_string()))
}
