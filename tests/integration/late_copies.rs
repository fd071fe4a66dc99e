//! Backend servers that send a second copy of an answer on a connection that is in use again.

use std::net::SocketAddr;
use std::time::Instant;

use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::deployment::Deployment;
use crate::deployment::EVENT_TIMEOUT;

/// Answers of the server that are checked.
const SUCCESSES: u32 = 10;

/// How a server marks the second copy of an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Copy {
    /// With the id of its request.
    WithId,
    /// Without any id.
    WithoutId,
}

/// Starts a server that answers each request with its path as the body. Before each later answer on
/// a connection it sends the previous one again.
async fn start_server(copy: Copy) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, copy));
        }
    });
    address
}

fn build_answer(id: &str, path: &str) -> String {
    let id_line = if id.is_empty() {
        String::new()
    } else {
        format!("x-request-id: {id}\r\n")
    };
    let length = path.len();
    format!(
        "HTTP/1.1 200 OK\r\n{id_line}x-response-seal: s\r\ncontent-length: {length}\r\n\r\n{path}"
    )
}

async fn serve(mut stream: TcpStream, copy: Copy) {
    let mut previous: Option<String> = None;
    let mut received = Vec::new();
    loop {
        let mut block = [0; 4_096];
        match stream.read(&mut block).await {
            Ok(0) | Err(_) => return,
            Ok(length) => received.extend_from_slice(&block[..length]),
        }
        let text = String::from_utf8_lossy(&received).into_owned();
        if !text.contains("\r\n\r\n") {
            continue;
        }
        received.clear();
        let path = text.split(' ').nth(1).unwrap_or_default().to_owned();
        let id = text
            .lines()
            .find_map(|line| line.strip_prefix("x-request-id: "))
            .unwrap_or_default()
            .to_owned();
        let copy_id = if copy == Copy::WithId {
            id.as_str()
        } else {
            ""
        };
        let next_copy = build_answer(copy_id, &path);
        let mut bytes = previous.replace(next_copy).unwrap_or_default();
        bytes.push_str(&build_answer(&id, &path));
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Sends lookups one after the other to a server that repeats its answers: every success is the
/// caller's own answer.
async fn check_copies(copy: Copy) {
    let deployment = Deployment::start().await;
    let site = &deployment.site;
    let address = start_server(copy).await;
    site.store.register_replica("i-repeats", "desk", address);
    let started = Instant::now();
    let mut successes = 0;
    for n in 0.. {
        let path = format!("/stock/item{n}/");
        let answer = deployment.call(&path, &format!("r{n}")).await;
        let is_from_server = answer.seal.as_deref() == Some("s");
        if answer.status == Some(StatusCode::OK) && is_from_server {
            successes += 1;
            assert_eq!(answer.body.as_deref(), Some(path.as_str()), "{copy:?}");
        }
        if successes == SUCCESSES {
            return;
        }
        assert!(
            started.elapsed() < EVENT_TIMEOUT,
            "the server was hardly used"
        );
    }
}

/// Guards against a caller who gets the answer of the previous request on a kept connection.
#[tokio::test(flavor = "multi_thread")]
async fn late_copy_is_discarded() {
    check_copies(Copy::WithId).await;
}

/// Guards against the same if the copy carries no id, so that only its own answer may pass that
/// says whose it is.
#[tokio::test(flavor = "multi_thread")]
async fn unmarked_copy_is_discarded() {
    check_copies(Copy::WithoutId).await;
}
