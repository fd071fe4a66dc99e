//! Simulates the agents and engines of one group with a seeded event queue.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use siskinbend_groups::Action;
use siskinbend_groups::EngineState;
use siskinbend_groups::Envelope;
use siskinbend_groups::Event;
use siskinbend_groups::Fence;
use siskinbend_groups::LoadError;
use siskinbend_groups::MapRef;
use siskinbend_groups::Member;
use siskinbend_groups::Options;
use siskinbend_groups::Outcome;
use siskinbend_groups::RankIndex;
use siskinbend_groups::RecordWrite;
use siskinbend_types::Digest;
use siskinbend_types::FencingNumber;
use siskinbend_types::Incarnation;
use siskinbend_types::Time;

use super::engines::Engines;
use super::engines::LoadStart;
use super::faults::Faults;
use super::faults::draw_duration;
use super::stats::SwitchStats;

/// Planned duration of an engine step, which produces one token.
pub const STEP_TIME: Duration = Duration::from_millis(33);

/// A group that starts no step for this long counts as stuck: no injected fault lasts longer.
const MAX_STEP_AGE: Duration = Duration::from_secs(120);

/// Size of a plan that moves a few experts.
const PLAN_BYTES: usize = 512;

/// Fault injected into an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AgentFault {
    /// The agent is killed and restarts after this delay.
    Kill(Duration),
    /// The agent is paused for this time and resumes where it stopped.
    Pause(Duration),
}

/// A fault injected into the coordinator after a number of its actions, counted from the moment at
/// which the fault is scheduled.
#[derive(Debug, Clone, Copy)]
pub struct ScheduledFault {
    /// Actions that the coordinator executes before the fault.
    pub actions: u64,
    /// Fault that is injected then.
    pub fault: AgentFault,
}

/// Parameters of a run.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Seed of every random choice.
    pub seed: u64,
    /// Ranks of the group.
    pub ranks: u16,
    /// Steps after which the run ends.
    pub steps: u64,
    /// Time between two switches.
    pub period: Duration,
    /// Rates of the random faults.
    pub faults: Faults,
    /// Fault injected into the first coordinator that begins a switch.
    pub scheduled_fault: Option<ScheduledFault>,
    /// Ranks start steps although their gate is closed. Only tests set it.
    pub ignore_gates: bool,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            seed: 0,
            ranks: 64,
            steps: 3000,
            period: Duration::from_secs(3),
            faults: Faults::none(),
            scheduled_fault: None,
            ignore_gates: false,
        }
    }
}

#[derive(Debug)]
enum SimEvent {
    Message(Envelope),
    /// An event between an agent and its engine; dropped if the agent has restarted since.
    Local(usize, u64, Event),
    Write(usize, u64, RecordWrite),
    Load(usize, u64, MapRef),
    LoadFinished(usize, u64, MapRef, u64, bool),
    Discard(usize, MapRef),
    Timer(usize, u64),
    ReadFencing(usize, u64),
    Restart(usize),
    Start(usize, u64, EngineState),
    Resume(usize, u64),
    StepFinished,
    BeginSwitch,
    RandomFault,
}

#[derive(Debug)]
struct Agent {
    member: Option<Member>,
    run: u64,
    fence: Fence,
    loading: Option<MapRef>,
    /// Offset of the agent's own clock in microseconds.
    clock_offset: u64,
    timer: u64,
    paused: bool,
    inbox: VecDeque<Event>,
    /// Actions that the agent had not executed yet when it was paused.
    pending_actions: Vec<Action>,
    scheduled_fault: Option<ScheduledFault>,
    partitioned_until: Time,
    was_leader: bool,
}

/// One simulated group with its agents.
#[derive(Debug)]
pub struct World {
    setup: Setup,
    options: Options,
    rng: ChaCha8Rng,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    /// Events by sequence number; `queue` contains only times and sequence numbers.
    events: HashMap<u64, SimEvent>,
    sequence: u64,
    agents: Vec<Agent>,
    engines: Engines,
    fencing: FencingNumber,
    lease_holder: usize,
    store_available_at: Time,
    engine_stall: Duration,
    step_started_at: Time,
    /// Pairs of agents that can't reach each other, with the end of the interruption.
    broken_links: Vec<(usize, usize, Time)>,
    fault_injected: bool,
    stats: SwitchStats,
}

