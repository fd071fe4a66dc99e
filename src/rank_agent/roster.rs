//! What an agent knows of the ranks of its group, and who leads.
//!
//! The agent with the lowest address that answers leads. Two agents may both believe that they
//! lead; the orders of a switch are safe against that, so leading needs no agreement.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use siskinbend_groups::orders::MOST_LEAD;
use siskinbend_placement::recent::Recent;
use siskinbend_site::engine::Counts;
use siskinbend_site::engine::Placement;
use siskinbend_site::engine::RankState;
use siskinbend_types::Time;

/// Time for which a silent agent is passed over when counts are passed on.
const PASSED_OVER: Duration = Duration::from_secs(2);
/// Age at which what an agent told counts no more.
const STALE: Duration = Duration::from_millis(1_200);

/// What an agent tells the leader of its group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Push {
    /// Address of the rank.
    pub rank: SocketAddr,
    pub state: RankState,
    pub counts: Counts,
    /// The rank's experts by set, as of the map in force.
    pub placement: Placement,
}

struct Told {
    push: Push,
    heard: Time,
}

/// The ranks of a group.
pub(super) struct Roster {
    own: SocketAddr,
    members: BTreeSet<SocketAddr>,
    passed: BTreeMap<SocketAddr, Time>,
    told: BTreeMap<SocketAddr, Told>,
    /// Epoch, and the pass after which this agent may hold one.
    floor: Option<(u64, u64)>,
    pub demand: Recent,
}

impl Roster {
    pub fn new(own: SocketAddr) -> Roster {
        Roster {
            own,
            members: BTreeSet::from([own]),
            passed: BTreeMap::new(),
            told: BTreeMap::new(),
            floor: None,
            demand: Recent::new(Default::default()),
        }
    }

    /// Takes in the registered ranks; false if this agent's own one is not among them yet.
    pub fn set_members(&mut self, ranks: BTreeSet<SocketAddr>) -> bool {
        let complete = ranks.contains(&self.own);
        self.members = ranks;
        self.members.insert(self.own);
        complete
    }

    /// Agents that may lead, in the order in which they are asked; none if this agent leads.
    pub fn list_candidates(&self, now: Time) -> Vec<SocketAddr> {
        let open = |rank: &&SocketAddr| {
            let since = self.passed.get(rank);
            since.is_none_or(|since| now.since(*since) > PASSED_OVER)
        };
        self.members
            .range(..self.own)
            .filter(open)
            .copied()
            .collect()
    }

    /// Notes that an agent did not answer.
    pub fn pass_over(&mut self, rank: SocketAddr, now: Time) {
        self.passed.insert(rank, now);
    }

    /// Notes that an agent answered.
    pub fn trust(&mut self, rank: SocketAddr) {
        self.passed.remove(&rank);
    }

    /// Takes in what an agent told.
    pub fn hear(&mut self, push: Push, now: Time) {
        let counts = push.counts.counts.clone();
        self.demand
            .add(push.state.rank, push.state.epoch, counts, now);
        self.told.insert(push.rank, Told { push, heard: now });
    }

    /// What the agents told lately, by rank.
    pub fn list_fresh(&self, now: Time) -> Vec<&Push> {
        let mut fresh: Vec<&Push> = self
            .told
            .values()
            .filter(|told| now.since(told.heard) <= STALE)
            .map(|told| &told.push)
            .collect();
        fresh.sort_by_key(|push| push.state.rank);
        fresh
    }

    /// The pass after which this agent may hold one; `step` is the pass that was begun last.
    ///
    /// An earlier run of this agent may have held a pass at the same rank, and its release may
    /// still be on the way.
    pub fn find_floor(&mut self, epoch: u64, step: u64) -> u64 {
        match self.floor {
            Some((known, floor)) if known == epoch => floor,
            _ => {
                let floor = step + MOST_LEAD;
                self.floor = Some((epoch, floor));
                floor
            }
        }
    }

    /// Notes a pass that this agent held.
    pub fn hold_pass(&mut self, step: u64) {
        if let Some((_, floor)) = &mut self.floor {
            *floor = step.max(*floor);
        }
    }

    /// Addresses of all ranks in order, if every rank of the group was heard lately and none of
    /// them twice.
    pub fn list_ranks(&self, now: Time) -> Option<Vec<SocketAddr>> {
        let fresh = self.list_fresh(now);
        let size = usize::from(fresh.first()?.state.size);
        let complete = fresh.len() == size
            && fresh
                .iter()
                .enumerate()
                .all(|(rank, push)| usize::from(push.state.rank) == rank);
        complete.then(|| fresh.iter().map(|push| push.rank).collect())
    }
}
