//! The coordinator's side of a switch, and the takeover from an unresponsive coordinator.

use siskinbend_types::Ballot;
use siskinbend_types::FencingNumber;
use siskinbend_types::Incarnation;
use siskinbend_types::Time;

use crate::engine::EngineState;
use crate::leader::AnswerTracker;
use crate::leader::Leader;
use crate::leader::PendingSwitch;
use crate::leader::Phase;
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
struct RankAnswer {
    committed: Switch,
    promise: Option<Switch>,
}

#[derive(Debug)]
struct Candidate {
    ballot: Ballot,
    answers: Vec<Option<RankAnswer>>,
    tracker: AnswerTracker,
}

#[derive(Debug)]
enum Role {
    Follower,
    Candidate(Candidate),
    Leader(Box<Leader>),
}

/// State machine of a coordinator, or of an agent that may become the coordinator.
#[derive(Debug)]
pub struct Coordinator {
    me: RankIndex,
    incarnation: Incarnation,
    group_incarnation: Incarnation,
    options: Options,
    role: Role,
    /// The highest ballot seen.
    highest: Ballot,
    /// When the last message of the coordinator or of a new candidate arrived.
    last_heard: Time,
    /// Whether the rank of this agent waits for a decision.
    held: bool,
    timing: TimingEstimate,
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
            group_incarnation: state.life,
            options: options.clone(),
            role: Role::Follower,
            highest: state.record.ballot,
            last_heard: now,
            held: false,
            timing: TimingEstimate::default(),
        }
    }

    /// Returns whether this agent leads the group.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Records the step that the engine's rank of this agent has started.
    pub fn record_step(&mut self, step: Step, now: Time) {
        self.timing.record_step(step, now);
    }

    /// Sets whether the rank of this agent waits for a decision.
    pub fn set_held(&mut self, held: bool) {
        self.held = held;
    }

    /// When the next timer event is due.
    pub fn due(&self) -> Option<Time> {
        Some(match &self.role {
            Role::Follower => self.takeover_due(),
            Role::Candidate(candidate) => candidate.tracker.backoff.due(),
            Role::Leader(leader) => {
                let due = leader.heartbeat_due;
                match leader.phase {
                    Phase::Idle => due,
                    Phase::Deciding(_) => due.min(leader.tracker.backoff.due()),
                    Phase::Preparing(_) | Phase::Proposing(..) => {
                        due.min(leader.tracker.backoff.due()).min(leader.deadline)
                    }
                }
            }
        })
    }

    /// Records a message from a coordinator or the query of a candidate.
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
        // A candidate that retries its query may never get all answers, so only its first query
        // delays the takeover by others.
        if !query || ballot > self.highest {
            self.last_heard = now;
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
    /// Returns an error if no switch can begin now.
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
        let pending = PendingSwitch {
            map,
            plan,
            fencing,
            proposal_retries: self.options.proposal_retries,
        };
        self.prepare(pending, now, out);
        Ok(())
    }

    /// Handles a message from a rank.
    pub fn on_message(&mut self, from: RankIndex, body: &Body, now: Time, out: &mut Vec<Action>) {
        match *body {
            Body::State {
                ballot,
                committed,
                promise,
            } => {
                let answer = RankAnswer { committed, promise };
                self.on_state(from, ballot, answer, now, out);
            }
            Body::Loaded { id } => self.on_loaded(from, id, now, out),
            Body::NotLoaded { id, .. } if self.is_current(id) => {
                self.abort(AbortReason::LoadFailed, Some(from), now, out);
            }
            Body::Promise { id } => self.on_promise(from, id, now, out),
            Body::Refuse { id, reason } if self.is_current(id) => {
                let passed = reason == RefuseReason::Passed;
                let reason = if passed {
                    AbortReason::Passed
                } else {
                    AbortReason::Refused
                };
                self.abort(reason, Some(from), now, out);
            }
            Body::Decided { upto } => self.on_decided(from, upto, now, out),
            Body::RequestDecision { id } => self.on_request_decision(from, id, out),
            Body::Reject { ballot, highest } => {
                self.highest = self.highest.max(highest);
                if self.ballot() == Some(ballot) {
                    // Gives the owner of the higher ballot the normal timeout before another
                    // takeover.
                    self.last_heard = now;
                    self.step_down(out);
                }
            }
            _ => {}
        }
    }

    /// Retries unanswered requests, aborts switches that are past their deadline, and takes over
    /// the group after a timeout.
    pub fn on_timer(&mut self, now: Time, out: &mut Vec<Action>) {
        match &mut self.role {
            Role::Follower => {
                if now >= self.takeover_due() {
                    self.start_takeover(now, out);
                }
            }
            Role::Candidate(candidate) => {
                if candidate.tracker.backoff.expire(now) {
                    candidate.tracker.retries += 1;
                    let ballot = candidate.ballot;
                    let ranks: Vec<RankIndex> = candidate.tracker.outstanding_ranks().collect();
                    for to in ranks {
                        self.send(to, Body::Query { ballot }, out);
                    }
                }
            }
            Role::Leader(_) => self.on_leader_timer(now, out),
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
        let timeout = if self.highest.term == 0 {
            // The group has not had a coordinator yet.
            self.options.min_backoff
        } else if self.held {
            self.options.held_timeout
        } else {
            self.options.idle_timeout
        };
        self.last_heard + timeout + self.options.takeover_stagger * u32::from(self.me.0)
    }

    fn start_takeover(&mut self, now: Time, out: &mut Vec<Action>) {
        let ballot = Ballot {
            term: self.highest.term + 1,
            owner: self.incarnation,
        };
        self.highest = ballot;
        self.role = Role::Candidate(Candidate {
            ballot,
            answers: vec![None; usize::from(self.options.ranks)],
            tracker: AnswerTracker::start(&self.options, &self.timing, now),
        });
        self.broadcast(&Body::Query { ballot }, out);
    }

    fn step_down(&mut self, out: &mut Vec<Action>) {
        if let Role::Leader(leader) = std::mem::replace(&mut self.role, Role::Follower)
            && let Some(map) = leader.unfinished_map()
        {
            let (reason, rank) = (AbortReason::Deposed, None);
            out.push(Action::Report(Outcome::Aborted { map, reason, rank }));
        }
    }

    fn on_state(
        &mut self,
        from: RankIndex,
        ballot: Ballot,
        answer: RankAnswer,
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
        if candidate.tracker.record_answer(from) {
            let answers: Vec<RankAnswer> = candidate.answers.iter().flatten().copied().collect();
            let tracker = &candidate.tracker;
            if tracker.retries <= 1 {
                self.timing.record_round_trip(now.since(tracker.since));
            }
            self.become_leader(ballot, &answers, now, out);
        }
    }

    /// Becomes coordinator: adopts the newest commit and aborts every other promise.
    ///
    /// All ranks ignore lower ballots from now on, so a commit that none of them has recorded can
    /// no longer take effect.
    fn become_leader(
        &mut self,
        ballot: Ballot,
        answers: &[RankAnswer],
        now: Time,
        out: &mut Vec<Action>,
    ) {
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
            keep_weights: false,
            phase: Phase::Deciding(None),
            tracker: AnswerTracker::start(&self.options, &self.timing, now),
            deadline: now,
            heartbeat_due: now + self.options.heartbeat_interval,
        }));
        self.broadcast_decision(now, out);
    }

    /// Starts a round for a switch.
    fn prepare(&mut self, pending: PendingSwitch, now: Time, out: &mut Vec<Action>) {
        let tracker = AnswerTracker::start_slow_retry(&self.options, now);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.id.round += 1;
        leader.tracker = tracker;
        leader.deadline = now + self.options.load_timeout;
        leader.phase = Phase::Preparing(pending);
        let body = leader.request();
        self.broadcast(&body, out);
    }

    fn on_loaded(&mut self, from: RankIndex, id: RoundId, now: Time, out: &mut Vec<Action>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Phase::Preparing(pending) = &leader.phase else {
            return;
        };
        if leader.id != id || !leader.tracker.record_answer(from) {
            return;
        }
        let pending = pending.clone();
        let margin = self.timing.margin(&self.options);
        let switch = Switch {
            id,
            map: pending.map,
            step: self.timing.step_after(margin, now),
        };
        leader.tracker = AnswerTracker::start(&self.options, &self.timing, now);
        leader.deadline = now + margin / 2;
        leader.phase = Phase::Proposing(pending, switch);
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
        if leader.id != id || !leader.tracker.record_answer(from) {
            return;
        }
        if leader.tracker.retries <= 1 {
            self.timing
                .record_round_trip(now.since(leader.tracker.since));
        }
        assert!(
            switch.map.version > leader.committed.map.version && switch.id > leader.upto,
            "{switch} decided after {} and round {}",
            leader.committed,
            leader.upto
        );
        leader.committed = switch;
        leader.reported = false;
        leader.keep_weights = false;
        leader.upto = id;
        leader.phase = Phase::Deciding(None);
        self.timing.record_commit();
        self.broadcast_decision(now, out);
    }

    fn is_current(&self, id: RoundId) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        leader.id == id && matches!(leader.phase, Phase::Preparing(_) | Phase::Proposing(..))
    }

    /// Aborts the round in progress. Needs no answers: no commit of this round has been sent, and
    /// only this coordinator decides its rounds.
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
        let (Phase::Preparing(mut pending) | Phase::Proposing(mut pending, _)) = phase else {
            leader.phase = phase;
            return;
        };
        let mut retry = None;
        if reason == AbortReason::Passed {
            self.timing.record_passed_step();
        }
        if reason == AbortReason::Passed && pending.proposal_retries > 0 {
            pending.proposal_retries -= 1;
            retry = Some(pending);
        } else {
            let map = pending.map;
            out.push(Action::Report(Outcome::Aborted { map, reason, rank }));
        }
        leader.keep_weights = retry.is_some();
        leader.upto = leader.id;
        leader.phase = Phase::Deciding(retry);
        self.broadcast_decision(now, out);
    }

    /// Sends the last decision to every rank.
    fn broadcast_decision(&mut self, now: Time, out: &mut Vec<Action>) {
        let tracker = AnswerTracker::start(&self.options, &self.timing, now);
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.tracker = tracker;
        let body = leader.decision();
        self.broadcast(&body, out);
    }

    fn on_decided(&mut self, from: RankIndex, upto: RoundId, now: Time, out: &mut Vec<Action>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let deciding = matches!(leader.phase, Phase::Deciding(_));
        if !deciding || leader.upto != upto || !leader.tracker.record_answer(from) {
            return;
        }
        let committed = leader.committed;
        if !std::mem::replace(&mut leader.reported, true) {
            out.push(Action::Report(Outcome::Committed(committed)));
        }
        match std::mem::replace(&mut leader.phase, Phase::Idle) {
            Phase::Deciding(Some(pending)) => self.prepare(pending, now, out),
            _ => out.push(Action::Report(Outcome::Ready { committed })),
        }
    }

    fn on_request_decision(&self, from: RankIndex, id: RoundId, out: &mut Vec<Action>) {
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

    fn on_leader_timer(&mut self, now: Time, out: &mut Vec<Action>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let late = now >= leader.deadline;
        let reason = match leader.phase {
            Phase::Preparing(_) if late => Some(AbortReason::LoadTimeout),
            Phase::Proposing(..) if late => Some(AbortReason::PromiseTimeout),
            _ => None,
        };
        let unanswered_rank = leader.tracker.outstanding_ranks().next();
        let ballot = leader.id.ballot;
        let heartbeat_is_due = now >= leader.heartbeat_due;
        if heartbeat_is_due {
            leader.heartbeat_due = now + self.options.heartbeat_interval;
        }
        if reason.is_none()
            && !matches!(leader.phase, Phase::Idle)
            && leader.tracker.backoff.expire(now)
        {
            leader.tracker.retries += 1;
            let body = leader.request();
            let ranks: Vec<RankIndex> = leader.tracker.outstanding_ranks().collect();
            for to in ranks {
                self.send(to, body.clone(), out);
            }
        }
        if heartbeat_is_due {
            self.broadcast(&Body::Heartbeat { ballot }, out);
        }
        if let Some(reason) = reason {
            self.abort(reason, unanswered_rank, now, out);
        }
    }

    fn broadcast(&self, body: &Body, out: &mut Vec<Action>) {
        for rank in 0..self.options.ranks {
            self.send(RankIndex(rank), body.clone(), out);
        }
    }

    fn send(&self, to: RankIndex, body: Body, out: &mut Vec<Action>) {
        out.push(Action::Send(Envelope {
            life: self.group_incarnation,
            from: self.me,
            to,
            body,
        }));
    }
}
