//! Counts of one or more runs.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use siskinbend_groups::AbortReason;

/// What happened in a run; times are simulated.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Engine steps that all ranks started.
    pub steps: u64,
    /// Steps in which two ranks used different maps.
    pub mixed_steps: u64,
    /// Switches committed.
    pub switches: u64,
    /// Switches given up.
    pub aborted: u64,
    /// The same by reason.
    pub reasons: BTreeMap<AbortReason, u64>,
    /// Steps that started late because of a gate.
    pub held_steps: u64,
    /// Time by which they started late.
    pub pause: Duration,
    /// The longest single delay.
    pub longest: Duration,
    /// Messages between agents.
    pub messages: u64,
    /// Their encoded size.
    pub bytes: u64,
    /// Takeovers that ended with a new coordinator.
    pub takeovers: u64,
    /// Agents that died.
    pub deaths: u64,
}

impl Tally {
    /// Counts a switch that was given up.
    pub fn note_abort(&mut self, reason: AbortReason) {
        self.aborted += 1;
        *self.reasons.entry(reason).or_default() += 1;
    }

    /// Adds another run.
    pub fn add(&mut self, other: &Tally) {
        self.steps += other.steps;
        self.mixed_steps += other.mixed_steps;
        self.switches += other.switches;
        self.aborted += other.aborted;
        for (reason, count) in &other.reasons {
            *self.reasons.entry(*reason).or_default() += count;
        }
        self.held_steps += other.held_steps;
        self.pause += other.pause;
        self.longest = self.longest.max(other.longest);
        self.messages += other.messages;
        self.bytes += other.bytes;
        self.takeovers += other.takeovers;
        self.deaths += other.deaths;
    }
}

impl fmt::Display for Tally {
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
            self.longest.as_micros(),
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
