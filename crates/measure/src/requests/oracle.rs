//! Records which requests the backend servers executed and compares this with the outcomes that
//! callers received.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use siskinbend_request::StoredAnswer;
use siskinbend_types::Outcome;
use siskinbend_types::Time;
use smol_str::SmolStr;

/// Number of an execution; 0 is none.
pub type Execution = usize;

/// Outcome of a request as its caller received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The answer of this execution.
    Answer(Execution),
    /// The request failed.
    Failure(Outcome),
}

/// An event in the history of the requests with one idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HistoryEvent {
    /// The request with this number was sent.
    Sent(usize),
    /// The caller of the request received this outcome.
    Completed(usize, CallerOutcome),
}

/// A request and what its caller has received.
#[derive(Debug, Clone)]
pub struct Request {
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// The keyed operation to which it belongs.
    pub operation: Option<usize>,
    /// Distinguishes request bodies with the same key.
    pub body: u8,
    runs: u32,
    run: Execution,
    outcome: Option<CallerOutcome>,
    head: Execution,
    chunks: u64,
}

#[derive(Debug)]
struct ExecutionRecord {
    request: usize,
    chunks: u64,
}

#[derive(Debug)]
struct Operation {
    retention: Duration,
    starts: Vec<Time>,
    unclaimed: bool,
    history: Vec<HistoryEvent>,
}

/// Totals of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests sent by callers.
    pub sent: u64,
    /// Requests with a complete answer.
    pub answered: u64,
    /// Requests with the outcome `not_run`.
    pub not_run: u64,
    /// Requests with the outcome `unknown` or none.
    pub unknown: u64,
    /// Non-idempotent requests and keyed operations that were executed more than once.
    pub ran_twice: u64,
    /// Requests with the outcome `not_run` that were executed.
    pub false_not_run: u64,
    /// Violations in which a part of an answer belongs to another request or execution.
    pub mixed_answers: u64,
    /// Answers that ended without an error although a part was missing.
    pub undetected_truncations: u64,
    /// Executions of keyed operations that started without a claim row for their attempt.
    pub missing_claims: u64,
    /// Executions on all backend servers.
    pub executions: u64,
    /// Number of occurrences of each kind of fault or decision.
    pub occurrences: BTreeMap<SmolStr, u64>,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "sent={} answered={} not_run={} unknown={} ran_twice={} false_not_run={} \
             crossed={} cut_unseen={} unheld={} executions={}",
            self.sent,
            self.answered,
            self.not_run,
            self.unknown,
            self.ran_twice,
            self.false_not_run,
            self.mixed_answers,
            self.undetected_truncations,
            self.missing_claims,
            self.executions
        )?;
        self.occurrences
            .iter()
            .try_for_each(|(name, number)| write!(f, " {name}={number}"))
    }
}

/// Observes all requests and executions without influencing the run.
#[derive(Debug, Default)]
pub struct Oracle {
    requests: Vec<Request>,
    executions: Vec<ExecutionRecord>,
    operations: Vec<Operation>,
    mixed_answers: u64,
    undetected_truncations: u64,
    missing_claims: u64,
    occurrences: BTreeMap<SmolStr, u64>,
}

impl Oracle {
    /// Records a request and returns its number.
    pub fn send(&mut self, idempotent: bool, operation: Option<usize>, body: u8) -> usize {
        let request = self.requests.len();
        if let Some(operation) = operation {
            self.operations[operation]
                .history
                .push(HistoryEvent::Sent(request));
        }
        self.requests.push(Request {
            idempotent,
            operation,
            body,
            runs: 0,
            run: 0,
            outcome: None,
            head: 0,
            chunks: 0,
        });
        request
    }

    /// A request by its number.
    pub fn request(&self, request: usize) -> &Request {
        &self.requests[request]
    }

    /// Adds a keyed operation and returns its number.
    pub fn add_operation(&mut self, retention: Duration) -> usize {
        self.operations.push(Operation {
            retention,
            starts: Vec::new(),
            unclaimed: false,
            history: Vec::new(),
        });
        self.operations.len() - 1
    }

    /// Retention of the claim of an operation.
    pub fn retention(&self, operation: usize) -> Duration {
        self.operations[operation].retention
    }

    /// Records that the operation was dispatched without a claim, as its route allows.
    pub fn note_unclaimed(&mut self, operation: usize) {
        self.operations[operation].unclaimed = true;
        self.count_event("unclaimed");
    }

    /// Counts a fault or a decision under its name in the output.
    pub fn count_event(&mut self, name: &'static str) {
        *self
            .occurrences
            .entry(SmolStr::new_static(name))
            .or_default() += 1;
    }

    /// Records that a backend server starts to execute a request.
    pub fn start(&mut self, request: usize, chunks: u64, now: Time) -> Execution {
        self.executions.push(ExecutionRecord { request, chunks });
        self.requests[request].runs += 1;
        self.requests[request].run = self.executions.len();
        if let Some(operation) = self.requests[request].operation {
            self.operations[operation].starts.push(now);
        }
        self.executions.len()
    }

