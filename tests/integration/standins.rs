//! Tests of the fault injection in the stand-ins. If a fault were not injected, other tests would
//! pass without testing anything.

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

fn build_call(address: SocketAddr, method: Method, path: &str, body: &Value) -> Call {
    let mut headers = HeaderMap::new();
    headers.insert("Content-Type", HeaderValue::from_static("application/json"));
    headers.insert("Siskinbend-Request", HeaderValue::from_static("r1"));
    let uri = format!("http://{address}{path}").parse();
    Call {
        method,
        uri: uri.expect("address and path are valid"),
        headers,
        body: body.to_string().into(),
        stream: false,
        timeout: Duration::from_secs(30),
    }
}

/// Sends a request once. Returns the status, 0 if there was no answer, and the JSON body.
async fn send(address: SocketAddr, method: Method, path: &str, body: Value) -> (u16, Value) {
    let call = build_call(address, method, path, &body);
    let answer = Caller::default().send(&call).await;
    let body = serde_json::from_slice(&answer.tail).unwrap_or_default();
    (answer.status, body)
}

async fn commit(address: SocketAddr, transaction: Value) -> (u16, Value) {
    send(address, Method::POST, "/table/commit", transaction).await
}

async fn get_json(address: SocketAddr, path: &str) -> Value {
    let (status, body) = send(address, Method::GET, path, Value::Null).await;
    assert_eq!(status, 200, "{path} has no answer");
    body
}

async fn spawn_server(router: Router) -> SocketAddr {
    server::spawn(router).await.expect("a port is free")
}

#[tokio::test]
async fn commit_is_applied_when_its_answer_is_lost() {
    // A fault that also dropped the write would never exercise the read-back by which a writer
    // learns that its transaction was applied.
    let address = spawn_server(platform::build_router()).await;
    let faults = json!({"target": "table", "lose_answers": true});
    assert_eq!(send(address, Method::POST, "/faults", faults).await.0, 204);
    let first = json!({"id": "t1", "checks": [{"key": "a", "revision": null}],
        "writes": [{"key": "a", "value": "v"}]});
    assert_eq!(commit(address, first).await, (0, Value::Null));
    let row = json!({"key": "a", "value": "v", "revision": 1, "writer": "t1"});
    assert_eq!(get_json(address, "/table/row?key=a").await, row);
}

#[tokio::test]
async fn commit_with_a_conflicting_check_writes_nothing() {
    // A partially applied transaction would let two claims of the same key both dispatch.
    let address = spawn_server(platform::build_router()).await;
    let first = json!({"id": "t1", "checks": [{"key": "a", "revision": null}],
        "writes": [{"key": "a", "value": "v"}]});
    let applied = (200, json!({"revision": 1}));
    assert_eq!(commit(address, first).await, applied);
    let second = json!({"id": "t2",
        "checks": [{"key": "b", "revision": null}, {"key": "a", "revision": null}],
        "writes": [{"key": "b", "value": "w"}, {"key": "a", "value": null}]});
    let refused = (409, json!({"key": "a", "revision": 1}));
    assert_eq!(commit(address, second).await, refused);
    let row = json!({"key": "a", "value": "v", "revision": 1, "writer": "t1"});
    let rows = get_json(address, "/table/scan?prefix=&limit=10").await;
    assert_eq!(rows, json!([row]));
    let third = json!({"id": "t3", "checks": [{"key": "a", "revision": 1}],
        "writes": [{"key": "a", "value": null}]});
    let applied = (200, json!({"revision": 2}));
    assert_eq!(commit(address, third).await, applied);
    let (status, _) = send(address, Method::GET, "/table/row?key=a", Value::Null).await;
    assert_eq!(status, 404);
}

#[tokio::test]
async fn dropped_stream_is_counted_as_cancelled() {
    // Work that continues after a cancellation would occupy a slot and distort the load reports.
    let listen = ([127, 0, 0, 1], 0).into();
    let options = engine::Options {
        listen,
        name: "e".into(),
        slots: 1,
        token_ms: 1,
        step_us: 0,
    };
    let address = spawn_server(engine::build_router(&options)).await;
    let body = json!({"prompt": "p", "max_tokens": 100_000_000, "stream": true});
    let mut call = build_call(address, Method::POST, "/v1/complete", &body);
    call.stream = true;
    let sending = tokio::spawn(async move { Caller::default().send(&call).await });
    wait_for_count(address, "started").await;
    sending.abort();
    let counts = wait_for_count(address, "cancelled").await;
    assert_eq!(counts["finished"], 0);
    assert_eq!(counts["requests"], json!([{"id": "r1", "runs": 1}]));
    assert_eq!(get_json(address, "/load").await["running"], 0);
}

/// Polls `/counts` until `field` is 1.
async fn wait_for_count(address: SocketAddr, field: &str) -> Value {
    for _ in 0..10_000 {
        let counts = get_json(address, "/counts").await;
        if counts[field] == 1 {
            return counts;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    panic!("no request was counted as {field} after 10,000 polls");
}

#[tokio::test]
async fn vm_list_changes_are_visible_after_the_lag() {
    // Without a lag, drain tests would never cover a VM that is leaving but still listed as live.
    let address = spawn_server(platform::build_router()).await;
    let list = |state| json!([{"id": "v", "zone": "oyo", "address": "a", "state": state}]);
    assert_eq!(
        send(address, Method::PUT, "/vms", list("live")).await.0,
        204
    );
    advance_clock().await;
    assert_eq!(
        send(address, Method::PUT, "/vms", list("leaving")).await.0,
        204
    );
    let faults = json!({"target": "vms", "lag_ms": 30_000});
    assert_eq!(send(address, Method::POST, "/faults", faults).await.0, 204);
    assert_eq!(get_json(address, "/vms").await, list("live"));
    advance_clock().await;
    assert_eq!(get_json(address, "/vms").await, list("leaving"));
}

async fn advance_clock() {
    tokio::time::pause();
    tokio::time::advance(Duration::from_secs(60)).await;
    tokio::time::resume();
}
