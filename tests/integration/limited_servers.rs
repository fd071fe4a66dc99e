//! Backend servers that name a request limit for all gateways together.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use siskinbend_standins::site::check::Caller;
use siskinbend_standins::site::replica::Replica;
use siskinbend_standins::site::store::StoreMode;

use crate::deployment::Deployment;
use crate::deployment::EVENT_TIMEOUT;
use crate::deployment::Gateway;

/// Limit of one of two servers, in requests a second.
const LIMIT: f64 = 2.0;
/// Time that gateways have after a server first named its limit.
const ADAPTATION_TIME: Duration = Duration::from_secs(3);
/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Factor by which the limit may be exceeded in a window, and requests allowed beyond that.
const TOLERANCE: (f64, f64) = (1.5, 5.0);
/// Interval between the requests of one caller, far below what the limit allows.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// Returns the most requests that arrived in any window after the time to adapt.
fn find_peak(replica: &Arc<Replica>) -> usize {
    let arrivals = replica.limited_arrivals();
    let first = *arrivals.first().expect("a request under the limit");
    let counted: Vec<Instant> = arrivals
        .into_iter()
        .filter(|at| at.duration_since(first) >= ADAPTATION_TIME)
        .collect();
    let count = |start: &Instant| {
        let in_window = |at: &&Instant| **at >= *start && at.duration_since(*start) < WINDOW;
        counted.iter().filter(in_window).count()
    };
    counted.iter().map(count).max().unwrap_or(0)
}

/// Guards against each gateway sending a server as many requests as it takes from all of them, or
/// more, and against refusing requests that other servers can take.
#[tokio::test(flavor = "multi_thread")]
async fn limit_holds_for_all_gateways() {
    let deployment = Deployment::start().await;
    let second = Gateway::start(&deployment.site, 1).await;
    let limited = &deployment.site.plain_replicas[0];
    *limited.limit.lock().expect("the lock") = Some(LIMIT);
    let end = Instant::now() + ADAPTATION_TIME + 2 * WINDOW;
    let send = |gateway, name: &'static str| async move {
        let mut refused = 0;
        let mut number = 0;
        while Instant::now() < end {
            let id = format!("{name}{number}");
            let answer = Caller::default().call(gateway, "/stock/x/", &id).await;
            refused += u32::from(answer.status != Some(StatusCode::OK));
            number += 1;
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        refused
    };
    let refused = tokio::join!(send(deployment.callers, "a"), send(second.callers, "b"));
    assert_eq!(refused, (0, 0));
    let allowed = TOLERANCE.0 * LIMIT * WINDOW.as_secs_f64() + TOLERANCE.1;
    let peak = find_peak(limited);
    assert!(peak as f64 <= allowed, "{peak} requests in {WINDOW:?}");
    assert!(peak > 0, "the server gets no requests at all");
}

/// Guards against a gateway that takes whole limits for itself because the store accepts no writes.
#[tokio::test(flavor = "multi_thread")]
async fn gateways_are_known_without_writes() {
    let deployment = Deployment::start().await;
    let started = Instant::now();
    while deployment.site.store.count_rows("gateways") == 0 {
        assert!(started.elapsed() < EVENT_TIMEOUT, "no gateway is listed");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    deployment.site.store.set_mode(StoreMode::ReadOnly);
    let second = Gateway::start(&deployment.site, 1).await;
    second.wait_for_metric("siskinbend_gateways 2").await;
}
