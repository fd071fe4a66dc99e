//! Model replicas that form one group of ranks: passes, expert maps and the orders that switch them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::Value;
use serde_json::json;

use crate::record::Record;

/// Duration of a pass.
const PASS: Duration = Duration::from_millis(15);
/// Passes after which other experts are in demand.
const SHIFT_PASSES: u64 = 300;
/// Choices of experts that a running request adds in each set in one pass.
const CHOICES: u64 = 40;

/// Number of sets of layers.
pub const SETS: usize = 2;
/// Number of experts in each set.
pub const EXPERTS: usize = 12;
/// Number of experts of a set that a rank can hold.
pub const PLACEMENTS: usize = 5;
/// Number of experts of a set that may be new to a rank.
pub const SPARE: usize = 3;

/// Experts by set and rank.
type Map = Vec<Vec<Vec<u16>>>;

#[derive(Clone, Default)]
struct Rank {
    version: u64,
    map: Map,
    /// Highest version that the rank has had.
    highest: u64,
    prepared: Option<(u64, Map)>,
    /// Version and pass.
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    counts: Vec<u64>,
    active: u64,
    /// Slowdown that the rank reports.
    pace: f64,
}

struct State {
    step: u64,
    ranks: Vec<Rank>,
    switches: u32,
    /// First pass that began with two maps.
    mixed: Option<String>,
}

/// Group of ranks.
pub struct Group {
    state: Mutex<State>,
    record: Arc<Record>,
    born: u64,
}

