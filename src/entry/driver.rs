//! Runs one call: executes the actions of its state machine and feeds it with events.

mod caller;
mod idempotency;

use std::collections::VecDeque;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;

use axum::body::Bytes;
use quinn::Connection;
use smol_str::SmolStr;
use tokio::time::Sleep;

use siskinbend_request::Action;
use siskinbend_request::AttemptRef;
use siskinbend_request::Call;
use siskinbend_request::CallSpec;
use siskinbend_request::Event;
use siskinbend_request::StoredAnswer;
use siskinbend_request::Target;
use siskinbend_routing::AttemptResult;
use siskinbend_routing::Requirements;
use siskinbend_types::AgentId;
use siskinbend_types::Attempt;
use siskinbend_types::Priority;
use siskinbend_types::Reason;
use siskinbend_types::Time;
use siskinbend_wire::Dispatch;
use siskinbend_wire::FrameError;
use siskinbend_wire::Head;
use siskinbend_wire::Message;
use siskinbend_wire::Receiver;
use siskinbend_wire::Sender;
use siskinbend_wire::Status;

use super::Entry;
use super::claims;
use super::fleet::Budget;
use super::fleet::Fleet;
use super::response::ResponseSender;
use crate::exchange;
use crate::limits;

/// Request as it is sent to the backend server.
pub(super) struct BackendRequest {
    pub(super) method: SmolStr,
    pub(super) path: SmolStr,
    pub(super) content_type: SmolStr,
    pub(super) priority: Priority,
    /// Hash of the first bytes of the body, for model services.
    pub(super) prefix: Option<u64>,
    pub(super) body: Bytes,
}

/// Attempt that was dispatched and has not ended.
struct ActiveAttempt {
    attempt: Attempt,
    agent: AgentId,
    from: SocketAddr,
    sender: Sender,
    receiver: Receiver,
    sent: Time,
    chunks: u64,
}

/// Claim write or lookup in flight, which resolves to its event.
type PendingEvent = Pin<Box<dyn Future<Output = Event> + Send>>;

/// Received part of the answer that is not forwarded yet, because the call decides whether to.
enum UnsentPart {
    Nothing,
    Head(Head),
    Chunk(Bytes),
}

/// Call state machine together with its I/O.
struct Driver {
    entry: Arc<Entry>,
    spec: CallSpec,
    request: BackendRequest,
    call: Call,
    budget: Budget,
    response: ResponseSender,
    events: VecDeque<Event>,
    active: Option<ActiveAttempt>,
    /// Polled together with the timer and the caller's connection, because the table service may be
    /// slower than the deadline.
    pending: Option<PendingEvent>,
    /// Chosen agent whose dispatch is already counted by the picker although nothing was sent yet.
    reserved: Option<AgentId>,
    timer: Option<Time>,
    /// Wakes the driver at `timer` or earlier.
    sleep: Option<Pin<Box<Sleep>>>,
    unsent: UnsentPart,
    /// Answer so far of a call with an idempotency key, unless it is too large to be stored.
    stored: Option<StoredAnswer>,
    /// Whether the call was notified that the caller has disconnected.
    caller_gone: bool,
    started: Time,
    /// Reason of the last failed attempt, for the retry counter.
    last_failure: Option<Reason>,
}

/// Runs a call from its start to its outcome.
pub(super) async fn drive(
    entry: Arc<Entry>,
    spec: CallSpec,
    request: BackendRequest,
    response: ResponseSender,
) {
    entry.metrics.inflight.inc();
    let started = entry.clock.now();
    let mut driver = Driver {
        call: Call::new(spec.clone()),
        budget: entry.fleet.retry_budget(&spec.service),
        entry,
        spec,
        request,
        response,
        events: VecDeque::from([Event::Start]),
        active: None,
        pending: None,
        reserved: None,
        timer: None,
        sleep: None,
        unsent: UnsentPart::Nothing,
        stored: None,
        caller_gone: false,
        started,
        last_failure: None,
    };
    driver.run().await;
    driver.release();
    driver.entry.metrics.inflight.dec();
}

