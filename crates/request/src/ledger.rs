//! Agent side of a request: the authority on what has run on its backend server.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use siskinbend_types::Attempt;
use siskinbend_types::Incarnation;
use siskinbend_types::Organisation;
use siskinbend_types::Reason;
use siskinbend_types::RequestId;
use siskinbend_types::Time;
use siskinbend_types::Window;

use crate::StoredAnswer;

/// Options of a ledger.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Length of a dispatch window.
    pub window: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(30),
        }
    }
}

/// Names one attempt and the run and window of the agent for which it was dispatched.
///
/// The window belongs to it: a record is kept for a few windows only, and without the window
/// "no record" could not be told from "record dropped".
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRef {
    /// The request.
    pub id: RequestId,
    /// The attempt.
    pub attempt: Attempt,
    /// The agent's incarnation at dispatch.
    pub incarnation: Incarnation,
    /// The agent's window at dispatch.
    pub window: Window,
}

/// An attempt that asks to run.
#[derive(Debug, Clone)]
pub struct Dispatch {
    /// The attempt with its incarnation and window.
    pub attempt: AttemptRef,
    /// The caller's organisation.
    pub organisation: Organisation,
    /// Whether the operation may be repeated.
    pub idempotent: bool,
}

/// Answer to a cancel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CancelState {
    /// Proved: the attempt has not run and never will.
    NeverStarts,
    /// The attempt was started and not yet finished.
    Running,
    /// The attempt has run.
    Finished,
    /// The attempt was meant for another run of the agent.
    OtherIncarnation,
    /// The attempt is too old for the agent to know.
    Forgotten,
}

/// Answer to a lookup.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Found {
    /// The attempt has run; its answer was kept.
    Finished(StoredAnswer),
    /// The attempt has run; it failed or its answer was not kept.
    FinishedWithoutAnswer,
    /// The attempt was started and not yet finished.
    Running,
    /// Proved: the attempt has not run and never will.
    NeverStarts,
    /// The attempt was meant for another run of the agent.
    OtherIncarnation,
    /// The attempt is too old for the agent to know, or belongs to another organisation.
    Forgotten,
}

/// How a started attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Finish {
    /// The backend server answered; the answer is kept if it is small and the call has a key.
    Answered(Option<StoredAnswer>),
    /// The backend server failed; the operation may have run.
    Failed,
}

/// Attempts that one agent has seen.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    incarnation: Incarnation,
    origin: Time,
    draining: bool,
}

impl Ledger {
    /// An empty ledger of one run of the agent.
    pub fn new(settings: Settings, incarnation: Incarnation, now: Time) -> Self {
        Self {
            settings,
            incarnation,
            origin: now,
            draining: false,
        }
    }

    /// Admits an attempt to the queue.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal. Every reason but [`Reason::Duplicate`] and
    /// [`Reason::OutcomeLost`] proves that the attempt never runs.
    pub fn admit(&mut self, dispatch: &Dispatch, now: Time) -> Result<(), Reason> {
        let _ = now;
        if dispatch.attempt.incarnation == self.incarnation {
            Ok(())
        } else {
            Err(Reason::WrongIncarnation)
        }
    }

    /// Notes that an admitted attempt was refused by the admission queue and never runs.
    pub fn refuse(&mut self, id: RequestId, attempt: Attempt, now: Time) {
        let _ = (id, attempt, now);
    }

    /// Starts an admitted attempt; false if it was cancelled while it was queued.
    pub fn start(&mut self, id: RequestId, attempt: Attempt, now: Time) -> bool {
        let _ = (id, attempt, now);
        true
    }

    /// Notes how a started attempt ended.
    pub fn finish(&mut self, id: RequestId, attempt: Attempt, end: Finish, now: Time) {
        let _ = (id, attempt, end, now);
    }

    /// Prevents an attempt from starting if it has not started.
    pub fn cancel(&mut self, attempt: &AttemptRef, now: Time) -> CancelState {
        let _ = (attempt, now);
        CancelState::Forgotten
    }

    /// Tells what became of an attempt, and prevents it from starting if it has not started.
    pub fn lookup(&mut self, attempt: &AttemptRef, owner: &Organisation, now: Time) -> Found {
        let _ = (attempt, owner, now);
        Found::Forgotten
    }

    /// The current window; dispatches carry it.
    pub fn window(&self) -> Window {
        let _ = (&self.settings, self.origin);
        Window(1)
    }

    /// Advances the window and drops old records.
    pub fn tick(&mut self, now: Time) {
        let _ = now;
    }

    /// Refuses new work from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether new work is refused.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether nothing is queued or running.
    pub fn is_idle(&self) -> bool {
        true
    }
}
