//! A gateway is stopped, and takes a request that it can't finish within its grace period.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http;
use crate::http::Connection;
use crate::http::Request;
use crate::record::Record;
use crate::site;
use crate::site::KEY;
use crate::site::Replica;
use crate::site::Runs;
use crate::site::Site;

/// Events of a stream, and the time before each: 4.9 s in all, of a time limit of 8 s.
const EVENTS: u32 = 49;
const PAUSE: Duration = Duration::from_millis(100);
/// Grace period of the settings.
const GRACE: Duration = Duration::from_secs(8);
/// Time from the stop signal to the new channel. The platform still sends channels then: it has seen
/// one check fail at most.
const CHANNEL_AT: Duration = Duration::from_millis(1_500);
/// Time from the stop signal to the request. A consumer may take up to `headerTimeoutMs` (3 s).
const REQUEST_AT: Duration = Duration::from_millis(3_500);

/// Runs the case.
pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let site = Site::start(folder, Arc::clone(record), 1)?;
    let replica = Replica {
        id: "i-draft0".to_owned(),
        record: Arc::clone(record),
        runs: Runs::default(),
        events: EVENTS,
        pause: PAUSE,
        slots: 12,
        preemption: None,
    };
    let runs = Arc::clone(&replica.runs);
    let handler = move |request: &Request, connection: &mut Connection| {
        if replica.reject(request, connection)? {
            return Ok(());
        }
        replica.run(request, connection)
    };
    let address = http::serve(([127, 0, 0, 1], 0).into(), Arc::new(handler))?;
    site.store.put("op", "config", &site::config(1, &[KEY]));
    site.register("i-draft0", "drafts", address, 12, 1_700_000_000_000);
    let (mut gateway, front, ready) = site.start_gateway(0)?;
    site.wait_ready(ready, Duration::from_secs(10))?;
    thread::sleep(Duration::from_secs(1));
    let stopped = Instant::now();
    if has_trouble {
        record.line("platform: SIGTERM to the gateway");
        gateway.signal(libc::SIGTERM);
    }
    let until = |at: Duration| thread::sleep(at.saturating_sub(stopped.elapsed()));
    // The platform checks once a second; a second miss would end new channels.
    until(Duration::from_millis(900));
    record.line(format!("platform: check, ready={}", site::is_ready(ready)));
    until(CHANNEL_AT);
    let mut channel = http::connect(front)?;
    record.line("consumer: opens a channel");
    until(REQUEST_AT);
    record.line("consumer: sends the request id=late-1");
    let request = site::request("POST", "/draft/a/", "late-1", KEY, 8_000);
    let sent = stopped.elapsed();
    let answer = http::exchange(&mut channel, &request);
    let ended = stopped.elapsed();
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    record.line(format!(
        "consumer: id=late-1 status={} complete={} bytes={} of {}, {:.2} s after the signal",
        answer.status,
        answer.is_complete,
        body.len(),
        site::complete_stream(EVENTS).len(),
        ended.as_secs_f64()
    ));
    let has_exited = has_trouble && gateway.wait(GRACE.saturating_sub(stopped.elapsed()));
    record.line(format!("gateway has exited by itself: {has_exited}"));
    thread::sleep(Duration::from_millis(300));
    let ran = runs
        .lock()
        .unwrap_or_else(|e| e.into_inner())
        .contains_key("late-1");
    if answer.is_complete && body == site::complete_stream(EVENTS) {
        return Ok(Verdict::Held);
    }
    if !ran {
        // A refusal, or a channel that was closed unread, loses nothing.
        return Ok(Verdict::Held);
    }
    let within = ended < GRACE + Duration::from_secs(1);
    Ok(match within {
        true => Verdict::Broken(format!(
            "LOST: a request that was sent {:.1} s after the SIGTERM and passed on to a replica \
             ended without a complete answer at {:.1} s",
            sent.as_secs_f64(),
            ended.as_secs_f64()
        )),
        false => Verdict::NotRun("the answer ended too late to count".to_owned()),
    })
}
