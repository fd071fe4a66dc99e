//! Fencing of engine commands, for engines that don't check fencing numbers themselves.

use serde::Deserialize;
use serde::Serialize;
use siskinbend_types::FencingNumber;

use crate::message::LoadError;

/// Reason why a command was refused.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    displaydoc::Display,
)]
pub enum FenceError {
    /// the lease row has not been read since the agent started
    FenceUnknown,
    /// a command with a higher fencing number is known
    FenceStale,
    /// an earlier command to this engine is still running
    FenceBusy,
}

impl FenceError {
    /// Every value.
    pub const ALL: &'static [FenceError] = &[
        FenceError::FenceUnknown,
        FenceError::FenceStale,
        FenceError::FenceBusy,
    ];

    /// The name in metrics and logs.
    pub fn as_str(self) -> &'static str {
        LoadError::from(self).as_str()
    }
}

impl std::error::Error for FenceError {}

impl From<FenceError> for LoadError {
    fn from(error: FenceError) -> Self {
        match error {
            FenceError::FenceUnknown => LoadError::FenceUnknown,
            FenceError::FenceStale => LoadError::FenceStale,
            FenceError::FenceBusy => LoadError::FenceBusy,
        }
    }
}

/// The highest fencing number that an agent has seen for its engine.
///
/// Step gates and decisions of a map switch carry ballots instead and don't pass the fence, so that
/// an outage of the table service can't block a step.
#[derive(Debug, Clone, Default)]
pub struct Fence {
    highest: Option<FencingNumber>,
    /// Whether the engine rejects old numbers itself.
    engine_checks: bool,
    running: bool,
}

impl Fence {
    /// Creates a fence without a number. `engine_checks` says whether the engine rejects old
    /// numbers itself.
    pub fn new(engine_checks: bool) -> Self {
        Self {
            highest: None,
            engine_checks,
            running: false,
        }
    }

    /// Raises the highest number to that of the lease row, if it is higher. The read of the row
    /// must have begun after the agent started: only then is the number at least as high as that of
    /// every command sent to an earlier run of the agent.
    pub fn raise_to(&mut self, number: FencingNumber) {
        self.highest = self.highest.max(Some(number));
    }

    /// Admits a command to the engine or refuses it.
    ///
    /// An engine that ignores the number could apply an older command after a newer one if both
    /// were in flight, so it gets one command at a time.
    ///
    /// # Errors
    ///
    /// Returns an error if the command must not reach the engine.
    pub fn admit(&mut self, number: FencingNumber) -> Result<(), FenceError> {
        let highest = self.highest.ok_or(FenceError::FenceUnknown)?;
        if number < highest {
            return Err(FenceError::FenceStale);
        }
        if self.running && !self.engine_checks {
            return Err(FenceError::FenceBusy);
        }
        self.highest = Some(number);
        self.running = true;
        Ok(())
    }

    /// Records that the engine answered the admitted command, or that the command can no longer
    /// reach it.
    pub fn finish(&mut self) {
        self.running = false;
    }

    /// The highest number seen; none before the lease row was read.
    pub fn highest(&self) -> Option<FencingNumber> {
        self.highest
    }
}
