//! Requests that reach a gateway late, after it was asked to stop.

use std::time::Duration;
use std::time::Instant;

use siskinbend_request::StopSchedule;
use siskinbend_standins::site::API_KEY;
use siskinbend_standins::site::HOST;
use siskinbend_standins::site::Site;
use siskinbend_types::Time;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::deployment::EVENT_TIMEOUT;
use crate::deployment::Gateway;
use crate::deployment::RANKS;

/// Time after which the balancer sends no new connections.
const NOTICE: Duration = Duration::from_secs(2);
/// Time after which the process exits.
const RUN_TIME: Duration = Duration::from_secs(7);

/// Grace period of the gateways under test.
const GRACE_SETTING: &str = "bounds.graceS=6";
/// Time from the signal to a connection, and to the request on it. The balancer may still open
/// connections at the former; the latter is after the notice period.
const CONNECTED_AT: Duration = Duration::from_millis(1_500);
const SENT_AT: Duration = Duration::from_millis(2_800);
/// Timeouts of requests that end after and before the gateway's exit.
const LONG_MS: u64 = 8_000;
const SHORT_MS: u64 = 800;

/// Guards against a request that is taken, runs past the exit of its process and is cut off there, and
/// against refusing what the process can finish.
#[test]
fn late_requests_end_first() {
    let stopped = Time::from_millis(100_000);
    let schedule = StopSchedule::new(stopped, NOTICE, RUN_TIME);
    let exit = stopped + RUN_TIME;
    for after_ms in (0..7_000).step_by(50) {
        let now = stopped + Duration::from_millis(after_ms);
        for limit_ms in (50..10_000).step_by(50) {
            let deadline = now + Duration::from_millis(limit_ms);
            let is_taken = schedule.may_take(deadline, now);
            let in_notice = now < stopped + NOTICE;
            assert_eq!(
                is_taken,
                in_notice || deadline <= exit,
                "{after_ms} {limit_ms}"
            );
        }
    }
}

/// Guards against a notice period that outlasts a short grace period.
#[test]
fn short_grace_bounds_notice() {
    let stopped = Time::from_millis(100_000);
    let schedule = StopSchedule::new(stopped, NOTICE, Duration::from_secs(1));
    let now = stopped + Duration::from_millis(1_200);
    assert!(!schedule.may_take(now + Duration::from_millis(100), now));
}

/// A gateway that was asked to stop.
struct Stopping {
    site: Site,
    gateway: Gateway,
    asked: Instant,
}

impl Stopping {
    async fn start() -> Stopping {
        let site = Site::start(RANKS).await.expect("the stand-ins start");
        let change = |text: String| text.replace("bounds.graceS=8", GRACE_SETTING);
        let gateway = Gateway::start_with(&site, 0, change).await;
        gateway.process.signal("TERM");
        Stopping {
            site,
            gateway,
            asked: Instant::now(),
        }
    }

    async fn wait_until(&self, after: Duration) {
        sleep(after.saturating_sub(self.asked.elapsed())).await;
    }

    async fn connect(&self) -> TcpStream {
        self.wait_until(CONNECTED_AT).await;
        let stream = TcpStream::connect(self.gateway.callers).await;
        stream.expect("a connection in the notice period")
    }

    fn count_runs(&self, id: &str) -> u32 {
        let replicas = self.site.plain_replicas.iter();
        let replicas = replicas.chain(&self.site.model_replicas);
        replicas.filter_map(|r| r.runs().get(id).copied()).sum()
    }

    /// Checks that a request was refused at once, with word that it did not run, and never ran.
    fn check_refused(&self, id: &str, answer: &str) {
        assert!(answer.starts_with("HTTP/1.1 503 "), "{id}: {answer}");
        assert!(answer.contains("\"draining\""), "{id}: {answer}");
        assert!(answer.contains("\"not_run\""), "{id}: {answer}");
        let head = answer.to_lowercase();
        assert!(head.contains("retry-after: 0"), "{id}: {answer}");
        assert!(head.contains("connection: close"), "{id}: {answer}");
        assert_eq!(self.count_runs(id), 0, "{id}");
    }
}

fn build_head(path: &str, id: &str, timeout_ms: u64, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {API_KEY}\r\n\
         x-request-id: {id}\r\nx-deadline-ms: {timeout_ms}\r\ncontent-length: {length}\r\n\r\n"
    )
}

/// Sends bytes and reads the answer until the gateway closes the connection.
async fn exchange(stream: &mut TcpStream, bytes: &str) -> String {
    stream.write_all(bytes.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    let reading = tokio::time::timeout(EVENT_TIMEOUT, stream.read_to_end(&mut answer));
    reading.await.expect("an end").expect("a sound connection");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Guards against a request that is sent late on a connection from the notice period, runs past the
/// gateway's exit and is cut off there. Streams and plain requests; those that end in time are
/// answered.
#[tokio::test(flavor = "multi_thread")]
async fn late_request_is_refused() {
    let stopping = Stopping::start().await;
    let cases = [
        ("/draft/x/", "s1", LONG_MS),
        ("/book/x/", "s2", LONG_MS),
        ("/draft/x/", "s3", SHORT_MS),
        ("/book/x/", "s4", SHORT_MS),
    ];
    let calls = cases.map(async |(path, id, timeout_ms)| {
        let mut stream = stopping.connect().await;
        stopping.wait_until(SENT_AT).await;
        exchange(&mut stream, &build_head(path, id, timeout_ms, 0)).await
    });
    let answers = futures::future::join_all(calls).await;
    for ((_, id, timeout_ms), answer) in cases.iter().zip(answers) {
        if *timeout_ms == LONG_MS {
            stopping.check_refused(id, &answer);
        } else {
            assert!(answer.starts_with("HTTP/1.1 200 "), "{id}: {answer}");
            assert_eq!(stopping.count_runs(id), 1, "{id}");
        }
    }
}

/// Guards against the same with a request whose head came in the notice period and whose body came
/// late.
#[tokio::test(flavor = "multi_thread")]
async fn late_body_is_refused() {
    let stopping = Stopping::start().await;
    let mut stream = stopping.connect().await;
    let head = build_head("/book/x/", "b1", LONG_MS, 4);
    stream.write_all(head.as_bytes()).await.expect("sent");
    stopping.wait_until(SENT_AT).await;
    let answer = exchange(&mut stream, "body").await;
    stopping.check_refused("b1", &answer);
}

/// Guards against refusing callers that the balancer still sends, while most requests end long before
/// the exit.
#[tokio::test(flavor = "multi_thread")]
async fn notice_period_takes_requests() {
    let mut stopping = Stopping::start().await;
    let mut stream = stopping.connect().await;
    let answer = exchange(&mut stream, &build_head("/draft/x/", "n1", LONG_MS, 0)).await;
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    assert!(answer.contains("piece 8"), "{answer}");
    assert!(stopping.gateway.process.wait().await.success());
}
