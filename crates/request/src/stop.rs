//! Requests that a process still takes after it was asked to stop.

use std::time::Duration;

use siskinbend_types::Time;

/// When a process that was asked to stop takes fewer requests, and when it exits.
///
/// For a notice period the balancer may still send callers here, so that every request is taken, as
/// most end long before their deadline. After it, a request is taken only if it ends before the
/// process does: by its deadline, as nobody knows how long it runs.
#[derive(Debug, Clone, Copy)]
pub struct StopSchedule {
    notice_end: Time,
    last_deadline: Time,
}

impl StopSchedule {
    /// Creates the schedule of a process that was asked to stop at `now`. Requests that it takes
    /// after the `notice` must have ended `run_time` after `now`.
    pub fn new(now: Time, notice: Duration, run_time: Duration) -> StopSchedule {
        StopSchedule {
            notice_end: now + notice.min(run_time),
            last_deadline: now + run_time,
        }
    }

    /// Whether a request may be taken that ends at `deadline` at the latest.
    pub fn may_take(&self, deadline: Time, now: Time) -> bool {
        now < self.notice_end || deadline <= self.last_deadline
    }

    /// Returns the time until which a request that is taken after the notice may run.
    pub fn time_left(&self, now: Time) -> Duration {
        self.last_deadline.since(now)
    }
}
