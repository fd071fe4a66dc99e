//! Gateways whose store comes back from an older copy.

use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use siskinbend_standins::site::build_config;
use siskinbend_standins::site::check::Caller;
use siskinbend_standins::site::check::complete_stream;
use siskinbend_standins::site::ranks::GroupShape;
use siskinbend_standins::site::store::Store;

use crate::deployment::Deployment;
use crate::deployment::EVENT_TIMEOUT;
use crate::deployment::Gateway;
use crate::deployment::RANKS;
use crate::deployment::wait_until;

/// Time within which a configuration is in force everywhere.
const CONFIG_BOUND: Duration = Duration::from_secs(2);
/// Number of changes that carry the store beyond any position that a gateway has reached.
const MANY_CHANGES: u64 = 50;

/// Builds a configuration with the plain service at one more prefix.
fn config_with_route(version: u64, prefix: &str) -> Value {
    let shape = GroupShape::of_ranks(RANKS);
    let mut config = build_config(version, &shape);
    let mut route = config["routes"][2].clone();
    (route["name"], route["prefix"]) = (json!(prefix), json!(prefix));
    config["routes"].as_array_mut().expect("routes").push(route);
    config
}

fn change_other_rows(store: &Store) {
    for n in 0..MANY_CHANGES {
        store.put_json("others", "row", &json!({ "n": n }));
    }
}

/// Waits until a path is served.
async fn wait_until_served(deployment: &Deployment, path: &str, bound: Duration) {
    let started = Instant::now();
    let mut number = 0;
    loop {
        let id = format!("{path}{number}");
        if deployment.call(path, &id).await.status == Some(StatusCode::OK) {
            return;
        }
        assert!(started.elapsed() < bound, "{path} is not served in time");
        number += 1;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a configuration that stays unknown because a gateway, which noticed no outage, goes
/// on from a position that the restored store has passed again.
#[tokio::test(flavor = "multi_thread")]
async fn missed_return_is_noticed() {
    let deployment = Deployment::start().await;
    let store = &deployment.site.store;
    let copy = store.copy();
    change_other_rows(store);
    store.put_json("op", "config", &config_with_route(3, "/lost/"));
    wait_until_served(&deployment, "/lost/", EVENT_TIMEOUT).await;
    store.restore(copy);
    store.put_json("op", "config", &config_with_route(5, "/new/"));
    change_other_rows(store);
    change_other_rows(store);
    wait_until_served(&deployment, "/new/", CONFIG_BOUND).await;
}

/// Guards against a configuration that never comes into force because its version was used before
/// for one that the store has lost.
#[tokio::test(flavor = "multi_thread")]
async fn reused_version_comes_into_force() {
    let deployment = Deployment::start().await;
    let store = &deployment.site.store;
    let copy = store.copy();
    store.put_json("op", "config", &config_with_route(3, "/lost/"));
    wait_until_served(&deployment, "/lost/", EVENT_TIMEOUT).await;
    store.restore(copy);
    store.put_json("op", "config", &config_with_route(3, "/new/"));
    wait_until_served(&deployment, "/new/", CONFIG_BOUND).await;
}

/// Guards against going back to the configuration of the copy.
#[tokio::test(flavor = "multi_thread")]
async fn older_copy_is_kept_out() {
    let deployment = Deployment::start().await;
    let store = &deployment.site.store;
    let copy = store.copy();
    store.put_json("op", "config", &config_with_route(3, "/kept/"));
    wait_until_served(&deployment, "/kept/", EVENT_TIMEOUT).await;
    store.restore(copy);
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < 2 * CONFIG_BOUND {
        let id = format!("k{number}");
        let status = deployment.call("/kept/", &id).await.status;
        assert_ne!(status, Some(StatusCode::NOT_FOUND), "the route is gone");
        number += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    store.put_json("op", "config", &config_with_route(3, "/kept/"));
    wait_until_served(&deployment, "/kept/", CONFIG_BOUND).await;
}

/// Guards against crashes of servers that no gateway knows of after the store lost them.
#[tokio::test(flavor = "multi_thread")]
async fn crashes_are_shared_again() {
    let deployment = Deployment::start().await;
    let site = &deployment.site;
    let copy = site.store.copy();
    for replica in &site.model_replicas {
        *replica.crash_part.lock().expect("the lock") = Some("bad".to_owned());
    }
    let caller = Caller::default();
    let call = caller.call_with_prompt(deployment.callers, "/draft/x/", "c", "bad:20,own:600");
    assert_ne!(call.await.body, Some(complete_stream()));
    wait_until("the report of a crash", || {
        site.store.count_rows("crashes") > 0
    })
    .await;
    let reported = site.store.count_rows("crashes");
    site.store.restore(copy);
    assert_eq!(site.store.count_rows("crashes"), 0);
    wait_until("the report again", || {
        site.store.count_rows("crashes") >= reported
    })
    .await;
}

/// Guards against gateways that stay unknown to the others because the store lost their rows.
#[tokio::test(flavor = "multi_thread")]
async fn gateways_announce_themselves_again() {
    let deployment = Deployment::start().await;
    let store = &deployment.site.store;
    wait_until("the first gateway", || store.count_rows("gateways") == 1).await;
    let copy = store.copy();
    let _second = Gateway::start(&deployment.site, 1).await;
    wait_until("both gateways", || store.count_rows("gateways") == 2).await;
    store.restore(copy);
    let started = Instant::now();
    while store.count_rows("gateways") < 2 {
        assert!(started.elapsed() < 2 * CONFIG_BOUND, "the row is missing");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
