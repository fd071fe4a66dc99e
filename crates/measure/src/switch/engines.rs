//! The lock-step engine group: each rank with its record, and the check for mixed steps.

use std::time::Duration;

use siskinbend_groups::EngineState;
use siskinbend_groups::MapRef;
use siskinbend_groups::Record;
use siskinbend_groups::RecordWrite;
use siskinbend_groups::RoundId;
use siskinbend_groups::Step;
use siskinbend_groups::Switch;
use siskinbend_types::Ballot;
use siskinbend_types::Digest;
use siskinbend_types::Incarnation;
use siskinbend_types::Time;
use siskinbend_types::Version;

use super::tally::Tally;

/// One rank of the engine.
#[derive(Debug)]
pub struct EngineRank {
    /// What the rank keeps.
    pub state: EngineState,
    /// The load under way.
    pub loading: Option<(MapRef, u64)>,
    /// The map of the step under way.
    map: MapRef,
}

/// The engine's ranks in lock-step.
#[derive(Debug)]
pub struct Engines {
    /// The ranks.
    pub ranks: Vec<EngineRank>,
    /// The last step that all ranks ended.
    pub ended: Step,
    ended_at: Time,
    /// Ranks start steps in spite of a closed gate and hide it from their agents, which turns
    /// the promise off. Only tests set it.
    open_gates: bool,
}

/// What becomes of a load command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadStart {
    /// The load started.
    Started,
    /// The same load is under way.
    Repeated,
    /// The weights are loaded.
    Done,
    /// A switch still needs the weights that would be replaced.
    Refused,
}

/// The map with which every group starts.
pub fn first_map() -> MapRef {
    MapRef {
        version: Version(1),
        digest: Digest([1; 32]),
    }
}

impl Engines {
    /// Starts a group before its first step.
    pub fn start(ranks: u16, open_gates: bool) -> Self {
        let ballot = Ballot {
            term: 0,
            owner: Incarnation(0),
        };
        let committed = Switch {
            id: RoundId { ballot, round: 0 },
            map: first_map(),
            step: Step(0),
        };
        let state = EngineState {
            life: Incarnation(1),
            revision: 0,
            step: Step(0),
            staged: None,
            record: Record {
                agent: Incarnation(0),
                ballot,
                committed,
                previous: first_map(),
                promise: None,
            },
        };
        let ranks = (0..ranks).map(|_| EngineRank {
            state,
            loading: None,
            map: first_map(),
        });
        Self {
            ranks: ranks.collect(),
            ended: Step(0),
            ended_at: Time(0),
            open_gates,
        }
    }

    /// What a rank reports to its agent.
    pub fn view(&self, rank: usize) -> EngineState {
        let mut state = self.ranks[rank].state;
        if self.open_gates
            && let Some(gate) = state.record.gate()
        {
            state.step = state.step.min(Step(gate.0 - 1));
        }
        state
    }

    /// Applies a write to a rank's record and returns what the rank answers.
    pub fn write(&mut self, rank: usize, write: &RecordWrite) -> EngineState {
        let mut view = self.view(rank);
        if view.apply(write).is_ok() {
            let state = &mut self.ranks[rank].state;
            state.record = view.record;
            state.revision = view.revision;
        }
        self.view(rank)
    }

    /// Takes a load command.
    pub fn begin_load(&mut self, rank: usize, map: MapRef, number: u64) -> LoadStart {
        let rank = &mut self.ranks[rank];
        if rank.state.staged == Some(map) {
            return LoadStart::Done;
        }
        if rank.state.needs_staged() {
            return LoadStart::Refused;
        }
        if rank.loading.is_some_and(|(loading, _)| loading == map) {
            return LoadStart::Repeated;
        }
        rank.state.staged = None;
        rank.loading = Some((map, number));
        LoadStart::Started
    }

    /// Ends a load; returns false if another one has replaced it.
    pub fn end_load(&mut self, rank: usize, map: MapRef, number: u64, loaded: bool) -> bool {
        let rank = &mut self.ranks[rank];
        if rank.loading != Some((map, number)) {
            return false;
        }
        rank.loading = None;
        if loaded {
            rank.state.staged = Some(map);
        }
        true
    }

    /// Frees loaded weights unless a switch needs them.
    pub fn discard(&mut self, rank: usize, map: MapRef) {
        let rank = &mut self.ranks[rank];
        if rank.state.staged == Some(map) && !rank.state.needs_staged() {
            rank.state.staged = None;
        }
        rank.loading = rank.loading.filter(|(loading, _)| *loading != map);
    }

    /// Notes that all ranks ended the step under way.
    pub fn end_step(&mut self, now: Time) {
        self.ended = Step(self.ended.0 + 1);
        self.ended_at = now;
    }

    /// Starts the next step at a rank if its gate allows it.
    pub fn try_enter(&mut self, rank: usize) -> bool {
        let next = Step(self.ended.0 + 1);
        let rank = &mut self.ranks[rank];
        let open = self.open_gates || rank.state.record.allows(next);
        if rank.state.step != self.ended || !open {
            return false;
        }
        rank.state.step = next;
        rank.map = rank.state.record.map_at(next);
        true
    }

    /// Counts the step once all ranks have started it; returns false before.
    pub fn check_entered(&self, now: Time, tally: &mut Tally) -> bool {
        let next = Step(self.ended.0 + 1);
        if self.ranks.iter().any(|r| r.state.step != next) {
            return false;
        }
        tally.steps += 1;
        let mixed = self.ranks.iter().any(|r| r.map != self.ranks[0].map);
        tally.mixed_steps += u64::from(mixed);
        let pause = now.since(self.ended_at);
        if pause > Duration::ZERO {
            tally.held_steps += 1;
            tally.pause += pause;
            tally.longest = tally.longest.max(pause);
        }
        true
    }
}
