//! The fleet: trackers of all processes, the platform in memory, and one seeded queue of messages
//! that are delayed and lost.

mod store;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use siskinbend_control::promotion::Event as OperatorEvent;
use siskinbend_control::version;
use siskinbend_control::version::Action;
use siskinbend_control::version::Context;
use siskinbend_control::version::Event;
use siskinbend_control::version::FetchError;
use siskinbend_control::version::FetchLimiter;
use siskinbend_control::version::Source;
use siskinbend_control::version::VersionTag;
use siskinbend_control::version::VersionTracker;
use siskinbend_store::breaker::CircuitBreaker;
use siskinbend_store::memory::MemoryTable;
use siskinbend_types::Digest;
use siskinbend_types::Time;
use siskinbend_types::Version;

use super::Options;
use super::Restart;
use super::Variant;
use super::operator::Operator;

/// Share of messages that are lost.
const LOSS: f64 = 0.05;
/// One-way latency between processes in microseconds.
const PEER_DELAY: Range<u64> = 200..1_000;
/// Bytes a second of one transfer of content.
const TRANSFER_RATE: f64 = 50e6;
/// Time within which a change is accepted; the run goes on without it otherwise.
const ACCEPT_LIMIT: Duration = Duration::from_secs(60);
/// Time for which a restarted process is away.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Bytes on the wire of a beacon with its acknowledgement, and of an exchange with content
/// besides the content.
const BEACON_BYTES: u64 = 160;
const FETCH_BYTES: u64 = 400;

/// Something in the queue. Processes are named by index and run.
enum Happening {
    Wake(usize, u32),
    Beacon(usize, usize, Option<VersionTag>),
    Ask(usize, (usize, u32), VersionTag),
    Served(usize, u32),
    Reply((usize, u32), Event),
    Operate(usize, OperatorEvent),
    Retire(usize),
    Stop(usize),
    Start(usize),
}

struct Node {
    tracker: VersionTracker,
    gate: FetchLimiter,
    table: CircuitBreaker,
    objects: CircuitBreaker,
    up: bool,
    run: u32,
    wake: Time,
    began: Time,
    bytes: u64,
    /// Highest version that a run of this process ever had in force.
    highest: Version,
}

/// Mean and highest number in a second.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Load {
    pub(crate) mean: f64,
    pub(crate) peak: u64,
}

/// Result of a run.
#[derive(Debug, Default)]
pub(crate) struct Report {
    /// Longest time from an acceptance (or, if later, from a process's start or the end of a cut)
    /// until that process had the version or a newer one; `None` if one never had.
    pub(crate) last: Option<Duration>,
    pub(crate) accepted: u64,
    pub(crate) refused: u64,
    pub(crate) reads: Load,
    pub(crate) writes: Load,
    pub(crate) bytes: f64,
    pub(crate) busiest: f64,
    pub(crate) document: usize,
    pub(crate) fetches: u64,
    pub(crate) busy: u64,
    pub(crate) objects: u64,
    pub(crate) reversions: u64,
    pub(crate) falsehoods: u64,
}

/// A simulated fleet.
pub(crate) struct Fleet {
    variant: Variant,
    count: usize,
    organisations: usize,
    now: Time,
    order: u64,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    nodes: Vec<Node>,
    peers: Vec<SocketAddr>,
    operators: Vec<Operator>,
    table: MemoryTable,
    contents: BTreeMap<Digest, Arc<str>>,
    accepted: BTreeSet<(Version, Digest)>,
    /// Acceptances with the processes that still lack them.
    open: Vec<(Version, Time, BTreeSet<usize>)>,
    down: bool,
    cut_end: Time,
    reads: BTreeMap<u64, u64>,
    writes: BTreeMap<u64, u64>,
    rng: ChaCha8Rng,
    report: Report,
}

fn address_of(index: usize) -> SocketAddr {
    let [_, _, .., a, b, c] = (index as u64).to_be_bytes();
    SocketAddr::from(([10, a, b, c], 7000))
}

fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, a, b, c] = address.ip().octets();
            usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c)
        }
        SocketAddr::V6(_) => unreachable!("only IPv4 addresses are made here"),
    }
}

impl Fleet {
    pub(crate) fn new(options: &Options, variant: Variant) -> Self {
        let peers = (0..options.nodes).map(address_of).collect();
        let mut fleet = Self {
            variant,
            count: options.nodes,
            organisations: options.organisations,
            now: Time(0),
            order: 0,
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            nodes: Vec::new(),
            peers: if variant.peers { peers } else { Vec::new() },
            operators: Vec::new(),
            table: MemoryTable::default(),
            contents: BTreeMap::new(),
            accepted: BTreeSet::new(),
            open: Vec::new(),
            down: false,
            cut_end: Time(0),
            reads: BTreeMap::new(),
            writes: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(options.seed),
            report: Report::default(),
        };
        for _ in 0..options.nodes {
            fleet.add_node();
        }
        fleet
    }

