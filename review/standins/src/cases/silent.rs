//! Streams pause at replicas that have run out of memory, while their gateway is stopped.

use std::io;
use std::net::SocketAddr;
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

const REPLICAS: u32 = 8;
/// Events of a stream, and the time before each.
const EVENTS: u32 = 28;
const PAUSE: Duration = Duration::from_millis(60);
/// Events of a run after which it is preempted, and the time until it goes on. Consumers wait for
/// two seconds.
const PREEMPTION: (u32, Duration) = (8, Duration::from_millis(1_400));
/// Streams, and the time between them: about one at each replica.
const STREAMS: u32 = 14;
const INTERVAL: Duration = Duration::from_millis(300);
/// Number of streams that are sent before the stop signal.
const BEFORE: u32 = 8;
/// Time limit of a stream.
const TIME_LIMIT_MS: u32 = 8_000;
/// Grace period of the settings.
const GRACE: Duration = Duration::from_secs(8);

/// What became of a stream.
struct Outcome {
    id: String,
    status: u16,
    is_complete: bool,
    sent_at: Instant,
    ended_at: Instant,
}

fn send(front: SocketAddr, n: u32, record: &Record) -> Outcome {
    let id = format!("stream-{n}");
    let sent_at = Instant::now();
    let answer = site::call(front, "POST", "/draft/a/", &id, KEY, TIME_LIMIT_MS);
    let outcome = Outcome {
        is_complete: answer.is_complete && answer.body == site::complete_stream(EVENTS).as_bytes(),
        id,
        status: answer.status,
        sent_at,
        ended_at: Instant::now(),
    };
    record.line(format!(
        "consumer: id={} status={} complete={} bytes={} after {:.1} s",
        outcome.id,
        outcome.status,
        outcome.is_complete,
        answer.body.len(),
        (outcome.ended_at - sent_at).as_secs_f64()
    ));
    outcome
}

/// Whether a stream counts: its channel ended around the stop without a complete answer, before its
/// time limit and before the last sixth of the grace period.
fn is_lost(outcome: &Outcome, stopped: Instant) -> bool {
    let after = outcome.ended_at.saturating_duration_since(stopped);
    let took = outcome.ended_at - outcome.sent_at;
    !outcome.is_complete
        && outcome.status == 200
        && outcome.ended_at > stopped
        && after < GRACE * 5 / 6
        && took < Duration::from_millis(u64::from(TIME_LIMIT_MS))
}

/// Runs the case.
pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let site = Site::start(folder, Arc::clone(record), 1)?;
    site.store.put("op", "config", &site::config(1, &[KEY]));
    let runs = Runs::default();
    for n in 0..REPLICAS {
        let replica = Replica {
            id: format!("i-draft{n}"),
            record: Arc::clone(record),
            runs: Arc::clone(&runs),
            events: EVENTS,
            pause: PAUSE,
            slots: 12,
            preemption: has_trouble.then_some(PREEMPTION),
        };
        let id = replica.id.clone();
        let handler = move |request: &Request, connection: &mut Connection| match replica
            .reject(request, connection)?
        {
            true => Ok(()),
            false => replica.run(request, connection),
        };
        let address = http::serve(([127, 0, 0, 1], 0).into(), Arc::new(handler))?;
        site.register(&id, "drafts", address, 12, 1_700_000_000_000);
    }
    let (mut gateway, front, ready) = site.start_gateway(0)?;
    site.wait_ready(ready, Duration::from_secs(10))?;
    thread::sleep(Duration::from_secs(4));
    let mut consumers = Vec::new();
    let mut stopped = Instant::now();
    for n in 0..STREAMS {
        if n == BEFORE {
            record.line("platform: SIGTERM to the gateway");
            gateway.signal(libc::SIGTERM);
            stopped = Instant::now();
        }
        let record = Arc::clone(record);
        consumers.push(thread::spawn(move || send(front, n, &record)));
        thread::sleep(INTERVAL);
    }
    let outcomes = consumers
        .into_iter()
        .filter_map(|consumer| consumer.join().ok());
    let outcomes: Vec<Outcome> = outcomes.collect();
    gateway.wait(GRACE);
    let lost = outcomes.iter().filter(|outcome| is_lost(outcome, stopped));
    let lost: Vec<&str> = lost.map(|outcome| outcome.id.as_str()).collect();
    let complete = outcomes
        .iter()
        .filter(|outcome| outcome.is_complete)
        .count();
    record.line(format!(
        "streams: {STREAMS} sent, {complete} complete, lost: {lost:?}"
    ));
    Ok(match lost.len() {
        0 if complete < outcomes.len() && !has_trouble => {
            Verdict::NotRun("streams failed without a preemption".to_owned())
        }
        0 => Verdict::Held,
        count => Verdict::Broken(format!(
            "LOST: {count} of {STREAMS} streams were cut around a SIGTERM, though their replicas were \
             at work and 8 s had not passed"
        )),
    })
}
