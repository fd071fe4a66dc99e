//! A replica of the users' platform: plain answers and event streams, and a rank's orders.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use bytes::Bytes;
use futures::stream::unfold;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use serde_json::Value;

use super::ranks::Group;
use crate::server::LostAnswer;
use crate::tally::lock;

/// Events of a stream.
pub const EVENTS: u32 = 8;
/// Pause between two events.
const EVENT_PAUSE: Duration = Duration::from_millis(20);

/// One replica.
pub struct Replica {
    /// Its id in the registry.
    pub id: String,
    group: Option<(Arc<Group>, usize)>,
    runs: Mutex<HashMap<String, u32>>,
    /// The next stream breaks off in the middle of the event after this one; 0 for none.
    pub cut_after: AtomicU32,
    /// Whether requests are turned away as not run.
    pub full: AtomicBool,
    /// Whether answers are lost after the request ran.
    pub mute: AtomicBool,
    /// Streams that ended because their connection was closed.
    pub left: AtomicU32,
}

/// What ends a stream early.
struct Stream {
    replica: Arc<Replica>,
    next: u32,
    cut: u32,
    done: bool,
}

impl Drop for Stream {
    fn drop(&mut self) {
        if !self.done {
            self.replica.left.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Replica {
    /// A replica, which may be a rank of a group.
    pub fn new(id: String, group: Option<(Arc<Group>, usize)>) -> Replica {
        Replica {
            id,
            group,
            runs: Mutex::default(),
            cut_after: AtomicU32::new(0),
            full: AtomicBool::new(false),
            mute: AtomicBool::new(false),
            left: AtomicU32::new(0),
        }
    }

    /// How often each request ran here.
    pub fn runs(&self) -> HashMap<String, u32> {
        lock(&self.runs).clone()
    }

    /// Builds the routes.
    pub fn build_router(self: Arc<Self>) -> Router {
        Router::new()
            .route("/report", get(report))
            .route("/picked", get(picked))
            .route("/order", post(order))
            .fallback(run)
            .with_state(self)
    }

    fn refuse(&self, headers: &HeaderMap) -> Option<Response> {
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
        if text("x-target-instance").is_some_and(|id| id != self.id) {
            return Some(StatusCode::MISDIRECTED_REQUEST.into_response());
        }
        if self.full.load(Ordering::Relaxed) {
            let head = [("x-not-executed", "1")];
            return Some((StatusCode::SERVICE_UNAVAILABLE, head).into_response());
        }
        let proper = text("x-tenant") == Some("growers")
            && text("authorization").is_none()
            && text("x-deadline-ms").is_some();
        (!proper).then(|| StatusCode::BAD_REQUEST.into_response())
    }
}

async fn run(State(replica): State<Arc<Replica>>, request: Request<Body>) -> Response {
    let headers = request.headers().clone();
    if let Some(refusal) = replica.refuse(&headers) {
        return refusal;
    }
    let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok());
    let id = text("x-request-id").unwrap_or_default().to_owned();
    *lock(&replica.runs).entry(id.clone()).or_default() += 1;
    if replica.mute.load(Ordering::Relaxed) {
        return LostAnswer.into_response();
    }
    let after: u32 = text("last-event-id")
        .and_then(|n| n.parse().ok())
        .unwrap_or(0);
    let stream = request.uri().path().starts_with("/draft/");
    let body = if stream {
        stream_events(&replica, after)
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

fn stream_events(replica: &Arc<Replica>, after: u32) -> Body {
    if let Some((group, rank)) = &replica.group {
        group.count(*rank);
    }
    let stream = Stream {
        replica: Arc::clone(replica),
        next: after + 1,
        cut: replica.cut_after.swap(0, Ordering::Relaxed),
        done: false,
    };
    Body::from_stream(unfold(stream, |stream| async move {
        // Captures the stream as a whole, not its fields one by one.
        let mut stream = stream;
        if stream.next > EVENTS {
            stream.done = true;
            return None;
        }
        tokio::time::sleep(EVENT_PAUSE).await;
        if stream.cut > 0 && stream.next > stream.cut + 1 {
            stream.done = true;
            return Some((Err(LostAnswer), stream));
        }
        let whole = format!("id: {0}\ndata: piece {0}\n\n", stream.next);
        let broken = stream.cut > 0 && stream.next == stream.cut + 1;
        let event = if broken { whole[..8].to_owned() } else { whole };
        stream.next += 1;
        Some((Ok(Bytes::from(event)), stream))
    }))
}

async fn report(State(replica): State<Arc<Replica>>) -> Response {
    match &replica.group {
        Some((group, rank)) => Json(group.report(*rank)).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn picked(State(replica): State<Arc<Replica>>, request: Request<Body>) -> Response {
    let lists = request.uri().query().is_some_and(|q| q.contains("lists"));
    match &replica.group {
        Some((group, rank)) if lists => Json(group.lists(*rank)).into_response(),
        Some((group, rank)) => Json(group.picked(*rank)).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn order(State(replica): State<Arc<Replica>>, Json(order): Json<Value>) -> Response {
    match &replica.group {
        Some((group, rank)) => {
            let status = group.apply(*rank, &order);
            StatusCode::from_u16(status)
                .unwrap_or(StatusCode::CONFLICT)
                .into_response()
        }
        None => StatusCode::NOT_FOUND.into_response(),
    }
}
