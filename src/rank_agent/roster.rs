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
use siskinbend_groups::orders::MAX_LEAD_PASSES;
use siskinbend_placement::even_split::Limits;
use siskinbend_placement::recent_demand::RecentDemand;
use siskinbend_site::engine::Placement;
use siskinbend_site::engine::RankState;
use siskinbend_types::Time;

use crate::peer::RankLoad;

/// Time that each rank of a group adds to the interval between two reports to its leader.
const BEAT_PER_RANK: Duration = Duration::from_millis(6);
/// Shortest interval between two reports.
pub(super) const SHORTEST_BEAT: Duration = Duration::from_millis(120);
/// Longest interval between two reports.
const LONGEST_BEAT: Duration = Duration::from_millis(700);
/// Time for which a silent agent is passed over when counts are passed on.
const PASSED_OVER: Duration = Duration::from_secs(2);
/// Age at which what an agent told counts no more.
const STALE: Duration = Duration::from_millis(1_800);

/// Time after which a group whose next pass is held counts as closed.
const HELD_TIME: Duration = Duration::from_millis(350);
/// Age at which a rank is read without its agent.
const SILENT: Duration = Duration::from_millis(1_000);

/// Time after which the limits on placements are read again.
const LIMITS_TIME: Duration = Duration::from_secs(30);

/// What an agent tells the leader of its group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct Push {
    /// Address of the rank.
    pub rank: SocketAddr,
    pub state: RankState,
    /// How often its requests chose each expert since the last push, set after set.
    pub chosen: Vec<u32>,
    /// The rank's experts by set, as of the map in force.
    pub placement: Placement,
}

struct Told {
    push: Push,
    heard: Time,
    /// Whether the rank was read without its agent.
    direct: bool,
}

/// The ranks of a group.
pub(super) struct Roster {
    own: SocketAddr,
    members: BTreeSet<SocketAddr>,
    /// Whether the registry listed this agent's rank.
    listed: bool,
    /// Ranks of the group; 0 until the own rank told.
    size: usize,
    passed: BTreeMap<SocketAddr, Time>,
    told: BTreeMap<SocketAddr, Told>,
    /// Epoch, and the pass after which this agent may hold one.
    floor: Option<(u64, u64)>,
    /// Limits on placements, and when they were read.
    limits: Option<(Limits, Time)>,
    /// Since when the next pass has been held.
    held: Option<Time>,
    pub demand: RecentDemand,
}

impl Roster {
    pub fn new(own: SocketAddr) -> Roster {
        Roster {
            own,
            members: BTreeSet::from([own]),
            listed: false,
            size: 0,
            passed: BTreeMap::new(),
            told: BTreeMap::new(),
            floor: None,
            limits: None,
            held: None,
            demand: RecentDemand::new(Default::default()),
        }
    }

    /// Interval at which a rank is read and its counts are passed on. A larger group takes longer,
    /// so that its leader hears at most about 160 ranks a second.
    pub fn find_beat(&self) -> Duration {
        let size = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        (BEAT_PER_RANK * size).clamp(SHORTEST_BEAT, LONGEST_BEAT)
    }

    /// Takes in the registered ranks.
    pub fn set_members(&mut self, ranks: BTreeSet<SocketAddr>) {
        self.listed = ranks.contains(&self.own);
        self.members = ranks;
        self.members.insert(self.own);
    }

    /// Notes how many ranks the group has.
    pub fn note_size(&mut self, size: u16) {
        self.size = usize::from(size);
    }

    /// Whether the registry listed this agent's rank and as many others as the group has.
    pub fn is_complete(&self) -> bool {
        self.listed && self.size > 0 && self.members.len() >= self.size
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
        self.demand.add(&push.chosen, now);
        self.note(push, now, false);
    }

    /// Takes in what was read of a rank without its agent.
    pub fn fill(&mut self, push: Push, now: Time) {
        self.note(push, now, true);
    }

    fn note(&mut self, push: Push, now: Time, direct: bool) {
        let rank = push.rank;
        let told = Told {
            push,
            heard: now,
            direct,
        };
        self.told.insert(rank, told);
    }

    /// Whether the agent of a rank was silent when the rank was last read.
    pub fn is_direct(&self, rank: SocketAddr) -> bool {
        self.told.get(&rank).is_some_and(|told| told.direct)
    }

