//! Leases; guards against two holders at the same moment and against a fencing number that is
//! used twice or goes back, with paused processes, lost answers, late writes and unequal clocks.

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
const STEP: u64 = 20;

fn lease_key() -> Key {
    "lease/draft-a".parse().expect("key")
}

/// One process of the simulation; its clock runs at its own rate.
struct Process {
    lease: Lease,
    rate: f64,
    paused: u64,
    inbox: Vec<(u64, Event)>,
}

impl Process {
    fn new(id: u64, rate: f64) -> Self {
        Self {
            lease: Lease::new(lease_key(), Incarnation(id), TERM),
            rate,
            paused: 0,
            inbox: Vec::new(),
        }
    }

    fn clock(&self, millis: u64) -> Time {
        Time((millis as f64 * 1_000.0 * self.rate) as u64)
    }
}

/// Faults of a run.
#[derive(Clone, Copy, Default)]
struct Mix {
    lost: f64,
    late: f64,
    pause: f64,
    skew: f64,
    /// Longest time of a request on its way.
    travel: u64,
}

struct World {
    table: MemoryTable,
    requests: Vec<(u64, usize, Action, bool)>,
    processes: Vec<Process>,
    rng: ChaCha8Rng,
    mix: Mix,
    owners: BTreeMap<FencingNumber, Incarnation>,
    held_steps: u64,
}

impl World {
    fn new(seed: u64, mix: Mix) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let rates = [1.0 - mix.skew, 1.0 + mix.skew, 1.0, 1.0];
        let processes = rates
            .iter()
            .zip(1..)
            .map(|(rate, id)| Process::new(id, *rate));
        Self {
            table: MemoryTable::default(),
            requests: Vec::new(),
            processes: processes.collect(),
            mix,
            owners: BTreeMap::new(),
            held_steps: 0,
            rng,
        }
    }

    fn send(&mut self, now: u64, process: usize, action: Action) {
        let late = self.rng.random_bool(self.mix.late);
        let travel = self.mix.travel * if late { 20 } else { 1 };
        let arrival = now + self.rng.random_range(0..travel);
        let lost = self.rng.random_bool(self.mix.lost);
        if lost || late {
            let cause = Cause::Timeout;
            let event = match &action {
                Action::Read(_) => {
                    Event::Read(Err(StoreError::NotApplied(cause)), self.rng.random())
                }
                Action::Commit(_) => Event::Commit(Err(StoreError::Ambiguous(cause))),
            };
            self.processes[process].inbox.push((now + 1_000, event));
        }
        self.requests.push((arrival, process, action, lost || late));
    }

    /// Carries out the requests that arrive at the table.
    fn serve(&mut self, now: u64) {
        let due: Vec<_> = self
            .requests
            .extract_if(.., |request| request.0 <= now)
            .collect();
        for (_, process, action, silent) in due {
            let at = Time::from_millis(now);
            let event = match &action {
                Action::Read(key) => {
                    let row = self.table.read(key, at).cloned();
                    Event::Read(Ok(row), self.rng.random())
                }
                Action::Commit(commit) => Event::Commit(Ok(self.table.commit(commit, at))),
            };
            if !silent {
                let back = now + self.rng.random_range(0..self.mix.travel);
                self.processes[process].inbox.push((back, event));
            }
        }
    }

    fn step(&mut self, now: u64) {
        self.serve(now);
        for index in 0..self.processes.len() {
            if self.rng.random_bool(self.mix.pause) {
                self.processes[index].paused = now + self.rng.random_range(0..30_000);
            }
            if now < self.processes[index].paused {
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
            // A paused process would find out by its clock at the moment it resumes.
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

    fn run(&mut self, span: u64) {
        for now in (0..span).step_by(STEP as usize) {
            self.step(now);
        }
    }
}

#[test]
fn never_two_holders_under_faults() {
    let mut held = 0;
    for seed in 0..40 {
        let mix = Mix {
            lost: 0.1,
            late: 0.1,
            pause: 0.000_5,
            skew: 0.15,
            travel: 1_000,
        };
        let mut world = World::new(seed, mix);
        world.run(300_000);
        held += world.held_steps;
        assert!(
            world.owners.len() > 1,
            "seed {seed}: the lease never changed hands"
        );
    }
    // A lease that nobody holds would pass every check above.
    assert!(held > 40 * 300_000 / STEP / 4, "held for {held} steps");
}

#[test]
fn holder_keeps_the_lease_without_faults() {
    let mix = Mix {
        travel: 20,
        ..Mix::default()
    };
    let mut world = World::new(1, mix);
    world.run(120_000);
    assert_eq!(world.owners.len(), 1);
    assert!(world.held_steps > 120_000 / STEP * 98 / 100);
}

#[test]
fn paused_holder_finds_its_lease_gone() {
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
    // A restore brings the first grant back: its number must not be granted again.
    table.restore(grant);
    drive(&mut second, &mut table, 14_000);
    let fencing = (14_000..40_000)
        .step_by(500)
        .find_map(|at| drive(&mut second, &mut table, at));
    assert_eq!(fencing, Some(FencingNumber(3)));
}

#[test]
fn released_lease_is_free_at_once_and_keeps_its_number() {
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
    // The stop comes while a renewal is under way, and must not be refused because of it.
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
