//! Tests of an agent or a backend server that is killed while it runs a request.

use http::Request;
use http::Version;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::json;

use crate::util::Backend;
use crate::util::PlainCluster;
use crate::util::TEST_TIMEOUT;
use crate::util::TestEnv;
use crate::util::build_booking;
use crate::util::build_draft;
use crate::util::build_lookup;
use crate::util::build_post;
use crate::util::build_unkeyed_booking;
use crate::util::read_executions;
use crate::util::read_outcome;
use crate::util::send;
use crate::util::spawn;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn booking_of_killed_agent_is_unknown_and_never_repeated() {
    // If the entry retried the booking at another agent, or a repeat of it ran again, it would be
    // billed twice.
    let mut cluster = PlainCluster::start().await;
    cluster.set_hold(true).await;
    let booking = spawn(build_booking(&cluster.entries[0], "b-1", "k-1"));
    let busy = cluster.find_busy().await;
    cluster.agents[busy].kill();
    let answer = booking.await.expect("the call ends without a panic");
    assert_eq!(
        read_outcome(&answer).1,
        "unknown",
        "{:?}",
        read_outcome(&answer)
    );
    cluster.set_hold(false).await;
    let repeat = send(build_booking(&cluster.entries[1], "b-1", "k-1")).await;
    assert_eq!(
        read_outcome(&repeat).1,
        "unknown",
        "{:?}",
        read_outcome(&repeat)
    );
    assert_eq!(cluster.count_runs("b-1").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_work_of_killed_agent_runs_elsewhere() {
    // An idempotent call must be retried at another replica without an error for its caller.
    let mut cluster = PlainCluster::start().await;
    cluster.set_hold(true).await;
    let quote = spawn(build_post(
        &cluster.entries[0],
        "desk/quotes",
        json!({"ref": "q-1"}),
    ));
    let busy = cluster.find_busy().await;
    cluster.backends[1 - busy].set_hold(false).await;
    cluster.agents[busy].kill();
    let answer = quote.await.expect("the call ends without a panic");
    assert!(answer.is_good(), "{:?}", read_outcome(&answer));
    assert_eq!(cluster.backends[1 - busy].count_runs("q-1").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_of_killed_agent_does_not_end_cleanly() {
    // A caller takes a stream that ends cleanly for a complete answer, even if events are missing.
    let env = TestEnv::start().await;
    let engine = Backend::start_engine("engine-1");
    let mut agent = env.start_agent("agent-1", "pool", &engine);
    let entry = env.start_entry("entry-1", &[agent.listen]);
    entry.wait_usable(1).await;
    let mut call = build_draft(&entry, 100_000);
    // Turns off the check for the last event, so that only the end of the body is checked.
    call.stream = false;
    let stream = spawn(call);
    entry.wait_head().await;
    agent.kill();
    let answer = stream.await.expect("the call ends without a panic");
    assert_eq!(answer.status, 200);
    assert!(!answer.complete, "the body ended cleanly");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_stream_of_killed_agent_is_reset() {
    // HTTP/2 has no chunked encoding; only a reset shows the caller that the answer is incomplete.
    let env = TestEnv::start().await;
    let engine = Backend::start_engine("engine-1");
    let mut agent = env.start_agent("agent-1", "pool", &engine);
    let entry = env.start_entry("entry-1", &[agent.listen]);
    entry.wait_usable(1).await;
    let call = build_draft(&entry, 100_000);
    let mut request = Request::new(Full::new(call.body));
    *request.method_mut() = call.method;
    *request.uri_mut() = call.uri;
    *request.headers_mut() = call.headers;
    *request.version_mut() = Version::HTTP_2;
    let client = Client::builder(TokioExecutor::new())
        .http2_only(true)
        .build_http();
    let mut answer = client.request(request).await.expect("the head arrives");
    assert_eq!(answer.status(), 200);
    agent.kill();
    let read = async {
        while let Some(frame) = answer.frame().await {
            frame?;
        }
        Ok::<_, hyper::Error>(())
    };
    let ended = tokio::time::timeout(TEST_TIMEOUT, read).await;
    let ended = ended.expect("the stream ends");
    assert!(ended.is_err(), "the stream ended cleanly");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_backend_server_leaves_booking_unknown() {
    // A booking that was running when its backend server was killed may have taken effect.
    let mut cluster = PlainCluster::start().await;
    cluster.set_hold(true).await;
    let booking = spawn(build_booking(&cluster.entries[0], "b-2", "k-2"));
    let busy = cluster.find_busy().await;
    cluster.backends[busy].kill();
    let answer = booking.await.expect("the call ends without a panic");
    let expected = (502, "unknown".to_owned(), "backend_failed".to_owned());
    assert_eq!(read_outcome(&answer), expected);
    cluster.backends[1 - busy].set_hold(false).await;
    let repeat = send(build_booking(&cluster.entries[1], "b-2", "k-2")).await;
    assert_eq!(
        read_outcome(&repeat).1,
        "unknown",
        "{:?}",
        read_outcome(&repeat)
    );
    assert_eq!(cluster.backends[1 - busy].count_runs("b-2").await, 0);
    let lookup = send(build_lookup(&cluster.entries[0])).await;
    assert!(lookup.is_good(), "{:?}", read_outcome(&lookup));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replaced_backend_server_takes_work_under_the_same_address() {
    // An agent that reused a dead connection, or counted lost calls as running, would remain
    // unusable.
    let env = TestEnv::start().await;
    let mut first = Backend::start_plain("plain-1");
    let agent = env.start_agent("agent-1", "desk", &first);
    let entry = env.start_entry("entry-1", &[agent.listen]);
    entry.wait_usable(1).await;
    assert_eq!(
        read_executions(&send(build_unkeyed_booking(&entry, "b-3")).await),
        1
    );
    let address = first.address;
    first.kill();
    let second = crate::util::wait_for("the address is free again", async || {
        std::net::TcpListener::bind(address).is_ok().then_some(())
    });
    second.await;
    let second = Backend::start_plain_at("plain-2", address);
    let answer = crate::util::wait_for("an answer of the new backend server", async || {
        let answer = send(build_lookup(&entry)).await;
        answer.is_good().then_some(answer)
    });
    assert!(String::from_utf8_lossy(&answer.await.tail).contains("plain-2"));
    assert_eq!(
        read_executions(&send(build_unkeyed_booking(&entry, "b-4")).await),
        1
    );
    assert_eq!(second.count_runs("b-4").await, 1);
}
