//! Event queue, network and process faults of the experiment.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use siskinbend_request::AttemptRef;
use siskinbend_request::ClaimRow;
use siskinbend_request::Event;
use siskinbend_request::ledger;
use siskinbend_types::Attempt;
use siskinbend_types::Incarnation;
use siskinbend_types::Organisation;
use siskinbend_types::RequestId;
use siskinbend_types::Time;
use siskinbend_types::Window;

use super::agent::Agent;
use super::entry::Entry;
use super::faults::AGENT_COUNT;
use super::faults::DRAIN_TIMEOUT_US;
use super::faults::ENTRY_COUNT;
use super::faults::Faults;
use super::faults::REPORT_INTERVAL_US;
use super::load::Arrival;
use super::load::Load;
use super::oracle::Execution;
use super::oracle::Oracle;
use super::table::Table;
use super::table::Writer;

/// Simulated time after the last request, long enough to observe delayed executions.
const SETTLE_TIME_US: u64 = 600_000_000;

/// A call at one run of an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Origin {
    /// Index of the entry.
    pub entry: usize,
    /// Run of the entry.
    pub run: u64,
    /// The call.
    pub id: RequestId,
}

/// A message to an agent.
#[derive(Debug, Clone)]
pub enum ToAgent {
    /// An attempt, with the time left until its deadline.
    Dispatch(ledger::Dispatch, Duration),
    /// Cancels an attempt.
    Cancel(AttemptRef),
    /// Asks to resume a broken stream after this number of received frames.
    Resume(AttemptRef, u64),
    /// Looks up an attempt of an organisation; the number identifies the query.
    Lookup(AttemptRef, Organisation, u32),
}

/// A request to the table.
#[derive(Debug, Clone)]
pub enum TableQuery {
    /// Writes a row if its current revision is the given one.
    Write(Box<ClaimRow>, Option<u64>, Writer),
    /// Reads a row.
    Read(String),
}

/// A response of the table.
#[derive(Debug, Clone)]
pub enum TableReply {
    /// The row was written and has this revision.
    Written(u64),
    /// The current row.
    Row(Option<(Box<ClaimRow>, u64, Writer)>),
}

/// Report of an agent to an entry.
#[derive(Debug, Clone, Copy)]
pub struct AgentReport {
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The agent's window.
    pub window: Window,
    /// Whether the agent is draining.
    pub draining: bool,
}

/// A scheduled event.
#[derive(Debug, Clone)]
pub enum SimEvent {
    /// A caller sends a request.
    Send(Arrival),
    /// A caller disconnects.
    CallerDisconnect(Origin),
    /// A message reaches the given run of an agent.
    ToAgent(usize, u64, Origin, Box<ToAgent>),
    /// An event reaches a call; the number is the execution that caused it.
    ToEntry(Origin, Box<Event>, Execution),
    /// The result of a lookup reaches a call.
    LookupReply(Origin, u32, Box<Event>),
    /// A query reaches the table.
    TableQuery(Origin, u32, TableQuery),
    /// The reply of the table reaches a call.
    TableReply(Origin, u32, TableReply),
    /// A query of a call times out.
    QueryTimeout(Origin, u32),
    /// A timer of a call fires, at this time of the entry's clock.
    Timer(Origin, Time),
    /// A backend server runs the next step of an execution.
    ExecutionStep(usize, u64, (RequestId, Attempt), u64),
    /// The time in which an entry may resume the stream of an attempt is over.
    ResumeTimeout(usize, u64, (RequestId, Attempt)),
    /// A report of an agent reaches the given run of an entry.
    Report(usize, u64, usize, AgentReport),
    /// Agents send reports.
    ReportTick,
    /// A process or the table fails.
    RandomFault,
    /// An entry starts.
    StartEntry(usize),
    /// An agent starts.
    StartAgent(usize),
    /// The drain timeout of this run of an agent expires.
    DrainTimeout(usize, u64),
}

/// State of a simulated process.
#[derive(Debug, Default)]
pub struct Process {
    /// Incremented with every start.
    pub run: u64,
    /// Whether it runs.
    pub alive: bool,
    /// The process is frozen until this time.
    pub frozen_until: Time,
    /// Total time in microseconds for which its clock has stopped.
    pub clock_lag: u64,
}

impl Process {
    /// Returns the time of the process's own clock.
    pub fn clock(&self, now: Time) -> Time {
        Time(now.0 - self.clock_lag)
    }
}

#[derive(Debug)]
struct Scheduled(Time, u64, SimEvent);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        self.1 == other.1
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Callers, entries, agents with backend servers, and the table.
#[derive(Debug)]
pub struct World {
    /// Records of all requests and executions.
    pub oracle: Oracle,
    pub(super) now: Time,
    pub(super) rng: ChaCha8Rng,
    pub(super) faults: Faults,
    pub(super) entries: Vec<Entry>,
    pub(super) agents: Vec<Agent>,
    pub(super) table: Table,
    pub(super) load: Load,
    pub(super) writes: Writer,
    queue: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
}

