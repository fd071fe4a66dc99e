//! Retry policy of failed calls: retry budget and exponential backoff, without I/O.

use std::time::Duration;

use siskinbend_control::table::Cause;
use siskinbend_control::table::StoreError;

use crate::limits::CALL_TIMEOUT;
use crate::limits::INITIAL_BACKOFF;
use crate::limits::MAX_BACKOFF;
use crate::limits::MAX_CALL_ATTEMPTS;
use crate::limits::RETRY_BURST;
use crate::limits::RETRY_RATIO;

/// Limits retries to a fraction of the calls: each call adds to the budget, each retry takes one.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    balance: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: RETRY_BURST,
        }
    }
}

impl RetryBudget {
    /// Adds the share of one call to the budget.
    pub fn record_call(&mut self) {
        self.balance = (self.balance + RETRY_RATIO).min(RETRY_BURST);
    }

    /// Takes one retry from the budget; `false` if the budget is used up.
    pub fn try_spend(&mut self) -> bool {
        let enough = self.balance >= 1.0;
        if enough {
            self.balance -= 1.0;
        }
        enough
    }
}

/// Whether a call is safe to repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A read or an idempotent write.
    Idempotent,
    /// A transaction; if its effect is unknown, its author must read back.
    Transaction,
}

/// Returns the delay before the next attempt, or `None` if the call fails with the error.
///
/// `attempts` is the number of attempts made; `elapsed` is the time since the call started; `draw` is
/// uniform in 0..1. The budget is charged only if a retry follows.
pub fn decide_retry(
    kind: CallKind,
    error: StoreError,
    attempts: u32,
    elapsed: Duration,
    draw: f64,
    budget: &mut RetryBudget,
) -> Option<Duration> {
    let retryable = match (kind, error) {
        (CallKind::Transaction, StoreError::Ambiguous(_)) => false,
        (_, error) => !matches!(
            error.cause(),
            Cause::Rejected | Cause::Malformed | Cause::BreakerOpen
        ),
    };
    let backoff = INITIAL_BACKOFF.saturating_mul(1 << attempts.saturating_sub(1).min(16));
    let delay = backoff.min(MAX_BACKOFF).mul_f64(draw);
    let within_limits = attempts < MAX_CALL_ATTEMPTS && elapsed + delay < CALL_TIMEOUT;
    (retryable && within_limits && budget.try_spend()).then_some(delay)
}
