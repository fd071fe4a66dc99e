//! Entry side of a request: attempts, their outcomes, claims and what the caller is told.

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
use crate::Found;
use crate::RetryBudget;
use crate::StoredAnswer;

/// What a call is and how long it may take.
#[derive(Debug, Clone)]
pub struct Spec {
    /// The call's id, never used before.
    pub id: RequestId,
    /// The caller's organisation.
    pub organisation: Organisation,
    /// The service called.
    pub service: ServiceName,
    /// Whether the operation may be repeated.
    pub idempotent: bool,
    /// The idempotency key; only for operations that may not be repeated.
    pub key: Option<Key>,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Longest silence of an agent.
    pub stall: Duration,
    /// Most attempts in all.
    pub attempts: u32,
}

/// The idempotency key of a call.
#[derive(Debug, Clone)]
pub struct Key {
    /// Digest of the key.
    pub name: Digest,
    /// Digest of the request body.
    pub body: Digest,
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
    Chosen(Target),
    /// No agent can be chosen.
    NoTarget(Reason),
    /// The claim row was written; its revision.
    ClaimWritten(u64),
    /// The claim row is another; its content and revision.
    ClaimHeld(Box<ClaimRow>, u64),
    /// It could not be found out whether the claim row was written.
    ClaimUnavailable,
    /// The agent named in a claim row answered.
    LookedUp(Found),
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
    Cut(Attempt, Reason),
    /// The stream of the attempt broke.
    LinkLost(Attempt),
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
    /// [`Event::ClaimHeld`] if there is another row, else [`Event::ClaimUnavailable`], also if
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
    /// Pass the head of the answer to the caller.
    PassHead,
    /// Pass the chunk to the caller.
    PassChunk,
    /// Complete the answer to the caller.
    PassEnd,
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

/// One call of a caller.
#[derive(Debug)]
pub struct Call {
    spec: Spec,
    done: bool,
}

impl Call {
    /// A call that waits for [`Event::Start`].
    pub fn new(spec: Spec) -> Self {
        Self { spec, done: false }
    }

    /// Handles an event and returns what to do, in order.
    pub fn handle(&mut self, event: Event, now: Time, budget: &mut RetryBudget) -> Vec<Action> {
        let _ = now;
        let start = matches!(event, Event::Start);
        drop(event);
        if !start {
            return Vec::new();
        }
        budget.deposit();
        vec![
            Action::SetTimer(self.spec.deadline),
            Action::Choose { avoid: Vec::new() },
        ]
    }

    /// Whether the caller has been told and no further event matters.
    pub fn is_done(&self) -> bool {
        self.done
    }
}
