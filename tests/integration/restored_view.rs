//! What a gateway believes after its store was restored from an older copy.

use std::time::Duration;

use siskinbend_site::BackendServer;
use siskinbend_site::Config;
use siskinbend_site::DeploymentView;
use siskinbend_site::Position;
use siskinbend_site::RequestKind;
use siskinbend_site::Route;
use siskinbend_site::ServerState;
use siskinbend_site::SourceError;
use siskinbend_site::StoredConfig;
use siskinbend_site::Versioned;
use siskinbend_site::registry::ServerUpdate;
use siskinbend_site::source::ServerChange;
use siskinbend_site::view::Settings;
use siskinbend_types::RegionSet;
use siskinbend_types::Timeline;
use siskinbend_types::Version;

use crate::site_view::STARTED_MS;
use crate::site_view::at;
use crate::site_view::id;
use crate::site_view::server;

fn answer<Content>(timeline: u64, content: Content) -> Versioned<Content> {
    Versioned {
        content,
        position: Position {
            timeline: Timeline(timeline),
            change: 0,
        },
    }
}

/// A configuration with one route, by which versions that were assigned twice are told apart.
fn config(timeline: u64, version: u64, prefix: &str) -> Versioned<Option<StoredConfig>> {
    let route = Route {
        host: "shop.example".into(),
        prefix: prefix.into(),
        shares: Vec::new(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_goal: Duration::from_secs(1),
        event_gap: None,
        max_attempts: 1,
        priority: 0,
        public: true,
        regions: RegionSet::default(),
    };
    let config = Config::new(Version(version), vec![route]);
    // The same change for all, as for a configuration that the copy contains.
    let change = 1;
    answer(timeline, Some(StoredConfig { config, change }))
}

fn view() -> DeploymentView {
    DeploymentView::new(Settings::default())
}

/// Records an answer and returns whether another configuration came into force.
fn record(view: &mut DeploymentView, read: Versioned<Option<StoredConfig>>, millis: u64) -> bool {
    view.update_config(read, at(millis), at(millis)).is_some()
}

fn version(view: &DeploymentView) -> Option<u64> {
    view.config().map(|c| c.version.0)
}

/// Guards against changes that are missed because a watch goes on from a position that means
/// something else in the new history.
#[test]
fn positions_end_with_their_history() {
    let start = Position {
        timeline: Timeline(1),
        change: 70,
    };
    assert!(answer(1, ()).since(start).is_ok());
    assert_eq!(answer(2, ()).since(start), Err(SourceError::HistoryGone));
}

/// Guards against going back to the copy's configuration, or to one that is written again on the way
/// to the latest.
#[test]
fn earlier_configs_stay_out() {
    let mut view = view();
    for (version, millis) in [(2, 0), (5, 1_000), (9, 2_000)] {
        assert!(record(&mut view, config(1, version, "/"), millis));
    }
    for (version, millis) in [(2, 10_000), (2, 30_000), (5, 31_000), (5, 60_000)] {
        assert!(!record(&mut view, config(2, version, "/"), millis));
    }
    assert!(!record(&mut view, config(2, 9, "/"), 61_000));
    assert_eq!(version(&view), Some(9));
    assert!(record(&mut view, config(2, 11, "/"), 62_000));
}

/// Guards against a version that is assigned again and never comes into force, and against keeping an
/// unknown older one out for good.
#[test]
fn reused_versions_come_into_force() {
    let mut view = view();
    record(&mut view, config(1, 9, "/a/"), 0);
    assert!(record(&mut view, config(2, 9, "/b/"), 10_000));
    assert!(
        !record(&mut view, config(2, 8, "/c/"), 10_100),
        "an older answer"
    );
    // The first answer may show the copy, the second shows what was written since.
    assert!(!record(&mut view, config(3, 4, "/copied/"), 20_000));
    assert!(!record(&mut view, config(3, 6, "/d/"), 20_500));
    assert!(!record(&mut view, answer(3, None), 21_000));
    assert!(record(&mut view, answer(3, None), 21_500));
    assert_eq!(version(&view), Some(6));
    assert!(record(&mut view, config(3, 7, "/e/"), 22_000));
}

/// Guards against a late answer from before the store was restored.
#[test]
fn answers_of_the_lost_history_are_ignored() {
    let mut view = view();
    record(&mut view, config(2, 3, "/a/"), 0);
    assert!(!record(&mut view, config(1, 8, "/lost/"), 1_000));
    assert!(
        !view.is_config_fresh(at(3_000)),
        "a lost history confirms nothing"
    );
    let servers = vec![server(1, ServerState::Ready)];
    view.replace_servers(answer(2, servers.clone()), at(0));
    assert!(
        view.replace_servers(answer(1, Vec::new()), at(9_000))
            .is_empty()
    );
}

/// Guards against trusting keys that a lost configuration took away, before the operators could write
/// it again.
#[test]
fn keys_wait_for_what_was_lost() {
    let mut view = view();
    record(&mut view, config(1, 3, "/a/"), 0);
    record(&mut view, config(2, 3, "/a/"), 5_000);
    assert!(!view.are_keys_usable(at(5_100)));
    record(&mut view, answer(2, None), 7_000);
    assert!(view.are_keys_usable(at(7_100)));
    // Operators write what was lost again in one go.
    let mut again = config(3, 3, "/a/");
    again.content.as_mut().expect("a configuration").change = 7;
    record(&mut view, again, 15_000);
    assert!(view.are_keys_usable(at(15_100)));
    // While the store shows an older configuration, nothing says which keys hold.
    record(&mut view, config(4, 1, "/a/"), 20_000);
    record(&mut view, answer(4, None), 23_000);
    assert!(!view.are_keys_usable(at(23_100)));
}

/// Guards against removing servers that the restored store has lost and that register again.
#[test]
fn lost_registrations_may_return() {
    let mut view = view();
    let both = vec![server(1, ServerState::Ready), server(2, ServerState::Ready)];
    view.replace_servers(answer(1, both), at(0));
    let missed = view.replace_servers(answer(2, Vec::new()), at(9_000));
    assert!(missed.is_empty());
    view.apply_changes(
        vec![ServerChange::Put(server(1, ServerState::Ready))],
        at(10_000),
    );
    let expired = view.update_servers(at(11_000));
    assert_eq!(expired, [ServerUpdate::Removed(id(2))]);
}

/// Guards against sending requests to servers that are leaving or have left, because the copy still
/// lists them as ready.
#[test]
fn leaving_servers_stay_out() {
    let mut view = view();
    let ready = |n| server(n, ServerState::Ready);
    let draining = |n| server(n, ServerState::Draining);
    view.replace_servers(answer(1, vec![draining(1), draining(2), ready(3)]), at(0));
    let left = vec![ServerChange::Removed(id(2)), ServerChange::Removed(id(3))];
    view.apply_changes(left, at(1_000));
    let copy = || answer(2, vec![ready(1), ready(2), ready(3)]);
    assert!(view.replace_servers(copy(), at(5_000)).is_empty());
    assert!(view.replace_servers(copy(), at(9_000)).is_empty());
    // The third did not announce that it leaves, and its entry was not removed again.
    let returned = view.update_servers(at(12_000));
    assert_eq!(returned, [ServerUpdate::Put(ready(3))]);
    // A new run of a server that has left is another server.
    let restarted = BackendServer {
        started_ms: STARTED_MS + 1,
        ..ready(2)
    };
    let changes = vec![ServerChange::Put(restarted.clone())];
    let updates = view.apply_changes(changes, at(13_000));
    assert_eq!(updates, [ServerUpdate::Put(restarted)]);
}

/// Guards against replacing a server by an earlier run of it that the copy lists.
#[test]
fn earlier_runs_stay_out() {
    let mut view = view();
    let restarted = BackendServer {
        started_ms: STARTED_MS + 1,
        ..server(1, ServerState::Ready)
    };
    view.replace_servers(answer(1, vec![restarted.clone()]), at(0));
    let copy = answer(2, vec![server(1, ServerState::Ready)]);
    assert!(view.replace_servers(copy, at(5_000)).is_empty());
    let changes = vec![ServerChange::Put(restarted)];
    assert!(view.apply_changes(changes, at(6_000)).is_empty());
    assert!(view.update_servers(at(9_000)).is_empty());
}