impl Driver {
    async fn run(&mut self) {
        while !self.call.is_done() {
            let event = match self.events.pop_front() {
                Some(event) => event,
                None => self.next_event().await,
            };
            let now = self.entry.clock.now();
            let actions = Fleet::handle(&self.budget, &mut self.call, event, now);
            for action in actions {
                self.execute(action).await;
            }
        }
    }

    /// Waits for the next event: a message of the agent, the end of a claim operation, the timer or
    /// the disconnect of the caller.
    async fn next_event(&mut self) -> Event {
        let message = loop {
            self.arm_sleep();
            let active = self.active.as_mut();
            tokio::select! {
                message = receive(active) => break message,
                event = wait_pending(self.pending.as_mut()) => {
                    self.pending = None;
                    return event;
                }
                () = wait_sleep(self.sleep.as_mut()) => {
                    self.sleep = None;
                    if self.timer.is_some_and(|at| at <= self.entry.clock.now()) {
                        self.timer = None;
                        return Event::Timer;
                    }
                }
                () = self.response.wait_disconnect(), if !self.caller_gone => {
                    self.caller_gone = true;
                    return Event::CallerGone;
                }
            }
        };
        self.convert_message(message)
    }

    /// Sets the sleep to the call's timer unless it already ends earlier. Every chunk postpones the
    /// timer; setting the sleep again after an early wake-up is cheaper than a new sleep for every
    /// chunk.
    fn arm_sleep(&mut self) {
        let Some(at) = self.timer else { return };
        let at = self.entry.clock.to_instant(at);
        if self
            .sleep
            .as_ref()
            .is_none_or(|sleep| sleep.deadline() > at)
        {
            self.sleep = Some(Box::pin(tokio::time::sleep_until(at)));
        }
    }

    /// Converts a message of the active attempt to an event.
    fn convert_message(&mut self, message: Result<Message, FrameError>) -> Event {
        let now = self.entry.clock.now();
        let Some(active) = self.active.as_mut() else {
            return Event::Timer;
        };
        let attempt = active.attempt;
        match message {
            Ok(Message::Accepted(status)) => {
                self.observe(&status, now);
                Event::Accepted(attempt)
            }
            Ok(Message::Refused(reason, status)) => {
                self.observe(&status, now);
                self.last_failure = Some(reason);
                self.close_attempt(AttemptResult::Refused(reason));
                Event::Refused(attempt, reason)
            }
            Ok(Message::Head(head)) => {
                self.unsent = UnsentPart::Head(head);
                Event::Head(attempt)
            }
            Ok(Message::Chunk(bytes)) => {
                let index = active.chunks;
                active.chunks += 1;
                if index == 0 {
                    let after = now.since(active.sent);
                    self.entry.fleet.record_first_token(
                        &self.spec.service,
                        &active.agent,
                        after,
                        now,
                    );
                }
                self.unsent = UnsentPart::Chunk(bytes);
                Event::Chunk(attempt, index)
            }
            Ok(Message::End(status)) => {
                let chunks = active.chunks;
                // If there is a body, its first chunk has recorded the time already.
                let first_token = (chunks == 0).then(|| now.since(active.sent));
                self.observe(&status, now);
                self.close_attempt(AttemptResult::Ok { first_token });
                Event::End(attempt, chunks)
            }
            Ok(Message::Aborted(reason)) => {
                self.last_failure = Some(reason);
                self.close_attempt(AttemptResult::Failed);
                Event::Aborted(attempt, reason)
            }
            Ok(_) => self.fail_attempt(attempt, Reason::Protocol),
            Err(FrameError::Lost | FrameError::Truncated) => {
                self.fail_attempt(attempt, Reason::LinkLost)
            }
            Err(error) => {
                log::warn!(request:% = self.spec.id, error:% = error; "protocol_error");
                self.fail_attempt(attempt, Reason::Protocol)
            }
        }
    }

