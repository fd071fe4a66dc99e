//! Circuit breaker with gradual recovery; a pure machine.

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
        pause: Duration,
    },
    Recovering {
        share: f64,
        streak: u32,
        pause: Duration,
    },
}

/// Holds calls back while a service fails.
///
/// A service that returns after an outage is not met by all the work that waited: the share of
/// calls let through grows only with the service's own successes.
#[derive(Debug, Clone)]
pub struct CircuitBreaker {
    state: State,
    opened: u64,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        let state = State::Closed { failures: 0 };
        Self { state, opened: 0 }
    }
}

impl CircuitBreaker {
    /// Decides whether a call may be made; `draw` is uniform in 0..1.
    pub fn admit(&mut self, now: Time, draw: f64) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until, .. } if now < until => false,
            State::Open { pause, .. } => {
                let share = INITIAL_ADMIT_RATIO;
                let streak = 0;
                self.state = State::Recovering {
                    share,
                    streak,
                    pause,
                };
                true
            }
            State::Recovering { share, .. } => draw < share,
        }
    }

    /// Notes that an admitted call succeeded: the service answered, whatever the answer was.
    pub fn record_success(&mut self) {
        self.state = match self.state {
            State::Closed { .. } => State::Closed { failures: 0 },
            // A call admitted before the breaker opened says nothing about recovery.
            State::Open { .. } => return,
            State::Recovering {
                share,
                streak,
                pause,
            } if streak + 1 < RECOVERY_SUCCESSES => State::Recovering {
                share,
                streak: streak + 1,
                pause,
            },
            State::Recovering { share, .. } if share * 2.0 >= 1.0 => State::Closed { failures: 0 },
            State::Recovering { share, pause, .. } => State::Recovering {
                share: share * 2.0,
                streak: 0,
                pause,
            },
        };
    }

    /// Notes that an admitted call failed; `draw` spreads the ends of the pauses of many clients.
    pub fn record_failure(&mut self, now: Time, draw: f64) {
        let pause = match self.state {
            State::Closed { failures } if failures + 1 < BREAKER_FAILURE_THRESHOLD => {
                self.state = State::Closed {
                    failures: failures + 1,
                };
                return;
            }
            State::Closed { .. } => INITIAL_OPEN_DURATION,
            State::Open { .. } => return,
            State::Recovering { pause, .. } => (pause * 2).min(MAX_OPEN_DURATION),
        };
        let until = now + pause.mul_f64(0.5 + 0.5 * draw);
        self.opened += 1;
        self.state = State::Open { until, pause };
    }

    /// Tells whether all calls are held back at the moment.
    pub fn is_open(&self, now: Time) -> bool {
        matches!(self.state, State::Open { until, .. } if now < until)
    }

    /// Times that the breaker opened.
    pub fn opened(&self) -> u64 {
        self.opened
    }
}
