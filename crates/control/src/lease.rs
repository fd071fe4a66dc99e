//! Leases with fencing numbers; one state machine acts as challenger and as holder.
//!
//! The holder's term starts when it sends the write that grants or renews the lease. A challenger
//! acquires the lease after it has seen the row unchanged for 1.5 terms. Both measure with their
//! own monotonic clock, so two terms overlap only if the clock rates differ by a third or more.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use siskinbend_types::FencingNumber;
use siskinbend_types::Incarnation;
use siskinbend_types::Time;
use smol_str::SmolStr;

use crate::limits::RENEWALS_PER_TERM;
use crate::table::Check;
use crate::table::Commit;
use crate::table::CommitAnswer;
use crate::table::Key;
use crate::table::Revision;
use crate::table::Row;
use crate::table::StoreError;
use crate::table::TransactionId;
use crate::table::Write;

/// Value of a lease row. The row is never deleted, because its fencing number must not restart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRow {
    /// Incarnation that holds the lease, or held it last.
    pub holder: Incarnation,
    /// Number of renewals since the grant.
    pub renewal: u64,
    /// Fencing number of the grant.
    pub fencing: FencingNumber,
    /// Whether the holder released the lease.
    pub released: bool,
}

#[derive(Serialize, Deserialize)]
struct StoredRow {
    holder: SmolStr,
    renewal: u64,
    fencing: FencingNumber,
    released: bool,
}

impl LeaseRow {
    /// Decodes the value of a row, `None` if it is malformed.
    pub fn decode(value: &str) -> Option<LeaseRow> {
        let text: StoredRow = serde_json::from_str(value).ok()?;
        Some(LeaseRow {
            holder: text.holder.parse().ok()?,
            renewal: text.renewal,
            fencing: text.fencing,
            released: text.released,
        })
    }

    /// Encodes the value of a row.
    pub fn encode(&self) -> String {
        let text = StoredRow {
            holder: self.holder.to_string().into(),
            renewal: self.renewal,
            fencing: self.fencing,
            released: self.released,
        };
        serde_json::to_string(&text).unwrap_or_default()
    }
}

/// Input of a [`Lease`]. Each `u128` is 128 random bits for a transaction id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Timer tick; due several times per term.
    Tick(u128),
    /// Result of reading the row.
    Read(Result<Option<Row>, StoreError>, u128),
    /// Result of the transaction.
    Commit(Result<CommitAnswer, StoreError>),
    /// The process shuts down and releases the lease.
    Release(u128),
}

/// Action that the caller carries out; its result is the next event, apart from ticks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the row, without joining a read that is already in flight.
    Read(Key),
    /// Apply a transaction.
    Commit(Commit),
}

#[derive(Debug, Clone)]
struct Attempt {
    commit: Commit,
    sent_at: Time,
    row: LeaseRow,
}

#[derive(Debug, Clone)]
enum Pending {
    None,
    Reading,
    Committing(Attempt),
    ReadingBack(Attempt),
}

#[derive(Debug, Clone)]
struct Held {
    row: LeaseRow,
    revision: Revision,
    sent_at: Time,
    expires_at: Time,
}

#[derive(Debug, Clone, Copy)]
struct Observed {
    revision: Revision,
    first_seen: Time,
}

/// State machine of one process that competes for a lease and holds it.
#[derive(Debug)]
pub struct Lease {
    key: Key,
    own: Incarnation,
    term: Duration,
    highest_fencing: FencingNumber,
    held: Option<Held>,
    observed: Option<Observed>,
    pending: Pending,
    next_check: Time,
    release_draw: Option<u128>,
}

impl Lease {
    /// Creates a challenger. All processes use the same term for a lease.
    pub fn new(key: Key, own: Incarnation, term: Duration) -> Self {
        Self {
            key,
            own,
            term,
            highest_fencing: FencingNumber(0),
            held: None,
            observed: None,
            pending: Pending::None,
            next_check: Time(0),
            release_draw: None,
        }
    }

    /// Returns the fencing number if this process holds the lease at `now`.
    ///
    /// The process may be paused between this call and the use of its result, so every command
    /// issued under the lease carries the number.
    pub fn fencing(&self, now: Time) -> Option<FencingNumber> {
        let valid = |held: &&Held| now < held.expires_at && self.release_draw.is_none();
        let held = self.held.as_ref().filter(valid)?;
        Some(held.row.fencing)
    }

    /// Returns the highest fencing number seen in the row.
    pub fn highest_fencing(&self) -> FencingNumber {
        self.highest_fencing
    }

    /// Handles an event and returns the action to carry out. At most one action is in flight; a
    /// release waits until it has ended.
    pub fn handle(&mut self, event: Event, now: Time) -> Option<Action> {
        let action = match event {
            Event::Tick(draw) => self.tick(draw, now),
            Event::Release(draw) => {
                self.release_draw = Some(draw);
                None
            }
            Event::Read(result, draw) => {
                match std::mem::replace(&mut self.pending, Pending::None) {
                    Pending::ReadingBack(attempt) => self.handle_read_back(attempt, result, now),
                    Pending::Reading => {
                        let row = result.ok();
                        row.and_then(|row| self.handle_row(row, draw, now))
                    }
                    other => {
                        self.pending = other;
                        None
                    }
                }
            }
            Event::Commit(result) => match std::mem::replace(&mut self.pending, Pending::None) {
                Pending::Committing(attempt) => self.handle_commit(attempt, &result, now),
                other => {
                    self.pending = other;
                    None
                }
            },
        };
        action.or_else(|| self.try_release(now))
    }

