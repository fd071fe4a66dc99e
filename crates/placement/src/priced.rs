//! The policy that makes only the changes whose gain exceeds their cost at the group's price.

use std::collections::BTreeSet;

use siskinbend_types::ByteSize;

use crate::change_detector::ChangeDetector;
use crate::counts::LayerDemand;
use crate::explanation::Explanation;
use crate::map::ExpertMap;
use crate::map::LayerMap;
use crate::packing::list_loads;
use crate::policy::Cost;
use crate::policy::Decision;
use crate::policy::MapChange;
use crate::policy::Policy;
use crate::policy::PolicyInput;
use crate::policy::PolicyKind;
use crate::policy::Price;
use crate::step_time::ReplicaMove;
use crate::step_time::StepTimeModel;

/// Minimum ratio of gain to cost of a move. Both are estimates, so a move whose gain equals its
/// cost is as likely to lose as to win.
const MIN_GAIN_RATIO: f64 = 1.5;
/// Maximum moves per layer and plan. Keeps the planning of a layer within a millisecond.
const MAX_LAYER_MOVES: u32 = 4;
/// Maximum replicas that one plan adds for a bursting expert.
const MAX_BURST_REPLICAS: u32 = 4;
/// Prefix cache that a rank loses while it stages weights, in MiB that have to be loaded again.
const CACHE_MIB: f64 = 2.0;
/// Duration of the pause caused by a map switch, in steps.
const PAUSE_STEPS: f64 = 0.01;
/// Relative change of a layer's demand at which a placement made for it has lost its value.
const LIFETIME_CHANGE: f64 = 0.25;
/// Forecast horizon for a layer that is open to changes. It makes up for the age of the decayed
/// mean, which is about two intervals.
const FORECAST_INTERVALS: f64 = 2.0;
/// Relative speed below which a rank is reported as slow.
const SLOW_SPEED: f64 = 0.9;
/// Bytes per MiB, the unit of [`Price::byte_cost`].
const MIB: f64 = 1_048_576.0;

/// Makes only the changes whose gain exceeds their cost at a price.
pub(crate) struct PricedPolicy {
    price: Price,
    /// One detector per layer.
    detectors: Vec<ChangeDetector>,
}

/// State of a decision in progress.
struct Planner<'a> {
    price: Price,
    view: &'a PolicyInput<'a>,
    /// The demand to plan for, per layer.
    layers: &'a [LayerDemand],
    /// Replicas that the load budget still allows.
    remaining_loads: u64,
    loading_ranks: BTreeSet<u16>,
    gain: f64,
    explanations: Vec<Explanation>,
}

impl PricedPolicy {
    pub fn new(price: Price) -> PricedPolicy {
        PricedPolicy {
            price,
            detectors: Vec::new(),
        }
    }

    /// Returns for each layer whether it is open to changes.
    fn detect_changes(&mut self, view: &PolicyInput<'_>) -> Vec<bool> {
        let demand = view.demand;
        self.detectors
            .resize(demand.layers.len(), ChangeDetector::default());
        let layers = view.map.layers.iter().zip(&demand.layers);
        let observe =
            |(detector, (map, layer)): (&mut ChangeDetector, (&LayerMap, &LayerDemand))| {
                let model = StepTimeModel::new(view.shape, map, layer, &demand.speeds);
                detector.update(layer, &model, demand.intervals)
            };
        self.detectors.iter_mut().zip(layers).map(observe).collect()
    }
}

impl Policy for PricedPolicy {
    fn name(&self) -> &'static str {
        PolicyKind::Priced.as_str()
    }

    fn decide(&mut self, view: &PolicyInput<'_>) -> Decision {
        if !view.demand.is_ready() {
            return Decision {
                change: None,
                explanations: vec![Explanation::NoCounts],
            };
        }
        let open = self.detect_changes(view);
        let mut layers = view.demand.layers.clone();
        for (layer, _) in layers.iter_mut().zip(&open).filter(|(_, open)| **open) {
            layer.forecast(FORECAST_INTERVALS);
        }
        let planner = Planner {
            price: self.price,
            view,
            layers: &layers,
            remaining_loads: view.budget.0 / view.expert_size.0.max(1),
            loading_ranks: BTreeSet::new(),
            gain: 0.0,
            explanations: Vec::new(),
        };
        let (decision, changed) = planner.plan(&open);
        for layer in changed {
            self.detectors[layer].reset_baseline(&view.demand.layers[layer]);
        }
        decision
    }
}

