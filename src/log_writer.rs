//! Writes log lines from a separate thread, so that a slow reader never blocks a request.
//!
//! Lines beyond the rate limit or the capacity of the queue are dropped and counted; the count is
//! written with the next line that is accepted.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;

/// Limits of a log writer.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of lines in the queue.
    pub capacity: usize,
    /// Rate limit; a burst may have as many lines.
    pub lines_per_second: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            capacity: 2_048,
            lines_per_second: 600.0,
        }
    }
}

/// Queues log lines for the thread that writes them.
#[derive(Debug)]
pub struct LogWriter {
    limits: Limits,
    lines: SyncSender<Vec<u8>>,
    pending: Arc<AtomicU64>,
    line: Vec<u8>,
    dropped: u64,
    tokens: f64,
    refilled_at: Instant,
}

/// Handle to wait until the queued lines are written.
#[derive(Debug, Clone)]
pub struct FlushHandle(Arc<AtomicU64>);

impl FlushHandle {
    /// Waits until no line is pending, for at most `limit`.
    pub fn wait(&self, limit: Duration) {
        let started = Instant::now();
        while self.0.load(Ordering::Acquire) > 0 && started.elapsed() < limit {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

impl LogWriter {
    /// Starts the thread and returns a writer whose lines go to `sink`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start<Sink>(sink: Sink, limits: Limits) -> std::io::Result<(LogWriter, FlushHandle)>
    where
        Sink: Write + Send + 'static,
    {
        let (lines, receiver) = sync_channel(limits.capacity);
        let pending = Arc::new(AtomicU64::new(0));
        let written = Arc::clone(&pending);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(sink, &receiver, &written))?;
        let flush = FlushHandle(Arc::clone(&pending));
        let writer = LogWriter {
            limits,
            lines,
            pending,
            line: Vec::new(),
            dropped: 0,
            tokens: limits.lines_per_second,
            refilled_at: Instant::now(),
        };
        Ok((writer, flush))
    }

    fn take_token(&mut self) -> bool {
        let now = Instant::now();
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed * self.limits.lines_per_second)
            .min(self.limits.lines_per_second);
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    fn send(&mut self, mut line: Vec<u8>) {
        if self.dropped > 0 {
            let mut notice =
                format!("event=log_lines_dropped count={}\n", self.dropped).into_bytes();
            notice.append(&mut line);
            line = notice;
        }
        self.pending.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(line).is_ok() {
            self.dropped = 0;
        } else {
            self.pending.fetch_sub(1, Ordering::AcqRel);
            self.dropped += 1;
        }
    }
}

impl Write for LogWriter {
    fn write(&mut self, part: &[u8]) -> std::io::Result<usize> {
        self.line.extend_from_slice(part);
        Ok(part.len())
    }

    /// Ends the current line and queues it.
    fn flush(&mut self) -> std::io::Result<()> {
        let line = std::mem::take(&mut self.line);
        if line.is_empty() {
            return Ok(());
        }
        if self.take_token() {
            self.send(line);
        } else {
            self.dropped += 1;
        }
        Ok(())
    }
}

fn write_lines<Sink>(mut sink: Sink, receiver: &Receiver<Vec<u8>>, pending: &AtomicU64)
where
    Sink: Write,
{
    while let Ok(line) = receiver.recv() {
        // A failure to write the log cannot be reported anywhere else.
        let _ = sink.write_all(&line).and_then(|()| sink.flush());
        pending.fetch_sub(1, Ordering::AcqRel);
    }
}
