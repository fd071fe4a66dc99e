//! Error responses in the problem details format (RFC 9457).

use axum::body::Body;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use serde::Serialize;

use siskinbend_types::Outcome;
use siskinbend_types::Reason;
use siskinbend_types::RequestId;

/// Body of an error response.
#[derive(Debug, Serialize)]
struct Problem {
    title: &'static str,
    status: u16,
    outcome: &'static str,
    reason: &'static str,
    request: String,
}

/// Builds the response to a failed request.
pub(super) fn build(id: RequestId, outcome: Outcome, reason: Reason) -> Response<Body> {
    let status = reason.status();
    let problem = Problem {
        title: reason.message(),
        status,
        outcome: outcome.as_str(),
        reason: reason.as_str(),
        request: id.to_string(),
    };
    let text = serde_json::to_vec(&problem).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    if matches!(status, 429 | 503) && outcome == Outcome::NotRun {
        headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    }
    response
}
