//! Signals that a replica adds to its answers: that it is leaving, or wants a pause.

use std::sync::Mutex;
use std::time::Instant;

use axum::response::IntoResponse;
use axum::response::Response;
use http::HeaderValue;
use http::StatusCode;

use crate::counters::lock;

/// Signals of one replica, and when requests arrived.
#[derive(Debug, Default)]
pub struct Signals {
    /// Value of `server-leaving` in all answers.
    leaving: Mutex<Option<&'static str>>,
    /// Value of `retry-after`, with which all requests are rejected.
    pause: Mutex<Option<&'static str>>,
    /// Status and request id with which all requests are rejected.
    rejection: Mutex<Option<(StatusCode, &'static str)>>,
    arrivals: Mutex<Vec<Instant>>,
}

impl Signals {
    /// Records the arrival of a request, and returns the rejection if there is one.
    pub(super) fn receive(&self) -> Option<Response> {
        lock(&self.arrivals).push(Instant::now());
        if let Some((status, id)) = *lock(&self.rejection) {
            return Some((status, [("x-request-id", id)]).into_response());
        }
        let pause = (*lock(&self.pause))?;
        let head = [("retry-after", pause), ("x-not-executed", "1")];
        Some((StatusCode::SERVICE_UNAVAILABLE, head).into_response())
    }

    /// Adds the signals to an answer.
    pub(super) fn mark(&self, mut response: Response) -> Response {
        if let Some(value) = *lock(&self.leaving) {
            let value = HeaderValue::from_static(value);
            response.headers_mut().insert("server-leaving", value);
        }
        response
    }

    /// Returns when requests arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.arrivals).clone()
    }

    /// Sets what the answers say about leaving.
    pub fn set_leaving(&self, value: Option<&'static str>) {
        *lock(&self.leaving) = value;
    }

    /// Sets the pause that the replica asks for.
    pub fn set_pause(&self, value: Option<&'static str>) {
        *lock(&self.pause) = value;
    }

    /// Sets the status and the request id of rejections.
    pub fn set_rejection(&self, value: Option<(StatusCode, &'static str)>) {
        *lock(&self.rejection) = value;
    }
}
