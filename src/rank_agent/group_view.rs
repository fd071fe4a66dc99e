//! An agent's view of the ranks of its group, and the choice of the leader.
//!
//! The responsive agent with the lowest address leads. Two agents may lead at the same time: the
//! orders of a switch are safe in that case, so the choice needs no consensus.

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

/// Part of the interval between reports to the leader that each rank of the group adds.
const REPORT_INTERVAL_PER_RANK: Duration = Duration::from_millis(6);
/// Minimum interval between reports.
pub(super) const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(120);
/// Maximum interval between reports.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// Time for which an agent that did not respond is not a candidate for leader.
const UNRESPONSIVE_COOLDOWN: Duration = Duration::from_secs(2);
/// Maximum age of a report that is used.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_800);

/// Time for which the next pass may be held before the group counts as closed.
const HOLD_GRACE: Duration = Duration::from_millis(350);
/// Minimum age of a report at which the leader reads the rank directly.
const DIRECT_READ_AGE: Duration = Duration::from_millis(1_000);

/// Time for which the placement limits are cached.
const LIMITS_TTL: Duration = Duration::from_secs(30);

/// Report of one rank, which its agent sends to the leader of the group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct RankReport {
    /// Address of the rank.
    pub rank: SocketAddr,
    pub state: RankState,
    /// How often requests chose each expert since the last report, ordered by set.
    pub chosen: Vec<u32>,
    /// Experts of the rank by set, as of the active map.
    pub placement: Placement,
}

/// Latest report of a rank.
struct ReceivedReport {
    report: RankReport,
    received_at: Time,
    /// Whether this agent read the rank itself because the rank's agent was silent.
    is_direct: bool,
}

/// State of a group as seen by one agent.
pub(super) struct GroupView {
    own: SocketAddr,
    members: BTreeSet<SocketAddr>,
    /// Whether the registry lists this agent's rank.
    is_registered: bool,
    /// Number of ranks in the group; 0 until this agent's rank was read.
    size: usize,
    /// Agents that did not respond, with the time of the failed call.
    unresponsive: BTreeMap<SocketAddr, Time>,
    reports: BTreeMap<SocketAddr, ReceivedReport>,
    /// Epoch, and the latest pass in it that this agent may not hold.
    hold_floor: Option<(u64, u64)>,
    /// Placement limits, and when they were read.
    limits: Option<(Limits, Time)>,
    /// Start of the current hold of the next pass.
    held_since: Option<Time>,
    pub demand: RecentDemand,
}

impl GroupView {
    pub fn new(own: SocketAddr) -> GroupView {
        GroupView {
            own,
            members: BTreeSet::from([own]),
            is_registered: false,
            size: 0,
            unresponsive: BTreeMap::new(),
            reports: BTreeMap::new(),
            hold_floor: None,
            limits: None,
            held_since: None,
            demand: RecentDemand::new(Default::default()),
        }
    }

