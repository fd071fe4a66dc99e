//! What the engine's rank keeps for its agent, and the rule by which it changes.

use serde::Deserialize;
use serde::Serialize;
use siskinbend_types::Ballot;
use siskinbend_types::Incarnation;

use crate::message::MapRef;
use crate::message::Step;
use crate::message::Switch;

/// Switch state kept in the engine's rank, so that it survives a restart of the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The agent that wrote the record.
    pub agent: Incarnation,
    /// The highest ballot that the rank has answered.
    pub ballot: Ballot,
    /// The newest committed switch; its map is in force from its step on.
    pub committed: Switch,
    /// The map in force before that step.
    pub previous: MapRef,
    /// The undecided switch; the step gate is closed at its step.
    pub promise: Option<Switch>,
}

impl Record {
    /// The map that a step uses.
    pub fn map_at(&self, step: Step) -> MapRef {
        if step >= self.committed.step {
            self.committed.map
        } else {
            self.previous
        }
    }

    /// The first step that may not start.
    pub fn gate(&self) -> Option<Step> {
        self.promise.map(|switch| switch.step)
    }

    /// Tells whether a step may start.
    pub fn allows(&self, step: Step) -> bool {
        self.gate().is_none_or(|gate| step < gate)
    }
}

/// A change of the record; it applies as a whole or not at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordWrite {
    /// The revision that the record must have. A write of an earlier agent that arrives late, or
    /// a repeated one, finds another revision and does nothing.
    pub expected: u64,
    /// The new record.
    pub record: Record,
}

/// Why the engine's rank refused a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
pub enum WriteError {
    /// the record has another revision
    Revision,
    /// the step of the gate or the switch has started
    Passed,
    /// the weights of the promised map are not loaded
    NotLoaded,
}

impl std::error::Error for WriteError {}

/// State of the engine's rank, as reported with each step and each answer to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Drawn when the group starts as a whole; the same in all ranks.
    pub life: Incarnation,
    /// Counts the writes to the record.
    pub revision: u64,
    /// The last step that started.
    pub step: Step,
    /// The map whose weights are loaded beside the map in force.
    pub staged: Option<MapRef>,
    /// The record.
    pub record: Record,
}

impl EngineState {
    /// Applies a write. Engines and stand-ins must follow this rule without interruption by the
    /// start of a step.
    ///
    /// # Errors
    ///
    /// Returns why nothing was changed.
    pub fn apply(&mut self, write: &RecordWrite) -> Result<(), WriteError> {
        if write.expected != self.revision {
            return Err(WriteError::Revision);
        }
        let (old, new) = (&self.record, &write.record);
        if new.promise != old.promise
            && let Some(promise) = new.promise
        {
            if promise.step <= self.step {
                return Err(WriteError::Passed);
            }
            if self.staged != Some(promise.map) {
                return Err(WriteError::NotLoaded);
            }
        }
        if new.committed != old.committed && new.committed.step <= self.step {
            return Err(WriteError::Passed);
        }
        self.record = write.record;
        self.revision += 1;
        Ok(())
    }

    /// Tells whether the weights beside the map in force are still needed by a switch.
    pub fn needs_staged(&self) -> bool {
        self.record.promise.is_some() || self.step < self.record.committed.step
    }
}
