//! Schedules attempts at one agent: the ledger and the admission queue behind one lock.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use siskinbend_document::Organisation as OrganisationEntry;
use siskinbend_document::Service;
use siskinbend_document::ServiceKind;
use siskinbend_request::AttemptRef;
use siskinbend_request::CancelState;
use siskinbend_request::ExecutionResult;
use siskinbend_request::Ledger;
use siskinbend_request::LookupResult;
use siskinbend_request::ledger;
use siskinbend_routing::Queue;
use siskinbend_routing::RequestInfo;
use siskinbend_routing::WaiterId;
use siskinbend_routing::admission;
use siskinbend_types::Attempt;
use siskinbend_types::Incarnation;
use siskinbend_types::Organisation;
use siskinbend_types::Reason;
use siskinbend_types::RequestId;
use siskinbend_types::Time;
use siskinbend_wire::Dispatch;
use siskinbend_wire::Load;
use siskinbend_wire::Status;

use crate::sync;

/// Identifies an attempt at one agent.
pub(crate) type AttemptKey = (RequestId, Attempt);

/// How the wait of an attempt in the queue ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueueOutcome {
    /// The attempt has a slot and may be sent to the backend server.
    Run,
    /// The attempt will never run.
    Refuse(Reason),
}

/// An entry of the admission queue.
struct QueueItem {
    key: AttemptKey,
    outcome: oneshot::Sender<QueueOutcome>,
}

/// An attempt whose task waits for the queue or for the backend server.
struct OpenAttempt {
    waiter: WaiterId,
    /// Cancels the call to the backend server; used only for idempotent calls.
    cancellation: CancellationToken,
    idempotent: bool,
}

/// An enqueued attempt as its task sees it.
pub(crate) struct PendingAttempt {
    /// Resolves when the attempt leaves the queue; a closed channel means that it was cancelled.
    pub(crate) outcome: oneshot::Receiver<QueueOutcome>,
    /// Cancelled when the call to the backend server must be aborted.
    pub(crate) cancellation: CancellationToken,
}

struct Inner {
    ledger: Ledger,
    queue: Queue<QueueItem>,
    open: HashMap<AttemptKey, OpenAttempt>,
    /// Time without progress that is not reported as idle: a plain service shows no progress until
    /// a call ends, so only a longer time can be a stall.
    stall_grace: Duration,
}

/// Admits, queues, starts and cancels the attempts of one agent.
pub(crate) struct Scheduler {
    inner: Mutex<Inner>,
}

