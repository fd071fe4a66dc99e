//! Configuration of a deployment: routes, services, API keys and limits.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use siskinbend_types::Organisation;
use siskinbend_types::Rate;
use siskinbend_types::RegionSet;
use siskinbend_types::ServiceName;
use siskinbend_types::Version;
use smol_str::SmolStr;

/// How a request may be retried, and whether its response is an event stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// An event stream that another replica can resume after the last complete event.
    ResumableStream,
    /// An event stream that may not be retried.
    Stream,
}

impl RequestKind {
    /// Whether the request may be sent to another replica although the first may have run it.
    pub fn is_retryable(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::ResumableStream)
    }

    /// Whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RequestKind::ResumableStream | RequestKind::Stream)
    }
}

/// Share of a route's requests that one service receives.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TrafficShare {
    /// Service that receives the requests.
    pub service: ServiceName,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Routing rule for one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Route {
    /// Host name in lower case.
    pub host: SmolStr,
    /// Path prefix, with a slash at both ends.
    pub prefix: SmolStr,
    /// Services that receive the requests.
    pub shares: Vec<TrafficShare>,
    /// How requests may be retried.
    pub kind: RequestKind,
    /// Maximum time until a request is answered.
    pub timeout: Duration,
    /// Target latency of the response; for streams, of the first event.
    pub latency_goal: Duration,
    /// Target for the time between two events of a stream.
    pub event_gap: Option<Duration>,
    /// Maximum number of replicas to which one request is sent, including the first.
    pub max_attempts: u32,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Whether requests are accepted without an API key.
    pub public: bool,
    /// Regions whose backend servers may serve the requests.
    pub regions: RegionSet,
}

/// Expert layout of a service's engines.
#[derive(Debug, Clone, PartialEq)]
pub struct ExpertLayout {
    /// Number of layer sets, each with its own placement.
    pub sets: u16,
    /// Number of experts in each set.
    pub experts: u16,
    /// Number of experts of a set that fit on one rank.
    pub rank_capacity: u16,
    /// Maximum number of experts of a set that one preparation may copy to a rank.
    pub max_copies: u16,
    /// Size of one expert in MB.
    pub expert_mb: f64,
    /// Bandwidth at which a rank copies experts, in Mbit/s; 0 if unknown.
    pub copy_mbps: f64,
}

impl Hash for ExpertLayout {
    fn hash<State>(&self, state: &mut State)
    where
        State: Hasher,
    {
        let counts = [self.sets, self.experts, self.rank_capacity, self.max_copies];
        counts.hash(state);
        self.expert_mb.to_bits().hash(state);
        self.copy_mbps.to_bits().hash(state);
    }
}

const BITS_PER_BYTE: f64 = 8.0;

impl ExpertLayout {
    /// Time in which a rank copies one expert; zero if the size or the bandwidth is unknown.
    pub fn copy_time(&self) -> Duration {
        let seconds = self.expert_mb * BITS_PER_BYTE / self.copy_mbps;
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }
}

/// Service that routes refer to.
#[derive(Debug, Clone, PartialEq, Hash)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Expert layout, if the service runs a model.
    pub engine: Option<ExpertLayout>,
    /// What its backend servers tolerate after their start; `None` if they need no slow start.
    pub slow_start: Option<SlowStartLimit>,
}

/// What the backend servers of a service tolerate after their start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowStartLimit {
    /// Time for which a backend server is cold after its start.
    pub duration: Duration,
    /// Requests that a cold backend server tolerates, from all gateways together.
    pub rate: Rate,
}

impl Hash for SlowStartLimit {
    fn hash<State>(&self, state: &mut State)
    where
        State: Hasher,
    {
        self.duration.hash(state);
        self.rate.per_second().to_bits().hash(state);
    }
}

/// Owner of an API key.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct KeyOwner {
    /// Organisation that the key belongs to.
    pub organisation: Organisation,
    /// Priority of its requests, which overrides that of the route; 0 is the highest.
    pub priority: Option<u8>,
    /// Regions whose backend servers may serve its requests.
    pub regions: RegionSet,
}

/// Size and time limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallerLimits {
    /// Maximum size of the request line and headers.
    pub head_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Maximum time to receive a request body.
    pub receive_timeout: Duration,
    /// Maximum time for which a connection may be idle.
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

/// Version of the deployment's configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Config {
    /// Increases with every change.
    pub version: Version,
    /// Routes by host, longest prefix first.
    pub routes: HashMap<SmolStr, Vec<Route>>,
    /// Services that the routes refer to.
    pub services: Vec<Service>,
    /// Owners by API key; `None` if no request needs a key.
    pub keys: Option<HashMap<SmolStr, KeyOwner>>,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
}

impl Config {
    /// Creates a configuration with its routes grouped by host and sorted by prefix length.
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

    /// Finds the route with the longest prefix that matches the path; the port in `host` is
    /// ignored.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.split(':').next().unwrap_or(host);
        let routes = match self.routes.get(name) {
            Some(routes) => routes,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|r| path.starts_with(r.prefix.as_str()))
    }

    /// Returns a hash of the content, which differs between configurations that were given the same
    /// version.
    pub fn fingerprint(&self) -> u64 {
        let routes = sum_hashes(self.routes.iter());
        let keys = self.keys.as_ref().map(|keys| sum_hashes(keys.iter()));
        hash_one((routes, keys, &self.services, &self.limits))
    }

    /// Lists the services whose stream routes have different priorities. Priorities of organisations
    /// don't count: they need not differ within a service.
    pub fn list_prioritised(&self) -> BTreeSet<ServiceName> {
        let routes = self.routes.values().flatten();
        let mut priorities: BTreeMap<&ServiceName, BTreeSet<u8>> = BTreeMap::new();
        for route in routes.filter(|r| r.kind.is_stream()) {
            for share in &route.shares {
                let own = priorities.entry(&share.service).or_default();
                own.insert(route.priority);
            }
        }
        priorities.retain(|_, own| own.len() > 1);
        priorities.into_keys().cloned().collect()
    }

    /// Finds a service by its name.
    pub fn find_service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|s| &s.name == name)
    }
}

impl Route {
    /// Chooses a service by weight; `draw` is a random number.
    pub fn choose_service(&self, draw: u32) -> Option<&ServiceName> {
        let total: u32 = self.shares.iter().map(|s| s.weight).sum();
        let mut remaining = draw % total.max(1);
        for share in &self.shares {
            if remaining < share.weight {
                return Some(&share.service);
            }
            remaining -= share.weight;
        }
        self.shares.first().map(|s| &s.service)
    }
}

fn hash_one<Value>(value: Value) -> u64
where
    Value: Hash,
{
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Combines the hashes of the entries of a map, whatever their order.
fn sum_hashes<Entry>(entries: impl Iterator<Item = Entry>) -> u64
where
    Entry: Hash,
{
    entries.map(hash_one).fold(0, u64::wrapping_add)
}
