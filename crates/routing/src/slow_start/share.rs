//! Number of requests that each gateway may send to a cold backend server.

use std::time::Duration;

/// Time in which a gateway keeps its quota. The bound holds for the arrivals of one second, and the
/// time between choice and arrival varies by the time of opening a connection.
const WINDOW: Duration = Duration::from_millis(1_250);
/// One more gateway than are listed is allowed for each this many listed ones.
const LISTED_PER_UNLISTED: usize = 4;

/// By how much the requests of a second may exceed the rate that a cold backend server tolerates.
#[derive(Debug, Clone, Copy)]
pub struct Tolerance {
    /// Factor of the rate.
    pub overrun: f64,
    /// Requests allowed beyond that.
    pub slack: f64,
}

impl Default for Tolerance {
    fn default() -> Self {
        Self {
            overrun: 1.0,
            slack: 0.0,
        }
    }
}

/// Division of the requests of one window between the listed gateways.
#[derive(Debug, Clone, Copy)]
struct Quotas {
    /// Requests of every gateway.
    base: u64,
    /// Number of gateways, first in the order, that have one request more.
    larger: u64,
}

impl Quotas {
    /// Divides `bound` requests between `listed` gateways.
    ///
    /// Gateways that are not listed may all find themselves at the front of the order. Room is left
    /// for as many of them as are allowed for, and for a single request of one more that has not read
    /// the list yet. With a longer list, no gateway gets a larger quota; gateways whose lists differ
    /// therefore keep the bound as well.
    fn divide(bound: u64, listed: usize) -> Quotas {
        let unlisted = (listed / LISTED_PER_UNLISTED) as u64;
        let listed = listed as u64;
        let spare = bound.saturating_sub(unlisted + 1);
        let base = spare / (listed + unlisted);
        let larger = (spare % (listed + unlisted)).min(listed);
        // Without any quota, a service whose servers are all cold would serve nothing.
        match base + larger {
            0 => Quotas { base, larger: 1 },
            _ => Quotas { base, larger },
        }
    }

    fn of_rank(self, rank: usize) -> u64 {
        self.base + u64::from((rank as u64) < self.larger)
    }

    fn sum(self, listed: usize) -> u64 {
        self.base * listed as u64 + self.larger
    }
}

/// Returns the requests a second of the gateway at position `rank` of `listed` ones to a server that
/// tolerates `rate`. They must be evenly spaced. Together the listed gateways send at most `rate`.
pub(super) fn find_rate(rate: f64, tolerance: Tolerance, rank: usize, listed: usize) -> f64 {
    let bound = (rate * tolerance.overrun + tolerance.slack) as u64;
    let quotas = Quotas::divide(bound, listed);
    let per_request = rate / quotas.sum(listed) as f64;
    quotas.of_rank(rank) as f64 * per_request.min(1.0 / WINDOW.as_secs_f64())
}

/// Returns the requests a second of a gateway that has not read the list.
pub(super) fn find_unlisted_rate(rate: f64) -> f64 {
    rate.min(1.0 / WINDOW.as_secs_f64())
}
