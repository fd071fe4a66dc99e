//! Placement for engines that divide an expert evenly between its replicas.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use siskinbend_placement::even_split::Limits;
use siskinbend_placement::even_split::MIN_SWITCH_GAIN;
use siskinbend_placement::even_split::Plan;
use siskinbend_placement::even_split::SetMap;
use siskinbend_placement::even_split::compute_mean_skews;
use siskinbend_placement::even_split::compute_skew;
use siskinbend_placement::even_split::plan_set;

const RANKS: usize = 12;
const EXPERTS: usize = 72;

/// Experts dealt in turn, as a group starts.
fn deal() -> SetMap {
    let experts = |rank: usize| (rank..EXPERTS).step_by(RANKS).map(|e| e as u16).collect();
    (0..RANKS).map(experts).collect()
}

/// A demand in which a few experts are liked much more than the others.
fn draw_demand(rng: &mut ChaCha8Rng) -> Vec<f64> {
    let mut demand: Vec<f64> = (0..EXPERTS).map(|_| rng.random_range(10.0..30.0)).collect();
    for _ in 0..8 {
        demand[rng.random_range(0..EXPERTS)] += rng.random_range(100.0..400.0);
    }
    demand
}

fn check(map: &SetMap, before: &SetMap, settings: &Limits) {
    for expert in 0..EXPERTS as u16 {
        assert!(
            map.iter().any(|on| on.contains(&expert)),
            "expert {expert} is nowhere"
        );
    }
    for (rank, (on, old)) in map.iter().zip(before).enumerate() {
        assert!(
            on.len() <= settings.slots,
            "rank {rank} holds {} experts",
            on.len()
        );
        assert!(
            on.windows(2).all(|w| w[0] < w[1]),
            "rank {rank} holds one twice: {on:?}"
        );
        let new = on.iter().filter(|e| !old.contains(e)).count();
        assert!(
            new <= settings.max_copies,
            "rank {rank} gets {new} new experts"
        );
    }
}

/// Guards against plans that break the limits of the engines, or that leave a shifted demand
/// uneven. The baseline is the map that is kept.
#[test]
fn shifted_demand() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let settings = Limits::default();
    let paces = vec![1.0; RANKS];
    let (mut kept, mut planned) = (0.0, 0.0);
    for _ in 0..30 {
        let map = deal();
        let demand = draw_demand(&mut rng);
        let plan = plan_set(&demand, &paces, &map, &settings);
        check(&plan.map, &map, &settings);
        assert!((compute_skew(&demand, &paces, &plan.map) - plan.skew_after).abs() < 1e-9);
        kept += plan.skew_before / 30.0;
        planned += plan.skew_after / 30.0;
    }
    assert!(
        kept > 2.0,
        "the demand is too even to tell anything: {kept}"
    );
    assert!(
        planned < 1.25,
        "highest load over mean load after one plan: {planned}"
    );
}

/// Guards against switches that follow the noise of the demand: it shifts every 20 plans, and in
/// between every plan sees it with a tenth of noise. Without a least gain nearly every plan would
/// be a switch.
#[test]
fn noise_is_not_followed() {
    let mut rng = ChaCha8Rng::seed_from_u64(19);
    let settings = Limits::default();
    let paces = vec![1.0; RANKS];
    let mut maps = [deal(), deal(), deal(), deal()];
    let (mut switches, mut skew) = (0, 0.0);
    for _ in 0..10 {
        let demands: Vec<Vec<f64>> = maps.iter().map(|_| draw_demand(&mut rng)).collect();
        for _ in 0..20 {
            let mut noise = |demand: &f64| demand * rng.random_range(0.9..1.1);
            let seen: Vec<Vec<f64>> = demands
                .iter()
                .map(|demand| demand.iter().map(&mut noise).collect())
                .collect();
            let plans: Vec<Plan> = seen
                .iter()
                .zip(&maps)
                .map(|(demand, map)| plan_set(demand, &paces, map, &settings))
                .collect();
            let (before, after) = compute_mean_skews(&plans);
            skew += before / 200.0;
            if before - after >= MIN_SWITCH_GAIN {
                switches += 1;
                for (map, plan) in maps.iter_mut().zip(plans) {
                    *map = plan.map;
                }
            }
        }
    }
    assert!(switches <= 20, "{switches} switches for 10 shifts");
    assert!(skew < 1.4, "highest load over mean load: {skew}");
}

/// Guards against copies that are bought for nothing.
#[test]
fn steady_demand_costs_nothing() {
    let demand = vec![10.0; EXPERTS];
    let plan = plan_set(&demand, &[1.0; RANKS], &deal(), &Limits::default());
    assert_eq!(plan.copies, 0);
}

/// Guards against plans that take long on a small VM: changes that no gain could pay for are not
/// looked for. Each try of this demand adds a copy or two.
#[test]
fn hopeless_copies_are_not_tried() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let paces = vec![1.0; RANKS];
    for least_gain in [0.05, 0.1, 0.4] {
        let settings = Limits {
            min_gain: least_gain,
            ..Limits::default()
        };
        for _ in 0..30 {
            let plan = plan_set(&draw_demand(&mut rng), &paces, &deal(), &settings);
            let most = plan.copies as f64 + (plan.skew_after - 1.0) / least_gain + 1.0;
            assert!((plan.iterations as f64) <= most, "{plan:?}");
        }
    }
}

/// Guards against a slow rank that keeps its experts and so slows every pass.
#[test]
fn slow_rank_gives_up_experts() {
    let mut paces = vec![1.0; RANKS];
    paces[3] = 8.0;
    let mut map = deal();
    let demand = vec![10.0; EXPERTS];
    let before = compute_skew(&demand, &paces, &map);
    for _ in 0..3 {
        map = plan_set(&demand, &paces, &map, &Limits::default()).map;
    }
    let after = compute_skew(&demand, &paces, &map);
    assert!(
        after < before / 3.0,
        "highest load {before} before and {after} after"
    );
}
