//! Agent shell of the experiment, with the backend server beside it.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use rand::Rng;
use siskinbend_request::AttemptRef;
use siskinbend_request::CancelState;
use siskinbend_request::ClaimState;
use siskinbend_request::Event;
use siskinbend_request::ExecutionResult;
use siskinbend_request::Ledger;
use siskinbend_request::ResumeBuffer;
use siskinbend_request::ResumeSettings;
use siskinbend_request::claim;
use siskinbend_request::ledger;
use siskinbend_types::Attempt;
use siskinbend_types::Incarnation;
use siskinbend_types::Reason;
use siskinbend_types::RequestId;
use siskinbend_types::Time;

use super::faults::HELD_FRAMES;
use super::faults::HOLD_US;
use super::faults::QUEUE;
use super::faults::SLOTS;
use super::load::key_name;
use super::load::organisation;
use super::load::service;
use super::oracle::Execution;
use super::world::Item;
use super::world::Origin;
use super::world::Process;
use super::world::ToAgent;
use super::world::View;
use super::world::World;

type Key = (RequestId, Attempt);

/// An attempt at an agent.
#[derive(Debug)]
struct Job {
    dispatch: ledger::Dispatch,
    origin: Origin,
    deadline: Time,
    stream: Stream,
    held: ResumeBuffer<Event>,
    /// The execution; 0 while the attempt is queued.
    execution: Execution,
    chunks: u64,
    /// Time between two steps.
    pace_us: u64,
    /// Step at which the backend server fails.
    fails: Option<u64>,
}

/// The frames of one attempt on their way to the entry.
#[derive(Debug, Clone, Copy)]
struct Stream {
    /// Whether frames may overtake each other and get lost singly.
    shuffled: bool,
    /// Arrival of the last frame.
    last: Time,
    broken: bool,
}

/// An agent with its backend server.
#[derive(Debug)]
pub struct Agent {
    /// Its life.
    pub process: Process,
    ledger: Ledger,
    incarnation: Incarnation,
    jobs: BTreeMap<Key, Job>,
    /// Ended attempts whose entry may not have heard the end.
    ended: BTreeMap<Key, Job>,
    queue: VecDeque<Key>,
    running: usize,
}

impl Agent {
    /// An agent that has not started.
    pub fn new(index: usize, now: Time) -> Self {
        let incarnation = Incarnation(index as u64);
        Self {
            process: Process::default(),
            ledger: Ledger::new(ledger::Settings::default(), incarnation, now),
            incarnation,
            jobs: BTreeMap::new(),
            ended: BTreeMap::new(),
            queue: VecDeque::new(),
            running: 0,
        }
    }

    /// What the agent reports, if it can.
    pub fn report(&mut self, now: Time) -> Option<View> {
        if !self.process.alive || self.process.thaw > now {
            return None;
        }
        self.ledger.advance_window(self.process.clock(now));
        Some(View {
            incarnation: self.incarnation,
            window: self.ledger.window(),
            draining: self.ledger.is_draining(),
        })
    }

    /// Starts to drain; the run that drains, if it wasn't draining.
    pub fn drain(&mut self) -> Option<u64> {
        if !self.process.alive || self.ledger.is_draining() {
            return None;
        }
        self.ledger.drain();
        Some(self.process.run)
    }
}

impl World {
    pub(super) fn start_agent(&mut self, agent: usize) {
        let incarnation = Incarnation(self.rng.random());
        let now = self.now;
        let started = &mut self.agents[agent];
        started.process.run += 1;
        started.process.alive = true;
        started.incarnation = incarnation;
        let clock = started.process.clock(now);
        started.ledger = Ledger::new(ledger::Settings::default(), incarnation, clock);
    }

    pub(super) fn kill_agent(&mut self, agent: usize) {
        let dead = &mut self.agents[agent];
        if !dead.process.alive {
            return;
        }
        dead.process.alive = false;
        dead.process.thaw = Time(0);
        dead.queue.clear();
        dead.ended.clear();
        dead.running = 0;
        // The backend server goes on with what it has begun; nobody hears of it.
        let jobs = std::mem::take(&mut dead.jobs);
        self.oracle.note("agent_stops");
        for (key, job) in jobs {
            self.break_link(job.origin, key.1);
        }
        let pause = self.spread(100_000, 5_000_000);
        self.push(pause, Item::StartAgent(agent));
    }

