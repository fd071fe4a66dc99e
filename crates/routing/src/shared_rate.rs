//! Division of a rate of requests between gateways, none of which sees the requests of the others.
//!
//! All gateways know each other's names from a list and rank them in the same order, which differs
//! from server to server. Each derives its share of a server's rate from its position in that order.

use std::collections::BTreeSet;
use std::time::Duration;

use siskinbend_types::AgentId;
use siskinbend_types::Time;
use smol_str::SmolStr;

use crate::subset::stable_hash;

/// Gateways of the deployment, including this one.
#[derive(Debug)]
pub(crate) struct Gateways {
    own: SmolStr,
    names: BTreeSet<SmolStr>,
    /// Position of this gateway's name.
    turn: usize,
    /// Whether the list has been read.
    is_known: bool,
}

impl Gateways {
    /// Creates the list of the gateway named `own`, which knows of no other gateway.
    pub fn new(own: SmolStr) -> Gateways {
        Gateways {
            names: BTreeSet::from([own.clone()]),
            own,
            turn: 0,
            is_known: false,
        }
    }

    /// Replaces the names with those of the list that was read; this gateway is always among them.
    pub fn replace(&mut self, names: BTreeSet<SmolStr>) {
        self.names = names;
        self.names.insert(self.own.clone());
        let earlier = self.names.iter().take_while(|name| **name < self.own);
        self.turn = earlier.count();
        self.is_known = true;
    }

    /// Returns the number of gateways.
    pub fn count(&self) -> usize {
        self.names.len()
    }

    /// Whether the list has been read.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Whether it is this gateway's turn in the slot with this number.
    pub fn has_turn(&self, slot: u64) -> bool {
        slot % self.count() as u64 == self.turn as u64
    }

    /// Returns the position of this gateway in the order in which gateways get a share of a server's
    /// rate. The order differs from server to server.
    pub fn find_rank(&self, server: &AgentId) -> usize {
        let order = |name: &SmolStr| (stable_hash((server, name)), name.clone());
        let own = order(&self.own);
        let earlier = self.names.iter().filter(|name| order(name) < own);
        earlier.count()
    }
}

/// Share of a rate, in requests a second, and the time of it that can be saved up beyond a single
/// request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Share {
    /// Requests a second.
    pub rate: f64,
    /// Time of the rate that can be saved up.
    pub burst: Duration,
}

/// Requests that one gateway has saved up for one server.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn new(now: Time) -> TokenBucket {
        TokenBucket {
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Returns the requests that may be sent now.
    pub fn count(&self, share: Share, now: Time) -> f64 {
        let added = share.rate * now.since(self.refilled_at).as_secs_f64();
        (self.tokens + added).min(1.0 + share.rate * share.burst.as_secs_f64())
    }

    /// Adds what has been saved up until now, before the share changes; nothing without a share.
    pub fn refill(&mut self, share: Option<Share>, now: Time) {
        if let Some(share) = share {
            self.tokens = self.count(share, now);
        }
        self.refilled_at = now;
    }

    /// Takes the token of a request.
    pub fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Returns when a request may be sent; `None` if the share is zero.
    pub fn next_token(&self, share: Share) -> Option<Time> {
        let missing = (1.0 - self.tokens).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / share.rate).ok()?;
        // Rounded up, so that the token is there at that time.
        Some(self.refilled_at + wait + Duration::from_micros(1))
    }
}
