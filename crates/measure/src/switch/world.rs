//! Drives the agents and the engine of one group through one seeded queue.

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
use super::faults::draw;
use super::tally::Tally;

/// Time of an engine step, as planned between two tokens.
pub const STEP_TIME: Duration = Duration::from_millis(33);

/// A group that starts no step for this long has stopped for good: no disturbance lasts longer.
const STUCK_AFTER: Duration = Duration::from_secs(120);

/// Size of a plan that moves a few experts.
const PLAN_BYTES: usize = 512;

/// What ends an agent's activity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blow {
    /// The agent dies and is started again after this time.
    Kill(Duration),
    /// The agent is paused and resumes where it stopped.
    Pause(Duration),
}

/// A blow to the coordinator after a number of its actions, counted from the first switch.
#[derive(Debug, Clone, Copy)]
pub struct Ambush {
    /// Actions that it still carries out.
    pub actions: u64,
    /// The blow.
    pub blow: Blow,
}

/// What to run.
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
    /// Faults.
    pub faults: Faults,
    /// A blow to the first coordinator that begins a switch.
    pub ambush: Option<Ambush>,
    /// Ranks start steps in spite of a closed gate; only tests set it.
    pub open_gates: bool,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            seed: 0,
            ranks: 64,
            steps: 3000,
            period: Duration::from_secs(3),
            faults: Faults::none(),
            ambush: None,
            open_gates: false,
        }
    }
}

#[derive(Debug)]
enum Kind {
    Message(Envelope),
    /// Something local to one run of an agent; lost if the agent has been started anew.
    Input(usize, u64, Event),
    Write(usize, u64, RecordWrite),
    Load(usize, u64, MapRef),
    LoadEnd(usize, u64, MapRef, u64, bool),
    Discard(usize, MapRef),
    Timer(usize, u64),
    Learn(usize, u64),
    Restart(usize),
    Start(usize, u64, EngineState),
    Resume(usize, u64),
    StepEnd,
    Begin,
    Disturb,
}

#[derive(Debug)]
struct Agent {
    member: Option<Member>,
    run: u64,
    fence: Fence,
    loading: Option<MapRef>,
    /// Origin of the agent's own clock.
    origin: u64,
    timer: u64,
    paused: bool,
    inbox: VecDeque<Event>,
    /// Actions that the agent was about to carry out when it was paused.
    halted: Vec<Action>,
    ambush: Option<Ambush>,
    cut_until: Time,
    leads: bool,
}

/// One group with its agents.
#[derive(Debug)]
pub struct World {
    setup: Setup,
    options: Options,
    rng: ChaCha8Rng,
    now: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    /// Events by their sequence number; the queue holds only the order.
    events: HashMap<u64, Kind>,
    sequence: u64,
    agents: Vec<Agent>,
    engines: Engines,
    fencing: FencingNumber,
    lease_holder: usize,
    store_up: Time,
    stall: Duration,
    entered_at: Time,
    /// Pairs of agents that can't reach each other, and until when.
    cuts: Vec<(usize, usize, Time)>,
    ambushed: bool,
    tally: Tally,
}

