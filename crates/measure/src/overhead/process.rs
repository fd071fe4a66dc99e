//! Processes of the experiment and what the kernel says about them.

use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

/// Unit of processor time in `/proc/PID/stat`: `USER_HZ` is 100 on Linux.
const TICK: Duration = Duration::from_millis(10);

/// Fields of `/proc/PID/stat` after the command name up to `utime` (proc(5), field 14).
const BEFORE_UTIME: usize = 11;

/// Time between two looks.
#[derive(Debug, Clone, Copy)]
pub(super) struct Spent(pub(super) Duration);

impl Spent {
    /// Microseconds for each of `count`.
    pub(super) fn per_us(self, count: u64) -> f64 {
        self.0.as_secs_f64() * 1e6 / count.max(1) as f64
    }

    /// Nanoseconds for each of `count`.
    pub(super) fn per_ns(self, count: u64) -> f64 {
        self.per_us(count) * 1e3
    }
}

/// A process that ends with the experiment.
#[derive(Debug)]
pub(super) struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Path of a program that was built together with this one.
pub(super) fn find_program(name: &str) -> Result<PathBuf, String> {
    let own =
        std::env::current_exe().map_err(|e| format!("this program's path is unknown: {e}"))?;
    let path = own.with_file_name(name);
    if path.exists() {
        Ok(path)
    } else {
        Err(format!("{} isn't built", path.display()))
    }
}

impl Process {
    /// Starts a program whose output nobody reads.
    pub(super) fn start(name: &str, arguments: &[String]) -> Result<Self, String> {
        let child = Command::new(find_program(name)?)
            .args(arguments)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn();
        child
            .map(Self)
            .map_err(|e| format!("{name} can't be started: {e}"))
    }

    /// Starts a stand-in and returns the address that it prints.
    pub(super) fn start_standin(arguments: &[String]) -> Result<(Self, String), String> {
        let child = Command::new(find_program("siskinbend-standins")?)
            .args(arguments)
            .stdout(Stdio::piped())
            .spawn();
        let mut child = child.map_err(|e| format!("a stand-in can't be started: {e}"))?;
        let output = child.stdout.take();
        let process = Self(child);
        let mut line = String::new();
        if let Some(output) = output {
            BufReader::new(output)
                .read_line(&mut line)
                .map_err(|e| format!("a stand-in can't be read: {e}"))?;
        }
        let address = line.trim().strip_prefix("listening=");
        match address {
            Some(address) => Ok((process, address.to_owned())),
            None => Err("a stand-in doesn't listen".to_owned()),
        }
    }

    /// Processor time of all threads so far.
    pub(super) fn read_cpu(&self) -> Result<Duration, String> {
        let text = self.read("stat")?;
        // The command name is in parentheses and may hold blanks.
        let fields = text.rsplit(')').next().unwrap_or_default();
        let ticks: Vec<u32> = fields
            .split_whitespace()
            .skip(BEFORE_UTIME)
            .take(2)
            .filter_map(|field| field.parse().ok())
            .collect();
        match ticks[..] {
            [user, system] => Ok(TICK * (user + system)),
            _ => Err("/proc/PID/stat can't be understood".to_owned()),
        }
    }

    /// Time for which threads were ready to run and had no core; it shows how busy the machine was.
    pub(super) fn read_wait(&self) -> Result<Duration, String> {
        let path = format!("/proc/{}/task", self.0.id());
        let tasks = fs::read_dir(&path).map_err(|e| format!("{path} can't be read: {e}"))?;
        // A thread may end between the listing and the look at it.
        let wait = |text: String| text.split_whitespace().nth(1)?.parse::<u64>().ok();
        let sum: u64 = tasks
            .filter_map(|task| fs::read_to_string(task.ok()?.path().join("schedstat")).ok())
            .filter_map(wait)
            .sum();
        Ok(Duration::from_nanos(sum))
    }

    /// Resident memory in MiB, rounded up.
    pub(super) fn read_memory(&self) -> Result<u64, String> {
        let text = self.read("status")?;
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib: Option<u64> = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        kib.map(|kib| kib.div_ceil(1024))
            .ok_or_else(|| "/proc/PID/status can't be understood".to_owned())
    }

    fn read(&self, file: &str) -> Result<String, String> {
        let path = format!("/proc/{}/{file}", self.0.id());
        fs::read_to_string(&path).map_err(|e| format!("{path} can't be read: {e}"))
    }
}

/// Load average of the machine over the last minute.
pub(super) fn read_average() -> Result<f64, String> {
    let text = fs::read_to_string("/proc/loadavg")
        .map_err(|e| format!("/proc/loadavg can't be read: {e}"))?;
    let first = text.split_whitespace().next().and_then(|f| f.parse().ok());
    first.ok_or_else(|| "/proc/loadavg can't be understood".to_owned())
}
