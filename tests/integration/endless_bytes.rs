//! Backend servers that send bytes without end until the caller closes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use futures::future::join_all;
use http::StatusCode;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::deployment::Deployment;
use crate::deployment::EVENT_TIMEOUT;
use crate::deployment::wait_until;

/// Requests that are sent at the same time.
const REQUESTS: usize = 24;
/// Memory of the smallest VM that runs a gateway, in kB.
const VM_MEMORY_KB: u64 = 160_000;

/// What an endless server sends before it repeats `repeated` without end.
#[derive(Debug, Clone, Copy)]
struct Bytes {
    first: &'static str,
    repeated: &'static str,
}

const GARBAGE: Bytes = Bytes {
    first: "",
    repeated: "no answer ",
};
const LONG_HEADER: Bytes = Bytes {
    first: "HTTP/1.1 200 OK\r\nx-fill: ",
    repeated: "aaaaaaaaaaaaaaaa",
};
const MANY_HEADERS: Bytes = Bytes {
    first: "HTTP/1.1 200 OK\r\n",
    repeated: "x-fill: aaaaaaaa\r\n",
};
const INTERIM_HEADS: Bytes = Bytes {
    first: "",
    repeated: "HTTP/1.1 103 Early Hints\r\n\r\n",
};
const UNBOUNDED_BODY: Bytes = Bytes {
    first: "HTTP/1.1 200 OK\r\nx-response-seal: s\r\n\r\n",
    repeated: "bytes of a body ",
};
const CHUNKED_BODY: Bytes = Bytes {
    first: "HTTP/1.1 200 OK\r\nx-response-seal: s\r\ntransfer-encoding: chunked\r\n\r\n",
    repeated: "8\r\n12345678\r\n",
};
const UNTERMINATED_EVENT: Bytes = Bytes {
    first: "HTTP/1.1 200 OK\r\nx-response-seal: s\r\ncontent-type: text/event-stream\r\n\r\ndata: ",
    repeated: "part of an event",
};

/// Server that answers every request with bytes without end.
struct EndlessServer {
    address: SocketAddr,
    /// Connections accepted so far.
    accepted: Arc<AtomicUsize>,
    /// Connections that the other side has not closed.
    open: Arc<AtomicUsize>,
}

impl EndlessServer {
    async fn start(bytes: Bytes) -> EndlessServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let open = Arc::new(AtomicUsize::new(0));
        let accepted = Arc::new(AtomicUsize::new(0));
        let (total, counter) = (Arc::clone(&accepted), Arc::clone(&open));
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let open = Arc::clone(&counter);
                open.fetch_add(1, Ordering::Relaxed);
                total.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(async move {
                    send_endlessly(stream, bytes).await;
                    open.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        EndlessServer {
            address,
            accepted,
            open,
        }
    }
}

async fn send_endlessly(mut stream: TcpStream, bytes: Bytes) {
    let mut request = [0; 1];
    if stream.read(&mut request).await.is_err() {
        return;
    }
    let block = bytes.repeated.repeat(4_096);
    // A failed write means that the other side has closed the connection.
    if stream.write_all(bytes.first.as_bytes()).await.is_err() {
        return;
    }
    while stream.write_all(block.as_bytes()).await.is_ok() {}
}

/// Sends requests to a service whose only server is endless: each request ends without a success,
/// the gateway's memory stays within its VM, and all connections to the server are closed.
async fn check_endless(path: &str, service: &str, bytes: Bytes) {
    let deployment = Deployment::start().await;
    let site = &deployment.site;
    for replica in site.plain_replicas.iter().chain(&site.model_replicas) {
        site.store.write("servers", &replica.id, None);
    }
    let server = EndlessServer::start(bytes).await;
    site.store
        .register_replica("i-endless", service, server.address);
    // Until the gateway knows the new server, it refuses.
    let started = Instant::now();
    while server.accepted.load(Ordering::Relaxed) == 0 {
        assert!(started.elapsed() < EVENT_TIMEOUT, "the server was not used");
        deployment.call(path, "probe").await;
    }
    let calls = (0..REQUESTS).map(|n| {
        let id = format!("e{n}");
        let deployment = &deployment;
        async move { deployment.call(path, &id).await }
    });
    for answer in join_all(calls).await {
        let is_whole = answer.body.is_some();
        let succeeded = answer.status == Some(StatusCode::OK) && is_whole;
        assert!(!succeeded, "{bytes:?} became an answer");
    }
    let memory = deployment.gateway.peak_memory_kb();
    assert!(memory < VM_MEMORY_KB, "{memory} kB with {bytes:?}");
    wait_until("the connections to close", || {
        server.open.load(Ordering::Relaxed) == 0
    })
    .await;
}

/// Guards against a gateway that reads heads without end until its memory or the caller's patience
/// is used up.
#[tokio::test(flavor = "multi_thread")]
async fn endless_heads_end() {
    for bytes in [GARBAGE, LONG_HEADER, MANY_HEADERS, INTERIM_HEADS] {
        check_endless("/stock/x/", "desk", bytes).await;
    }
}

/// Guards against a gateway that keeps bodies without end in its memory: with many of them at the
/// same time it would be killed.
#[tokio::test(flavor = "multi_thread")]
async fn endless_bodies_end() {
    for bytes in [UNBOUNDED_BODY, CHUNKED_BODY] {
        check_endless("/stock/x/", "desk", bytes).await;
        check_endless("/book/x/", "desk", bytes).await;
    }
}

/// Guards against a stream whose event never ends.
#[tokio::test(flavor = "multi_thread")]
async fn endless_events_end() {
    for bytes in [UNTERMINATED_EVENT, GARBAGE, INTERIM_HEADS] {
        check_endless("/draft/x/", "drafts", bytes).await;
    }
}
