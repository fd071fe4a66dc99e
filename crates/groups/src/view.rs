//! An agent's view of the ranks of its group, and the choice of the leader.
//!
//! The responsive agent with the lowest address leads. Two agents may lead at the same time: the
//! orders of a switch are safe in that case, so the choice needs no consensus.
//!
//! In a large group the reports reach the leader through one agent in each availability zone, so
//! that the leader's link carries a few bundles instead of a report of every rank.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use siskinbend_placement::even_split::Limits;
use siskinbend_placement::plan_gate::PlanGate;
use siskinbend_placement::recent_demand::RecentDemand;
use siskinbend_site::engine::Placement;
use siskinbend_site::engine::RankState;
use siskinbend_types::EngineGroup;
use siskinbend_types::Time;
use siskinbend_types::Zone;

use crate::directory::Directory;
use crate::directory::DirectoryAnswer;
use crate::directory::DirectoryQuery;
use crate::directory::Membership;
use crate::orders::MAX_LEAD_PASSES;
use crate::report::GroupLoads;
use crate::report::RankLoad;
use crate::report::RankReport;
use crate::report::ReportBundle;

/// Part of the interval between reports that each rank adds which reports to the same agent.
const REPORT_INTERVAL_PER_RANK: Duration = Duration::from_millis(6);
/// The same in groups that report by zone. Their reports are larger, because they have more experts.
const ZONE_INTERVAL_PER_RANK: Duration = Duration::from_millis(12);
/// Minimum interval between reports.
pub const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(120);
/// Maximum interval between reports.
const MAX_REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// Maximum number of ranks that report to the leader without an agent in between.
pub const MAX_DIRECT_REPORTS: usize = 32;
/// Time for which an agent that did not respond is not a candidate for leader.
const UNRESPONSIVE_COOLDOWN: Duration = Duration::from_secs(2);
/// Maximum age of a report that is used.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_800);

/// Time for which the next pass may be held before the group counts as closed.
const HOLD_GRACE: Duration = Duration::from_millis(350);
/// Minimum age of a report at which the leader reads the rank directly.
const DIRECT_READ_AGE: Duration = Duration::from_millis(1_000);

/// Age from which the placement limits are read again.
const LIMITS_TTL: Duration = Duration::from_secs(30);

/// Latest report of a rank.
struct ReceivedReport {
    report: RankReport,
    received_at: Time,
    /// Whether this agent read the rank itself because the rank's agent was silent.
    is_direct: bool,
}

/// State of a group as seen by one agent.
pub struct GroupView {
    own: SocketAddr,
    zone: Zone,
    /// Group of the own rank; `None` until the rank was read.
    group: Option<EngineGroup>,
    directory: Directory,
    /// Known ranks of the own group, the own one included.
    members: BTreeSet<SocketAddr>,
    /// Ranks of the service in the registry, with their zones.
    registered: BTreeMap<SocketAddr, Zone>,
    /// Number of ranks in the group; 0 until this agent's rank was read.
    size: usize,
    /// Agents that did not respond, with the time of the failed call.
    unresponsive: BTreeMap<SocketAddr, Time>,
    reports: BTreeMap<SocketAddr, ReceivedReport>,
    /// Reports of other agents that wait to be relayed, with their receipt times.
    relayed: BTreeMap<SocketAddr, (RankReport, Time)>,
    /// Bundle to be sent next; until then it holds only the expert counts that wait to be relayed.
    next_bundle: ReportBundle,
    /// Loads of the group as received from the leader.
    leader_loads: Option<(GroupLoads, Time)>,
    /// Epoch, and the latest pass in it that this agent may not hold.
    hold_floor: Option<(u64, u64)>,
    /// Placement limits, and when they were read.
    limits: Option<(Limits, Time)>,
    /// Start of the current hold of the next pass.
    held_since: Option<Time>,
    /// Recent demand for the experts.
    pub demand: RecentDemand,
    /// Whether a new plan can be worth its processor time.
    pub plan_gate: PlanGate,
    /// Time that the orders of the latest switch took after its hold.
    pub order_time: Option<Duration>,
}

fn elapsed_ms(since: Time, now: Time) -> u32 {
    u32::try_from(now.since(since).as_millis()).unwrap_or(u32::MAX)
}

