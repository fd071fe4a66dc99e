//! Distinguishes a silent replica from a service whose replicas have all stalled.
//!
//! The ranks of a group can stall together and then continue. The first rank that sends a message
//! must not make the others look silent.

use std::collections::BTreeMap;
use std::time::Duration;

use siskinbend_types::AgentId;
use siskinbend_types::Time;

/// Time without a message from any replica after which the whole service counts as stalled.
const SERVICE_STALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Times of the last messages from the replicas of one service.
#[derive(Debug, Clone, Default)]
pub struct LivenessTracker {
    last_messages: BTreeMap<AgentId, Time>,
    /// Time of the last message from any replica.
    last_message: Time,
    /// When the service last resumed after it had stalled.
    resumed: Time,
}

impl LivenessTracker {
    /// Records a message from a replica.
    pub fn record_message(&mut self, replica: &AgentId, now: Time) {
        if now.since(self.last_message) > SERVICE_STALL_TIMEOUT {
            self.resumed = now;
        }
        self.last_message = now;
        self.last_messages.insert(replica.clone(), now);
    }

    /// Removes a replica.
    pub fn remove(&mut self, replica: &AgentId) {
        self.last_messages.remove(replica);
    }

    /// Time for which a replica has been silent while other replicas of the service sent messages;
    /// zero while the whole service is stalled. `expected_since` is when a message was first
    /// expected from the replica.
    pub fn measure_silence(&self, replica: &AgentId, expected_since: Time, now: Time) -> Duration {
        if now.since(self.last_message) > SERVICE_STALL_TIMEOUT {
            return Duration::ZERO;
        }
        let last = self.last_messages.get(replica).copied().unwrap_or_default();
        now.since(last.max(expected_since).max(self.resumed))
    }
}
