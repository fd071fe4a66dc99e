//! Event streams: events are passed on as they arrive, and a broken stream goes on elsewhere.

use std::io::Error;
use std::sync::Arc;

use bytes::Bytes;
use futures::stream::unfold;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use siskinbend_link::Connection;
use siskinbend_request::AttemptFailure;
use siskinbend_request::DirectAttempts;
use siskinbend_request::EventBuffer;
use siskinbend_request::NextStep;
use siskinbend_routing::AttemptResult;
use siskinbend_types::Reason;
use siskinbend_types::Time;

use super::Gateway;
use super::attempt::Call;
use super::attempt::Reply;
use super::attempt::end_attempt;
use super::attempt::send;
use super::attempt::strip_connection;
use super::attempt::wait_silence;
use super::fleet::Flight;
use super::fleet::Taken;
use super::fleet::Target;
use super::plain;
use super::response::Body;
use super::serve::refuse;

/// Part of the goal in which the first event must come to be judged as in time; the rest is the
/// way to the caller and back.
const JUDGED_PART: f64 = 0.9;

/// A stream while it is passed on.
struct Relay {
    gateway: Arc<Gateway>,
    call: Call,
    attempts: DirectAttempts,
    events: EventBuffer,
    flight: Flight,
    link: Option<Connection>,
    body: Incoming,
    /// Whether the time to the first event was noted.
    begun: bool,
    /// When the caller was last sent an event.
    passed: Option<Time>,
    ended: bool,
    _taken: Taken,
}

/// What the next part of a stream is.
enum Part {
    Events(Bytes),
    End,
    /// The replica holds its group up; another one is to go on.
    Left,
    Broken(AttemptFailure),
}

/// Serves a stream.
pub(super) async fn serve(gateway: &Arc<Gateway>, call: Call) -> Response<Body> {
    let Some(taken) = Taken::take(gateway, &call.service) else {
        return refuse(gateway, &call, NextStep::Refuse(Reason::ShareExceeded));
    };
    let repeatable = call.route.kind.is_retryable();
    let mut attempts = DirectAttempts::new(repeatable, call.route.max_attempts, call.deadline);
    let reply = loop {
        let last = call.head.last_event.clone();
        let (target, ending) = match send(gateway, &call, &mut attempts, last).await {
            Err(reason) => return refuse(gateway, &call, attempts.give_up(reason)),
            Ok(Ok(reply)) if reply.response.status().is_success() => break reply,
            Ok(Ok(reply)) => match plain::pass_failure(gateway, &call, reply).await {
                Ok(response) => return response,
                Err((target, ending)) => (target, ending),
            },
            Ok(Err(failed)) => (failed.flight.target.clone(), failed.ending),
        };
        match end_attempt(gateway, &call, &mut attempts, &target, ending) {
            NextStep::Retry => {}
            NextStep::ForwardFailure => {
                return refuse(gateway, &call, NextStep::Fail(Reason::BackendFailed));
            }
            next @ (NextStep::Refuse(_) | NextStep::Fail(_)) => {
                return refuse(gateway, &call, next);
            }
        }
    };
    relay(gateway, call, attempts, reply, taken)
}

fn relay(
    gateway: &Arc<Gateway>,
    call: Call,
    attempts: DirectAttempts,
    reply: Reply,
    taken: Taken,
) -> Response<Body> {
    let (mut parts, body) = reply.response.into_parts();
    strip_connection(&mut parts.headers);
    let relay = Relay {
        gateway: Arc::clone(gateway),
        events: EventBuffer::resume_after(call.head.last_event.clone()),
        call,
        attempts,
        flight: reply.flight,
        link: Some(reply.link),
        body,
        begun: false,
        passed: None,
        ended: false,
        _taken: taken,
    };
    let frames = unfold(relay, |mut relay| async move {
        let part = relay.next().await?;
        Some((part.map(Frame::data), relay))
    });
    Response::from_parts(parts, StreamBody::new(frames).boxed_unsync())
}

impl Relay {
    /// The next events for the caller, `None` after the end, an error if the stream is cut.
    async fn next(&mut self) -> Option<Result<Bytes, Error>> {
        if self.ended {
            return None;
        }
        loop {
            match self.read().await {
                Part::Events(events) if events.is_empty() => {}
                Part::Events(events) => return Some(Ok(events)),
                Part::End => {
                    self.finish();
                    return None;
                }
                Part::Left => {
                    self.gateway
                        .metrics
                        .requests
                        .record_retry(Reason::SlowReplica);
                    self.flight.end(AttemptResult::Cancelled);
                    if let Err(reason) = self.resume(Reason::SlowReplica).await {
                        return Some(Err(self.cut(reason)));
                    }
                }
                Part::Broken(ending) => {
                    self.flight.end(match ending {
                        AttemptFailure::Stalled => AttemptResult::Stalled,
                        _ => AttemptResult::Failed,
                    });
                    let target = self.flight.target.clone();
                    let resumed = match self.end_attempt(&target, ending) {
                        Ok(()) => self.resume(ending.reason()).await,
                        Err(reason) => Err(reason),
                    };
                    if let Err(reason) = resumed {
                        return Some(Err(self.cut(reason)));
                    }
                }
            }
        }
    }

