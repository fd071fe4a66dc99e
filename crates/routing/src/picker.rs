//! Chooses a replica of one service for each attempt of one entry.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use serde::Serialize;
use siskinbend_types::AgentId;
use siskinbend_types::Incarnation;
use siskinbend_types::Reason;
use siskinbend_types::Time;
use siskinbend_types::Window;
use siskinbend_types::Zone;

use crate::Kind;
use crate::Policy;
use crate::Report;
use crate::health;
use crate::health::Health;
use crate::policy::Candidate;
use crate::subset::stable_hash;

/// Options of a picker.
#[derive(Debug, Clone, Default)]
pub struct Settings {
    /// The policy.
    pub policy: Kind,
    /// Limits of the health checks.
    pub health: health::Settings,
}

/// What a message from an agent says about it.
#[derive(Debug, Clone)]
pub struct Seen {
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// Its dispatch window.
    pub window: Window,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it is leaving.
    pub draining: bool,
    /// Its load.
    pub report: Report,
    /// How old the load figures were when the message arrived; zero if the agent counted itself.
    pub age: Duration,
}

/// One replica as this entry sees it.
#[derive(Debug, Clone)]
pub struct Replica {
    /// The replica's agent.
    pub agent: AgentId,
    /// The agent's newest known incarnation.
    pub incarnation: Incarnation,
    /// The agent's newest known dispatch window.
    pub window: Window,
    /// The agent's availability zone.
    pub zone: Zone,
    /// Whether the agent is leaving.
    pub draining: bool,
    /// The newest load report.
    pub report: Report,
    /// When the agent was last heard.
    pub heard: Time,
    /// Attempts of this entry that have not ended.
    pub outstanding: u32,
    /// Record of failures.
    pub health: Health,
    probed: Option<Time>,
}

/// What a request asks of the replica.
#[derive(Debug, Clone, Default)]
pub struct Wish {
    /// Hash of the prompt prefix, for cache affinity.
    pub prefix: Option<u64>,
    /// Replicas that this request has already tried.
    pub avoid: Vec<AgentId>,
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
pub enum Done {
    /// The answer was complete.
    Ok {
        /// Time from dispatch to the first part of the answer.
        first_token: Duration,
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

/// Why a replica is or isn't chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// it takes requests
    Usable,
    /// it takes a growing share of requests after an ejection
    Readmitted,
    /// it is leaving
    Draining,
    /// it does not answer probes
    Silent,
    /// its backend server makes no progress
    Stalled,
    /// it failed several times in a row
    Failed,
    /// it is much slower than the others
    Slow,
    /// it was restarted and has not been heard since
    Restarted,
}

/// One replica on the status page.
#[derive(Debug, Clone, Serialize)]
pub struct Explanation {
    /// The replica's agent.
    pub agent: AgentId,
    /// Its availability zone.
    pub zone: Zone,
    /// Why it is or isn't chosen.
    pub verdict: Verdict,
    /// Share of its slots in use or waited for, as this entry estimates it.
    pub load: f64,
    /// Attempts of this entry that have not ended.
    pub outstanding: u32,
    /// The newest load report.
    pub report: Report,
    /// Time since the agent was last heard, in milliseconds.
    pub heard_ms: u64,
}

/// The replicas of one service as one entry sees them.
pub struct Picker {
    settings: Settings,
    own_zone: Zone,
    policy: Box<dyn Policy>,
    replicas: BTreeMap<AgentId, Replica>,
}

impl Picker {
    /// A picker that knows no replica yet.
    pub fn new(settings: Settings, own_zone: Zone) -> Self {
        let policy = settings.policy.build();
        Self {
            settings,
            own_zone,
            policy,
            replicas: BTreeMap::new(),
        }
    }

