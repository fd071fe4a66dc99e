//! Recent demand for experts, from what the ranks of a group tell.

use siskinbend_placement::recent_demand::DemandMeter;
use siskinbend_placement::recent_demand::RecentDemand;
use siskinbend_types::Time;

/// The demand `passed` milliseconds after it moved from the first expert to the second.
fn shift(passed: u64) -> Vec<f64> {
    let mut recent = RecentDemand::default();
    for ms in (0..5_000 + passed).step_by(100) {
        let chosen = if ms < 5_000 { [1_000, 0] } else { [0, 1_000] };
        recent.add(&chosen, Time::from_millis(ms));
    }
    let demand = recent.estimate(Time::from_millis(5_000 + passed));
    demand.expect("enough counts").to_vec()
}

/// Guards against old demand that outweighs a shift: after two seconds it counts less than a tenth.
#[test]
fn shift_is_noticed() {
    let demand = shift(2_000);
    assert!(demand[0] < demand[1] / 10.0, "{demand:?}");
}

/// Guards against plans for a demand that has passed: half a second after a shift, the new demand
/// counts six times as much as the old.
#[test]
fn shift_leads_soon() {
    let demand = shift(500);
    assert!(demand[1] > demand[0] * 6.0, "{demand:?}");
}

/// Guards against a group with little traffic that never gets a plan: a request every half second
/// that chooses 2,000 experts is enough, also when it is looked at a quarter of a second later.
#[test]
fn slow_traffic_is_enough() {
    let mut recent = RecentDemand::default();
    for ms in (0..5_000).step_by(500) {
        recent.add(&[1_500, 500], Time::from_millis(ms));
        let later = Time::from_millis(ms + 250);
        assert!(recent.estimate(later).is_some(), "at {ms} ms");
    }
}

/// Guards against plans that are made from a handful of counts.
#[test]
fn little_tells_nothing() {
    let mut recent = RecentDemand::default();
    recent.add(&[100, 50], Time::from_millis(0));
    assert!(recent.estimate(Time::from_millis(0)).is_none());
}

/// Guards against a restarted rank whose counts begin anew, and against counts that were told but
/// not taken in.
#[test]
fn counts_since_last_told() {
    let mut meter = DemandMeter::default();
    assert_eq!(
        meter.measure(1, &[500, 7]),
        [0, 0],
        "the first counts have no beginning"
    );
    meter.mark_reported(1, vec![500, 7]);
    assert_eq!(meter.measure(1, &[510, 7]), [10, 0]);
    assert_eq!(
        meter.measure(1, &[520, 9]),
        [20, 2],
        "the first ones were not taken in"
    );
    assert_eq!(
        meter.measure(1, &[3, 1]),
        [0, 0],
        "the rank has started anew"
    );
    assert_eq!(
        meter.measure(2, &[520, 9]),
        [0, 0],
        "the group has opened anew"
    );
}
