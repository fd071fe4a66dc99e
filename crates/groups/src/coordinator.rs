//! The coordinator's side of a switch, and the takeover of a group whose coordinator is silent.

use siskinbend_types::Ballot;
use siskinbend_types::FencingNumber;
use siskinbend_types::Incarnation;
use siskinbend_types::Time;

use crate::engine::EngineState;
use crate::leader::Job;
use crate::leader::Leader;
use crate::leader::Phase;
use crate::leader::Poll;
use crate::member::Action;
use crate::message::AbortReason;
use crate::message::BeginError;
use crate::message::Body;
use crate::message::Envelope;
use crate::message::MapRef;
use crate::message::Outcome;
use crate::message::RankIndex;
use crate::message::RefuseReason;
use crate::message::RoundId;
use crate::message::Step;
use crate::message::Switch;
use crate::options::Options;
use crate::timing::TimingEstimate;

#[derive(Debug, Clone, Copy)]
struct Answer {
    committed: Switch,
    promise: Option<Switch>,
}

#[derive(Debug)]
struct Candidate {
    ballot: Ballot,
    answers: Vec<Option<Answer>>,
    poll: Poll,
}

#[derive(Debug)]
enum Role {
    Follower,
    Candidate(Candidate),
    Leader(Box<Leader>),
}

/// State machine of a coordinator, or of an agent that may become it.
#[derive(Debug)]
pub struct Coordinator {
    me: RankIndex,
    incarnation: Incarnation,
    life: Incarnation,
    options: Options,
    role: Role,
    /// The highest ballot seen.
    highest: Ballot,
    /// When the coordinator or a candidate was last heard.
    heard: Time,
    held: bool,
    estimate: TimingEstimate,
}

impl Coordinator {
    /// Starts as a follower.
    pub fn start(
        me: RankIndex,
        incarnation: Incarnation,
        options: &Options,
        state: &EngineState,
        now: Time,
    ) -> Self {
        Self {
            me,
            incarnation,
            life: state.life,
            options: options.clone(),
            role: Role::Follower,
            highest: state.record.ballot,
            heard: now,
            held: false,
            estimate: TimingEstimate::default(),
        }
    }

    /// Tells whether this agent leads the group.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Notes the step that the engine's rank of this agent has started.
    pub fn record_step(&mut self, step: Step, now: Time) {
        self.estimate.record_step(step, now);
    }

    /// Notes whether the rank of this agent waits for a decision.
    pub fn set_held(&mut self, held: bool) {
        self.held = held;
    }

    /// When a timer event is needed.
    pub fn due(&self) -> Option<Time> {
        Some(match &self.role {
            Role::Follower => self.takeover_due(),
            Role::Candidate(candidate) => candidate.poll.backoff.due(),
            Role::Leader(leader) => {
                let due = leader.beacon_due;
                match leader.phase {
                    Phase::Idle => due,
                    Phase::Deciding(_) => due.min(leader.poll.backoff.due()),
                    Phase::Preparing(_) | Phase::Proposing(..) => {
                        due.min(leader.poll.backoff.due()).min(leader.deadline)
                    }
                }
            }
        })
    }

    /// Notes a message from a coordinator, or the query of a candidate.
    pub fn observe_ballot(
        &mut self,
        from: RankIndex,
        ballot: Ballot,
        query: bool,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        if ballot < self.highest || from == self.me {
            return;
        }
        // A candidate that repeats its query may never get all answers, so only its first one
        // delays the others.
        if !query || ballot > self.highest {
            self.heard = now;
        }
        self.highest = ballot;
        if self.ballot().is_some_and(|own| own < ballot) {
            self.step_down(out);
        }
    }