    /// Returns the interval at which each agent reads and reports its rank. It grows with the
    /// group, so that the leader receives at most about 160 reports per second.
    pub fn report_interval(&self) -> Duration {
        let size = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        (REPORT_INTERVAL_PER_RANK * size).clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL)
    }

    /// Replaces the registered ranks.
    pub fn set_members(&mut self, ranks: BTreeSet<SocketAddr>) {
        self.is_registered = ranks.contains(&self.own);
        self.members = ranks;
        self.members.insert(self.own);
    }

    /// Sets the number of ranks in the group.
    pub fn set_size(&mut self, size: u16) {
        self.size = usize::from(size);
    }

    /// Whether the registry lists this agent's rank and at least as many ranks as the group has.
    pub fn is_complete(&self) -> bool {
        self.is_registered && self.size > 0 && self.members.len() >= self.size
    }

    /// Lists the agents that may lead, in order of preference; none if this agent leads.
    pub fn list_leader_candidates(&self, now: Time) -> Vec<SocketAddr> {
        let is_candidate = |rank: &&SocketAddr| {
            let since = self.unresponsive.get(rank);
            since.is_none_or(|since| now.since(*since) > UNRESPONSIVE_COOLDOWN)
        };
        self.members
            .range(..self.own)
            .filter(is_candidate)
            .copied()
            .collect()
    }

    /// Records that an agent did not respond.
    pub fn mark_unresponsive(&mut self, rank: SocketAddr, now: Time) {
        self.unresponsive.insert(rank, now);
    }

    /// Records that an agent responded.
    pub fn mark_responsive(&mut self, rank: SocketAddr) {
        self.unresponsive.remove(&rank);
    }

    /// Records the report of an agent.
    pub fn record_report(&mut self, report: RankReport, now: Time) {
        self.demand.add(&report.chosen, now);
        self.record(report, now, false);
    }

    /// Records a rank that was read without its agent.
    pub fn record_direct_read(&mut self, report: RankReport, now: Time) {
        self.record(report, now, true);
    }

    fn record(&mut self, report: RankReport, now: Time, is_direct: bool) {
        let rank = report.rank;
        let received = ReceivedReport {
            report,
            received_at: now,
            is_direct,
        };
        self.reports.insert(rank, received);
    }

    /// Whether the latest report of a rank was read without its agent.
    pub fn is_read_directly(&self, rank: SocketAddr) -> bool {
        self.reports.get(&rank).is_some_and(|r| r.is_direct)
    }

    /// Lists the ranks whose agents are silent, if this agent leads and has recent reports of at
    /// least half of the ranks.
    pub fn list_silent_ranks(&self, now: Time) -> Vec<SocketAddr> {
        let max_age = DIRECT_READ_AGE.max(self.report_interval() * 2);
        let is_recent = |r: &ReceivedReport| now.since(r.received_at) <= max_age;
        let recent = self.reports.values().filter(|r| is_recent(r)).count();
        if !self.list_leader_candidates(now).is_empty() || recent * 2 < self.members.len() {
            return Vec::new();
        }
        let is_silent = |rank: &&SocketAddr| self.reports.get(rank).is_none_or(|r| !is_recent(r));
        self.members.iter().filter(is_silent).copied().collect()
    }

    /// Returns the experts of a rank if its latest report is for the same map as `state`.
    pub fn find_placement(&self, rank: SocketAddr, state: &RankState) -> Option<Placement> {
        let report = &self.reports.get(&rank)?.report;
        let is_same_map = report.state.epoch == state.epoch && report.state.map == state.map;
        is_same_map.then(|| report.placement.clone())
    }

    /// Tracks holds of the next pass, and returns whether one has lasted for [`HOLD_GRACE`].
    fn update_hold(&mut self, now: Time) -> bool {
        let states = || self.reports.values().map(|r| &r.report.state);
        let step = states().map(|s| s.step).max().unwrap_or(0);
        let is_held = states().any(|s| s.held.is_some_and(|pass| pass <= step + 1));
        match (is_held, self.held_since) {
            (true, None) => self.held_since = Some(now),
            (false, _) => self.held_since = None,
            (true, Some(_)) => {}
        }
        self.held_since
            .is_some_and(|since| now.since(since) >= HOLD_GRACE)
    }

    /// Lists the load of all ranks with a recent report.
    pub fn list_loads(&mut self, now: Time) -> Vec<RankLoad> {
        let is_stopped = self.update_hold(now);
        let load = |r: &ReceivedReport| RankLoad {
            rank: r.report.rank,
            running: r.report.state.running,
            queued: r.report.state.queued,
            pace: r.report.state.pace,
            open: r.report.state.open && !is_stopped,
            age: u32::try_from(now.since(r.received_at).as_millis()).unwrap_or(u32::MAX),
        };
        let is_recent = |r: &&ReceivedReport| now.since(r.received_at) <= MAX_REPORT_AGE;
        self.reports.values().filter(is_recent).map(load).collect()
    }

    /// Lists the recent reports, ordered by rank.
    pub fn list_recent(&self, now: Time) -> Vec<&RankReport> {
        let mut recent: Vec<&RankReport> = self
            .reports
            .values()
            .filter(|r| now.since(r.received_at) <= MAX_REPORT_AGE)
            .map(|r| &r.report)
            .collect();
        recent.sort_by_key(|report| report.state.rank);
        recent
    }

    /// Returns the cached placement limits unless they have expired.
    pub fn cached_limits(&self, now: Time) -> Option<Limits> {
        let (limits, read_at) = self.limits?;
        (now.since(read_at) <= LIMITS_TTL).then_some(limits)
    }

    /// Caches placement limits that were just read.
    pub fn set_limits(&mut self, limits: Limits, now: Time) {
        self.limits = Some((limits, now));
    }

    /// Extends the validity of the cached limits while the configuration cannot be read.
    pub fn extend_limits(&mut self, now: Time) -> Option<Limits> {
        let (_, read_at) = self.limits.as_mut()?;
        *read_at = now;
        self.limits.map(|(limits, _)| limits)
    }

    /// Returns the latest pass that this agent may not hold; `step` is the latest pass that has
    /// started.
    ///
    /// Before a restart, this agent may have held a pass at the same rank, and the release may not
    /// have arrived yet.
    pub fn hold_floor(&mut self, epoch: u64, step: u64) -> u64 {
        match self.hold_floor {
            Some((floor_epoch, floor)) if floor_epoch == epoch => floor,
            _ => {
                let floor = step + MAX_LEAD_PASSES;
                self.hold_floor = Some((epoch, floor));
                floor
            }
        }
    }

    /// Records that all ranks switched to a map, before their reports show it.
    pub fn record_switch(&mut self, version: u64, map: &[Placement], step: u64) {
        for ReceivedReport { report, .. } in self.reports.values_mut() {
            let rank = usize::from(report.state.rank);
            report.state = RankState {
                map: version,
                step,
                armed: None,
                prepared: None,
                held: None,
                ..report.state.clone()
            };
            report.placement = map
                .iter()
                .filter_map(|set| set.get(rank).cloned())
                .collect();
        }
    }

    /// Records a pass that this agent held.
    pub fn record_hold(&mut self, step: u64) {
        if let Some((_, floor)) = &mut self.hold_floor {
            *floor = step.max(*floor);
        }
    }

    /// Lists the addresses of all ranks in order, if there is exactly one recent report for each
    /// rank of the group.
    pub fn list_addresses(&self, now: Time) -> Option<Vec<SocketAddr>> {
        let recent = self.list_recent(now);
        let size = usize::from(recent.first()?.state.size);
        let is_complete = recent.len() == size
            && recent
                .iter()
                .enumerate()
                .all(|(rank, report)| usize::from(report.state.rank) == rank);
        is_complete.then(|| recent.iter().map(|report| report.rank).collect())
    }

    /// Finds the rank without a recent report, if it is the only one.
    pub fn find_missing_rank(&self, now: Time) -> Option<usize> {
        let recent = self.list_recent(now);
        let size = usize::from(recent.first()?.state.size);
        let reported: BTreeSet<usize> = recent.iter().map(|p| usize::from(p.state.rank)).collect();
        let mut missing = (0..size).filter(|rank| !reported.contains(rank));
        let only = missing.next()?;
        (missing.next().is_none() && recent.len() + 1 == size).then_some(only)
    }
}