    /// Stops a draining agent that has nothing left to do.
    pub(super) fn stop_if_idle(&mut self, agent: usize) {
        let draining = &self.agents[agent];
        if !draining.ledger.is_draining() || !draining.ledger.is_idle() {
            return;
        }
        assert!(
            draining.running == 0,
            "agent {agent} is idle with {} running attempts",
            draining.running
        );
        self.kill_agent(agent);
    }

    /// Attempts of one run of an entry at the agents.
    pub(super) fn find_work(&self, entry: usize, run: u64) -> Vec<(usize, Origin, AttemptRef)> {
        let mut work = Vec::new();
        for (index, agent) in self.agents.iter().enumerate() {
            for job in agent.jobs.values() {
                if job.origin.entry == entry && job.origin.run == run {
                    work.push((index, job.origin, job.dispatch.attempt));
                }
            }
        }
        work
    }

    pub(super) fn reach_agent(&mut self, agent: usize, run: u64, origin: Origin, message: ToAgent) {
        let process = &self.agents[agent].process;
        if !process.alive || process.run != run {
            if let ToAgent::Dispatch(dispatch, _) = message {
                self.break_link(origin, dispatch.attempt.attempt);
            }
            return;
        }
        let clock = process.clock(self.now);
        match message {
            ToAgent::Dispatch(dispatch, left) => self.admit(agent, origin, dispatch, clock + left),
            ToAgent::Cancel(attempt) => {
                let state = self.agents[agent].ledger.cancel(&attempt, clock);
                let event = Event::Cancelled(attempt.attempt, state);
                self.send(Item::ToEntry(origin, Box::new(event), 0));
                let key = (attempt.id, attempt.attempt);
                let job = self.agents[agent].jobs.get(&key);
                if state == CancelState::Running && job.is_some_and(|job| job.dispatch.idempotent) {
                    self.end_job(agent, key, ExecutionResult::Failed);
                }
                self.stop_if_idle(agent);
            }
            ToAgent::Resume(attempt, received) => self.resume(agent, origin, &attempt, received),
            ToAgent::Lookup(attempt, owner, question) => {
                let found = self.agents[agent].ledger.lookup(&attempt, &owner, clock);
                let event = Box::new(Event::LookedUp(found));
                self.send(Item::Answer(origin, question, event));
                self.stop_if_idle(agent);
            }
        }
    }

    fn admit(&mut self, agent: usize, origin: Origin, dispatch: ledger::Dispatch, deadline: Time) {
        let key = (dispatch.attempt.id, dispatch.attempt.attempt);
        let clock = self.agents[agent].process.clock(self.now);
        let admitted = self.agents[agent].ledger.admit(&dispatch, clock);
        let mut stream = Stream {
            shuffled: self.chance(self.faults.shuffled),
            last: self.now,
            broken: false,
        };
        let refused = match admitted {
            Err(reason) => Some(reason),
            Ok(()) if self.agents[agent].queue.len() >= QUEUE => {
                self.agents[agent].ledger.refuse(key.0, key.1);
                Some(Reason::QueueFull)
            }
            Ok(()) => None,
        };
        if let Some(reason) = refused {
            self.oracle.note(refusal(reason));
            return self.send_frame(origin, &mut stream, Event::Refused(key.1, reason), 0);
        }
        self.send_frame(origin, &mut stream, Event::Accepted(key.1), 0);
        let job = Job {
            dispatch,
            origin,
            deadline,
            stream,
            held: ResumeBuffer::new(ResumeSettings {
                max_bytes: HELD_FRAMES,
                ..ResumeSettings::default()
            }),
            execution: 0,
            chunks: self.rng.random_range(0..6),
            pace_us: if self.chance(0.03) {
                self.spread(10_000, 3_000_000)
            } else {
                self.spread(500, 10_000)
            },
            fails: None,
        };
        self.agents[agent].jobs.insert(key, job);
        self.agents[agent].queue.push_back(key);
        self.serve(agent);
    }

