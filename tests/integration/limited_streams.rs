//! A gateway whose streams reach the concurrency limit.

use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use http::StatusCode;
use siskinbend_standins::site::check::Answer;
use siskinbend_standins::site::check::Caller;
use siskinbend_standins::site::check::complete_stream;

use crate::deployment::Deployment;

/// Delay of first events, beyond the goal of 400 ms.
const DELAY_MS: u32 = 700;
/// Streams sent at once.
const BURST: usize = 60;
/// Time within which a refusal must arrive: a quarter of the goal, and what a busy machine adds.
const REFUSAL_TIME: Duration = Duration::from_millis(600);

/// Sends streams at once and returns their ids, answers and times.
async fn send_burst(deployment: &Deployment, name: &str) -> Vec<(String, Answer, Duration)> {
    let send = |n| async move {
        let id = format!("{name}{n}");
        let started = Instant::now();
        let answer = deployment.call("/draft/x/", &id).await;
        (id, answer, started.elapsed())
    };
    join_all((0..BURST).map(send)).await
}

/// Guards against a refused stream that was run, comes late or names no time to come back, against
/// a stream that waits for ever, and against a place that is not returned.
#[tokio::test(flavor = "multi_thread")]
async fn excess_streams_are_refused_in_time() {
    let deployment = Deployment::start().await;
    let set_delay = |ms| {
        for replica in &deployment.site.model_replicas {
            replica.delay_ms.store(ms, Ordering::Relaxed);
        }
    };
    set_delay(DELAY_MS);
    for (_, answer, _) in send_burst(&deployment, "a").await {
        assert_eq!(answer.status, Some(StatusCode::OK), "there is no limit yet");
    }
    let mut refused = 0;
    for (id, answer, took) in send_burst(&deployment, "b").await {
        if answer.status == Some(StatusCode::OK) {
            assert_eq!(answer.body, Some(complete_stream()), "{id}");
            continue;
        }
        refused += 1;
        assert_eq!(answer.status, Some(StatusCode::TOO_MANY_REQUESTS), "{id}");
        assert_eq!(deployment.count_runs(&id), 0, "{id}");
        assert!(
            answer.after.is_some_and(|after| after >= 0.15),
            "{answer:?}"
        );
        assert!(took <= REFUSAL_TIME, "{id} was refused after {took:?}");
    }
    assert!((1..BURST).contains(&refused), "{refused} refused");
    set_delay(0);
    let last = deployment.call("/draft/x/", "c").await;
    assert_eq!(
        last.status,
        Some(StatusCode::OK),
        "all places are free again"
    );
    let page = Caller::default()
        .call(deployment.metrics, "/metrics", "m")
        .await;
    let page = page.body.expect("the metrics");
    assert!(
        page.contains("siskinbend_waiting_requests{service=\"drafts\"} 0"),
        "{page}"
    );
    assert!(
        page.contains("siskinbend_streams{service=\"drafts\"} 0"),
        "{page}"
    );
}
