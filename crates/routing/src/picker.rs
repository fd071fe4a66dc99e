//! Chooses a replica of one service for each attempt of one entry.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use siskinbend_types::AgentId;
use siskinbend_types::Incarnation;
use siskinbend_types::Reason;
use siskinbend_types::Time;
use siskinbend_types::Window;
use siskinbend_types::Zone;

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

/// Longest gap between two calls of `to_probe` after which silence says nothing: the entry itself
/// was paused and the answers may still be unread.
const LONGEST_GAP: Duration = Duration::from_secs(1);

/// Pace up to which no replica is looked at more closely.
const USUAL_PACE: f64 = 1.05;

/// Options of a picker.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// The policy.
    pub policy: PolicyKind,
    /// Parameters of siskinbend's own policy.
    pub tuning: Tuning,
    /// Limits of the health checks.
    pub health: health::Settings,
}

/// What a message from an agent says about it.
#[derive(Debug, Clone)]
pub struct Observation {
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Its dispatch window.
    pub window: Window,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it is leaving.
    pub draining: bool,
    /// Its load.
    pub report: LoadReport,
    /// How old the load figures were when the message arrived; zero if the agent counted itself.
    pub report_age: Duration,
}

/// What a request asks of the replica.
#[derive(Debug, Clone, Default)]
pub struct Requirements {
    /// Hash of the prompt prefix, for cache affinity.
    pub prefix: Option<u64>,
    /// Replicas that this request has already tried.
    pub avoid: Vec<AgentId>,
    /// What the replica has to offer beyond its service.
    pub features: Vec<Feature>,
}

impl Requirements {
    fn allows(&self, replica: &Replica) -> bool {
        let offered = |need: &Feature| replica.features.contains(need);
        !self.avoid.contains(&replica.agent) && self.features.iter().all(offered)
    }
}

/// A chosen replica, with what the dispatch has to carry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The replica's agent.
    pub agent: AgentId,
    /// The agent's incarnation, to be sent with the dispatch.
    pub incarnation: Incarnation,
    /// The agent's dispatch window, to be sent with the dispatch.
    pub window: Window,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The answer was complete.
    Ok {
        /// Time from dispatch to the first part of the answer; `None` if
        /// [`Picker::record_first_token`] has already noted it.
        first_token: Option<Duration>,
    },
    /// The agent refused it.
    Refused(Reason),
    /// The connection or the backend server failed.
    Failed,
    /// Nothing came for too long.
    Stalled,
    /// The caller went away; this says nothing about the replica.
    Cancelled,
}

/// The replicas of one service as one entry sees them.
pub struct Picker {
    settings: Settings,
    own_zone: Zone,
    policy: Box<dyn Policy>,
    replicas: BTreeMap<AgentId, Replica>,
    ticked: Time,
}

impl Picker {
    /// A picker that knows no replica yet.
    pub fn new(settings: Settings, own_zone: Zone) -> Self {
        let policy = settings.policy.build(settings.tuning);
        let replicas = BTreeMap::new();
        Self {
            settings,
            own_zone,
            policy,
            replicas,
            ticked: Time::default(),
        }
    }

    /// Takes in what a message from an agent says; a new agent or incarnation starts afresh.
    pub fn observe(&mut self, agent: &AgentId, seen: Observation, now: Time) {
        let silent = self
            .replicas
            .get(agent)
            .is_some_and(|r| self.is_silent(r, now));
        let made = Time(now.0.saturating_sub(seen.report_age.as_micros() as u64));
        let known = self.replicas.entry(agent.clone());
        let replica = known.or_insert_with(|| Replica::new(agent.clone(), &seen, now));
        replica.hear(seen, made, now);
        if silent {
            replica.health.readmit(now);
        }
        if replica.report.idle >= self.settings.health.stall_timeout {
            self.eject(agent, EjectionCause::Stalled, now);
        } else if let Some(replica) = self.replicas.get_mut(agent) {
            replica.health.recover(now);
        }
    }

