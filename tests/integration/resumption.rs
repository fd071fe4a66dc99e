//! Resumption of broken streams; guards against lost or repeated parts of an answer.

use std::time::Duration;

use siskinbend_request::Action;
use siskinbend_request::CallSpec;
use siskinbend_request::Event;
use siskinbend_request::ResumeBuffer;
use siskinbend_request::ResumeSettings;
use siskinbend_types::Attempt;
use siskinbend_types::Outcome;
use siskinbend_types::Reason;
use siskinbend_types::Time;

use crate::call_util::Bench;
use crate::call_util::assert_failure;
use crate::call_util::plain;
use crate::call_util::target;

const FIRST: Attempt = Attempt(1);

/// A call whose stream broke after the head and two chunks.
fn broken() -> (Bench, Vec<Action>) {
    let spec = CallSpec {
        resumable: true,
        ..plain(true)
    };
    let mut bench = Bench::dispatched(spec);
    bench.send(Event::Head(FIRST));
    bench.send(Event::Chunk(FIRST, 0));
    bench.send(Event::Chunk(FIRST, 1));
    let actions = bench.send(Event::LinkLost(FIRST));
    (bench, actions)
}

fn held(bytes: usize) -> ResumeBuffer<u64> {
    let mut held = ResumeBuffer::new(ResumeSettings {
        max_bytes: bytes,
        timeout: Duration::from_secs(2),
    });
    (0..4).for_each(|frame| held.push(frame, 10));
    held
}

#[test]
fn broken_stream_goes_on_after_the_frames_received() {
    let (mut bench, actions) = broken();
    assert!(actions.contains(&Action::Resume {
        attempt: FIRST,
        target: target(1),
        received: 3,
    }));
    bench.send(Event::Resumed(FIRST));
    assert_eq!(bench.send(Event::Chunk(FIRST, 1)), vec![]);
    assert_eq!(
        bench.send(Event::Chunk(FIRST, 2)),
        vec![Action::ForwardChunk]
    );
    assert_eq!(bench.send(Event::End(FIRST, 3)), vec![Action::ForwardEnd]);
}

#[test]
fn gap_after_a_resumption_does_not_end_cleanly() {
    let (mut bench, _) = broken();
    bench.send(Event::Resumed(FIRST));
    let actions = bench.send(Event::Chunk(FIRST, 3));
    assert_failure(&actions, Outcome::Unknown, Reason::Protocol);
}

#[test]
fn stream_that_cannot_be_resumed_is_not_restarted() {
    let (mut bench, _) = broken();
    let actions = bench.send(Event::NotResumed(FIRST));
    assert_failure(&actions, Outcome::Unknown, Reason::LinkLost);
    let (mut bench, _) = broken();
    bench.wait(1_000);
    let actions = bench.send(Event::Timer);
    assert_failure(&actions, Outcome::Unknown, Reason::LinkLost);
}

#[test]
fn attempt_that_may_not_have_arrived_is_cancelled_instead() {
    let mut bench = Bench::dispatched(CallSpec {
        resumable: true,
        ..plain(false)
    });
    let actions = bench.send(Event::LinkLost(FIRST));
    assert!(matches!(actions[0], Action::Cancel { attempt: FIRST, .. }));
}

#[test]
fn dropped_frames_are_not_skipped() {
    assert_eq!(held(40).resume(1, Time(0)), Ok(vec![1, 2, 3]));
    assert_eq!(held(20).resume(1, Time(0)), Err(Reason::OutcomeLost));
    assert_eq!(held(20).resume(2, Time(0)), Ok(vec![2, 3]));
    assert_eq!(held(40).resume(5, Time(0)), Err(Reason::Protocol));
}

#[test]
fn entry_that_comes_back_late_gets_nothing() {
    let mut held = held(40);
    held.mark_disconnected(Time::from_millis(0));
    assert!(!held.is_expired(Time::from_millis(1_999)));
    assert!(held.is_expired(Time::from_millis(2_000)));
    let late = held.resume(1, Time::from_millis(2_000));
    assert_eq!(late, Err(Reason::OutcomeLost));
}
