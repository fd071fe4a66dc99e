//! Leases under process pauses, lost answers, delayed writes and clock skew. Guards against two
//! simultaneous holders and against fencing numbers that repeat or decrease.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use siskinbend_control::lease::Action;
use siskinbend_control::lease::Event;
use siskinbend_control::lease::Lease;
use siskinbend_control::lease::LeaseRow;
use siskinbend_store::Cause;
use siskinbend_store::CommitAnswer;
use siskinbend_store::Key;
use siskinbend_store::Revision;
use siskinbend_store::Row;
use siskinbend_store::StoreError;
use siskinbend_store::memory::MemoryTable;
use siskinbend_types::FencingNumber;
use siskinbend_types::Incarnation;
use siskinbend_types::Time;

const TERM: Duration = Duration::from_secs(6);
const STEP_MS: u64 = 20;

fn lease_key() -> Key {
    "lease/draft-a".parse().expect("key")
}

/// One process of the simulation, with the rate of its clock.
struct Process {
    lease: Lease,
    rate: f64,
    paused_until: u64,
    inbox: Vec<(u64, Event)>,
}

impl Process {
    fn new(id: u64, rate: f64) -> Self {
        Self {
            lease: Lease::new(lease_key(), Incarnation(id), TERM),
            rate,
            paused_until: 0,
            inbox: Vec::new(),
        }
    }

    fn clock(&self, millis: u64) -> Time {
        Time((millis as f64 * 1_000.0 * self.rate) as u64)
    }
}

/// Fault probabilities and delays of a run.
#[derive(Clone, Copy, Default)]
struct FaultRates {
    lost: f64,
    delayed: f64,
    pause: f64,
    skew: f64,
    /// Upper bound of the latency of a request or an answer in milliseconds; 20 times this for a
    /// delayed request.
    latency: u64,
}

struct Simulation {
    table: MemoryTable,
    requests: Vec<(u64, usize, Action, bool)>,
    processes: Vec<Process>,
    rng: ChaCha8Rng,
    faults: FaultRates,
    owners: BTreeMap<FencingNumber, Incarnation>,
    held_steps: u64,
}

impl Simulation {
    fn new(seed: u64, faults: FaultRates) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let rates = [1.0 - faults.skew, 1.0 + faults.skew, 1.0, 1.0];
        let processes = rates
            .iter()
            .zip(1..)
            .map(|(rate, id)| Process::new(id, *rate));
        Self {
            table: MemoryTable::default(),
            requests: Vec::new(),
            processes: processes.collect(),
            faults,
            owners: BTreeMap::new(),
            held_steps: 0,
            rng,
        }
    }

    fn send(&mut self, now: u64, process: usize, action: Action) {
        let delayed = self.rng.random_bool(self.faults.delayed);
        let latency = self.faults.latency * if delayed { 20 } else { 1 };
        let arrival = now + self.rng.random_range(0..latency);
        let lost = self.rng.random_bool(self.faults.lost);
        if lost || delayed {
            let cause = Cause::Timeout;
            let event = match &action {
                Action::Read(_) => {
                    Event::Read(Err(StoreError::NotApplied(cause)), self.rng.random())
                }
                Action::Commit(_) => Event::Commit(Err(StoreError::Ambiguous(cause))),
            };
            self.processes[process].inbox.push((now + 1_000, event));
        }
        self.requests
            .push((arrival, process, action, lost || delayed));
    }

    /// Executes the requests that have arrived at the table.
    fn serve(&mut self, now: u64) {
        let due: Vec<_> = self
            .requests
            .extract_if(.., |request| request.0 <= now)
            .collect();
        for (_, process, action, lost_answer) in due {
            let at = Time::from_millis(now);
            let event = match &action {
                Action::Read(key) => {
                    let row = self.table.read(key, at).cloned();
                    Event::Read(Ok(row), self.rng.random())
                }
                Action::Commit(commit) => Event::Commit(Ok(self.table.commit(commit, at))),
            };
            if !lost_answer {
                let back = now + self.rng.random_range(0..self.faults.latency);
                self.processes[process].inbox.push((back, event));
            }
        }
    }

    fn step(&mut self, now: u64) {
        self.serve(now);
        for index in 0..self.processes.len() {
            if self.rng.random_bool(self.faults.pause) {
                self.processes[index].paused_until = now + self.rng.random_range(0..30_000);
            }
            if now < self.processes[index].paused_until {
                continue;
            }
            let process = &mut self.processes[index];
            let mut due: Vec<_> = process.inbox.extract_if(.., |(at, _)| *at <= now).collect();
            due.push((now, Event::Tick(self.rng.random())));
            for (_, event) in due {
                let clock = self.processes[index].clock(now);
                if let Some(action) = self.processes[index].lease.handle(event, clock) {
                    self.send(now, index, action);
                }
            }
        }
        self.check(now);
    }

    fn check(&mut self, now: u64) {
        let mut holders = Vec::new();
        for (process, id) in self.processes.iter().zip(1..) {
            // A paused process is checked too: it reads its clock when it resumes.
            if let Some(fencing) = process.lease.fencing(process.clock(now)) {
                holders.push((id, fencing));
                let owner = *self.owners.entry(fencing).or_insert(Incarnation(id));
                assert_eq!(
                    owner,
                    Incarnation(id),
                    "fencing number {fencing} used twice"
                );
                let (newest, _) = self.owners.last_key_value().expect("not empty");
                assert_eq!(
                    *newest, fencing,
                    "a lower fencing number is held at {now} ms"
                );
            }
        }
        assert!(holders.len() <= 1, "two holders at {now} ms: {holders:?}");
        self.held_steps += holders.len() as u64;
    }

    fn run(&mut self, duration_ms: u64) {
        for now in (0..duration_ms).step_by(STEP_MS as usize) {
            self.step(now);
        }
    }
}