    /// Sets the silence after which a replica is probed; entries with many replicas probe each more
    /// rarely.
    pub fn set_probe_delay(&mut self, quiet: Duration) {
        self.settings.health.probe_delay = quiet;
    }

    /// Sets the time that a known replica's work takes, as a multiple of the usual time.
    pub fn set_slowdown(&mut self, agent: &AgentId, pace: f64) {
        if let Some(replica) = self.replicas.get_mut(agent) {
            replica.slowdown = pace;
        }
    }

    /// Sets what a known replica offers beyond its service. A new incarnation offers nothing until
    /// this is called again, because a restarted engine has lost what was loaded.
    pub fn set_features(&mut self, agent: &AgentId, features: Vec<Feature>) {
        if let Some(replica) = self.replicas.get_mut(agent) {
            replica.features = features;
        }
    }

    /// Requests that run or wait over the slots of the replicas that take requests, as estimated.
    pub fn estimate_load(&self) -> f64 {
        let peers = self.estimate_peers();
        let open = || self.replicas.values().filter(|r| !r.draining);
        let load: f64 = open().map(|r| r.estimate(peers)).sum();
        let slots: f64 = open().map(|r| f64::from(r.report.slots)).sum();
        load / slots.max(1.0)
    }

    /// Forgets a replica that is gone.
    pub fn remove(&mut self, agent: &AgentId) {
        self.replicas.remove(agent);
    }

