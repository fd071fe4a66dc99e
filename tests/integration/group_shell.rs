//! Tests of the agents of a group with a simulated group of ranks, all in this process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use http::Method;
use serde_json::Value;
use serde_json::json;
use siskinbend::agent;
use siskinbend::settings::Agent;
use siskinbend::settings::AgentFlags;
use siskinbend::settings::CommonFlags;
use siskinbend_standins::client::Call;
use siskinbend_standins::client::Caller;
use siskinbend_standins::group;
use siskinbend_standins::group::RankView;
use siskinbend_standins::group::Totals;
use siskinbend_standins::keys;
use siskinbend_standins::platform;
use siskinbend_standins::server;

use crate::util::find_address;

/// Ranks of the groups in the sample document.
const RANKS: usize = 4;

/// Time after which a test fails if the condition it waits for has not become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Count interval of the agents in milliseconds.
const REPORT_MS: u64 = 200;

async fn send(to: SocketAddr, method: Method, path: &str, body: &Value) -> (u16, Vec<u8>) {
    let mut headers = HeaderMap::new();
    headers.insert("Content-Type", HeaderValue::from_static("application/json"));
    let uri = format!("http://{to}{path}").parse();
    let call = Call {
        method,
        uri: uri.expect("address and path are valid"),
        headers,
        body: body.to_string().into(),
        stream: false,
        timeout: Duration::from_secs(10),
    };
    let answer = Caller::default().send(&call).await;
    (answer.status, answer.tail)
}

async fn get(to: SocketAddr, path: &str) -> Vec<u8> {
    let (status, body) = send(to, Method::GET, path, &Value::Null).await;
    assert_eq!(status, 200, "{path} has no answer");
    body
}

async fn post(to: SocketAddr, path: &str, body: Value) {
    let (status, _) = send(to, Method::POST, path, &body).await;
    assert_eq!(status, 204, "{path} was refused");
}

struct TestGroup {
    group: SocketAddr,
    platform: SocketAddr,
    admins: Vec<SocketAddr>,
    /// An address on which no process listens.
    unused_address: SocketAddr,
    folder: PathBuf,
    listens: Vec<SocketAddr>,
}

impl TestGroup {
    /// Starts the stand-ins. `name` is the folder of the test's keys.
    async fn start(name: &str) -> TestGroup {
        let options = group::Options {
            listen: find_address(),
            name: "draft-a".to_owned(),
            ranks: 4,
            experts: 16,
            layers: 4,
            slots: 6,
            step_ms: 4,
            seed: 7,
            skew: 1.0,
            // No drift of the demand: on a busy machine it could change faster than the maps.
            period: 0,
            sequences: 8,
            expert_mib: 8,
            load_mib: 256,
            checked: false,
        };
        let router = group::build_router(&options).expect("the experts fit");
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let keys = keys::Options {
            out: folder.clone(),
            name: vec!["agent".to_owned()],
        };
        keys::write(&keys).expect("the keys are written");
        let platform = server::spawn(platform::build_router()).await;
        TestGroup {
            group: server::spawn(router).await.expect("a port is free"),
            platform: platform.expect("a port is free"),
            admins: (0..RANKS).map(|_| find_address()).collect(),
            unused_address: find_address(),
            folder,
            listens: (0..RANKS).map(|_| find_address()).collect(),
        }
    }

    fn build_flags(&self, rank: usize, platform: SocketAddr) -> AgentFlags {
        let file = |name: &str| Some(self.folder.join(name).display().to_string());
        let peer = |(n, address): (usize, &SocketAddr)| format!("{n}={address}");
        AgentFlags {
            common: CommonFlags {
                name: Some(format!("rank-{rank}")),
                zone: Some("ibadan".to_owned()),
                admin: Some(self.admins[rank].to_string()),
                listen: Some(self.listens[rank].to_string()),
                ca: file("ca.pem"),
                cert: file("agent.pem"),
                key: file("agent.key"),
                platform: Some(format!("http://{platform}")),
                document: Some(format!(
                    "{}/examples/adeyemi.toml",
                    env!("CARGO_MANIFEST_DIR")
                )),
                ..CommonFlags::default()
            },
            backend: Some(format!("http://{}", self.group)),
            service: Some("draft-pool".to_owned()),
            group: Some("draft-a".to_owned()),
            rank: Some(rank.to_string()),
            rank_peer: self.listens.iter().enumerate().map(peer).collect(),
            report_ms: Some(REPORT_MS.to_string()),
            policy: None,
        }
    }

