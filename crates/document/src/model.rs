//! Types of the environment document and lookups in it.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::Deserialize;
use sha2::Digest as _;
use sha2::Sha256;
use siskinbend_types::ByteSize;
use siskinbend_types::Digest;
use siskinbend_types::GroupName;
use siskinbend_types::Organisation as OrganisationName;
use siskinbend_types::ParseError;
use siskinbend_types::Rate;
use siskinbend_types::ServiceName;
use siskinbend_types::Zone;
use siskinbend_types::name::is_valid_name;
use smol_str::SmolStr;
use subtle::ConditionallySelectable;
use subtle::ConstantTimeEq;

use crate::check;
use crate::finding::Findings;

/// Name of an environment, a model, an adapter or a model version; allows the characters of other
/// names.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize, JsonSchema)]
#[serde(try_from = "SmolStr")]
#[schemars(with = "String")]
pub struct Label(SmolStr);

impl Label {
    /// Returns the label as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<SmolStr> for Label {
    type Error = ParseError;

    fn try_from(text: SmolStr) -> Result<Self, ParseError> {
        if is_valid_name(&text) {
            Ok(Self(text))
        } else {
            Err(ParseError::Name(text.into()))
        }
    }
}

impl FromStr for Label {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        SmolStr::new(text).try_into()
    }
}

impl fmt::Display for Label {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// SHA-256 of a bearer token as 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize, JsonSchema)]
#[serde(try_from = "SmolStr")]
#[schemars(with = "String")]
pub struct TokenDigest(pub Digest);

impl TryFrom<SmolStr> for TokenDigest {
    type Error = ParseError;

    fn try_from(text: SmolStr) -> Result<Self, ParseError> {
        text.parse().map(Self)
    }
}

/// The document of one environment.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Name of the environment.
    #[schemars(extend("format" = "name"))]
    pub environment: Label,
    /// Availability zones.
    pub zones: Vec<ZoneEntry>,
    /// Organisations whose requests are served.
    pub organisations: Vec<Organisation>,
    /// Services behind the load balancer.
    pub services: Vec<Service>,
    /// Groups of ranks that serve the model services.
    #[serde(default)]
    pub groups: Vec<Group>,
}

/// An availability zone and its region.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ZoneEntry {
    /// Name of the availability zone.
    #[schemars(extend("format" = "name"))]
    pub name: Zone,
    /// Name of its region.
    #[schemars(extend("format" = "name"))]
    pub region: Label,
}

/// An organisation, its tokens and its limits.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name of the organisation.
    #[schemars(extend("format" = "name"))]
    pub name: OrganisationName,
    /// SHA-256 of each valid token; two or more during a token rotation.
    #[schemars(length(min = 1), extend("items" = {"type": "string", "format": "sha256"}))]
    pub token_digests: Vec<TokenDigest>,
    /// Weight of the organisation's share of a queue, relative to other organisations.
    #[schemars(range(min = 1))]
    pub weight: u32,
    /// Requests per second admitted over all services.
    #[schemars(extend("minimum" = 0.001))]
    pub rate_limit: Rate,
}

/// Whether a service runs a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Model engines.
    Model,
    /// Any other HTTP service.
    Plain,
}

/// Inference phases that the replicas of a model service run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// Whether the engine rejects commands with an outdated fencing number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The engine rejects them.
    Checked,
    /// The engine ignores fencing numbers, so the agent checks them.
    #[default]
    Ignored,
}

/// Handling of requests with an idempotency key while the table service is unavailable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum OnOutage {
    /// The request is refused with the outcome not run.
    #[default]
    Refuse,
    /// The request runs without a claim, so a repeat may run it again.
    Run,
}

/// HTTP method of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize, JsonSchema)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// GET.
    Get,
    /// HEAD.
    Head,
    /// POST.
    Post,
    /// PUT.
    Put,
    /// PATCH.
    Patch,
    /// DELETE.
    Delete,
}

impl Method {
    /// Returns the name in a request line.
    pub fn as_str(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Head => "HEAD",
            Method::Post => "POST",
            Method::Put => "PUT",
            Method::Patch => "PATCH",
            Method::Delete => "DELETE",
        }
    }
}

/// A service and its limits.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service; part of the request path.
    #[schemars(extend("format" = "name"))]
    pub name: ServiceName,
    /// Whether the service runs a model.
    pub kind: ServiceKind,
    /// Model that the replicas run; model services only.
    #[schemars(extend("format" = "name"))]
    pub model: Option<Label>,
    /// Adapter loaded on top of the model; model services only.
    #[schemars(extend("format" = "name"))]
    pub adapter: Option<Label>,
    /// Version of the model; model services only.
    #[schemars(extend("format" = "name"))]
    pub version: Option<Label>,
    /// Inference phases that the replicas run; model services only.
    #[serde(default)]
    pub role: Role,
    /// Availability zones in which the service runs; empty for all.
    #[serde(default)]
    #[schemars(extend("items" = {"type": "string", "format": "name"}))]
    pub zones: Vec<Zone>,
    /// Time that a draining replica has to finish running requests, in milliseconds.
    #[schemars(range(min = 1))]
    pub drain_ms: u64,
    /// Maximum number of queued requests per replica.
    #[schemars(range(min = 1))]
    pub queue_limit: u32,
    /// Maximum number of requests that run concurrently on one replica.
    #[schemars(range(min = 1))]
    pub concurrency: u32,
    /// Whether the engine checks fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// Routes; the one with the longest matching path is used.
    #[schemars(length(min = 1))]
    pub routes: Vec<Route>,
}

