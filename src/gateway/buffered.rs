//! Requests whose response is buffered before it is forwarded.

use std::sync::Arc;

use bytes::Bytes;
use http::Response;
use http::StatusCode;
use siskinbend_link::ConnectionError;
use siskinbend_link::read_body_within;
use siskinbend_request::AttemptFailure;
use siskinbend_request::DirectAttempts;
use siskinbend_request::NextStep;
use siskinbend_routing::AttemptResult;
use siskinbend_routing::AttemptStage;
use siskinbend_types::Reason;
use tokio::time::timeout;

use super::Gateway;
use super::attempt::Call;
use super::attempt::PendingResponse;
use super::attempt::decide_next;
use super::attempt::send_attempt;
use super::attempt::strip_hop_by_hop;
use super::crashes;
use super::fleet::Target;
use super::handler::refuse;
use super::response::Body;
use super::response::full_body;

/// Maximum size of a response body that is buffered.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Complete response of a backend server.
struct BufferedResponse {
    parts: http::response::Parts,
    body: Bytes,
}

/// Serves a request. The response is read completely first, so that a truncated one can be retried.
pub(super) async fn serve(gateway: &Arc<Gateway>, call: &Call) -> Response<Body> {
    let is_retryable = call.route.kind.is_retryable();
    let mut attempts = DirectAttempts::new(is_retryable, call.route.max_attempts, call.deadline);
    let mut error_response: Option<BufferedResponse> = None;
    loop {
        let (target, failure) = match send_attempt(gateway, call, &mut attempts, None, None).await {
            Err(reason) => {
                return forward_or_refuse(gateway, call, &attempts, error_response, reason);
            }
            Ok(Err(failed)) => (failed.attempt.target.clone(), failed.failure),
            Ok(Ok(pending)) => {
                let target = pending.attempt.target.clone();
                match read_response(gateway, call, pending).await {
                    Ok(response) if response.parts.status.is_server_error() => {
                        error_response = Some(response);
                        (target, AttemptFailure::Failed)
                    }
                    Ok(response) => return forward(response),
                    Err(failure) => (target, failure),
                }
            }
        };
        match decide_next(gateway, call, &mut attempts, &target, failure) {
            NextStep::Retry => {}
            NextStep::ForwardFailure => {
                return forward_or_refuse(
                    gateway,
                    call,
                    &attempts,
                    error_response,
                    Reason::BackendFailed,
                );
            }
            next @ (NextStep::Refuse(_) | NextStep::Fail(_)) => return refuse(gateway, call, next),
        }
    }
}

/// Forwards the error response of a backend server if there is one, or else refuses the request.
fn forward_or_refuse(
    gateway: &Arc<Gateway>,
    call: &Call,
    attempts: &DirectAttempts,
    error_response: Option<BufferedResponse>,
    reason: Reason,
) -> Response<Body> {
    match error_response {
        Some(response) => forward(response),
        None => refuse(gateway, call, attempts.give_up(reason)),
    }
}

async fn read_response(
    gateway: &Arc<Gateway>,
    call: &Call,
    pending: PendingResponse,
) -> Result<BufferedResponse, AttemptFailure> {
    let error_result = pending.error_result();
    let PendingResponse {
        mut attempt,
        connection,
        response,
        ..
    } = pending;
    let (parts, body) = response.into_parts();
    let time_left = call.time_left(gateway.now());
    let reading = read_body_within(body, MAX_RESPONSE_BYTES, &gateway.bodies);
    let body = match timeout(time_left, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            log::info!(
                request:% = call.head.id,
                server:% = attempt.target.id,
                error:% = error;
                "answer_broken"
            );
            if error == ConnectionError::Broken {
                // How much of the answer the server had written is unknown.
                crashes::record_loss(gateway, call, &attempt.target, AttemptStage::Starting);
                attempt.record_connection_failure();
            }
            attempt.finish(AttemptResult::Failed);
            return Err(AttemptFailure::ConnectionLost);
        }
        Err(_) => {
            attempt.finish(AttemptResult::Stalled);
            return Err(AttemptFailure::Stalled);
        }
    };
    let is_error = parts.status.is_server_error();
    let first_token = Some(gateway.now().since(call.received_at));
    attempt.finish(match is_error {
        true => error_result,
        false => AttemptResult::Ok { first_token },
    });
    if !is_error {
        gateway.crashes.record_answer(call, attempt.sent_at);
    }
    gateway
        .fleet()
        .return_connection(&attempt.target.id, connection);
    record_answered(gateway, call, &attempt.target, parts.status.as_u16());
    Ok(BufferedResponse { parts, body })
}

/// Records the latency of a request that a backend server answered, and logs it.
pub(super) fn record_answered(gateway: &Arc<Gateway>, call: &Call, target: &Target, status: u16) {
    let took = gateway.now().since(call.received_at);
    gateway.metrics.total.observe(took.as_secs_f64());
    log::info!(
        request:% = call.head.id,
        server:% = target.id,
        status,
        took_ms = took.as_millis() as u64;
        "request_answered"
    );
}

fn forward(response: BufferedResponse) -> Response<Body> {
    let mut response = Response::from_parts(response.parts, full_body(response.body));
    strip_hop_by_hop(response.headers_mut());
    if response.status() == StatusCode::SWITCHING_PROTOCOLS {
        *response.status_mut() = StatusCode::BAD_GATEWAY;
    }
    response
}

/// Reads and forwards a response to a stream request that is not a stream.
///
/// # Errors
///
/// Returns the target and failure of the attempt if the response could not be read.
pub(super) async fn forward_error(
    gateway: &Arc<Gateway>,
    call: &Call,
    pending: PendingResponse,
) -> Result<Response<Body>, (Target, AttemptFailure)> {
    let target = pending.attempt.target.clone();
    match read_response(gateway, call, pending).await {
        Ok(response) => Ok(forward(response)),
        Err(failure) => Err((target, failure)),
    }
}
