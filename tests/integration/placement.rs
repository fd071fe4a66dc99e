//! Placement plans. Guards against unplaced experts, ranks with more experts than slots, and
//! changes that cost more than they gain.

use proptest::prelude::*;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use siskinbend_placement::Decision;
use siskinbend_placement::DemandEstimator;
use siskinbend_placement::ExpertMap;
use siskinbend_placement::Explanation;
use siskinbend_placement::MapChange;
use siskinbend_placement::Policy;
use siskinbend_placement::PolicyInput;
use siskinbend_placement::PolicyKind;
use siskinbend_placement::Price;
use siskinbend_placement::Report;
use siskinbend_placement::Shape;
use siskinbend_placement::packing::list_loads;
use siskinbend_placement::packing::pack_map;
use siskinbend_types::ByteSize;
use siskinbend_types::Version;

const INTERVAL_STEPS: u32 = 300;
const EXPERT_SIZE: ByteSize = ByteSize(8 << 20);
const CHEAP_PRICE: Price = Price {
    skew_weight: 4.0,
    byte_cost: 0.05,
    horizon_steps: 20_000,
};
const SMALL_SHAPE: Shape = Shape {
    ranks: 8,
    experts: 32,
    layers: 2,
    slots: 6,
};

/// A group that reports exact counts plus a given noise.
struct Group {
    shape: Shape,
    map: ExpertMap,
    estimator: DemandEstimator,
    policy: Box<dyn Policy>,
    interval: u32,
    budget: ByteSize,
    rng: ChaCha8Rng,
}

impl Group {
    fn new(shape: Shape, map: ExpertMap, kind: PolicyKind, price: Price) -> Group {
        Group {
            shape,
            estimator: DemandEstimator::new(shape, map.clone()),
            map,
            policy: kind.build(price),
            interval: 0,
            budget: ByteSize(EXPERT_SIZE.0 * 100),
            rng: ChaCha8Rng::seed_from_u64(7),
        }
    }

    /// A group whose map is packed for the demand.
    fn packed(demand: &[Vec<f64>], price: Price) -> Group {
        let map = pack_map(SMALL_SHAPE, demand, &[1.0; 8], Version(0)).expect("the experts fit");
        Group::new(SMALL_SHAPE, map, PolicyKind::Priced, price)
    }

    /// Reports one interval, decides, and applies a change.
    fn advance(&mut self, demand: &[Vec<f64>], speeds: &[f64], noise: f64) -> Decision {
        let mut tokens = demand.to_vec();
        for value in tokens.iter_mut().flatten() {
            // The sum of twelve uniform variables approximates a normal variable.
            let z = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
            *value *= (noise * z).exp();
        }
        for rank in 0..self.shape.ranks {
            let report = self.report(rank, &tokens, speeds[usize::from(rank)]);
            let _ = self.estimator.ingest(&report);
        }
        self.interval += 1;
        let estimate = self.estimator.estimate();
        let decision = self.policy.decide(&PolicyInput {
            shape: self.shape,
            map: &self.map,
            demand: &estimate,
            expert_size: EXPERT_SIZE,
            budget: self.budget,
        });
        if let Some(change) = &decision.change {
            change
                .map
                .validate(self.shape)
                .expect("the planned map is valid");
            assert_eq!(change.map.version, self.map.version.next());
            assert_eq!(change.loads, list_loads(&self.map, &change.map));
            self.map = change.map.clone();
            self.estimator.add_map(self.map.clone());
        }
        decision
    }

    fn report(&self, rank: u16, tokens: &[Vec<f64>], speed: f64) -> Report {
        let layers: Vec<Vec<u64>> = self
            .map
            .layers
            .iter()
            .zip(tokens)
            .map(|(layer, tokens)| {
                let count = |(e, share): (usize, u16)| {
                    (tokens[e] * f64::from(share) * f64::from(INTERVAL_STEPS) / 10_000.0) as u64
                };
                layer.list_hosted(rank).map(count).collect()
            })
            .collect();
        let sum: u64 = layers.iter().flatten().sum();
        Report {
            version: self.map.version,
            interval: self.interval,
            rank,
            steps: INTERVAL_STEPS,
            busy_ns: (sum as f64 / f64::from(INTERVAL_STEPS) * 1_000.0 / speed) as u32,
            layers,
        }
    }

