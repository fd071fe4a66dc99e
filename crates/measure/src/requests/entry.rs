//! Entry shell of the experiment: carries out the actions of its calls.

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

use super::faults::AGENTS;
use super::faults::ASK_US;
use super::faults::SILENCE_US;
use super::load::name;
use super::load::organisation;
use super::load::outage_rule;
use super::oracle::Execution;
use super::oracle::Told;
use super::table::Writer;
use super::world::Item;
use super::world::Origin;
use super::world::Process;
use super::world::Query;
use super::world::Reply;
use super::world::ToAgent;
use super::world::View;
use super::world::World;

/// Retries that an entry saves up.
const BURST: u32 = 10;

/// What a call waits for.
#[derive(Debug, Clone)]
enum Pending {
    /// A claim write.
    Write(String, Writer),
    /// The read after a claim write without a response.
    ReadBack(Writer),
    /// A lookup.
    Lookup,
}

/// A call at an entry.
#[derive(Debug)]
pub struct Live {
    request: usize,
    call: Call,
    timer: Time,
    question: u32,
    pending: Option<Pending>,
    execution: Execution,
    dispatches: u32,
    /// Whether the last claim write took effect as far as the entry knows.
    claimed: bool,
}

impl Live {
    /// A call that has not started.
    pub fn new(request: usize, call: Call) -> Self {
        Self {
            request,
            call,
            timer: Time(0),
            question: 0,
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
    /// Its life.
    pub process: Process,
    /// Its calls.
    pub calls: BTreeMap<RequestId, Live>,
    budget: RetryBudget,
    views: Vec<Option<(View, Time)>>,
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            process: Process::default(),
            calls: BTreeMap::new(),
            budget: RetryBudget::new(BURST),
            views: vec![None; AGENTS],
        }
    }
}

/// The name of an agent.
pub fn agent_name(agent: usize) -> AgentId {
    name(format_smolstr!("agent-{agent}"))
}

