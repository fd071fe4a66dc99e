//! Response bodies and error responses of a gateway.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use serde::Serialize;
use siskinbend_types::Outcome;
use siskinbend_types::Reason;

/// Body of a response to a caller; an error closes the connection before the response is complete.
pub(super) type Body = UnsyncBoxBody<Bytes, std::io::Error>;

#[derive(Serialize)]
struct Problem {
    status: u16,
    reason: &'static str,
    outcome: &'static str,
    detail: &'static str,
}

/// Creates a body from complete content.
pub(super) fn full_body(content: Bytes) -> Body {
    Full::new(content)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Creates an error response of the gateway itself, in the problem details format of RFC 9457.
pub(super) fn problem_response(
    reason: Reason,
    outcome: Outcome,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let status = match outcome {
        // Callers may take these statuses as proof that the request did not run.
        Outcome::NotRun => match reason.status() {
            504 | 502 => 503,
            status => status,
        },
        // The request may have run, so a status that would deny it must not be used.
        _ => match reason.status() {
            504 => 504,
            _ => 502,
        },
    };
    let problem = Problem {
        status,
        reason: reason.as_str(),
        outcome: outcome.as_str(),
        detail: reason.message(),
    };
    // Serializing `Problem` cannot fail.
    let text = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = Response::new(full_body(text.into()));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    if let Some(after) = retry_after {
        let seconds = format!("{:.2}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    response
}
