//! Table service, object store and VM list on one listener, with faults for each.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use axum::Json;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use bpaf::Bpaf;
use bytes::Bytes;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::server::DroppedResponse;
use crate::tally::lock;

/// Largest object.
const OBJECT_LIMIT: usize = 64 * 1024 * 1024;

/// Commits between two sweeps of expired rows; a sweep visits every row.
const SWEEP_COMMITS: u64 = 1_000;

/// Past VM lists kept; a lag beyond them sees the oldest.
const LIST_LIMIT: usize = 1_000;

/// Settings of the platform.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Address to listen on; port 0 takes a free one
    #[bpaf(argument("ADDR"))]
    pub listen: SocketAddr,
}

/// A row as read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
    /// Revision of the commit that wrote it.
    pub revision: u64,
    /// Id of the transaction that wrote it.
    pub writer: String,
}

/// A transaction: all checks hold and all writes are applied, or nothing is.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Commit {
    /// Transaction id, stored with each row written.
    pub id: String,
    /// What must hold.
    pub checks: Vec<Check>,
    /// What to write.
    pub writes: Vec<Write>,
}

/// Condition of a transaction.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Check {
    /// Key.
    pub key: String,
    /// Revision that the row must have; null if the row must be absent.
    pub revision: Option<u64>,
}

/// Write of a transaction.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Write {
    /// Key.
    pub key: String,
    /// New value; null deletes the row.
    pub value: Option<String>,
    /// Time to live in milliseconds; without it the row stays.
    #[serde(default)]
    pub ttl_ms: Option<u64>,
}

/// Answer to a transaction that was applied.
#[derive(Debug, Serialize, Deserialize)]
pub struct Committed {
    /// New revision of the table.
    pub revision: u64,
}

/// Answer to a transaction that was not applied: the first check that failed.
#[derive(Debug, Serialize, Deserialize)]
pub struct Conflict {
    /// Key.
    pub key: String,
    /// Revision that the row has; null if it is absent.
    pub revision: Option<u64>,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Id.
    pub id: String,
    /// Availability zone.
    pub zone: String,
    /// IP address and port.
    pub address: String,
    /// State.
    pub state: VmState,
}

/// State of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// In service.
    Live,
    /// About to be stopped.
    Leaving,
}

/// Part of the platform that can fail by itself.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Target {
    /// Table service.
    Table,
    /// Object store.
    Objects,
    /// VM list.
    Vms,
}

/// Body of `POST /faults`; it replaces the faults of the target, and absent fields mean no fault.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Part that fails.
    pub target: Target,
    /// Answers 503 without doing anything.
    #[serde(default)]
    pub down: bool,
    /// Delay before a request is looked at.
    #[serde(default)]
    pub delay_ms: u64,
    /// Applies a write, then closes the connection without an answer.
    #[serde(default)]
    pub lose_answers: bool,
    /// Age of the VM list that is read; only for the VM list.
    #[serde(default)]
    pub lag_ms: u64,
}

/// Requests of one part that were carried out.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Traffic {
    /// Reads.
    pub reads: u64,
    /// Writes, with those refused by a check.
    pub writes: u64,
}

/// Answer of `GET /counts`.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Table service.
    pub table: Traffic,
    /// Object store.
    pub objects: Traffic,
    /// VM list.
    pub vms: Traffic,
}

#[derive(Debug)]
struct Stored {
    row: Row,
    expiry: Option<Instant>,
}

impl Stored {
    fn is_live(&self, now: Instant) -> bool {
        self.expiry.is_none_or(|expiry| now < expiry)
    }
}

#[derive(Debug, Default)]
struct Platform {
    rows: BTreeMap<String, Stored>,
    revision: u64,
    objects: BTreeMap<String, Bytes>,
    lists: VecDeque<(Instant, Vec<Vm>)>,
    faults: [Option<Faults>; 3],
    counts: Counts,
}

type Shared = State<Arc<Mutex<Platform>>>;

/// Builds the routes of one platform.
pub fn build_router() -> Router {
    Router::new()
        .route("/table/row", get(read_row))
        .route("/table/scan", get(scan_rows))
        .route("/table/commit", post(commit))
        .route("/objects/{*name}", get(read_object).put(write_object))
        .route("/vms", get(read_vms).put(write_vms))
        .route("/faults", post(set_faults))
        .route("/counts", get(read_counts))
        .layer(DefaultBodyLimit::max(OBJECT_LIMIT))
        .with_state(Arc::new(Mutex::new(Platform::default())))
}

impl Platform {
    fn find(&self, key: &str, now: Instant) -> Option<&Row> {
        self.rows
            .get(key)
            .filter(|stored| stored.is_live(now))
            .map(|stored| &stored.row)
    }

    fn commit(&mut self, commit: Commit, now: Instant) -> Result<Committed, Conflict> {
        for check in commit.checks {
            let revision = self.find(&check.key, now).map(|row| row.revision);
            if revision != check.revision {
                return Err(Conflict {
                    key: check.key,
                    revision,
                });
            }
        }
        self.revision += 1;
        let revision = self.revision;
        if revision.is_multiple_of(SWEEP_COMMITS) {
            self.rows.retain(|_, stored| stored.is_live(now));
        }
        for Write { key, value, ttl_ms } in commit.writes {
            let Some(value) = value else {
                self.rows.remove(&key);
                continue;
            };
            let expiry = ttl_ms.map(|ttl| now + Duration::from_millis(ttl));
            let row = Row {
                key: key.clone(),
                value,
                revision,
                writer: commit.id.clone(),
            };
            self.rows.insert(key, Stored { row, expiry });
        }
        Ok(Committed { revision })
    }