    /// Starts queued attempts while there is room.
    fn serve(&mut self, agent: usize) {
        while self.agents[agent].running < SLOTS {
            let Some(key) = self.agents[agent].queue.pop_front() else {
                return;
            };
            self.start_job(agent, key);
        }
    }

    fn start_job(&mut self, agent: usize, key: Key) {
        let fails = self.chance(self.faults.backend);
        let fails = fails.then(|| self.rng.random_range(0..6));
        let (now, run) = (self.now, self.agents[agent].process.run);
        let server = &mut self.agents[agent];
        let clock = server.process.clock(now);
        let Some(job) = server.jobs.get_mut(&key) else {
            return;
        };
        let refused = if clock >= job.deadline {
            server.ledger.refuse(key.0, key.1);
            Some(Reason::Deadline)
        } else if server.ledger.start(key.0, key.1, clock) {
            None
        } else {
            Some(Reason::Tombstone)
        };
        if let Some(reason) = refused {
            let (origin, mut stream) = (job.origin, job.stream);
            server.jobs.remove(&key);
            self.oracle.note(refusal(reason));
            self.send_frame(origin, &mut stream, Event::Refused(key.1, reason), 0);
            return self.stop_if_idle(agent);
        }
        server.running += 1;
        let request = origin_request(key);
        job.execution = self.oracle.start(request, job.chunks, now);
        job.fails = fails.filter(|step| *step <= job.chunks);
        let pace = job.pace_us;
        self.check_claim(request, key);
        self.push(pace, Item::Step(agent, run, key, 0));
    }

    /// A keyed operation may start only while its row names the attempt.
    fn check_claim(&mut self, request: usize, key: Key) {
        let Some(operation) = self.oracle.request(request).operation else {
            return;
        };
        let name = key_name(operation);
        let path = claim::claim_path(&organisation(operation), &service(), &name);
        let row = self.table.read(&path, self.now).map(|(row, ..)| row);
        let held =
            row.is_some_and(|row| (row.id, row.attempt) == key && row.state == ClaimState::Claimed);
        self.oracle.check_claim(operation, held);
    }

    /// The backend server sends the next part of an answer.
    pub(super) fn take_step(&mut self, agent: usize, run: u64, key: Key, step: u64) {
        if self.agents[agent].process.run != run {
            return;
        }
        let Some(job) = self.agents[agent].jobs.get_mut(&key) else {
            return;
        };
        let (origin, mut stream, execution) = (job.origin, job.stream, job.execution);
        let (chunks, pace) = (job.chunks, job.pace_us);
        let event = match step {
            _ if job.fails == Some(step) => Event::Aborted(key.1, Reason::BackendFailed),
            0 => Event::Head(key.1),
            step if step <= chunks => Event::Chunk(key.1, step - 1),
            _ => Event::End(key.1, chunks),
        };
        let end = match event {
            Event::Aborted(..) => Some(ExecutionResult::Failed),
            Event::End(..) => {
                let keyed = self.oracle.request(origin_request(key)).operation.is_some();
                let kept = keyed && execution % 4 != 0;
                Some(ExecutionResult::Answered(
                    kept.then(|| self.oracle.store(execution)),
                ))
            }
            _ => None,
        };
        job.held.push(event.clone(), 1);
        self.send_frame(origin, &mut stream, event, execution);
        self.keep_stream(agent, key, stream);
        match end {
            Some(end) => self.end_job(agent, key, end),
            None => self.push(pace, Item::Step(agent, run, key, step + 1)),
        }
    }

    /// Notes how the stream of a job stands after a frame.
    fn keep_stream(&mut self, agent: usize, key: Key, stream: Stream) {
        let now = self.now;
        let server = &mut self.agents[agent];
        let (run, clock) = (server.process.run, server.process.clock(now));
        let Some(job) = server.jobs.get_mut(&key) else {
            return;
        };
        job.stream = stream;
        if stream.broken && !job.held.is_disconnected() {
            job.held.mark_disconnected(clock);
            self.push(HOLD_US, Item::Unheard(agent, run, key));
        }
    }

