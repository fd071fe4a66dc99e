//! Tests that a drain interrupts no request.

use http::Method;
use serde_json::json;

use crate::util::Backend;
use crate::util::Process;
use crate::util::TestEnv;
use crate::util::build_booking;
use crate::util::build_call;
use crate::util::build_draft;
use crate::util::build_lookup;
use crate::util::build_unkeyed_booking;
use crate::util::find_busy;
use crate::util::read_executions;
use crate::util::read_outcome;
use crate::util::send;
use crate::util::spawn;
use crate::util::wait_for;

/// Tokens of a stream that is still running when the drain begins.
const TOKENS: u32 = 400;

/// Two entries and two agents of each service.
struct Fleet {
    env: TestEnv,
    plain: [Backend; 2],
    engines: [Backend; 2],
    desks: [Process; 2],
    pools: [Process; 2],
    entries: [Process; 2],
}

impl Fleet {
    async fn start() -> Self {
        let env = TestEnv::start().await;
        let plain = ["plain-1", "plain-2"].map(Backend::start_plain);
        let engines = ["engine-1", "engine-2"].map(Backend::start_engine);
        let desks = [0, 1].map(|n| env.start_agent(&format!("desk-{n}"), "desk", &plain[n]));
        let pools = [0, 1].map(|n| env.start_agent(&format!("pool-{n}"), "pool", &engines[n]));
        let known = [
            desks[0].listen,
            desks[1].listen,
            pools[0].listen,
            pools[1].listen,
        ];
        let entries = ["entry-1", "entry-2"].map(|name| env.start_entry(name, &known));
        for entry in &entries {
            entry.wait_usable(4).await;
        }
        Self {
            env,
            plain,
            engines,
            desks,
            pools,
            entries,
        }
    }

    /// Starts a blocked booking and a stream, drains the agents of both, and checks that both
    /// complete while new requests go to the other agents.
    async fn check_agent_drain<F>(&mut self, start_drain: F)
    where
        F: AsyncFn(&TestEnv, &Process),
    {
        for backend in &self.plain {
            backend.set_hold(true).await;
        }
        let booking = spawn(build_booking(&self.entries[0], "g-1", "g-1"));
        let stream = spawn(build_draft(&self.entries[0], TOKENS));
        let desk = find_busy(&[&self.plain[0], &self.plain[1]]).await;
        let pool = find_busy(&[&self.engines[0], &self.engines[1]]).await;
        self.plain[1 - desk].set_hold(false).await;
        start_drain(&self.env, &self.desks[desk]).await;
        start_drain(&self.env, &self.pools[pool]).await;
        for n in 0..6 {
            let answer = send(build_lookup(&self.entries[n % 2])).await;
            assert!(answer.is_good(), "{:?}", read_outcome(&answer));
        }
        let short = send(build_draft(&self.entries[1], 2)).await;
        assert!(short.is_good(), "{:?}", read_outcome(&short));
        self.desks[desk].wait_draining().await;
        let before = self.plain[desk].read_counts().await.lookups;
        for n in 0..6 {
            let answer = send(build_lookup(&self.entries[n % 2])).await;
            assert!(answer.is_good(), "{:?}", read_outcome(&answer));
        }
        assert_eq!(self.plain[desk].read_counts().await.lookups, before);
        let answer = stream.await.expect("the call ends without a panic");
        assert!(answer.is_good(), "{:?}", read_outcome(&answer));
        // The last event follows the tokens.
        assert_eq!(answer.chunks, u64::from(TOKENS) + 1);
        self.plain[desk].set_hold(false).await;
        let answer = booking.await.expect("the call ends without a panic");
        assert_eq!(read_executions(&answer), 1);
        assert_eq!(self.desks[desk].wait().await.code(), Some(0));
        assert_eq!(self.pools[pool].wait().await.code(), Some(0));
        assert_eq!(self.plain[desk].count_runs("g-1").await, 1);
    }
}

async fn drain_by_operator(process: &Process) {
    let call = build_call(process.admin, Method::POST, "/admin/drain", None);
    assert_eq!(send(call).await.status, 200);
}

