//! Gateways whose operators evacuate availability zones.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use serde_json::json;
use siskinbend_standins::server::spawn_abortable;
use siskinbend_standins::site::Site;
use siskinbend_standins::site::build_config;
use siskinbend_standins::site::check::Caller;
use siskinbend_standins::site::check::complete_stream;
use siskinbend_standins::site::ranks::GroupShape;
use siskinbend_standins::site::replica::Replica;

use crate::deployment::Gateway;
use crate::deployment::RANKS;

/// Time after which no request may reach an evacuated zone (`evacuateMs`).
const BOUND: Duration = Duration::from_millis(5_000);
/// The same bound in the settings of a gateway.
const EVACUATE_BOUND: &str = "bounds.evacuateMs=5000\n";
/// Time after which a call to the store that waits for changes has ended.
const POLL: Duration = Duration::from_millis(1_500);
/// Time for which a gateway can't reach the store.
const OUTAGE: Duration = Duration::from_secs(3);
/// Interval between the requests of one caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(40);

/// Starts the stand-ins with two plain replicas and three ranks, in zones `a`, `b` and `c` in turn. The
/// plain service has a slow start.
async fn start_site() -> Site {
    let site = Site::start(RANKS).await.expect("the stand-ins start");
    let shape = GroupShape::of_ranks(RANKS);
    let mut config = build_config(2, &shape);
    config["services"][1]["coldStartS"] = json!(2);
    config["services"][1]["coldPerS"] = json!(50);
    site.store.put_json("op", "config", &config);
    for replicas in [&site.plain_replicas, &site.model_replicas] {
        for (replica, zone) in replicas.iter().zip(["a", "b", "c"]) {
            site.store.set_zone(&replica.id, zone);
        }
    }
    site
}

async fn start_gateway(site: &Site, n: usize) -> Gateway {
    Gateway::start_with(site, n, |text| text + EVACUATE_BOUND).await
}

/// Sends requests to both services until `end`. Returns when each was sent.
async fn send_requests(gateway: SocketAddr, name: &str, end: Instant) -> HashMap<String, Instant> {
    let mut sent = HashMap::new();
    while Instant::now() < end {
        for path in ["/stock/x/", "/draft/x/"] {
            let id = format!("{name}-{}", sent.len());
            sent.insert(id.clone(), Instant::now());
            let call = tokio::spawn(async move {
                Caller::default().call(gateway, path, &id).await;
            });
            drop(call);
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    sent
}

/// Counts the runs of requests that were sent in a period.
fn count_runs(replica: &Arc<Replica>, sent: &HashMap<String, Instant>, from: Instant) -> usize {
    let is_late = |id: &&String| sent.get(*id).is_some_and(|at| *at >= from);
    replica.runs().keys().filter(is_late).count()
}

/// Guards against gateways that send requests to an evacuated zone because they could not reach the
/// store, were restarted or frozen; and against zones that stay closed.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_holds_for_all_gateways() {
    let site = start_site().await;
    let (link, task) = spawn_abortable(
        (site.address.ip(), 0).into(),
        Arc::clone(&site.store).build_router(),
    )
    .await
    .expect("a second address of the store");
    let address = site.address.to_string();
    let first = start_gateway(&site, 0).await;
    let cut = Gateway::start_with(&site, 1, |text| text.replace(&address, &link.to_string())).await;
    // With its old keys the frozen gateway would refuse all requests until it has read the store.
    let frozen = Gateway::start_with(&site, 2, |text| {
        text.replace("revokeMs=5000", "revokeMs=60000") + EVACUATE_BOUND
    })
    .await;
    frozen.process.signal("STOP");
    // Its call to the store ends without a change.
    tokio::time::sleep(POLL).await;
    task.abort();
    site.store.evacuate("a", true);
    let (started, end) = (Instant::now(), Instant::now() + 2 * BOUND);
    let restore = async {
        tokio::time::sleep(OUTAGE).await;
        let router = Arc::clone(&site.store).build_router();
        spawn_abortable(link, router).await.expect("the address");
        let restarted = start_gateway(&site, 3).await;
        let restarted_at = Instant::now();
        let sent = send_requests(restarted.callers, "restarted", end).await;
        (restarted, restarted_at, sent)
    };
    let thaw = async {
        tokio::time::sleep(BOUND + Duration::from_secs(1)).await;
        frozen.process.signal("CONT");
    };
    let (sent, sent_cut, sent_frozen, (restarted, restarted_at, sent_restarted), ()) = tokio::join!(
        send_requests(first.callers, "first", end),
        send_requests(cut.callers, "cut", end),
        send_requests(frozen.callers, "frozen", end),
        restore,
        thaw
    );
    for replica in [&site.plain_replicas[0], &site.model_replicas[0]] {
        assert_eq!(count_runs(replica, &sent, started + BOUND), 0);
        assert_eq!(count_runs(replica, &sent_cut, started + BOUND), 0);
        assert_eq!(count_runs(replica, &sent_frozen, started), 0, "frozen");
        assert_eq!(count_runs(replica, &sent_restarted, restarted_at), 0);
    }
    for gateway in [&first, &cut, &frozen, &restarted] {
        gateway
            .wait_for_metric("siskinbend_zone_state{zone=\"a\"} 2")
            .await;
    }
    site.store.evacuate("a", false);
    for state in [3, 0] {
        let line = format!("siskinbend_zone_state{{zone=\"a\"}} {state}");
        first.wait_for_metric(&line).await;
    }
    let reopened = Instant::now();
    let sent = send_requests(first.callers, "reopened", reopened + OUTAGE).await;
    assert!(count_runs(&site.plain_replicas[0], &sent, reopened) > 0);
}

/// Guards against retries and resumed streams that reach an evacuated zone, against refusing what the
/// other zones can serve, and against a refusal without its reason or a time to come back.
#[tokio::test(flavor = "multi_thread")]
async fn retries_stay_out() {
    let site = start_site().await;
    // The presence of a row counts, whatever its value; a key without the name of a zone doesn't.
    site.store.write("op", "evacuate/b", Some(b"?".to_vec()));
    site.store.evacuate("unknown", true);
    site.store.evacuate("No zone", true);
    let gateway = start_gateway(&site, 0).await;
    let caller = Caller::default();
    for n in 0..8 {
        site.model_replicas[n % 2 * 2]
            .cut_after
            .store(3, Ordering::Relaxed);
        let id = format!("stream-{n}");
        let answer = caller.call(gateway.callers, "/draft/x/", &id).await;
        assert_eq!(answer.body, Some(complete_stream()));
        for replica in &site.model_replicas {
            replica.cut_after.store(0, Ordering::Relaxed);
        }
    }
    site.plain_replicas[0]
        .overloaded
        .store(true, Ordering::Relaxed);
    let answer = caller.call(gateway.callers, "/stock/x/", "retried").await;
    assert_eq!(answer.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert!(!answer.body.expect("a problem").contains("zone_evacuated"));
    site.store.evacuate("a", true);
    gateway
        .wait_for_metric("siskinbend_zone_state{zone=\"a\"} 2")
        .await;
    let answer = caller.call(gateway.callers, "/stock/x/", "refused").await;
    assert!(answer.body.expect("a problem").contains("zone_evacuated"));
    assert!(answer.after.is_some_and(|seconds| seconds > 0.0));
    let streamed = caller.call(gateway.callers, "/draft/x/", "elsewhere").await;
    assert_eq!(streamed.body, Some(complete_stream()));
    for replica in [&site.plain_replicas[1], &site.model_replicas[1]] {
        assert!(replica.runs().is_empty(), "{} got requests", replica.id);
    }
}
