//! One attempt at a request: chooses a backend server, sends the request and reads the head of the
//! response.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http::header;
use http_body_util::Full;
use hyper::body::Incoming;
use siskinbend_link::CloseMode;
use siskinbend_link::Connection;
use siskinbend_link::ConnectionError;
use siskinbend_request::AttemptFailure;
use siskinbend_request::DirectAttempts;
use siskinbend_request::NextStep;
use siskinbend_routing::AttemptResult;
use siskinbend_routing::AttemptStage;
use siskinbend_routing::crashes::Cause;
use siskinbend_site::ForwardHead;
use siskinbend_site::RequestHead;
use siskinbend_site::ResponseHead;
use siskinbend_site::Route;
use siskinbend_types::Organisation;
use siskinbend_types::Reason;
use siskinbend_types::RegionSet;
use siskinbend_types::RequestFingerprint;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;
use siskinbend_types::Version;
use smol_str::SmolStr;
use tokio::time::timeout;

use super::Gateway;
use super::crashes;
use super::evacuations;
use super::fingerprint::compute_fingerprint;
use super::fleet::Target;
use super::guards::AdmissionPermit;
use super::guards::AttemptGuard;
use super::ignored_headers;
use super::race::Race;

/// Timeout for opening a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Admitted request of a caller.
pub(super) struct Call {
    pub head: RequestHead,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub route: Route,
    pub service: ServiceName,
    pub organisation: Option<Organisation>,
    pub priority: Option<u8>,
    /// Regions that the route and the organisation allow.
    pub regions: RegionSet,
    /// Computed when it is first needed.
    pub fingerprint: OnceLock<RequestFingerprint>,
    /// Predicted time until the start when the limit was reached.
    pub predicted_wait: OnceLock<Duration>,
    /// Version of the configuration with which the request was admitted.
    pub version: Version,
    pub received_at: Time,
    pub deadline: Time,
}

/// Response of which the head was read, but not the body.
pub(super) struct PendingResponse {
    pub attempt: AttemptGuard,
    pub connection: Connection,
    pub response: Response<Incoming>,
    /// Whether the backend server asks for a pause.
    pub asks_pause: bool,
}

/// Attempt without a usable response.
pub(super) struct FailedAttempt {
    pub attempt: Box<AttemptGuard>,
    pub failure: AttemptFailure,
}

/// Headers that apply to one connection or message only and are not forwarded.
const CONNECTION_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
];

/// Removes hop-by-hop headers, including those that the `Connection` header names.
pub(super) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in CONNECTION_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

impl Call {
    /// Returns the time left until the deadline.
    pub fn time_left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    /// Returns the hash by which the same request is recognised under another id.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let compute = || {
            let caller = self.organisation.as_ref();
            compute_fingerprint(&self.method, &self.uri, caller, &self.body)
        };
        *self.fingerprint.get_or_init(compute)
    }

    /// Records the predicted time until the start of a request that finds the limit reached.
    pub fn set_predicted(&self, predicted: Duration) {
        self.predicted_wait.get_or_init(|| predicted);
    }

    /// Returns the predicted time until the start; zero if the limit was not reached.
    pub fn predicted(&self) -> Duration {
        self.predicted_wait.get().copied().unwrap_or_default()
    }

    fn build_request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}

/// Sends a request to a backend server, and to further ones while all that got it are silent. A permit
/// is moved to the group of the server that answers.
///
/// # Errors
///
/// Returns the reason if no backend server could be chosen.
pub(super) async fn send_attempt(
    gateway: &Arc<Gateway>,
    call: &Call,
    attempts: &mut DirectAttempts,
    mut permit: Option<&mut AdmissionPermit>,
    last_event: Option<SmolStr>,
) -> Result<Result<PendingResponse, FailedAttempt>, Reason> {
    gateway.crashes.wait_until_checked(call).await;
    evacuations::wait_until_checked(gateway, call).await;
    let now = gateway.now();
    check_blocked(gateway, call, now)?;
    let target = gateway.fleet().choose(
        &call.service,
        attempts.tried(),
        &call.regions,
        permit.as_deref_mut(),
        now,
    )?;
    let attempt = start_attempt(gateway, call, attempts, target, last_event.as_ref());
    let first = attempt.target.id.clone();
    let answer = Race::new(gateway, call, attempts, last_event)
        .run(attempt)
        .await;
    if let (Ok(pending), Some(permit)) = (&answer, permit)
        && pending.attempt.target.id != first
    {
        gateway.fleet().move_permit(&pending.attempt.target, permit);
    }
    Ok(answer)
}

