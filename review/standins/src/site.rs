//! A small deployment: the store, replicas, the operator's config and a gateway.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;

use crate::group::EXPERTS;
use crate::group::PLACEMENTS;
use crate::group::SETS;
use crate::group::SPARE;
use crate::http;
use crate::http::Answer;
use crate::http::Connection;
use crate::http::Request;
use crate::process::Machines;
use crate::process::Process;
use crate::record::Record;
use crate::store::Store;

/// Host of all routes.
pub const HOST: &str = "shop.example";
/// Key that is never taken away.
pub const KEY: &str = "k-growers-1";

/// Everything that a case needs.
pub struct Site {
    pub folder: PathBuf,
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub store_address: SocketAddr,
    pub machines: Machines,
}

impl Site {
    /// Starts the store, without a config.
    pub fn start(folder: &Path, record: Arc<Record>, machines: u8) -> io::Result<Site> {
        let (store, store_address) = Store::start()?;
        Ok(Site {
            folder: folder.to_owned(),
            record,
            store,
            store_address,
            machines: Machines::find(machines)?,
        })
    }

    /// Registers a replica as ready.
    pub fn register(&self, id: &str, service: &str, address: SocketAddr, slots: u32, born: u64) {
        let entry = json!({"service": service, "address": address.to_string(), "zone": "ibadan",
            "version": "v1", "slots": slots, "state": "ready", "coldRemainingMs": 0,
            "sequence": 1, "born": born});
        self.store.put("servers", id, &entry);
    }

    /// Starts a gateway on a machine. Returns it with its addresses for consumers and for readiness
    /// checks.
    pub fn start_gateway(&self, machine: u8) -> io::Result<(Process, SocketAddr, SocketAddr)> {
        let front = self.machines.address(machine)?;
        let ready = self.machines.address(machine)?;
        let node = format!("edge-{machine}");
        let mut settings = self
            .machines
            .settings(machine, &node, "edge", self.store_address);
        settings += &format!("listen.front={front}\nlisten.ready={ready}\n");
        let process = Process::start(&self.folder, &node, "gateway", &settings)?;
        Ok((process, front, ready))
    }

    /// Waits until a gateway says that it is ready.
    pub fn wait_ready(&self, ready: SocketAddr, limit: Duration) -> io::Result<()> {
        let started = Instant::now();
        while started.elapsed() < limit {
            if is_ready(ready) {
                self.record.line(format!("gateway at {ready} is ready"));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other("the gateway did not become ready"))
    }
}

/// Asks a gateway whether it is ready.
pub fn is_ready(ready: SocketAddr) -> bool {
    let Ok(mut stream) = http::connect(ready) else {
        return false;
    };
    let request = "GET /ready HTTP/1.1\r\nhost: platform\r\nconnection: close\r\n\r\n";
    http::exchange(&mut stream, request).status == 200
}

/// Builds a config. `keys` are those of the tenant.
pub fn config(version: u64, keys: &[&str]) -> Value {
    let route = |prefix: &str, kind: &str, service: &str, timeout_ms: u32, attempts: u32| {
        json!({"name": prefix, "host": HOST, "prefix": prefix, "kind": kind,
            "timeoutMs": timeout_ms, "latencyGoalMs": 400, "priority": 1, "service": service,
            "maxAttempts": attempts, "public": false, "streamResume": kind == "streaming",
            "gapTargetMs": 120, "sessionAffinity": kind == "streaming"})
    };
    json!({
        "version": version,
        "routes": [
            route("/draft/", "streaming", "drafts", 8000, 2),
            route("/book/", "non_idempotent", "desk", 1000, 2),
            route("/stock/", "idempotent", "desk", 1000, 2),
        ],
        "services": [
            {"name": "drafts", "maxConnections": 248, "engine": {"slots": 12, "sets": SETS,
                "experts": EXPERTS, "placements": PLACEMENTS, "spare": SPARE}},
            {"name": "desk", "maxConnections": 96},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000},
        "tenants": [{"name": "growers", "apiKeys": keys, "priority": 1}],
    })
}

/// Writes the head of a request without a body.
pub fn request(method: &str, path: &str, id: &str, key: &str, deadline_ms: u32) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-model: m\r\n\
         x-token-count: 760,140\r\nx-prompt-prefix: 5c1e07a2:40,{id}:720\r\n\
         x-deadline-ms: {deadline_ms}\r\nauthorization: Bearer {key}\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Sends a request on a new channel.
pub fn call(
    front: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    key: &str,
    deadline_ms: u32,
) -> Answer {
    let Ok(mut stream) = http::connect(front) else {
        return Answer::default();
    };
    http::exchange(&mut stream, &request(method, path, id, key, deadline_ms))
}

/// What a replica ran, by the id of the request.
pub type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

/// Replica that answers requests of the plain service, or writes a stream of events.
pub struct Replica {
    pub id: String,
    pub record: Arc<Record>,
    pub runs: Runs,
    /// Number of events of a stream and the time before each.
    pub events: u32,
    pub pause: Duration,
    pub slots: u32,
    /// Event after which each run of a stream is preempted once, and for how long.
    pub preemption: Option<(u32, Duration)>,
}

impl Replica {
    /// Rejects a request that the pages don't let this replica run. Returns whether it did.
    pub fn reject(&self, request: &Request, connection: &mut Connection) -> io::Result<bool> {
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let echo = |status: u16, connection: &mut Connection| {
            let headers = [
                ("x-request-id", id.clone()),
                ("x-not-executed", "1".to_owned()),
                ("at-server", self.id.clone()),
            ];
            connection.answer(status, &headers, b"")
        };
        let target = request.header("x-target-instance");
        if target.is_some_and(|target| target != self.id) {
            echo(421, connection)?;
            return Ok(true);
        }
        if id.is_empty() {
            echo(400, connection)?;
            return Ok(true);
        }
        Ok(false)
    }

