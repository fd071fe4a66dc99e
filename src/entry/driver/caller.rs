//! What reaches the caller, and what is counted of it.

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
use super::Held;
use crate::entry::problem;

impl Driver {
    /// Passes the held part of the answer on.
    pub(super) async fn pass(&mut self) {
        self.keep();
        match std::mem::replace(&mut self.held, Held::Nothing) {
            Held::Head(head) => {
                let latency = self.entry.clock.now().since(self.started);
                self.entry.metrics.latency.observe(latency.as_secs_f64());
                self.answer.send_head(&head);
            }
            Held::Chunk(bytes) => {
                if let Err(bytes) = self.answer.try_chunk(bytes) {
                    self.send_slowly(bytes).await;
                }
            }
            Held::Nothing => {}
        }
    }

    /// Waits for a caller that reads slowly, but not beyond the deadline: a caller that never reads
    /// must not hold the request.
    async fn send_slowly(&mut self, bytes: Bytes) {
        let deadline = self.entry.clock.to_instant(self.spec.deadline);
        let sending = self.answer.send_chunk(bytes);
        if tokio::time::timeout_at(deadline, sending).await.is_err() {
            self.events.push_back(Event::CallerGone);
        }
    }

    /// Completes the answer; a caller that doesn't take the end within the deadline sees it cut.
    pub(super) async fn end(&mut self) {
        let deadline = self.entry.clock.to_instant(self.spec.deadline);
        let ending = tokio::time::timeout_at(deadline, self.answer.send_end()).await;
        let reason = ending.is_err().then_some(Reason::CallerGone);
        self.note_outcome(Outcome::Answered, reason);
    }

    /// Answers from the claim row of an earlier request.
    pub(super) fn replay(&mut self, stored: &StoredAnswer) {
        let mut answer = Response::new(Body::from(stored.body.clone()));
        if let Ok(status) = StatusCode::from_u16(stored.status) {
            *answer.status_mut() = status;
        }
        if let Ok(value) = HeaderValue::from_str(&stored.content_type) {
            answer.headers_mut().insert(CONTENT_TYPE, value);
        }
        self.answer.send_whole(answer);
        self.note_outcome(Outcome::Answered, None);
    }

    /// Tells the caller that the request failed, or cuts an answer that has begun.
    pub(super) async fn fail(&mut self, outcome: Outcome, reason: Reason) {
        if self.answer.has_begun() {
            self.answer.cut(reason);
        } else {
            self.answer
                .send_whole(problem::build(self.spec.id, outcome, reason));
        }
        self.entry.metrics.requests.record_refusal(reason);
        self.note_outcome(outcome, Some(reason));
    }

    fn note_outcome(&self, outcome: Outcome, reason: Option<Reason>) {
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