/// Starts an attempt at a chosen backend server and logs what the choice was based on.
pub(super) fn start_attempt(
    gateway: &Arc<Gateway>,
    call: &Call,
    attempts: &mut DirectAttempts,
    target: Target,
    last_event: Option<&SmolStr>,
) -> AttemptGuard {
    attempts.start_attempt();
    let attempt = AttemptGuard::new(gateway, target);
    log::info!(
        request:% = call.head.id,
        service:% = call.service,
        server:% = attempt.target.id,
        group = attempt.target.group.as_ref().map(ToString::to_string).unwrap_or_default(),
        attempt = attempts.sent(),
        load = attempt.target.load,
        report_ms = attempt.target.report_age_ms,
        version:% = call.version,
        after = last_event.map(SmolStr::as_str).unwrap_or_default(),
        left_ms = call.time_left(attempt.sent_at).as_millis() as u64;
        "attempt_sent"
    );
    attempt
}

/// Sends a request to the backend server of an attempt and reads the head of the response.
pub(super) async fn run_attempt(
    gateway: &Arc<Gateway>,
    call: &Call,
    mut attempt: AttemptGuard,
    last_event: Option<SmolStr>,
) -> Result<PendingResponse, FailedAttempt> {
    match open_connection(gateway, call, &attempt).await {
        Ok(connection) => exchange(gateway, call, attempt, connection, last_event).await,
        Err(_) => {
            attempt.record_connection_failure();
            attempt.finish(AttemptResult::Failed);
            Err(FailedAttempt::new(attempt, AttemptFailure::NotSent))
        }
    }
}

/// Whether a request may be sent now, without a wait for the checks before it.
pub(super) fn may_send(gateway: &Arc<Gateway>, call: &Call, now: Time) -> bool {
    !gateway.crashes.is_checked_for(call)
        && evacuations::is_checked(gateway, now)
        && gateway.crashes.find_blocked(call, now).is_none()
}

/// Returns an error if the request, or a part of its prompt, is known to crash backend servers.
fn check_blocked(gateway: &Arc<Gateway>, call: &Call, now: Time) -> Result<(), Reason> {
    match gateway.crashes.find_blocked(call, now) {
        None => Ok(()),
        Some((Cause::Part(part), _)) => {
            log::info!(request:% = call.head.id, part:% = part; "prompt_refused");
            Err(Reason::PromptBlocked)
        }
        Some((Cause::Request(fingerprint), _)) => {
            log::info!(request:% = call.head.id, fingerprint:% = fingerprint; "request_held_back");
            Err(Reason::RequestBlocked)
        }
    }
}

/// Decides what follows a failed attempt.
pub(super) fn decide_next(
    gateway: &Gateway,
    call: &Call,
    attempts: &mut DirectAttempts,
    target: &Target,
    failure: AttemptFailure,
) -> NextStep {
    let now = gateway.now();
    let next = {
        let mut fleet = gateway.fleet();
        let budget = fleet.budget(&call.service);
        attempts.decide_next(target.id.clone(), failure, budget, now)
    };
    if next == NextStep::Retry {
        gateway.metrics.requests.record_retry(failure.reason());
    }
    next
}

/// Reuses an idle connection or opens a new one. A request that may not be retried takes a new one:
/// on an idle connection it could race with the server's close, or receive the late response to
/// another request. So does a request without an id, whose response can't be told from a late one.
async fn open_connection(
    gateway: &Arc<Gateway>,
    call: &Call,
    attempt: &AttemptGuard,
) -> Result<Connection, ConnectionError> {
    let idle = if call.route.kind.is_retryable() && !call.head.id.is_empty() {
        gateway.fleet().take_connection(&attempt.target.id)
    } else {
        None
    };
    match idle {
        Some(connection) => Ok(connection),
        None => {
            let time_limit = CONNECT_TIMEOUT.min(call.time_left(gateway.now()));
            Connection::open(attempt.target.address, time_limit, CloseMode::Reset).await
        }
    }
}

