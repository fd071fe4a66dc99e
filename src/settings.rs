//! Settings from flags and environment variables, defined once for both.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use bpaf::Bpaf;
use http::Uri;
use http::uri::Authority;

use siskinbend_control::promotion::Environment;
use siskinbend_groups::RankIndex;
use siskinbend_placement::PolicyKind;
use siskinbend_types::AgentId;
use siskinbend_types::GroupName;
use siskinbend_types::ServiceName;
use siskinbend_types::Zone;

use crate::command::document::DocumentCommand;
use crate::command::document::document_command;
use crate::command::explain::ExplainFlags;
use crate::command::explain::explain_flags;
use crate::command::status::StatusFlags;
use crate::command::status::status_flags;
use crate::limits;

/// Flags without an environment variable.
const FLAGS_ONLY: [&str; 2] = ["--agent", "--rank-peer"];

/// Load balancer for expert-parallel model groups and the services beside them
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub enum Command {
    /// Runs an entry, which accepts the callers' requests
    #[bpaf(command)]
    Entry(#[bpaf(external(entry_flags))] EntryFlags),
    /// Runs an agent next to one backend server
    #[bpaf(command)]
    Agent(#[bpaf(external(agent_flags))] AgentFlags),
    /// Runs a gateway, which accepts the callers' requests and sends them to backend servers itself
    #[bpaf(command)]
    Gateway(#[bpaf(external(platform_flags))] PlatformFlags),
    /// Runs an agent next to one rank of an engine group
    #[bpaf(command("rank-agent"))]
    RankAgent(#[bpaf(external(platform_flags))] PlatformFlags),
    /// Merges the log lines of several processes about one request into one timeline
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_flags))] ExplainFlags),
    /// Checks the settings file of a platform
    #[bpaf(command("check-settings"))]
    CheckSettings(#[bpaf(external(platform_flags))] PlatformFlags),
    /// Checks documents and activates them
    #[bpaf(command)]
    Document(#[bpaf(external(document_command))] DocumentCommand),
    /// Shows the status of processes
    #[bpaf(command)]
    Status(#[bpaf(external(status_flags))] StatusFlags),
}

/// Flags of every process, kept as text so that one check reports all errors.
#[derive(Debug, Clone, Default, Bpaf)]
pub struct CommonFlags {
    /// Name of this process, unique in the fleet
    #[bpaf(env("SISKINBEND_NAME"), argument("NAME"))]
    pub name: Option<String>,
    /// Availability zone of this VM
    #[bpaf(env("SISKINBEND_ZONE"), argument("ZONE"))]
    pub zone: Option<String>,
    /// Address of the admin pages
    #[bpaf(env("SISKINBEND_ADMIN"), argument("IP:PORT"))]
    pub admin: Option<String>,
    /// Address on which this process serves its callers
    #[bpaf(env("SISKINBEND_LISTEN"), argument("IP:PORT"))]
    pub listen: Option<String>,
    /// PEM file with the fleet's CA certificates
    #[bpaf(env("SISKINBEND_CA"), argument("FILE"))]
    pub ca: Option<String>,
    /// PEM file with this process's certificate chain
    #[bpaf(env("SISKINBEND_CERT"), argument("FILE"))]
    pub cert: Option<String>,
    /// PEM file with this process's private key
    #[bpaf(env("SISKINBEND_KEY"), argument("FILE"))]
    pub key: Option<String>,
    /// Address of the platform's services
    #[bpaf(env("SISKINBEND_PLATFORM"), argument("URL"))]
    pub platform: Option<String>,
    /// Environment whose document this process uses
    #[bpaf(env("SISKINBEND_ENVIRONMENT"), argument("NAME"))]
    pub environment: Option<String>,
    /// Document file to use when no platform is given
    #[bpaf(env("SISKINBEND_DOCUMENT"), argument("FILE"))]
    pub document: Option<String>,
    /// Least severe log level: error, warn, info, debug
    #[bpaf(env("SISKINBEND_LOG"), argument("LEVEL"))]
    pub log: Option<String>,
    /// Number of worker threads; by default one per core
    #[bpaf(env("SISKINBEND_THREADS"), argument("N"))]
    pub threads: Option<String>,
}

/// Flags of the roles that read their settings from a file of the platform.
#[derive(Debug, Clone, Bpaf)]
pub struct PlatformFlags {
    /// Settings file of the platform
    #[bpaf(env("SISKINBEND_CONFIG"), argument("FILE"))]
    pub settings: PathBuf,
    /// Least severe log level: error, warn, info, debug
    #[bpaf(
        env("SISKINBEND_LOG"),
        argument("LEVEL"),
        fallback(log::LevelFilter::Info)
    )]
    pub log: log::LevelFilter,
}

/// Flags of an entry.
#[derive(Debug, Clone, Default, Bpaf)]
pub struct EntryFlags {
    #[bpaf(external(common_flags))]
    /// Flags of every process.
    pub common: CommonFlags,
    /// An agent that is always known, in addition to those on the platform's list
    #[bpaf(argument("NAME=IP:PORT"))]
    pub agent: Vec<String>,
}

/// Flags of an agent.
#[derive(Debug, Clone, Default, Bpaf)]
pub struct AgentFlags {
    #[bpaf(external(common_flags))]
    /// Flags of every process.
    pub common: CommonFlags,
    /// Address of the backend server
    #[bpaf(env("SISKINBEND_BACKEND"), argument("URL"))]
    pub backend: Option<String>,
    /// Service that the backend server belongs to
    #[bpaf(env("SISKINBEND_SERVICE"), argument("NAME"))]
    pub service: Option<String>,
    /// Group of ranks that the backend server belongs to
    #[bpaf(env("SISKINBEND_GROUP"), argument("NAME"))]
    pub group: Option<String>,
    /// Rank of the backend server in its group, from 0
    #[bpaf(env("SISKINBEND_RANK"), argument("N"))]
    pub rank: Option<String>,
    /// Agent of a rank of the group; given once per rank, this one may be omitted
    #[bpaf(argument("N=IP:PORT"))]
    pub rank_peer: Vec<String>,
    /// Interval of count reports and placement decisions in milliseconds; by default 10000
    #[bpaf(env("SISKINBEND_REPORT_MS"), argument("MS"))]
    pub report_ms: Option<String>,
    /// Placement policy: priced (default), replan or static
    #[bpaf(env("SISKINBEND_POLICY"), argument("POLICY"))]
    pub policy: Option<String>,
}

/// One error in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// Name of the flag.
    pub flag: &'static str,
    /// Description of the error.
    pub problem: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if FLAGS_ONLY.contains(&self.flag) {
            return write!(f, "{}: {}", self.flag, self.problem);
        }
        let variable = self.flag.trim_start_matches('-').replace('-', "_");
        write!(
            f,
            "{} (SISKINBEND_{}): {}",
            self.flag,
            variable.to_uppercase(),
            self.problem
        )
    }
}

