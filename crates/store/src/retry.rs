//! Decides whether and when a failed call is tried again; pure.

use std::time::Duration;

use siskinbend_control::table::Cause;
use siskinbend_control::table::StoreError;

use crate::limits::CALL_TIMEOUT;
use crate::limits::INITIAL_BACKOFF;
use crate::limits::MAX_BACKOFF;
use crate::limits::MAX_CALL_ATTEMPTS;
use crate::limits::RETRY_BURST;
use crate::limits::RETRY_RATIO;

/// Retries that may still be made; each call adds a share of one, so that retries stay a share of the calls.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved: RETRY_BURST }
    }
}

impl RetryBudget {
    /// Notes a call.
    pub fn record_call(&mut self) {
        self.saved = (self.saved + RETRY_RATIO).min(RETRY_BURST);
    }

    /// Takes one retry if there is one.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.saved >= 1.0;
        if enough {
            self.saved -= 1.0;
        }
        enough
    }
}

/// Whether a call changes anything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A read, or a write that may be repeated without further effect.
    Repeatable,
    /// A transaction: if its effect is unknown, its author has to read back.
    Transaction,
}

/// Returns the pause before the next attempt, or `None` if the error stands.
///
/// `attempts` counts those made; `spent` is the time since the call began; `draw` is uniform in
/// 0..1. The budget is only charged if a retry follows.
pub fn decide_retry(
    kind: CallKind,
    error: StoreError,
    attempts: u32,
    spent: Duration,
    draw: f64,
    budget: &mut RetryBudget,
) -> Option<Duration> {
    let repeatable = match (kind, error) {
        (CallKind::Transaction, StoreError::Ambiguous(_)) => false,
        (_, error) => !matches!(
            error.cause(),
            Cause::Rejected | Cause::Malformed | Cause::BreakerOpen
        ),
    };
    let doubled = INITIAL_BACKOFF.saturating_mul(1 << attempts.saturating_sub(1).min(16));
    let pause = doubled.min(MAX_BACKOFF).mul_f64(draw);
    let fits = attempts < MAX_CALL_ATTEMPTS && spent + pause < CALL_TIMEOUT;
    (repeatable && fits && budget.try_spend()).then_some(pause)
}