impl World {
    /// Builds a group before its first step.
    pub fn start(setup: Setup) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
        let agents = (0..setup.ranks).map(|_| Agent {
            member: None,
            run: 0,
            fence: Fence::new(false),
            loading: None,
            origin: rng.random_range(0..1 << 40),
            timer: 0,
            paused: false,
            inbox: VecDeque::new(),
            halted: Vec::new(),
            ambush: None,
            cut_until: Time(0),
            leads: false,
        });
        let agents: Vec<Agent> = agents.collect();
        let options = Options {
            ranks: setup.ranks,
            load_timeout: Duration::from_secs(5),
            ..Options::default()
        };
        let mut world = Self {
            engines: Engines::start(setup.ranks, setup.open_gates),
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
            store_up: Time(0),
            stall: Duration::ZERO,
            entered_at: Time(0),
            cuts: Vec::new(),
            ambushed: false,
            tally: Tally::default(),
        };
        for rank in 0..world.agents.len() {
            world.push(Duration::ZERO, Kind::Restart(rank));
        }
        let period = world.setup.period;
        world.push(period, Kind::Begin);
        if !world.setup.faults.disturbance_interval.is_zero() {
            world.push(period, Kind::Disturb);
        }
        world.enter_all();
        world
    }

    /// Runs to the last step.
    ///
    /// # Errors
    ///
    /// Returns a sentence if the group stops for good.
    pub fn run(&mut self) -> Result<Tally, String> {
        while self.tally.steps < self.setup.steps {
            let Some(Reverse((at, sequence))) = self.queue.pop() else {
                return Err(format!("seed {}: nothing is left to do", self.setup.seed));
            };
            self.now = at;
            if at.since(self.entered_at) > STUCK_AFTER {
                let (seed, step) = (self.setup.seed, self.engines.ended);
                return Err(format!("seed {seed}: the group stopped after step {step}"));
            }
            if let Some(kind) = self.events.remove(&sequence) {
                self.act(kind);
            }
        }
        Ok(self.tally.clone())
    }

    fn push(&mut self, delay: Duration, kind: Kind) {
        self.sequence += 1;
        self.queue.push(Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, kind);
    }

    /// Queues an event that crosses between an agent and its engine, unless it is lost.
    fn push_local(&mut self, kind: Kind) {
        if let Some(delay) = self.setup.faults.draw_local(&mut self.rng) {
            self.push(delay, kind);
        }
    }

    fn act(&mut self, kind: Kind) {
        match kind {
            Kind::Message(envelope) => {
                let to = envelope.to.as_usize();
                if self.now >= self.agents[to].cut_until {
                    self.feed(to, Event::Message(envelope));
                }
            }
            Kind::Input(rank, run, event) => {
                if run == self.agents[rank].run {
                    if matches!(event, Event::WeightsLoaded(_) | Event::WeightsFailed(..)) {
                        self.agents[rank].fence.finish();
                        self.agents[rank].loading = None;
                    }
                    self.feed(rank, event);
                }
            }
            Kind::Write(rank, run, write) => self.write(rank, run, &write),
            Kind::Load(rank, run, map) => self.load(rank, run, map),
            Kind::LoadEnd(rank, run, map, number, loaded) => {
                if self.engines.end_load(rank, map, number, loaded) {
                    self.answer_load(rank, run, map, loaded);
                }
            }
            Kind::Discard(rank, map) => self.engines.discard(rank, map),
            Kind::Timer(rank, number) => {
                if self.agents[rank].timer == number {
                    self.feed(rank, Event::Timer);
                }
            }
            Kind::Learn(rank, run) => self.learn(rank, run),
            Kind::Restart(rank) => {
                let start = Kind::Start(rank, self.agents[rank].run, self.engines.view(rank));
                let delay = draw(&mut self.rng, 100, 5_000);
                self.push(delay, start);
            }
            Kind::Start(rank, run, state) => self.start_agent(rank, run, state),
            Kind::Resume(rank, run) => self.resume(rank, run),
            Kind::StepEnd => {
                self.engines.end_step(self.now);
                self.enter_all();
            }
            Kind::Begin => self.begin(),
            Kind::Disturb => self.disturb(),
        }
    }

    fn start_agent(&mut self, rank: usize, run: u64, state: EngineState) {
        if run != self.agents[rank].run {
            return;
        }
        let incarnation = Incarnation(self.rng.random());
        let me = RankIndex(u16::try_from(rank).unwrap_or(u16::MAX));
        let local = Time(self.now.0 + self.agents[rank].origin);
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
        self.push(Duration::from_millis(5), Kind::Learn(rank, run));
        self.perform(rank, actions);
    }

    fn learn(&mut self, rank: usize, run: u64) {
        if self.now < self.store_up {
            let wait = self.store_up.since(self.now);
            self.push(wait, Kind::Learn(rank, run));
        } else if run == self.agents[rank].run {
            self.agents[rank].fence.raise_to(self.fencing);
        }
    }

    fn feed(&mut self, rank: usize, event: Event) {
        let agent = &mut self.agents[rank];
        let Some(member) = &mut agent.member else {
            return;
        };
        if agent.paused {
            agent.inbox.push_back(event);
            return;
        }
        let mut actions = Vec::new();
        member.handle(event, Time(self.now.0 + agent.origin), &mut actions);
        let leads = member.is_leader();
        if leads && !agent.leads {
            self.tally.takeovers += 1;
        }
        agent.leads = leads;
        self.perform(rank, actions);
    }

    fn perform(&mut self, rank: usize, actions: Vec<Action>) {
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            if let Some(ambush) = &mut self.agents[rank].ambush {
                if ambush.actions == 0 {
                    let blow = ambush.blow;
                    self.agents[rank].ambush = None;
                    self.ambushed = true;
                    actions.push_front(action);
                    self.strike(rank, blow);
                    if matches!(blow, Blow::Pause(_)) {
                        self.agents[rank].halted.extend(actions);
                    }
                    return;
                }
                ambush.actions -= 1;
            }
            self.carry_out(rank, action);
        }
    }

    fn carry_out(&mut self, rank: usize, action: Action) {
        let run = self.agents[rank].run;
        match action {
            Action::Send(envelope) => self.send(&envelope),
            Action::LoadWeights { map, fencing, .. } => {
                let agent = &mut self.agents[rank];
                if agent.loading.replace(map) == Some(map) {
                    // A repeated command; its first copy may be lost.
                    agent.fence.finish();
                }
                match agent.fence.admit(fencing) {
                    Ok(()) => self.push_local(Kind::Load(rank, run, map)),
                    Err(refusal) => {
                        let event = Event::WeightsFailed(map, refusal.into());
                        self.push(Duration::ZERO, Kind::Input(rank, run, event));
                    }
                }
            }
            Action::DiscardWeights(map) => {
                let agent = &mut self.agents[rank];
                if agent.loading.take_if(|loading| *loading == map).is_some() {
                    agent.fence.finish();
                }
                self.push_local(Kind::Discard(rank, map));
            }
            Action::WriteRecord(write) => self.push_local(Kind::Write(rank, run, write)),
            Action::SetTimer(at) => {
                let agent = &mut self.agents[rank];
                agent.timer += 1;
                let kind = Kind::Timer(rank, agent.timer);
                let delay = at.since(Time(self.now.0 + agent.origin));
                self.push(delay, kind);
            }
            Action::Report(Outcome::Aborted { reason, .. }) => self.tally.note_abort(reason),
            Action::Report(_) => {}
        }
    }

    fn send(&mut self, envelope: &Envelope) {
        self.tally.messages += 1;
        let bytes = postcard::to_allocvec(envelope).map_or(0, |b| b.len());
        self.tally.bytes += bytes as u64;
        let (from, to) = (envelope.from.as_usize(), envelope.to.as_usize());
        let now = self.now;
        let cut = |&(a, b, until): &(usize, usize, Time)| {
            now < until && ((a, b) == (from, to) || (b, a) == (from, to))
        };
        if now < self.agents[from].cut_until || self.cuts.iter().any(cut) {
            return;
        }
        for delay in self.setup.faults.draw_arrivals(&mut self.rng) {
            self.push(delay, Kind::Message(envelope.clone()));
        }
    }

    fn write(&mut self, rank: usize, run: u64, write: &RecordWrite) {
        let before = self.engines.ranks[rank].state.record.committed;
        let answer = self.engines.write(rank, write);
        if rank == 0 && answer.record.committed != before {
            self.tally.switches += 1;
        }
        self.push_local(Kind::Input(rank, run, Event::EngineReport(answer)));
        self.enter(rank);
        self.check_entered();
    }

    fn load(&mut self, rank: usize, run: u64, map: MapRef) {
        self.sequence += 1;
        let number = self.sequence;
        let (time, loaded) = self.setup.faults.draw_load(&mut self.rng);
        match self.engines.begin_load(rank, map, number) {
            LoadStart::Started => self.push(time, Kind::LoadEnd(rank, run, map, number, loaded)),
            LoadStart::Repeated => {}
            LoadStart::Done => self.answer_load(rank, run, map, true),
            LoadStart::Refused => self.answer_load(rank, run, map, false),
        }
    }

    fn answer_load(&mut self, rank: usize, run: u64, map: MapRef, loaded: bool) {
        let event = if loaded {
            Event::WeightsLoaded(map)
        } else {
            Event::WeightsFailed(map, LoadError::Failed)
        };
        self.push_local(Kind::Input(rank, run, event));
    }

    fn enter(&mut self, rank: usize) {
        if self.engines.try_enter(rank) {
            let report = Event::EngineReport(self.engines.view(rank));
            self.push_local(Kind::Input(rank, self.agents[rank].run, report));
        }
    }

    fn enter_all(&mut self) {
        for rank in 0..self.agents.len() {
            self.enter(rank);
        }
        self.check_entered();
    }

    fn check_entered(&mut self) {
        // A step that is under way is counted already.
        let counted = self.engines.ended.0 < self.tally.steps;
        if !counted && self.engines.check_entered(self.now, &mut self.tally) {
            let micros = STEP_TIME.as_micros() as u64;
            let jitter = draw(&mut self.rng, micros * 9 / 10, micros * 11 / 10);
            let time = jitter + std::mem::take(&mut self.stall);
            self.entered_at = self.now;
            self.push(time, Kind::StepEnd);
        }
    }

    /// Begins a switch at every agent that believes it leads.
    fn begin(&mut self) {
        let period = self.setup.period;
        self.push(period, Kind::Begin);
        for rank in 0..self.agents.len() {
            let agent = &mut self.agents[rank];
            let Some(member) = agent.member.as_mut().filter(|m| m.is_leader()) else {
                continue;
            };
            if agent.paused || self.now < self.store_up {
                continue;
            }
            if self.lease_holder != rank {
                self.lease_holder = rank;
                self.fencing = self.fencing.next();
            }
            let version = member.rank().state().record.committed.map.version.next();
            let digest = Digest(self.rng.random());
            let map = MapRef { version, digest };
            let local = Time(self.now.0 + agent.origin);
            let mut actions = Vec::new();
            let plan = vec![0; PLAN_BYTES];
            if member
                .begin(map, plan, self.fencing, local, &mut actions)
                .is_err()
            {
                continue;
            }
            if let Some(ambush) = self.setup.ambush.take() {
                agent.ambush = Some(ambush);
            }
            self.perform(rank, actions);
        }
    }

    fn strike(&mut self, rank: usize, blow: Blow) {
        let agent = &mut self.agents[rank];
        match blow {
            Blow::Kill(delay) if agent.member.is_some() => {
                agent.member = None;
                agent.run += 1;
                agent.timer += 1;
                agent.paused = false;
                agent.leads = false;
                agent.ambush = None;
                agent.inbox.clear();
                agent.halted.clear();
                self.tally.deaths += 1;
                self.push(delay, Kind::Restart(rank));
            }
            Blow::Pause(time) if agent.member.is_some() && !agent.paused => {
                agent.paused = true;
                let run = agent.run;
                self.push(time, Kind::Resume(rank, run));
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
        let halted = std::mem::take(&mut agent.halted);
        let inbox = std::mem::take(&mut agent.inbox);
        self.perform(rank, halted);
        for event in inbox {
            self.feed(rank, event);
        }
    }

    /// Causes one random disturbance and plans the next.
    fn disturb(&mut self) {
        let mean = self.setup.faults.disturbance_interval.as_micros() as u64;
        let wait = draw(&mut self.rng, 0, mean * 2);
        self.push(wait, Kind::Disturb);
        let any = self.rng.random_range(0..self.agents.len());
        let leader = self.agents.iter().position(|a| a.leads).unwrap_or(any);
        let kill = Blow::Kill(draw(&mut self.rng, 100_000, 5_000_000));
        let pause = Blow::Pause(draw(&mut self.rng, 50_000, 8_000_000));
        let actions = self.rng.random_range(0..=self.agents.len() as u64 * 8);
        match self.rng.random_range(0..9) {
            0 => self.strike(any, kill),
            1 => self.strike(any, pause),
            2 => {
                let blow = kill;
                self.agents[leader].ambush = Some(Ambush { actions, blow });
            }
            3 => {
                let blow = pause;
                self.agents[leader].ambush = Some(Ambush { actions, blow });
            }
            4 => {
                let span = draw(&mut self.rng, 100_000, 5_000_000);
                self.agents[any].cut_until = self.now + span;
            }
            5 => self.stall = draw(&mut self.rng, 100_000, 2_000_000),
            6 => {
                let scale = self.rng.random_range(5..=7);
                self.store_up = self.now + draw(&mut self.rng, 0, 6 * 10u64.pow(scale));
            }
            7 => {
                let until = self.now + draw(&mut self.rng, 100_000, 10_000_000);
                self.cuts.retain(|(_, _, until)| self.now < *until);
                self.cuts.push((any, leader, until));
            }
            _ => {
                self.strike(any, kill);
                self.strike(leader, pause);
            }
        }
    }

    /// Tells whether the ambush of the setup took place.
    pub fn was_ambushed(&self) -> bool {
        self.ambushed
    }
}
