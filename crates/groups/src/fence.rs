//! Fencing of engine commands for engines that don't check the number themselves.

use serde::Deserialize;
use serde::Serialize;
use siskinbend_types::FencingNumber;

use crate::message::LoadError;

/// Why a command was refused.
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
    /// a higher fencing number is known
    FenceStale,
    /// an earlier command to this engine has not ended
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
    fn from(refusal: FenceError) -> Self {
        match refusal {
            FenceError::FenceUnknown => LoadError::FenceUnknown,
            FenceError::FenceStale => LoadError::FenceStale,
            FenceError::FenceBusy => LoadError::FenceBusy,
        }
    }
}

/// The highest fencing number that an agent knows of for its engine.
///
/// Step gates and decisions of a map switch carry ballots instead and never pass here, so that
/// an outage of the table service can't hold a step.
#[derive(Debug, Clone, Default)]
pub struct Fence {
    highest: Option<FencingNumber>,
    /// The engine rejects old numbers itself.
    checked: bool,
    running: bool,
}

impl Fence {
    /// Starts without a number; `checked` tells that the engine rejects old numbers itself.
    pub fn new(checked: bool) -> Self {
        Self {
            highest: None,
            checked,
            running: false,
        }
    }

    /// Takes over the number of the lease row. The read must have begun after the agent started:
    /// only then is the number at least that of every command sent to an earlier run.
    pub fn raise_to(&mut self, number: FencingNumber) {
        self.highest = self.highest.max(Some(number));
    }

    /// Lets a command pass to the engine or refuses it.
    ///
    /// An engine that ignores the number could apply an older command after a newer one if both
    /// were under way, so it gets one command at a time.
    ///
    /// # Errors
    ///
    /// Returns why the command must not reach the engine.
    pub fn admit(&mut self, number: FencingNumber) -> Result<(), FenceError> {
        let highest = self.highest.ok_or(FenceError::FenceUnknown)?;
        if number < highest {
            return Err(FenceError::FenceStale);
        }
        if self.running && !self.checked {
            return Err(FenceError::FenceBusy);
        }
        self.highest = Some(number);
        self.running = true;
        Ok(())
    }

    /// Notes that the engine answered the admitted command, or that it can't reach it any more.
    pub fn finish(&mut self) {
        self.running = false;
    }

    /// The highest number known, none before the lease row was read.
    pub fn highest(&self) -> Option<FencingNumber> {
        self.highest
    }
}