    /// Time of the slowest rank over the mean time in a layer, minus 1.
    fn skew(&self, layer: usize, demand: &[Vec<f64>], speeds: &[f64]) -> f64 {
        let loads = self.map.layers[layer].sum_loads(&demand[layer], self.shape.ranks);
        let times: Vec<f64> = loads.iter().zip(speeds).map(|(l, s)| l / s).collect();
        let mean = times.iter().sum::<f64>() / times.len() as f64;
        times.iter().copied().fold(0.0, f64::max) / mean - 1.0
    }
}

fn zipf() -> Vec<Vec<f64>> {
    let layer: Vec<f64> = (1..=32).map(|p| 900.0 / f64::from(p).powf(0.7)).collect();
    vec![layer.clone(), layer.into_iter().rev().collect()]
}

fn any_group() -> impl Strategy<Value = (Shape, u64, Price, u64)> {
    let shape =
        (2u16..8, 2u16..24, 1u16..3, 0u16..4).prop_map(|(ranks, experts, layers, spare)| {
            let slots = experts.div_ceil(ranks) + spare;
            Shape {
                ranks,
                experts,
                layers,
                slots,
            }
        });
    let price = (0.1f64..8.0, 0.0f64..4.0).prop_map(|(skew_weight, byte_cost)| Price {
        skew_weight,
        byte_cost,
        horizon_steps: 20_000,
    });
    (shape, any::<u64>(), price, 0u64..20)
}

proptest! {
    #[test]
    fn plans_are_valid_and_gain_more_than_they_cost((shape, seed, price, max_loads) in any_group()) {
        let map = ExpertMap::initial(shape).unwrap();
        let mut group = Group::new(shape, map, PolicyKind::Priced, price);
        group.budget = ByteSize(EXPERT_SIZE.0 * max_loads);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let size = (usize::from(shape.layers), usize::from(shape.experts));
        let mut demand = vec![vec![0.0; size.1]; size.0];
        let speeds: Vec<f64> = (0..shape.ranks).map(|_| rng.random_range(0.3..1.5)).collect();
        for step in 0..12 {
            if step % 4 == 0 {
                let mut draw = || 2_000.0 * rng.random::<f64>().powi(4);
                demand.iter_mut().flatten().for_each(|d| *d = draw());
            }
            // `advance` checks that every expert is placed, that no rank exceeds its slots and that
            // the shares add up.
            if let Some(MapChange { cost, loads, gain, .. }) = group.advance(&demand, &speeds, 0.1).change {
                prop_assert!(cost.bytes <= group.budget.0);
                prop_assert_eq!(cost.bytes, loads.len() as u64 * EXPERT_SIZE.0);
                prop_assert!(gain > cost.total, "gain {} cost {}", gain, cost.total);
            }
        }
    }

    #[test]
    fn full_replans_are_valid((shape, seed, price, _) in any_group()) {
        let map = ExpertMap::initial(shape).unwrap();
        let mut group = Group::new(shape, map, PolicyKind::Replan, price);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let layer = |_| (0..shape.experts).map(|_| 900.0 * rng.random::<f64>()).collect();
        let demand: Vec<Vec<f64>> = (0..shape.layers).map(layer).collect();
        for _ in 0..4 {
            group.advance(&demand, &vec![1.0; usize::from(shape.ranks)], 0.2);
        }
        prop_assert!(group.map.version > Version(0));
    }
}

#[test]
fn noise_alone_changes_nothing() {
    for seed in 0..8 {
        let mut group = Group::packed(&zipf(), CHEAP_PRICE);
        group.rng = ChaCha8Rng::seed_from_u64(seed);
        for _ in 0..60 {
            let decision = group.advance(&zipf(), &[1.0; 8], 0.1);
            assert_eq!(
                decision.change, None,
                "seed {seed}: {:?}",
                decision.explanations
            );
        }
    }
}

#[test]
fn an_imbalanced_map_is_balanced() {
    let map = ExpertMap::initial(SMALL_SHAPE).unwrap();
    let mut group = Group::new(SMALL_SHAPE, map, PolicyKind::Priced, CHEAP_PRICE);
    let before = group.skew(0, &zipf(), &[1.0; 8]);
    (0..12).for_each(|_| drop(group.advance(&zipf(), &[1.0; 8], 0.02)));
    let after = group.skew(0, &zipf(), &[1.0; 8]);
    assert!(before > 1.0 && after < 0.1, "{before} to {after}");
}

