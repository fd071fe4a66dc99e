//! Slowest pace at which replicas of a group that runs in lock-step still get work.
//!
//! Answers the load pattern of a few replicas that turn slow: every pass of the group takes as long
//! as the slowest one that has work, so the group is faster without them.

/// Part of the most work at which a limit that leaves fewer replicas out is preferred; each change
/// of the limit moves work.
const ENOUGH: f64 = 0.8;

/// The slowest pace to use, of replicas that take `paces` times the usual time for the same work.
///
/// With the pace `p` as the limit, as many replicas work as have at most this pace, and each pass
/// takes `p` times as long. The limit is the highest one with nearly the most work in a time.
pub fn find_limit(paces: &[f64]) -> f64 {
    let mut sorted: Vec<f64> = paces.iter().copied().filter(|p| *p > 0.0).collect();
    sorted.sort_unstable_by(f64::total_cmp);
    let work = |n: usize| (n + 1) as f64 / sorted[n];
    let most = (0..sorted.len()).map(work).fold(0.0, f64::max);
    let last = (0..sorted.len()).rev().find(|n| work(*n) >= most * ENOUGH);
    last.map_or(f64::INFINITY, |n| sorted[n])
}
