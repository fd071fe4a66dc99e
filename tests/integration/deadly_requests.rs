//! One request that crashes each replica that runs it, and that callers send again.

use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use siskinbend_standins::site::Site;
use siskinbend_standins::site::check::Answer;
use siskinbend_standins::site::check::Caller;
use siskinbend_standins::site::check::complete_stream;

use crate::deployment::Deployment;
use crate::deployment::Gateway;

/// Crashes after which the request may no longer reach replicas.
const MAX_CRASHES: u32 = 3;
/// Time that gateways have to agree on the request.
const AGREEMENT_TIME: Duration = Duration::from_secs(3);
/// Times that the request may still reach replicas afterwards.
const MAX_LATE_ARRIVALS: usize = 3;
/// Times that callers send the request afterwards.
const LATE_REQUESTS: u32 = 10;
/// Pause after a crash, longer than a replica takes to restart.
const PAUSE: Duration = Duration::from_millis(700);
/// Prompt without a part that other requests share.
const OWN_PROMPT: &str = "own:600";
/// Prompt of which other requests share the first part.
const SHARED_PROMPT: &str = "shared:40,own:600";
/// End of the path of the request that crashes replicas.
const DEADLY_PATH: &str = "/deadly/";

fn count_crashes(site: &Site) -> u32 {
    let replicas = site.model_replicas.iter().chain(&site.plain_replicas);
    replicas.map(|r| r.crashes.load(Ordering::Relaxed)).sum()
}

fn count_arrivals(site: &Site) -> usize {
    let replicas = site.model_replicas.iter().chain(&site.plain_replicas);
    replicas.map(|r| r.crash_requests().len()).sum()
}

/// Lets every replica crash on the request.
fn crash_on_request(site: &Site) {
    for replica in site.model_replicas.iter().chain(&site.plain_replicas) {
        *replica.crash_path.lock().expect("the lock") = Some(DEADLY_PATH.to_owned());
    }
}

/// Sends the request under a new id, and waits until replicas are back.
async fn send_deadly(gateway: &Gateway, path: &str, prompt: &str, number: u32) -> Answer {
    let id = format!("d{number}");
    let caller = Caller::default();
    let answer = caller.call_with_prompt(gateway.callers, path, &id, prompt);
    let answer = answer.await;
    tokio::time::sleep(PAUSE).await;
    answer
}

/// Sends the request to two gateways in turn until it has crashed replicas often enough, and then
/// more often.
async fn check_kind(path: &str) {
    let deployment = Deployment::start().await;
    let site = &deployment.site;
    let gateways = [Gateway::start(site, 1).await, Gateway::start(site, 2).await];
    crash_on_request(site);
    let mut number = 0;
    while count_crashes(site) < MAX_CRASHES && number < LATE_REQUESTS {
        send_deadly(&gateways[number as usize % 2], path, OWN_PROMPT, number).await;
        number += 1;
    }
    tokio::time::sleep(AGREEMENT_TIME).await;
    let arrivals = count_arrivals(site);
    for late in 0..LATE_REQUESTS {
        let before = count_arrivals(site);
        let gateway = &gateways[late as usize % 2];
        let status = send_deadly(gateway, path, OWN_PROMPT, number + late)
            .await
            .status;
        if count_arrivals(site) == before {
            assert_eq!(status, Some(StatusCode::SERVICE_UNAVAILABLE));
        }
    }
    let late = count_arrivals(site) - arrivals;
    assert!(late <= MAX_LATE_ARRIVALS, "{late} late arrivals at {path}");
    assert!(count_crashes(site) > 0, "nothing crashed");
}

/// Guards against a stream that crashes one replica after the other.
#[tokio::test(flavor = "multi_thread")]
async fn deadly_stream_is_stopped() {
    check_kind("/draft/deadly/").await;
}

/// Guards against a booking that crashes one replica after the other.
#[tokio::test(flavor = "multi_thread")]
async fn deadly_booking_is_stopped() {
    check_kind("/book/deadly/").await;
}

/// Guards against a lookup that crashes one replica after the other.
#[tokio::test(flavor = "multi_thread")]
async fn deadly_lookup_is_stopped() {
    check_kind("/stock/deadly/").await;
}

/// Guards against sending a request that may be repeated to the next replica before it is known that
/// the first one has crashed.
#[tokio::test(flavor = "multi_thread")]
async fn retry_waits_for_the_check() {
    let deployment = Deployment::start().await;
    let gateway = Gateway::start(&deployment.site, 1).await;
    crash_on_request(&deployment.site);
    let answer = send_deadly(&gateway, "/stock/deadly/", OWN_PROMPT, 0).await;
    assert_eq!(count_arrivals(&deployment.site), 1);
    assert_eq!(answer.seal, None, "{answer:?}");
}

/// Guards against refusing sound requests because they share a part of their prompt with the one that
/// crashes replicas.
#[tokio::test(flavor = "multi_thread")]
async fn sound_requests_are_served() {
    let deployment = Deployment::start().await;
    let site = &deployment.site;
    let gateway = Gateway::start(site, 1).await;
    crash_on_request(site);
    for number in 0..2 * MAX_CRASHES {
        send_deadly(&gateway, "/draft/deadly/", SHARED_PROMPT, number).await;
    }
    let caller = Caller::default();
    for number in 0..LATE_REQUESTS {
        let (path, id) = (format!("/draft/sound{number}/"), format!("s{number}"));
        let answer = caller.call_with_prompt(gateway.callers, &path, &id, SHARED_PROMPT);
        assert_eq!(answer.await.body, Some(complete_stream()), "{id}");
    }
}
