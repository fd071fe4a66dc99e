//! Streams that wait at a gateway for a place under its concurrency limit, in a simulation.

use std::time::Duration;

use siskinbend_routing::Queue;
use siskinbend_routing::admission::Settings;
use siskinbend_routing::admission::StartInfo;
use siskinbend_types::Organisation;
use siskinbend_types::Time;

/// Streams that may run at a time.
const SLOTS: u32 = 20;
/// How long streams run on average. They run for half to one and a half times as long, so that places
/// do not become free in bursts.
const HOLD_MS: u64 = 1_000;

/// Kind of request.
#[derive(Debug, Clone, Copy)]
struct Kind {
    organisation: &'static str,
    class: u8,
    goal_ms: u64,
    /// Requests per second, sent in bursts of `burst`.
    rate: u64,
    burst: u64,
}

/// Requests of one kind that were sent, started and displaced, and the longest wait.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    sent: u32,
    started: u32,
    displaced: u32,
    longest_ms: u64,
}

impl Counts {
    fn share(&self) -> f64 {
        f64::from(self.started) / f64::from(self.sent)
    }
}

/// Gateway with one service, whose limit changes only by the test.
struct Gateway {
    queue: Queue<(usize, u8, u64)>,
    /// Streams with their class, start and end.
    running: Vec<(Organisation, u8, u64, u64)>,
    /// Number of streams started.
    started: u64,
    slots: u32,
    counts: Vec<Counts>,
}

impl Gateway {
    fn new(kinds: usize) -> Gateway {
        let settings = Settings {
            slots: SLOTS,
            ..Settings::for_gateway()
        };
        Gateway {
            queue: Queue::new(settings),
            running: Vec::new(),
            started: 0,
            slots: SLOTS,
            counts: vec![Counts::default(); kinds],
        }
    }

    fn free(&self) -> u32 {
        self.slots.saturating_sub(self.running.len() as u32)
    }

    fn wake(&mut self, ms: u64) {
        let now = Time::from_millis(ms);
        while let Some(ready) = self.queue.dequeue_within(self.free(), now).ready {
            let (kind, class, latest_ms) = ready.item;
            assert!(ms <= latest_ms, "started after its latest start");
            self.start(
                kind,
                class,
                &ready.organisation,
                ms,
                ready.waited.as_millis() as u64,
            );
        }
    }

    fn start(
        &mut self,
        kind: usize,
        class: u8,
        organisation: &Organisation,
        ms: u64,
        waited_ms: u64,
    ) {
        self.started += 1;
        let hold_ms = HOLD_MS / 2 + self.started * 617 % HOLD_MS;
        self.running
            .push((organisation.clone(), class, ms, ms + hold_ms));
        let counts = &mut self.counts[kind];
        counts.started += 1;
        counts.longest_ms = counts.longest_ms.max(waited_ms);
    }

    fn finish(&mut self, ms: u64) {
        while let Some(at) = self.running.iter().position(|(_, _, _, end)| *end <= ms) {
            let (organisation, class, started, end) = self.running.swap_remove(at);
            let held = Duration::from_millis(end - started);
            self.queue
                .release_class(&organisation, class, Some(held), Time::from_millis(ms));
            self.wake(ms);
        }
    }

    fn receive(&mut self, number: usize, kind: Kind, ms: u64) {
        let now = Time::from_millis(ms);
        let latest_ms = ms + kind.goal_ms / 4;
        let info = StartInfo {
            organisation: kind.organisation.parse().expect("a valid name"),
            class: kind.class,
            latest_start: Time::from_millis(latest_ms),
        };
        self.counts[number].sent += 1;
        self.wake(ms);
        if self.queue.try_start(&info, self.free(), now) {
            self.start(number, kind.class, &info.organisation, ms, 0);
            return;
        }
        let item = (number, kind.class, latest_ms);
        let enqueued = self.queue.enqueue_until(item, info, now);
        if let Some((displaced, ..)) = enqueued.ok().and_then(|e| e.displaced) {
            self.counts[displaced].displaced += 1;
        }
    }
}

/// Sends all kinds for 20 s.
fn simulate(kinds: &[Kind]) -> Vec<Counts> {
    let mut gateway = Gateway::new(kinds.len());
    for ms in 0..20_000 {
        gateway.finish(ms);
        for (number, kind) in kinds.iter().enumerate() {
            let interval = 1_000 * kind.burst / kind.rate;
            if (ms + 7 * number as u64).is_multiple_of(interval) {
                (0..kind.burst).for_each(|_| gateway.receive(number, *kind, ms));
            }
        }
        assert!(gateway.running.len() <= SLOTS as usize);
    }
    gateway.counts
}

const CHAT: Kind = Kind {
    organisation: "a",
    class: 0,
    goal_ms: 400,
    rate: 15,
    burst: 1,
};
const REPORT: Kind = Kind {
    class: 2,
    goal_ms: 1_000,
    ..CHAT
};

