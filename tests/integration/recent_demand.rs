//! Recent demand for experts, from the counts that the ranks of a group report.

use siskinbend_placement::recent_demand::DemandMeter;
use siskinbend_placement::recent_demand::RecentDemand;
use siskinbend_types::Time;

/// The estimate `passed` milliseconds after the demand moved from the first expert to the second.
fn estimate_after_shift(passed: u64) -> Vec<f64> {
    let mut recent = RecentDemand::default();
    for ms in (0..5_000 + passed).step_by(100) {
        let chosen = if ms < 5_000 { [1_000, 0] } else { [0, 1_000] };
        recent.add(&chosen, Time::from_millis(ms));
    }
    let demand = recent.estimate(Time::from_millis(5_000 + passed));
    demand.expect("enough counts").to_vec()
}

/// Guards against old demand that outweighs new demand: after two seconds, it weighs less than a
/// tenth.
#[test]
fn old_demand_decays_within_two_seconds() {
    let demand = estimate_after_shift(2_000);
    assert!(demand[0] < demand[1] / 10.0, "{demand:?}");
}

/// Guards against plans for outdated demand: half a second after a shift, the new demand weighs six
/// times as much as the old.
#[test]
fn new_demand_dominates_within_half_a_second() {
    let demand = estimate_after_shift(500);
    assert!(demand[1] > demand[0] * 6.0, "{demand:?}");
}

/// Guards against a group with little traffic that never gets a plan: one request every half second
/// that chooses 2,000 experts gives an estimate, even 250 ms after the request.
#[test]
fn little_traffic_gives_an_estimate() {
    let mut recent = RecentDemand::default();
    for ms in (0..5_000).step_by(500) {
        recent.add(&[1_500, 500], Time::from_millis(ms));
        let later = Time::from_millis(ms + 250);
        assert!(recent.estimate(later).is_some(), "at {ms} ms");
    }
}

/// Guards against plans based on a handful of counts.
#[test]
fn few_counts_give_no_estimate() {
    let mut recent = RecentDemand::default();
    recent.add(&[100, 50], Time::from_millis(0));
    assert!(recent.estimate(Time::from_millis(0)).is_none());
}

/// Guards against wrong differences after a restart of a rank, whose counts restart at 0, and
/// against the loss of counts in a report that the leader didn't receive.
#[test]
fn meter_returns_counts_since_the_last_received_report() {
    let mut meter = DemandMeter::default();
    assert_eq!(
        meter.measure(1, &[500, 7]),
        [0, 0],
        "there is no earlier report"
    );
    meter.mark_reported(1, vec![500, 7]);
    assert_eq!(meter.measure(1, &[510, 7]), [10, 0]);
    assert_eq!(
        meter.measure(1, &[520, 9]),
        [20, 2],
        "the previous report was not received"
    );
    assert_eq!(meter.measure(1, &[3, 1]), [0, 0], "the rank has restarted");
    assert_eq!(
        meter.measure(2, &[520, 9]),
        [0, 0],
        "the group was reopened"
    );
}
