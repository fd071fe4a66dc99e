//! Interface to the HTTP headers that callers and backend servers use.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use siskinbend_routing::LoadReport;
use siskinbend_types::AgentId;
use siskinbend_types::Organisation;
use siskinbend_types::PromptPart;
use siskinbend_types::Rate;
use smol_str::SmolStr;

/// Decoded headers of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Request id set by the caller.
    pub id: SmolStr,
    /// Time for which the caller waits for a response.
    pub timeout: Option<Duration>,
    /// API key.
    pub key: Option<SmolStr>,
    /// Id of the last stream event that the caller received.
    pub last_event: Option<SmolStr>,
    /// Parts of the prompt in order; the last one belongs to this request or its session.
    pub prompt: Vec<PromptPart>,
}

impl RequestHead {
    /// Returns the parts of the prompt that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.prompt.split_last().map_or(&[], |(_, shared)| shared)
    }
}

/// Values that the gateway adds to the headers of a forwarded request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardHead {
    /// The only backend server that may run the request.
    pub target: AgentId,
    /// Time left until the request's deadline.
    pub timeout: Duration,
    /// Organisation of the caller.
    pub organisation: Option<Organisation>,
    /// Id of the event after which a stream resumes.
    pub last_event: Option<SmolStr>,
    /// Scheduling priority at the engine; 0 is the highest.
    pub priority: Option<u8>,
}

/// Decoded headers of a backend server's response.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseHead {
    /// Id of the request that the response belongs to.
    pub id: Option<SmolStr>,
    /// Whether the response carries the backend server's authentication code.
    pub sealed: bool,
    /// Whether the response proves that the request did not run.
    pub not_run: bool,
    /// Load of the backend server.
    pub load: Option<LoadReport>,
    /// Requests a second that the backend server takes from all gateways together.
    pub limit: Option<Rate>,
    /// Time for which the backend server stays cold after its start.
    pub cold_for: Option<Duration>,
    /// Whether the backend server is leaving.
    pub leaving: bool,
    /// Time for which the backend server wants no requests of this gateway.
    pub pause: Option<Duration>,
    /// Headers that were ignored because their values are malformed.
    pub ignored: Vec<IgnoredHeader>,
}

/// Header that was ignored because its value is malformed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IgnoredHeader {
    /// Name of the header.
    pub name: HeaderName,
    /// Beginning of the value.
    pub value: SmolStr,
}

/// Translates the headers of one platform.
pub trait HeaderCodec: Send + Sync {
    /// Decodes the headers of a caller's request.
    fn decode_request(&self, headers: &HeaderMap) -> RequestHead;

    /// Replaces a caller's headers with those of the request to a backend server.
    fn encode_forward(&self, headers: &mut HeaderMap, head: &ForwardHead);

    /// Decodes the status and headers of a response.
    fn decode_response(&self, status: u16, headers: &HeaderMap) -> ResponseHead;
}
