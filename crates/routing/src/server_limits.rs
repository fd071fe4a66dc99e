//! Request limits that backend servers name in their answers, shared between gateways.
//!
//! A limit holds for all gateways together, and a gateway sees only its own requests. Each server's
//! limit is therefore divided equally between some of the gateways. How many share it depends on the
//! limit: a few requests a second divided between many gateways would let all of them send one at
//! the same moment. All gateways know each other's names and choose the same ones.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use siskinbend_types::AgentId;
use siskinbend_types::Rate;
use siskinbend_types::Reason;
use siskinbend_types::Time;
use smol_str::SmolStr;

use crate::SendRule;
use crate::shared_rate::Gateways;
use crate::shared_rate::Share;
use crate::shared_rate::TokenBucket;

/// Number of gateways that share even the lowest limit.
const MIN_SHARING: usize = 2;
/// Time of a gateway's rate that it can save up, beyond a single request.
const BURST: Duration = Duration::from_millis(250);
/// Time in which one of the gateways without a share may send a request, to find out whether the
/// limit still holds. They take turns by the time of day.
const PROBE_SLOT: Duration = Duration::from_secs(3);

/// Change of a backend server's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// Limit before, if there was one.
    pub previous: Option<Rate>,
    /// Limit now, if there is one.
    pub limit: Option<Rate>,
}

/// How a gateway may use a server with a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Allowance {
    /// Share of the limit.
    Share(Share),
    /// A request in the slot with this number.
    Probe(u64),
    /// None at present.
    Nothing,
}

/// Gateways that share the limits, and the time by which they take turns.
#[derive(Debug)]
struct Division {
    gateways: Gateways,
    /// Time of day at the origin of this gateway's clock, since 1970.
    clock_origin: Duration,
}

impl Division {
    fn slot_number(&self, now: Time) -> u64 {
        let time_of_day = self.clock_origin + now.since(Time::default());
        time_of_day.as_secs() / PROBE_SLOT.as_secs()
    }

    /// Returns how this gateway may use a server, of whose limit it gets a share at position `rank`.
    fn find_allowance(&self, limit: Rate, rank: usize, now: Time) -> Allowance {
        let rate = limit.per_second();
        // Saturates for limits beyond any number of gateways.
        let sharing = MIN_SHARING.saturating_add(rate as usize);
        if rate > 0.0 && rank < sharing {
            return Allowance::Share(Share {
                rate: rate / sharing.min(self.gateways.count()) as f64,
                burst: BURST,
            });
        }
        let slot = self.slot_number(now);
        match self.gateways.has_turn(slot) {
            true => Allowance::Probe(slot),
            false => Allowance::Nothing,
        }
    }
}

/// Limit of one backend server, with the requests that this gateway may send.
#[derive(Debug)]
struct Limit {
    rate: Rate,
    /// Position of this gateway in the order of those that get a share.
    rank: usize,
    /// When the server named it last.
    named_at: Time,
    bucket: TokenBucket,
    /// Number of the slot of the latest request.
    used_slot: u64,
}

impl Limit {
    fn new(rate: Rate, rank: usize, used_slot: u64, now: Time) -> Limit {
        Limit {
            rate,
            rank,
            named_at: now,
            // This gateway has just sent the request whose answer named the limit.
            bucket: TokenBucket::new(now),
            used_slot,
        }
    }

    /// Whether a request may be sent now.
    fn allows(&self, division: &Division, now: Time) -> bool {
        match division.find_allowance(self.rate, self.rank, now) {
            Allowance::Share(share) => self.bucket.count(share, now) >= 1.0,
            Allowance::Probe(slot) => slot != self.used_slot,
            Allowance::Nothing => false,
        }
    }

    /// Adds what has been saved up until now, before the share changes.
    fn refill(&mut self, division: &Division, now: Time) {
        let share = match division.find_allowance(self.rate, self.rank, now) {
            Allowance::Share(share) => Some(share),
            Allowance::Probe(_) | Allowance::Nothing => None,
        };
        self.bucket.refill(share, now);
    }

    fn record_dispatch(&mut self, division: &Division, now: Time) {
        self.refill(division, now);
        self.bucket.take();
        self.used_slot = division.slot_number(now);
    }
}

/// Limits of the backend servers, as their answers named them last.
#[derive(Debug)]
pub struct ServerLimits {
    division: Division,
    limits: HashMap<AgentId, Limit>,
}

impl ServerLimits {
    /// Creates the limits of the gateway named `own`, which knows of no other gateway.
    pub fn new(own: SmolStr) -> ServerLimits {
        ServerLimits {
            division: Division {
                gateways: Gateways::new(own),
                clock_origin: Duration::ZERO,
            },
            limits: HashMap::new(),
        }
    }

    /// Sets the names of the gateways that share the limits; this one is always among them.
    /// `time_of_day` is the time since 1970, by which the gateways take turns.
    pub fn set_gateways(&mut self, names: BTreeSet<SmolStr>, time_of_day: Duration, now: Time) {
        for limit in self.limits.values_mut() {
            limit.refill(&self.division, now);
        }
        self.division.gateways.replace(names);
        let uptime = now.since(Time::default());
        self.division.clock_origin = time_of_day.saturating_sub(uptime);
        for (server, limit) in &mut self.limits {
            limit.rank = self.division.gateways.find_rank(server);
        }
    }

    /// Returns the number of gateways that share the limits.
    pub fn count_gateways(&self) -> usize {
        self.division.gateways.count()
    }

    /// Records an answer to an attempt that was sent at `sent_at`; it names a limit or none. Returns
    /// the change, if there is one.
    ///
    /// An answer without a limit ends the limit only if it was asked for after the server named it:
    /// answers on different connections can overtake each other.
    pub fn record_answer(
        &mut self,
        server: &AgentId,
        limit: Option<Rate>,
        sent_at: Time,
        now: Time,
    ) -> Option<LimitChange> {
        let known = self.limits.get_mut(server);
        let previous = known.as_ref().map(|known| known.rate);
        match (known, limit) {
            (Some(known), Some(rate)) => {
                known.refill(&self.division, now);
                known.rate = rate;
                known.named_at = now;
            }
            (None, Some(rate)) => {
                let rank = self.division.gateways.find_rank(server);
                let slot = self.division.slot_number(now);
                let limit = Limit::new(rate, rank, slot, now);
                self.limits.insert(server.clone(), limit);
            }
            (Some(known), None) if sent_at > known.named_at => {
                self.limits.remove(server);
            }
            (_, None) => return None,
        }
        (previous != limit).then_some(LimitChange { previous, limit })
    }

    /// Lists the backend servers with a limit.
    pub fn list(&self) -> impl Iterator<Item = (&AgentId, Rate)> {
        self.limits
            .iter()
            .map(|(server, limit)| (server, limit.rate))
    }

    /// Returns the number of backend servers with a limit.
    pub fn count(&self) -> usize {
        self.limits.len()
    }
}

impl SendRule for ServerLimits {
    fn reason(&self) -> Reason {
        Reason::ServerLimit
    }

    fn list_withheld(&self, now: Time) -> Vec<AgentId> {
        let exhausted = self
            .limits
            .iter()
            .filter(|(_, l)| !l.allows(&self.division, now));
        exhausted.map(|(server, _)| server.clone()).collect()
    }

    fn record_dispatch(&mut self, server: &AgentId, now: Time) {
        if let Some(limit) = self.limits.get_mut(server) {
            limit.record_dispatch(&self.division, now);
        }
    }

    fn remove(&mut self, server: &AgentId) {
        self.limits.remove(server);
    }
}