    /// Goes on with a broken stream at the entry that asks.
    fn resume(&mut self, agent: usize, origin: Origin, attempt: &AttemptRef, received: u64) {
        let now = self.now;
        let key = (attempt.id, attempt.attempt);
        let server = &mut self.agents[agent];
        let clock = server.process.clock(now);
        let current = server.incarnation == attempt.incarnation;
        let job = server.jobs.get_mut(&key).or(server.ended.get_mut(&key));
        let resumed = job.filter(|_| current).and_then(|job| {
            let frames = job.held.resume(received, clock).ok()?;
            Some((frames, job.execution))
        });
        let Some((frames, execution)) = resumed else {
            let event = Box::new(Event::NotResumed(key.1));
            self.send(Item::ToEntry(origin, event, 0));
            return;
        };
        self.oracle.note("resumed");
        let mut stream = Stream {
            shuffled: false,
            last: now,
            broken: false,
        };
        self.send_frame(origin, &mut stream, Event::Resumed(key.1), 0);
        for frame in frames {
            self.send_frame(origin, &mut stream, frame, execution);
        }
        self.keep_stream(agent, key, stream);
    }

    /// Stops work whose entry has not come back, if it may be repeated.
    pub(super) fn stop_waiting(&mut self, agent: usize, run: u64, key: Key) {
        let now = self.now;
        let server = &mut self.agents[agent];
        if server.process.run != run {
            return;
        }
        server.ended.remove(&key);
        let clock = server.process.clock(now);
        let expired = server.jobs.get(&key).is_some_and(|job| {
            job.held.is_expired(clock) && job.dispatch.idempotent && job.execution > 0
        });
        if expired {
            self.end_job(agent, key, ExecutionResult::Failed);
        }
    }

    fn end_job(&mut self, agent: usize, key: Key, end: ExecutionResult) {
        let now = self.now;
        let server = &mut self.agents[agent];
        let clock = server.process.clock(now);
        let run = server.process.run;
        if let Some(job) = server.jobs.remove(&key) {
            server.ended.insert(key, job);
        }
        server.running -= 1;
        server.ledger.finish(key.0, key.1, end, clock);
        self.push(HOLD_US, Item::Unheard(agent, run, key));
        self.serve(agent);
        self.stop_if_idle(agent);
    }

    fn send_frame(
        &mut self,
        origin: Origin,
        stream: &mut Stream,
        event: Event,
        execution: Execution,
    ) {
        let attempt = match event {
            Event::Accepted(attempt)
            | Event::Refused(attempt, _)
            | Event::Head(attempt)
            | Event::Chunk(attempt, _)
            | Event::End(attempt, _)
            | Event::Aborted(attempt, _)
            | Event::Resumed(attempt) => attempt,
            _ => return,
        };
        let item = Item::ToEntry(origin, Box::new(event), execution);
        if stream.shuffled {
            self.send(item);
            return;
        }
        if stream.broken {
            return;
        }
        if self.chance(self.faults.loss) {
            self.oracle.note("broken_streams");
            stream.broken = true;
            return self.break_link(origin, attempt);
        }
        let delay = std::time::Duration::from_micros(self.draw_delay());
        stream.last = stream.last.max(self.now + delay);
        if self.chance(self.faults.copies) {
            self.push_at(stream.last, item.clone());
        }
        self.push_at(stream.last, item);
    }
}

fn origin_request(key: Key) -> usize {
    usize::try_from(key.0.0 & u128::from(u64::MAX)).unwrap_or(usize::MAX)
}

fn refusal(reason: Reason) -> &'static str {
    match reason {
        Reason::WrongIncarnation => "refused_wrong_incarnation",
        Reason::StaleWindow => "refused_stale_window",
        Reason::Draining => "refused_draining",
        Reason::Duplicate => "refused_duplicate",
        Reason::Tombstone => "refused_tombstone",
        Reason::QueueFull => "refused_queue_full",
        Reason::Deadline => "refused_deadline",
        Reason::OutcomeLost => "refused_outcome_lost",
        _ => "refused_other",
    }
}
