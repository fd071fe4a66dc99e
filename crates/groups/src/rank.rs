//! The rank's side of a switch: records what the engine's rank must keep, and answers.

use siskinbend_types::Ballot;
use siskinbend_types::FencingNumber;
use siskinbend_types::Incarnation;
use siskinbend_types::Time;

use crate::engine::EngineState;
use crate::engine::Record;
use crate::engine::RecordWrite;
use crate::member::Action;
use crate::message::Body;
use crate::message::Decision;
use crate::message::Envelope;
use crate::message::LoadError;
use crate::message::MapRef;
use crate::message::RankIndex;
use crate::message::RefuseReason;
use crate::message::RoundId;
use crate::message::Switch;
use crate::options::Options;
use crate::timing::Backoff;

/// A write to the engine's rank that isn't confirmed. Messages that need another write are
/// dropped meanwhile; their senders repeat them.
#[derive(Debug)]
struct Pending {
    write: RecordWrite,
    reply: Option<(RankIndex, Body)>,
    backoff: Backoff,
}

/// The weights loaded or being loaded beside the map in force.
#[derive(Debug)]
struct Load {
    id: RoundId,
    map: MapRef,
    coordinator: RankIndex,
    phase: LoadPhase,
}

#[derive(Debug)]
enum LoadPhase {
    Loading,
    Loaded,
    Failed(LoadError),
}

/// State machine of one rank.
#[derive(Debug)]
pub struct Rank {
    me: RankIndex,
    incarnation: Incarnation,
    options: Options,
    /// Newest state that the engine's rank reported.
    state: EngineState,
    /// The first write of this run is confirmed, so no write of an earlier run can apply.
    joined: bool,
    /// Another run of the agent has written the record; this one must not act any more.
    superseded: bool,
    pending: Option<Pending>,
    load: Option<Load>,
    coordinator: Option<RankIndex>,
    /// Last round known to be decided; a late proposal up to it closes no gate.
    decided: Option<RoundId>,
    asking: Option<Backoff>,
}

impl Rank {
    /// Starts with the state read from the engine's rank.
    pub fn start(
        me: RankIndex,
        incarnation: Incarnation,
        options: &Options,
        state: EngineState,
        now: Time,
        out: &mut Vec<Action>,
    ) -> Self {
        let unknown = RoundId {
            ballot: state.record.ballot,
            round: 0,
        };
        let load = state.staged.map(|map| Load {
            id: unknown,
            map,
            coordinator: me,
            phase: LoadPhase::Loaded,
        });
        let mut rank = Self {
            me,
            incarnation,
            options: options.clone(),
            state,
            joined: false,
            superseded: false,
            pending: None,
            load,
            coordinator: None,
            decided: None,
            asking: None,
        };
        rank.write(state.record, None, now, out);
        rank.update_asking(now);
        rank
    }

    /// The promised switch whose decision isn't known.
    pub fn promise(&self) -> Option<Switch> {
        self.state.record.promise
    }

    /// Newest state of the engine's rank.
    pub fn state(&self) -> &EngineState {
        &self.state
    }

    /// Tells whether another run of the agent has replaced this one.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// When a timer event is needed.
    pub fn due(&self) -> Option<Time> {
        let pending = self.pending.as_ref().map(|p| p.backoff.due());
        let asking = self.asking.map(|a| a.due());
        pending.into_iter().chain(asking).min()
    }

    /// Takes a message of a coordinator or candidate.
    pub fn on_message(&mut self, from: RankIndex, body: Body, now: Time, out: &mut Vec<Action>) {
        if self.superseded || !self.joined {
            return;
        }
        match body {
            Body::Query { ballot } => self.on_query(from, ballot, now, out),
            Body::Prepare {
                id,
                map,
                fencing,
                plan,
            } if self.accepts(from, id.ballot, out) => {
                self.on_prepare(from, (id, map), fencing, plan, out);
            }
            Body::Propose { switch } if self.accepts(from, switch.id.ballot, out) => {
                self.on_propose(from, switch, now, out);
            }
            Body::Decide(decision) if self.accepts(from, decision.ballot, out) => {
                self.on_decide(from, decision, now, out);
            }
            Body::Heartbeat { ballot } => {
                self.accepts(from, ballot, out);
            }
            _ => {}
        }
    }

