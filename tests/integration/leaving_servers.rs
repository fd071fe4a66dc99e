//! Backend servers that say in their answers that they are leaving, while the registry lists them.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use siskinbend_standins::site::check::Caller;
use siskinbend_standins::site::check::complete_stream;

use crate::deployment::Deployment;
use crate::deployment::EVENT_TIMEOUT;
use crate::deployment::RANKS;

/// Time after the first answer of a leaving server from which no request may reach it.
const DRAIN_TIME: Duration = Duration::from_millis(3_000);
/// Time over which callers send requests after that.
const WINDOW: Duration = Duration::from_secs(2);
const CALLERS: usize = 6;

/// Sends requests from several callers until `end`, and returns when those were sent that were not
/// answered with 200.
pub async fn send_all(deployment: &Deployment, end: Instant) -> Vec<Instant> {
    let send = |caller: usize| async move {
        let client = Caller::default();
        let mut failed = Vec::new();
        for number in 0.. {
            let sent = Instant::now();
            if sent >= end {
                break;
            }
            let path = ["/stock/x/", "/book/x/", "/draft/x/"][number % 3];
            let id = format!("c{caller}-{number}");
            let answer = client.call(deployment.callers, path, &id).await;
            if answer.status != Some(StatusCode::OK) {
                failed.push(sent);
            }
        }
        failed
    };
    let failed = futures::future::join_all((0..CALLERS).map(send)).await;
    failed.concat()
}

/// Guards against sending requests to a leaving server as long as the registry lists it, on idle or
/// new connections, and against refusing what others can take.
#[tokio::test(flavor = "multi_thread")]
async fn load_moves_away() {
    let deployment = Deployment::start().await;
    let failed = send_all(&deployment, Instant::now() + WINDOW / 4).await;
    assert_eq!(failed.len(), 0);
    let site = &deployment.site;
    let leaving = [&site.plain_replicas[0], &site.model_replicas[0]];
    for replica in leaving {
        assert!(!replica.signals.arrivals().is_empty(), "an idle server");
        replica.signals.set_leaving(Some("1"));
    }
    let said = Instant::now();
    let end = said + DRAIN_TIME + WINDOW;
    assert_eq!(send_all(&deployment, end).await.len(), 0);
    for replica in leaving {
        let arrivals = replica.signals.arrivals();
        let first = arrivals.iter().find(|at| **at >= said);
        let first = *first.expect("a request that the server answers");
        let late = arrivals.iter().filter(|at| **at > first + DRAIN_TIME);
        assert_eq!(late.count(), 0, "{}", replica.id);
    }
}

/// Guards against retries at a leaving server, which refuses a request and says so in the refusal; and
/// against leaving out its next run.
#[tokio::test(flavor = "multi_thread")]
async fn retries_go_elsewhere() {
    let deployment = Deployment::start().await;
    let [leaving, other] = [0, 1].map(|n| &deployment.site.plain_replicas[n]);
    leaving.signals.set_leaving(Some("1"));
    leaving.overloaded.store(true, Ordering::Relaxed);
    for number in 0..20 {
        let answer = deployment.call("/stock/x/", &format!("r{number}")).await;
        assert_eq!(answer.status, Some(StatusCode::OK));
    }
    assert_eq!(leaving.signals.arrivals().len(), 1);
    other.overloaded.store(true, Ordering::Relaxed);
    let refused = deployment.call("/stock/x/", "r20").await;
    assert_eq!(refused.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    assert_eq!(leaving.signals.arrivals().len(), 1);
    leaving.signals.set_leaving(None);
    let store = &deployment.site.store;
    let address = store.find_address(&leaving.id).parse().expect("an address");
    store.register_replica(&leaving.id, "desk", address);
    deployment
        .wait_for_metric("siskinbend_leaving_servers 0")
        .await;
    for number in 0..20 {
        deployment.call("/stock/x/", &format!("s{number}")).await;
    }
    assert!(leaving.signals.arrivals().len() > 1, "the next run is idle");
}

/// Guards against cutting the streams of a leaving server, and against resuming streams there.
#[tokio::test(flavor = "multi_thread")]
async fn streams_avoid_leaving_ranks() {
    let deployment = Deployment::start().await;
    let (last, leaving) = deployment
        .site
        .model_replicas
        .split_last()
        .expect("several ranks");
    for replica in leaving {
        replica.signals.set_leaving(Some("1"));
    }
    let count = || -> usize { leaving.iter().map(|r| r.signals.arrivals().len()).sum() };
    for number in 0..12 {
        let answer = deployment.call("/draft/x/", &format!("t{number}")).await;
        assert_eq!(answer.body, Some(complete_stream()));
    }
    assert_eq!(count(), RANKS - 1, "one stream for each leaving rank");
    for number in 0..2 {
        last.cut_after.store(3, Ordering::Relaxed);
        let broken = deployment.call("/draft/x/", &format!("u{number}")).await;
        assert_eq!(broken.body, None, "resumed at the rank that broke off");
    }
    assert_eq!(count(), RANKS - 1);
}

/// Guards against leaving out a server because of an answer that is not its own: one to another
/// request, one of another server at its address, or one with an unknown value.
#[tokio::test(flavor = "multi_thread")]
async fn foreign_answers_do_not_count() {
    let deployment = Deployment::start().await;
    let [odd, other] = [0, 1].map(|n| &deployment.site.plain_replicas[n]);
    odd.signals.set_leaving(Some("1"));
    for (status, id) in [
        (StatusCode::MISDIRECTED_REQUEST, "v1"),
        (StatusCode::OK, "another"),
    ] {
        odd.signals.set_rejection(Some((status, id)));
        let before = odd.signals.arrivals().len();
        let started = Instant::now();
        while odd.signals.arrivals().len() == before {
            assert!(started.elapsed() < EVENT_TIMEOUT, "the server is left out");
            deployment.call("/stock/x/", "v1").await;
        }
    }
    odd.signals.set_rejection(None);
    odd.signals.set_leaving(Some("yes"));
    other.overloaded.store(true, Ordering::Relaxed);
    let answer = deployment.call("/stock/x/", "v2").await;
    assert_eq!(answer.status, Some(StatusCode::OK));
    deployment
        .wait_for_metric("siskinbend_ignored_headers_total{header=\"server-leaving\"} 1")
        .await;
}