async fn mark_as_leaving(env: &TestEnv, leaving: &[&Process]) {
    let vm = |(n, process): (usize, &&Process)| {
        json!({"id": format!("vm-{n}"), "zone": "oyo", "state": "leaving",
            "address": process.listen.to_string()})
    };
    let list: Vec<_> = leaving.iter().enumerate().map(vm).collect();
    let call = build_call(env.platform, Method::PUT, "/vms", Some(json!(list)));
    assert_eq!(send(call).await.status, 204);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agents_finish_running_requests_on_sigterm() {
    // A restart must not interrupt the requests that run on the backend server.
    let mut fleet = Fleet::start().await;
    fleet
        .check_agent_drain(async |_, process| process.signal("TERM"))
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agents_finish_running_requests_on_an_operators_drain() {
    // A drain by the operator must have the same effect as the signal.
    let mut fleet = Fleet::start().await;
    fleet
        .check_agent_drain(async |_, process| drain_by_operator(process).await)
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agents_finish_running_requests_on_repeated_drains() {
    // A second request to drain, such as a repeated signal, must not turn into a hard stop.
    let mut fleet = Fleet::start().await;
    fleet
        .check_agent_drain(async |_, process| {
            process.signal("TERM");
            drain_by_operator(process).await;
            process.signal("TERM");
            process.signal("INT");
        })
        .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn agent_drains_when_the_platform_lists_it_as_leaving() {
    // The platform stops a leaving VM soon, so the agent must not wait for a signal.
    let mut fleet = Fleet::start().await;
    mark_as_leaving(&fleet.env, &[&fleet.desks[0]]).await;
    let lookups = async || {
        let answer = send(build_lookup(&fleet.entries[0])).await;
        assert!(answer.is_good(), "{:?}", read_outcome(&answer));
        fleet.desks[0]
            .read_log()
            .contains("agent_drained")
            .then_some(())
    };
    wait_for("the drain", lookups).await;
    assert_eq!(fleet.desks[0].wait().await.code(), Some(0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn last_replica_refuses_as_not_run_while_draining() {
    // A caller may repeat the booking elsewhere only if the refusal has the outcome not_run.
    let env = TestEnv::start().await;
    let backend = Backend::start_plain("plain-1");
    let mut agent = env.start_agent("agent-1", "desk", &backend);
    let entry = env.start_entry("entry-1", &[agent.listen]);
    entry.wait_usable(1).await;
    backend.set_hold(true).await;
    let booking = spawn(build_booking(&entry, "g-2", "g-2"));
    backend.wait_started(1).await;
    agent.signal("TERM");
    agent.wait_draining().await;
    let refused = send(build_unkeyed_booking(&entry, "g-3")).await;
    assert_eq!(
        read_outcome(&refused).0,
        503,
        "{:?}",
        read_outcome(&refused)
    );
    assert_eq!(read_outcome(&refused).1, "not_run");
    backend.set_hold(false).await;
    let answer = booking.await.expect("the call ends without a panic");
    assert_eq!(read_executions(&answer), 1);
    assert_eq!(agent.wait().await.code(), Some(0));
    assert_eq!(backend.count_runs("g-3").await, 0);
}

/// Starts a blocked booking and a stream at entry 1, drains it, and checks that both complete.
async fn check_entry_drain<F>(fleet: &mut Fleet, start_drain: F)
where
    F: AsyncFn(&TestEnv, &Process),
{
    for backend in &fleet.plain {
        backend.set_hold(true).await;
    }
    let booking = spawn(build_booking(&fleet.entries[0], "g-4", "g-4"));
    let stream = spawn(build_draft(&fleet.entries[0], 2 * TOKENS));
    find_busy(&[&fleet.plain[0], &fleet.plain[1]]).await;
    find_busy(&[&fleet.engines[0], &fleet.engines[1]]).await;
    start_drain(&fleet.env, &fleet.entries[0]).await;
    fleet.entries[0].wait_draining().await;
    let ready = build_call(fleet.entries[0].admin, Method::GET, "/ready", None);
    assert_eq!(send(ready).await.status, 503);
    assert!(send(build_lookup(&fleet.entries[1])).await.is_good());
    let answer = stream.await.expect("the call ends without a panic");
    assert!(answer.is_good(), "{:?}", read_outcome(&answer));
    assert_eq!(answer.chunks, u64::from(2 * TOKENS) + 1);
    for backend in &fleet.plain {
        backend.set_hold(false).await;
    }
    let answer = booking.await.expect("the call ends without a panic");
    assert_eq!(read_executions(&answer), 1);
    assert_eq!(fleet.entries[0].wait().await.code(), Some(0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_finishes_running_requests_on_repeated_drains() {
    // An entry that is being replaced must finish the requests of its callers.
    let mut fleet = Fleet::start().await;
    check_entry_drain(&mut fleet, async |_, process| {
        process.signal("TERM");
        drain_by_operator(process).await;
        process.signal("TERM");
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_drains_when_the_platform_lists_it_as_leaving() {
    // The platform stops a leaving VM soon, so the entry must not wait for a signal.
    let mut fleet = Fleet::start().await;
    check_entry_drain(&mut fleet, async |env, process| {
        mark_as_leaving(env, &[process]).await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn entry_and_agent_that_drain_at_once_finish_their_request() {
    // A rolling restart may drain the entry and the agent of one request at the same time.
    let mut fleet = Fleet::start().await;
    let stream = spawn(build_draft(&fleet.entries[0], TOKENS));
    let pool = find_busy(&[&fleet.engines[0], &fleet.engines[1]]).await;
    fleet.pools[pool].signal("TERM");
    fleet.entries[0].signal("TERM");
    let answer = stream.await.expect("the call ends without a panic");
    assert!(answer.is_good(), "{:?}", read_outcome(&answer));
    assert_eq!(answer.chunks, u64::from(TOKENS) + 1);
    assert_eq!(fleet.pools[pool].wait().await.code(), Some(0));
    assert_eq!(fleet.entries[0].wait().await.code(), Some(0));
}
