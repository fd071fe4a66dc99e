//! Counts what the backend servers ran and compares it with what callers were told.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use siskinbend_request::StoredAnswer;
use siskinbend_types::Outcome;
use siskinbend_types::Time;
use smol_str::SmolStr;

/// Number of an execution; 0 is none.
pub type Execution = usize;

/// What a caller learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// The answer of this execution.
    Answer(Execution),
    /// The request failed.
    Failure(Outcome),
}

/// A moment in the history of the requests with one key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Moment {
    /// The request with this number was sent.
    Sent(usize),
    /// The caller of the request learned this.
    Told(usize, Told),
}

/// One request as its caller sees it.
#[derive(Debug, Clone)]
pub struct Request {
    /// Whether the operation may be repeated.
    pub idempotent: bool,
    /// The keyed operation to which it belongs.
    pub operation: Option<usize>,
    /// Distinguishes request bodies with the same key.
    pub body: u8,
    runs: u32,
    run: Execution,
    told: Option<Told>,
    head: Execution,
    chunks: u64,
}

#[derive(Debug)]
struct Run {
    request: usize,
    chunks: u64,
}

#[derive(Debug)]
struct Operation {
    retention: Duration,
    starts: Vec<Time>,
    unclaimed: bool,
    history: Vec<Moment>,
}

/// Totals of one run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests sent by callers.
    pub sent: u64,
    /// Requests whose callers got a complete answer.
    pub answered: u64,
    /// Requests whose callers were told `not_run`.
    pub not_run: u64,
    /// Other requests.
    pub unknown: u64,
    /// Operations that may not be repeated and ran more than once.
    pub ran_twice: u64,
    /// Requests that ran though their callers were told `not_run`.
    pub false_not_run: u64,
    /// Answers with a part that belongs to another request or execution.
    pub crossed: u64,
    /// Answers that ended cleanly though a part was missing.
    pub cut_unseen: u64,
    /// Keyed operations that started without a claim row that names the attempt.
    pub unheld: u64,
    /// Executions on all backend servers.
    pub executions: u64,
    /// How often each kind of fault or decision occurred.
    pub seen: BTreeMap<SmolStr, u64>,
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
            self.crossed,
            self.cut_unseen,
            self.unheld,
            self.executions
        )?;
        self.seen
            .iter()
            .try_for_each(|(name, number)| write!(f, " {name}={number}"))
    }
}

/// Knows everything and decides nothing.
#[derive(Debug, Default)]
pub struct Oracle {
    requests: Vec<Request>,
    runs: Vec<Run>,
    operations: Vec<Operation>,
    crossed: u64,
    cut_unseen: u64,
    unheld: u64,
    seen: BTreeMap<SmolStr, u64>,
}

