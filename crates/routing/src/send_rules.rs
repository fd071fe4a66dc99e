//! Rules that withhold requests from some backend servers, such as request limits.
//!
//! Each rule decides by itself which servers it withholds requests from; this module combines them
//! for the choice of a server and finds the rule that is to blame if none is left.

use siskinbend_types::AgentId;
use siskinbend_types::Reason;
use siskinbend_types::Time;

use crate::LeavingRuns;
use crate::Pauses;
use crate::ServerLimits;
use crate::SlowStart;

/// Rule that withholds requests from some backend servers.
pub trait SendRule: Send {
    /// Reason of the refusal if this rule leaves no server for a request.
    fn reason(&self) -> Reason;

    /// Lists the backend servers that may get no request of this gateway now.
    fn list_withheld(&self, now: Time) -> Vec<AgentId>;

    /// Records that a request was sent to a backend server.
    fn record_dispatch(&mut self, server: &AgentId, now: Time);

    /// Forgets a backend server.
    fn remove(&mut self, server: &AgentId);
}

/// Backend servers that one rule withholds requests from.
#[derive(Debug)]
pub struct Withheld {
    /// Reason of the rule.
    pub reason: Reason,
    /// The servers; at least one.
    pub servers: Vec<AgentId>,
}

/// All rules of one gateway.
#[derive(Debug)]
pub struct SendRules {
    /// Request limits that backend servers name.
    pub limits: ServerLimits,
    /// Slow start of cold backend servers.
    pub slow_start: SlowStart,
    /// Pauses that backend servers have asked for.
    pub pauses: Pauses,
    /// Backend servers that say that they are leaving.
    pub leaving: LeavingRuns,
}

impl SendRules {
    /// Rules that hold for good come last: where several leave no server, the caller is told when the
    /// first of the others lets requests through again.
    fn all(&self) -> [&dyn SendRule; 4] {
        [&self.limits, &self.slow_start, &self.pauses, &self.leaving]
    }

    fn all_mut(&mut self) -> [&mut dyn SendRule; 4] {
        [
            &mut self.limits,
            &mut self.slow_start,
            &mut self.pauses,
            &mut self.leaving,
        ]
    }

    /// Lists the backend servers that may get no request now, by rule.
    pub fn list_withheld(&self, now: Time) -> Vec<Withheld> {
        let list = |rule: &dyn SendRule| Withheld {
            reason: rule.reason(),
            servers: rule.list_withheld(now),
        };
        let all = self.all().into_iter().map(list);
        all.filter(|w| !w.servers.is_empty()).collect()
    }

    /// Records that a request was sent to a backend server.
    pub fn record_dispatch(&mut self, server: &AgentId, now: Time) {
        for rule in self.all_mut() {
            rule.record_dispatch(server, now);
        }
    }

    /// Forgets a backend server.
    pub fn remove(&mut self, server: &AgentId) {
        for rule in self.all_mut() {
            rule.remove(server);
        }
    }
}

/// Joins the servers of all rules.
pub fn join_withheld(withheld: &[Withheld]) -> Vec<AgentId> {
    withheld.iter().flat_map(|w| w.servers.clone()).collect()
}

/// Returns the reason of the rule that leaves no server for a request; `None` if there would be none
/// without the rules either. `can_choose` tells whether a server is left apart from the given ones.
///
/// The first rule without which there would be a server is to blame. If only several rules together
/// leave none, it is the first of them.
pub fn find_cause<CanChoose>(withheld: &[Withheld], mut can_choose: CanChoose) -> Option<Reason>
where
    CanChoose: FnMut(&[AgentId]) -> bool,
{
    if withheld.is_empty() || !can_choose(&[]) {
        return None;
    }
    let mut is_sole_cause = |cause: &&Withheld| {
        let others = withheld.iter().filter(|w| w.reason != cause.reason);
        let others: Vec<AgentId> = others.flat_map(|w| w.servers.clone()).collect();
        can_choose(&others)
    };
    let sole = withheld.iter().find(&mut is_sole_cause);
    sole.or(withheld.first()).map(|cause| cause.reason)
}
