//! Entry side of a request: attempts, claims and the answer to the caller.

mod attempt;
mod claims;

use std::time::Duration;

use siskinbend_types::AgentId;
use siskinbend_types::Attempt;
use siskinbend_types::Digest;
use siskinbend_types::Incarnation;
use siskinbend_types::Organisation;
use siskinbend_types::Outcome;
use siskinbend_types::Reason;
use siskinbend_types::RequestId;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;
use siskinbend_types::Window;

use crate::CancelState;
use crate::ClaimRow;
use crate::ClaimState;
use crate::LookupResult;
use crate::RetryBudget;
use crate::StoredAnswer;

/// Time after which an unanswered cancel is given up. It is long enough to open a new connection to
/// the agent, and it limits how long after the deadline a caller waits for the outcome.
pub const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which an entry tries to resume a broken stream; well under the configured stall
/// timeouts.
const RESUME_TIMEOUT: Duration = Duration::from_secs(1);

/// Parameters of a call.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// The call's id, which must be unique.
    pub id: RequestId,
    /// The caller's organisation.
    pub organisation: Organisation,
    /// The service called.
    pub service: ServiceName,
    /// Whether the operation may be repeated.
    pub idempotent: bool,
    /// The idempotency key; allowed only if the operation may not be repeated.
    pub key: Option<IdempotencyKey>,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Time without a frame from the agent after which the attempt is cancelled.
    pub stall_timeout: Duration,
    /// Largest number of attempts that may be dispatched.
    pub max_attempts: u32,
    /// Whether the agent buffers a broken stream so that it can be resumed.
    pub resumable: bool,
}

/// The idempotency key of a call.
#[derive(Debug, Clone)]
pub struct IdempotencyKey {
    /// Digest of the key.
    pub digest: Digest,
    /// Digest of the request body.
    pub body_digest: Digest,
    /// Behaviour while the table service can't be reached.
    pub on_outage: OnOutage,
    /// How long the claim row is kept.
    pub retention: Duration,
}

/// Behaviour of a call with an idempotency key while the table service can't be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnOutage {
    /// The call is refused.
    Refuse,
    /// The call runs without a claim; a repeat with the same key may run the operation again.
    Run,
}

/// The agent chosen for an attempt, according to its last message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The agent.
    pub agent: AgentId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its dispatch window, from the same message as the incarnation.
    pub window: Window,
}

/// An input of the state machine.
#[derive(Debug, Clone)]
pub enum Event {
    /// The request was received.
    Start,
    /// An agent was chosen.
    TargetChosen(Target),
    /// No agent can be chosen.
    NoTarget(Reason),
    /// The claim row was written; with its revision.
    ClaimWritten(u64),
    /// The table holds another claim row; with its content and revision.
    ClaimConflict(Box<ClaimRow>, u64),
    /// It is unknown whether the claim row was written.
    ClaimUnavailable,
    /// The agent named in a claim row answered.
    LookedUp(LookupResult),
    /// The agent named in a claim row could not be reached.
    LookupFailed,
    /// Nothing of the dispatch was sent.
    NotSent(Attempt),
    /// The agent queued the attempt.
    Accepted(Attempt),
    /// The agent refused the attempt.
    Refused(Attempt, Reason),
    /// The head of the answer arrived.
    Head(Attempt),
    /// A chunk of the answer arrived; with its index from 0.
    Chunk(Attempt, u64),
    /// The answer is complete; with its number of chunks.
    End(Attempt, u64),
    /// The agent could not complete the answer.
    Aborted(Attempt, Reason),
    /// The connection that carries the attempt was lost.
    LinkLost(Attempt),
    /// The agent continues the stream after the frames that were received.
    Resumed(Attempt),
    /// The agent can't continue the stream.
    NotResumed(Attempt),
    /// The agent answered a cancel.
    Cancelled(Attempt, CancelState),
    /// The timer set by the last `SetTimer` fired.
    Timer,
    /// The caller closed the connection.
    CallerGone,
}

