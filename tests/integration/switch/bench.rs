//! A group for tests that control each message, engine write and agent individually.

use std::time::Duration;

use siskinbend_groups::Action;
use siskinbend_groups::BeginError;
use siskinbend_groups::Body;
use siskinbend_groups::Envelope;
use siskinbend_groups::Event;
use siskinbend_groups::MapRef;
use siskinbend_groups::Member;
use siskinbend_groups::Options;
use siskinbend_groups::Outcome;
use siskinbend_groups::RankIndex;
use siskinbend_groups::RecordWrite;
use siskinbend_groups::Step;
use siskinbend_measure::switch::engines::Engines;
use siskinbend_measure::switch::stats::SwitchStats;
use siskinbend_types::Digest;
use siskinbend_types::FencingNumber;
use siskinbend_types::Incarnation;
use siskinbend_types::Time;
use siskinbend_types::Version;

pub struct Bench {
    pub now: Time,
    pub engines: Engines,
    pub stats: SwitchStats,
    pub members: Vec<Option<Member>>,
    pub messages: Vec<Envelope>,
    pub outcomes: Vec<Outcome>,
    /// Ranks whose engine receives no writes; the writes go to `lost_writes`.
    pub blocked_writes: Vec<usize>,
    pub lost_writes: Vec<(usize, RecordWrite)>,
    pub loads_fail: bool,
    /// Ranks whose engine reports no steps.
    pub blocked_reports: Vec<usize>,
    timers: Vec<Option<Time>>,
    runs: u64,
}

pub fn map(version: u64) -> MapRef {
    MapRef {
        version: Version(version),
        digest: Digest([version as u8; 32]),
    }
}

impl Bench {
    /// Starts a group that rank 0 leads.
    pub fn start(ranks: u16) -> Self {
        let mut bench = Self {
            now: Time::from_millis(1_000),
            engines: Engines::start(ranks, false),
            stats: SwitchStats::default(),
            members: (0..ranks).map(|_| None).collect(),
            messages: Vec::new(),
            outcomes: Vec::new(),
            blocked_writes: Vec::new(),
            lost_writes: Vec::new(),
            loads_fail: false,
            blocked_reports: Vec::new(),
            timers: vec![None; usize::from(ranks)],
            runs: 0,
        };
        for rank in 0..usize::from(ranks) {
            bench.restart(rank);
        }
        bench.run_dropping(100, |_| false);
        assert!(bench.member(0).is_leader(), "rank 0 leads at first");
        assert_eq!(bench.step_until_held(5), 5);
        bench.deliver_all();
        bench.stats = SwitchStats::default();
        bench
    }

    pub fn member(&self, rank: usize) -> &Member {
        self.members[rank].as_ref().expect("the agent runs")
    }

    pub fn kill(&mut self, rank: usize) {
        self.members[rank] = None;
        self.timers[rank] = None;
    }

    pub fn restart(&mut self, rank: usize) {
        self.runs += 1;
        let incarnation = Incarnation(self.runs);
        let ranks = u16::try_from(self.members.len()).expect("few ranks");
        let options = Options {
            ranks,
            ..Options::default()
        };
        let state = self.engines.report(rank);
        let mut actions = Vec::new();
        let me = RankIndex(rank as u16);
        let member = Member::start(me, incarnation, options, state, self.now, &mut actions);
        self.members[rank] = Some(member);
        self.perform(rank, actions);
    }

    pub fn handle_event(&mut self, rank: usize, event: Event) {
        let mut actions = Vec::new();
        if let Some(member) = &mut self.members[rank] {
            member.handle(event, self.now, &mut actions);
        }
        self.perform(rank, actions);
    }

    pub fn begin(&mut self, rank: usize, map: MapRef) -> Result<(), BeginError> {
        let mut actions = Vec::new();
        let member = self.members[rank].as_mut().expect("the agent runs");
        let result = member.begin(map, Vec::new(), FencingNumber(1), self.now, &mut actions);
        self.perform(rank, actions);
        result
    }