    fn start_agent(&self, rank: usize, platform: SocketAddr) {
        let settings = self.build_flags(rank, platform).check();
        let settings: Agent = settings.expect("the settings are valid");
        tokio::spawn(async move {
            if let Err(error) = agent::run(settings).await {
                panic!("the agent failed to start: {error}");
            }
        });
    }

    fn start_agents(&self) {
        for rank in 0..RANKS {
            self.start_agent(rank, self.platform);
        }
    }

    async fn read_totals(&self) -> Totals {
        serde_json::from_slice(&get(self.group, "/group").await).expect("totals")
    }

    async fn read_rank(&self, rank: usize) -> RankView {
        let path = format!("/ranks/{rank}/state");
        serde_json::from_slice(&get(self.group, &path).await).expect("a rank's state")
    }

    /// Describes the state of the agents for the messages of failed assertions.
    async fn describe(&self) -> String {
        let mut text = String::new();
        for rank in 0..RANKS {
            let metrics = get(self.admins[rank], "/metrics").await;
            let metrics = String::from_utf8_lossy(&metrics).into_owned();
            let faults = metrics.lines().filter(|l| l.contains("group_faults_total"));
            text += &format!("\n{}\n", self.read_status_line(rank).await);
            text += &faults.collect::<Vec<_>>().join("\n");
        }
        text
    }

    /// Reads the agent's status line about its group; empty before the agent has started.
    async fn read_status_line(&self, rank: usize) -> String {
        let (_, body) = send(
            self.admins[rank],
            Method::GET,
            "/admin/status",
            &Value::Null,
        )
        .await;
        let status: Value = serde_json::from_slice(&body).unwrap_or_default();
        status["notes"][1].as_str().unwrap_or_default().to_owned()
    }

    async fn set_table_outage(&self, down: bool) {
        let faults = json!({"target": "table", "down": down});
        post(self.platform, "/faults", faults).await;
    }