/// An output of the state machine, to be executed by the shell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Choose an agent.
    Choose {
        /// Agents that failed or refused an attempt, to be avoided if possible.
        avoid: Vec<AgentId>,
    },
    /// Write the claim row if its current revision is `replaces`, or with `None` if there is no
    /// row.
    ///
    /// If the response is lost, the shell reads the row back. The result is
    /// [`Event::ClaimWritten`] if the table holds this write, [`Event::ClaimConflict`] if it holds
    /// another row, and [`Event::ClaimUnavailable`] otherwise, also if the row to be replaced is
    /// gone.
    WriteClaim {
        /// The new row.
        row: Box<ClaimRow>,
        /// The revision to be replaced.
        replaces: Option<u64>,
    },
    /// Ask the agent named in the row for the state of the attempt.
    Lookup(Box<ClaimRow>),
    /// Send the attempt on any connection to the agent, whatever the agent's current incarnation.
    Dispatch {
        /// The attempt.
        attempt: Attempt,
        /// The agent.
        target: Target,
    },
    /// Send a cancel, on a new connection if the old one is lost.
    Cancel {
        /// The attempt.
        attempt: Attempt,
        /// The agent.
        target: Target,
    },
    /// Ask the agent, on a new connection, to continue the stream of the attempt.
    Resume {
        /// The attempt.
        attempt: Attempt,
        /// The agent.
        target: Target,
        /// Number of frames of the answer received; the head counts as one.
        received: u64,
    },
    /// Forward the head of the answer to the caller.
    ForwardHead,
    /// Forward the chunk to the caller.
    ForwardChunk,
    /// Forward the end of the answer to the caller.
    ForwardEnd,
    /// Answer the caller from a stored answer.
    Replay(StoredAnswer),
    /// Write the row if its current revision is `replaces`; the call doesn't wait for the response.
    ///
    /// If the state is `Answered(None)`, the shell adds the answer that it forwarded, unless that
    /// is too large.
    RecordAnswer {
        /// The new row.
        row: Box<ClaimRow>,
        /// The revision to be replaced; with `None` only if there is no row.
        replaces: Option<u64>,
    },
    /// Answer the caller with an error; if the head was forwarded, abort the answer.
    Fail {
        /// Whether the operation may have run.
        outcome: Outcome,
        /// Why the call failed.
        reason: Reason,
    },
    /// Deliver [`Event::Timer`] at this time; replaces the timer set before.
    SetTimer(Time),
}

/// State of a call.
#[derive(Debug)]
enum Phase {
    /// Waits for [`Event::Start`].
    Idle,
    /// Waits for a target.
    Choosing,
    /// Waits for the claim row to be written.
    Claiming(Box<Claiming>),
    /// Waits for the agent named in a claim row of another request or of this one.
    LookingUp(Box<LookingUp>),
    /// An attempt is in flight.
    InFlight(InFlight),
    /// Waits for the answer to a cancel.
    Cancelling(Cancelling),
    /// The caller has its answer.
    Done,
}

/// A claim write whose response is outstanding.
#[derive(Debug)]
struct Claiming {
    target: Target,
    row: ClaimRow,
    replaces: Option<u64>,
}

/// A lookup whose response is outstanding.
#[derive(Debug)]
struct LookingUp {
    /// The agent to dispatch to if the operation turns out not to have run.
    target: Target,
    row: ClaimRow,
    revision: u64,
}

/// An attempt in flight.
#[derive(Debug)]
struct InFlight {
    target: Target,
    /// Time of the last event of the attempt.
    last_event: Time,
    /// Whether the agent queued the attempt.
    accepted: bool,
    /// Whether the head was forwarded to the caller.
    head_forwarded: bool,
    /// Number of chunks forwarded to the caller.
    chunks: u64,
    /// Time until which the broken stream may be resumed; `None` if the stream isn't broken.
    resume_deadline: Option<Time>,
}

/// A cancel whose answer is outstanding; the head of the answer was not forwarded.
#[derive(Debug)]
struct Cancelling {
    target: Target,
    /// Why the attempt was cancelled.
    cause: Reason,
    /// When to stop waiting for the answer.
    until: Time,
}

/// One call of a caller.
#[derive(Debug)]
pub struct Call {
    spec: CallSpec,
    phase: Phase,
    /// Last attempt number used for a dispatch or a claim.
    attempt: Attempt,
    /// Number of dispatched attempts.
    dispatches: u32,
    /// Number of claim writes, with or without success.
    claim_writes: u32,
    /// Agents that failed or refused an attempt.
    avoid: Vec<AgentId>,
    /// Whether an attempt of this call may have run the operation.
    may_have_run: bool,
    /// Whether another request with the same key may be running.
    contended: bool,
    /// The claim row of this call in the table, with its revision.
    own_claim: Option<(ClaimRow, u64)>,
    /// The claim row of an attempt that was dispatched while the table could not be reached.
    unwritten_claim: Option<ClaimRow>,
    /// The claim row of another request whose attempt is proved never to run, with its revision.
    void_claim: Option<(ClaimRow, u64)>,
}

impl Call {
    /// Creates a call that waits for [`Event::Start`].
    pub fn new(spec: CallSpec) -> Self {
        assert!(
            spec.key.is_none() || !spec.idempotent,
            "request {} has an idempotency key although its operation may be repeated",
            spec.id
        );
        Self {
            spec,
            phase: Phase::Idle,
            attempt: Attempt(0),
            dispatches: 0,
            claim_writes: 0,
            avoid: Vec::new(),
            may_have_run: false,
            contended: false,
            own_claim: None,
            unwritten_claim: None,
            void_claim: None,
        }
    }