async fn exchange(
    gateway: &Arc<Gateway>,
    call: &Call,
    mut attempt: AttemptGuard,
    mut connection: Connection,
    last_event: Option<SmolStr>,
) -> Result<PendingResponse, FailedAttempt> {
    let sent_at = gateway.now();
    let mut request = call.build_request();
    let head = ForwardHead {
        target: attempt.target.id.clone(),
        timeout: call.time_left(sent_at),
        organisation: call.organisation.clone(),
        last_event,
        priority: call.priority,
    };
    let codec = &gateway.adapter.headers;
    codec.encode_forward(request.headers_mut(), &head);
    let result = {
        let sending = timeout(call.time_left(sent_at), connection.send(request));
        sending.await.unwrap_or(Err(ConnectionError::Timeout))
    };
    let response = match result {
        Ok(response) => response,
        Err(error) => {
            let failure = match error {
                ConnectionError::Connect | ConnectionError::NotSent => AttemptFailure::NotSent,
                ConnectionError::Timeout => AttemptFailure::Stalled,
                ConnectionError::Broken
                | ConnectionError::BodyTooLong
                | ConnectionError::NoBodyMemory => AttemptFailure::ConnectionLost,
            };
            log::info!(
                request:% = call.head.id,
                server:% = attempt.target.id,
                error:% = error;
                "attempt_failed"
            );
            if failure == AttemptFailure::ConnectionLost {
                crashes::record_loss(gateway, call, &attempt.target, AttemptStage::Waiting);
            }
            if failure != AttemptFailure::Stalled {
                attempt.record_connection_failure();
            }
            attempt.finish(match failure {
                AttemptFailure::Stalled => AttemptResult::Stalled,
                _ => AttemptResult::Failed,
            });
            return Err(FailedAttempt::new(attempt, failure));
        }
    };
    let now = gateway.now();
    let head = codec.decode_response(response.status().as_u16(), response.headers());
    {
        let mut fleet = gateway.fleet();
        fleet.record_activity(&attempt.target, now);
        // Another server may hold the address now; its answer says nothing about the target.
        if response.status() != StatusCode::MISDIRECTED_REQUEST {
            fleet.record_server_limit(&attempt.target, head.limit, attempt.sent_at, now);
            // A wrong cold time, in a late copy of an answer, only slows the server down.
            fleet.record_cold_answer(&attempt.target, head.cold_for, attempt.sent_at, now);
        }
        if is_own_answer(call, response.status(), &head) {
            fleet.record_answer(&attempt.target, &head, now);
        }
        if let Some(load) = head.load {
            fleet.record_load(&attempt.target.id, Some(load), now);
        }
    }
    ignored_headers::record(
        &gateway.metrics.ignored_headers,
        &attempt.target,
        &head.ignored,
    );
    check_response(call, attempt, connection, response, &head)
}

/// Whether a response belongs to another request.
fn is_foreign(call: &Call, status: StatusCode, head: &ResponseHead) -> bool {
    // A late copy of an earlier answer may lack its id, so that a success must state its own.
    match &head.id {
        Some(id) => *id != call.head.id,
        None => status.is_success() && !call.head.id.is_empty(),
    }
}

/// Whether a response is the answer of the target to the request. A success without authentication
/// code may come from anywhere.
fn is_own_answer(call: &Call, status: StatusCode, head: &ResponseHead) -> bool {
    status != StatusCode::MISDIRECTED_REQUEST
        && !is_foreign(call, status, head)
        && (head.sealed || !status.is_success())
}

/// Rejects a response that belongs to another request, is encoded, lacks the authentication code or
/// refuses the request.
fn check_response(
    call: &Call,
    mut attempt: AttemptGuard,
    connection: Connection,
    response: Response<Incoming>,
    head: &ResponseHead,
) -> Result<PendingResponse, FailedAttempt> {
    let status = response.status();
    let foreign = is_foreign(call, status, head);
    let encoded = response.headers().contains_key(header::CONTENT_ENCODING);
    let unsealed = status.is_success() && !head.sealed;
    if foreign || encoded || unsealed {
        log::info!(
            request:% = call.head.id,
            server:% = attempt.target.id,
            status = status.as_u16(),
            foreign;
            "answer_discarded"
        );
        attempt.finish(AttemptResult::Failed);
        return Err(FailedAttempt::new(attempt, AttemptFailure::ConnectionLost));
    }
    let asks_pause = head.pause.is_some_and(|pause| !pause.is_zero());
    if head.not_run {
        // A replica that refuses a request while it has free slots belongs to a closed group.
        let has_free_slots = head.load.is_some_and(|load| load.total() < load.slots);
        let reason = match status.as_u16() {
            421 => Reason::WrongIncarnation,
            _ if has_free_slots => Reason::NoReplica,
            _ => Reason::QueueFull,
        };
        log::info!(
            request:% = call.head.id,
            server:% = attempt.target.id,
            status = status.as_u16(),
            reason:% = reason;
            "attempt_refused"
        );
        attempt.finish(AttemptResult::Refused(match asks_pause {
            true => Reason::ServersPaused,
            false => reason,
        }));
        return Err(FailedAttempt::new(attempt, AttemptFailure::Refused(reason)));
    }
    let pending = PendingResponse {
        attempt,
        connection,
        response,
        asks_pause,
    };
    if status.is_server_error() {
        let target = pending.attempt.target.clone();
        log::info!(
            request:% = call.head.id,
            server:% = target.id,
            status = status.as_u16();
            "attempt_answered_with_failure"
        );
    }
    Ok(pending)
}

impl PendingResponse {
    /// Returns the result of an attempt that was answered with an error. A server that asks for a
    /// pause has not failed: it gets its full share of requests when the pause ends.
    pub fn error_result(&self) -> AttemptResult {
        match self.asks_pause {
            true => AttemptResult::Refused(Reason::ServersPaused),
            false => AttemptResult::Failed,
        }
    }
}

impl FailedAttempt {
    pub fn new(attempt: AttemptGuard, failure: AttemptFailure) -> FailedAttempt {
        FailedAttempt {
            attempt: Box::new(attempt),
            failure,
        }
    }
}
