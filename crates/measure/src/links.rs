//! Measures the bytes of control traffic on real QUIC connections over loopback.
//!
//! The figures vary a little between runs, because acknowledgements share packets or don't.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use bpaf::Bpaf;
use quinn::Connection;
use quinn::Endpoint;

use siskinbend_standins::keys;
use siskinbend_types::Digest;
use siskinbend_types::Incarnation;
use siskinbend_types::RequestId;
use siskinbend_types::Version;
use siskinbend_types::Window;
use siskinbend_wire::Credentials;
use siskinbend_wire::DocumentVersion;
use siskinbend_wire::Load;
use siskinbend_wire::Message;
use siskinbend_wire::Receiver;
use siskinbend_wire::Sender;
use siskinbend_wire::Status;
use siskinbend_wire::transport;

use crate::fit::fit;

/// Bytes of the IP and UDP headers of a datagram.
const HEADER_BYTES: u64 = 28;

/// Time over which idle connections are watched.
const IDLE: Duration = Duration::from_secs(12);

/// Id of frames that belong to no request.
const NO_REQUEST: RequestId = RequestId(0);

/// Options of the experiment.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(options))]
pub struct Options {
    /// Names the run; nothing in it is drawn at random
    #[bpaf(argument("N"))]
    pub seed: u64,
}

/// Runs the experiment and returns one line for each item.
///
/// # Errors
///
/// Returns a sentence if keys, sockets or the runtime can't be set up.
pub fn run(options: &Options) -> Result<Vec<String>, String> {
    let folder = std::env::temp_dir().join(format!(
        "siskinbend-links-{}-{}",
        options.seed,
        std::process::id()
    ));
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let lines = runtime.block_on(measure(&folder));
    // The folder holds keys of this run only; what can't be removed is of no use to anyone.
    let _ = std::fs::remove_dir_all(&folder);
    lines
}

async fn measure(folder: &Path) -> Result<Vec<String>, String> {
    let names = keys::Options {
        out: folder.to_owned(),
        name: vec!["peer".to_owned()],
    };
    keys::write(&names).map_err(|e| e.to_string())?;
    let file = |name: &str| folder.join(name);
    let keys = Credentials::load(&file("ca.pem"), &file("peer.pem"), &file("peer.key"));
    let keys = keys.map_err(|e| e.to_string())?;
    let local = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let server = transport::bind_server(local, &keys, 0).map_err(|e| e.to_string())?;
    let address = server.local_addr().map_err(|e| e.to_string())?;
    tokio::spawn(serve(server));
    let client = transport::bind_client(local, &keys).map_err(|e| e.to_string())?;
    let mut lines = vec![measure_handshake(&client, address).await?];
    lines.extend(measure_exchanges(&client, address).await?);
    lines.extend(measure_idle(&client, address, &keys).await?);
    Ok(lines)
}

fn build_status() -> Status {
    Status {
        incarnation: Incarnation(u64::MAX),
        window: Window(10_000),
        draining: false,
        entries: 48,
        load: Load {
            running: 8,
            queued: 12,
            slots: 16,
            hold_ms: 900,
            idle_ms: 30,
        },
        newest: Some(DocumentVersion {
            version: Version(420),
            digest: Digest([7; 32]),
        }),
    }
}

/// Answers probes and beacons.
async fn serve(server: Endpoint) {
    while let Some(incoming) = server.accept().await {
        let Ok(connection) = incoming.await else {
            continue;
        };
        tokio::spawn(async move {
            while let Ok((send, receive)) = connection.accept_bi().await {
                let question = Receiver::new(Some(NO_REQUEST), receive).receive().await;
                let answer = match question {
                    Ok(Message::Probe) => Message::Report(build_status()),
                    Ok(Message::Beacon(newest)) => Message::Beacon(newest),
                    _ => continue,
                };
                let mut sender = Sender::new(NO_REQUEST, send);
                if sender.send(&[answer]).await.is_ok() {
                    sender.finish().await;
                }
            }
        });
    }
}

async fn connect(client: &Endpoint, to: SocketAddr) -> Result<Connection, String> {
    transport::connect(client, to)
        .await
        .map_err(|e| e.to_string())
}

/// Bytes of a connection on the wire so far, in both directions, with IP and UDP headers.
fn count_bytes(connection: &Connection) -> u64 {
    let stats = connection.stats();
    let datagrams = stats.udp_tx.datagrams + stats.udp_rx.datagrams;
    stats.udp_tx.bytes + stats.udp_rx.bytes + HEADER_BYTES * datagrams
}

async fn measure_handshake(client: &Endpoint, to: SocketAddr) -> Result<String, String> {
    let connection = connect(client, to).await?;
    tokio::time::sleep(Duration::from_millis(200)).await;
    Ok(format!(
        "item=handshake wire_bytes={}",
        count_bytes(&connection)
    ))
}

async fn ask(connection: &Connection, question: &Message) -> Result<(), String> {
    let (send, receive) = connection.open_bi().await.map_err(|e| e.to_string())?;
    let mut sender = Sender::new(NO_REQUEST, send);
    sender
        .send(std::slice::from_ref(question))
        .await
        .map_err(|e| e.to_string())?;
    let mut receiver = Receiver::new(Some(NO_REQUEST), receive);
    receiver.receive().await.map_err(|e| e.to_string())?;
    sender.finish().await;
    Ok(())
}

async fn measure_exchanges(client: &Endpoint, to: SocketAddr) -> Result<Vec<String>, String> {
    let mut lines = Vec::new();
    let beacon = Message::Beacon(build_status().newest);
    for (name, question) in [("probe", Message::Probe), ("beacon", beacon)] {
        let mut points = Vec::new();
        for (size, count) in [(50.0, 50), (100.0, 100), (200.0, 200)] {
            let connection = connect(client, to).await?;
            tokio::time::sleep(Duration::from_millis(200)).await;
            let before = count_bytes(&connection);
            for _ in 0..count {
                ask(&connection, &question).await?;
                // Spaced like in operation, where acknowledgements find no packet to ride on.
                tokio::time::sleep(Duration::from_millis(30)).await;
            }
            #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
            let bytes = (count_bytes(&connection) - before) as f64;
            lines.push(format!("item={name} exchanges={count} wire_bytes={bytes}"));
            points.push((size, bytes));
        }
        let line = fit(&points);
        lines.push(format!(
            "item={name} fit_bytes_per_exchange={:.1} fit_quality={:.4}",
            line.slope, line.quality
        ));
    }
    Ok(lines)
}

async fn measure_idle(
    client: &Endpoint,
    to: SocketAddr,
    keys: &Credentials,
) -> Result<Vec<String>, String> {
    let mut lines = Vec::new();
    for peers in [8, 24, 96] {
        let mut client = client.clone();
        client.set_default_client_config(keys.client_config(peers).map_err(|e| e.to_string())?);
        let mut connections = Vec::new();
        for _ in 0..peers {
            connections.push(connect(&client, to).await?);
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
        let before: u64 = connections.iter().map(count_bytes).sum();
        tokio::time::sleep(IDLE).await;
        let after: u64 = connections.iter().map(count_bytes).sum();
        lines.push(format!(
            "item=keep_alive connections={peers} interval_ms={} wire_bytes_per_s={}",
            transport::keep_alive_interval(peers).as_millis(),
            (after - before) / IDLE.as_secs()
        ));
    }
    Ok(lines)
}
