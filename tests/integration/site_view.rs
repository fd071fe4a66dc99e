//! What a gateway believes while the store fails, and for how long.

use std::time::Duration;

use siskinbend_routing::LivenessTracker;
use siskinbend_site::BackendServer;
use siskinbend_site::Config;
use siskinbend_site::DeploymentView;
use siskinbend_site::ServerState;
use siskinbend_site::source::ServerChange;
use siskinbend_site::view::ServerUpdate;
use siskinbend_site::view::Settings;
use siskinbend_types::AgentId;
use siskinbend_types::Time;
use siskinbend_types::Version;

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn id(n: usize) -> AgentId {
    format!("server-{n}").parse().expect("a valid name")
}

fn server(n: usize, state: ServerState) -> BackendServer {
    BackendServer {
        id: id(n),
        service: "drafts".parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 9_000 + n as u16).into(),
        zone: "north".parse().expect("a valid name"),
        slots: 4,
        state,
        started_ms: 1,
    }
}

fn view() -> DeploymentView {
    DeploymentView::new(Settings {
        revocation_delay: Duration::from_secs(5),
    })
}

fn config(version: u64) -> Option<Config> {
    Some(Config::new(Version(version), Vec::new()))
}

/// Guards against an older configuration that arrives late.
#[test]
fn config_never_reverts() {
    let mut view = view();
    assert!(view.update_config(config(7), at(0)).is_some());
    assert!(view.update_config(config(4), at(10)).is_none());
    assert_eq!(view.config().map(|c| c.version), Some(Version(7)));
}

/// Guards against keys that are used although they may have been taken away, and against a 404
/// for a route that an unread configuration has.
#[test]
fn beliefs_expire() {
    let mut view = view();
    assert!(!view.are_keys_usable(at(0)));
    view.update_config(config(1), at(1_000));
    assert!(view.is_config_fresh(at(3_000)) && view.are_keys_usable(at(4_500)));
    assert!(
        !view.is_config_fresh(at(4_000)),
        "routes are not certain after 3 s"
    );
    assert!(
        !view.are_keys_usable(at(6_000)),
        "keys are used 5 s after the last word"
    );
    view.update_config(None, at(6_000));
    assert!(
        view.are_keys_usable(at(6_100)),
        "an answer without news confirms"
    );
}

/// Guards against all servers vanishing because their entries lapsed while the store was away.
#[test]
fn lapsed_entries_come_back() {
    let mut view = view();
    view.replace_servers(
        vec![server(1, ServerState::Ready), server(2, ServerState::Ready)],
        at(0),
    );
    view.record_store_failure();
    assert!(view.replace_servers(Vec::new(), at(9_000)).is_empty());
    assert!(
        view.remove_expired(at(10_000)).is_empty(),
        "removed before it could come back"
    );
    view.apply_changes(
        vec![ServerChange::Put(server(1, ServerState::Ready))],
        at(10_500),
    );
    assert_eq!(
        view.remove_expired(at(11_000)),
        [ServerUpdate::Removed(id(2))]
    );
}

/// Guards against a leaving server that keeps its requests because the store failed before.
#[test]
fn leaving_entries_go() {
    let mut view = view();
    view.replace_servers(
        vec![
            server(1, ServerState::Draining),
            server(2, ServerState::Ready),
        ],
        at(0),
    );
    view.record_store_failure();
    let updates = view.replace_servers(vec![server(2, ServerState::Ready)], at(5_000));
    assert_eq!(updates, [ServerUpdate::Removed(id(1))]);
    let gone = vec![ServerChange::Removed(id(2))];
    assert_eq!(
        view.apply_changes(gone, at(20_000)),
        [ServerUpdate::Removed(id(2))]
    );
}

/// Guards against all streams of a group being given up when it goes on after a standstill.
#[test]
fn standstill_is_no_silence() {
    let mut lively = LivenessTracker::default();
    lively.record_message(&id(1), at(0));
    lively.record_message(&id(2), at(0));
    assert_eq!(
        lively.measure_silence(&id(2), at(0), at(3_900)),
        Duration::ZERO
    );
    lively.record_message(&id(1), at(4_000));
    let silence = lively.measure_silence(&id(2), at(0), at(4_100));
    assert_eq!(silence, Duration::from_millis(100));
    for ms in (4_200..5_200).step_by(200) {
        lively.record_message(&id(1), at(ms));
    }
    let silence = lively.measure_silence(&id(2), at(0), at(5_100));
    assert!(
        silence >= Duration::from_millis(1_000),
        "a silent replica was not noticed"
    );
}
