//! Serves one attempt, from its dispatch to the end of its answer.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Response;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol_str::SmolStr;

use siskinbend_request::ExecutionResult;
use siskinbend_request::StoredAnswer;
use siskinbend_routing::RequestInfo;
use siskinbend_types::Reason;
use siskinbend_types::RequestId;
use siskinbend_types::Time;
use siskinbend_wire::Dispatch;
use siskinbend_wire::FrameError;
use siskinbend_wire::Head;
use siskinbend_wire::Message;
use siskinbend_wire::Receiver;
use siskinbend_wire::Sender;

use super::Agent;
use super::scheduler::AttemptKey;
use super::scheduler::PendingAttempt;
use super::scheduler::QueueOutcome;
use crate::limits;

/// Why an attempt ended without a complete answer.
enum AttemptError {
    /// The backend server failed; the text says how.
    Backend(String),
    /// The attempt was cancelled, or the entry has disconnected.
    Cancelled,
}

/// Serves an attempt. The entry receives how it ended, or the stream is reset.
pub(super) async fn serve(
    agent: &Arc<Agent>,
    id: RequestId,
    dispatch: Dispatch,
    mut sender: Sender,
    mut receiver: Receiver,
) {
    let key = (id, dispatch.attempt);
    if agent.active.version().is_none() {
        return refuse(agent, key, Reason::NoDocument, sender).await;
    }
    let now = agent.clock.now();
    if let Err(reason) = agent.scheduler.admit(id, &dispatch, now) {
        refuse(agent, key, reason, sender).await;
        return;
    }
    let body = match read_body(agent, &dispatch, &mut receiver).await {
        Ok(body) => body,
        Err(error) => {
            agent.scheduler.refuse(key);
            log::debug!(request:% = id, error:% = error; "dispatch_incomplete");
            refuse(agent, key, Reason::BadRequest, sender).await;
            return;
        }
    };
    let now = agent.clock.now();
    let info = RequestInfo {
        organisation: dispatch.organisation.clone(),
        priority: dispatch.priority,
        deadline: Some(now + Duration::from_millis(u64::from(dispatch.deadline_ms))),
        cost: 1,
    };
    let pending = match agent.scheduler.enqueue(key, info, dispatch.idempotent, now) {
        Ok(pending) => pending,
        Err(reason) => {
            refuse(agent, key, reason, sender).await;
            return;
        }
    };
    if sender
        .send(&[Message::Accepted(agent.status())])
        .await
        .is_err()
    {
        log::debug!(request:% = id; "entry_lost_while_queued");
    }
    wait_and_run(agent, key, dispatch, body, pending, sender).await;
}

async fn wait_and_run(
    agent: &Arc<Agent>,
    key: AttemptKey,
    dispatch: Dispatch,
    body: Bytes,
    pending: PendingAttempt,
    mut sender: Sender,
) {
    let PendingAttempt {
        outcome: mut queue_outcome,
        cancellation,
    } = pending;
    let queue_outcome = tokio::select! {
        outcome = &mut queue_outcome => outcome,
        // The entry has disconnected. Dropping the receiver keeps the queued attempt from starting.
        () = sender.wait_stopped() => return,
    };
    match queue_outcome {
        Ok(QueueOutcome::Run) => {}
        Ok(QueueOutcome::Refuse(reason)) => return refuse(agent, key, reason, sender).await,
        Err(_) => return refuse(agent, key, Reason::Tombstone, sender).await,
    }
    let started = agent.clock.now();
    let organisation = dispatch.organisation.clone();
    let outcome = tokio::select! {
        outcome = run(agent, key, &dispatch, body, &mut sender) => outcome,
        () = cancellation.cancelled() => Err(AttemptError::Cancelled),
    };
    finish(agent, key, &organisation, started, outcome, sender).await;
}

async fn finish(
    agent: &Arc<Agent>,
    key: AttemptKey,
    organisation: &siskinbend_types::Organisation,
    started: Time,
    outcome: Result<Option<StoredAnswer>, AttemptError>,
    mut sender: Sender,
) {
    let now = agent.clock.now();
    let (finish, last_message) = match outcome {
        Ok(answer) => (ExecutionResult::Answered(answer), None),
        Err(AttemptError::Backend(error)) => {
            log::warn!(request:% = key.0, error = error.as_str(); "backend_failed");
            (
                ExecutionResult::Failed,
                Some(Message::Aborted(Reason::BackendFailed)),
            )
        }
        Err(AttemptError::Cancelled) => (
            ExecutionResult::Failed,
            Some(Message::Aborted(Reason::CallerGone)),
        ),
    };
    agent
        .scheduler
        .finish(key, organisation, finish, now.since(started), now);
    let last_message = last_message.unwrap_or_else(|| Message::End(agent.status()));
    // The send fails if the entry has disconnected; then there is nothing to finish.
    if sender.send(&[last_message]).await.is_ok() {
        sender.finish().await;
    }
}

