//! The rank's side of a switch: writes the record of the engine's rank and answers the coordinator.

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

/// An unconfirmed write to the engine's rank. Messages that need another write are dropped until it
/// is confirmed; their senders repeat them.
#[derive(Debug)]
struct PendingWrite {
    write: RecordWrite,
    reply: Option<(RankIndex, Body)>,
    backoff: Backoff,
}

/// Weights that are loaded or being loaded beside the map in force.
#[derive(Debug)]
struct StagedLoad {
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
    /// Newest state reported by the engine's rank.
    state: EngineState,
    /// Whether the first write of this run is confirmed. From then on, no write of an earlier run
    /// can be applied.
    is_confirmed: bool,
    /// Whether a later run of the agent has written the record. This run must not act any more.
    superseded: bool,
    pending: Option<PendingWrite>,
    load: Option<StagedLoad>,
    coordinator: Option<RankIndex>,
    /// Last round known to be decided. Delayed proposals of rounds up to it are ignored.
    decided: Option<RoundId>,
    decision_request: Option<Backoff>,
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
        let load = state.staged.map(|map| StagedLoad {
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
            is_confirmed: false,
            superseded: false,
            pending: None,
            load,
            coordinator: None,
            decided: None,
            decision_request: None,
        };
        rank.write(state.record, None, now, out);
        rank.update_decision_request(now);
        rank
    }

    /// The promised switch whose decision is not known.
    pub fn promise(&self) -> Option<Switch> {
        self.state.record.promise
    }

    /// Newest state reported by the engine's rank.
    pub fn state(&self) -> &EngineState {
        &self.state
    }

    /// Returns whether a later run of the agent has replaced this one.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// When the next timer event is due.
    pub fn due(&self) -> Option<Time> {
        let pending = self.pending.as_ref().map(|p| p.backoff.due());
        let decision_request = self.decision_request.map(|a| a.due());
        pending.into_iter().chain(decision_request).min()
    }

    /// Handles a message from a coordinator or candidate.
    pub fn on_message(&mut self, from: RankIndex, body: Body, now: Time, out: &mut Vec<Action>) {
        if self.superseded || !self.is_confirmed {
            return;
        }
        match body {
            Body::Query { ballot } => self.on_query(from, ballot, now, out),
            Body::Prepare {
                id,
                map,
                fencing,
                plan,
            } if self.accept(from, id.ballot, out) => {
                self.on_prepare(from, (id, map), fencing, plan, out);
            }
            Body::Propose { switch } if self.accept(from, switch.id.ballot, out) => {
                self.on_propose(from, switch, now, out);
            }
            Body::Decide(decision) if self.accept(from, decision.ballot, out) => {
                self.on_decide(from, decision, now, out);
            }
            Body::Heartbeat { ballot } => {
                self.accept(from, ballot, out);
            }
            _ => {}
        }
    }

