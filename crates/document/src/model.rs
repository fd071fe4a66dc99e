//! Types of the document and look-ups in it.

use std::fmt;
use std::str::FromStr;

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

/// Name of an environment, a model, an adapter or a model version; same characters as other names.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Deserialize, JsonSchema)]
#[serde(try_from = "SmolStr")]
#[schemars(with = "String")]
pub struct Label(SmolStr);

impl Label {
    /// The label as text.
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

/// SHA-256 of a bearer token, written as 64 hexadecimal digits.
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

/// An organisation, its tokens and its share.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Name of the organisation.
    #[schemars(extend("format" = "name"))]
    pub name: OrganisationName,
    /// SHA-256 of each valid token; two or more while a token is being replaced.
    #[schemars(length(min = 1), extend("items" = {"type": "string", "format": "sha256"}))]
    pub token_digests: Vec<TokenDigest>,
    /// Share of a queue relative to other organisations.
    #[schemars(range(min = 1))]
    pub weight: u32,
    /// Requests a second admitted over all services.
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

/// Part of inference that the replicas of a model service do.
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

/// Whether the engine itself rejects commands with an old fencing number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The engine rejects them.
    Checked,
    /// The engine ignores the number, so that the agent enforces it.
    #[default]
    Ignored,
}

/// What happens to keyed calls while the table service is down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum OnOutage {
    /// The call is refused as not run.
    #[default]
    Refuse,
    /// The call runs without a claim; a repeat may run it again.
    Run,
}

/// Method of a route.
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
    /// The name in a request line.
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
    /// Whether it runs a model.
    pub kind: ServiceKind,
    /// Model that its replicas run; model services only.
    #[schemars(extend("format" = "name"))]
    pub model: Option<Label>,
    /// Adapter loaded on top of the model; model services only.
    #[schemars(extend("format" = "name"))]
    pub adapter: Option<Label>,
    /// Version of the model; model services only.
    #[schemars(extend("format" = "name"))]
    pub version: Option<Label>,
    /// Role of its replicas; model services only.
    #[serde(default)]
    pub role: Role,
    /// Availability zones in which it runs; empty for all.
    #[serde(default)]
    #[schemars(extend("items" = {"type": "string", "format": "name"}))]
    pub zones: Vec<Zone>,
    /// Time for running work to finish while a replica drains, in milliseconds.
    #[schemars(range(min = 1))]
    pub drain_ms: u64,
    /// Requests that wait at one replica.
    #[schemars(range(min = 1))]
    pub queue_limit: u32,
    /// Requests that run at once on one replica.
    #[schemars(range(min = 1))]
    pub concurrency: u32,
    /// Whether the engine checks fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
    /// Routes; the longest matching path wins.
    #[schemars(length(min = 1))]
    pub routes: Vec<Route>,
}

/// A route of a service.
#[derive(Debug, Clone, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Method of the route.
    pub method: Method,
    /// Path that a request path equals or continues after a slash.
    #[schemars(extend("format" = "path"))]
    pub path: SmolStr,
    /// Whether a repeat has no further effect.
    pub idempotent: bool,
    /// Longest duration of a whole answer in milliseconds.
    #[schemars(range(min = 1))]
    pub timeout_ms: u64,
    /// Longest silence within an answer in milliseconds.
    #[schemars(range(min = 1))]
    pub stall_ms: u64,
    /// Largest request body.
    #[schemars(extend("format" = "size"))]
    pub body_limit: ByteSize,
    /// What happens to keyed calls while the table service is down.
    #[serde(default)]
    pub on_outage: OnOutage,
    /// How long the outcome of a keyed call is kept, in seconds.
    #[serde(default = "default_retention")]
    #[schemars(range(min = 1))]
    pub key_retention_s: u64,
}

fn default_retention() -> u64 {
    24 * 60 * 60
}

/// A group of ranks that advance in lock-step.
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
    /// Experts in each layer.
    #[schemars(range(min = 1))]
    pub experts: u32,
    /// Layers with experts.
    #[schemars(range(min = 1))]
    pub layers: u32,
    /// Experts that a rank can hold in each layer.
    #[schemars(range(min = 1))]
    pub slots: u32,
    /// Weights of one expert in one layer.
    #[schemars(extend("format" = "size"))]
    pub expert_size: ByteSize,
    /// Bytes a second that the group may load from the weight store.
    #[schemars(extend("format" = "size"))]
    pub load_rate: ByteSize,
    /// Price of skew against the cost of a change.
    pub price: Price,
}

/// Weighs step time saved against the cost of a placement change.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Price {
    /// Worth of a unit of step-time skew avoided for one step.
    #[schemars(range(min = 0.0))]
    pub skew_weight: f64,
    /// Cost of loading one MiB of weights, in the same unit.
    #[schemars(range(min = 0.0))]
    pub byte_cost: f64,
    /// Steps for which the demand is assumed to last.
    #[schemars(range(min = 1))]
    pub horizon_steps: u64,
}

impl Document {
    /// Reads and checks a document.
    ///
    /// # Errors
    ///
    /// Returns every finding. Only a syntax error hides others, because the structure behind it is
    /// not reliable, and an entry with a missing or malformed field is left out of the checks that
    /// compare entries.
    pub fn parse(text: &str) -> Result<Document, Findings> {
        check::parse_document(text)
    }

    /// Returns the SHA-256 of the text as it is stored, comments included.
    pub fn digest(text: &str) -> Digest {
        Digest(Sha256::digest(text.as_bytes()).into())
    }

    /// Finds the organisation to which a bearer token belongs.
    ///
    /// Every digest is compared, so that the time does not depend on the token.
    pub fn find_organisation(&self, token: &str) -> Option<&Organisation> {
        let wanted = split_words(&Sha256::digest(token.as_bytes()).into());
        let mut found = u64::MAX;
        for (index, organisation) in (0u64..).zip(&self.organisations) {
            for digest in &organisation.token_digests {
                let words = split_words(&digest.0.0);
                let difference = (0..4).fold(0, |sum, i| sum | (words[i] ^ wanted[i]));
                found.conditional_assign(&index, difference.ct_eq(&0));
            }
        }
        self.organisations.get(usize::try_from(found).ok()?)
    }

    /// Finds a service by name.
    pub fn find_service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| s.name.as_str() == name)
    }
}

/// Splits a digest into words: comparing words instead of bytes keeps a look-up over the planned
/// 820 organisations in the range of microseconds.
fn split_words(bytes: &[u8; 32]) -> [u64; 4] {
    std::array::from_fn(|i| {
        let mut word = [0; 8];
        word.copy_from_slice(&bytes[8 * i..8 * (i + 1)]);
        u64::from_ne_bytes(word)
    })
}

impl Service {
    /// Finds the route of a request: same method and the longest path that equals the request path
    /// or is continued by it after a slash. A query is not part of `path`.
    ///
    /// A path with a dot segment has no route: a backend server that resolves the segment would
    /// run another operation than the one whose limits and right to repeat apply.
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
