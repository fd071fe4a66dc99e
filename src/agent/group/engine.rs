//! HTTP client for the engine's rank: state, weights and token counts.

use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::Method;
use http::Request;
use http::StatusCode;
use http::Uri;
use http::header::CONTENT_TYPE;
use http::uri::PathAndQuery;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use siskinbend_groups::EngineState;
use siskinbend_groups::MapRef;
use siskinbend_groups::RankIndex;
use siskinbend_groups::RecordWrite;
use siskinbend_types::FencingNumber;

use crate::limits;

/// Why a call of the engine failed.
#[derive(Debug, Display)]
pub(super) enum EngineError {
    /// cannot reach the engine: {0}
    Unreachable(String),
    /// the engine did not answer within {0:?}
    Timeout(Duration),
    /// the engine answered with status {0}
    Status(StatusCode),
    /// the engine sent a malformed answer: {0}
    Malformed(String),
}

/// Progress of a load command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum LoadPhase {
    /// The weights are being loaded.
    Loading,
    /// The weights are loaded.
    Loaded,
    /// The load failed.
    Failed,
}

/// The newest load command of the rank.
#[derive(Debug, Clone, Copy, Deserialize)]
pub(super) struct LoadView {
    pub(super) map: MapRef,
    pub(super) phase: LoadPhase,
}

/// State of the rank, as answered by the engine.
#[derive(Debug, Clone, Copy, Deserialize)]
pub(super) struct RankView {
    pub(super) state: EngineState,
    pub(super) load: Option<LoadView>,
}

/// Answer to a write of the record, whether it was applied or refused.
#[derive(Debug, Deserialize)]
struct WriteAnswer {
    state: EngineState,
}

/// Tokens counted under one map since the last read.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct TokenCounts {
    pub(super) map: MapRef,
    pub(super) steps: u32,
    /// Nanoseconds spent in these steps, without the time spent waiting for other ranks.
    pub(super) busy_ns: u64,
    /// Tokens by layer and, within a layer, by hosted expert in ascending order.
    pub(super) layers: Vec<Vec<u64>>,
}

/// Client for the engine's rank that this agent serves.
pub(super) struct Engine {
    client: Client<HttpConnector, Full<Bytes>>,
    base: Uri,
    rank: RankIndex,
}

impl Engine {
    pub(super) fn new(base: Uri, rank: RankIndex) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // A load command that is retried automatically could overtake a newer one.
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, base, rank }
    }

    /// Reads the rank's state.
    pub(super) async fn read_state(&self) -> Result<RankView, EngineError> {
        let body = self.call(Method::GET, "state", Bytes::new()).await?;
        parse(&body)
    }

    /// Writes the record and returns the state, whether the write was applied or refused.
    pub(super) async fn write_record(
        &self,
        write: &RecordWrite,
    ) -> Result<EngineState, EngineError> {
        let body = self.call(Method::POST, "record", to_json(write)?).await?;
        parse::<WriteAnswer>(&body).map(|answer| answer.state)
    }

    /// Starts loading the weights of a map in the background.
    pub(super) async fn load(
        &self,
        map: MapRef,
        fencing: FencingNumber,
        plan: Vec<u8>,
    ) -> Result<(), EngineError> {
        let MapRef { version, digest } = map;
        let path = format!("load?version={version}&digest={digest}&fencing={fencing}");
        self.call(Method::POST, &path, plan.into()).await?;
        Ok(())
    }

    /// Frees the weights of a map.
    pub(super) async fn discard(&self, map: MapRef) -> Result<(), EngineError> {
        self.call(Method::POST, "discard", to_json(&map)?).await?;
        Ok(())
    }

    /// Reads the token counts since the last read, which resets them.
    pub(super) async fn take_token_counts(&self) -> Result<Vec<TokenCounts>, EngineError> {
        let body = self.call(Method::POST, "tokens", Bytes::new()).await?;
        parse(&body)
    }

    /// Reads the content of a map that the rank stores.
    pub(super) async fn read_map(&self, map: MapRef) -> Result<Bytes, EngineError> {
        let path = format!("maps/{}", map.digest);
        self.call(Method::GET, &path, Bytes::new()).await
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Bytes, EngineError> {
        let answer = tokio::time::timeout(limits::RANK_TIMEOUT, self.exchange(method, path, body));
        let timeout = EngineError::Timeout(limits::RANK_TIMEOUT);
        answer.await.unwrap_or(Err(timeout))
    }

    async fn exchange(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, EngineError> {
        let malformed = |e: &dyn std::fmt::Display| EngineError::Malformed(e.to_string());
        let path = format!("/ranks/{}/{path}", self.rank);
        let path: PathAndQuery = path.parse().map_err(|e| malformed(&e))?;
        let mut parts = self.base.clone().into_parts();
        parts.path_and_query = Some(path);
        let request = Request::builder()
            .method(method)
            .uri(Uri::from_parts(parts).map_err(|e| malformed(&e))?)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| malformed(&e))?;
        let unreachable = |e: hyper_util::client::legacy::Error| e.to_string();
        let response = self.client.request(request).await;
        let response = response.map_err(|e| EngineError::Unreachable(unreachable(e)))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), limits::MAX_RANK_ANSWER_BYTES);
        let body = body.collect().await.map_err(|e| malformed(&e))?;
        if status.is_success() {
            Ok(body.to_bytes())
        } else {
            Err(EngineError::Status(status))
        }
    }
}

fn to_json<T: Serialize>(value: &T) -> Result<Bytes, EngineError> {
    let json = serde_json::to_vec(value);
    json.map(Bytes::from)
        .map_err(|e| EngineError::Malformed(e.to_string()))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, EngineError> {
    serde_json::from_slice(body).map_err(|e| EngineError::Malformed(e.to_string()))
}