    /// The VM list as it was `lag` ago; empty before the first one was set.
    fn list_vms(&self, now: Instant, lag: Duration) -> Vec<Vm> {
        let seen = |(set, _): &&(Instant, Vec<Vm>)| now.duration_since(*set) >= lag;
        self.lists
            .iter()
            .rev()
            .find(seen)
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}

/// Applies delay and outage of `target`; the rest of its faults is left to the caller.
async fn pass_faults(
    platform: &Mutex<Platform>,
    target: Target,
) -> Result<Option<Faults>, StatusCode> {
    let faults = lock(platform).faults[target as usize].clone();
    if let Some(faults) = &faults {
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.down {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
    }
    Ok(faults)
}

/// Drops the answer of a write that was applied, if the faults say so.
fn answer_write(faults: Option<&Faults>, answer: impl IntoResponse) -> Response {
    if faults.is_some_and(|faults| faults.lose_answers) {
        return DroppedResponse.into_response();
    }
    answer.into_response()
}

#[derive(Debug, Deserialize)]
struct RowQuery {
    key: String,
}

#[derive(Debug, Deserialize)]
struct ScanQuery {
    prefix: String,
    #[serde(default = "default_limit")]
    limit: usize,
}

fn default_limit() -> usize {
    1_000
}

async fn read_row(
    State(platform): Shared,
    Query(query): Query<RowQuery>,
) -> Result<Json<Row>, StatusCode> {
    pass_faults(&platform, Target::Table).await?;
    let mut platform = lock(&platform);
    platform.counts.table.reads += 1;
    let row = platform.find(&query.key, Instant::now()).cloned();
    row.map(Json).ok_or(StatusCode::NOT_FOUND)
}

async fn scan_rows(
    State(platform): Shared,
    Query(query): Query<ScanQuery>,
) -> Result<Json<Vec<Row>>, StatusCode> {
    pass_faults(&platform, Target::Table).await?;
    let mut platform = lock(&platform);
    platform.counts.table.reads += 1;
    let now = Instant::now();
    let rows = platform
        .rows
        .range(query.prefix.clone()..)
        .take_while(|(key, _)| key.starts_with(&query.prefix))
        .filter(|(_, stored)| stored.is_live(now))
        .take(query.limit)
        .map(|(_, stored)| stored.row.clone());
    Ok(Json(rows.collect()))
}

async fn commit(
    State(platform): Shared,
    Json(commit): Json<Commit>,
) -> Result<Response, StatusCode> {
    let faults = pass_faults(&platform, Target::Table).await?;
    let done = {
        let mut platform = lock(&platform);
        platform.counts.table.writes += 1;
        platform.commit(commit, Instant::now())
    };
    let answer = match done {
        Ok(committed) => Json(committed).into_response(),
        Err(conflict) => (StatusCode::CONFLICT, Json(conflict)).into_response(),
    };
    Ok(answer_write(faults.as_ref(), answer))
}

async fn read_object(
    State(platform): Shared,
    Path(name): Path<String>,
) -> Result<Bytes, StatusCode> {
    pass_faults(&platform, Target::Objects).await?;
    let mut platform = lock(&platform);
    platform.counts.objects.reads += 1;
    platform
        .objects
        .get(&name)
        .cloned()
        .ok_or(StatusCode::NOT_FOUND)
}

async fn write_object(
    State(platform): Shared,
    Path(name): Path<String>,
    content: Bytes,
) -> Result<Response, StatusCode> {
    let faults = pass_faults(&platform, Target::Objects).await?;
    let mut platform = lock(&platform);
    platform.counts.objects.writes += 1;
    platform.objects.insert(name, content);
    Ok(answer_write(faults.as_ref(), StatusCode::NO_CONTENT))
}

async fn read_vms(State(platform): Shared) -> Result<Json<Vec<Vm>>, StatusCode> {
    let faults = pass_faults(&platform, Target::Vms).await?;
    let lag = Duration::from_millis(faults.map_or(0, |faults| faults.lag_ms));
    let mut platform = lock(&platform);
    platform.counts.vms.reads += 1;
    Ok(Json(platform.list_vms(Instant::now(), lag)))
}

/// Sets the list on behalf of the platform's operator, so no fault applies.
async fn write_vms(State(platform): Shared, Json(list): Json<Vec<Vm>>) -> StatusCode {
    let mut platform = lock(&platform);
    platform.counts.vms.writes += 1;
    if platform.lists.len() == LIST_LIMIT {
        platform.lists.pop_front();
    }
    platform.lists.push_back((Instant::now(), list));
    StatusCode::NO_CONTENT
}

async fn set_faults(State(platform): Shared, Json(faults): Json<Faults>) -> Response {
    if faults.lag_ms > 0 && !matches!(faults.target, Target::Vms) {
        return (StatusCode::BAD_REQUEST, "only the VM list can lag").into_response();
    }
    let target = faults.target as usize;
    lock(&platform).faults[target] = Some(faults);
    StatusCode::NO_CONTENT.into_response()
}

async fn read_counts(State(platform): Shared) -> Json<Counts> {
    Json(lock(&platform).counts)
}
