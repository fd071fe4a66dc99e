//! Which agents there are by service, and which of them this entry keeps connections to.

use std::collections::HashMap;
use std::net::SocketAddr;

use siskinbend_routing::subset::Member;
use siskinbend_routing::subset::pick_subset;
use siskinbend_types::AgentId;
use siskinbend_types::ServiceName;
use siskinbend_types::Zone;
use siskinbend_wire::Hello;

use crate::limits;

/// What an agent said about itself when it was last connected.
#[derive(Debug, Clone)]
struct Known {
    agent: AgentId,
    zone: Zone,
    service: ServiceName,
    /// Takes requests; the agents of a group other than that of rank 0 don't.
    serving: bool,
}

/// Agents by address, connected or not.
#[derive(Debug)]
pub(super) struct Directory {
    entry: AgentId,
    zone: Zone,
    agents: HashMap<SocketAddr, Known>,
}

impl Directory {
    pub(super) fn new(entry: AgentId, zone: Zone) -> Self {
        Self {
            entry,
            zone,
            agents: HashMap::new(),
        }
    }

    /// Notes what an agent says; true if that changes which agents are chosen.
    pub(super) fn learn(&mut self, address: SocketAddr, hello: &Hello) -> bool {
        let known = Known {
            agent: hello.agent.clone(),
            zone: hello.zone.clone(),
            service: hello.service.clone(),
            serving: hello.serving,
        };
        let old = self.agents.insert(address, known);
        old.is_none_or(|old| old.service != hello.service || old.agent != hello.agent)
    }

    /// Forgets an agent that is gone or can't be reached; true if it was known.
    pub(super) fn forget(&mut self, address: SocketAddr) -> bool {
        self.agents.remove(&address).is_some()
    }

    /// The address of an agent, connected or not.
    pub(super) fn find_address(&self, agent: &AgentId) -> Option<SocketAddr> {
        let mut known = self.agents.iter();
        known
            .find(|(_, known)| known.agent == *agent)
            .map(|(address, _)| *address)
    }

    /// Tells whether this entry keeps a connection to an agent. One that isn't known yet is
    /// connected to once, to learn its service.
    pub(super) fn is_chosen(&self, address: SocketAddr) -> bool {
        let Some(known) = self.agents.get(&address) else {
            return true;
        };
        if !known.serving {
            return false;
        }
        let peers = self
            .agents
            .values()
            .filter(|other| other.serving && other.service == known.service);
        let members: Vec<Member> = peers
            .map(|other| Member {
                agent: other.agent.clone(),
                zone: other.zone.clone(),
            })
            .collect();
        let size = self.find_size();
        members.len() <= size
            || pick_subset(self.entry.as_str(), &self.zone, &members, size).contains(&known.agent)
    }

    /// Replicas of each service that this entry connects to.
    fn find_size(&self) -> usize {
        let mut services: Vec<&ServiceName> = self.agents.values().map(|k| &k.service).collect();
        services.sort_unstable();
        services.dedup();
        (limits::MAX_AGENT_CONNECTIONS / services.len().max(1)).max(limits::MIN_SERVICE_CONNECTIONS)
    }
}
