//! Test caller: sends requests one after the other and prints one line for each.

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

/// Body of a stream for which none is given.
const STREAM_BODY: &str = r#"{"prompt":"how many ladders are left","max_tokens":16,"stream":true}"#;

/// What to send.
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
    /// Body; the request is a GET without one
    #[bpaf(argument("JSON"))]
    pub body: Option<String>,
    /// Expect a stream that ends with its last event
    pub stream: bool,
    /// Idempotency key, the same for each request
    #[bpaf(argument("K"))]
    pub key: Option<String>,
    /// Number of requests
    #[bpaf(argument("N"), fallback(1))]
    pub count: u32,
    /// Time after which a request is given up
    #[bpaf(argument("S"), fallback(60))]
    pub seconds: u64,
}

/// Sends the requests; true if each was complete with status 200.
///
/// # Errors
/// An option is not valid in a request.
pub async fn run(options: &Options) -> Result<bool, BoxError> {
    let call = build_call(options)?;
    let caller = Caller::default();
    let mut good = true;
    for _ in 0..options.count {
        let answer = caller.send(&call).await;
        println!("{}", print_line(options, &answer));
        good &= answer.is_good();
    }
    Ok(good)
}

fn build_call(options: &Options) -> Result<Call, BoxError> {
    let default = options.stream.then(|| STREAM_BODY.to_owned());
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
        limit: Duration::from_secs(options.seconds),
    })
}

fn print_line(options: &Options, answer: &Answer) -> String {
    let service = options.path.split('/').nth(3).unwrap_or("-");
    let problem = answer.read_problem();
    // Without a complete answer or a problem document the caller cannot know what happened.
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
