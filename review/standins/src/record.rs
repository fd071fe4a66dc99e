//! Record of a run: what was sent, answered and run.

use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Writes lines with the time since the start.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record {
            started: Instant::now(),
            file: Mutex::new(File::create(path)?),
        })
    }

    /// Time since the start.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(|e| e.into_inner());
        let _ = writeln!(file, "{seconds:8.3}  {}", text.as_ref());
    }
}