    fn fail_attempt(&mut self, attempt: Attempt, reason: Reason) -> Event {
        self.last_failure = Some(reason);
        self.close_attempt(AttemptResult::Failed);
        Event::LinkLost(attempt)
    }

    fn observe(&self, status: &Status, now: Time) {
        if let Some(active) = &self.active {
            self.entry.fleet.observe(&active.agent, status, now);
            self.entry
                .document_sync
                .record_version(active.from, status.newest);
        }
    }

    /// Ends the active attempt and records its result for the replica choice. The stream is reset
    /// unless the attempt succeeded.
    fn close_attempt(&mut self, result: AttemptResult) {
        if let Some(mut active) = self.active.take() {
            let now = self.entry.clock.now();
            self.entry
                .fleet
                .record_result(&self.spec.service, &active.agent, result, now);
            if !matches!(result, AttemptResult::Ok { .. }) {
                active.receiver.stop();
                active.sender.reset();
            }
        }
    }

    /// Releases the active attempt and the reserved agent, if any.
    fn release(&mut self) {
        let result = if self.caller_gone {
            AttemptResult::Cancelled
        } else {
            AttemptResult::Stalled
        };
        self.close_attempt(result);
        if let Some(agent) = self.reserved.take() {
            let now = self.entry.clock.now();
            self.entry.fleet.record_result(
                &self.spec.service,
                &agent,
                AttemptResult::Cancelled,
                now,
            );
        }
    }

    async fn execute(&mut self, action: Action) {
        match action {
            Action::Choose { avoid } => self.choose(avoid),
            Action::Dispatch { attempt, target } => self.dispatch(attempt, target).await,
            Action::Cancel { attempt, target } => self.cancel(attempt, target).await,
            Action::ForwardHead | Action::ForwardChunk => self.forward_part().await,
            Action::ForwardEnd => self.complete_response().await,
            Action::Replay(stored) => self.replay(&stored),
            Action::Fail { outcome, reason } => self.fail(outcome, reason).await,
            Action::Resume { attempt, .. } => self.events.push_back(Event::NotResumed(attempt)),
            Action::SetTimer(at) => self.timer = Some(at),
            Action::WriteClaim { row, replaces } => {
                let entry = Arc::clone(&self.entry);
                self.pending = Some(Box::pin(async move {
                    claims::write(entry.store.as_deref(), &row, replaces).await
                }));
            }
            Action::Lookup(row) => self.lookup(&row),
            Action::RecordAnswer { row, replaces } => self.record_answer(*row, replaces),
        }
    }

    fn choose(&mut self, avoid: Vec<AgentId>) {
        self.release();
        let requirements = Requirements {
            prefix: self.request.prefix,
            avoid,
            ..Requirements::default()
        };
        let now = self.entry.clock.now();
        let event = match self
            .entry
            .fleet
            .choose(&self.spec.service, &requirements, now)
        {
            Ok(target) => {
                self.reserved = Some(target.agent.clone());
                Event::TargetChosen(target)
            }
            Err(reason) => Event::NoTarget(reason),
        };
        self.events.push_back(event);
    }

    async fn dispatch(&mut self, attempt: Attempt, target: Target) {
        if let Some(reason) = self.last_failure.take() {
            self.entry.metrics.requests.record_retry(reason);
            log::info!(
                request:% = self.spec.id, attempt:% = attempt, agent:% = target.agent,
                reason:% = reason;
                "attempt_retried"
            );
        }
        let stream =
            match find_live_connection(&self.entry, &target.agent, self.spec.idempotent).await {
                Some(connection) => {
                    let from = connection.remote_address();
                    connection.open_bi().await.ok().map(|stream| (from, stream))
                }
                None => None,
            };
        let Some((from, (send, receive))) = stream else {
            self.last_failure = Some(Reason::LinkLost);
            self.events.push_back(Event::NotSent(attempt));
            return;
        };
        let mut sender = Sender::new(self.spec.id, send);
        let messages = self.build_dispatch(attempt, &target);
        let sent = sender.send(&messages).await;
        // The picker has counted the dispatch since the choice; from here on the active attempt
        // records its result.
        self.reserved = None;
        let now = self.entry.clock.now();
        self.active = Some(ActiveAttempt {
            attempt,
            agent: target.agent,
            from,
            sender,
            receiver: Receiver::new(Some(self.spec.id), receive),
            sent: now,
            chunks: 0,
        });
        if sent.is_err() {
            let event = self.fail_attempt(attempt, Reason::LinkLost);
            self.events.push_back(event);
        }
    }

