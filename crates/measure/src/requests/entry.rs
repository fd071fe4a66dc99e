//! Simulates an entry, which executes the actions of its calls.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use rand::Rng;
use siskinbend_request::Action;
use siskinbend_request::AttemptRef;
use siskinbend_request::Call;
use siskinbend_request::ClaimRow;
use siskinbend_request::ClaimState;
use siskinbend_request::Event;
use siskinbend_request::OnOutage;
use siskinbend_request::RetryBudget;
use siskinbend_request::Target;
use siskinbend_request::claim;
use siskinbend_request::ledger;
use siskinbend_types::AgentId;
use siskinbend_types::Attempt;
use siskinbend_types::Reason;
use siskinbend_types::RequestId;
use siskinbend_types::Time;
use smol_str::format_smolstr;

use super::faults::AGENT_COUNT;
use super::faults::MAX_REPORT_AGE_US;
use super::faults::QUERY_TIMEOUT_US;
use super::load::name;
use super::load::organisation;
use super::load::outage_policy;
use super::oracle::CallerOutcome;
use super::oracle::Execution;
use super::table::Writer;
use super::world::AgentReport;
use super::world::Origin;
use super::world::Process;
use super::world::SimEvent;
use super::world::TableQuery;
use super::world::TableReply;
use super::world::ToAgent;
use super::world::World;

/// Retries that the retry budget of an entry accumulates.
const BURST: u32 = 10;

/// Query whose reply a call waits for.
#[derive(Debug, Clone)]
enum Pending {
    /// A claim write.
    Write(String, Writer),
    /// The read after a claim write that got no response.
    ReadBack(Writer),
    /// A lookup.
    Lookup,
}

/// A call at an entry.
#[derive(Debug)]
pub struct ActiveCall {
    request: usize,
    call: Call,
    timer: Time,
    query_id: u32,
    pending: Option<Pending>,
    execution: Execution,
    dispatches: u32,
    /// False if the last claim write failed because the table was unavailable.
    claimed: bool,
}

impl ActiveCall {
    /// Creates a call that has not started.
    pub fn new(request: usize, call: Call) -> Self {
        Self {
            request,
            call,
            timer: Time(0),
            query_id: 0,
            pending: None,
            execution: 0,
            dispatches: 0,
            claimed: true,
        }
    }
}

/// An entry.
#[derive(Debug)]
pub struct Entry {
    /// State of the process.
    pub process: Process,
    /// Active calls by request.
    pub calls: BTreeMap<RequestId, ActiveCall>,
    budget: RetryBudget,
    reports: Vec<Option<(AgentReport, Time)>>,
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            process: Process::default(),
            calls: BTreeMap::new(),
            budget: RetryBudget::new(BURST),
            reports: vec![None; AGENT_COUNT],
        }
    }
}

/// Returns the name of an agent.
pub fn agent_name(agent: usize) -> AgentId {
    name(format_smolstr!("agent-{agent}"))
}

/// Returns the index of an agent.
fn agent_index(agent: &AgentId) -> usize {
    let digits = agent.as_str().trim_start_matches("agent-");
    digits
        .parse()
        .unwrap_or_else(|_| panic!("{agent} is not an agent"))
}

impl World {
    pub(super) fn start_entry(&mut self, entry: usize) {
        let process = &mut self.entries[entry].process;
        process.run += 1;
        process.alive = true;
    }

    pub(super) fn kill_entry(&mut self, entry: usize) {
        let killed = &mut self.entries[entry];
        if !killed.process.alive {
            return;
        }
        let run = killed.process.run;
        // A real process starts with a new clock. The simulated one keeps its lag, because simulated
        // time must not run backwards.
        let clock_lag = killed.process.clock_lag;
        *killed = Entry::default();
        killed.process.run = run;
        killed.process.clock_lag = clock_lag;
        self.oracle.count_event("entry_kills");
        for (agent, origin, attempt) in self.find_attempts(entry, run) {
            // An agent that detects the closed connection cancels the attempt.
            if self.draw_bool(0.8) {
                let run = self.agents[agent].process.run;
                let cancel = Box::new(ToAgent::Cancel(attempt));
                self.send(SimEvent::ToAgent(agent, run, origin, cancel));
            }
        }
        let pause = self.draw_log_uniform(100_000, 5_000_000);
        self.push(pause, SimEvent::StartEntry(entry));
    }

