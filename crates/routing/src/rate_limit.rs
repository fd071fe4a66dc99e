//! Rate limits of organisations at one entry.

use std::collections::HashMap;
use std::time::Duration;

use siskinbend_types::Organisation;
use siskinbend_types::Rate;
use siskinbend_types::Time;

/// The capacity of a bucket is the number of requests that the rate allows in this time.
const BURST: Duration = Duration::from_secs(1);

/// Smallest capacity of a bucket, in requests, whatever the rate.
const MIN_BURST: f64 = 5.0;

/// Token bucket of one organisation.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    refilled: Time,
}

/// Admits the requests of organisations up to their rates.
///
/// A rate holds for the whole fleet. The platform's balancer spreads callers over the entries, so
/// each entry admits an equal share of it.
#[derive(Debug, Default)]
pub struct RateLimiter {
    buckets: HashMap<Organisation, Bucket>,
}

impl RateLimiter {
    /// Takes a token for one request; returns false if the organisation has used up its rate.
    pub fn admit(
        &mut self,
        organisation: &Organisation,
        rate: Rate,
        entries: u16,
        now: Time,
    ) -> bool {
        let rate = rate.per_second() / f64::from(entries.max(1));
        let burst = (rate * BURST.as_secs_f64()).max(MIN_BURST);
        if !self.buckets.contains_key(organisation) {
            self.buckets.insert(
                organisation.clone(),
                Bucket {
                    tokens: burst,
                    refilled: now,
                },
            );
        }
        let Some(bucket) = self.buckets.get_mut(organisation) else {
            return false;
        };
        let added = rate * now.since(bucket.refilled).as_secs_f64();
        bucket.tokens = (bucket.tokens + added).min(burst);
        bucket.refilled = now;
        let admitted = bucket.tokens >= 1.0;
        if admitted {
            bucket.tokens -= 1.0;
        }
        admitted
    }

    /// Removes the buckets of organisations that are no longer served.
    pub fn retain<F>(&mut self, is_served: F)
    where
        F: Fn(&Organisation) -> bool,
    {
        self.buckets
            .retain(|organisation, _| is_served(organisation));
    }
}