    /// Chooses a replica for one attempt.
    ///
    /// A replica that refused for a full queue is passed over until its next report, unless all
    /// others did too.
    ///
    /// # Errors
    ///
    /// `Draining` if all replicas are leaving, otherwise `NoReplica`.
    pub fn choose<R>(
        &mut self,
        wish: &Requirements,
        now: Time,
        rng: &mut R,
    ) -> Result<Choice, Reason>
    where
        R: Rng,
    {
        let mut usable: Vec<&Replica> = Vec::with_capacity(self.replicas.len());
        let mut returning = Vec::new();
        for replica in self.replicas.values().filter(|r| wish.allows(r)) {
            match self.judge(replica, now) {
                (Verdict::Usable, _) => usable.push(replica),
                (Verdict::Readmitted, share) if rng.random_bool(share) => usable.push(replica),
                (Verdict::Readmitted, _) => returning.push(replica),
                _ => {}
            }
        }
        if usable.is_empty() {
            usable = returning;
        }
        if usable.iter().any(|r| !r.is_full()) {
            usable.retain(|r| !r.is_full());
        }
        self.leave_out_slow(&mut usable);
        if usable.is_empty() {
            let leaving = !self.replicas.is_empty() && self.replicas.values().all(|r| r.draining);
            return Err(if leaving {
                Reason::Draining
            } else {
                Reason::NoReplica
            });
        }
        let from = self.weigh(&usable, wish);
        let chosen = usable[self.policy.pick(&from, rng)];
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

    /// Notes that an attempt was dispatched.
    pub fn record_dispatch(&mut self, agent: &AgentId, now: Time) {
        if let Some(replica) = self.replicas.get_mut(agent) {
            replica.count_sent(now);
        }
    }

    /// Notes the time from dispatch to the first part of the answer. Streams note it at once:
    /// their end comes too late to keep requests from a slow replica.
    pub fn record_first_token(&mut self, agent: &AgentId, after: Duration, now: Time) {
        if let Some(replica) = self.replicas.get_mut(agent) {
            replica.health.record_first_token(after);
        }
        if self.is_slow(agent) {
            self.eject(agent, EjectionCause::Slow, now);
        }
    }

    /// Notes how a dispatched attempt ended.
    pub fn record_result(&mut self, agent: &AgentId, result: AttemptResult, now: Time) {
        let health = &self.settings.health;
        let Some(replica) = self.replicas.get_mut(agent) else {
            return;
        };
        replica.count_done(now);
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
                replica.hear_refusal(reason, now);
                None
            }
            AttemptResult::Cancelled => None,
        };
        if let Some(cause) = cause {
            self.eject(agent, cause, now);
        }
    }

    /// Each replica with the reason why it is or isn't chosen.
    pub fn explain(&self, now: Time) -> Vec<Explanation> {
        let peers = self.estimate_peers();
        let explain = |r: &Replica| r.explain(self.judge(r, now).0, peers, now);
        self.replicas.values().map(explain).collect()
    }

    /// Replicas that need a probe now; call it every 100 to 250 ms and probe all it returns.
    pub fn take_due_probes(&mut self, now: Time) -> Vec<AgentId> {
        let paused = now.since(self.ticked) > LONGEST_GAP;
        self.ticked = now;
        let quiet = self.settings.health.probe_delay;
        let due = |r: &mut Replica| r.ask(quiet, paused, now).then(|| r.agent.clone());
        self.replicas.values_mut().filter_map(due).collect()
    }

    /// Whether a replica is so slow that the work it has holds its whole group up.
    pub fn delays_group(&self, agent: &AgentId) -> bool {
        self.replicas
            .get(agent)
            .is_some_and(|r| r.slowdown > USUAL_PACE && r.slowdown > self.find_pace_limit())
    }

    fn find_pace_limit(&self) -> f64 {
        let open = self.replicas.values().filter(|r| !r.draining);
        let paces: Vec<f64> = open.map(|r| r.slowdown).collect();
        slowdown::find_max_slowdown(&paces)
    }

    /// Leaves out replicas of a slow pace while there are others.
    fn leave_out_slow(&self, usable: &mut Vec<&Replica>) {
        if usable.iter().all(|r| r.slowdown <= USUAL_PACE) {
            return;
        }
        let limit = self.find_pace_limit();
        if usable.iter().any(|r| r.slowdown <= limit) {
            usable.retain(|r| r.slowdown <= limit);
        }
    }

    /// What the policy needs to know of the usable replicas.
    fn weigh(&self, usable: &[&Replica], wish: &Requirements) -> Vec<Candidate> {
        let peers = self.estimate_peers();
        let holds: Vec<f64> = usable.iter().map(|r| r.report.hold.as_secs_f64()).collect();
        let known = holds.iter().filter(|h| **h > 0.0).count().max(1);
        let hold = holds.iter().sum::<f64>() / known as f64;
        let weigh = |r: &&Replica| {
            let slots = f64::from(r.report.slots.max(1));
            let slowness = r.slowness(hold);
            Candidate {
                reported_load: f64::from(r.report.total()) / slots,
                corrected_load: r.estimate(peers) / slots * slowness,
                added_load: slowness / slots,
                local: r.zone == self.own_zone,
                affinity: wish.prefix.map(|p| stable_hash((p, &r.agent))),
            }
        };
        usable.iter().map(weigh).collect()
    }

    /// How many entries like this one send to the replicas, from the reported load over the
    /// entry's own share of it.
    fn estimate_peers(&self) -> f64 {
        let total: u32 = self.replicas.values().map(|r| r.report.total()).sum();
        let own: u32 = self.replicas.values().map(|r| r.outstanding).sum();
        (f64::from(total) / f64::from(own.max(1))).max(1.0)
    }

    /// Whether a replica takes requests, and the share of them that it takes.
    fn judge(&self, replica: &Replica, now: Time) -> (Verdict, f64) {
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
        let paused = now.since(self.ticked) > LONGEST_GAP;
        !paused && replica.unanswered(now) >= self.settings.health.probe_timeout
    }

    /// Tells whether a replica's first-token time is far above the median of all.
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

    /// Ejects a replica unless too many are ejected already.
    fn eject(&mut self, agent: &AgentId, cause: EjectionCause, now: Time) {
        let ejected = |r: &&Replica| r.health.is_ejected() && &r.agent != agent;
        let others = self.replicas.values().filter(ejected).count();
        let most = self.settings.health.max_ejected_share * self.replicas.len() as f64;
        let Some(replica) = self.replicas.get_mut(agent) else {
            return;
        };
        if (others + 1) as f64 <= most && !replica.health.is_ejected() {
            replica.health.eject(cause, &self.settings.health, now);
        }
    }
}
