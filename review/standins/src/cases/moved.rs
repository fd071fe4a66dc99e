//! All ranks but a slower one are full and ask for a pause, while more streams come.

use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::Verdict;
use crate::group::Group;
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

const RANKS: u8 = 7;
/// Rank that is slower than the others.
const SLOWER: usize = 6;
/// Time that it takes for its work, as a multiple of the others' time.
const PACE: f64 = 1.5;
/// Seconds for which a full rank wants no request from the machine that it turned away.
const RETRY_AFTER_S: u32 = 4;
/// Events of a stream and the time before each at a rank of pace 1.
const EVENTS: u32 = 28;
const PAUSE: Duration = Duration::from_millis(25);
/// Streams that are sent while the ranks are full, and the time between them.
const STREAMS: u32 = 24;
const INTERVAL: Duration = Duration::from_millis(120);
/// Lost requests from kept channels that the rule allows.
const ALLOWED: usize = 3;

struct Rank {
    replica: Replica,
    group: Arc<Group>,
    number: usize,
    /// Whether the ranks of pace 1 are full.
    are_full: Arc<AtomicBool>,
}

impl Rank {
    fn handle(&self, request: &Request, connection: &mut Connection) -> io::Result<()> {
        let json = |value: Value, connection: &mut Connection| {
            let headers = [("content-type", "application/json".to_owned())];
            connection.answer(200, &headers, value.to_string().as_bytes())
        };
        match request.path.as_str() {
            "/report" => json(self.group.report(self.number), connection),
            "/picked" => {
                let lists = request.query.contains("lists");
                json(self.group.picked(self.number, lists), connection)
            }
            "/order" => {
                let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
                let status = self.group.order(self.number, &order);
                connection.answer(status, &[], b"")
            }
            _ if self.replica.reject(request, connection)? => Ok(()),
            _ if self.number != SLOWER && self.are_full.load(Ordering::Relaxed) => {
                self.turn_away(request, connection)
            }
            _ => {
                self.group.add_active(self.number, true);
                let result = self.replica.run(request, connection);
                self.group.add_active(self.number, false);
                result
            }
        }
    }

    fn turn_away(&self, request: &Request, connection: &mut Connection) -> io::Result<()> {
        let id = request.header("x-request-id").unwrap_or_default();
        let replica = &self.replica;
        replica.record.line(format!(
            "replica {}: is full, turns id={id} away for {RETRY_AFTER_S} s",
            replica.id
        ));
        let headers = [
            ("x-request-id", id.to_owned()),
            ("x-not-executed", "1".to_owned()),
            ("retry-after", RETRY_AFTER_S.to_string()),
            ("x-server-load", format!("{0},24,{0}", replica.slots)),
        ];
        connection.answer(503, &headers, b"")
    }
}

/// What became of a stream.
struct Outcome {
    id: String,
    status: u16,
    is_complete: bool,
}

/// Sends a lookup and then a stream on the same channel.
fn send_on_kept_channel(front: SocketAddr, n: u32, record: &Record) -> Outcome {
    let id = format!("stream-{n}");
    let failed = |status| Outcome {
        id: id.clone(),
        status,
        is_complete: false,
    };
    let Ok(mut channel) = http::connect(front) else {
        return failed(1);
    };
    let lookup = send(
        &mut channel,
        "GET",
        "/stock/a/",
        &format!("lookup-{n}"),
        1_000,
    );
    if lookup.status != 200 || !lookup.is_complete {
        record.line(format!("consumer {n}: the lookup got {}", lookup.status));
        return failed(1);
    }
    let answer = send(&mut channel, "POST", "/draft/a/", &id, 8_000);
    let whole = site::complete_stream(EVENTS);
    let is_complete = answer.is_complete && answer.body == whole.as_bytes();
    record.line(format!(
        "consumer {n}: id={id} on a kept channel: status={} complete={is_complete} bytes={}{}",
        answer.status,
        answer.body.len(),
        match answer.status {
            0 => ": the channel was closed without an answer",
            _ => "",
        }
    ));
    Outcome {
        id,
        status: answer.status,
        is_complete,
    }
}

fn send(channel: &mut TcpStream, method: &str, path: &str, id: &str, ms: u32) -> http::Answer {
    http::exchange(channel, &site::request(method, path, id, KEY, ms))
}

