//! How gateways share the rate of requests that a cold backend server tolerates.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;

use siskinbend_routing::SendRule;
use siskinbend_routing::SlowStart;
use siskinbend_routing::slow_start::Entry;
use siskinbend_routing::slow_start::Limit;
use siskinbend_routing::slow_start::Tolerance;
use siskinbend_types::AgentId;
use siskinbend_types::Incarnation;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;
use smol_str::SmolStr;

/// Step of the simulated time, in milliseconds.
const STEP_MS: u64 = 10;
/// Time for which a server is cold, in milliseconds.
const COLD_MS: u64 = 8_000;
/// Time for which the rate is raised after that, in milliseconds.
const RAMP_MS: u64 = 3_000;
/// Tolerance of the requirements.
const TOLERANCE: Tolerance = Tolerance {
    overrun: 1.5,
    slack: 5.0,
};

fn server(n: usize) -> AgentId {
    format!("i-{n}").parse().expect("a name")
}

fn service() -> ServiceName {
    "drafts".parse().expect("a name")
}

fn names(count: usize) -> BTreeSet<SmolStr> {
    let name = |n| SmolStr::new(format!("edge-{n}"));
    (0..count).map(name).collect()
}

fn entry(run: u64, cold_ms: u64) -> Entry {
    Entry {
        service: service(),
        run: Incarnation(run),
        cold_for: Duration::from_millis(cold_ms),
    }
}

/// Gateway with a clock of its own.
struct Gateway {
    rule: SlowStart,
    /// Reading of its clock at the start.
    start: Time,
}

impl Gateway {
    /// Creates gateway `n`, which has read the registry and a list of `listed` gateways, if any.
    fn new(n: usize, listed: Option<usize>, rate: f64) -> Gateway {
        let mut rule = SlowStart::new(SmolStr::new(format!("edge-{n}")), TOLERANCE);
        let limit = Limit {
            duration: Duration::from_millis(COLD_MS),
            rate: rate.try_into().expect("a rate"),
        };
        rule.configure(HashMap::from([(service(), limit)]));
        if let Some(listed) = listed {
            rule.set_gateways(names(listed));
        }
        rule.record_read();
        Gateway {
            rule,
            start: Time::from_millis(n as u64 * 7_000),
        }
    }

    fn at(&self, ms: u64) -> Time {
        self.start + Duration::from_millis(ms)
    }

    fn observe(&mut self, servers: usize, run: u64) {
        for n in 0..servers {
            let now = self.start;
            self.rule.observe(&server(n), &entry(run, 0), now);
        }
    }

    fn withholds(&self, ms: u64) -> bool {
        self.rule.list_withheld(self.at(ms)).contains(&server(0))
    }
}

/// Sends requests to all servers whenever a gateway may, up to a hundred at once. Returns the times
/// in milliseconds for each server.
fn send_all(gateways: &mut [Gateway], servers: usize, end_ms: u64) -> Vec<Vec<u64>> {
    let mut sent = vec![Vec::new(); servers];
    for ms in (0..end_ms).step_by(STEP_MS as usize) {
        for gateway in gateways.iter_mut() {
            let now = gateway.at(ms);
            for _ in 0..100 {
                let withheld = gateway.rule.list_withheld(now);
                if withheld.len() == servers {
                    break;
                }
                for n in (0..servers).filter(|n| !withheld.contains(&server(*n))) {
                    gateway.rule.record_dispatch(&server(n), now);
                    sent[n].push(ms);
                }
            }
        }
    }
    sent
}

/// Returns the most requests in any second.
fn find_peak(sent: &[u64]) -> usize {
    let count = |start: &u64| {
        let end = start + 1_000;
        sent.iter().filter(|at| (*start..=end).contains(at)).count()
    };
    sent.iter().map(count).max().unwrap_or(0)
}

fn find_bound(rate: f64) -> f64 {
    rate * TOLERANCE.overrun + TOLERANCE.slack
}

