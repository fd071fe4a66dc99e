//! HTTP clients of the platform's services.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::uri::Authority;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use siskinbend_control::table::Cause;
use siskinbend_control::table::Commit;
use siskinbend_control::table::CommitAnswer;
use siskinbend_control::table::Key;
use siskinbend_control::table::Revision;
use siskinbend_control::table::Row;
use siskinbend_control::table::StoreError;
use siskinbend_types::Digest;

use crate::api::ObjectStore;
use crate::api::Table;
use crate::api::Vm;
use crate::api::VmList;
use crate::limits::ATTEMPT_TIMEOUT;
use crate::limits::MAX_ANSWER_BYTES;

/// Client of the platform's HTTP services at one authority (host and port).
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    client: Client<HttpConnector, Full<Bytes>>,
    authority: Authority,
    timeout: Duration,
}

struct Answer {
    status: StatusCode,
    body: Bytes,
}

#[derive(Deserialize)]
struct Applied {
    revision: Revision,
}

#[derive(Deserialize)]
struct Conflict {
    key: Key,
    revision: Option<Revision>,
}

impl HttpPlatform {
    /// Creates a client; no connection is made before the first call.
    pub fn new(authority: Authority) -> Self {
        let timeout = ATTEMPT_TIMEOUT;
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(30))
            .build_http();
        Self {
            client,
            authority,
            timeout,
        }
    }

    /// Returns the client with this timeout for each attempt.
    #[must_use]
    pub fn with_timeout(self, timeout: Duration) -> Self {
        Self { timeout, ..self }
    }

    /// Sends one request. Errors are ambiguous unless the request can't have reached the service.
    async fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Answer, StoreError> {
        let malformed = StoreError::NotApplied(Cause::Malformed);
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.authority.clone())
            .path_and_query(path)
            .build()
            .map_err(|_| malformed)?;
        let request = Request::builder()
            .method(method)
            .uri(uri)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|_| malformed)?;
        let exchange = async {
            let answer = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    StoreError::NotApplied(Cause::Unreachable)
                } else {
                    StoreError::Ambiguous(Cause::Broken)
                }
            })?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
                .collect()
                .await;
            let body = body
                .map_err(|_| StoreError::Ambiguous(Cause::Broken))?
                .to_bytes();
            Ok(Answer { status, body })
        };
        match tokio::time::timeout(self.timeout, exchange).await {
            Ok(answer) => answer.and_then(check_status),
            Err(_) => Err(StoreError::Ambiguous(Cause::Timeout)),
        }
    }

    async fn get(&self, path: &str) -> Result<Answer, StoreError> {
        // A read has no effect, so its failure is never ambiguous.
        let answer = self.send(Method::GET, path, Bytes::new()).await;
        answer.map_err(|error| StoreError::NotApplied(error.cause()))
    }
}

/// Turns a failure status into an error. A server error is ambiguous, because the service may fail
/// after it has applied a write.
fn check_status(answer: Answer) -> Result<Answer, StoreError> {
    match answer.status {
        StatusCode::TOO_MANY_REQUESTS => Err(StoreError::NotApplied(Cause::Limited)),
        StatusCode::NOT_FOUND | StatusCode::CONFLICT => Ok(answer),
        status if status.is_success() => Ok(answer),
        status if status.is_client_error() => Err(StoreError::NotApplied(Cause::Rejected)),
        _ => Err(StoreError::Ambiguous(Cause::Failed)),
    }
}

fn decode<Kind>(body: &Bytes, error: StoreError) -> Result<Kind, StoreError>
where
    Kind: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|_| error)
}

const MALFORMED_READ: StoreError = StoreError::NotApplied(Cause::Malformed);

#[async_trait]
impl Table for HttpPlatform {
    async fn read(&self, key: &Key) -> Result<Option<Row>, StoreError> {
        let answer = self.get(&format!("/table/row?key={key}")).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => decode(&answer.body, MALFORMED_READ).map(Some),
            _ => Err(MALFORMED_READ),
        }
    }

    async fn scan(&self, prefix: &Key, limit: usize) -> Result<Vec<Row>, StoreError> {
        let path = format!("/table/scan?prefix={prefix}&limit={limit}");
        let answer = self.get(&path).await?;
        match answer.status {
            StatusCode::OK => decode(&answer.body, MALFORMED_READ),
            _ => Err(MALFORMED_READ),
        }
    }

    async fn commit(&self, commit: &Commit) -> Result<CommitAnswer, StoreError> {
        let body = serde_json::to_vec(commit).map_err(|_| MALFORMED_READ)?;
        let answer = self
            .send(Method::POST, "/table/commit", body.into())
            .await?;
        let malformed = StoreError::Ambiguous(Cause::Malformed);
        match answer.status {
            StatusCode::OK => {
                let applied: Applied = decode(&answer.body, malformed)?;
                Ok(CommitAnswer::Applied(applied.revision))
            }
            StatusCode::CONFLICT => {
                let conflict: Conflict = decode(&answer.body, malformed)?;
                Ok(CommitAnswer::Conflict(conflict.key, conflict.revision))
            }
            StatusCode::NOT_FOUND => Err(StoreError::NotApplied(Cause::Rejected)),
            _ => Err(malformed),
        }
    }
}

#[async_trait]
impl ObjectStore for HttpPlatform {
    async fn put(&self, name: &Digest, content: Bytes) -> Result<(), StoreError> {
        let answer = self
            .send(Method::PUT, &format!("/objects/{name}"), content)
            .await?;
        if answer.status.is_success() {
            Ok(())
        } else {
            Err(StoreError::NotApplied(Cause::Rejected))
        }
    }

    async fn get(&self, name: &Digest) -> Result<Option<Bytes>, StoreError> {
        let answer = HttpPlatform::get(self, &format!("/objects/{name}")).await?;
        match answer.status {
            StatusCode::NOT_FOUND => Ok(None),
            StatusCode::OK => Ok(Some(answer.body)),
            _ => Err(MALFORMED_READ),
        }
    }
}

#[async_trait]
impl VmList for HttpPlatform {
    async fn list(&self) -> Result<Vec<Vm>, StoreError> {
        let answer = HttpPlatform::get(self, "/vms").await?;
        match answer.status {
            StatusCode::OK => decode(&answer.body, MALFORMED_READ),
            _ => Err(MALFORMED_READ),
        }
    }
}
