//! The agent's decisions behind one lock: ledger and admission queue.

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
pub(crate) type Key = (RequestId, Attempt);

/// What the queue decided about a waiting attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It has a slot and may be sent to the backend server.
    Run,
    /// It will never run.
    Refuse(Reason),
}

/// An attempt in the queue.
struct Job {
    key: Key,
    verdict: oneshot::Sender<Verdict>,
}

/// An attempt whose task waits for a verdict or an answer.
struct Open {
    place: WaiterId,
    /// Stops the work at the backend server; only calls that may be repeated are stopped.
    stop: CancellationToken,
    idempotent: bool,
}

/// An attempt that was put in the queue.
pub(crate) struct Queued {
    /// Resolves once the queue has decided; an error means that the attempt was cancelled.
    pub(crate) verdict: oneshot::Receiver<Verdict>,
    /// Fires when the work at the backend server must stop.
    pub(crate) stop: CancellationToken,
}

struct Inner {
    ledger: Ledger,
    queue: Queue<Job>,
    open: HashMap<Key, Open>,
    /// Silence of the backend server that is no sign of a stall: a plain service shows no progress
    /// within a call.
    quiet: Duration,
}

/// Ledger and queue of one agent.
pub(crate) struct Core {
    inner: Mutex<Inner>,
}

impl Core {
    pub(crate) fn new(incarnation: Incarnation, now: Time) -> Self {
        let inner = Inner {
            ledger: Ledger::new(ledger::Settings::default(), incarnation, now),
            queue: Queue::new(admission::Settings::default()),
            open: HashMap::new(),
            quiet: Duration::ZERO,
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
        inner.quiet = match service.kind {
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
                idle_ms: if report.idle > inner.quiet {
                    millis(report.idle)
                } else {
                    0
                },
            },
            entries: 0,
            newest: None,
        }
    }

    /// Enters an attempt in the ledger before its body is read.
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

    /// Gives up an admitted attempt that was never queued.
    pub(crate) fn refuse(&self, key: Key) {
        self.lock().ledger.refuse(key.0, key.1);
    }

    /// Puts an admitted attempt in the queue.
    pub(crate) fn offer(
        &self,
        key: Key,
        ticket: RequestInfo,
        idempotent: bool,
        now: Time,
    ) -> Result<Queued, Reason> {
        let (sender, verdict) = oneshot::channel();
        let stop = CancellationToken::new();
        let mut inner = self.lock();
        let job = Job {
            key,
            verdict: sender,
        };
        match inner.queue.enqueue(job, ticket, now) {
            Ok(place) => {
                inner.open.insert(
                    key,
                    Open {
                        place,
                        stop: stop.clone(),
                        idempotent,
                    },
                );
            }
            Err(reason) => {
                inner.ledger.refuse(key.0, key.1);
                return Err(reason);
            }
        }
        inner.pump(now);
        Ok(Queued { verdict, stop })
    }

    /// Records that the backend server is done with an attempt, and starts the next one.
    pub(crate) fn finish(
        &self,
        key: Key,
        who: &Organisation,
        end: ExecutionResult,
        spent: Duration,
        now: Time,
    ) {
        let mut inner = self.lock();
        inner.open.remove(&key);
        inner.ledger.finish(key.0, key.1, end, now);
        inner.queue.release_slot(who, spent, now);
        inner.pump(now);
    }

    /// Notes that the backend server made progress.
    pub(crate) fn note_progress(&self, now: Time) {
        self.lock().queue.record_progress(now);
    }

    /// Cancels an attempt: one that hasn't started never will, a repeatable one is stopped.
    pub(crate) fn cancel(&self, attempt: &AttemptRef, now: Time) -> CancelState {
        let mut inner = self.lock();
        let state = inner.ledger.cancel(attempt, now);
        match state {
            CancelState::NeverStarts => inner.discard((attempt.id, attempt.attempt)),
            CancelState::Running => inner.stop((attempt.id, attempt.attempt)),
            _ => {}
        }
        state
    }

    /// Tells what became of an attempt, and cancels it if it hasn't started.
    pub(crate) fn lookup(
        &self,
        attempt: &AttemptRef,
        owner: &Organisation,
        now: Time,
    ) -> LookupResult {
        let mut inner = self.lock();
        let found = inner.ledger.lookup(attempt, owner, now);
        if matches!(found, LookupResult::NeverStarts) {
            inner.discard((attempt.id, attempt.attempt));
        }
        found
    }

    pub(crate) fn tick(&self, now: Time) {
        let mut inner = self.lock();
        inner.ledger.advance_window(now);
        inner.pump(now);
    }

    pub(crate) fn drain(&self) {
        self.lock().ledger.drain();
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.lock().ledger.is_idle()
    }
}

impl Inner {
    /// Starts as many attempts as there are free slots and refuses those that are too late.
    fn pump(&mut self, now: Time) {
        loop {
            let taken = self.queue.dequeue(now);
            for job in taken.late {
                self.open.remove(&job.key);
                self.ledger.refuse(job.key.0, job.key.1);
                // The task is gone if the entry hung up; nothing is left to tell.
                let _ = job.verdict.send(Verdict::Refuse(Reason::Deadline));
            }
            let Some(run) = taken.ready else { return };
            if !self.start(run.item, now) {
                self.queue
                    .release_slot(&run.organisation, Duration::ZERO, now);
            }
        }
    }

    /// Starts an attempt unless it was cancelled or its task is gone.
    fn start(&mut self, job: Job, now: Time) -> bool {
        let (id, attempt) = job.key;
        if job.verdict.is_closed() {
            self.open.remove(&job.key);
            self.ledger.refuse(id, attempt);
            return false;
        }
        if !self.ledger.start(id, attempt, now) {
            self.open.remove(&job.key);
            return false;
        }
        let told = job.verdict.send(Verdict::Run).is_ok();
        if !told {
            // The task ended between the check and now; nothing was sent to the backend server,
            // but the ledger knows the attempt as started.
            self.open.remove(&job.key);
            self.ledger
                .finish(id, attempt, ExecutionResult::Failed, now);
        }
        told
    }

    /// Takes an attempt that will never start out of the queue; its task sees the closed channel.
    fn discard(&mut self, key: Key) {
        if let Some(open) = self.open.remove(&key) {
            self.queue.remove(open.place);
        }
    }

    /// Stops the work of a running attempt if the call may be repeated. Other work goes on, so
    /// that its answer is kept for a repeat with the same key.
    fn stop(&mut self, key: Key) {
        if let Some(open) = self.open.get(&key)
            && open.idempotent
        {
            open.stop.cancel();
        }
    }
}