    /// Begins a switch.
    ///
    /// # Errors
    ///
    /// Returns why no switch can begin now.
    pub fn begin(
        &mut self,
        map: MapRef,
        plan: Vec<u8>,
        fencing: FencingNumber,
        now: Time,
        out: &mut Vec<Action>,
    ) -> Result<(), BeginError> {
        let Role::Leader(leader) = &self.role else {
            return Err(BeginError::NotLeader);
        };
        if !matches!(leader.phase, Phase::Idle) {
            return Err(BeginError::Busy);
        }
        if map.version <= leader.committed.map.version {
            return Err(BeginError::NotNewer);
        }
        let job = Job {
            map,
            plan,
            fencing,
            proposals: self.options.proposal_retries,
        };
        self.prepare(job, now, out);
        Ok(())
    }

    /// Takes a rank's message.
    pub fn on_message(&mut self, from: RankIndex, body: &Body, now: Time, out: &mut Vec<Action>) {
        match *body {
            Body::State {
                ballot,
                committed,
                promise,
            } => {
                let answer = Answer { committed, promise };
                self.on_state(from, ballot, answer, now, out);
            }
            Body::Loaded { id } => self.on_loaded(from, id, now, out),
            Body::NotLoaded { id, .. } if self.current(id) => {
                self.abort(AbortReason::LoadFailed, Some(from), now, out);
            }
            Body::Promise { id } => self.on_promise(from, id, now, out),
            Body::Refuse { id, reason } if self.current(id) => {
                let passed = reason == RefuseReason::Passed;
                let reason = if passed {
                    AbortReason::Passed
                } else {
                    AbortReason::Refused
                };
                self.abort(reason, Some(from), now, out);
            }
            Body::Decided { upto } => self.on_decided(from, upto, now, out),
            Body::RequestDecision { id } => self.on_ask(from, id, out),
            Body::Reject { ballot, highest } => {
                self.highest = self.highest.max(highest);
                if self.ballot() == Some(ballot) {
                    // The owner of the higher ballot gets the usual time before another try.
                    self.heard = now;
                    self.step_down(out);
                }
            }
            _ => {}
        }
    }

    /// Repeats what has not been answered, gives up what is late, takes over a silent group.
    pub fn on_timer(&mut self, now: Time, out: &mut Vec<Action>) {
        match &mut self.role {
            Role::Follower => {
                if now >= self.takeover_due() {
                    self.take_over(now, out);
                }
            }
            Role::Candidate(candidate) => {
                if candidate.poll.backoff.expire(now) {
                    candidate.poll.repeats += 1;
                    let ballot = candidate.ballot;
                    let ranks: Vec<RankIndex> = candidate.poll.ranks().collect();
                    for to in ranks {
                        self.send(to, Body::Query { ballot }, out);
                    }
                }
            }
            Role::Leader(_) => self.lead_on(now, out),
        }
    }

    fn ballot(&self) -> Option<Ballot> {
        match &self.role {
            Role::Follower => None,
            Role::Candidate(candidate) => Some(candidate.ballot),
            Role::Leader(leader) => Some(leader.id.ballot),
        }
    }

    fn takeover_due(&self) -> Time {
        let patience = if self.highest.term == 0 {
            // Nobody has led this group yet.
            self.options.min_backoff
        } else if self.held {
            self.options.held_timeout
        } else {
            self.options.idle_timeout
        };
        self.heard + patience + self.options.takeover_stagger * u32::from(self.me.0)
    }

    fn take_over(&mut self, now: Time, out: &mut Vec<Action>) {
        let ballot = Ballot {
            term: self.highest.term + 1,
            owner: self.incarnation,
        };
        self.highest = ballot;
        self.role = Role::Candidate(Candidate {
            ballot,
            answers: vec![None; usize::from(self.options.ranks)],
            poll: Poll::start(&self.options, &self.estimate, now),
        });
        self.broadcast(&Body::Query { ballot }, out);
    }

    fn step_down(&mut self, out: &mut Vec<Action>) {
        if let Role::Leader(leader) = std::mem::replace(&mut self.role, Role::Follower)
            && let Some(map) = leader.unsettled()
        {
            let (reason, rank) = (AbortReason::Deposed, None);
            out.push(Action::Report(Outcome::Aborted { map, reason, rank }));
        }
    }

