//! Entry side of a request: attempts, their outcomes, claims and what the caller is told.

mod attempt;
mod keyed;

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

/// How long a cancel may stay unanswered. It covers a new connection to the agent, and it bounds
/// how long after its deadline a caller waits to learn the outcome.
const CANCEL_WAIT: Duration = Duration::from_secs(1);

/// How long an entry tries to resume a broken stream; well under the stall times in use.
const RESUME_WAIT: Duration = Duration::from_secs(1);

/// What a call is and how long it may take.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// The call's id, never used before.
    pub id: RequestId,
    /// The caller's organisation.
    pub organisation: Organisation,
    /// The service called.
    pub service: ServiceName,
    /// Whether the operation may be repeated.
    pub idempotent: bool,
    /// The idempotency key; only for operations that may not be repeated.
    pub key: Option<IdempotencyKey>,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Longest silence of an agent.
    pub stall_timeout: Duration,
    /// Most attempts in all.
    pub max_attempts: u32,
    /// Whether the agent keeps a broken stream so that it can be resumed.
    pub resumable: bool,
}

/// The idempotency key of a call.
#[derive(Debug, Clone)]
pub struct IdempotencyKey {
    /// Digest of the key.
    pub digest: Digest,
    /// Digest of the request body.
    pub body_digest: Digest,
    /// What to do while the table service can't be reached.
    pub on_outage: OnOutage,
    /// How long the claim row is kept.
    pub retention: Duration,
}

/// What a keyed call does while the table service can't be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OnOutage {
    /// It is refused.
    Refuse,
    /// It runs without a claim; a repeat with the same key may then run again.
    Run,
}

/// The agent chosen for an attempt, as last heard from it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The agent.
    pub agent: AgentId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its window, learned together with the incarnation.
    pub window: Window,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// The request was received.
    Start,
    /// An agent was chosen.
    TargetChosen(Target),
    /// No agent can be chosen.
    NoTarget(Reason),
    /// The claim row was written; its revision.
    ClaimWritten(u64),
    /// The claim row is another; its content and revision.
    ClaimConflict(Box<ClaimRow>, u64),
    /// It could not be found out whether the claim row was written.
    ClaimUnavailable,
    /// The agent named in a claim row answered.
    LookedUp(LookupResult),
    /// The agent named in a claim row could not be asked.
    LookupFailed,
    /// Nothing of the dispatch was sent.
    NotSent(Attempt),
    /// The agent took the attempt into its queue.
    Accepted(Attempt),
    /// The agent refused the attempt.
    Refused(Attempt, Reason),
    /// The head of the answer arrived.
    Head(Attempt),
    /// A chunk of the answer arrived; its index from 0.
    Chunk(Attempt, u64),
    /// The answer is complete; its number of chunks.
    End(Attempt, u64),
    /// The agent could not complete the answer.
    Aborted(Attempt, Reason),
    /// The stream of the attempt broke.
    LinkLost(Attempt),
    /// The agent goes on with the stream after the frames that were received.
    Resumed(Attempt),
    /// The agent can't go on with the stream.
    NotResumed(Attempt),
    /// The agent answered a cancel.
    Cancelled(Attempt, CancelState),
    /// The time of the last `SetTimer` has come.
    Timer,
    /// The caller closed the connection.
    CallerGone,
}

