//! The queue of the experiment, its network and the life of its processes.

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
use super::faults::AGENTS;
use super::faults::DRAIN_US;
use super::faults::ENTRIES;
use super::faults::Faults;
use super::faults::REPORT_US;
use super::load::Arrival;
use super::load::Load;
use super::oracle::Execution;
use super::oracle::Oracle;
use super::table::Table;
use super::table::Writer;

/// Time for which the world goes on after the last request, so that late work would be seen.
const TAIL_US: u64 = 600_000_000;

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
    /// Asks to go on with a broken stream after so many frames.
    Resume(AttemptRef, u64),
    /// Asks about an attempt of an organisation; carries the number of the question.
    Lookup(AttemptRef, Organisation, u32),
}

/// A question to the table.
#[derive(Debug, Clone)]
pub enum Query {
    /// Writes a row if the present revision is the given one.
    Write(Box<ClaimRow>, Option<u64>, Writer),
    /// Reads a row.
    Read(String),
}

/// An answer of the table.
#[derive(Debug, Clone)]
pub enum Reply {
    /// The row was written and has this revision.
    Written(u64),
    /// The row as it stands.
    Row(Option<(Box<ClaimRow>, u64, Writer)>),
}

/// What an entry knows of an agent.
#[derive(Debug, Clone, Copy)]
pub struct View {
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The agent's window.
    pub window: Window,
    /// Whether the agent is draining.
    pub draining: bool,
}

/// Something that happens at a time.
#[derive(Debug, Clone)]
pub enum Item {
    /// A caller sends a request.
    Send(Arrival),
    /// A caller hangs up.
    HangUp(Origin),
    /// A message reaches the given run of an agent.
    ToAgent(usize, u64, Origin, Box<ToAgent>),
    /// An event reaches a call; it stems from this execution.
    ToEntry(Origin, Box<Event>, Execution),
    /// An answer to a question of a call.
    Answer(Origin, u32, Box<Event>),
    /// A question reaches the table.
    Table(Origin, u32, Query),
    /// The table's answer reaches a call.
    TableReply(Origin, u32, Reply),
    /// A call waited too long for the answer to a question.
    Overdue(Origin, u32),
    /// A timer of a call, set for this time of the entry's clock.
    Timer(Origin, Time),
    /// A backend server gets on with an execution.
    Step(usize, u64, (RequestId, Attempt), u64),
    /// An agent has waited long enough for the entry of an attempt.
    Unheard(usize, u64, (RequestId, Attempt)),
    /// A report of an agent reaches the given run of an entry.
    Report(usize, u64, usize, View),
    /// Agents send reports.
    Beat,
    /// A process or the table fails.
    Fault,
    /// An entry starts.
    StartEntry(usize),
    /// An agent starts.
    StartAgent(usize),
    /// The drain time of this run of an agent is over.
    StopAgent(usize, u64),
}

/// Life of a process.
#[derive(Debug, Default)]
pub struct Process {
    /// Grows with every start.
    pub run: u64,
    /// Whether it runs.
    pub alive: bool,
    /// It does nothing before this time.
    pub thaw: Time,
    /// Microseconds for which its clock stood still.
    pub lag: u64,
}

impl Process {
    /// The process's own clock.
    pub fn clock(&self, now: Time) -> Time {
        Time(now.0 - self.lag)
    }
}

