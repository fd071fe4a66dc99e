//! Simulated expert-parallel group: one process plays the engines of all ranks, which run their
//! steps in lockstep and route tokens by an expert map.

mod demand;
mod ranks;

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
use axum::routing::get;
use axum::routing::post;
use bpaf::Bpaf;
use bytes::Bytes;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest as _;
use sha2::Sha256;
use siskinbend_groups::EngineState;
use siskinbend_groups::MapRef;
use siskinbend_groups::RecordWrite;
use siskinbend_groups::WriteError;
use siskinbend_placement::ExpertMap;
use siskinbend_placement::MapError;
use siskinbend_placement::Shape;
use siskinbend_types::Digest;
use siskinbend_types::FencingNumber;
use siskinbend_types::Version;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;

use self::ranks::Ranks;
use self::ranks::StoredMap;
use crate::counters::lock;
use crate::engine;

pub use self::demand::DemandSettings;
pub use self::demand::HotExpert;
pub use self::ranks::LoadPhase;
pub use self::ranks::LoadView;
pub use self::ranks::TokenCounts;
pub use self::ranks::Totals;
pub use self::ranks::VersionSpan;

/// Largest request body, which holds an encoded expert map.
const MAX_MAP_BYTES: usize = 16 << 20;

const BYTES_PER_MIB: u64 = 1 << 20;

/// Command line options of the group.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Address to listen on; port 0 takes a free one
    #[bpaf(argument("ADDR"))]
    pub listen: SocketAddr,
    /// Name given in each answer
    #[bpaf(argument("X"), fallback("group".to_owned()))]
    pub name: String,
    /// Number of ranks
    #[bpaf(argument("N"), fallback(4))]
    pub ranks: u16,
    /// Number of experts in each layer
    #[bpaf(argument("E"), fallback(16))]
    pub experts: u16,
    /// Number of layers
    #[bpaf(argument("L"), fallback(4))]
    pub layers: u16,
    /// Number of experts that a rank can hold in each layer
    #[bpaf(argument("S"), fallback(6))]
    pub slots: u16,
    /// Duration of a step when the load is balanced across ranks
    #[bpaf(argument("MS"), fallback(20))]
    pub step_ms: u64,
    /// Seed of the random demand
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Amplitude of the logarithm of an expert's popularity; 0 makes all experts equally popular
    #[bpaf(argument("A"), fallback(1.0))]
    pub skew: f64,
    /// Period of the popularity drift in steps; 0 disables the drift
    #[bpaf(argument("STEPS"), fallback(100_000))]
    pub period: u64,
    /// Maximum number of sequences that run concurrently
    #[bpaf(argument("N"), fallback(8))]
    pub sequences: usize,
    /// Size of the weights of one expert in one layer
    #[bpaf(argument("MIB"), fallback(8))]
    pub expert_mib: u64,
    /// Bandwidth of the weight store per second, shared by the whole group
    #[bpaf(argument("MIB"), fallback(256))]
    pub load_mib: u64,
    /// Reject load commands with an outdated fencing number
    pub checked: bool,
}

/// Body of `POST /faults`. It replaces all faults of the rank; absent fields inject no fault.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Index of the rank.
    pub rank: u16,
    /// Loads fail after their full duration.
    #[serde(default)]
    pub fail_loads: bool,
    /// Delay added to each load.
    #[serde(default)]
    pub load_delay_ms: u64,
    /// Factor by which steps of the rank take longer.
    #[serde(default = "default_slowness")]
    pub slowness: f64,
}

fn default_slowness() -> f64 {
    1.0
}

/// Answer of `GET /ranks/{rank}/state`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct RankView {
    /// Engine state that the rank agent reads and writes.
    pub state: EngineState,
    /// Most recent load command.
    pub load: Option<LoadView>,
    /// Highest fencing number of the accepted load commands.
    pub fencing: FencingNumber,
}

/// Answer of `POST /ranks/{rank}/record`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WriteResponse {
    /// State after the write.
    pub state: EngineState,
    /// Why the write was refused; `None` if it was applied.
    pub fault: Option<WriteError>,
}

/// Query of `POST /ranks/{rank}/load`; the body is the encoded map.
#[derive(Debug, Clone, Deserialize)]
struct LoadQuery {
    version: u64,
    digest: String,
    fencing: u64,
}

struct Group {
    ranks: Mutex<Ranks>,
    faults: Mutex<Vec<Faults>>,
    /// When the weight store has finished all transfers scheduled so far.
    store_free_at: Mutex<Instant>,
    gates_changed: Notify,
    options: Options,
}

type GroupState = State<Arc<Group>>;