    fn on_state(
        &mut self,
        from: RankIndex,
        ballot: Ballot,
        answer: Answer,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Role::Candidate(candidate) = &mut self.role else {
            return;
        };
        if candidate.ballot != ballot {
            return;
        }
        candidate.answers[from.as_usize()] = Some(answer);
        if candidate.poll.note(from) {
            let answers: Vec<Answer> = candidate.answers.iter().flatten().copied().collect();
            let poll = &candidate.poll;
            if poll.repeats <= 1 {
                self.estimate.record_round_trip(now.since(poll.since));
            }
            self.lead(ballot, &answers, now, out);
        }
    }

    /// Becomes coordinator: adopts the newest commit and aborts every other promise.
    ///
    /// All ranks ignore lower ballots from here on, so a commit that none of them knows can't
    /// take effect any more.
    fn lead(&mut self, ballot: Ballot, answers: &[Answer], now: Time, out: &mut Vec<Action>) {
        assert!(
            answers.len() == usize::from(self.options.ranks),
            "ballot {ballot}: {} answers of {} ranks",
            answers.len(),
            self.options.ranks
        );
        let newest = answers.iter().map(|a| a.committed);
        let Some(committed) = newest.max_by_key(|c| c.map.version) else {
            return;
        };
        for answer in answers {
            assert!(
                answer.committed == committed || answer.promise == Some(committed),
                "ballot {ballot}: {committed} is committed, but a rank has {} and the promise {:?}",
                answer.committed,
                answer.promise
            );
        }
        let upto = RoundId { ballot, round: 0 };
        self.role = Role::Leader(Box::new(Leader {
            id: upto,
            upto,
            committed,
            reported: true,
            keep: false,
            phase: Phase::Deciding(None),
            poll: Poll::start(&self.options, &self.estimate, now),
            deadline: now,
            beacon_due: now + self.options.heartbeat_interval,
        }));
        self.announce(now, out);
    }

    /// Starts a round for a job.
    fn prepare(&mut self, job: Job, now: Time, out: &mut Vec<Action>) {
        let poll = Poll::start_slow(&self.options, now);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.id.round += 1;
        leader.poll = poll;
        leader.deadline = now + self.options.load_timeout;
        leader.phase = Phase::Preparing(job);
        let body = leader.request();
        self.broadcast(&body, out);
    }

    fn on_loaded(&mut self, from: RankIndex, id: RoundId, now: Time, out: &mut Vec<Action>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Phase::Preparing(job) = &leader.phase else {
            return;
        };
        if leader.id != id || !leader.poll.note(from) {
            return;
        }
        let job = job.clone();
        let margin = self.estimate.margin(&self.options);
        let switch = Switch {
            id,
            map: job.map,
            step: self.estimate.step_after(margin, now),
        };
        leader.poll = Poll::start(&self.options, &self.estimate, now);
        leader.deadline = now + margin / 2;
        leader.phase = Phase::Proposing(job, switch);
        let body = leader.request();
        self.broadcast(&body, out);
    }

    fn on_promise(&mut self, from: RankIndex, id: RoundId, now: Time, out: &mut Vec<Action>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Phase::Proposing(_, switch) = leader.phase else {
            return;
        };
        if leader.id != id || !leader.poll.note(from) {
            return;
        }
        if leader.poll.repeats <= 1 {
            self.estimate
                .record_round_trip(now.since(leader.poll.since));
        }
        assert!(
            switch.map.version > leader.committed.map.version && switch.id > leader.upto,
            "{switch} decided after {} and round {}",
            leader.committed,
            leader.upto
        );
        leader.committed = switch;
        leader.reported = false;
        leader.keep = false;
        leader.upto = id;
        leader.phase = Phase::Deciding(None);
        self.estimate.record_commit();
        self.announce(now, out);
    }

