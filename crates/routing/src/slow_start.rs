//! Slow start: limits the requests to backend servers that have just started, and are cold.
//!
//! A cold server is idle beside others that are full, so that every gateway would choose it. The
//! rate that it tolerates is divided between the gateways; one without a share sends it nothing.
//! After the cold time the rate doubles a few times before the limit ends, so that the gateways do
//! not fill the idle server at once.

mod server;
mod share;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use siskinbend_types::AgentId;
use siskinbend_types::Incarnation;
use siskinbend_types::Rate;
use siskinbend_types::Reason;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;
use smol_str::SmolStr;

use crate::SendRule;
use crate::shared_rate::Gateways;
use crate::shared_rate::Share;
use crate::shared_rate::TokenBucket;
use server::Server;

pub use share::Tolerance;

/// Number of times that the tolerated rate doubles after the cold time.
const DOUBLINGS: u32 = 3;
/// Time between two of them, and between the last one and the end of the limit.
const DOUBLING_TIME: Duration = Duration::from_secs(1);

/// What the backend servers of a service tolerate after their start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Time for which a backend server is cold after its start.
    pub duration: Duration,
    /// Requests that a cold backend server tolerates, from all gateways together.
    pub rate: Rate,
}

/// Registry entry of a backend server.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Run of the backend server; 0 if unknown.
    pub run: Incarnation,
    /// Time for which it is still cold.
    pub cold_for: Duration,
}

/// Why a backend server counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Its registry entry says so.
    Registry,
    /// One of its answers says so.
    Answer,
    /// Its run appeared in the registry.
    Start,
    /// Its zone was reopened after an evacuation.
    Reopening,
    /// A connection to it failed, so that it may have restarted.
    Failure,
}

impl Cause {
    /// Returns the name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::Registry => "registry",
            Cause::Answer => "answer",
            Cause::Start => "start",
            Cause::Reopening => "reopening",
            Cause::Failure => "failure",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Cold backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdServer {
    /// Id of the server.
    pub id: AgentId,
    /// Its service.
    pub service: ServiceName,
    /// Time left until it is warm. While an answer is awaited after a failed connection, the time
    /// from that answer on.
    pub left: Duration,
    /// Why it counts as cold.
    pub cause: Cause,
}

/// Change of a backend server since the changes were taken last.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// It turned cold.
    Cold(ColdServer),
    /// Its cold time ended.
    Warm {
        /// Id of the server.
        id: AgentId,
        /// Its service.
        service: ServiceName,
    },
}

/// Limits of the cold backend servers.
#[derive(Debug)]
pub struct SlowStart {
    tolerance: Tolerance,
    gateways: Gateways,
    limits: HashMap<ServiceName, Limit>,
    servers: HashMap<AgentId, Server>,
    /// Whether the registry has been read completely. The servers of the first read may have started
    /// long before.
    has_read: bool,
}

impl SlowStart {
    /// Creates the limits of the gateway named `own`, which has not read the list of gateways.
    pub fn new(own: SmolStr, tolerance: Tolerance) -> SlowStart {
        SlowStart {
            tolerance,
            gateways: Gateways::new(own),
            limits: HashMap::new(),
            servers: HashMap::new(),
            has_read: false,
        }
    }

    /// Whether any service needs a slow start.
    pub fn is_configured(&self) -> bool {
        !self.limits.is_empty()
    }

    /// Sets the services whose backend servers need a slow start.
    pub fn configure(&mut self, limits: HashMap<ServiceName, Limit>) {
        self.limits = limits;
    }

    /// Sets the names of the gateways that share the rates; this one is always among them.
    pub fn set_gateways(&mut self, names: BTreeSet<SmolStr>) {
        self.gateways.replace(names);
        for (id, server) in &mut self.servers {
            server.rank = self.gateways.find_rank(id);
        }
    }

    /// Records that a registry entry appeared or changed.
    pub fn observe(&mut self, id: &AgentId, entry: &Entry, now: Time) {
        match self.servers.get_mut(id) {
            Some(server) => server.observe(entry, !self.has_read, now),
            None => {
                let rank = self.gateways.find_rank(id);
                let server = Server::new(entry, rank, !self.has_read, now);
                self.servers.insert(id.clone(), server);
            }
        }
    }

    /// Records that the registry has been read completely, and all its entries were observed.
    pub fn record_read(&mut self) {
        self.has_read = true;
    }

    /// Records a failed or broken connection to a run of a backend server.
    pub fn record_failure(&mut self, id: &AgentId, run: Incarnation, now: Time) {
        if let Some(server) = self.servers.get_mut(id) {
            server.record_failure(run, now);
        }
    }

    /// Records an answer of a backend server to an attempt that was sent at `sent_at`, and the cold
    /// time that it states, if any.
    pub fn record_answer(
        &mut self,
        id: &AgentId,
        cold_for: Option<Duration>,
        sent_at: Time,
        now: Time,
    ) {
        if let Some(server) = self.servers.get_mut(id) {
            server.record_answer(cold_for, sent_at, now);
        }
    }

    /// Records that the zone of backend servers was reopened after an evacuation. They may have
    /// started meanwhile.
    pub fn record_reopened(&mut self, servers: &[AgentId], now: Time) {
        for id in servers {
            if let Some(server) = self.servers.get_mut(id) {
                server.record_reopened(now);
            }
        }
    }