    /// Counts a violation if a keyed operation starts without the claim that it needs.
    pub fn check_claim(&mut self, operation: usize, claimed: bool) {
        if !claimed && !self.operations[operation].unclaimed {
            self.missing_claims += 1;
        }
    }

    /// Returns the answer that an agent stores for an execution.
    pub fn store(&self, execution: Execution) -> StoredAnswer {
        StoredAnswer {
            status: 200,
            content_type: SmolStr::new_static("application/json"),
            body: execution.to_string().into_bytes(),
        }
    }

    /// Records that the caller received the head of an answer.
    pub fn pass_head(&mut self, request: usize, execution: Execution) {
        self.requests[request].head = execution;
        self.check_execution(request, execution);
    }

    /// Records that the caller received a chunk of an answer.
    pub fn pass_chunk(&mut self, request: usize, execution: Execution, index: u64) {
        self.check_execution(request, execution);
        if self.requests[request].chunks != index {
            self.mixed_answers += 1;
        }
        self.requests[request].chunks += 1;
    }

    /// Records that the caller received the end of an answer.
    pub fn pass_end(&mut self, request: usize, execution: Execution) {
        self.check_execution(request, execution);
        let run = &self.executions[execution - 1];
        if run.chunks != self.requests[request].chunks {
            self.undetected_truncations += 1;
        }
        self.record_outcome(request, CallerOutcome::Answer(execution));
    }

    /// Records that the caller received a stored answer.
    pub fn replay(&mut self, request: usize, answer: &StoredAnswer) {
        let execution: Execution = std::str::from_utf8(&answer.body)
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let ran = execution
            .checked_sub(1)
            .and_then(|index| self.executions.get(index))
            .map(|run| &self.requests[run.request]);
        let sent = &self.requests[request];
        if ran.is_none_or(|ran| (ran.operation, ran.body) != (sent.operation, sent.body)) {
            self.mixed_answers += 1;
        }
        self.count_event("replayed");
        self.record_outcome(request, CallerOutcome::Answer(execution));
    }

    /// Records the outcome that the caller received.
    pub fn record_outcome(&mut self, request: usize, outcome: CallerOutcome) {
        let sent = &mut self.requests[request];
        assert!(
            sent.outcome.is_none(),
            "request {request} ended twice: {:?}, then {outcome:?}",
            sent.outcome
        );
        sent.outcome = Some(outcome);
        if let Some(operation) = sent.operation {
            let event = HistoryEvent::Completed(request, outcome);
            self.operations[operation].history.push(event);
        }
    }

    /// Returns the history of each keyed operation that was never dispatched without a claim.
    pub fn histories(&self) -> impl Iterator<Item = &[HistoryEvent]> {
        self.operations
            .iter()
            .filter(|operation| !operation.unclaimed)
            .map(|operation| operation.history.as_slice())
    }

    /// Returns the last execution of a request, if there was one.
    pub fn last_execution(&self, request: usize) -> Option<Execution> {
        Some(self.requests[request].run).filter(|run| *run > 0)
    }

    /// Returns the totals.
    pub fn counts(&self) -> Counts {
        let count = |wanted: fn(&Request) -> bool| {
            self.requests.iter().filter(|r| wanted(r)).count() as u64
        };
        // Requests of a claimed operation are counted once, with the operation.
        let repeated = self.requests.iter().filter(|request| {
            let unclaimed = |o: usize| self.operations[o].unclaimed;
            !request.idempotent && request.operation.is_none_or(unclaimed) && request.runs > 1
        });
        let repeated = repeated.count() as u64;
        let operations = self.operations.iter().filter(|o| o.ran_twice()).count() as u64;
        Counts {
            sent: self.requests.len() as u64,
            answered: count(|r| matches!(r.outcome, Some(CallerOutcome::Answer(_)))),
            not_run: count(|r| r.outcome == Some(CallerOutcome::Failure(Outcome::NotRun))),
            unknown: count(|r| {
                matches!(
                    r.outcome,
                    None | Some(CallerOutcome::Failure(Outcome::Unknown))
                )
            }),
            ran_twice: repeated + operations,
            false_not_run: count(|r| {
                r.outcome == Some(CallerOutcome::Failure(Outcome::NotRun)) && r.runs > 0
            }),
            mixed_answers: self.mixed_answers,
            undetected_truncations: self.undetected_truncations,
            missing_claims: self.missing_claims,
            executions: self.executions.len() as u64,
            occurrences: self.occurrences.clone(),
        }
    }

    fn check_execution(&mut self, request: usize, execution: Execution) {
        let sent = &self.requests[request];
        let own = execution
            .checked_sub(1)
            .is_some_and(|index| self.executions[index].request == request);
        if !own || sent.head != execution {
            self.mixed_answers += 1;
        }
    }
}

impl Operation {
    /// Returns whether the operation was executed again before its claim can have expired. A claim
    /// is written up to four windows (120 s) before the attempt starts.
    fn ran_twice(&self) -> bool {
        let kept = self.retention.saturating_sub(Duration::from_secs(120));
        let again = |pair: &[Time]| pair[1].since(pair[0]) < kept;
        !self.unclaimed && self.starts.windows(2).any(again)
    }
}
