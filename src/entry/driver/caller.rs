//! Sends the response to the caller and records the request metrics.

use axum::body::Body;
use axum::body::Bytes;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;

use siskinbend_request::Event;
use siskinbend_request::StoredAnswer;
use siskinbend_types::Outcome;
use siskinbend_types::Reason;

use super::Driver;
use super::UnsentPart;
use crate::entry::problem;

impl Driver {
    /// Forwards the unsent part of the answer to the caller.
    pub(super) async fn forward_part(&mut self) {
        self.store_part();
        match std::mem::replace(&mut self.unsent, UnsentPart::Nothing) {
            UnsentPart::Head(head) => {
                let latency = self.entry.clock.now().since(self.started);
                self.entry.metrics.latency.observe(latency.as_secs_f64());
                self.response.send_head(&head);
            }
            UnsentPart::Chunk(bytes) => {
                if let Err(bytes) = self.response.try_send_chunk(bytes) {
                    self.send_slowly(bytes).await;
                }
            }
            UnsentPart::Nothing => {}
        }
    }

    /// Waits until the caller has read enough to send the chunk, but at most until the deadline: a
    /// caller that never reads must not keep the request open.
    async fn send_slowly(&mut self, bytes: Bytes) {
        let deadline = self.entry.clock.to_instant(self.spec.deadline);
        let sending = self.response.send_chunk(bytes);
        if tokio::time::timeout_at(deadline, sending).await.is_err() {
            self.events.push_back(Event::CallerGone);
        }
    }

    /// Completes the response. If the caller doesn't read the end before the deadline, the response
    /// is truncated.
    pub(super) async fn complete_response(&mut self) {
        let deadline = self.entry.clock.to_instant(self.spec.deadline);
        let ending = tokio::time::timeout_at(deadline, self.response.send_end()).await;
        let reason = ending.is_err().then_some(Reason::CallerGone);
        self.record_outcome(Outcome::Answered, reason);
    }

    /// Responds with the answer stored in the claim row of an earlier request.
    pub(super) fn replay(&mut self, stored: &StoredAnswer) {
        let mut response = Response::new(Body::from(stored.body.clone()));
        if let Ok(status) = StatusCode::from_u16(stored.status) {
            *response.status_mut() = status;
        }
        if let Ok(value) = HeaderValue::from_str(&stored.content_type) {
            response.headers_mut().insert(CONTENT_TYPE, value);
        }
        self.response.send_complete(response);
        self.record_outcome(Outcome::Answered, None);
    }

    /// Responds with a problem document, or aborts a response that has started.
    pub(super) async fn fail(&mut self, outcome: Outcome, reason: Reason) {
        if self.response.has_started() {
            self.response.abort(reason);
        } else {
            self.response
                .send_complete(problem::build(self.spec.id, outcome, reason));
        }
        self.entry.metrics.requests.record_refusal(reason);
        self.record_outcome(outcome, Some(reason));
    }

    fn record_outcome(&self, outcome: Outcome, reason: Option<Reason>) {
        self.entry
            .metrics
            .requests
            .record_request(self.spec.service.as_str(), outcome);
        let latency = self.entry.clock.now().since(self.started);
        log::debug!(
            request:% = self.spec.id, organisation:% = self.spec.organisation,
            service:% = self.spec.service, outcome:% = outcome,
            reason = reason.map_or("none", Reason::as_str), latency_us = latency.as_micros();
            "request_ended"
        );
    }
}
