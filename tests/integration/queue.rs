//! The agent's queue: length limit, fairness, ageing and early refusal.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use siskinbend_routing::Queue;
use siskinbend_routing::RequestInfo;
use siskinbend_routing::admission::Settings;
use siskinbend_routing::admission::Weight;
use siskinbend_types::Organisation;
use siskinbend_types::Priority;
use siskinbend_types::Reason;
use siskinbend_types::Time;

fn organisation(n: usize) -> Organisation {
    format!("org-{n}").parse().expect("a valid name")
}

fn request(n: usize) -> RequestInfo {
    let organisation = organisation(n);
    RequestInfo {
        organisation,
        priority: Priority::Normal,
        deadline: None,
        cost: 1,
    }
}

fn settings_with_slots(slots: u32) -> Settings {
    Settings {
        slots,
        ..Settings::default()
    }
}

/// Dequeues requests until no slot is free, finishes each after 100 ms, and returns the items.
fn serve<T>(queue: &mut Queue<T>, now: Time) -> Vec<T> {
    let mut served = Vec::new();
    let mut ended = Vec::new();
    while let Some(ready) = queue.dequeue(now).ready {
        served.push(ready.item);
        ended.push(ready.organisation);
    }
    for organisation in ended {
        queue.release_slot(&organisation, Duration::from_millis(100), now);
    }
    served
}

// Guards against an organisation that sends 20 times as many requests as each of nine others and
// takes their share of the queue or of the slots.
#[test]
fn large_organisation_does_not_starve_others() {
    let mut queue = Queue::new(settings_with_slots(10));
    let mut served = [0; 10];
    let mut refused = [0; 10];
    for round in 0..200 {
        let now = Time::from_millis(round * 100);
        for n in std::iter::repeat_n(0, 20).chain(1..10) {
            refused[n] += usize::from(queue.enqueue(n, request(n), now).is_err());
        }
        serve(&mut queue, now)
            .into_iter()
            .for_each(|n| served[n] += 1);
    }
    assert_eq!(refused[1..], [0; 9]);
    assert!(served[1..].iter().all(|n| *n >= 199), "{served:?}");
    assert!(
        served[0] >= 199,
        "the large organisation gets what is left: {served:?}"
    );
}

// Guards against weights that have no effect.
#[test]
fn service_follows_weights() {
    let weights = vec![Weight {
        organisation: organisation(0),
        weight: 3,
    }];
    let mut queue = Queue::new(Settings {
        weights,
        ..settings_with_slots(1)
    });
    let mut served = [0; 2];
    for round in 0..400 {
        let now = Time::from_millis(round * 100);
        for n in [0, 1, 0, 1] {
            let _ = queue.enqueue(n, request(n), now);
        }
        serve(&mut queue, now)
            .into_iter()
            .for_each(|n| served[n] += 1);
    }
    assert!((290..=310).contains(&served[0]), "{served:?}");
}

// Guards against batch requests that never run because of interactive requests of the same or
// another organisation.
#[test]
fn batch_is_not_starved() {
    for other in [0, 1] {
        let mut queue = Queue::new(settings_with_slots(1));
        let urgent = |n| RequestInfo {
            priority: Priority::Interactive,
            ..request(n)
        };
        let batch = RequestInfo {
            priority: Priority::Batch,
            ..request(0)
        };
        for _ in 0..5 {
            queue
                .enqueue(false, urgent(other), Time(1))
                .expect("the queue has capacity");
        }
        queue
            .enqueue(true, batch, Time(1))
            .expect("the queue has capacity");
        let served_in = (0..200).find(|round| {
            let now = Time::from_millis(round * 100);
            for _ in 0..2 {
                let _ = queue.enqueue(false, urgent(other), now);
            }
            serve(&mut queue, now).contains(&true)
        });
        // Two ageing steps of 2 s each, then the requests that arrived earlier.
        assert!(
            served_in.is_some_and(|round| round <= 50),
            "other {other}: {served_in:?}"
        );
        // Before the first ageing step, interactive requests of the same organisation go first.
        assert!(
            other == 1 || served_in >= Some(20),
            "{served_in:?}: priority had no effect"
        );
    }
}

/// Creates a queue with one slot, which is in use, and a mean hold time of 1 s.
fn busy_queue() -> Queue<usize> {
    let mut queue = Queue::new(settings_with_slots(1));
    queue
        .enqueue(0, request(0), Time(1))
        .expect("the queue has capacity");
    assert!(queue.dequeue(Time(1)).ready.is_some());
    queue.release_slot(&organisation(0), Duration::from_secs(1), Time(2));
    queue
        .enqueue(1, request(0), Time(2))
        .expect("the queue has capacity");
    assert!(queue.dequeue(Time(2)).ready.is_some());
    queue
}

