//! Decides when a new plan can be worth its processor time.
//!
//! Meant for large groups, whose plans take a good part of a small VM's processor share: while no
//! plan would gain enough, the leader only compares the skew with that of the last rejected plan.

use std::time::Duration;

use siskinbend_types::Time;

use crate::even_split::MIN_SWITCH_GAIN;

/// Time after which a plan is due in any case, because a new demand may allow a better map.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(600);

/// Remembers the last plan that would have gained too little.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlanGate {
    /// Skew that the plan would have reached, and when it was made.
    rejected: Option<(f64, Time)>,
}

impl PlanGate {
    /// Whether a plan is due at the current skew of the active map.
    pub fn is_plan_due(&self, skew: f64, now: Time) -> bool {
        self.rejected.is_none_or(|(reached, at)| {
            skew - reached >= MIN_SWITCH_GAIN || now.since(at) >= MAX_PLAN_INTERVAL
        })
    }

    /// Records a plan that would have gained too little, with the skew that it would have reached.
    pub fn record_rejected(&mut self, reached: f64, now: Time) {
        self.rejected = Some((reached, now));
    }
}
