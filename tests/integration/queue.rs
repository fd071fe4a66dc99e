//! The agent's queue: bound, fairness, ageing and early refusal.

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

fn ticket(n: usize) -> RequestInfo {
    let organisation = organisation(n);
    RequestInfo {
        organisation,
        priority: Priority::Normal,
        deadline: None,
        cost: 1,
    }
}

fn with_slots(slots: u32) -> Settings {
    Settings {
        slots,
        ..Settings::default()
    }
}

/// Runs all that may run for 100 ms each until no slot is free, and returns the items.
fn serve<T>(queue: &mut Queue<T>, now: Time) -> Vec<T> {
    let mut served = Vec::new();
    let mut ended = Vec::new();
    while let Some(run) = queue.dequeue(now).ready {
        served.push(run.item);
        ended.push(run.organisation);
    }
    for organisation in ended {
        queue.release_slot(&organisation, Duration::from_millis(100), now);
    }
    served
}

// Guards against one organisation that sends 20 times as much as each of nine others and takes
// their places in the queue or their turns.
#[test]
fn large_organisation_starves_nobody() {
    let mut queue = Queue::new(with_slots(10));
    let mut served = [0; 10];
    let mut refused = [0; 10];
    for round in 0..200 {
        let now = Time::from_millis(round * 100);
        for n in std::iter::repeat_n(0, 20).chain(1..10) {
            refused[n] += usize::from(queue.enqueue(n, ticket(n), now).is_err());
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

// Guards against weights without effect.
#[test]
fn service_follows_weights() {
    let weights = vec![Weight {
        organisation: organisation(0),
        weight: 3,
    }];
    let mut queue = Queue::new(Settings {
        weights,
        ..with_slots(1)
    });
    let mut served = [0; 2];
    for round in 0..400 {
        let now = Time::from_millis(round * 100);
        for n in [0, 1, 0, 1] {
            let _ = queue.enqueue(n, ticket(n), now);
        }
        serve(&mut queue, now)
            .into_iter()
            .for_each(|n| served[n] += 1);
    }
    assert!((290..=310).contains(&served[0]), "{served:?}");
}

// Guards against batch work that waits for ever behind interactive work, of its own organisation
// or of another.
#[test]
fn batch_is_not_starved() {
    for other in [0, 1] {
        let mut queue = Queue::new(with_slots(1));
        let urgent = |n| RequestInfo {
            priority: Priority::Interactive,
            ..ticket(n)
        };
        let batch = RequestInfo {
            priority: Priority::Batch,
            ..ticket(0)
        };
        for _ in 0..5 {
            queue.enqueue(false, urgent(other), Time(1)).expect("room");
        }
        queue.enqueue(true, batch, Time(1)).expect("room");
        let ran = (0..200).find(|round| {
            let now = Time::from_millis(round * 100);
            for _ in 0..2 {
                let _ = queue.enqueue(false, urgent(other), now);
            }
            serve(&mut queue, now).contains(&true)
        });
        // Two steps of ageing of 2 s, then the turns of those that had arrived before.
        assert!(
            ran.is_some_and(|round| round <= 50),
            "other {other}: {ran:?}"
        );
        // Before the first step of ageing, interactive work of the same organisation goes first.
        assert!(
            other == 1 || ran >= Some(20),
            "{ran:?}: priority had no effect"
        );
    }
}

/// A queue with one slot in use and a known hold time of 1 s.
fn busy() -> Queue<usize> {
    let mut queue = Queue::new(with_slots(1));
    queue.enqueue(0, ticket(0), Time(1)).expect("room");
    assert!(queue.dequeue(Time(1)).ready.is_some());
    queue.release_slot(&organisation(0), Duration::from_secs(1), Time(2));
    queue.enqueue(1, ticket(0), Time(2)).expect("room");
    assert!(queue.dequeue(Time(2)).ready.is_some());
    queue
}

// Guards against work that is queued although its caller will have given up, and against a
// refusal of work that a free slot could take.
#[test]
fn hopeless_deadline_is_refused_early() {
    let until = |ms| RequestInfo {
        deadline: Some(Time::from_millis(ms)),
        ..ticket(0)
    };
    let mut queue = busy();
    for n in 2..6 {
        queue.enqueue(n, ticket(0), Time(2)).expect("room");
    }
    assert_eq!(
        queue.enqueue(6, until(3_000), Time(2)),
        Err(Reason::Deadline)
    );
    assert!(queue.enqueue(7, until(30_000), Time(2)).is_ok());
    let mut queue = busy();
    queue.release_slot(&organisation(0), Duration::from_secs(1), Time(3));
    assert!(queue.enqueue(8, until(500), Time(3)).is_ok());
    assert_eq!(queue.dequeue(Time(3)).ready.map(|run| run.item), Some(8));
}

// Guards against work that starts after its caller has given up.
#[test]
fn late_work_is_handed_back() {
    let mut queue = busy();
    let late = RequestInfo {
        deadline: Some(Time::from_millis(5_000)),
        ..ticket(0)
    };
    queue.enqueue(2, late, Time(2)).expect("room");
    let now = Time::from_millis(5_000);
    assert_eq!(queue.dequeue(now).late, [2]);
    queue.release_slot(&organisation(0), Duration::from_secs(1), now);
    assert!(queue.dequeue(now).ready.is_none());
}

// Guards against a queue without bound, and against one organisation that fills all of it.
#[test]
fn queue_is_bounded() {
    let mut queue = busy();
    let taken = (0..200)
        .filter(|n| queue.enqueue(*n, ticket(0), Time(2)).is_ok())
        .count();
    assert_eq!(taken, 32, "one organisation uses half of the 64 places");
    assert!(queue.enqueue(0, ticket(1), Time(2)).is_ok());
    for n in 0..2_000 {
        let _ = queue.enqueue(n, ticket(n % 100), Time(2));
    }
    assert!(queue.queued() <= 64);
    assert!(queue.enqueue(0, ticket(0), Time(2)).is_err());
}

// Guards against slots that stay idle for an organisation alone, and against one that takes the
// last slots while others are active.
#[test]
fn reserve_is_kept_for_others() {
    let mut queue = Queue::new(Settings {
        reserved_slots: 2,
        ..with_slots(10)
    });
    let fill = |queue: &mut Queue<usize>, now| {
        for n in 0..20 {
            let _ = queue.enqueue(n, ticket(0), now);
        }
        std::iter::from_fn(|| queue.dequeue(now).ready).count()
    };
    assert_eq!(fill(&mut queue, Time(1)), 10);
    let mut queue = Queue::new(Settings {
        reserved_slots: 2,
        ..with_slots(10)
    });
    for n in 1..10 {
        queue.enqueue(n, ticket(n), Time(1)).expect("room");
        let run = queue.dequeue(Time(1)).ready.expect("a free slot");
        queue.release_slot(&run.organisation, Duration::from_secs(1), Time(1));
    }
    assert_eq!(fill(&mut queue, Time(2)), 8);
    queue.enqueue(1, ticket(1), Time(3)).expect("room");
    assert_eq!(
        queue.dequeue(Time(3)).ready.map(|run| run.organisation),
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
        let mut queue = Queue::new(Settings { reserved_slots: reserve, max_queued: 12, ..with_slots(3) });
        let mut waiting = BTreeSet::new();
        let mut places = Vec::new();
        let mut running = Vec::new();
        let mut now = Time(1);
        for (item, (action, n, wait)) in steps.into_iter().enumerate() {
            now = now + Duration::from_millis(wait / 10);
            match action {
                0 | 1 => {
                    let deadline = (n > 2).then_some(now + Duration::from_millis(wait));
                    let priority = [Priority::Interactive, Priority::Normal, Priority::Batch][n % 3];
                    let ticket = RequestInfo { deadline, priority, ..ticket(n) };
                    if let Ok(place) = queue.enqueue(item, ticket, now) {
                        waiting.insert(item);
                        places.push((place, item));
                    }
                }
                2 if !places.is_empty() => {
                    let (place, item) = places.swap_remove(n % places.len());
                    prop_assert_eq!(queue.remove(place).is_some(), waiting.remove(&item));
                }
                _ if !running.is_empty() => {
                    let organisation = running.swap_remove(n % running.len());
                    queue.release_slot(&organisation, Duration::from_millis(wait), now);
                }
                _ => {}
            }
            loop {
                let taken = queue.dequeue(now);
                prop_assert!(taken.late.iter().all(|item| waiting.remove(item)));
                let Some(run) = taken.ready else { break };
                prop_assert!(waiting.remove(&run.item));
                running.push(run.organisation);
            }
            prop_assert_eq!(queue.queued(), waiting.len());
            prop_assert!(running.len() <= 3 && waiting.len() <= 12);
            prop_assert!(waiting.is_empty() || running.len() >= 3 - reserve as usize);
            prop_assert_eq!(queue.report(now).running as usize, running.len());
        }
    }
}
