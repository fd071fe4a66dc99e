//! Stand-in for the users' platform: its store, its replicas and their groups in one process.
//!
//! It follows the platform's published interface and therefore uses the platform's names.

pub mod check;
pub mod ranks;
pub mod replica;
pub mod signals;
pub mod store;

use std::fmt::Write as _;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bpaf::Bpaf;
use serde_json::json;

use crate::server;
use crate::server::BoxError;

use ranks::Group;
use ranks::GroupShape;
use replica::Replica;
use store::Store;

/// API key of the test caller.
pub const API_KEY: &str = "k-growers-1";
/// Host name of every route in the configuration.
pub const HOST: &str = "shop.example";
/// Largest request body that the configuration allows.
pub const MAX_BODY_BYTES: usize = 65_536;
/// Time within which each gateway under test must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings of the stand-in.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Folder to write the settings files of the gateways and rank agents to
    #[bpaf(argument("DIR"))]
    pub folder: PathBuf,
    /// Number of gateways to write settings for
    #[bpaf(argument("N"), fallback(2))]
    pub gateways: usize,
    /// Number of ranks in the group
    #[bpaf(argument("N"), fallback(4))]
    pub ranks: usize,
    /// Number of requests to send
    #[bpaf(argument("N"), fallback(200))]
    pub requests: usize,
}

/// Addresses on which a gateway listens.
#[derive(Debug, Clone, Copy)]
pub struct GatewayAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Port of the metrics listener; 0 lets the system choose one.
    pub metrics_port: u16,
}

/// Running stand-ins of the store, the replicas and the group.
pub struct Site {
    /// Store of the platform.
    pub store: Arc<Store>,
    /// Address of the store.
    pub address: SocketAddr,
    /// Replicas of the plain service.
    pub plain_replicas: Vec<Arc<Replica>>,
    /// Replicas of the model service; consecutive ones belong to different groups.
    pub model_replicas: Vec<Arc<Replica>>,
    /// Groups that the model replicas form, all of the same size.
    pub groups: Vec<Arc<Group>>,
    /// Third part of the VM addresses of this site.
    pub subnet: u8,
    /// Port for traffic between agents; it is free on every loopback address in use.
    pub peer_port: u16,
}

/// Number of sites that this process has started.
static SITES: AtomicU8 = AtomicU8::new(0);
/// Third part of the first site's VM addresses. Each site of a process has VMs of its own, so that a
/// port that is free for one is not taken by another.
const FIRST_SUBNET: u8 = 16;
/// Number of subnets after which they are used again.
const SUBNETS: u8 = 200;

/// Returns the loopback address that stands for the VM of a model replica; processes of one VM share
/// it.
fn vm_address(subnet: u8, replica: usize) -> IpAddr {
    Ipv4Addr::new(127, 0, subnet, 1 + replica as u8).into()
}

/// Starts a replica on a free port of a VM, and registers it at each of its starts.
async fn start_replica(
    store: &Arc<Store>,
    replica: &Arc<Replica>,
    service: &'static str,
    vm: IpAddr,
) -> std::io::Result<()> {
    let (store, id) = (Arc::clone(store), replica.id.clone());
    let register = move |address| store.register_replica(&id, service, address);
    Arc::clone(replica).spawn((vm, 0).into(), register).await
}

impl Site {
    /// Returns the loopback address that stands for the VM of a gateway.
    pub fn gateway_address(&self, gateway: usize) -> IpAddr {
        Ipv4Addr::new(127, 1, self.subnet, 1 + gateway as u8).into()
    }

    /// Starts the store, two plain replicas and one group of ranks, and stores the configuration.
    ///
    /// # Errors
    /// A port cannot be bound.
    pub async fn start(ranks: usize) -> Result<Site, BoxError> {
        Site::start_groups(1, ranks).await
    }

    /// Starts the store, two plain replicas and several groups with `ranks` ranks each behind one
    /// service, and stores the configuration.
    ///
    /// # Errors
    /// A port cannot be bound.
    pub async fn start_groups(groups: usize, ranks: usize) -> Result<Site, BoxError> {
        let store = Arc::new(Store::default());
        let address = server::spawn(Arc::clone(&store).build_router()).await?;
        let subnet = FIRST_SUBNET + SITES.fetch_add(1, Ordering::Relaxed) % SUBNETS;
        let shape = GroupShape::of_ranks(ranks);
        let groups: Vec<Arc<Group>> = (0..groups)
            .map(|n| Arc::new(Group::new(format!("g0-{n}"), shape)))
            .collect();
        let (mut plain_replicas, mut model_replicas) = (Vec::new(), Vec::new());
        for n in 0..2 {
            let replica = Arc::new(Replica::new(format!("i-desk{n}"), None));
            start_replica(&store, &replica, "desk", Ipv4Addr::LOCALHOST.into()).await?;
            plain_replicas.push(replica);
        }
        for n in 0..groups.len() * ranks {
            // Groups alternate, so that the addresses of their ranks are mixed.
            let membership = Some((Arc::clone(&groups[n % groups.len()]), n / groups.len()));
            let replica = Arc::new(Replica::new(format!("i-draft{n}"), membership));
            start_replica(&store, &replica, "drafts", vm_address(subnet, n)).await?;
            model_replicas.push(replica);
        }
        store.put_json("op", "config", &build_config(1, &shape));
        for group in &groups {
            tokio::spawn(Arc::clone(group).run());
        }
        Ok(Site {
            store,
            address,
            plain_replicas,
            model_replicas,
            groups,
            subnet,
            peer_port: server::free_ports(1)?[0],
        })
    }

