//! Signs that one backend server is cold.

use std::time::Duration;

use siskinbend_types::Incarnation;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;

use super::Cause;
use super::Entry;
use super::Limit;
use crate::shared_rate::TokenBucket;

/// Longest cold time that a statement is trusted to name.
const MAX_STATED_TIME: Duration = Duration::from_secs(600);
/// Time after a failed connection within which a server that restarts is running again, or its
/// registry entry changes. It ends the wait for an answer at a gateway that may send no request.
const RESTART_TIME: Duration = Duration::from_secs(30);

/// Time for which a server without a registry entry is remembered, so that the same run is not taken
/// for a new one if the entry comes back.
const RETENTION: Duration = Duration::from_secs(600);

/// What is known of one backend server.
#[derive(Debug)]
pub(super) struct Server {
    pub service: ServiceName,
    /// Position of this gateway in the order of those that get a share.
    pub rank: usize,
    /// Requests to the server, counted also while it is not cold.
    pub bucket: TokenBucket,
    /// Whether it was cold when this was reported last.
    pub was_cold: bool,
    /// Whether its registry entry was removed.
    pub is_removed: bool,
    /// When the removal was noticed.
    pub removed_at: Option<Time>,
    run: Incarnation,
    /// End of the cold time according to the registry entry.
    entry_end: Option<Time>,
    /// End of the cold time according to its answers.
    answer_end: Option<Time>,
    /// When this run was first seen, if that was after the first complete read.
    appeared_at: Option<Time>,
    /// When its zone was reopened after an evacuation.
    reopened_at: Option<Time>,
    /// When a connection to it last failed, until its next answer.
    failed_at: Option<Time>,
    /// When it first answered after a failed connection.
    answered_at: Option<Time>,
}

impl Server {
    /// Creates the record of a server that was just seen for the first time.
    pub fn new(entry: &Entry, rank: usize, is_first_read: bool, now: Time) -> Server {
        let mut server = Server {
            service: entry.service.clone(),
            rank,
            bucket: TokenBucket::new(now),
            was_cold: false,
            is_removed: false,
            removed_at: None,
            run: entry.run,
            entry_end: None,
            answer_end: None,
            appeared_at: (!is_first_read).then_some(now),
            reopened_at: None,
            failed_at: None,
            answered_at: None,
        };
        server.record_cold_time(entry.cold_for, now);
        server
    }

    /// Records that the registry entry appeared or changed.
    pub fn observe(&mut self, entry: &Entry, is_first_read: bool, now: Time) {
        // Without a start time, an entry that appears again may be of another run.
        let is_unclear = entry.run == Incarnation(0) && self.is_removed;
        if self.run != entry.run || is_unclear {
            self.run = entry.run;
            self.answer_end = None;
            self.failed_at = None;
            self.answered_at = None;
            self.appeared_at = (!is_first_read).then_some(now);
        }
        self.service = entry.service.clone();
        self.is_removed = false;
        self.removed_at = None;
        self.record_cold_time(entry.cold_for, now);
    }

    /// Records the cold time that the registry entry states. Zero ends the one that it stated before.
    fn record_cold_time(&mut self, cold_for: Duration, now: Time) {
        self.entry_end = match cold_for {
            Duration::ZERO => self.entry_end.map(|end| end.min(now)),
            cold_for => Some(now + cold_for.min(MAX_STATED_TIME)),
        };
    }

    /// Records a failed or broken connection to a run of the server.
    pub fn record_failure(&mut self, run: Incarnation, now: Time) {
        if run == self.run {
            self.failed_at = Some(now);
        }
    }

    /// Records an answer to an attempt that was sent at `sent_at`. Answers can overtake each other, so
    /// that none shortens the cold time that another stated.
    pub fn record_answer(&mut self, cold_for: Option<Duration>, sent_at: Time, now: Time) {
        if let Some(cold_for) = cold_for.filter(|time| !time.is_zero()) {
            self.answer_end = self
                .answer_end
                .max(Some(now + cold_for.min(MAX_STATED_TIME)));
        }
        // An answer that was asked for before the failure may be of the run before a restart.
        if self.failed_at.is_some_and(|failed| sent_at > failed) {
            self.failed_at = None;
            self.answered_at = Some(now);
        }
    }

    /// Records that the server's zone was reopened after an evacuation.
    pub fn record_reopened(&mut self, now: Time) {
        self.reopened_at = Some(now);
    }

    /// Whether its registry entry was removed so long ago that the server can be forgotten.
    pub fn is_expired(&mut self, now: Time) -> bool {
        self.is_removed && now.since(*self.removed_at.get_or_insert(now)) >= RETENTION
    }

    /// Returns the end of the cold time and its cause; `None` if the server was never cold.
    /// `can_send` tells whether this gateway may send requests to it while it is cold.
    pub fn find_end(&self, limit: &Limit, can_send: bool) -> Option<(Time, Cause)> {
        let after = |start: Option<Time>| start.map(|start| start + limit.duration);
        let failure_end = self.failed_at.map(|failed| match can_send {
            true => Time(u64::MAX),
            false => failed + RESTART_TIME + limit.duration,
        });
        let ends = [
            (self.entry_end, Cause::Registry),
            (self.answer_end, Cause::Answer),
            (after(self.appeared_at), Cause::Start),
            (after(self.reopened_at), Cause::Reopening),
            (after(self.answered_at), Cause::Failure),
            (failure_end, Cause::Failure),
        ];
        let known = ends
            .into_iter()
            .filter_map(|(end, cause)| Some((end?, cause)));
        known.max_by_key(|(end, _)| *end)
    }
}
