//! Linearizability of concurrent calls with the same idempotency key, modelled as a register that
//! is set at most once. Guards against a repeat that gets another answer or runs the operation
//! again.

use siskinbend_measure::requests::CallerOutcome;
use siskinbend_measure::requests::Faults;
use siskinbend_measure::requests::HistoryEvent;
use siskinbend_measure::requests::World;
use siskinbend_types::Outcome;
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::Action;
use todc_utils::linearizability::history::History;
use todc_utils::specifications::Specification;

/// The effect of a call on the register; the value is the number of the execution.
#[derive(Debug, Clone)]
enum Operation {
    /// The call set the register or read its value.
    Answered(usize),
    /// The call set the register, but its caller did not learn the outcome.
    Unknown(usize),
    /// The call did not change the register.
    None,
}

struct WriteOnceRegister;

impl Specification for WriteOnceRegister {
    type State = Option<usize>;
    type Operation = Operation;

    fn init() -> Option<usize> {
        None
    }

    fn apply(operation: &Operation, state: &Option<usize>) -> (bool, Option<usize>) {
        match operation {
            Operation::Answered(value) => (state.is_none_or(|set| set == *value), Some(*value)),
            Operation::Unknown(value) => (state.is_none(), Some(*value)),
            Operation::None => (true, *state),
        }
    }
}

/// Builds the history of one key. A call with an unknown outcome can take effect at any later time,
/// so its response comes last.
fn read_history(world: &World, events: &[HistoryEvent]) -> History<Operation> {
    let outcome = |request: usize| {
        events.iter().find_map(|event| match event {
            HistoryEvent::Completed(other, outcome) if *other == request => Some(*outcome),
            _ => None,
        })
    };
    let operation = |request: usize| match (outcome(request), world.oracle.last_execution(request))
    {
        (Some(CallerOutcome::Answer(execution)), _) => Operation::Answered(execution),
        // A call that ran although it was reported as not run fits into no order.
        (Some(CallerOutcome::Failure(Outcome::NotRun)), Some(_)) => Operation::Answered(usize::MAX),
        (_, Some(execution)) => Operation::Unknown(execution),
        (_, None) => Operation::None,
    };
    let process = |request: usize| {
        let sent = |event: &&HistoryEvent| matches!(event, HistoryEvent::Sent(_));
        let mut requests = events.iter().filter(sent);
        requests.position(|event| *event == HistoryEvent::Sent(request))
    };
    let mut actions = Vec::new();
    let mut open = Vec::new();
    for event in events {
        let (HistoryEvent::Sent(request) | HistoryEvent::Completed(request, _)) = *event;
        let Some(process) = process(request) else {
            panic!("request {request} ended before it was sent: {events:?}");
        };
        match event {
            HistoryEvent::Sent(_) => {
                open.push((process, Action::Response(operation(request))));
                actions.push((process, Action::Call(operation(request))));
            }
            HistoryEvent::Completed(_, CallerOutcome::Failure(Outcome::Unknown)) => {}
            HistoryEvent::Completed(..) => {
                open.retain(|(other, _)| *other != process);
                actions.push((process, Action::Response(operation(request))));
            }
        }
    }
    actions.append(&mut open);
    History::from_actions(actions)
}

#[test]
fn concurrent_keyed_calls_are_linearizable() {
    let mut histories = 0;
    for seed in 0..12 {
        let faults = Faults {
            request_interval_us: 20_000,
            fault_interval_us: 500_000,
            max_freeze_us: 20_000_000,
            ..Faults::default()
        };
        let mut world = World::new(seed, 3_000, faults);
        world.run();
        for (index, events) in world.oracle.histories().enumerate() {
            let history = read_history(&world, events);
            histories += 1;
            assert!(
                WGLChecker::<WriteOnceRegister>::is_linearizable(history),
                "seed {seed}, operation {index}: {events:?}"
            );
        }
    }
    assert!(histories > 3_000, "only {histories} histories");
}
