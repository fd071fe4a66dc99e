//! Entries and replicas of one service, driven by one queue of events.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use hdrhistogram::Histogram;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use siskinbend_routing::AttemptResult;
use siskinbend_routing::Observation;
use siskinbend_routing::Picker;
use siskinbend_routing::PolicyKind;
use siskinbend_routing::Queue;
use siskinbend_routing::RequestInfo;
use siskinbend_routing::Requirements;
use siskinbend_routing::Verdict;
use siskinbend_routing::WaiterId;
use siskinbend_routing::admission;
use siskinbend_routing::picker;
use siskinbend_types::AgentId;
use siskinbend_types::Incarnation;
use siskinbend_types::Reason;
use siskinbend_types::Time;
use siskinbend_types::Window;
use siskinbend_types::Zone;

use super::trace;
use super::trace::Arrival;
use super::trace::Fault;
use super::trace::Trace;

/// One-way delay between entry and agent in microseconds.
const DELAY: u64 = 500;
/// Time between two reports of an agent, and how late they arrive, in microseconds.
const REPORT: (u64, u64) = (250_000, 1_000_000);
/// Wait for the first token after which an entry asks whether the replica is still usable.
const CHECK: u64 = 3_000_000;
/// Prefixes that a backend server caches.
const CACHED: usize = 32;
/// Retries allowed per request, and the most that can be saved up.
const BUDGET: (f64, f64) = (0.1, 10.0);
/// Requests that may wait at an agent.
const LIMIT: usize = 64;
/// Slots that an organisation far above its share leaves to the others.
const RESERVE: u32 = 3;
/// Start and end of the stall, in microseconds.
const STALL: (u64, u64) = (60_000_000, 90_000_000);
/// How many times longer everything takes at the slow backend server.
const SLOWNESS: f64 = 4.0;
/// Longest time that the histograms tell apart, in microseconds.
const LONGEST: u64 = 120_000_000;
/// The replica with the fault.
const FAULTY: usize = 0;

/// What happened in the measured part of a run.
pub struct Tally {
    /// Time from arrival at the entry to the first token at the entry in microseconds.
    pub first: Histogram<u64>,
    /// The same for the small organisations.
    pub small: Histogram<u64>,
    arrived: u64,
    shed: u64,
    /// Requests and retries of the whole run: the budget carries over into the measured part.
    total: u64,
    retried: u64,
    good: u64,
    prefixed: u64,
    hits: u64,
    uneven: f64,
    samples: u64,
}

impl Tally {
    fn new() -> Self {
        let histogram = || Histogram::new_with_max(LONGEST, 3).expect("valid bounds");
        Self {
            first: histogram(),
            small: histogram(),
            arrived: 0,
            shed: 0,
            total: 0,
            retried: 0,
            good: 0,
            prefixed: 0,
            hits: 0,
            uneven: 0.0,
            samples: 0,
        }
    }

    /// Share of requests that were refused for good.
    pub fn shed_share(&self) -> f64 {
        self.shed as f64 / self.arrived.max(1) as f64
    }

    /// Share of started requests with a common prefix that found it cached.
    pub fn hit_share(&self) -> f64 {
        self.hits as f64 / self.prefixed.max(1) as f64
    }

    /// Mean over time of the busiest replica's load over the mean load, minus 1.
    pub fn mean_unevenness(&self) -> f64 {
        self.uneven / self.samples.max(1) as f64
    }

    /// Answers in time per second over capacity.
    pub fn goodput(&self) -> f64 {
        let seconds = (trace::MEASURED.1 - trace::MEASURED.0) as f64 / 1e6;
        self.good as f64 / seconds / trace::capacity()
    }

    /// Retries over requests.
    pub fn retry_share(&self) -> f64 {
        self.retried as f64 / self.total.max(1) as f64
    }
}

enum Event {
    Arrive(usize),
    /// The attempt reaches the agent.
    Reach(usize, u32),
    /// The backend server produces the first token.
    First(usize, u32),
    /// The first token reaches the entry, this long after the dispatch.
    Hear(usize, u64),
    /// The backend server ends the attempt, which started at the time given.
    Finish(usize, u32, u64),
    /// The entry learns how the attempt ended.
    Back(usize, u32, AttemptResult),
    /// The entry checks on an attempt without a first token.
    Check(usize, u32),
    /// All agents make a report.
    Report,
    /// A report reaches all entries.
    Deliver(usize, Observation),
}

struct Entry {
    picker: Picker,
    budget: f64,
}

