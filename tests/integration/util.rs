//! Fixtures shared by the failure tests: processes, backend servers and calls.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Output;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use axum::Router;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_json::json;
use siskinbend_standins::client::Answer;
use siskinbend_standins::client::Call;
use siskinbend_standins::client::Caller;
use siskinbend_standins::counters::Counts;
use siskinbend_standins::engine;
use siskinbend_standins::keys;
use siskinbend_standins::plain;
use siskinbend_standins::platform;
use siskinbend_standins::server;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

use crate::sample::GROWERS_TOKEN;
use crate::sample::PICKERS_TOKEN;
use crate::sample::build_document;

/// Timeout for any event; it expires only in a test that fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(40);

/// Interval between two polls of a state.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Range of ports below the kernel's ephemeral ports, so that a port found free is not taken by an
/// outgoing connection before the process binds it.
const FIRST_PORT: u16 = 12_000;
const PORT_COUNT: u16 = 20_000;

/// Finds an address on 127.0.0.1 whose port is free for TCP and UDP.
pub fn find_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Test binaries that run at the same time start at different ports.
    let offset = (std::process::id() as u16).wrapping_mul(31);
    for _ in 0..PORT_COUNT {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + offset.wrapping_add(number) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no port is free");
}

/// Calls `poll` until it returns a value.
pub async fn wait_for<T, F>(what: &str, mut poll: F) -> T
where
    F: AsyncFnMut() -> Option<T>,
{
    let end = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(value) = poll().await {
            return value;
        }
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// A process of the program; it is killed at the end of the test, also after a panic.
pub struct Process {
    pub name: String,
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    child: Child,
    log: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        // Errors are ignored: the process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::thread::panicking() {
            let text = std::fs::read_to_string(&self.log).unwrap_or_default();
            let start = text.len().saturating_sub(2_000);
            eprintln!("--- {}\n{}", self.name, text.get(start..).unwrap_or(&text));
        }
    }
}

impl Process {
    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success(), "kill -s {name}");
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child.kill().expect("the process was started here");
        self.child.wait().expect("the process was started here");
    }

    /// Waits until the process exits.
    pub async fn wait(&mut self) -> ExitStatus {
        let what = format!("the end of {}", self.name);
        wait_for(&what, async || {
            self.child.try_wait().expect("the process was started here")
        })
        .await
    }

    pub fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Reads the status page, if the process answers.
    pub async fn read_status(&self) -> Option<Value> {
        try_read(self.admin, "/admin/status").await
    }

    pub async fn read_metrics(&self) -> String {
        let call = build_call(self.admin, Method::GET, "/metrics", None);
        String::from_utf8_lossy(&send(call).await.tail).into_owned()
    }

    /// Waits until this entry has forwarded the head of an answer.
    pub async fn wait_head(&self) {
        wait_for("the head of an answer", async || {
            let metrics = self.read_metrics().await;
            metrics
                .contains("siskinbend_first_byte_seconds_count 1")
                .then_some(())
        })
        .await;
    }

    /// Waits until exactly `count` replicas are usable at this entry.
    pub async fn wait_usable(&self, count: usize) {
        let what = format!("{count} usable replicas at {}", self.name);
        wait_for(&what, async || {
            let status = self.read_status().await?;
            let notes = status["notes"].as_array()?;
            let usable = |note: &&Value| {
                note.as_str()
                    .is_some_and(|note| note.ends_with("it takes requests"))
            };
            (notes.iter().filter(usable).count() == count).then_some(())
        })
        .await;
    }

    /// Waits until this document version is active at the process.
    pub async fn wait_version(&self, version: u64) {
        let what = format!("version {version} at {}", self.name);
        wait_for(&what, async || {
            let status = self.read_status().await?;
            (status["version"] == version).then_some(())
        })
        .await;
    }

    /// Waits until the process reports that it is draining.
    pub async fn wait_draining(&self) {
        let what = format!("{} drains", self.name);
        wait_for(&what, async || {
            let status = self.read_status().await?;
            (status["draining"] == true).then_some(())
        })
        .await;
    }
}

