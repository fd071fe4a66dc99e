//! Statistics of one or more runs.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use siskinbend_groups::AbortReason;

/// Counts and simulated times of one or more runs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SwitchStats {
    /// Engine steps that all ranks started.
    pub steps: u64,
    /// Steps in which two ranks used different maps.
    pub mixed_steps: u64,
    /// Switches committed.
    pub switches: u64,
    /// Switches aborted.
    pub aborted: u64,
    /// Aborted switches by reason.
    pub reasons: BTreeMap<AbortReason, u64>,
    /// Steps that started late because of a gate.
    pub held_steps: u64,
    /// Total delay of the held steps.
    pub pause: Duration,
    /// Longest delay of a single step.
    pub longest_pause: Duration,
    /// Messages between agents.
    pub messages: u64,
    /// Encoded size of these messages.
    pub bytes: u64,
    /// Takeovers that ended with a new coordinator.
    pub takeovers: u64,
    /// Agents killed by a fault.
    pub deaths: u64,
}

impl SwitchStats {
    /// Counts an aborted switch.
    pub fn record_abort(&mut self, reason: AbortReason) {
        self.aborted += 1;
        *self.reasons.entry(reason).or_default() += 1;
    }

    /// Adds the counts of another run.
    pub fn add(&mut self, other: &SwitchStats) {
        self.steps += other.steps;
        self.mixed_steps += other.mixed_steps;
        self.switches += other.switches;
        self.aborted += other.aborted;
        for (reason, count) in &other.reasons {
            *self.reasons.entry(*reason).or_default() += count;
        }
        self.held_steps += other.held_steps;
        self.pause += other.pause;
        self.longest_pause = self.longest_pause.max(other.longest_pause);
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.takeovers += other.takeovers;
        self.deaths += other.deaths;
    }
}

impl fmt::Display for SwitchStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "steps={} mixed_steps={} switches={} aborted={} held_steps={} pause_us={} messages={} \
             bytes={} longest_us={} takeovers={} deaths={}",
            self.steps,
            self.mixed_steps,
            self.switches,
            self.aborted,
            self.held_steps,
            self.pause.as_micros(),
            self.messages,
            self.bytes,
            self.longest_pause.as_micros(),
            self.takeovers,
            self.deaths
        )?;
        for reason in AbortReason::ALL {
            let count = self.reasons.get(reason).unwrap_or(&0);
            write!(f, " aborted_{reason}={count}")?;
        }
        Ok(())
    }
}