    /// Handles an event and returns the actions to execute, in order.
    ///
    /// Frames can arrive late and out of order, so events of an earlier attempt and events that
    /// don't fit the phase are ignored.
    pub fn handle(&mut self, event: Event, now: Time, budget: &mut RetryBudget) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.is_done() {
            return actions;
        }
        match event {
            Event::Start => self.start(budget, &mut actions),
            Event::TargetChosen(target) => self.handle_target(target, now, &mut actions),
            Event::NoTarget(reason) => {
                if matches!(self.phase, Phase::Choosing) {
                    self.fail(reason, &mut actions);
                }
            }
            Event::ClaimWritten(_)
            | Event::ClaimConflict(..)
            | Event::ClaimUnavailable
            | Event::LookedUp(_)
            | Event::LookupFailed => self.handle_claim(event, now, &mut actions),
            Event::Timer => self.handle_timer(now, budget, &mut actions),
            Event::CallerGone => self.handle_caller_gone(&mut actions),
            frame => self.handle_frame(frame, now, budget, &mut actions),
        }
        actions
    }

    /// Whether the caller has its answer, so that further events are ignored.
    pub fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done)
    }

    fn start(&mut self, budget: &mut RetryBudget, actions: &mut Vec<Action>) {
        if matches!(self.phase, Phase::Idle) {
            budget.deposit();
            self.request_target(actions);
        }
    }

    fn request_target(&mut self, actions: &mut Vec<Action>) {
        self.phase = Phase::Choosing;
        actions.push(Action::SetTimer(self.spec.deadline));
        let avoid = self.avoid.clone();
        actions.push(Action::Choose { avoid });
    }

    fn handle_target(&mut self, target: Target, now: Time, actions: &mut Vec<Action>) {
        if !matches!(self.phase, Phase::Choosing) {
            return;
        }
        if now >= self.spec.deadline {
            self.fail(Reason::Deadline, actions);
        } else if self.spec.key.is_some() {
            let replaces = self.own_claim.as_ref().map(|(_, revision)| *revision);
            self.write_claim(target, replaces, now, actions);
        } else {
            self.attempt = self.attempt.next();
            self.dispatch(target, now, actions);
        }
    }

    /// Handles the timer in every phase. A timer of an earlier phase may fire late, so the times
    /// are compared again.
    fn handle_timer(&mut self, now: Time, budget: &mut RetryBudget, actions: &mut Vec<Action>) {
        match &self.phase {
            Phase::Idle | Phase::Done => {}
            Phase::Choosing | Phase::Claiming(_) | Phase::LookingUp(_) => {
                if now >= self.spec.deadline {
                    self.fail(Reason::Deadline, actions);
                } else {
                    actions.push(Action::SetTimer(self.spec.deadline));
                }
            }
            Phase::InFlight(_) => self.check_timeouts(now, actions),
            Phase::Cancelling(cancelling) => {
                if now >= cancelling.until {
                    let cause = cancelling.cause;
                    self.fail_or_repeat(cause, now, budget, actions);
                } else {
                    actions.push(Action::SetTimer(cancelling.until));
                }
            }
        }
    }

    /// Handles a disconnect of the caller: cancels the attempt and doesn't wait for the answer.
    fn handle_caller_gone(&mut self, actions: &mut Vec<Action>) {
        if let Phase::InFlight(InFlight { target, .. }) = &self.phase {
            self.may_have_run = true;
            actions.push(Action::Cancel {
                attempt: self.attempt,
                target: target.clone(),
            });
        } else if let Phase::Cancelling(_) = &self.phase {
            self.may_have_run = true;
        }
        self.fail(Reason::CallerGone, actions);
    }

    /// Reports the failure of the call to the caller. The outcome is `not_run` only if every
    /// attempt is proved not to have run.
    fn fail(&mut self, reason: Reason, actions: &mut Vec<Action>) {
        let has_open_attempt = matches!(self.phase, Phase::InFlight(_) | Phase::Cancelling(_));
        assert!(
            self.may_have_run || !has_open_attempt,
            "request {} would be reported as not run with attempt {} open",
            self.spec.id,
            self.attempt
        );
        let outcome = if self.may_have_run || self.contended {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        if outcome == Outcome::NotRun
            && let Some((mut row, revision)) = self.own_claim.take()
        {
            // A repeat of the call can then run without a lookup at the agent, which may be gone.
            row.state = ClaimState::NotRun;
            actions.push(Action::RecordAnswer {
                row: Box::new(row),
                replaces: Some(revision),
            });
        }
        self.phase = Phase::Done;
        actions.push(Action::Fail { outcome, reason });
    }
}
