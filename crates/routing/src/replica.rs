//! One replica as seen by one entry: identity, load and probes.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use siskinbend_types::AgentId;
use siskinbend_types::EngineGroup;
use siskinbend_types::Incarnation;
use siskinbend_types::Reason;
use siskinbend_types::Time;
use siskinbend_types::Window;
use siskinbend_types::Zone;
use smol_str::SmolStr;

use crate::LoadReport;
use crate::Observation;
use crate::health::Health;

/// Load changes by this entry that are kept after the last report; older ones count as reported.
const MAX_CHANGES: usize = 1_024;
/// Weight of the load changes that other entries are assumed to have made at the same rate as this
/// one. The full weight would also multiply this entry's random variation by the number of entries.
const PEER_WEIGHT: f64 = 0.5;
/// A hold time below this multiple of the mean is noise.
const MIN_HOLD_RATIO: f64 = 1.5;
/// Largest factor by which a long hold time multiplies the load.
const MAX_HOLD_RATIO: f64 = 8.0;

/// A feature that only some replicas of a service have.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Feature {
    /// A loaded adapter.
    Adapter(SmolStr),
    /// A loaded version of the model.
    Version(SmolStr),
    /// A role of the engine, for example prefill or decode.
    Role(SmolStr),
}

/// One replica as seen by this entry.
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
    /// Features that not all replicas of the service have.
    pub features: Vec<Feature>,
    /// Time that its work takes, as a multiple of the usual time.
    pub slowdown: f64,
    /// Group that it runs every step with; `None` if it is in none or the group is unknown.
    pub group: Option<EngineGroup>,
    /// Whether the agent drains.
    pub draining: bool,
    /// The newest load report.
    pub report: LoadReport,
    /// When the last message from the agent arrived.
    pub last_message: Time,
    /// Attempts of this entry that have not ended.
    pub outstanding: u32,
    /// Whether the agent refused a dispatch for an earlier incarnation, until its next message.
    pub restarted: bool,
    /// Failures, first-token time and ejection state.
    pub health: Health,
    /// When the newest report was made, by this entry's clock.
    report_time: Time,
    /// Dispatches (+1) and ends (-1) of this entry since the report was made.
    changes: VecDeque<(Time, i32)>,
    /// Sum of the changes.
    net_change: i32,
    /// When the agent refused a dispatch because its queue was full, until the next report.
    queue_full: Option<Time>,
    /// First probe since the last message.
    first_probe: Option<Time>,
    /// Last probe since the last message.
    last_probe: Option<Time>,
}

/// Whether a replica can be chosen, and if not, why.
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
    /// Whether it can be chosen, and if not, why.
    pub verdict: Verdict,
    /// Estimated number of requests running or waiting per slot.
    pub load: f64,
    /// Attempts of this entry that have not ended.
    pub outstanding: u32,
    /// The newest load report.
    pub report: LoadReport,
    /// Time since the last message from the agent, in milliseconds.
    pub heard_ms: u64,
}

impl Replica {
    pub(crate) fn new(agent: AgentId, observation: &Observation, now: Time) -> Self {
        Self {
            agent,
            incarnation: observation.incarnation,
            window: observation.window,
            zone: observation.zone.clone(),
            features: Vec::new(),
            slowdown: 1.0,
            group: None,
            draining: observation.draining,
            report: observation.report,
            last_message: now,
            outstanding: 0,
            restarted: false,
            health: Health::default(),
            report_time: Time::default(),
            changes: VecDeque::new(),
            net_change: 0,
            queue_full: None,
            first_probe: None,
            last_probe: None,
        }
    }