    pub(crate) fn now(&self) -> Time {
        self.now
    }

    /// Runs until the change that was started is accepted and its operators know it.
    pub(crate) fn run_to_acceptance(&mut self) {
        let before = self.report.accepted;
        let limit = self.now + ACCEPT_LIMIT;
        while self.report.accepted == before && self.step(limit) {}
    }

    pub(crate) fn run_until(&mut self, end: Time) {
        while self.step(end) {}
        self.now = end;
    }

    /// Starts or ends an outage of the platform and, in some variants, of the network.
    pub(crate) fn set_outage(&mut self, down: bool) {
        self.down = down;
        if !down && (self.variant.cut || self.variant.restart == Restart::AtOnce) {
            // Nobody can have learnt anything before.
            self.cut_end = self.now;
        }
    }

    pub(crate) fn plan_restarts(&mut self, span: Duration) {
        let mut nodes: Vec<usize> = (0..self.count).collect();
        nodes.shuffle(&mut self.rng);
        let steps = u32::try_from(nodes.len()).unwrap_or(u32::MAX);
        for (index, node) in (0..).zip(nodes) {
            let at = match self.variant.restart {
                Restart::None => return,
                Restart::AtOnce => self.now + span / 2,
                Restart::Rolling => self.now + span * index / steps,
            };
            self.push(at, Happening::Stop(node));
            self.push(at + DOWN_TIME, Happening::Start(node));
        }
    }