    /// Waits until the group's totals meet the condition and returns them.
    async fn wait_totals<F>(&self, what: &str, condition: F) -> Totals
    where
        F: Fn(&Totals) -> bool,
    {
        let waiting = async {
            loop {
                let totals = self.read_totals().await;
                if condition(&totals) {
                    return totals;
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        };
        let waited = tokio::time::timeout(WAIT_TIMEOUT, waiting).await;
        waited.unwrap_or_else(|_| panic!("timed out waiting for {what}"))
    }
}

fn count_switches(totals: &Totals) -> usize {
    totals.spans.len().saturating_sub(1)
}

/// Held by each test so that the tests run one at a time; in parallel, they would slow down each
/// other's steps.
static EXCLUSIVE: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn group_follows_its_demand_without_mixed_steps() {
    // A rank that switches to the map at another step than the others computes wrong tokens.
    let _exclusive = EXCLUSIVE.lock().await;
    let env = TestGroup::start("group-follows").await;
    env.start_agents();
    env.wait_totals("a switch", |t| count_switches(t) >= 1)
        .await;
    let hot = json!({"layer": 1, "expert": 9, "factor": 6.0});
    let demand = json!({"skew": 1.0, "period": 0, "hot": [hot]});
    post(env.group, "/demand", demand).await;
    let before = count_switches(&env.read_totals().await);
    let settled = |t: &Totals| {
        let steps = t.spans.back().map_or(0, |span| span.steps);
        count_switches(t) >= before + 2 && steps >= 50
    };
    let totals = env.wait_totals("two more switches", settled).await;
    assert_eq!(totals.mixed_steps, 0, "spans: {:?}", totals.spans);
    // The demand itself changes the skew, so the skew is compared with that of the same steps under
    // the first map.
    let last = totals.spans.back().expect("there are spans");
    assert!(
        last.skew < last.initial_skew,
        "spans: {:?}{}",
        totals.spans,
        env.describe().await
    );
    // Every command carries the fencing number of the lease, which starts at 1.
    for rank in 0..RANKS {
        assert_eq!(env.read_rank(rank).await.fencing.0, 1, "rank {rank}");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn store_outage_does_not_block_a_switch_in_progress() {
    // If a decision needed the store, an outage would stop the steps of the group until its end.
    let _exclusive = EXCLUSIVE.lock().await;
    let env = TestGroup::start("group-outage").await;
    for rank in 0..RANKS {
        let faults = json!({"rank": rank, "load_delay_ms": 1_500});
        post(env.group, "/faults", faults).await;
    }
    env.start_agents();
    let before = env
        .wait_totals("the loads of a switch", |t| t.loads >= RANKS as u64)
        .await;
    assert_eq!(count_switches(&before), 0, "the loads were not delayed");
    env.set_table_outage(true).await;
    let during = env
        .wait_totals("the switch during the outage", |t| count_switches(t) >= 1)
        .await;
    assert_eq!((during.mixed_steps, during.held_steps), (0, 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_load_reaches_an_engine_before_its_fence_is_known() {
    // An agent that has just started cannot distinguish an old command from a new one until it has
    // read the fencing number.
    let _exclusive = EXCLUSIVE.lock().await;
    let env = TestGroup::start("group-fence").await;
    for rank in 0..RANKS - 1 {
        env.start_agent(rank, env.platform);
    }
    let last = RANKS - 1;
    env.start_agent(last, env.unused_address);
    // This agent either is the coordinator and has no lease, or refuses the coordinator's
    // commands.
    let refused = async {
        loop {
            let metrics = send(env.admins[last], Method::GET, "/metrics", &Value::Null).await;
            let metrics = String::from_utf8_lossy(&metrics.1).into_owned();
            let status_line = env.read_status_line(last).await;
            if metrics.contains("reason=\"fence_unknown\"")
                || status_line.contains("lease is not held")
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    let refused = tokio::time::timeout(WAIT_TIMEOUT, refused).await;
    refused.expect("the agent refused no command");
    let status_line = env.read_status_line(last).await;
    assert!(status_line.contains("fence=unknown"), "{status_line}");
    assert_eq!(env.read_rank(last).await.fencing.0, 0);
    let totals = env.read_totals().await;
    assert_eq!((count_switches(&totals), totals.mixed_steps), (0, 0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn failed_load_leaves_the_map_and_the_steps_alone() {
    // A group that switches without the weights of one rank loses experts.
    let _exclusive = EXCLUSIVE.lock().await;
    let env = TestGroup::start("group-load").await;
    let faults = json!({"rank": 2, "fail_loads": true});
    post(env.group, "/faults", faults).await;
    env.start_agents();
    let waiting = async {
        loop {
            for rank in 0..RANKS {
                if env
                    .read_status_line(rank)
                    .await
                    .contains("aborted: load_failed")
                {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let aborted = tokio::time::timeout(WAIT_TIMEOUT, waiting).await;
    aborted.expect("no switch was aborted");
    let totals = env.read_totals().await;
    assert_eq!(count_switches(&totals), 0);
    assert_eq!((totals.mixed_steps, totals.held_steps), (0, 0));
    let again = env
        .wait_totals("further steps", |t| t.steps > totals.steps + 20)
        .await;
    assert_eq!(again.held_steps, 0);
    // Once the engine can load again, the placement switches.
    post(env.group, "/faults", json!({"rank": 2})).await;
    let after = env
        .wait_totals("a switch", |t| count_switches(t) >= 1)
        .await;
    assert_eq!(after.mixed_steps, 0);
}

#[tokio::test]
async fn wrong_group_settings_are_reported_together() {
    // If a rank is missing, no ballot of the group gets an answer from every rank.
    let env = TestGroup::start("group-settings").await;
    let flags = AgentFlags {
        rank: Some("x".to_owned()),
        rank_peer: vec!["1=nowhere".to_owned()],
        report_ms: Some("0".to_owned()),
        policy: Some("best".to_owned()),
        ..env.build_flags(0, env.platform)
    };
    let flag_names = |flags: &AgentFlags| -> Vec<String> {
        let findings = flags.check().expect_err("the settings are wrong");
        findings.iter().map(|f| f.flag.to_owned()).collect()
    };
    let wanted = ["--rank", "--rank-peer", "--report-ms", "--policy"];
    assert_eq!(flag_names(&flags), wanted);
    let mut gap = env.build_flags(0, env.platform);
    gap.rank_peer.remove(2);
    assert_eq!(flag_names(&gap), ["--rank-peer"]);
    let mut repeated = env.build_flags(0, env.platform);
    repeated.rank_peer[2] = repeated.rank_peer[1].clone();
    assert!(flag_names(&repeated).contains(&"--rank-peer".to_owned()));
    let mut alone = env.build_flags(0, env.platform);
    alone.group = None;
    assert_eq!(flag_names(&alone), ["--rank", "--rank-peer", "--report-ms"]);
}
