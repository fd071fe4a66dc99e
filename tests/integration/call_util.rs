//! A call on a bench, shared by the tests of outcomes and claims.

use std::str::FromStr;
use std::time::Duration;

use siskinbend_request::Action;
use siskinbend_request::AttemptRef;
use siskinbend_request::Call;
use siskinbend_request::CallSpec;
use siskinbend_request::ClaimRow;
use siskinbend_request::Event;
use siskinbend_request::IdempotencyKey;
use siskinbend_request::OnOutage;
use siskinbend_request::RetryBudget;
use siskinbend_request::StoredAnswer;
use siskinbend_request::Target;
use siskinbend_types::Attempt;
use siskinbend_types::Digest;
use siskinbend_types::Incarnation;
use siskinbend_types::Outcome;
use siskinbend_types::Reason;
use siskinbend_types::RequestId;
use siskinbend_types::Time;
use siskinbend_types::Window;

/// Deadline of the calls, in milliseconds.
pub const DEADLINE: u64 = 10_000;
/// Longest silence of an agent, in milliseconds.
pub const STALL: u64 = 2_000;

/// A call with its budget and clock.
pub struct Bench {
    pub call: Call,
    pub budget: RetryBudget,
    pub now: Time,
}

impl Bench {
    pub fn new(spec: CallSpec) -> Self {
        Self {
            call: Call::new(spec),
            budget: RetryBudget::new(10),
            now: Time::from_millis(0),
        }
    }

    /// A call whose first attempt has been dispatched.
    pub fn dispatched(spec: CallSpec) -> Self {
        let mut bench = Self::new(spec);
        bench.send(Event::Start);
        bench.send(Event::TargetChosen(target(1)));
        bench
    }

    /// A keyed call that has sent its first claim write; the row.
    pub fn claiming(id: u128) -> (Self, ClaimRow) {
        let mut bench = Self::new(keyed(id));
        bench.send(Event::Start);
        let row = written_row(&bench.send(Event::TargetChosen(target(1))));
        (bench, row)
    }

    pub fn send(&mut self, event: Event) -> Vec<Action> {
        self.call.handle(event, self.now, &mut self.budget)
    }

    pub fn wait(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }
}

/// A name that is known to be valid.
pub fn name<Name>(text: &str) -> Name
where
    Name: FromStr,
{
    text.parse()
        .unwrap_or_else(|_| panic!("{text} is not a name"))
}

/// A call without a key.
pub fn plain(idempotent: bool) -> CallSpec {
    CallSpec {
        id: RequestId(1),
        organisation: name("growers"),
        service: name("hire-desk"),
        idempotent,
        key: None,
        deadline: Time::from_millis(DEADLINE),
        stall_timeout: Duration::from_millis(STALL),
        max_attempts: 3,
        resumable: false,
    }
}

/// A call with the key that all keyed calls of the tests share.
pub fn keyed(id: u128) -> CallSpec {
    CallSpec {
        id: RequestId(id),
        key: Some(IdempotencyKey {
            digest: Digest([1; 32]),
            body_digest: Digest([2; 32]),
            on_outage: OnOutage::Refuse,
            retention: Duration::from_secs(3_600),
        }),
        ..plain(false)
    }
}

pub fn target(agent: u64) -> Target {
    Target {
        agent: name(&format!("agent-{agent}")),
        incarnation: Incarnation(agent),
        window: Window(1),
    }
}

pub fn refer(attempt: u32, window: u64) -> AttemptRef {
    AttemptRef {
        id: RequestId(1),
        attempt: Attempt(attempt),
        incarnation: Incarnation(1),
        window: Window(window),
    }
}

pub fn answer(text: &str) -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: "application/json".into(),
        body: text.as_bytes().to_vec(),
    }
}

pub fn written_row(actions: &[Action]) -> ClaimRow {
    let row = actions.iter().find_map(|action| match action {
        Action::WriteClaim { row, .. } => Some((**row).clone()),
        _ => None,
    });
    row.unwrap_or_else(|| panic!("no claim is written in {actions:?}"))
}

pub fn dispatched(actions: &[Action]) -> Option<(Attempt, Target)> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch { attempt, target } => Some((*attempt, target.clone())),
        _ => None,
    })
}

pub fn failure(actions: &[Action]) -> Option<(Outcome, Reason)> {
    actions.iter().find_map(|action| match action {
        Action::Fail { outcome, reason } => Some((*outcome, *reason)),
        _ => None,
    })
}

#[track_caller]
pub fn assert_failure(actions: &[Action], outcome: Outcome, reason: Reason) {
    assert_eq!(failure(actions), Some((outcome, reason)), "{actions:?}");
}

pub fn chooses(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Choose { .. }))
}
