//! Carries out the actions of one call and feeds it with what happens.

mod caller;
mod keyed;

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
use super::answer::Answer;
use super::claims;
use super::fleet::Budget;
use super::fleet::Fleet;
use crate::exchange;
use crate::limits;

/// What is forwarded to the backend server.
pub(super) struct Forward {
    pub(super) method: SmolStr,
    pub(super) path: SmolStr,
    pub(super) content_type: SmolStr,
    pub(super) priority: Priority,
    /// Hash of the prompt's start, for model services.
    pub(super) prefix: Option<u64>,
    pub(super) body: Bytes,
}

/// The attempt whose answer is awaited.
struct Open {
    attempt: Attempt,
    agent: AgentId,
    from: SocketAddr,
    sender: Sender,
    receiver: Receiver,
    sent: Time,
    chunks: u64,
}

/// A claim write or a lookup under way.
type Pending = Pin<Box<dyn Future<Output = Event> + Send>>;

/// A part of the answer that the call decides on.
enum Held {
    Nothing,
    Head(Head),
    Chunk(Bytes),
}

/// One call with its I/O.
struct Driver {
    entry: Arc<Entry>,
    spec: CallSpec,
    forward: Forward,
    call: Call,
    budget: Budget,
    answer: Answer,
    events: VecDeque<Event>,
    open: Option<Open>,
    /// Awaited beside the timer and the caller, because the table may be slower than the deadline.
    pending: Option<Pending>,
    /// A chosen agent that counts as busy although nothing was sent yet.
    chosen: Option<AgentId>,
    timer: Option<Time>,
    /// Wakes the driver at `timer` or before.
    alarm: Option<Pin<Box<Sleep>>>,
    held: Held,
    /// The answer of a keyed call so far, unless it is too large to be stored.
    kept: Option<StoredAnswer>,
    /// The caller's absence was reported to the call.
    gone: bool,
    started: Time,
    /// Why the last attempt ended, for the retry counter.
    failed: Option<Reason>,
}

