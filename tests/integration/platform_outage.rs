//! The platform's services are down, slow or lose answers while requests run.

use serde_json::json;
use siskinbend_standins::platform::Counts;

use crate::util::Desk;
use crate::util::Process;
use crate::util::book;
use crate::util::book_unkeyed;
use crate::util::judge;
use crate::util::look_up;
use crate::util::post;
use crate::util::read;
use crate::util::read_executions;
use crate::util::send;
use crate::util::spawn;
use crate::util::wait_for;
use crate::util::with_header;

fn give_back(entry: &Process, reference: &str) -> siskinbend_standins::client::Call {
    let call = post(entry, "desk/returns", json!({"ref": reference}));
    with_header(call, "idempotency-key", reference)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn keyed_booking_is_refused_while_the_table_is_down() {
    // Without a claim a repeat could run the booking again, so nothing may be dispatched.
    let desk = Desk::start().await;
    let down = json!({"target": "table", "down": true});
    desk.site.set_faults(down).await;
    let answer = send(book(&desk.entries[0], "p-1", "p-1")).await;
    let expected = (503, "not_run".to_owned(), "store_unavailable".to_owned());
    assert_eq!(judge(&answer), expected);
    assert_eq!(desk.count_runs("p-1").await, 0);
    desk.site.set_faults(json!({"target": "table"})).await;
    let answer = wait_for("the booking after the outage", async || {
        let answer = send(book(&desk.entries[0], "p-1", "p-1")).await;
        answer.is_good().then_some(answer)
    })
    .await;
    assert_eq!(read_executions(&answer), 1);
    assert_eq!(desk.count_runs("p-1").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_requests_go_on_while_the_platform_is_down() {
    // Only keyed calls depend on the platform.
    let desk = Desk::start().await;
    for target in ["table", "objects", "vms"] {
        let down = json!({"target": target, "down": true});
        desk.site.set_faults(down).await;
    }
    for n in 0..5 {
        assert!(send(look_up(&desk.entries[n % 2])).await.is_good());
        let reference = format!("p-2-{n}");
        let booking = send(book_unkeyed(&desk.entries[n % 2], &reference)).await;
        assert_eq!(read_executions(&booking), 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn route_that_runs_on_outage_runs_without_a_claim() {
    // The document allows this route to run unclaimed; refusing it would lose the operation.
    let desk = Desk::start().await;
    let down = json!({"target": "table", "down": true});
    desk.site.set_faults(down).await;
    let answer = send(give_back(&desk.entries[0], "p-3")).await;
    assert_eq!(read_executions(&answer), 1);
    assert_eq!(desk.count_runs("p-3").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn route_that_runs_on_outage_uses_its_claim_otherwise() {
    // The permission to run unclaimed must not switch claims off while the table answers.
    let desk = Desk::start().await;
    let first = send(give_back(&desk.entries[0], "p-4")).await;
    let second = send(give_back(&desk.entries[1], "p-4")).await;
    assert_eq!(read_executions(&first), 1);
    assert_eq!(second.tail, first.tail);
    assert_eq!(desk.count_runs("p-4").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn booking_runs_once_though_answers_of_the_table_are_lost() {
    // A claim whose answer was lost is read back; a second claim would run the booking twice.
    let desk = Desk::start().await;
    let lost = json!({"target": "table", "lose_answers": true});
    desk.site.set_faults(lost).await;
    let bookings: Vec<_> = (0..3)
        .map(|n| {
            spawn(book(
                &desk.entries[0],
                &format!("p-5-{n}"),
                &format!("p-5-{n}"),
            ))
        })
        .collect();
    for (n, booking) in bookings.into_iter().enumerate() {
        let answer = booking.await.expect("the caller runs");
        let runs = desk.count_runs(&format!("p-5-{n}")).await;
        if answer.is_good() {
            assert_eq!(runs, 1);
        } else {
            let expected = (503, "not_run".to_owned(), "store_unavailable".to_owned());
            assert_eq!(judge(&answer), expected);
            assert_eq!(runs, 0);
        }
    }
    desk.site.set_faults(json!({"target": "table"})).await;
    for n in 0..3 {
        let name = format!("p-5-{n}");
        let answer = wait_for("the repeat after the fault", async || {
            let answer = send(book(&desk.entries[1], &name, &name)).await;
            answer.is_good().then_some(answer)
        })
        .await;
        assert_eq!(read_executions(&answer), 1);
        assert_eq!(desk.count_runs(&name).await, 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn two_entries_with_a_slow_table_run_one_booking_once() {
    // Both entries write the claim at the same time; one of them must lose.
    let desk = Desk::start().await;
    let slow = json!({"target": "table", "delay_ms": 300});
    desk.site.set_faults(slow).await;
    let both = [0, 1].map(|n| spawn(book(&desk.entries[n], "p-6", "p-6")));
    for booking in both {
        let answer = booking.await.expect("the caller runs");
        assert_ne!(judge(&answer).1, "not_run", "{:?}", judge(&answer));
    }
    desk.site.set_faults(json!({"target": "table"})).await;
    let answer = wait_for("the answer of the booking", async || {
        let answer = send(book(&desk.entries[0], "p-6", "p-6")).await;
        answer.is_good().then_some(answer)
    })
    .await;
    assert_eq!(read_executions(&answer), 1);
    assert_eq!(desk.count_runs("p-6").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn table_that_fails_while_a_booking_runs_does_not_lose_its_answer() {
    // The answer can't be stored; the repeat must find it at the agent.
    let desk = Desk::start().await;
    desk.hold(true).await;
    let booking = spawn(book(&desk.entries[0], "p-7", "p-7"));
    desk.find_busy().await;
    let down = json!({"target": "table", "down": true});
    desk.site.set_faults(down).await;
    desk.hold(false).await;
    let answer = booking.await.expect("the caller runs");
    assert_eq!(read_executions(&answer), 1);
    desk.site.set_faults(json!({"target": "table"})).await;
    let repeat = wait_for("the repeat after the outage", async || {
        let answer = send(book(&desk.entries[1], "p-7", "p-7")).await;
        answer.is_good().then_some(answer)
    })
    .await;
    assert_eq!(repeat.tail, answer.tail);
    assert_eq!(desk.count_runs("p-7").await, 1);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unkeyed_booking_needs_no_table() {
    // The table has room for a few hundred writes a second; unkeyed calls must not use them.
    let desk = Desk::start().await;
    let before: Counts = read(desk.site.platform, "/counts").await;
    for n in 0..5 {
        let booking = send(book_unkeyed(&desk.entries[0], &format!("p-8-{n}"))).await;
        assert_eq!(read_executions(&booking), 1);
    }
    let after: Counts = read(desk.site.platform, "/counts").await;
    assert_eq!(after.table.writes, before.table.writes);
    assert_eq!(after.table.reads, before.table.reads);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn table_slower_than_the_deadline_delays_no_answer_and_runs_nothing() {
    // A call that waits for its claim must still meet its deadline, and a claim that comes later
    // must not lead to a dispatch.
    let desk = Desk::start().await;
    let slow = json!({"target": "table", "delay_ms": 1_500});
    desk.site.set_faults(slow).await;
    let call = book(&desk.entries[0], "p-9", "p-9");
    let answer = send(with_header(call, "siskinbend-deadline-ms", "300")).await;
    let expected = (504, "not_run".to_owned(), "deadline".to_owned());
    assert_eq!(judge(&answer), expected);
    let counts: Counts = read(desk.site.platform, "/counts").await;
    assert_eq!(counts.table.writes, 0, "the answer waited for the table");
    desk.site.set_faults(json!({"target": "table"})).await;
    let repeat = send(book(&desk.entries[1], "p-9", "p-9")).await;
    assert_eq!(read_executions(&repeat), 1);
    assert_eq!(desk.count_runs("p-9").await, 1);
}
