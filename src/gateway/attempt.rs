//! One attempt: choose a backend server, send the request, read the head of the answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::Method;
use http::Request;
use http::Response;
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
use siskinbend_site::ForwardHead;
use siskinbend_site::RequestHead;
use siskinbend_site::ResponseHead;
use siskinbend_site::Route;
use siskinbend_types::Organisation;
use siskinbend_types::Reason;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;
use siskinbend_types::Version;
use smol_str::SmolStr;

use super::Gateway;
use super::fleet::Flight;
use super::fleet::Target;

/// Longest time to open a connection to a backend server.
const CONNECT_TIME: Duration = Duration::from_millis(300);
/// Interval at which a silent attempt is looked at again.
const SILENCE_TICK: Duration = Duration::from_millis(100);
/// Silence of a backend server after which an attempt at it is given up, if another one of the
/// service answers meanwhile.
const MOST_SILENCE: Duration = Duration::from_millis(900);

/// A caller's request that was admitted.
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
    /// Version of the configuration that admitted it.
    pub version: Version,
    pub received: Time,
    pub deadline: Time,
}

/// An answer of which the head was read.
pub(super) struct Reply {
    pub flight: Flight,
    pub link: Connection,
    pub response: Response<Incoming>,
}

/// An attempt that brought no usable answer.
pub(super) struct Failure {
    pub flight: Flight,
    pub ending: AttemptFailure,
}

/// Headers that concern one connection only.
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

/// Removes the headers that concern one connection only.
pub(super) fn strip_connection(headers: &mut HeaderMap) {
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
    /// Time that is left.
    pub fn left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }

    fn build(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}

/// Makes one attempt.
///
/// # Errors
///
/// Returns why no backend server could be chosen.
pub(super) async fn send(
    gateway: &Arc<Gateway>,
    call: &Call,
    attempts: &mut DirectAttempts,
    last: Option<SmolStr>,
) -> Result<Result<Reply, Failure>, Reason> {
    let now = gateway.now();
    if gateway.fleet().is_closed(&call.service, now) {
        return Err(Reason::NoReplica);
    }
    let target = gateway
        .fleet()
        .choose(&call.service, attempts.tried(), now)?;
    attempts.start_attempt();
    let mut flight = Flight::new(gateway, target);
    log::info!(
        request:% = call.head.id,
        service:% = call.service,
        server:% = flight.target.id,
        attempt = attempts.sent(),
        load = flight.target.load,
        report_ms = flight.target.heard,
        version:% = call.version,
        after = last.as_deref().unwrap_or_default(),
        left_ms = call.left(now).as_millis() as u64;
        "attempt_sent"
    );
    let link = match open(gateway, call, &flight).await {
        Ok(link) => link,
        Err(_) => {
            flight.end(AttemptResult::Failed);
            return Ok(Err(Failure::new(flight, AttemptFailure::NotSent)));
        }
    };
    Ok(exchange(gateway, call, flight, link, last).await)
}

/// Decides what follows an attempt that brought nothing for the caller.
pub(super) fn end_attempt(
    gateway: &Gateway,
    call: &Call,
    attempts: &mut DirectAttempts,
    target: &Target,
    ending: AttemptFailure,
) -> NextStep {
    let now = gateway.now();
    let next = {
        let mut fleet = gateway.fleet();
        let budget = fleet.budget(&call.service);
        attempts.decide_next(target.id.clone(), ending, budget, now)
    };
    if next == NextStep::Retry {
        gateway.metrics.requests.record_retry(ending.reason());
    }
    next
}

/// A request that may not be repeated takes a new connection: on a kept one it could cross the
/// close of the connection, or find the late answer of another request.
async fn open(
    gateway: &Arc<Gateway>,
    call: &Call,
    flight: &Flight,
) -> Result<Connection, ConnectionError> {
    let kept = if call.route.kind.is_retryable() {
        gateway.fleet().take_link(&flight.target.id)
    } else {
        None
    };
    match kept {
        Some(link) => Ok(link),
        None => {
            let limit = CONNECT_TIME.min(call.left(gateway.now()));
            Connection::open(flight.target.address, limit, CloseMode::Reset).await
        }
    }
}

