//! Tests that kill an entry while requests are in flight.

use serde_json::json;

use crate::util::Backend;
use crate::util::PlainCluster;
use crate::util::TestEnv;
use crate::util::build_booking;
use crate::util::build_draft;
use crate::util::build_post;
use crate::util::read_outcome;
use crate::util::send;
use crate::util::spawn;
use crate::util::wait_for;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn repeat_through_other_entry_gets_answer_of_first_run() {
    // Guards against running a booking twice: the claim row must refer a repeated request to the
    // run that the killed entry has started.
    let mut cluster = PlainCluster::start().await;
    cluster.set_hold(true).await;
    let booking = spawn(build_booking(&cluster.entries[0], "e-1", "k-1"));
    let busy = cluster.find_busy().await;
    cluster.entries[0].kill();
    let lost = booking.await.expect("the caller runs");
    assert!(!lost.complete, "{:?}", read_outcome(&lost));
    let repeat_in_progress = send(build_booking(&cluster.entries[1], "e-1", "k-1")).await;
    let expected = (409, "unknown".to_owned(), "in_progress".to_owned());
    assert_eq!(read_outcome(&repeat_in_progress), expected);
    cluster.set_hold(false).await;
    wait_for("the end of the booking", async || {
        let counts = cluster.backends[busy].read_counts().await;
        (counts.finished == 1).then_some(())
    })
    .await;
    let answer = wait_for("the answer of the booking", async || {
        let answer = send(build_booking(&cluster.entries[1], "e-1", "k-1")).await;
        answer.is_good().then_some(answer)
    })
    .await;
    let again = send(build_booking(&cluster.entries[1], "e-1", "k-1")).await;
    assert_eq!(again.tail, answer.tail);
    assert_eq!(cluster.count_runs("e-1").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agent_cancels_idempotent_stream_of_killed_entry() {
    // Guards against a stream that keeps its slot although its entry is gone and nobody reads it.
    let env = TestEnv::start().await;
    let engine = Backend::start_engine("engine-1");
    let agent = env.start_agent("agent-1", "pool", &engine);
    let mut entry = env.start_entry("entry-1", &[agent.listen]);
    entry.wait_usable(1).await;
    let stream = spawn(build_draft(&entry, 100_000));
    engine.wait_started(1).await;
    entry.kill();
    assert!(!stream.await.expect("the caller runs").complete);
    wait_for("the cancel of the stream", async || {
        (engine.read_counts().await.cancelled == 1).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agent_cancels_idempotent_call_of_killed_entry_before_first_byte() {
    // The backend server has not responded yet, so the agent can't detect the loss of the entry by
    // a failed write and must watch the connection.
    let mut cluster = PlainCluster::start().await;
    cluster.set_hold(true).await;
    let quote = spawn(build_post(
        &cluster.entries[0],
        "desk/quotes",
        json!({"ref": "q"}),
    ));
    let busy = cluster.find_busy().await;
    cluster.entries[0].kill();
    assert!(!quote.await.expect("the caller runs").complete);
    wait_for("the cancel of the work", async || {
        (cluster.backends[busy].read_counts().await.cancelled == 1).then_some(())
    })
    .await;
}