    /// Takes a report of the engine's rank.
    pub fn on_engine_report(&mut self, state: EngineState, now: Time, out: &mut Vec<Action>) {
        let known = &self.state;
        // Reports can overtake each other; the revision and the step never fall.
        if self.superseded || state.revision < known.revision || state.step < known.step {
            return;
        }
        assert!(
            state.record.allows(state.step),
            "rank {}: step {} started with the gate closed by {:?}",
            self.me,
            state.step,
            state.record.promise
        );
        self.state = state;
        if let Some(staged) = state.staged {
            // The engine's answer to the load command may be lost.
            self.on_load_ended(staged, None, out);
        }
        self.settle(now, out);
        if self.joined && self.state.record.agent != self.incarnation {
            self.superseded = true;
            self.pending = None;
        }
        self.update_asking(now);
    }

    /// Takes the end of a load, with the fault if it failed.
    pub fn on_load_ended(&mut self, map: MapRef, fault: Option<LoadError>, out: &mut Vec<Action>) {
        let Some(load) = self.load.as_mut().filter(|l| l.map == map) else {
            return;
        };
        if !matches!(load.phase, LoadPhase::Loading) {
            return;
        }
        load.phase = fault.map_or(LoadPhase::Loaded, LoadPhase::Failed);
        self.answer_load(out);
    }

    /// Repeats what has not been answered.
    pub fn on_timer(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.superseded {
            return;
        }
        if let Some(pending) = &mut self.pending
            && pending.backoff.expire(now)
        {
            out.push(Action::WriteRecord(pending.write));
        }
        if let Some(asking) = &mut self.asking
            && asking.expire(now)
            && let (Some(to), Some(promise)) = (self.coordinator, self.promise())
        {
            self.send(to, Body::RequestDecision { id: promise.id }, out);
        }
    }

    fn send(&self, to: RankIndex, body: Body, out: &mut Vec<Action>) {
        out.push(Action::Send(Envelope {
            life: self.state.life,
            from: self.me,
            to,
            body,
        }));
    }

    /// Tells whether a coordinator's message counts. Only a query raises the ballot: a
    /// coordinator has this rank's answer to its own ballot, so a higher one than recorded can
    /// only reach a run of the agent that was replaced.
    fn accepts(&mut self, from: RankIndex, ballot: Ballot, out: &mut Vec<Action>) -> bool {
        let highest = self.state.record.ballot;
        if ballot < highest {
            self.send(from, Body::Reject { ballot, highest }, out);
        }
        if ballot != highest {
            return false;
        }
        self.coordinator = Some(from);
        true
    }

    fn on_query(&mut self, from: RankIndex, ballot: Ballot, now: Time, out: &mut Vec<Action>) {
        let record = self.state.record;
        if ballot < record.ballot {
            let highest = record.ballot;
            self.send(from, Body::Reject { ballot, highest }, out);
            return;
        }
        if self.pending.is_some() {
            return;
        }
        let reply = Body::State {
            ballot,
            committed: record.committed,
            promise: record.promise,
        };
        if ballot == record.ballot {
            self.send(from, reply, out);
            return;
        }
        self.write(Record { ballot, ..record }, Some((from, reply)), now, out);
    }

    fn on_prepare(
        &mut self,
        from: RankIndex,
        (id, map): (RoundId, MapRef),
        fencing: FencingNumber,
        plan: Vec<u8>,
        out: &mut Vec<Action>,
    ) {
        let stale = self.decided.is_some_and(|decided| id <= decided);
        // The coordinator repeats the message, so a rank that still needs its weights waits.
        if stale || self.pending.is_some() || self.state.needs_staged() {
            return;
        }
        if let Some(load) = self.load.as_mut().filter(|l| l.map == map) {
            let failed = matches!(load.phase, LoadPhase::Failed(_)) && load.id == id;
            load.id = id;
            load.coordinator = from;
            if failed || matches!(load.phase, LoadPhase::Loaded) {
                self.answer_load(out);
                return;
            }
        }
        let in_force = self.state.record.committed.map;
        let needless = |old: &Load| old.map != map && old.map != in_force;
        if let Some(old) = self.load.take().filter(needless) {
            out.push(Action::DiscardWeights(old.map));
        }
        self.load = Some(Load {
            id,
            map,
            coordinator: from,
            phase: LoadPhase::Loading,
        });
        out.push(Action::LoadWeights { map, fencing, plan });
    }

    fn answer_load(&self, out: &mut Vec<Action>) {
        let Some(load) = &self.load else {
            return;
        };
        let id = load.id;
        match load.phase {
            LoadPhase::Loading => {}
            LoadPhase::Loaded => self.send(load.coordinator, Body::Loaded { id }, out),
            LoadPhase::Failed(fault) => {
                self.send(load.coordinator, Body::NotLoaded { id, fault }, out);
            }
        }
    }

