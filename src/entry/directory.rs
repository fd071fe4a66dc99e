//! Directory of the known agents, and the subset of them that this entry connects to.

use std::collections::HashMap;
use std::net::SocketAddr;

use siskinbend_routing::subset::Member;
use siskinbend_routing::subset::pick_subset;
use siskinbend_types::AgentId;
use siskinbend_types::ServiceName;
use siskinbend_types::Zone;
use siskinbend_wire::Hello;

use crate::limits;

/// Properties of an agent, from the `Hello` of its last connection.
#[derive(Debug, Clone)]
struct AgentInfo {
    agent: AgentId,
    zone: Zone,
    service: ServiceName,
    /// Whether the agent accepts requests; in a group only the agent of rank 0 does.
    serving: bool,
}

/// Agents by address, including those that are not connected.
#[derive(Debug)]
pub(super) struct Directory {
    entry: AgentId,
    zone: Zone,
    agents: HashMap<SocketAddr, AgentInfo>,
}

impl Directory {
    pub(super) fn new(entry: AgentId, zone: Zone) -> Self {
        Self {
            entry,
            zone,
            agents: HashMap::new(),
        }
    }

    /// Stores the properties of an agent; returns whether the subsets may change.
    pub(super) fn update(&mut self, address: SocketAddr, hello: &Hello) -> bool {
        let info = AgentInfo {
            agent: hello.agent.clone(),
            zone: hello.zone.clone(),
            service: hello.service.clone(),
            serving: hello.serving,
        };
        let old = self.agents.insert(address, info);
        old.is_none_or(|old| old.service != hello.service || old.agent != hello.agent)
    }

    /// Removes an agent that is gone or unreachable; returns whether it was known.
    pub(super) fn remove(&mut self, address: SocketAddr) -> bool {
        self.agents.remove(&address).is_some()
    }

    /// Returns the address of an agent, which need not be connected.
    pub(super) fn find_address(&self, agent: &AgentId) -> Option<SocketAddr> {
        let mut agents = self.agents.iter();
        agents
            .find(|(_, info)| info.agent == *agent)
            .map(|(address, _)| *address)
    }

    /// Returns whether this entry should be connected to an agent. This holds for the agents of the
    /// subset, and for unknown ones, whose service is learned from the first connection.
    pub(super) fn should_connect(&self, address: SocketAddr) -> bool {
        let Some(info) = self.agents.get(&address) else {
            return true;
        };
        if !info.serving {
            return false;
        }
        let peers = self
            .agents
            .values()
            .filter(|other| other.serving && other.service == info.service);
        let members: Vec<Member> = peers
            .map(|other| Member {
                agent: other.agent.clone(),
                zone: other.zone.clone(),
            })
            .collect();
        let size = self.subset_size();
        members.len() <= size
            || pick_subset(self.entry.as_str(), &self.zone, &members, size).contains(&info.agent)
    }

    /// Returns the maximum number of replicas of one service to connect to.
    fn subset_size(&self) -> usize {
        let mut services: Vec<&ServiceName> = self.agents.values().map(|k| &k.service).collect();
        services.sort_unstable();
        services.dedup();
        (limits::MAX_AGENT_CONNECTIONS / services.len().max(1)).max(limits::MIN_SERVICE_CONNECTIONS)
    }
}
