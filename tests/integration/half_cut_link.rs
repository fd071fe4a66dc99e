//! The link between an entry and an agent loses, delays, reorders or repeats datagrams.

use std::time::Duration;

use crate::relay::Fault;
use crate::relay::Faults;
use crate::relay::Relay;
use crate::util::Backend;
use crate::util::Process;
use crate::util::Site;
use crate::util::book;
use crate::util::book_unkeyed;
use crate::util::draft;
use crate::util::judge;
use crate::util::look_up;
use crate::util::read_executions;
use crate::util::send;
use crate::util::spawn;
use crate::util::wait_for;

const CUT: Fault = Fault {
    cut: true,
    delay: Duration::ZERO,
    duplicate: 0,
    reorder: 0,
    late: Duration::ZERO,
    lose: 0,
};

/// Entry 1 reaches the only agent over a relay, entry 2 directly.
struct Line {
    backend: Backend,
    relay: Relay,
    near: Process,
    far: Process,
    _agent: Process,
    _site: Site,
}

impl Line {
    async fn start() -> Self {
        Self::start_for("desk", Backend::start_plain("plain-1")).await
    }

    async fn start_for(service: &str, backend: Backend) -> Self {
        let site = Site::start().await;
        let agent = site.start_agent("agent-1", service, &backend);
        let relay = Relay::start(agent.listen).await;
        let far = site.start_entry("entry-1", &[relay.address]);
        let near = site.start_entry("entry-2", &[agent.listen]);
        far.wait_usable(1).await;
        near.wait_usable(1).await;
        Self {
            backend,
            relay,
            near,
            far,
            _agent: agent,
            _site: site,
        }
    }

    async fn heal(&self) {
        self.relay.heal();
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
    line.backend.hold(true).await;
    let booking = spawn(book_unkeyed(&line.far, "h-1"));
    line.backend.wait_started(1).await;
    line.relay.set(faults);
    line.backend.hold(false).await;
    let answer = booking.await.expect("the caller runs");
    assert_eq!(judge(&answer).1, "unknown", "{:?}", judge(&answer));
    line.heal().await;
    assert_eq!(line.backend.count_runs("h-1").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn booking_after_a_cut_is_never_run_once_its_caller_was_told_not_run() {
    // A dispatch that is sent again by the transport after the link heals must meet the cancel.
    for cut in ["to_agent", "to_entry", "both"] {
        let line = Line::start().await;
        line.relay.set(Faults {
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
        let booking = spawn(book(&line.far, &reference, &reference));
        let answer = booking.await.expect("the caller runs");
        let first = judge(&answer);
        assert!(!answer.is_good(), "an answer passed a cut link");
        line.heal().await;
        let runs = line.backend.count_runs(&reference).await;
        assert!(
            runs == 0 || first.1 == "unknown",
            "{cut}: {first:?} ran {runs}"
        );
        let repeat = send(book(&line.near, &reference, &reference)).await;
        let runs = line.backend.count_runs(&reference).await;
        assert!(runs <= 1, "{cut}: ran {runs} times");
        assert!(
            repeat.is_good(),
            "{cut}: {first:?} then {:?}",
            judge(&repeat)
        );
        assert_eq!(runs, 1, "{cut}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keyed_booking_cut_off_while_it_runs_is_found_by_its_repeat() {
    // The agent keeps the answer that could not be delivered.
    let line = Line::start().await;
    line.backend.hold(true).await;
    let booking = spawn(book(&line.far, "h-2", "h-2"));
    line.backend.wait_started(1).await;
    line.relay.set(Faults {
        to_agent: CUT,
        to_entry: CUT,
    });
    let answer = booking.await.expect("the caller runs");
    assert_eq!(judge(&answer).1, "unknown", "{:?}", judge(&answer));
    line.backend.hold(false).await;
    let repeat = wait_for("the kept answer", async || {
        let answer = send(book(&line.near, "h-2", "h-2")).await;
        answer.is_good().then_some(answer)
    })
    .await;
    assert_eq!(read_executions(&repeat), 1);
    line.heal().await;
    let late = send(book(&line.far, "h-2", "h-2")).await;
    assert_eq!(late.tail, repeat.tail);
    assert_eq!(line.backend.count_runs("h-2").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_over_a_cut_link_does_not_end_cleanly() {
    // A stream whose rest is lost must not look complete.
    let line = Line::start_for("pool", Backend::start_engine("engine-1")).await;
    let mut call = draft(&line.far, 100_000);
    call.stream = false;
    let stream = spawn(call);
    line.far.wait_head().await;
    line.relay.set(Faults {
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
        duplicate: 3,
        reorder: 4,
        late: Duration::from_millis(25),
        lose: 23,
        ..Fault::default()
    };
    line.relay.set(Faults {
        to_agent: fault,
        to_entry: fault,
    });
    let name = |n: usize| format!("h-d-{n}");
    let bookings: Vec<_> = (0..40)
        .map(|n| (n, spawn(book(&line.far, &name(n), &name(n)))))
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
    assert!(send(look_up(&line.far)).await.is_good());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stream_over_a_damaged_link_is_whole() {
    // Each event must arrive once and in order.
    let line = Line::start_for("pool", Backend::start_engine("engine-1")).await;
    let fault = Fault {
        duplicate: 2,
        reorder: 3,
        late: Duration::from_millis(15),
        lose: 17,
        ..Fault::default()
    };
    line.relay.set(Faults {
        to_agent: fault,
        to_entry: fault,
    });
    let answer = send(draft(&line.far, 100)).await;
    assert!(answer.is_good(), "{:?}", judge(&answer));
    let text = String::from_utf8_lossy(&answer.tail).into_owned();
    let indexes: Vec<u64> = text
        .lines()
        .filter_map(|line| serde_json::from_str(line.strip_prefix("data: ")?).ok())
        .filter_map(|event: serde_json::Value| event["index"].as_u64())
        .collect();
    assert_eq!(indexes, (0..100).collect::<Vec<_>>());
}
