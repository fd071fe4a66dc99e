//! Event streams that are split into complete events and continued by another replica.

use bytes::Bytes;
use siskinbend_request::EventBuffer;

fn event(id: u32) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn push(events: &mut EventBuffer, text: &str) -> String {
    let complete = events
        .push(Bytes::from(text.to_owned()))
        .expect("short events");
    String::from_utf8(complete.to_vec()).expect("text")
}

/// Guards against a caller that receives a partial event because the replica fails in the middle of
/// it.
#[test]
fn only_complete_events_are_forwarded() {
    let text: String = (1..=3).map(event).collect();
    for cut in 0..text.len() {
        let mut events = EventBuffer::default();
        let first = push(&mut events, &text[..cut]);
        assert!(
            first.is_empty() || first.ends_with("\n\n"),
            "cut at {cut}: {first:?}"
        );
        let rest = push(&mut events, &text[cut..]);
        assert_eq!(first + &rest, text, "cut at {cut}");
        assert!(!events.has_partial());
    }
}

/// Guards against repeated or missing events when another replica continues a stream.
#[test]
fn stream_continues_after_the_last_event() {
    let mut events = EventBuffer::default();
    let partial = &event(3)[..9];
    let first = push(&mut events, &format!("{}{}{partial}", event(1), event(2)));
    assert_eq!(events.last_id().map(|id| id.as_str()), Some("2"));
    events.drop_partial();
    let second = push(
        &mut events,
        &format!("{}{}{}", event(2), event(3), event(4)),
    );
    assert_eq!(first + &second, (1..=4).map(event).collect::<String>());
}

/// Guards against a caller that resumes a stream and receives events again.
#[test]
fn caller_resumes_without_repeated_events() {
    let mut events = EventBuffer::resume_after(Some("7".into()));
    assert_eq!(push(&mut events, &(event(7) + &event(8))), event(8));
}

/// Guards against repeated events of a hedge, which continues a stream from before the latest event:
/// they are recognised by their numbers only.
#[test]
fn named_events_are_not_numbered() {
    let mut events = EventBuffer::default();
    assert!(events.are_numbered());
    push(&mut events, &event(1));
    assert!(events.are_numbered());
    push(&mut events, "id: last\ndata: piece\n\n");
    assert!(!events.are_numbered());
}
