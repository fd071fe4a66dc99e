//! Group of ranks that run each step together on an expert map, and the orders that switch the map.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::Rng;
use serde_json::Value;
use serde_json::json;

use crate::counters::lock;

const STEP_DURATION: Duration = Duration::from_millis(20);
/// Expert activations that one request adds to its rank's counts in each set.
const ACTIVATIONS_PER_SET: u64 = 600;

/// Dimensions of a group.
#[derive(Debug, Clone, Copy)]
pub struct GroupShape {
    /// Number of ranks.
    pub ranks: usize,
    /// Number of sets of layers.
    pub sets: usize,
    /// Number of experts in each set.
    pub experts: usize,
    /// Number of experts of each set that one rank can hold.
    pub placements: usize,
}

impl GroupShape {
    /// Returns the shape of a group with two sets of twelve experts and two spare places a rank.
    pub fn of_ranks(ranks: usize) -> GroupShape {
        let experts = 12;
        GroupShape {
            ranks,
            sets: 2,
            experts,
            placements: experts / ranks + 2,
        }
    }
}

#[derive(Debug, Clone, Default)]
struct Rank {
    /// Version of the map in force.
    version: u64,
    /// Highest map version that was prepared.
    highest_prepared: u64,
    /// Experts in force, by set.
    experts: Vec<Vec<u16>>,
    /// Version and experts of the prepared map.
    prepared: Option<(u64, Vec<Vec<u16>>)>,
    /// Version of the armed map and the step at which it takes effect.
    armed: Option<(u64, u64)>,
    /// Step that the rank must not start.
    held: Option<u64>,
    /// Activations by set and expert.
    counts: Vec<u64>,
    /// Time that the rank takes for its work, as a multiple of the usual time.
    pace: f64,
}

#[derive(Debug)]
struct State {
    step: u64,
    ranks: Vec<Rank>,
    switches: u32,
    /// Steps in which two ranks had different maps.
    mixed_steps: u32,
    /// Expert of each set that receives most activations.
    hot_expert: usize,
}

/// Group of ranks with a common step counter.
#[derive(Debug)]
pub struct Group {
    name: String,
    shape: GroupShape,
    state: Mutex<State>,
}

impl Group {
    /// Creates a group on map 0, which assigns the experts to the ranks in round-robin order.
    pub fn new(name: String, shape: GroupShape) -> Group {
        let rank = |rank: usize| Rank {
            experts: vec![
                (rank..shape.experts)
                    .step_by(shape.ranks)
                    .map(|e| e as u16)
                    .collect();
                shape.sets
            ],
            counts: vec![0; shape.sets * shape.experts],
            pace: 1.0,
            ..Rank::default()
        };
        Group {
            name,
            shape,
            state: Mutex::new(State {
                step: 0,
                ranks: (0..shape.ranks).map(rank).collect(),
                switches: 0,
                mixed_steps: 0,
                hot_expert: 0,
            }),
        }
    }

