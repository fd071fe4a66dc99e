//! Event streams: forwards events as they arrive, and continues a stream at another replica if its
//! own one breaks off or delays its group.

use std::io::Error;
use std::sync::Arc;

use bytes::Bytes;
use futures::stream::unfold;
use http::HeaderMap;
use http::Response;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use siskinbend_link::Connection;
use siskinbend_request::AttemptFailure;
use siskinbend_request::DirectAttempts;
use siskinbend_request::EventBuffer;
use siskinbend_request::HedgeCause;
use siskinbend_request::NextStep;
use siskinbend_routing::AttemptResult;
use siskinbend_routing::AttemptStage;
use siskinbend_types::Reason;
use siskinbend_types::Time;
use smol_str::SmolStr;
use tokio::time::sleep;

use super::Gateway;
use super::attempt::Call;
use super::attempt::FailedAttempt;
use super::attempt::PendingResponse;
use super::attempt::decide_next;
use super::attempt::send_attempt;
use super::attempt::strip_hop_by_hop;
use super::buffered;
use super::crashes;
use super::fleet::StreamTiming;
use super::fleet::Target;
use super::guards::AdmissionPermit;
use super::guards::AttemptGuard;
use super::handler::refuse;
use super::hedge::Hedge;
use super::hedge::HedgeAnswer;
use super::hedge::HedgeSender;
use super::response::Body;
use super::returns;
use super::silence::CHECK_INTERVAL;
use super::silence::SilenceDetector;
use super::waiting;

/// Fraction of the latency goal within which the first event must arrive to count as in time. The
/// rest is left for the round trip to the caller.
const GOAL_FRACTION: f64 = 0.9;

/// State of a stream that is being forwarded.
struct StreamRelay {
    gateway: Arc<Gateway>,
    call: Arc<Call>,
    attempts: DirectAttempts,
    events: EventBuffer,
    attempt: AttemptGuard,
    /// Attempt that may replace `attempt`.
    hedge: Option<Hedge>,
    hedge_sender: HedgeSender,
    /// First part of the body, if it was read before the attempt became the current one.
    first: Option<Frame<Bytes>>,
    connection: Option<Connection>,
    body: Incoming,
    /// Whether the end of the body is marked, so that it differs from a lost connection.
    is_framed: bool,
    /// Number of parts of the body that arrived from the current backend server.
    parts_read: u32,
    /// Whether the time to the first event was recorded, or cannot be because the stream was
    /// resumed.
    has_first_event: bool,
    /// Time of the latest data from a backend server.
    last_data_at: Option<Time>,
    is_finished: bool,
    permit: AdmissionPermit,
}

/// Next part of a stream.
enum StreamPart {
    Events(Bytes),
    End,
    Failed(AttemptFailure),
}

/// Serves a stream request.
pub(super) async fn serve(gateway: &Arc<Gateway>, call: Call) -> Response<Body> {
    let call = Arc::new(call);
    let mut permit = AdmissionPermit::new(gateway, &call.service);
    let is_retryable = call.route.kind.is_retryable();
    let mut attempts = DirectAttempts::new(is_retryable, call.route.max_attempts, call.deadline);
    if let Err(reason) = waiting::admit(gateway, &call, &mut permit).await {
        return refuse(gateway, &call, attempts.give_up(reason));
    }
    let pending = loop {
        let last_event = call.head.last_event.clone();
        let sent = send_attempt(gateway, &call, &mut attempts, Some(&mut permit), last_event);
        let (target, failure) = match sent.await {
            Err(reason) => return refuse(gateway, &call, attempts.give_up(reason)),
            Ok(Ok(pending)) if pending.response.status().is_success() => break pending,
            Ok(Ok(pending)) => match buffered::forward_error(gateway, &call, pending).await {
                Ok(response) => return response,
                Err((target, failure)) => (target, failure),
            },
            Ok(Err(failed)) => (failed.attempt.target.clone(), failed.failure),
        };
        match decide_next(gateway, &call, &mut attempts, &target, failure) {
            NextStep::Retry => {}
            NextStep::ForwardFailure => {
                return refuse(gateway, &call, NextStep::Fail(Reason::BackendFailed));
            }
            next @ (NextStep::Refuse(_) | NextStep::Fail(_)) => {
                return refuse(gateway, &call, next);
            }
        }
    };
    returns::record_admission(gateway, &call);
    relay(gateway, call, attempts, pending, permit)
}

