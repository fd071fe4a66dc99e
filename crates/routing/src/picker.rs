//! Chooses a replica of one service for each attempt of one entry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use siskinbend_types::AgentId;
use siskinbend_types::EngineGroup;
use siskinbend_types::Incarnation;
use siskinbend_types::Reason;
use siskinbend_types::RegionSet;
use siskinbend_types::Time;
use siskinbend_types::Window;
use siskinbend_types::Zone;
use siskinbend_types::ZoneRegions;

use crate::Explanation;
use crate::Feature;
use crate::LoadReport;
use crate::Policy;
use crate::PolicyKind;
use crate::Replica;
use crate::Verdict;
use crate::health;
use crate::health::EjectionCause;
use crate::policy::Candidate;
use crate::policy::Tuning;
use crate::slowdown;
use crate::subset::stable_hash;

/// Longest time between two calls of `take_due_probes` in normal operation. After a longer one the
/// entry itself was paused and answers to probes may still be unread.
const MAX_PROBE_GAP: Duration = Duration::from_secs(1);

/// Slowdown up to which a replica counts as not slow.
const NORMAL_SLOWDOWN: f64 = 1.05;

/// Options of a picker.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// The policy that picks one of the usable replicas.
    pub policy: PolicyKind,
    /// Parameters of [`PolicyKind::Siskinbend`].
    pub tuning: Tuning,
    /// Limits of the health checks.
    pub health: health::Settings,
}

/// State of an agent according to one of its messages.
#[derive(Debug, Clone)]
pub struct Observation {
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Its dispatch window.
    pub window: Window,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it drains.
    pub draining: bool,
    /// Its load report.
    pub report: LoadReport,
    /// Age of the load report when the message arrived; zero if the agent counted itself.
    pub report_age: Duration,
}

/// Requirements of a request on its replica.
#[derive(Debug, Clone, Default)]
pub struct Requirements {
    /// Hash of the prompt prefix, for cache affinity.
    pub prefix: Option<u64>,
    /// Replicas that this request has already tried.
    pub avoid: Vec<AgentId>,
    /// Features that the replica must have.
    pub features: Vec<Feature>,
    /// Lock-step groups that can't run requests at present; `None` stands for the replicas whose
    /// group is unknown or that are in none.
    pub closed_groups: Vec<Option<EngineGroup>>,
    /// Availability zones whose replicas may get no requests.
    pub closed_zones: Vec<Zone>,
    /// Regions that the replica may be in.
    pub regions: RegionSet,
}

impl Requirements {
    fn are_met_by(&self, replica: &Replica) -> bool {
        let has = |feature: &Feature| replica.features.contains(feature);
        !self.avoid.contains(&replica.agent)
            && self.features.iter().all(has)
            && !self.closed_groups.contains(&replica.group)
            && !self.closed_zones.contains(&replica.zone)
    }
}

/// A chosen replica, with the fields that the dispatch must carry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The replica's agent.
    pub agent: AgentId,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The agent's dispatch window.
    pub window: Window,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The answer was complete.
    Ok {
        /// Time from dispatch to the first part of the answer; `None` if it was already passed to
        /// [`Picker::record_first_token`].
        first_token: Option<Duration>,
    },
    /// The agent refused it.
    Refused(Reason),
    /// The connection or the backend server failed.
    Failed,
    /// Nothing arrived within the stall timeout.
    Stalled,
    /// The caller disconnected; the replica is not to blame.
    Cancelled,
}

/// The replicas of one service as seen by one entry.
pub struct Picker {
    settings: Settings,
    own_zone: Zone,
    policy: Box<dyn Policy>,
    /// Regions of the replicas' zones.
    regions: ZoneRegions,
    replicas: BTreeMap<AgentId, Replica>,
    /// Last call of `take_due_probes`.
    last_probe_check: Time,
}

impl Picker {
    /// Creates a picker without replicas.
    pub fn new(settings: Settings, own_zone: Zone) -> Self {
        let policy = settings.policy.build(settings.tuning);
        let replicas = BTreeMap::new();
        Self {
            settings,
            own_zone,
            policy,
            regions: ZoneRegions::default(),
            replicas,
            last_probe_check: Time::default(),
        }
    }

    /// Updates a replica from a message of its agent; a new agent or incarnation starts with empty
    /// statistics.
    pub fn observe(&mut self, agent: &AgentId, observation: Observation, now: Time) {
        let was_silent = self
            .replicas
            .get(agent)
            .is_some_and(|r| self.is_silent(r, now));
        let report_time = Time(
            now.0
                .saturating_sub(observation.report_age.as_micros() as u64),
        );
        let entry = self.replicas.entry(agent.clone());
        let replica = entry.or_insert_with(|| Replica::new(agent.clone(), &observation, now));
        replica.update(observation, report_time, now);
        if was_silent {
            replica.health.readmit(now);
        }
        if replica.report.idle >= self.settings.health.stall_timeout {
            self.eject(agent, EjectionCause::Stalled, now);
        } else if let Some(replica) = self.replicas.get_mut(agent) {
            replica.health.recover(now);
        }
    }

