//! HTTP client of the test callers.

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

/// Bytes of an answer that are kept for its check; the counts of 100,000 ids are about 7 MB.
const KEPT_BYTES: usize = 16 * 1024 * 1024;

/// Last event of a stream that is complete.
const LAST_EVENT: &[u8] = b"data: [DONE]\n\n";

/// A request that can be sent any number of times.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Full address.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether the answer is a stream that must end with its last event.
    pub stream: bool,
    /// Time after which the request is given up.
    pub limit: Duration,
}

/// What came back.
#[derive(Debug, Default)]
pub struct Answer {
    /// Status, 0 if no head arrived.
    pub status: u16,
    /// From the send to the end of the body or the failure.
    pub latency: Duration,
    /// Bytes of the body.
    pub bytes: usize,
    /// Events of a stream, or pieces in which the body arrived.
    pub chunks: u64,
    /// Whether the body ended cleanly and, for a stream, with its last event.
    pub complete: bool,
    /// The end of the body, up to 16 MiB.
    pub tail: Vec<u8>,
}

/// Fields of a problem document that the callers print.
#[derive(Debug, Default, Deserialize)]
pub struct Problem {
    /// `not_run` or `unknown`.
    #[serde(default)]
    pub outcome: Option<String>,
    /// Why.
    #[serde(default)]
    pub reason: Option<String>,
}

impl Answer {
    /// Whether the call got a complete answer with status 200.
    #[must_use]
    pub fn is_good(&self) -> bool {
        self.complete && self.status == 200
    }

    /// Reads the problem document, if the body is one.
    #[must_use]
    pub fn read_problem(&self) -> Problem {
        serde_json::from_slice(&self.tail).unwrap_or_default()
    }
}

/// Caller that keeps its connections alive between requests.
#[derive(Debug, Clone)]
pub struct Caller(Client<HttpConnector, Full<Bytes>>);

impl Default for Caller {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // A caller that repeated a request by itself would hide what is tested.
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
        let ended = tokio::time::timeout(call.limit, read).await;
        let clean = matches!(ended, Ok(Ok(())));
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
            let excess = answer.tail.len().saturating_sub(KEPT_BYTES);
            answer.tail.drain(..excess);
        }
        Ok(())
    }
}

/// Counts the ends of events in `data`; an end may begin with the last byte of `before`.
fn count_events(before: &[u8], data: &[u8]) -> u64 {
    let mut previous = before.last().copied();
    let mut count = 0;
    for &byte in data {
        count += u64::from(byte == b'\n' && previous == Some(b'\n'));
        previous = Some(byte);
    }
    count
}