impl Group {
    /// Creates a group of `size` ranks on map 0, and runs its passes.
    pub fn start(size: usize, record: &Arc<Record>) -> Arc<Group> {
        let of_rank = |rank: usize| (rank..EXPERTS).step_by(size).map(|e| e as u16).collect();
        let set: Vec<Vec<u16>> = (0..size).map(of_rank).collect();
        let rank = Rank {
            map: vec![set; SETS],
            counts: vec![0; SETS * EXPERTS],
            pace: 1.0,
            ..Rank::default()
        };
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let group = Arc::new(Group {
            state: Mutex::new(State {
                step: 0,
                ranks: vec![rank; size],
                switches: 0,
                mixed: None,
            }),
            record: Arc::clone(record),
            born: since_epoch.as_millis() as u64,
        });
        let shared = Arc::clone(&group);
        thread::spawn(move || {
            loop {
                thread::sleep(PASS);
                shared.run_pass();
            }
        });
        group
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Unix millisecond at which the ranks started.
    pub fn born(&self) -> u64 {
        self.born
    }

    /// Sets the slowdown that a rank reports.
    pub fn set_pace(&self, rank: usize, pace: f64) {
        self.state().ranks[rank].pace = pace;
    }

    /// Number of passes at which the map changed.
    pub fn switches(&self) -> u32 {
        self.state().switches
    }

    /// Describes the first pass that began with two maps, if there was one.
    pub fn mixed(&self) -> Option<String> {
        self.state().mixed.clone()
    }

    /// Records that a request begins to run at a rank, or ends.
    pub fn add_active(&self, rank: usize, begins: bool) {
        let active = &mut self.state().ranks[rank].active;
        *active = match begins {
            true => *active + 1,
            false => active.saturating_sub(1),
        };
    }

    fn run_pass(&self) {
        let mut state = self.state();
        let next = state.step + 1;
        let is_idle = state.ranks.iter().all(|rank| rank.active == 0);
        if is_idle || state.ranks.iter().any(|rank| rank.held == Some(next)) {
            return;
        }
        state.step = next;
        let mut has_switched = false;
        for rank in &mut state.ranks {
            if rank.armed.is_some_and(|(_, step)| step == next) {
                rank.armed = None;
                if let Some((version, map)) = rank.prepared.take() {
                    rank.version = version;
                    rank.map = map;
                    has_switched = true;
                }
            }
        }
        state.switches += u32::from(has_switched);
        let versions: Vec<u64> = state.ranks.iter().map(|rank| rank.version).collect();
        if has_switched {
            self.record
                .line(format!("group: pass {next} begins with maps {versions:?}"));
        }
        let first = &state.ranks[0];
        let is_other = |rank: &Rank| rank.version != first.version || rank.map != first.map;
        if state.mixed.is_none() && state.ranks.iter().any(is_other) {
            let text = format!("pass {next} began while the ranks had the maps {versions:?}");
            self.record.line(format!("BROKEN MAP: {text}"));
            state.mixed = Some(text);
        }
        let hot = usize::try_from(next / SHIFT_PASSES).unwrap_or_default() * 5 % EXPERTS;
        for rank in &mut state.ranks {
            for set in 0..SETS {
                let choices = CHOICES * rank.active;
                for expert in 0..EXPERTS {
                    rank.counts[set * EXPERTS + expert] += choices / 20;
                }
                rank.counts[set * EXPERTS + (hot + set) % EXPERTS] += choices * 2 / 5;
            }
        }
    }

    /// Builds the report of a rank.
    pub fn report(&self, rank: usize) -> Value {
        let state = self.state();
        let own = &state.ranks[rank];
        let armed = own
            .armed
            .map(|(version, step)| json!({"version": version, "step": step}));
        json!({
            "stage": "prefill_decode", "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": false, "sequence": 0, "queued": 0, "active": own.active, "kvUsed": 0,
            "kvTotal": 90000, "handles": 0, "born": self.born,
            "group": {"name": "g0", "epoch": 1, "rank": rank, "state": "open"},
            "size": state.ranks.len(), "pace": own.pace, "step": state.step, "map": own.version,
            "prepared": own.prepared.as_ref().map(|p| p.0), "armed": armed, "held": own.held,
        })
    }

    /// Builds the answer to `GET /picked`.
    pub fn picked(&self, rank: usize, lists: bool) -> Value {
        let state = self.state();
        let own = &state.ranks[rank];
        let of_rank =
            |map: &Map| -> Vec<Vec<u16>> { map.iter().map(|set| set[rank].clone()).collect() };
        if !lists {
            return json!({"step": state.step, "epoch": 1, "counts": own.counts});
        }
        let prepared = own.prepared.as_ref();
        let prepared = prepared.map(|(v, map)| json!({"version": v, "experts": of_rank(map)}));
        let map = json!({"version": own.version, "experts": of_rank(&own.map)});
        json!({"map": map, "prepared": prepared})
    }

    /// Carries out an order and returns the status of its answer.
    pub fn order(&self, rank: usize, order: &Value) -> u16 {
        let mut state = self.state();
        let number = |name: &str| order[name].as_u64();
        let version = number("version").unwrap_or(0);
        let step = number("step").unwrap_or(0);
        let has_begun = step <= state.step;
        let own = &mut state.ranks[rank];
        if number("epoch").is_some_and(|epoch| epoch != 1) {
            return 409;
        }
        match order["operation"].as_str().unwrap_or_default() {
            "prepare" => {
                let Ok(map) = serde_json::from_value::<Map>(order["map"].clone()) else {
                    return 400;
                };
                let is_new = |set: usize| {
                    let old = &own.map[set][rank];
                    map[set][rank].iter().filter(|e| !old.contains(e)).count()
                };
                let is_too_much = (0..SETS).any(|set| is_new(set) > SPARE);
                if version <= own.highest || own.armed.is_some() || is_too_much {
                    return 409;
                }
                own.highest = version;
                own.prepared = Some((version, map));
                202
            }
            "arm" => match &own.prepared {
                Some((prepared, _)) if *prepared == version && !has_begun => {
                    own.armed = Some((version, step));
                    200
                }
                _ => 409,
            },
            "disarm" => match own.armed {
                Some((armed, _)) if armed == version => {
                    own.armed = None;
                    200
                }
                _ => 409,
            },
            "hold" if has_begun || own.held.is_some_and(|held| held != step) => 409,
            "hold" => {
                own.held = Some(step);
                200
            }
            "go" => {
                own.held = own.held.filter(|held| *held != step);
                200
            }
            _ => 400,
        }
    }
}