    /// Takes in what a message from an agent says; a new agent or incarnation starts afresh.
    pub fn observe(&mut self, agent: &AgentId, seen: Seen, now: Time) {
        let Seen {
            incarnation,
            window,
            zone,
            draining,
            report,
            age: _,
        } = seen;
        let replica = self
            .replicas
            .entry(agent.clone())
            .or_insert_with(|| Replica {
                agent: agent.clone(),
                incarnation,
                window,
                zone: zone.clone(),
                draining,
                report,
                heard: now,
                outstanding: 0,
                health: Health::default(),
                probed: None,
            });
        replica.incarnation = incarnation;
        replica.window = window;
        replica.zone = zone;
        replica.draining = draining;
        replica.report = report;
        replica.heard = now;
        replica.probed = None;
    }

    /// Forgets a replica that is gone.
    pub fn remove(&mut self, agent: &AgentId) {
        self.replicas.remove(agent);
    }

    /// Chooses a replica for one attempt.
    ///
    /// # Errors
    ///
    /// `Draining` if every replica that is left is leaving, otherwise `NoReplica`.
    pub fn choose<R>(&mut self, wish: &Wish, now: Time, rng: &mut R) -> Result<Choice, Reason>
    where
        R: Rng,
    {
        let usable: Vec<&Replica> = self
            .replicas
            .values()
            .filter(|r| !wish.avoid.contains(&r.agent))
            .filter(|r| self.judge(r, now) == Verdict::Usable)
            .collect();
        if usable.is_empty() {
            let leaving = !self.replicas.is_empty() && self.replicas.values().all(|r| r.draining);
            return Err(if leaving {
                Reason::Draining
            } else {
                Reason::NoReplica
            });
        }
        let from: Vec<Candidate> = usable
            .iter()
            .map(|r| Candidate {
                reported: f64::from(r.report.total()) / f64::from(r.report.slots.max(1)),
                corrected: f64::from(r.report.total()) / f64::from(r.report.slots.max(1)),
                local: r.zone == self.own_zone,
                affinity: wish.prefix.map(|p| stable_hash((p, &r.agent))),
            })
            .collect();
        let chosen = usable[self.policy.pick(&from, rng)];
        Ok(Choice {
            agent: chosen.agent.clone(),
            incarnation: chosen.incarnation,
            window: chosen.window,
        })
    }

    /// Notes that an attempt was dispatched.
    pub fn sent(&mut self, agent: &AgentId, _now: Time) {
        if let Some(replica) = self.replicas.get_mut(agent) {
            replica.outstanding += 1;
        }
    }

    /// Notes how a dispatched attempt ended.
    pub fn done(&mut self, agent: &AgentId, _result: Done, _now: Time) {
        if let Some(replica) = self.replicas.get_mut(agent) {
            replica.outstanding = replica.outstanding.saturating_sub(1);
        }
    }

    /// Each replica with the reason why it is or isn't chosen.
    pub fn explain(&self, now: Time) -> Vec<Explanation> {
        let explain = |r: &Replica| Explanation {
            agent: r.agent.clone(),
            zone: r.zone.clone(),
            verdict: self.judge(r, now),
            load: f64::from(r.report.total()) / f64::from(r.report.slots.max(1)),
            outstanding: r.outstanding,
            report: r.report,
            heard_ms: u64::try_from(now.since(r.heard).as_millis()).unwrap_or(u64::MAX),
        };
        self.replicas.values().map(explain).collect()
    }

    /// Replicas that need a probe now; call it every 100 to 250 ms and probe all it returns.
    pub fn to_probe(&mut self, now: Time) -> Vec<AgentId> {
        let quiet = self.settings.health.quiet;
        let due = |r: &&mut Replica| now.since(r.probed.unwrap_or(r.heard)) >= quiet;
        let mark = |r: &mut Replica| {
            r.probed = Some(now);
            r.agent.clone()
        };
        self.replicas.values_mut().filter(due).map(mark).collect()
    }

    fn judge(&self, replica: &Replica, _now: Time) -> Verdict {
        if replica.draining {
            Verdict::Draining
        } else {
            Verdict::Usable
        }
    }
}