    /// Ranks whose agents are silent, if this agent leads and hears most of the others.
    pub fn list_silent(&self, now: Time) -> Vec<SocketAddr> {
        let most = SILENT.max(self.find_beat() * 2);
        let fresh = |told: &Told| now.since(told.heard) <= most;
        let heard = self.told.values().filter(|told| fresh(told)).count();
        if !self.list_candidates(now).is_empty() || heard * 2 < self.members.len() {
            return Vec::new();
        }
        let silent = |rank: &&SocketAddr| self.told.get(rank).is_none_or(|told| !fresh(told));
        self.members.iter().filter(silent).copied().collect()
    }

    /// The experts of a rank, if they were told for the map that it uses now.
    pub fn find_placement(&self, rank: SocketAddr, state: &RankState) -> Option<Placement> {
        let push = &self.told.get(&rank)?.push;
        let same = push.state.epoch == state.epoch && push.state.map == state.map;
        same.then(|| push.placement.clone())
    }

    /// Notes whether the next pass is held, and tells whether it has been for a while.
    fn watch_hold(&mut self, now: Time) -> bool {
        let states = || self.told.values().map(|told| &told.push.state);
        let step = states().map(|s| s.step).max().unwrap_or(0);
        let held = states().any(|s| s.held.is_some_and(|pass| pass <= step + 1));
        match (held, self.held) {
            (true, None) => self.held = Some(now),
            (false, _) => self.held = None,
            (true, Some(_)) => {}
        }
        self.held.is_some_and(|since| now.since(since) >= HELD_TIME)
    }

    /// Load of every rank that was heard lately.
    pub fn list_loads(&mut self, now: Time) -> Vec<RankLoad> {
        let stopped = self.watch_hold(now);
        let load = |told: &Told| RankLoad {
            rank: told.push.rank,
            running: told.push.state.running,
            queued: told.push.state.queued,
            pace: told.push.state.pace,
            open: told.push.state.open && !stopped,
            age: u32::try_from(now.since(told.heard).as_millis()).unwrap_or(u32::MAX),
        };
        let fresh = |told: &&Told| now.since(told.heard) <= STALE;
        self.told.values().filter(fresh).map(load).collect()
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

    /// Limits on placements, if they were read lately.
    pub fn find_limits(&self, now: Time) -> Option<Limits> {
        let (limits, read) = self.limits?;
        (now.since(read) <= LIMITS_TIME).then_some(limits)
    }

    /// Notes limits on placements that were just read.
    pub fn set_limits(&mut self, limits: Limits, now: Time) {
        self.limits = Some((limits, now));
    }

    /// Goes on with the known limits while the configuration can't be read.
    pub fn keep_limits(&mut self, now: Time) -> Option<Limits> {
        let (_, read) = self.limits.as_mut()?;
        *read = now;
        self.limits.map(|(limits, _)| limits)
    }

    /// The pass after which this agent may hold one; `step` is the pass that was begun last.
    ///
    /// An earlier run of this agent may have held a pass at the same rank, and its release may
    /// still be on the way.
    pub fn find_floor(&mut self, epoch: u64, step: u64) -> u64 {
        match self.floor {
            Some((known, floor)) if known == epoch => floor,
            _ => {
                let floor = step + MAX_LEAD_PASSES;
                self.floor = Some((epoch, floor));
                floor
            }
        }
    }

    /// Notes that all ranks have switched to a map, which they will tell only later.
    pub fn note_switch(&mut self, version: u64, map: &[Placement], step: u64) {
        for told in self.told.values_mut() {
            let rank = usize::from(told.push.state.rank);
            told.push.state = RankState {
                map: version,
                step,
                armed: None,
                prepared: None,
                held: None,
                ..told.push.state.clone()
            };
            told.push.placement = map
                .iter()
                .filter_map(|set| set.get(rank).cloned())
                .collect();
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

    /// The one rank that was not heard lately while all others of the group were.
    pub fn find_missing(&self, now: Time) -> Option<usize> {
        let fresh = self.list_fresh(now);
        let size = usize::from(fresh.first()?.state.size);
        let heard: BTreeSet<usize> = fresh.iter().map(|p| usize::from(p.state.rank)).collect();
        let mut missing = (0..size).filter(|rank| !heard.contains(rank));
        let only = missing.next()?;
        (missing.next().is_none() && fresh.len() + 1 == size).then_some(only)
    }
}