impl GroupView {
    /// Creates the view of the agent of the rank at `own`.
    pub fn new(own: SocketAddr, zone: Zone) -> GroupView {
        GroupView {
            own,
            zone,
            group: None,
            directory: Directory::default(),
            members: BTreeSet::from([own]),
            registered: BTreeMap::new(),
            size: 0,
            unresponsive: BTreeMap::new(),
            reports: BTreeMap::new(),
            relayed: BTreeMap::new(),
            next_bundle: ReportBundle::default(),
            leader_loads: None,
            hold_floor: None,
            limits: None,
            held_since: None,
            demand: RecentDemand::new(Default::default()),
            plan_gate: PlanGate::default(),
            order_time: None,
        }
    }

    /// Returns the group of the own rank, if it is known.
    pub fn group(&self) -> Option<&EngineGroup> {
        self.group.as_ref()
    }

    /// Replaces the registered ranks of the service. Ranks that are not registered and whose agents
    /// don't respond are no longer members.
    pub fn set_registered(&mut self, ranks: BTreeMap<SocketAddr, Zone>) {
        self.registered = ranks;
        let GroupView {
            own,
            registered,
            unresponsive,
            ..
        } = self;
        self.directory.retain(|rank| {
            rank == own || registered.contains_key(rank) || !unresponsive.contains_key(rank)
        });
        self.update_members();
    }

    /// Records the state of the own rank, which contains its group. A rank that has joined another
    /// group starts with an empty view.
    pub fn set_own_state(&mut self, state: &RankState, unix_ms: u64) {
        self.size = usize::from(state.size);
        if self.group.as_ref() != Some(&state.group) {
            self.group = Some(state.group.clone());
            self.reports.clear();
            self.relayed.clear();
            self.next_bundle = ReportBundle::default();
            self.leader_loads = None;
            self.demand = RecentDemand::new(Default::default());
        }
        let known = self.directory.find(self.own);
        if known.is_none_or(|known| known.group != state.group) {
            // A statement of an earlier agent at this address may have a later time.
            let earlier_ms = known.map_or(0, |known| known.stated_ms + 1);
            self.directory.merge([Membership {
                rank: self.own,
                group: state.group.clone(),
                zone: self.zone.clone(),
                stated_ms: unix_ms.max(earlier_ms),
            }]);
        }
        self.update_members();
    }

    fn update_members(&mut self) {
        let is_member = |entry: &&Membership| Some(&entry.group) == self.group.as_ref();
        let members = self.directory.iter().filter(is_member);
        self.members = members.map(|entry| entry.rank).collect();
        self.members.insert(self.own);
        self.reports.retain(|rank, _| self.members.contains(rank));
    }

    /// Builds a query for the directory of another agent.
    pub fn query_directory(&self) -> DirectoryQuery {
        self.directory.query(Some(self.own))
    }

    /// Answers a query for the directory.
    pub fn answer_directory(&mut self, query: DirectoryQuery) -> DirectoryAnswer {
        let answer = self.directory.answer(query);
        self.update_members();
        answer
    }

    /// Merges the directory of another agent.
    pub fn merge_directory(&mut self, entries: Vec<Membership>) {
        if self.directory.merge(entries) {
            self.update_members();
        }
    }

    /// Chooses another registered rank whose agent is asked for its directory. While the group is
    /// incomplete, ranks whose group is unknown are preferred.
    pub fn choose_partner(&self, random: u64) -> Option<SocketAddr> {
        let others = || self.registered.keys().filter(|rank| **rank != self.own);
        let unknown = self.list_unidentified();
        let candidates: Vec<SocketAddr> = if unknown.is_empty() || random.is_multiple_of(2) {
            others().copied().collect()
        } else {
            unknown
        };
        let count = candidates.len() as u64;
        let index = (random >> 1).checked_rem(count)?;
        candidates.get(usize::try_from(index).ok()?).copied()
    }

    /// Lists the registered ranks whose group is unknown.
    pub fn list_unidentified(&self) -> Vec<SocketAddr> {
        let is_unknown = |rank: &&SocketAddr| self.directory.find(**rank).is_none();
        self.registered.keys().filter(is_unknown).copied().collect()
    }

    /// Records the group of a rank whose agent is silent. Any statement of the rank's agent
    /// replaces it.
    pub fn identify(&mut self, rank: SocketAddr, group: EngineGroup) {
        let Some(zone) = self.registered.get(&rank).cloned() else {
            return;
        };
        let entry = Membership {
            rank,
            group,
            zone,
            stated_ms: 0,
        };
        self.merge_directory(vec![entry]);
    }

    /// Whether the group is so large that its reports are collected by zone.
    fn reports_by_zone(&self) -> bool {
        self.members.len() > MAX_DIRECT_REPORTS
    }

    fn is_in_zone(&self, rank: &SocketAddr) -> bool {
        let entry = self.directory.find(*rank);
        entry.is_some_and(|entry| entry.zone == self.zone)
    }

