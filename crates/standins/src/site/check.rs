//! Sends requests through the gateways and checks the answers and what the replicas executed.

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

use super::API_KEY;
use super::HOST;
use super::Site;
use super::replica::STREAM_EVENTS;
use crate::server::BoxError;

/// Requests sent at the same time; a batch ends before the next one starts.
const BATCH_SIZE: usize = 8;
/// Time within which the agents must switch the expert map.
const SWITCH_TIMEOUT: Duration = Duration::from_secs(15);

/// Answer to a request as the caller receives it.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Status; `None` if the connection was closed without an answer.
    pub status: Option<StatusCode>,
    /// Body; `None` if it is incomplete.
    pub body: Option<String>,
    /// Message authentication code from the replica (`x-response-seal`).
    pub seal: Option<String>,
    /// Seconds to wait before a retry (`retry-after`).
    pub after: Option<f64>,
}

/// Client that sends the requests of a test caller.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    key: String,
}

impl Default for Caller {
    fn default() -> Self {
        Self::with_key(API_KEY)
    }
}

impl Caller {
    /// Creates a caller that authenticates with `key`.
    pub fn with_key(key: &str) -> Caller {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Caller {
            client,
            key: key.to_owned(),
        }
    }

    /// Sends one request and reads the complete answer.
    pub async fn call(&self, gateway: SocketAddr, path: &str, id: &str) -> Answer {
        self.call_with_prompt(gateway, path, id, "own:10").await
    }

    /// Sends one request with the given parts of a prompt and reads the complete answer.
    pub async fn call_with_prompt(
        &self,
        gateway: SocketAddr,
        path: &str,
        id: &str,
        prompt: &str,
    ) -> Answer {
        let no_answer = Answer {
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
            .header("x-prompt-prefix", prompt)
            .body(Full::new(Bytes::new()));
        let Ok(request) = request else {
            return no_answer;
        };
        let Ok(response) = self.client.request(request).await else {
            return no_answer;
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

/// Returns the body of a stream that was not cut off.
pub fn complete_stream() -> String {
    (1..=STREAM_EVENTS)
        .map(|n| format!("id: {n}\ndata: piece {n}\n\n"))
        .collect()
}

/// Polls a gateway's readiness endpoint until it answers 200.
///
/// # Errors
/// The gateway is not ready within `timeout`.
pub async fn wait_until_ready(ready: SocketAddr, timeout: Duration) -> Result<(), BoxError> {
    let caller = Caller::default();
    let started = Instant::now();
    while started.elapsed() < timeout {
        if caller.call(ready, "/ready", "ready").await.status == Some(StatusCode::OK) {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    Err(format!("{ready} is not ready after {timeout:?}").into())
}

/// Provokes three failures and returns how many had another outcome than expected.
///
/// The failures are a request that overloaded replicas reject before executing it, a request whose
/// outcome is unknown because the replica lost the answer, and a stream that is cut off.
async fn provoke_failures(site: &Site, gateway: SocketAddr) -> u32 {
    let caller = Caller::default();
    let set_faults = |overloaded: bool, lose_answers: bool| {
        for replica in &site.plain_replicas {
            replica.overloaded.store(overloaded, Ordering::Relaxed);
            replica.lose_answers.store(lose_answers, Ordering::Relaxed);
        }
    };
    let mut wrong = 0;
    set_faults(true, false);
    let refused = caller.call(gateway, "/book/x/", "refused-1").await;
    wrong += u32::from(refused.status != Some(StatusCode::TOO_MANY_REQUESTS));
    set_faults(false, true);
    let unknown = caller.call(gateway, "/book/x/", "unknown-1").await;
    wrong += u32::from(unknown.status != Some(StatusCode::BAD_GATEWAY));
    set_faults(false, false);
    for replica in &site.model_replicas {
        replica.cut_after.store(3, Ordering::Relaxed);
    }
    let cut = caller.call(gateway, "/draft/x/", "cut-1").await;
    wrong += u32::from(cut.body.is_some());
    for replica in &site.model_replicas {
        replica.cut_after.store(0, Ordering::Relaxed);
    }
    println!(
        "refused={:?} unknown={:?} cut={}",
        refused.status,
        unknown.status,
        cut.body.is_none()
    );
    wrong
}

/// Sends requests of every kind through all gateways and checks the answers and the executions.
///
/// Returns whether every answer was as expected, no request ran twice, and the map was switched
/// without a step on two maps.
///
/// # Errors
/// Never returns an error.
pub async fn run(site: &Site, gateways: &[SocketAddr], requests: usize) -> Result<bool, BoxError> {
    let paths = ["/draft/a/", "/book/b/", "/stock/c/", "/draft/d/"];
    let mut wrong: u32 = 0;
    let numbers: Vec<usize> = (0..requests).collect();
    for batch in numbers.chunks(BATCH_SIZE) {
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
                true => complete_stream(),
                false => format!("{{\"done\":\"{id}\"}}"),
            };
            if answer.body.as_ref() != Some(&expected) || answer.seal.is_none() {
                println!("wrong answer to {path} {id}: {answer:?}");
                wrong += 1;
            }
        }
    }
    let mut runs: HashMap<String, u32> = HashMap::new();
    for replica in site.plain_replicas.iter().chain(&site.model_replicas) {
        for (id, count) in replica.runs() {
            *runs.entry(id).or_default() += count;
        }
    }
    let repeated = runs.values().filter(|count| **count > 1).count();
    let started = Instant::now();
    while site.groups[0].switch_counts().0 == 0 && started.elapsed() < SWITCH_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(100)).await;
        Caller::default()
            .call(gateways[0], "/draft/a/", "more")
            .await;
    }
    wrong += provoke_failures(site, gateways[0]).await;
    let (switches, mixed_steps) = site.groups[0].switch_counts();
    println!(
        "requests={requests} wrong={wrong} ran_twice={repeated} switches={switches} \
         mixed={mixed_steps}"
    );
    Ok(wrong == 0 && repeated == 0 && switches > 0 && mixed_steps == 0)
}