    fn on_propose(&mut self, from: RankIndex, switch: Switch, now: Time, out: &mut Vec<Action>) {
        let id = switch.id;
        let record = self.state.record;
        if self.decided.is_some_and(|decided| id <= decided) || self.pending.is_some() {
            return;
        }
        if record.promise == Some(switch) {
            self.send(from, Body::Promise { id }, out);
            return;
        }
        let loaded = matches!(&self.load, Some(l) if l.map == switch.map && matches!(l.phase, LoadPhase::Loaded));
        let reason = if record.promise.is_some() {
            RefuseReason::Promised
        } else if switch.step <= self.state.step {
            RefuseReason::Passed
        } else if !loaded {
            RefuseReason::NotLoaded
        } else if self.state.step < record.committed.step {
            // The switch before is not in force yet; the coordinator repeats the proposal.
            return;
        } else {
            assert!(
                switch.map.version > record.committed.map.version,
                "rank {}: {switch} proposed after {}",
                self.me,
                record.committed
            );
            let promise = Some(switch);
            let reply = Some((from, Body::Promise { id }));
            self.write(Record { promise, ..record }, reply, now, out);
            return;
        };
        self.send(from, Body::Refuse { id, reason }, out);
    }

    fn on_decide(&mut self, from: RankIndex, decision: Decision, now: Time, out: &mut Vec<Action>) {
        let Decision {
            upto,
            committed,
            keep_weights: keep,
            ..
        } = decision;
        if self.pending.is_some() {
            return;
        }
        let record = self.state.record;
        let mut next = record;
        if committed.map.version > record.committed.map.version {
            // Everyone had promised before the commit, and only a decision ends a promise.
            assert!(
                record.promise == Some(committed),
                "rank {}: commit of {committed} with the promise {:?} after {}",
                self.me,
                record.promise,
                record.committed
            );
            next.previous = record.committed.map;
            next.committed = committed;
            next.promise = None;
        } else if next.promise.is_some_and(|promise| promise.id <= upto) {
            next.promise = None;
        }
        self.decided = self.decided.max(Some(upto));
        if !keep {
            self.discard(upto, &next, out);
        }
        let reply = Body::Decided { upto };
        if next == record {
            self.send(from, reply, out);
        } else {
            self.write(next, Some((from, reply)), now, out);
        }
    }

    /// Frees weights of a decided round that no switch needs.
    fn discard(&mut self, upto: RoundId, next: &Record, out: &mut Vec<Action>) {
        let needed = |map| next.committed.map == map || next.promise.is_some_and(|p| p.map == map);
        if let Some(load) = &self.load
            && load.id <= upto
            && !needed(load.map)
        {
            out.push(Action::DiscardWeights(load.map));
            self.load = None;
        }
    }

    fn write(
        &mut self,
        record: Record,
        reply: Option<(RankIndex, Body)>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let agent = self.incarnation;
        let write = RecordWrite {
            expected: self.state.revision,
            record: Record { agent, ..record },
        };
        self.pending = Some(Pending {
            write,
            reply,
            backoff: Backoff::start(self.options.min_backoff, self.options.max_backoff, now),
        });
        out.push(Action::WriteRecord(write));
    }

    /// Ends the pending write if the engine's state shows what became of it.
    fn settle(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(pending) = &self.pending else {
            return;
        };
        let record = pending.write.record;
        let applied = self.state.record == record;
        if self.state.revision > pending.write.expected {
            let reply = self.pending.take().and_then(|p| p.reply);
            if !applied && !self.joined {
                // A write of the earlier run arrived after its state was read.
                self.write(self.state.record, None, now, out);
                return;
            }
            self.joined = true;
            if let Some((to, body)) = reply.filter(|_| applied) {
                self.send(to, body, out);
            }
            return;
        }
        assert!(
            record.committed == self.state.record.committed
                || self.state.step < record.committed.step,
            "rank {}: step {} started before the commit of {} was recorded",
            self.me,
            self.state.step,
            record.committed
        );
        let asked = record.promise.filter(|p| Some(*p) != self.promise());
        if let Some(promise) = asked.filter(|p| p.step <= self.state.step) {
            // The engine refuses the write whenever it arrives.
            let reply = self.pending.take().and_then(|p| p.reply);
            if let Some((to, _)) = reply {
                let (id, reason) = (promise.id, RefuseReason::Passed);
                self.send(to, Body::Refuse { id, reason }, out);
            }
        }
    }

    fn update_asking(&mut self, now: Time) {
        if self.promise().is_none() {
            self.asking = None;
        } else if self.asking.is_none() {
            let (interval, limit) = (self.options.min_backoff * 2, self.options.max_backoff);
            self.asking = Some(Backoff::start(interval, limit, now));
        }
    }
}