/// A backend server on a separate runtime, so that it can be killed with all its connections.
pub struct Backend {
    pub address: SocketAddr,
    runtime: Option<Runtime>,
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Backend {
    fn start<F>(address: SocketAddr, build: F) -> Self
    where
        F: FnOnce() -> Router,
    {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime can be built");
        let (sender, receiver) = std::sync::mpsc::channel();
        let router = {
            let _guard = runtime.enter();
            build()
        };
        runtime.spawn(async move {
            // The send fails only if the test has ended.
            let _ = sender.send(server::spawn_at(address, router).await);
        });
        let bound = receiver.recv().expect("the backend server started");
        Self {
            address: bound.expect("the address is free"),
            runtime: Some(runtime),
        }
    }

    /// Starts a plain service.
    pub fn start_plain(name: &str) -> Self {
        Self::start_plain_at(name, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    pub fn start_plain_at(name: &str, listen: SocketAddr) -> Self {
        let options = plain::Options {
            listen,
            name: name.to_owned(),
            work_ms: 0,
        };
        Self::start(listen, || plain::build_router(&options))
    }

    /// Starts a model engine that generates a token every 10 ms.
    pub fn start_engine(name: &str) -> Self {
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let options = engine::Options {
            listen,
            name: name.to_owned(),
            slots: 8,
            token_ms: 10,
            step_us: 0,
        };
        Self::start(listen, || engine::build_router(&options))
    }

    /// Stops the backend server and closes its connections.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    /// Blocks the executions that begin from now on, or lets all of them finish.
    pub async fn set_hold(&self, held: bool) {
        let body = Some(json!(held));
        let call = build_call(self.address, Method::POST, "/hold", body);
        assert_eq!(send(call).await.status, 200);
    }

    pub async fn read_counts(&self) -> Counts {
        read(self.address, "/counts").await
    }

    /// Returns how often the operation with this reference was run.
    pub async fn count_runs(&self, reference: &str) -> u64 {
        let counts = self.read_counts().await;
        let found = counts.references.iter().find(|r| r.id == reference);
        found.map_or(0, |r| r.runs)
    }

    /// Waits until `count` executions have begun.
    pub async fn wait_started(&self, count: u64) {
        wait_for("work at the backend server", async || {
            (self.read_counts().await.started >= count).then_some(())
        })
        .await;
    }
}

/// Sums the runs of a reference over several backend servers.
pub async fn sum_runs(backends: &[&Backend], reference: &str) -> u64 {
    let mut sum = 0;
    for backend in backends {
        sum += backend.count_runs(reference).await;
    }
    sum
}

/// Waits until one of the backend servers runs a request, and returns its index.
pub async fn find_busy(backends: &[&Backend]) -> usize {
    wait_for("work at one of the backend servers", async || {
        for (index, backend) in backends.iter().enumerate() {
            let load: Value = read(backend.address, "/load").await;
            if load["running"].as_u64() > Some(0) {
                return Some(index);
            }
        }
        None
    })
    .await
}

/// Platform, keys and document of one test.
pub struct TestEnv {
    pub platform: SocketAddr,
    pub folder: PathBuf,
    /// Whether processes read the document from a file instead of the platform.
    pub reads_file: bool,
}

impl Drop for TestEnv {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            // If the removal fails, only an unused folder is left.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl TestEnv {
    /// Starts a platform and writes the keys and the document.
    pub async fn start() -> Self {
        static COUNT: AtomicU16 = AtomicU16::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("site-{}-{number}", std::process::id());
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let options = keys::Options {
            out: folder.join("keys"),
            name: vec!["peer".to_owned()],
        };
        keys::write(&options).expect("keys can be written");
        let text = build_document(&[("growers", GROWERS_TOKEN), ("pickers", PICKERS_TOKEN)]);
        std::fs::write(folder.join("document.toml"), text).expect("the folder is writable");
        let platform = server::spawn(platform::build_router())
            .await
            .expect("a port is free");
        Self {
            platform,
            folder,
            reads_file: true,
        }
    }

    /// Builds the flags that every process needs.
    pub fn build_flags(&self, name: &str, listen: SocketAddr, admin: SocketAddr) -> Vec<String> {
        let key = |file: &str| self.folder.join("keys").join(file).display().to_string();
        let pairs = [
            ("--name", name.to_owned()),
            ("--zone", "oyo".to_owned()),
            ("--listen", listen.to_string()),
            ("--admin", admin.to_string()),
            ("--ca", key("ca.pem")),
            ("--cert", key("peer.pem")),
            ("--key", key("peer.key")),
            ("--platform", format!("http://{}", self.platform)),
            ("--threads", "2".to_owned()),
            ("--log", "debug".to_owned()),
        ];
        let mut flags: Vec<String> = pairs
            .into_iter()
            .flat_map(|(flag, value)| [flag.to_owned(), value])
            .collect();
        if self.reads_file {
            let file = self.folder.join("document.toml").display().to_string();
            flags.extend(["--document".to_owned(), file]);
        }
        flags
    }

    fn spawn(&self, role: &str, name: &str, listen: SocketAddr, extra: &[String]) -> Process {
        let admin = find_address();
        let log = self.folder.join(format!("{name}-{}.log", listen.port()));
        let file = File::options()
            .create(true)
            .append(true)
            .open(&log)
            .expect("the folder is writable");
        let child = Command::new(env!("CARGO_BIN_EXE_siskinbend"))
            .arg(role)
            .args(self.build_flags(name, listen, admin))
            .args(extra)
            .stdout(file.try_clone().expect("the file is open"))
            .stderr(file)
            .spawn()
            .expect("the program runs");
        Process {
            name: name.to_owned(),
            listen,
            admin,
            child,
            log,
        }
    }

    pub fn start_agent(&self, name: &str, service: &str, backend: &Backend) -> Process {
        self.start_agent_at(name, service, backend, find_address())
    }

    pub fn start_agent_at(
        &self,
        name: &str,
        service: &str,
        backend: &Backend,
        listen: SocketAddr,
    ) -> Process {
        let url = format!("http://{}", backend.address);
        let extra = ["--backend", &url, "--service", service].map(str::to_owned);
        self.spawn("agent", name, listen, &extra)
    }

    /// Starts an entry with the agents at these addresses.
    pub fn start_entry(&self, name: &str, agents: &[SocketAddr]) -> Process {
        let flag = |(n, address): (usize, &SocketAddr)| {
            ["--agent".to_owned(), format!("agent-{}={address}", n + 1)]
        };
        let extra: Vec<String> = agents.iter().enumerate().flat_map(flag).collect();
        self.spawn("entry", name, find_address(), &extra)
    }

    /// Injects faults into a service of the platform.
    pub async fn set_faults(&self, faults: Value) {
        let call = build_call(self.platform, Method::POST, "/faults", Some(faults));
        assert_eq!(send(call).await.status, 204);
    }

    /// Runs a command of the program against the platform.
    pub async fn run_command(&self, arguments: &[&str]) -> Output {
        let arguments: Vec<String> = arguments.iter().map(|&a| a.to_owned()).collect();
        let platform = format!("http://{}", self.platform);
        let run = move || {
            Command::new(env!("CARGO_BIN_EXE_siskinbend"))
                .args(arguments)
                .env("SISKINBEND_PLATFORM", platform)
                .output()
        };
        let done = tokio::task::spawn_blocking(run).await;
        done.expect("the command ran").expect("the program runs")
    }
}

/// Two entries and two agents of the plain service, all ready.
pub struct PlainCluster {
    pub env: TestEnv,
    pub backends: [Backend; 2],
    pub agents: [Process; 2],
    pub entries: [Process; 2],
}

impl PlainCluster {
    pub async fn start() -> Self {
        let env = TestEnv::start().await;
        let backends = ["plain-1", "plain-2"].map(Backend::start_plain);
        let agents =
            [0, 1].map(|n| env.start_agent(&format!("agent-{}", n + 1), "desk", &backends[n]));
        let known = [agents[0].listen, agents[1].listen];
        let entries = ["entry-1", "entry-2"].map(|name| env.start_entry(name, &known));
        for entry in &entries {
            entry.wait_usable(2).await;
        }
        Self {
            env,
            backends,
            agents,
            entries,
        }
    }

    pub async fn set_hold(&self, held: bool) {
        for backend in &self.backends {
            backend.set_hold(held).await;
        }
    }

    pub async fn count_runs(&self, reference: &str) -> u64 {
        sum_runs(&[&self.backends[0], &self.backends[1]], reference).await
    }

    /// Waits until one of the backend servers runs a request, and returns its index.
    pub async fn find_busy(&self) -> usize {
        find_busy(&[&self.backends[0], &self.backends[1]]).await
    }
}

/// Builds a request with the token of `growers`.
pub fn build_call(to: SocketAddr, method: Method, path: &str, body: Option<Value>) -> Call {
    let mut headers = HeaderMap::new();
    if body.is_some() {
        headers.insert("content-type", HeaderValue::from_static("application/json"));
    }
    let call = Call {
        method,
        uri: format!("http://{to}{path}")
            .parse()
            .expect("a valid address"),
        headers,
        body: body.map(|body| body.to_string()).unwrap_or_default().into(),
        stream: false,
        timeout: TEST_TIMEOUT,
    };
    with_header(call, "authorization", &format!("Bearer {GROWERS_TOKEN}"))
}

pub fn with_header(mut call: Call, name: &'static str, value: &str) -> Call {
    let value = HeaderValue::try_from(value).expect("a valid header");
    call.headers.insert(name, value);
    call
}

pub fn with_token(call: Call, token: &str) -> Call {
    with_header(call, "authorization", &format!("Bearer {token}"))
}

/// Builds a call that is not idempotent, with an idempotency key.
pub fn build_booking(entry: &Process, reference: &str, key: &str) -> Call {
    with_header(
        build_unkeyed_booking(entry, reference),
        "idempotency-key",
        key,
    )
}

pub fn build_unkeyed_booking(entry: &Process, reference: &str) -> Call {
    build_post(entry, "desk/bookings", json!({"ref": reference}))
}

pub fn build_post(entry: &Process, path: &str, body: Value) -> Call {
    let path = format!("/v1/services/{path}");
    build_call(entry.listen, Method::POST, &path, Some(body))
}

pub fn build_lookup(entry: &Process) -> Call {
    let path = "/v1/services/desk/ladders";
    build_call(entry.listen, Method::GET, path, None)
}

/// Builds a call that streams `tokens` tokens.
pub fn build_draft(entry: &Process, tokens: u32) -> Call {
    let body = json!({"prompt": "a b c", "max_tokens": tokens, "stream": true});
    let mut call = build_post(entry, "pool/drafts", body);
    call.stream = true;
    call
}

/// Sends the call over a new connection.
pub async fn send(call: Call) -> Answer {
    Caller::default().send(&call).await
}

/// Sends the call in the background.
pub fn spawn(call: Call) -> JoinHandle<Answer> {
    tokio::spawn(send(call))
}

/// Returns status, outcome and reason of an answer. Outcome and reason are `-` if the answer is not
/// a problem document.
pub fn read_outcome(answer: &Answer) -> (u16, String, String) {
    let problem = answer.read_problem();
    let text = |field: Option<String>| field.unwrap_or_else(|| "-".to_owned());
    (answer.status, text(problem.outcome), text(problem.reason))
}

/// Reads the number of executions from the answer to a booking.
pub fn read_executions(answer: &Answer) -> u64 {
    assert!(answer.is_good(), "no answer: {:?}", read_outcome(answer));
    let body: plain::Answer = serde_json::from_slice(&answer.tail).expect("the service's answer");
    body.executions
}

pub async fn read<T>(from: SocketAddr, path: &str) -> T
where
    T: DeserializeOwned,
{
    try_read(from, path).await.expect("the stand-in answers")
}

async fn try_read<T>(from: SocketAddr, path: &str) -> Option<T>
where
    T: DeserializeOwned,
{
    let mut call = build_call(from, Method::GET, path, None);
    call.timeout = Duration::from_secs(5);
    let answer = send(call).await;
    if !answer.is_good() {
        return None;
    }
    serde_json::from_slice(&answer.tail).ok()
}
