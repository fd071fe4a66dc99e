//! The platform's store: rows, ranges and their changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::Query;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::StatusCode;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

use crate::tally::lock;

/// How the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mode {
    /// It serves.
    #[default]
    Up,
    /// It answers 503.
    Busy,
    /// It doesn't answer.
    Silent,
    /// It serves, but answers with text that isn't JSON.
    Nonsense,
}

#[derive(Debug, Clone)]
struct Row {
    table: String,
    key: String,
    value: Option<Vec<u8>>,
    version: u64,
}

/// The store; rows of one part only.
#[derive(Debug)]
pub struct Store {
    rows: Mutex<BTreeMap<(String, String), Row>>,
    /// The newest version.
    version: watch::Sender<u64>,
    /// Changes up to this version are forgotten.
    forgotten: Mutex<u64>,
    mode: watch::Sender<Mode>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            rows: Mutex::default(),
            version: watch::Sender::new(0),
            forgotten: Mutex::default(),
            mode: watch::Sender::new(Mode::Up),
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Call {
    table: String,
    #[serde(default)]
    from: String,
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

impl Store {
    /// Writes a row as JSON.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.write(table, key, Some(value.to_string().into_bytes()));
    }

    /// Writes a row, or removes it.
    pub fn write(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut rows = lock(&self.rows);
        self.version.send_modify(|version| {
            *version += 1;
            let row = Row {
                table: table.to_owned(),
                key: key.to_owned(),
                value,
                version: *version,
            };
            rows.insert((table.to_owned(), key.to_owned()), row);
        });
    }

    /// Lists a ready replica.
    pub fn register(&self, id: &str, service: &str, address: SocketAddr) {
        let entry = json!({"service": service, "address": address.to_string(), "zone": "a",
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1});
        self.put("servers", id, &entry);
    }

    /// The address in a replica's entry.
    ///
    /// # Panics
    /// There is no such entry.
    pub fn find_address(&self, id: &str) -> String {
        let rows = lock(&self.rows);
        let row = rows.get(&("servers".to_owned(), id.to_owned()));
        let value = row
            .and_then(|r| r.value.clone())
            .expect("a registered replica");
        let entry: Value = serde_json::from_slice(&value).expect("its entry");
        entry["address"].as_str().expect("its address").to_owned()
    }

    /// Changes how the store answers.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Forgets all changes so far.
    pub fn forget_history(&self) {
        *lock(&self.forgotten) = *self.version.borrow();
    }

    /// Builds the routes.
    pub fn build_router(self: Arc<Self>) -> Router {
        Router::new()
            .route("/rows-get", get(read_rows))
            .route("/rows-feed", get(feed_rows))
            .with_state(self)
    }

    fn answer(&self, wanted: impl Fn(&Row) -> bool) -> Response {
        let rows = lock(&self.rows);
        let mut found: Vec<&Row> = rows.values().filter(|r| wanted(r)).collect();
        found.sort_by_key(|r| r.version);
        let rows: Vec<Value> = found.into_iter().map(show).collect();
        let version = *self.version.borrow();
        Json(json!({"rows": rows, "truncated": false, "schemaVersion": version, "nowMs": 1}))
            .into_response()
    }

    /// Answers in place of the store if it doesn't serve.
    async fn refuse(&self) -> Option<Response> {
        let mode = *self.mode.borrow();
        match mode {
            Mode::Up => None,
            Mode::Busy => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
            Mode::Nonsense => Some("\u{1}nonsense".into_response()),
            Mode::Silent => {
                let mut changes = self.mode.subscribe();
                // The store outlives its calls, so the wait ends with a change of the mode.
                let _ = changes.wait_for(|mode| *mode != Mode::Silent).await;
                Some(StatusCode::SERVICE_UNAVAILABLE.into_response())
            }
        }
    }
}

fn show(row: &Row) -> Value {
    match &row.value {
        Some(value) => json!({"table": row.table, "part": "", "key": row.key,
            "value": STANDARD.encode(value), "schemaVersion": row.version}),
        None => json!({"table": row.table, "part": "", "key": row.key, "tombstone": true,
            "schemaVersion": row.version}),
    }
}

async fn read_rows(State(store): State<Arc<Store>>, Query(call): Query<Call>) -> Response {
    if let Some(refusal) = store.refuse().await {
        return refusal;
    }
    store.answer(|r| r.table == call.table && r.key >= call.from && r.value.is_some())
}

async fn feed_rows(State(store): State<Arc<Store>>, Query(call): Query<Call>) -> Response {
    if let Some(refusal) = store.refuse().await {
        return refusal;
    }
    if call.after < *lock(&store.forgotten) {
        return StatusCode::GONE.into_response();
    }
    let changed = |r: &Row| r.table == call.table && r.version > call.after;
    let mut versions = store.version.subscribe();
    let any = |store: &Store| lock(&store.rows).values().any(changed);
    let waiting = async { while !any(&store) && versions.changed().await.is_ok() {} };
    // An expired wait is answered without rows.
    let _ = tokio::time::timeout(Duration::from_millis(call.wait_ms), waiting).await;
    if let Some(refusal) = store.refuse().await {
        return refusal;
    }
    store.answer(changed)
}