/// Whether the headers of a response mark the end of its body.
pub(super) fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

fn relay(
    gateway: &Arc<Gateway>,
    call: Arc<Call>,
    attempts: DirectAttempts,
    pending: PendingResponse,
    permit: AdmissionPermit,
) -> Response<Body> {
    let (mut parts, body) = pending.response.into_parts();
    let is_framed = is_framed(&parts.headers);
    strip_hop_by_hop(&mut parts.headers);
    let relay = StreamRelay {
        gateway: Arc::clone(gateway),
        events: EventBuffer::resume_after(call.head.last_event.clone()),
        call,
        attempts,
        attempt: pending.attempt,
        hedge: None,
        hedge_sender: HedgeSender::new(gateway),
        first: None,
        connection: Some(pending.connection),
        body,
        is_framed,
        parts_read: 0,
        has_first_event: false,
        last_data_at: None,
        is_finished: false,
        permit,
    };
    let frames = unfold(relay, |mut relay| async move {
        let part = relay.next().await?;
        Some((part.map(Frame::data), relay))
    });
    Response::from_parts(parts, StreamBody::new(frames).boxed_unsync())
}

impl StreamRelay {
    /// Returns the next events for the caller: `None` after the end, an error if the stream is
    /// aborted.
    async fn next(&mut self) -> Option<Result<Bytes, Error>> {
        if self.is_finished {
            return None;
        }
        loop {
            match self.read_part().await {
                StreamPart::Events(events) if events.is_empty() => {}
                StreamPart::Events(events) => return Some(Ok(events)),
                StreamPart::End => {
                    self.finish();
                    return None;
                }
                StreamPart::Failed(failure) => {
                    self.end_attempt(failure);
                    if let Err(reason) = self.recover(failure).await {
                        return Some(Err(self.abort(reason)));
                    }
                }
            }
        }
    }

    /// Records that the attempt failed.
    fn end_attempt(&mut self, failure: AttemptFailure) {
        self.attempt.finish(match failure {
            AttemptFailure::Stalled => AttemptResult::Stalled,
            _ => AttemptResult::Failed,
        });
        if failure == AttemptFailure::ConnectionLost {
            let stage = AttemptStage::of_stream(self.parts_read);
            crashes::record_loss(&self.gateway, &self.call, &self.attempt.target, stage);
            self.attempt.record_connection_failure();
        }
    }

    /// Continues the stream after its attempt failed: with the hedge if there is one, or else with
    /// another attempt.
    async fn recover(&mut self, failure: AttemptFailure) -> Result<(), Reason> {
        let mut target = self.attempt.target.clone();
        let mut failure = failure;
        if let Some(mut hedge) = self.hedge.take() {
            self.attempts.record_failure(target.id, failure);
            match hedge.wait().await {
                Ok(answer) => {
                    self.follow(answer, failure.reason());
                    return Ok(());
                }
                Err(failed) => {
                    target = failed.attempt.target.clone();
                    failure = failed.failure;
                }
            }
        }
        self.check_retry(&target, failure)?;
        self.resume(failure.reason()).await
    }

    /// Aborts the stream and returns the error that closes the caller's connection.
    fn abort(&mut self, reason: Reason) -> Error {
        self.is_finished = true;
        let id = &self.call.head.id;
        log::info!(request:% = id, reason:% = reason; "stream_cut");
        self.gateway.metrics.requests.record_refusal(reason);
        Error::other(reason.as_str())
    }

    async fn read_part(&mut self) -> StreamPart {
        if let Some(first) = self.first.take() {
            return self.handle_frame(Some(Ok(first)));
        }
        let mut silence = SilenceDetector::new(self.gateway.now());
        let frame = loop {
            self.hedge_if_slow();
            let now = self.gateway.now();
            if now >= self.call.deadline {
                return StreamPart::Failed(AttemptFailure::Stalled);
            }
            let check_after = CHECK_INTERVAL.min(self.call.time_left(now));
            tokio::select! {
                frame = self.body.frame() => break frame,
                (cause, answer) = wait_hedge(self.hedge.as_mut()) => match answer {
                    Ok(answer) => {
                        self.replace_attempt(answer, cause);
                        break self.first.take().map(Ok);
                    }
                    Err(failed) => self.drop_hedge(&failed),
                },
                () = sleep(check_after) => self.hedge_if_silent(&mut silence),
            }
        };
        let part = self.handle_frame(frame);
        if let StreamPart::Events(events) = &part
            && !events.is_empty()
        {
            self.keep_hedge_if_needed();
        }
        part
    }