impl Planner<'_> {
    /// Returns the decision and the layers that it changes.
    fn plan(mut self, open: &[bool]) -> (Decision, BTreeSet<usize>) {
        let (view, layers) = (self.view, self.layers);
        let mut models: Vec<StepTimeModel<'_>> = view
            .map
            .layers
            .iter()
            .zip(layers)
            .map(|(map, layer)| StepTimeModel::new(view.shape, map, layer, &view.demand.speeds))
            .collect();
        self.explain_slow_ranks();
        let mut changed = BTreeSet::new();
        for (layer, model) in models.iter_mut().enumerate() {
            if self.add_burst_replicas(layer, model) {
                changed.insert(layer);
            }
        }
        // Further loads would delay the switch that puts the replicas of a bursting expert into
        // use.
        let urgent = !changed.is_empty();
        // The slowest layers come first, because the load budget may not suffice for all.
        let mut order: Vec<usize> = (0..models.len()).collect();
        let times: Vec<f64> = models.iter().map(StepTimeModel::expected_time).collect();
        order.sort_by(|a, b| times[*b].total_cmp(&times[*a]));
        for layer in order {
            if !open[layer] {
                let layer = layer as u16;
                self.explanations.push(Explanation::Noise { layer });
            } else if self.improve_layer(layer, &mut models[layer], urgent) {
                changed.insert(layer);
            }
        }
        (self.finish(&models, &changed), changed)
    }

    fn explain_slow_ranks(&mut self) {
        for (rank, speed) in self.view.demand.speeds.iter().enumerate() {
            if *speed < SLOW_SPEED {
                self.explanations.push(Explanation::SlowRank {
                    rank: rank as u16,
                    speed: *speed,
                });
            }
        }
    }

    /// Adds replicas for the bursting experts of a layer, before any other move. The minimum gain
    /// ratio, which guards against noise, doesn't apply: burst detection is a stricter test
    /// already.
    fn add_burst_replicas(&mut self, layer: usize, model: &mut StepTimeModel<'_>) -> bool {
        let mut changed = false;
        for expert in self.layers[layer].list_bursts() {
            for _ in 0..MAX_BURST_REPLICAS {
                let before = model.expected_time();
                let hot = [(expert, model.find_slowest(expert))];
                let Some((change, after)) = model.find_best_move(&hot) else {
                    break;
                };
                let (gain, cost) = self.price_move(layer, &change, before - after);
                if gain <= cost || change.count_loads() > self.remaining_loads {
                    break;
                }
                self.apply_move(model, &change, gain);
                self.explanations.push(Explanation::Burst {
                    layer: layer as u16,
                    expert: expert as u16,
                    rank: change.rank,
                });
                changed = true;
            }
        }
        changed
    }

    /// Balances a layer as far as the gain exceeds the cost: first by shares, which load nothing,
    /// then by replicas unless an urgent change must not be delayed.
    fn improve_layer(&mut self, layer: usize, model: &mut StepTimeModel<'_>, urgent: bool) -> bool {
        let before = model.expected_time();
        model.balance_shares();
        let gain = self.value_saving(layer, before - model.expected_time());
        let changed = gain > MIN_GAIN_RATIO * PAUSE_STEPS * self.price.skew_weight;
        if changed {
            self.gain += gain;
            let layer = layer as u16;
            self.explanations.push(Explanation::Split { layer, gain });
        }
        if urgent {
            self.explanations.push(Explanation::Deferred);
            return changed;
        }
        self.add_replicas(layer, model) || changed
    }

    fn add_replicas(&mut self, layer: usize, model: &mut StepTimeModel<'_>) -> bool {
        let mut changed = false;
        for _ in 0..MAX_LAYER_MOVES {
            let before = model.expected_time();
            let Some((change, after)) = model.find_best_move(&model.list_hottest()) else {
                let layer = layer as u16;
                self.explanations.push(Explanation::NoSlot { layer });
                break;
            };
            let (gain, cost) = self.price_move(layer, &change, before - after);
            if gain <= MIN_GAIN_RATIO * cost {
                self.explanations.push(Explanation::TooExpensive {
                    layer: layer as u16,
                    gain,
                    cost,
                });
                break;
            }
            if change.count_loads() > self.remaining_loads {
                self.explanations.push(Explanation::Deferred);
                break;
            }
            self.apply_move(model, &change, gain);
            self.explanations.push(Explanation::Replicated {
                layer: layer as u16,
                expert: change.expert as u16,
                rank: change.rank,
                gain,
                cost,
            });
            changed = true;
        }
        changed
    }

    fn apply_move(&mut self, model: &mut StepTimeModel<'_>, change: &ReplicaMove, gain: f64) {
        model.apply(change);
        self.remaining_loads -= change.count_loads();
        self.loading_ranks.insert(change.rank);
        self.loading_ranks.extend(change.exchange_rank);
        self.gain += gain;
    }

    /// Returns the gain and the cost of a move that saves the given fraction of a layer's time.
    fn price_move(&self, layer: usize, change: &ReplicaMove, saved: f64) -> (f64, f64) {
        let ranks = [Some(change.rank), change.exchange_rank];
        let fresh = ranks
            .iter()
            .flatten()
            .filter(|r| !self.loading_ranks.contains(r))
            .count();
        let loaded_mib = self.size_mib() * change.count_loads() as f64 + CACHE_MIB * fresh as f64;
        let pause = match self.loading_ranks.is_empty() {
            true => PAUSE_STEPS * self.price.skew_weight,
            false => 0.0,
        };
        (
            self.value_saving(layer, saved),
            loaded_mib * self.price.byte_cost + pause,
        )
    }

    fn size_mib(&self) -> f64 {
        let ByteSize(bytes) = self.view.expert_size;
        bytes as f64 / MIB
    }

    /// Value of saving a fraction of a layer's time for as long as its demand is likely to last.
    fn value_saving(&self, layer: usize, saved: f64) -> f64 {
        let own: f64 = self.layers[layer].planned.iter().sum();
        let all: f64 = self.layers.iter().flat_map(|l| &l.planned).sum();
        let lifetime =
            self.layers[layer].estimate_lifetime(LIFETIME_CHANGE) * self.view.demand.steps;
        let steps = lifetime.min(self.price.horizon_steps as f64);
        saved * own / all * steps * self.price.skew_weight
    }

    fn finish(mut self, models: &[StepTimeModel<'_>], changed: &BTreeSet<usize>) -> Decision {
        if changed.is_empty() {
            return Decision {
                change: None,
                explanations: self.explanations,
            };
        }
        let mut map = ExpertMap {
            version: self.view.map.version.next(),
            layers: self.view.map.layers.clone(),
        };
        for layer in changed {
            map.layers[*layer] = models[*layer].draft.to_map();
        }
        let loads = list_loads(self.view.map, &map);
        let ranks: BTreeSet<u16> = loads.iter().map(|l| l.rank).collect();
        let loaded_mib = self.size_mib() * loads.len() as f64 + CACHE_MIB * ranks.len() as f64;
        let cost = Cost {
            bytes: loads.len() as u64 * self.view.expert_size.0,
            ranks: ranks.len() as u32,
            total: loaded_mib * self.price.byte_cost + PAUSE_STEPS * self.price.skew_weight,
        };
        // Explanations of changes come before those of rejected moves.
        self.explanations.sort_by_key(|e| !e.is_change());
        Decision {
            change: Some(MapChange {
                map,
                loads,
                gain: self.gain,
                cost,
            }),
            explanations: self.explanations,
        }
    }
}
