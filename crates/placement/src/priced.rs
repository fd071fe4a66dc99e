//! The policy that makes the changes that pay for themselves at the group's price.

use std::collections::BTreeSet;

use siskinbend_types::ByteSize;

use crate::counts::LayerDemand;
use crate::explanation::Explanation;
use crate::map::ExpertMap;
use crate::map::LayerMap;
use crate::model::Model;
use crate::model::Step;
use crate::packing::list_loads;
use crate::policy::Cost;
use crate::policy::Decision;
use crate::policy::MapChange;
use crate::policy::Policy;
use crate::policy::PolicyInput;
use crate::policy::PolicyKind;
use crate::policy::Price;
use crate::watch::Watch;

/// Gain over cost that a move must have; a move whose gain equals its cost is as likely to lose.
const GAIN_RATIO: f64 = 1.5;
/// Most steps in one layer, which keeps the plan of a layer within a millisecond.
const LAYER_STEPS: u32 = 4;
/// Replicas that a hot expert gets at once.
const BURST_REPLICAS: u32 = 4;
/// Prefix cache that a rank gives up while it stages weights, in MiB that have to be loaded again.
const CACHE_MIB: f64 = 2.0;
/// Pause of a switch in steps.
const PAUSE_STEPS: f64 = 0.01;
/// Change of a layer's demand, relative to the demand, at which a placement has lost its worth.
const LIFETIME_CHANGE: f64 = 0.25;
/// Intervals ahead for which an open layer is planned: the decayed mean is about two intervals old.
const FORECAST_INTERVALS: f64 = 2.0;
/// Speed below which a rank counts as slow in explanations.
const SLOW_SPEED: f64 = 0.9;
/// Bytes in a MiB, the unit of the price.
const MIB: f64 = 1_048_576.0;

/// Makes the changes that pay for themselves at a price.
pub(crate) struct Priced {
    price: Price,
    /// What tells change from noise, by layer.
    watches: Vec<Watch>,
}

/// A decision while it is made.
struct Planner<'a> {
    price: Price,
    view: &'a PolicyInput<'a>,
    /// The demand to plan for, by layer.
    layers: &'a [LayerDemand],
    /// Replicas that may still be loaded.
    left: u64,
    touched: BTreeSet<u16>,
    gain: f64,
    explanations: Vec<Explanation>,
}

impl Priced {
    pub fn new(price: Price) -> Priced {
        Priced {
            price,
            watches: Vec::new(),
        }
    }

    /// Tells which layers are open to changes.
    fn watch(&mut self, view: &PolicyInput<'_>) -> Vec<bool> {
        let demand = view.demand;
        self.watches.resize(demand.layers.len(), Watch::default());
        let layers = view.map.layers.iter().zip(&demand.layers);
        let observe = |(watch, (map, layer)): (&mut Watch, (&LayerMap, &LayerDemand))| {
            let model = Model::new(view.shape, map, layer, &demand.speeds);
            watch.observe(layer, &model, demand.intervals)
        };
        self.watches.iter_mut().zip(layers).map(observe).collect()
    }
}

impl Policy for Priced {
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
        let open = self.watch(view);
        let mut layers = view.demand.layers.clone();
        for (layer, _) in layers.iter_mut().zip(&open).filter(|(_, open)| **open) {
            layer.forecast(FORECAST_INTERVALS);
        }
        let planner = Planner {
            price: self.price,
            view,
            layers: &layers,
            left: view.budget.0 / view.expert_size.0.max(1),
            touched: BTreeSet::new(),
            gain: 0.0,
            explanations: Vec::new(),
        };
        let (decision, changed) = planner.plan(&open);
        for layer in changed {
            self.watches[layer].rebase(&view.demand.layers[layer]);
        }
        decision
    }
}

