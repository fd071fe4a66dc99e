//! Linearizability of concurrent promotions: checks histories of operators under faults against a
//! sequential versioned register. Guards against reads and writes that no single register could
//! have returned in any order.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use siskinbend_control::promotion::Environment;
use siskinbend_control::promotion::PromotionOutcome;
use siskinbend_control::promotion::Refusal;
use siskinbend_control::promotion::VersionRecord;
use siskinbend_store::Table;
use siskinbend_store::fake::FakePlatform;
use siskinbend_store::fake::FaultRates;
use siskinbend_types::Digest;
use todc_utils::Action;
use todc_utils::History;
use todc_utils::WGLChecker;
use todc_utils::specifications::Specification;

use crate::operators::digest_of;
use crate::operators::run;
use crate::operators::try_text;

const OPERATORS: usize = 5;
const ROUNDS: u64 = 4;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Outcome {
    Accepted(u64),
    Superseded,
    NotApplied,
    Unknown,
}

#[derive(Debug, Clone)]
enum Operation {
    Read(Option<(u64, Digest)>),
    Write {
        replaces: u64,
        digest: Digest,
        outcome: Outcome,
    },
}

/// A register in which each write names the version that it replaces.
struct Register;

impl Specification for Register {
    type State = Option<(u64, Digest)>;
    type Operation = Operation;

    fn init() -> Self::State {
        None
    }

    fn apply(operation: &Operation, state: &Self::State) -> (bool, Self::State) {
        let version = state.map_or(0, |(version, _)| version);
        match operation {
            Operation::Read(seen) => (seen == state, *state),
            Operation::Write {
                replaces,
                digest,
                outcome,
            } => {
                let matches = *replaces == version;
                let next = Some((version + 1, *digest));
                match outcome {
                    Outcome::Accepted(written) => (matches && *written == version + 1, next),
                    Outcome::Superseded => (!matches, *state),
                    Outcome::NotApplied => (true, *state),
                    // The write may be applied at any later time. If it never is, it is linearized
                    // after all other operations.
                    Outcome::Unknown => (true, if matches { next } else { *state }),
                }
            }
        }
    }
}

type Log = Arc<Mutex<Vec<(usize, Action<Operation>)>>>;

async fn operate(platform: FakePlatform, log: Log, operator: usize) {
    let record = |process, action| log.lock().expect("lock").push((process, action));
    let mut process = operator;
    for round in 0..ROUNDS {
        record(process, Action::Call(Operation::Read(None)));
        let row = platform.read(&Environment::Trial.key()).await;
        let row = match row {
            Ok(row) => row,
            // The checker needs a response to each call. A read that failed is recorded as a write
            // that was not applied, which constrains nothing.
            Err(_) => {
                let write = Operation::Write {
                    replaces: 0,
                    digest: digest_of(""),
                    outcome: Outcome::NotApplied,
                };
                record(process, Action::Response(write));
                continue;
            }
        };
        let tag = row
            .and_then(|row| VersionRecord::decode(&row.value))
            .map(|record| record.tag);
        let seen = tag.map(|tag| (tag.version.0, tag.digest));
        record(process, Action::Response(Operation::Read(seen)));
        let replaces = seen.map_or(0, |(version, _)| version);
        let text = format!("{operator} {round}");
        let write = |outcome| Operation::Write {
            replaces,
            digest: digest_of(&text),
            outcome,
        };
        record(process, Action::Call(write(Outcome::Unknown)));
        let id = operator as u64 * 100 + round;
        let outcome = match run(&platform, id, try_text(&text, replaces)).await {
            PromotionOutcome::Accepted(tag) => Outcome::Accepted(tag.version.0),
            PromotionOutcome::Refused(Refusal::Superseded(_)) => Outcome::Superseded,
            PromotionOutcome::NotApplied(_) => Outcome::NotApplied,
            PromotionOutcome::Unknown(_) => Outcome::Unknown,
            outcome => panic!("{outcome:?}"),
        };
        if outcome == Outcome::Unknown {
            // The call stays pending until the end of the history, so the operator continues under
            // another process id.
            process += OPERATORS;
        } else {
            record(process, Action::Response(write(outcome)));
        }
    }
}

/// Appends responses to the calls that are still pending.
fn complete_history(log: &mut Vec<(usize, Action<Operation>)>) {
    let mut pending: Vec<(usize, Operation)> = Vec::new();
    for (process, action) in log.iter() {
        match action {
            Action::Call(operation) => pending.push((*process, operation.clone())),
            Action::Response(_) => pending.retain(|(other, _)| other != process),
        }
    }
    log.extend(
        pending
            .into_iter()
            .map(|(process, operation)| (process, Action::Response(operation))),
    );
}

#[tokio::test(start_paused = true)]
async fn concurrent_promotions_are_linearizable() {
    let mut outcomes = [0; 4];
    for seed in 0..300 {
        let platform = FakePlatform::new(seed);
        platform.set_fault_rates(FaultRates {
            down: 0.05,
            lost: 0.1,
            delayed: if seed % 2 == 0 { 0.1 } else { 0.4 },
            jitter: Duration::from_secs(2),
        });
        let log = Log::default();
        let operators: Vec<_> = (0..OPERATORS)
            .map(|operator| tokio::spawn(operate(platform.clone(), log.clone(), operator)))
            .collect();
        for operator in operators {
            operator.await.expect("no panic");
        }
        let mut log = std::mem::take(&mut *log.lock().expect("lock"));
        complete_history(&mut log);
        for (_, action) in &log {
            if let Action::Response(Operation::Write { outcome, .. }) = action {
                outcomes[match outcome {
                    Outcome::Accepted(_) => 0,
                    Outcome::Superseded => 1,
                    Outcome::NotApplied => 2,
                    Outcome::Unknown => 3,
                }] += 1;
            }
        }
        let history = History::from_actions(log.clone());
        assert!(
            WGLChecker::<Register>::is_linearizable(history),
            "seed {seed}: {log:#?}"
        );
    }
    // Every kind of outcome must occur often enough for the check to cover it.
    assert!(outcomes.iter().all(|count| *count > 20), "{outcomes:?}");
}
