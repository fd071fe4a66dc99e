//! State machine of one agent of a group: its rank, and the coordinator while this agent leads.

use std::collections::VecDeque;

use siskinbend_types::FencingNumber;
use siskinbend_types::Incarnation;
use siskinbend_types::Time;

use crate::coordinator::Coordinator;
use crate::engine::EngineState;
use crate::engine::RecordWrite;
use crate::message::BeginError;
use crate::message::Body;
use crate::message::Envelope;
use crate::message::LoadError;
use crate::message::MapRef;
use crate::message::Outcome;
use crate::message::RankIndex;
use crate::options::Options;
use crate::rank::Rank;

/// Input of a [`Member`].
#[derive(Debug, Clone)]
pub enum Event {
    /// A message arrived.
    Message(Envelope),
    /// The engine's rank reported its state, after a step or as the answer to a write.
    EngineReport(EngineState),
    /// The weights of a map are loaded.
    WeightsLoaded(MapRef),
    /// The weights of a map can't be loaded.
    WeightsFailed(MapRef, LoadError),
    /// The timer of the last [`Action::SetTimer`] expired.
    Timer,
}

/// Actions that the agent must perform, in order.
#[derive(Debug, Clone)]
pub enum Action {
    /// Send a message to another agent of the group; it may be lost.
    Send(Envelope),
    /// Load the weights of a map beside the map in force, once the agent's fence has admitted the
    /// fencing number. They replace other weights loaded beside the map in force. The action is
    /// repeated until the load ends; the engine ignores repeated commands.
    LoadWeights {
        /// The map.
        map: MapRef,
        /// Fencing number of the command.
        fencing: FencingNumber,
        /// The encoded content of the map.
        plan: Vec<u8>,
    },
    /// Free the weights of a map that won't come into force, and cancel their load.
    DiscardWeights(MapRef),
    /// Write the record of the engine's rank. A promise in the record closes the step gate, no
    /// promise opens it, and the committed switch schedules its map at its step. The engine answers
    /// with [`Event::EngineReport`], whether the write was applied or refused.
    WriteRecord(RecordWrite),
    /// Raise [`Event::Timer`] at this time. Replaces an earlier timer.
    SetTimer(Time),
    /// Report an event of the group to the agent.
    Report(Outcome),
}

/// State machine of one agent of a group.
#[derive(Debug)]
pub struct Member {
    me: RankIndex,
    incarnation: Incarnation,
    options: Options,
    group_incarnation: Incarnation,
    rank: Rank,
    coordinator: Coordinator,
    timer: Option<Time>,
}

impl Member {
    /// Starts with the state read from the engine's rank after the start of the agent.
    pub fn start(
        me: RankIndex,
        incarnation: Incarnation,
        options: Options,
        state: EngineState,
        now: Time,
        out: &mut Vec<Action>,
    ) -> Self {
        assert!(
            me.0 < options.ranks,
            "rank {me} in a group of {} ranks",
            options.ranks
        );
        let mut actions = Vec::new();
        let rank = Rank::start(me, incarnation, &options, state, now, &mut actions);
        let coordinator = Coordinator::start(me, incarnation, &options, &state, now);
        let mut member = Self {
            me,
            incarnation,
            options,
            group_incarnation: state.life,
            rank,
            coordinator,
            timer: None,
        };
        member.process_actions(actions, now, out);
        member
    }

    /// Handles an event and appends the resulting actions.
    pub fn handle(&mut self, event: Event, now: Time, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        match event {
            Event::Message(envelope) => self.handle_message(envelope, now, &mut actions),
            Event::EngineReport(state) if state.life != self.group_incarnation => {
                let (me, incarnation) = (self.me, self.incarnation);
                *self = Self::start(me, incarnation, self.options.clone(), state, now, out);
            }
            Event::EngineReport(state) => {
                self.rank.on_engine_report(state, now, &mut actions);
                self.coordinator.record_step(state.step, now);
            }
            Event::WeightsLoaded(map) => self.rank.on_load_ended(map, None, &mut actions),
            Event::WeightsFailed(map, error) => {
                self.rank.on_load_ended(map, Some(error), &mut actions);
            }
            Event::Timer => {
                self.timer = None;
                self.rank.on_timer(now, &mut actions);
                self.coordinator.on_timer(now, &mut actions);
            }
        }
        self.process_actions(actions, now, out);
    }

    /// Begins a switch to a map if this agent leads the group.
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
        let mut actions = Vec::new();
        self.coordinator
            .begin(map, plan, fencing, now, &mut actions)?;
        self.process_actions(actions, now, out);
        Ok(())
    }

    /// The rank's state machine.
    pub fn rank(&self) -> &Rank {
        &self.rank
    }

    /// Returns whether this agent leads the group.
    pub fn is_leader(&self) -> bool {
        self.coordinator.is_leader()
    }

    fn handle_message(&mut self, envelope: Envelope, now: Time, out: &mut Vec<Action>) {
        let Envelope {
            life,
            from,
            to,
            body,
        } = envelope;
        if life != self.group_incarnation || to != self.me || from.0 >= self.options.ranks {
            return;
        }
        let ballot = match &body {
            Body::Query { ballot } | Body::Heartbeat { ballot } => Some(*ballot),
            Body::Decide(decision) => Some(decision.ballot),
            Body::Prepare { id, .. } => Some(id.ballot),
            Body::Propose { switch } => Some(switch.id.ballot),
            _ => None,
        };
        match ballot {
            Some(ballot) => {
                let query = matches!(body, Body::Query { .. });
                self.coordinator
                    .observe_ballot(from, ballot, query, now, out);
                self.rank.on_message(from, body, now, out);
            }
            None => self.coordinator.on_message(from, &body, now, out),
        }
    }

    /// Delivers messages of this agent to itself, appends all other actions and updates the timer.
    fn process_actions(&mut self, actions: Vec<Action>, now: Time, out: &mut Vec<Action>) {
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            match action {
                Action::Send(envelope) if envelope.to == self.me => {
                    let mut more = Vec::new();
                    self.handle_message(envelope, now, &mut more);
                    queue.extend(more);
                }
                action => out.push(action),
            }
        }
        self.coordinator.set_held(self.rank.promise().is_some());
        let due = self.rank.due().into_iter().chain(self.coordinator.due());
        let due = due.min();
        if due != self.timer
            && let Some(at) = due
        {
            out.push(Action::SetTimer(at));
        }
        self.timer = due;
    }
}