    /// Sets the time without a message after which a replica is probed. Entries with many replicas
    /// probe each one less often.
    pub fn set_probe_delay(&mut self, probe_delay: Duration) {
        self.settings.health.probe_delay = probe_delay;
    }

    /// Sets the time that a known replica takes for its work, as a multiple of the usual time.
    pub fn set_slowdown(&mut self, agent: &AgentId, slowdown: f64) {
        if let Some(replica) = self.replicas.get_mut(agent) {
            replica.slowdown = slowdown;
        }
    }

    /// Sets the regions of the availability zones.
    pub fn set_regions(&mut self, regions: ZoneRegions) {
        self.regions = regions;
    }

    /// Sets the lock-step group of a known replica.
    pub fn set_group(&mut self, agent: &AgentId, group: &EngineGroup) {
        if let Some(replica) = self.replicas.get_mut(agent) {
            replica.group = Some(group.clone());
        }
    }

    /// Sets the features of a known replica. A new incarnation has no features until this is called
    /// again, because a restarted engine has lost what was loaded.
    pub fn set_features(&mut self, agent: &AgentId, features: Vec<Feature>) {
        if let Some(replica) = self.replicas.get_mut(agent) {
            replica.features = features;
        }
    }

    /// Estimates the number of requests that run or wait per slot, over the replicas of a lock-step
    /// group, or those without one, that don't drain and are in none of the closed zones. Idle slots in
    /// closed zones would hide that the others are full.
    pub fn estimate_load(&self, group: Option<&EngineGroup>, closed_zones: &[Zone]) -> f64 {
        let peers = self.estimate_peers();
        let is_active = |r: &&Replica| {
            !r.draining && r.group.as_ref() == group && !closed_zones.contains(&r.zone)
        };
        let active = || self.replicas.values().filter(is_active);
        let requests: f64 = active().map(|r| r.estimate_requests(peers)).sum();
        let slots: f64 = active().map(|r| f64::from(r.report.slots)).sum();
        requests / slots.max(1.0)
    }

    /// Whether there are replicas that don't drain, and all of these are in closed zones.
    pub fn are_all_closed(&self, closed_zones: &[Zone]) -> bool {
        let mut active = self.replicas.values().filter(|r| !r.draining).peekable();
        active.peek().is_some() && active.all(|r| closed_zones.contains(&r.zone))
    }

    /// Counts the attempts of this entry that have not ended, by zone.
    pub fn count_outstanding(&self) -> BTreeMap<&Zone, u32> {
        let mut counts = BTreeMap::new();
        for replica in self.replicas.values() {
            *counts.entry(&replica.zone).or_default() += replica.outstanding;
        }
        counts
    }

    /// Returns the lock-step group of a replica, if it is known.
    pub fn find_group(&self, agent: &AgentId) -> Option<&EngineGroup> {
        self.replicas.get(agent)?.group.as_ref()
    }

    /// Returns the lock-step group of each replica that does not drain and is in none of the closed
    /// zones; groups occur repeatedly.
    pub fn list_groups(&self, closed_zones: &[Zone]) -> impl Iterator<Item = &Option<EngineGroup>> {
        let is_active = |r: &&Replica| !r.draining && !closed_zones.contains(&r.zone);
        self.replicas.values().filter(is_active).map(|r| &r.group)
    }

    /// Removes a replica.
    pub fn remove(&mut self, agent: &AgentId) {
        self.replicas.remove(agent);
    }

