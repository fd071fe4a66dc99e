//! Leases with fencing numbers; one machine is challenger and holder.
//!
//! The holder counts its term from before it sent the write that granted or renewed it. A
//! challenger waits until it has seen the row unchanged for 1.5 terms. Both use their own
//! monotonic clock, so that only a rate error of a third could make two terms overlap.

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

/// Value of the row of a lease. The row is never deleted, because its fencing number must not
/// start again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseRow {
    /// Process that holds the lease, or held it last.
    pub holder: Incarnation,
    /// Renewals since the grant.
    pub renewal: u64,
    /// Fencing number of the grant.
    pub fencing: FencingNumber,
    /// Whether the holder gave the lease back.
    pub released: bool,
}

#[derive(Serialize, Deserialize)]
struct RowText {
    holder: SmolStr,
    renewal: u64,
    fencing: FencingNumber,
    released: bool,
}

impl LeaseRow {
    /// Reads the value of a row, `None` if it is malformed.
    pub fn decode(value: &str) -> Option<LeaseRow> {
        let text: RowText = serde_json::from_str(value).ok()?;
        Some(LeaseRow {
            holder: text.holder.parse().ok()?,
            renewal: text.renewal,
            fencing: text.fencing,
            released: text.released,
        })
    }

    /// Writes the value of a row.
    pub fn encode(&self) -> String {
        let text = RowText {
            holder: self.holder.to_string().into(),
            renewal: self.renewal,
            fencing: self.fencing,
            released: self.released,
        };
        serde_json::to_string(&text).unwrap_or_default()
    }
}

/// Something that a lease machine hears. The draws are 128 random bits for a transaction id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time passed; due several times a term.
    Tick(u128),
    /// The row was read.
    Read(Result<Option<Row>, StoreError>, u128),
    /// The transaction was answered.
    Commit(Result<CommitAnswer, StoreError>),
    /// The process stops and gives the lease back.
    Release(u128),
}

/// Something that the shell carries out; its result is the next event but for ticks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the row; not a coalesced read.
    Read(Key),
    /// Apply a transaction.
    Commit(Commit),
}

#[derive(Debug, Clone)]
struct Attempt {
    commit: Commit,
    sent: Time,
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
    sent: Time,
    until: Time,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    revision: Revision,
    since: Time,
}

/// Takes part in one lease.
#[derive(Debug)]
pub struct Lease {
    key: Key,
    me: Incarnation,
    term: Duration,
    highest: FencingNumber,
    held: Option<Held>,
    seen: Option<Seen>,
    pending: Pending,
    next: Time,
    closing: Option<u128>,
}

impl Lease {
    /// Starts as a challenger. All processes use the same term for a lease.
    pub fn new(key: Key, me: Incarnation, term: Duration) -> Self {
        Self {
            key,
            me,
            term,
            highest: FencingNumber(0),
            held: None,
            seen: None,
            pending: Pending::None,
            next: Time(0),
            closing: None,
        }
    }

    /// The fencing number if this process holds the lease at this moment.
    ///
    /// The process may be paused between this answer and the use of it; therefore every command
    /// under the lease carries the number.
    pub fn fencing(&self, now: Time) -> Option<FencingNumber> {
        let usable = |held: &&Held| now < held.until && self.closing.is_none();
        let held = self.held.as_ref().filter(usable)?;
        Some(held.row.fencing)
    }

    /// Highest fencing number seen in the row.
    pub fn highest_fencing(&self) -> FencingNumber {
        self.highest
    }

    /// Takes an event and returns what to do. At most one action is under way at a time; a
    /// release waits for its end.
    pub fn handle(&mut self, event: Event, now: Time) -> Option<Action> {
        let action = match event {
            Event::Tick(draw) => self.tick(draw, now),
            Event::Release(draw) => {
                self.closing = Some(draw);
                None
            }
            Event::Read(result, draw) => {
                match std::mem::replace(&mut self.pending, Pending::None) {
                    Pending::ReadingBack(attempt) => self.take_back(attempt, result, now),
                    Pending::Reading => {
                        let row = result.ok();
                        row.and_then(|row| self.take_row(row, draw, now))
                    }
                    other => {
                        self.pending = other;
                        None
                    }
                }
            }
            Event::Commit(result) => match std::mem::replace(&mut self.pending, Pending::None) {
                Pending::Committing(attempt) => self.take_commit(attempt, &result, now),
                other => {
                    self.pending = other;
                    None
                }
            },
        };
        action.or_else(|| self.release(now))
    }

