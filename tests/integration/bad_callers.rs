//! Tests of invalid settings, unauthenticated peers and misbehaving callers.

use std::path::Path;
use std::process::Command;
use std::process::Output;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use siskinbend_standins::keys;
use siskinbend_standins::platform::Counts;
use siskinbend_wire::Credentials;
use siskinbend_wire::Message;
use siskinbend_wire::Receiver;
use siskinbend_wire::Sender;
use siskinbend_wire::transport;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::sample::GROWERS_TOKEN;
use crate::sample::PICKERS_TOKEN;
use crate::util::Backend;
use crate::util::PlainCluster;
use crate::util::Process;
use crate::util::TEST_TIMEOUT;
use crate::util::TestEnv;
use crate::util::build_booking;
use crate::util::build_draft;
use crate::util::build_lookup;
use crate::util::build_post;
use crate::util::find_address;
use crate::util::read;
use crate::util::read_executions;
use crate::util::read_outcome;
use crate::util::send;
use crate::util::spawn;
use crate::util::wait_for;
use crate::util::with_token;

fn run_program(arguments: &[String]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_siskinbend"))
        .args(arguments)
        .output()
        .expect("the program runs")
}

/// Returns the arguments of an entry with the value of one flag replaced.
fn replace_flag(flags: &[String], name: &str, value: &str) -> Vec<String> {
    let mut flags = flags.to_vec();
    let index = flags.iter().position(|flag| flag == name);
    flags[index.expect("the flag is given") + 1] = value.to_owned();
    flags.insert(0, "entry".to_owned());
    flags
}

#[tokio::test]
async fn wrong_settings_are_all_reported_with_status_2() {
    // If only the first error were reported, an operator would need one restart for each error.
    let env = TestEnv::start().await;
    let flags = env.build_flags("entry-1", find_address(), find_address());
    let mut unknown = replace_flag(&flags, "--zone", "oyo");
    unknown.push("--no-such-flag".to_owned());
    let output = run_program(&unknown);
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("--no-such-flag"));
    let mut wrong = replace_flag(&flags, "--listen", "nowhere");
    wrong.splice(0..1, []);
    let wrong = replace_flag(&wrong, "--key", "/no/such/key");
    let output = run_program(&wrong);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(
        text.contains("--listen") && text.contains("nowhere"),
        "{text}"
    );
    assert!(
        text.contains("--key") && text.contains("/no/such/key"),
        "{text}"
    );
}