struct Backend {
    agent: AgentId,
    zone: Zone,
    queue: Queue<(usize, u32)>,
    cache: VecDeque<u64>,
    slowness: f64,
    stall: Option<(u64, u64)>,
}

impl Backend {
    /// Whether the prefix is cached; it is afterwards.
    fn touch(&mut self, prefix: u64) -> bool {
        let found = self.cache.iter().position(|p| *p == prefix);
        if let Some(at) = found {
            self.cache.remove(at);
        }
        self.cache.push_front(prefix);
        self.cache.truncate(CACHED);
        found.is_some()
    }

    fn is_stalled(&self, now: u64) -> bool {
        self.stall
            .is_some_and(|(from, to)| (from..to).contains(&now))
    }
}

/// A request on its way.
struct Call {
    arrival: Arrival,
    tried: Vec<AgentId>,
    attempt: u32,
    replica: usize,
    place: Option<WaiterId>,
    sent: u64,
    first: Option<u64>,
}

/// Entries, replicas and the events to come.
pub struct Fleet {
    now: u64,
    next: u64,
    events: BTreeMap<(u64, u64), Event>,
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    replicas: Vec<Backend>,
    calls: Vec<Call>,
    tally: Tally,
}

impl Fleet {
    /// An idle fleet whose entries know all replicas.
    pub fn new(policy: PolicyKind, fault: Fault, seed: u64) -> Self {
        let mut fleet = Self {
            now: 0,
            next: 0,
            events: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            entries: (0..trace::ENTRIES).map(|n| make_entry(policy, n)).collect(),
            replicas: (0..trace::REPLICAS).map(make_backend).collect(),
            calls: Vec::new(),
            tally: Tally::new(),
        };
        match fault {
            Fault::None => {}
            Fault::Stalled => fleet.replicas[FAULTY].stall = Some(STALL),
            Fault::Slow => fleet.replicas[FAULTY].slowness = SLOWNESS,
        }
        for replica in 0..fleet.replicas.len() {
            let seen = fleet.make_report(replica, 0);
            fleet.deliver(replica, &seen);
        }
        fleet
    }