impl World {
    /// Creates a fleet whose callers send `count` requests.
    pub fn new(seed: u64, count: u32, faults: Faults) -> Self {
        let mut world = Self {
            oracle: Oracle::default(),
            // Large enough that subtracting the time of stopped clocks does not underflow.
            now: Time(1_000_000_000_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            entries: (0..ENTRY_COUNT).map(|_| Entry::default()).collect(),
            agents: Vec::new(),
            table: Table::default(),
            load: Load::new(count),
            writes: 0,
            queue: BinaryHeap::new(),
            sequence: 0,
        };
        world.agents = (0..AGENT_COUNT)
            .map(|index| Agent::new(index, world.now))
            .collect();
        for entry in 0..ENTRY_COUNT {
            world.push(0, SimEvent::StartEntry(entry));
        }
        for agent in 0..AGENT_COUNT {
            world.push(0, SimEvent::StartAgent(agent));
        }
        world.push(1, SimEvent::ReportTick);
        if world.faults.fault_interval_us > 0 {
            world.push(REPORT_INTERVAL_US, SimEvent::RandomFault);
        }
        world.push(REPORT_INTERVAL_US / 10, SimEvent::Send(Arrival::first()));
        world
    }

    /// Runs until all requests have been sent and the settle time has passed.
    pub fn run(&mut self) {
        let mut end = Time(u64::MAX);
        while let Some(Reverse(Scheduled(at, _, event))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if self.load.is_sent() && end.0 == u64::MAX {
                end = self.now + Duration::from_micros(SETTLE_TIME_US);
            }
            self.handle(event);
        }
    }

    /// Schedules an event.
    pub(super) fn push(&mut self, delay_us: u64, event: SimEvent) {
        self.push_at(self.now + Duration::from_micros(delay_us), event);
    }

    /// Schedules an event at a time.
    pub(super) fn push_at(&mut self, at: Time, event: SimEvent) {
        self.sequence += 1;
        self.queue
            .push(Reverse(Scheduled(at, self.sequence, event)));
    }

    /// Returns true with the given probability.
    pub(super) fn draw_bool(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random::<f64>() < share
    }

    /// Draws a duration between two bounds from a log-uniform distribution.
    pub(super) fn draw_log_uniform(&mut self, lower: u64, upper: u64) -> u64 {
        let exponent = self.rng.random::<f64>();
        let ratio = upper.max(lower) as f64 / lower as f64;
        (lower as f64 * ratio.powf(exponent)) as u64
    }

    /// Draws the delay of a message in microseconds.
    pub(super) fn draw_delay(&mut self) -> u64 {
        if self.draw_bool(self.faults.delayed) {
            self.oracle.count_event("late");
            return self.draw_log_uniform(100_000, self.faults.max_delay_us);
        }
        self.rng.random_range(200..2_000)
    }

    /// Sends a message that may be duplicated, delayed, reordered or lost; returns false if it is
    /// lost.
    pub(super) fn send(&mut self, event: SimEvent) -> bool {
        if self.draw_bool(self.faults.duplicates) {
            let delay = self.draw_delay();
            self.push(delay, event.clone());
        }
        if self.draw_bool(self.faults.loss) {
            self.oracle.count_event("lost");
            return false;
        }
        let delay = self.draw_delay();
        self.push(delay, event);
        true
    }

    /// Notifies a call, in most cases, that the connection to an agent is broken.
    pub(super) fn break_connection(&mut self, origin: Origin, attempt: Attempt) {
        if self.draw_bool(0.8) {
            let delay = self.draw_delay();
            let event = Box::new(Event::LinkLost(attempt));
            self.push(delay, SimEvent::ToEntry(origin, event, 0));
        }
    }

    fn handle(&mut self, event: SimEvent) {
        if let Some(frozen_until) = self.find_frozen_until(&event) {
            return self.push_at(frozen_until, event);
        }
        match event {
            SimEvent::Send(arrival) => self.receive_request(arrival),
            SimEvent::ToAgent(agent, run, origin, message) => {
                self.deliver_to_agent(agent, run, origin, *message);
            }
            SimEvent::ExecutionStep(agent, run, key, step) => self.run_step(agent, run, key, step),
            SimEvent::ResumeTimeout(agent, run, key) => self.handle_resume_timeout(agent, run, key),
            SimEvent::TableQuery(origin, query_id, query) => {
                self.handle_table_query(origin, query_id, &query);
            }
            SimEvent::ReportTick => self.send_reports(),
            SimEvent::RandomFault => self.inject_random_fault(),
            SimEvent::StartEntry(entry) => self.start_entry(entry),
            SimEvent::StartAgent(agent) => self.start_agent(agent),
            SimEvent::DrainTimeout(agent, run) => {
                if self.agents[agent].process.run == run && self.agents[agent].process.alive {
                    self.kill_agent(agent);
                }
            }
            event => self.deliver_to_entry(event),
        }
    }

    /// Returns the end of the freeze if the process that would handle the event is frozen.
    fn find_frozen_until(&self, event: &SimEvent) -> Option<Time> {
        let process = match event {
            SimEvent::CallerDisconnect(origin)
            | SimEvent::ToEntry(origin, ..)
            | SimEvent::LookupReply(origin, ..)
            | SimEvent::TableReply(origin, ..)
            | SimEvent::QueryTimeout(origin, _)
            | SimEvent::Timer(origin, _) => &self.entries[origin.entry].process,
            SimEvent::Report(entry, ..) => &self.entries[*entry].process,
            SimEvent::ToAgent(agent, ..)
            | SimEvent::ExecutionStep(agent, ..)
            | SimEvent::ResumeTimeout(agent, ..)
            | SimEvent::DrainTimeout(agent, _) => &self.agents[*agent].process,
            _ => return None,
        };
        Some(process.frozen_until).filter(|frozen_until| *frozen_until > self.now)
    }

    fn handle_table_query(&mut self, origin: Origin, query_id: u32, query: &TableQuery) {
        if self.now < self.table.down || self.draw_bool(self.faults.store_loss) {
            return self.oracle.count_event("table_request_lost");
        }
        let path = match query {
            TableQuery::Write(row, ..) => row.path(),
            TableQuery::Read(path) => path.clone(),
        };
        let written = match query {
            TableQuery::Write(row, replaces, writer) => {
                self.table.write(row, *replaces, *writer, self.now)
            }
            TableQuery::Read(_) => false,
        };
        let row = self.table.read(&path, self.now);
        let row = row.map(|(row, revision, writer)| (Box::new(row.clone()), revision, writer));
        let reply = match (&row, written) {
            (Some((_, revision, _)), true) => TableReply::Written(*revision),
            _ => TableReply::Row(row),
        };
        if self.draw_bool(self.faults.store_loss) {
            return self.oracle.count_event("table_response_lost");
        }
        self.send(SimEvent::TableReply(origin, query_id, reply));
    }

    fn send_reports(&mut self) {
        for agent in 0..AGENT_COUNT {
            let Some(report) = self.agents[agent].report(self.now) else {
                continue;
            };
            for entry in 0..ENTRY_COUNT {
                let run = self.entries[entry].process.run;
                self.send(SimEvent::Report(entry, run, agent, report));
            }
        }
        self.push(REPORT_INTERVAL_US, SimEvent::ReportTick);
    }

    fn inject_random_fault(&mut self) {
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        let agent = self.rng.random_range(0..AGENT_COUNT);
        match self.rng.random_range(0..10) {
            0 => self.kill_entry(entry),
            1 => self.kill_agent(agent),
            2 | 3 => self.freeze(Some(entry), None, false),
            4 | 5 => self.freeze(None, Some(agent), false),
            6 => self.freeze(Some(entry), None, true),
            7 => self.freeze(None, Some(agent), true),
            8 => {
                self.oracle.count_event("table_outages");
                let down = self.draw_log_uniform(100_000, 30_000_000);
                self.table.down = self.now + Duration::from_micros(down);
            }
            _ => self.drain_agent(agent),
        }
        let next = self.rng.random_range(1..self.faults.fault_interval_us * 2);
        self.push(next, SimEvent::RandomFault);
    }

    fn freeze(&mut self, entry: Option<usize>, agent: Option<usize>, stops_clock: bool) {
        let upper = if stops_clock {
            self.faults.max_pause_us
        } else {
            self.faults.max_freeze_us
        };
        let span = self.draw_log_uniform(20_000, upper);
        let now = self.now;
        let process = match (entry, agent) {
            (Some(entry), _) => &mut self.entries[entry].process,
            (_, Some(agent)) => &mut self.agents[agent].process,
            _ => return,
        };
        if !process.alive || process.frozen_until > now {
            return;
        }
        process.frozen_until = now + Duration::from_micros(span);
        if stops_clock {
            process.clock_lag += span;
        }
        self.oracle
            .count_event(if stops_clock { "pauses" } else { "freezes" });
    }

    fn drain_agent(&mut self, agent: usize) {
        let Some(run) = self.agents[agent].drain() else {
            return;
        };
        self.oracle.count_event("drains");
        self.push(DRAIN_TIMEOUT_US, SimEvent::DrainTimeout(agent, run));
        self.stop_if_idle(agent);
    }

    /// Draws the time until the next new request, in microseconds.
    pub(super) fn draw_request_interval(&mut self) -> u64 {
        self.rng
            .random_range(1..self.faults.request_interval_us * 2)
    }
}
