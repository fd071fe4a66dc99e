//! One attempt at the agent: from its dispatch to the end of its answer.

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
use super::core::Key;
use super::core::Queued;
use super::core::Verdict;
use crate::limits;

/// Why an answer ended early.
enum Break {
    /// The backend server failed.
    Backend(String),
    /// The work was cancelled, or the entry is gone.
    Stopped,
}

/// Serves an attempt; the entry learns how it ended or sees the stream reset.
pub(super) async fn serve(
    agent: &Arc<Agent>,
    id: RequestId,
    dispatch: Dispatch,
    mut sender: Sender,
    mut receiver: Receiver,
) {
    let key = (id, dispatch.attempt);
    if agent.active.newest().is_none() {
        return refuse(agent, key, Reason::NoDocument, sender).await;
    }
    let now = agent.clock.now();
    if let Err(reason) = agent.core.admit(id, &dispatch, now) {
        refuse(agent, key, reason, sender).await;
        return;
    }
    let body = match read_body(agent, &dispatch, &mut receiver).await {
        Ok(body) => body,
        Err(error) => {
            agent.core.refuse(key);
            log::debug!(request:% = id, error:% = error; "dispatch_incomplete");
            refuse(agent, key, Reason::BadRequest, sender).await;
            return;
        }
    };
    let now = agent.clock.now();
    let ticket = RequestInfo {
        organisation: dispatch.organisation.clone(),
        priority: dispatch.priority,
        deadline: Some(now + Duration::from_millis(u64::from(dispatch.deadline_ms))),
        cost: 1,
    };
    let queued = match agent.core.offer(key, ticket, dispatch.idempotent, now) {
        Ok(queued) => queued,
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
    wait_and_run(agent, key, dispatch, body, queued, sender).await;
}

async fn wait_and_run(
    agent: &Arc<Agent>,
    key: Key,
    dispatch: Dispatch,
    body: Bytes,
    queued: Queued,
    mut sender: Sender,
) {
    let Queued { mut verdict, stop } = queued;
    let decided = tokio::select! {
        decided = &mut verdict => decided,
        // Dropping the receiver keeps a queued attempt from starting.
        () = sender.wait_stopped() => return,
    };
    match decided {
        Ok(Verdict::Run) => {}
        Ok(Verdict::Refuse(reason)) => return refuse(agent, key, reason, sender).await,
        Err(_) => return refuse(agent, key, Reason::Tombstone, sender).await,
    }
    let started = agent.clock.now();
    let who = dispatch.organisation.clone();
    let outcome = tokio::select! {
        outcome = run(agent, key, &dispatch, body, &mut sender) => outcome,
        () = stop.cancelled() => Err(Break::Stopped),
    };
    finish(agent, key, &who, started, outcome, sender).await;
}

async fn finish(
    agent: &Arc<Agent>,
    key: Key,
    who: &siskinbend_types::Organisation,
    started: Time,
    outcome: Result<Option<StoredAnswer>, Break>,
    mut sender: Sender,
) {
    let now = agent.clock.now();
    let (end, last) = match outcome {
        Ok(answer) => (ExecutionResult::Answered(answer), None),
        Err(Break::Backend(error)) => {
            log::warn!(request:% = key.0, error = error.as_str(); "backend_failed");
            (
                ExecutionResult::Failed,
                Some(Message::Aborted(Reason::BackendFailed)),
            )
        }
        Err(Break::Stopped) => (
            ExecutionResult::Failed,
            Some(Message::Aborted(Reason::CallerGone)),
        ),
    };
    agent.core.finish(key, who, end, now.since(started), now);
    let last = last.unwrap_or_else(|| Message::End(agent.status()));
    // Without a connection nobody waits for the end.
    if sender.send(&[last]).await.is_ok() {
        sender.finish().await;
    }
}

async fn refuse(agent: &Agent, key: Key, reason: Reason, mut sender: Sender) {
    agent.metrics.requests.record_refusal(reason);
    log::info!(request:% = key.0, attempt:% = key.1, reason:% = reason; "attempt_refused");
    // Without a connection nobody waits for the refusal.
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
            Message::Body(part) if body.len() + part.len() <= limit => {
                body.extend_from_slice(&part);
            }
            Message::Body(part) => return Err(FrameError::TooLarge(body.len() + part.len())),
            Message::BodyEnd => return Ok(body.freeze()),
            _ => return Err(FrameError::Truncated),
        }
    }
}

/// Sends the request to the backend server and passes the answer on.
async fn run(
    agent: &Agent,
    key: Key,
    dispatch: &Dispatch,
    body: Bytes,
    sender: &mut Sender,
) -> Result<Option<StoredAnswer>, Break> {
    let call = agent.backend.call(key.0, dispatch, body);
    let answer = tokio::select! {
        answer = call => answer.map_err(Break::Backend)?,
        () = sender.wait_stopped(), if dispatch.idempotent => return Err(Break::Stopped),
    };
    let status = answer.status().as_u16();
    let content_type = read_content_type(&answer);
    let head = Head {
        status,
        content_type: content_type.clone(),
    };
    let kept = pass_body(agent, dispatch, head, answer, sender).await?;
    Ok(kept.map(|body| StoredAnswer {
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

/// Passes the answer on and returns its body if it is small and the call may not be repeated.
///
/// A call that may not be repeated is read to its end also after the entry is gone, so that a
/// repeat with the same key gets the answer.
async fn pass_body(
    agent: &Agent,
    dispatch: &Dispatch,
    head: Head,
    answer: Response<Incoming>,
    sender: &mut Sender,
) -> Result<Option<Vec<u8>>, Break> {
    let keep = !dispatch.idempotent;
    let mut kept = Some(Vec::new()).filter(|_| keep);
    let mut linked = sender.send(&[Message::Head(head)]).await.is_ok();
    let mut body = answer.into_body();
    loop {
        if !linked && !keep {
            return Err(Break::Stopped);
        }
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sender.wait_stopped(), if linked => {
                linked = false;
                continue;
            }
        };
        let data = match frame {
            None => return Ok(kept),
            Some(Err(error)) => return Err(Break::Backend(error.to_string())),
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        agent.core.note_progress(agent.clock.now());
        kept = kept.filter(|k| k.len() + data.len() <= limits::MAX_STORED_ANSWER_BYTES);
        if let Some(kept) = &mut kept {
            kept.extend_from_slice(&data);
        }
        let mut rest = data;
        while linked && !rest.is_empty() {
            let part = rest.split_to(rest.len().min(limits::MAX_BODY_FRAME_BYTES));
            linked = sender.send(&[Message::Chunk(part)]).await.is_ok();
        }
    }
}