    fn push(&mut self, at: Time, happening: Happening) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order)));
        self.happenings.insert(self.order, happening);
    }

    /// Carries out the next happening before `end`.
    fn step(&mut self, end: Time) -> bool {
        let Some(Reverse((at, order))) = self.queue.peek().copied() else {
            return false;
        };
        if at >= end {
            return false;
        }
        self.queue.pop();
        self.now = at;
        if let Some(happening) = self.happenings.remove(&order) {
            self.carry_out(happening);
        }
        true
    }

    fn carry_out(&mut self, happening: Happening) {
        match happening {
            Happening::Wake(node, run) => {
                let current = &self.nodes[node];
                if current.run == run && current.wake == self.now {
                    self.tell(node, Event::Tick);
                }
            }
            Happening::Beacon(to, from, tag) => {
                self.nodes[to].bytes += BEACON_BYTES;
                self.tell(to, Event::Beacon(address_of(from), tag));
            }
            Happening::Ask(to, from, tag) => self.serve(to, from, tag),
            Happening::Served(node, run) => {
                if self.nodes[node].run == run {
                    self.nodes[node].gate.release();
                }
            }
            Happening::Reply((node, run), event) => {
                if self.nodes[node].run == run {
                    self.tell(node, event);
                }
            }
            Happening::Operate(operator, event) => self.operate(operator, event),
            Happening::Retire(node) => self.nodes[node].up = false,
            Happening::Stop(node) => {
                self.nodes[node].up = false;
                self.nodes[node].run += 1;
            }
            Happening::Start(node) => self.restart(node),
        }
    }

    fn start_tracker(&mut self) -> VersionTracker {
        VersionTracker::start(&mut Context {
            now: self.now,
            fleet: version::Fleet {
                peers: &self.peers,
                nodes: self.count,
            },
            rng: &mut self.rng,
        })
    }

    fn add_node(&mut self) -> usize {
        let tracker = self.start_tracker();
        self.nodes.push(Node {
            tracker,
            gate: FetchLimiter::default(),
            table: CircuitBreaker::default(),
            objects: CircuitBreaker::default(),
            up: true,
            run: 0,
            wake: Time(u64::MAX),
            began: self.now,
            bytes: 0,
            highest: Version(0),
        });
        let node = self.nodes.len() - 1;
        self.plan_wake(node);
        node
    }

    fn restart(&mut self, node: usize) {
        let tracker = self.start_tracker();
        let old = &mut self.nodes[node];
        old.tracker = tracker;
        old.gate = FetchLimiter::default();
        old.table = CircuitBreaker::default();
        old.objects = CircuitBreaker::default();
        old.up = true;
        old.began = self.now;
        old.wake = Time(u64::MAX);
        for (_, _, lacking) in &mut self.open {
            lacking.insert(node);
        }
        self.plan_wake(node);
    }

    fn plan_wake(&mut self, node: usize) {
        let now = self.now;
        let current = &mut self.nodes[node];
        let due = current.tracker.next_wake().max(now);
        if due != current.wake {
            current.wake = due;
            let run = current.run;
            self.push(due, Happening::Wake(node, run));
        }
    }

    /// Passes an event to a tracker and carries its actions out.
    fn tell(&mut self, node: usize, event: Event) {
        if !self.nodes[node].up {
            return;
        }
        let mut context = Context {
            now: self.now,
            fleet: version::Fleet {
                peers: &self.peers,
                nodes: self.count,
            },
            rng: &mut self.rng,
        };
        let actions = self.nodes[node].tracker.handle(event, &mut context);
        self.act(node, actions);
    }

    fn act(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Poll => self.poll(node),
                Action::SendBeacon(to, tag) => self.send_beacon(node, index_of(to), tag),
                Action::Fetch(Source::Peer(peer), tag) => {
                    self.nodes[node].bytes += FETCH_BYTES;
                    let ask = Happening::Ask(index_of(peer), (node, self.nodes[node].run), tag);
                    self.send(ask);
                }
                Action::Fetch(Source::ObjectStore, tag) => self.fetch_object(node, tag),
                Action::Apply(content) => self.note_applied(node, content.tag),
            }
        }
        self.plan_wake(node);
    }

    /// Sends a message between processes; it may be lost.
    fn send(&mut self, message: Happening) {
        let cut = self.down && self.variant.cut;
        if !cut && !self.rng.random_bool(LOSS) {
            let delay = Duration::from_micros(self.rng.random_range(PEER_DELAY));
            self.push(self.now + delay, message);
        }
    }

    fn send_beacon(&mut self, from: usize, to: usize, tag: Option<VersionTag>) {
        if to != from {
            self.nodes[from].bytes += BEACON_BYTES;
            self.send(Happening::Beacon(to, from, tag));
        }
    }

    fn serve(&mut self, node: usize, from: (usize, u32), tag: VersionTag) {
        let server = &mut self.nodes[node];
        if !server.up {
            return;
        }
        self.report.fetches += 1;
        let source = Source::Peer(address_of(node));
        let content = server
            .tracker
            .current()
            .filter(|content| content.tag == tag);
        let Some(text) = content.map(|content| content.text.clone()) else {
            let reply = Event::Fetched(source, tag, Err(FetchError::Missing));
            return self.send(Happening::Reply(from, reply));
        };
        if !server.gate.try_acquire() {
            self.report.busy += 1;
            let reply = Event::Fetched(source, tag, Err(FetchError::Busy));
            return self.send(Happening::Reply(from, reply));
        }
        let bytes = text.len() as u64 + FETCH_BYTES;
        server.bytes += bytes;
        let run = server.run;
        let transfer = Duration::from_secs_f64(text.len() as f64 / TRANSFER_RATE);
        self.nodes[from.0].bytes += bytes;
        self.push(self.now + transfer, Happening::Served(node, run));
        let lost = self.rng.random_bool(LOSS);
        if !lost {
            let reply = Event::Fetched(source, tag, Ok(text));
            self.push(self.now + transfer, Happening::Reply(from, reply));
        }
    }

    fn note_applied(&mut self, node: usize, tag: VersionTag) {
        let known = self.accepted.contains(&(tag.version, tag.digest));
        self.report.falsehoods += u64::from(!known);
        let current = &mut self.nodes[node];
        self.report.reversions += u64::from(tag.version < current.highest);
        current.highest = current.highest.max(tag.version);
        let began = current.began.max(self.cut_end);
        for (version, accepted, lacking) in &mut self.open {
            if tag.version >= *version && lacking.remove(&node) {
                let taken = self.now.since(began.max(*accepted));
                self.report.last = self.report.last.max(Some(taken));
            }
        }
    }

    /// Ends the run.
    pub(crate) fn report(mut self) -> Report {
        let seconds = self.now.0 as f64 / 1e6;
        let summarise = |counts: &BTreeMap<u64, u64>| Load {
            mean: counts.values().sum::<u64>() as f64 / seconds,
            peak: counts.values().copied().max().unwrap_or_default(),
        };
        self.report.reads = summarise(&self.reads);
        self.report.writes = summarise(&self.writes);
        let fleet = &self.nodes[..self.count];
        let total: u64 = fleet.iter().map(|node| node.bytes).sum();
        let busiest = fleet
            .iter()
            .map(|node| node.bytes)
            .max()
            .unwrap_or_default();
        self.report.bytes = total as f64 / self.count as f64 / seconds;
        self.report.busiest = busiest as f64 / seconds;
        if self.open.is_empty() || self.open.iter().any(|(_, _, lacking)| !lacking.is_empty()) {
            self.report.last = None;
        }
        self.report
    }
}