/// A route of a service.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// HTTP method of the route.
    pub method: Method,
    /// Path prefix; matches whole path segments of the request path.
    #[schemars(extend("format" = "path"))]
    pub path: SmolStr,
    /// Whether a request may be repeated without further effect.
    pub idempotent: bool,
    /// Timeout of the whole answer in milliseconds.
    #[schemars(range(min = 1))]
    pub timeout_ms: u64,
    /// Maximum time without progress within an answer, in milliseconds.
    #[schemars(range(min = 1))]
    pub stall_ms: u64,
    /// Maximum size of the request body.
    #[schemars(extend("format" = "size"))]
    pub body_limit: ByteSize,
    /// Handling of requests with an idempotency key while the table service is unavailable.
    #[serde(default)]
    pub on_outage: OnOutage,
    /// Retention period of the outcome of a request with an idempotency key, in seconds.
    #[serde(default = "default_retention")]
    #[schemars(range(min = 1))]
    pub key_retention_s: u64,
}

fn default_retention() -> u64 {
    24 * 60 * 60
}

/// A group of ranks that run in lock-step.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Name of the group.
    #[schemars(extend("format" = "name"))]
    pub name: GroupName,
    /// Model service that the group belongs to.
    #[schemars(extend("format" = "name"))]
    pub service: ServiceName,
    /// Number of ranks.
    #[schemars(range(min = 1))]
    pub ranks: u32,
    /// Number of experts per layer.
    #[schemars(range(min = 1))]
    pub experts: u32,
    /// Number of layers that have experts.
    #[schemars(range(min = 1))]
    pub layers: u32,
    /// Number of experts that one rank can hold per layer.
    #[schemars(range(min = 1))]
    pub slots: u32,
    /// Size of the weights of one expert in one layer.
    #[schemars(extend("format" = "size"))]
    pub expert_size: ByteSize,
    /// Bytes per second that the group may load from the weight store.
    #[schemars(extend("format" = "size"))]
    pub load_rate: ByteSize,
    /// Weighs skew against the cost of a placement change.
    pub price: Price,
}

/// Weighs the step time saved against the cost of a placement change.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Price {
    /// Value of avoiding one unit of step-time skew for one step.
    #[schemars(range(min = 0.0))]
    pub skew_weight: f64,
    /// Cost of loading one MiB of weights, in the same unit.
    #[schemars(range(min = 0.0))]
    pub byte_cost: f64,
    /// Number of steps for which the current demand is assumed to last.
    #[schemars(range(min = 1))]
    pub horizon_steps: u64,
}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// Returns all findings, with two exceptions: a syntax error hides other findings, because the
    /// structure after it is not reliable, and an entry with a missing or malformed field is
    /// excluded from the checks that compare entries.
    pub fn parse(text: &str) -> Result<Document, Findings> {
        check::parse_document(text)
    }

    /// Returns the SHA-256 of the text as it is stored, including comments.
    pub fn digest(text: &str) -> Digest {
        Digest(Sha256::digest(text.as_bytes()).into())
    }

    /// Finds the organisation to which a bearer token belongs.
    ///
    /// Compares all digests in constant time, so that the duration does not depend on the token.
    pub fn find_organisation(&self, token: &str) -> Option<&Organisation> {
        let expected = split_words(&Sha256::digest(token.as_bytes()).into());
        let mut found = u64::MAX;
        for (index, organisation) in (0u64..).zip(&self.organisations) {
            for digest in &organisation.token_digests {
                let words = split_words(&digest.0.0);
                let difference = (0..4).fold(0, |sum, i| sum | (words[i] ^ expected[i]));
                found.conditional_assign(&index, difference.ct_eq(&0));
            }
        }
        self.organisations.get(usize::try_from(found).ok()?)
    }

    /// Finds a service by name.
    pub fn find_service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name.as_str() == name)
    }

    /// Returns the longest drain time of a service; `None` if there is no service.
    pub fn longest_drain(&self) -> Option<Duration> {
        let longest = self.services.iter().map(|s| s.drain_ms).max();
        longest.map(Duration::from_millis)
    }
}

/// Splits a digest into words. Comparing words instead of bytes keeps a lookup over the planned 820
/// organisations in the range of microseconds.
fn split_words(bytes: &[u8; 32]) -> [u64; 4] {
    std::array::from_fn(|i| {
        let mut word = [0; 8];
        word.copy_from_slice(&bytes[8 * i..8 * (i + 1)]);
        u64::from_ne_bytes(word)
    })
}

impl Service {
    /// Finds the route of a request: the route of the same method whose path is the longest prefix
    /// of the request path in whole segments. `path` must not include the query.
    ///
    /// A path with a dot segment matches no route. A backend server that resolves the segment would
    /// run another operation than the one whose limits and idempotency were applied.
    pub fn find_route(&self, method: &str, path: &str) -> Option<&Route> {
        let decoded = path
            .to_ascii_lowercase()
            .replace("%2e", ".")
            .replace("%2f", "/");
        if decoded
            .split(['/', '\\'])
            .any(|part| part == "." || part == "..")
        {
            return None;
        }
        let matches = |route: &&Route| {
            let rest = path.strip_prefix(route.path.trim_end_matches('/'));
            route.method.as_str() == method
                && rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        self.routes
            .iter()
            .filter(matches)
            .max_by_key(|route| route.path.len())
    }
}
