//! Test harness for a call, shared by the tests of outcomes, claims and resumption.

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

/// Deadline of the calls in milliseconds.
pub const DEADLINE_MS: u64 = 10_000;
/// Stall timeout of the calls in milliseconds.
pub const STALL_MS: u64 = 2_000;

/// A call with its retry budget and clock.
pub struct Harness {
    pub call: Call,
    pub budget: RetryBudget,
    pub now: Time,
}

impl Harness {
    pub fn new(spec: CallSpec) -> Self {
        Self {
            call: Call::new(spec),
            budget: RetryBudget::new(10),
            now: Time::from_millis(0),
        }
    }

    /// Creates a call that has a target, so that it has dispatched its first attempt or, with a
    /// key, sent its first claim write.
    pub fn dispatched(spec: CallSpec) -> Self {
        let mut harness = Self::new(spec);
        harness.handle(Event::Start);
        harness.handle(Event::TargetChosen(target(1)));
        harness
    }

    /// Creates a call with a key that has sent its first claim write; also returns the row.
    pub fn claiming(id: u128) -> (Self, ClaimRow) {
        let mut harness = Self::new(spec_with_key(id));
        harness.handle(Event::Start);
        let row = find_claim_write(&harness.handle(Event::TargetChosen(target(1))));
        (harness, row)
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        self.call.handle(event, self.now, &mut self.budget)
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }
}

/// Parses a valid name.
pub fn name<Name>(text: &str) -> Name
where
    Name: FromStr,
{
    text.parse()
        .unwrap_or_else(|_| panic!("{text} is not a name"))
}

/// Parameters of a call without an idempotency key.
pub fn spec_without_key(idempotent: bool) -> CallSpec {
    CallSpec {
        id: RequestId(1),
        organisation: name("growers"),
        service: name("hire-desk"),
        idempotent,
        key: None,
        deadline: Time::from_millis(DEADLINE_MS),
        stall_timeout: Duration::from_millis(STALL_MS),
        max_attempts: 3,
        resumable: false,
    }
}

/// Parameters of a call with an idempotency key, which is the same for all calls.
pub fn spec_with_key(id: u128) -> CallSpec {
    CallSpec {
        id: RequestId(id),
        key: Some(IdempotencyKey {
            digest: Digest([1; 32]),
            body_digest: Digest([2; 32]),
            on_outage: OnOutage::Refuse,
            retention: Duration::from_secs(3_600),
        }),
        ..spec_without_key(false)
    }
}

pub fn target(agent: u64) -> Target {
    Target {
        agent: name(&format!("agent-{agent}")),
        incarnation: Incarnation(agent),
        window: Window(1),
    }
}

pub fn attempt_ref(attempt: u32, window: u64) -> AttemptRef {
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

pub fn find_claim_write(actions: &[Action]) -> ClaimRow {
    let row = actions.iter().find_map(|action| match action {
        Action::WriteClaim { row, .. } => Some((**row).clone()),
        _ => None,
    });
    row.unwrap_or_else(|| panic!("no claim is written in {actions:?}"))
}

pub fn find_dispatch(actions: &[Action]) -> Option<(Attempt, Target)> {
    actions.iter().find_map(|action| match action {
        Action::Dispatch { attempt, target } => Some((*attempt, target.clone())),
        _ => None,
    })
}

pub fn find_failure(actions: &[Action]) -> Option<(Outcome, Reason)> {
    actions.iter().find_map(|action| match action {
        Action::Fail { outcome, reason } => Some((*outcome, *reason)),
        _ => None,
    })
}

#[track_caller]
pub fn assert_failure(actions: &[Action], outcome: Outcome, reason: Reason) {
    assert_eq!(
        find_failure(actions),
        Some((outcome, reason)),
        "{actions:?}"
    );
}

pub fn requests_target(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Choose { .. }))
}