/// Guards against requests of all gateways that add up to more than a cold server tolerates, when a
/// whole zone comes back under more demand than it can serve, and against leaving most unused.
#[test]
fn zone_comes_back() {
    for (count, servers) in [(1, 2), (2, 2), (3, 2), (13, 8), (22, 7)] {
        for rate in [2.0, 7.0, 18.5, 34.0] {
            let create = |n| Gateway::new(n, Some(count), rate);
            let mut gateways: Vec<Gateway> = (0..count).map(create).collect();
            gateways.iter_mut().for_each(|g| g.observe(servers, 1));
            for sent in send_all(&mut gateways, servers, COLD_MS) {
                let peak = find_peak(&sent);
                let used = sent.len() as f64 / (rate * COLD_MS as f64 / 1_000.0);
                assert!(peak as f64 <= find_bound(rate), "{count}, {rate}/s: {peak}");
                assert!((0.6..=1.0).contains(&used), "{count}, {rate}/s: {used}");
            }
        }
    }
}

/// Guards against shares that add up to too much when a list of gateways is short or unknown.
#[test]
fn lists_fall_short() {
    for listed in [4, 12, 13, 22] {
        for rate in [1.0, 2.0, 10.0, 34.0] {
            let lists = [None, Some(listed), Some(listed + listed / 4)];
            let more = listed / 4;
            for (list, more, restarted) in [
                (lists[0], more, rate > 1.0),
                (lists[1], more, rate > 1.0),
                (lists[2], more, rate > 1.0),
                (lists[0], more, false),
                (lists[0], 0, true),
            ] {
                let create = |n| match n < listed {
                    true => Gateway::new(n, Some(listed), rate),
                    false => Gateway::new(n, list, rate),
                };
                let all = listed + more;
                let mut gateways: Vec<Gateway> = (0..all).map(create).collect();
                // One that is listed has just restarted without the store.
                if restarted {
                    gateways[0] = Gateway::new(0, None, rate);
                }
                gateways.iter_mut().for_each(|g| g.observe(5, 1));
                for sent in send_all(&mut gateways, 5, 2_600) {
                    let peak = find_peak(&sent);
                    assert!(peak as f64 <= find_bound(rate), "{all}, {rate}/s: {peak}");
                }
            }
        }
    }
}

/// Guards against a gateway that sends more than one request a second before it knows the others.
#[test]
fn unlisted_gateway() {
    let mut gateways = [Gateway::new(0, None, 34.0)];
    gateways[0].observe(1, 1);
    let sent = send_all(&mut gateways, 1, COLD_MS);
    assert_eq!(find_peak(&sent[0]), 1);
}

/// Guards against filling a server at the moment at which it is no longer cold, and against a limit
/// that does not end.
#[test]
fn rate_rises_in_steps() {
    let rate = 34.0;
    let mut gateways: Vec<Gateway> = (0..13).map(|n| Gateway::new(n, Some(13), rate)).collect();
    gateways.iter_mut().for_each(|g| g.observe(1, 1));
    let sent = send_all(&mut gateways, 1, COLD_MS + RAMP_MS);
    for (second, factor) in [2.0, 4.0, 8.0].into_iter().enumerate() {
        let start = COLD_MS + 1_000 * second as u64;
        let in_second = sent[0]
            .iter()
            .filter(|at| (start..start + 1_000).contains(at));
        let count = in_second.count() as f64;
        assert!(count <= find_bound(factor * rate), "{second}: {count}");
        assert!(count > 0.6 * factor * rate, "{second}: {count}");
    }
    for gateway in &mut gateways {
        let end = gateway.at(COLD_MS + RAMP_MS);
        gateway.rule.record_dispatch(&server(0), end);
        assert!(!gateway.withholds(COLD_MS + RAMP_MS));
        assert_eq!(gateway.rule.next_permit(&service(), end), None);
    }
}

