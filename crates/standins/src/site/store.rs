//! Store of the users' platform: reads rows, lists ranges and feeds changes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use axum::Json;
use axum::Router;
use axum::extract::Query;
use axum::extract::State;
use axum::middleware::map_response_with_state;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::HeaderValue;
use http::StatusCode;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::sync::watch;

use crate::counters::lock;

/// How the store answers requests; used for fault injection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StoreMode {
    /// Serves requests.
    #[default]
    Available,
    /// Answers with status 503.
    Unavailable,
    /// Serves reads and answers writes with status 503.
    ReadOnly,
    /// Leaves requests unanswered until the mode changes.
    Unresponsive,
    /// Answers with status 200 and a body that is not JSON.
    Malformed,
}

#[derive(Debug, Clone)]
struct Row {
    table: String,
    key: String,
    /// `None` marks a deleted row.
    value: Option<Vec<u8>>,
    version: u64,
}

/// Copy of a store's rows, from which the store can be restored.
#[derive(Debug)]
pub struct StoreCopy {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

/// The store; it has a single part, the empty one.
#[derive(Debug)]
pub struct Store {
    rows: Mutex<BTreeMap<(String, String), Row>>,
    /// Version of the latest change.
    version: watch::Sender<u64>,
    /// The change feed no longer contains changes up to this version.
    compacted_version: Mutex<u64>,
    /// Number of the store's history; rises when the store is restored.
    era: AtomicU64,
    mode: watch::Sender<StoreMode>,
}

impl Default for Store {
    fn default() -> Self {
        Self {
            rows: Mutex::default(),
            version: watch::Sender::new(0),
            compacted_version: Mutex::default(),
            era: AtomicU64::new(1),
            mode: watch::Sender::new(StoreMode::Available),
        }
    }
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RowQuery {
    table: String,
    #[serde(default)]
    from: String,
    #[serde(default)]
    after: u64,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Debug, Deserialize)]
struct RowChange {
    table: String,
    key: String,
    #[serde(default)]
    value: Option<String>,
}

#[derive(Debug, Deserialize)]
struct Transaction {
    writes: Vec<RowChange>,
    remove: Vec<RowChange>,
}

impl Store {
    /// Writes a row with a JSON value.
    pub fn put_json(&self, table: &str, key: &str, value: &Value) {
        self.write(table, key, Some(value.to_string().into_bytes()));
    }

    /// Writes a row, or deletes it if `value` is `None`.
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

    /// Adds a replica in state `ready` to the table of servers, as started now. It stays in the zone
    /// that it has there, or else is in zone `a`.
    pub fn register_replica(&self, id: &str, service: &str, address: SocketAddr) {
        let known = self.find_entry(id);
        let zone = known.map_or_else(|| json!("a"), |entry| entry["zone"].clone());
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = since_epoch.unwrap_or_default().as_millis() as u64;
        let entry = json!({"born": born,"service": service, "address": address.to_string(), "zone": zone,
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1});
        self.put_json("servers", id, &entry);
    }

    /// Moves a registered replica to a zone.
    ///
    /// # Panics
    /// The replica is not registered.
    pub fn set_zone(&self, id: &str, zone: &str) {
        self.change_entry(id, "zone", zone);
    }

    /// Reports that a registered replica drains.
    ///
    /// # Panics
    /// The replica is not registered.
    pub fn set_draining(&self, id: &str) {
        self.change_entry(id, "state", "draining");
    }

    fn change_entry(&self, id: &str, field: &str, value: &str) {
        let mut entry = self.find_entry(id).expect("replica is registered");
        entry[field] = json!(value);
        self.put_json("servers", id, &entry);
    }

    /// Evacuates a zone, or withdraws its evacuation.
    pub fn evacuate(&self, zone: &str, is_evacuated: bool) {
        let value = is_evacuated.then(|| b"{}".to_vec());
        self.write("op", &format!("evacuate/{zone}"), value);
    }

    fn find_entry(&self, id: &str) -> Option<Value> {
        let rows = lock(&self.rows);
        let row = rows.get(&("servers".to_owned(), id.to_owned()))?;
        serde_json::from_slice(row.value.as_ref()?).ok()
    }

    /// Returns the number of rows of a table.
    pub fn count_rows(&self, table: &str) -> usize {
        let rows = lock(&self.rows);
        let is_present = |r: &&Row| r.table == table && r.value.is_some();
        rows.values().filter(is_present).count()
    }

    /// Returns the address of a registered replica.
    ///
    /// # Panics
    /// The replica is not registered.
    pub fn find_address(&self, id: &str) -> String {
        let entry = self.find_entry(id).expect("replica is registered");
        entry["address"]
            .as_str()
            .expect("replica entry has an address")
            .to_owned()
    }

    /// Changes the cold time in the entry of a registered replica.
    ///
    /// # Panics
    /// The replica is not registered.
    pub fn set_cold_time(&self, id: &str, cold_ms: u64) {
        let key = ("servers".to_owned(), id.to_owned());
        let value = lock(&self.rows).get(&key).and_then(|r| r.value.clone());
        let value = value.expect("replica is registered");
        let mut entry: Value = serde_json::from_slice(&value).expect("replica entry is JSON");
        entry["coldRemainingMs"] = cold_ms.into();
        self.put_json("servers", id, &entry);
    }

