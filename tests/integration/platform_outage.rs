//! Tests of platform services that are down or slow or lose answers while requests run.

use serde_json::json;
use siskinbend_standins::platform::Counts;

use crate::util::PlainCluster;
use crate::util::Process;
use crate::util::build_booking;
use crate::util::build_lookup;
use crate::util::build_post;
use crate::util::build_unkeyed_booking;
use crate::util::read;
use crate::util::read_executions;
use crate::util::read_outcome;
use crate::util::send;
use crate::util::spawn;
use crate::util::wait_for;
use crate::util::with_header;

fn build_return(entry: &Process, reference: &str) -> siskinbend_standins::client::Call {
    let call = build_post(entry, "desk/returns", json!({"ref": reference}));
    with_header(call, "idempotency-key", reference)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keyed_booking_is_refused_while_the_table_is_down() {
    // Without a claim, a repeat could run the booking again, so it must not be dispatched.
    let cluster = PlainCluster::start().await;
    let down = json!({"target": "table", "down": true});
    cluster.env.set_faults(down).await;
    let answer = send(build_booking(&cluster.entries[0], "p-1", "p-1")).await;
    let expected = (503, "not_run".to_owned(), "store_unavailable".to_owned());
    assert_eq!(read_outcome(&answer), expected);
    assert_eq!(cluster.count_runs("p-1").await, 0);
    cluster.env.set_faults(json!({"target": "table"})).await;
    let answer = wait_for("the booking after the outage", async || {
        let answer = send(build_booking(&cluster.entries[0], "p-1", "p-1")).await;
        answer.is_good().then_some(answer)
    })
    .await;
    assert_eq!(read_executions(&answer), 1);
    assert_eq!(cluster.count_runs("p-1").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_requests_go_on_while_the_platform_is_down() {
    // Only calls with an idempotency key depend on the platform.
    let cluster = PlainCluster::start().await;
    for target in ["table", "objects", "vms"] {
        let down = json!({"target": target, "down": true});
        cluster.env.set_faults(down).await;
    }
    for n in 0..5 {
        assert!(send(build_lookup(&cluster.entries[n % 2])).await.is_good());
        let reference = format!("p-2-{n}");
        let booking = send(build_unkeyed_booking(&cluster.entries[n % 2], &reference)).await;
        assert_eq!(read_executions(&booking), 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn route_that_runs_on_outage_runs_without_a_claim() {
    // The document allows calls of this route to run without a claim, so they must not be refused.
    let cluster = PlainCluster::start().await;
    let down = json!({"target": "table", "down": true});
    cluster.env.set_faults(down).await;
    let answer = send(build_return(&cluster.entries[0], "p-3")).await;
    assert_eq!(read_executions(&answer), 1);
    assert_eq!(cluster.count_runs("p-3").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn route_that_runs_on_outage_uses_its_claim_otherwise() {
    // The permission to run without a claim must not apply while the table answers.
    let cluster = PlainCluster::start().await;
    let first = send(build_return(&cluster.entries[0], "p-4")).await;
    let second = send(build_return(&cluster.entries[1], "p-4")).await;
    assert_eq!(read_executions(&first), 1);
    assert_eq!(second.tail, first.tail);
    assert_eq!(cluster.count_runs("p-4").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn booking_runs_once_though_answers_of_the_table_are_lost() {
    // If the answer to a claim is lost, the claim must be read back; a second claim would run the
    // booking twice.
    let cluster = PlainCluster::start().await;
    let lost = json!({"target": "table", "lose_answers": true});
    cluster.env.set_faults(lost).await;
    let bookings: Vec<_> = (0..3)
        .map(|n| {
            spawn(build_booking(
                &cluster.entries[0],
                &format!("p-5-{n}"),
                &format!("p-5-{n}"),
            ))
        })
        .collect();
    for (n, booking) in bookings.into_iter().enumerate() {
        let answer = booking.await.expect("the call ends without a panic");
        let runs = cluster.count_runs(&format!("p-5-{n}")).await;
        if answer.is_good() {
            assert_eq!(runs, 1);
        } else {
            let expected = (503, "not_run".to_owned(), "store_unavailable".to_owned());
            assert_eq!(read_outcome(&answer), expected);
            assert_eq!(runs, 0);
        }
    }
    cluster.env.set_faults(json!({"target": "table"})).await;
    for n in 0..3 {
        let name = format!("p-5-{n}");
        let answer = wait_for("the repeat after the fault", async || {
            let answer = send(build_booking(&cluster.entries[1], &name, &name)).await;
            answer.is_good().then_some(answer)
        })
        .await;
        assert_eq!(read_executions(&answer), 1);
        assert_eq!(cluster.count_runs(&name).await, 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_entries_with_a_slow_table_run_one_booking_once() {
    // Both entries write the claim at the same time; only one of them may succeed.
    let cluster = PlainCluster::start().await;
    let slow = json!({"target": "table", "delay_ms": 300});
    cluster.env.set_faults(slow).await;
    let both = [0, 1].map(|n| spawn(build_booking(&cluster.entries[n], "p-6", "p-6")));
    for booking in both {
        let answer = booking.await.expect("the call ends without a panic");
        assert_ne!(
            read_outcome(&answer).1,
            "not_run",
            "{:?}",
            read_outcome(&answer)
        );
    }
    cluster.env.set_faults(json!({"target": "table"})).await;
    let answer = wait_for("the answer of the booking", async || {
        let answer = send(build_booking(&cluster.entries[0], "p-6", "p-6")).await;
        answer.is_good().then_some(answer)
    })
    .await;
    assert_eq!(read_executions(&answer), 1);
    assert_eq!(cluster.count_runs("p-6").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn table_that_fails_while_a_booking_runs_does_not_lose_its_answer() {
    // The answer cannot be stored in the table; a repeat must get it from the agent.
    let cluster = PlainCluster::start().await;
    cluster.set_hold(true).await;
    let booking = spawn(build_booking(&cluster.entries[0], "p-7", "p-7"));
    cluster.find_busy().await;
    let down = json!({"target": "table", "down": true});
    cluster.env.set_faults(down).await;
    cluster.set_hold(false).await;
    let answer = booking.await.expect("the call ends without a panic");
    assert_eq!(read_executions(&answer), 1);
    cluster.env.set_faults(json!({"target": "table"})).await;
    let repeat = wait_for("the repeat after the outage", async || {
        let answer = send(build_booking(&cluster.entries[1], "p-7", "p-7")).await;
        answer.is_good().then_some(answer)
    })
    .await;
    assert_eq!(repeat.tail, answer.tail);
    assert_eq!(cluster.count_runs("p-7").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unkeyed_booking_needs_no_table() {
    // The table supports a few hundred writes per second; calls without a key must not use it.
    let cluster = PlainCluster::start().await;
    let before: Counts = read(cluster.env.platform, "/counts").await;
    for n in 0..5 {
        let booking = send(build_unkeyed_booking(
            &cluster.entries[0],
            &format!("p-8-{n}"),
        ))
        .await;
        assert_eq!(read_executions(&booking), 1);
    }
    let after: Counts = read(cluster.env.platform, "/counts").await;
    assert_eq!(after.table.writes, before.table.writes);
    assert_eq!(after.table.reads, before.table.reads);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn table_slower_than_the_deadline_delays_no_answer_and_runs_nothing() {
    // A call that waits for its claim must still end at its deadline, and a claim that succeeds
    // later must not lead to a dispatch.
    let cluster = PlainCluster::start().await;
    let slow = json!({"target": "table", "delay_ms": 1_500});
    cluster.env.set_faults(slow).await;
    let call = build_booking(&cluster.entries[0], "p-9", "p-9");
    let answer = send(with_header(call, "siskinbend-deadline-ms", "300")).await;
    let expected = (504, "not_run".to_owned(), "deadline".to_owned());
    assert_eq!(read_outcome(&answer), expected);
    let counts: Counts = read(cluster.env.platform, "/counts").await;
    assert_eq!(counts.table.writes, 0, "the answer waited for the table");
    cluster.env.set_faults(json!({"target": "table"})).await;
    let repeat = send(build_booking(&cluster.entries[1], "p-9", "p-9")).await;
    assert_eq!(read_executions(&repeat), 1);
    assert_eq!(cluster.count_runs("p-9").await, 1);
}