impl Oracle {
    /// Notes a request and returns its number.
    pub fn send(&mut self, idempotent: bool, operation: Option<usize>, body: u8) -> usize {
        let request = self.requests.len();
        if let Some(operation) = operation {
            self.operations[operation]
                .history
                .push(Moment::Sent(request));
        }
        self.requests.push(Request {
            idempotent,
            operation,
            body,
            runs: 0,
            run: 0,
            told: None,
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

    /// How long the claim of an operation is to be kept.
    pub fn retention(&self, operation: usize) -> Duration {
        self.operations[operation].retention
    }

    /// Notes that the operation was dispatched without a claim, as its route allows.
    pub fn note_unclaimed(&mut self, operation: usize) {
        self.operations[operation].unclaimed = true;
        self.note("unclaimed");
    }

    /// Notes that a fault or a decision occurred.
    pub fn note(&mut self, name: &'static str) {
        *self.seen.entry(SmolStr::new_static(name)).or_default() += 1;
    }

    /// A backend server starts to run a request.
    pub fn start(&mut self, request: usize, chunks: u64, now: Time) -> Execution {
        self.runs.push(Run { request, chunks });
        self.requests[request].runs += 1;
        self.requests[request].run = self.runs.len();
        if let Some(operation) = self.requests[request].operation {
            self.operations[operation].starts.push(now);
        }
        self.runs.len()
    }

    /// A backend server starts an operation whose row names the attempt, or doesn't.
    pub fn check_claim(&mut self, operation: usize, held: bool) {
        if !held && !self.operations[operation].unclaimed {
            self.unheld += 1;
        }
    }

    /// The answer that an agent keeps of an execution.
    pub fn store(&self, execution: Execution) -> StoredAnswer {
        StoredAnswer {
            status: 200,
            content_type: SmolStr::new_static("application/json"),
            body: execution.to_string().into_bytes(),
        }
    }

    /// The head of an answer was passed to the caller.
    pub fn pass_head(&mut self, request: usize, execution: Execution) {
        self.requests[request].head = execution;
        self.check(request, execution);
    }

    /// A chunk of an answer was passed to the caller.
    pub fn pass_chunk(&mut self, request: usize, execution: Execution, index: u64) {
        self.check(request, execution);
        if self.requests[request].chunks != index {
            self.crossed += 1;
        }
        self.requests[request].chunks += 1;
    }

    /// An answer was completed to the caller.
    pub fn pass_end(&mut self, request: usize, execution: Execution) {
        self.check(request, execution);
        let run = &self.runs[execution - 1];
        if run.chunks != self.requests[request].chunks {
            self.cut_unseen += 1;
        }
        self.tell(request, Told::Answer(execution));
    }

    /// The caller got a stored answer.
    pub fn replay(&mut self, request: usize, answer: &StoredAnswer) {
        let execution: Execution = std::str::from_utf8(&answer.body)
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let ran = execution
            .checked_sub(1)
            .and_then(|index| self.runs.get(index))
            .map(|run| &self.requests[run.request]);
        let asked = &self.requests[request];
        if ran.is_none_or(|ran| (ran.operation, ran.body) != (asked.operation, asked.body)) {
            self.crossed += 1;
        }
        self.note("replayed");
        self.tell(request, Told::Answer(execution));
    }

    /// The caller learned how the request ended.
    pub fn tell(&mut self, request: usize, told: Told) {
        let asked = &mut self.requests[request];
        assert!(
            asked.told.is_none(),
            "request {request} ended twice: {:?}, then {told:?}",
            asked.told
        );
        asked.told = Some(told);
        if let Some(operation) = asked.operation {
            let moment = Moment::Told(request, told);
            self.operations[operation].history.push(moment);
        }
    }

    /// Each keyed operation's history, without those that ran without a claim.
    pub fn histories(&self) -> impl Iterator<Item = &[Moment]> {
        self.operations
            .iter()
            .filter(|operation| !operation.unclaimed)
            .map(|operation| operation.history.as_slice())
    }

    /// The last execution of a request, if it ran.
    pub fn find_run(&self, request: usize) -> Option<Execution> {
        Some(self.requests[request].run).filter(|run| *run > 0)
    }

    /// Totals.
    pub fn counts(&self) -> Counts {
        let count = |wanted: fn(&Request) -> bool| {
            self.requests.iter().filter(|r| wanted(r)).count() as u64
        };
        // With a claim, the operation is counted and not each of its requests.
        let repeated = self.requests.iter().filter(|request| {
            let unclaimed = |o: usize| self.operations[o].unclaimed;
            !request.idempotent && request.operation.is_none_or(unclaimed) && request.runs > 1
        });
        let repeated = repeated.count() as u64;
        let operations = self.operations.iter().filter(|o| o.ran_twice()).count() as u64;
        Counts {
            sent: self.requests.len() as u64,
            answered: count(|r| matches!(r.told, Some(Told::Answer(_)))),
            not_run: count(|r| r.told == Some(Told::Failure(Outcome::NotRun))),
            unknown: count(|r| matches!(r.told, None | Some(Told::Failure(Outcome::Unknown)))),
            ran_twice: repeated + operations,
            false_not_run: count(|r| r.told == Some(Told::Failure(Outcome::NotRun)) && r.runs > 0),
            crossed: self.crossed,
            cut_unseen: self.cut_unseen,
            unheld: self.unheld,
            executions: self.runs.len() as u64,
            seen: self.seen.clone(),
        }
    }

    fn check(&mut self, request: usize, execution: Execution) {
        let asked = &self.requests[request];
        let own = execution
            .checked_sub(1)
            .is_some_and(|index| self.runs[index].request == request);
        if !own || asked.head != execution {
            self.crossed += 1;
        }
    }
}

impl Operation {
    /// Whether the operation ran again before its claim can have expired. A claim is written up
    /// to four windows (120 s) before the attempt starts.
    fn ran_twice(&self) -> bool {
        let kept = self.retention.saturating_sub(Duration::from_secs(120));
        let again = |pair: &[Time]| pair[1].since(pair[0]) < kept;
        !self.unclaimed && self.starts.windows(2).any(again)
    }
}
