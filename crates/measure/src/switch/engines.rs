//! Simulates the engines of a group: all ranks run each step together. Counts steps in which ranks
//! use different maps.

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

use super::stats::SwitchStats;

/// The engine state of one rank.
#[derive(Debug)]
pub struct EngineRank {
    /// State that the rank persists and reports.
    pub state: EngineState,
    /// Map and sequence number of the weight load in progress.
    pub loading: Option<(MapRef, u64)>,
    /// Map that the rank uses in its current step.
    map: MapRef,
}

/// All ranks of a group; a step ends on all of them at the same time.
#[derive(Debug)]
pub struct Engines {
    /// The ranks, by index.
    pub ranks: Vec<EngineRank>,
    /// The last step that all ranks completed.
    pub completed_step: Step,
    completed_at: Time,
    /// Ranks start steps although their gate is closed and report a step below the gate to their
    /// agents, which disables the promise. Only tests set it.
    ignore_gates: bool,
}

/// Result of a load command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadStart {
    /// A load has started.
    Started,
    /// The same load is already in progress.
    InProgress,
    /// The weights have been loaded already.
    AlreadyLoaded,
    /// A switch still needs the weights that the load would replace.
    Refused,
}

/// The map that every group uses from its first step.
pub fn initial_map() -> MapRef {
    MapRef {
        version: Version(1),
        digest: Digest([1; 32]),
    }
}

impl Engines {
    /// Creates a group that has not started its first step.
    pub fn start(ranks: u16, ignore_gates: bool) -> Self {
        let ballot = Ballot {
            term: 0,
            owner: Incarnation(0),
        };
        let committed = Switch {
            id: RoundId { ballot, round: 0 },
            map: initial_map(),
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
                previous: initial_map(),
                promise: None,
            },
        };
        let ranks = (0..ranks).map(|_| EngineRank {
            state,
            loading: None,
            map: initial_map(),
        });
        Self {
            ranks: ranks.collect(),
            completed_step: Step(0),
            completed_at: Time(0),
            ignore_gates,
        }
    }

    /// Returns the state that a rank reports to its agent.
    pub fn report(&self, rank: usize) -> EngineState {
        let mut state = self.ranks[rank].state;
        if self.ignore_gates
            && let Some(gate) = state.record.gate()
        {
            state.step = state.step.min(Step(gate.0 - 1));
        }
        state
    }

    /// Applies a write to a rank's record and returns the rank's report.
    pub fn write(&mut self, rank: usize, write: &RecordWrite) -> EngineState {
        let mut report = self.report(rank);
        if report.apply(write).is_ok() {
            let state = &mut self.ranks[rank].state;
            state.record = report.record;
            state.revision = report.revision;
        }
        self.report(rank)
    }

    /// Handles a load command.
    pub fn start_load(&mut self, rank: usize, map: MapRef, number: u64) -> LoadStart {
        let rank = &mut self.ranks[rank];
        if rank.state.staged == Some(map) {
            return LoadStart::AlreadyLoaded;
        }
        if rank.state.needs_staged() {
            return LoadStart::Refused;
        }
        if rank.loading.is_some_and(|(loading, _)| loading == map) {
            return LoadStart::InProgress;
        }
        rank.state.staged = None;
        rank.loading = Some((map, number));
        LoadStart::Started
    }

    /// Finishes a load; returns false if another load has replaced it.
    pub fn finish_load(&mut self, rank: usize, map: MapRef, number: u64, loaded: bool) -> bool {
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

    /// Records that all ranks have completed the current step.
    pub fn finish_step(&mut self, now: Time) {
        self.completed_step = Step(self.completed_step.0 + 1);
        self.completed_at = now;
    }

    /// Starts the next step at a rank if its gate allows it.
    pub fn try_start_step(&mut self, rank: usize) -> bool {
        let next = Step(self.completed_step.0 + 1);
        let rank = &mut self.ranks[rank];
        let open = self.ignore_gates || rank.state.record.allows(next);
        if rank.state.step != self.completed_step || !open {
            return false;
        }
        rank.state.step = next;
        rank.map = rank.state.record.map_at(next);
        true
    }

    /// Counts the step and returns true if all ranks have started it.
    pub fn check_step_started(&self, now: Time, stats: &mut SwitchStats) -> bool {
        let next = Step(self.completed_step.0 + 1);
        if self.ranks.iter().any(|r| r.state.step != next) {
            return false;
        }
        stats.steps += 1;
        let mixed = self.ranks.iter().any(|r| r.map != self.ranks[0].map);
        stats.mixed_steps += u64::from(mixed);
        let pause = now.since(self.completed_at);
        if pause > Duration::ZERO {
            stats.held_steps += 1;
            stats.pause += pause;
            stats.longest_pause = stats.longest_pause.max(pause);
        }
        true
    }
}