#[test]
fn a_burst_gets_replicas_before_other_moves() {
    let mut group = Group::packed(&zipf(), CHEAP_PRICE);
    (0..8).for_each(|_| drop(group.advance(&zipf(), &[1.0; 8], 0.02)));
    let mut hot = zipf();
    hot[0][20] *= 15.0;
    // The demand of the other layer drifts at the same time and must not delay the burst.
    hot[1].iter_mut().take(16).for_each(|d| *d *= 1.2);
    let before = group.map.layers[0].experts[20].len();
    let decision = group.advance(&hot, &[1.0; 8], 0.02);
    let change = decision.change.unwrap();
    let first = decision.explanations[0];
    assert!(
        matches!(
            first,
            Explanation::Burst {
                layer: 0,
                expert: 20,
                ..
            }
        ),
        "{first}"
    );
    assert!(group.map.layers[0].experts[20].len() > before);
    assert!(
        change.loads.iter().all(|l| (l.layer, l.expert) == (0, 20)),
        "{:?}",
        change.loads
    );
}

#[test]
fn a_slow_rank_is_relieved() {
    let mut group = Group::packed(&zipf(), CHEAP_PRICE);
    let mut speeds = [1.0; 8];
    (0..6).for_each(|_| drop(group.advance(&zipf(), &speeds, 0.02)));
    speeds[2] = 0.5;
    let before = group.skew(0, &zipf(), &speeds);
    let decisions: Vec<Decision> = (0..8)
        .map(|_| group.advance(&zipf(), &speeds, 0.02))
        .collect();
    let after = group.skew(0, &zipf(), &speeds);
    assert!(before > 0.7 && after < 0.1, "{before} to {after}");
    let is_slow_rank = |e: &Explanation| matches!(e, Explanation::SlowRank { rank: 2, .. });
    assert!(
        decisions
            .iter()
            .any(|d| d.explanations.iter().any(is_slow_rank))
    );
}

#[test]
fn a_change_that_costs_more_than_it_saves_is_not_made() {
    let expensive = Price {
        byte_cost: 1e6,
        ..CHEAP_PRICE
    };
    let mut group = Group::new(
        SMALL_SHAPE,
        ExpertMap::initial(SMALL_SHAPE).unwrap(),
        PolicyKind::Priced,
        expensive,
    );
    for _ in 0..6 {
        let decision = group.advance(&zipf(), &[1.0; 8], 0.02);
        assert!(decision.change.is_none_or(|c| c.loads.is_empty()));
    }
    let last = group.advance(&zipf(), &[1.0; 8], 0.02).explanations;
    assert!(
        last.iter()
            .any(|e| matches!(e, Explanation::TooExpensive { .. })),
        "{last:?}"
    );
}

#[test]
fn an_unused_slot_is_used_before_a_replica_is_evicted() {
    let map = ExpertMap::initial(SMALL_SHAPE).unwrap();
    let mut group = Group::new(SMALL_SHAPE, map, PolicyKind::Priced, CHEAP_PRICE);
    let first = (0..4).find_map(|_| group.advance(&zipf(), &[1.0; 8], 0.02).change);
    let loads = first.unwrap().loads;
    assert!(
        !loads.is_empty() && loads.iter().all(|l| l.evicts.is_none()),
        "{loads:?}"
    );
}

#[test]
fn nothing_is_planned_before_every_expert_was_counted() {
    // Without this check, an expert without counts would be placed as if it had no demand.
    let mut group = Group::new(
        SMALL_SHAPE,
        ExpertMap::initial(SMALL_SHAPE).unwrap(),
        PolicyKind::Priced,
        CHEAP_PRICE,
    );
    for interval in 0..3 {
        for rank in 0..7 {
            let report = group.report(rank, &zipf(), 1.0);
            let _ = group.estimator.ingest(&Report { interval, ..report });
        }
    }
    let estimate = group.estimator.estimate();
    let decision = group.policy.decide(&PolicyInput {
        shape: SMALL_SHAPE,
        map: &group.map,
        demand: &estimate,
        expert_size: EXPERT_SIZE,
        budget: group.budget,
    });
    assert_eq!(decision.change, None);
    assert_eq!(decision.explanations, [Explanation::NoCounts]);
}
