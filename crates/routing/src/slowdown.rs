//! Largest slowdown at which a replica of a lock-step group still receives work.
//!
//! Every step of a group takes as long as its slowest replica that has work. When a few replicas
//! become slow, the group has a higher throughput without them.

/// Share of the best throughput that is enough for a higher limit to be preferred. A higher limit
/// excludes fewer replicas, and each change of the limit moves work between replicas.
const MIN_THROUGHPUT_SHARE: f64 = 0.8;

/// Returns the largest slowdown of a replica that should receive work. A slowdown is the time that
/// a replica takes for its work as a multiple of the usual time.
///
/// With the limit `s`, the replicas whose slowdown is at most `s` work, and each step takes `s`
/// times as long. The result is the highest limit whose throughput is close to the best one.
pub fn find_max_slowdown(slowdowns: &[f64]) -> f64 {
    let mut sorted: Vec<f64> = slowdowns.iter().copied().filter(|s| *s > 0.0).collect();
    sorted.sort_unstable_by(f64::total_cmp);
    let throughput = |n: usize| (n + 1) as f64 / sorted[n];
    let best = (0..sorted.len()).map(throughput).fold(0.0, f64::max);
    let last = (0..sorted.len())
        .rev()
        .find(|n| throughput(*n) >= best * MIN_THROUGHPUT_SHARE);
    last.map_or(f64::INFINITY, |n| sorted[n])
}
