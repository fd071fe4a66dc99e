//! The configuration in force: routes, services, organisations and limits.

use std::collections::HashMap;
use std::time::Duration;

use siskinbend_types::Organisation;
use siskinbend_types::ServiceName;
use siskinbend_types::Version;
use smol_str::SmolStr;

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
    /// An event stream that may go on at another replica after its last complete event.
    ResumableStream,
    /// An event stream that may not be repeated.
    Stream,
}

impl RequestKind {
    /// Whether a second replica may run the request after the first may have.
    pub fn is_retryable(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::ResumableStream)
    }

    /// Whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::ResumableStream | RequestKind::Stream)
    }
}

/// One service that takes a part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrafficShare {
    /// The service.
    pub service: ServiceName,
    /// Its part relative to the other services of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Host name that callers give, in lower case.
    pub host: SmolStr,
    /// Beginning of the path, with a slash at both ends.
    pub prefix: SmolStr,
    /// Services that take its requests.
    pub shares: Vec<TrafficShare>,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time for which a request may be kept waiting.
    pub timeout: Duration,
    /// Time in which an answer is expected; for streams, its first event.
    pub latency_goal: Duration,
    /// Longest pause between two events of a stream that is still in time.
    pub event_gap: Option<Duration>,
    /// Most replicas to which one request may be sent.
    pub max_attempts: u32,
    /// Rank of its requests, 0 first.
    pub priority: u8,
    /// Whether requests need no key.
    pub public: bool,
}

/// Expert layout of a service's engines.
#[derive(Debug, Clone, PartialEq)]
pub struct ExpertLayout {
    /// Sets of layers, each with its own placement.
    pub sets: u16,
    /// Experts in each set.
    pub experts: u16,
    /// Experts of a set that a rank can hold.
    pub rank_capacity: u16,
    /// Experts of a set that one preparation may copy to a rank.
    pub spare: u16,
    /// Size of one expert in MB.
    pub expert_mb: f64,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Its engines, if it is a model service.
    pub engine: Option<ExpertLayout>,
}

/// What a key stands for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyOwner {
    /// The organisation that holds the key.
    pub organisation: Organisation,
    /// Rank of its requests, 0 first; it goes before the rank of the route.
    pub priority: Option<u8>,
}

/// Limits on what a caller may send and how long it may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Most bytes of a request's head.
    pub head_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for a request to arrive.
    pub receive_timeout: Duration,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            receive_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// Grows with every change.
    pub version: Version,
    /// The routes by host, the longest prefix first.
    pub routes: HashMap<SmolStr, Vec<Route>>,
    /// The services.
    pub services: Vec<Service>,
    /// Owners of the keys; `None` if requests need no key.
    pub keys: Option<HashMap<SmolStr, KeyOwner>>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

impl Config {
    /// A version with its routes put in the order in which they are searched.
    pub fn new(version: Version, routes: Vec<Route>) -> Config {
        let mut by_host: HashMap<SmolStr, Vec<Route>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        }
        Config {
            version,
            routes: by_host,
            ..Config::default()
        }
    }

    /// The route with the longest prefix that begins the path.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// A service by its name.
    pub fn find_service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|s| &s.name == name)
    }
}

impl Route {
    /// The service for a request; `draw` is a random number.
    pub fn choose_service(&self, draw: u32) -> Option<&ServiceName> {
        let total: u32 = self.shares.iter().map(|s| s.weight).sum();
        let mut rest = draw % total.max(1);
        for share in &self.shares {
            if rest < share.weight {
                return Some(&share.service);
            }
            rest -= share.weight;
        }
        self.shares.first().map(|s| &s.service)
    }
}
