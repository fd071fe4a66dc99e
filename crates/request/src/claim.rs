//! Claim rows: which attempt may run the operation of an idempotency key.

use std::str::FromStr;
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

/// Largest body in bytes that is stored with a key. The table is designed for small rows.
pub const MAX_STORED_BYTES: usize = 4096;

/// The stored answer of a call with an idempotency key, for repeats of the call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the content type header.
    pub content_type: SmolStr,
    /// Body, at most [`MAX_STORED_BYTES`].
    pub body: Vec<u8>,
}

/// State of the operation of an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState {
    /// The named attempt may be dispatched, queued, running or finished.
    Claimed,
    /// The operation ran and was answered; `None` if the answer was too large to be stored.
    Answered(Option<StoredAnswer>),
    /// The named attempt is proved never to run.
    NotRun,
}

/// One row of the table service, `claim/{organisation}/{service}/{key}`.
///
/// Revisions of the table never repeat, so a compare-and-set fails if the row expired and was
/// written again.
#[derive(Debug, Clone, PartialEq, Eq)]
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
    /// State of the operation.
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

/// Returns the key in the table of the claim row of an idempotency key.
pub fn claim_path(organisation: &Organisation, service: &ServiceName, key: &Digest) -> String {
    format!("claim/{organisation}/{service}/{key}")
}

/// Why a claim row could not be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub enum ClaimError {
    /// the claim row is not valid JSON of the expected structure: {0}
    Malformed(String),
    /// the field {0} of the claim row is invalid
    InvalidField(&'static str),
    /// the stored answer has {0} bytes, which is more than the limit
    AnswerTooLarge(usize),
}

impl std::error::Error for ClaimError {}

/// JSON form of a claim row in the table. Ids are strings because many JSON readers lose digits of
/// numbers above 2^53. Unknown fields are ignored, so that versions of the program can coexist.
#[derive(Serialize, Deserialize)]
struct JsonRow {
    organisation: Organisation,
    service: ServiceName,
    key: String,
    body: String,
    id: String,
    attempt: u32,
    agent: AgentId,
    incarnation: String,
    window: u64,
    state: JsonState,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    answer: Option<JsonAnswer>,
    retention_ms: u64,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum JsonState {
    Claimed,
    Answered,
    NotRun,
}

#[derive(Serialize, Deserialize)]
struct JsonAnswer {
    status: u16,
    content_type: SmolStr,
    /// Hexadecimal.
    body: String,
}

/// Encodes the row as JSON for the table.
///
/// # Errors
///
/// Returns [`ClaimError::AnswerTooLarge`] if the stored answer is too large.
pub fn encode(row: &ClaimRow) -> Result<String, ClaimError> {
    let (state, answer) = match &row.state {
        ClaimState::Claimed => (JsonState::Claimed, None),
        ClaimState::Answered(answer) => (JsonState::Answered, answer.as_ref()),
        ClaimState::NotRun => (JsonState::NotRun, None),
    };
    if let Some(answer) = answer.filter(|a| a.body.len() > MAX_STORED_BYTES) {
        return Err(ClaimError::AnswerTooLarge(answer.body.len()));
    }
    let text = JsonRow {
        organisation: row.organisation.clone(),
        service: row.service.clone(),
        key: row.key.to_string(),
        body: row.body.to_string(),
        id: row.id.to_string(),
        attempt: row.attempt.0,
        agent: row.agent.clone(),
        incarnation: row.incarnation.to_string(),
        window: row.window.0,
        state,
        answer: answer.map(|a| JsonAnswer {
            status: a.status,
            content_type: a.content_type.clone(),
            body: hex::encode(&a.body),
        }),
        retention_ms: u64::try_from(row.retention.as_millis()).unwrap_or(u64::MAX),
    };
    serde_json::to_string(&text).map_err(|error| ClaimError::Malformed(error.to_string()))
}

/// Decodes a row from the JSON of the table.
///
/// # Errors
///
/// Returns the first error found.
pub fn decode(text: &str) -> Result<ClaimRow, ClaimError> {
    let row: JsonRow =
        serde_json::from_str(text).map_err(|error| ClaimError::Malformed(error.to_string()))?;
    let state = match (row.state, row.answer) {
        (JsonState::Claimed, None) => ClaimState::Claimed,
        (JsonState::NotRun, None) => ClaimState::NotRun,
        (JsonState::Answered, answer) => {
            ClaimState::Answered(answer.map(decode_answer).transpose()?)
        }
        _ => return Err(ClaimError::InvalidField("answer")),
    };
    Ok(ClaimRow {
        organisation: row.organisation,
        service: row.service,
        key: parse(&row.key, "key")?,
        body: parse(&row.body, "body")?,
        id: parse(&row.id, "id")?,
        attempt: Attempt(row.attempt),
        agent: row.agent,
        incarnation: parse(&row.incarnation, "incarnation")?,
        window: Window(row.window),
        state,
        retention: Duration::from_millis(row.retention_ms),
    })
}

fn decode_answer(text: JsonAnswer) -> Result<StoredAnswer, ClaimError> {
    let body = hex::decode(&text.body).map_err(|_| ClaimError::InvalidField("answer.body"))?;
    if body.len() > MAX_STORED_BYTES {
        return Err(ClaimError::AnswerTooLarge(body.len()));
    }
    Ok(StoredAnswer {
        status: text.status,
        content_type: text.content_type,
        body,
    })
}

fn parse<Value>(text: &str, field: &'static str) -> Result<Value, ClaimError>
where
    Value: FromStr,
{
    text.parse().map_err(|_| ClaimError::InvalidField(field))
}
