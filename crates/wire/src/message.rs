//! Messages between processes.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

use siskinbend_request::AttemptRef;
use siskinbend_request::CancelState;
use siskinbend_request::LookupResult;
use siskinbend_types::AgentId;
use siskinbend_types::Attempt;
use siskinbend_types::Incarnation;
use siskinbend_types::Organisation;
use siskinbend_types::Priority;
use siskinbend_types::Reason;
use siskinbend_types::ServiceName;
use siskinbend_types::Window;
use siskinbend_types::Zone;

use crate::DocumentVersion;
use crate::Status;

/// First frame of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Run of the agent that the attempt is for.
    pub incarnation: Incarnation,
    /// Dispatch window in which the attempt was made.
    pub window: Window,
    /// Organisation of the caller.
    pub organisation: Organisation,
    /// Priority of the request.
    pub priority: Priority,
    /// Time left until the caller's deadline, in milliseconds.
    pub deadline_ms: u32,
    /// The call may run more than once.
    pub idempotent: bool,
    /// HTTP method.
    pub method: SmolStr,
    /// Path at the backend server.
    pub path: SmolStr,
    /// Content type of the body; empty if there is none.
    pub content_type: SmolStr,
}

/// Head of the backend server's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty if there is none.
    pub content_type: SmolStr,
}

/// First frame that an agent sends on a new connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The agent's name.
    pub agent: AgentId,
    /// Its availability zone.
    pub zone: Zone,
    /// Service of its backend server.
    pub service: ServiceName,
    /// Takes requests; false for the agents of a group other than that of rank 0.
    pub serving: bool,
    /// Its state.
    pub status: Status,
}

/// Payload of a frame; the frame adds the request id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Starts an attempt.
    Dispatch(Dispatch),
    /// A part of the request body.
    Body(Bytes),
    /// The request body is complete.
    BodyEnd,
    /// Cancels an attempt, whether or not it has arrived.
    Cancel(AttemptRef),
    /// Asks for the agent's status.
    Probe,
    /// Tells the sender's newest document version; answered in kind.
    Beacon(Option<DocumentVersion>),
    /// Asks what became of an attempt and cancels it if it hasn't started.
    Lookup(AttemptRef, Organisation),
    /// The attempt is in the agent's queue.
    Accepted(Status),
    /// The attempt was not and will not be run.
    Refused(Reason, Status),
    /// The answer begins.
    Head(Head),
    /// A part of the answer.
    Chunk(Bytes),
    /// The answer is complete.
    End(Status),
    /// The answer ends here and is not complete.
    Aborted(Reason),
    /// Answers `Cancel`.
    CancelState(CancelState),
    /// Answers `Lookup`.
    Found(LookupResult),
    /// The agent's status: answers `Probe`, or is pushed when the agent begins to drain.
    Report(Status),
    /// Asks a peer for the content of a document.
    Fetch(DocumentVersion),
    /// Content of a document.
    Content(Bytes),
    /// The peer doesn't send the content: it serves too many fetches (`true`) or lacks it.
    NoContent(bool),
    /// Introduces an agent on a new connection.
    Hello(Hello),
    /// A message between the agents of a group.
    Group(Bytes),
}
