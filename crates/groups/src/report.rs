//! Reports of the ranks of a group: what their agents send to the leader, and the loads that the
//! leader derives for the gateways.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use siskinbend_site::engine::Placement;
use siskinbend_site::engine::RankState;
use siskinbend_types::EngineGroup;

/// Report of one rank.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RankReport {
    /// Address of the rank.
    pub rank: SocketAddr,
    /// State of the rank.
    pub state: RankState,
    /// Experts of the rank by set, as of the active map.
    pub placement: Placement,
    /// Age of the report in milliseconds when it was sent.
    pub age_ms: u32,
}

/// Reports that one agent sends together: its own one and those that it relays.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportBundle {
    /// Reports, at most one for each rank.
    pub reports: Vec<RankReport>,
    /// How often requests of these ranks chose each expert since their last reports, ordered by
    /// set.
    pub chosen: Vec<u32>,
    /// Whether the answer should contain the loads of the group.
    pub wants_loads: bool,
}

impl ReportBundle {
    /// Adds how often requests chose each expert.
    pub fn add_chosen(&mut self, chosen: &[u32]) {
        if self.chosen.len() < chosen.len() {
            self.chosen.resize(chosen.len(), 0);
        }
        for (sum, chosen) in self.chosen.iter_mut().zip(chosen) {
            *sum = sum.saturating_add(*chosen);
        }
    }
}

/// Load of one rank as known to the group's leader.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RankLoad {
    /// Address of the rank.
    pub rank: SocketAddr,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Slowdown factor: time per unit of work relative to a healthy rank.
    pub pace: f32,
    /// Age of the load in milliseconds.
    pub age_ms: u32,
}

/// Loads of the ranks of one group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupLoads {
    /// The group.
    pub group: EngineGroup,
    /// Whether the group runs passes.
    pub open: bool,
    /// Loads of its ranks.
    pub ranks: Vec<RankLoad>,
}
