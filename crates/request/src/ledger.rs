//! Agent side of a request: the authoritative record of what ran on its backend server.

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

/// Windows for which finished records and tombstones are retained. A dispatch is admitted in its
/// own window or the next, so a tombstone outlives every dispatch that it must refuse.
const RETAINED_WINDOWS: u64 = 3;
/// Length of a dispatch window in seconds.
const WINDOW_SECONDS: u64 = 30;
/// Longest time from the start of a dispatch's window until the attempt starts, by the agent's
/// clock.
pub(crate) const MAX_START_DELAY: Duration =
    Duration::from_secs(WINDOW_SECONDS * (RETAINED_WINDOWS + 1));

/// Options of a ledger.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Length of a dispatch window; at most the default, because the retention of claim rows is
    /// derived from the default.
    pub window: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(WINDOW_SECONDS),
        }
    }
}

/// Identifies an attempt together with the agent's incarnation and window at dispatch.
///
/// Records are kept for a few windows only. The window distinguishes an attempt that has no record
/// from one whose record was dropped.
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

/// An attempt to be admitted.
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
    /// The attempt is proved not to have run and never to run.
    NeverStarts,
    /// The attempt has started and not finished.
    Running,
    /// The attempt has run.
    Finished,
    /// The attempt was dispatched to another incarnation of the agent.
    OtherIncarnation,
    /// The record of the attempt may have been dropped.
    Forgotten,
}

/// Answer to a lookup.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LookupResult {
    /// The attempt has run and its answer was stored.
    Finished(StoredAnswer),
    /// The attempt has run; it failed or its answer was not stored.
    FinishedWithoutAnswer,
    /// The attempt has started and not finished.
    Running,
    /// The attempt is proved not to have run and never to run.
    NeverStarts,
    /// The attempt was dispatched to another incarnation of the agent.
    OtherIncarnation,
    /// The record of the attempt may have been dropped, or belongs to another organisation.
    Forgotten,
}

/// How a started attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExecutionResult {
    /// The backend server answered; the answer is stored if it is small and the call has a key.
    Answered(Option<StoredAnswer>),
    /// The backend server failed; the operation may have run.
    Failed,
}

/// State of one attempt.
#[derive(Debug)]
enum Record {
    /// Admitted, not started; with the window of the dispatch.
    Queued(Organisation, Window),
    /// Started, not finished.
    Running(Organisation),
    /// Finished, with the stored answer.
    Finished(Organisation, Option<Box<StoredAnswer>>),
    /// Proved never to start.
    Tombstone,
}

/// Records of the attempts that one agent has received.
#[derive(Debug)]
pub struct Ledger {
    settings: Settings,
    incarnation: Incarnation,
    created: Time,
    current_window: Window,
    records: HashMap<(RequestId, Attempt), Record>,
    /// Finished records and tombstones with the window in which they were settled, oldest first.
    settled: VecDeque<(Window, RequestId, Attempt)>,
    /// Number of queued and running attempts.
    active: usize,
    draining: bool,
}

impl Ledger {
    /// Creates an empty ledger for one run of the agent.
    pub fn new(settings: Settings, incarnation: Incarnation, now: Time) -> Self {
        assert!(
            !settings.window.is_zero(),
            "the dispatch window of the agent incarnation {incarnation} is zero"
        );
        Self {
            settings,
            incarnation,
            created: now,
            current_window: Window(1),
            records: HashMap::new(),
            settled: VecDeque::new(),
            active: 0,
            draining: false,
        }
    }

    /// Admits an attempt to the queue.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal. Every reason except [`Reason::Duplicate`] and
    /// [`Reason::OutcomeLost`] proves that the attempt never runs: a copy of the dispatch that
    /// arrives later is refused too.
    pub fn admit(&mut self, dispatch: &Dispatch, now: Time) -> Result<(), Reason> {
        self.advance_window(now);
        let attempt = &dispatch.attempt;
        if attempt.incarnation != self.incarnation {
            return Err(Reason::WrongIncarnation);
        }
        // The record is checked first: a copy of an admitted dispatch must not be refused with a
        // reason that proves `not_run`.
        let key = (attempt.id, attempt.attempt);
        match self.records.get(&key) {
            Some(Record::Tombstone) => return Err(Reason::Tombstone),
            Some(_) => return Err(Reason::Duplicate),
            None => {}
        }
        if self.has_dropped(attempt.window) {
            return Err(Reason::OutcomeLost);
        }
        if attempt.window > self.current_window {
            return Err(Reason::Protocol);
        }
        if attempt.window.next() < self.current_window {
            return Err(Reason::StaleWindow);
        }
        if self.draining {
            self.settle(key, Record::Tombstone);
            return Err(Reason::Draining);
        }
        self.active += 1;
        self.records.insert(
            key,
            Record::Queued(dispatch.organisation.clone(), attempt.window),
        );
        Ok(())
    }

