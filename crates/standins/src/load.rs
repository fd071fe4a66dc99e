//! Load on one target over a fixed number of connections, with latency percentiles.

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

/// Significant digits of the latency histogram.
const DIGITS: u8 = 3;

/// Time after which a request counts as failed.
const REQUEST_LIMIT: Duration = Duration::from_secs(30);

/// What to send.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Full address of the request, at a stand-in or at an entry
    #[bpaf(argument("URL"))]
    pub target: String,
    /// Token of the organisation
    #[bpaf(argument("T"))]
    pub token: Option<String>,
    /// Body; a GET without one, unless --stream is given
    #[bpaf(argument("JSON"))]
    pub body: Option<String>,
    /// Number of requests
    #[bpaf(argument("N"))]
    pub requests: u64,
    /// Connections, each with one request at a time
    #[bpaf(argument("C"))]
    pub connections: usize,
    /// Ask for streams
    pub stream: bool,
    /// Tokens of each stream
    #[bpaf(argument("N"), fallback(16))]
    pub tokens: u32,
    /// Time after which no more requests are sent
    #[bpaf(argument("S"), fallback(60))]
    pub seconds: u64,
}

/// What one connection saw.
struct Sample {
    latency: Histogram<u64>,
    failed: u64,
    chunks: u64,
}

/// Sends the requests and prints one line; true if each was complete with status 200.
///
/// # Errors
/// An option is not valid in a request.
pub async fn run(options: &Options) -> Result<bool, BoxError> {
    let call = Arc::new(build_call(options)?);
    let left = Arc::new(AtomicU64::new(options.requests));
    let start = Instant::now();
    let end = start + Duration::from_secs(options.seconds);
    let workers: Vec<_> = (0..options.connections)
        .map(|_| tokio::spawn(work(Arc::clone(&call), Arc::clone(&left), end)))
        .collect();
    let mut total = Sample {
        latency: Histogram::new(DIGITS)?,
        failed: 0,
        chunks: 0,
    };
    for worker in workers {
        let sample = worker.await??;
        total.latency.add(sample.latency)?;
        total.failed += sample.failed;
        total.chunks += sample.chunks;
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

/// Sends requests until none is left or the time is up. Each worker has its own caller, because
/// a shared pool would open connections beyond the number asked for.
async fn work(call: Arc<Call>, left: Arc<AtomicU64>, end: Instant) -> Result<Sample, BoxError> {
    let caller = Caller::default();
    let mut sample = Sample {
        latency: Histogram::new(DIGITS)?,
        failed: 0,
        chunks: 0,
    };
    let take = |left: u64| left.checked_sub(1);
    while Instant::now() < end
        && left
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    {
        let answer = caller.send(&call).await;
        sample.failed += u64::from(!answer.is_good());
        sample.chunks += answer.chunks;
        sample.latency.record(answer.latency.as_micros() as u64)?;
    }
    Ok(sample)
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
        timeout: REQUEST_LIMIT,
    })
}
