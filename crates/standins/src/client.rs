//! HTTP client used by the test callers.

use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use crate::server::BoxError;

/// Number of trailing bytes of a body that are kept; the counts of 100,000 ids take about 7 MB.
const MAX_TAIL_BYTES: usize = 16 * 1024 * 1024;

/// Last event of a complete stream.
const LAST_EVENT: &[u8] = b"data: [DONE]\n\n";

/// A request that can be sent any number of times.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Absolute URI.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the answer is an event stream, which is complete only with its last event.
    pub stream: bool,
    /// Time after which the request is aborted.
    pub timeout: Duration,
}

/// Response to a [`Call`], possibly incomplete.
#[derive(Debug, Default)]
pub struct Answer {
    /// HTTP status, 0 if no response head arrived.
    pub status: u16,
    /// Time from sending the request to the end of the body or the failure.
    pub latency: Duration,
    /// Size of the body in bytes.
    pub bytes: usize,
    /// Number of events of a stream, or of data frames of another body.
    pub chunks: u64,
    /// Whether the body ended without an error and, for a stream, with its last event.
    pub complete: bool,
    /// The last 16 MiB of the body.
    pub tail: Vec<u8>,
}

/// Fields of a problem document that the callers print.
#[derive(Debug, Default, Deserialize)]
pub struct Problem {
    /// `not_run` or `unknown`.
    #[serde(default)]
    pub outcome: Option<String>,
    /// Reason for the outcome.
    #[serde(default)]
    pub reason: Option<String>,
}

impl Answer {
    /// Whether the answer is complete and has status 200.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.complete && self.status == 200
    }

    /// Parses the body as a problem document; the fields stay empty if it is none.
    #[must_use]
    pub fn read_problem(&self) -> Problem {
        serde_json::from_slice(&self.tail).unwrap_or_default()
    }
}

/// HTTP client that keeps its connections alive between requests.
#[derive(Debug, Clone)]
pub struct Caller(Client<HttpConnector, Full<Bytes>>);

impl Default for Caller {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // Automatic retries would hide the failures that the tests look for.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self(client)
    }
}

impl Caller {
    /// Sends `call` once and reads the whole answer.
    pub async fn send(&self, call: &Call) -> Answer {
        let start = Instant::now();
        let mut answer = Answer::default();
        let read = self.read_answer(call, &mut answer);
        let result = tokio::time::timeout(call.timeout, read).await;
        let clean = matches!(result, Ok(Ok(())));
        answer.complete = clean && (!call.stream || answer.tail.ends_with(LAST_EVENT));
        answer.latency = start.elapsed();
        answer
    }

    async fn read_answer(&self, call: &Call, answer: &mut Answer) -> Result<(), BoxError> {
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = call.uri.clone();
        *request.headers_mut() = call.headers.clone();
        let mut response = self.0.request(request).await?;
        answer.status = response.status().as_u16();
        while let Some(frame) = response.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            answer.bytes += data.len();
            answer.chunks += if call.stream {
                count_events(&answer.tail, &data)
            } else {
                1
            };
            answer.tail.extend_from_slice(&data);
            let excess = answer.tail.len().saturating_sub(MAX_TAIL_BYTES);
            answer.tail.drain(..excess);
        }
        Ok(())
    }
}

/// Counts the event terminators (blank lines) in `data`; one may begin with the last byte of
/// `before`.
fn count_events(before: &[u8], data: &[u8]) -> u64 {
    let mut previous = before.last().copied();
    let mut count = 0;
    for &byte in data {
        count += u64::from(byte == b'\n' && previous == Some(b'\n'));
        previous = Some(byte);
    }
    count
}
