//! One replica as one entry sees it: identity, load and silence.

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use siskinbend_types::AgentId;
use siskinbend_types::Incarnation;
use siskinbend_types::Reason;
use siskinbend_types::Time;
use siskinbend_types::Window;
use siskinbend_types::Zone;
use smol_str::SmolStr;

use crate::LoadReport;
use crate::Observation;
use crate::health::Health;

/// Own dispatches and ends kept since the last report; the oldest beyond it count as reported.
const MOST_CHANGES: usize = 1_024;
/// Weight of the changes that other entries are assumed to have made like this one. The full weight
/// would also multiply this entry's chance variation by the number of entries.
const PEER_WEIGHT: f64 = 0.5;
/// A hold time below this multiple of the mean is noise and not slowness.
const LEAST_SLOWNESS: f64 = 1.5;
/// Most that slowness multiplies the load.
const MOST_SLOWNESS: f64 = 8.0;

/// Something that not every replica of a service offers.
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
    /// What the replica offers beyond its service.
    pub features: Vec<Feature>,
    /// Time that its work takes, as a multiple of the usual time.
    pub slowdown: f64,
    /// Whether the agent is leaving.
    pub draining: bool,
    /// The newest load report.
    pub report: LoadReport,
    /// When the agent was last heard.
    pub last_heard: Time,
    /// Attempts of this entry that have not ended.
    pub outstanding: u32,
    /// Whether the agent refused a dispatch as meant for an earlier run and wasn't heard since.
    pub restarted: bool,
    /// Record of failures and speed.
    pub health: Health,
    /// When the newest report was made, by this entry's clock.
    made: Time,
    /// Own dispatches (+1) and ends (-1) since the report was made.
    changes: VecDeque<(Time, i32)>,
    /// Sum of the changes.
    net: i32,
    /// When the queue was last refused as full.
    full: Option<Time>,
    /// First probe since the agent was last heard.
    asked: Option<Time>,
    /// Last probe.
    probed: Option<Time>,
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
    /// Requests running or waiting per slot, as this entry estimates them.
    pub load: f64,
    /// Attempts of this entry that have not ended.
    pub outstanding: u32,
    /// The newest load report.
    pub report: LoadReport,
    /// Time since the agent was last heard, in milliseconds.
    pub heard_ms: u64,
}

impl Replica {
    pub(crate) fn new(agent: AgentId, seen: &Observation, now: Time) -> Self {
        Self {
            agent,
            incarnation: seen.incarnation,
            window: seen.window,
            zone: seen.zone.clone(),
            features: Vec::new(),
            slowdown: 1.0,
            draining: seen.draining,
            report: seen.report,
            last_heard: now,
            outstanding: 0,
            restarted: false,
            health: Health::default(),
            made: Time::default(),
            changes: VecDeque::new(),
            net: 0,
            full: None,
            asked: None,
            probed: None,
        }
    }

    /// Takes in a message; `made` is when its report was made.
    pub(crate) fn hear(&mut self, seen: Observation, made: Time, now: Time) {
        if seen.incarnation != self.incarnation {
            let agent = self.agent.clone();
            let outstanding = self.outstanding;
            // Attempts sent to the earlier run still end one by one.
            *self = Self {
                outstanding,
                ..Self::new(agent, &seen, now)
            };
        }
        self.last_heard = now;
        self.asked = None;
        self.probed = None;
        self.restarted = false;
        // Messages can overtake each other; the window only grows within one run, and a drain is
        // never taken back.
        self.window = self.window.max(seen.window);
        self.draining |= seen.draining;
        self.zone = seen.zone;
        if made < self.made {
            return;
        }
        self.made = made;
        self.report = seen.report;
        self.full = self.full.filter(|since| *since > made);
        while self.changes.front().is_some_and(|(at, _)| *at <= made) {
            self.forget_oldest();
        }
    }

    pub(crate) fn hear_refusal(&mut self, reason: Reason, now: Time) {
        match reason {
            Reason::Draining => self.draining = true,
            Reason::WrongIncarnation => self.restarted = true,
            Reason::QueueFull => self.full = Some(now),
            _ => {}
        }
    }

    pub(crate) fn count_sent(&mut self, now: Time) {
        self.outstanding += 1;
        self.note(now, 1);
    }

    pub(crate) fn count_done(&mut self, now: Time) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.note(now, -1);
    }

    fn note(&mut self, now: Time, change: i32) {
        if self.changes.len() >= MOST_CHANGES {
            self.forget_oldest();
        }
        self.changes.push_back((now, change));
        self.net += change;
    }

    fn forget_oldest(&mut self) {
        if let Some((_, change)) = self.changes.pop_front() {
            self.net -= change;
        }
    }

    /// Requests that run or wait now: the report, plus what this entry sent and less what ended
    /// since, with `peers` entries assumed to have done alike; at least the entry's own attempts.
    pub(crate) fn estimate(&self, peers: f64) -> f64 {
        let gain = 1.0 + PEER_WEIGHT * (peers - 1.0);
        let sum = f64::from(self.report.total()) + f64::from(self.net) * gain;
        sum.max(f64::from(self.outstanding))
    }

    /// How many times longer than `hold` seconds a request takes here; 1 within noise.
    pub(crate) fn slowness(&self, hold: f64) -> f64 {
        let ratio = self.report.hold.as_secs_f64() / hold.max(1e-6);
        if ratio < LEAST_SLOWNESS {
            1.0
        } else {
            ratio.min(MOST_SLOWNESS)
        }
    }

    pub(crate) fn is_full(&self) -> bool {
        self.full.is_some()
    }

    /// Marks and tells whether a probe is due; a paused entry starts its wait for answers anew.
    pub(crate) fn ask(&mut self, quiet: Duration, paused: bool, now: Time) -> bool {
        if paused {
            self.asked = None;
        }
        let due = self.restarted && self.probed.is_none()
            || now.since(self.probed.unwrap_or(self.last_heard)) >= quiet;
        if due {
            self.asked = self.asked.or(Some(now));
            self.probed = Some(now);
        }
        due
    }

    /// How long a probe has been unanswered.
    pub(crate) fn unanswered(&self, now: Time) -> Duration {
        self.asked.map_or(Duration::ZERO, |asked| now.since(asked))
    }

    pub(crate) fn explain(&self, verdict: Verdict, peers: f64, now: Time) -> Explanation {
        Explanation {
            agent: self.agent.clone(),
            zone: self.zone.clone(),
            verdict,
            load: self.estimate(peers) / f64::from(self.report.slots.max(1)),
            outstanding: self.outstanding,
            report: self.report,
            heard_ms: u64::try_from(now.since(self.last_heard).as_millis()).unwrap_or(u64::MAX),
        }
    }
}