impl Scheduler {
    pub(crate) fn new(incarnation: Incarnation, now: Time) -> Self {
        let inner = Inner {
            ledger: Ledger::new(ledger::Settings::default(), incarnation, now),
            queue: Queue::new(admission::Settings::default()),
            open: HashMap::new(),
            stall_grace: Duration::ZERO,
        };
        Self {
            inner: Mutex::new(inner),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        sync::lock(&self.inner)
    }

    pub(crate) fn configure(&self, service: &Service, organisations: &[OrganisationEntry]) {
        let weights = organisations
            .iter()
            .map(|o| admission::Weight {
                organisation: o.name.clone(),
                weight: o.weight,
            })
            .collect();
        let stall = service.routes.iter().map(|route| route.stall_ms).max();
        let mut inner = self.lock();
        inner.stall_grace = match service.kind {
            ServiceKind::Model => Duration::ZERO,
            ServiceKind::Plain => Duration::from_millis(stall.unwrap_or_default()),
        };
        inner.queue.configure(admission::Settings {
            slots: service.concurrency,
            max_queued: usize::try_from(service.queue_limit).unwrap_or(usize::MAX),
            weights,
            ..admission::Settings::default()
        });
    }

    pub(crate) fn status(&self, own: Incarnation, now: Time) -> Status {
        let inner = self.lock();
        let report = inner.queue.report(now);
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        Status {
            incarnation: own,
            window: inner.ledger.window(),
            draining: inner.ledger.is_draining(),
            load: Load {
                running: report.running,
                queued: report.queued,
                slots: report.slots,
                hold_ms: millis(report.hold),
                idle_ms: if report.idle > inner.stall_grace {
                    millis(report.idle)
                } else {
                    0
                },
            },
            entries: 0,
            newest: None,
        }
    }

    /// Records an attempt in the ledger; called before its body is read.
    pub(crate) fn admit(
        &self,
        id: RequestId,
        dispatch: &Dispatch,
        now: Time,
    ) -> Result<(), Reason> {
        let entry = ledger::Dispatch {
            attempt: AttemptRef {
                id,
                attempt: dispatch.attempt,
                incarnation: dispatch.incarnation,
                window: dispatch.window,
            },
            organisation: dispatch.organisation.clone(),
            idempotent: dispatch.idempotent,
        };
        self.lock().ledger.admit(&entry, now)
    }

    /// Refuses an admitted attempt that has not been queued.
    pub(crate) fn refuse(&self, key: AttemptKey) {
        self.lock().ledger.refuse(key.0, key.1);
    }

    /// Adds an admitted attempt to the queue and starts it at once if a slot is free.
    pub(crate) fn enqueue(
        &self,
        key: AttemptKey,
        info: RequestInfo,
        idempotent: bool,
        now: Time,
    ) -> Result<PendingAttempt, Reason> {
        let (sender, outcome) = oneshot::channel();
        let cancellation = CancellationToken::new();
        let mut inner = self.lock();
        let item = QueueItem {
            key,
            outcome: sender,
        };
        match inner.queue.enqueue(item, info, now) {
            Ok(waiter) => {
                inner.open.insert(
                    key,
                    OpenAttempt {
                        waiter,
                        cancellation: cancellation.clone(),
                        idempotent,
                    },
                );
            }
            Err(reason) => {
                inner.ledger.refuse(key.0, key.1);
                return Err(reason);
            }
        }
        inner.start_queued(now);
        Ok(PendingAttempt {
            outcome,
            cancellation,
        })
    }

    /// Records the end of a running attempt and starts queued ones in the free slot.
    pub(crate) fn finish(
        &self,
        key: AttemptKey,
        organisation: &Organisation,
        finish: ExecutionResult,
        elapsed: Duration,
        now: Time,
    ) {
        let mut inner = self.lock();
        inner.open.remove(&key);
        inner.ledger.finish(key.0, key.1, finish, now);
        inner.queue.release_slot(organisation, elapsed, now);
        inner.start_queued(now);
    }

    /// Records that the backend server made progress, for stall detection.
    pub(crate) fn record_progress(&self, now: Time) {
        self.lock().queue.record_progress(now);
    }

    /// Cancels an attempt: one that has not started never will, a running one is aborted if its
    /// call is idempotent.
    pub(crate) fn cancel(&self, attempt: &AttemptRef, now: Time) -> CancelState {
        let mut inner = self.lock();
        let state = inner.ledger.cancel(attempt, now);
        match state {
            CancelState::NeverStarts => inner.remove_queued((attempt.id, attempt.attempt)),
            CancelState::Running => inner.cancel_running((attempt.id, attempt.attempt)),
            _ => {}
        }
        state
    }

    /// Returns the state of an attempt, and cancels the attempt if it has not started.
    pub(crate) fn lookup(
        &self,
        attempt: &AttemptRef,
        owner: &Organisation,
        now: Time,
    ) -> LookupResult {
        let mut inner = self.lock();
        let found = inner.ledger.lookup(attempt, owner, now);
        if matches!(found, LookupResult::NeverStarts) {
            inner.remove_queued((attempt.id, attempt.attempt));
        }
        found
    }

    pub(crate) fn tick(&self, now: Time) {
        let mut inner = self.lock();
        inner.ledger.advance_window(now);
        inner.start_queued(now);
    }

    /// Refuses new attempts from now on.
    pub(crate) fn drain(&self) {
        self.lock().ledger.drain();
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.lock().ledger.is_idle()
    }
}

impl Inner {
    /// Starts queued attempts while slots are free and refuses those whose deadline has passed.
    fn start_queued(&mut self, now: Time) {
        loop {
            let dequeued = self.queue.dequeue(now);
            for item in dequeued.late {
                self.open.remove(&item.key);
                self.ledger.refuse(item.key.0, item.key.1);
                // The send fails if the entry has disconnected and the task has ended.
                let _ = item.outcome.send(QueueOutcome::Refuse(Reason::Deadline));
            }
            let Some(run) = dequeued.ready else { return };
            if !self.start(run.item, now) {
                self.queue
                    .release_slot(&run.organisation, Duration::ZERO, now);
            }
        }
    }

    /// Starts an attempt unless it was cancelled or its task has ended; returns whether it runs.
    fn start(&mut self, item: QueueItem, now: Time) -> bool {
        let (id, attempt) = item.key;
        if item.outcome.is_closed() {
            self.open.remove(&item.key);
            self.ledger.refuse(id, attempt);
            return false;
        }
        if !self.ledger.start(id, attempt, now) {
            self.open.remove(&item.key);
            return false;
        }
        let notified = item.outcome.send(QueueOutcome::Run).is_ok();
        if !notified {
            // The task ended after the check above. Nothing was sent to the backend server, but the
            // ledger has the attempt as started, so it is recorded as failed.
            self.open.remove(&item.key);
            self.ledger
                .finish(id, attempt, ExecutionResult::Failed, now);
        }
        notified
    }

    /// Removes from the queue an attempt that will never start. Dropping its sender closes the
    /// channel, which ends the wait of its task.
    fn remove_queued(&mut self, key: AttemptKey) {
        if let Some(open) = self.open.remove(&key) {
            self.queue.remove(open.waiter);
        }
    }

    /// Aborts a running attempt if its call is idempotent. Other calls run to their end, so that
    /// the answer is stored for a retry with the same idempotency key.
    fn cancel_running(&mut self, key: AttemptKey) {
        if let Some(open) = self.open.get(&key)
            && open.idempotent
        {
            open.cancellation.cancel();
        }
    }
}