// Guards against a request that is queued although its deadline will pass, and against the refusal
// of a request for which a slot is free.
#[test]
fn unreachable_deadline_is_refused_early() {
    let until = |ms| RequestInfo {
        deadline: Some(Time::from_millis(ms)),
        ..request(0)
    };
    let mut queue = busy_queue();
    for n in 2..6 {
        queue
            .enqueue(n, request(0), Time(2))
            .expect("the queue has capacity");
    }
    assert_eq!(
        queue.enqueue(6, until(3_000), Time(2)),
        Err(Reason::Deadline)
    );
    assert!(queue.enqueue(7, until(30_000), Time(2)).is_ok());
    let mut queue = busy_queue();
    queue.release_slot(&organisation(0), Duration::from_secs(1), Time(3));
    assert!(queue.enqueue(8, until(500), Time(3)).is_ok());
    assert_eq!(
        queue.dequeue(Time(3)).ready.map(|ready| ready.item),
        Some(8)
    );
}

// Guards against a request that starts after its deadline.
#[test]
fn late_requests_are_removed() {
    let mut queue = busy_queue();
    let late = RequestInfo {
        deadline: Some(Time::from_millis(5_000)),
        ..request(0)
    };
    queue
        .enqueue(2, late, Time(2))
        .expect("the queue has capacity");
    let now = Time::from_millis(5_000);
    assert_eq!(queue.dequeue(now).late, [2]);
    queue.release_slot(&organisation(0), Duration::from_secs(1), now);
    assert!(queue.dequeue(now).ready.is_none());
}

// Guards against an unbounded queue, and against one organisation that fills all of it.
#[test]
fn queue_is_bounded() {
    let mut queue = busy_queue();
    let accepted = (0..200)
        .filter(|n| queue.enqueue(*n, request(0), Time(2)).is_ok())
        .count();
    assert_eq!(accepted, 32, "one organisation uses half of the 64 places");
    assert!(queue.enqueue(0, request(1), Time(2)).is_ok());
    for n in 0..2_000 {
        let _ = queue.enqueue(n, request(n % 100), Time(2));
    }
    assert!(queue.queued() <= 64);
    assert!(queue.enqueue(0, request(0), Time(2)).is_err());
}

// Guards against reserved slots that stay idle while only one organisation is active, and against
// an organisation that takes the last slots while others are active.
#[test]
fn reserved_slots_are_kept_for_others() {
    let mut queue = Queue::new(Settings {
        reserved_slots: 2,
        ..settings_with_slots(10)
    });
    let fill = |queue: &mut Queue<usize>, now| {
        for n in 0..20 {
            let _ = queue.enqueue(n, request(0), now);
        }
        std::iter::from_fn(|| queue.dequeue(now).ready).count()
    };
    assert_eq!(fill(&mut queue, Time(1)), 10);
    let mut queue = Queue::new(Settings {
        reserved_slots: 2,
        ..settings_with_slots(10)
    });
    for n in 1..10 {
        queue
            .enqueue(n, request(n), Time(1))
            .expect("the queue has capacity");
        let ready = queue.dequeue(Time(1)).ready.expect("a free slot");
        queue.release_slot(&ready.organisation, Duration::from_secs(1), Time(1));
    }
    assert_eq!(fill(&mut queue, Time(2)), 8);
    queue
        .enqueue(1, request(1), Time(3))
        .expect("the queue has capacity");
    assert_eq!(
        queue.dequeue(Time(3)).ready.map(|ready| ready.organisation),
        Some(organisation(1))
    );
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    // Guards against a request that is lost, runs twice, or runs after it was refused or removed,
    // and against idle slots while requests wait.
    #[test]
    fn each_request_ends_once(
        steps in prop::collection::vec((0u8..4, 0usize..5, 0u64..2_000), 1..300),
        reserve in 0u32..2,
    ) {
        let mut queue = Queue::new(Settings {
            reserved_slots: reserve,
            max_queued: 12,
            ..settings_with_slots(3)
        });
        let mut waiting = BTreeSet::new();
        let mut waiters = Vec::new();
        let mut running = Vec::new();
        let mut now = Time(1);
        for (item, (action, n, wait)) in steps.into_iter().enumerate() {
            now = now + Duration::from_millis(wait / 10);
            match action {
                0 | 1 => {
                    let deadline = (n > 2).then_some(now + Duration::from_millis(wait));
                    let priority = [Priority::Interactive, Priority::Normal, Priority::Batch][n % 3];
                    let request = RequestInfo { deadline, priority, ..request(n) };
                    if let Ok(waiter) = queue.enqueue(item, request, now) {
                        waiting.insert(item);
                        waiters.push((waiter, item));
                    }
                }
                2 if !waiters.is_empty() => {
                    let (waiter, item) = waiters.swap_remove(n % waiters.len());
                    prop_assert_eq!(queue.remove(waiter).is_some(), waiting.remove(&item));
                }
                _ if !running.is_empty() => {
                    let organisation = running.swap_remove(n % running.len());
                    queue.release_slot(&organisation, Duration::from_millis(wait), now);
                }
                _ => {}
            }
            loop {
                let dequeued = queue.dequeue(now);
                prop_assert!(dequeued.late.iter().all(|item| waiting.remove(item)));
                let Some(ready) = dequeued.ready else { break };
                prop_assert!(waiting.remove(&ready.item));
                running.push(ready.organisation);
            }
            prop_assert_eq!(queue.queued(), waiting.len());
            prop_assert!(running.len() <= 3 && waiting.len() <= 12);
            prop_assert!(waiting.is_empty() || running.len() >= 3 - reserve as usize);
            prop_assert_eq!(queue.report(now).running as usize, running.len());
        }
    }
}