    /// Updates the replica from a message whose load report was made at `report_time`.
    pub(crate) fn update(&mut self, observation: Observation, report_time: Time, now: Time) {
        if observation.incarnation != self.incarnation {
            let agent = self.agent.clone();
            let outstanding = self.outstanding;
            // Attempts sent to the earlier incarnation still end one by one.
            *self = Self {
                outstanding,
                ..Self::new(agent, &observation, now)
            };
        }
        self.last_message = now;
        self.first_probe = None;
        self.last_probe = None;
        self.restarted = false;
        // Messages can arrive out of order. Within one incarnation the window only grows, and a
        // drain is never revoked.
        self.window = self.window.max(observation.window);
        self.draining |= observation.draining;
        self.zone = observation.zone;
        if report_time < self.report_time {
            return;
        }
        self.report_time = report_time;
        self.report = observation.report;
        self.queue_full = self.queue_full.filter(|since| *since > report_time);
        while self
            .changes
            .front()
            .is_some_and(|(at, _)| *at <= report_time)
        {
            self.drop_oldest_change();
        }
    }

    pub(crate) fn record_refusal(&mut self, reason: Reason, now: Time) {
        match reason {
            Reason::Draining => self.draining = true,
            Reason::WrongIncarnation => self.restarted = true,
            Reason::QueueFull => self.queue_full = Some(now),
            _ => {}
        }
    }

    pub(crate) fn record_dispatch(&mut self, now: Time) {
        self.outstanding += 1;
        self.record_change(now, 1);
    }

    pub(crate) fn record_end(&mut self, now: Time) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.record_change(now, -1);
    }

    fn record_change(&mut self, now: Time, change: i32) {
        if self.changes.len() >= MAX_CHANGES {
            self.drop_oldest_change();
        }
        self.changes.push_back((now, change));
        self.net_change += change;
    }

    fn drop_oldest_change(&mut self) {
        if let Some((_, change)) = self.changes.pop_front() {
            self.net_change -= change;
        }
    }

    /// Estimates the number of requests that run or wait now, at least this entry's own attempts.
    ///
    /// The estimate is the last report plus the changes by this entry since then. All `peers`
    /// entries, this one included, are assumed to have changed the load at the same rate.
    pub(crate) fn estimate_requests(&self, peers: f64) -> f64 {
        let gain = 1.0 + PEER_WEIGHT * (peers - 1.0);
        let sum = f64::from(self.report.total()) + f64::from(self.net_change) * gain;
        sum.max(f64::from(self.outstanding))
    }

    /// Returns the reported hold time as a multiple of `mean_hold` seconds; 1 within noise.
    pub(crate) fn hold_ratio(&self, mean_hold: f64) -> f64 {
        let ratio = self.report.hold.as_secs_f64() / mean_hold.max(1e-6);
        if ratio < MIN_HOLD_RATIO {
            1.0
        } else {
            ratio.min(MAX_HOLD_RATIO)
        }
    }

    pub(crate) fn is_queue_full(&self) -> bool {
        self.queue_full.is_some()
    }

    /// Returns whether a probe is due and records it as sent. After a pause of the entry the probe
    /// timeout starts again.
    pub(crate) fn take_due_probe(
        &mut self,
        probe_delay: Duration,
        entry_paused: bool,
        now: Time,
    ) -> bool {
        if entry_paused {
            self.first_probe = None;
        }
        let due = self.restarted && self.last_probe.is_none()
            || now.since(self.last_probe.unwrap_or(self.last_message)) >= probe_delay;
        if due {
            self.first_probe = self.first_probe.or(Some(now));
            self.last_probe = Some(now);
        }
        due
    }

    /// Time since the first unanswered probe.
    pub(crate) fn unanswered(&self, now: Time) -> Duration {
        self.first_probe
            .map_or(Duration::ZERO, |probed| now.since(probed))
    }

    pub(crate) fn explain(&self, verdict: Verdict, peers: f64, now: Time) -> Explanation {
        Explanation {
            agent: self.agent.clone(),
            zone: self.zone.clone(),
            verdict,
            load: self.estimate_requests(peers) / f64::from(self.report.slots.max(1)),
            outstanding: self.outstanding,
            report: self.report,
            heard_ms: u64::try_from(now.since(self.last_message).as_millis()).unwrap_or(u64::MAX),
        }
    }
}
