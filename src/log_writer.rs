//! Writes log lines from a thread of its own, so that a slow reader never stops a request.
//!
//! Lines beyond the rate or the room are dropped and counted, and the count is written as soon as
//! there is room again.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::time::Duration;
use std::time::Instant;

/// Limits of the log.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Lines that wait for the reader.
    pub capacity: usize,
    /// Lines a second; as many may come at once.
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

/// The sending end of the log.
#[derive(Debug)]
pub struct LogWriter {
    limits: Limits,
    lines: SyncSender<Vec<u8>>,
    pending: Arc<AtomicU64>,
    line: Vec<u8>,
    dropped: u64,
    tokens: f64,
    filled: Instant,
}

/// Waits until the lines so far are written.
#[derive(Debug, Clone)]
pub struct FlushHandle(Arc<AtomicU64>);

impl FlushHandle {
    /// Waits until nothing is pending, at most `limit`.
    pub fn wait(&self, limit: Duration) {
        let begun = Instant::now();
        while self.0.load(Ordering::Acquire) > 0 && begun.elapsed() < limit {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
}

impl LogWriter {
    /// A writer whose lines go to `sink`.
    ///
    /// # Errors
    ///
    /// The thread can't be started.
    pub fn start<Sink>(sink: Sink, limits: Limits) -> std::io::Result<(LogWriter, FlushHandle)>
    where
        Sink: Write + Send + 'static,
    {
        let (lines, waiting) = sync_channel(limits.capacity);
        let pending = Arc::new(AtomicU64::new(0));
        let written = Arc::clone(&pending);
        std::thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(sink, &waiting, &written))?;
        let flush = FlushHandle(Arc::clone(&pending));
        let writer = LogWriter {
            limits,
            lines,
            pending,
            line: Vec::new(),
            dropped: 0,
            tokens: limits.lines_per_second,
            filled: Instant::now(),
        };
        Ok((writer, flush))
    }

    fn take_token(&mut self) -> bool {
        let now = Instant::now();
        let passed = now.duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.tokens =
            (self.tokens + passed * self.limits.lines_per_second).min(self.limits.lines_per_second);
        let some = self.tokens >= 1.0;
        if some {
            self.tokens -= 1.0;
        }
        some
    }

    fn send(&mut self, mut line: Vec<u8>) {
        if self.dropped > 0 {
            let mut note = format!("event=log_lines_dropped count={}\n", self.dropped).into_bytes();
            note.append(&mut line);
            line = note;
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

    /// Ends a line.
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

fn write_lines<Sink>(mut sink: Sink, waiting: &Receiver<Vec<u8>>, pending: &AtomicU64)
where
    Sink: Write,
{
    while let Ok(line) = waiting.recv() {
        // There is no other place to tell that the log can't be written.
        let _ = sink.write_all(&line).and_then(|()| sink.flush());
        pending.fetch_sub(1, Ordering::AcqRel);
    }
}
