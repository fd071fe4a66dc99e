//! Border to the headers that callers and backend servers use.

use std::time::Duration;

use http::HeaderMap;
use siskinbend_routing::LoadReport;
use siskinbend_types::AgentId;
use siskinbend_types::Organisation;
use smol_str::SmolStr;

/// What the head of a caller's request says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// The caller's id of this request.
    pub id: SmolStr,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The caller's key.
    pub key: Option<SmolStr>,
    /// The last event that the caller of a stream has received.
    pub last_event: Option<SmolStr>,
}

/// What is added to a request that goes to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardHead {
    /// The only backend server that may run it.
    pub target: AgentId,
    /// Time that is left.
    pub timeout: Duration,
    /// The caller's organisation.
    pub organisation: Option<Organisation>,
    /// The event after which a stream goes on.
    pub last_event: Option<SmolStr>,
    /// Urgency at an engine, 0 first.
    pub urgency: Option<u8>,
}

/// What the head of a backend server's answer says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Id of the request that it answers.
    pub id: Option<SmolStr>,
    /// Whether it comes from the backend server's own work.
    pub sealed: bool,
    /// Whether it proves that the request did not run.
    pub not_run: bool,
    /// The backend server's load.
    pub load: Option<LoadReport>,
}

/// Translates the headers of one platform.
pub trait HeaderCodec: Send + Sync {
    /// Reads the head of a caller's request.
    fn decode_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Turns a caller's headers into those of a request to a backend server.
    fn encode_forward(&self, headers: &mut HeaderMap, head: &ForwardHead);

    /// Reads the head of an answer.
    fn decode_response(&self, status: u16, headers: &HeaderMap) -> ResponseHead;
}
