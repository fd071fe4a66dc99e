//! Test of the rotation of the certificate authority and of all keys while requests run.

use std::fs;
use std::path::Path;

use siskinbend_standins::keys;

use crate::util::Backend;
use crate::util::Process;
use crate::util::TestEnv;
use crate::util::build_booking;
use crate::util::build_lookup;
use crate::util::find_busy;
use crate::util::read_executions;
use crate::util::read_outcome;
use crate::util::send;
use crate::util::spawn;
use crate::util::wait_for;

/// Counts the reloads of the keys in the log of a process.
fn count_replaced(process: &Process) -> usize {
    process.read_log().matches("keys_replaced").count()
}

/// Waits until every process has reloaded its keys once more, and checks that requests are served
/// in the meantime.
async fn wait_replaced(processes: &[&Process], entry: &Process, before: &[usize]) {
    wait_for("the new keys", async || {
        let answer = send(build_lookup(entry)).await;
        assert!(answer.is_good(), "{:?}", read_outcome(&answer));
        let mut pairs = processes.iter().zip(before);
        let all = pairs.all(|(process, count)| count_replaced(process) > *count);
        all.then_some(())
    })
    .await;
}

fn write_authority(folder: &Path, text: &str) {
    fs::write(folder.join("ca.pem"), text).expect("the folder is writable");
}

fn copy_pair(from: &Path, to: &Path) {
    for file in ["peer.pem", "peer.key"] {
        fs::copy(from.join(file), to.join(file)).expect("both folders are writable");
    }
}

/// Guards against a rotation that interrupts a request, or that leaves a process with keys that its
/// peers no longer accept. The authority and all certificates are replaced in the three steps of
/// docs/operators.md while one booking is running and others arrive.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn key_rotation_interrupts_no_request() {
    let env = TestEnv::start().await;
    let backends = ["plain-1", "plain-2"].map(Backend::start_plain);
    let agents = [0, 1].map(|n| env.start_agent(&format!("agent-{n}"), "desk", &backends[n]));
    let known = [agents[0].listen, agents[1].listen];
    let entry = env.start_entry("entry-1", &known);
    entry.wait_usable(2).await;
    let processes = [&agents[0], &agents[1], &entry];
    let own = env.folder.join("keys");
    let next = env.folder.join("next");
    let options = keys::Options {
        out: next.clone(),
        name: vec!["peer".to_owned()],
    };
    keys::write(&options).expect("the folder is writable");

    let old = fs::read_to_string(own.join("ca.pem")).expect("the old authority");
    let new = fs::read_to_string(next.join("ca.pem")).expect("the new authority");
    let steps: [&dyn Fn(); 3] = [
        &|| write_authority(&own, &format!("{old}{new}")),
        &|| copy_pair(&next, &own),
        &|| write_authority(&own, &new),
    ];
    for (number, step) in steps.into_iter().enumerate() {
        let reference = format!("r-{number}");
        for backend in &backends {
            backend.set_hold(true).await;
        }
        let booking = spawn(build_booking(&entry, &reference, &reference));
        let busy = find_busy(&[&backends[0], &backends[1]]).await;
        backends[1 - busy].set_hold(false).await;
        let before = processes.map(count_replaced);
        step();
        wait_replaced(&processes, &entry, &before).await;
        backends[busy].set_hold(false).await;
        let answer = booking.await.expect("the call ends without a panic");
        assert!(
            answer.is_good(),
            "step {number}: {:?}",
            read_outcome(&answer)
        );
        assert_eq!(read_executions(&answer), 1);
    }
    let late = env.start_agent("agent-2", "desk", &backends[0]);
    let entry = env.start_entry("entry-2", &[late.listen]);
    entry.wait_usable(1).await;
}
