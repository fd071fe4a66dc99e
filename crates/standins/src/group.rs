//! Group of ranks that step together on an expert map; one process stands in for all engines.

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

use self::ranks::KeptMap;
use self::ranks::Ranks;
use crate::engine;
use crate::tally::lock;

pub use self::demand::Hot;
pub use self::demand::Settings as Demand;
pub use self::ranks::LoadPhase;
pub use self::ranks::LoadView;
pub use self::ranks::Span;
pub use self::ranks::TokenCounts;
pub use self::ranks::Totals;

/// Largest map.
const MAP_BYTES: usize = 16 << 20;

/// Bytes in a MiB.
const MIB: u64 = 1 << 20;

/// Settings of the group.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Address to listen on; port 0 takes a free one
    #[bpaf(argument("ADDR"))]
    pub listen: SocketAddr,
    /// Name given in each answer
    #[bpaf(argument("X"), fallback("group".to_owned()))]
    pub name: String,
    /// Ranks
    #[bpaf(argument("N"), fallback(4))]
    pub ranks: u16,
    /// Experts in each layer
    #[bpaf(argument("E"), fallback(16))]
    pub experts: u16,
    /// Layers
    #[bpaf(argument("L"), fallback(4))]
    pub layers: u16,
    /// Experts that a rank can hold in each layer
    #[bpaf(argument("S"), fallback(6))]
    pub slots: u16,
    /// Time of a step whose load is even
    #[bpaf(argument("MS"), fallback(20))]
    pub step_ms: u64,
    /// Seed of the demand
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Amplitude of the logarithm of an expert's popularity; 0 is even
    #[bpaf(argument("A"), fallback(1.0))]
    pub skew: f64,
    /// Steps in which the popularity of an expert rises and falls once; 0 stops the drift
    #[bpaf(argument("STEPS"), fallback(100_000))]
    pub period: u64,
    /// Sequences that run at a time
    #[bpaf(argument("N"), fallback(8))]
    pub sequences: usize,
    /// Size of the weights of one expert in one layer
    #[bpaf(argument("MIB"), fallback(8))]
    pub expert_mib: u64,
    /// Rate of the weight store for the whole group
    #[bpaf(argument("MIB"), fallback(256))]
    pub load_mib: u64,
    /// Rejects load commands with an old fencing number
    pub checked: bool,
}

/// Body of `POST /faults`; it replaces the faults of the rank, and absent fields mean no fault.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// The rank.
    pub rank: u16,
    /// Loads fail at their end.
    #[serde(default)]
    pub fail_loads: bool,
    /// Time added to each load.
    #[serde(default)]
    pub load_delay_ms: u64,
    /// Factor on the time of a step.
    #[serde(default = "default_slowness")]
    pub slowness: f64,
}

fn default_slowness() -> f64 {
    1.0
}

/// Answer of `GET /ranks/{rank}/state`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct RankView {
    /// The state kept for the agent.
    pub state: EngineState,
    /// The newest load command.
    pub load: Option<LoadView>,
    /// Highest fencing number of a load command.
    pub fencing: FencingNumber,
}

/// Answer of `POST /ranks/{rank}/record`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct WriteAnswer {
    /// The state after the write.
    pub state: EngineState,
    /// Why the write was refused; none if it was applied.
    pub fault: Option<WriteError>,
}

/// Query of `POST /ranks/{rank}/load`; the body is the map.
#[derive(Debug, Clone, Deserialize)]
struct LoadQuery {
    version: u64,
    digest: String,
    fencing: u64,
}

struct Group {
    ranks: Mutex<Ranks>,
    faults: Mutex<Vec<Faults>>,
    /// When the weight store has served all loads so far.
    served: Mutex<Instant>,
    changed: Notify,
    options: Options,
}

type Shared = State<Arc<Group>>;

/// Builds the routes of one group and starts its steps.
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
    let even = Duration::from_millis(options.step_ms);
    let mut ranks = Ranks::new(shape, options.seed, even)?;
    ranks.demand.settings = Demand {
        skew: options.skew,
        period: options.period,
        ..Demand::default()
    };
    let group = Arc::new(Group {
        ranks: Mutex::new(ranks),
        faults: Mutex::default(),
        served: Mutex::new(Instant::now()),
        changed: Notify::new(),
        options: options.clone(),
    });
    let (steps, stepping) = watch::channel(0);
    tokio::spawn(run_steps(Arc::clone(&group), steps));
    let serving = engine::Options {
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
        .route("/ranks/{rank}/discard", post(discard))
        .route("/ranks/{rank}/tokens", post(take_tokens))
        .route("/ranks/{rank}/maps/{digest}", get(read_map))
        .route("/group", get(show_group))
        .route("/demand", post(set_demand))
        .route("/faults", post(set_faults))
        .layer(DefaultBodyLimit::max(MAP_BYTES))
        .with_state(group);
    Ok(router.merge(engine::build_paced(&serving, stepping)))
}

/// Starts step after step; a closed gate on any rank holds all of them.
async fn run_steps(group: Arc<Group>, steps: watch::Sender<u64>) {
    let mut due = Instant::now();
    let mut held: Option<Instant> = None;
    loop {
        // Registered before the look at the gates, so that no change is missed.
        let changed = group.changed.notified();
        let started = lock(&group.ranks).start_step();
        let Some(time) = started else {
            held.get_or_insert_with(Instant::now);
            changed.await;
            continue;
        };
        if let Some(since) = held.take() {
            let mut ranks = lock(&group.ranks);
            ranks.totals.held_steps += 1;
            ranks.totals.held_ms += since.elapsed().as_millis() as u64;
        }
        // Lost time is not caught up with a burst of short steps.
        due = due.max(Instant::now()) + time;
        tokio::time::sleep_until(due).await;
        steps.send_replace(lock(&group.ranks).totals.steps);
    }
}

