//! Tests that a document reaches every process, also during an outage of the platform.

use http::Method;
use serde_json::json;

use crate::relay::Fault;
use crate::relay::Faults;
use crate::relay::Relay;
use crate::sample::GROWERS_TOKEN;
use crate::sample::PICKERS_TOKEN;
use crate::sample::build_document;
use crate::util::Backend;
use crate::util::Process;
use crate::util::TestEnv;
use crate::util::build_call;
use crate::util::build_draft;
use crate::util::read_outcome;
use crate::util::send;
use crate::util::spawn;
use crate::util::wait_for;
use crate::util::with_token;

/// Processes that read their document from the platform.
struct Fleet {
    env: TestEnv,
    engine: Backend,
    agents: [Process; 2],
    entries: [Process; 2],
}

/// Checks, tries and promotes a document, and notifies the processes in `notify` directly.
async fn promote_document(env: &TestEnv, replaces: u64, text: &str, notify: &[&Process]) {
    let file = env.folder.join(format!("version-{}.toml", replaces + 1));
    std::fs::write(&file, text).expect("the folder is writable");
    let file = file.display().to_string();
    let replaces = replaces.to_string();
    let checked = env.run_command(&["document", "check", &file]).await;
    assert!(checked.status.success(), "{checked:?}");
    let printed = String::from_utf8_lossy(&checked.stdout).into_owned();
    let digest = printed
        .split_whitespace()
        .last()
        .expect("the digest is printed");
    let tried = env
        .run_command(&["document", "try", "--replaces", &replaces, &file])
        .await;
    assert!(tried.status.success(), "{tried:?}");
    let key = |name: &str| env.folder.join("keys").join(name).display().to_string();
    let (ca, cert, key) = (key("ca.pem"), key("peer.pem"), key("peer.key"));
    let addresses: Vec<String> = notify.iter().map(|p| p.listen.to_string()).collect();
    let mut arguments = vec!["document", "promote", "--replaces", &replaces];
    arguments.extend([
        "--digest", digest, "--ca", &ca, "--cert", &cert, "--key", &key,
    ]);
    for address in &addresses {
        arguments.extend(["--notify", address.as_str()]);
    }
    let promoted = env.run_command(&arguments).await;
    assert!(promoted.status.success(), "{promoted:?}");
}

async fn set_platform_outage(env: &TestEnv, down: bool) {
    for target in ["table", "objects", "vms"] {
        let faults = json!({"target": target, "down": down});
        env.set_faults(faults).await;
    }
}

fn full_document() -> String {
    build_document(&[("growers", GROWERS_TOKEN), ("pickers", PICKERS_TOKEN)])
}

fn document_without_pickers() -> String {
    build_document(&[("growers", GROWERS_TOKEN)])
}

impl Fleet {
    async fn start() -> Self {
        let mut env = TestEnv::start().await;
        env.reads_file = false;
        promote_document(&env, 0, &full_document(), &[]).await;
        let engine = Backend::start_engine("engine-1");
        let agents = [0, 1].map(|n| env.start_agent(&format!("agent-{n}"), "pool", &engine));
        let known = [agents[0].listen, agents[1].listen];
        let entries = ["entry-1", "entry-2"].map(|name| env.start_entry(name, &known));
        let fleet = Self {
            env,
            engine,
            agents,
            entries,
        };
        fleet.wait_version(1).await;
        for entry in &fleet.entries {
            entry.wait_usable(2).await;
        }
        fleet
    }

    async fn wait_version(&self, version: u64) {
        for process in self.agents.iter().chain(&self.entries) {
            process.wait_version(version).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn document_promoted_just_before_an_outage_reaches_every_process() {
    // The promotion was reported as successful, so no process may stay at the old version.
    let fleet = Fleet::start().await;
    let text = document_without_pickers();
    promote_document(&fleet.env, 1, &text, &[&fleet.agents[0]]).await;
    set_platform_outage(&fleet.env, true).await;
    fleet.wait_version(2).await;
    for entry in &fleet.entries {
        let answer = send(with_token(build_draft(entry, 2), PICKERS_TOKEN)).await;
        let expected = (401, "not_run".to_owned(), "unauthorized".to_owned());
        assert_eq!(read_outcome(&answer), expected);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn process_started_during_an_outage_refuses_until_a_peer_sends_it_the_document() {
    // Without a document, a process cannot tell which callers are allowed, so it must refuse all.
    let fleet = Fleet::start().await;
    set_platform_outage(&fleet.env, true).await;
    let relay = Relay::start(fleet.agents[0].listen).await;
    let cut = Fault {
        blocked: true,
        ..Fault::default()
    };
    relay.set_faults(Faults {
        to_agent: cut,
        to_entry: cut,
    });
    let entry = fleet.env.start_entry("entry-3", &[relay.address]);
    wait_for("the new entry", async || entry.read_status().await).await;
    let answer = send(build_draft(&entry, 2)).await;
    let expected = (503, "not_run".to_owned(), "no_document".to_owned());
    assert_eq!(read_outcome(&answer), expected);
    let ready = build_call(entry.admin, Method::GET, "/ready", None);
    assert_eq!(send(ready.clone()).await.status, 503);
    relay.clear_faults();
    entry.wait_version(1).await;
    entry.wait_usable(1).await;
    assert_eq!(send(ready).await.status, 200);
    let answer = send(build_draft(&entry, 2)).await;
    assert!(answer.is_good(), "{:?}", read_outcome(&answer));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agent_started_during_an_outage_gets_the_document_from_entries() {
    // A replaced VM must be able to serve while the platform is still down.
    let fleet = Fleet::start().await;
    set_platform_outage(&fleet.env, true).await;
    let listen = fleet.agents[1].listen;
    let mut fleet = fleet;
    fleet.agents[1].kill();
    fleet.agents[1] = fleet
        .env
        .start_agent_at("agent-1", "pool", &fleet.engine, listen);
    fleet.agents[1].wait_version(1).await;
    fleet.entries[0].wait_usable(2).await;
    for _ in 0..6 {
        let answer = send(build_draft(&fleet.entries[0], 2)).await;
        assert!(answer.is_good(), "{:?}", read_outcome(&answer));
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn removed_organisation_is_refused_while_its_stream_finishes() {
    // A running request finishes under the document with which it began; a new one must be refused.
    let fleet = Fleet::start().await;
    let stream = spawn(with_token(
        build_draft(&fleet.entries[0], 800),
        PICKERS_TOKEN,
    ));
    fleet.engine.wait_started(1).await;
    let text = document_without_pickers();
    promote_document(&fleet.env, 1, &text, &[&fleet.agents[0]]).await;
    fleet.wait_version(2).await;
    let refused = send(with_token(build_draft(&fleet.entries[0], 2), PICKERS_TOKEN)).await;
    assert_eq!(read_outcome(&refused).0, 401);
    assert!(!stream.is_finished(), "the stream ended before the change");
    let answer = stream.await.expect("the call ends without a panic");
    assert!(answer.is_good(), "{:?}", read_outcome(&answer));
    assert_eq!(answer.chunks, 801);
    assert!(send(build_draft(&fleet.entries[0], 2)).await.is_good());
}
