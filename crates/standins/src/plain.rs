//! Plain service that counts its executions by request id and by the caller's reference.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::routing::get;
use axum::routing::post;
use bpaf::Bpaf;
use http::HeaderMap;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use tokio::sync::watch;

use crate::counters::Counters;
use crate::counters::Counts;
use crate::counters::Load;
use crate::counters::lock;
use crate::counters::read_request_id;

/// Command line options of the plain service.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Address to listen on; port 0 takes a free one
    #[bpaf(argument("ADDR"))]
    pub listen: SocketAddr,
    /// Name given in each answer
    #[bpaf(argument("X"))]
    pub name: String,
    /// Duration of each execution
    #[bpaf(argument("MS"), fallback(0))]
    pub work_ms: u64,
}

/// Response to an execution or a lookup.
#[derive(Debug, Serialize, Deserialize)]
pub struct Answer {
    /// Always true.
    pub ok: bool,
    /// Name of the service.
    pub service: String,
    /// Path after `/v1/`.
    pub path: String,
    /// Number of executions with the same reference or, without a reference, the same request id;
    /// 0 for a lookup.
    pub executions: u64,
    /// The `ref` field of the body.
    pub echo: Option<Value>,
}

#[derive(Debug)]
struct Service {
    name: String,
    duration: Duration,
    /// While true, started executions do not finish.
    held: watch::Sender<bool>,
    running: Mutex<usize>,
    counters: Mutex<Counters>,
}

/// Body of an execution; other fields are accepted and ignored.
#[derive(Debug, Deserialize)]
struct ExecuteBody {
    #[serde(rename = "ref")]
    reference: Option<Value>,
}

/// Counts an execution as finished or, if the handler is dropped early, as cancelled.
struct ExecutionGuard {
    service: Arc<Service>,
    finished: bool,
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        let totals = &mut lock(&self.service.counters).totals;
        if self.finished {
            totals.finished += 1;
        } else {
            totals.cancelled += 1;
        }
        *lock(&self.service.running) -= 1;
    }
}

/// Builds the routes of one plain service.
pub fn build_router(options: &Options) -> Router {
    let service = Arc::new(Service {
        name: options.name.clone(),
        duration: Duration::from_millis(options.work_ms),
        held: watch::Sender::new(false),
        running: Mutex::default(),
        counters: Mutex::default(),
    });
    Router::new()
        .route("/v1/{*path}", get(look_up).post(execute))
        .route("/hold", post(set_hold))
        .route("/load", get(read_load))
        .route("/counts", get(read_counts))
        .with_state(service)
}

async fn look_up(State(service): State<Arc<Service>>, Path(path): Path<String>) -> Json<Answer> {
    lock(&service.counters).totals.lookups += 1;
    let name = service.name.clone();
    Json(Answer {
        ok: true,
        service: name,
        path,
        executions: 0,
        echo: None,
    })
}

async fn execute(
    State(service): State<Arc<Service>>,
    Path(path): Path<String>,
    headers: HeaderMap,
    Json(body): Json<Value>,
) -> Json<Answer> {
    // A body that is not an object has no reference.
    let echo = serde_json::from_value(body)
        .ok()
        .and_then(|body: ExecuteBody| body.reference);
    let executions = {
        let mut counters = lock(&service.counters);
        let by_id = counters.record_start(read_request_id(&headers).as_deref());
        let by_reference = echo
            .as_ref()
            .map(|echo| counters.references.record_run(&format_reference(echo)));
        by_reference.or(by_id).unwrap_or(1)
    };
    *lock(&service.running) += 1;
    let mut guard = ExecutionGuard {
        service: Arc::clone(&service),
        finished: false,
    };
    if !service.duration.is_zero() {
        tokio::time::sleep(service.duration).await;
    }
    // The service keeps the sender alive, so the wait ends only when the hold is released.
    let _ = service.held.subscribe().wait_for(|held| !held).await;
    guard.finished = true;
    let name = service.name.clone();
    Json(Answer {
        ok: true,
        service: name,
        path,
        executions,
        echo,
    })
}

/// Holds executions while set to `true`, so that a test decides when they finish.
async fn set_hold(State(service): State<Arc<Service>>, Json(held): Json<bool>) {
    service.held.send_replace(held);
}

fn format_reference(echo: &Value) -> String {
    echo.as_str()
        .map_or_else(|| echo.to_string(), str::to_owned)
}

async fn read_load(State(service): State<Arc<Service>>) -> Json<Load> {
    Json(Load {
        running: *lock(&service.running),
        ..Load::default()
    })
}

async fn read_counts(State(service): State<Arc<Service>>) -> Json<Counts> {
    Json(lock(&service.counters).report())
}