    /// Ends the stream before its end.
    fn cut(&mut self, reason: Reason) -> Error {
        self.ended = true;
        let id = &self.call.head.id;
        log::info!(request:% = id, reason:% = reason; "stream_cut");
        self.gateway.metrics.requests.record_refusal(reason);
        Error::other(reason.as_str())
    }

    async fn read(&mut self) -> Part {
        let now = self.gateway.now();
        let target = &self.flight.target;
        if self.gateway.fleet().leaves(target, &mut self.attempts, now) {
            return Part::Left;
        }
        let frame = tokio::select! {
            frame = self.body.frame() => frame,
            () = wait_silence(&self.gateway, &self.call, &self.flight) => {
                return Part::Broken(AttemptFailure::Stalled);
            }
        };
        let data = match frame {
            None if self.events.has_partial() => {
                return Part::Broken(AttemptFailure::ConnectionLost);
            }
            None => return Part::End,
            Some(Err(_)) => return Part::Broken(AttemptFailure::ConnectionLost),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        let now = self.gateway.now();
        let mut fleet = self.gateway.fleet();
        fleet.progress(&self.flight.target, now);
        if !self.begun {
            self.begun = true;
            fleet.first(&self.flight.target, now.since(self.call.received), now);
        }
        drop(fleet);
        self.judge(now);
        match self.events.push(data) {
            Ok(events) => Part::Events(events),
            Err(_) => Part::Broken(AttemptFailure::ConnectionLost),
        }
    }

    /// Tells the limit whether the events come in time.
    fn judge(&mut self, now: Time) {
        let route = &self.call.route;
        let mut fleet = self.gateway.fleet();
        let limit = fleet.limit(&self.call.service);
        match self.passed.replace(now) {
            None => {
                let goal = route.latency_goal.mul_f64(JUDGED_PART).as_secs_f64();
                let took = now.since(self.call.received).as_secs_f64();
                self.gateway.metrics.first_event.observe(took);
                let took = took / goal.max(f64::MIN_POSITIVE);
                if let Some(seen) = limit.record_answer(took, self.call.received, now) {
                    log::info!(
                        service:% = self.call.service,
                        most = seen.limit.unwrap_or(0),
                        peak = seen.peak,
                        late = format!("{:.2}", seen.late_share),
                        paused = format!("{:.3}", seen.late_pause_share),
                        mean = format!("{:.2}", seen.mean_ratio);
                        "limit_changed"
                    );
                }
            }
            Some(passed) => {
                let took = now.since(passed);
                self.gateway.metrics.event_gap.observe(took.as_secs_f64());
                let late = route.event_gap.is_some_and(|pause| took > pause);
                limit.record_pause(late);
            }
        }
    }

    fn finish(&mut self) {
        self.ended = true;
        self.flight.end(AttemptResult::Ok { first_token: None });
        if let Some(link) = self.link.take() {
            self.gateway.fleet().keep_link(&self.flight.target.id, link);
        }
        let status = http::StatusCode::OK.as_u16();
        plain::end_request(&self.gateway, &self.call, &self.flight.target, status);
    }

    /// Decides whether another attempt follows one that ended.
    fn end_attempt(&mut self, target: &Target, ending: AttemptFailure) -> Result<(), Reason> {
        let attempts = &mut self.attempts;
        match end_attempt(&self.gateway, &self.call, attempts, target, ending) {
            NextStep::Retry => Ok(()),
            NextStep::ForwardFailure => Err(Reason::BackendFailed),
            NextStep::Refuse(reason) | NextStep::Fail(reason) => Err(reason),
        }
    }

    /// Goes on at another replica after the last whole event.
    async fn resume(&mut self, cause: Reason) -> Result<(), Reason> {
        let mut cause = cause;
        self.link = None;
        self.events.drop_partial();
        loop {
            let last = self.events.last_id().cloned();
            log::info!(
                request:% = self.call.head.id,
                after = last.as_deref().unwrap_or_default(),
                cause:% = cause;
                "stream_resumed"
            );
            let (target, ending) =
                match send(&self.gateway, &self.call, &mut self.attempts, last).await? {
                    Ok(reply) if reply.response.status().is_success() => {
                        self.flight = reply.flight;
                        self.link = Some(reply.link);
                        self.body = reply.response.into_body();
                        // Its first event says nothing about how soon it answers new requests.
                        self.begun = true;
                        return Ok(());
                    }
                    Ok(mut reply) => {
                        reply.flight.end(AttemptResult::Failed);
                        (reply.flight.target.clone(), AttemptFailure::Failed)
                    }
                    Err(failed) => (failed.flight.target.clone(), failed.ending),
                };
            self.end_attempt(&target, ending)?;
            cause = ending.reason();
        }
    }
}
