//! The store comes back from an older copy, and a gateway that was added meanwhile reads the copy
//! before the operator has written its config again.

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

/// Key that is taken away.
const REVOKED: &str = "k-growers-2";
/// Time from the copy to the confirmation that takes the key away.
const COPY_AGE: Duration = Duration::from_secs(1);
/// Bound of the settings.
const REVOKE: Duration = Duration::from_secs(5);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(2);
/// Time from the store's return until the operator has written its config again.
const REWRITE: Duration = Duration::from_millis(1_000);

/// Runs the case.
pub fn run(folder: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<Verdict> {
    let site = Site::start(folder, Arc::clone(record), 2)?;
    let replica = Replica {
        id: "i-desk0".to_owned(),
        record: Arc::clone(record),
        runs: Runs::default(),
        events: 0,
        pause: Duration::from_millis(30),
        slots: 6,
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
    site.store
        .put("op", "config", &site::config(3, &[KEY, REVOKED]));
    site.register("i-desk0", "desk", address, 6, 1_700_000_000_000);
    let (_first, first, ready) = site.start_gateway(0)?;
    site.wait_ready(ready, Duration::from_secs(10))?;
    let send = |gateway: &str, front: SocketAddr, id: &str, key: &str| {
        let answer = site::call(front, "POST", "/book/a/", id, key, 1_000);
        let status = answer.status;
        record.line(format!(
            "consumer: to {gateway}, id={id} key={key} status={status}"
        ));
        status
    };
    send("edge-0", first, "before-kept", KEY);
    send("edge-0", first, "before-revoked", REVOKED);
    thread::sleep(Duration::from_millis(500));
    let copy = site.store.copy();
    record.line("store: this is the moment of the copy");
    thread::sleep(COPY_AGE);
    let newest = site::config(7, &[KEY]);
    site.store.put("op", "config", &newest);
    let confirmed = Instant::now();
    record.line(format!(
        "operator: version 7 takes {REVOKED} away; confirmed"
    ));
    thread::sleep(REVOKE + Duration::from_millis(200));
    send("edge-0", first, "after-kept", KEY);
    let early = send("edge-0", first, "after-revoked", REVOKED);
    if has_trouble {
        record.line("TROUBLE: the store is away");
        site.store.stop();
    }
    let away = Instant::now();
    thread::sleep(Duration::from_millis(1_000));
    record.line("platform: adds the machine edge-1");
    let (_second, second, ready) = site.start_gateway(1)?;
    thread::sleep(AWAY.saturating_sub(away.elapsed()));
    if has_trouble {
        site.store.restore(copy);
        record.line("TROUBLE: the store is back from the copy, in a new era");
    }
    let back = Instant::now();
    let store = Arc::clone(&site.store);
    let operator = {
        let (record, has_trouble) = (Arc::clone(record), has_trouble);
        thread::spawn(move || {
            thread::sleep(REWRITE);
            if has_trouble {
                store.put("op", "config", &newest);
                record.line("operator: writes version 7 again");
            }
        })
    };
    let mut ran = Vec::new();
    let mut was_ready = false;
    for n in 0.. {
        if back.elapsed() > Duration::from_secs(3) {
            break;
        }
        if !was_ready && site::is_ready(ready) {
            record.line("platform: edge-1 says that it is ready, and gets channels");
            was_ready = true;
        }
        if was_ready {
            let id = format!("late-revoked-{n}");
            let late = confirmed.elapsed();
            send("edge-1", second, &id, REVOKED);
            if runs
                .lock()
                .unwrap_or_else(|e| e.into_inner())
                .contains_key(&id)
            {
                ran.push((id, late));
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    let _ = operator.join();
    let last = send("edge-1", second, "end-kept", KEY);
    if early != 401 || last != 200 || !was_ready {
        return Ok(Verdict::NotRun(format!(
            "the calm part went wrong: {early} for the key that was taken away, {last} at the end"
        )));
    }
    Ok(match ran.first() {
        Some((id, late)) => Verdict::Broken(format!(
            "CONFIG: {} requests with the key that was taken away ran; the first one, {id}, was \
             sent {:.1} s after the confirmation (revokeMs 5,000)",
            ran.len(),
            late.as_secs_f64()
        )),
        None => Verdict::Held,
    })
}
