//! Faults of the stand-ins; guards against tests that pass because a fault was never injected.

use std::net::SocketAddr;
use std::time::Duration;

use axum::Router;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use serde_json::Value;
use serde_json::json;
use siskinbend_standins::client::Call;
use siskinbend_standins::client::Caller;
use siskinbend_standins::engine;
use siskinbend_standins::platform;
use siskinbend_standins::server;

fn build_call(to: SocketAddr, method: Method, path: &str, body: &Value) -> Call {
    let mut headers = HeaderMap::new();
    headers.insert("Content-Type", HeaderValue::from_static("application/json"));
    headers.insert("Siskinbend-Request", HeaderValue::from_static("r1"));
    let uri = format!("http://{to}{path}").parse();
    Call {
        method,
        uri: uri.expect("address and path are valid"),
        headers,
        body: body.to_string().into(),
        stream: false,
        limit: Duration::from_secs(30),
    }
}

/// Sends once and returns the status, 0 without an answer, and the JSON body.
async fn send(to: SocketAddr, method: Method, path: &str, body: Value) -> (u16, Value) {
    let call = build_call(to, method, path, &body);
    let answer = Caller::default().send(&call).await;
    let body = serde_json::from_slice(&answer.tail).unwrap_or_default();
    (answer.status, body)
}

async fn commit(to: SocketAddr, commit: Value) -> (u16, Value) {
    send(to, Method::POST, "/table/commit", commit).await
}

async fn read(to: SocketAddr, path: &str) -> Value {
    let (status, body) = send(to, Method::GET, path, Value::Null).await;
    assert_eq!(status, 200, "{path} has no answer");
    body
}

async fn start(router: Router) -> SocketAddr {
    server::spawn(router).await.expect("a port is free")
}

#[tokio::test]
async fn lost_answer_follows_an_applied_commit() {
    // A fault that dropped the write as well would never exercise the read-back of a writer.
    let to = start(platform::build_router()).await;
    let faults = json!({"target": "table", "lose_answers": true});
    assert_eq!(send(to, Method::POST, "/faults", faults).await.0, 204);
    let first = json!({"id": "t1", "checks": [{"key": "a", "revision": null}],
        "writes": [{"key": "a", "value": "v"}]});
    assert_eq!(commit(to, first).await, (0, Value::Null));
    let row = json!({"key": "a", "value": "v", "revision": 1, "writer": "t1"});
    assert_eq!(read(to, "/table/row?key=a").await, row);
}

#[tokio::test]
async fn conflicting_check_writes_nothing() {
    // A transaction applied in part would let two claims of one key both dispatch.
    let to = start(platform::build_router()).await;
    let first = json!({"id": "t1", "checks": [{"key": "a", "revision": null}],
        "writes": [{"key": "a", "value": "v"}]});
    let applied = (200, json!({"revision": 1}));
    assert_eq!(commit(to, first).await, applied);
    let second = json!({"id": "t2",
        "checks": [{"key": "b", "revision": null}, {"key": "a", "revision": null}],
        "writes": [{"key": "b", "value": "w"}, {"key": "a", "value": null}]});
    let refused = (409, json!({"key": "a", "revision": 1}));
    assert_eq!(commit(to, second).await, refused);
    let row = json!({"key": "a", "value": "v", "revision": 1, "writer": "t1"});
    let rows = read(to, "/table/scan?prefix=&limit=10").await;
    assert_eq!(rows, json!([row]));
    let third = json!({"id": "t3", "checks": [{"key": "a", "revision": 1}],
        "writes": [{"key": "a", "value": null}]});
    let applied = (200, json!({"revision": 2}));
    assert_eq!(commit(to, third).await, applied);
    let read = send(to, Method::GET, "/table/row?key=a", Value::Null);
    assert_eq!(read.await.0, 404);
}

#[tokio::test]
async fn dropped_stream_counts_as_cancelled() {
    // Work that goes on unseen after a cancel would hold a slot and skew every load report.
    let listen = ([127, 0, 0, 1], 0).into();
    let options = engine::Options {
        listen,
        name: "e".into(),
        slots: 1,
        token_ms: 1,
        step_us: 0,
    };
    let to = start(engine::build_router(&options)).await;
    let body = json!({"prompt": "p", "max_tokens": 100_000_000, "stream": true});
    let mut call = build_call(to, Method::POST, "/v1/complete", &body);
    call.stream = true;
    let sending = tokio::spawn(async move { Caller::default().send(&call).await });
    wait_for(to, "started").await;
    sending.abort();
    let counts = wait_for(to, "cancelled").await;
    assert_eq!(counts["finished"], 0);
    assert_eq!(counts["requests"], json!([{"id": "r1", "runs": 1}]));
    assert_eq!(read(to, "/load").await["running"], 0);
}

/// Polls the counts until `field` is 1.
async fn wait_for(to: SocketAddr, field: &str) -> Value {
    for _ in 0..10_000 {
        let counts = read(to, "/counts").await;
        if counts[field] == 1 {
            return counts;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("no request was counted as {field}");
}

#[tokio::test]
async fn vm_list_is_seen_late() {
    // Without a lag, drain tests would never meet a VM that is leaving but still listed as live.
    let to = start(platform::build_router()).await;
    let list = |state| json!([{"id": "v", "zone": "oyo", "address": "a", "state": state}]);
    assert_eq!(send(to, Method::PUT, "/vms", list("live")).await.0, 204);
    pass_time().await;
    assert_eq!(send(to, Method::PUT, "/vms", list("leaving")).await.0, 204);
    let faults = json!({"target": "vms", "lag_ms": 30_000});
    assert_eq!(send(to, Method::POST, "/faults", faults).await.0, 204);
    assert_eq!(read(to, "/vms").await, list("live"));
    pass_time().await;
    assert_eq!(read(to, "/vms").await, list("leaving"));
}

async fn pass_time() {
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(60)).await;
    tokio::time::resume();
}