    fn build_dispatch(&self, attempt: Attempt, target: &Target) -> Vec<Message> {
        let left = self.spec.deadline.since(self.entry.clock.now());
        let mut messages = vec![Message::Dispatch(Dispatch {
            attempt,
            incarnation: target.incarnation,
            window: target.window,
            organisation: self.spec.organisation.clone(),
            priority: self.request.priority,
            deadline_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            idempotent: self.spec.idempotent,
            method: self.request.method.clone(),
            path: self.request.path.clone(),
            content_type: self.request.content_type.clone(),
        })];
        let mut rest = self.request.body.clone();
        while !rest.is_empty() {
            messages.push(Message::Body(
                rest.split_to(rest.len().min(limits::MAX_BODY_FRAME_BYTES)),
            ));
        }
        messages.push(Message::BodyEnd);
        messages
    }

    /// Cancels an attempt. If the call is done, the agent's reply is not awaited.
    async fn cancel(&mut self, attempt: Attempt, target: Target) {
        self.last_failure = Some(Reason::Stalled);
        self.close_attempt(if self.caller_gone {
            AttemptResult::Cancelled
        } else {
            AttemptResult::Stalled
        });
        let Some(connection) = self.entry.fleet.find_connection(&target.agent) else {
            return;
        };
        let reference = AttemptRef {
            id: self.spec.id,
            attempt,
            incarnation: target.incarnation,
            window: target.window,
        };
        if self.call.is_done() {
            self.entry.requests.spawn(async move {
                send_cancel(&connection, reference).await;
            });
        } else if let Some(event) = send_cancel(&connection, reference).await {
            self.events.push_back(event);
        }
    }
}

/// Returns the connection to an agent. For a call that is not idempotent the agent must have sent
/// its status recently or answer a probe now.
async fn find_live_connection(
    entry: &Entry,
    agent: &AgentId,
    idempotent: bool,
) -> Option<Connection> {
    let connection = entry.fleet.find_connection(agent)?;
    let age = entry.fleet.status_age(agent, entry.clock.now())?;
    if idempotent || age < limits::MAX_UNPROBED_SILENCE {
        return Some(connection);
    }
    match exchange::call(&connection, exchange::NO_REQUEST, &Message::Probe).await {
        Some(Message::Report(status)) => {
            entry.fleet.observe(agent, &status, entry.clock.now());
            Some(connection)
        }
        _ => None,
    }
}

async fn send_cancel(connection: &Connection, attempt: AttemptRef) -> Option<Event> {
    match exchange::call(connection, attempt.id, &Message::Cancel(attempt)).await {
        Some(Message::CancelState(state)) => Some(Event::Cancelled(attempt.attempt, state)),
        _ => None,
    }
}

/// Waits for a message of the active attempt, or forever if there is none.
async fn receive(active: Option<&mut ActiveAttempt>) -> Result<Message, FrameError> {
    match active {
        Some(active) => active.receiver.receive().await,
        None => std::future::pending().await,
    }
}

/// Waits for the claim write or lookup in flight, or forever if there is none.
async fn wait_pending(pending: Option<&mut PendingEvent>) -> Event {
    match pending {
        Some(pending) => pending.await,
        None => std::future::pending().await,
    }
}

/// Waits for the sleep, or forever if there is none.
async fn wait_sleep(sleep: Option<&mut Pin<Box<Sleep>>>) {
    match sleep {
        Some(sleep) => sleep.await,
        None => std::future::pending().await,
    }
}