/// Guards against an urgent kind that loses every free place to a kind that can wait longer, and
/// against a less urgent kind that gets nothing.
#[test]
fn urgent_kind_is_served_best() {
    for (burst, rate) in [(1, 15), (5, 15), (15, 15), (10, 40)] {
        let kinds = [
            Kind {
                burst,
                rate,
                ..CHAT
            },
            Kind {
                class: 1,
                goal_ms: 600,
                burst,
                rate,
                ..CHAT
            },
            Kind {
                burst,
                rate,
                ..REPORT
            },
        ];
        let counts = simulate(&kinds);
        let case = format!("bursts of {burst}, {rate}/s: {counts:?}");
        assert!(counts[0].share() >= counts[2].share(), "{case}");
        let started: u32 = counts.iter().map(|c| c.started).sum();
        // A quarter of its share, in whole requests.
        let floor = (0.25 * f64::from(started) / 3.0).floor();
        assert!(f64::from(counts[2].started) >= floor, "{case}");
        // Bursts leave places idle; steady load does not.
        assert!(burst > 1 || started >= SLOTS * 20 * 9 / 10, "{case}");
    }
}

/// Guards against a large organisation that marks all its requests as urgent and takes the share of
/// small ones.
#[test]
fn urgent_marks_take_no_share() {
    let mut kinds = vec![Kind {
        organisation: "large",
        rate: 100,
        ..CHAT
    }];
    for organisation in ["b", "c", "d"] {
        kinds.push(Kind {
            organisation,
            rate: 4,
            class: 9,
            ..REPORT
        });
    }
    let counts = simulate(&kinds);
    for small in &counts[1..] {
        assert!(small.share() > 0.9, "{counts:?}");
    }
    assert!(counts[0].started > 90, "{counts:?}");
}

/// Guards against 400 callers at once, as after a restart, that all wait and all start late.
#[test]
fn burst_after_restart_is_bounded() {
    let mut gateway = Gateway::new(1);
    (0..400).for_each(|_| gateway.receive(0, CHAT, 1_000));
    assert_eq!(gateway.counts[0].started, SLOTS);
    assert!(gateway.queue.queued() <= 64);
    for ms in 1_000..4_000 {
        gateway.finish(ms);
    }
    let late = gateway
        .queue
        .dequeue_within(SLOTS, Time::from_millis(4_000));
    assert!(late.ready.is_none());
    assert_eq!(
        gateway.counts[0].started, SLOTS,
        "the rest could not start in time"
    );
}

/// Guards against waiters that start too late after the gateway was frozen, and against a limit that
/// is exceeded after it fell below the number of running streams.
#[test]
fn freeze_and_fallen_limit_start_nothing() {
    let mut gateway = Gateway::new(1);
    (0..40).for_each(|_| gateway.receive(0, CHAT, 1_000));
    let waiting = gateway.queue.queued();
    assert!(waiting > 0);
    let late = gateway.queue.dequeue_within(5, Time::from_millis(9_000));
    assert!(late.ready.is_none());
    assert_eq!(late.late.len(), waiting);
    gateway.slots = 4;
    gateway.queue.set_slots(4);
    gateway.receive(0, REPORT, 1_500);
    gateway.finish(1_500);
    assert_eq!(gateway.counts[0].started, SLOTS);
}

/// Guards against an urgent request that is refused while less urgent ones wait.
#[test]
fn urgent_request_displaces() {
    let mut gateway = Gateway::new(2);
    (0..u64::from(SLOTS)).for_each(|n| gateway.receive(0, CHAT, 100 + n * 50));
    for ms in 1_100..1_150 {
        gateway.finish(ms);
    }
    assert!(gateway.queue.queued() == 0);
    (0..12).for_each(|_| gateway.receive(1, REPORT, 1_150));
    let waiting = gateway.queue.queued();
    (0..3).for_each(|_| gateway.receive(0, CHAT, 1_150));
    assert!(gateway.counts[1].displaced > 0, "{:?}", gateway.counts);
    assert!(gateway.queue.queued() <= waiting + 1);
}

/// Guards against waiters that stay when all groups close, and against places that are lost by it.
#[test]
fn closed_group_ends_all_waits() {
    let mut gateway = Gateway::new(1);
    (0..40).for_each(|_| gateway.receive(0, CHAT, 1_000));
    let waiting = gateway.queue.queued();
    assert!(waiting > 0);
    assert_eq!(gateway.queue.clear().len(), waiting);
    (1_000..4_000).for_each(|ms| gateway.finish(ms));
    (0..40).for_each(|_| gateway.receive(0, CHAT, 4_000));
    assert_eq!(gateway.counts[0].started, 2 * SLOTS);
}