/// Runs the case.
pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let site = Site::start(folder, Arc::clone(record), RANKS + 1)?;
    let group = Group::start(usize::from(RANKS), record);
    let are_full = Arc::new(AtomicBool::new(false));
    let runs = Runs::default();
    site.store.put("op", "config", &site::config(1, &[KEY]));
    start_desk(&site, &runs)?;
    let mut agents = Vec::new();
    for machine in 0..RANKS {
        let number = usize::from(machine);
        let id = format!("i-draft{number}");
        let pace = match number {
            SLOWER => PACE,
            _ => 1.0,
        };
        group.set_pace(number, pace);
        let rank = Rank {
            replica: Replica {
                id: id.clone(),
                record: Arc::clone(record),
                runs: Arc::clone(&runs),
                events: EVENTS,
                pause: PAUSE.mul_f64(pace),
                slots: 12,
                preemption: None,
            },
            group: Arc::clone(&group),
            number,
            are_full: Arc::clone(&are_full),
        };
        let handler =
            move |request: &Request, connection: &mut Connection| rank.handle(request, connection);
        let address = http::serve((site.machines.ip(machine), 0).into(), Arc::new(handler))?;
        site.register(&id, "drafts", address, 12, group.born());
        let node = format!("side-{number}");
        let mut settings = site
            .machines
            .settings(machine, &node, "side", site.store_address);
        settings += &format!("app={address}\nservice=drafts\n");
        agents.push(Process::start(folder, &node, "rank-agent", &settings)?);
    }
    let (_gateway, front, ready) = site.start_gateway(RANKS)?;
    site.wait_ready(ready, Duration::from_secs(10))?;
    thread::sleep(Duration::from_secs(2));
    let calm = send_streams(front, 0, record);
    if calm.iter().any(|outcome| !outcome.is_complete) {
        return Ok(Verdict::NotRun(
            "a stream failed while all was calm".to_owned(),
        ));
    }
    thread::sleep(Duration::from_secs(3));
    if has_trouble {
        record.line(format!("TROUBLE: all ranks but i-draft{SLOWER} are full"));
        are_full.store(true, Ordering::Relaxed);
    }
    let outcomes = send_streams(front, STREAMS, record);
    let ran = runs.lock().unwrap_or_else(|e| e.into_inner());
    let has_run = |outcome: &&Outcome| ran.contains_key(&outcome.id);
    let lost = outcomes.iter().filter(has_run).filter(|o| !o.is_complete);
    let lost: Vec<&Outcome> = lost.collect();
    let silent = lost.iter().filter(|outcome| outcome.status == 0).count();
    let complete = outcomes
        .iter()
        .filter(|outcome| outcome.is_complete)
        .count();
    record.line(format!(
        "streams: {} sent, {complete} complete, {} passed on and cut, {silent} of these without an \
         answer",
        outcomes.len(),
        lost.len()
    ));
    Ok(match silent > ALLOWED {
        true => Verdict::Broken(format!(
            "LOST: {silent} requests from kept channels were passed on to a sound replica, and their \
             channels were closed without an answer"
        )),
        false => Verdict::Held,
    })
}

fn start_desk(site: &Site, runs: &Runs) -> io::Result<()> {
    let replica = Replica {
        id: "i-desk0".to_owned(),
        record: Arc::clone(&site.record),
        runs: Arc::clone(runs),
        events: 0,
        pause: Duration::from_millis(10),
        slots: 6,
        preemption: None,
    };
    let handler = move |request: &Request, connection: &mut Connection| match replica
        .reject(request, connection)?
    {
        true => Ok(()),
        false => replica.run(request, connection),
    };
    let address = http::serve(([127, 0, 0, 1], 0).into(), Arc::new(handler))?;
    site.register("i-desk0", "desk", address, 6, 1_700_000_000_000);
    Ok(())
}

/// Sends streams one after the other, each by a consumer of its own.
fn send_streams(front: SocketAddr, first: u32, record: &Arc<Record>) -> Vec<Outcome> {
    let consumers: Vec<_> = (first..first + STREAMS)
        .map(|n| {
            thread::sleep(INTERVAL);
            let record = Arc::clone(record);
            thread::spawn(move || send_on_kept_channel(front, n, &record))
        })
        .collect();
    consumers
        .into_iter()
        .filter_map(|consumer| consumer.join().ok())
        .collect()
}