async fn read_state(
    State(group): Shared,
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

/// Applies a write under the lock that also the start of a step takes.
async fn write_record(
    State(group): Shared,
    Path(rank): Path<u16>,
    Json(write): Json<RecordWrite>,
) -> Result<Json<WriteAnswer>, StatusCode> {
    let mut ranks = lock(&group.ranks);
    let rank = ranks.ranks.get_mut(usize::from(rank));
    let state = &mut rank.ok_or(StatusCode::NOT_FOUND)?.state;
    let fault = state.apply(&write).err();
    let answer = WriteAnswer {
        state: *state,
        fault,
    };
    drop(ranks);
    group.changed.notify_one();
    Ok(Json(answer))
}

/// Begins to load the weights of a map; they replace others beside the map in force.
async fn start_load(
    State(group): Shared,
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
    let missing = ranks.count_missing(index, &map) * group.options.expert_mib * MIB;
    let rank = ranks.ranks.get_mut(usize::from(index));
    let rank = rank.ok_or(StatusCode::NOT_FOUND)?;
    if group.options.checked && FencingNumber(query.fencing) < rank.fencing {
        ranks.totals.rejected += 1;
        return Err(StatusCode::CONFLICT);
    }
    let loading = rank.load.is_some_and(|load| {
        load.map == id && load.phase == LoadPhase::Loading || rank.state.staged == Some(id)
    });
    if loading {
        return Ok(StatusCode::ACCEPTED);
    }
    if rank.state.needs_staged() {
        return Err(StatusCode::CONFLICT);
    }
    rank.fencing = rank.fencing.max(FencingNumber(query.fencing));
    rank.state.staged = None;
    rank.commands += 1;
    rank.load = Some(LoadView {
        map: id,
        phase: LoadPhase::Loading,
    });
    let command = rank.commands;
    ranks.totals.loads += 1;
    ranks.totals.bytes += missing;
    ranks.keep_map(KeptMap { id, map, bytes });
    drop(ranks);
    let faults = group.find_faults(index);
    let ready = group.reserve(missing) + Duration::from_millis(faults.load_delay_ms);
    tokio::spawn(finish_load(group, index, command, ready));
    Ok(StatusCode::ACCEPTED)
}

impl Group {
    fn find_faults(&self, rank: u16) -> Faults {
        let faults = lock(&self.faults);
        let own = faults.iter().find(|f| f.rank == rank);
        own.copied().unwrap_or(Faults {
            rank,
            fail_loads: false,
            load_delay_ms: 0,
            slowness: default_slowness(),
        })
    }

    /// When the weight store has delivered some more bytes.
    fn reserve(&self, bytes: u64) -> Instant {
        let rate = (self.options.load_mib * MIB).max(1) as f64;
        let mut served = lock(&self.served);
        *served = (*served).max(Instant::now()) + Duration::from_secs_f64(bytes as f64 / rate);
        *served
    }
}

async fn finish_load(group: Arc<Group>, index: u16, command: u64, ready: Instant) {
    tokio::time::sleep_until(ready).await;
    let failed = group.find_faults(index).fail_loads;
    let mut ranks = lock(&group.ranks);
    let rank = &mut ranks.ranks[usize::from(index)];
    if let Some(load) = &mut rank.load
        && rank.commands == command
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

async fn discard(
    State(group): Shared,
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

async fn take_tokens(
    State(group): Shared,
    Path(rank): Path<u16>,
) -> Result<Json<Vec<TokenCounts>>, StatusCode> {
    let mut ranks = lock(&group.ranks);
    let rank = ranks.ranks.get_mut(usize::from(rank));
    Ok(Json(rank.ok_or(StatusCode::NOT_FOUND)?.take_counts()))
}

async fn read_map(
    State(group): Shared,
    Path((rank, digest)): Path<(u16, String)>,
) -> Result<Bytes, StatusCode> {
    let ranks = lock(&group.ranks);
    if usize::from(rank) >= ranks.ranks.len() {
        return Err(StatusCode::NOT_FOUND);
    }
    let named = |kept: &&KeptMap| kept.id.digest.to_string() == digest;
    let kept = ranks.maps.iter().find(named);
    Ok(kept.ok_or(StatusCode::NOT_FOUND)?.bytes.clone())
}

async fn show_group(State(group): Shared) -> Json<Totals> {
    Json(lock(&group.ranks).totals.clone())
}

async fn set_demand(State(group): Shared, Json(demand): Json<Demand>) -> StatusCode {
    lock(&group.ranks).demand.settings = demand;
    StatusCode::NO_CONTENT
}

async fn set_faults(
    State(group): Shared,
    Json(faults): Json<Faults>,
) -> Result<StatusCode, StatusCode> {
    let mut ranks = lock(&group.ranks);
    let rank = ranks.ranks.get_mut(usize::from(faults.rank));
    rank.ok_or(StatusCode::NOT_FOUND)?.slowness = faults.slowness;
    drop(ranks);
    let mut known = lock(&group.faults);
    known.retain(|old| old.rank != faults.rank);
    known.push(faults);
    Ok(StatusCode::NO_CONTENT)
}
