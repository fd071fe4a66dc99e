//! Backend servers that turn cold while gateways send requests to them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use siskinbend_standins::site::build_config;
use siskinbend_standins::site::check::Caller;
use siskinbend_standins::site::ranks::GroupShape;
use siskinbend_standins::site::replica::Replica;

use crate::deployment::Deployment;
use crate::deployment::EVENT_TIMEOUT;
use crate::deployment::Gateway;
use crate::deployment::RANKS;
use crate::deployment::wait_for_metric;

/// Requests that a cold server tolerates in a second, and those that may reach it at most.
const RATE: f64 = 2.0;
const BOUND: f64 = 1.5 * RATE + 5.0;
/// Time that gateways have to learn from the registry that a server turned cold.
const ADAPTATION_TIME: Duration = Duration::from_millis(1_500);
/// Time for which requests are counted.
const COUNTED_TIME: Duration = Duration::from_secs(4);
/// Interval between the requests of one caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the most requests that arrived in a second, and the number of all, from a time on.
fn count_arrivals(replica: &Arc<Replica>, from: Instant) -> (usize, usize) {
    let arrivals = replica.arrivals();
    let counted: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= from).collect();
    let count = |start: &Instant| {
        let in_second =
            |at: &&Instant| **at >= *start && at.duration_since(*start) < Duration::from_secs(1);
        counted.iter().filter(in_second).count()
    };
    (counted.iter().map(count).max().unwrap_or(0), counted.len())
}

/// Guards against sending a server that is cold as many requests as one that is warm, or none, and
/// against refusing requests that other servers can take.
#[tokio::test(flavor = "multi_thread")]
async fn cold_server_gets_few_requests() {
    let deployment = Deployment::start().await;
    let second = Gateway::start(&deployment.site, 1).await;
    let shape = GroupShape::of_ranks(RANKS);
    let mut config = build_config(2, &shape);
    let service = &mut config["services"][1];
    (service["coldStartS"], service["coldPerS"]) = (3.into(), RATE.into());
    deployment.site.store.put_json("op", "config", &config);
    for metrics in [deployment.metrics, second.metrics] {
        for line in ["siskinbend_config_version 2", "siskinbend_gateways 2"] {
            wait_for_metric(metrics, line).await;
        }
    }
    let [cold, other] = [0, 1].map(|n| &deployment.site.plain_replicas[n]);
    let total = ADAPTATION_TIME + COUNTED_TIME;
    deployment
        .site
        .store
        .set_cold_time(&cold.id, total.as_millis() as u64);
    let started = Instant::now();
    let send = |gateway, name: &'static str| async move {
        let mut refused = 0;
        let mut number = 0;
        while started.elapsed() < total {
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
    let (peak, all) = count_arrivals(cold, started + ADAPTATION_TIME);
    assert!(peak as f64 <= BOUND, "{peak} requests in a second");
    assert!(all > 0, "the server gets no requests at all");
    // The other server turns cold too, and says so in an answer. Nothing is left then.
    deployment.site.store.set_cold_time(&cold.id, 10_000);
    *other.cold_ms.lock().expect("the lock") = Some(10_000);
    wait_for_metric(deployment.metrics, "siskinbend_cold_servers 1").await;
    let refused = async {
        let mut number = 0;
        loop {
            let answer = deployment.call("/stock/x/", &format!("c{number}")).await;
            if answer.status != Some(StatusCode::OK) {
                return answer;
            }
            number += 1;
        }
    };
    let answer = tokio::time::timeout(EVENT_TIMEOUT, refused).await;
    let answer = answer.expect("a refusal");
    assert_eq!(answer.status, Some(StatusCode::TOO_MANY_REQUESTS));
    assert!(answer.body.is_some_and(|text| text.contains("cold_start")));
}