    /// Returns when the next request may be sent to a cold backend server of a service; `None` if it
    /// has none.
    pub fn next_permit(&self, service: &ServiceName, now: Time) -> Option<Time> {
        let limit = self.limits.get(service)?;
        let servers = self.servers.values().filter(|s| {
            let is_known = s.service == *service && !s.is_removed;
            is_known && self.find_doublings(s, limit, now).is_some()
        });
        servers
            .filter_map(|s| self.find_permit(s, limit, now))
            .min()
    }

    /// Returns when the next request may be sent to a backend server that was cold.
    fn find_permit(&self, server: &Server, limit: &Limit, now: Time) -> Option<Time> {
        let (end, _) = self.find_end(server, limit)?;
        let step = |doublings: u32| {
            let starts = match doublings.checked_sub(1) {
                None => now,
                Some(before) => (end + DOUBLING_TIME * before).max(now),
            };
            let share = self.find_share(server, limit, doublings);
            let permit = server.bucket.next_token(share)?.max(starts);
            (permit < end + DOUBLING_TIME * doublings).then_some(permit)
        };
        let permit = (0..=DOUBLINGS).find_map(step);
        Some(permit.unwrap_or(end + DOUBLING_TIME * DOUBLINGS))
    }

    /// Lists the cold backend servers.
    pub fn list_cold(&self, now: Time) -> Vec<ColdServer> {
        let cold = self.servers.iter();
        cold.filter_map(|(id, s)| self.describe_cold(id, s, now))
            .collect()
    }

    /// Returns the changes since the last call, and forgets servers that were removed long ago.
    pub fn take_changes(&mut self, now: Time) -> Vec<Change> {
        self.servers.retain(|_, s| !s.is_expired(now));
        let mut changes = Vec::new();
        for (id, server) in &self.servers {
            match (server.was_cold, self.describe_cold(id, server, now)) {
                (false, Some(cold)) => changes.push(Change::Cold(cold)),
                (true, None) => changes.push(Change::Warm {
                    id: id.clone(),
                    service: server.service.clone(),
                }),
                _ => {}
            }
        }
        for change in &changes {
            let (id, is_cold) = match change {
                Change::Cold(cold) => (&cold.id, true),
                Change::Warm { id, .. } => (id, false),
            };
            if let Some(server) = self.servers.get_mut(id) {
                server.was_cold = is_cold;
            }
        }
        changes
    }

    fn describe_cold(&self, id: &AgentId, server: &Server, now: Time) -> Option<ColdServer> {
        let limit = self.find_limit(server)?;
        let (end, cause) = self.find_end(server, limit)?;
        let left = match end {
            Time(u64::MAX) => limit.duration,
            end => end.since(now),
        };
        (now < end).then(|| ColdServer {
            id: id.clone(),
            service: server.service.clone(),
            left,
            cause,
        })
    }

    /// Returns the limit of a registered backend server's service.
    fn find_limit(&self, server: &Server) -> Option<&Limit> {
        match server.is_removed {
            false => self.limits.get(&server.service),
            true => None,
        }
    }

    /// Returns the end of the cold time and its cause; `None` if the server was never cold.
    fn find_end(&self, server: &Server, limit: &Limit) -> Option<(Time, Cause)> {
        let can_send = self.find_share(server, limit, 0).rate > 0.0;
        server.find_end(limit, can_send)
    }

    /// Returns how often the tolerated rate has doubled; `None` if there is no limit.
    fn find_doublings(&self, server: &Server, limit: &Limit, now: Time) -> Option<u32> {
        let (end, _) = self.find_end(server, limit)?;
        if now < end {
            return Some(0);
        }
        let since = now.since(end);
        (1..=DOUBLINGS).find(|doublings| since < DOUBLING_TIME * *doublings)
    }

    /// Returns this gateway's share of a server's tolerated rate after some doublings.
    fn find_share(&self, server: &Server, limit: &Limit, doublings: u32) -> Share {
        let rate = limit.rate.per_second() * f64::from(1_u32 << doublings);
        let rate = match self.gateways.is_known() {
            true => share::find_rate(rate, self.tolerance, server.rank, self.gateways.count()),
            false => share::find_unlisted_rate(rate),
        };
        Share {
            rate,
            // Quotas hold for evenly spaced requests.
            burst: Duration::ZERO,
        }
    }

    /// Whether a request may be sent to a backend server now.
    fn allows(&self, server: &Server, now: Time) -> bool {
        let Some(limit) = self.find_limit(server) else {
            return true;
        };
        match self.find_doublings(server, limit, now) {
            None => true,
            Some(doublings) => {
                let share = self.find_share(server, limit, doublings);
                server.bucket.count(share, now) >= 1.0
            }
        }
    }
}

impl SendRule for SlowStart {
    fn reason(&self) -> Reason {
        Reason::ColdStart
    }

    fn list_withheld(&self, now: Time) -> Vec<AgentId> {
        if self.limits.is_empty() {
            return Vec::new();
        }
        let withheld = self.servers.iter().filter(|(_, s)| !self.allows(s, now));
        withheld.map(|(id, _)| id.clone()).collect()
    }

    fn record_dispatch(&mut self, server: &AgentId, now: Time) {
        if let Some(server) = self.servers.get_mut(server) {
            // The bucket holds a single request. Those to a warm server count as well, because it
            // may turn cold right after them.
            server.bucket = TokenBucket::new(now);
        }
    }

    fn remove(&mut self, server: &AgentId) {
        if let Some(server) = self.servers.get_mut(server) {
            server.is_removed = true;
        }
    }
}
