//! Simulates an agent with its backend server.

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

use super::faults::MAX_BUFFERED_FRAMES;
use super::faults::MAX_QUEUED;
use super::faults::MAX_RUNNING;
use super::faults::RESUME_TIMEOUT_US;
use super::load::key_digest;
use super::load::organisation;
use super::load::service;
use super::oracle::Execution;
use super::world::AgentReport;
use super::world::Origin;
use super::world::Process;
use super::world::SimEvent;
use super::world::ToAgent;
use super::world::World;

type Key = (RequestId, Attempt);

/// An attempt at an agent.
#[derive(Debug)]
struct Job {
    dispatch: ledger::Dispatch,
    origin: Origin,
    deadline: Time,
    stream: Stream,
    resume_buffer: ResumeBuffer<Event>,
    /// The execution; 0 while the attempt is queued.
    execution: Execution,
    chunks: u64,
    /// Time between two steps in microseconds.
    step_interval_us: u64,
    /// Step at which the backend server fails.
    failure_step: Option<u64>,
}

/// Stream of the frames of one attempt to its entry.
#[derive(Debug, Clone, Copy)]
struct Stream {
    /// Whether frames may be reordered and lost one by one.
    reordered: bool,
    /// Arrival time of the last frame.
    last_arrival: Time,
    broken: bool,
}

/// An agent with its backend server.
#[derive(Debug)]
pub struct Agent {
    /// State of the process.
    pub process: Process,
    ledger: Ledger,
    incarnation: Incarnation,
    jobs: BTreeMap<Key, Job>,
    /// Finished attempts whose entry may still resume the stream.
    finished: BTreeMap<Key, Job>,
    queue: VecDeque<Key>,
    running: usize,
}

impl Agent {
    /// Creates an agent that has not started.
    pub fn new(index: usize, now: Time) -> Self {
        let incarnation = Incarnation(index as u64);
        Self {
            process: Process::default(),
            ledger: Ledger::new(ledger::Settings::default(), incarnation, now),
            incarnation,
            jobs: BTreeMap::new(),
            finished: BTreeMap::new(),
            queue: VecDeque::new(),
            running: 0,
        }
    }

    /// Returns the report of the agent; `None` if the agent is stopped or frozen.
    pub fn report(&mut self, now: Time) -> Option<AgentReport> {
        if !self.process.alive || self.process.frozen_until > now {
            return None;
        }
        self.ledger.advance_window(self.process.clock(now));
        Some(AgentReport {
            incarnation: self.incarnation,
            window: self.ledger.window(),
            draining: self.ledger.is_draining(),
        })
    }

