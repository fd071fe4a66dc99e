//! Load generator: sends requests to one target over a fixed number of connections and reports
//! latency percentiles.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bpaf::Bpaf;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;

use crate::client::Call;
use crate::client::Caller;
use crate::server::BoxError;

/// Significant decimal digits of the latency histogram.
const HISTOGRAM_DIGITS: u8 = 3;

/// Time after which a request counts as failed.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Settings of the load generator.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// URL of the request, at a stand-in or at an entry
    #[bpaf(argument("URL"))]
    pub target: String,
    /// Token of the organisation
    #[bpaf(argument("T"))]
    pub token: Option<String>,
    /// Body of a POST; without it and without --stream a GET is sent
    #[bpaf(argument("JSON"))]
    pub body: Option<String>,
    /// Number of requests
    #[bpaf(argument("N"))]
    pub requests: u64,
    /// Number of connections, each with one request at a time
    #[bpaf(argument("C"))]
    pub connections: usize,
    /// Request streams
    pub stream: bool,
    /// Number of tokens of each stream
    #[bpaf(argument("N"), fallback(16))]
    pub tokens: u32,
    /// Seconds after which no more requests are sent
    #[bpaf(argument("S"), fallback(60))]
    pub seconds: u64,
}

/// Results of the requests of one or more connections.
struct LoadStats {
    latency: Histogram<u64>,
    failed: u64,
    chunks: u64,
}

/// Sends the requests and prints one line with the results; returns whether every request was sent
/// and answered completely with status 200.
///
/// # Errors
/// An option does not form a valid request, or a latency cannot be recorded.
pub async fn run(options: &Options) -> Result<bool, BoxError> {
    let call = Arc::new(build_call(options)?);
    let remaining = Arc::new(AtomicU64::new(options.requests));
    let start = Instant::now();
    let deadline = start + Duration::from_secs(options.seconds);
    let workers: Vec<_> = (0..options.connections)
        .map(|_| {
            tokio::spawn(send_requests(
                Arc::clone(&call),
                Arc::clone(&remaining),
                deadline,
            ))
        })
        .collect();
    let mut total = LoadStats {
        latency: Histogram::new(HISTOGRAM_DIGITS)?,
        failed: 0,
        chunks: 0,
    };
    for worker in workers {
        let stats = worker.await??;
        total.latency.add(stats.latency)?;
        total.failed += stats.failed;
        total.chunks += stats.chunks;
    }
    let sent = total.latency.len();
    println!(
        "requests={sent} failed={} p50_us={} p99_us={} chunk_count={} requests_per_s={:.0}",
        total.failed,
        total.latency.value_at_quantile(0.5),
        total.latency.value_at_quantile(0.99),
        total.chunks,
        sent as f64 / start.elapsed().as_secs_f64(),
    );
    Ok(total.failed == 0 && sent == options.requests)
}

/// Sends requests until none remains or the deadline has passed. Each worker has its own client,
/// because a shared connection pool would open more connections than requested.
async fn send_requests(
    call: Arc<Call>,
    remaining: Arc<AtomicU64>,
    deadline: Instant,
) -> Result<LoadStats, BoxError> {
    let caller = Caller::default();
    let mut stats = LoadStats {
        latency: Histogram::new(HISTOGRAM_DIGITS)?,
        failed: 0,
        chunks: 0,
    };
    let decrement = |count: u64| count.checked_sub(1);
    while Instant::now() < deadline
        && remaining
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
            .is_ok()
    {
        let answer = caller.send(&call).await;
        stats.failed += u64::from(!answer.is_good());
        stats.chunks += answer.chunks;
        stats.latency.record(answer.latency.as_micros() as u64)?;
    }
    Ok(stats)
}

fn build_call(options: &Options) -> Result<Call, BoxError> {
    let mut headers = HeaderMap::new();
    if let Some(token) = &options.token {
        headers.insert(
            AUTHORIZATION,
            HeaderValue::try_from(format!("Bearer {token}"))?,
        );
    }
    let stream = format!(
        r#"{{"prompt":"load","max_tokens":{},"stream":true}}"#,
        options.tokens
    );
    let body = options.body.clone().or(options.stream.then_some(stream));
    if body.is_some() {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    Ok(Call {
        method: if body.is_some() {
            Method::POST
        } else {
            Method::GET
        },
        uri: options.target.parse()?,
        headers,
        body: Bytes::from(body.unwrap_or_default()),
        stream: options.stream,
        timeout: REQUEST_TIMEOUT,
    })
}