#[tokio::test]
async fn malformed_document_is_refused_with_line_and_path() {
    // A process that started with part of a document would admit or refuse the wrong callers.
    let env = TestEnv::start().await;
    let file = env.folder.join("document.toml");
    let text = std::fs::read_to_string(&file).expect("the document exists");
    let text = text.replace("weight = 1\n", "weight = 0\nwieght = 1\n");
    std::fs::write(&file, text).expect("the folder is writable");
    let path = file.display().to_string();
    let output = run_program(&["document", "check", &path].map(str::to_owned));
    let report = String::from_utf8_lossy(&output.stderr).into_owned()
        + &String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(2), "{report}");
    for found in ["organisations[0].weight", "wieght", "line "] {
        assert!(report.contains(found), "{found} is missing in {report}");
    }
    let flags = env.build_flags("entry-1", find_address(), find_address());
    let output = run_program(&replace_flag(&flags, "--zone", "oyo"));
    assert!(!output.status.success());
    let log = String::from_utf8_lossy(&output.stderr).into_owned()
        + &String::from_utf8_lossy(&output.stdout);
    assert!(log.contains("organisations[0].weight"), "{log}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unknown_service_route_and_large_body_reach_no_backend_server() {
    // Calls that the document does not allow must be refused with the outcome not_run.
    let cluster = PlainCluster::start().await;
    let entry = &cluster.entries[0];
    let large = "x".repeat(70 * 1024);
    let cases = [
        (
            build_post(entry, "no-such/bookings", json!({})),
            404,
            "unknown_service",
        ),
        (
            build_post(entry, "desk/no-such", json!({})),
            404,
            "unknown_route",
        ),
        (
            build_post(entry, "desk/bookings", json!({"ref": large})),
            413,
            "body_too_large",
        ),
    ];
    for (call, status, reason) in cases {
        let answer = send(call).await;
        let expected = (status, "not_run".to_owned(), reason.to_owned());
        assert_eq!(read_outcome(&answer), expected);
    }
    for backend in &cluster.backends {
        assert_eq!(backend.read_counts().await.started, 0);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_token_is_refused_before_any_work() {
    // A caller without a valid token must cause no work and no store access, and must not learn
    // which services exist.
    let cluster = PlainCluster::start().await;
    let before: Counts = read(cluster.env.platform, "/counts").await;
    for token in ["wrong", "", "growers", &GROWERS_TOKEN[1..]] {
        let known = send(with_token(
            build_booking(&cluster.entries[0], "x", "x"),
            token,
        ))
        .await;
        let unknown = build_post(&cluster.entries[0], "no-such/path", json!({}));
        let unknown = send(with_token(unknown, token)).await;
        let expected = (401, "not_run".to_owned(), "unauthorized".to_owned());
        assert_eq!(read_outcome(&known), expected, "token \"{token}\"");
        assert_eq!(read_outcome(&unknown), expected, "token \"{token}\"");
    }
    let after: Counts = read(cluster.env.platform, "/counts").await;
    assert_eq!(
        after.table.reads + after.table.writes,
        before.table.reads + before.table.writes
    );
    for backend in &cluster.backends {
        assert_eq!(backend.read_counts().await.started, 0);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_of_another_organisation_reveals_nothing() {
    // Keys are scoped to an organisation: the same key of another organisation must neither return
    // the stored answer nor block a call.
    let cluster = PlainCluster::start().await;
    let own = send(build_booking(&cluster.entries[0], "s-1", "guessable")).await;
    assert_eq!(read_executions(&own), 1);
    let guess = with_token(
        build_booking(&cluster.entries[1], "s-2", "guessable"),
        PICKERS_TOKEN,
    );
    let guess = send(guess).await;
    assert_eq!(read_executions(&guess), 1);
    assert!(!String::from_utf8_lossy(&guess.tail).contains("s-1"));
    let first = send(build_booking(&cluster.entries[0], "s-3", "same")).await;
    assert_eq!(read_executions(&first), 1);
    let same = send(with_token(
        build_booking(&cluster.entries[1], "s-3", "same"),
        PICKERS_TOKEN,
    ))
    .await;
    assert!(same.is_good(), "{:?}", read_outcome(&same));
    // The calls of the two organisations run separately, although key and body are the same.
    assert_eq!(cluster.count_runs("s-3").await, 2);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_used_with_another_body_is_refused() {
    // The answer that is stored for the key belongs to another booking.
    let cluster = PlainCluster::start().await;
    let first = send(build_booking(&cluster.entries[0], "s-4", "s-4")).await;
    assert_eq!(read_executions(&first), 1);
    let other = send(build_booking(&cluster.entries[1], "s-5", "s-4")).await;
    let expected = (422, "not_run".to_owned(), "key_reused".to_owned());
    assert_eq!(read_outcome(&other), expected);
    assert_eq!(cluster.count_runs("s-5").await, 0);
}

/// Reads until the peer closes the connection, and returns what it sent.
async fn read_to_end(socket: &mut TcpStream) -> String {
    let mut text = Vec::new();
    // A reset also counts as a close.
    let reading = tokio::time::timeout(TEST_TIMEOUT, socket.read_to_end(&mut text)).await;
    assert!(reading.is_ok(), "the connection stays open");
    String::from_utf8_lossy(&text).into_owned()
}

async fn connect(entry: &Process) -> TcpStream {
    TcpStream::connect(entry.listen)
        .await
        .expect("the entry listens")
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_never_completes_its_head_is_cut_off() {
    // Callers that keep connections open without sending a request would exhaust the connections.
    let cluster = PlainCluster::start().await;
    let heads = [
        "",
        "P",
        "PRI * HTTP/2.0\r\n",
        "GET / HTTP/1.1\r\nhost: x\r\n",
    ];
    let mut open = Vec::new();
    for head in heads {
        let mut socket = connect(&cluster.entries[0]).await;
        socket.write_all(head.as_bytes()).await.expect("it is open");
        open.push(tokio::spawn(async move { read_to_end(&mut socket).await }));
    }
    for (head, reading) in heads.iter().zip(open) {
        assert!(reading.await.is_ok(), "after \"{}\"", head.escape_debug());
    }
    assert!(send(build_lookup(&cluster.entries[0])).await.is_good());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn caller_that_never_completes_its_body_is_refused() {
    // A request whose body arrives too slowly must not hold memory indefinitely and must not run.
    let cluster = PlainCluster::start().await;
    let mut socket = connect(&cluster.entries[0]).await;
    let head = format!(
        "POST /v1/services/desk/bookings HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         authorization: Bearer {GROWERS_TOKEN}\r\ncontent-type: application/json\r\n\
         content-length: 1000\r\n\r\n{{"
    );
    socket.write_all(head.as_bytes()).await.expect("it is open");
    let (mut reading, mut writing) = socket.into_split();
    let trickle = tokio::spawn(async move {
        while writing.write_all(b" ").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(500)).await;
        }
    });
    let mut answer = vec![0; 4096];
    let length = tokio::time::timeout(TEST_TIMEOUT, reading.read(&mut answer)).await;
    let length = length.expect("an answer comes").expect("it is readable");
    trickle.abort();
    let answer = String::from_utf8_lossy(&answer[..length]).into_owned();
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(
        answer.contains("slow_caller") && answer.contains("not_run"),
        "{answer}"
    );
    for backend in &cluster.backends {
        assert_eq!(backend.read_counts().await.started, 0);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hang_up_cancels_the_work_at_the_engine() {
    // Without the cancel, the engine would spend its slots on tokens that no caller reads.
    let env = TestEnv::start().await;
    let engine = Backend::start_engine("engine-1");
    let agent = env.start_agent("agent-1", "pool", &engine);
    let entry = env.start_entry("entry-1", &[agent.listen]);
    entry.wait_usable(1).await;
    let stream = spawn(build_draft(&entry, 100_000));
    engine.wait_started(1).await;
    stream.abort();
    wait_for("the cancel at the engine", async || {
        (engine.read_counts().await.cancelled == 1).then_some(())
    })
    .await;
    let load: Value = read(engine.address, "/load").await;
    assert_eq!(load["running"], 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hang_up_before_the_answer_cancels_only_what_may_be_repeated() {
    // A booking cannot be stopped once it runs; a repeat must get its answer.
    let cluster = PlainCluster::start().await;
    cluster.set_hold(true).await;
    let quote = spawn(build_post(
        &cluster.entries[0],
        "desk/quotes",
        json!({"ref": "q"}),
    ));
    let busy = cluster.find_busy().await;
    quote.abort();
    wait_for("the cancel of the quote", async || {
        (cluster.backends[busy].read_counts().await.cancelled == 1).then_some(())
    })
    .await;
    let booking = spawn(build_booking(&cluster.entries[0], "s-6", "s-6"));
    let busy = cluster.find_busy().await;
    booking.abort();
    wait_for("the end of the call at the entry", async || {
        let metrics = cluster.entries[0].read_metrics().await;
        metrics.contains("siskinbend_inflight 0").then_some(())
    })
    .await;
    cluster.set_hold(false).await;
    let repeat = wait_for("the answer of the booking", async || {
        let answer = send(build_booking(&cluster.entries[1], "s-6", "s-6")).await;
        answer.is_good().then_some(answer)
    })
    .await;
    assert_eq!(read_executions(&repeat), 1);
    assert_eq!(cluster.backends[busy].count_runs("s-6").await, 1);
}

/// Writes keys signed by a CA that the fleet does not trust, and returns them with the fleet's CA.
fn write_foreign_keys(env: &TestEnv) -> [std::path::PathBuf; 3] {
    let out = env.folder.join("foreign");
    let options = keys::Options {
        out: out.clone(),
        name: vec!["peer".to_owned()],
    };
    keys::write(&options).expect("the folder is writable");
    let ca = env.folder.join("keys").join("ca.pem");
    [ca, out.join("peer.pem"), out.join("peer.key")]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn peer_with_a_certificate_of_another_ca_is_rejected() {
    // Otherwise any process that reaches an agent's port could bypass the checks of the entries.
    let env = TestEnv::start().await;
    let backend = Backend::start_plain("plain-1");
    let agent = env.start_agent("agent-1", "desk", &backend);
    let entry = env.start_entry("entry-1", &[agent.listen]);
    entry.wait_usable(1).await;
    let [ca, cert, key] = write_foreign_keys(&env);
    assert!(
        !gets_answer(&agent, &ca, &cert, &key).await,
        "an untrusted peer got an answer"
    );
    wait_for("the rejection in the log", async || {
        agent.read_log().contains("peer_rejected").then_some(())
    })
    .await;
    let own = env.folder.join("keys");
    let own = (own.join("peer.pem"), own.join("peer.key"));
    assert!(
        gets_answer(&agent, &ca, &own.0, &own.1).await,
        "a trusted peer got no answer"
    );
}

/// Returns whether the agent sends anything to a peer with these keys.
async fn gets_answer(agent: &Process, ca: &Path, cert: &Path, key: &Path) -> bool {
    let keys = Credentials::load(ca, cert, key).expect("the keys are written");
    let local = "127.0.0.1:0".parse().expect("a valid address");
    let endpoint = transport::bind_client(local, &keys).expect("a port is free");
    let Ok(connection) = transport::connect(&endpoint, agent.listen).await else {
        return false;
    };
    // The client may complete its handshake before the server rejects the certificate.
    let hello = async { connection.accept_uni().await.is_ok() };
    let probe = async {
        let (send, receive) = connection.open_bi().await.ok()?;
        let id = siskinbend_types::RequestId(0);
        Sender::new(id, send).send(&[Message::Probe]).await.ok()?;
        Receiver::new(Some(id), receive).receive().await.ok()
    };
    let (hello, probe) = tokio::join!(hello, probe);
    hello || probe.is_some()
}
