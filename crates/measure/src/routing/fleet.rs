//! Simulates the entries and replicas of one service with an event queue.

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
const NETWORK_DELAY_US: u64 = 500;
/// Time between two reports of an agent in microseconds.
const REPORT_INTERVAL_US: u64 = 250_000;
/// Delay of a report on its way to the entries in microseconds.
const REPORT_DELAY_US: u64 = 1_000_000;
/// Time without a first token, in microseconds, after which an entry checks whether the replica is
/// still usable.
const CHECK_DELAY_US: u64 = 3_000_000;
/// Prefixes that a backend server caches.
const MAX_CACHED_PREFIXES: usize = 32;
/// Retries that the retry budget gains with each request, and its maximum.
const RETRY_BUDGET: (f64, f64) = (0.1, 10.0);
/// Maximum number of requests queued at an agent.
const MAX_QUEUED: usize = 64;
/// Slots reserved for other organisations if one is far above its share.
const RESERVED_SLOTS: u32 = 3;
/// Start and end of the stall in microseconds.
const STALL_US: (u64, u64) = (60_000_000, 90_000_000);
/// Factor by which the times of the slow backend server are longer.
const SLOWDOWN: f64 = 4.0;
/// Upper limit of the histograms in microseconds.
const MAX_RECORDED_US: u64 = 120_000_000;
/// Index of the replica with the fault.
const FAULTY_REPLICA: usize = 0;

/// Statistics of the measured interval of a run.
pub struct RoutingStats {
    /// Time to first token, measured at the entry, in microseconds.
    pub first_token: Histogram<u64>,
    /// Time to first token of the small organisations in microseconds.
    pub small: Histogram<u64>,
    arrived: u64,
    shed: u64,
    /// Requests of the whole run, like `retried`: retry budget gained before the measured interval
    /// is spent in it.
    total: u64,
    retried: u64,
    good: u64,
    prefixed: u64,
    hits: u64,
    unevenness_sum: f64,
    samples: u64,
}

impl RoutingStats {
    fn new() -> Self {
        let histogram = || Histogram::new_with_max(MAX_RECORDED_US, 3).expect("valid bounds");
        Self {
            first_token: histogram(),
            small: histogram(),
            arrived: 0,
            shed: 0,
            total: 0,
            retried: 0,
            good: 0,
            prefixed: 0,
            hits: 0,
            unevenness_sum: 0.0,
            samples: 0,
        }
    }

    /// Share of requests that were shed.
    pub fn shed_share(&self) -> f64 {
        self.shed as f64 / self.arrived.max(1) as f64
    }

    /// Share of cache hits among the started requests with a common prefix.
    pub fn hit_share(&self) -> f64 {
        self.hits as f64 / self.prefixed.max(1) as f64
    }

    /// Mean over time of the highest load of a replica relative to the mean load, minus 1.
    pub fn mean_unevenness(&self) -> f64 {
        self.unevenness_sum / self.samples.max(1) as f64
    }

    /// Answers within the request timeout per second, relative to the capacity.
    pub fn goodput(&self) -> f64 {
        let seconds = (trace::MEASURED_US.1 - trace::MEASURED_US.0) as f64 / 1e6;
        self.good as f64 / seconds / trace::capacity()
    }

    /// Retries per request.
    pub fn retry_share(&self) -> f64 {
        self.retried as f64 / self.total.max(1) as f64
    }
}

enum Event {
    RequestArrival(usize),
    /// The attempt reaches the agent.
    AttemptArrival(usize, u32),
    /// The backend server produces the first token.
    FirstToken(usize, u32),
    /// The first token reaches the entry, this many microseconds after the dispatch.
    FirstTokenReceived(usize, u64),
    /// The backend server finishes the attempt, which started at the given time.
    Finish(usize, u32, u64),
    /// The result of the attempt reaches the entry.
    AttemptEnd(usize, u32, AttemptResult),
    /// The entry checks the replica of an attempt without a first token.
    Check(usize, u32),
    /// All agents send a report.
    Report,
    /// A report reaches all entries.
    ReportArrival(usize, Observation),
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
    slowdown: f64,
    stall: Option<(u64, u64)>,
}

impl Backend {
    /// Returns whether the prefix is cached, and puts it at the front of the cache.
    fn use_prefix(&mut self, prefix: u64) -> bool {
        let found = self.cache.iter().position(|p| *p == prefix);
        if let Some(at) = found {
            self.cache.remove(at);
        }
        self.cache.push_front(prefix);
        self.cache.truncate(MAX_CACHED_PREFIXES);
        found.is_some()
    }

