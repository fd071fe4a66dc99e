//! The link between an entry and an agent loses, delays, reorders or repeats datagrams.

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

const CUT: Fault = Fault {
    blocked: true,
    delay: Duration::ZERO,
    duplicate_every: 0,
    reorder_every: 0,
    reorder_delay: Duration::ZERO,
    drop_every: 0,
};

/// Entry 1 reaches the only agent over a relay, entry 2 directly.
struct Line {
    backend: Backend,
    relay: Relay,
    near: Process,
    far: Process,
    _agent: Process,
    _env: TestEnv,
}

impl Line {
    async fn start() -> Self {
        Self::start_for("desk", Backend::start_plain("plain-1")).await
    }

    async fn start_for(service: &str, backend: Backend) -> Self {
        let env = TestEnv::start().await;
        let agent = env.start_agent("agent-1", service, &backend);
        let relay = Relay::start(agent.listen).await;
        let far = env.start_entry("entry-1", &[relay.address]);
        let near = env.start_entry("entry-2", &[agent.listen]);
        far.wait_usable(1).await;
        near.wait_usable(1).await;
        Self {
            backend,
            relay,
            near,
            far,
            _agent: agent,
            _env: env,
        }
    }

    async fn heal(&self) {
        self.relay.clear_faults();
        self.far.wait_usable(1).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_leave_a_booking_unknown() {
    // The dispatch arrives and only its answers are lost: not_run would be a lie.
    let line = Line::start().await;
    let faults = Faults {
        to_entry: CUT,
        ..Faults::default()
    };
    line.backend.set_hold(true).await;
    let booking = spawn(build_unkeyed_booking(&line.far, "h-1"));
    line.backend.wait_started(1).await;
    line.relay.set_faults(faults);
    line.backend.set_hold(false).await;
    let answer = booking.await.expect("the caller runs");
    assert_eq!(
        read_outcome(&answer).1,
        "unknown",
        "{:?}",
        read_outcome(&answer)
    );
    line.heal().await;
    assert_eq!(line.backend.count_runs("h-1").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn booking_after_a_cut_is_never_run_once_its_caller_was_told_not_run() {
    // A dispatch that is sent again by the transport after the link heals must meet the cancel.
    for cut in ["to_agent", "to_entry", "both"] {
        let line = Line::start().await;
        line.relay.set_faults(Faults {
            to_agent: if cut == "to_entry" {
                Fault::default()
            } else {
                CUT
            },
            to_entry: if cut == "to_agent" {
                Fault::default()
            } else {
                CUT
            },
        });
        let reference = format!("h-{cut}");
        let booking = spawn(build_booking(&line.far, &reference, &reference));
        let answer = booking.await.expect("the caller runs");
        let first = read_outcome(&answer);
        assert!(!answer.is_good(), "an answer passed a cut link");
        line.heal().await;
        let runs = line.backend.count_runs(&reference).await;
        assert!(
            runs == 0 || first.1 == "unknown",
            "{cut}: {first:?} ran {runs}"
        );
        let repeat = send(build_booking(&line.near, &reference, &reference)).await;
        let runs = line.backend.count_runs(&reference).await;
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
    // The agent keeps the answer that could not be delivered.
    let line = Line::start().await;
    line.backend.set_hold(true).await;
    let booking = spawn(build_booking(&line.far, "h-2", "h-2"));
    line.backend.wait_started(1).await;
    line.relay.set_faults(Faults {
        to_agent: CUT,
        to_entry: CUT,
    });
    let answer = booking.await.expect("the caller runs");
    assert_eq!(
        read_outcome(&answer).1,
        "unknown",
        "{:?}",
        read_outcome(&answer)
    );
    line.backend.set_hold(false).await;
    let repeat = wait_for("the kept answer", async || {
        let answer = send(build_booking(&line.near, "h-2", "h-2")).await;
        answer.is_good().then_some(answer)
    })
    .await;
    assert_eq!(read_executions(&repeat), 1);
    line.heal().await;
    let late = send(build_booking(&line.far, "h-2", "h-2")).await;
    assert_eq!(late.tail, repeat.tail);
    assert_eq!(line.backend.count_runs("h-2").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_over_a_cut_link_does_not_end_cleanly() {
    // A stream whose rest is lost must not look complete.
    let line = Line::start_for("pool", Backend::start_engine("engine-1")).await;
    let mut call = build_draft(&line.far, 100_000);
    call.stream = false;
    let stream = spawn(call);
    line.far.wait_head().await;
    line.relay.set_faults(Faults {
        to_entry: CUT,
        ..Faults::default()
    });
    let answer = stream.await.expect("the caller runs");
    assert!(!answer.complete, "the body ended cleanly");
    wait_for("the cancel of the stream", async || {
        (line.backend.read_counts().await.cancelled == 1).then_some(())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn damaged_link_crosses_and_repeats_nothing() {
    // Late, repeated, reordered and lost datagrams must not run a booking twice or mix answers.
    let line = Line::start().await;
    let fault = Fault {
        delay: Duration::from_millis(2),
        duplicate_every: 3,
        reorder_every: 4,
        reorder_delay: Duration::from_millis(25),
        drop_every: 23,
        ..Fault::default()
    };
    line.relay.set_faults(Faults {
        to_agent: fault,
        to_entry: fault,
    });
    let name = |n: usize| format!("h-d-{n}");
    let bookings: Vec<_> = (0..40)
        .map(|n| (n, spawn(build_booking(&line.far, &name(n), &name(n)))))
        .collect();
    for (n, booking) in bookings {
        let answer = booking.await.expect("the caller runs");
        assert_eq!(read_executions(&answer), 1);
        let body = String::from_utf8_lossy(&answer.tail).into_owned();
        assert!(
            body.contains(&format!("\"{}\"", name(n))),
            "crossed: {body}"
        );
        assert_eq!(line.backend.count_runs(&name(n)).await, 1);
    }
    assert!(send(build_lookup(&line.far)).await.is_good());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_over_a_damaged_link_is_whole() {
    // Each event must arrive once and in order.
    let line = Line::start_for("pool", Backend::start_engine("engine-1")).await;
    let fault = Fault {
        duplicate_every: 2,
        reorder_every: 3,
        reorder_delay: Duration::from_millis(15),
        drop_every: 17,
        ..Fault::default()
    };
    line.relay.set_faults(Faults {
        to_agent: fault,
        to_entry: fault,
    });
    let answer = send(build_draft(&line.far, 100)).await;
    assert!(answer.is_good(), "{:?}", read_outcome(&answer));
    let text = String::from_utf8_lossy(&answer.tail).into_owned();
    let indexes: Vec<u64> = text
        .lines()
        .filter_map(|line| serde_json::from_str(line.strip_prefix("data: ")?).ok())
        .filter_map(|event: serde_json::Value| event["index"].as_u64())
        .collect();
    assert_eq!(indexes, (0..100).collect::<Vec<_>>());
}
