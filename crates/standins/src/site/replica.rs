//! Replica of a service on the users' platform: plain answers, event streams and a rank's orders.

use std::collections::HashMap;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use bytes::Bytes;
use futures::FutureExt;
use futures::StreamExt;
use futures::stream::unfold;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use serde_json::Value;
use tokio::sync::Notify;
use tokio::task::AbortHandle;

use super::ranks::Group;
use super::signals::Signals;
use crate::counters::lock;
use crate::server::DroppedResponse;
use crate::server::spawn_abortable;

/// Number of events in a complete stream.
pub const STREAM_EVENTS: u32 = 8;
/// Delay before each event, unless it is set.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
/// Time from a crash to the next start.
const RESTART_DELAY: Duration = Duration::from_millis(400);

/// Replica with an HTTP interface and settings for fault injection.
pub struct Replica {
    /// Id in the store's table of servers.
    pub id: String,
    group: Option<(Arc<Group>, usize)>,
    runs: Mutex<HashMap<String, u32>>,
    /// Number of events after which the next stream is cut off, inside the following event; 0 for
    /// no cut.
    pub cut_after: AtomicU32,
    /// Delay of the first event of each answer in milliseconds.
    pub delay_ms: AtomicU32,
    /// Delay of the head of each answer in milliseconds, after the request was executed.
    pub head_delay_ms: AtomicU32,
    /// Number of events of an answer after which it is interrupted, and for how long.
    pub interruption: Mutex<Option<(u32, Duration)>>,
    /// Delay before each event in milliseconds.
    pub interval_ms: AtomicU32,
    /// Rejects every request with status 503 and marks it as not executed.
    pub overloaded: AtomicBool,
    /// Closes the connection instead of answering, after the request was executed.
    pub lose_answers: AtomicBool,
    /// What the answers say about the replica.
    pub signals: Signals,
    /// Requests a second that the answers name as the limit.
    pub limit: Mutex<Option<f64>>,
    /// When each request arrived while there was a limit.
    limited_arrivals: Mutex<Vec<Instant>>,
    /// Milliseconds that the answers state as the time for which the replica stays cold.
    pub cold_ms: Mutex<Option<u64>>,
    /// When each request arrived.
    arrivals: Mutex<Vec<Instant>>,
    /// Part of a prompt on which the replica crashes as soon as it begins to answer.
    pub crash_part: Mutex<Option<String>>,
    /// End of a path on which the replica crashes as soon as it begins to answer.
    pub crash_path: Mutex<Option<String>>,
    /// Number of crashes.
    pub crashes: AtomicU32,
    crashed: Notify,
    /// Ids of the requests that arrived and on which the replica crashes.
    crash_requests: Mutex<Vec<String>>,
    /// Streams dropped before their end because the connection was closed.
    pub disconnects: AtomicU32,
}

/// State of a stream; dropping it before it is finished counts a disconnect.
struct EventStream {
    replica: Arc<Replica>,
    /// Event after which the answer begins.
    after: u32,
    next_event: u32,
    cut_after: u32,
    finished: bool,
}