    /// Sets how the store answers from now on.
    pub fn set_mode(&self, mode: StoreMode) {
        self.mode.send_replace(mode);
    }

    /// Removes all changes so far from the change feed.
    pub fn compact_history(&self) {
        *lock(&self.compacted_version) = *self.version.borrow();
    }

    /// Copies all rows.
    pub fn copy(&self) -> StoreCopy {
        let rows = lock(&self.rows);
        StoreCopy {
            rows: rows.clone(),
            version: *self.version.borrow(),
        }
    }

    /// Restores the rows of a copy. What was written since is gone, and its versions are assigned
    /// again.
    pub fn restore(&self, copy: StoreCopy) {
        let mut rows = lock(&self.rows);
        *rows = copy.rows;
        self.era.fetch_add(1, Ordering::Relaxed);
        self.version.send_replace(copy.version);
    }

    /// Builds the routes.
    pub fn build_router(self: Arc<Self>) -> Router {
        Router::new()
            .route("/rows-get", get(read_rows))
            .route("/rows-feed", get(feed_rows))
            .route("/rows-tx", post(change_rows))
            .layer(map_response_with_state(Arc::clone(&self), add_era))
            .with_state(self)
    }

    fn answer_rows(&self, matches: impl Fn(&Row) -> bool) -> Response {
        let rows = lock(&self.rows);
        let mut found: Vec<&Row> = rows.values().filter(|r| matches(r)).collect();
        found.sort_by_key(|r| r.version);
        let rows: Vec<Value> = found.into_iter().map(encode_row).collect();
        let version = *self.version.borrow();
        Json(json!({"rows": rows, "truncated": false, "schemaVersion": version, "nowMs": 1}))
            .into_response()
    }

    /// Returns the answer that the current mode imposes, or `None` if the store is available.
    async fn injected_answer(&self) -> Option<Response> {
        let mode = *self.mode.borrow();
        match mode {
            StoreMode::Available | StoreMode::ReadOnly => None,
            StoreMode::Unavailable => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
            StoreMode::Malformed => Some("\u{1}nonsense".into_response()),
            StoreMode::Unresponsive => {
                let mut changes = self.mode.subscribe();
                // The store outlives its requests, so the wait ends only when the mode changes.
                let _ = changes
                    .wait_for(|mode| *mode != StoreMode::Unresponsive)
                    .await;
                Some(StatusCode::SERVICE_UNAVAILABLE.into_response())
            }
        }
    }
}

/// Names the store's history in an answer.
async fn add_era(State(store): State<Arc<Store>>, mut answer: Response) -> Response {
    let era = HeaderValue::from(store.era.load(Ordering::Relaxed));
    answer.headers_mut().insert("store-era", era);
    answer
}

fn encode_row(row: &Row) -> Value {
    match &row.value {
        Some(value) => json!({"table": row.table, "part": "", "key": row.key,
            "value": STANDARD.encode(value), "schemaVersion": row.version}),
        None => json!({"table": row.table, "part": "", "key": row.key, "tombstone": true,
            "schemaVersion": row.version}),
    }
}

/// Applies a transaction that expects no versions.
async fn change_rows(
    State(store): State<Arc<Store>>,
    Json(transaction): Json<Transaction>,
) -> Response {
    if let Some(answer) = store.injected_answer().await {
        return answer;
    }
    if *store.mode.borrow() == StoreMode::ReadOnly {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let is_operators = |r: &RowChange| r.table == "op" || r.table == "servers";
    let changes = || transaction.writes.iter().chain(&transaction.remove);
    if changes().any(is_operators) {
        return StatusCode::FORBIDDEN.into_response();
    }
    for change in changes() {
        let value = change.value.as_ref().map(|v| STANDARD.decode(v));
        match value.transpose() {
            Ok(value) => store.write(&change.table, &change.key, value),
            Err(_) => return StatusCode::BAD_REQUEST.into_response(),
        }
    }
    let version = *store.version.borrow();
    Json(json!({"schemaVersion": version, "nowMs": 1})).into_response()
}

async fn read_rows(State(store): State<Arc<Store>>, Query(query): Query<RowQuery>) -> Response {
    if let Some(answer) = store.injected_answer().await {
        return answer;
    }
    store.answer_rows(|r| r.table == query.table && r.key >= query.from && r.value.is_some())
}

async fn feed_rows(State(store): State<Arc<Store>>, Query(query): Query<RowQuery>) -> Response {
    if let Some(answer) = store.injected_answer().await {
        return answer;
    }
    let is_unknown = query.after > *store.version.borrow();
    if is_unknown || query.after < *lock(&store.compacted_version) {
        return StatusCode::GONE.into_response();
    }
    let changed = |r: &Row| r.table == query.table && r.version > query.after;
    let mut versions = store.version.subscribe();
    let has_changes = |store: &Store| lock(&store.rows).values().any(changed);
    let waiting = async { while !has_changes(&store) && versions.changed().await.is_ok() {} };
    // If no row changes within `waitMs`, the answer contains no rows.
    let _ = tokio::time::timeout(Duration::from_millis(query.wait_ms), waiting).await;
    if let Some(answer) = store.injected_answer().await {
        return answer;
    }
    store.answer_rows(changed)
}