    /// Starts draining; returns the run that drains, or `None` if the agent is draining already or
    /// stopped.
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
        let killed = &mut self.agents[agent];
        if !killed.process.alive {
            return;
        }
        killed.process.alive = false;
        killed.process.frozen_until = Time(0);
        killed.queue.clear();
        killed.finished.clear();
        killed.running = 0;
        // The backend server continues its running executions, but no entry receives the results.
        let jobs = std::mem::take(&mut killed.jobs);
        self.oracle.count_event("agent_stops");
        for (key, job) in jobs {
            self.break_connection(job.origin, key.1);
        }
        let pause = self.draw_log_uniform(100_000, 5_000_000);
        self.push(pause, SimEvent::StartAgent(agent));
    }

    /// Stops a draining agent that is idle.
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

    /// Finds the attempts of one run of an entry on all agents.
    pub(super) fn find_attempts(&self, entry: usize, run: u64) -> Vec<(usize, Origin, AttemptRef)> {
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

    pub(super) fn deliver_to_agent(
        &mut self,
        agent: usize,
        run: u64,
        origin: Origin,
        message: ToAgent,
    ) {
        let process = &self.agents[agent].process;
        if !process.alive || process.run != run {
            if let ToAgent::Dispatch(dispatch, _) = message {
                self.break_connection(origin, dispatch.attempt.attempt);
            }
            return;
        }
        let clock = process.clock(self.now);
        match message {
            ToAgent::Dispatch(dispatch, left) => self.admit(agent, origin, dispatch, clock + left),
            ToAgent::Cancel(attempt) => {
                let state = self.agents[agent].ledger.cancel(&attempt, clock);
                let event = Event::Cancelled(attempt.attempt, state);
                self.send(SimEvent::ToEntry(origin, Box::new(event), 0));
                let key = (attempt.id, attempt.attempt);
                let job = self.agents[agent].jobs.get(&key);
                if state == CancelState::Running && job.is_some_and(|job| job.dispatch.idempotent) {
                    self.end_job(agent, key, ExecutionResult::Failed);
                }
                self.stop_if_idle(agent);
            }
            ToAgent::Resume(attempt, received) => self.resume(agent, origin, &attempt, received),
            ToAgent::Lookup(attempt, owner, query_id) => {
                let found = self.agents[agent].ledger.lookup(&attempt, &owner, clock);
                let event = Box::new(Event::LookedUp(found));
                self.send(SimEvent::LookupReply(origin, query_id, event));
                self.stop_if_idle(agent);
            }
        }
    }

    fn admit(&mut self, agent: usize, origin: Origin, dispatch: ledger::Dispatch, deadline: Time) {
        let key = (dispatch.attempt.id, dispatch.attempt.attempt);
        let clock = self.agents[agent].process.clock(self.now);
        let admitted = self.agents[agent].ledger.admit(&dispatch, clock);
        let mut stream = Stream {
            reordered: self.draw_bool(self.faults.reordered),
            last_arrival: self.now,
            broken: false,
        };
        let refused = match admitted {
            Err(reason) => Some(reason),
            Ok(()) if self.agents[agent].queue.len() >= MAX_QUEUED => {
                self.agents[agent].ledger.refuse(key.0, key.1);
                Some(Reason::QueueFull)
            }
            Ok(()) => None,
        };
        if let Some(reason) = refused {
            self.oracle.count_event(refusal_label(reason));
            return self.send_frame(origin, &mut stream, Event::Refused(key.1, reason), 0);
        }
        self.send_frame(origin, &mut stream, Event::Accepted(key.1), 0);
        let job = Job {
            dispatch,
            origin,
            deadline,
            stream,
            resume_buffer: ResumeBuffer::new(ResumeSettings {
                max_bytes: MAX_BUFFERED_FRAMES,
                ..ResumeSettings::default()
            }),
            execution: 0,
            chunks: self.rng.random_range(0..6),
            step_interval_us: if self.draw_bool(0.03) {
                self.draw_log_uniform(10_000, 3_000_000)
            } else {
                self.draw_log_uniform(500, 10_000)
            },
            failure_step: None,
        };
        self.agents[agent].jobs.insert(key, job);
        self.agents[agent].queue.push_back(key);
        self.start_queued(agent);
    }

    /// Starts queued attempts while slots are free.
    fn start_queued(&mut self, agent: usize) {
        while self.agents[agent].running < MAX_RUNNING {
            let Some(key) = self.agents[agent].queue.pop_front() else {
                return;
            };
            self.start_job(agent, key);
        }
    }

    fn start_job(&mut self, agent: usize, key: Key) {
        let failure_step = self.draw_bool(self.faults.backend_failures);
        let failure_step = failure_step.then(|| self.rng.random_range(0..6));
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
            self.oracle.count_event(refusal_label(reason));
            self.send_frame(origin, &mut stream, Event::Refused(key.1, reason), 0);
            return self.stop_if_idle(agent);
        }
        server.running += 1;
        let request = request_number(key);
        job.execution = self.oracle.start(request, job.chunks, now);
        job.failure_step = failure_step.filter(|step| *step <= job.chunks);
        let interval = job.step_interval_us;
        self.check_claim(request, key);
        self.push(interval, SimEvent::ExecutionStep(agent, run, key, 0));
    }

    /// Checks that the claim row of a keyed operation refers to the attempt that starts.
    fn check_claim(&mut self, request: usize, key: Key) {
        let Some(operation) = self.oracle.request(request).operation else {
            return;
        };
        let name = key_digest(operation);
        let path = claim::claim_path(&organisation(operation), &service(), &name);
        let row = self.table.read(&path, self.now).map(|(row, ..)| row);
        let claimed =
            row.is_some_and(|row| (row.id, row.attempt) == key && row.state == ClaimState::Claimed);
        self.oracle.check_claim(operation, claimed);
    }

    /// Runs one step of the backend server, which sends the next part of an answer.
    pub(super) fn run_step(&mut self, agent: usize, run: u64, key: Key, step: u64) {
        if self.agents[agent].process.run != run {
            return;
        }
        let Some(job) = self.agents[agent].jobs.get_mut(&key) else {
            return;
        };
        let (origin, mut stream, execution) = (job.origin, job.stream, job.execution);
        let (chunks, interval) = (job.chunks, job.step_interval_us);
        let event = match step {
            _ if job.failure_step == Some(step) => Event::Aborted(key.1, Reason::BackendFailed),
            0 => Event::Head(key.1),
            step if step <= chunks => Event::Chunk(key.1, step - 1),
            _ => Event::End(key.1, chunks),
        };
        let end = match event {
            Event::Aborted(..) => Some(ExecutionResult::Failed),
            Event::End(..) => {
                let keyed = self.oracle.request(request_number(key)).operation.is_some();
                let kept = keyed && execution % 4 != 0;
                Some(ExecutionResult::Answered(
                    kept.then(|| self.oracle.store(execution)),
                ))
            }
            _ => None,
        };
        job.resume_buffer.push(event.clone(), 1);
        self.send_frame(origin, &mut stream, event, execution);
        self.update_stream(agent, key, stream);
        match end {
            Some(end) => self.end_job(agent, key, end),
            None => self.push(interval, SimEvent::ExecutionStep(agent, run, key, step + 1)),
        }
    }

    /// Stores the state of the stream after a frame, and starts the resume timeout if it broke.
    fn update_stream(&mut self, agent: usize, key: Key, stream: Stream) {
        let now = self.now;
        let server = &mut self.agents[agent];
        let (run, clock) = (server.process.run, server.process.clock(now));
        let Some(job) = server.jobs.get_mut(&key) else {
            return;
        };
        job.stream = stream;
        if stream.broken && !job.resume_buffer.is_disconnected() {
            job.resume_buffer.mark_disconnected(clock);
            self.push(RESUME_TIMEOUT_US, SimEvent::ResumeTimeout(agent, run, key));
        }
    }

    /// Resumes a broken stream to the entry that requests it.
    fn resume(&mut self, agent: usize, origin: Origin, attempt: &AttemptRef, received: u64) {
        let now = self.now;
        let key = (attempt.id, attempt.attempt);
        let server = &mut self.agents[agent];
        let clock = server.process.clock(now);
        let current = server.incarnation == attempt.incarnation;
        let job = server.jobs.get_mut(&key).or(server.finished.get_mut(&key));
        let resumed = job.filter(|_| current).and_then(|job| {
            let frames = job.resume_buffer.resume(received, clock).ok()?;
            Some((frames, job.execution))
        });
        let Some((frames, execution)) = resumed else {
            let event = Box::new(Event::NotResumed(key.1));
            self.send(SimEvent::ToEntry(origin, event, 0));
            return;
        };
        self.oracle.count_event("resumed");
        let mut stream = Stream {
            reordered: false,
            last_arrival: now,
            broken: false,
        };
        self.send_frame(origin, &mut stream, Event::Resumed(key.1), 0);
        for frame in frames {
            self.send_frame(origin, &mut stream, frame, execution);
        }
        self.update_stream(agent, key, stream);
    }

    /// Stops an idempotent execution whose entry has not resumed the stream in time.
    pub(super) fn handle_resume_timeout(&mut self, agent: usize, run: u64, key: Key) {
        let now = self.now;
        let server = &mut self.agents[agent];
        if server.process.run != run {
            return;
        }
        server.finished.remove(&key);
        let clock = server.process.clock(now);
        let expired = server.jobs.get(&key).is_some_and(|job| {
            job.resume_buffer.is_expired(clock) && job.dispatch.idempotent && job.execution > 0
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
            server.finished.insert(key, job);
        }
        server.running -= 1;
        server.ledger.finish(key.0, key.1, end, clock);
        self.push(RESUME_TIMEOUT_US, SimEvent::ResumeTimeout(agent, run, key));
        self.start_queued(agent);
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
        let item = SimEvent::ToEntry(origin, Box::new(event), execution);
        if stream.reordered {
            self.send(item);
            return;
        }
        if stream.broken {
            return;
        }
        if self.draw_bool(self.faults.loss) {
            self.oracle.count_event("broken_streams");
            stream.broken = true;
            return self.break_connection(origin, attempt);
        }
        let delay = std::time::Duration::from_micros(self.draw_delay());
        stream.last_arrival = stream.last_arrival.max(self.now + delay);
        if self.draw_bool(self.faults.duplicates) {
            self.push_at(stream.last_arrival, item.clone());
        }
        self.push_at(stream.last_arrival, item);
    }
}

fn request_number(key: Key) -> usize {
    usize::try_from(key.0.0 & u128::from(u64::MAX)).unwrap_or(usize::MAX)
}

fn refusal_label(reason: Reason) -> &'static str {
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