impl Drop for EventStream {
    fn drop(&mut self) {
        if !self.finished {
            self.replica.disconnects.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Replica {
    /// Creates a replica; `group` is the group and the rank that it has there, if any.
    pub fn new(id: String, group: Option<(Arc<Group>, usize)>) -> Replica {
        Replica {
            id,
            group,
            runs: Mutex::default(),
            cut_after: AtomicU32::new(0),
            delay_ms: AtomicU32::new(0),
            head_delay_ms: AtomicU32::new(0),
            interruption: Mutex::default(),
            interval_ms: AtomicU32::new(EVENT_INTERVAL.as_millis() as u32),
            overloaded: AtomicBool::new(false),
            lose_answers: AtomicBool::new(false),
            signals: Signals::default(),
            limit: Mutex::default(),
            limited_arrivals: Mutex::default(),
            cold_ms: Mutex::default(),
            arrivals: Mutex::default(),
            crash_part: Mutex::default(),
            crash_path: Mutex::default(),
            crashes: AtomicU32::new(0),
            crashed: Notify::new(),
            crash_requests: Mutex::default(),
            disconnects: AtomicU32::new(0),
        }
    }

    /// Serves the replica at `address`, and restarts it there some time after each crash. `register`
    /// is called with the address at each start.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn spawn<Register>(
        self: Arc<Self>,
        address: SocketAddr,
        register: Register,
    ) -> io::Result<()>
    where
        Register: Fn(SocketAddr) + Send + 'static,
    {
        let router = Arc::clone(&self).build_router();
        let (address, mut server) = spawn_abortable(address, router).await?;
        register(address);
        tokio::spawn(async move {
            loop {
                self.crashed.notified().await;
                server.abort();
                self.crashes.fetch_add(1, Ordering::Relaxed);
                server = self.restart(address).await;
                register(address);
            }
        });
        Ok(())
    }

    /// Starts the replica again some time after a crash.
    async fn restart(self: &Arc<Self>, address: SocketAddr) -> AbortHandle {
        loop {
            tokio::time::sleep(RESTART_DELAY).await;
            let router = Arc::clone(self).build_router();
            // The address may still be in use by the earlier run.
            if let Ok((_, server)) = spawn_abortable(address, router).await {
                return server;
            }
        }
    }

    /// Returns when requests arrived while there was a limit.
    pub fn limited_arrivals(&self) -> Vec<Instant> {
        lock(&self.limited_arrivals).clone()
    }

    /// Returns when requests arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.arrivals).clone()
    }

    /// Returns the ids of the requests that arrived and on which the replica crashes.
    pub fn crash_requests(&self) -> Vec<String> {
        lock(&self.crash_requests).clone()
    }

    /// Returns whether the replica crashes on a request.
    fn crashes_on(&self, path: &str, headers: &HeaderMap) -> bool {
        let end = lock(&self.crash_path).clone();
        end.is_some_and(|end| path.ends_with(&end)) || self.crashes_on_prompt(headers)
    }

    fn crashes_on_prompt(&self, headers: &HeaderMap) -> bool {
        let part = lock(&self.crash_part).clone();
        let prompt = headers.get("x-prompt-prefix").and_then(|v| v.to_str().ok());
        let (Some(part), Some(prompt)) = (part, prompt) else {
            return false;
        };
        let parts: Vec<&str> = prompt.split(',').collect();
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        shared.iter().any(|p| p.split(':').next() == Some(&part))
    }

    /// Returns the number of executions by request id.
    pub fn runs(&self) -> HashMap<String, u32> {
        lock(&self.runs).clone()
    }

    /// Builds the routes.
    pub fn build_router(self: Arc<Self>) -> Router {
        Router::new()
            .route("/report", get(report))
            .route("/picked", get(read_experts))
            .route("/order", post(apply_order))
            .fallback(run)
            .with_state(self)
    }

    fn reject(&self, headers: &HeaderMap) -> Option<Response> {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        if text("x-target-instance").is_some_and(|id| id != self.id) {
            return Some(StatusCode::MISDIRECTED_REQUEST.into_response());
        }
        if self.overloaded.load(Ordering::Relaxed) {
            let head = [("x-not-executed", "1")];
            return Some((StatusCode::SERVICE_UNAVAILABLE, head).into_response());
        }
        let is_valid = text("x-tenant") == Some("growers")
            && text("authorization").is_none()
            && text("x-deadline-ms").is_some();
        (!is_valid).then(|| StatusCode::BAD_REQUEST.into_response())
    }
}

/// Answers a request, and names the limit and the cold time if there are any.
async fn run(State(replica): State<Arc<Replica>>, request: Request<Body>) -> Response {
    lock(&replica.arrivals).push(Instant::now());
    let mut response = run_limited(&replica, &request);
    if response.status().is_success() {
        let delay_ms = replica.head_delay_ms.load(Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(delay_ms.into())).await;
    }
    if let Some(cold_ms) = *lock(&replica.cold_ms) {
        let headers = response.headers_mut();
        headers.insert("x-cold-ms", cold_ms.into());
    }
    response
}

fn run_limited(replica: &Arc<Replica>, request: &Request<Body>) -> Response {
    let answer = match replica.signals.receive() {
        Some(rejection) => rejection,
        None => answer(replica, request),
    };
    let answer = replica.signals.mark(answer);
    let limit = *lock(&replica.limit);
    let Some(limit) = limit else {
        return answer;
    };
    lock(&replica.limited_arrivals).push(Instant::now());
    let head = [("server-limit", limit.to_string())];
    (head, answer).into_response()
}

fn answer(replica: &Arc<Replica>, request: &Request<Body>) -> Response {
    let headers = request.headers().clone();
    if let Some(rejection) = replica.reject(&headers) {
        return rejection;
    }
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    let id = text("x-request-id").unwrap_or_default().to_owned();
    *lock(&replica.runs).entry(id.clone()).or_default() += 1;
    if replica.lose_answers.load(Ordering::Relaxed) {
        return DroppedResponse.into_response();
    }
    let after: u32 = text("last-event-id")
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let stream = request.uri().path().starts_with("/draft/");
    let body = if replica.crashes_on(request.uri().path(), &headers) {
        lock(&replica.crash_requests).push(id.clone());
        crash_in_stream(replica)
    } else if stream {
        stream_events(replica, after)
    } else {
        Body::from(format!("{{\"done\":\"{id}\"}}"))
    };
    let head = [
        ("x-request-id", id),
        ("x-response-seal", format!("seal.{}", replica.id)),
        ("x-server-load", "1,0,8".to_owned()),
    ];
    (head, body).into_response()
}

/// Begins an answer, and crashes in the middle of the first event.
fn crash_in_stream(replica: &Arc<Replica>) -> Body {
    let replica = Arc::clone(replica);
    let beginning = async { Ok::<_, DroppedResponse>(Bytes::from_static(b"id: 1\nda")) };
    let crash = async move {
        tokio::time::sleep(EVENT_INTERVAL).await;
        replica.crashed.notify_one();
        pending().await
    };
    Body::from_stream(beginning.into_stream().chain(crash.into_stream()))
}

fn stream_events(replica: &Arc<Replica>, after: u32) -> Body {
    if let Some((group, rank)) = &replica.group {
        group.record_request(*rank);
    }
    let stream = EventStream {
        replica: Arc::clone(replica),
        after,
        next_event: after + 1,
        cut_after: replica.cut_after.swap(0, Ordering::Relaxed),
        finished: false,
    };
    Body::from_stream(unfold(stream, |stream| async move {
        // Moves the whole struct into the future instead of capturing its fields one by one.
        let mut stream = stream;
        if stream.next_event > STREAM_EVENTS {
            stream.finished = true;
            return None;
        }
        let mut delay_ms = stream.replica.interval_ms.load(Ordering::Relaxed);
        if stream.next_event == stream.after + 1 {
            delay_ms += stream.replica.delay_ms.load(Ordering::Relaxed);
        }
        tokio::time::sleep(Duration::from_millis(delay_ms.into())).await;
        let interruption = *lock(&stream.replica.interruption);
        if let Some((events, duration)) = interruption
            && stream.next_event == stream.after + events + 1
        {
            tokio::time::sleep(duration).await;
        }
        if stream.cut_after > 0 && stream.next_event > stream.cut_after + 1 {
            stream.finished = true;
            return Some((Err(DroppedResponse), stream));
        }
        let event = format!("id: {0}\ndata: piece {0}\n\n", stream.next_event);
        let is_cut = stream.cut_after > 0 && stream.next_event == stream.cut_after + 1;
        let chunk = if is_cut { event[..8].to_owned() } else { event };
        stream.next_event += 1;
        Some((Ok(Bytes::from(chunk)), stream))
    }))
}

async fn report(State(replica): State<Arc<Replica>>) -> Response {
    match &replica.group {
        Some((group, rank)) => Json(group.report(*rank)).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn read_experts(State(replica): State<Arc<Replica>>, request: Request<Body>) -> Response {
    let lists = request.uri().query().is_some_and(|q| q.contains("lists"));
    match &replica.group {
        Some((group, rank)) if lists => Json(group.expert_lists(*rank)).into_response(),
        Some((group, rank)) => Json(group.expert_counts(*rank)).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn apply_order(State(replica): State<Arc<Replica>>, Json(order): Json<Value>) -> Response {
    match &replica.group {
        Some((group, rank)) => {
            let status = group.apply_order(*rank, &order);
            StatusCode::from_u16(status)
                .unwrap_or(StatusCode::CONFLICT)
                .into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}
