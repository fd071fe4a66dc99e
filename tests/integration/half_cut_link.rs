//! Tests of a link between entry and agent that loses, delays, reorders or duplicates datagrams.

use std::time::Duration;

use crate::relay::Fault;
use crate::relay::Faults;
use crate::relay::Relay;
use crate::util::Backend;
use crate::util::Process;
use crate::util::TestEnv;
use crate::util::build_booking;
use crate::util::build_draft;
use crate::util::build_lookup;
use crate::util::build_unkeyed_booking;
use crate::util::read_executions;
use crate::util::read_outcome;
use crate::util::send;
use crate::util::spawn;
use crate::util::wait_for;

const BLOCKED: Fault = Fault {
    blocked: true,
    delay: Duration::ZERO,
    duplicate_every: 0,
    reorder_every: 0,
    reorder_delay: Duration::ZERO,
    drop_every: 0,
};

/// One agent and two entries: one entry reaches the agent over a relay, the other directly.
struct TestLink {
    backend: Backend,
    relay: Relay,
    direct_entry: Process,
    relayed_entry: Process,
    _agent: Process,
    _env: TestEnv,
}

impl TestLink {
    async fn start() -> Self {
        Self::start_for("desk", Backend::start_plain("plain-1")).await
    }

    async fn start_for(service: &str, backend: Backend) -> Self {
        let env = TestEnv::start().await;
        let agent = env.start_agent("agent-1", service, &backend);
        let relay = Relay::start(agent.listen).await;
        let relayed_entry = env.start_entry("entry-1", &[relay.address]);
        let direct_entry = env.start_entry("entry-2", &[agent.listen]);
        relayed_entry.wait_usable(1).await;
        direct_entry.wait_usable(1).await;
        Self {
            backend,
            relay,
            direct_entry,
            relayed_entry,
            _agent: agent,
            _env: env,
        }
    }