/// Guards against taking a server that restarted under its id for warm because the store does not
/// say so, and against a limit without end at a gateway whose share is too small for any request.
#[test]
fn failure_means_restart() {
    for (count, rate) in [(13, 34.0), (22, 2.0)] {
        let create = |n| Gateway::new(n, Some(count), rate);
        let mut gateways: Vec<Gateway> = (0..count).map(create).collect();
        for gateway in &mut gateways {
            gateway.observe(1, 1);
            // A connection of an earlier run does not matter.
            let (start, failed_at) = (gateway.start, gateway.at(20_000));
            let (earlier, known) = (Incarnation(7), Incarnation(1));
            gateway.rule.record_failure(&server(0), earlier, failed_at);
            assert!(gateway.rule.list_cold(failed_at).is_empty());
            gateway.rule.record_failure(&server(0), known, failed_at);
            gateway.start = failed_at;
            // An answer to an earlier attempt does not show that the server is back.
            let (now, sent_at) = (gateway.at(1), start);
            gateway.rule.record_answer(&server(0), None, sent_at, now);
        }
        let sent = send_all(&mut gateways, 1, 3 * COLD_MS);
        assert!(find_peak(&sent[0]) as f64 <= find_bound(rate));
        assert!(sent[0].len() as f64 > 0.6 * rate * 3.0 * COLD_MS as f64 / 1_000.0);
        for gateway in &mut gateways {
            let (sent_at, now) = (gateway.at(3 * COLD_MS - 1), gateway.at(3 * COLD_MS));
            gateway.rule.record_answer(&server(0), None, sent_at, now);
            assert_eq!(
                gateway.rule.list_cold(now)[0].left.as_millis(),
                COLD_MS as u128
            );
            assert!(!gateway.withholds(4 * COLD_MS + RAMP_MS));
        }
    }
    let create = |n| Gateway::new(n, Some(22), 2.0);
    for mut gateway in (0..22).map(create) {
        gateway.observe(1, 1);
        let failed_at = gateway.at(20_000);
        gateway
            .rule
            .record_failure(&server(0), Incarnation(1), failed_at);
        let sends = !gateway.withholds(40_000);
        assert!(sends || !gateway.withholds(20_000 + 30_000 + COLD_MS + RAMP_MS));
    }
}

/// Guards against limits on servers that are not cold or whose service needs no slow start, also
/// after an entry was lost for a time, and against missing a server that says it is cold.
#[test]
fn cold_servers_only() {
    let mut gateway = Gateway::new(0, Some(22), 2.0);
    let mut other = entry(1, 5_000);
    other.service = "desk".parse().expect("a name");
    gateway.rule.observe(&server(1), &other, gateway.start);
    gateway.observe(1, 1);
    let warm = COLD_MS + RAMP_MS;
    gateway.rule.remove(&server(0));
    let now = gateway.at(warm);
    gateway.rule.observe(&server(0), &entry(1, 0), now);
    gateway.rule.record_dispatch(&server(0), now);
    assert!(gateway.rule.list_withheld(now).is_empty());
    for cold_ms in [1_000, 0] {
        gateway.rule.observe(&server(0), &entry(1, cold_ms), now);
        let is_cold = !gateway.rule.list_cold(now).is_empty();
        assert_eq!(is_cold, cold_ms > 0);
    }
    let later = gateway.at(2 * warm);
    let stated = Some(Duration::from_millis(700));
    gateway.rule.record_answer(&server(0), stated, later, later);
    gateway.rule.record_answer(&server(0), None, later, later);
    assert_eq!(
        gateway.rule.list_cold(later)[0].left,
        Duration::from_millis(700)
    );
    gateway.rule.record_reopened(&[server(0)], later);
    let cold = gateway.rule.list_cold(later);
    assert_eq!(cold[0].left, Duration::from_millis(COLD_MS));
}

/// Guards against callers that come back before they can be served.
#[test]
fn permits_are_kept() {
    for n in 0..22 {
        let mut gateway = Gateway::new(n, Some(22), 2.0);
        gateway.observe(1, 1);
        for ms in [0, 300, 5_000] {
            let now = gateway.at(ms);
            gateway.rule.record_dispatch(&server(0), now);
            let permit = gateway.rule.next_permit(&service(), now).expect("a time");
            let is_withheld = |at| !gateway.rule.list_withheld(at).is_empty();
            assert!(!is_withheld(permit));
            assert!(is_withheld(permit.before(Duration::from_millis(1))));
        }
    }
}