    fn perform(&mut self, rank: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(envelope) => self.messages.push(envelope),
                Action::LoadWeights { map, .. } if !self.loads_fail => {
                    self.engines.start_load(rank, map, 0);
                    self.engines.finish_load(rank, map, 0, true);
                    self.handle_event(rank, Event::WeightsLoaded(map));
                }
                Action::LoadWeights { map, .. } => {
                    let error = siskinbend_groups::LoadError::Failed;
                    self.handle_event(rank, Event::WeightsFailed(map, error));
                }
                Action::DiscardWeights(map) => self.engines.discard(rank, map),
                Action::WriteRecord(write) if self.blocked_writes.contains(&rank) => {
                    self.lost_writes.push((rank, write));
                }
                Action::WriteRecord(write) => {
                    let answer = self.engines.write(rank, &write);
                    self.handle_event(rank, Event::EngineReport(answer));
                }
                Action::SetTimer(at) => self.timers[rank] = Some(at),
                Action::Report(outcome) => self.outcomes.push(outcome),
            }
        }
    }

    /// Removes and returns the matching messages, to drop them or deliver them later.
    pub fn remove_messages(&mut self, matches: impl Fn(&Envelope) -> bool) -> Vec<Envelope> {
        let (taken, remaining) = self.messages.drain(..).partition(|e| matches(e));
        self.messages = remaining;
        taken
    }

    pub fn deliver(&mut self, envelopes: Vec<Envelope>) {
        for envelope in envelopes {
            let to = envelope.to.as_usize();
            self.handle_event(to, Event::Message(envelope));
        }
    }

    /// Delivers messages until none is remaining.
    pub fn deliver_all(&mut self) {
        self.deliver_unless(|_| false);
    }

    /// Delivers messages until only matching ones are remaining.
    pub fn deliver_unless(&mut self, keep: impl Fn(&Envelope) -> bool) {
        for _ in 0..100 {
            let batch = self.remove_messages(|e| !keep(e));
            if batch.is_empty() {
                return;
            }
            self.deliver(batch);
        }
        panic!("the agents never stop sending");
    }

    /// Advances the time in increments of 10 ms and fires the timers that are due. Delivers no
    /// messages.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now = self.now + Duration::from_millis(10);
            for rank in 0..self.members.len() {
                if self.timers[rank].is_some_and(|at| at <= self.now) {
                    self.timers[rank] = None;
                    self.handle_event(rank, Event::Timer);
                }
            }
        }
    }

    /// Advances the time and delivers the messages, but drops the matching ones.
    pub fn run_dropping(&mut self, millis: u64, drops: impl Fn(&Envelope) -> bool) {
        for _ in 0..millis / 10 {
            self.advance(10);
            self.deliver_unless(&drops);
            self.remove_messages(&drops);
        }
    }

    /// Starts the next step on the ranks whose gate allows it; returns true if all ranks started
    /// it.
    pub fn step(&mut self) -> bool {
        for rank in 0..self.members.len() {
            if self.engines.try_start_step(rank) && !self.blocked_reports.contains(&rank) {
                let report = Event::EngineReport(self.engines.report(rank));
                self.handle_event(rank, report);
            }
        }
        let entered = self.engines.check_step_started(self.now, &mut self.stats);
        if entered {
            self.advance(30);
            self.engines.finish_step(self.now);
        }
        entered
    }

    /// Runs at most `limit` steps, until a gate blocks the group. Returns the number of steps.
    pub fn step_until_held(&mut self, limit: u64) -> u64 {
        (0..limit).take_while(|_| self.step()).count() as u64
    }

    /// The version of the newest committed map in each rank's record.
    pub fn committed(&self) -> Vec<u64> {
        let ranks = self.engines.ranks.iter();
        ranks
            .map(|r| r.state.record.committed.map.version.0)
            .collect()
    }

    pub fn gates(&self) -> Vec<Option<Step>> {
        let ranks = self.engines.ranks.iter();
        ranks.map(|r| r.state.record.gate()).collect()
    }

    /// Runs 2,000 steps, or lets time pass, and asserts that every rank has committed the version,
    /// that all gates are open and that no step used two maps.
    pub fn run_and_check(&mut self, version: u64) {
        for _ in 0..2_000 {
            if !self.step() {
                self.advance(10);
            }
            self.deliver_all();
        }
        assert_eq!(self.committed(), vec![version; self.members.len()]);
        assert!(self.gates().iter().all(Option::is_none));
        assert_eq!(self.stats.mixed_steps, 0);
    }
}

pub fn is_decide(envelope: &Envelope) -> bool {
    matches!(envelope.body, Body::Decide(_))
}

pub fn is_promise(envelope: &Envelope) -> bool {
    matches!(envelope.body, Body::Promise { .. })
}

pub fn is_propose(envelope: &Envelope) -> bool {
    matches!(envelope.body, Body::Propose { .. })
}
