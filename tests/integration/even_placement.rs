//! Placement for engines that split the tokens of an expert evenly over its replicas.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use siskinbend_placement::even_split::Limits;
use siskinbend_placement::even_split::MIN_SWITCH_GAIN;
use siskinbend_placement::even_split::Plan;
use siskinbend_placement::even_split::SetMap;
use siskinbend_placement::even_split::compute_mean_skews;
use siskinbend_placement::even_split::compute_skew;
use siskinbend_placement::even_split::find_rank_copies;
use siskinbend_placement::even_split::plan_set;
use siskinbend_placement::even_split::plan_sets;

const RANKS: usize = 12;
const EXPERTS: usize = 72;

/// The initial map of a group: experts are assigned to the ranks round-robin.
fn assign_round_robin() -> SetMap {
    let experts = |rank: usize| (rank..EXPERTS).step_by(RANKS).map(|e| e as u16).collect();
    (0..RANKS).map(experts).collect()
}

/// A demand in which a few experts are much hotter than the others.
fn draw_demand(rng: &mut ChaCha8Rng) -> Vec<f64> {
    let mut demand: Vec<f64> = (0..EXPERTS).map(|_| rng.random_range(10.0..30.0)).collect();
    for _ in 0..8 {
        demand[rng.random_range(0..EXPERTS)] += rng.random_range(100.0..400.0);
    }
    demand
}

fn assert_valid(map: &SetMap, before: &SetMap, limits: &Limits) {
    for expert in 0..EXPERTS as u16 {
        assert!(
            map.iter().any(|on| on.contains(&expert)),
            "expert {expert} is not placed"
        );
    }
    for (rank, (on, old)) in map.iter().zip(before).enumerate() {
        assert!(
            on.len() <= limits.slots,
            "rank {rank} holds {} experts",
            on.len()
        );
        assert!(
            on.windows(2).all(|w| w[0] < w[1]),
            "rank {rank} holds an expert twice: {on:?}"
        );
        let new = on.iter().filter(|e| !old.contains(e)).count();
        assert!(
            new <= limits.max_copies,
            "rank {rank} gets {new} new experts"
        );
    }
}

/// Guards against plans that exceed the limits, and against plans that leave the load imbalanced
/// after a shift of the demand. The baseline is the unchanged map.
#[test]
fn plans_balance_a_shifted_demand() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let limits = Limits::default();
    let slowdowns = vec![1.0; RANKS];
    let (mut kept, mut planned) = (0.0, 0.0);
    for _ in 0..30 {
        let map = assign_round_robin();
        let demand = draw_demand(&mut rng);
        let plan = plan_set(&demand, &slowdowns, &map, &limits);
        assert_valid(&plan.map, &map, &limits);
        assert!((compute_skew(&demand, &slowdowns, &plan.map) - plan.skew_after).abs() < 1e-9);
        kept += plan.skew_before / 30.0;
        planned += plan.skew_after / 30.0;
    }
    assert!(kept > 2.0, "the demand is too even for this test: {kept}");
    assert!(
        planned < 1.25,
        "maximum load over mean load after one plan: {planned}"
    );
}

/// Guards against switches caused by noise. The demand shifts every 20 plans, and each plan sees it
/// with 10 % noise. Without a minimum gain, nearly every plan would lead to a switch.
#[test]
fn noise_is_not_followed() {
    let mut rng = ChaCha8Rng::seed_from_u64(19);
    let limits = Limits::default();
    let slowdowns = vec![1.0; RANKS];
    let mut maps = [
        assign_round_robin(),
        assign_round_robin(),
        assign_round_robin(),
        assign_round_robin(),
    ];
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
                .map(|(demand, map)| plan_set(demand, &slowdowns, map, &limits))
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
    assert!(skew < 1.4, "maximum load over mean load: {skew}");
}

/// Guards against copies without a gain.
#[test]
fn even_demand_needs_no_copies() {
    let demand = vec![10.0; EXPERTS];
    let plan = plan_set(
        &demand,
        &[1.0; RANKS],
        &assign_round_robin(),
        &Limits::default(),
    );
    assert_eq!(plan.copies, 0);
}

/// Guards against slow planning on a small VM: the search stops once no possible gain is worth the
/// copies. With this demand, each iteration adds one or two copies.
#[test]
fn search_stops_when_no_gain_is_worth_the_copies() {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let slowdowns = vec![1.0; RANKS];
    for min_gain in [0.05, 0.1, 0.4] {
        let limits = Limits {
            min_gain,
            ..Limits::default()
        };
        for _ in 0..30 {
            let plan = plan_set(
                &draw_demand(&mut rng),
                &slowdowns,
                &assign_round_robin(),
                &limits,
            );
            let max_iterations = plan.copies as f64 + (plan.skew_after - 1.0) / min_gain + 1.0;
            assert!((plan.iterations as f64) <= max_iterations, "{plan:?}");
        }
    }
}