    /// Handles a report of the engine's rank.
    pub fn on_engine_report(&mut self, state: EngineState, now: Time, out: &mut Vec<Action>) {
        let known = &self.state;
        // Reports can arrive out of order; the revision and the step never decrease.
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
            // Covers the case that the engine's answer to the load command was lost.
            self.on_load_ended(staged, None, out);
        }
        self.resolve_pending(now, out);
        if self.is_confirmed && self.state.record.agent != self.incarnation {
            self.superseded = true;
            self.pending = None;
        }
        self.update_decision_request(now);
    }

    /// Handles the end of a load, with the error if it failed.
    pub fn on_load_ended(&mut self, map: MapRef, error: Option<LoadError>, out: &mut Vec<Action>) {
        let Some(load) = self.load.as_mut().filter(|l| l.map == map) else {
            return;
        };
        if !matches!(load.phase, LoadPhase::Loading) {
            return;
        }
        load.phase = error.map_or(LoadPhase::Loaded, LoadPhase::Failed);
        self.send_load_result(out);
    }

    /// Retries an unconfirmed write and an unanswered request for a decision.
    pub fn on_timer(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.superseded {
            return;
        }
        if let Some(pending) = &mut self.pending
            && pending.backoff.expire(now)
        {
            out.push(Action::WriteRecord(pending.write));
        }
        if let Some(decision_request) = &mut self.decision_request
            && decision_request.expire(now)
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

    /// Returns whether to handle a coordinator's message. Only a query raises the ballot. A
    /// coordinator has the answer of this rank to its ballot, so a ballot higher than the recorded
    /// one can only reach a run of the agent that has been replaced.
    fn accept(&mut self, from: RankIndex, ballot: Ballot, out: &mut Vec<Action>) -> bool {
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
        // The coordinator repeats the message, so a rank that still needs its staged weights
        // ignores it for now.
        if stale || self.pending.is_some() || self.state.needs_staged() {
            return;
        }
        if let Some(load) = self.load.as_mut().filter(|l| l.map == map) {
            let failed = matches!(load.phase, LoadPhase::Failed(_)) && load.id == id;
            load.id = id;
            load.coordinator = from;
            if failed || matches!(load.phase, LoadPhase::Loaded) {
                self.send_load_result(out);
                return;
            }
        }
        let in_force = self.state.record.committed.map;
        let unneeded = |old: &StagedLoad| old.map != map && old.map != in_force;
        if let Some(old) = self.load.take().filter(unneeded) {
            out.push(Action::DiscardWeights(old.map));
        }
        self.load = Some(StagedLoad {
            id,
            map,
            coordinator: from,
            phase: LoadPhase::Loading,
        });
        out.push(Action::LoadWeights { map, fencing, plan });
    }

    fn send_load_result(&self, out: &mut Vec<Action>) {
        let Some(load) = &self.load else {
            return;
        };
        let id = load.id;
        match load.phase {
            LoadPhase::Loading => {}
            LoadPhase::Loaded => self.send(load.coordinator, Body::Loaded { id }, out),
            LoadPhase::Failed(error) => {
                self.send(load.coordinator, Body::NotLoaded { id, fault: error }, out);
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
            // The previous switch is not in force yet; the coordinator repeats the proposal.
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
            keep_weights,
            ..
        } = decision;
        if self.pending.is_some() {
            return;
        }
        let record = self.state.record;
        let mut next = record;
        if committed.map.version > record.committed.map.version {
            // All ranks promised the switch before it was committed, and only a decision ends a
            // promise.
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
        if !keep_weights {
            self.discard_unneeded(upto, &next, out);
        }
        let reply = Body::Decided { upto };
        if next == record {
            self.send(from, reply, out);
        } else {
            self.write(next, Some((from, reply)), now, out);
        }
    }

    /// Discards the weights of a decided round if no switch needs them.
    fn discard_unneeded(&mut self, upto: RoundId, next: &Record, out: &mut Vec<Action>) {
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
        self.pending = Some(PendingWrite {
            write,
            reply,
            backoff: Backoff::start(self.options.min_backoff, self.options.max_backoff, now),
        });
        out.push(Action::WriteRecord(write));
    }

    /// Completes the pending write if the engine's state shows whether it was applied.
    fn resolve_pending(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(pending) = &self.pending else {
            return;
        };
        let record = pending.write.record;
        let applied = self.state.record == record;
        if self.state.revision > pending.write.expected {
            let reply = self.pending.take().and_then(|p| p.reply);
            if !applied && !self.is_confirmed {
                // A write of the earlier run was applied after this run had read the state.
                self.write(self.state.record, None, now, out);
                return;
            }
            self.is_confirmed = true;
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
        let requested_promise = record.promise.filter(|p| Some(*p) != self.promise());
        if let Some(promise) = requested_promise.filter(|p| p.step <= self.state.step) {
            // The engine will refuse the write, because the step has already started.
            let reply = self.pending.take().and_then(|p| p.reply);
            if let Some((to, _)) = reply {
                let (id, reason) = (promise.id, RefuseReason::Passed);
                self.send(to, Body::Refuse { id, reason }, out);
            }
        }
    }

    fn update_decision_request(&mut self, now: Time) {
        if self.promise().is_none() {
            self.decision_request = None;
        } else if self.decision_request.is_none() {
            let (interval, limit) = (self.options.min_backoff * 2, self.options.max_backoff);
            self.decision_request = Some(Backoff::start(interval, limit, now));
        }
    }
}