/// What the shell must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Choose an agent, if possible none of these.
    Choose {
        /// Agents that failed or refused an attempt.
        avoid: Vec<AgentId>,
    },
    /// Write the claim row, if its present revision is `replaces` (`None`: if there is no row).
    ///
    /// If the response is lost the row is read back: [`Event::ClaimWritten`] if it is this write,
    /// [`Event::ClaimConflict`] if there is another row, else [`Event::ClaimUnavailable`], also if
    /// the row to be replaced is gone.
    WriteClaim {
        /// The new row.
        row: Box<ClaimRow>,
        /// The revision to be replaced.
        replaces: Option<u64>,
    },
    /// Ask the agent named in the row what became of the attempt.
    Lookup(Box<ClaimRow>),
    /// Send the attempt; on a connection to the agent, whichever its incarnation.
    Dispatch {
        /// The attempt.
        attempt: Attempt,
        /// The agent.
        target: Target,
    },
    /// Send a cancel, over a new connection if the old one is lost.
    Cancel {
        /// The attempt.
        attempt: Attempt,
        /// The agent.
        target: Target,
    },
    /// Ask the agent, over a new connection, to go on with the stream of the attempt.
    Resume {
        /// The attempt.
        attempt: Attempt,
        /// The agent.
        target: Target,
        /// Frames of the answer received; the head counts as one.
        received: u64,
    },
    /// Pass the head of the answer to the caller.
    ForwardHead,
    /// Pass the chunk to the caller.
    ForwardChunk,
    /// Complete the answer to the caller.
    ForwardEnd,
    /// Answer the caller from a stored answer.
    Replay(StoredAnswer),
    /// Write the row if its present revision is `replaces`; nobody waits for the response.
    ///
    /// If the state is `Answered(None)` the shell puts in the answer that it passed, if that is
    /// small enough.
    RecordAnswer {
        /// The new row.
        row: Box<ClaimRow>,
        /// The revision to be replaced; `None`: only if there is no row.
        replaces: Option<u64>,
    },
    /// Tell the caller; if the head was passed, abort the answer.
    Fail {
        /// Whether the operation may have run.
        outcome: Outcome,
        /// Why.
        reason: Reason,
    },
    /// Deliver [`Event::Timer`] at this time; replaces the timer set before.
    SetTimer(Time),
}

/// Where a call stands.
#[derive(Debug)]
enum Phase {
    /// Waits for the start.
    Idle,
    /// Waits for a target.
    Choosing,
    /// Waits for the claim row to be written.
    Claiming(Box<Claiming>),
    /// Waits for the agent named in another request's row, or in this one's.
    Asking(Box<Asking>),
    /// An attempt was dispatched.
    Sent(Sent),
    /// A cancel was sent and its answer counts.
    Cancelling(Cancelling),
    /// The caller has been told.
    Done,
}

/// A claim write under way.
#[derive(Debug)]
struct Claiming {
    target: Target,
    row: ClaimRow,
    replaces: Option<u64>,
}

/// A lookup under way.
#[derive(Debug)]
struct Asking {
    /// Where to dispatch once the operation is known not to have run.
    target: Target,
    row: ClaimRow,
    revision: u64,
}

/// An attempt under way.
#[derive(Debug)]
struct Sent {
    target: Target,
    /// Last sign of life of the agent.
    heard: Time,
    /// Whether the agent took it into its queue.
    accepted: bool,
    /// Whether the head was passed to the caller.
    head: bool,
    /// Chunks passed to the caller.
    chunks: u64,
    /// Until when the broken stream may be resumed.
    resuming: Option<Time>,
}

/// A cancel under way; the head of the attempt was not passed.
#[derive(Debug)]
struct Cancelling {
    target: Target,
    /// Why the attempt was cancelled.
    cause: Reason,
    /// When to stop waiting.
    until: Time,
}

/// One call of a caller.
#[derive(Debug)]
pub struct Call {
    spec: CallSpec,
    phase: Phase,
    /// Last attempt number used for a dispatch or a claim.
    attempt: Attempt,
    /// Attempts dispatched.
    dispatched: u32,
    /// Claim rows written or tried to be written.
    writes: u32,
    /// Agents that failed or refused an attempt.
    avoid: Vec<AgentId>,
    /// Whether an attempt of this call may have run.
    tainted: bool,
    /// Whether another request with the same key may be running.
    contested: bool,
    /// The claim row of this call as it stands in the table, with its revision.
    held: Option<(ClaimRow, u64)>,
    /// The row of an attempt that was dispatched while the table could not be reached.
    unclaimed: Option<ClaimRow>,
    /// The row of another request whose attempt is proved never to run, with its revision.
    cleared: Option<(ClaimRow, u64)>,
}

impl Call {
    /// A call that waits for [`Event::Start`].
    pub fn new(spec: CallSpec) -> Self {
        assert!(
            spec.key.is_none() || !spec.idempotent,
            "request {} has a key though its operation may be repeated",
            spec.id
        );
        Self {
            spec,
            phase: Phase::Idle,
            attempt: Attempt(0),
            dispatched: 0,
            writes: 0,
            avoid: Vec::new(),
            tainted: false,
            contested: false,
            held: None,
            unclaimed: None,
            cleared: None,
        }
    }

