//! Counters of the store clients by reason.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use siskinbend_control::table::Cause;
use siskinbend_control::table::StoreError;

/// Counters of one service of the platform.
#[derive(Debug, Default)]
pub struct Counters {
    calls: AtomicU64,
    retries: AtomicU64,
    coalesced: AtomicU64,
    conflicts: AtomicU64,
    ambiguous: AtomicU64,
    opened: AtomicU64,
    causes: [AtomicU64; Cause::ALL.len()],
}

/// One counter as read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Count {
    /// Name of the counter.
    pub name: &'static str,
    /// Its value.
    pub value: u64,
}

impl Counters {
    pub(crate) fn add_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_retry(&self) {
        self.retries.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_coalesced(&self) {
        self.coalesced.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_conflict(&self) {
        self.conflicts.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn set_opened(&self, opened: u64) {
        self.opened.store(opened, Ordering::Relaxed);
    }

    pub(crate) fn add_error(&self, error: StoreError) {
        self.causes[error.cause() as usize].fetch_add(1, Ordering::Relaxed);
        if matches!(error, StoreError::Ambiguous(_)) {
            self.ambiguous.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Reads all counters; failed attempts are counted under the name of their cause.
    pub fn read_all(&self) -> Vec<Count> {
        let own = [
            ("calls", &self.calls),
            ("retries", &self.retries),
            ("coalesced", &self.coalesced),
            ("conflicts", &self.conflicts),
            ("ambiguous", &self.ambiguous),
            ("breaker_opened", &self.opened),
        ];
        let causes = Cause::ALL.iter().map(|cause| cause.as_str());
        own.into_iter()
            .chain(causes.zip(&self.causes))
            .map(|(name, counter)| Count {
                name,
                value: counter.load(Ordering::Relaxed),
            })
            .collect()
    }

    /// Reads one counter, 0 if there is none of that name.
    pub fn read(&self, name: &str) -> u64 {
        let counts = self.read_all();
        counts
            .iter()
            .find(|count| count.name == name)
            .map_or(0, |count| count.value)
    }
}
