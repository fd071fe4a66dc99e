//! Platform clients. Guards against a write that is repeated or whose effect is reported wrongly,
//! and against overloading a failing platform with calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use bytes::Bytes;
use http::StatusCode;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde::Deserialize;
use serde_json::json;
use siskinbend_store::Cause;
use siskinbend_store::Check;
use siskinbend_store::Client;
use siskinbend_store::Commit;
use siskinbend_store::CommitAnswer;
use siskinbend_store::Key;
use siskinbend_store::ObjectStore;
use siskinbend_store::StoreError;
use siskinbend_store::Table;
use siskinbend_store::VmList;
use siskinbend_store::Write;
use siskinbend_store::breaker::CircuitBreaker;
use siskinbend_store::client::Service;
use siskinbend_store::fake::FakePlatform;
use siskinbend_store::fake::Fault;
use siskinbend_store::http::HttpPlatform;
use siskinbend_store::memory::MemoryTable;
use siskinbend_types::Digest;
use siskinbend_types::Time;

fn key(text: &str) -> Key {
    text.parse().expect("key")
}

/// Transaction that writes one row, which must be absent.
fn insert(id: &str, at: &str, value: &str) -> Commit {
    Commit {
        id: id.into(),
        checks: vec![Check {
            key: key(at),
            revision: None,
        }],
        writes: vec![Write {
            key: key(at),
            value: Some(value.to_owned()),
            ttl_ms: None,
        }],
    }
}

fn make_client(fake: &FakePlatform) -> Client {
    let fake = Arc::new(fake.clone());
    Client::new(fake.clone(), fake.clone(), fake, 1)
}

type Shared = State<Arc<Mutex<MemoryTable>>>;

#[derive(Deserialize)]
struct RowQuery {
    key: Option<Key>,
    prefix: Option<Key>,
    limit: Option<usize>,
}

async fn read_row(State(table): Shared, Query(query): Query<RowQuery>) -> Response {
    let table = table.lock().expect("lock");
    match table.read(&query.key.expect("key"), Time(0)) {
        Some(row) => Json(row.clone()).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn scan_rows(State(table): Shared, Query(query): Query<RowQuery>) -> Response {
    let table = table.lock().expect("lock");
    let prefix = query.prefix.expect("prefix");
    Json(table.scan(&prefix, query.limit.expect("limit"), Time(0))).into_response()
}

async fn commit_rows(State(table): Shared, Json(commit): Json<Commit>) -> Response {
    match commit.id.to_string().as_str() {
        "fail" => return StatusCode::SERVICE_UNAVAILABLE.into_response(),
        "limit" => return StatusCode::TOO_MANY_REQUESTS.into_response(),
        "garble" => return "no JSON".into_response(),
        "hang" => std::future::pending().await,
        _ => {}
    }
    match table.lock().expect("lock").commit(&commit, Time(0)) {
        CommitAnswer::Applied(revision) => Json(json!({"revision": revision})).into_response(),
        CommitAnswer::Conflict(key, revision) => {
            let body = Json(json!({"key": key, "revision": revision}));
            (StatusCode::CONFLICT, body).into_response()
        }
    }
}

async fn serve_protocol() -> HttpPlatform {
    let vms = json!([{"id": "vm-1", "zone": "oyo", "address": "127.0.0.1:9", "state": "leaving"}]);
    let objects = get(|Path(name): Path<String>| async move {
        let found = name.starts_with("00");
        found.then_some("content").ok_or(StatusCode::NOT_FOUND)
    });
    let objects = objects.put(|| async { StatusCode::NO_CONTENT });
    let router = Router::new()
        .route("/table/row", get(read_row))
        .route("/table/scan", get(scan_rows))
        .route("/table/commit", post(commit_rows))
        .route("/objects/{name}", objects)
        .route("/vms", get(move || async move { Json(vms) }))
        .with_state(Arc::new(Mutex::new(MemoryTable::default())));
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move { axum::serve(listener, router).await });
    HttpPlatform::new(address.to_string().parse().expect("authority"))
}

#[tokio::test]
async fn http_client_speaks_the_protocol() {
    let platform = serve_protocol().await;
    let table: &dyn Table = &platform;
    assert_eq!(table.read(&key("a/1")).await, Ok(None));
    let first = table
        .commit(&insert("t1", "a/1", "x"))
        .await
        .expect("answer");
    let CommitAnswer::Applied(revision) = first else {
        panic!("{first:?}")
    };
    let row = table.read(&key("a/1")).await.expect("answer").expect("row");
    assert_eq!((row.value.as_str(), row.revision), ("x", revision));
    assert_eq!(row.writer, "t1".into());
    let second = table
        .commit(&insert("t2", "a/1", "y"))
        .await
        .expect("answer");
    assert_eq!(second, CommitAnswer::Conflict(key("a/1"), Some(revision)));
    assert_eq!(table.scan(&key("a/"), 10).await, Ok(vec![row]));
    let objects: &dyn ObjectStore = &platform;
    assert_eq!(
        objects.put(&Digest([0; 32]), Bytes::from("content")).await,
        Ok(())
    );
    assert_eq!(
        objects.get(&Digest([0; 32])).await,
        Ok(Some("content".into()))
    );
    assert_eq!(objects.get(&Digest([1; 32])).await, Ok(None));
    assert_eq!(platform.list().await.expect("list").len(), 1);
}

#[tokio::test]
async fn http_errors_distinguish_unapplied_from_ambiguous_writes() {
    let platform = serve_protocol()
        .await
        .with_timeout(Duration::from_millis(300));
    let cases = [
        ("fail", StoreError::Ambiguous(Cause::Failed)),
        ("garble", StoreError::Ambiguous(Cause::Malformed)),
        ("hang", StoreError::Ambiguous(Cause::Timeout)),
        ("limit", StoreError::NotApplied(Cause::Limited)),
    ];
    for (id, error) in cases {
        assert_eq!(
            platform.commit(&insert(id, "a", "x")).await,
            Err(error),
            "{id}"
        );
    }
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("bind");
    let address: SocketAddr = listener.local_addr().expect("address");
    let platform = HttpPlatform::new(address.to_string().parse().expect("authority"));
    let closing = tokio::spawn(async move {
        // Accepts the request and closes the connection without an answer.
        let (stream, _) = listener.accept().await.expect("accept");
        stream.readable().await.expect("readable");
    });
    let broken = platform.commit(&insert("t", "a", "x")).await;
    assert_eq!(broken, Err(StoreError::Ambiguous(Cause::Broken)));
    closing.await.expect("closed");
    let unreachable = platform.commit(&insert("t", "a", "x")).await;
    assert_eq!(unreachable, Err(StoreError::NotApplied(Cause::Unreachable)));
}

#[tokio::test(start_paused = true)]
async fn commit_of_unknown_effect_is_not_repeated() {
    let fake = FakePlatform::new(1);
    let client = make_client(&fake);
    fake.script_faults([Fault::LoseAnswer]);
    let answer = client.commit(&insert("t1", "a", "x")).await;
    assert_eq!(answer, Err(StoreError::Ambiguous(Cause::Broken)));
    // A repeat would conflict with the row that the first attempt wrote.
    assert_eq!(fake.calls(), 1);
    fake.script_faults([Fault::Down]);
    let answer = client.commit(&insert("t2", "b", "x")).await;
    assert!(matches!(answer, Ok(CommitAnswer::Applied(_))), "{answer:?}");
    assert_eq!(client.counters(Service::Table).read("retries"), 1);
    assert_eq!(client.counters(Service::Table).read("ambiguous"), 1);
}

#[tokio::test(start_paused = true)]
async fn breaker_limits_calls_during_an_outage() {
    let fake = FakePlatform::new(1);
    let client = make_client(&fake);
    fake.set_down(true);
    for _ in 0..6_000 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        client.read(&key("a")).await.expect_err("down");
    }
    // 60 s with 100 calls per second: without a breaker 6,000 calls would reach the platform.
    assert!(fake.calls() < 60, "{} calls", fake.calls());
    fake.set_down(false);
    let before = fake.calls();
    for _ in 0..6_000 {
        tokio::time::sleep(Duration::from_millis(10)).await;
        let _ = client.read(&key("a")).await;
    }
    assert!(
        fake.calls() - before > 4_000,
        "the breaker did not close again"
    );
}