    /// Handles an event and returns what to do, in order.
    ///
    /// Events of an earlier attempt and events that don't fit the phase are ignored: frames
    /// arrive late and crossed.
    pub fn handle(&mut self, event: Event, now: Time, budget: &mut RetryBudget) -> Vec<Action> {
        let mut out = Vec::new();
        if self.is_done() {
            return out;
        }
        match event {
            Event::Start => self.begin(budget, &mut out),
            Event::TargetChosen(target) => self.take_target(target, now, &mut out),
            Event::NoTarget(reason) => {
                if matches!(self.phase, Phase::Choosing) {
                    self.fail(reason, &mut out);
                }
            }
            Event::ClaimWritten(_)
            | Event::ClaimConflict(..)
            | Event::ClaimUnavailable
            | Event::LookedUp(_)
            | Event::LookupFailed => self.handle_claim(event, now, &mut out),
            Event::Timer => self.check_time(now, budget, &mut out),
            Event::CallerGone => self.hang_up(&mut out),
            frame => self.handle_frame(frame, now, budget, &mut out),
        }
        out
    }

    /// Whether the caller has been told and no further event matters.
    pub fn is_done(&self) -> bool {
        matches!(self.phase, Phase::Done)
    }

    fn begin(&mut self, budget: &mut RetryBudget, out: &mut Vec<Action>) {
        if matches!(self.phase, Phase::Idle) {
            budget.deposit();
            self.choose(out);
        }
    }

    fn choose(&mut self, out: &mut Vec<Action>) {
        self.phase = Phase::Choosing;
        out.push(Action::SetTimer(self.spec.deadline));
        let avoid = self.avoid.clone();
        out.push(Action::Choose { avoid });
    }

    fn take_target(&mut self, target: Target, now: Time, out: &mut Vec<Action>) {
        if !matches!(self.phase, Phase::Choosing) {
            return;
        }
        if now >= self.spec.deadline {
            self.fail(Reason::Deadline, out);
        } else if self.spec.key.is_some() {
            let replaces = self.held.as_ref().map(|(_, revision)| *revision);
            self.write_claim(target, replaces, now, out);
        } else {
            self.attempt = self.attempt.next();
            self.dispatch(target, now, out);
        }
    }

    /// Handles the timer in every phase. A timer of an earlier phase may come late, so the
    /// times are compared again.
    fn check_time(&mut self, now: Time, budget: &mut RetryBudget, out: &mut Vec<Action>) {
        match &self.phase {
            Phase::Idle | Phase::Done => {}
            Phase::Choosing | Phase::Claiming(_) | Phase::Asking(_) => {
                if now >= self.spec.deadline {
                    self.fail(Reason::Deadline, out);
                } else {
                    out.push(Action::SetTimer(self.spec.deadline));
                }
            }
            Phase::Sent(_) => self.check_silence(now, out),
            Phase::Cancelling(cancelling) => {
                if now >= cancelling.until {
                    let cause = cancelling.cause;
                    self.taint(cause, now, budget, out);
                } else {
                    out.push(Action::SetTimer(cancelling.until));
                }
            }
        }
    }

    /// The caller hung up: stops the work and waits for nothing.
    fn hang_up(&mut self, out: &mut Vec<Action>) {
        if let Phase::Sent(Sent { target, .. }) = &self.phase {
            self.tainted = true;
            out.push(Action::Cancel {
                attempt: self.attempt,
                target: target.clone(),
            });
        } else if let Phase::Cancelling(_) = &self.phase {
            self.tainted = true;
        }
        self.fail(Reason::CallerGone, out);
    }

    /// Tells the caller that the call failed. `not_run` needs a proof for every attempt.
    fn fail(&mut self, reason: Reason, out: &mut Vec<Action>) {
        let open = matches!(self.phase, Phase::Sent(_) | Phase::Cancelling(_));
        assert!(
            self.tainted || !open,
            "request {} would be reported as not run with attempt {} open",
            self.spec.id,
            self.attempt
        );
        let outcome = if self.tainted || self.contested {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        if outcome == Outcome::NotRun
            && let Some((mut row, revision)) = self.held.take()
        {
            // A repeat can then run without asking the agent, which may be gone by then.
            row.state = ClaimState::NotRun;
            out.push(Action::RecordAnswer {
                row: Box::new(row),
                replaces: Some(revision),
            });
        }
        self.phase = Phase::Done;
        out.push(Action::Fail { outcome, reason });
    }
}