    /// Releases the lease once no action is in flight.
    fn try_release(&mut self, now: Time) -> Option<Action> {
        let draw = self.release_draw?;
        if !matches!(self.pending, Pending::None) {
            return None;
        }
        let held = self.held.take()?;
        let row = LeaseRow {
            released: true,
            ..held.row
        };
        Some(self.send(row, Some(held.revision), draw, now))
    }

    fn tick(&mut self, draw: u128, now: Time) -> Option<Action> {
        if !matches!(self.pending, Pending::None)
            || now < self.next_check
            || self.release_draw.is_some()
        {
            return None;
        }
        self.next_check = now + self.term / (4 * RENEWALS_PER_TERM);
        match &self.held {
            Some(held) if now < held.expires_at => {
                let due = held.sent_at + self.term / RENEWALS_PER_TERM;
                (now >= due).then(|| self.renew(draw, now)).flatten()
            }
            _ => {
                self.held = None;
                self.pending = Pending::Reading;
                Some(Action::Read(self.key.clone()))
            }
        }
    }

    fn renew(&mut self, draw: u128, now: Time) -> Option<Action> {
        let held = self.held.as_ref()?;
        let row = LeaseRow {
            renewal: held.row.renewal + 1,
            ..held.row.clone()
        };
        let revision = held.revision;
        Some(self.send(row, Some(revision), draw, now))
    }

    fn send(&mut self, row: LeaseRow, revision: Option<Revision>, draw: u128, now: Time) -> Action {
        let key = self.key.clone();
        let write = Write {
            key: key.clone(),
            value: Some(row.encode()),
            ttl_ms: None,
        };
        let commit = Commit {
            id: TransactionId::from_random(draw),
            checks: vec![Check { key, revision }],
            writes: vec![write],
        };
        self.pending = Pending::Committing(Attempt {
            commit: commit.clone(),
            sent_at: now,
            row,
        });
        Action::Commit(commit)
    }

    /// Handles the row as a challenger and claims the lease if it is free.
    fn handle_row(&mut self, row: Option<Row>, draw: u128, now: Time) -> Option<Action> {
        let Some(row) = row else {
            return (self.release_draw.is_none()).then(|| self.claim(None, draw, now));
        };
        let lease = LeaseRow::decode(&row.value)?;
        self.highest_fencing = self.highest_fencing.max(lease.fencing);
        let unchanged = self
            .observed
            .filter(|observed| observed.revision == row.revision);
        let observed = unchanged.unwrap_or(Observed {
            revision: row.revision,
            first_seen: now,
        });
        self.observed = Some(observed);
        // A row of this process belongs to an expired term, which it no longer uses.
        let free = lease.released
            || lease.holder == self.own
            || now.since(observed.first_seen) >= self.term.mul_f64(1.5);
        (free && self.release_draw.is_none()).then(|| self.claim(Some(row.revision), draw, now))
    }

    fn claim(&mut self, revision: Option<Revision>, draw: u128, now: Time) -> Action {
        let row = LeaseRow {
            holder: self.own,
            renewal: 0,
            fencing: self.highest_fencing.next(),
            released: false,
        };
        self.send(row, revision, draw, now)
    }

    fn handle_commit(
        &mut self,
        attempt: Attempt,
        result: &Result<CommitAnswer, StoreError>,
        now: Time,
    ) -> Option<Action> {
        match result {
            Ok(CommitAnswer::Applied(revision)) => {
                self.set_held(&attempt, *revision, now);
                None
            }
            // The conflict may be with the row that an earlier attempt of this transaction wrote.
            Ok(CommitAnswer::Conflict(..)) | Err(StoreError::Ambiguous(_)) => {
                self.pending = Pending::ReadingBack(attempt);
                Some(Action::Read(self.key.clone()))
            }
            Err(StoreError::NotApplied(_)) => None,
        }
    }

    /// Handles the row that was read back after a write of unknown effect.
    fn handle_read_back(
        &mut self,
        attempt: Attempt,
        result: Result<Option<Row>, StoreError>,
        now: Time,
    ) -> Option<Action> {
        // Without an answer the effect stays unknown, and the current term runs until it expires.
        let row = result.ok()?;
        let checked = attempt
            .commit
            .checks
            .first()
            .and_then(|check| check.revision);
        match row {
            Some(row) if row.writer == attempt.commit.id => {
                self.set_held(&attempt, row.revision, now);
                None
            }
            row if row.as_ref().map(|row| row.revision) == checked => {
                // Repeats the identical transaction: if the first request still arrives, only one of
                // the two applies.
                if attempt.row.released
                    || self.release_draw.is_some()
                    || now.since(attempt.sent_at) >= self.term
                {
                    return None;
                }
                let commit = attempt.commit.clone();
                self.pending = Pending::Committing(attempt);
                Some(Action::Commit(commit))
            }
            row => {
                self.held = None;
                let lease = row.as_ref().and_then(|row| LeaseRow::decode(&row.value));
                self.highest_fencing = self
                    .highest_fencing
                    .max(lease.map_or(FencingNumber(0), |lease| lease.fencing));
                self.observed = row.map(|row| Observed {
                    revision: row.revision,
                    first_seen: now,
                });
                None
            }
        }
    }

    fn set_held(&mut self, attempt: &Attempt, revision: Revision, now: Time) {
        let row = attempt.row.clone();
        assert!(
            row.fencing >= self.highest_fencing,
            "lease {}: granted fencing number {} is lower than {}",
            self.key,
            row.fencing,
            self.highest_fencing
        );
        self.highest_fencing = row.fencing;
        self.observed = None;
        let expires_at = attempt.sent_at + self.term;
        self.held = (!row.released && now < expires_at).then_some(Held {
            row,
            revision,
            sent_at: attempt.sent_at,
            expires_at,
        });
    }
}
