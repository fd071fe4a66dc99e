//! Stand-in for the platform: table service, object store and VM list on one listener, with fault
//! injection for each.

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

use crate::counters::lock;
use crate::server::DroppedResponse;

/// Largest object that can be stored.
const MAX_OBJECT_BYTES: usize = 64 * 1024 * 1024;

/// Number of commits between two sweeps that remove expired rows. A sweep visits every row, so it
/// does not run on each commit.
const COMMITS_PER_SWEEP: u64 = 1_000;

/// Number of VM lists that are kept to serve a lagging list.
const MAX_VM_LISTS: usize = 1_000;

/// Settings of the platform.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Address to listen on; port 0 takes a free one
    #[bpaf(argument("ADDR"))]
    pub listen: SocketAddr,
}

/// Row of the table as a reader receives it.
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

/// Transaction: if all checks hold, all writes are applied; otherwise none is.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Commit {
    /// Transaction id, stored with each row written.
    pub id: String,
    /// Conditions that must all hold.
    pub checks: Vec<Check>,
    /// Writes to apply.
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
    /// Time to live in milliseconds; without it the row does not expire.
    #[serde(default)]
    pub ttl_ms: Option<u64>,
}

/// Answer to a transaction that was applied.
#[derive(Debug, Serialize, Deserialize)]
pub struct Committed {
    /// New revision of the table.
    pub revision: u64,
}

/// Answer to a transaction that was not applied; it describes the first check that failed.
#[derive(Debug, Serialize, Deserialize)]
pub struct Conflict {
    /// Key.
    pub key: String,
    /// Revision that the row has; null if it is absent.
    pub revision: Option<u64>,
}

/// Entry of the VM list.
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

/// Part of the platform that fails independently of the others.
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

/// Body of `POST /faults`. It replaces the faults of the target; an absent field means no fault.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Part that fails.
    pub target: Target,
    /// Answers with status 503 without executing the request.
    #[serde(default)]
    pub down: bool,
    /// Delay before a request is executed, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Applies writes, but closes the connection instead of answering.
    #[serde(default)]
    pub lose_answers: bool,
    /// Age in milliseconds of the VM list that readers receive; only valid for the VM list.
    #[serde(default)]
    pub lag_ms: u64,
}

/// Number of executed requests of one part.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct OperationCounts {
    /// Reads.
    pub reads: u64,
    /// Writes, including those that a check rejected.
    pub writes: u64,
}

/// Answer of `GET /counts`.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Table service.
    pub table: OperationCounts,
    /// Object store.
    pub objects: OperationCounts,
    /// VM list.
    pub vms: OperationCounts,
}

#[derive(Debug)]
struct StoredRow {
    row: Row,
    expiry: Option<Instant>,
}

impl StoredRow {
    fn is_live(&self, now: Instant) -> bool {
        self.expiry.is_none_or(|expiry| now < expiry)
    }
}

#[derive(Debug, Default)]
struct Platform {
    rows: BTreeMap<String, StoredRow>,
    revision: u64,
    objects: BTreeMap<String, Bytes>,
    /// VM lists with the time when each was set, oldest first.
    vm_lists: VecDeque<(Instant, Vec<Vm>)>,
    /// Faults by [`Target`].
    faults: [Option<Faults>; 3],
    counts: Counts,
}

type SharedPlatform = State<Arc<Mutex<Platform>>>;

/// Builds the routes of a new, empty platform.
pub fn build_router() -> Router {
    Router::new()
        .route("/table/row", get(read_row))
        .route("/table/scan", get(scan_rows))
        .route("/table/commit", post(commit))
        .route("/objects/{*name}", get(read_object).put(write_object))
        .route("/vms", get(read_vms).put(write_vms))
        .route("/faults", post(set_faults))
        .route("/counts", get(read_counts))
        .layer(DefaultBodyLimit::max(MAX_OBJECT_BYTES))
        .with_state(Arc::new(Mutex::new(Platform::default())))
}

impl Platform {
    fn find_row(&self, key: &str, now: Instant) -> Option<&Row> {
        self.rows
            .get(key)
            .filter(|stored| stored.is_live(now))
            .map(|stored| &stored.row)
    }

    fn commit(&mut self, commit: Commit, now: Instant) -> Result<Committed, Conflict> {
        for check in commit.checks {
            let revision = self.find_row(&check.key, now).map(|row| row.revision);
            if revision != check.revision {
                return Err(Conflict {
                    key: check.key,
                    revision,
                });
            }
        }
        self.revision += 1;
        let revision = self.revision;
        if revision.is_multiple_of(COMMITS_PER_SWEEP) {
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
            self.rows.insert(key, StoredRow { row, expiry });
        }
        Ok(Committed { revision })
    }