    async fn restore(&self) {
        self.relay.clear_faults();
        self.relayed_entry.wait_usable(1).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_leave_a_booking_unknown() {
    // The dispatch arrives and only the answers are lost, so the outcome not_run would be wrong.
    let link = TestLink::start().await;
    let faults = Faults {
        to_entry: BLOCKED,
        ..Faults::default()
    };
    link.backend.set_hold(true).await;
    let booking = spawn(build_unkeyed_booking(&link.relayed_entry, "h-1"));
    link.backend.wait_started(1).await;
    link.relay.set_faults(faults);
    link.backend.set_hold(false).await;
    let answer = booking.await.expect("the call ends without a panic");
    assert_eq!(
        read_outcome(&answer).1,
        "unknown",
        "{:?}",
        read_outcome(&answer)
    );
    link.restore().await;
    assert_eq!(link.backend.count_runs("h-1").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn booking_reported_as_not_run_is_not_run_after_a_cut() {
    // The transport may retransmit the dispatch once the link works again; the agent must then
    // refuse it because of the cancel.
    for cut in ["to_agent", "to_entry", "both"] {
        let link = TestLink::start().await;
        link.relay.set_faults(Faults {
            to_agent: if cut == "to_entry" {
                Fault::default()
            } else {
                BLOCKED
            },
            to_entry: if cut == "to_agent" {
                Fault::default()
            } else {
                BLOCKED
            },
        });
        let reference = format!("h-{cut}");
        let booking = spawn(build_booking(&link.relayed_entry, &reference, &reference));
        let answer = booking.await.expect("the call ends without a panic");
        let first = read_outcome(&answer);
        assert!(!answer.is_good(), "an answer passed a cut link");
        link.restore().await;
        let runs = link.backend.count_runs(&reference).await;
        assert!(
            runs == 0 || first.1 == "unknown",
            "{cut}: {first:?} ran {runs}"
        );
        let repeat = send(build_booking(&link.direct_entry, &reference, &reference)).await;
        let runs = link.backend.count_runs(&reference).await;
        assert!(runs <= 1, "{cut}: ran {runs} times");
        assert!(
            repeat.is_good(),
            "{cut}: {first:?} then {:?}",
            read_outcome(&repeat)
        );
        assert_eq!(runs, 1, "{cut}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keyed_booking_cut_off_while_it_runs_is_found_by_its_repeat() {
    // The agent stores the answer that it could not deliver.
    let link = TestLink::start().await;
    link.backend.set_hold(true).await;
    let booking = spawn(build_booking(&link.relayed_entry, "h-2", "h-2"));
    link.backend.wait_started(1).await;
    link.relay.set_faults(Faults {
        to_agent: BLOCKED,
        to_entry: BLOCKED,
    });
    let answer = booking.await.expect("the call ends without a panic");
    assert_eq!(
        read_outcome(&answer).1,
        "unknown",
        "{:?}",
        read_outcome(&answer)
    );
    link.backend.set_hold(false).await;
    let repeat = wait_for("the stored answer", async || {
        let answer = send(build_booking(&link.direct_entry, "h-2", "h-2")).await;
        answer.is_good().then_some(answer)
    })
    .await;
    assert_eq!(read_executions(&repeat), 1);
    link.restore().await;
    let late = send(build_booking(&link.relayed_entry, "h-2", "h-2")).await;
    assert_eq!(late.tail, repeat.tail);
    assert_eq!(link.backend.count_runs("h-2").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_over_a_cut_link_does_not_end_cleanly() {
    // A caller must not take a stream whose end is lost for a complete answer.
    let link = TestLink::start_for("pool", Backend::start_engine("engine-1")).await;
    let mut call = build_draft(&link.relayed_entry, 100_000);
    call.stream = false;
    let stream = spawn(call);
    link.relayed_entry.wait_head().await;
    link.relay.set_faults(Faults {
        to_entry: BLOCKED,
        ..Faults::default()
    });
    let answer = stream.await.expect("the call ends without a panic");
    assert!(!answer.complete, "the body ended cleanly");
    wait_for("the cancel of the stream", async || {
        (link.backend.read_counts().await.cancelled == 1).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faulty_link_neither_mixes_up_answers_nor_repeats_calls() {
    // Delayed, duplicated, reordered and lost datagrams must not run a booking twice or give a
    // caller the answer to another call.
    let link = TestLink::start().await;
    let fault = Fault {
        delay: Duration::from_millis(2),
        duplicate_every: 3,
        reorder_every: 4,
        reorder_delay: Duration::from_millis(25),
        drop_every: 23,
        ..Fault::default()
    };
    link.relay.set_faults(Faults {
        to_agent: fault,
        to_entry: fault,
    });
    let name = |n: usize| format!("h-d-{n}");
    let bookings: Vec<_> = (0..40)
        .map(|n| {
            (
                n,
                spawn(build_booking(&link.relayed_entry, &name(n), &name(n))),
            )
        })
        .collect();
    for (n, booking) in bookings {
        let answer = booking.await.expect("the call ends without a panic");
        assert_eq!(read_executions(&answer), 1);
        let body = String::from_utf8_lossy(&answer.tail).into_owned();
        assert!(
            body.contains(&format!("\"{}\"", name(n))),
            "crossed: {body}"
        );
        assert_eq!(link.backend.count_runs(&name(n)).await, 1);
    }
    assert!(send(build_lookup(&link.relayed_entry)).await.is_good());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_over_a_faulty_link_is_complete() {
    // Each event must arrive once and in order.
    let link = TestLink::start_for("pool", Backend::start_engine("engine-1")).await;
    let fault = Fault {
        duplicate_every: 2,
        reorder_every: 3,
        reorder_delay: Duration::from_millis(15),
        drop_every: 17,
        ..Fault::default()
    };
    link.relay.set_faults(Faults {
        to_agent: fault,
        to_entry: fault,
    });
    let answer = send(build_draft(&link.relayed_entry, 100)).await;
    assert!(answer.is_good(), "{:?}", read_outcome(&answer));
    let text = String::from_utf8_lossy(&answer.tail).into_owned();
    let indexes: Vec<u64> = text
        .lines()
        .filter_map(|line| serde_json::from_str(line.strip_prefix("data: ")?).ok())
        .filter_map(|event: serde_json::Value| event["index"].as_u64())
        .collect();
    assert_eq!(indexes, (0..100).collect::<Vec<_>>());
}
