//! Rate limits of organisations at one entry.

use std::collections::HashMap;
use std::time::Duration;

use siskinbend_types::Organisation;
use siskinbend_types::Rate;
use siskinbend_types::Time;

/// Time whose requests an organisation may send at once.
const BURST: Duration = Duration::from_secs(1);

/// Requests that an organisation may send at once at least, whatever its rate.
const BURST_FLOOR: f64 = 5.0;

/// Token bucket of one organisation.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    at: Time,
}

/// Admits the requests of organisations up to their rates.
///
/// A rate holds for the whole fleet. The platform's balancer spreads callers over the entries, so
/// each entry admits an equal part of it.
#[derive(Debug, Default)]
pub struct RateLimiter {
    buckets: HashMap<Organisation, Bucket>,
}

impl RateLimiter {
    /// Takes one request into account; false if the organisation has used up its rate.
    pub fn admit(&mut self, who: &Organisation, rate: Rate, entries: u16, now: Time) -> bool {
        let rate = rate.per_second() / f64::from(entries.max(1));
        let burst = (rate * BURST.as_secs_f64()).max(BURST_FLOOR);
        if !self.buckets.contains_key(who) {
            self.buckets.insert(
                who.clone(),
                Bucket {
                    tokens: burst,
                    at: now,
                },
            );
        }
        let Some(bucket) = self.buckets.get_mut(who) else {
            return false;
        };
        let earned = rate * now.since(bucket.at).as_secs_f64();
        bucket.tokens = (bucket.tokens + earned).min(burst);
        bucket.at = now;
        let admitted = bucket.tokens >= 1.0;
        if admitted {
            bucket.tokens -= 1.0;
        }
        admitted
    }

    /// Forgets organisations that are no longer served.
    pub fn retain<F>(&mut self, serves: F)
    where
        F: Fn(&Organisation) -> bool,
    {
        self.buckets.retain(|who, _| serves(who));
    }
}