/// Guards against a slow rank that keeps its experts and thereby slows every forward pass.
#[test]
fn experts_leave_a_slow_rank() {
    let mut slowdowns = vec![1.0; RANKS];
    slowdowns[3] = 8.0;
    let mut map = assign_round_robin();
    let demand = vec![10.0; EXPERTS];
    let before = compute_skew(&demand, &slowdowns, &map);
    for _ in 0..3 {
        map = plan_set(&demand, &slowdowns, &map, &Limits::default()).map;
    }
    let after = compute_skew(&demand, &slowdowns, &map);
    assert!(
        after < before / 3.0,
        "maximum load {before} before and {after} after"
    );
}

/// Number of layer sets of the replay.
const SETS: usize = 8;
/// Time between two shifts of the demand in the replay.
const SHIFT_INTERVAL_MS: u64 = 2_500;
/// Time in which a rank copies one expert in the replay.
const COPY_TIME: Duration = Duration::from_millis(76);
/// Time between two plans of the replay.
const PLAN_INTERVAL_MS: u64 = 100;
/// Time that a switch takes without its copies.
const ORDER_TIME_MS: u64 = 180;

fn count_rank_copies(plans: &[Plan], maps: &[SetMap]) -> Vec<usize> {
    let copies = |rank: usize| {
        let sets = plans.iter().zip(maps);
        sets.map(|(plan, map)| {
            let is_new = |expert: &&u16| !map[rank].contains(expert);
            plan.map[rank].iter().filter(is_new).count()
        })
        .sum()
    };
    (0..RANKS).map(copies).collect()
}

/// Replays 10 s of demand that shifts in every set at once, and returns the mean skew. Plans see the
/// demand as it is, and their maps come into force when the rank with the most copies is done.
fn replay_shifts(rank_copies: usize) -> f64 {
    let limits = Limits {
        rank_copies,
        ..Limits::default()
    };
    let slowdowns = vec![1.0; RANKS];
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut maps = vec![assign_round_robin(); SETS];
    let mut demand: Vec<f64> = Vec::new();
    let mut pending: Option<(u64, Vec<SetMap>)> = None;
    let (mut sum, mut samples) = (0.0, 0.0);
    for ms in (0..10_000).step_by(20) {
        if ms % SHIFT_INTERVAL_MS == 0 {
            demand = (0..SETS).flat_map(|_| draw_demand(&mut rng)).collect();
        }
        if let Some((_, new)) = pending.take_if(|(due, _)| *due <= ms) {
            maps = new;
        }
        if pending.is_none() && ms % PLAN_INTERVAL_MS == 0 {
            let plans = plan_sets(&demand, &slowdowns, &maps, &limits);
            let (before, after) = compute_mean_skews(&plans);
            let most = count_rank_copies(&plans, &maps).into_iter().max();
            let most = most.unwrap_or(0);
            assert!(most <= rank_copies, "{most} copies to one rank");
            if before - after >= MIN_SWITCH_GAIN {
                let duration = ORDER_TIME_MS + most as u64 * COPY_TIME.as_millis() as u64;
                let new = plans.into_iter().map(|plan| plan.map).collect();
                pending = Some((ms + duration, new));
            }
        }
        let experts = demand.len() / SETS;
        for (map, demand) in maps.iter().zip(demand.chunks(experts)) {
            sum += compute_skew(demand, &slowdowns, map);
            samples += 1.0;
        }
    }
    sum / samples
}

/// Guards against switches that bring a complete map when the demand has moved on: with shifts every
/// 2.5 s in all sets, switches of few copies a rank keep the load more even than complete ones.
#[test]
fn short_switches_follow_shifts() {
    let limited = replay_shifts(find_rank_copies(COPY_TIME));
    let complete = replay_shifts(usize::MAX);
    assert!(
        limited < complete * 0.95,
        "{limited:.3} against {complete:.3}"
    );
}

/// Guards against experts so large that no copy fits the time of a switch, and against a limit where
/// the time is unknown.
#[test]
fn rank_copies_follow_copy_time() {
    let copies = |ms: u64| find_rank_copies(Duration::from_millis(ms));
    assert_eq!(copies(400), 1);
    assert_eq!(copies(76), 3);
    assert_eq!(copies(0), usize::MAX);
}
