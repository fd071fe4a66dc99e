//! Crashes of backend servers, and the requests that may have caused them.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Number of parts of a stream that can arrive before the backend server has written the first
/// answer tokens of all requests that it started together.
const MAX_STARTING_PARTS: u32 = 2;

/// Progress of an attempt when its connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum AttemptStage {
    /// The answer was well under way.
    Streaming,
    /// The answer had not begun.
    Waiting,
    /// The answer had just begun.
    Starting,
}

impl AttemptStage {
    /// Returns the stage of an attempt whose answer has begun, after `parts` parts of its stream.
    pub fn of_stream(parts: u32) -> AttemptStage {
        match parts <= MAX_STARTING_PARTS {
            true => AttemptStage::Starting,
            false => AttemptStage::Streaming,
        }
    }
}

impl fmt::Display for AttemptStage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AttemptStage::Waiting => "waiting",
            AttemptStage::Starting => "starting",
            AttemptStage::Streaming => "streaming",
        })
    }
}