    /// Returns the VM list as it was `lag` ago, or an empty list if none was kept from then.
    fn list_vms(&self, now: Instant, lag: Duration) -> Vec<Vm> {
        let is_old_enough = |(set_at, _): &&(Instant, Vec<Vm>)| now.duration_since(*set_at) >= lag;
        self.vm_lists
            .iter()
            .rev()
            .find(is_old_enough)
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}

/// Applies the delay and the outage of `target` and returns its faults, so that the caller can
/// apply the others.
async fn apply_faults(
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

/// Returns `answer`, or closes the connection if answers to writes are to be lost.
fn respond_to_write(faults: Option<&Faults>, answer: impl IntoResponse) -> Response {
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
    State(platform): SharedPlatform,
    Query(query): Query<RowQuery>,
) -> Result<Json<Row>, StatusCode> {
    apply_faults(&platform, Target::Table).await?;
    let mut platform = lock(&platform);
    platform.counts.table.reads += 1;
    let row = platform.find_row(&query.key, Instant::now()).cloned();
    row.map(Json).ok_or(StatusCode::NOT_FOUND)
}

async fn scan_rows(
    State(platform): SharedPlatform,
    Query(query): Query<ScanQuery>,
) -> Result<Json<Vec<Row>>, StatusCode> {
    apply_faults(&platform, Target::Table).await?;
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
    State(platform): SharedPlatform,
    Json(commit): Json<Commit>,
) -> Result<Response, StatusCode> {
    let faults = apply_faults(&platform, Target::Table).await?;
    let outcome = {
        let mut platform = lock(&platform);
        platform.counts.table.writes += 1;
        platform.commit(commit, Instant::now())
    };
    let answer = match outcome {
        Ok(committed) => Json(committed).into_response(),
        Err(conflict) => (StatusCode::CONFLICT, Json(conflict)).into_response(),
    };
    Ok(respond_to_write(faults.as_ref(), answer))
}

async fn read_object(
    State(platform): SharedPlatform,
    Path(name): Path<String>,
) -> Result<Bytes, StatusCode> {
    apply_faults(&platform, Target::Objects).await?;
    let mut platform = lock(&platform);
    platform.counts.objects.reads += 1;
    platform
        .objects
        .get(&name)
        .cloned()
        .ok_or(StatusCode::NOT_FOUND)
}

async fn write_object(
    State(platform): SharedPlatform,
    Path(name): Path<String>,
    content: Bytes,
) -> Result<Response, StatusCode> {
    let faults = apply_faults(&platform, Target::Objects).await?;
    let mut platform = lock(&platform);
    platform.counts.objects.writes += 1;
    platform.objects.insert(name, content);
    Ok(respond_to_write(faults.as_ref(), StatusCode::NO_CONTENT))
}

async fn read_vms(State(platform): SharedPlatform) -> Result<Json<Vec<Vm>>, StatusCode> {
    let faults = apply_faults(&platform, Target::Vms).await?;
    let lag = Duration::from_millis(faults.map_or(0, |faults| faults.lag_ms));
    let mut platform = lock(&platform);
    platform.counts.vms.reads += 1;
    Ok(Json(platform.list_vms(Instant::now(), lag)))
}

/// Sets the VM list in place of the platform's operator, so no fault applies.
async fn write_vms(State(platform): SharedPlatform, Json(list): Json<Vec<Vm>>) -> StatusCode {
    let mut platform = lock(&platform);
    platform.counts.vms.writes += 1;
    if platform.vm_lists.len() == MAX_VM_LISTS {
        platform.vm_lists.pop_front();
    }
    platform.vm_lists.push_back((Instant::now(), list));
    StatusCode::NO_CONTENT
}

async fn set_faults(State(platform): SharedPlatform, Json(faults): Json<Faults>) -> Response {
    if faults.lag_ms > 0 && !matches!(faults.target, Target::Vms) {
        return (StatusCode::BAD_REQUEST, "only the VM list can lag").into_response();
    }
    let target = faults.target as usize;
    lock(&platform).faults[target] = Some(faults);
    StatusCode::NO_CONTENT.into_response()
}

async fn read_counts(State(platform): SharedPlatform) -> Json<Counts> {
    Json(lock(&platform).counts)
}
