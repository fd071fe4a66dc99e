//! Tells a silent replica from a service that stands still as a whole.
//!
//! Answers the load pattern of a group whose ranks all stall together and then go on: the first rank
//! that sends something must not make the others look silent.

use std::collections::BTreeMap;
use std::time::Duration;

use siskinbend_types::AgentId;
use siskinbend_types::Time;

/// Silence of all replicas of a service from which the service counts as standing still.
const STANDSTILL: Duration = Duration::from_millis(400);

/// When the replicas of one service last sent anything.
#[derive(Debug, Clone, Default)]
pub struct Lively {
    heard: BTreeMap<AgentId, Time>,
    last: Time,
    /// Since when the service has not stood still.
    since: Time,
}

impl Lively {
    /// Notes that a replica sent something.
    pub fn hear(&mut self, replica: &AgentId, now: Time) {
        if now.since(self.last) > STANDSTILL {
            self.since = now;
        }
        self.last = now;
        self.heard.insert(replica.clone(), now);
    }

    /// Forgets a replica that is gone.
    pub fn remove(&mut self, replica: &AgentId) {
        self.heard.remove(replica);
    }

    /// How long a replica has been silent while others of its service were not; `begun` is when
    /// something was first expected of it.
    pub fn find_silence(&self, replica: &AgentId, begun: Time, now: Time) -> Duration {
        if now.since(self.last) > STANDSTILL {
            return Duration::ZERO;
        }
        let heard = self.heard.get(replica).copied().unwrap_or_default();
        now.since(heard.max(begun).max(self.since))
    }
}