async fn exchange(
    gateway: &Arc<Gateway>,
    call: &Call,
    mut flight: Flight,
    mut link: Connection,
    last: Option<SmolStr>,
) -> Result<Reply, Failure> {
    let sent = gateway.now();
    let mut request = call.build();
    let head = ForwardHead {
        target: flight.target.id.clone(),
        timeout: call.left(sent),
        organisation: call.organisation.clone(),
        last_event: last,
        priority: call.priority,
    };
    let codec = &gateway.adapter.headers;
    codec.encode_forward(request.headers_mut(), &head);
    let answered = {
        let sending = link.send(request);
        tokio::select! {
            answered = sending => answered,
            () = wait_silence(gateway, call, &flight) => Err(ConnectionError::Timeout),
        }
    };
    let response = match answered {
        Ok(response) => response,
        Err(error) => {
            let ending = match error {
                ConnectionError::Connect | ConnectionError::NotSent => AttemptFailure::NotSent,
                ConnectionError::Timeout => AttemptFailure::Stalled,
                ConnectionError::Broken | ConnectionError::BodyTooLong => {
                    AttemptFailure::ConnectionLost
                }
            };
            log::info!(
                request:% = call.head.id,
                server:% = flight.target.id,
                error:% = error;
                "attempt_failed"
            );
            flight.end(match ending {
                AttemptFailure::Stalled => AttemptResult::Stalled,
                _ => AttemptResult::Failed,
            });
            return Err(Failure::new(flight, ending));
        }
    };
    let now = gateway.now();
    let head = codec.decode_response(response.status().as_u16(), response.headers());
    {
        let mut fleet = gateway.fleet();
        fleet.progress(&flight.target, now);
        if let Some(load) = head.load {
            fleet.observe(&flight.target.id, Some(load), now);
        }
    }
    judge(call, flight, link, response, &head)
}

fn judge(
    call: &Call,
    mut flight: Flight,
    link: Connection,
    response: Response<Incoming>,
    head: &ResponseHead,
) -> Result<Reply, Failure> {
    let status = response.status();
    let foreign = head.id.as_ref().is_some_and(|id| *id != call.head.id);
    let encoded = response.headers().contains_key(header::CONTENT_ENCODING);
    let unsealed = status.is_success() && !head.sealed;
    if foreign || encoded || unsealed {
        log::info!(
            request:% = call.head.id,
            server:% = flight.target.id,
            status = status.as_u16(),
            foreign;
            "answer_discarded"
        );
        flight.end(AttemptResult::Failed);
        return Err(Failure::new(flight, AttemptFailure::ConnectionLost));
    }
    if head.not_run {
        // A replica that refuses although it has slots free belongs to a group that is closed.
        let idle = head.load.is_some_and(|load| load.total() < load.slots);
        let reason = match status.as_u16() {
            421 => Reason::WrongIncarnation,
            _ if idle => Reason::NoReplica,
            _ => Reason::QueueFull,
        };
        log::info!(
            request:% = call.head.id,
            server:% = flight.target.id,
            status = status.as_u16(),
            reason:% = reason;
            "attempt_refused"
        );
        flight.end(AttemptResult::Refused(reason));
        return Err(Failure::new(flight, AttemptFailure::Refused(reason)));
    }
    let reply = Reply {
        flight,
        link,
        response,
    };
    if status.is_server_error() {
        let target = reply.flight.target.clone();
        log::info!(
            request:% = call.head.id,
            server:% = target.id,
            status = status.as_u16();
            "attempt_answered_with_failure"
        );
    }
    Ok(reply)
}

impl Failure {
    pub fn new(flight: Flight, ending: AttemptFailure) -> Failure {
        Failure { flight, ending }
    }
}

/// Waits until an attempt should be given up: at the deadline, or earlier if the request may be
/// repeated and the backend server is silent while another one answers.
pub(super) async fn wait_silence(gateway: &Arc<Gateway>, call: &Call, flight: &Flight) {
    let begun = gateway.now();
    let most = MOST_SILENCE.min(silence_limit(call));
    loop {
        let now = gateway.now();
        if now >= call.deadline {
            return;
        }
        let repeatable = call.route.kind.is_retryable();
        if repeatable && gateway.fleet().silence(&flight.target, begun, now) >= most {
            return;
        }
        tokio::time::sleep(SILENCE_TICK.min(call.left(now))).await;
    }
}

/// Silence that a request can bear and still be answered by another backend server.
fn silence_limit(call: &Call) -> Duration {
    let whole = call.deadline.since(call.received);
    (whole / 3).max(Duration::from_millis(150))
}