    /// Runs all requests to their end.
    pub fn run(mut self, trace: Trace) -> Tally {
        for arrival in trace.0 {
            let at = arrival.at;
            let call = Call {
                arrival,
                tried: Vec::new(),
                attempt: 0,
                replica: 0,
                place: None,
                sent: 0,
                first: None,
            };
            self.push(at, Event::Arrive(self.calls.len()));
            self.calls.push(call);
        }
        self.push(REPORT.0, Event::Report);
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            self.step(event);
        }
        self.tally
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.insert((at, self.next), event);
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(id) => self.arrive(id),
            Event::Reach(id, attempt) => self.reach(id, attempt),
            Event::First(id, attempt) => self.produce(id, attempt),
            Event::Hear(id, after) => self.hear_first(id, after),
            Event::Finish(id, attempt, start) => self.finish(id, attempt, start),
            Event::Back(id, attempt, done) => self.hear_end(id, attempt, done),
            Event::Check(id, attempt) => self.check(id, attempt),
            Event::Report => self.report(),
            Event::Deliver(replica, seen) => self.deliver(replica, &seen),
        }
    }

    fn is_measured(&self, id: usize) -> bool {
        (trace::MEASURED.0..trace::MEASURED.1).contains(&self.calls[id].arrival.at)
    }

    fn arrive(&mut self, id: usize) {
        let entry = &mut self.entries[self.calls[id].arrival.entry];
        entry.budget = (entry.budget + BUDGET.0).min(BUDGET.1);
        self.tally.arrived += u64::from(self.is_measured(id));
        self.tally.total += 1;
        self.dispatch(id);
    }

    fn dispatch(&mut self, id: usize) {
        let call = &mut self.calls[id];
        // Events of the attempt before, such as its check, no longer apply.
        call.attempt += 1;
        let wish = Requirements {
            prefix: call.arrival.prefix,
            avoid: call.tried.clone(),
            ..Requirements::default()
        };
        let picker = &mut self.entries[call.arrival.entry].picker;
        let now = Time(self.now);
        let Ok(choice) = picker.choose(&wish, now, &mut self.rng) else {
            self.tally.shed += u64::from(self.is_measured(id));
            return;
        };
        picker.record_dispatch(&choice.agent, now);
        let known = self.replicas.iter().position(|r| r.agent == choice.agent);
        call.replica = known.expect("only known replicas are observed");
        call.place = None;
        call.sent = self.now;
        call.tried.push(choice.agent);
        let attempt = call.attempt;
        self.push(self.now + DELAY, Event::Reach(id, attempt));
        self.push(self.now + CHECK, Event::Check(id, attempt));
    }

    fn reach(&mut self, id: usize, attempt: u32) {
        let call = &self.calls[id];
        let replica = call.replica;
        let ticket = RequestInfo {
            organisation: trace::name_sender(call.arrival.sender),
            priority: call.arrival.priority,
            deadline: Some(Time(call.arrival.at + trace::PATIENCE)),
            cost: 1,
        };
        match self.replicas[replica]
            .queue
            .enqueue((id, attempt), ticket, Time(self.now))
        {
            Ok(place) => self.calls[id].place = Some(place),
            Err(reason) => {
                self.push(
                    self.now + DELAY,
                    Event::Back(id, attempt, AttemptResult::Refused(reason)),
                );
            }
        }
        self.start_ready(replica);
    }

    /// Starts what the agent's queue lets through.
    fn start_ready(&mut self, replica: usize) {
        loop {
            let taken = self.replicas[replica].queue.dequeue(Time(self.now));
            for (id, attempt) in taken.late {
                let done = AttemptResult::Refused(Reason::Deadline);
                self.push(self.now + DELAY, Event::Back(id, attempt, done));
            }
            let Some(run) = taken.ready else {
                return;
            };
            self.start(replica, run.item.0, run.item.1);
        }
    }

    fn start(&mut self, replica: usize, id: usize, attempt: u32) {
        let backend = &mut self.replicas[replica];
        let call = &mut self.calls[id];
        call.place = None;
        let hit = call.arrival.prefix.is_some_and(|p| backend.touch(p));
        let saved = if hit { trace::SAVED } else { 0.0 };
        let prefill = call.arrival.prefill * (1.0 - saved) * backend.slowness;
        let decode = call.arrival.decode * backend.slowness;
        let has_prefix = call.arrival.prefix.is_some();
        if self.is_measured(id) {
            self.tally.prefixed += u64::from(has_prefix);
            self.tally.hits += u64::from(hit);
        }
        let first = self.now + prefill as u64;
        self.push(first, Event::First(id, attempt));
        self.push(first + decode as u64, Event::Finish(id, attempt, self.now));
    }

    /// Puts off an event of a backend server that is stalled.
    fn is_put_off(&mut self, id: usize, event: impl FnOnce() -> Event) -> bool {
        let backend = &self.replicas[self.calls[id].replica];
        let Some((from, to)) = backend.stall.filter(|_| backend.is_stalled(self.now)) else {
            return false;
        };
        self.push(self.now + (to - from), event());
        true
    }

    fn produce(&mut self, id: usize, attempt: u32) {
        if self.calls[id].attempt != attempt || self.is_put_off(id, || Event::First(id, attempt)) {
            return;
        }
        let call = &mut self.calls[id];
        let after = self.now + DELAY - call.sent;
        call.first = Some(self.now + DELAY - call.arrival.at);
        self.push(self.now + DELAY, Event::Hear(id, after));
        let call = &self.calls[id];
        self.replicas[call.replica]
            .queue
            .record_progress(Time(self.now));
    }

    fn hear_first(&mut self, id: usize, after: u64) {
        let call = &self.calls[id];
        let agent = &self.replicas[call.replica].agent;
        let picker = &mut self.entries[call.arrival.entry].picker;
        picker.record_first_token(agent, Duration::from_micros(after), Time(self.now));
    }

    fn finish(&mut self, id: usize, attempt: u32, start: u64) {
        // An abandoned attempt still holds its slot at the replica that it was sent to.
        let agent = &self.calls[id].tried[attempt as usize - 1];
        let replica = self.replicas.iter().position(|r| &r.agent == agent);
        let replica = replica.expect("only known replicas are tried");
        let backend = &mut self.replicas[replica];
        if let Some((from, to)) = backend.stall.filter(|_| backend.is_stalled(self.now)) {
            self.push(self.now + (to - from), Event::Finish(id, attempt, start));
            return;
        }
        let organisation = trace::name_sender(self.calls[id].arrival.sender);
        let spent = Duration::from_micros(self.now - start);
        backend
            .queue
            .release_slot(&organisation, spent, Time(self.now));
        if self.calls[id].first.is_some() && self.calls[id].attempt == attempt {
            let done = AttemptResult::Ok { first_token: None };
            self.push(self.now + DELAY, Event::Back(id, attempt, done));
        }
        self.start_ready(replica);
    }

    fn hear_end(&mut self, id: usize, attempt: u32, done: AttemptResult) {
        let call = &self.calls[id];
        if call.attempt != attempt {
            return;
        }
        let agent = self.replicas[call.replica].agent.clone();
        let sender = call.arrival.sender;
        let took = self.now - call.arrival.at;
        let first = call.first;
        let entry = &mut self.entries[call.arrival.entry];
        entry.picker.record_result(&agent, done, Time(self.now));
        if !matches!(done, AttemptResult::Ok { .. }) {
            self.retry(id);
        } else if self.is_measured(id) {
            let first = first.unwrap_or(took);
            self.tally.first.saturating_record(first);
            if sender != 0 {
                self.tally.small.saturating_record(first);
            }
            self.tally.good += u64::from(took <= trace::PATIENCE);
        }
    }

    fn retry(&mut self, id: usize) {
        let entry = &mut self.entries[self.calls[id].arrival.entry];
        if entry.budget >= 1.0 {
            entry.budget -= 1.0;
            self.tally.retried += 1;
            self.dispatch(id);
        } else {
            self.calls[id].attempt += 1;
            self.tally.shed += u64::from(self.is_measured(id));
        }
    }

    /// Cancels an attempt at a replica that the entry no longer uses, and tries another.
    fn check(&mut self, id: usize, attempt: u32) {
        let call = &self.calls[id];
        if call.attempt != attempt || call.first.is_some() {
            return;
        }
        let backend = &mut self.replicas[call.replica];
        let picker = &mut self.entries[call.arrival.entry].picker;
        let usable = |v: Verdict| matches!(v, Verdict::Usable | Verdict::Readmitted);
        let explained = picker.explain(Time(self.now));
        if explained
            .iter()
            .any(|e| e.agent == backend.agent && usable(e.verdict))
        {
            self.push(self.now + REPORT.0, Event::Check(id, attempt));
            return;
        }
        if let Some(place) = call.place {
            backend.queue.remove(place);
        }
        picker.record_result(&backend.agent, AttemptResult::Stalled, Time(self.now));
        self.retry(id);
    }

    fn make_report(&mut self, replica: usize, age: u64) -> Observation {
        let now = Time(self.now);
        let backend = &mut self.replicas[replica];
        if !backend.is_stalled(self.now) {
            // Running requests produce tokens all the time.
            backend.queue.record_progress(now);
        }
        Observation {
            incarnation: Incarnation(1),
            window: Window(1),
            zone: backend.zone.clone(),
            draining: false,
            report: backend.queue.report(now),
            report_age: Duration::from_micros(age),
        }
    }

    fn report(&mut self) {
        let mut loads = Vec::new();
        for replica in 0..self.replicas.len() {
            self.start_ready(replica);
            let seen = self.make_report(replica, REPORT.1);
            loads.push(f64::from(seen.report.total()));
            self.push(self.now + REPORT.1, Event::Deliver(replica, seen));
        }
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        if (trace::MEASURED.0..trace::MEASURED.1).contains(&self.now) && mean > 0.0 {
            let most = loads.into_iter().fold(0.0, f64::max);
            self.tally.uneven += most / mean - 1.0;
            self.tally.samples += 1;
        }
        for entry in &mut self.entries {
            entry.picker.take_due_probes(Time(self.now));
        }
        if self.now < trace::MEASURED.1 + trace::PATIENCE {
            self.push(self.now + REPORT.0, Event::Report);
        }
    }

    fn deliver(&mut self, replica: usize, seen: &Observation) {
        let agent = &self.replicas[replica].agent;
        for entry in &mut self.entries {
            entry.picker.observe(agent, seen.clone(), Time(self.now));
        }
    }
}

fn name_zone(n: usize) -> Zone {
    format!("zone-{}", n % trace::ZONES)
        .parse()
        .expect("a valid name")
}

fn make_entry(policy: PolicyKind, n: usize) -> Entry {
    let settings = picker::Settings {
        policy,
        ..picker::Settings::default()
    };
    Entry {
        picker: Picker::new(settings, name_zone(n)),
        budget: 0.0,
    }
}

fn make_backend(n: usize) -> Backend {
    let settings = admission::Settings {
        slots: trace::SLOTS,
        max_queued: LIMIT,
        reserved_slots: RESERVE,
        ..admission::Settings::default()
    };
    Backend {
        agent: format!("agent-{n}").parse().expect("a valid name"),
        zone: name_zone(n),
        queue: Queue::new(settings),
        cache: VecDeque::new(),
        slowness: 1.0,
        stall: None,
    }
}
