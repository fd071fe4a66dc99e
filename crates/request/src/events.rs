//! Cuts an event stream into whole events, so that it can go on at another replica.

use bytes::Bytes;
use bytes::BytesMut;
use smol_str::SmolStr;

/// Longest event in bytes; a longer one is a fault of the replica.
const MOST_EVENT: usize = 1 << 20;

/// An event stream while it is passed on.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
    last: Option<SmolStr>,
    number: Option<u64>,
}

/// The event is longer than allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub struct EventTooLong;

impl std::error::Error for EventTooLong {}

impl EventBuffer {
    /// A stream that goes on after an event.
    pub fn resume_after(last: Option<SmolStr>) -> EventBuffer {
        EventBuffer {
            number: last.as_ref().and_then(|id| id.parse().ok()),
            last,
            ..EventBuffer::default()
        }
    }

    /// Takes in bytes and returns the whole events among them.
    ///
    /// # Errors
    ///
    /// [`EventTooLong`] if an event does not end.
    pub fn push(&mut self, data: Bytes) -> Result<Bytes, EventTooLong> {
        if self.partial.is_empty() {
            let end = find_end(&data);
            if end == data.len() {
                return Ok(self.keep(data));
            }
            self.partial.extend_from_slice(&data[end..]);
            return Ok(self.keep(data.slice(..end)));
        }
        self.partial.extend_from_slice(&data);
        if self.partial.len() > MOST_EVENT {
            return Err(EventTooLong);
        }
        let end = find_end(&self.partial);
        let whole = self.partial.split_to(end).freeze();
        Ok(self.keep(whole))
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&SmolStr> {
        self.last.as_ref()
    }

    /// Whether bytes of an event that isn't whole are left.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Drops the beginning of an event that will not be completed.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
    }

    /// Leaves out events that were passed on before and notes the last id.
    fn keep(&mut self, whole: Bytes) -> Bytes {
        if whole.is_empty() {
            return whole;
        }
        let ids = list_ids(&whole);
        let Some((last, _)) = ids.last() else {
            return whole;
        };
        let fresh = |(id, _): &&(SmolStr, usize)| match (id.parse::<u64>(), self.number) {
            (Ok(id), Some(known)) => id > known,
            _ => true,
        };
        let first = ids.iter().find(fresh).map(|(_, start)| *start);
        self.last = Some(last.clone());
        self.number = last.parse().ok().max(self.number);
        match first {
            Some(start) => whole.slice(start..),
            None => Bytes::new(),
        }
    }
}

/// End of the last whole event: the position after its empty line.
fn find_end(data: &[u8]) -> usize {
    let lf = data.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = data
        .windows(4)
        .rposition(|w| w == b"\r\n\r\n")
        .map(|at| at + 4);
    lf.max(crlf).unwrap_or(0)
}

/// Ids of whole events with the position at which their event begins.
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
