//! Packs all experts of a layer from scratch, regardless of where they are placed now.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use siskinbend_types::Version;

use crate::explanation::Explanation;
use crate::map::ExpertMap;
use crate::map::MapError;
use crate::map::Replica;
use crate::map::Shape;
use crate::policy::Cost;
use crate::policy::Decision;
use crate::policy::MapChange;
use crate::policy::Policy;
use crate::policy::PolicyInput;
use crate::policy::PolicyKind;
use crate::policy::WeightLoad;
use crate::split::LayerDraft;
use crate::split::ReplicaLoad;

/// Passes that balance the shares of a packed layer.
const BALANCE_PASSES: usize = 20;

/// Packs a group for a demand in tokens per step, by layer and expert.
///
/// # Errors
///
/// Returns [`MapError::TooManyExperts`] if the experts do not fit.
pub fn pack_map(
    shape: Shape,
    demand: &[Vec<f64>],
    speeds: &[f64],
    version: Version,
) -> Result<ExpertMap, MapError> {
    ExpertMap::initial(shape)?;
    let pack = |tokens: &Vec<f64>| pack_layer(shape, tokens, speeds).to_map();
    Ok(ExpertMap {
        version,
        layers: demand.iter().map(pack).collect(),
    })
}

/// A value with its index, ordered by value and, for equal values, by descending index.
#[derive(Debug, PartialEq)]
struct HeapEntry(f64, usize);

impl Eq for HeapEntry {}

impl PartialOrd for HeapEntry {
    fn partial_cmp(&self, other: &HeapEntry) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for HeapEntry {
    fn cmp(&self, other: &HeapEntry) -> Ordering {
        self.0
            .total_cmp(&other.0)
            .then_with(|| other.1.cmp(&self.1))
    }
}

/// Replicates the hottest experts until all slots are used, then places the replicas in order of
/// decreasing load, each on the rank with the lowest load over speed.
fn pack_layer(shape: Shape, demand: &[f64], speeds: &[f64]) -> LayerDraft {
    let ranks = usize::from(shape.ranks);
    let slots = usize::from(shape.slots);
    let counts = count_replicas(demand, ranks, slots);
    let mut order: Vec<usize> = (0..demand.len()).collect();
    order.sort_by(|a, b| {
        let value = |e: usize| demand[e] / counts[e] as f64;
        value(*b).total_cmp(&value(*a)).then(a.cmp(b))
    });
    let mut draft = LayerDraft {
        experts: vec![Vec::new(); demand.len()],
        loads: vec![0.0; ranks],
        variances: vec![0.0; ranks],
        noise: vec![0.0; demand.len()],
    };
    let mut free = vec![slots; ranks];
    for expert in order {
        for _ in 0..counts[expert] {
            let on = &draft.experts[expert];
            let open = |r: &usize| free[*r] > 0 && on.iter().all(|p| usize::from(p.rank) != *r);
            let level = |r: usize| draft.loads[r] / speeds[r];
            let best = (0..ranks)
                .filter(open)
                .min_by(|a, b| level(*a).total_cmp(&level(*b)));
            // The only ranks with a free slot may already hold the expert.
            let Some(rank) = best else { break };
            let tokens = demand[expert] / counts[expert] as f64;
            free[rank] -= 1;
            draft.loads[rank] += tokens;
            draft.experts[expert].push(ReplicaLoad {
                rank: rank as u16,
                tokens,
            });
        }
    }
    for (parts, tokens) in draft.experts.iter_mut().zip(demand) {
        parts.sort_by_key(|p| p.rank);
        let count = parts.len() as f64;
        parts.iter_mut().for_each(|p| p.tokens = tokens / count);
    }
    draft.recompute_loads();
    draft.balance(speeds, BALANCE_PASSES);
    draft
}

/// Assigns each spare slot to the expert with the most tokens per replica.
fn count_replicas(demand: &[f64], ranks: usize, slots: usize) -> Vec<usize> {
    let mut counts = vec![1; demand.len()];
    let mut heap: BinaryHeap<HeapEntry> = demand
        .iter()
        .enumerate()
        .map(|(e, d)| HeapEntry(*d, e))
        .collect();
    for _ in demand.len()..ranks * slots {
        let Some(HeapEntry(_, expert)) = heap.pop() else {
            break;
        };
        counts[expert] += 1;
        if counts[expert] < ranks {
            heap.push(HeapEntry(demand[expert] / counts[expert] as f64, expert));
        }
    }
    counts
}

/// Lists the loads that lead from one map to another, by layer. A load names an expert that it
/// evicts if the new map frees a slot on its rank.
pub fn list_loads(old: &ExpertMap, new: &ExpertMap) -> Vec<WeightLoad> {
    let mut loads = Vec::new();
    for (layer, (before, after)) in old.layers.iter().zip(&new.layers).enumerate() {
        if before == after {
            continue;
        }
        let mut added: Vec<(u16, u16)> = Vec::new();
        let mut freed: Vec<(u16, u16)> = Vec::new();
        for (expert, (had, has)) in before.experts.iter().zip(&after.experts).enumerate() {
            let missing = |from: &[Replica], rank: u16| from.iter().all(|r| r.rank != rank);
            let new = has.iter().filter(|r| missing(had, r.rank));
            added.extend(new.map(|r| (expert as u16, r.rank)));
            let removed = had.iter().filter(|r| missing(has, r.rank));
            freed.extend(removed.map(|r| (expert as u16, r.rank)));
        }
        for (expert, rank) in added {
            let slot = freed.iter().position(|(_, r)| *r == rank);
            loads.push(WeightLoad {
                layer: layer as u16,
                expert,
                rank,
                evicts: slot.map(|at| freed.swap_remove(at).0),
            });
        }
    }
    loads
}

/// Packs all experts from scratch at every decision, regardless of the cost.
pub(crate) struct ReplanPolicy;

impl Policy for ReplanPolicy {
    fn name(&self) -> &'static str {
        PolicyKind::Replan.as_str()
    }

    fn decide(&mut self, view: &PolicyInput<'_>) -> Decision {
        let ready = view.demand.is_ready();
        let demand: Vec<Vec<f64>> = view.demand.layers.iter().map(|l| l.mean.clone()).collect();
        let version = view.map.version.next();
        let packed = pack_map(view.shape, &demand, &view.demand.speeds, version);
        let (true, Ok(map)) = (ready, packed) else {
            return Decision {
                change: None,
                explanations: vec![Explanation::NoCounts],
            };
        };
        let loads = list_loads(view.map, &map);
        let mut ranks: Vec<u16> = loads.iter().map(|l| l.rank).collect();
        ranks.sort_unstable();
        ranks.dedup();
        let cost = Cost {
            bytes: loads.len() as u64 * view.expert_size.0,
            ranks: ranks.len() as u32,
            total: 0.0,
        };
        Decision {
            change: Some(MapChange {
                map,
                loads,
                gain: 0.0,
                cost,
            }),
            explanations: vec![Explanation::Repacked],
        }
    }
}
