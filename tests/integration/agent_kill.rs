//! An agent or its backend server dies while it works.

use http::Request;
use http::Version;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::json;

use crate::util::Backend;
use crate::util::Desk;
use crate::util::LIMIT;
use crate::util::Site;
use crate::util::book;
use crate::util::book_unkeyed;
use crate::util::draft;
use crate::util::judge;
use crate::util::look_up;
use crate::util::post;
use crate::util::read_executions;
use crate::util::send;
use crate::util::spawn;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn booking_of_killed_agent_is_unknown_and_never_repeated() {
    // A booking that the entry tried elsewhere, or that its repeat ran again, bills twice.
    let mut desk = Desk::start().await;
    desk.hold(true).await;
    let booking = spawn(book(&desk.entries[0], "b-1", "k-1"));
    let busy = desk.find_busy().await;
    desk.agents[busy].kill();
    let answer = booking.await.expect("the caller runs");
    assert_eq!(judge(&answer).1, "unknown", "{:?}", judge(&answer));
    desk.hold(false).await;
    let repeat = send(book(&desk.entries[1], "b-1", "k-1")).await;
    assert_eq!(judge(&repeat).1, "unknown", "{:?}", judge(&repeat));
    assert_eq!(desk.count_runs("b-1").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idempotent_work_of_killed_agent_runs_elsewhere() {
    // A caller of a lookup must not see that a replica died.
    let mut desk = Desk::start().await;
    desk.hold(true).await;
    let quote = spawn(post(&desk.entries[0], "desk/quotes", json!({"ref": "q-1"})));
    let busy = desk.find_busy().await;
    desk.backends[1 - busy].hold(false).await;
    desk.agents[busy].kill();
    let answer = quote.await.expect("the caller runs");
    assert!(answer.is_good(), "{:?}", judge(&answer));
    assert_eq!(desk.backends[1 - busy].count_runs("q-1").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_of_killed_agent_does_not_end_cleanly() {
    // A stream that ends cleanly without its last event looks like a complete answer.
    let site = Site::start().await;
    let engine = Backend::start_engine("engine-1");
    let mut agent = site.start_agent("agent-1", "pool", &engine);
    let entry = site.start_entry("entry-1", &[agent.listen]);
    entry.wait_usable(1).await;
    let mut call = draft(&entry, 100_000);
    // Without the check for the last event, only the end of the body itself counts.
    call.stream = false;
    let stream = spawn(call);
    entry.wait_head().await;
    agent.kill();
    let answer = stream.await.expect("the caller runs");
    assert_eq!(answer.status, 200);
    assert!(!answer.complete, "the body ended cleanly");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_stream_of_killed_agent_is_reset() {
    // HTTP/2 has no chunked body; only a reset tells the caller that the answer is cut.
    let site = Site::start().await;
    let engine = Backend::start_engine("engine-1");
    let mut agent = site.start_agent("agent-1", "pool", &engine);
    let entry = site.start_entry("entry-1", &[agent.listen]);
    entry.wait_usable(1).await;
    let call = draft(&entry, 100_000);
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
    let ended = tokio::time::timeout(LIMIT, read).await;
    let ended = ended.expect("the stream ends");
    assert!(ended.is_err(), "the stream ended cleanly");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_backend_server_leaves_booking_unknown() {
    // A booking that had begun when its backend server died may have taken effect.
    let mut desk = Desk::start().await;
    desk.hold(true).await;
    let booking = spawn(book(&desk.entries[0], "b-2", "k-2"));
    let busy = desk.find_busy().await;
    desk.backends[busy].kill();
    let answer = booking.await.expect("the caller runs");
    let expected = (502, "unknown".to_owned(), "backend_failed".to_owned());
    assert_eq!(judge(&answer), expected);
    desk.backends[1 - busy].hold(false).await;
    let repeat = send(book(&desk.entries[1], "b-2", "k-2")).await;
    assert_eq!(judge(&repeat).1, "unknown", "{:?}", judge(&repeat));
    assert_eq!(desk.backends[1 - busy].count_runs("b-2").await, 0);
    let lookup = send(look_up(&desk.entries[0])).await;
    assert!(lookup.is_good(), "{:?}", judge(&lookup));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn replaced_backend_server_takes_work_under_the_same_address() {
    // An agent that kept a dead connection or counted its lost work as running would stay unusable.
    let site = Site::start().await;
    let mut first = Backend::start_plain("plain-1");
    let agent = site.start_agent("agent-1", "desk", &first);
    let entry = site.start_entry("entry-1", &[agent.listen]);
    entry.wait_usable(1).await;
    assert_eq!(read_executions(&send(book_unkeyed(&entry, "b-3")).await), 1);
    let address = first.address;
    first.kill();
    let second = crate::util::wait_for("the address is free again", async || {
        std::net::TcpListener::bind(address).is_ok().then_some(())
    });
    second.await;
    let second = Backend::start_plain_at("plain-2", address);
    let answer = crate::util::wait_for("an answer of the new backend server", async || {
        let answer = send(look_up(&entry)).await;
        answer.is_good().then_some(answer)
    });
    assert!(String::from_utf8_lossy(&answer.await.tail).contains("plain-2"));
    assert_eq!(read_executions(&send(book_unkeyed(&entry, "b-4")).await), 1);
    assert_eq!(second.count_runs("b-4").await, 1);
}
