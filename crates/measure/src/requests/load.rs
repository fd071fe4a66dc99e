//! Requests of the callers: idempotent, not repeatable, and keyed with repeats.

use std::time::Duration;

use rand::Rng;
use siskinbend_request::Call;
use siskinbend_request::CallSpec;
use siskinbend_request::IdempotencyKey;
use siskinbend_request::OnOutage;
use siskinbend_types::Digest;
use siskinbend_types::Organisation;
use siskinbend_types::RequestId;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use super::entry::Live;
use super::faults::ENTRIES;
use super::world::Item;
use super::world::Origin;
use super::world::World;

/// Organisations; each key is used by all of them.
const ORGANISATIONS: usize = 5;

/// A request about to be sent.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// The keyed operation that it repeats.
    operation: Option<usize>,
}

impl Arrival {
    /// A request that repeats none.
    pub fn fresh() -> Self {
        Self { operation: None }
    }
}

/// What callers send.
#[derive(Debug)]
pub struct Load {
    count: u32,
    sent: u32,
}

impl Load {
    /// Callers that send `count` requests in all.
    pub fn new(count: u32) -> Self {
        Self { count, sent: 0 }
    }

    /// Whether all requests have been sent.
    pub fn is_sent(&self) -> bool {
        self.sent >= self.count
    }
}

/// The organisation of a request: that of its operation, or any.
pub fn organisation(number: usize) -> Organisation {
    name(format_smolstr!("organisation-{}", number % ORGANISATIONS))
}

/// The service of all requests.
pub fn service() -> ServiceName {
    name(SmolStr::new_static("desk"))
}

/// Digest of the key of an operation; every organisation uses the same keys.
pub fn key_name(operation: usize) -> Digest {
    let mut digest = [0; 32];
    let shared = (operation / ORGANISATIONS) as u64;
    digest[..8].copy_from_slice(&shared.to_le_bytes());
    Digest(digest)
}

/// What the route of an operation says about outages of the table.
pub fn outage_rule(operation: usize) -> OnOutage {
    if operation.is_multiple_of(7) {
        OnOutage::Run
    } else {
        OnOutage::Refuse
    }
}

/// A name that is known to be valid.
pub fn name<Name>(text: SmolStr) -> Name
where
    Name: TryFrom<SmolStr>,
{
    Name::try_from(text).unwrap_or_else(|_| panic!("a name of the experiment is not valid"))
}

impl World {
    /// A caller sends a request to some entry.
    pub(super) fn receive(&mut self, arrival: Arrival) {
        if self.load.is_sent() {
            return;
        }
        self.load.sent += 1;
        let operation = match arrival.operation {
            Some(operation) => {
                self.oracle.note("repeats");
                Some(operation)
            }
            None => {
                let gap = self.draw_gap();
                self.push(gap, Item::Send(Arrival::fresh()));
                self.chance(0.2).then(|| self.begin_operation())
            }
        };
        let idempotent = operation.is_none() && self.chance(0.6);
        let body = u8::from(operation.is_some() && self.chance(0.03));
        let request = self.oracle.send(idempotent, operation, body);
        let entry = self.rng.random_range(0..ENTRIES);
        let process = &self.entries[entry].process;
        // A caller that reaches no entry doesn't learn anything.
        if !process.alive {
            return;
        }
        let clock = process.clock(self.now.max(process.thaw));
        let (run, thaw) = (process.run, process.thaw);
        let id = RequestId(u128::from(self.rng.random::<u64>()) << 64 | request as u128);
        let origin = Origin { entry, run, id };
        let spec = self.specify(id, request, clock);
        let live = Live::new(request, Call::new(spec));
        self.entries[entry].calls.insert(id, live);
        self.push_at(
            thaw.max(self.now),
            Item::ToEntry(origin, Box::new(siskinbend_request::Event::Start), 0),
        );
        if self.chance(self.faults.hang_up) {
            let delay = self.spread(100, 3_000_000);
            self.push(delay, Item::HangUp(origin));
        }
    }

    /// A new keyed operation with its repeats.
    fn begin_operation(&mut self) -> usize {
        let short = self.chance(0.1);
        let retention = Duration::from_secs(if short { 600 } else { 3_600 });
        let operation = self.oracle.add_operation(retention);
        let repeats = self.rng.random_range(0..4);
        for _ in 0..repeats {
            let delay = match self.rng.random_range(0..3) {
                0 => self.spread(10, 50_000),
                1 => self.spread(10_000, 10_000_000),
                _ => self.spread(1_000_000, 900_000_000),
            };
            let operation = Some(operation);
            self.push(delay, Item::Send(Arrival { operation }));
        }
        operation
    }

    fn specify(&mut self, id: RequestId, request: usize, clock: Time) -> CallSpec {
        let asked = self.oracle.request(request).clone();
        let key = asked.operation.map(|operation| IdempotencyKey {
            digest: key_name(operation),
            body_digest: Digest([asked.body; 32]),
            on_outage: outage_rule(operation),
            retention: self.oracle.retention(operation),
        });
        let limit = self.spread(1_000_000, 10_000_000);
        CallSpec {
            id,
            organisation: organisation(asked.operation.unwrap_or(request)),
            service: service(),
            idempotent: asked.idempotent,
            key,
            deadline: clock + Duration::from_micros(limit),
            stall_timeout: Duration::from_micros(self.spread(300_000, 3_000_000)),
            max_attempts: 3,
            resumable: self.chance(0.7),
        }
    }
}
