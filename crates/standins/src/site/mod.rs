//! Stand-in of the users' platform: its store, its replicas and a group of ranks, in one process.
//!
//! Written from the platform's published pages, so it speaks the platform's names.

pub mod check;
pub mod ranks;
pub mod replica;
pub mod store;

use std::fmt::Write as _;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use serde_json::json;

use crate::server;
use crate::server::BoxError;

use ranks::Group;
use ranks::Shape;
use replica::Replica;
use store::Store;

/// Key of the test caller.
pub const KEY: &str = "k-growers-1";
/// Host name of all routes.
pub const HOST: &str = "shop.example";
/// Largest body of a request in bytes that the configuration allows.
pub const MOST_BODY: usize = 65_536;
/// Time in which the processes under test must become ready.
const READY_TIME: Duration = Duration::from_secs(20);

/// Settings of the stand-in.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Folder for the settings files of the processes
    #[bpaf(argument("DIR"))]
    pub folder: PathBuf,
    /// Gateways to write settings for
    #[bpaf(argument("N"), fallback(2))]
    pub gateways: usize,
    /// Ranks of the group
    #[bpaf(argument("N"), fallback(4))]
    pub ranks: usize,
    /// Requests to send
    #[bpaf(argument("N"), fallback(200))]
    pub requests: usize,
}

/// Where a gateway listens.
#[derive(Debug, Clone, Copy)]
pub struct GatewayPorts {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for readiness checks.
    pub ready: SocketAddr,
    /// Port of the metrics, 0 for any.
    pub metrics: u16,
}

/// The running stand-ins.
pub struct Site {
    /// The store.
    pub store: Arc<Store>,
    /// Its address.
    pub address: SocketAddr,
    /// The replicas of the plain service.
    pub desks: Vec<Arc<Replica>>,
    /// The replicas of the model service, which are the ranks of the group.
    pub drafts: Vec<Arc<Replica>>,
    /// The group.
    pub group: Arc<Group>,
    /// A port that is free on every loopback address used, for traffic between agents.
    pub peers: u16,
}

/// The VM of a rank: processes on one VM share a loopback address.
pub fn vm(rank: usize) -> IpAddr {
    Ipv4Addr::new(127, 0, 1, 1 + rank as u8).into()
}

impl Site {
    /// Starts the store, two plain replicas and the ranks, and writes the configuration.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn start(ranks: usize) -> Result<Site, BoxError> {
        let store = Arc::new(Store::default());
        let address = server::spawn(Arc::clone(&store).build_router()).await?;
        let shape = Shape {
            ranks,
            sets: 2,
            experts: 12,
            places: 12 / ranks + 2,
        };
        let group = Arc::new(Group::new(shape));
        let (mut desks, mut drafts) = (Vec::new(), Vec::new());
        for n in 0..2 {
            let desk = Arc::new(Replica::new(format!("i-desk{n}"), None));
            let at = server::spawn(Arc::clone(&desk).build_router()).await?;
            store.register(&desk.id, "desk", at);
            desks.push(desk);
        }
        for rank in 0..ranks {
            let member = Some((Arc::clone(&group), rank));
            let draft = Arc::new(Replica::new(format!("i-draft{rank}"), member));
            let router = Arc::clone(&draft).build_router();
            let at = server::spawn_at((vm(rank), 0).into(), router).await?;
            store.register(&draft.id, "drafts", at);
            drafts.push(draft);
        }
        store.put("op", "config", &build_config(1, &shape));
        tokio::spawn(Arc::clone(&group).run());
        Ok(Site {
            store,
            address,
            desks,
            drafts,
            group,
            peers: server::free_ports(1)?[0],
        })
    }

    /// Settings of a gateway.
    pub fn gateway_settings(&self, n: usize, ports: &GatewayPorts) -> String {
        let GatewayPorts {
            callers,
            ready,
            metrics,
        } = ports;
        let node = format!("edge-{n}");
        let mut text = self.common_settings(&node, callers.ip(), *metrics);
        let _ = write!(text, "listen.front={callers}\nlisten.ready={ready}\n");
        text
    }

    /// Settings of the agent beside a rank.
    pub fn rank_settings(&self, rank: usize) -> String {
        let mut text = self.common_settings(&format!("side-{rank}"), vm(rank), 0);
        let app = self.store.find_address(&self.drafts[rank].id);
        let _ = write!(text, "app={app}\nservice=drafts\n");
        text
    }

    fn common_settings(&self, node: &str, ip: IpAddr, last: u16) -> String {
        format!(
            "node={node}\nip={ip}\nzone=a\nportRange={},{}\nplatform.address={}\n\
             bounds.revokeMs=5000\nbounds.graceS=8\nbounds.retryRatio=0.2\nbounds.retrySlack=40\n",
            self.peers, last, self.address
        )
    }
}

/// The configuration of one version: a model service and a plain one.
pub fn build_config(version: u64, shape: &Shape) -> serde_json::Value {
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
                "experts": shape.experts, "placements": shape.places, "spare": 3}},
            {"name": "desk", "maxConnections": 96},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": MOST_BODY, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000},
        "tenants": [{"name": "growers", "apiKeys": [KEY], "priority": 1}],
    })
}

/// Starts the stand-ins, writes the settings, waits for the processes and checks what they serve.
///
/// # Errors
/// A process does not become ready, or the settings can't be written.
pub async fn run(options: Options) -> Result<bool, BoxError> {
    let site = Site::start(options.ranks).await?;
    std::fs::create_dir_all(&options.folder)?;
    let mut gateways = Vec::new();
    for n in 0..options.gateways {
        let ports = server::free_ports(2)?;
        let ip = Ipv4Addr::new(127, 0, 2, 1 + n as u8);
        let callers: SocketAddr = (ip, ports[0]).into();
        let ready: SocketAddr = (ip, ports[1]).into();
        let file = options.folder.join(format!("gateway-{n}.conf"));
        let ports = GatewayPorts {
            callers,
            ready,
            metrics: 0,
        };
        std::fs::write(file, site.gateway_settings(n, &ports))?;
        gateways.push((callers, ready));
    }
    for rank in 0..options.ranks {
        let file = options.folder.join(format!("rank-{rank}.conf"));
        std::fs::write(file, site.rank_settings(rank))?;
    }
    println!("settings={}", options.folder.display());
    for (_, ready) in &gateways {
        check::wait_ready(*ready, READY_TIME).await?;
    }
    let callers: Vec<SocketAddr> = gateways.iter().map(|(callers, _)| *callers).collect();
    check::run(&site, &callers, options.requests).await
}