/// Checked settings of every process.
#[derive(Debug, Clone)]
pub struct Common {
    /// Name of this process.
    pub name: AgentId,
    /// Availability zone of this VM.
    pub zone: Zone,
    /// Address of the admin pages.
    pub admin: SocketAddr,
    /// Address on which this process serves its callers.
    pub listen: SocketAddr,
    /// The fleet's CA certificates.
    pub ca: PathBuf,
    /// This process's certificate chain.
    pub cert: PathBuf,
    /// This process's private key.
    pub key: PathBuf,
    /// Address of the platform's services.
    pub platform: Option<Authority>,
    /// Environment whose document this process uses.
    pub environment: Environment,
    /// Document file to use when no platform is given.
    pub document: Option<PathBuf>,
    /// Least severe log level.
    pub log: log::LevelFilter,
    /// Number of worker threads.
    pub threads: Option<usize>,
}

/// Checked settings of an entry.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Settings of every process.
    pub common: Common,
    /// Agents that are always known.
    pub agents: Vec<(AgentId, SocketAddr)>,
}

/// Checked settings of an agent.
#[derive(Debug, Clone)]
pub struct Agent {
    /// Settings of every process.
    pub common: Common,
    /// Address of the backend server.
    pub backend: Uri,
    /// Service that the backend server belongs to.
    pub service: ServiceName,
    /// Settings of the group, if the backend server is a rank of one.
    pub group: Option<GroupSettings>,
}

/// Checked settings of an agent whose backend server is a rank of a group.
#[derive(Debug, Clone)]
pub struct GroupSettings {
    /// Name of the group.
    pub name: GroupName,
    /// The rank of the agent's backend server.
    pub rank: RankIndex,
    /// Addresses of the agents of the other ranks.
    pub peers: Vec<(RankIndex, SocketAddr)>,
    /// Interval of count reports and placement decisions.
    pub interval: Duration,
    /// Placement policy.
    pub policy: PolicyKind,
}