    /// Records that the admission queue refused an admitted attempt, which therefore never runs.
    pub fn refuse(&mut self, id: RequestId, attempt: Attempt) {
        match self.records.get(&(id, attempt)) {
            Some(Record::Queued(..)) => {
                self.active -= 1;
                self.settle((id, attempt), Record::Tombstone);
            }
            Some(Record::Tombstone) | None => {}
            Some(record) => {
                panic!("attempt {attempt} of request {id} was refused as {record:?}")
            }
        }
    }

    /// Starts an admitted attempt. Returns false if it was cancelled while it was queued, or waited
    /// so long that its claim may have expired; the shell then sends the entry a refusal.
    pub fn start(&mut self, id: RequestId, attempt: Attempt, now: Time) -> bool {
        self.advance_window(now);
        let key = (id, attempt);
        match self.records.get(&key) {
            // Without a record, the attempt was cancelled and its tombstone has been dropped.
            Some(Record::Tombstone) | None => false,
            Some(Record::Queued(_, window)) if self.has_dropped(*window) => {
                self.active -= 1;
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

    /// Records how a started attempt ended.
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
        self.active -= 1;
        self.settle((id, attempt), finished);
    }

    /// Prevents an attempt from starting if it has not started.
    ///
    /// The shell stops a running attempt only if its operation may be repeated, because the backend
    /// server can't report how much of an operation it has done.
    pub fn cancel(&mut self, attempt: &AttemptRef, now: Time) -> CancelState {
        match self.settle_unstarted(attempt, now) {
            Err(state) => state,
            Ok(Record::Queued(..) | Record::Tombstone) => CancelState::NeverStarts,
            Ok(Record::Running(_)) => CancelState::Running,
            Ok(Record::Finished(..)) => CancelState::Finished,
        }
    }

    /// Returns the state of an attempt and prevents it from starting if it has not started.
    ///
    /// The state is revealed only to the organisation that sent the attempt.
    pub fn lookup(
        &mut self,
        attempt: &AttemptRef,
        owner: &Organisation,
        now: Time,
    ) -> LookupResult {
        let key = (attempt.id, attempt.attempt);
        if let Some(
            Record::Queued(sender, _) | Record::Running(sender) | Record::Finished(sender, _),
        ) = self.records.get(&key)
            && sender != owner
        {
            return LookupResult::Forgotten;
        }
        match self.settle_unstarted(attempt, now) {
            Err(CancelState::OtherIncarnation) => LookupResult::OtherIncarnation,
            Err(_) => LookupResult::Forgotten,
            Ok(Record::Queued(..) | Record::Tombstone) => LookupResult::NeverStarts,
            Ok(Record::Running(_)) => LookupResult::Running,
            Ok(Record::Finished(_, Some(answer))) => LookupResult::Finished((**answer).clone()),
            Ok(Record::Finished(_, None)) => LookupResult::FinishedWithoutAnswer,
        }
    }

    /// Returns the current window, which dispatches must carry.
    pub fn window(&self) -> Window {
        self.current_window
    }

    /// Advances the window and drops old records.
    pub fn advance_window(&mut self, now: Time) {
        let windows = now.since(self.created).as_micros() / self.settings.window.as_micros();
        let reached = Window(1 + u64::try_from(windows).unwrap_or(u64::MAX - 1));
        if reached <= self.current_window {
            return;
        }
        self.current_window = reached;
        while let Some(&(window, id, attempt)) = self.settled.front() {
            if !self.has_dropped(window) {
                break;
            }
            self.settled.pop_front();
            self.records.remove(&(id, attempt));
        }
    }

    /// Starts the drain: new attempts are refused from now on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Whether new attempts are refused because the agent drains.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Whether no attempt is queued or running.
    pub fn is_idle(&self) -> bool {
        self.active == 0
    }

    /// Whether records settled in this window have been dropped. An attempt is settled in the
    /// window of its dispatch or later, so only then can the record of an attempt of this window be
    /// missing.
    fn has_dropped(&self, window: Window) -> bool {
        window.0.saturating_add(RETAINED_WINDOWS) < self.current_window.0
    }

    /// Returns the record of an attempt; one that has not started is replaced by a tombstone.
    fn settle_unstarted(
        &mut self,
        attempt: &AttemptRef,
        now: Time,
    ) -> Result<&Record, CancelState> {
        self.advance_window(now);
        if attempt.incarnation != self.incarnation {
            return Err(CancelState::OtherIncarnation);
        }
        let key = (attempt.id, attempt.attempt);
        match self.records.get(&key) {
            Some(Record::Queued(..)) => {
                self.active -= 1;
                self.settle(key, Record::Tombstone);
            }
            Some(_) => {}
            // A tombstone for a dispatch of a future window could be dropped before that dispatch
            // becomes stale.
            None if self.has_dropped(attempt.window) || attempt.window > self.current_window => {
                return Err(CancelState::Forgotten);
            }
            None => self.settle(key, Record::Tombstone),
        }
        self.records.get(&key).ok_or(CancelState::Forgotten)
    }

    fn settle(&mut self, key: (RequestId, Attempt), record: Record) {
        self.settled.push_back((self.current_window, key.0, key.1));
        self.records.insert(key, record);
    }
}