    /// Runs a request.
    pub fn run(&self, request: &Request, connection: &mut Connection) -> io::Result<()> {
        let id = request
            .header("x-request-id")
            .unwrap_or_default()
            .to_owned();
        let mut runs = self.runs.lock().unwrap_or_else(|e| e.into_inner());
        *runs.entry(id.clone()).or_default() += 1;
        drop(runs);
        let tenant = request.header("x-tenant").unwrap_or("-");
        self.record.line(format!(
            "replica {}: runs {} {} id={id} tenant={tenant}",
            self.id, request.method, request.path
        ));
        let headers = [
            ("x-request-id", id.clone()),
            ("x-response-seal", format!("seal.{}.{id}", self.id)),
            ("x-server-load", format!("1,0,{}", self.slots)),
            ("x-weight-versions", "1".to_owned()),
        ];
        if !request.path.starts_with("/draft/") {
            thread::sleep(self.pause);
            return connection.answer(200, &headers, format!("done {id}").as_bytes());
        }
        let after = request.header("last-event-id").and_then(|t| t.parse().ok());
        let result = self.stream(connection, &headers, after.unwrap_or(0));
        let outcome = match &result {
            Ok(()) => "wrote its last event".to_owned(),
            Err(error) => format!("found its channel closed: {error}"),
        };
        self.record
            .line(format!("replica {}: id={id} {outcome}", self.id));
        result
    }

    fn stream(
        &self,
        connection: &mut Connection,
        headers: &[(&str, String)],
        after: u32,
    ) -> io::Result<()> {
        let mut headers = headers.to_vec();
        headers.push(("content-type", "text/event-stream".to_owned()));
        connection.begin_chunks(200, &headers)?;
        for event in after + 1..=self.events {
            if let Some((events, time)) = self.preemption
                && event == after + 1 + events
            {
                self.record.line(format!(
                    "replica {}: a stream is preempted for {time:?}",
                    self.id
                ));
                thread::sleep(time);
            }
            thread::sleep(self.pause);
            connection.chunk(&format!("id: {event}\ndata: piece {event}\n\n"))?;
        }
        connection.chunk("")
    }
}

/// Returns the body of a complete stream.
pub fn complete_stream(events: u32) -> String {
    (1..=events)
        .map(|n| format!("id: {n}\ndata: piece {n}\n\n"))
        .collect()
}