    /// Chooses a replica for one attempt.
    ///
    /// A replica that refused an attempt because its queue was full is skipped until its next
    /// report, unless all others did too.
    ///
    /// # Errors
    ///
    /// `RegionNotAllowed` if no replica is in a region that is allowed, `Draining` if all replicas
    /// drain, otherwise `NoReplica`.
    pub fn choose<R>(
        &mut self,
        requirements: &Requirements,
        now: Time,
        rng: &mut R,
    ) -> Result<Choice, Reason>
    where
        R: Rng,
    {
        let mut usable: Vec<&Replica> = Vec::with_capacity(self.replicas.len());
        let mut readmitted = Vec::new();
        let is_allowed = |r: &&Replica| requirements.regions.allows(self.regions.find(&r.zone));
        let candidates = self.replicas.values().filter(is_allowed);
        for replica in candidates.filter(|r| requirements.are_met_by(r)) {
            match self.assess(replica, now) {
                (Verdict::Usable, _) => usable.push(replica),
                (Verdict::Readmitted, share) if rng.random_bool(share) => usable.push(replica),
                (Verdict::Readmitted, _) => readmitted.push(replica),
                _ => {}
            }
        }
        if usable.is_empty() {
            usable = readmitted;
        }
        if usable.iter().any(|r| !r.is_queue_full()) {
            usable.retain(|r| !r.is_queue_full());
        }
        self.exclude_slow(&mut usable);
        if usable.is_empty() {
            if !self.replicas.is_empty() && !self.replicas.values().any(|r| is_allowed(&r)) {
                return Err(Reason::RegionNotAllowed);
            }
            let all_draining =
                !self.replicas.is_empty() && self.replicas.values().all(|r| r.draining);
            return Err(if all_draining {
                Reason::Draining
            } else {
                Reason::NoReplica
            });
        }
        let candidates = self.list_candidates(&usable, requirements);
        let chosen = usable[self.policy.pick(&candidates, rng)];
        assert!(
            !chosen.draining,
            "{} was chosen while draining",
            chosen.agent
        );
        Ok(Choice {
            agent: chosen.agent.clone(),
            incarnation: chosen.incarnation,
            window: chosen.window,
        })
    }

    /// Records that an attempt was dispatched.
    pub fn record_dispatch(&mut self, agent: &AgentId, now: Time) {
        if let Some(replica) = self.replicas.get_mut(agent) {
            replica.record_dispatch(now);
        }
    }

    /// Records the time from dispatch to the first part of the answer. Streams call this when the
    /// first part arrives: at the end of a stream it would be too late to keep other requests from
    /// a slow replica.
    pub fn record_first_token(&mut self, agent: &AgentId, after: Duration, now: Time) {
        if let Some(replica) = self.replicas.get_mut(agent) {
            replica.health.record_first_token(after);
        }
        if self.is_slow(agent) {
            self.eject(agent, EjectionCause::Slow, now);
        }
    }

    /// Records how a dispatched attempt ended.
    pub fn record_result(&mut self, agent: &AgentId, result: AttemptResult, now: Time) {
        let health = &self.settings.health;
        let Some(replica) = self.replicas.get_mut(agent) else {
            return;
        };
        replica.record_end(now);
        let cause = match result {
            AttemptResult::Ok { first_token } => {
                replica.health.record_success(health, now);
                if let Some(after) = first_token {
                    self.record_first_token(agent, after, now);
                }
                None
            }
            AttemptResult::Failed | AttemptResult::Stalled => replica
                .health
                .record_failure(health, now)
                .then_some(EjectionCause::Failed),
            AttemptResult::Refused(reason) => {
                replica.record_refusal(reason, now);
                None
            }
            AttemptResult::Cancelled => None,
        };
        if let Some(cause) = cause {
            self.eject(agent, cause, now);
        }
    }

    /// Records that a dispatched attempt is silent, and that it goes on nevertheless.
    pub fn record_silence(&mut self, agent: &AgentId, now: Time) {
        let health = &self.settings.health;
        let Some(replica) = self.replicas.get_mut(agent) else {
            return;
        };
        if replica.health.record_failure(health, now) {
            self.eject(agent, EjectionCause::Failed, now);
        }
    }

    /// Returns the state of each replica for the status page.
    pub fn explain(&self, now: Time) -> Vec<Explanation> {
        let peers = self.estimate_peers();
        let explain = |r: &Replica| r.explain(self.assess(r, now).0, peers, now);
        self.replicas.values().map(explain).collect()
    }

    /// Returns the replicas to be probed now and records the probes as sent. Call it every 100 to
    /// 250 ms.
    pub fn take_due_probes(&mut self, now: Time) -> Vec<AgentId> {
        let paused = now.since(self.last_probe_check) > MAX_PROBE_GAP;
        self.last_probe_check = now;
        let delay = self.settings.health.probe_delay;
        let due = |r: &mut Replica| {
            r.take_due_probe(delay, paused, now)
                .then(|| r.agent.clone())
        };
        self.replicas.values_mut().filter_map(due).collect()
    }

    /// Whether a replica is so slow that its work delays its whole group.
    pub fn delays_group(&self, agent: &AgentId) -> bool {
        self.replicas.get(agent).is_some_and(|r| {
            r.slowdown > NORMAL_SLOWDOWN && r.slowdown > self.find_max_slowdown(r.group.as_ref())
        })
    }

    /// Finds the largest slowdown at which a replica of a group receives work; replicas without a
    /// group count as one.
    fn find_max_slowdown(&self, group: Option<&EngineGroup>) -> f64 {
        let is_active = |r: &&Replica| !r.draining && r.group.as_ref() == group;
        let active = self.replicas.values().filter(is_active);
        let slowdowns: Vec<f64> = active.map(|r| r.slowdown).collect();
        slowdown::find_max_slowdown(&slowdowns)
    }

