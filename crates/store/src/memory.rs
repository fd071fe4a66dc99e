//! In-memory table with the semantics of the table service, for fakes and simulations.

use std::collections::BTreeMap;
use std::time::Duration;

use siskinbend_control::table::Commit;
use siskinbend_control::table::CommitAnswer;
use siskinbend_control::table::Key;
use siskinbend_control::table::Revision;
use siskinbend_control::table::Row;
use siskinbend_types::Time;

#[derive(Debug, Clone)]
struct Stored {
    row: Row,
    expiry: Option<Time>,
}

/// A transactional table.
#[derive(Debug, Clone, Default)]
pub struct MemoryTable {
    rows: BTreeMap<Key, Stored>,
    revision: Revision,
}

impl MemoryTable {
    /// Reads a row that has not expired.
    pub fn read(&self, key: &Key, now: Time) -> Option<&Row> {
        let stored = self.rows.get(key)?;
        let live = stored.expiry.is_none_or(|expiry| now < expiry);
        live.then_some(&stored.row)
    }

    /// Reads the first `limit` rows whose keys start with `prefix`.
    pub fn scan(&self, prefix: &Key, limit: usize, now: Time) -> Vec<Row> {
        self.rows
            .range(prefix.clone()..)
            .take_while(|(key, _)| key.as_str().starts_with(prefix.as_str()))
            .filter_map(|(key, _)| self.read(key, now).cloned())
            .take(limit)
            .collect()
    }

    /// Applies a transaction if its checks hold.
    pub fn commit(&mut self, commit: &Commit, now: Time) -> CommitAnswer {
        for check in &commit.checks {
            let revision = self.read(&check.key, now).map(|row| row.revision);
            if revision != check.revision {
                return CommitAnswer::Conflict(check.key.clone(), revision);
            }
        }
        self.revision = Revision(self.revision.0 + 1);
        for write in &commit.writes {
            let Some(value) = &write.value else {
                self.rows.remove(&write.key);
                continue;
            };
            let row = Row {
                key: write.key.clone(),
                value: value.clone(),
                revision: self.revision,
                writer: commit.id.clone(),
            };
            let expiry = write.ttl_ms.map(|ttl| now + Duration::from_millis(ttl));
            self.rows.insert(write.key.clone(), Stored { row, expiry });
        }
        CommitAnswer::Applied(self.revision)
    }

    /// Writes an earlier row under a new revision, as a restore from a backup does.
    pub fn restore(&mut self, row: Row) {
        self.revision = Revision(self.revision.0 + 1);
        let revision = self.revision;
        let row = Row { revision, ..row };
        self.rows
            .insert(row.key.clone(), Stored { row, expiry: None });
    }
}
