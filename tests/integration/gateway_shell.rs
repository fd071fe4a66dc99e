//! The real gateway and rank agents, as processes, against the stand-in of the users' platform.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use siskinbend_standins::server::free_ports;
use siskinbend_standins::site::GatewayPorts;
use siskinbend_standins::site::HOST;
use siskinbend_standins::site::KEY;
use siskinbend_standins::site::MOST_BODY;
use siskinbend_standins::site::Site;
use siskinbend_standins::site::build_config;
use siskinbend_standins::site::check::Answer;
use siskinbend_standins::site::check::Caller;
use siskinbend_standins::site::check::wait_ready;
use siskinbend_standins::site::check::whole_stream;
use siskinbend_standins::site::ranks::Shape;
use siskinbend_standins::site::store::Mode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const READY_TIME: Duration = Duration::from_secs(20);
/// Time in which something that has to happen does, also on a loaded machine.
const PATIENCE: Duration = Duration::from_secs(20);
const RANKS: usize = 3;

static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// A process under test; it is killed if the test ends early.
struct Process(Child);

impl Process {
    fn start(role: &str, settings: &str) -> Process {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let name = format!("siskinbend-gateway-{}-{number}.conf", std::process::id());
        let file: PathBuf = std::env::temp_dir().join(name);
        std::fs::write(&file, settings).expect("a settings file");
        let child = Command::new(env!("CARGO_BIN_EXE_siskinbend"))
            .arg(role)
            .arg("--settings")
            .arg(&file)
            .stdout(std::process::Stdio::null())
            .spawn();
        Process(child.expect("the binary starts"))
    }

