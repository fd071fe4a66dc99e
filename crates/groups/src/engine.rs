//! The switch state that the engine's rank stores for its agent, and the rule for writing it.

use serde::Deserialize;
use serde::Serialize;
use siskinbend_types::Ballot;
use siskinbend_types::Incarnation;

use crate::message::MapRef;
use crate::message::Step;
use crate::message::Switch;

/// Switch state stored in the engine's rank, so that it survives a restart of the agent.
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
    /// The promised, undecided switch; the step gate is closed at its step.
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

    /// The first step that must not start.
    pub fn gate(&self) -> Option<Step> {
        self.promise.map(|switch| switch.step)
    }

    /// Returns whether a step may start.
    pub fn allows(&self, step: Step) -> bool {
        self.gate().is_none_or(|gate| step < gate)
    }
}

/// A conditional, atomic write of the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordWrite {
    /// The revision that the record must have. A delayed write of an earlier agent or a repeated
    /// write finds another revision and changes nothing.
    pub expected: u64,
    /// The new record.
    pub record: Record,
}

/// Why the engine's rank refused a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, displaydoc::Display)]
pub enum WriteError {
    /// the record has a different revision
    Revision,
    /// the step of the gate or of the switch has already started
    Passed,
    /// the weights of the promised map are not loaded
    NotLoaded,
}

impl std::error::Error for WriteError {}

/// State of the engine's rank, as reported with each step and in each answer to a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// Incarnation of the whole group: drawn when the group starts, and the same in all ranks.
    pub life: Incarnation,
    /// Number of writes to the record.
    pub revision: u64,
    /// The last step that started.
    pub step: Step,
    /// The map whose weights are loaded beside the map in force.
    pub staged: Option<MapRef>,
    /// The record.
    pub record: Record,
}

impl EngineState {
    /// Applies a write. Engines and stand-ins must implement this rule, and no step may start while
    /// it runs.
    ///
    /// # Errors
    ///
    /// Returns an error if nothing was changed.
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

    /// Returns whether a switch still needs the weights loaded beside the map in force.
    pub fn needs_staged(&self) -> bool {
        self.record.promise.is_some() || self.step < self.record.committed.step
    }
}
