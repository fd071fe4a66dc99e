//! Agent side of stream resumption: buffers the frames that the entry may not have received.

use std::collections::VecDeque;
use std::time::Duration;

use siskinbend_types::Reason;
use siskinbend_types::Time;

/// Limits of a resume buffer.
#[derive(Debug, Clone)]
pub struct ResumeSettings {
    /// Size of the buffer in bytes; larger than the data in flight on a connection.
    pub max_bytes: usize,
    /// Time after the loss of the connection for which the stream can be resumed.
    pub timeout: Duration,
}

impl Default for ResumeSettings {
    fn default() -> Self {
        Self {
            max_bytes: 64 << 10,
            // Longer than the entry tries to resume, so that the entry gives up first.
            timeout: Duration::from_secs(2),
        }
    }
}

/// The newest frames of one attempt's answer, numbered from its head.
#[derive(Debug)]
pub struct ResumeBuffer<Frame> {
    settings: ResumeSettings,
    /// Frames with their sizes in bytes.
    frames: VecDeque<(Frame, usize)>,
    /// Number of the oldest frame in the buffer.
    first: u64,
    bytes: usize,
    /// When the connection was lost.
    disconnected: Option<Time>,
}

impl<Frame> ResumeBuffer<Frame>
where
    Frame: Clone,
{
    /// Creates an empty buffer.
    pub fn new(settings: ResumeSettings) -> Self {
        Self {
            settings,
            frames: VecDeque::new(),
            first: 0,
            bytes: 0,
            disconnected: None,
        }
    }

    /// Adds a frame of the answer and drops the oldest frames while the buffer is too large.
    pub fn push(&mut self, frame: Frame, bytes: usize) {
        self.frames.push_back((frame, bytes));
        self.bytes += bytes;
        while self.bytes > self.settings.max_bytes {
            self.drop_oldest();
        }
    }

    /// Records that the connection was lost.
    pub fn mark_disconnected(&mut self, now: Time) {
        self.disconnected.get_or_insert(now);
    }

    /// Whether the connection is lost, so that frames are buffered and not sent.
    pub fn is_disconnected(&self) -> bool {
        self.disconnected.is_some()
    }

    /// Whether the stream can no longer be resumed.
    pub fn is_expired(&self, now: Time) -> bool {
        self.disconnected
            .is_some_and(|since| now.since(since) >= self.settings.timeout)
    }

    /// Resumes the stream for an entry that received the first `received` frames; returns the
    /// frames that follow.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::OutcomeLost`] if a missing frame was dropped or the timeout has expired,
    /// and [`Reason::Protocol`] if the entry claims more frames than were sent.
    pub fn resume(&mut self, received: u64, now: Time) -> Result<Vec<Frame>, Reason> {
        if received < self.first || self.is_expired(now) {
            return Err(Reason::OutcomeLost);
        }
        if received > self.first + self.frames.len() as u64 {
            return Err(Reason::Protocol);
        }
        while self.first < received {
            self.drop_oldest();
        }
        self.disconnected = None;
        Ok(self.frames.iter().map(|(frame, _)| frame.clone()).collect())
    }

    fn drop_oldest(&mut self) {
        if let Some((_, bytes)) = self.frames.pop_front() {
            self.bytes -= bytes;
            self.first += 1;
        }
    }
}
