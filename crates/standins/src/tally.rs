//! Counts of runs by id, bounded to the newest ids, and the counters of a backend server.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;

/// Header with the request id that an agent sends to its backend server.
pub const REQUEST_HEADER: &str = "Siskinbend-Request";

/// Ids kept by one [`Tally`]; at about 100 bytes each this is 10 MB.
const TALLY_LIMIT: usize = 100_000;

/// How often one id ran.
#[derive(Debug, Serialize, Deserialize)]
pub struct Runs {
    /// The id.
    pub id: String,
    /// Number of runs.
    pub runs: u64,
}

/// Runs by id; the oldest id is forgotten beyond the limit.
#[derive(Debug, Default)]
pub struct Tally {
    runs: HashMap<String, u64>,
    order: VecDeque<String>,
}

impl Tally {
    /// Counts one run of `id` and returns the new count.
    pub fn add(&mut self, id: &str) -> u64 {
        if let Some(count) = self.runs.get_mut(id) {
            *count += 1;
            return *count;
        }
        if self.order.len() == TALLY_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.runs.remove(&oldest);
        }
        self.order.push_back(id.to_owned());
        self.runs.insert(id.to_owned(), 1);
        1
    }

    /// Lists all ids, oldest first.
    #[must_use]
    pub fn list(&self) -> Vec<Runs> {
        let runs = |id: &String| Runs {
            id: id.clone(),
            runs: self.runs[id],
        };
        self.order.iter().map(runs).collect()
    }
}

/// Answer of `GET /counts` of a backend server.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Requests whose work began.
    pub started: u64,
    /// Requests whose work was done to its end.
    pub finished: u64,
    /// Requests dropped by the caller, before or after their start.
    pub cancelled: u64,
    /// Lookups answered.
    pub lookups: u64,
    /// Runs by request id.
    pub requests: Vec<Runs>,
    /// Runs by the `ref` field of the body.
    pub references: Vec<Runs>,
}

/// Answer of `GET /load`.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests in a slot.
    pub running: usize,
    /// Requests that wait for a slot.
    pub queued: usize,
    /// Number of slots.
    pub slots: usize,
    /// Tokens made in the last second.
    pub tokens_per_s: f64,
}

/// Counters of one backend server.
#[derive(Debug, Default)]
pub struct Counters {
    /// Totals; the lists stay empty here.
    pub totals: Counts,
    /// Runs by request id.
    pub requests: Tally,
    /// Runs by the `ref` field of the body.
    pub references: Tally,
}

impl Counters {
    /// Counts the start of a request; returns the runs of its id, if it has one.
    pub fn start(&mut self, id: Option<&str>) -> Option<u64> {
        self.totals.started += 1;
        id.map(|id| self.requests.add(id))
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

/// Reads the request id of a request.
#[must_use]
pub fn read_id(headers: &HeaderMap) -> Option<String> {
    headers
        .get(REQUEST_HEADER)?
        .to_str()
        .ok()
        .map(str::to_owned)
}

/// Locks `mutex`; a panic of another holder leaves plain counters and rows behind, which stay
/// usable.
pub fn lock<Guarded>(mutex: &Mutex<Guarded>) -> MutexGuard<'_, Guarded> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