    /// Removes slow replicas from the candidates while there are others.
    fn exclude_slow(&self, usable: &mut Vec<&Replica>) {
        if usable.iter().all(|r| r.slowdown <= NORMAL_SLOWDOWN) {
            return;
        }
        let groups: BTreeSet<Option<&EngineGroup>> =
            usable.iter().map(|r| r.group.as_ref()).collect();
        let limits: BTreeMap<Option<&EngineGroup>, f64> = groups
            .into_iter()
            .map(|group| (group, self.find_max_slowdown(group)))
            .collect();
        let is_fast = |r: &&Replica| r.slowdown <= limits[&r.group.as_ref()];
        if usable.iter().any(is_fast) {
            usable.retain(is_fast);
        }
    }

    /// Computes the input of the policy for the usable replicas.
    fn list_candidates(&self, usable: &[&Replica], requirements: &Requirements) -> Vec<Candidate> {
        let peers = self.estimate_peers();
        let holds: Vec<f64> = usable.iter().map(|r| r.report.hold.as_secs_f64()).collect();
        let known = holds.iter().filter(|h| **h > 0.0).count().max(1);
        let mean_hold = holds.iter().sum::<f64>() / known as f64;
        let candidate = |r: &&Replica| {
            let slots = f64::from(r.report.slots.max(1));
            let hold_ratio = r.hold_ratio(mean_hold);
            Candidate {
                reported_load: f64::from(r.report.total()) / slots,
                corrected_load: r.estimate_requests(peers) / slots * hold_ratio,
                added_load: hold_ratio / slots,
                local: r.zone == self.own_zone,
                grouped: r.group.is_some(),
                affinity: requirements.prefix.map(|p| stable_hash((p, &r.agent))),
            }
        };
        usable.iter().map(candidate).collect()
    }

    /// Estimates how many entries send to the replicas, this one included: the reported load
    /// divided by this entry's share of it.
    fn estimate_peers(&self) -> f64 {
        let total: u32 = self.replicas.values().map(|r| r.report.total()).sum();
        let own: u32 = self.replicas.values().map(|r| r.outstanding).sum();
        (f64::from(total) / f64::from(own.max(1))).max(1.0)
    }

    /// Returns whether a replica can be chosen, and the fraction of its full share of requests that
    /// it receives.
    fn assess(&self, replica: &Replica, now: Time) -> (Verdict, f64) {
        if replica.draining {
            return (Verdict::Draining, 0.0);
        }
        if replica.restarted {
            return (Verdict::Restarted, 0.0);
        }
        if self.is_silent(replica, now) {
            return (Verdict::Silent, 0.0);
        }
        match replica.health.availability(&self.settings.health, now) {
            health::Availability::Active => (Verdict::Usable, 1.0),
            health::Availability::Readmitted(share) => (Verdict::Readmitted, share),
            health::Availability::Ejected(EjectionCause::Failed) => (Verdict::Failed, 0.0),
            health::Availability::Ejected(EjectionCause::Stalled) => (Verdict::Stalled, 0.0),
            health::Availability::Ejected(EjectionCause::Slow) => (Verdict::Slow, 0.0),
        }
    }

    fn is_silent(&self, replica: &Replica, now: Time) -> bool {
        let paused = now.since(self.last_probe_check) > MAX_PROBE_GAP;
        !paused && replica.unanswered(now) >= self.settings.health.probe_timeout
    }

    /// Whether a replica's first-token time is far above the median of all replicas.
    fn is_slow(&self, agent: &AgentId) -> bool {
        let Some(own) = self
            .replicas
            .get(agent)
            .and_then(|r| r.health.mean_first_token())
        else {
            return false;
        };
        let mut all: Vec<f64> = self
            .replicas
            .values()
            .filter_map(|r| r.health.mean_first_token())
            .collect();
        all.sort_unstable_by(f64::total_cmp);
        all.len() >= 3 && own > self.settings.health.outlier_ratio * all[all.len() / 2]
    }

    /// Ejects a replica unless too many others are ejected.
    fn eject(&mut self, agent: &AgentId, cause: EjectionCause, now: Time) {
        let ejected = |r: &&Replica| r.health.is_ejected() && &r.agent != agent;
        let others = self.replicas.values().filter(ejected).count();
        let max_ejected = self.settings.health.max_ejected_share * self.replicas.len() as f64;
        let Some(replica) = self.replicas.get_mut(agent) else {
            return;
        };
        if (others + 1) as f64 <= max_ejected && !replica.health.is_ejected() {
            replica.health.eject(cause, &self.settings.health, now);
        }
    }
}
