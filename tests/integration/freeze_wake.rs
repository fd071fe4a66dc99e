//! Tests of a process that is suspended and later resumed, as with SIGSTOP and SIGCONT.

use serde_json::json;

use crate::util::PlainCluster;
use crate::util::build_booking;
use crate::util::build_lookup;
use crate::util::build_post;
use crate::util::read;
use crate::util::read_executions;
use crate::util::read_outcome;
use crate::util::send;
use crate::util::spawn;
use crate::util::wait_for;

/// Bookings sent while an agent is stopped.
const BOOKINGS: usize = 12;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lookups_go_elsewhere_while_an_agent_is_stopped() {
    // A stopped agent may delay calls for a bounded time but must not make them fail.
    let cluster = PlainCluster::start().await;
    cluster.agents[0].signal("STOP");
    let lookups: Vec<_> = (0..8)
        .map(|_| spawn(build_lookup(&cluster.entries[0])))
        .collect();
    for lookup in lookups {
        let answer = lookup.await.expect("the call ends without a panic");
        assert!(answer.is_good(), "{:?}", read_outcome(&answer));
    }
    cluster.entries[0].wait_usable(1).await;
    cluster.agents[0].signal("CONT");
    cluster.entries[0].wait_usable(2).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bookings_of_a_stopped_agent_run_at_most_once_after_it_resumes() {
    // Dispatches stay in the socket buffer of a stopped agent. Those that the entry has given up or
    // retried elsewhere must not run when the agent resumes.
    let cluster = PlainCluster::start().await;
    cluster.agents[0].signal("STOP");
    let name = |n: usize| format!("f-{n}");
    let first: Vec<_> = (0..BOOKINGS)
        .map(|n| spawn(build_booking(&cluster.entries[0], &name(n), &name(n))))
        .collect();
    let mut outcomes = Vec::new();
    for booking in first {
        outcomes.push(booking.await.expect("the call ends without a panic"));
    }
    cluster.agents[0].signal("CONT");
    cluster.entries[0].wait_usable(2).await;
    cluster.entries[1].wait_usable(2).await;
    for (n, outcome) in outcomes.iter().enumerate() {
        let repeat = send(build_booking(&cluster.entries[1], &name(n), &name(n))).await;
        let runs = cluster.count_runs(&name(n)).await;
        assert!(runs <= 1, "{} ran {runs} times", name(n));
        if outcome.is_good() {
            assert_eq!(repeat.tail, outcome.tail);
        }
        if repeat.is_good() {
            assert_eq!(read_executions(&repeat), 1);
            assert_eq!(runs, 1, "{}", name(n));
        }
        if read_outcome(&repeat).1 == "not_run" {
            assert_eq!(runs, 0, "{} was reported as not run", name(n));
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_of_an_agent_stopped_while_it_runs_is_not_started_again() {
    // The booking started before the stop; neither resuming the agent nor a repeat may start it
    // again.
    let cluster = PlainCluster::start().await;
    cluster.set_hold(true).await;
    let booking = spawn(build_booking(&cluster.entries[0], "f-run", "f-run"));
    let busy = cluster.find_busy().await;
    cluster.agents[busy].signal("STOP");
    let answer = booking.await.expect("the call ends without a panic");
    assert_eq!(
        read_outcome(&answer).1,
        "unknown",
        "{:?}",
        read_outcome(&answer)
    );
    cluster.set_hold(false).await;
    let early_repeat = send(build_booking(&cluster.entries[1], "f-run", "f-run")).await;
    assert_eq!(
        read_outcome(&early_repeat).1,
        "unknown",
        "{:?}",
        read_outcome(&early_repeat)
    );
    cluster.agents[busy].signal("CONT");
    cluster.entries[1].wait_usable(2).await;
    let repeat = wait_for("the answer stored by the agent", async || {
        let answer = send(build_booking(&cluster.entries[1], "f-run", "f-run")).await;
        answer.is_good().then_some(answer)
    })
    .await;
    assert_eq!(read_executions(&repeat), 1);
    assert_eq!(cluster.count_runs("f-run").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_stopped_between_claim_and_dispatch_does_not_run_the_booking_again() {
    // A repeat takes over the claim while the first entry is stopped. The dispatch that the first
    // entry sends after it resumes must be refused because of the tombstone.
    let cluster = PlainCluster::start().await;
    let slow = json!({"target": "table", "delay_ms": 1_000});
    cluster.env.set_faults(slow).await;
    let first = spawn(build_booking(&cluster.entries[0], "f-claim", "f-claim"));
    wait_for("the booking at the entry", async || {
        let metrics = cluster.entries[0].read_metrics().await;
        metrics.contains("siskinbend_inflight 1").then_some(())
    })
    .await;
    cluster.entries[0].signal("STOP");
    wait_for("the claim in the table", async || {
        let counts: siskinbend_standins::platform::Counts =
            read(cluster.env.platform, "/counts").await;
        (counts.table.writes == 1).then_some(())
    })
    .await;
    assert_eq!(cluster.count_runs("f-claim").await, 0);
    cluster.env.set_faults(json!({"target": "table"})).await;
    let repeat = send(build_booking(&cluster.entries[1], "f-claim", "f-claim")).await;
    assert_eq!(read_executions(&repeat), 1);
    cluster.entries[0].signal("CONT");
    let late = first.await.expect("the call ends without a panic");
    if late.is_good() {
        assert_eq!(late.tail, repeat.tail);
    } else {
        assert_eq!(
            read_outcome(&late).1,
            "unknown",
            "{:?}",
            read_outcome(&late)
        );
    }
    assert_eq!(cluster.count_runs("f-claim").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn restarted_agent_refuses_dispatches_to_its_predecessor() {
    // A dispatch meant for the killed process must not run in the new one at the same address.
    let mut cluster = PlainCluster::start().await;
    cluster.set_hold(true).await;
    let booking = spawn(build_booking(&cluster.entries[0], "f-new", "f-new"));
    let busy = cluster.find_busy().await;
    let listen = cluster.agents[busy].listen;
    cluster.agents[busy].kill();
    let name = format!("agent-{}", busy + 1);
    cluster.agents[busy] =
        cluster
            .env
            .start_agent_at(&name, "desk", &cluster.backends[busy], listen);
    let answer = booking.await.expect("the call ends without a panic");
    assert_eq!(
        read_outcome(&answer).1,
        "unknown",
        "{:?}",
        read_outcome(&answer)
    );
    cluster.set_hold(false).await;
    cluster.entries[1].wait_usable(2).await;
    let repeat = send(build_booking(&cluster.entries[1], "f-new", "f-new")).await;
    assert_eq!(
        read_outcome(&repeat).1,
        "unknown",
        "{:?}",
        read_outcome(&repeat)
    );
    assert_eq!(cluster.count_runs("f-new").await, 1);
    let quote = send(build_post(
        &cluster.entries[1],
        "desk/quotes",
        json!({"ref": "q"}),
    ))
    .await;
    assert!(quote.is_good(), "{:?}", read_outcome(&quote));
}
