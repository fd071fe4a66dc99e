//! Requests at servers that are silent for longer than usual and then go on.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use siskinbend_standins::site::HOST;
use siskinbend_standins::site::build_config;
use siskinbend_standins::site::check::Answer;
use siskinbend_standins::site::check::Caller;
use siskinbend_standins::site::check::complete_stream;
use siskinbend_standins::site::ranks::GroupShape;
use siskinbend_standins::site::replica::Replica;
use tokio::task::JoinHandle;

use crate::deployment::Deployment;
use crate::deployment::RANKS;
use crate::deployment::wait_until;

/// Silence that is longer than that after which a gateway turns to another server (0.9 s).
const SILENCE: Duration = Duration::from_millis(1_200);
const SILENCE_MS: u32 = SILENCE.as_millis() as u32;
/// Silence that lasts beyond the deadline of a request.
const ENDLESS_MS: u32 = 60_000;
/// Delay before each event of the stream that shows the service to be alive.
const ALIVE_INTERVAL_MS: u32 = 250;
/// Number of events after which a stream is interrupted.
const EVENTS_BEFORE: u32 = 2;

/// Pause that the busy server asks for, longer than a test.
const PAUSE: &str = "60";

/// A deployment with one server that is busy with a stream and has asked for a pause, and others that
/// are silent as each test says. Without the former, the whole service would count as stalled.
struct SilentServers {
    deployment: Deployment,
    others: Vec<Arc<Replica>>,
    _stream: JoinHandle<Answer>,
}

impl SilentServers {
    async fn start() -> SilentServers {
        let deployment = Deployment::start().await;
        let shape = GroupShape::of_ranks(RANKS);
        let mut config = build_config(2, &shape);
        let routes = config["routes"].as_array_mut().expect("a list");
        for (prefix, kind) in [("/look/", "idempotent"), ("/seal/", "non_idempotent")] {
            routes.push(
                json!({"name": prefix, "host": HOST, "prefix": prefix, "kind": kind,
                "timeoutMs": 4000, "latencyGoalMs": 400, "priority": 1, "service": "drafts",
                "maxAttempts": 2, "public": false, "streamResume": false}),
            );
        }
        deployment.site.store.put_json("op", "config", &config);
        deployment
            .wait_for_metric("siskinbend_config_version 2")
            .await;
        let replicas = deployment.site.model_replicas.clone();
        for replica in &replicas {
            replica
                .interval_ms
                .store(ALIVE_INTERVAL_MS, Ordering::Relaxed);
        }
        let callers = deployment.callers;
        let stream =
            tokio::spawn(
                async move { Caller::default().call(callers, "/draft/x/", "alive").await },
            );
        let runs = |r: &Arc<Replica>| r.runs().contains_key("alive");
        wait_until("the stream", || replicas.iter().any(runs)).await;
        let (alive, others): (Vec<_>, Vec<_>) = replicas.into_iter().partition(runs);
        alive[0].signals.set_pause(Some(PAUSE));
        // The busy server would be chosen last.
        for other in &others {
            other.overloaded.store(true, Ordering::Relaxed);
        }
        let streams = alive[0].signals.arrivals().len();
        let mut sent = 0;
        while alive[0].signals.arrivals().len() == streams {
            deployment.call("/look/x/", &format!("l{sent}")).await;
            sent += 1;
        }
        for other in &others {
            other.overloaded.store(false, Ordering::Relaxed);
            other.interval_ms.store(20, Ordering::Relaxed);
        }
        SilentServers {
            deployment,
            others,
            _stream: stream,
        }
    }

    /// Makes all servers but the busy one silent, and checks that a request is answered whole
    /// nevertheless.
    async fn check_answered<Silence>(path: &str, make_silent: Silence)
    where
        Silence: Fn(&Replica),
    {
        let servers = SilentServers::start().await;
        for other in &servers.others {
            make_silent(other);
        }
        servers.check(path).await;
    }

    async fn check(&self, path: &str) {
        let answer = self.deployment.call(path, "a1").await;
        assert_eq!(answer.status, Some(StatusCode::OK), "{answer:?}");
        let expected = match path.starts_with("/draft/") {
            true => complete_stream(),
            false => "{\"done\":\"a1\"}".to_owned(),
        };
        assert_eq!(answer.body, Some(expected));
    }
}