impl World {
    /// Creates a group that has not started its first step.
    pub fn start(setup: Setup) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let agents = (0..setup.ranks).map(|_| Agent {
            member: None,
            run: 0,
            fence: Fence::new(false),
            loading: None,
            clock_offset: rng.random_range(0..1 << 40),
            timer: 0,
            paused: false,
            inbox: VecDeque::new(),
            pending_actions: Vec::new(),
            scheduled_fault: None,
            partitioned_until: Time(0),
            was_leader: false,
        });
        let agents: Vec<Agent> = agents.collect();
        let options = Options {
            ranks: setup.ranks,
            load_timeout: Duration::from_secs(5),
            ..Options::default()
        };
        let mut world = Self {
            engines: Engines::start(setup.ranks, setup.ignore_gates),
            setup,
            options,
            rng,
            now: Time(0),
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            agents,
            fencing: FencingNumber(1),
            lease_holder: 0,
            store_available_at: Time(0),
            engine_stall: Duration::ZERO,
            step_started_at: Time(0),
            broken_links: Vec::new(),
            fault_injected: false,
            stats: SwitchStats::default(),
        };
        for rank in 0..world.agents.len() {
            world.schedule(Duration::ZERO, SimEvent::Restart(rank));
        }
        let period = world.setup.period;
        world.schedule(period, SimEvent::BeginSwitch);
        if !world.setup.faults.disturbance_interval.is_zero() {
            world.schedule(period, SimEvent::RandomFault);
        }
        world.start_step_on_all();
        world
    }

    /// Runs until the configured number of steps has started.
    ///
    /// # Errors
    ///
    /// Returns a message if the group stops making progress.
    pub fn run(&mut self) -> Result<SwitchStats, String> {
        while self.stats.steps < self.setup.steps {
            let Some(Reverse((at, sequence))) = self.queue.pop() else {
                return Err(format!(
                    "seed {}: the event queue is empty",
                    self.setup.seed
                ));
            };
            self.now = at;
            if at.since(self.step_started_at) > MAX_STEP_AGE {
                let (seed, step) = (self.setup.seed, self.engines.completed_step);
                return Err(format!("seed {seed}: the group stopped after step {step}"));
            }
            if let Some(event) = self.events.remove(&sequence) {
                self.handle_event(event);
            }
        }
        Ok(self.stats.clone())
    }

    fn schedule(&mut self, delay: Duration, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Schedules an event between an agent and its engine, unless the event is lost.
    fn schedule_local(&mut self, event: SimEvent) {
        if let Some(delay) = self.setup.faults.draw_command_delay(&mut self.rng) {
            self.schedule(delay, event);
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Message(envelope) => {
                let to = envelope.to.as_usize();
                if self.now >= self.agents[to].partitioned_until {
                    self.deliver(to, Event::Message(envelope));
                }
            }
            SimEvent::Local(rank, run, event) => {
                if run == self.agents[rank].run {
                    if matches!(event, Event::WeightsLoaded(_) | Event::WeightsFailed(..)) {
                        self.agents[rank].fence.finish();
                        self.agents[rank].loading = None;
                    }
                    self.deliver(rank, event);
                }
            }
            SimEvent::Write(rank, run, write) => self.write(rank, run, &write),
            SimEvent::Load(rank, run, map) => self.load(rank, run, map),
            SimEvent::LoadFinished(rank, run, map, number, loaded) => {
                if self.engines.finish_load(rank, map, number, loaded) {
                    self.report_load(rank, run, map, loaded);
                }
            }
            SimEvent::Discard(rank, map) => self.engines.discard(rank, map),
            SimEvent::Timer(rank, number) => {
                if self.agents[rank].timer == number {
                    self.deliver(rank, Event::Timer);
                }
            }
            SimEvent::ReadFencing(rank, run) => self.read_fencing(rank, run),
            SimEvent::Restart(rank) => {
                let start = SimEvent::Start(rank, self.agents[rank].run, self.engines.report(rank));
                let delay = draw_duration(&mut self.rng, 100, 5_000);
                self.schedule(delay, start);
            }
            SimEvent::Start(rank, run, state) => self.start_agent(rank, run, state),
            SimEvent::Resume(rank, run) => self.resume(rank, run),
            SimEvent::StepFinished => {
                self.engines.finish_step(self.now);
                self.start_step_on_all();
            }
            SimEvent::BeginSwitch => self.begin_switches(),
            SimEvent::RandomFault => self.inject_random_fault(),
        }
    }

    fn start_agent(&mut self, rank: usize, run: u64, state: EngineState) {
        if run != self.agents[rank].run {
            return;
        }
        let incarnation = Incarnation(self.rng.random());
        let me = RankIndex(u16::try_from(rank).unwrap_or(u16::MAX));
        let local = Time(self.now.0 + self.agents[rank].clock_offset);
        let mut actions = Vec::new();
        let member = Member::start(
            me,
            incarnation,
            self.options.clone(),
            state,
            local,
            &mut actions,
        );
        let agent = &mut self.agents[rank];
        agent.member = Some(member);
        agent.fence = Fence::new(rank.is_multiple_of(2));
        agent.loading = None;
        self.schedule(Duration::from_millis(5), SimEvent::ReadFencing(rank, run));
        self.perform(rank, actions);
    }

    fn read_fencing(&mut self, rank: usize, run: u64) {
        if self.now < self.store_available_at {
            let wait = self.store_available_at.since(self.now);
            self.schedule(wait, SimEvent::ReadFencing(rank, run));
        } else if run == self.agents[rank].run {
            self.agents[rank].fence.raise_to(self.fencing);
        }
    }

    fn deliver(&mut self, rank: usize, event: Event) {
        let agent = &mut self.agents[rank];
        let Some(member) = &mut agent.member else {
            return;
        };
        if agent.paused {
            agent.inbox.push_back(event);
            return;
        }
        let mut actions = Vec::new();
        member.handle(event, Time(self.now.0 + agent.clock_offset), &mut actions);
        let is_leader = member.is_leader();
        if is_leader && !agent.was_leader {
            self.stats.takeovers += 1;
        }
        agent.was_leader = is_leader;
        self.perform(rank, actions);
    }

    fn perform(&mut self, rank: usize, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            if let Some(scheduled) = &mut self.agents[rank].scheduled_fault {
                if scheduled.actions == 0 {
                    let fault = scheduled.fault;
                    self.agents[rank].scheduled_fault = None;
                    self.fault_injected = true;
                    actions.push_front(action);
                    self.inject_fault(rank, fault);
                    if matches!(fault, AgentFault::Pause(_)) {
                        self.agents[rank].pending_actions.extend(actions);
                    }
                    return;
                }
                scheduled.actions -= 1;
            }
            self.execute(rank, action);
        }
    }

    fn execute(&mut self, rank: usize, action: Action) {
        let run = self.agents[rank].run;
        match action {
            Action::Send(envelope) => self.send(&envelope),
            Action::LoadWeights { map, fencing, .. } => {
                let agent = &mut self.agents[rank];
                if agent.loading.replace(map) == Some(map) {
                    // A retried command: the first copy may have been lost.
                    agent.fence.finish();
                }
                match agent.fence.admit(fencing) {
                    Ok(()) => self.schedule_local(SimEvent::Load(rank, run, map)),
                    Err(refusal) => {
                        let event = Event::WeightsFailed(map, refusal.into());
                        self.schedule(Duration::ZERO, SimEvent::Local(rank, run, event));
                    }
                }
            }
            Action::DiscardWeights(map) => {
                let agent = &mut self.agents[rank];
                if agent.loading.take_if(|loading| *loading == map).is_some() {
                    agent.fence.finish();
                }
                self.schedule_local(SimEvent::Discard(rank, map));
            }
            Action::WriteRecord(write) => self.schedule_local(SimEvent::Write(rank, run, write)),
            Action::SetTimer(at) => {
                let agent = &mut self.agents[rank];
                agent.timer += 1;
                let event = SimEvent::Timer(rank, agent.timer);
                let delay = at.since(Time(self.now.0 + agent.clock_offset));
                self.schedule(delay, event);
            }
            Action::Report(Outcome::Aborted { reason, .. }) => self.stats.record_abort(reason),
            Action::Report(_) => {}
        }
    }

    fn send(&mut self, envelope: &Envelope) {
        self.stats.messages += 1;
        let bytes = postcard::to_allocvec(envelope).map_or(0, |b| b.len());
        self.stats.bytes += bytes as u64;
        let (from, to) = (envelope.from.as_usize(), envelope.to.as_usize());
        let now = self.now;
        let cut = |&(a, b, until): &(usize, usize, Time)| {
            now < until && ((a, b) == (from, to) || (b, a) == (from, to))
        };
        if now < self.agents[from].partitioned_until || self.broken_links.iter().any(cut) {
            return;
        }
        for delay in self.setup.faults.draw_arrival_delays(&mut self.rng) {
            self.schedule(delay, SimEvent::Message(envelope.clone()));
        }
    }

    fn write(&mut self, rank: usize, run: u64, write: &RecordWrite) {
        let before = self.engines.ranks[rank].state.record.committed;
        let answer = self.engines.write(rank, write);
        if rank == 0 && answer.record.committed != before {
            self.stats.switches += 1;
        }
        self.schedule_local(SimEvent::Local(rank, run, Event::EngineReport(answer)));
        self.start_step(rank);
        self.check_step_started();
    }

    fn load(&mut self, rank: usize, run: u64, map: MapRef) {
        self.sequence += 1;
        let number = self.sequence;
        let (time, loaded) = self.setup.faults.draw_load(&mut self.rng);
        match self.engines.start_load(rank, map, number) {
            LoadStart::Started => {
                let event = SimEvent::LoadFinished(rank, run, map, number, loaded);
                self.schedule(time, event);
            }
            LoadStart::InProgress => {}
            LoadStart::AlreadyLoaded => self.report_load(rank, run, map, true),
            LoadStart::Refused => self.report_load(rank, run, map, false),
        }
    }

    fn report_load(&mut self, rank: usize, run: u64, map: MapRef, loaded: bool) {
        let event = if loaded {
            Event::WeightsLoaded(map)
        } else {
            Event::WeightsFailed(map, LoadError::Failed)
        };
        self.schedule_local(SimEvent::Local(rank, run, event));
    }

    fn start_step(&mut self, rank: usize) {
        if self.engines.try_start_step(rank) {
            let report = Event::EngineReport(self.engines.report(rank));
            self.schedule_local(SimEvent::Local(rank, self.agents[rank].run, report));
        }
    }

    fn start_step_on_all(&mut self) {
        for rank in 0..self.agents.len() {
            self.start_step(rank);
        }
        self.check_step_started();
    }

    fn check_step_started(&mut self) {
        // The current step has been counted already.
        let counted = self.engines.completed_step.0 < self.stats.steps;
        if !counted && self.engines.check_step_started(self.now, &mut self.stats) {
            let micros = STEP_TIME.as_micros() as u64;
            let jitter = draw_duration(&mut self.rng, micros * 9 / 10, micros * 11 / 10);
            let time = jitter + std::mem::take(&mut self.engine_stall);
            self.step_started_at = self.now;
            self.schedule(time, SimEvent::StepFinished);
        }
    }

    /// Begins a switch at every agent that acts as leader.
    fn begin_switches(&mut self) {
        let period = self.setup.period;
        self.schedule(period, SimEvent::BeginSwitch);
        for rank in 0..self.agents.len() {
            let agent = &mut self.agents[rank];
            let Some(member) = agent.member.as_mut().filter(|m| m.is_leader()) else {
                continue;
            };
            if agent.paused || self.now < self.store_available_at {
                continue;
            }
            if self.lease_holder != rank {
                self.lease_holder = rank;
                self.fencing = self.fencing.next();
            }
            let version = member.rank().state().record.committed.map.version.next();
            let digest = Digest(self.rng.random());
            let map = MapRef { version, digest };
            let local = Time(self.now.0 + agent.clock_offset);
            let mut actions = Vec::new();
            let plan = vec![0; PLAN_BYTES];
            if member
                .begin(map, plan, self.fencing, local, &mut actions)
                .is_err()
            {
                continue;
            }
            if let Some(scheduled) = self.setup.scheduled_fault.take() {
                agent.scheduled_fault = Some(scheduled);
            }
            self.perform(rank, actions);
        }
    }

    fn inject_fault(&mut self, rank: usize, fault: AgentFault) {
        let agent = &mut self.agents[rank];
        match fault {
            AgentFault::Kill(delay) if agent.member.is_some() => {
                agent.member = None;
                agent.run += 1;
                agent.timer += 1;
                agent.paused = false;
                agent.was_leader = false;
                agent.scheduled_fault = None;
                agent.inbox.clear();
                agent.pending_actions.clear();
                self.stats.deaths += 1;
                self.schedule(delay, SimEvent::Restart(rank));
            }
            AgentFault::Pause(time) if agent.member.is_some() && !agent.paused => {
                agent.paused = true;
                let run = agent.run;
                self.schedule(time, SimEvent::Resume(rank, run));
            }
            _ => {}
        }
    }

    fn resume(&mut self, rank: usize, run: u64) {
        let agent = &mut self.agents[rank];
        if agent.run != run || !agent.paused {
            return;
        }
        agent.paused = false;
        let actions = std::mem::take(&mut agent.pending_actions);
        let inbox = std::mem::take(&mut agent.inbox);
        self.perform(rank, actions);
        for event in inbox {
            self.deliver(rank, event);
        }
    }

    /// Injects one random fault and schedules the next.
    fn inject_random_fault(&mut self) {
        let mean = self.setup.faults.disturbance_interval.as_micros() as u64;
        let wait = draw_duration(&mut self.rng, 0, mean * 2);
        self.schedule(wait, SimEvent::RandomFault);
        let any = self.rng.random_range(0..self.agents.len());
        let leader = self.agents.iter().position(|a| a.was_leader).unwrap_or(any);
        let kill = AgentFault::Kill(draw_duration(&mut self.rng, 100_000, 5_000_000));
        let pause = AgentFault::Pause(draw_duration(&mut self.rng, 50_000, 8_000_000));
        let actions = self.rng.random_range(0..=self.agents.len() as u64 * 8);
        match self.rng.random_range(0..9) {
            0 => self.inject_fault(any, kill),
            1 => self.inject_fault(any, pause),
            2 => {
                let fault = kill;
                self.agents[leader].scheduled_fault = Some(ScheduledFault { actions, fault });
            }
            3 => {
                let fault = pause;
                self.agents[leader].scheduled_fault = Some(ScheduledFault { actions, fault });
            }
            4 => {
                let span = draw_duration(&mut self.rng, 100_000, 5_000_000);
                self.agents[any].partitioned_until = self.now + span;
            }
            5 => self.engine_stall = draw_duration(&mut self.rng, 100_000, 2_000_000),
            6 => {
                let scale = self.rng.random_range(5..=7);
                self.store_available_at =
                    self.now + draw_duration(&mut self.rng, 0, 6 * 10u64.pow(scale));
            }
            7 => {
                let until = self.now + draw_duration(&mut self.rng, 100_000, 10_000_000);
                self.broken_links.retain(|(_, _, until)| self.now < *until);
                self.broken_links.push((any, leader, until));
            }
            _ => {
                self.inject_fault(any, kill);
                self.inject_fault(leader, pause);
            }
        }
    }

    /// Returns whether a scheduled fault has been injected.
    pub fn is_fault_injected(&self) -> bool {
        self.fault_injected
    }
}