    /// Sends a hedge if the replica delays its group.
    fn hedge_if_slow(&mut self) {
        if self.hedge.is_none() && self.gateway.fleet().delays_group(&self.attempt.target) {
            self.send_hedge(HedgeCause::Slow);
        }
    }

    /// Drops the hedge after events have arrived without it, if the replica was only silent, or if
    /// the hedge would repeat them unrecognised.
    fn keep_hedge_if_needed(&mut self) {
        let is_needed = |hedge: &Hedge| hedge.cause != HedgeCause::Silent;
        if !self.hedge.as_ref().is_some_and(is_needed) || !self.events.are_numbered() {
            self.hedge = None;
        }
    }

    /// Sends a hedge if the replica is silent.
    fn hedge_if_silent(&mut self, silence: &mut SilenceDetector) {
        let target = &self.attempt.target;
        if silence.is_silent(&self.gateway, &self.call, target) && self.hedge.is_none() {
            self.send_hedge(HedgeCause::Silent);
        }
    }

    fn send_hedge(&mut self, cause: HedgeCause) {
        let running = [&self.attempt.target];
        let last_event = self.events.last_id();
        let attempt =
            self.hedge_sender
                .start(&self.call, &mut self.attempts, &running, cause, last_event);
        self.hedge = attempt.map(|attempt| {
            let last_event = last_event.cloned();
            Hedge::new(&self.gateway, &self.call, attempt, cause, last_event)
        });
    }

    /// Records that the hedge failed, so that the attempt beside it goes on alone.
    fn drop_hedge(&mut self, failed: &FailedAttempt) {
        let target = &failed.attempt.target.id;
        log::info!(
            request:% = self.call.head.id,
            server:% = target,
            reason:% = failed.failure.reason();
            "hedge_failed"
        );
        self.attempts.record_failure(target.clone(), failed.failure);
        self.hedge = None;
    }

    /// Gives the attempt up for the hedge, which was answered.
    fn replace_attempt(&mut self, answer: HedgeAnswer, cause: HedgeCause) {
        self.hedge = None;
        self.attempt.finish(AttemptResult::Cancelled);
        self.attempts
            .record_replaced(self.attempt.target.id.clone());
        self.follow(answer, cause.reason());
    }

    /// Continues the stream with the answer of a hedge.
    fn follow(&mut self, answer: HedgeAnswer, cause: Reason) {
        self.log_resumed(cause);
        let target = &answer.pending.attempt.target;
        self.gateway.fleet().move_permit(target, &mut self.permit);
        self.first = Some(answer.first);
        self.set_attempt(answer.pending);
    }

    /// Makes an attempt with a successful response the current one.
    fn set_attempt(&mut self, pending: PendingResponse) {
        self.events.drop_partial();
        self.attempt = pending.attempt;
        self.connection = Some(pending.connection);
        self.is_framed = is_framed(pending.response.headers());
        self.body = pending.response.into_body();
        self.parts_read = 0;
        // The first event after a resume is no measure of latency for new requests.
        self.has_first_event = true;
    }

    fn log_resumed(&self, cause: Reason) {
        log::info!(
            request:% = self.call.head.id,
            after = self.events.last_id().map(SmolStr::as_str).unwrap_or_default(),
            cause:% = cause;
            "stream_resumed"
        );
    }

