//! What answers of backend servers say: that a server is leaving, or wants a pause.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use siskinbend::command::explain::build_timeline;
use siskinbend_platform::PlatformHeaders;
use siskinbend_routing::LeavingRuns;
use siskinbend_routing::Pauses;
use siskinbend_routing::SendRule;
use siskinbend_routing::SendRules;
use siskinbend_routing::ServerLimits;
use siskinbend_routing::SlowStart;
use siskinbend_routing::send_rules::find_cause;
use siskinbend_routing::slow_start::Tolerance;
use siskinbend_site::HeaderCodec;
use siskinbend_site::ResponseHead;
use siskinbend_types::AgentId;
use siskinbend_types::Incarnation;
use siskinbend_types::Reason;
use siskinbend_types::Time;

fn server(n: u32) -> AgentId {
    format!("i-{n}").parse().expect("a name")
}

fn at(seconds: u64) -> Time {
    Time::from_millis(seconds * 1_000)
}

fn decode(status: u16, name: &'static str, value: &'static [u8]) -> ResponseHead {
    let mut headers = HeaderMap::new();
    let value = HeaderValue::from_bytes(value).expect("a value");
    headers.insert(name, value);
    PlatformHeaders.decode_response(status, &headers)
}

/// Guards against trusting malformed values, and against dropping them without a trace.
#[test]
fn headers_are_decoded() {
    let leaving = |value| decode(200, "server-leaving", value);
    assert!(leaving(b" 1 ").leaving && leaving(b"1").ignored.is_empty());
    for value in [&b"0"[..], b"true", b"", b"11", b"\xff"] {
        let head = leaving(value);
        assert!(!head.leaving && head.ignored.len() == 1, "{value:?}");
        assert_eq!(head.ignored[0].name, "server-leaving");
    }
    let pause = |value| decode(503, "retry-after", value);
    assert_eq!(pause(b"2.5").pause, Some(Duration::from_millis(2_500)));
    assert!(pause(b"99999999999999999999999999").pause > Some(Duration::from_secs(600)));
    for value in [&b"-1"[..], b"NaN", b"inf", b"1e3", b"", b".", b"soon"] {
        let head = pause(value);
        assert_eq!((head.pause, head.ignored.len()), (None, 1), "{value:?}");
    }
    let date = pause(b"Fri, 04 Dec 2026 21:00:00 GMT");
    assert_eq!((date.pause, date.ignored.len()), (None, 1));
    let other = decode(429, "retry-after", b"soon");
    assert_eq!((other.pause, other.ignored.len()), (None, 0));
}

/// Guards against sending to a leaving run because its registry entry comes back, against leaving out
/// its next run, and against remembering all runs for ever.
#[test]
fn leaving_run_is_withheld() {
    let mut withdrawals = LeavingRuns::default();
    let (first, second) = (Incarnation(7), Incarnation(8));
    assert!(withdrawals.record(&server(1), first, at(10)));
    assert!(!withdrawals.record(&server(1), first, at(11)));
    withdrawals.remove(&server(1));
    assert!(withdrawals.list_withheld(at(11)).is_empty());
    withdrawals.observe(&server(1), first, at(300));
    withdrawals.expire(at(800));
    assert_eq!(withdrawals.list_withheld(at(800)), [server(1)]);
    withdrawals.observe(&server(1), second, at(801));
    assert!(withdrawals.list_withheld(at(801)).is_empty());
    withdrawals.record(&server(2), first, at(801));
    withdrawals.remove(&server(2));
    withdrawals.expire(at(1_500));
    assert_eq!(withdrawals.list().count(), 0);
}

/// Guards against ending a pause early because of a later answer or a registry entry that comes back,
/// and against pauses of any length.
#[test]
fn pause_is_kept() {
    let mut pauses = Pauses::default();
    let seconds = Duration::from_secs;
    let change = pauses.record(&server(1), seconds(5), at(0));
    assert!(change.is_some_and(|c| c.is_new() && c.duration == seconds(5)));
    assert_eq!(pauses.record(&server(1), seconds(1), at(2)), None);
    let longer = pauses.record(&server(1), seconds(5), at(2));
    assert_eq!(longer.map(|c| c.extension), Some(seconds(2)));
    pauses.remove(&server(1));
    assert_eq!(pauses.list_withheld(Time(at(7).0 - 1)), [server(1)]);
    assert!(pauses.list_withheld(at(7)).is_empty());
    assert_eq!(pauses.record(&server(2), Duration::ZERO, at(7)), None);
    pauses.record(&server(2), seconds(9_999), at(7));
    assert!(pauses.list_withheld(at(607)).is_empty());
    pauses.expire(at(607));
    assert_eq!(pauses.list(at(0)).count(), 0);
}

/// Guards against a time to come back at which the server whose pause ends can't take the request.
#[test]
fn first_usable_end_is_found() {
    let mut pauses = Pauses::default();
    for (n, seconds) in [(1, 30), (2, 10), (3, 20)] {
        pauses.record(&server(n), Duration::from_secs(seconds), at(0));
    }
    let usable = [server(1), server(3)];
    let can_choose = |without: &[AgentId]| usable.iter().any(|s| !without.contains(s));
    assert_eq!(pauses.find_first_end(at(5), can_choose), Some(at(20)));
    // Server 3 can take the request now.
    assert_eq!(pauses.find_first_end(at(25), can_choose), None);
    assert_eq!(pauses.find_first_end(at(5), |_| false), None);
    assert_eq!(pauses.find_first_end(at(5), |_| true), None);
}

/// Guards against telling callers that all servers leave while one of them only pauses.
#[test]
fn pause_is_named_before_leaving() {
    let mut rules = SendRules {
        limits: ServerLimits::new("edge-0".into()),
        slow_start: SlowStart::new(
            "edge-0".into(),
            Tolerance {
                overrun: 1.0,
                slack: 0.0,
            },
        ),
        pauses: Pauses::default(),
        leaving: LeavingRuns::default(),
    };
    rules.leaving.record(&server(1), Incarnation(1), at(0));
    rules
        .pauses
        .record(&server(2), Duration::from_secs(5), at(0));
    let cause = |count: u32| {
        let withheld = rules.list_withheld(at(1));
        let is_left = |without: &[AgentId]| (1..=count).any(|n| !without.contains(&server(n)));
        find_cause(&withheld, is_left)
    };
    assert_eq!(cause(2), Some(Reason::ServersPaused));
    assert_eq!(cause(1), Some(Reason::Draining));
}

/// Guards against a timeline that does not say why a request passed by servers, also if it was refused
/// and names none.
#[test]
fn withheld_servers_are_explained() {
    let log = "ts=1.0 event=server_paused server=i-1 service=desk for_ms=900
ts=1.1 event=server_leaving server=i-2 service=desk born=3
ts=1.2 event=server_paused server=i-1 service=desk for_ms=2000
ts=1.3 event=server_paused server=i-9 service=other for_ms=2000
ts=1.4 event=zone_evacuated zone=a since_ms=1
ts=1.5 event=zone_evacuated zone=b since_ms=1
ts=1.6 event=request_refused request=ab service=desk reason=servers_paused
ts=1.7 event=zone_reopened zone=a evacuated_ms=9";
    let lines = log.lines().map(str::to_owned).collect();
    let timeline = build_timeline("ab", &[("g1".to_owned(), lines)]);
    let times: Vec<f64> = timeline.iter().map(|l| l.time).collect();
    assert_eq!(times, [1.1, 1.2, 1.4, 1.5, 1.6]);
}