#[derive(Debug)]
struct Scheduled(Time, u64, Item);

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
    /// What really happened.
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
    /// A world in which callers send `count` requests.
    pub fn new(seed: u64, count: u32, faults: Faults) -> Self {
        let mut world = Self {
            oracle: Oracle::default(),
            // Leaves room for clocks that stand still.
            now: Time(1_000_000_000_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            faults,
            entries: (0..ENTRIES).map(|_| Entry::default()).collect(),
            agents: Vec::new(),
            table: Table::default(),
            load: Load::new(count),
            writes: 0,
            queue: BinaryHeap::new(),
            sequence: 0,
        };
        world.agents = (0..AGENTS)
            .map(|index| Agent::new(index, world.now))
            .collect();
        for entry in 0..ENTRIES {
            world.push(0, Item::StartEntry(entry));
        }
        for agent in 0..AGENTS {
            world.push(0, Item::StartAgent(agent));
        }
        world.push(1, Item::Beat);
        if world.faults.interval_us > 0 {
            world.push(REPORT_US, Item::Fault);
        }
        world.push(REPORT_US / 10, Item::Send(Arrival::fresh()));
        world
    }

    /// Runs until every request has ended and late work would have been seen.
    pub fn run(&mut self) {
        let mut end = Time(u64::MAX);
        while let Some(Reverse(Scheduled(at, _, item))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if self.load.is_sent() && end.0 == u64::MAX {
                end = self.now + Duration::from_micros(TAIL_US);
            }
            self.handle(item);
        }
    }

    /// Schedules an item.
    pub(super) fn push(&mut self, delay_us: u64, item: Item) {
        self.push_at(self.now + Duration::from_micros(delay_us), item);
    }

    /// Schedules an item at a time.
    pub(super) fn push_at(&mut self, at: Time, item: Item) {
        self.sequence += 1;
        self.queue.push(Reverse(Scheduled(at, self.sequence, item)));
    }

    /// True with the given probability.
    pub(super) fn chance(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random::<f64>() < share
    }

    /// A duration between two bounds, evenly spread over its magnitudes.
    pub(super) fn spread(&mut self, least: u64, most: u64) -> u64 {
        let exponent = self.rng.random::<f64>();
        let ratio = most.max(least) as f64 / least as f64;
        (least as f64 * ratio.powf(exponent)) as u64
    }

    /// Time that a message needs.
    pub(super) fn draw_delay(&mut self) -> u64 {
        if self.chance(self.faults.late) {
            self.oracle.note("late");
            return self.spread(100_000, self.faults.late_us);
        }
        self.rng.random_range(200..2_000)
    }

    /// Sends a message that may be lost, copied, delayed and overtaken; false if it was lost.
    pub(super) fn send(&mut self, item: Item) -> bool {
        if self.chance(self.faults.copies) {
            let delay = self.draw_delay();
            self.push(delay, item.clone());
        }
        if self.chance(self.faults.loss) {
            self.oracle.note("lost");
            return false;
        }
        let delay = self.draw_delay();
        self.push(delay, item);
        true
    }

    /// Tells a call that the connection to an agent broke; it may not notice.
    pub(super) fn break_link(&mut self, origin: Origin, attempt: Attempt) {
        if self.chance(0.8) {
            let delay = self.draw_delay();
            let event = Box::new(Event::LinkLost(attempt));
            self.push(delay, Item::ToEntry(origin, event, 0));
        }
    }

    fn handle(&mut self, item: Item) {
        if let Some(thaw) = self.find_thaw(&item) {
            return self.push_at(thaw, item);
        }
        match item {
            Item::Send(arrival) => self.receive(arrival),
            Item::ToAgent(agent, run, origin, message) => {
                self.reach_agent(agent, run, origin, *message);
            }
            Item::Step(agent, run, key, step) => self.take_step(agent, run, key, step),
            Item::Unheard(agent, run, key) => self.stop_waiting(agent, run, key),
            Item::Table(origin, question, query) => self.ask_table(origin, question, &query),
            Item::Beat => self.beat(),
            Item::Fault => self.fail_something(),
            Item::StartEntry(entry) => self.start_entry(entry),
            Item::StartAgent(agent) => self.start_agent(agent),
            Item::StopAgent(agent, run) => {
                if self.agents[agent].process.run == run && self.agents[agent].process.alive {
                    self.kill_agent(agent);
                }
            }
            item => self.reach_entry(item),
        }
    }

    /// When the process for which the item is meant thaws, if it is frozen.
    fn find_thaw(&self, item: &Item) -> Option<Time> {
        let process = match item {
            Item::HangUp(origin)
            | Item::ToEntry(origin, ..)
            | Item::Answer(origin, ..)
            | Item::TableReply(origin, ..)
            | Item::Overdue(origin, _)
            | Item::Timer(origin, _) => &self.entries[origin.entry].process,
            Item::Report(entry, ..) => &self.entries[*entry].process,
            Item::ToAgent(agent, ..)
            | Item::Step(agent, ..)
            | Item::Unheard(agent, ..)
            | Item::StopAgent(agent, _) => &self.agents[*agent].process,
            _ => return None,
        };
        Some(process.thaw).filter(|thaw| *thaw > self.now)
    }

    fn ask_table(&mut self, origin: Origin, question: u32, query: &Query) {
        if self.now < self.table.down || self.chance(self.faults.store_loss) {
            return self.oracle.note("table_request_lost");
        }
        let path = match query {
            Query::Write(row, ..) => row.path(),
            Query::Read(path) => path.clone(),
        };
        let written = match query {
            Query::Write(row, replaces, writer) => {
                self.table.write(row, *replaces, *writer, self.now)
            }
            Query::Read(_) => false,
        };
        let row = self.table.read(&path, self.now);
        let row = row.map(|(row, revision, writer)| (Box::new(row.clone()), revision, writer));
        let reply = match (&row, written) {
            (Some((_, revision, _)), true) => Reply::Written(*revision),
            _ => Reply::Row(row),
        };
        if self.chance(self.faults.store_loss) {
            return self.oracle.note("table_response_lost");
        }
        self.send(Item::TableReply(origin, question, reply));
    }

    fn beat(&mut self) {
        for agent in 0..AGENTS {
            let Some(view) = self.agents[agent].report(self.now) else {
                continue;
            };
            for entry in 0..ENTRIES {
                let run = self.entries[entry].process.run;
                self.send(Item::Report(entry, run, agent, view));
            }
        }
        self.push(REPORT_US, Item::Beat);
    }

    fn fail_something(&mut self) {
        let entry = self.rng.random_range(0..ENTRIES);
        let agent = self.rng.random_range(0..AGENTS);
        match self.rng.random_range(0..10) {
            0 => self.kill_entry(entry),
            1 => self.kill_agent(agent),
            2 | 3 => self.freeze(Some(entry), None, false),
            4 | 5 => self.freeze(None, Some(agent), false),
            6 => self.freeze(Some(entry), None, true),
            7 => self.freeze(None, Some(agent), true),
            8 => {
                self.oracle.note("table_outages");
                let down = self.spread(100_000, 30_000_000);
                self.table.down = self.now + Duration::from_micros(down);
            }
            _ => self.drain_agent(agent),
        }
        let next = self.rng.random_range(1..self.faults.interval_us * 2);
        self.push(next, Item::Fault);
    }

    fn freeze(&mut self, entry: Option<usize>, agent: Option<usize>, stops: bool) {
        let most = if stops {
            self.faults.pause_us
        } else {
            self.faults.freeze_us
        };
        let span = self.spread(20_000, most);
        let now = self.now;
        let process = match (entry, agent) {
            (Some(entry), _) => &mut self.entries[entry].process,
            (_, Some(agent)) => &mut self.agents[agent].process,
            _ => return,
        };
        if !process.alive || process.thaw > now {
            return;
        }
        process.thaw = now + Duration::from_micros(span);
        if stops {
            process.lag += span;
        }
        self.oracle.note(if stops { "pauses" } else { "freezes" });
    }

    fn drain_agent(&mut self, agent: usize) {
        let Some(run) = self.agents[agent].drain() else {
            return;
        };
        self.oracle.note("drains");
        self.push(DRAIN_US, Item::StopAgent(agent, run));
        self.stop_if_idle(agent);
    }

    /// Mean time until the next new request, in microseconds.
    pub(super) fn draw_gap(&mut self) -> u64 {
        self.rng.random_range(1..self.faults.gap_us * 2)
    }
}
