//! Resumption of broken streams. Guards against lost or repeated parts of an answer.

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

use crate::call_util::Harness;
use crate::call_util::assert_failure;
use crate::call_util::spec_without_key;
use crate::call_util::target;

const FIRST: Attempt = Attempt(1);

/// Creates a call whose stream broke after the head and two chunks; also returns its actions.
fn broken_call() -> (Harness, Vec<Action>) {
    let spec = CallSpec {
        resumable: true,
        ..spec_without_key(true)
    };
    let mut harness = Harness::dispatched(spec);
    harness.handle(Event::Head(FIRST));
    harness.handle(Event::Chunk(FIRST, 0));
    harness.handle(Event::Chunk(FIRST, 1));
    let actions = harness.handle(Event::LinkLost(FIRST));
    (harness, actions)
}

fn filled_buffer(max_bytes: usize) -> ResumeBuffer<u64> {
    let mut buffer = ResumeBuffer::new(ResumeSettings {
        max_bytes,
        timeout: Duration::from_secs(2),
    });
    (0..4).for_each(|frame| buffer.push(frame, 10));
    buffer
}

#[test]
fn broken_stream_continues_after_the_frames_received() {
    let (mut harness, actions) = broken_call();
    assert!(actions.contains(&Action::Resume {
        attempt: FIRST,
        target: target(1),
        received: 3,
    }));
    harness.handle(Event::Resumed(FIRST));
    assert_eq!(harness.handle(Event::Chunk(FIRST, 1)), vec![]);
    assert_eq!(
        harness.handle(Event::Chunk(FIRST, 2)),
        vec![Action::ForwardChunk]
    );
    assert_eq!(
        harness.handle(Event::End(FIRST, 3)),
        vec![Action::ForwardEnd]
    );
}

#[test]
fn gap_after_a_resumption_does_not_end_cleanly() {
    let (mut harness, _) = broken_call();
    harness.handle(Event::Resumed(FIRST));
    let actions = harness.handle(Event::Chunk(FIRST, 3));
    assert_failure(&actions, Outcome::Unknown, Reason::Protocol);
}

#[test]
fn stream_that_cannot_be_resumed_is_not_restarted() {
    let (mut harness, _) = broken_call();
    let actions = harness.handle(Event::NotResumed(FIRST));
    assert_failure(&actions, Outcome::Unknown, Reason::LinkLost);
    let (mut harness, _) = broken_call();
    harness.advance(1_000);
    let actions = harness.handle(Event::Timer);
    assert_failure(&actions, Outcome::Unknown, Reason::LinkLost);
}

#[test]
fn attempt_that_may_not_have_arrived_is_cancelled_instead() {
    let mut harness = Harness::dispatched(CallSpec {
        resumable: true,
        ..spec_without_key(false)
    });
    let actions = harness.handle(Event::LinkLost(FIRST));
    assert!(matches!(actions[0], Action::Cancel { attempt: FIRST, .. }));
}

#[test]
fn dropped_frames_are_not_skipped() {
    assert_eq!(filled_buffer(40).resume(1, Time(0)), Ok(vec![1, 2, 3]));
    assert_eq!(
        filled_buffer(20).resume(1, Time(0)),
        Err(Reason::OutcomeLost)
    );
    assert_eq!(filled_buffer(20).resume(2, Time(0)), Ok(vec![2, 3]));
    assert_eq!(filled_buffer(40).resume(5, Time(0)), Err(Reason::Protocol));
}

#[test]
fn late_resume_is_refused() {
    let mut buffer = filled_buffer(40);
    buffer.mark_disconnected(Time::from_millis(0));
    assert!(!buffer.is_expired(Time::from_millis(1_999)));
    assert!(buffer.is_expired(Time::from_millis(2_000)));
    let result = buffer.resume(1, Time::from_millis(2_000));
    assert_eq!(result, Err(Reason::OutcomeLost));
}
