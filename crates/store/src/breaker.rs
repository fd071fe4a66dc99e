//! Circuit breaker with gradual recovery, as a pure state machine.

use std::time::Duration;

use siskinbend_types::Time;

use crate::limits::BREAKER_FAILURE_THRESHOLD;
use crate::limits::INITIAL_ADMIT_RATIO;
use crate::limits::INITIAL_OPEN_DURATION;
use crate::limits::MAX_OPEN_DURATION;
use crate::limits::RECOVERY_SUCCESSES;

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Closed {
        failures: u32,
    },
    Open {
        until: Time,
        open_duration: Duration,
    },
    Recovering {
        admit_ratio: f64,
        successes: u32,
        open_duration: Duration,
    },
}

/// Rejects calls while a service fails.
///
/// After an outage, the fraction of admitted calls grows only with successful calls, so that the
/// recovering service is not hit by the whole backlog at once.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    state: State,
    open_count: u64,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        let state = State::Closed { failures: 0 };
        Self {
            state,
            open_count: 0,
        }
    }
}

impl CircuitBreaker {
    /// Returns whether a call may be made; `draw` is uniform in 0..1.
    pub fn admit(&mut self, now: Time, draw: f64) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until, .. } if now < until => false,
            State::Open { open_duration, .. } => {
                let admit_ratio = INITIAL_ADMIT_RATIO;
                let successes = 0;
                self.state = State::Recovering {
                    admit_ratio,
                    successes,
                    open_duration,
                };
                true
            }
            State::Recovering { admit_ratio, .. } => draw < admit_ratio,
        }
    }

    /// Records that the service answered an admitted call, whatever the answer was.
    pub fn record_success(&mut self) {
        self.state = match self.state {
            State::Closed { .. } => State::Closed { failures: 0 },
            // The call was admitted before the breaker opened, so it is no sign of recovery.
            State::Open { .. } => return,
            State::Recovering {
                admit_ratio,
                successes,
                open_duration,
            } if successes + 1 < RECOVERY_SUCCESSES => State::Recovering {
                admit_ratio,
                successes: successes + 1,
                open_duration,
            },
            State::Recovering { admit_ratio, .. } if admit_ratio * 2.0 >= 1.0 => {
                State::Closed { failures: 0 }
            }
            State::Recovering {
                admit_ratio,
                open_duration,
                ..
            } => State::Recovering {
                admit_ratio: admit_ratio * 2.0,
                successes: 0,
                open_duration,
            },
        };
    }

    /// Records that an admitted call failed; `draw` (uniform in 0..1) spreads the reopening times of
    /// many clients.
    pub fn record_failure(&mut self, now: Time, draw: f64) {
        let open_duration = match self.state {
            State::Closed { failures } if failures + 1 < BREAKER_FAILURE_THRESHOLD => {
                self.state = State::Closed {
                    failures: failures + 1,
                };
                return;
            }
            State::Closed { .. } => INITIAL_OPEN_DURATION,
            State::Open { .. } => return,
            State::Recovering { open_duration, .. } => (open_duration * 2).min(MAX_OPEN_DURATION),
        };
        let until = now + open_duration.mul_f64(0.5 + 0.5 * draw);
        self.open_count += 1;
        self.state = State::Open {
            until,
            open_duration,
        };
    }

    /// Returns whether all calls are rejected at `now`.
    pub fn is_open(&self, now: Time) -> bool {
        matches!(self.state, State::Open { until, .. } if now < until)
    }

    /// Returns how often the breaker has opened.
    pub fn open_count(&self) -> u64 {
        self.open_count
    }
}