#[tokio::test(start_paused = true)]
async fn retries_stay_within_the_budget() {
    let fake = FakePlatform::new(1);
    let client = make_client(&fake);
    // Only every second attempt fails, so that the breaker stays closed.
    fake.script_faults((0..4_000).map(|i| if i % 2 == 0 { Fault::Down } else { Fault::None }));
    for _ in 0..2_000 {
        let _ = client.read(&key("a")).await;
    }
    let retries = client.counters(Service::Table).read("retries");
    assert!(
        (200..=211).contains(&retries),
        "{retries} retries for 2,000 calls"
    );
}

#[tokio::test(start_paused = true)]
async fn coalesced_reads_make_one_call_and_reads_back_do_not_join() {
    let fake = FakePlatform::new(1);
    let client = Arc::new(make_client(&fake));
    fake.script_faults([Fault::LateAnswer(Duration::from_secs(1))]);
    let at = key("a");
    let reads: Vec<_> = (0..50)
        .map(|_| {
            let (client, at) = (client.clone(), at.clone());
            tokio::spawn(async move { client.read_coalesced(&at).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_millis(10)).await;
    assert_eq!(fake.calls(), 1);
    // The task that made the call is cancelled; the others must not wait forever.
    reads[0].abort();
    client
        .commit(&insert("t1", "a", "x"))
        .await
        .expect("applied");
    // If this read joined the older one, the write would look lost.
    let row = client.read(&at).await.expect("answer").expect("row");
    assert_eq!(row.writer, "t1".into());
    for read in reads.into_iter().skip(1) {
        read.await.expect("joined").expect("answer");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn breaker_always_recovers_gradually(draws in prop::collection::vec(0.0f64..1.0, 400)) {
        let mut breaker = CircuitBreaker::default();
        let mut now = Time(0);
        for _ in 0..20 {
            if breaker.admit(now, 0.5) {
                breaker.record_failure(now, 0.5);
            }
            now = now + Duration::from_millis(100);
        }
        prop_assert!(breaker.open_count() >= 1);
        now = now + Duration::from_secs(20);
        let mut admitted = 0;
        for (index, draw) in draws.iter().enumerate() {
            if breaker.admit(now, *draw) {
                admitted += 1;
                breaker.record_success();
                // After at most three successes the breaker still rejects most calls.
                prop_assert!(index == 0 || index > 3 || *draw < 0.25);
            }
        }
        prop_assert!(breaker.admit(now, 0.999_999), "the breaker is not closed after {admitted} successes");
    }
}
