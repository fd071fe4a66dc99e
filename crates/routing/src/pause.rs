//! Backend servers that have asked this gateway for a pause.
//!
//! An overloaded server that goes on receiving requests spends its time on refusing them. It tells
//! each gateway by itself, and none of them tells the others.

use std::collections::BTreeMap;
use std::time::Duration;

use siskinbend_types::AgentId;
use siskinbend_types::Reason;
use siskinbend_types::Time;

use crate::SendRule;

/// Longest pause that is granted.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// New or prolonged pause of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PauseChange {
    /// Time until its end.
    pub duration: Duration,
    /// Time by which its end moved; the whole duration for a new pause.
    pub extension: Duration,
}

impl PauseChange {
    /// Whether the server was not paused before.
    pub fn is_new(&self) -> bool {
        self.extension == self.duration
    }
}

/// Ends of the pauses of backend servers.
///
/// A pause outlives the server's registration, because an entry may be removed and come back.
#[derive(Debug, Default)]
pub struct Pauses {
    ends: BTreeMap<AgentId, Time>,
}

impl Pauses {
    /// Records that a backend server asked for a pause; ten minutes are granted at most. Returns the
    /// change, if the pause ends later than before. It never ends earlier, because answers on
    /// different connections can overtake each other.
    pub fn record(&mut self, server: &AgentId, asked: Duration, now: Time) -> Option<PauseChange> {
        let duration = asked.min(MAX_PAUSE);
        let end = now + duration;
        let known = self.ends.get(server).copied().unwrap_or(now).max(now);
        if end <= known {
            return None;
        }
        self.ends.insert(server.clone(), end);
        Some(PauseChange {
            duration,
            extension: end.since(known),
        })
    }

    /// Forgets pauses that have ended.
    pub fn expire(&mut self, now: Time) {
        self.ends.retain(|_, end| *end > now);
    }

    /// Lists the paused backend servers with the ends of their pauses.
    pub fn list(&self, now: Time) -> impl Iterator<Item = (&AgentId, Time)> {
        let ends = self.ends.iter().map(|(server, end)| (server, *end));
        ends.filter(move |(_, end)| *end > now)
    }

    /// Returns when the first pause ends of a backend server that could take a request then; `None` if
    /// another one can take it now. `can_choose` tells whether a server is left apart from the given
    /// ones.
    pub fn find_first_end<CanChoose>(&self, now: Time, mut can_choose: CanChoose) -> Option<Time>
    where
        CanChoose: FnMut(&[AgentId]) -> bool,
    {
        let mut paused: Vec<(&AgentId, Time)> = self.list(now).collect();
        paused.sort_by_key(|(_, end)| *end);
        let servers: Vec<AgentId> = paused.iter().map(|(server, _)| (*server).clone()).collect();
        // The more pauses have ended, the more servers are left.
        let counts: Vec<usize> = (0..=servers.len()).collect();
        let ended = counts.partition_point(|ended| !can_choose(&servers[*ended..]));
        paused.get(ended.checked_sub(1)?).map(|(_, end)| *end)
    }
}

impl SendRule for Pauses {
    fn reason(&self) -> Reason {
        Reason::ServersPaused
    }

    fn list_withheld(&self, now: Time) -> Vec<AgentId> {
        self.list(now).map(|(server, _)| server.clone()).collect()
    }

    fn record_dispatch(&mut self, _: &AgentId, _: Time) {}

    /// Has no effect: a pause ends by itself.
    fn remove(&mut self, _: &AgentId) {}
}
