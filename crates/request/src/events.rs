//! Splits an event stream into complete events, so that another replica can continue it.

use bytes::Bytes;
use bytes::BytesMut;
use smol_str::SmolStr;

/// Longest accepted event in bytes; a replica that sends a longer one is faulty.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffer of an event stream that is forwarded to the caller.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
    last_id: Option<SmolStr>,
    /// Highest numeric event id.
    last_number: Option<u64>,
}

/// an event exceeds the accepted length
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub struct EventTooLong;

impl std::error::Error for EventTooLong {}

impl EventBuffer {
    /// Creates a buffer for a stream that continues after the event `last_id`.
    pub fn resume_after(last_id: Option<SmolStr>) -> EventBuffer {
        EventBuffer {
            last_number: last_id.as_ref().and_then(|id| id.parse().ok()),
            last_id,
            ..EventBuffer::default()
        }
    }

    /// Adds received bytes and returns the events that are complete.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] if an event exceeds the accepted length.
    pub fn push(&mut self, data: Bytes) -> Result<Bytes, EventTooLong> {
        if self.partial.is_empty() {
            let end = find_end(&data);
            if end == data.len() {
                return Ok(self.skip_forwarded(data));
            }
            self.partial.extend_from_slice(&data[end..]);
            return Ok(self.skip_forwarded(data.slice(..end)));
        }
        self.partial.extend_from_slice(&data);
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        let end = find_end(&self.partial);
        let complete = self.partial.split_to(end).freeze();
        Ok(self.skip_forwarded(complete))
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<&SmolStr> {
        self.last_id.as_ref()
    }

    /// Whether an event that was forwarded before would be recognised and removed.
    pub fn are_numbered(&self) -> bool {
        let last_id = self.last_id.as_ref();
        last_id.is_none_or(|id| id.parse::<u64>().is_ok())
    }

    /// Whether the buffer holds an incomplete event.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops an incomplete event.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Removes leading events that were forwarded before and records the last id.
    fn skip_forwarded(&mut self, events: Bytes) -> Bytes {
        if events.is_empty() {
            return events;
        }
        let ids = list_ids(&events);
        let Some((last_id, _)) = ids.last() else {
            return events;
        };
        let is_new = |(id, _): &&(SmolStr, usize)| match (id.parse::<u64>(), self.last_number) {
            (Ok(id), Some(last)) => id > last,
            _ => true,
        };
        let first = ids.iter().find(is_new).map(|(_, start)| *start);
        self.last_id = Some(last_id.clone());
        self.last_number = last_id.parse().ok().max(self.last_number);
        match first {
            Some(start) => events.slice(start..),
            None => Bytes::new(),
        }
    }
}

/// Returns the end of the last complete event: the position after its empty line.
fn find_end(data: &[u8]) -> usize {
    let lf = data.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = data
        .windows(4)
        .rposition(|w| w == b"\r\n\r\n")
        .map(|at| at + 4);
    lf.max(crlf).unwrap_or(0)
}

/// Returns the ids in complete events, each with the position at which its event starts.
fn list_ids(data: &[u8]) -> Vec<(SmolStr, usize)> {
    let mut ids = Vec::new();
    let (mut start, mut at) = (0, 0);
    for line in data.split_inclusive(|b| *b == b'\n') {
        at += line.len();
        let text = line.trim_ascii();
        if text.is_empty() {
            start = at;
        } else if let Some(id) = text.strip_prefix(b"id:") {
            let id = String::from_utf8_lossy(id.trim_ascii());
            ids.push((SmolStr::new(id), start));
        }
    }
    ids
}