    /// Runs steps forever.
    pub async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(STEP_DURATION).await;
            lock(&self.state).run_step();
        }
    }

    /// Returns the number of map switches, counted once per rank, and the number of steps in which
    /// two ranks had different maps.
    pub fn switch_counts(&self) -> (u32, u32) {
        let state = lock(&self.state);
        (state.switches, state.mixed_steps)
    }

    /// Sets the time that a rank takes for its work, as a multiple of the usual time.
    pub fn set_pace(&self, rank: usize, pace: f64) {
        lock(&self.state).ranks[rank].pace = pace;
    }

    /// Makes another expert of each set the one that receives most activations.
    pub fn shift_hot_expert(&self) {
        let mut state = lock(&self.state);
        state.hot_expert = (state.hot_expert + 1) % self.shape.experts;
    }

    /// Counts the activations of one request; 70% and a share of the rest go to the hot expert.
    pub fn record_request(&self, rank: usize) {
        let mut state = lock(&self.state);
        let experts = self.shape.experts;
        let mut rng = rand::rng();
        for set in 0..self.shape.sets {
            for _ in 0..ACTIVATIONS_PER_SET / 10 {
                let is_hot = rng.random_bool(0.7);
                let expert = match is_hot {
                    true => state.hot_expert,
                    false => rng.random_range(0..experts),
                };
                state.ranks[rank].counts[set * experts + expert] += 10;
            }
        }
    }

    /// Builds a rank's report.
    pub fn report(&self, rank: usize) -> Value {
        let state = lock(&self.state);
        let rank_state = &state.ranks[rank];
        let armed = rank_state
            .armed
            .map(|(version, step)| json!({"version": version, "step": step}));
        json!({
            "stage": "prefill_decode", "busy": false, "sequence": 0, "queued": 0, "active": 1,
            "group": {"name": self.name, "epoch": 1, "rank": rank, "state": "open"},
            "size": self.shape.ranks, "pace": rank_state.pace, "step": state.step, "map": rank_state.version,
            "prepared": rank_state.prepared.as_ref().map(|p| p.0),
            "armed": armed,
            "held": rank_state.held,
        })
    }

    /// Builds the expert counts of a rank.
    pub fn expert_counts(&self, rank: usize) -> Value {
        let state = lock(&self.state);
        json!({"step": state.step, "epoch": 1, "counts": state.ranks[rank].counts})
    }

    /// Builds the lists of the experts that a rank holds.
    pub fn expert_lists(&self, rank: usize) -> Value {
        let state = lock(&self.state);
        let rank_state = &state.ranks[rank];
        let map = json!({"version": rank_state.version, "experts": rank_state.experts});
        json!({"map": map, "prepared": null})
    }

    /// Applies an order and returns the HTTP status of the answer.
    pub fn apply_order(&self, rank: usize, order: &Value) -> u16 {
        let state = &mut *lock(&self.state);
        let read_number = |name: &str| order[name].as_u64();
        let (version, step) = (
            read_number("version").unwrap_or(0),
            read_number("step").unwrap_or(0),
        );
        let is_past = step <= state.step;
        let rank_state = &mut state.ranks[rank];
        if read_number("epoch").is_some_and(|epoch| epoch != 1) {
            return 409;
        }
        match order["operation"].as_str().unwrap_or_default() {
            "prepare" if version <= rank_state.highest_prepared || rank_state.armed.is_some() => {
                409
            }
            "prepare" => {
                let lists = order["map"].as_array().into_iter().flatten();
                let experts = lists.map(|set| read_experts(&set[rank])).collect();
                rank_state.highest_prepared = version;
                rank_state.prepared = Some((version, experts));
                202
            }
            "arm" => match &rank_state.prepared {
                Some((prepared, _)) if *prepared == version && !is_past => {
                    rank_state.armed = Some((version, step));
                    200
                }
                _ => 409,
            },
            "disarm" => match rank_state.armed {
                Some((armed, _)) if armed == version => {
                    rank_state.armed = None;
                    200
                }
                _ => 409,
            },
            "hold" if is_past || rank_state.held.is_some_and(|held| held != step) => 409,
            "hold" => {
                rank_state.held = Some(step);
                200
            }
            "go" => {
                rank_state.held = rank_state.held.filter(|held| *held != step);
                200
            }
            _ => 400,
        }
    }
}

impl State {
    fn run_step(&mut self) {
        let step = self.step + 1;
        if self.ranks.iter().any(|r| r.held == Some(step)) {
            return;
        }
        self.step = step;
        for rank in &mut self.ranks {
            if rank.armed.is_some_and(|(_, armed_step)| armed_step == step)
                && let Some((version, experts)) = rank.prepared.take()
            {
                rank.version = version;
                rank.experts = experts;
                rank.armed = None;
                self.switches += 1;
            }
        }
        let first = self.ranks[0].version;
        if self.ranks.iter().any(|r| r.version != first) {
            self.mixed_steps += 1;
        }
    }
}

fn read_experts(list: &Value) -> Vec<u16> {
    let numbers = list.as_array().into_iter().flatten();
    numbers
        .filter_map(|n| n.as_u64())
        .map(|n| n as u16)
        .collect()
}