    /// Returns the interval at which each agent reads and reports its rank. It grows with the
    /// number of ranks that report to the same agent, so that this agent's link is not saturated.
    pub fn report_interval(&self) -> Duration {
        let (per_rank, count) = if self.reports_by_zone() {
            let local = self.members.iter().filter(|rank| self.is_in_zone(rank));
            (ZONE_INTERVAL_PER_RANK, local.count())
        } else {
            (REPORT_INTERVAL_PER_RANK, self.members.len())
        };
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        (per_rank * count).clamp(MIN_REPORT_INTERVAL, MAX_REPORT_INTERVAL)
    }

    /// Whether the registry lists this agent's rank and all ranks of its group are known.
    pub fn is_complete(&self) -> bool {
        let is_registered = |rank: &&SocketAddr| self.registered.contains_key(*rank);
        let known = self.members.iter().filter(is_registered).count();
        self.registered.contains_key(&self.own) && self.size > 0 && known >= self.size
    }

    /// Whether the registry has to be read again soon: it lists too few ranks for the group to be
    /// complete, even if all ranks whose group is unknown belong to it.
    pub fn lacks_registrations(&self) -> bool {
        let is_registered = |rank: &&SocketAddr| self.registered.contains_key(*rank);
        let known = self.members.iter().filter(is_registered).count();
        let possible = known + self.list_unidentified().len();
        !self.registered.contains_key(&self.own) || self.size == 0 || possible < self.size
    }

    fn is_candidate(&self, rank: &SocketAddr, now: Time) -> bool {
        let since = self.unresponsive.get(rank);
        since.is_none_or(|since| now.since(*since) > UNRESPONSIVE_COOLDOWN)
    }

    /// Lists the agents that may lead, in order of preference; none if this agent leads.
    pub fn list_leader_candidates(&self, now: Time) -> Vec<SocketAddr> {
        let lower = self.members.range(..self.own);
        let candidates = lower.filter(|rank| self.is_candidate(rank, now));
        candidates.copied().collect()
    }

    /// Lists the agents that this agent may report to, in order of preference; none if it leads.
    ///
    /// All of them have lower addresses, so reports never travel in a circle.
    pub fn list_receivers(&self, now: Time) -> Vec<SocketAddr> {
        let mut receivers = self.list_leader_candidates(now);
        if self.reports_by_zone() {
            receivers.sort_by_key(|rank| !self.is_in_zone(rank));
        }
        receivers
    }

    /// Returns the rank whose agent passes messages on to the agent of `rank`: in a large group the
    /// responsive one with the lowest address in its zone, otherwise the rank itself.
    pub fn find_relay(&self, rank: SocketAddr, now: Time) -> SocketAddr {
        let zone = self.directory.find(rank).map(|entry| &entry.zone);
        if !self.reports_by_zone() || zone.is_none() {
            return rank;
        }
        let is_local = |other: &&SocketAddr| {
            let entry = self.directory.find(**other);
            entry.map(|entry| &entry.zone) == zone
                && self.is_candidate(other, now)
                && !self.is_read_directly(**other)
        };
        self.members.iter().find(is_local).copied().unwrap_or(rank)
    }

    /// Lists the agents with lower addresses that did not respond lately. Before an agent gives
    /// orders as the leader, none of them may respond.
    pub fn list_skipped(&self) -> Vec<SocketAddr> {
        let lower = self.members.range(..self.own);
        let skipped = lower.filter(|rank| self.unresponsive.contains_key(rank));
        skipped.copied().collect()
    }

    /// Records that an agent did not respond.
    pub fn mark_unresponsive(&mut self, rank: SocketAddr, now: Time) {
        self.unresponsive.insert(rank, now);
    }

    /// Records that an agent responded.
    pub fn mark_responsive(&mut self, rank: SocketAddr) {
        self.unresponsive.remove(&rank);
    }

    /// Collects the reports to send: this agent's own one, if its rank could be read, and those
    /// that wait to be relayed.
    pub fn collect(&mut self, own: Option<(RankReport, Vec<u32>)>, now: Time) -> ReportBundle {
        let mut bundle = std::mem::take(&mut self.next_bundle);
        for (mut report, received_at) in std::mem::take(&mut self.relayed).into_values() {
            report.age_ms = report.age_ms.saturating_add(elapsed_ms(received_at, now));
            bundle.reports.push(report);
        }
        if let Some((report, chosen)) = own {
            bundle.add_chosen(&chosen);
            bundle.reports.push(report);
        }
        bundle.wants_loads = bundle.reports.len() > 1;
        bundle
    }

