//! Counters of a backend server: requests, and runs by id for a bounded number of ids.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;

/// Header with the request id that an agent sends to its backend server.
pub const REQUEST_ID_HEADER: &str = "Siskinbend-Request";

/// Number of ids that a [`RunCounter`] keeps; at about 100 bytes each this is 10 MB.
const MAX_IDS: usize = 100_000;

/// Number of runs of one id.
#[derive(Debug, Serialize, Deserialize)]
pub struct RunCount {
    /// Id of a request, or its `ref` field.
    pub id: String,
    /// Number of runs.
    pub runs: u64,
}

/// Counts runs by id; beyond the limit, the oldest id is removed.
#[derive(Debug, Default)]
pub struct RunCounter {
    runs: HashMap<String, u64>,
    /// Ids, oldest first.
    insertion_order: VecDeque<String>,
}

impl RunCounter {
    /// Counts one run of `id` and returns the new count.
    pub fn record_run(&mut self, id: &str) -> u64 {
        if let Some(count) = self.runs.get_mut(id) {
            *count += 1;
            return *count;
        }
        if self.insertion_order.len() == MAX_IDS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.runs.remove(&oldest);
        }
        self.insertion_order.push_back(id.to_owned());
        self.runs.insert(id.to_owned(), 1);
        1
    }

    /// Lists all ids, oldest first.
    #[must_use]
    pub fn list(&self) -> Vec<RunCount> {
        let to_count = |id: &String| RunCount {
            id: id.clone(),
            runs: self.runs[id],
        };
        self.insertion_order.iter().map(to_count).collect()
    }
}

/// Answer of `GET /counts` of a backend server.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Requests whose execution started.
    pub started: u64,
    /// Requests whose execution completed.
    pub finished: u64,
    /// Requests cancelled by the caller, before or after their start.
    pub cancelled: u64,
    /// Number of lookups answered.
    pub lookups: u64,
    /// Number of runs by request id.
    pub requests: Vec<RunCount>,
    /// Number of runs by the `ref` field of the body.
    pub references: Vec<RunCount>,
}

/// Answer of `GET /load`.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests that occupy a slot.
    pub running: usize,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Number of slots.
    pub slots: usize,
    /// Tokens generated in the last second.
    pub tokens_per_s: f64,
}

/// Counters of one backend server.
#[derive(Debug, Default)]
pub struct Counters {
    /// Totals; the lists in it stay empty, [`Counters::report`] fills them.
    pub totals: Counts,
    /// Number of runs by request id.
    pub requests: RunCounter,
    /// Number of runs by the `ref` field of the body.
    pub references: RunCounter,
}

impl Counters {
    /// Counts the start of a request and returns how often its id has run, if it has one.
    pub fn record_start(&mut self, id: Option<&str>) -> Option<u64> {
        self.totals.started += 1;
        id.map(|id| self.requests.record_run(id))
    }

    /// Builds the answer of `GET /counts`.
    #[must_use]
    pub fn report(&self) -> Counts {
        Counts {
            requests: self.requests.list(),
            references: self.references.list(),
            ..self.totals
        }
    }
}

/// Returns the request id from the headers, if present and valid text.
#[must_use]
pub fn read_request_id(headers: &HeaderMap) -> Option<String> {
    headers
        .get(REQUEST_ID_HEADER)?
        .to_str()
        .ok()
        .map(str::to_owned)
}

/// Locks `mutex` and ignores poisoning: the counters and rows that it protects stay usable if
/// another thread panicked while it held the lock.
pub fn lock<Guarded>(mutex: &Mutex<Guarded>) -> MutexGuard<'_, Guarded> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
