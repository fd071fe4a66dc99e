//! Generates the requests of the callers: idempotent, not idempotent, and with an idempotency key
//! and repeats.

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

use super::entry::ActiveCall;
use super::faults::ENTRY_COUNT;
use super::world::Origin;
use super::world::SimEvent;
use super::world::World;

/// Number of organisations. All of them use the same keys.
const ORGANISATIONS: usize = 5;

/// A request about to be sent.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// The keyed operation that it repeats.
    operation: Option<usize>,
}

impl Arrival {
    /// A request that repeats no earlier one.
    pub fn first() -> Self {
        Self { operation: None }
    }
}

/// Progress of the requests that callers send.
#[derive(Debug)]
pub struct Load {
    count: u32,
    sent: u32,
}

impl Load {
    /// Starts with no request sent out of `count`.
    pub fn new(count: u32) -> Self {
        Self { count, sent: 0 }
    }

    /// Returns whether all requests have been sent.
    pub fn is_sent(&self) -> bool {
        self.sent >= self.count
    }
}

/// Organisation of the operation or request with this number.
pub fn organisation(number: usize) -> Organisation {
    name(format_smolstr!("organisation-{}", number % ORGANISATIONS))
}

/// The service of all requests.
pub fn service() -> ServiceName {
    name(SmolStr::new_static("desk"))
}

/// Digest of the key of an operation; every organisation uses the same keys.
pub fn key_digest(operation: usize) -> Digest {
    let mut digest = [0; 32];
    let shared = (operation / ORGANISATIONS) as u64;
    digest[..8].copy_from_slice(&shared.to_le_bytes());
    Digest(digest)
}

/// Policy of an operation during outages of the table.
pub fn outage_policy(operation: usize) -> OnOutage {
    if operation.is_multiple_of(7) {
        OnOutage::Run
    } else {
        OnOutage::Refuse
    }
}

/// Converts a text that is known to be a valid name.
pub fn name<Name>(text: SmolStr) -> Name
where
    Name: TryFrom<SmolStr>,
{
    Name::try_from(text).unwrap_or_else(|_| panic!("a name of the experiment is not valid"))
}

impl World {
    /// Sends a caller's request to a random entry.
    pub(super) fn receive_request(&mut self, arrival: Arrival) {
        if self.load.is_sent() {
            return;
        }
        self.load.sent += 1;
        let operation = match arrival.operation {
            Some(operation) => {
                self.oracle.count_event("repeats");
                Some(operation)
            }
            None => {
                let interval = self.draw_request_interval();
                self.push(interval, SimEvent::Send(Arrival::first()));
                self.draw_bool(0.2).then(|| self.begin_operation())
            }
        };
        let idempotent = operation.is_none() && self.draw_bool(0.6);
        let body = u8::from(operation.is_some() && self.draw_bool(0.03));
        let request = self.oracle.send(idempotent, operation, body);
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        let process = &self.entries[entry].process;
        // A caller that can't connect gets no outcome.
        if !process.alive {
            return;
        }
        let clock = process.clock(self.now.max(process.frozen_until));
        let (run, frozen_until) = (process.run, process.frozen_until);
        let id = RequestId(u128::from(self.rng.random::<u64>()) << 64 | request as u128);
        let origin = Origin { entry, run, id };
        let spec = self.build_spec(id, request, clock);
        let active = ActiveCall::new(request, Call::new(spec));
        self.entries[entry].calls.insert(id, active);
        self.push_at(
            frozen_until.max(self.now),
            SimEvent::ToEntry(origin, Box::new(siskinbend_request::Event::Start), 0),
        );
        if self.draw_bool(self.faults.disconnects) {
            let delay = self.draw_log_uniform(100, 3_000_000);
            self.push(delay, SimEvent::CallerDisconnect(origin));
        }
    }

    /// Creates a keyed operation and schedules its repeats.
    fn begin_operation(&mut self) -> usize {
        let short = self.draw_bool(0.1);
        let retention = Duration::from_secs(if short { 600 } else { 3_600 });
        let operation = self.oracle.add_operation(retention);
        let repeats = self.rng.random_range(0..4);
        for _ in 0..repeats {
            let delay = match self.rng.random_range(0..3) {
                0 => self.draw_log_uniform(10, 50_000),
                1 => self.draw_log_uniform(10_000, 10_000_000),
                _ => self.draw_log_uniform(1_000_000, 900_000_000),
            };
            let operation = Some(operation);
            self.push(delay, SimEvent::Send(Arrival { operation }));
        }
        operation
    }

    fn build_spec(&mut self, id: RequestId, request: usize, clock: Time) -> CallSpec {
        let sent = self.oracle.request(request).clone();
        let key = sent.operation.map(|operation| IdempotencyKey {
            digest: key_digest(operation),
            body_digest: Digest([sent.body; 32]),
            on_outage: outage_policy(operation),
            retention: self.oracle.retention(operation),
        });
        let limit = self.draw_log_uniform(1_000_000, 10_000_000);
        CallSpec {
            id,
            organisation: organisation(sent.operation.unwrap_or(request)),
            service: service(),
            idempotent: sent.idempotent,
            key,
            deadline: clock + Duration::from_micros(limit),
            stall_timeout: Duration::from_micros(self.draw_log_uniform(300_000, 3_000_000)),
            max_attempts: 3,
            resumable: self.draw_bool(0.7),
        }
    }
}
