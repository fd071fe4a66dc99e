//! Agent side of a broken stream: keeps the frames that the entry may have missed.

use std::collections::VecDeque;
use std::time::Duration;

use siskinbend_types::Reason;
use siskinbend_types::Time;

/// Options of a held stream.
#[derive(Debug, Clone)]
pub struct ResumeSettings {
    /// Most bytes kept; more than a connection has in flight.
    pub max_bytes: usize,
    /// How long a running attempt waits for its entry after the connection was lost.
    pub timeout: Duration,
}

impl Default for ResumeSettings {
    fn default() -> Self {
        Self {
            max_bytes: 64 << 10,
            // Longer than the entry tries, so that the entry is the one to give up.
            timeout: Duration::from_secs(2),
        }
    }
}

/// The newest frames of one attempt's answer, counted from its head.
#[derive(Debug)]
pub struct ResumeBuffer<Frame> {
    settings: ResumeSettings,
    /// Frames with their size in bytes.
    frames: VecDeque<(Frame, usize)>,
    /// Number of the oldest frame kept.
    first: u64,
    bytes: usize,
    lost: Option<Time>,
}

impl<Frame> ResumeBuffer<Frame>
where
    Frame: Clone,
{
    /// A stream without frames.
    pub fn new(settings: ResumeSettings) -> Self {
        Self {
            settings,
            frames: VecDeque::new(),
            first: 0,
            bytes: 0,
            lost: None,
        }
    }

    /// Keeps a frame of the answer and drops the oldest if there are too many bytes.
    pub fn push(&mut self, frame: Frame, bytes: usize) {
        self.frames.push_back((frame, bytes));
        self.bytes += bytes;
        while self.bytes > self.settings.max_bytes {
            self.drop_oldest();
        }
    }

    /// Notes that the connection was lost.
    pub fn mark_disconnected(&mut self, now: Time) {
        self.lost.get_or_insert(now);
    }

    /// Whether the connection is lost, so that frames are only kept.
    pub fn is_disconnected(&self) -> bool {
        self.lost.is_some()
    }

    /// Whether the entry has not come back in time.
    pub fn is_expired(&self, now: Time) -> bool {
        self.lost
            .is_some_and(|lost| now.since(lost) >= self.settings.timeout)
    }

    /// Resumes the stream at an entry that received the first `received` frames; returns those
    /// that follow.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::OutcomeLost`] if a missing frame was dropped or the entry came too
    /// late, and [`Reason::Protocol`] if the entry received more than was sent.
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
        self.lost = None;
        Ok(self.frames.iter().map(|(frame, _)| frame.clone()).collect())
    }

    fn drop_oldest(&mut self) {
        if let Some((_, bytes)) = self.frames.pop_front() {
            self.bytes -= bytes;
            self.first += 1;
        }
    }
}
