//! Agent side of a request: the authority on what has run on its backend server.

use std::collections::HashMap;
use std::collections::VecDeque;
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
use crate::claim::MAX_STORED_BYTES;

/// Windows for which finished records and tombstones are kept. A dispatch is admitted in its own
/// window or the next, so a tombstone outlives every dispatch that it must refuse.
const KEPT_WINDOWS: u64 = 3;
/// Length of a dispatch window in seconds.
const WINDOW_SECONDS: u64 = 30;
/// Longest time from the start of a dispatch's window until the attempt starts, by the agent's
/// clock.
pub(crate) const START_LIMIT: Duration = Duration::from_secs(WINDOW_SECONDS * (KEPT_WINDOWS + 1));

/// Options of a ledger.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Length of a dispatch window; at most the default, which claim rows must outlive.
    pub window: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(WINDOW_SECONDS),
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
pub enum LookupResult {
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
pub enum ExecutionResult {
    /// The backend server answered; the answer is kept if it is small and the call has a key.
    Answered(Option<StoredAnswer>),
    /// The backend server failed; the operation may have run.
    Failed,
}

/// What the agent knows of one attempt.
#[derive(Debug)]
enum Record {
    /// Admitted, not started; with the window of the dispatch.
    Queued(Organisation, Window),
    /// Started, not finished.
    Running(Organisation),
    /// Has run.
    Finished(Organisation, Option<Box<StoredAnswer>>),
    /// Never starts.
    Tombstone,
}

/// Attempts that one agent has seen.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    incarnation: Incarnation,
    origin: Time,
    current: Window,
    records: HashMap<(RequestId, Attempt), Record>,
    /// Finished records and tombstones with the window in which they became so, oldest first.
    settled: VecDeque<(Window, RequestId, Attempt)>,
    /// Number of queued and running attempts.
    open: usize,
    draining: bool,
}

impl Ledger {
    /// An empty ledger of one run of the agent.
    pub fn new(settings: Settings, incarnation: Incarnation, now: Time) -> Self {
        assert!(
            !settings.window.is_zero(),
            "the dispatch window of the agent run {incarnation} is zero"
        );
        Self {
            settings,
            incarnation,
            origin: now,
            current: Window(1),
            records: HashMap::new(),
            settled: VecDeque::new(),
            open: 0,
            draining: false,
        }
    }

    /// Admits an attempt to the queue.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal. Every reason but [`Reason::Duplicate`] and
    /// [`Reason::OutcomeLost`] proves that the attempt never runs: a copy of the same dispatch
    /// that arrives later is refused too.
    pub fn admit(&mut self, dispatch: &Dispatch, now: Time) -> Result<(), Reason> {
        self.advance_window(now);
        let attempt = &dispatch.attempt;
        if attempt.incarnation != self.incarnation {
            return Err(Reason::WrongIncarnation);
        }
        // The record comes first: a copy of a dispatch that was admitted must not be refused
        // with a reason that proves not_run.
        let key = (attempt.id, attempt.attempt);
        match self.records.get(&key) {
            Some(Record::Tombstone) => return Err(Reason::Tombstone),
            Some(_) => return Err(Reason::Duplicate),
            None => {}
        }
        if self.has_dropped(attempt.window) {
            return Err(Reason::OutcomeLost);
        }
        if attempt.window > self.current {
            return Err(Reason::Protocol);
        }
        if attempt.window.next() < self.current {
            return Err(Reason::StaleWindow);
        }
        if self.draining {
            self.settle(key, Record::Tombstone);
            return Err(Reason::Draining);
        }
        self.open += 1;
        self.records.insert(
            key,
            Record::Queued(dispatch.organisation.clone(), attempt.window),
        );
        Ok(())
    }

    /// Notes that an admitted attempt was refused by the admission queue and never runs.
    pub fn refuse(&mut self, id: RequestId, attempt: Attempt) {
        match self.records.get(&(id, attempt)) {
            Some(Record::Queued(..)) => {
                self.open -= 1;
                self.settle((id, attempt), Record::Tombstone);
            }
            Some(Record::Tombstone) | None => {}
            Some(record) => {
                panic!("attempt {attempt} of request {id} was refused as {record:?}")
            }
        }
    }

    /// Starts an admitted attempt; false if it was cancelled while it was queued, or waited so
    /// long that its claim may have expired. The entry is then sent a refusal.
    pub fn start(&mut self, id: RequestId, attempt: Attempt, now: Time) -> bool {
        self.advance_window(now);
        let key = (id, attempt);
        match self.records.get(&key) {
            // The tombstone of an attempt that was cancelled long ago has been dropped.
            Some(Record::Tombstone) | None => false,
            Some(Record::Queued(_, window)) if self.has_dropped(*window) => {
                self.open -= 1;
                self.settle(key, Record::Tombstone);
                false
            }
            Some(Record::Queued(organisation, _)) => {
                let running = Record::Running(organisation.clone());
                self.records.insert(key, running);
                true
            }
            Some(record) => {
                panic!("attempt {attempt} of request {id} starts again as {record:?}")
            }
        }
    }

