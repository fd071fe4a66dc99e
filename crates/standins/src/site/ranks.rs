//! Ranks that run every pass together on an expert map, and the orders that change it.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use rand::Rng;
use serde_json::Value;
use serde_json::json;

use crate::tally::lock;

/// Time that a pass takes.
const PASS_TIME: Duration = Duration::from_millis(20);
/// Choices that one request adds to its rank's counts.
const CHOICES: u64 = 600;

/// Size of a group.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Number of ranks.
    pub ranks: usize,
    /// Sets of layers.
    pub sets: usize,
    /// Experts in a set.
    pub experts: usize,
    /// Experts of a set on one rank.
    pub places: usize,
}

#[derive(Debug, Clone, Default)]
struct Rank {
    version: u64,
    highest: u64,
    experts: Vec<Vec<u16>>,
    prepared: Option<(u64, Vec<Vec<u16>>)>,
    armed: Option<(u64, u64)>,
    held: Option<u64>,
    counts: Vec<u64>,
}

#[derive(Debug)]
struct State {
    step: u64,
    ranks: Vec<Rank>,
    switches: u32,
    mixed: u32,
    /// The expert of each set that most requests choose.
    liked: usize,
}

/// A group of ranks.
#[derive(Debug)]
pub struct Group {
    shape: Shape,
    state: Mutex<State>,
}

impl Group {
    /// A group on map 0, which deals the experts in turn.
    pub fn new(shape: Shape) -> Group {
        let rank = |rank: usize| Rank {
            experts: vec![
                (rank..shape.experts)
                    .step_by(shape.ranks)
                    .map(|e| e as u16)
                    .collect();
                shape.sets
            ],
            counts: vec![0; shape.sets * shape.experts],
            ..Rank::default()
        };
        Group {
            shape,
            state: Mutex::new(State {
                step: 0,
                ranks: (0..shape.ranks).map(rank).collect(),
                switches: 0,
                mixed: 0,
                liked: 0,
            }),
        }
    }

    /// Runs passes for good.
    pub async fn run(self: Arc<Self>) {
        loop {
            tokio::time::sleep(PASS_TIME).await;
            lock(&self.state).pass();
        }
    }

    /// Map switches, and passes in which two ranks had different maps.
    pub fn tally(&self) -> (u32, u32) {
        let state = lock(&self.state);
        (state.switches, state.mixed)
    }

    /// Makes requests choose another expert most.
    pub fn shift(&self) {
        let mut state = lock(&self.state);
        state.liked = (state.liked + 1) % self.shape.experts;
    }

    /// Counts the choices of one request, which mostly likes one expert of each set.
    pub fn count(&self, rank: usize) {
        let mut state = lock(&self.state);
        let experts = self.shape.experts;
        let mut rng = rand::rng();
        for set in 0..self.shape.sets {
            for _ in 0..CHOICES / 10 {
                let liked = rng.random_bool(0.7);
                let expert = match liked {
                    true => state.liked,
                    false => rng.random_range(0..experts),
                };
                state.ranks[rank].counts[set * experts + expert] += 10;
            }
        }
    }

    /// A rank's report.
    pub fn report(&self, rank: usize) -> Value {
        let state = lock(&self.state);
        let own = &state.ranks[rank];
        json!({
            "stage": "prefill_decode", "busy": false, "sequence": 0, "queued": 0, "active": 1,
            "group": {"name": "g", "epoch": 1, "rank": rank, "state": "open"},
            "size": self.shape.ranks, "pace": 1.0, "step": state.step, "map": own.version,
            "prepared": own.prepared.as_ref().map(|p| p.0),
            "armed": own.armed.map(|(version, step)| json!({"version": version, "step": step})),
            "held": own.held,
        })
    }

    /// What a rank's requests chose.
    pub fn picked(&self, rank: usize) -> Value {
        let state = lock(&self.state);
        json!({"step": state.step, "epoch": 1, "counts": state.ranks[rank].counts})
    }

    /// A rank's experts.
    pub fn lists(&self, rank: usize) -> Value {
        let state = lock(&self.state);
        let own = &state.ranks[rank];
        json!({"map": {"version": own.version, "experts": own.experts}, "prepared": null})
    }

    /// Applies an order and returns the status of its answer.
    pub fn apply(&self, rank: usize, order: &Value) -> u16 {
        let state = &mut *lock(&self.state);
        let number = |name: &str| order[name].as_u64();
        let (version, step) = (number("version").unwrap_or(0), number("step").unwrap_or(0));
        let passed = step <= state.step;
        let own = &mut state.ranks[rank];
        if number("epoch").is_some_and(|epoch| epoch != 1) {
            return 409;
        }
        match order["operation"].as_str().unwrap_or_default() {
            "prepare" if version <= own.highest || own.armed.is_some() => 409,
            "prepare" => {
                let lists = order["map"].as_array().into_iter().flatten();
                let experts = lists.map(|set| read_experts(&set[rank])).collect();
                own.highest = version;
                own.prepared = Some((version, experts));
                202
            }
            "arm" => match &own.prepared {
                Some((ready, _)) if *ready == version && !passed => {
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
            "hold" if passed || own.held.is_some_and(|held| held != step) => 409,
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

impl State {
    fn pass(&mut self) {
        let step = self.step + 1;
        if self.ranks.iter().any(|r| r.held == Some(step)) {
            return;
        }
        self.step = step;
        for rank in &mut self.ranks {
            if rank.armed.is_some_and(|(_, at)| at == step)
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
            self.mixed += 1;
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
