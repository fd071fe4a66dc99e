//! Simulates the platform's table service: rows with revisions, expiry and outages.

use std::collections::BTreeMap;
use std::time::Duration;

use siskinbend_request::ClaimRow;
use siskinbend_types::Time;

/// Number of the write that stored a row.
pub type Writer = u64;

#[derive(Debug)]
struct Stored {
    row: ClaimRow,
    revision: u64,
    writer: Writer,
    expires: Time,
}

/// The table. All times are those of the table service.
#[derive(Debug, Default)]
pub struct Table {
    rows: BTreeMap<String, Stored>,
    /// Incremented with every write of any row, so that no row has the same revision twice.
    revision: u64,
    /// The table does not answer before this time.
    pub down: Time,
}

impl Table {
    /// Writes the row and returns true if its current revision is `replaces`.
    pub fn write(
        &mut self,
        row: &ClaimRow,
        replaces: Option<u64>,
        writer: Writer,
        now: Time,
    ) -> bool {
        let path = row.path();
        let current = self.read(&path, now).map(|(_, revision, _)| revision);
        if current != replaces {
            return false;
        }
        self.revision += 1;
        let stored = Stored {
            row: row.clone(),
            revision: self.revision,
            writer,
            expires: now + row.retention.max(Duration::from_secs(1)),
        };
        self.rows.insert(path, stored);
        true
    }

    /// Returns the row with its revision and writer.
    pub fn read(&self, path: &str, now: Time) -> Option<(&ClaimRow, u64, Writer)> {
        self.rows
            .get(path)
            .filter(|stored| now < stored.expires)
            .map(|stored| (&stored.row, stored.revision, stored.writer))
    }
}