impl Planner<'_> {
    /// Decides, and returns the layers that change.
    fn plan(mut self, open: &[bool]) -> (Decision, BTreeSet<usize>) {
        let (view, layers) = (self.view, self.layers);
        let mut models: Vec<Model<'_>> = view
            .map
            .layers
            .iter()
            .zip(layers)
            .map(|(map, layer)| Model::new(view.shape, map, layer, &view.demand.speeds))
            .collect();
        self.explain_speeds();
        let mut changed = BTreeSet::new();
        for (layer, model) in models.iter_mut().enumerate() {
            if self.relieve_bursts(layer, model) {
                changed.insert(layer);
            }
        }
        // Other loads would delay the switch that brings the replicas of a hot expert into use.
        let urgent = !changed.is_empty();
        // The slowest layers come first, because the rate of the weight store may not last for all.
        let mut order: Vec<usize> = (0..models.len()).collect();
        let times: Vec<f64> = models.iter().map(Model::time).collect();
        order.sort_by(|a, b| times[*b].total_cmp(&times[*a]));
        for layer in order {
            if !open[layer] {
                let layer = layer as u16;
                self.explanations.push(Explanation::Noise { layer });
            } else if self.improve(layer, &mut models[layer], urgent) {
                changed.insert(layer);
            }
        }
        (self.finish(&models, &changed), changed)
    }

    fn explain_speeds(&mut self) {
        for (rank, speed) in self.view.demand.speeds.iter().enumerate() {
            if *speed < SLOW_SPEED {
                self.explanations.push(Explanation::SlowRank {
                    rank: rank as u16,
                    speed: *speed,
                });
            }
        }
    }

    /// Gives a suddenly hot expert further replicas, before anything else moves and without the
    /// hysteresis that guards against noise: a burst has passed a stricter test already.
    fn relieve_bursts(&mut self, layer: usize, model: &mut Model<'_>) -> bool {
        let mut changed = false;
        for expert in self.layers[layer].list_bursts() {
            for _ in 0..BURST_REPLICAS {
                let before = model.time();
                let hot = [(expert, model.find_slowest(expert))];
                let Some((step, after)) = model.find_best(&hot) else {
                    break;
                };
                let (gain, cost) = self.weigh(layer, &step, before - after);
                if gain <= cost || step.count_loads() > self.left {
                    break;
                }
                self.take(model, &step, gain);
                self.explanations.push(Explanation::Burst {
                    layer: layer as u16,
                    expert: expert as u16,
                    rank: step.rank,
                });
                changed = true;
            }
        }
        changed
    }

    /// Evens out a layer as far as it pays: first by shares, which cost no bytes, then by replicas
    /// unless an urgent change must not be delayed.
    fn improve(&mut self, layer: usize, model: &mut Model<'_>, urgent: bool) -> bool {
        let before = model.time();
        model.level_shares();
        let gain = self.worth(layer, before - model.time());
        let changed = gain > GAIN_RATIO * PAUSE_STEPS * self.price.skew_weight;
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

    fn add_replicas(&mut self, layer: usize, model: &mut Model<'_>) -> bool {
        let mut changed = false;
        for _ in 0..LAYER_STEPS {
            let before = model.time();
            let Some((step, after)) = model.find_best(&model.list_hot()) else {
                let layer = layer as u16;
                self.explanations.push(Explanation::NoSlot { layer });
                break;
            };
            let (gain, cost) = self.weigh(layer, &step, before - after);
            if gain <= GAIN_RATIO * cost {
                self.explanations.push(Explanation::TooExpensive {
                    layer: layer as u16,
                    gain,
                    cost,
                });
                break;
            }
            if step.count_loads() > self.left {
                self.explanations.push(Explanation::Deferred);
                break;
            }
            self.take(model, &step, gain);
            self.explanations.push(Explanation::Replicated {
                layer: layer as u16,
                expert: step.expert as u16,
                rank: step.rank,
                gain,
                cost,
            });
            changed = true;
        }
        changed
    }

    fn take(&mut self, model: &mut Model<'_>, step: &Step, gain: f64) {
        model.apply(step);
        self.left -= step.count_loads();
        self.touched.insert(step.rank);
        self.touched.extend(step.back);
        self.gain += gain;
    }

    /// Gain and cost of a step that saves a part of a layer's time.
    fn weigh(&self, layer: usize, step: &Step, saved: f64) -> (f64, f64) {
        let ranks = [Some(step.rank), step.back];
        let fresh = ranks
            .iter()
            .flatten()
            .filter(|r| !self.touched.contains(r))
            .count();
        let mib = self.size_mib() * step.count_loads() as f64 + CACHE_MIB * fresh as f64;
        let pause = match self.touched.is_empty() {
            true => PAUSE_STEPS * self.price.skew_weight,
            false => 0.0,
        };
        (self.worth(layer, saved), mib * self.price.byte_cost + pause)
    }

    fn size_mib(&self) -> f64 {
        let ByteSize(bytes) = self.view.expert_size;
        bytes as f64 / MIB
    }

    /// Worth of saving a part of a layer's time for as long as its demand is likely to last.
    fn worth(&self, layer: usize, saved: f64) -> f64 {
        let own: f64 = self.layers[layer].planned.iter().sum();
        let all: f64 = self.layers.iter().flat_map(|l| &l.planned).sum();
        let lifetime =
            self.layers[layer].estimate_lifetime(LIFETIME_CHANGE) * self.view.demand.steps;
        let steps = lifetime.min(self.price.horizon_steps as f64);
        saved * own / all * steps * self.price.skew_weight
    }

    fn finish(mut self, models: &[Model<'_>], changed: &BTreeSet<usize>) -> Decision {
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
        let mib = self.size_mib() * loads.len() as f64 + CACHE_MIB * ranks.len() as f64;
        let cost = Cost {
            bytes: loads.len() as u64 * self.view.expert_size.0,
            ranks: ranks.len() as u32,
            total: mib * self.price.byte_cost + PAUSE_STEPS * self.price.skew_weight,
        };
        // What was decided comes before what was not.
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