    /// Handles an event of an entry.
    pub(super) fn deliver_to_entry(&mut self, event: SimEvent) {
        match event {
            SimEvent::CallerDisconnect(origin) => self.deliver(origin, Event::CallerGone, 0),
            SimEvent::ToEntry(origin, event, execution) => self.deliver(origin, *event, execution),
            SimEvent::LookupReply(origin, query_id, event) => {
                if self.finish_query(origin, query_id).is_some() {
                    self.deliver(origin, *event, 0);
                }
            }
            SimEvent::TableReply(origin, query_id, reply) => {
                if let Some(pending) = self.finish_query(origin, query_id) {
                    self.deliver(origin, event_from_reply(reply, &pending), 0);
                }
            }
            SimEvent::QueryTimeout(origin, query_id) => self.handle_query_timeout(origin, query_id),
            SimEvent::Timer(origin, at) => {
                let early = self.draw_bool(0.01);
                let active = self.find_call(origin);
                if active.is_some_and(|active| active.timer == at || early) {
                    self.deliver(origin, Event::Timer, 0);
                }
            }
            SimEvent::Report(entry, run, agent, report) => {
                let known = &mut self.entries[entry];
                if known.process.run == run && known.process.alive {
                    known.reports[agent] = Some((report, self.now));
                }
            }
            event => panic!("{event:?} is not an event of an entry"),
        }
    }

    fn find_call(&mut self, origin: Origin) -> Option<&mut ActiveCall> {
        let entry = &mut self.entries[origin.entry];
        let current = entry.process.alive && entry.process.run == origin.run;
        entry.calls.get_mut(&origin.id).filter(|_| current)
    }

