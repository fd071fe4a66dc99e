//! Requests whose answer is passed on as a whole.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use siskinbend_link::read_body;
use siskinbend_request::AttemptFailure;
use siskinbend_request::DirectAttempts;
use siskinbend_request::NextStep;
use siskinbend_routing::AttemptResult;
use siskinbend_types::Reason;
use tokio::time::timeout;

use super::Gateway;
use super::attempt::Call;
use super::attempt::Reply;
use super::attempt::end_attempt;
use super::attempt::send;
use super::attempt::strip_connection;
use super::fleet::Target;
use super::response::Body;
use super::response::full_body;
use super::serve::refuse;

/// Longest answer in bytes that is held before it is passed on.
const MOST_ANSWER: usize = 8 << 20;

/// A whole answer of a backend server.
struct Held {
    parts: http::response::Parts,
    body: Bytes,
}

/// Serves a request; the answer is read whole first, so that a broken one can be asked for again.
pub(super) async fn serve(gateway: &Arc<Gateway>, call: &Call) -> Response<Body> {
    let repeatable = call.route.kind.is_retryable();
    let mut attempts = DirectAttempts::new(repeatable, call.route.max_attempts, call.deadline);
    let mut failure: Option<Held> = None;
    loop {
        let (target, ending) = match send(gateway, call, &mut attempts, None).await {
            Err(reason) => return give_up(gateway, call, &attempts, failure, reason),
            Ok(Err(failed)) => (failed.flight.target.clone(), failed.ending),
            Ok(Ok(reply)) => {
                let target = reply.flight.target.clone();
                match finish(gateway, call, reply).await {
                    Ok(held) if held.parts.status.is_server_error() => {
                        failure = Some(held);
                        (target, AttemptFailure::Failed)
                    }
                    Ok(held) => return pass_on(held),
                    Err(ending) => (target, ending),
                }
            }
        };
        match end_attempt(gateway, call, &mut attempts, &target, ending) {
            NextStep::Retry => {}
            NextStep::ForwardFailure => {
                return give_up(gateway, call, &attempts, failure, Reason::BackendFailed);
            }
            next @ (NextStep::Refuse(_) | NextStep::Fail(_)) => return refuse(gateway, call, next),
        }
    }
}

/// Passes on the failure of a backend server, or tells why there is no answer.
fn give_up(
    gateway: &Arc<Gateway>,
    call: &Call,
    attempts: &DirectAttempts,
    failure: Option<Held>,
    reason: Reason,
) -> Response<Body> {
    match failure {
        Some(held) => pass_on(held),
        None => refuse(gateway, call, attempts.give_up(reason)),
    }
}

async fn finish(gateway: &Arc<Gateway>, call: &Call, reply: Reply) -> Result<Held, AttemptFailure> {
    let Reply {
        mut flight,
        link,
        response,
    } = reply;
    let (parts, body) = response.into_parts();
    let left = call.left(gateway.now());
    let body = match timeout(left, read_body(body, MOST_ANSWER)).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            log::info!(
                request:% = call.head.id,
                server:% = flight.target.id,
                error:% = error;
                "answer_broken"
            );
            flight.end(AttemptResult::Failed);
            return Err(AttemptFailure::ConnectionLost);
        }
        Err(_) => {
            flight.end(AttemptResult::Stalled);
            return Err(AttemptFailure::Stalled);
        }
    };
    let failed = parts.status.is_server_error();
    let first_token = Some(gateway.now().since(call.received));
    flight.end(match failed {
        true => AttemptResult::Failed,
        false => AttemptResult::Ok { first_token },
    });
    gateway.fleet().keep_link(&flight.target.id, link);
    end_request(gateway, call, &flight.target, parts.status.as_u16());
    Ok(Held { parts, body })
}

/// Tells how a request ended that a backend server answered.
pub(super) fn end_request(gateway: &Arc<Gateway>, call: &Call, target: &Target, status: u16) {
    let took = gateway.now().since(call.received);
    gateway.metrics.total.observe(took.as_secs_f64());
    log::info!(
        request:% = call.head.id,
        server:% = target.id,
        status,
        took_ms = took.as_millis() as u64;
        "request_answered"
    );
}

fn pass_on(held: Held) -> Response<Body> {
    let mut response = Response::from_parts(held.parts, full_body(held.body));
    strip_connection(response.headers_mut());
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        *response.status_mut() = StatusCode::BAD_GATEWAY;
    }
    response
}

/// Passes on an answer to a stream's request that isn't a stream, unless it can be asked again.
///
/// # Errors
///
/// Returns how the attempt ended if the answer could not be read.
pub(super) async fn pass_failure(
    gateway: &Arc<Gateway>,
    call: &Call,
    reply: Reply,
) -> Result<Response<Body>, (Target, AttemptFailure)> {
    let target = reply.flight.target.clone();
    match finish(gateway, call, reply).await {
        Ok(held) => Ok(pass_on(held)),
        Err(ending) => Err((target, ending)),
    }
}