    /// Receives the reports of another agent: records them if this agent leads, or else keeps them
    /// until its next own report. Returns whether they belong to this agent's group.
    pub fn receive(&mut self, bundle: ReportBundle, now: Time) -> bool {
        let group = self.group.as_ref();
        let is_own = |r: &RankReport| group.is_some_and(|group| *group == r.state.group);
        if !bundle.reports.iter().all(is_own) {
            return false;
        }
        if self.list_leader_candidates(now).is_empty() {
            self.record_bundle(bundle, now);
            return true;
        }
        self.next_bundle.add_chosen(&bundle.chosen);
        for report in bundle.reports {
            self.relayed.insert(report.rank, (report, now));
        }
        true
    }

    /// Records reports as the leader.
    pub fn record_bundle(&mut self, bundle: ReportBundle, now: Time) {
        // Reports of ranks whose counts could not be read carry none.
        if !bundle.chosen.is_empty() {
            self.demand.add(&bundle.chosen, now);
        }
        for report in bundle.reports {
            let age = Duration::from_millis(u64::from(report.age_ms));
            let read_at = Time(now.0.saturating_sub(age.as_micros() as u64));
            self.record(report, read_at, false);
        }
    }

    /// Records a rank that was read without its agent.
    pub fn record_direct_read(&mut self, report: RankReport, now: Time) {
        self.record(report, now, true);
    }

    fn record(&mut self, report: RankReport, received_at: Time, is_direct: bool) {
        if Some(&report.state.group) != self.group.as_ref() {
            return;
        }
        let rank = report.rank;
        let received = ReceivedReport {
            report,
            received_at,
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
        let max_age = DIRECT_READ_AGE.max(self.report_interval() * 3);
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

    /// Returns the loads of the group, if this agent leads it or the leader has sent them lately.
    pub fn find_loads(&mut self, now: Time) -> Option<GroupLoads> {
        if self.list_leader_candidates(now).is_empty() {
            return self.compute_loads(now);
        }
        let (loads, received_at) = self.leader_loads.as_ref()?;
        if now.since(*received_at) > MAX_REPORT_AGE {
            return None;
        }
        let mut loads = loads.clone();
        for load in &mut loads.ranks {
            load.age_ms = load.age_ms.saturating_add(elapsed_ms(*received_at, now));
        }
        Some(loads)
    }

    /// Records the loads that the leader, or an agent on the way to it, has sent.
    pub fn set_leader_loads(&mut self, loads: GroupLoads, now: Time) {
        self.leader_loads = Some((loads, now));
    }

    /// Computes the loads of all ranks with a recent report; `None` without a report of another
    /// rank than the own one.
    fn compute_loads(&mut self, now: Time) -> Option<GroupLoads> {
        let is_stopped = self.update_hold(now);
        let load = |r: &ReceivedReport| RankLoad {
            rank: r.report.rank,
            running: r.report.state.running,
            queued: r.report.state.queued,
            pace: r.report.state.pace as f32,
            age_ms: elapsed_ms(r.received_at, now),
        };
        let is_recent = |r: &&ReceivedReport| now.since(r.received_at) <= MAX_REPORT_AGE;
        let recent = || self.reports.values().filter(is_recent);
        let is_open = recent().all(|r| r.report.state.open);
        let loads = GroupLoads {
            group: self.group.clone()?,
            open: is_open && !is_stopped,
            ranks: recent().map(load).collect(),
        };
        (loads.ranks.len() > 1).then_some(loads)
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

    /// Returns the latest placement limits of any age: old ones are better than no map.
    pub fn limits(&self) -> Option<Limits> {
        self.limits.map(|(limits, _)| limits)
    }

    /// Whether the placement limits have to be read: this agent leads, and has none or old ones.
    pub fn needs_limits(&self, now: Time) -> bool {
        let is_fresh = self
            .limits
            .is_some_and(|(_, read_at)| now.since(read_at) <= LIMITS_TTL);
        !is_fresh && self.list_leader_candidates(now).is_empty()
    }

    /// Records placement limits that were just read, or received from another agent.
    pub fn set_limits(&mut self, limits: Limits, now: Time) {
        self.limits = Some((limits, now));
    }

    /// Chooses another member of the group whose agent is asked for the placement limits.
    pub fn choose_member(&self, random: u64) -> Option<SocketAddr> {
        let others: Vec<&SocketAddr> = self.members.iter().filter(|r| **r != self.own).collect();
        let index = random.checked_rem(others.len() as u64)?;
        others.get(usize::try_from(index).ok()?).map(|rank| **rank)
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