impl GroupSettings {
    /// Number of ranks of the group according to the settings.
    pub fn count_ranks(&self) -> usize {
        self.peers.len() + 1
    }
}

/// Collects the findings while flags are parsed.
#[derive(Debug, Default)]
struct Checker(Vec<Finding>);

impl Checker {
    fn add(&mut self, flag: &'static str, problem: impl fmt::Display) {
        self.0.push(Finding {
            flag,
            problem: problem.to_string(),
        });
    }

    fn require<T>(&mut self, flag: &'static str, text: Option<&String>) -> Option<T>
    where
        T: FromStr<Err: fmt::Display>,
    {
        match text {
            None => {
                self.add(flag, "a value is required");
                None
            }
            Some(text) => self.parse(flag, text),
        }
    }

    fn parse<T>(&mut self, flag: &'static str, text: &str) -> Option<T>
    where
        T: FromStr<Err: fmt::Display>,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.add(flag, format_args!("\"{text}\": {error}"));
                None
            }
        }
    }

    fn read_file(&mut self, flag: &'static str, text: Option<&String>) -> Option<PathBuf> {
        let path: PathBuf = self.require(flag, text)?;
        match std::fs::File::open(&path) {
            Ok(_) => Some(path),
            Err(error) => {
                self.add(
                    flag,
                    format_args!("cannot read the file {}: {error}", path.display()),
                );
                None
            }
        }
    }

    fn read_common(&mut self, flags: &CommonFlags) -> Option<Common> {
        let name = self.require("--name", flags.name.as_ref());
        let zone = self.require("--zone", flags.zone.as_ref());
        let admin = self.require("--admin", flags.admin.as_ref());
        let listen = self.require("--listen", flags.listen.as_ref());
        let ca = self.read_file("--ca", flags.ca.as_ref());
        let cert = self.read_file("--cert", flags.cert.as_ref());
        let key = self.read_file("--key", flags.key.as_ref());
        let document = match &flags.document {
            Some(_) => self.read_file("--document", flags.document.as_ref()),
            None => None,
        };
        if flags.document.is_none() && flags.platform.is_none() {
            self.add(
                "--platform",
                "a value is required unless --document is given",
            );
        }
        let platform = match &flags.platform {
            Some(text) => self.read_authority(text).map(Some),
            None => Some(None),
        };
        let environment = self.read_environment(flags.environment.as_deref());
        let log = match &flags.log {
            Some(text) => self.parse("--log", text),
            None => Some(log::LevelFilter::Info),
        };
        let threads = match &flags.threads {
            Some(text) => self.parse("--threads", text).filter(|n| *n > 0).map(Some),
            None => Some(None),
        };
        Some(Common {
            name: name?,
            zone: zone?,
            admin: admin?,
            listen: listen?,
            ca: ca?,
            cert: cert?,
            key: key?,
            platform: platform?,
            environment: environment?,
            document,
            log: log?,
            threads: threads?,
        })
    }

    fn read_environment(&mut self, text: Option<&str>) -> Option<Environment> {
        match text {
            None | Some("production") => Some(Environment::Production),
            Some("trial") => Some(Environment::Trial),
            Some(other) => {
                self.add(
                    "--environment",
                    format_args!("\"{other}\" is not trial or production"),
                );
                None
            }
        }
    }

    fn read_authority(&mut self, text: &str) -> Option<Authority> {
        let uri: Uri = self.parse("--platform", text)?;
        if uri.scheme_str() != Some("http") || uri.authority().is_none() {
            self.add(
                "--platform",
                format_args!("\"{text}\" does not have the form http://IP:PORT"),
            );
        }
        uri.into_parts().authority
    }

    fn read_agent(&mut self, text: &str) -> Option<(AgentId, SocketAddr)> {
        let Some((name, address)) = text.split_once('=') else {
            self.add(
                "--agent",
                format_args!("\"{text}\" does not have the form NAME=IP:PORT"),
            );
            return None;
        };
        let name = self.parse("--agent", name);
        let address = self.parse("--agent", address);
        Some((name?, address?))
    }

    fn read_group(&mut self, flags: &AgentFlags) -> Option<Option<GroupSettings>> {
        let Some(name) = &flags.group else {
            let given = [
                ("--rank", flags.rank.is_some()),
                ("--rank-peer", !flags.rank_peer.is_empty()),
                ("--report-ms", flags.report_ms.is_some()),
                ("--policy", flags.policy.is_some()),
            ];
            for (flag, _) in given.iter().filter(|(_, given)| *given) {
                self.add(flag, "requires --group");
            }
            return Some(None);
        };
        let name = self.parse("--group", name);
        let rank = self.require("--rank", flags.rank.as_ref()).map(RankIndex);
        let peers = self.read_peers(&flags.rank_peer, rank);
        let interval = self.read_interval(flags.report_ms.as_ref());
        let policy = self.read_policy(flags.policy.as_deref());
        Some(Some(GroupSettings {
            name: name?,
            rank: rank?,
            peers: peers?,
            interval: interval?,
            policy: policy?,
        }))
    }

    /// Reads the addresses of the other ranks and checks that no rank is missing.
    fn read_peers(
        &mut self,
        texts: &[String],
        own: Option<RankIndex>,
    ) -> Option<Vec<(RankIndex, SocketAddr)>> {
        let mut peers: Vec<(RankIndex, SocketAddr)> = Vec::new();
        for text in texts {
            let (rank, address) = self.read_peer(text)?;
            if peers.iter().any(|(r, a)| *r == rank || *a == address) {
                self.add(
                    "--rank-peer",
                    format_args!("\"{text}\" repeats a rank or an address"),
                );
            }
            peers.push((rank, address));
        }
        let own = own?;
        peers.retain(|(rank, _)| *rank != own);
        peers.sort_unstable();
        let ranks = peers.len() + 1;
        let missing = (0u16..)
            .take(ranks)
            .map(RankIndex)
            .find(|r| *r != own && peers.iter().all(|(p, _)| p != r));
        if let Some(rank) = missing {
            self.add(
                "--rank-peer",
                format_args!("rank {rank} of {ranks} ranks is missing"),
            );
        }
        Some(peers)
    }

    fn read_peer(&mut self, text: &str) -> Option<(RankIndex, SocketAddr)> {
        let Some((rank, address)) = text.split_once('=') else {
            self.add(
                "--rank-peer",
                format_args!("\"{text}\" does not have the form N=IP:PORT"),
            );
            return None;
        };
        let rank = self.parse("--rank-peer", rank);
        let address = self.parse("--rank-peer", address);
        Some((RankIndex(rank?), address?))
    }

    fn read_interval(&mut self, text: Option<&String>) -> Option<Duration> {
        let Some(text) = text else {
            return Some(limits::REPORT_INTERVAL);
        };
        let millis: u64 = self.parse("--report-ms", text)?;
        if millis == 0 {
            self.add("--report-ms", "must be greater than 0");
            return None;
        }
        Some(Duration::from_millis(millis))
    }

    fn read_policy(&mut self, text: Option<&str>) -> Option<PolicyKind> {
        let Some(text) = text else {
            return Some(PolicyKind::default());
        };
        let kinds = [PolicyKind::Priced, PolicyKind::Replan, PolicyKind::Static];
        let kind = kinds.into_iter().find(|kind| kind.as_str() == text);
        if kind.is_none() {
            self.add(
                "--policy",
                format_args!("\"{text}\" is not priced, replan or static"),
            );
        }
        kind
    }

    fn finish<T>(self, value: Option<T>) -> Result<T, Vec<Finding>> {
        match value {
            Some(value) if self.0.is_empty() => Ok(value),
            _ => Err(self.0),
        }
    }
}

