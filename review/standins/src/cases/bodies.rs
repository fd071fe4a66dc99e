//! Many consumers send long requests at once, each within the operator's limits.

use std::io;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::Verdict;
use crate::http;
use crate::http::Connection;
use crate::http::Request;
use crate::process::Process;
use crate::record::Record;
use crate::site;
use crate::site::KEY;
use crate::site::Replica;
use crate::site::Runs;
use crate::site::Site;

const GATEWAYS: u8 = 2;
/// `limits.memoryMb` of the settings.
const MEMORY: u64 = 260 << 20;
/// `maxBodyBytes` of the config.
const BODY: usize = 4 << 20;
/// Time in which a consumer sends its request, below `headerTimeoutMs` (3,000).
const SENDING: Duration = Duration::from_millis(2_200);
const PART: usize = 64 << 10;
/// Consumers that come to one gateway at once, with the disruption and without it.
const BURST: u32 = 50;
const CALM: u32 = 5;
/// Bursts, and the time between them.
const ROUNDS: u32 = 4;
const PAUSE: Duration = Duration::from_secs(6);
/// Ends by themselves on each of two machines at which the day counts 0.
const ENDS: u32 = 3;
/// Delay after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Interval at which the platform looks at the memory of a process.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// What the platform does for one gateway: kills it over its limit, and starts it again.
fn watch(
    mut gateway: Process,
    name: String,
    record: Arc<Record>,
    ends: Arc<AtomicU32>,
    is_over: Arc<AtomicBool>,
) -> io::Result<u64> {
    let mut highest = 0;
    while !is_over.load(Ordering::Relaxed) {
        thread::sleep(CHECK_INTERVAL);
        let memory = gateway.memory();
        highest = highest.max(memory);
        if memory <= MEMORY {
            continue;
        }
        gateway.kill()?;
        ends.fetch_add(1, Ordering::Relaxed);
        record.line(format!(
            "platform: {name} is killed: it uses {} MB of {} MB",
            memory >> 20,
            MEMORY >> 20
        ));
        thread::sleep(RESTART_DELAY);
        gateway.restart()?;
    }
    Ok(highest)
}

fn send(front: SocketAddr, id: &str, record: &Record) {
    let Ok(mut channel) = http::connect(front) else {
        record.line(format!("consumer: id={id} could not connect"));
        return;
    };
    let head = site::request("POST", "/draft/a/", id, KEY, 8_000);
    let head = head.replace("content-length: 0", &format!("content-length: {BODY}"));
    let started = Instant::now();
    let mut sent = 0;
    let mut is_open = channel.write_all(head.as_bytes()).is_ok();
    while is_open && sent < BODY {
        is_open = channel.write_all(&[b'x'; PART]).is_ok();
        sent += PART;
        let due = SENDING.mul_f64(sent as f64 / BODY as f64);
        thread::sleep(due.saturating_sub(started.elapsed()));
    }
    let answer = http::exchange(&mut channel, "");
    record.line(format!(
        "consumer: id={id} sent {sent} bytes, status={} complete={}",
        answer.status, answer.is_complete
    ));
}

fn start_replica(site: &Site) -> io::Result<()> {
    let replica = Replica {
        id: "i-draft0".to_owned(),
        record: Arc::clone(&site.record),
        runs: Runs::default(),
        events: 10,
        pause: Duration::from_millis(20),
        slots: 12,
    };
    let handler = move |request: &Request, connection: &mut Connection| match replica
        .reject(request, connection)?
    {
        true => Ok(()),
        false => replica.run(request, connection),
    };
    let address = http::serve(([127, 0, 0, 1], 0).into(), Arc::new(handler))?;
    site.register("i-draft0", "drafts", address, 12, 1_700_000_000_000);
    Ok(())
}

/// Runs the case.
pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let site = Site::start(folder, Arc::clone(record), GATEWAYS)?;
    let mut config = site::config(1, &[KEY]);
    config["limits"]["maxBodyBytes"] = BODY.into();
    site.store.put("op", "config", &config);
    start_replica(&site)?;
    let is_over = Arc::new(AtomicBool::new(false));
    let mut fronts = Vec::new();
    let mut watches: Vec<(Arc<AtomicU32>, JoinHandle<io::Result<u64>>)> = Vec::new();
    for machine in 0..GATEWAYS {
        let (gateway, front, ready) = site.start_gateway(machine)?;
        site.wait_ready(ready, Duration::from_secs(10))?;
        let ends = Arc::new(AtomicU32::new(0));
        let (record, is_over) = (Arc::clone(record), Arc::clone(&is_over));
        let shared = Arc::clone(&ends);
        let name = format!("edge-{machine}");
        let watching = thread::spawn(move || watch(gateway, name, record, shared, is_over));
        watches.push((ends, watching));
        fronts.push((front, ready));
    }
    let count = match has_trouble {
        true => BURST,
        false => CALM,
    };
    for round in 0..ROUNDS {
        let started = Instant::now();
        for (_, ready) in &fronts {
            site.wait_ready(*ready, Duration::from_secs(10))?;
        }
        record.line(format!(
            "round {round}: {count} consumers come to each gateway"
        ));
        let consumers: Vec<JoinHandle<()>> = (0..count)
            .flat_map(|n| {
                fronts
                    .iter()
                    .enumerate()
                    .map(move |(gateway, (front, _))| (n, gateway, *front))
            })
            .map(|(n, gateway, front)| {
                let record = Arc::clone(record);
                let id = format!("{gateway}-{round}-{n}");
                thread::spawn(move || send(front, &id, &record))
            })
            .collect();
        for consumer in consumers {
            let _ = consumer.join();
        }
        thread::sleep(PAUSE.saturating_sub(started.elapsed()));
    }
    is_over.store(true, Ordering::Relaxed);
    let mut ends = Vec::new();
    for (machine, (count, watching)) in watches.into_iter().enumerate() {
        let highest = watching.join().unwrap_or(Ok(0))?;
        let count = count.load(Ordering::Relaxed);
        record.line(format!(
            "edge-{machine}: {count} ends, at most {} MB",
            highest >> 20
        ));
        ends.push(count);
    }
    Ok(match ends.iter().all(|count| *count >= ENDS) {
        true => Verdict::Broken(format!(
            "Fault: processes ended by themselves {ends:?} times on two machines (memory over the \
             limit)"
        )),
        false => Verdict::Held,
    })
}
