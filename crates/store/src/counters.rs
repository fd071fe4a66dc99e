//! Counters of platform calls and their failures.

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
    breaker_opened: AtomicU64,
    causes: [AtomicU64; Cause::ALL.len()],
}

/// Value of one counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Count {
    /// Name of the counter.
    pub name: &'static str,
    /// Value of the counter.
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

    pub(crate) fn set_breaker_opened(&self, count: u64) {
        self.breaker_opened.store(count, Ordering::Relaxed);
    }

    pub(crate) fn add_error(&self, error: StoreError) {
        self.causes[error.cause() as usize].fetch_add(1, Ordering::Relaxed);
        if matches!(error, StoreError::Ambiguous(_)) {
            self.ambiguous.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns all counters; failed attempts are counted under the name of their cause.
    pub fn read_all(&self) -> Vec<Count> {
        let own = [
            ("calls", &self.calls),
            ("retries", &self.retries),
            ("coalesced", &self.coalesced),
            ("conflicts", &self.conflicts),
            ("ambiguous", &self.ambiguous),
            ("breaker_opened", &self.breaker_opened),
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

    /// Returns the counter of this name, 0 if there is none.
    pub fn read(&self, name: &str) -> u64 {
        let counts = self.read_all();
        counts
            .iter()
            .find(|count| count.name == name)
            .map_or(0, |count| count.value)
    }
}