impl EntryFlags {
    /// Parses and checks all flags.
    ///
    /// # Errors
    ///
    /// Returns every error with its flag.
    pub fn check(&self) -> Result<Entry, Vec<Finding>> {
        let mut checker = Checker::default();
        let common = checker.read_common(&self.common);
        let agents = self
            .agent
            .iter()
            .filter_map(|text| checker.read_agent(text))
            .collect();
        checker.finish(common.map(|common| Entry { common, agents }))
    }
}

impl AgentFlags {
    /// Parses and checks all flags.
    ///
    /// # Errors
    ///
    /// Returns every error with its flag.
    pub fn check(&self) -> Result<Agent, Vec<Finding>> {
        let mut checker = Checker::default();
        let common = checker.read_common(&self.common);
        let backend: Option<Uri> = checker.require("--backend", self.backend.as_ref());
        if backend
            .as_ref()
            .is_some_and(|uri| uri.authority().is_none())
        {
            checker.add("--backend", "the URL has no host");
        }
        let service = checker.require("--service", self.service.as_ref());
        let group = checker.read_group(self);
        let agent = match (common, backend, service, group) {
            (Some(common), Some(backend), Some(service), Some(group)) => Some(Agent {
                common,
                backend,
                service,
                group,
            }),
            _ => None,
        };
        checker.finish(agent)
    }
}
