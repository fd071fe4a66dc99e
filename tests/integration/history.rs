//! Histories of concurrent operators, checked against a sequential versioned register; guards
//! against an order of writes and reads that no single register could have shown.

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
    Won(u64),
    Superseded,
    NotApplied,
    NotKnown,
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

/// A register whose writes name the version that they replace.
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
                    Outcome::Won(made) => (matches && *made == version + 1, next),
                    Outcome::Superseded => (!matches, *state),
                    Outcome::NotApplied => (true, *state),
                    // It may take effect at any later time; if it never does, its place is after
                    // all other operations.
                    Outcome::NotKnown => (true, if matches { next } else { *state }),
                }
            }
        }
    }
}

type Log = Arc<Mutex<Vec<(usize, Action<Operation>)>>>;

async fn operate(platform: FakePlatform, log: Log, operator: usize) {
    let note = |process, action| log.lock().expect("lock").push((process, action));
    let mut process = operator;
    for round in 0..ROUNDS {
        note(process, Action::Call(Operation::Read(None)));
        let row = platform.read(&Environment::Trial.key()).await;
        let row = match row {
            Ok(row) => row,
            // The checker needs an end of each call; one that saw nothing constrains nothing.
            Err(_) => {
                let write = Operation::Write {
                    replaces: 0,
                    digest: digest_of(""),
                    outcome: Outcome::NotApplied,
                };
                note(process, Action::Response(write));
                continue;
            }
        };
        let entry = row
            .and_then(|row| VersionRecord::decode(&row.value))
            .map(|entry| entry.tag);
        let seen = entry.map(|tag| (tag.version.0, tag.digest));
        note(process, Action::Response(Operation::Read(seen)));
        let replaces = seen.map_or(0, |(version, _)| version);
        let text = format!("{operator} {round}");
        let write = |outcome| Operation::Write {
            replaces,
            digest: digest_of(&text),
            outcome,
        };
        note(process, Action::Call(write(Outcome::NotKnown)));
        let id = operator as u64 * 100 + round;
        let outcome = match run(&platform, id, try_text(&text, replaces)).await {
            PromotionOutcome::Accepted(tag) => Outcome::Won(tag.version.0),
            PromotionOutcome::Refused(Refusal::Superseded(_)) => Outcome::Superseded,
            PromotionOutcome::NotApplied(_) => Outcome::NotApplied,
            PromotionOutcome::Unknown(_) => Outcome::NotKnown,
            ending => panic!("{ending:?}"),
        };
        if outcome == Outcome::NotKnown {
            // The call stays open to the end of the history; the operator goes on as another.
            process += OPERATORS;
        } else {
            note(process, Action::Response(write(outcome)));
        }
    }
}

/// Ends the calls that are still open, after all others.
fn close_history(log: &mut Vec<(usize, Action<Operation>)>) {
    let mut open: Vec<(usize, Operation)> = Vec::new();
    for (process, action) in log.iter() {
        match action {
            Action::Call(operation) => open.push((*process, operation.clone())),
            Action::Response(_) => open.retain(|(other, _)| other != process),
        }
    }
    log.extend(
        open.into_iter()
            .map(|(process, operation)| (process, Action::Response(operation))),
    );
}

#[tokio::test(start_paused = true)]
async fn operators_see_one_versioned_register() {
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
        close_history(&mut log);
        for (_, action) in &log {
            if let Action::Response(Operation::Write { outcome, .. }) = action {
                outcomes[match outcome {
                    Outcome::Won(_) => 0,
                    Outcome::Superseded => 1,
                    Outcome::NotApplied => 2,
                    Outcome::NotKnown => 3,
                }] += 1;
            }
        }
        let history = History::from_actions(log.clone());
        assert!(
            WGLChecker::<Register>::is_linearizable(history),
            "seed {seed}: {log:#?}"
        );
    }
    // Each kind must occur, or the check would show nothing about it.
    assert!(outcomes.iter().all(|count| *count > 20), "{outcomes:?}");
}
