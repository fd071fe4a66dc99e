//! How gateways share the request limits that backend servers name.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use siskinbend_routing::SendRule;
use siskinbend_routing::ServerLimits;
use siskinbend_types::AgentId;
use siskinbend_types::Rate;
use siskinbend_types::Time;
use smol_str::SmolStr;

/// Time over which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Step of the simulated time, in milliseconds.
const STEP_MS: u64 = 10;
/// Length of a gateway's turn, in milliseconds.
const TURN_MS: u64 = 3_000;
/// Time of day at the start of a run, since 1970.
const START_OF_DAY: Duration = Duration::from_secs(1_000_000_000);
/// Simulated time, in milliseconds.
const RUN_MS: u64 = 60_000;

fn server() -> AgentId {
    "i-1".parse().expect("a name")
}

fn rate(per_second: f64) -> Rate {
    per_second.try_into().expect("a rate")
}

fn names(count: usize) -> BTreeSet<SmolStr> {
    (0..count)
        .map(|n| SmolStr::new(format!("edge-{n}")))
        .collect()
}

/// Gateway with a clock of its own.
struct Gateway {
    limits: ServerLimits,
    /// Reading of its clock at the start.
    start: Time,
}

impl Gateway {
    /// Creates a gateway that knows `count` gateways and has been told the server's limit.
    fn new(name: SmolStr, count: usize, limit: f64, start: Time) -> Gateway {
        let mut limits = ServerLimits::new(name);
        limits.set_gateways(names(count), START_OF_DAY, start);
        limits.record_answer(&server(), Some(rate(limit)), start, start);
        Gateway { limits, start }
    }
}

/// Creates `count` gateways that know each other. By their own clocks, the turns of all to try a
/// server without a share come at the same moment.
fn gateways(count: usize, limit: f64) -> Vec<Gateway> {
    let start = |turn: usize| Time::from_millis((turn + count - 2.min(count)) as u64 * TURN_MS);
    let names = names(count).into_iter().enumerate();
    names
        .map(|(turn, name)| Gateway::new(name, count, limit, start(turn)))
        .collect()
}

/// Sends a request whenever a gateway may and `wants` it to. Returns the times in milliseconds.
fn send_all<Wants>(gateways: &mut [Gateway], mut wants: Wants) -> Vec<u64>
where
    Wants: FnMut(usize, u64) -> bool,
{
    let mut sent = Vec::new();
    for at in (0..RUN_MS).step_by(STEP_MS as usize) {
        for (n, Gateway { limits, start }) in gateways.iter_mut().enumerate() {
            let now = *start + Duration::from_millis(at);
            while wants(n, at) && limits.list_withheld(now).is_empty() {
                limits.record_dispatch(&server(), now);
                sent.push(at);
            }
        }
    }
    sent
}

fn find_peak(sent: &[u64]) -> usize {
    let count = |start: &u64| {
        sent.iter()
            .filter(|at| (*start..start + WINDOW_MS).contains(at))
            .count()
    };
    sent.iter().map(count).max().unwrap_or(0)
}

/// Guards against exceeding a limit because each gateway applies it by itself, or because many
/// gateways use what they saved up at the same moment; and against leaving most of it unused.
#[test]
fn limit_holds_for_any_number_of_gateways() {
    for count in [1, 2, 3, 14, 60, 390] {
        for limit in [0.0, 0.3, 1.0, 2.1, 2.7, 12.0, 150.0] {
            let allowed = 1.5 * limit * (WINDOW_MS as f64 / 1000.0) + 5.0;
            let steady = send_all(&mut gateways(count, limit), |_, _| true);
            let after_rest = send_all(&mut gateways(count, limit), |_, at| at > RUN_MS / 2);
            let mut random = ChaCha8Rng::seed_from_u64(7);
            let now_and_then =
                send_all(&mut gateways(count, limit), |_, _| random.random_bool(0.02));
            for sent in [&steady, &after_rest, &now_and_then] {
                let peak = find_peak(sent);
                assert!(
                    peak as f64 <= allowed,
                    "{count} gateways, {limit}/s: {peak}"
                );
            }
            let used = steady.len() as f64 / (limit * RUN_MS as f64 / 1000.0);
            assert!(
                limit < 1.0 || used > 0.85,
                "{count} gateways, {limit}/s: {used}"
            );
        }
    }
}

/// Guards against a gateway that never finds out that a limit has ended, however small its share.
#[test]
fn every_gateway_asks_again() {
    for mut gateway in gateways(14, 0.0) {
        let sent = send_all(std::slice::from_mut(&mut gateway), |_, _| true);
        assert!(!sent.is_empty());
    }
}

/// Guards against ending a limit because of an answer that was asked for before the server named it.
#[test]
fn limit_ends_with_later_answers() {
    let mut limits = ServerLimits::new("edge-0".into());
    let at = Time::from_millis;
    let named = limits.record_answer(&server(), Some(rate(2.0)), at(0), at(100));
    assert!(named.is_some());
    assert_eq!(limits.record_answer(&server(), None, at(50), at(200)), None);
    assert_eq!(limits.list_withheld(at(200)), [server()]);
    let ended = limits.record_answer(&server(), None, at(150), at(300));
    assert_eq!(ended.and_then(|change| change.limit), None);
    assert_eq!(limits.count(), 0);
    assert!(limits.list_withheld(at(300)).is_empty());
}

/// Guards against shares that add up to more than the limit while a gateway joins: the earlier ones
/// learn of it later than it learns of them.
#[test]
fn joining_gateway_stays_within_limit() {
    let limit = 10.0;
    let mut all = gateways(3, limit);
    all.push(Gateway::new("edge-3".into(), 4, limit, Time::default()));
    let sent = send_all(&mut all, |_, _| true);
    let allowed = 1.5 * limit * Duration::from_millis(WINDOW_MS).as_secs_f64() + 5.0;
    assert!(find_peak(&sent) as f64 <= allowed, "{}", find_peak(&sent));
}