    /// Gives the lease back once nothing is under way.
    fn release(&mut self, now: Time) -> Option<Action> {
        let draw = self.closing?;
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
        if !matches!(self.pending, Pending::None) || now < self.next || self.closing.is_some() {
            return None;
        }
        self.next = now + self.term / (4 * RENEWALS_PER_TERM);
        match &self.held {
            Some(held) if now < held.until => {
                let due = held.sent + self.term / RENEWALS_PER_TERM;
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
            sent: now,
            row,
        });
        Action::Commit(commit)
    }

    /// Takes the row as challenger.
    fn take_row(&mut self, row: Option<Row>, draw: u128, now: Time) -> Option<Action> {
        let Some(row) = row else {
            return (self.closing.is_none()).then(|| self.challenge(None, draw, now));
        };
        let lease = LeaseRow::decode(&row.value)?;
        self.highest = self.highest.max(lease.fencing);
        let unchanged = self.seen.filter(|seen| seen.revision == row.revision);
        let seen = unchanged.unwrap_or(Seen {
            revision: row.revision,
            since: now,
        });
        self.seen = Some(seen);
        // An own row is left from a term that is over: this process has stopped using it.
        let free = lease.released
            || lease.holder == self.me
            || now.since(seen.since) >= self.term.mul_f64(1.5);
        (free && self.closing.is_none()).then(|| self.challenge(Some(row.revision), draw, now))
    }

    fn challenge(&mut self, revision: Option<Revision>, draw: u128, now: Time) -> Action {
        let row = LeaseRow {
            holder: self.me,
            renewal: 0,
            fencing: self.highest.next(),
            released: false,
        };
        self.send(row, revision, draw, now)
    }

    fn take_commit(
        &mut self,
        attempt: Attempt,
        result: &Result<CommitAnswer, StoreError>,
        now: Time,
    ) -> Option<Action> {
        match result {
            Ok(CommitAnswer::Applied(revision)) => {
                self.hold(&attempt, *revision, now);
                None
            }
            // The attempt may have met the row of its own earlier sending.
            Ok(CommitAnswer::Conflict(..)) | Err(StoreError::Ambiguous(_)) => {
                self.pending = Pending::ReadingBack(attempt);
                Some(Action::Read(self.key.clone()))
            }
            Err(StoreError::NotApplied(_)) => None,
        }
    }

    /// Takes the row after a write of unknown effect.
    fn take_back(
        &mut self,
        attempt: Attempt,
        result: Result<Option<Row>, StoreError>,
        now: Time,
    ) -> Option<Action> {
        // Without an answer the effect stays open; the term in force runs on until its end.
        let row = result.ok()?;
        let checked = attempt
            .commit
            .checks
            .first()
            .and_then(|check| check.revision);
        match row {
            Some(row) if row.writer == attempt.commit.id => {
                self.hold(&attempt, row.revision, now);
                None
            }
            row if row.as_ref().map(|row| row.revision) == checked => {
                // Sent again as it is: should the first sending still arrive, only one applies.
                if attempt.row.released
                    || self.closing.is_some()
                    || now.since(attempt.sent) >= self.term
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
                self.highest = self
                    .highest
                    .max(lease.map_or(FencingNumber(0), |lease| lease.fencing));
                self.seen = row.map(|row| Seen {
                    revision: row.revision,
                    since: now,
                });
                None
            }
        }
    }

    fn hold(&mut self, attempt: &Attempt, revision: Revision, now: Time) {
        let row = attempt.row.clone();
        assert!(
            row.fencing >= self.highest,
            "lease {}: fencing number {} was granted after {}",
            self.key,
            row.fencing,
            self.highest
        );
        self.highest = row.fencing;
        self.seen = None;
        let until = attempt.sent + self.term;
        self.held = (!row.released && now < until).then_some(Held {
            row,
            revision,
            sent: attempt.sent,
            until,
        });
    }
}
