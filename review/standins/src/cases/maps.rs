//! A rank leaves an order unanswered and sends a second copy of its previous answer instead.

use std::io;
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

/// Ranks of the group. The agent of the first one leads, and holds passes at the second one.
const RANKS: u8 = 4;
/// Rank with the fault.
const FAULTY: usize = 2;
/// Consumers that send streams, one after the other.
const CONSUMERS: u32 = 8;
/// Time after which the fault may strike.
const CALM: Duration = Duration::from_secs(6);
/// Delay with which the faulty rank carries out the order.
const LATENESS: Duration = Duration::from_secs(2);
/// Time after which the run ends without a fault.
const LONGEST: Duration = Duration::from_secs(60);
/// Time of a run without the disruption.
const CALM_RUN: Duration = Duration::from_secs(20);

struct Rank {
    replica: Replica,
    group: Arc<Group>,
    number: usize,
    /// Set until the fault has struck.
    is_due: Arc<AtomicBool>,
    faults: Faults,
}

/// Which of the two faults the rank has: both, unless `TROUBLE` is `late` or `copy`.
#[derive(Clone, Copy)]
struct Faults {
    is_late: bool,
    sends_copy: bool,
}

impl Faults {
    fn read() -> Faults {
        let only = std::env::var("TROUBLE").unwrap_or_default();
        Faults {
            is_late: only != "copy",
            sends_copy: only != "late",
        }
    }
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
            "/order" => self.receive_order(request, connection),
            _ => {
                if self.replica.reject(request, connection)? {
                    return Ok(());
                }
                self.group.add_active(self.number, true);
                let result = self.replica.run(request, connection);
                self.group.add_active(self.number, false);
                result
            }
        }
    }

    fn receive_order(&self, request: &Request, connection: &mut Connection) -> io::Result<()> {
        let order: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let text = format!(
            "rank {}: {} version={} step={}",
            self.number, order["operation"], order["version"], order["step"]
        );
        let record = &self.replica.record;
        let strikes = self.number == FAULTY
            && order["operation"] == "arm"
            && !connection.latest.is_empty()
            && record.elapsed() >= CALM
            && self.is_due.swap(false, Ordering::Relaxed);
        if !strikes {
            let status = self.group.order(self.number, &order);
            record.line(format!("{text} -> {status}"));
            return connection.answer(status, &[], b"");
        }
        if self.faults.sends_copy {
            record.line(format!(
                "rank {}: TROUBLE: a second copy of its previous answer comes first",
                self.number
            ));
            let copy = connection.latest.clone();
            connection.write(&copy)?;
        }
        if !self.faults.is_late {
            let status = self.group.order(self.number, &order);
            record.line(format!("{text} -> {status}"));
            return connection.answer(status, &[], b"");
        }
        record.line(format!(
            "{text} -> TROUBLE: no answer, carried out {LATENESS:?} later"
        ));
        let (group, number) = (Arc::clone(&self.group), self.number);
        let record = Arc::clone(record);
        thread::spawn(move || {
            thread::sleep(LATENESS);
            let status = group.order(number, &order);
            record.line(format!("{text}, carried out now -> {status}"));
        });
        Ok(())
    }
}

/// Runs the case.
pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let site = Site::start(folder, Arc::clone(record), RANKS + 1)?;
    let group = Group::start(usize::from(RANKS), record);
    let is_due = Arc::new(AtomicBool::new(has_trouble));
    site.store.put("op", "config", &site::config(1, &[KEY]));
    let mut agents = Vec::new();
    for machine in 0..RANKS {
        let number = usize::from(machine);
        let id = format!("i-draft{number}");
        let rank = Rank {
            replica: Replica {
                id: id.clone(),
                record: Arc::clone(record),
                runs: Runs::default(),
                events: 28,
                pause: Duration::from_millis(30),
                slots: 12,
                preemption: None,
            },
            group: Arc::clone(&group),
            number,
            is_due: Arc::clone(&is_due),
            faults: Faults::read(),
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
    let is_over = Arc::new(AtomicBool::new(false));
    let consumers: Vec<_> = (0..CONSUMERS)
        .map(|consumer| {
            let (record, is_over) = (Arc::clone(record), Arc::clone(&is_over));
            thread::spawn(move || {
                for n in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{consumer:04x}{n:012x}");
                    let answer = site::call(front, "POST", "/draft/a/", &id, KEY, 8_000);
                    record.line(format!(
                        "consumer {consumer}: id={id} status={} complete={}",
                        answer.status, answer.is_complete
                    ));
                    if answer.status != 200 {
                        thread::sleep(Duration::from_millis(500));
                    }
                }
            })
        })
        .collect();
    let longest = match has_trouble {
        true => LONGEST,
        false => CALM_RUN,
    };
    let mut struck_at = None;
    while record.elapsed() < longest && group.mixed().is_none() {
        thread::sleep(Duration::from_millis(50));
        if has_trouble && struck_at.is_none() && !is_due.load(Ordering::Relaxed) {
            struck_at = Some(record.elapsed());
        }
        let is_past = |at: Duration| record.elapsed() > at + Duration::from_secs(5);
        if struck_at.is_some_and(is_past) {
            break;
        }
    }
    is_over.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _ = consumer.join();
    }
    drop(agents);
    record.line(format!("switches of the map: {}", group.switches()));
    Ok(match group.mixed() {
        Some(what) => Verdict::Broken(format!("MAP: {what}")),
        None if group.switches() < 2 => Verdict::NotRun("the map was not switched".to_owned()),
        None if has_trouble && struck_at.is_none() => {
            Verdict::NotRun("no order met the fault".to_owned())
        }
        None => Verdict::Held,
    })
}