/// Builds the routes of one group and starts its step loop.
///
/// # Errors
/// The experts do not fit into the slots.
pub fn build_router(options: &Options) -> Result<Router, MapError> {
    let shape = Shape {
        ranks: options.ranks,
        experts: options.experts,
        layers: options.layers,
        slots: options.slots,
    };
    let balanced_step = Duration::from_millis(options.step_ms);
    let mut ranks = Ranks::new(shape, options.seed, balanced_step)?;
    ranks.demand.settings = DemandSettings {
        skew: options.skew,
        period: options.period,
        ..DemandSettings::default()
    };
    let group = Arc::new(Group {
        ranks: Mutex::new(ranks),
        faults: Mutex::default(),
        store_free_at: Mutex::new(Instant::now()),
        gates_changed: Notify::new(),
        options: options.clone(),
    });
    let (step_sender, step_updates) = watch::channel(0);
    tokio::spawn(run_steps(Arc::clone(&group), step_sender));
    let engine_options = engine::Options {
        listen: options.listen,
        name: options.name.clone(),
        slots: options.sequences,
        token_ms: options.step_ms,
        step_us: 0,
    };
    let router = Router::new()
        .route("/ranks/{rank}/state", get(read_state))
        .route("/ranks/{rank}/record", post(write_record))
        .route("/ranks/{rank}/load", post(start_load))
        .route("/ranks/{rank}/discard", post(discard_map))
        .route("/ranks/{rank}/tokens", post(drain_token_counts))
        .route("/ranks/{rank}/maps/{digest}", get(read_map))
        .route("/group", get(read_totals))
        .route("/demand", post(set_demand))
        .route("/faults", post(set_faults))
        .layer(DefaultBodyLimit::max(MAX_MAP_BYTES))
        .with_state(group);
    Ok(router.merge(engine::build_router_with_steps(
        &engine_options,
        step_updates,
    )))
}

/// Runs steps one after the other. While any rank has its gate closed, no rank starts a step.
async fn run_steps(group: Arc<Group>, step_sender: watch::Sender<u64>) {
    let mut step_end = Instant::now();
    let mut held_since: Option<Instant> = None;
    loop {
        // Registered before the gates are checked, so that no notification is missed.
        let changed = group.gates_changed.notified();
        let started = lock(&group.ranks).start_step();
        let Some(duration) = started else {
            held_since.get_or_insert_with(Instant::now);
            changed.await;
            continue;
        };
        if let Some(since) = held_since.take() {
            let mut ranks = lock(&group.ranks);
            ranks.totals.held_steps += 1;
            ranks.totals.held_ms += since.elapsed().as_millis() as u64;
        }
        // A late step delays the following ones; there is no catch-up burst of short steps.
        step_end = step_end.max(Instant::now()) + duration;
        tokio::time::sleep_until(step_end).await;
        step_sender.send_replace(lock(&group.ranks).totals.steps);
    }
}

async fn read_state(
    State(group): GroupState,
    Path(rank): Path<u16>,
) -> Result<Json<RankView>, StatusCode> {
    let ranks = lock(&group.ranks);
    let rank = ranks.ranks.get(usize::from(rank));
    let rank = rank.ok_or(StatusCode::NOT_FOUND)?;
    Ok(Json(RankView {
        state: rank.state,
        load: rank.load,
        fencing: rank.fencing,
    }))
}

/// Applies a write to the record of a rank. The lock keeps a step from starting meanwhile.
async fn write_record(
    State(group): GroupState,
    Path(rank): Path<u16>,
    Json(write): Json<RecordWrite>,
) -> Result<Json<WriteResponse>, StatusCode> {
    let mut ranks = lock(&group.ranks);
    let rank = ranks.ranks.get_mut(usize::from(rank));
    let state = &mut rank.ok_or(StatusCode::NOT_FOUND)?.state;
    let fault = state.apply(&write).err();
    let answer = WriteResponse {
        state: *state,
        fault,
    };
    drop(ranks);
    group.gates_changed.notify_one();
    Ok(Json(answer))
}

/// Starts loading the weights of a map, in place of any staged map. The map in force stays loaded.
async fn start_load(
    State(group): GroupState,
    Path(index): Path<u16>,
    Query(query): Query<LoadQuery>,
    bytes: Bytes,
) -> Result<StatusCode, StatusCode> {
    let digest: Digest = query.digest.parse().map_err(|_| StatusCode::BAD_REQUEST)?;
    let id = MapRef {
        version: Version(query.version),
        digest,
    };
    if digest.0 != <[u8; 32]>::from(Sha256::digest(&bytes)) {
        return Err(StatusCode::BAD_REQUEST);
    }
    let map: ExpertMap = postcard::from_bytes(&bytes).map_err(|_| StatusCode::BAD_REQUEST)?;
    let mut ranks = lock(&group.ranks);
    if map.validate(ranks.shape).is_err() || map.version != id.version {
        return Err(StatusCode::BAD_REQUEST);
    }
    let missing =
        ranks.count_missing_experts(index, &map) * group.options.expert_mib * BYTES_PER_MIB;
    let rank = ranks.ranks.get_mut(usize::from(index));
    let rank = rank.ok_or(StatusCode::NOT_FOUND)?;
    if group.options.checked && FencingNumber(query.fencing) < rank.fencing {
        ranks.totals.rejected += 1;
        return Err(StatusCode::CONFLICT);
    }
    let is_repeat = rank.load.is_some_and(|load| {
        load.map == id && load.phase == LoadPhase::Loading || rank.state.staged == Some(id)
    });
    if is_repeat {
        return Ok(StatusCode::ACCEPTED);
    }
    if rank.state.needs_staged() {
        return Err(StatusCode::CONFLICT);
    }
    rank.fencing = rank.fencing.max(FencingNumber(query.fencing));
    rank.state.staged = None;
    rank.load_commands += 1;
    rank.load = Some(LoadView {
        map: id,
        phase: LoadPhase::Loading,
    });
    let command = rank.load_commands;
    ranks.totals.loads += 1;
    ranks.totals.bytes += missing;
    ranks.store_map(StoredMap { id, map, bytes });
    drop(ranks);
    let faults = group.find_faults(index);
    let ready_at = group.schedule_transfer(missing) + Duration::from_millis(faults.load_delay_ms);
    tokio::spawn(finish_load(group, index, command, ready_at));
    Ok(StatusCode::ACCEPTED)
}