async fn refuse(agent: &Agent, key: AttemptKey, reason: Reason, mut sender: Sender) {
    agent.metrics.requests.record_refusal(reason);
    log::info!(request:% = key.0, attempt:% = key.1, reason:% = reason; "attempt_refused");
    // The send fails if the entry has disconnected; then there is nothing to finish.
    if sender
        .send(&[Message::Refused(reason, agent.status())])
        .await
        .is_ok()
    {
        sender.finish().await;
    }
}

async fn read_body(
    agent: &Agent,
    dispatch: &Dispatch,
    receiver: &mut Receiver,
) -> Result<Bytes, FrameError> {
    let limit = agent.body_limit(dispatch);
    let mut body = BytesMut::new();
    loop {
        match receiver.receive().await? {
            Message::Body(chunk) if body.len() + chunk.len() <= limit => {
                body.extend_from_slice(&chunk);
            }
            Message::Body(chunk) => return Err(FrameError::TooLarge(body.len() + chunk.len())),
            Message::BodyEnd => return Ok(body.freeze()),
            _ => return Err(FrameError::Truncated),
        }
    }
}

/// Sends the request to the backend server and forwards the answer to the entry.
async fn run(
    agent: &Agent,
    key: AttemptKey,
    dispatch: &Dispatch,
    body: Bytes,
    sender: &mut Sender,
) -> Result<Option<StoredAnswer>, AttemptError> {
    let call = agent.backend.call(key.0, dispatch, body);
    let answer = tokio::select! {
        answer = call => answer.map_err(AttemptError::Backend)?,
        () = sender.wait_stopped(), if dispatch.idempotent => return Err(AttemptError::Cancelled),
    };
    let status = answer.status().as_u16();
    let content_type = read_content_type(&answer);
    let head = Head {
        status,
        content_type: content_type.clone(),
    };
    let stored = forward_body(agent, dispatch, head, answer, sender).await?;
    Ok(stored.map(|body| StoredAnswer {
        status,
        content_type,
        body,
    }))
}

fn read_content_type(answer: &Response<Incoming>) -> SmolStr {
    let value = answer
        .headers()
        .get(CONTENT_TYPE)
        .and_then(|v| v.to_str().ok());
    SmolStr::new(value.unwrap_or_default())
}

/// Forwards the body of an answer, and returns it if the call is not idempotent and the body is
/// small enough to be stored.
///
/// The answer of a call that is not idempotent is read to its end even if the entry disconnects,
/// so that a retry with the same idempotency key gets it.
async fn forward_body(
    agent: &Agent,
    dispatch: &Dispatch,
    head: Head,
    answer: Response<Incoming>,
    sender: &mut Sender,
) -> Result<Option<Vec<u8>>, AttemptError> {
    let store = !dispatch.idempotent;
    let mut stored = Some(Vec::new()).filter(|_| store);
    let mut connected = sender.send(&[Message::Head(head)]).await.is_ok();
    let mut body = answer.into_body();
    loop {
        if !connected && !store {
            return Err(AttemptError::Cancelled);
        }
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sender.wait_stopped(), if connected => {
                connected = false;
                continue;
            }
        };
        let data = match frame {
            None => return Ok(stored),
            Some(Err(error)) => return Err(AttemptError::Backend(error.to_string())),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        agent.scheduler.record_progress(agent.clock.now());
        stored = stored.filter(|body| body.len() + data.len() <= limits::MAX_STORED_ANSWER_BYTES);
        if let Some(stored) = &mut stored {
            stored.extend_from_slice(&data);
        }
        let mut remaining = data;
        while connected && !remaining.is_empty() {
            let chunk = remaining.split_to(remaining.len().min(limits::MAX_BODY_FRAME_BYTES));
            connected = sender.send(&[Message::Chunk(chunk)]).await.is_ok();
        }
    }
}