    fn is_stalled(&self, now: u64) -> bool {
        self.stall
            .is_some_and(|(from, to)| (from..to).contains(&now))
    }
}

/// State of a request.
struct Call {
    arrival: Arrival,
    tried: Vec<AgentId>,
    attempt: u32,
    replica: usize,
    waiter: Option<WaiterId>,
    sent: u64,
    first: Option<u64>,
}

/// Simulated entries and replicas with their scheduled events.
pub struct Fleet {
    now: u64,
    sequence: u64,
    events: BTreeMap<(u64, u64), Event>,
    rng: ChaCha8Rng,
    entries: Vec<Entry>,
    replicas: Vec<Backend>,
    calls: Vec<Call>,
    stats: RoutingStats,
}

impl Fleet {
    /// Creates an idle fleet whose entries have a report of each replica.
    pub fn new(policy: PolicyKind, fault: Fault, seed: u64) -> Self {
        let mut fleet = Self {
            now: 0,
            sequence: 0,
            events: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0x5eed),
            entries: (0..trace::ENTRY_COUNT)
                .map(|n| build_entry(policy, n))
                .collect(),
            replicas: (0..trace::REPLICA_COUNT).map(build_backend).collect(),
            calls: Vec::new(),
            stats: RoutingStats::new(),
        };
        match fault {
            Fault::None => {}
            Fault::Stalled => fleet.replicas[FAULTY_REPLICA].stall = Some(STALL_US),
            Fault::Slow => fleet.replicas[FAULTY_REPLICA].slowdown = SLOWDOWN,
        }
        for replica in 0..fleet.replicas.len() {
            let observation = fleet.build_observation(replica, 0);
            fleet.deliver_report(replica, &observation);
        }
        fleet
    }

    /// Runs until no event is left and returns the statistics.
    pub fn run(mut self, trace: Trace) -> RoutingStats {
        for arrival in trace.0 {
            let at = arrival.at;
            let call = Call {
                arrival,
                tried: Vec::new(),
                attempt: 0,
                replica: 0,
                waiter: None,
                sent: 0,
                first: None,
            };
            self.push(at, Event::RequestArrival(self.calls.len()));
            self.calls.push(call);
        }
        self.push(REPORT_INTERVAL_US, Event::Report);
        while let Some(((at, _), event)) = self.events.pop_first() {
            self.now = at;
            self.handle_event(event);
        }
        self.stats
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at, self.sequence), event);
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::RequestArrival(id) => self.receive_request(id),
            Event::AttemptArrival(id, attempt) => self.receive_attempt(id, attempt),
            Event::FirstToken(id, attempt) => self.produce_first_token(id, attempt),
            Event::FirstTokenReceived(id, after) => self.receive_first_token(id, after),
            Event::Finish(id, attempt, start) => self.finish(id, attempt, start),
            Event::AttemptEnd(id, attempt, result) => self.receive_result(id, attempt, result),
            Event::Check(id, attempt) => self.check(id, attempt),
            Event::Report => self.send_reports(),
            Event::ReportArrival(replica, observation) => {
                self.deliver_report(replica, &observation);
            }
        }
    }

    fn is_measured(&self, id: usize) -> bool {
        (trace::MEASURED_US.0..trace::MEASURED_US.1).contains(&self.calls[id].arrival.at)
    }

    fn receive_request(&mut self, id: usize) {
        let entry = &mut self.entries[self.calls[id].arrival.entry];
        entry.budget = (entry.budget + RETRY_BUDGET.0).min(RETRY_BUDGET.1);
        self.stats.arrived += u64::from(self.is_measured(id));
        self.stats.total += 1;
        self.dispatch(id);
    }

    fn dispatch(&mut self, id: usize) {
        let call = &mut self.calls[id];
        // Invalidates events of the previous attempt, such as its check.
        call.attempt += 1;
        let requirements = Requirements {
            prefix: call.arrival.prefix,
            avoid: call.tried.clone(),
            ..Requirements::default()
        };
        let picker = &mut self.entries[call.arrival.entry].picker;
        let now = Time(self.now);
        let Ok(choice) = picker.choose(&requirements, now, &mut self.rng) else {
            self.stats.shed += u64::from(self.is_measured(id));
            return;
        };
        picker.record_dispatch(&choice.agent, now);
        let known = self.replicas.iter().position(|r| r.agent == choice.agent);
        call.replica = known.expect("only known replicas are observed");
        call.waiter = None;
        call.sent = self.now;
        call.tried.push(choice.agent);
        let attempt = call.attempt;
        self.push(
            self.now + NETWORK_DELAY_US,
            Event::AttemptArrival(id, attempt),
        );
        self.push(self.now + CHECK_DELAY_US, Event::Check(id, attempt));
    }

    fn receive_attempt(&mut self, id: usize, attempt: u32) {
        let call = &self.calls[id];
        let replica = call.replica;
        let info = RequestInfo {
            organisation: trace::organisation_name(call.arrival.sender),
            priority: call.arrival.priority,
            deadline: Some(Time(call.arrival.at + trace::REQUEST_TIMEOUT_US)),
            cost: 1,
        };
        match self.replicas[replica]
            .queue
            .enqueue((id, attempt), info, Time(self.now))
        {
            Ok(waiter) => self.calls[id].waiter = Some(waiter),
            Err(reason) => {
                self.push(
                    self.now + NETWORK_DELAY_US,
                    Event::AttemptEnd(id, attempt, AttemptResult::Refused(reason)),
                );
            }
        }
        self.start_ready(replica);
    }

    /// Starts the requests that the queue of the agent releases.
    fn start_ready(&mut self, replica: usize) {
        loop {
            let dequeued = self.replicas[replica].queue.dequeue(Time(self.now));
            for (id, attempt) in dequeued.late {
                let result = AttemptResult::Refused(Reason::Deadline);
                self.push(
                    self.now + NETWORK_DELAY_US,
                    Event::AttemptEnd(id, attempt, result),
                );
            }
            let Some(run) = dequeued.ready else {
                return;
            };
            self.start(replica, run.item.0, run.item.1);
        }
    }

    fn start(&mut self, replica: usize, id: usize, attempt: u32) {
        let backend = &mut self.replicas[replica];
        let call = &mut self.calls[id];
        call.waiter = None;
        let hit = call.arrival.prefix.is_some_and(|p| backend.use_prefix(p));
        let saved = if hit { trace::CACHED_SAVING } else { 0.0 };
        let prefill = call.arrival.prefill * (1.0 - saved) * backend.slowdown;
        let decode = call.arrival.decode * backend.slowdown;
        let has_prefix = call.arrival.prefix.is_some();
        if self.is_measured(id) {
            self.stats.prefixed += u64::from(has_prefix);
            self.stats.hits += u64::from(hit);
        }
        let first = self.now + prefill as u64;
        self.push(first, Event::FirstToken(id, attempt));
        self.push(first + decode as u64, Event::Finish(id, attempt, self.now));
    }

    /// Postpones the event by the length of the stall and returns true if its backend server is
    /// stalled.
    fn postpone_if_stalled(&mut self, id: usize, event: impl FnOnce() -> Event) -> bool {
        let backend = &self.replicas[self.calls[id].replica];
        let Some((from, to)) = backend.stall.filter(|_| backend.is_stalled(self.now)) else {
            return false;
        };
        self.push(self.now + (to - from), event());
        true
    }

    fn produce_first_token(&mut self, id: usize, attempt: u32) {
        if self.calls[id].attempt != attempt
            || self.postpone_if_stalled(id, || Event::FirstToken(id, attempt))
        {
            return;
        }
        let call = &mut self.calls[id];
        let after = self.now + NETWORK_DELAY_US - call.sent;
        call.first = Some(self.now + NETWORK_DELAY_US - call.arrival.at);
        self.push(
            self.now + NETWORK_DELAY_US,
            Event::FirstTokenReceived(id, after),
        );
        let call = &self.calls[id];
        self.replicas[call.replica]
            .queue
            .record_progress(Time(self.now));
    }

    fn receive_first_token(&mut self, id: usize, after: u64) {
        let call = &self.calls[id];
        let agent = &self.replicas[call.replica].agent;
        let picker = &mut self.entries[call.arrival.entry].picker;
        picker.record_first_token(agent, Duration::from_micros(after), Time(self.now));
    }

    fn finish(&mut self, id: usize, attempt: u32, start: u64) {
        // An abandoned attempt keeps its slot on the replica that it was sent to.
        let agent = &self.calls[id].tried[attempt as usize - 1];
        let replica = self.replicas.iter().position(|r| &r.agent == agent);
        let replica = replica.expect("only known replicas are tried");
        let backend = &mut self.replicas[replica];
        if let Some((from, to)) = backend.stall.filter(|_| backend.is_stalled(self.now)) {
            self.push(self.now + (to - from), Event::Finish(id, attempt, start));
            return;
        }
        let organisation = trace::organisation_name(self.calls[id].arrival.sender);
        let spent = Duration::from_micros(self.now - start);
        backend
            .queue
            .release_slot(&organisation, spent, Time(self.now));
        if self.calls[id].first.is_some() && self.calls[id].attempt == attempt {
            let result = AttemptResult::Ok { first_token: None };
            self.push(
                self.now + NETWORK_DELAY_US,
                Event::AttemptEnd(id, attempt, result),
            );
        }
        self.start_ready(replica);
    }

    fn receive_result(&mut self, id: usize, attempt: u32, result: AttemptResult) {
        let call = &self.calls[id];
        if call.attempt != attempt {
            return;
        }
        let agent = self.replicas[call.replica].agent.clone();
        let sender = call.arrival.sender;
        let elapsed = self.now - call.arrival.at;
        let first = call.first;
        let entry = &mut self.entries[call.arrival.entry];
        entry.picker.record_result(&agent, result, Time(self.now));
        if !matches!(result, AttemptResult::Ok { .. }) {
            self.retry(id);
        } else if self.is_measured(id) {
            let first = first.unwrap_or(elapsed);
            self.stats.first_token.saturating_record(first);
            if sender != 0 {
                self.stats.small.saturating_record(first);
            }
            self.stats.good += u64::from(elapsed <= trace::REQUEST_TIMEOUT_US);
        }
    }

    fn retry(&mut self, id: usize) {
        let entry = &mut self.entries[self.calls[id].arrival.entry];
        if entry.budget >= 1.0 {
            entry.budget -= 1.0;
            self.stats.retried += 1;
            self.dispatch(id);
        } else {
            self.calls[id].attempt += 1;
            self.stats.shed += u64::from(self.is_measured(id));
        }
    }

    /// Cancels an attempt on a replica that is no longer usable, and retries the request.
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
            self.push(self.now + REPORT_INTERVAL_US, Event::Check(id, attempt));
            return;
        }
        if let Some(waiter) = call.waiter {
            backend.queue.remove(waiter);
        }
        picker.record_result(&backend.agent, AttemptResult::Stalled, Time(self.now));
        self.retry(id);
    }

    fn build_observation(&mut self, replica: usize, age: u64) -> Observation {
        let now = Time(self.now);
        let backend = &mut self.replicas[replica];
        if !backend.is_stalled(self.now) {
            // A backend server that is not stalled produces tokens continuously.
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

    fn send_reports(&mut self) {
        let mut loads = Vec::new();
        for replica in 0..self.replicas.len() {
            self.start_ready(replica);
            let observation = self.build_observation(replica, REPORT_DELAY_US);
            loads.push(f64::from(observation.report.total()));
            self.push(
                self.now + REPORT_DELAY_US,
                Event::ReportArrival(replica, observation),
            );
        }
        let mean = loads.iter().sum::<f64>() / loads.len() as f64;
        if (trace::MEASURED_US.0..trace::MEASURED_US.1).contains(&self.now) && mean > 0.0 {
            let highest = loads.into_iter().fold(0.0, f64::max);
            self.stats.unevenness_sum += highest / mean - 1.0;
            self.stats.samples += 1;
        }
        for entry in &mut self.entries {
            entry.picker.take_due_probes(Time(self.now));
        }
        if self.now < trace::MEASURED_US.1 + trace::REQUEST_TIMEOUT_US {
            self.push(self.now + REPORT_INTERVAL_US, Event::Report);
        }
    }

    fn deliver_report(&mut self, replica: usize, observation: &Observation) {
        let agent = &self.replicas[replica].agent;
        for entry in &mut self.entries {
            entry
                .picker
                .observe(agent, observation.clone(), Time(self.now));
        }
    }
}

fn zone_name(n: usize) -> Zone {
    format!("zone-{}", n % trace::ZONE_COUNT)
        .parse()
        .expect("a valid name")
}

fn build_entry(policy: PolicyKind, n: usize) -> Entry {
    let settings = picker::Settings {
        policy,
        ..picker::Settings::default()
    };
    Entry {
        picker: Picker::new(settings, zone_name(n)),
        budget: 0.0,
    }
}

fn build_backend(n: usize) -> Backend {
    let settings = admission::Settings {
        slots: trace::SLOTS,
        max_queued: MAX_QUEUED,
        reserved_slots: RESERVED_SLOTS,
        ..admission::Settings::default()
    };
    Backend {
        agent: format!("agent-{n}").parse().expect("a valid name"),
        zone: zone_name(n),
        queue: Queue::new(settings),
        cache: VecDeque::new(),
        slowdown: 1.0,
        stall: None,
    }
}