    fn signal(&self, name: &str) {
        let id = self.0.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &id]).status();
        assert!(sent.expect("kill runs").success());
    }

    async fn wait(&mut self) -> ExitStatus {
        let begun = Instant::now();
        loop {
            if let Some(status) = self.0.try_wait().expect("a child") {
                return status;
            }
            assert!(begun.elapsed() < PATIENCE, "the process does not end");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

struct World {
    site: Site,
    gateway: Process,
    callers: SocketAddr,
    ready: SocketAddr,
    metrics: SocketAddr,
}

impl World {
    async fn start() -> World {
        let site = Site::start(RANKS).await.expect("the stand-ins start");
        let ports = free_ports(3).expect("three ports");
        let callers: SocketAddr = ([127, 0, 2, 1], ports[0]).into();
        let ready: SocketAddr = ([127, 0, 2, 1], ports[1]).into();
        let metrics: SocketAddr = ([127, 0, 2, 1], ports[2]).into();
        let ports = GatewayPorts {
            callers,
            ready,
            metrics: metrics.port(),
        };
        let gateway = Process::start("gateway", &site.gateway_settings(1, &ports));
        wait_ready(ready, READY_TIME)
            .await
            .expect("the gateway is ready");
        World {
            site,
            gateway,
            callers,
            ready,
            metrics,
        }
    }

    async fn call(&self, path: &str, id: &str) -> Answer {
        Caller::default().call(self.callers, path, id).await
    }

    fn count_runs(&self, id: &str) -> u32 {
        let replicas = self.site.desks.iter().chain(&self.site.drafts);
        replicas.filter_map(|r| r.runs().get(id).copied()).sum()
    }
}

async fn eventually(what: &str, done: impl Fn() -> bool) {
    let begun = Instant::now();
    while !done() {
        assert!(begun.elapsed() < PATIENCE, "it never came: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a path that does not hold together: every kind of request, a wrong key and a
/// route that isn't there.
#[tokio::test(flavor = "multi_thread")]
async fn serves_every_kind() {
    let world = World::start().await;
    let stream = world.call("/draft/x/", "a1").await;
    assert_eq!(stream.body, Some(whole_stream()));
    assert!(stream.seal.is_some());
    for (path, id) in [("/book/x/", "a2"), ("/stock/x/", "a3")] {
        let answer = world.call(path, id).await;
        assert_eq!(answer.status, Some(StatusCode::OK), "{path}");
        assert_eq!(world.count_runs(id), 1, "{path}");
    }
    let stranger = Caller::with_key("nobody");
    let refused = stranger.call(world.callers, "/book/x/", "a4").await;
    assert_eq!(refused.status, Some(StatusCode::UNAUTHORIZED));
    let missing = world.call("/nothing/", "a5").await;
    assert_eq!(missing.status, Some(StatusCode::NOT_FOUND));
    assert_eq!(world.count_runs("a4") + world.count_runs("a5"), 0);
}

/// Guards against a caller that gets half an event, a piece twice or a stream that ends early when
/// a replica breaks off.
#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_goes_on() {
    let world = World::start().await;
    for replica in &world.site.drafts {
        replica.cut_after.store(3, Ordering::Relaxed);
    }
    // Every replica breaks off once, so the request needs as many attempts as it may have.
    let first = world.call("/draft/x/", "b1").await;
    for replica in &world.site.drafts {
        replica.cut_after.store(0, Ordering::Relaxed);
    }
    let parts = first.body.is_none() || first.body == Some(whole_stream());
    assert!(parts, "an incomplete stream looked complete: {first:?}");
    // One replica breaks off at a time, so that the second attempt always meets a whole stream.
    for (number, replica) in world.site.drafts.iter().enumerate() {
        replica.cut_after.store(3, Ordering::Relaxed);
        let begun = Instant::now();
        while replica.cut_after.load(Ordering::Relaxed) > 0 {
            assert!(
                begun.elapsed() < PATIENCE,
                "replica {number} gets no request"
            );
            let id = format!("b{number}{}", begun.elapsed().as_micros());
            let answer = world.call("/draft/x/", &id).await;
            assert_eq!(
                answer.body,
                Some(whole_stream()),
                "replica {number} broke off"
            );
        }
    }
}

/// Guards against a booking that runs twice or is called "not run" after its answer was lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_booking_is_unknown() {
    let world = World::start().await;
    for replica in &world.site.desks {
        replica.mute.store(true, Ordering::Relaxed);
    }
    let answer = world.call("/book/x/", "c1").await;
    let promises = [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    assert!(!promises.map(Some).contains(&answer.status), "{answer:?}");
    assert_eq!(world.count_runs("c1"), 1);
}

/// Guards against refusals without a time to come back, and against a run after "not run".
#[tokio::test(flavor = "multi_thread")]
async fn full_replicas_refuse() {
    let world = World::start().await;
    for replica in world.site.desks.iter().chain(&world.site.drafts) {
        replica.full.store(true, Ordering::Relaxed);
    }
    for (path, id) in [("/book/x/", "d1"), ("/draft/x/", "d2")] {
        let answer = world.call(path, id).await;
        let status = answer.status.expect("an answer");
        assert!([429, 503].contains(&status.as_u16()), "{path}: {status}");
        let after = answer.after.expect("a time to come back");
        assert!(after > 0.0 && after <= 1.0, "{path}: {after}");
        assert_eq!(world.count_runs(id), 0);
    }
}

/// Writes bytes to a gateway and reads what comes back until it closes or `limit` is over.
async fn write_raw(gateway: SocketAddr, bytes: &[u8], close: bool, limit: Duration) -> String {
    let mut stream = TcpStream::connect(gateway).await.expect("a connection");
    stream.write_all(bytes).await.expect("the bytes are taken");
    if close {
        stream.shutdown().await.expect("half a close");
    }
    let mut answer = Vec::new();
    // Whatever came until the limit is the answer.
    let _ = tokio::time::timeout(limit, stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// The head of a booking with a body of a stated length.
fn head_of(id: &str, length: usize) -> String {
    format!(
        "POST /book/x/ HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {KEY}\r\n\
         x-request-id: {id}\r\nx-deadline-ms: 3000\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Guards against half a request that runs, or that takes a gateway from other callers.
#[tokio::test(flavor = "multi_thread")]
async fn half_requests_never_run() {
    let world = World::start().await;
    let half_head = &head_of("k1", 0)[..40];
    let mut half_body = head_of("k2", 100);
    half_body.push_str("only part");
    let slow = half_body.replace("k2", "k3");
    let limit = Duration::from_millis(500);
    write_raw(world.callers, half_head.as_bytes(), true, limit).await;
    write_raw(world.callers, half_body.as_bytes(), true, limit).await;
    let callers = world.callers;
    let waiting =
        tokio::spawn(async move { write_raw(callers, slow.as_bytes(), false, PATIENCE).await });
    let other = world.call("/book/x/", "k4").await;
    assert_eq!(other.status, Some(StatusCode::OK));
    let answer = waiting.await.expect("the caller ends");
    assert!(answer.starts_with("HTTP/1.1 408 "), "{answer}");
    assert!(answer.contains("slow_caller"), "{answer}");
    let runs = ["k1", "k2", "k3"].map(|id| world.count_runs(id));
    assert_eq!(runs, [0, 0, 0]);
}

/// Guards against bodies beyond the operators' limit that are kept or run, with a stated length
/// and in chunks.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_are_refused() {
    let world = World::start().await;
    let limit = Duration::from_secs(2);
    let mut stated = head_of("l1", MOST_BODY + 1).into_bytes();
    stated.extend(vec![b'x'; MOST_BODY + 1]);
    let chunked = head_of("l2", 0).replace("content-length: 0", "transfer-encoding: chunked");
    let mut chunked = chunked.into_bytes();
    for _ in 0..=MOST_BODY / 4096 {
        chunked.extend(b"1000\r\n");
        chunked.extend(vec![b'x'; 4096]);
        chunked.extend(b"\r\n");
    }
    chunked.extend(b"0\r\n\r\n");
    for body in [&stated, &chunked] {
        let answer = write_raw(world.callers, body, false, limit).await;
        assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
        assert!(answer.contains("body_too_large"), "{answer}");
    }
    let mut fitting = head_of("l3", MOST_BODY).into_bytes();
    fitting.extend(vec![b'x'; MOST_BODY]);
    let answer = write_raw(world.callers, &fitting, false, limit).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    let runs = ["l1", "l2", "l3"].map(|id| world.count_runs(id));
    assert_eq!(runs, [0, 0, 1]);
}

/// Guards against keys that are used although nobody knows any more whether they still hold, and
/// against a gateway that does not come back with the store.
#[tokio::test(flavor = "multi_thread")]
async fn silent_store_stops_keys() {
    let world = World::start().await;
    world.site.store.set_mode(Mode::Silent);
    let begun = Instant::now();
    loop {
        let answer = world.call("/book/x/", "e1").await;
        if answer.status == Some(StatusCode::SERVICE_UNAVAILABLE) {
            break;
        }
        assert!(
            begun.elapsed() < PATIENCE,
            "keys are used for ever: {answer:?}"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    world.site.store.set_mode(Mode::Up);
    let begun = Instant::now();
    while world.call("/book/x/", "e2").await.status != Some(StatusCode::OK) {
        assert!(begun.elapsed() < PATIENCE, "it does not come back");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Guards against nonsense from the store that changes what is known, and against an unreadable
/// configuration or a lost history that stops all later ones.
#[tokio::test(flavor = "multi_thread")]
async fn nonsense_changes_nothing() {
    let world = World::start().await;
    let store = &world.site.store;
    store.write("op", "config", Some(b"{\"version\":".to_vec()));
    store.write("servers", "i-odd", Some(vec![0xff, 0]));
    store.set_mode(Mode::Nonsense);
    assert_eq!(
        world.call("/book/x/", "f1").await.status,
        Some(StatusCode::OK)
    );
    store.set_mode(Mode::Up);
    store.forget_history();
    let shape = Shape {
        ranks: RANKS,
        sets: 2,
        experts: 12,
        places: 6,
    };
    let mut config = build_config(9, &shape);
    config["routes"][1]["prefix"] = "/moved/".into();
    store.put("op", "config", &config);
    let begun = Instant::now();
    while world.call("/moved/x/", "f2").await.status != Some(StatusCode::OK) {
        assert!(
            begun.elapsed() < PATIENCE,
            "version 9 never came into force"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(
        world.call("/book/x/", "f3").await.status,
        Some(StatusCode::NOT_FOUND)
    );
}

/// Names in the first column of the table of metrics in docs/OPERATIONS.md.
fn list_documented() -> BTreeSet<String> {
    let page = include_str!("../../docs/OPERATIONS.md");
    let table = page.split("## Metrics").nth(1).expect("the section");
    let names = table
        .lines()
        .filter_map(|line| line.strip_prefix("| `siskinbend_"));
    let name = |rest: &str| rest.split(['`', '{']).next().map(str::to_owned);
    names.filter_map(name).collect()
}

/// Guards against metrics that no page explains, pages about metrics that are not served, and
/// beliefs that don't follow.
#[tokio::test(flavor = "multi_thread")]
async fn metrics_are_documented() {
    let world = World::start().await;
    world.call("/draft/x/", "m1").await;
    for replica in &world.site.drafts {
        replica.cut_after.store(3, Ordering::Relaxed);
    }
    // It is tried again at least once.
    world.call("/draft/x/", "m2").await;
    for replica in &world.site.desks {
        replica.full.store(true, Ordering::Relaxed);
    }
    world.call("/book/x/", "m3").await;
    let page = Caller::default().call(world.metrics, "/metrics", "m").await;
    let text = page.body.expect("a page");
    let types = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE siskinbend_"));
    let served: BTreeSet<String> = types
        .map(|line| {
            let (name, kind) = line.split_once(' ').expect("a name and a type");
            let suffix = if kind == "counter" { "_total" } else { "" };
            format!("{name}{suffix}")
        })
        .collect();
    assert_eq!(served, list_documented(), "{text}");
    for line in [
        "siskinbend_first_event_seconds_count 2",
        "siskinbend_retries_total{reason=\"link_lost\"} 1",
        "siskinbend_config_version 1",
        "siskinbend_streams{service=\"drafts\"} 0",
        "siskinbend_group_open{service=\"drafts\"} 1",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is not in {text}");
    }
    assert!(
        text.contains("siskinbend_refusals_total{reason=\"queue_full\"}"),
        "{text}"
    );
}

/// Guards against a SIGHUP that ends the process, and a SIGTERM that cuts a request off.
#[tokio::test(flavor = "multi_thread")]
async fn signals_cut_nothing() {
    let mut world = World::start().await;
    world.gateway.signal("HUP");
    assert_eq!(
        world.call("/book/x/", "g1").await.status,
        Some(StatusCode::OK)
    );
    let callers = world.callers;
    let stream =
        tokio::spawn(async move { Caller::default().call(callers, "/draft/x/", "g2").await });
    let drafts = world.site.drafts.clone();
    eventually("the stream", || {
        drafts.iter().any(|r| r.runs().contains_key("g2"))
    })
    .await;
    world.gateway.signal("TERM");
    let answer = stream.await.expect("the caller ends");
    assert_eq!(answer.body, Some(whole_stream()));
    let ready = Caller::default().call(world.ready, "/ready", "r").await;
    assert_ne!(ready.status, Some(StatusCode::OK), "it is still ready");
    assert!(world.gateway.wait().await.success());
}

/// Guards against work that goes on after its caller has left.
#[tokio::test(flavor = "multi_thread")]
async fn left_callers_are_noticed() {
    let world = World::start().await;
    let callers = world.callers;
    let call =
        tokio::spawn(async move { Caller::default().call(callers, "/draft/x/", "h1").await });
    let drafts = world.site.drafts.clone();
    eventually("the stream", || {
        drafts.iter().any(|r| r.runs().contains_key("h1"))
    })
    .await;
    call.abort();
    let left = || {
        drafts
            .iter()
            .map(|r| r.left.load(Ordering::Relaxed))
            .sum::<u32>()
            > 0
    };
    eventually("the end of the work", left).await;
}

/// Guards against agents that never even out the experts, or that mix two maps in one pass, also
/// when the leading agent is killed and started again.
#[tokio::test(flavor = "multi_thread")]
async fn agents_switch_maps() {
    let world = World::start().await;
    let start = |rank: usize| Process::start("rank-agent", &world.site.rank_settings(rank));
    let mut agents: Vec<Process> = (0..RANKS).map(start).collect();
    let begun = Instant::now();
    let mut killed = false;
    while world.site.group.tally().0 < 2 * RANKS as u32 {
        assert!(begun.elapsed() < PATIENCE, "the map was not switched twice");
        world
            .call("/draft/x/", &format!("i{}", begun.elapsed().as_micros()))
            .await;
        if !killed && world.site.group.tally().0 > 0 {
            agents[0] = start(0);
            killed = true;
            // The demand moves, so that another map is needed.
            world.site.group.shift();
        }
    }
    assert_eq!(world.site.group.tally().1, 0, "passes with two maps");
}

/// Guards against agents that read an incomplete registry at their start, as after the loss of all
/// VMs, and then follow different leaders for long.
#[tokio::test(flavor = "multi_thread")]
async fn late_registration_is_noticed() {
    let world = World::start().await;
    let first = &world.site.drafts[0].id;
    let address = world.site.store.find_address(first);
    world.site.store.write("servers", first, None);
    let start = |rank: usize| Process::start("rank-agent", &world.site.rank_settings(rank));
    let agents: Vec<Process> = (1..RANKS).map(start).collect();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let address = address.parse().expect("an address");
    world.site.store.register(first, "drafts", address);
    let leader = start(0);
    let begun = Instant::now();
    while world.site.group.tally().0 == 0 {
        assert!(begun.elapsed() < PATIENCE / 2, "no map was switched");
        let id = format!("j{}", begun.elapsed().as_micros());
        world.call("/draft/x/", &id).await;
    }
    drop((agents, leader));
}