#[test]
fn never_two_holders_under_faults() {
    let mut held = 0;
    for seed in 0..40 {
        let faults = FaultRates {
            lost: 0.1,
            delayed: 0.1,
            pause: 0.000_5,
            skew: 0.15,
            latency: 1_000,
        };
        let mut simulation = Simulation::new(seed, faults);
        simulation.run(300_000);
        held += simulation.held_steps;
        assert!(
            simulation.owners.len() > 1,
            "seed {seed}: the lease never changed hands"
        );
    }
    // Without a holder, all checks above would pass trivially.
    assert!(held > 40 * 300_000 / STEP_MS / 4, "held for {held} steps");
}

#[test]
fn holder_keeps_the_lease_without_faults() {
    let faults = FaultRates {
        latency: 20,
        ..FaultRates::default()
    };
    let mut simulation = Simulation::new(1, faults);
    simulation.run(120_000);
    assert_eq!(simulation.owners.len(), 1);
    assert!(simulation.held_steps > 120_000 / STEP_MS * 98 / 100);
}

#[test]
fn paused_holder_loses_its_lease() {
    let key = lease_key();
    let mut table = MemoryTable::default();
    let mut first = Lease::new(key.clone(), Incarnation(1), TERM);
    let mut second = Lease::new(key.clone(), Incarnation(2), TERM);
    let mut draw = 0;
    let mut drive = |lease: &mut Lease, table: &mut MemoryTable, at: u64| {
        draw += 1;
        let now = Time::from_millis(at);
        let mut action = lease.handle(Event::Tick(draw), now);
        while let Some(next) = action {
            draw += 1;
            let event = match next {
                Action::Read(key) => Event::Read(Ok(table.read(&key, now).cloned()), draw),
                Action::Commit(commit) => Event::Commit(Ok(table.commit(&commit, now))),
            };
            action = lease.handle(event, now);
        }
        lease.fencing(now)
    };
    assert_eq!(drive(&mut first, &mut table, 0), Some(FencingNumber(1)));
    let grant = table.read(&key, Time(0)).expect("row").clone();
    // The first holder is paused from here on.
    for at in (500..9_500).step_by(500) {
        assert_eq!(drive(&mut second, &mut table, at), None, "at {at} ms");
    }
    assert_eq!(
        drive(&mut second, &mut table, 9_500),
        Some(FencingNumber(2))
    );
    assert_eq!(first.fencing(Time::from_millis(9_600)), None);
    assert_eq!(drive(&mut first, &mut table, 9_600), None);
    assert_eq!(
        drive(&mut second, &mut table, 10_000),
        Some(FencingNumber(2))
    );
    // After a restore of the first grant, its fencing number must not be granted again.
    table.restore(grant);
    drive(&mut second, &mut table, 14_000);
    let fencing = (14_000..40_000)
        .step_by(500)
        .find_map(|at| drive(&mut second, &mut table, at));
    assert_eq!(fencing, Some(FencingNumber(3)));
}

#[test]
fn released_lease_is_free_at_once_and_keeps_its_fencing_number() {
    let key = lease_key();
    let mut first = Lease::new(key.clone(), Incarnation(1), TERM);
    let now = Time::from_millis(10);
    first.handle(Event::Tick(1), now);
    let Some(Action::Commit(_)) = first.handle(Event::Read(Ok(None), 2), now) else {
        panic!("no grant")
    };
    let applied = CommitAnswer::Applied(Revision(1));
    assert_eq!(first.handle(Event::Commit(Ok(applied)), now), None);
    assert_eq!(first.fencing(now), Some(FencingNumber(1)));
    // The release is requested while a renewal is in flight and must follow it.
    let now = Time::from_millis(2_100);
    let Some(Action::Commit(_)) = first.handle(Event::Tick(3), now) else {
        panic!("no renewal")
    };
    assert_eq!(first.handle(Event::Release(3), now), None);
    assert_eq!(first.fencing(now), None);
    let applied = CommitAnswer::Applied(Revision(2));
    let Some(Action::Commit(release)) = first.handle(Event::Commit(Ok(applied)), now) else {
        panic!("no release")
    };
    assert_eq!(release.checks[0].revision, Some(Revision(2)));
    assert_eq!(first.fencing(now), None);
    let value = release.writes[0].value.clone().expect("the row stays");
    let row = Row {
        key: key.clone(),
        value,
        revision: Revision(2),
        writer: release.id,
    };
    assert!(LeaseRow::decode(&row.value).expect("row").released);
    let mut second = Lease::new(key, Incarnation(2), TERM);
    second.handle(Event::Tick(4), now);
    let Some(Action::Commit(grant)) = second.handle(Event::Read(Ok(Some(row)), 5), now) else {
        panic!("not free")
    };
    let value = grant.writes[0].value.clone().expect("value");
    assert_eq!(
        LeaseRow::decode(&value).expect("row").fencing,
        FencingNumber(2)
    );
}
