//! Backend servers that ask for a pause.

use std::time::Duration;
use std::time::Instant;

use http::StatusCode;

use crate::deployment::Deployment;
use crate::leaving_servers::send_all;

/// Pause that servers ask for, in the form of the header and as a duration.
const PAUSE: (&str, Duration) = ("2.5", Duration::from_millis(2_500));
/// Time after the first answer with a pause from which it holds.
const ADAPTATION_TIME: Duration = Duration::from_millis(500);
/// Most requests that may reach a server in its pause.
const MAX_REQUESTS: usize = 2;

/// Guards against requests in a pause from any of several callers, as new attempts, retries or
/// streams; against refusing what others can take; and against a pause that never ends.
#[tokio::test(flavor = "multi_thread")]
async fn pause_holds_under_load() {
    let deployment = Deployment::start().await;
    let failed = send_all(&deployment, Instant::now() + ADAPTATION_TIME).await;
    assert_eq!(failed.len(), 0);
    let site = &deployment.site;
    let paused = [&site.plain_replicas[0], &site.model_replicas[0]];
    for replica in paused {
        assert!(!replica.signals.arrivals().is_empty(), "an idle server");
        replica.signals.set_pause(Some(PAUSE.0));
    }
    let asked = Instant::now();
    let failed = send_all(&deployment, asked + 2 * PAUSE.1).await;
    // Rejected requests may be repeated on some routes only.
    let late = failed.iter().filter(|at| **at > asked + ADAPTATION_TIME);
    let by_pause = late.filter(|at| **at < asked + PAUSE.1);
    assert_eq!(by_pause.count(), 0, "refused although a server is left");
    for replica in paused {
        let arrivals = replica.signals.arrivals();
        let first = arrivals.iter().find(|at| **at >= asked);
        let first = *first.expect("a request that the server rejects");
        let is_in_pause = |at: &&Instant| (ADAPTATION_TIME..PAUSE.1).contains(&(**at - first));
        let in_pause = arrivals
            .iter()
            .filter(|at| **at >= first)
            .filter(is_in_pause);
        assert!(in_pause.count() <= MAX_REQUESTS, "{}", replica.id);
        let later = arrivals.iter().filter(|at| **at > first + PAUSE.1);
        assert!(later.count() > 0, "{} gets no requests again", replica.id);
    }
}

/// Guards against callers that wait or are told a wrong time if all servers pause.
#[tokio::test(flavor = "multi_thread")]
async fn callers_return_after_pause() {
    let deployment = Deployment::start().await;
    for replica in &deployment.site.plain_replicas {
        replica.signals.set_pause(Some(PAUSE.0));
    }
    let asked = Instant::now();
    deployment.call("/stock/x/", "a").await;
    for replica in &deployment.site.plain_replicas {
        assert_eq!(replica.signals.arrivals().len(), 1);
        replica.signals.set_pause(None);
    }
    let refused = deployment.call("/stock/x/", "b").await;
    assert_eq!(refused.status, Some(StatusCode::SERVICE_UNAVAILABLE));
    let body = refused.body.expect("a problem document");
    assert!(body.contains("\"servers_paused\""), "{body}");
    let after = Duration::from_secs_f64(refused.after.expect("a time to come back"));
    let end = asked.elapsed() + after;
    assert!(end >= PAUSE.1, "told to come back after {end:?}");
    assert!(after <= PAUSE.1);
    tokio::time::sleep(after).await;
    let answer = deployment.call("/stock/x/", "c").await;
    assert_eq!(answer.status, Some(StatusCode::OK));
}

/// Guards against pausing a server because of a value that is not a number of seconds.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_pause_is_counted() {
    let deployment = Deployment::start().await;
    for replica in &deployment.site.plain_replicas {
        replica.signals.set_pause(Some("-3"));
    }
    deployment.call("/stock/x/", "a").await;
    deployment
        .wait_for_metric("siskinbend_ignored_headers_total{header=\"retry-after\"} 2")
        .await;
    deployment
        .wait_for_metric("siskinbend_paused_servers 0")
        .await;
    for replica in &deployment.site.plain_replicas {
        replica.signals.set_pause(None);
    }
    let answer = deployment.call("/stock/x/", "b").await;
    assert_eq!(answer.status, Some(StatusCode::OK));
}