    /// Builds the settings file of gateway `n`.
    pub fn gateway_settings(&self, n: usize, addresses: &GatewayAddresses) -> String {
        let GatewayAddresses {
            callers,
            ready,
            metrics_port,
        } = addresses;
        let node = format!("edge-{n}");
        let mut text = self.common_settings(&node, callers.ip(), *metrics_port);
        let _ = write!(text, "listen.front={callers}\nlisten.ready={ready}\n");
        text
    }

    /// Builds the settings file of the agent of a model replica.
    pub fn rank_settings(&self, replica: usize) -> String {
        let mut text = self.common_settings(
            &format!("side-{replica}"),
            vm_address(self.subnet, replica),
            0,
        );
        let app = self.store.find_address(&self.model_replicas[replica].id);
        let _ = write!(text, "app={app}\nservice=drafts\n");
        text
    }

    fn common_settings(&self, node: &str, ip: IpAddr, metrics_port: u16) -> String {
        format!(
            "node={node}\nip={ip}\nzone=a\nportRange={},{}\nplatform.address={}\n\
             bounds.revokeMs=5000\nbounds.graceS=8\nbounds.retryRatio=0.2\nbounds.retrySlack=40\n\
             bounds.coldOverrun=1.5\nbounds.coldSlack=5\n",
            self.peer_port, metrics_port, self.address
        )
    }
}

/// Builds a configuration with a model service and a plain service.
pub fn build_config(version: u64, shape: &GroupShape) -> serde_json::Value {
    let route = |prefix: &str, kind: &str, service: &str, attempts: u32| {
        json!({"name": prefix, "host": HOST, "prefix": prefix, "kind": kind, "timeoutMs": 4000,
            "latencyGoalMs": 400, "priority": 1, "service": service, "maxAttempts": attempts,
            "public": false, "streamResume": kind == "streaming"})
    };
    json!({
        "version": version,
        "routes": [
            route("/draft/", "streaming", "drafts", 2),
            route("/book/", "non_idempotent", "desk", 1),
            route("/stock/", "idempotent", "desk", 2),
        ],
        "services": [
            {"name": "drafts", "engine": {"slots": 8, "sets": shape.sets,
                "experts": shape.experts, "placements": shape.placements, "spare": 3}},
            {"name": "desk", "maxConnections": 96},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY_BYTES, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000},
        "tenants": [{"name": "growers", "apiKeys": [API_KEY], "priority": 1}],
    })
}

/// Starts the stand-ins, writes the settings files, waits for the gateways and checks the answers.
///
/// Returns whether every check passed.
///
/// # Errors
/// A gateway does not become ready, or a settings file cannot be written.
pub async fn run(options: Options) -> Result<bool, BoxError> {
    let site = Site::start(options.ranks).await?;
    std::fs::create_dir_all(&options.folder)?;
    let mut gateways = Vec::new();
    for n in 0..options.gateways {
        let ports = server::free_ports(2)?;
        let ip = site.gateway_address(n);
        let callers: SocketAddr = (ip, ports[0]).into();
        let ready: SocketAddr = (ip, ports[1]).into();
        let file = options.folder.join(format!("gateway-{n}.conf"));
        let addresses = GatewayAddresses {
            callers,
            ready,
            metrics_port: 0,
        };
        std::fs::write(file, site.gateway_settings(n, &addresses))?;
        gateways.push((callers, ready));
    }
    for rank in 0..options.ranks {
        let file = options.folder.join(format!("rank-{rank}.conf"));
        std::fs::write(file, site.rank_settings(rank))?;
    }
    println!("settings={}", options.folder.display());
    for (_, ready) in &gateways {
        check::wait_until_ready(*ready, READY_TIMEOUT).await?;
    }
    let callers: Vec<SocketAddr> = gateways.iter().map(|(callers, _)| *callers).collect();
    check::run(&site, &callers, options.requests).await
}