    /// Handles the next frame of the body; `None` is its end.
    fn handle_frame(&mut self, frame: Option<Result<Frame<Bytes>, hyper::Error>>) -> StreamPart {
        let data = match frame {
            None if self.events.has_partial() => {
                return StreamPart::Failed(AttemptFailure::ConnectionLost);
            }
            // Without framing, a server that broke off before the first event looks finished.
            None if !self.is_framed && self.parts_read == 0 => {
                return StreamPart::Failed(AttemptFailure::ConnectionLost);
            }
            None => return StreamPart::End,
            Some(Err(_)) => return StreamPart::Failed(AttemptFailure::ConnectionLost),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        self.parts_read += 1;
        let now = self.gateway.now();
        let mut fleet = self.gateway.fleet();
        fleet.record_activity(&self.attempt.target, now);
        if !self.has_first_event {
            self.has_first_event = true;
            fleet.record_first_event(&self.attempt.target, now.since(self.call.received_at), now);
        }
        drop(fleet);
        self.record_latency(now);
        match self.events.push(data) {
            Ok(events) => StreamPart::Events(events),
            Err(_) => StreamPart::Failed(AttemptFailure::ConnectionLost),
        }
    }

    /// Records in the concurrency limit and the metrics whether the data arrived in time.
    fn record_latency(&mut self, now: Time) {
        let route = &self.call.route;
        let received_at = self.call.received_at;
        let timing = match self.last_data_at.replace(now) {
            None => {
                let goal = route.latency_goal.mul_f64(GOAL_FRACTION).as_secs_f64();
                let took = now.since(received_at).as_secs_f64();
                self.gateway.metrics.first_event.observe(took);
                StreamTiming::First {
                    goal_ratio: took / goal.max(f64::MIN_POSITIVE),
                    received_at,
                }
            }
            Some(previous) => {
                let gap = now.since(previous);
                self.gateway.metrics.event_gap.observe(gap.as_secs_f64());
                let goal = route.event_gap.map(|goal| goal.as_secs_f64());
                StreamTiming::Next {
                    goal_ratio: goal.map(|goal| gap.as_secs_f64() / goal),
                    previous,
                }
            }
        };
        let mut fleet = self.gateway.fleet();
        fleet.record_timing(&self.attempt.target, self.attempt.sent_at, timing, now);
    }

    fn finish(&mut self) {
        self.is_finished = true;
        self.attempt.finish(AttemptResult::Ok { first_token: None });
        self.gateway
            .crashes
            .record_answer(&self.call, self.attempt.sent_at);
        if let Some(connection) = self.connection.take() {
            self.gateway
                .fleet()
                .return_connection(&self.attempt.target.id, connection);
        }
        let status = http::StatusCode::OK.as_u16();
        buffered::record_answered(&self.gateway, &self.call, &self.attempt.target, status);
    }

    /// Decides whether a failed attempt is retried; returns the reason if it is not.
    fn check_retry(&mut self, target: &Target, failure: AttemptFailure) -> Result<(), Reason> {
        let attempts = &mut self.attempts;
        match decide_next(&self.gateway, &self.call, attempts, target, failure) {
            NextStep::Retry => Ok(()),
            NextStep::ForwardFailure => Err(Reason::BackendFailed),
            NextStep::Refuse(reason) | NextStep::Fail(reason) => Err(reason),
        }
    }

    /// Resumes the stream at another replica after the last complete event.
    async fn resume(&mut self, cause: Reason) -> Result<(), Reason> {
        let mut cause = cause;
        self.connection = None;
        self.events.drop_partial();
        loop {
            let last_event = self.events.last_id().cloned();
            self.log_resumed(cause);
            let sent = send_attempt(
                &self.gateway,
                &self.call,
                &mut self.attempts,
                Some(&mut self.permit),
                last_event,
            );
            let (target, failure) = match sent.await? {
                Ok(pending) if pending.response.status().is_success() => {
                    self.set_attempt(pending);
                    return Ok(());
                }
                Ok(mut pending) => {
                    let result = pending.error_result();
                    pending.attempt.finish(result);
                    (pending.attempt.target.clone(), AttemptFailure::Failed)
                }
                Err(failed) => (failed.attempt.target.clone(), failed.failure),
            };
            self.check_retry(&target, failure)?;
            cause = failure.reason();
        }
    }
}

/// Waits for a hedge, or forever if there is none.
async fn wait_hedge(hedge: Option<&mut Hedge>) -> (HedgeCause, Result<HedgeAnswer, FailedAttempt>) {
    match hedge {
        Some(hedge) => (hedge.cause, hedge.wait().await),
        None => std::future::pending().await,
    }
}
