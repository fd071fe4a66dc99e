//! Test caller that sends requests sequentially and prints one line for each.

use std::time::Duration;

use bpaf::Bpaf;
use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;

use crate::client::Answer;
use crate::client::Call;
use crate::client::Caller;
use crate::server::BoxError;

/// Body of a streaming request if no body is given.
const DEFAULT_STREAM_BODY: &str =
    r#"{"prompt":"how many ladders are left","max_tokens":16,"stream":true}"#;

/// Command line options of the test caller.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Address of an entry, such as http://127.0.0.1:8080
    #[bpaf(argument("URL"))]
    pub entry: String,
    /// Token of the organisation
    #[bpaf(argument("T"))]
    pub token: String,
    /// Organisation printed on each line
    #[bpaf(argument("NAME"), fallback("-".to_owned()))]
    pub organisation: String,
    /// Path, such as /v1/services/hire-desk/bookings
    #[bpaf(argument("PATH"))]
    pub path: String,
    /// Request body; without one, the request is a GET
    #[bpaf(argument("JSON"))]
    pub body: Option<String>,
    /// Expect an event stream that ends with its last event
    pub stream: bool,
    /// Idempotency key used for all requests
    #[bpaf(argument("K"))]
    pub key: Option<String>,
    /// Number of requests
    #[bpaf(argument("N"), fallback(1))]
    pub count: u32,
    /// Timeout of each request
    #[bpaf(argument("S"), fallback(60))]
    pub seconds: u64,
}

/// Sends the requests and returns whether every answer was complete with status 200.
///
/// # Errors
/// The entry, path, token or key is not valid in an HTTP request.
pub async fn run(options: &Options) -> Result<bool, BoxError> {
    let call = build_call(options)?;
    let caller = Caller::default();
    let mut all_succeeded = true;
    for _ in 0..options.count {
        let answer = caller.send(&call).await;
        println!("{}", format_line(options, &answer));
        all_succeeded &= answer.is_good();
    }
    Ok(all_succeeded)
}

fn build_call(options: &Options) -> Result<Call, BoxError> {
    let default = options.stream.then(|| DEFAULT_STREAM_BODY.to_owned());
    let body = options.body.clone().or(default);
    let mut headers = HeaderMap::new();
    headers.insert(
        AUTHORIZATION,
        HeaderValue::try_from(format!("Bearer {}", options.token))?,
    );
    if body.is_some() {
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    }
    if let Some(key) = &options.key {
        headers.insert("Idempotency-Key", HeaderValue::try_from(key)?);
    }
    Ok(Call {
        method: if body.is_some() {
            Method::POST
        } else {
            Method::GET
        },
        uri: format!("{}{}", options.entry.trim_end_matches('/'), options.path).parse()?,
        headers,
        body: Bytes::from(body.unwrap_or_default()),
        stream: options.stream,
        timeout: Duration::from_secs(options.seconds),
    })
}

fn format_line(options: &Options, answer: &Answer) -> String {
    let service = options.path.split('/').nth(3).unwrap_or("-");
    let problem = answer.read_problem();
    // Without a complete answer or a problem document, the outcome is unknown to the caller.
    let default = if answer.is_good() {
        "answered"
    } else {
        "unknown"
    };
    format!(
        "organisation={} service={service} status={} outcome={} latency_us={} bytes={} complete={} reason={}",
        options.organisation,
        answer.status,
        problem.outcome.as_deref().unwrap_or(default),
        answer.latency.as_micros(),
        answer.bytes,
        answer.complete,
        problem.reason.as_deref().unwrap_or("-"),
    )
}