/// Drives a call from its start to its outcome.
pub(super) async fn drive(entry: Arc<Entry>, spec: CallSpec, forward: Forward, answer: Answer) {
    entry.metrics.inflight.inc();
    let started = entry.clock.now();
    let mut driver = Driver {
        call: Call::new(spec.clone()),
        budget: entry.fleet.find_budget(&spec.service),
        entry,
        spec,
        forward,
        answer,
        events: VecDeque::from([Event::Start]),
        open: None,
        pending: None,
        chosen: None,
        timer: None,
        alarm: None,
        held: Held::Nothing,
        kept: None,
        gone: false,
        started,
        failed: None,
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
                None => self.wait().await,
            };
            let now = self.entry.clock.now();
            let actions = Fleet::handle(&self.budget, &mut self.call, event, now);
            for action in actions {
                self.act(action).await;
            }
        }
    }

    /// Waits for the next thing that happens.
    async fn wait(&mut self) -> Event {
        let message = loop {
            self.set_alarm();
            let open = self.open.as_mut();
            tokio::select! {
                message = receive(open) => break message,
                event = settle(self.pending.as_mut()) => {
                    self.pending = None;
                    return event;
                }
                () = ring(self.alarm.as_mut()) => {
                    self.alarm = None;
                    if self.timer.is_some_and(|at| at <= self.entry.clock.now()) {
                        self.timer = None;
                        return Event::Timer;
                    }
                }
                () = self.answer.wait_gone(), if !self.gone => {
                    self.gone = true;
                    return Event::CallerGone;
                }
            }
        };
        self.read(message)
    }

    /// Makes the alarm ring at the call's timer or before. Each chunk moves the timer; an alarm that
    /// rings too early and is set again costs less than moving it each time.
    fn set_alarm(&mut self) {
        let Some(at) = self.timer else { return };
        let at = self.entry.clock.to_instant(at);
        if self
            .alarm
            .as_ref()
            .is_none_or(|alarm| alarm.deadline() > at)
        {
            self.alarm = Some(Box::pin(tokio::time::sleep_until(at)));
        }
    }

    /// Turns a message of the open attempt into an event.
    fn read(&mut self, message: Result<Message, FrameError>) -> Event {
        let now = self.entry.clock.now();
        let Some(open) = self.open.as_mut() else {
            return Event::Timer;
        };
        let attempt = open.attempt;
        match message {
            Ok(Message::Accepted(status)) => {
                self.observe(&status, now);
                Event::Accepted(attempt)
            }
            Ok(Message::Refused(reason, status)) => {
                self.observe(&status, now);
                self.failed = Some(reason);
                self.close(AttemptResult::Refused(reason));
                Event::Refused(attempt, reason)
            }
            Ok(Message::Head(head)) => {
                self.held = Held::Head(head);
                Event::Head(attempt)
            }
            Ok(Message::Chunk(bytes)) => {
                let index = open.chunks;
                open.chunks += 1;
                if index == 0 {
                    let after = now.since(open.sent);
                    self.entry
                        .fleet
                        .note_first(&self.spec.service, &open.agent, after, now);
                }
                self.held = Held::Chunk(bytes);
                Event::Chunk(attempt, index)
            }
            Ok(Message::End(status)) => {
                let chunks = open.chunks;
                // With a body the time of its first part was noted when it arrived.
                let first_token = (chunks == 0).then(|| now.since(open.sent));
                self.observe(&status, now);
                self.close(AttemptResult::Ok { first_token });
                Event::End(attempt, chunks)
            }
            Ok(Message::Aborted(reason)) => {
                self.failed = Some(reason);
                self.close(AttemptResult::Failed);
                Event::Aborted(attempt, reason)
            }
            Ok(_) => self.lose(attempt, Reason::Protocol),
            Err(FrameError::Lost | FrameError::Truncated) => self.lose(attempt, Reason::LinkLost),
            Err(error) => {
                log::warn!(request:% = self.spec.id, error:% = error; "protocol_error");
                self.lose(attempt, Reason::Protocol)
            }
        }
    }

    fn lose(&mut self, attempt: Attempt, reason: Reason) -> Event {
        self.failed = Some(reason);
        self.close(AttemptResult::Failed);
        Event::LinkLost(attempt)
    }

    fn observe(&self, status: &Status, now: Time) {
        if let Some(open) = &self.open {
            self.entry.fleet.observe(&open.agent, status, now);
            self.entry
                .document_sync
                .record_version(open.from, status.newest);
        }
    }

    /// Stops listening to the open attempt.
    fn close(&mut self, done: AttemptResult) {
        if let Some(mut open) = self.open.take() {
            let now = self.entry.clock.now();
            self.entry
                .fleet
                .note_done(&self.spec.service, &open.agent, done, now);
            if !matches!(done, AttemptResult::Ok { .. }) {
                open.receiver.stop();
                open.sender.reset();
            }
        }
    }

    /// Gives back everything that the call still holds.
    fn release(&mut self) {
        let done = if self.gone {
            AttemptResult::Cancelled
        } else {
            AttemptResult::Stalled
        };
        self.close(done);
        if let Some(agent) = self.chosen.take() {
            let now = self.entry.clock.now();
            self.entry
                .fleet
                .note_done(&self.spec.service, &agent, AttemptResult::Cancelled, now);
        }
    }

    async fn act(&mut self, action: Action) {
        match action {
            Action::Choose { avoid } => self.choose(avoid),
            Action::Dispatch { attempt, target } => self.dispatch(attempt, target).await,
            Action::Cancel { attempt, target } => self.cancel(attempt, target).await,
            Action::ForwardHead | Action::ForwardChunk => self.pass().await,
            Action::ForwardEnd => self.end().await,
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
            Action::RecordAnswer { row, replaces } => self.record(*row, replaces),
        }
    }

    fn choose(&mut self, avoid: Vec<AgentId>) {
        self.release();
        let wish = Requirements {
            prefix: self.forward.prefix,
            avoid,
            ..Requirements::default()
        };
        let now = self.entry.clock.now();
        let event = match self.entry.fleet.choose(&self.spec.service, &wish, now) {
            Ok(target) => {
                self.chosen = Some(target.agent.clone());
                Event::TargetChosen(target)
            }
            Err(reason) => Event::NoTarget(reason),
        };
        self.events.push_back(event);
    }

    async fn dispatch(&mut self, attempt: Attempt, target: Target) {
        if let Some(reason) = self.failed.take() {
            self.entry.metrics.requests.record_retry(reason);
            log::info!(
                request:% = self.spec.id, attempt:% = attempt, agent:% = target.agent,
                reason:% = reason;
                "attempt_retried"
            );
        }
        let stream = match find_reachable(&self.entry, &target.agent, self.spec.idempotent).await {
            Some(connection) => {
                let from = connection.remote_address();
                connection.open_bi().await.ok().map(|stream| (from, stream))
            }
            None => None,
        };
        let Some((from, (send, receive))) = stream else {
            self.failed = Some(Reason::LinkLost);
            self.events.push_back(Event::NotSent(attempt));
            return;
        };
        let mut sender = Sender::new(self.spec.id, send);
        let messages = self.build_dispatch(attempt, &target);
        let sent = sender.send(&messages).await;
        // The agent counts as busy from the choice on; the open attempt takes that over.
        self.chosen = None;
        let now = self.entry.clock.now();
        self.open = Some(Open {
            attempt,
            agent: target.agent,
            from,
            sender,
            receiver: Receiver::new(Some(self.spec.id), receive),
            sent: now,
            chunks: 0,
        });
        if sent.is_err() {
            let event = self.lose(attempt, Reason::LinkLost);
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
            priority: self.forward.priority,
            deadline_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
            idempotent: self.spec.idempotent,
            method: self.forward.method.clone(),
            path: self.forward.path.clone(),
            content_type: self.forward.content_type.clone(),
        })];
        let mut rest = self.forward.body.clone();
        while !rest.is_empty() {
            messages.push(Message::Body(
                rest.split_to(rest.len().min(limits::MAX_BODY_FRAME_BYTES)),
            ));
        }
        messages.push(Message::BodyEnd);
        messages
    }

    /// Cancels an attempt; a call that is done doesn't wait for the agent's word.
    async fn cancel(&mut self, attempt: Attempt, target: Target) {
        self.failed = Some(Reason::Stalled);
        self.close(if self.gone {
            AttemptResult::Cancelled
        } else {
            AttemptResult::Stalled
        });
        let Some(connection) = self.entry.fleet.find_connection(&target.agent) else {
            return;
        };
        let named = AttemptRef {
            id: self.spec.id,
            attempt,
            incarnation: target.incarnation,
            window: target.window,
        };
        if self.call.is_done() {
            self.entry.requests.spawn(async move {
                send_cancel(&connection, named).await;
            });
        } else if let Some(event) = send_cancel(&connection, named).await {
            self.events.push_back(event);
        }
    }
}

/// The connection to an agent; for a call that may not be repeated only if the agent was heard a
/// moment ago or answers now.
async fn find_reachable(entry: &Entry, agent: &AgentId, idempotent: bool) -> Option<Connection> {
    let connection = entry.fleet.find_connection(agent)?;
    let silence = entry.fleet.find_silence(agent, entry.clock.now())?;
    if idempotent || silence < limits::MAX_UNPROBED_SILENCE {
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

/// Waits for a message of the open attempt, or forever if there is none.
async fn receive(open: Option<&mut Open>) -> Result<Message, FrameError> {
    match open {
        Some(open) => open.receiver.receive().await,
        None => std::future::pending().await,
    }
}

/// Waits for the claim write or lookup under way, or forever if there is none.
async fn settle(pending: Option<&mut Pending>) -> Event {
    match pending {
        Some(pending) => pending.await,
        None => std::future::pending().await,
    }
}

/// Waits for the alarm, or forever if there is none.
async fn ring(alarm: Option<&mut Pin<Box<Sleep>>>) {
    match alarm {
        Some(alarm) => alarm.await,
        None => std::future::pending().await,
    }
}
