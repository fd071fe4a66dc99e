//! Gateway and agent processes on the stand-in of the users' platform, for the tests that need them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use siskinbend_standins::server::free_ports;
use siskinbend_standins::site::GatewayAddresses;
use siskinbend_standins::site::Site;
use siskinbend_standins::site::check::Answer;
use siskinbend_standins::site::check::Caller;
use siskinbend_standins::site::check::wait_until_ready;

const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for expected events, long enough for a loaded machine.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of ranks in each group.
pub const RANKS: usize = 3;

static SETTINGS_FILES: AtomicU32 = AtomicU32::new(0);

/// A process under test; it is killed if the test ends early.
pub struct Process {
    child: Child,
    /// File that its log lines are written to.
    log: PathBuf,
}

impl Process {
    pub fn start(role: &str, settings: &str) -> Process {
        let number = SETTINGS_FILES.fetch_add(1, Ordering::Relaxed);
        let name = format!("siskinbend-gateway-{}-{number}.conf", std::process::id());
        let file: PathBuf = std::env::temp_dir().join(name);
        std::fs::write(&file, settings).expect("a settings file");
        let log = file.with_extension("log");
        let output = std::fs::File::create(&log).expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_siskinbend"))
            .arg(role)
            .arg("--settings")
            .arg(&file)
            .stderr(output.try_clone().expect("a second handle"))
            .stdout(output)
            .spawn();
        Process {
            child: child.expect("the binary starts"),
            log,
        }
    }

    /// Returns the most memory that the process has used, in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        let file = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(file).expect("the status of the process");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().next());
        number.and_then(|n| n.parse().ok()).expect("a number of kB")
    }

    /// Returns whether the process still runs, and its log lines, to explain a failure.
    fn describe(&mut self) -> String {
        let status = self.child.try_wait();
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        format!("status {status:?}, log:\n{log}")
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    pub async fn wait(&mut self) -> ExitStatus {
        let started = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status;
            }
            assert!(
                started.elapsed() < EVENT_TIMEOUT,
                "the process did not exit"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A gateway under test and its addresses.
pub struct Gateway {
    pub process: Process,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
}

impl Gateway {
    /// Starts gateway `n` of a site and waits until it is ready.
    pub async fn start(site: &Site, n: usize) -> Gateway {
        Gateway::start_with(site, n, |settings| settings).await
    }

    /// Starts gateway `n` of a site with changed settings and waits until it is ready.
    pub async fn start_with<Change>(site: &Site, n: usize, change: Change) -> Gateway
    where
        Change: FnOnce(String) -> String,
    {
        let ip = site.gateway_address(n);
        let ports = free_ports(3).expect("three ports");
        let callers: SocketAddr = (ip, ports[0]).into();
        let ready: SocketAddr = (ip, ports[1]).into();
        let metrics: SocketAddr = (ip, ports[2]).into();
        let addresses = GatewayAddresses {
            callers,
            ready,
            metrics_port: metrics.port(),
        };
        let settings = change(site.gateway_settings(n, &addresses));
        let mut process = Process::start("gateway", &settings);
        if let Err(error) = wait_until_ready(ready, READY_TIMEOUT).await {
            panic!("{error}: {}", process.describe());
        }
        Gateway {
            process,
            callers,
            ready,
            metrics,
        }
    }

    /// Waits until the metrics contain a line.
    pub async fn wait_for_metric(&self, line: &str) {
        wait_for_metric(self.metrics, line).await;
    }
}

/// Waits until the metrics served at an address contain a line.
pub async fn wait_for_metric(metrics: SocketAddr, line: &str) {
    let started = Instant::now();
    loop {
        let caller = Caller::default();
        let page = caller.call(metrics, "/metrics", "m").await.body;
        if page.is_some_and(|text| text.lines().any(|l| l == line)) {
            return;
        }
        assert!(started.elapsed() < EVENT_TIMEOUT, "no metric {line}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// A gateway under test with the stand-ins of its platform.
pub struct Deployment {
    pub site: Site,
    pub gateway: Process,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
}

impl Deployment {
    pub async fn start() -> Deployment {
        Deployment::start_groups(1).await
    }

    pub async fn start_groups(groups: usize) -> Deployment {
        let site = Site::start_groups(groups, RANKS).await;
        let site = site.expect("the stand-ins start");
        let gateway = Gateway::start(&site, 0).await;
        Deployment {
            site,
            gateway: gateway.process,
            callers: gateway.callers,
            ready: gateway.ready,
            metrics: gateway.metrics,
        }
    }

    pub async fn call(&self, path: &str, id: &str) -> Answer {
        Caller::default().call(self.callers, path, id).await
    }

    /// Waits until the metrics of the gateway contain a line.
    pub async fn wait_for_metric(&self, line: &str) {
        wait_for_metric(self.metrics, line).await;
    }

    pub fn count_runs(&self, id: &str) -> u32 {
        let replicas = self
            .site
            .plain_replicas
            .iter()
            .chain(&self.site.model_replicas);
        replicas.filter_map(|r| r.runs().get(id).copied()).sum()
    }
}

pub async fn wait_until(event: &str, is_done: impl Fn() -> bool) {
    let started = Instant::now();
    while !is_done() {
        assert!(
            started.elapsed() < EVENT_TIMEOUT,
            "timed out waiting for {event}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