/// The index of an agent.
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
        let dead = &mut self.entries[entry];
        if !dead.process.alive {
            return;
        }
        let run = dead.process.run;
        // The new run has a clock of its own, but time can't run backwards in a test.
        let lag = dead.process.lag;
        *dead = Entry::default();
        dead.process.run = run;
        dead.process.lag = lag;
        self.oracle.note("entry_kills");
        for (agent, origin, attempt) in self.find_work(entry, run) {
            // The agents see the connection close and cancel the work.
            if self.chance(0.8) {
                let run = self.agents[agent].process.run;
                let cancel = Box::new(ToAgent::Cancel(attempt));
                self.send(Item::ToAgent(agent, run, origin, cancel));
            }
        }
        let pause = self.spread(100_000, 5_000_000);
        self.push(pause, Item::StartEntry(entry));
    }

    /// Handles an item meant for an entry.
    pub(super) fn reach_entry(&mut self, item: Item) {
        match item {
            Item::HangUp(origin) => self.deliver(origin, Event::CallerGone, 0),
            Item::ToEntry(origin, event, execution) => self.deliver(origin, *event, execution),
            Item::Answer(origin, question, event) => {
                if self.close_question(origin, question).is_some() {
                    self.deliver(origin, *event, 0);
                }
            }
            Item::TableReply(origin, question, reply) => {
                if let Some(pending) = self.close_question(origin, question) {
                    self.deliver(origin, judge_reply(reply, &pending), 0);
                }
            }
            Item::Overdue(origin, question) => self.give_up(origin, question),
            Item::Timer(origin, at) => {
                let early = self.chance(0.01);
                let live = self.find(origin);
                if live.is_some_and(|live| live.timer == at || early) {
                    self.deliver(origin, Event::Timer, 0);
                }
            }
            Item::Report(entry, run, agent, view) => {
                let known = &mut self.entries[entry];
                if known.process.run == run && known.process.alive {
                    known.views[agent] = Some((view, self.now));
                }
            }
            item => panic!("{item:?} is not meant for an entry"),
        }
    }

    fn find(&mut self, origin: Origin) -> Option<&mut Live> {
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
            let Some(live) = self.find(origin) else {
                return;
            };
            live.claimed &= !matches!(event, Event::ClaimUnavailable);
            let actions = live.call.handle(event, now, &mut budget);
            let done = live.call.is_done();
            self.entries[origin.entry].budget = budget;
            for action in actions {
                self.carry_out(origin, action, (execution, index), &mut events);
            }
            if done {
                self.entries[origin.entry].calls.remove(&origin.id);
            }
        }
    }

    fn carry_out(
        &mut self,
        origin: Origin,
        action: Action,
        (execution, index): (Execution, u64),
        events: &mut VecDeque<Event>,
    ) {
        let Some(live) = self.find(origin) else {
            return;
        };
        let request = live.request;
        match action {
            Action::Choose { avoid } => events.push_back(self.choose(origin.entry, &avoid)),
            Action::WriteClaim { row, replaces } => self.write_claim(origin, &row, replaces),
            Action::Lookup(row) => self.look_up(origin, &row),
            Action::Dispatch { attempt, target } => {
                events.extend(self.dispatch(origin, attempt, &target));
            }
            Action::Cancel { attempt, target } => {
                self.oracle.note("cancels");
                let message = ToAgent::Cancel(refer(origin.id, attempt, &target));
                self.send_agent(origin, &target.agent, message);
            }
            Action::Resume {
                attempt,
                target,
                received,
            } => {
                self.oracle.note("resumes");
                let message = ToAgent::Resume(refer(origin.id, attempt, &target), received);
                self.send_agent(origin, &target.agent, message);
            }
            Action::ForwardHead => {
                live.execution = execution;
                self.oracle.pass_head(request, execution);
            }
            Action::ForwardChunk => self.oracle.pass_chunk(request, execution, index),
            Action::ForwardEnd => self.oracle.pass_end(request, execution),
            Action::Replay(answer) => self.oracle.replay(request, &answer),
            Action::RecordAnswer { row, replaces } => self.record(origin, row, replaces),
            Action::Fail { outcome, reason } => {
                self.oracle.note(reason.as_str());
                self.oracle.tell(request, Told::Failure(outcome));
            }
            Action::SetTimer(at) => {
                live.timer = at;
                let lag = self.entries[origin.entry].process.lag;
                self.push_at(Time(at.0 + lag), Item::Timer(origin, at));
            }
        }
    }

    fn choose(&mut self, entry: usize, avoid: &[AgentId]) -> Event {
        let views = &self.entries[entry].views;
        let known = |agent: &usize| views[*agent].is_some();
        let all: Vec<usize> = (0..AGENTS).filter(known).collect();
        let good: Vec<usize> = all
            .iter()
            .copied()
            .filter(|agent| {
                views[*agent].is_some_and(|(view, heard)| {
                    let fresh = self.now.since(heard).as_micros() < u128::from(SILENCE_US);
                    fresh && !view.draining && !avoid.contains(&agent_name(*agent))
                })
            })
            .collect();
        // Now and then a choice ignores what is known, so that refusals occur.
        let from = if good.is_empty() || self.chance(self.faults.late) {
            all
        } else {
            good
        };
        if from.is_empty() {
            return Event::NoTarget(Reason::NoReplica);
        }
        let agent = from[self.rng.random_range(0..from.len())];
        match self.entries[entry].views[agent] {
            Some((view, _)) => Event::TargetChosen(Target {
                agent: agent_name(agent),
                incarnation: view.incarnation,
                window: view.window,
            }),
            None => Event::NoTarget(Reason::NoReplica),
        }
    }

    fn dispatch(&mut self, origin: Origin, attempt: Attempt, target: &Target) -> Option<Event> {
        let live = self.find(origin)?;
        let (request, claimed) = (live.request, live.claimed);
        live.dispatches += 1;
        let again = live.dispatches > 1;
        let asked = self.oracle.request(request).clone();
        self.oracle
            .note(if again { "retries" } else { "dispatches" });
        if let Some(operation) = asked.operation.filter(|_| !claimed)
            && outage_rule(operation) == OnOutage::Run
        {
            self.oracle.note_unclaimed(operation);
        }
        let dispatch = ledger::Dispatch {
            attempt: refer(origin.id, attempt, target),
            organisation: organisation(asked.operation.unwrap_or(request)),
            idempotent: asked.idempotent,
        };
        let left = std::time::Duration::from_secs(self.rng.random_range(1..10));
        let agent = agent_index(&target.agent);
        let process = &self.agents[agent].process;
        if !process.alive && self.chance(0.5) {
            return Some(Event::NotSent(attempt));
        }
        if !self.send_agent(origin, &target.agent, ToAgent::Dispatch(dispatch, left)) {
            self.break_link(origin, attempt);
        }
        None
    }

    fn send_agent(&mut self, origin: Origin, agent: &AgentId, message: ToAgent) -> bool {
        let agent = agent_index(agent);
        let process = &self.agents[agent].process;
        // A connection is with one run of an agent, whichever run the message is meant for.
        let (alive, run) = (process.alive, process.run);
        alive && self.send(Item::ToAgent(agent, run, origin, Box::new(message)))
    }

    fn ask(&mut self, origin: Origin, pending: Pending) -> u32 {
        let Some(live) = self.find(origin) else {
            return 0;
        };
        live.question += 1;
        live.pending = Some(pending);
        let question = live.question;
        self.push(ASK_US, Item::Overdue(origin, question));
        question
    }

    fn close_question(&mut self, origin: Origin, question: u32) -> Option<Pending> {
        let live = self.find(origin)?;
        let open = live.question == question;
        live.pending.take_if(|_| open)
    }

    fn write_claim(&mut self, origin: Origin, row: &ClaimRow, replaces: Option<u64>) {
        // The row goes through its text form, as it does on its way to the platform.
        let text = claim::encode(row).unwrap_or_else(|error| panic!("{error}"));
        let row = claim::decode(&text).unwrap_or_else(|error| panic!("{error}"));
        self.writes += 1;
        let writer = self.writes;
        if let Some(live) = self.find(origin) {
            live.claimed = true;
        }
        let question = self.ask(origin, Pending::Write(row.path(), writer));
        let query = Query::Write(Box::new(row), replaces, writer);
        self.send(Item::Table(origin, question, query));
    }

    fn look_up(&mut self, origin: Origin, row: &ClaimRow) {
        self.oracle.note("lookups");
        let question = self.ask(origin, Pending::Lookup);
        let attempt = AttemptRef {
            id: row.id,
            attempt: row.attempt,
            incarnation: row.incarnation,
            window: row.window,
        };
        let message = ToAgent::Lookup(attempt, row.organisation.clone(), question);
        self.send_agent(origin, &row.agent, message);
    }

    fn record(&mut self, origin: Origin, mut row: Box<ClaimRow>, replaces: Option<u64>) {
        let Some(live) = self.find(origin) else {
            return;
        };
        let execution = live.execution;
        if row.state == ClaimState::Answered(None) && execution % 4 != 0 {
            row.state = ClaimState::Answered(Some(self.oracle.store(execution)));
        }
        self.writes += 1;
        let query = Query::Write(row, replaces, self.writes);
        self.send(Item::Table(origin, 0, query));
    }

    /// A question was not answered in time.
    fn give_up(&mut self, origin: Origin, question: u32) {
        match self.close_question(origin, question) {
            None => {}
            Some(Pending::Lookup) => self.deliver(origin, Event::LookupFailed, 0),
            Some(Pending::ReadBack(_)) => {
                self.deliver(origin, Event::ClaimUnavailable, 0);
            }
            Some(Pending::Write(path, writer)) => {
                self.oracle.note("read_backs");
                let question = self.ask(origin, Pending::ReadBack(writer));
                self.send(Item::Table(origin, question, Query::Read(path)));
            }
        }
    }
}

/// What a call learns from an answer of the table.
fn judge_reply(reply: Reply, pending: &Pending) -> Event {
    match (reply, pending) {
        (Reply::Written(revision), _) => Event::ClaimWritten(revision),
        (Reply::Row(Some((_, revision, writer))), Pending::ReadBack(own)) if writer == *own => {
            Event::ClaimWritten(revision)
        }
        (Reply::Row(Some((row, revision, _))), _) => Event::ClaimConflict(row, revision),
        (Reply::Row(None), _) => Event::ClaimUnavailable,
    }
}

fn refer(id: RequestId, attempt: Attempt, target: &Target) -> AttemptRef {
    AttemptRef {
        id,
        attempt,
        incarnation: target.incarnation,
        window: target.window,
    }
}
