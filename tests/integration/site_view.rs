//! A gateway's view of the deployment during store outages, and the liveness of backend servers.

use std::time::Duration;

use siskinbend_routing::LivenessTracker;
use siskinbend_site::BackendServer;
use siskinbend_site::Config;
use siskinbend_site::DeploymentView;
use siskinbend_site::Position;
use siskinbend_site::ServerState;
use siskinbend_site::StoredConfig;
use siskinbend_site::Versioned;
use siskinbend_site::registry::ServerUpdate;
use siskinbend_site::source::ServerChange;
use siskinbend_site::view::Settings;
use siskinbend_types::AgentId;
use siskinbend_types::Time;
use siskinbend_types::Version;

/// Start of the server processes, in Unix milliseconds.
pub const STARTED_MS: u64 = 1;

pub fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

pub fn id(n: usize) -> AgentId {
    format!("server-{n}").parse().expect("a valid name")
}

pub fn server(n: usize, state: ServerState) -> BackendServer {
    BackendServer {
        id: id(n),
        service: "drafts".parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 9_000 + n as u16).into(),
        zone: "north".parse().expect("a valid name"),
        slots: 4,
        state,
        cold_for: Duration::ZERO,
        started_ms: STARTED_MS,
    }
}

fn view() -> DeploymentView {
    DeploymentView::new(Settings {
        revocation_delay: Duration::from_secs(5),
    })
}

/// An answer of the store in its only history.
fn read<Content>(content: Content) -> Versioned<Content> {
    Versioned {
        content,
        position: Position::default(),
    }
}

fn config(version: u64) -> Versioned<Option<StoredConfig>> {
    let config = Config::new(Version(version), Vec::new());
    read(Some(StoredConfig { config, change: 1 }))
}

/// Guards against an older configuration that arrives late and replaces a newer one.
#[test]
fn config_never_reverts() {
    let mut view = view();
    assert!(view.update_config(config(7), at(0), at(0)).is_some());
    assert!(view.update_config(config(4), at(10), at(10)).is_none());
    assert_eq!(view.config().map(|c| c.version), Some(Version(7)));
}

/// Guards against accepting API keys that may have been revoked, and against a 404 for a route that
/// a newer, unread configuration contains.
#[test]
fn keys_and_routes_expire_without_confirmation() {
    let mut view = view();
    assert!(!view.are_keys_usable(at(0)));
    view.update_config(config(1), at(1_000), at(1_000));
    assert!(view.is_config_fresh(at(3_000)) && view.are_keys_usable(at(4_500)));
    assert!(
        !view.is_config_fresh(at(4_000)),
        "the configuration is not fresh after 3 s"
    );
    assert!(
        !view.are_keys_usable(at(6_000)),
        "keys are accepted 5 s after the last confirmation"
    );
    view.update_config(read(None), at(6_000), at(6_000));
    assert!(
        view.are_keys_usable(at(6_100)),
        "a response without changes confirms the configuration"
    );
}

/// Guards against removing all servers because their registry entries expired during a store
/// outage.
#[test]
fn expired_entries_may_return_after_a_store_outage() {
    let mut view = view();
    view.replace_servers(
        read(vec![
            server(1, ServerState::Ready),
            server(2, ServerState::Ready),
        ]),
        at(0),
    );
    view.record_store_failure();
    assert!(view.replace_servers(read(Vec::new()), at(9_000)).is_empty());
    assert!(
        view.update_servers(at(10_000)).is_empty(),
        "removed before it could register again"
    );
    view.apply_changes(
        vec![ServerChange::Put(server(1, ServerState::Ready))],
        at(10_500),
    );
    assert_eq!(
        view.update_servers(at(11_000)),
        [ServerUpdate::Removed(id(2))]
    );
}

/// Guards against keeping a draining server in use because its entry disappeared around a store
/// outage.
#[test]
fn missing_draining_entry_is_removed_at_once() {
    let mut view = view();
    view.replace_servers(
        read(vec![
            server(1, ServerState::Draining),
            server(2, ServerState::Ready),
        ]),
        at(0),
    );
    view.record_store_failure();
    let updates = view.replace_servers(read(vec![server(2, ServerState::Ready)]), at(5_000));
    assert_eq!(updates, [ServerUpdate::Removed(id(1))]);
    let changes = vec![ServerChange::Removed(id(2))];
    assert_eq!(
        view.apply_changes(changes, at(20_000)),
        [ServerUpdate::Removed(id(2))]
    );
}

/// Guards against abandoning all streams of a group when it continues after a pause of all
/// replicas.
#[test]
fn paused_group_is_not_silent() {
    let mut liveness = LivenessTracker::default();
    liveness.record_message(&id(1), at(0));
    liveness.record_message(&id(2), at(0));
    assert_eq!(
        liveness.measure_silence(&id(2), at(0), at(3_900)),
        Duration::ZERO
    );
    liveness.record_message(&id(1), at(4_000));
    let silence = liveness.measure_silence(&id(2), at(0), at(4_100));
    assert_eq!(silence, Duration::from_millis(100));
    for ms in (4_200..5_200).step_by(200) {
        liveness.record_message(&id(1), at(ms));
    }
    let silence = liveness.measure_silence(&id(2), at(0), at(5_100));
    assert!(
        silence >= Duration::from_millis(1_000),
        "a silent replica was not detected"
    );
}
