//! When the leader of a group makes a new plan.

use siskinbend_placement::plan_gate::PlanGate;
use siskinbend_types::Time;

/// Guards against a leader on a small VM that plans all the time, so that reports and orders wait:
/// after a rejected plan, the next one is due only at a higher skew or after 600 ms.
#[test]
fn rejected_plans_pause() {
    let mut gate = PlanGate::default();
    assert!(gate.is_plan_due(1.5, Time::from_millis(0)));
    gate.record_rejected(1.4, Time::from_millis(0));
    assert!(!gate.is_plan_due(1.5, Time::from_millis(120)));
    assert!(
        gate.is_plan_due(1.6, Time::from_millis(120)),
        "enough to gain"
    );
    assert!(
        gate.is_plan_due(1.4, Time::from_millis(600)),
        "the demand may have changed"
    );
}
