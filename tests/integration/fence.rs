//! Fencing of engine commands. Guards against commands of a former lease holder, which an engine
//! that doesn't check fencing numbers would execute.

use siskinbend_groups::Fence;
use siskinbend_groups::FenceError;
use siskinbend_types::FencingNumber;

#[test]
fn commands_are_refused_after_a_restart_until_the_lease_is_read() {
    // The earlier run may have admitted a higher number than the first command that arrives.
    let mut fence = Fence::new(true);
    fence.raise_to(FencingNumber(7));
    assert_eq!(fence.admit(FencingNumber(7)), Ok(()));
    let mut restarted = Fence::new(true);
    for number in [1, 7, u64::MAX] {
        assert_eq!(
            restarted.admit(FencingNumber(number)),
            Err(FenceError::FenceUnknown)
        );
    }
    assert_eq!(
        restarted.highest(),
        None,
        "a refused command doesn't raise the number"
    );
    restarted.raise_to(FencingNumber(7));
    assert_eq!(
        restarted.admit(FencingNumber(6)),
        Err(FenceError::FenceStale)
    );
    assert_eq!(restarted.admit(FencingNumber(7)), Ok(()));
}

#[test]
fn number_never_decreases() {
    // A slow read of the lease row must not admit a former holder again.
    let mut fence = Fence::new(true);
    fence.raise_to(FencingNumber(3));
    assert_eq!(fence.admit(FencingNumber(9)), Ok(()));
    fence.raise_to(FencingNumber(4));
    assert_eq!(fence.highest(), Some(FencingNumber(9)));
    assert_eq!(fence.admit(FencingNumber(8)), Err(FenceError::FenceStale));
}

#[test]
fn engine_without_a_check_gets_one_command_at_a_time() {
    // The engine could apply the older of two concurrent commands last.
    let mut fence = Fence::new(false);
    fence.raise_to(FencingNumber(1));
    assert_eq!(fence.admit(FencingNumber(1)), Ok(()));
    assert_eq!(fence.admit(FencingNumber(2)), Err(FenceError::FenceBusy));
    fence.finish();
    assert_eq!(fence.admit(FencingNumber(2)), Ok(()));
    fence.finish();
    assert_eq!(fence.admit(FencingNumber(1)), Err(FenceError::FenceStale));
}

#[test]
fn reasons_have_distinct_names() {
    let names: Vec<_> = FenceError::ALL.iter().map(|r| r.as_str()).collect();
    assert_eq!(names, ["fence_unknown", "fence_stale", "fence_busy"]);
}