    fn current(&self, id: RoundId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        leader.id == id && matches!(leader.phase, Phase::Preparing(_) | Phase::Proposing(..))
    }

    /// Decides against the round under way. Needs nobody's answer: no commit of this round
    /// has been sent, and only this coordinator decides its rounds.
    fn abort(
        &mut self,
        reason: AbortReason,
        rank: Option<RankIndex>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let phase = std::mem::replace(&mut leader.phase, Phase::Idle);
        let (Phase::Preparing(mut job) | Phase::Proposing(mut job, _)) = phase else {
            leader.phase = phase;
            return;
        };
        let mut again = None;
        if reason == AbortReason::Passed {
            self.estimate.record_passed_step();
        }
        if reason == AbortReason::Passed && job.proposals > 0 {
            job.proposals -= 1;
            again = Some(job);
        } else {
            let map = job.map;
            out.push(Action::Report(Outcome::Aborted { map, reason, rank }));
        }
        leader.keep = again.is_some();
        leader.upto = leader.id;
        leader.phase = Phase::Deciding(again);
        self.announce(now, out);
    }

    /// Sends the last decision to every rank.
    fn announce(&mut self, now: Time, out: &mut Vec<Action>) {
        let poll = Poll::start(&self.options, &self.estimate, now);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.poll = poll;
        let body = leader.decision();
        self.broadcast(&body, out);
    }

    fn on_decided(&mut self, from: RankIndex, upto: RoundId, now: Time, out: &mut Vec<Action>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let deciding = matches!(leader.phase, Phase::Deciding(_));
        if !deciding || leader.upto != upto || !leader.poll.note(from) {
            return;
        }
        let committed = leader.committed;
        if !std::mem::replace(&mut leader.reported, true) {
            out.push(Action::Report(Outcome::Committed(committed)));
        }
        match std::mem::replace(&mut leader.phase, Phase::Idle) {
            Phase::Deciding(Some(job)) => self.prepare(job, now, out),
            _ => out.push(Action::Report(Outcome::Ready { committed })),
        }
    }

    fn on_ask(&self, from: RankIndex, id: RoundId, out: &mut Vec<Action>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let ballot = leader.id.ballot;
        let body = if id <= leader.upto {
            leader.decision()
        } else {
            Body::Heartbeat { ballot }
        };
        self.send(from, body, out);
    }

    fn lead_on(&mut self, now: Time, out: &mut Vec<Action>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let late = now >= leader.deadline;
        let reason = match leader.phase {
            Phase::Preparing(_) if late => Some(AbortReason::LoadTimeout),
            Phase::Proposing(..) if late => Some(AbortReason::PromiseTimeout),
            _ => None,
        };
        let silent = leader.poll.ranks().next();
        let ballot = leader.id.ballot;
        let beacon = now >= leader.beacon_due;
        if beacon {
            leader.beacon_due = now + self.options.heartbeat_interval;
        }
        if reason.is_none()
            && !matches!(leader.phase, Phase::Idle)
            && leader.poll.backoff.expire(now)
        {
            leader.poll.repeats += 1;
            let body = leader.request();
            let ranks: Vec<RankIndex> = leader.poll.ranks().collect();
            for to in ranks {
                self.send(to, body.clone(), out);
            }
        }
        if beacon {
            self.broadcast(&Body::Heartbeat { ballot }, out);
        }
        if let Some(reason) = reason {
            self.abort(reason, silent, now, out);
        }
    }

    fn broadcast(&self, body: &Body, out: &mut Vec<Action>) {
        for rank in 0..self.options.ranks {
            self.send(RankIndex(rank), body.clone(), out);
        }
    }

    fn send(&self, to: RankIndex, body: Body, out: &mut Vec<Action>) {
        out.push(Action::Send(Envelope {
            life: self.life,
            from: self.me,
            to,
            body,
        }));
    }
}