    /// Notes how a started attempt ended.
    pub fn finish(&mut self, id: RequestId, attempt: Attempt, end: ExecutionResult, now: Time) {
        self.advance_window(now);
        let record = self.records.get(&(id, attempt));
        let Some(Record::Running(organisation)) = record else {
            panic!("attempt {attempt} of request {id} finished as {record:?}");
        };
        let answer = match end {
            ExecutionResult::Answered(answer) => {
                answer.filter(|a| a.body.len() <= MAX_STORED_BYTES)
            }
            ExecutionResult::Failed => None,
        };
        let finished = Record::Finished(organisation.clone(), answer.map(Box::new));
        self.open -= 1;
        self.settle((id, attempt), finished);
    }

    /// Prevents an attempt from starting if it has not started.
    ///
    /// The shell stops a running attempt whose operation may be repeated. It lets others run
    /// on: the backend server can't tell how far they came.
    pub fn cancel(&mut self, attempt: &AttemptRef, now: Time) -> CancelState {
        match self.find(attempt, now) {
            Err(state) => state,
            Ok(Record::Queued(..) | Record::Tombstone) => CancelState::NeverStarts,
            Ok(Record::Running(_)) => CancelState::Running,
            Ok(Record::Finished(..)) => CancelState::Finished,
        }
    }

    /// Tells what became of an attempt, and prevents it from starting if it has not started.
    ///
    /// Only the organisation that sent the attempt learns anything of it.
    pub fn lookup(
        &mut self,
        attempt: &AttemptRef,
        owner: &Organisation,
        now: Time,
    ) -> LookupResult {
        let key = (attempt.id, attempt.attempt);
        if let Some(Record::Queued(known, _) | Record::Running(known) | Record::Finished(known, _)) =
            self.records.get(&key)
            && known != owner
        {
            return LookupResult::Forgotten;
        }
        match self.find(attempt, now) {
            Err(CancelState::OtherIncarnation) => LookupResult::OtherIncarnation,
            Err(_) => LookupResult::Forgotten,
            Ok(Record::Queued(..) | Record::Tombstone) => LookupResult::NeverStarts,
            Ok(Record::Running(_)) => LookupResult::Running,
            Ok(Record::Finished(_, Some(answer))) => LookupResult::Finished((**answer).clone()),
            Ok(Record::Finished(_, None)) => LookupResult::FinishedWithoutAnswer,
        }
    }

    /// The current window; dispatches carry it.
    pub fn window(&self) -> Window {
        self.current
    }

    /// Advances the window and drops old records.
    pub fn advance_window(&mut self, now: Time) {
        let windows = now.since(self.origin).as_micros() / self.settings.window.as_micros();
        let reached = Window(1 + u64::try_from(windows).unwrap_or(u64::MAX - 1));
        if reached <= self.current {
            return;
        }
        self.current = reached;
        while let Some(&(window, id, attempt)) = self.settled.front() {
            if !self.has_dropped(window) {
                break;
            }
            self.settled.pop_front();
            self.records.remove(&(id, attempt));
        }
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
        self.open == 0
    }

    /// Whether records settled in this window have been dropped. An attempt is settled in the
    /// window of its dispatch or later, so this also tells whether its record can be missing.
    fn has_dropped(&self, window: Window) -> bool {
        window.0.saturating_add(KEPT_WINDOWS) < self.current.0
    }

    /// The record of an attempt, after a tombstone was left if it had not started.
    fn find(&mut self, attempt: &AttemptRef, now: Time) -> Result<&Record, CancelState> {
        self.advance_window(now);
        if attempt.incarnation != self.incarnation {
            return Err(CancelState::OtherIncarnation);
        }
        let key = (attempt.id, attempt.attempt);
        match self.records.get(&key) {
            Some(Record::Queued(..)) => {
                self.open -= 1;
                self.settle(key, Record::Tombstone);
            }
            Some(_) => {}
            // A tombstone left now would not outlast a dispatch of a window yet to come.
            None if self.has_dropped(attempt.window) || attempt.window > self.current => {
                return Err(CancelState::Forgotten);
            }
            None => self.settle(key, Record::Tombstone),
        }
        self.records.get(&key).ok_or(CancelState::Forgotten)
    }

    fn settle(&mut self, key: (RequestId, Attempt), record: Record) {
        self.settled.push_back((self.current, key.0, key.1));
        self.records.insert(key, record);
    }
}