    fn deliver(&mut self, origin: Origin, event: Event, execution: Execution) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let now = self.entries[origin.entry].process.clock(self.now);
            let index = match event {
                Event::Chunk(_, index) => index,
                _ => 0,
            };
            let mut budget = self.entries[origin.entry].budget.clone();
            let Some(active) = self.find_call(origin) else {
                return;
            };
            active.claimed &= !matches!(event, Event::ClaimUnavailable);
            let actions = active.call.handle(event, now, &mut budget);
            let done = active.call.is_done();
            self.entries[origin.entry].budget = budget;
            for action in actions {
                self.execute(origin, action, (execution, index), &mut events);
            }
            if done {
                self.entries[origin.entry].calls.remove(&origin.id);
            }
        }
    }

    fn execute(
        &mut self,
        origin: Origin,
        action: Action,
        (execution, index): (Execution, u64),
        events: &mut VecDeque<Event>,
    ) {
        let Some(active) = self.find_call(origin) else {
            return;
        };
        let request = active.request;
        match action {
            Action::Choose { avoid } => events.push_back(self.choose_target(origin.entry, &avoid)),
            Action::WriteClaim { row, replaces } => self.write_claim(origin, &row, replaces),
            Action::Lookup(row) => self.look_up(origin, &row),
            Action::Dispatch { attempt, target } => {
                events.extend(self.dispatch(origin, attempt, &target));
            }
            Action::Cancel { attempt, target } => {
                self.oracle.count_event("cancels");
                let message = ToAgent::Cancel(attempt_ref(origin.id, attempt, &target));
                self.send_agent(origin, &target.agent, message);
            }
            Action::Resume {
                attempt,
                target,
                received,
            } => {
                self.oracle.count_event("resumes");
                let message = ToAgent::Resume(attempt_ref(origin.id, attempt, &target), received);
                self.send_agent(origin, &target.agent, message);
            }
            Action::ForwardHead => {
                active.execution = execution;
                self.oracle.pass_head(request, execution);
            }
            Action::ForwardChunk => self.oracle.pass_chunk(request, execution, index),
            Action::ForwardEnd => self.oracle.pass_end(request, execution),
            Action::Replay(answer) => self.oracle.replay(request, &answer),
            Action::RecordAnswer { row, replaces } => self.write_answer(origin, row, replaces),
            Action::Fail { outcome, reason } => {
                self.oracle.count_event(reason.as_str());
                self.oracle
                    .record_outcome(request, CallerOutcome::Failure(outcome));
            }
            Action::SetTimer(at) => {
                active.timer = at;
                let clock_lag = self.entries[origin.entry].process.clock_lag;
                self.push_at(Time(at.0 + clock_lag), SimEvent::Timer(origin, at));
            }
        }
    }

    fn choose_target(&mut self, entry: usize, avoid: &[AgentId]) -> Event {
        let reports = &self.entries[entry].reports;
        let known = |agent: &usize| reports[*agent].is_some();
        let all: Vec<usize> = (0..AGENT_COUNT).filter(known).collect();
        let usable: Vec<usize> = all
            .iter()
            .copied()
            .filter(|agent| {
                reports[*agent].is_some_and(|(report, received_at)| {
                    let fresh =
                        self.now.since(received_at).as_micros() < u128::from(MAX_REPORT_AGE_US);
                    fresh && !report.draining && !avoid.contains(&agent_name(*agent))
                })
            })
            .collect();
        // Some choices ignore the reports, so that agents refuse attempts.
        let from = if usable.is_empty() || self.draw_bool(self.faults.delayed) {
            all
        } else {
            usable
        };
        if from.is_empty() {
            return Event::NoTarget(Reason::NoReplica);
        }
        let agent = from[self.rng.random_range(0..from.len())];
        match self.entries[entry].reports[agent] {
            Some((report, _)) => Event::TargetChosen(Target {
                agent: agent_name(agent),
                incarnation: report.incarnation,
                window: report.window,
            }),
            None => Event::NoTarget(Reason::NoReplica),
        }
    }

    fn dispatch(&mut self, origin: Origin, attempt: Attempt, target: &Target) -> Option<Event> {
        let active = self.find_call(origin)?;
        let (request, claimed) = (active.request, active.claimed);
        active.dispatches += 1;
        let again = active.dispatches > 1;
        let sent = self.oracle.request(request).clone();
        self.oracle
            .count_event(if again { "retries" } else { "dispatches" });
        if let Some(operation) = sent.operation.filter(|_| !claimed)
            && outage_policy(operation) == OnOutage::Run
        {
            self.oracle.note_unclaimed(operation);
        }
        let dispatch = ledger::Dispatch {
            attempt: attempt_ref(origin.id, attempt, target),
            organisation: organisation(sent.operation.unwrap_or(request)),
            idempotent: sent.idempotent,
        };
        let left = std::time::Duration::from_secs(self.rng.random_range(1..10));
        let agent = agent_index(&target.agent);
        let process = &self.agents[agent].process;
        if !process.alive && self.draw_bool(0.5) {
            return Some(Event::NotSent(attempt));
        }
        if !self.send_agent(origin, &target.agent, ToAgent::Dispatch(dispatch, left)) {
            self.break_connection(origin, attempt);
        }
        None
    }

    fn send_agent(&mut self, origin: Origin, agent: &AgentId, message: ToAgent) -> bool {
        let agent = agent_index(agent);
        let process = &self.agents[agent].process;
        // A connection ends at the current run of an agent, even if the message is meant for an
        // earlier one.
        let (alive, run) = (process.alive, process.run);
        alive && self.send(SimEvent::ToAgent(agent, run, origin, Box::new(message)))
    }

    fn start_query(&mut self, origin: Origin, pending: Pending) -> u32 {
        let Some(active) = self.find_call(origin) else {
            return 0;
        };
        active.query_id += 1;
        active.pending = Some(pending);
        let query_id = active.query_id;
        self.push(QUERY_TIMEOUT_US, SimEvent::QueryTimeout(origin, query_id));
        query_id
    }

    fn finish_query(&mut self, origin: Origin, query_id: u32) -> Option<Pending> {
        let active = self.find_call(origin)?;
        let open = active.query_id == query_id;
        active.pending.take_if(|_| open)
    }

    fn write_claim(&mut self, origin: Origin, row: &ClaimRow, replaces: Option<u64>) {
        // Encodes and decodes the row as a write to the platform does.
        let text = claim::encode(row).unwrap_or_else(|error| panic!("{error}"));
        let row = claim::decode(&text).unwrap_or_else(|error| panic!("{error}"));
        self.writes += 1;
        let writer = self.writes;
        if let Some(active) = self.find_call(origin) {
            active.claimed = true;
        }
        let query_id = self.start_query(origin, Pending::Write(row.path(), writer));
        let query = TableQuery::Write(Box::new(row), replaces, writer);
        self.send(SimEvent::TableQuery(origin, query_id, query));
    }

    fn look_up(&mut self, origin: Origin, row: &ClaimRow) {
        self.oracle.count_event("lookups");
        let query_id = self.start_query(origin, Pending::Lookup);
        let attempt = AttemptRef {
            id: row.id,
            attempt: row.attempt,
            incarnation: row.incarnation,
            window: row.window,
        };
        let message = ToAgent::Lookup(attempt, row.organisation.clone(), query_id);
        self.send_agent(origin, &row.agent, message);
    }

    fn write_answer(&mut self, origin: Origin, mut row: Box<ClaimRow>, replaces: Option<u64>) {
        let Some(active) = self.find_call(origin) else {
            return;
        };
        let execution = active.execution;
        if row.state == ClaimState::Answered(None) && execution % 4 != 0 {
            row.state = ClaimState::Answered(Some(self.oracle.store(execution)));
        }
        self.writes += 1;
        let query = TableQuery::Write(row, replaces, self.writes);
        self.send(SimEvent::TableQuery(origin, 0, query));
    }

    /// Handles the timeout of a query.
    fn handle_query_timeout(&mut self, origin: Origin, query_id: u32) {
        match self.finish_query(origin, query_id) {
            None => {}
            Some(Pending::Lookup) => self.deliver(origin, Event::LookupFailed, 0),
            Some(Pending::ReadBack(_)) => {
                self.deliver(origin, Event::ClaimUnavailable, 0);
            }
            Some(Pending::Write(path, writer)) => {
                self.oracle.count_event("read_backs");
                let query_id = self.start_query(origin, Pending::ReadBack(writer));
                self.send(SimEvent::TableQuery(
                    origin,
                    query_id,
                    TableQuery::Read(path),
                ));
            }
        }
    }
}

/// Converts a reply of the table into an event of the call.
fn event_from_reply(reply: TableReply, pending: &Pending) -> Event {
    match (reply, pending) {
        (TableReply::Written(revision), _) => Event::ClaimWritten(revision),
        (TableReply::Row(Some((_, revision, writer))), Pending::ReadBack(own))
            if writer == *own =>
        {
            Event::ClaimWritten(revision)
        }
        (TableReply::Row(Some((row, revision, _))), _) => Event::ClaimConflict(row, revision),
        (TableReply::Row(None), _) => Event::ClaimUnavailable,
    }
}

fn attempt_ref(id: RequestId, attempt: Attempt, target: &Target) -> AttemptRef {
    AttemptRef {
        id,
        attempt,
        incarnation: target.incarnation,
        window: target.window,
    }
}
