//! Backend servers that say in their answers that they are leaving.
//!
//! A server that leaves says so before the registry does, or while the registry can't be read. From
//! then on the gateway sends nothing more to this run of the server, whatever the registry says.

use std::collections::BTreeMap;
use std::time::Duration;

use siskinbend_types::AgentId;
use siskinbend_types::Incarnation;
use siskinbend_types::Reason;
use siskinbend_types::Time;

use crate::SendRule;

/// Time for which a leaving run is remembered after it was last registered. It exceeds the age of
/// copies from which the store is restored, which list servers that have left.
const RETENTION: Duration = Duration::from_secs(600);

/// Leaving run of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeavingRun {
    /// The run.
    pub run: Incarnation,
    /// When an answer first said that it leaves.
    pub since: Time,
    /// When the run was last known to be registered.
    registered_at: Time,
    /// Whether it still is, as far as is known. If not, it can't be chosen.
    is_registered: bool,
}

/// Leaving backend servers, as far as their answers to this gateway said so.
#[derive(Debug, Default)]
pub struct LeavingRuns {
    leaving: BTreeMap<AgentId, LeavingRun>,
}

impl LeavingRuns {
    /// Records that a run of a backend server is leaving. Returns whether this was not known.
    pub fn record(&mut self, server: &AgentId, run: Incarnation, now: Time) -> bool {
        let is_known = |known: &LeavingRun| known.run == run;
        if self.leaving.get(server).is_some_and(is_known) {
            return false;
        }
        let leaving = LeavingRun {
            run,
            since: now,
            registered_at: now,
            is_registered: true,
        };
        self.leaving.insert(server.clone(), leaving);
        true
    }

    /// Records that a run of a backend server is registered. What an earlier run said is forgotten.
    pub fn observe(&mut self, server: &AgentId, run: Incarnation, now: Time) {
        match self.leaving.get_mut(server) {
            Some(known) if known.run == run => {
                known.registered_at = now;
                known.is_registered = true;
            }
            Some(_) => {
                self.leaving.remove(server);
            }
            None => {}
        }
    }

    /// Forgets runs that have not been registered for long.
    pub fn expire(&mut self, now: Time) {
        self.leaving
            .retain(|_, w| now.since(w.registered_at) < RETENTION);
    }

    /// Lists the leaving backend servers, also those that are no longer registered.
    pub fn list(&self) -> impl Iterator<Item = (&AgentId, &LeavingRun)> {
        self.leaving.iter()
    }
}

impl SendRule for LeavingRuns {
    fn reason(&self) -> Reason {
        Reason::Draining
    }

    fn list_withheld(&self, _: Time) -> Vec<AgentId> {
        let registered = self.leaving.iter().filter(|(_, w)| w.is_registered);
        registered.map(|(server, _)| server.clone()).collect()
    }

    fn record_dispatch(&mut self, _: &AgentId, _: Time) {}

    /// The run is still remembered: its entry may come back with a restored store.
    fn remove(&mut self, server: &AgentId) {
        if let Some(known) = self.leaving.get_mut(server) {
            known.is_registered = false;
        }
    }
}