/// Guards against giving up a plain request at a silent server while no other one answers it.
#[tokio::test(flavor = "multi_thread")]
async fn plain_request() {
    let make_silent = |r: &Replica| r.head_delay_ms.store(SILENCE_MS, Ordering::Relaxed);
    SilentServers::check_answered("/look/x/", make_silent).await;
}

/// Guards against giving up a stream at a server that is silent before the head of its answer.
#[tokio::test(flavor = "multi_thread")]
async fn stream_without_head() {
    let make_silent = |r: &Replica| r.head_delay_ms.store(SILENCE_MS, Ordering::Relaxed);
    SilentServers::check_answered("/draft/x/", make_silent).await;
}

/// Guards against giving up a stream at a server that is silent before its first event.
#[tokio::test(flavor = "multi_thread")]
async fn stream_without_events() {
    let make_silent = |r: &Replica| r.delay_ms.store(SILENCE_MS, Ordering::Relaxed);
    SilentServers::check_answered("/draft/x/", make_silent).await;
}

/// Guards against cutting a stream whose server is silent between two events, also at the second
/// server, after which the route allows no other one.
#[tokio::test(flavor = "multi_thread")]
async fn interrupted_stream() {
    let interrupt = |r: &Replica| {
        *r.interruption.lock().expect("the lock") = Some((EVENTS_BEFORE, SILENCE));
    };
    SilentServers::check_answered("/draft/x/", interrupt).await;
}

/// Guards against cutting an interrupted stream while the only other server refuses it.
#[tokio::test(flavor = "multi_thread")]
async fn interrupted_at_last_server() {
    let servers = SilentServers::start().await;
    servers.others[1].overloaded.store(true, Ordering::Relaxed);
    let interruption = Some((EVENTS_BEFORE, SILENCE));
    *servers.others[0].interruption.lock().expect("the lock") = interruption;
    servers.check("/draft/x/").await;
}

/// Guards against a request that waits for a server that stays silent, while another one is sound.
#[tokio::test(flavor = "multi_thread")]
async fn sound_server_answers() {
    for path in ["/look/x/", "/draft/x/"] {
        let servers = SilentServers::start().await;
        let silent = &servers.others[0];
        silent.head_delay_ms.store(ENDLESS_MS, Ordering::Relaxed);
        servers.check(path).await;
    }
}

/// Guards against a second run of a request that may not be repeated.
#[tokio::test(flavor = "multi_thread")]
async fn booking_runs_once() {
    let servers = SilentServers::start().await;
    for other in &servers.others {
        other.head_delay_ms.store(SILENCE_MS, Ordering::Relaxed);
    }
    servers.check("/seal/x/").await;
    assert_eq!(servers.deployment.count_runs("a1"), 1);
}

/// Guards against giving up a request at a silent server because another one answers with an error.
#[tokio::test(flavor = "multi_thread")]
async fn failed_hedge() {
    let servers = SilentServers::start().await;
    let [silent, failing] = [0, 1].map(|n| &servers.others[n]);
    silent.head_delay_ms.store(SILENCE_MS, Ordering::Relaxed);
    let error = (StatusCode::INTERNAL_SERVER_ERROR, "a1");
    failing.signals.set_rejection(Some(error));
    servers.check("/look/x/").await;
}

/// Guards against cutting a stream whose silent server breaks off while the hedge has no data yet.
#[tokio::test(flavor = "multi_thread")]
async fn broken_before_hedge() {
    let servers = SilentServers::start().await;
    for other in &servers.others {
        other.cut_after.store(EVENTS_BEFORE, Ordering::Relaxed);
        other.delay_ms.store(SILENCE_MS / 2, Ordering::Relaxed);
        *other.interruption.lock().expect("the lock") = Some((EVENTS_BEFORE, SILENCE));
    }
    let repair = async {
        let has_run = |r: &Arc<Replica>| r.runs().contains_key("a1");
        wait_until("the stream", || servers.others.iter().any(has_run)).await;
        let second = servers.others.iter().find(|r| !has_run(r));
        let second = second.expect("a server that the stream has not reached");
        second.cut_after.store(0, Ordering::Relaxed);
        *second.interruption.lock().expect("the lock") = None;
    };
    tokio::join!(servers.check("/draft/x/"), repair);
}
