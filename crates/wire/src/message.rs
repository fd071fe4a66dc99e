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
    /// Incarnation of the agent that the attempt is for.
    pub incarnation: Incarnation,
    /// Dispatch window in which the attempt was dispatched.
    pub window: Window,
    /// Organisation of the caller.
    pub organisation: Organisation,
    /// Priority of the request.
    pub priority: Priority,
    /// Time remaining until the caller's deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// HTTP method.
    pub method: SmolStr,
    /// Request path at the backend server.
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
    /// Name of the agent.
    pub agent: AgentId,
    /// Availability zone of the agent.
    pub zone: Zone,
    /// Service of its backend server.
    pub service: ServiceName,
    /// Whether the agent accepts requests; false for the agents of a group other than that of rank 0.
    pub serving: bool,
    /// Status of the agent.
    pub status: Status,
}

/// Content of a frame; the frame header adds the request id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// Starts an attempt.
    Dispatch(Dispatch),
    /// A part of the request body.
    Body(Bytes),
    /// The request body is complete.
    BodyEnd,
    /// Cancels an attempt, whether or not it has already been received.
    Cancel(AttemptRef),
    /// Requests the agent's status.
    Probe,
    /// Carries the sender's newest document version; answered with a beacon.
    Beacon(Option<DocumentVersion>),
    /// Requests the state of an attempt and cancels it if it has not started.
    Lookup(AttemptRef, Organisation),
    /// The attempt is in the agent's queue.
    Accepted(Status),
    /// The attempt was not run and will not be.
    Refused(Reason, Status),
    /// Start of the answer.
    Head(Head),
    /// A part of the answer.
    Chunk(Bytes),
    /// The answer is complete.
    End(Status),
    /// The answer ends here incomplete.
    Aborted(Reason),
    /// Answers `Cancel`.
    CancelState(CancelState),
    /// Answers `Lookup`.
    Found(LookupResult),
    /// The agent's status: answers `Probe`, or is sent unsolicited when the agent starts to drain.
    Report(Status),
    /// Requests the content of a document from a peer.
    Fetch(DocumentVersion),
    /// Content of a document.
    Content(Bytes),
    /// The peer can't send the content: it is serving too many fetches (`true`) or does not have it.
    NoContent(bool),
    /// Introduces an agent on a new connection.
    Hello(Hello),
    /// A message between the agents of a group.
    Group(Bytes),
}
