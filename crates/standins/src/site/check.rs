//! Callers of the users' platform, and what they and the replicas must have seen.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use super::HOST;
use super::KEY;
use super::Site;
use super::replica::EVENTS;
use crate::server::BoxError;

/// Requests in flight.
const CALLERS: usize = 8;
/// Time in which the agents must have switched the map.
const SWITCH_TIME: Duration = Duration::from_secs(15);

/// A caller's view of one answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The status; `None` if the connection was closed.
    pub status: Option<StatusCode>,
    /// The body; `None` if it is not complete.
    pub body: Option<String>,
    /// The replica's message authentication code.
    pub seal: Option<String>,
    /// Seconds after which to come back.
    pub after: Option<f64>,
}

/// A test caller.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    key: String,
}

impl Default for Caller {
    fn default() -> Self {
        Self::with_key(KEY)
    }
}

impl Caller {
    /// A caller with a key of its own.
    pub fn with_key(key: &str) -> Caller {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Caller {
            client,
            key: key.to_owned(),
        }
    }

    /// Sends one request and reads the whole answer.
    pub async fn call(&self, gateway: SocketAddr, path: &str, id: &str) -> Answer {
        let nothing = Answer {
            status: None,
            body: None,
            seal: None,
            after: None,
        };
        let method = if path.starts_with("/stock/") {
            Method::GET
        } else {
            Method::POST
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{gateway}{path}"))
            .header("host", HOST)
            .header("authorization", format!("Bearer {}", self.key))
            .header("x-request-id", id)
            .header("x-deadline-ms", "3000")
            .body(Full::new(Bytes::new()));
        let Ok(request) = request else {
            return nothing;
        };
        let Ok(response) = self.client.request(request).await else {
            return nothing;
        };
        let text = |name: &str| {
            let value = response.headers().get(name)?;
            Some(value.to_str().ok()?.to_owned())
        };
        let (seal, after) = (text("x-response-seal"), text("retry-after"));
        let status = Some(response.status());
        let body = response.into_body().collect().await.ok();
        Answer {
            status,
            body: body.map(|b| String::from_utf8_lossy(&b.to_bytes()).into_owned()),
            seal,
            after: after.and_then(|a| a.parse().ok()),
        }
    }
}

/// All events of a whole stream.
pub fn whole_stream() -> String {
    (1..=EVENTS)
        .map(|n| format!("id: {n}\ndata: piece {n}\n\n"))
        .collect()
}

/// Waits until a gateway says that it is ready.
///
/// # Errors
/// It doesn't within `limit`.
pub async fn wait_ready(ready: SocketAddr, limit: Duration) -> Result<(), BoxError> {
    let caller = Caller::default();
    let begun = Instant::now();
    while begun.elapsed() < limit {
        if caller.call(ready, "/ready", "ready").await.status == Some(StatusCode::OK) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(format!("{ready} is not ready after {limit:?}").into())
}

/// Makes three requests fail, each in its way, and returns how many ended otherwise: refused before
/// it ran, unknown after its replica lost the answer, and a stream that is cut off.
async fn make_failures(site: &Site, gateway: SocketAddr) -> u32 {
    let caller = Caller::default();
    let set = |full: bool, mute: bool| {
        for desk in &site.desks {
            desk.full.store(full, Ordering::Relaxed);
            desk.mute.store(mute, Ordering::Relaxed);
        }
    };
    let mut wrong = 0;
    set(true, false);
    let refused = caller.call(gateway, "/book/x/", "refused-1").await;
    wrong += u32::from(refused.status != Some(StatusCode::TOO_MANY_REQUESTS));
    set(false, true);
    let unknown = caller.call(gateway, "/book/x/", "unknown-1").await;
    wrong += u32::from(unknown.status != Some(StatusCode::BAD_GATEWAY));
    set(false, false);
    for draft in &site.drafts {
        draft.cut_after.store(3, Ordering::Relaxed);
    }
    let cut = caller.call(gateway, "/draft/x/", "cut-1").await;
    wrong += u32::from(cut.body.is_some());
    for draft in &site.drafts {
        draft.cut_after.store(0, Ordering::Relaxed);
    }
    println!(
        "refused={:?} unknown={:?} cut={}",
        refused.status,
        unknown.status,
        cut.body.is_none()
    );
    wrong
}

/// Sends requests of every kind through all gateways and checks what came back and what ran.
///
/// # Errors
/// Never; the result tells whether all was right.
pub async fn run(site: &Site, gateways: &[SocketAddr], requests: usize) -> Result<bool, BoxError> {
    let paths = ["/draft/a/", "/book/b/", "/stock/c/", "/draft/d/"];
    let mut wrong: u32 = 0;
    let numbers: Vec<usize> = (0..requests).collect();
    for batch in numbers.chunks(CALLERS) {
        let calls = batch.iter().map(|n| {
            let (gateway, path) = (gateways[n % gateways.len()], paths[n % paths.len()]);
            let id = format!("{n:016x}");
            async move {
                (
                    path,
                    id.clone(),
                    Caller::default().call(gateway, path, &id).await,
                )
            }
        });
        for (path, id, answer) in futures::future::join_all(calls).await {
            let expected = match path.starts_with("/draft/") {
                true => whole_stream(),
                false => format!("{{\"done\":\"{id}\"}}"),
            };
            if answer.body.as_ref() != Some(&expected) || answer.seal.is_none() {
                println!("wrong answer to {path} {id}: {answer:?}");
                wrong += 1;
            }
        }
    }
    let mut runs: HashMap<String, u32> = HashMap::new();
    for replica in site.desks.iter().chain(&site.drafts) {
        for (id, count) in replica.runs() {
            *runs.entry(id).or_default() += count;
        }
    }
    let twice = runs.values().filter(|count| **count > 1).count();
    let begun = Instant::now();
    while site.group.tally().0 == 0 && begun.elapsed() < SWITCH_TIME {
        tokio::time::sleep(Duration::from_millis(100)).await;
        Caller::default()
            .call(gateways[0], "/draft/a/", "more")
            .await;
    }
    wrong += make_failures(site, gateways[0]).await;
    let (switches, mixed) = site.group.tally();
    println!(
        "requests={requests} wrong={wrong} ran_twice={twice} switches={switches} mixed={mixed}"
    );
    Ok(wrong == 0 && twice == 0 && switches > 0 && mixed == 0)
}