impl Group {
    fn find_faults(&self, rank: u16) -> Faults {
        let faults = lock(&self.faults);
        let found = faults.iter().find(|f| f.rank == rank);
        found.copied().unwrap_or(Faults {
            rank,
            fail_loads: false,
            load_delay_ms: 0,
            slowness: default_slowness(),
        })
    }

    /// Queues a transfer from the weight store and returns when it is complete.
    fn schedule_transfer(&self, bytes: u64) -> Instant {
        let rate = (self.options.load_mib * BYTES_PER_MIB).max(1) as f64;
        let mut free_at = lock(&self.store_free_at);
        *free_at = (*free_at).max(Instant::now()) + Duration::from_secs_f64(bytes as f64 / rate);
        *free_at
    }
}

async fn finish_load(group: Arc<Group>, index: u16, command: u64, ready_at: Instant) {
    tokio::time::sleep_until(ready_at).await;
    let failed = group.find_faults(index).fail_loads;
    let mut ranks = lock(&group.ranks);
    let rank = &mut ranks.ranks[usize::from(index)];
    if let Some(load) = &mut rank.load
        && rank.load_commands == command
        && load.phase == LoadPhase::Loading
    {
        load.phase = if failed {
            LoadPhase::Failed
        } else {
            rank.state.staged = Some(load.map);
            LoadPhase::Loaded
        };
    }
}

async fn discard_map(
    State(group): GroupState,
    Path(rank): Path<u16>,
    Json(map): Json<MapRef>,
) -> Result<StatusCode, StatusCode> {
    let mut ranks = lock(&group.ranks);
    let rank = ranks.ranks.get_mut(usize::from(rank));
    let rank = rank.ok_or(StatusCode::NOT_FOUND)?;
    if rank.state.staged == Some(map) && rank.state.needs_staged() {
        return Err(StatusCode::CONFLICT);
    }
    if rank.load.is_some_and(|load| load.map == map) {
        rank.load = None;
    }
    if rank.state.staged == Some(map) {
        rank.state.staged = None;
    }
    Ok(StatusCode::NO_CONTENT)
}

async fn drain_token_counts(
    State(group): GroupState,
    Path(rank): Path<u16>,
) -> Result<Json<Vec<TokenCounts>>, StatusCode> {
    let mut ranks = lock(&group.ranks);
    let rank = ranks.ranks.get_mut(usize::from(rank));
    Ok(Json(rank.ok_or(StatusCode::NOT_FOUND)?.drain_counts()))
}

async fn read_map(
    State(group): GroupState,
    Path((rank, digest)): Path<(u16, String)>,
) -> Result<Bytes, StatusCode> {
    let ranks = lock(&group.ranks);
    if usize::from(rank) >= ranks.ranks.len() {
        return Err(StatusCode::NOT_FOUND);
    }
    let has_digest = |stored: &&StoredMap| stored.id.digest.to_string() == digest;
    let stored = ranks.maps.iter().find(has_digest);
    Ok(stored.ok_or(StatusCode::NOT_FOUND)?.bytes.clone())
}

async fn read_totals(State(group): GroupState) -> Json<Totals> {
    Json(lock(&group.ranks).totals.clone())
}

async fn set_demand(State(group): GroupState, Json(settings): Json<DemandSettings>) -> StatusCode {
    lock(&group.ranks).demand.settings = settings;
    StatusCode::NO_CONTENT
}

async fn set_faults(
    State(group): GroupState,
    Json(faults): Json<Faults>,
) -> Result<StatusCode, StatusCode> {
    let mut ranks = lock(&group.ranks);
    let rank = ranks.ranks.get_mut(usize::from(faults.rank));
    rank.ok_or(StatusCode::NOT_FOUND)?.slowness = faults.slowness;
    drop(ranks);
    let mut all_faults = lock(&group.faults);
    all_faults.retain(|old| old.rank != faults.rank);
    all_faults.push(faults);
    Ok(StatusCode::NO_CONTENT)
}
