//! HTTP/1.1 server shared by the stand-ins.

use std::convert::Infallible;
use std::error::Error;
use std::fmt;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener as BlockingListener;
use std::net::UdpSocket;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::response::IntoResponse;
use axum::response::Response;
use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;

/// Delay before the next accept after one has failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Error of a subcommand, printed to the terminal.
pub type BoxError = Box<dyn Error + Send + Sync>;

/// Fault injection: marks a response that must never reach the caller. The server closes the
/// connection instead of sending it.
#[derive(Debug, Clone, Copy)]
pub struct DroppedResponse;

impl IntoResponse for DroppedResponse {
    fn into_response(self) -> Response {
        let mut response = Response::new(Body::empty());
        response.extensions_mut().insert(self);
        response
    }
}

impl fmt::Display for DroppedResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("response dropped by fault injection")
    }
}

impl Error for DroppedResponse {}

/// Serves `router` on `listen` until SIGTERM or SIGINT; the first line on standard output is
/// `listening=ADDR`.
///
/// # Errors
/// The address cannot be bound.
pub async fn run(listen: SocketAddr, router: Router) -> Result<bool, BoxError> {
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let listener = TcpListener::bind(listen).await?;
    println!("listening={}", listener.local_addr()?);
    tokio::select! {
        never = serve(listener, router) => match never {},
        _ = term.recv() => Ok(true),
        _ = interrupt.recv() => Ok(true),
    }
}

/// Serves `router` on a free port of 127.0.0.1 in the background.
///
/// # Errors
/// No port can be bound.
pub async fn spawn(router: Router) -> io::Result<SocketAddr> {
    spawn_at((Ipv4Addr::LOCALHOST, 0).into(), router).await
}

/// Serves `router` on `address` in the background.
///
/// # Errors
/// The address cannot be bound.
pub async fn spawn_at(address: SocketAddr, router: Router) -> io::Result<SocketAddr> {
    let (address, _) = spawn_abortable(address, router).await?;
    Ok(address)
}

/// Serves `router` on `address` in the background. Aborting the task closes the listener and all
/// connections, as a crash of the process would.
///
/// # Errors
/// The address cannot be bound.
pub async fn spawn_abortable(
    address: SocketAddr,
    router: Router,
) -> io::Result<(SocketAddr, AbortHandle)> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let task = tokio::spawn(serve(listener, router));
    Ok((address, task.abort_handle()))
}

/// Accepts connections forever.
async fn serve(listener: TcpListener, router: Router) -> Infallible {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((socket, _)) = listener.accept().await else {
            // Accept fails when no file descriptors are left. The delay avoids a busy loop until
            // some are closed.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Without TCP_NODELAY, the small events of a stream wait for acknowledgements.
        let _ = socket.set_nodelay(true);
        let inner = TowerToHyperService::new(router.clone());
        let service = service_fn(move |request: Request<Incoming>| {
            let response = inner.call(request);
            async move {
                let response = response.await.unwrap_or_else(|never| match never {});
                match response.extensions().get::<DroppedResponse>() {
                    Some(dropped) => Err(*dropped),
                    None => Ok(response),
                }
            }
        });
        connections.spawn(async move {
            // An error only means that the peer or an injected fault has closed the connection.
            let _ = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(socket), service)
                .await;
        });
    }
}

/// Finds `count` ports of 127.0.0.1 that are free for both TCP and UDP.
///
/// # Errors
/// Too few ports are free.
pub fn free_ports(count: usize) -> Result<Vec<u16>, BoxError> {
    let mut sockets = Vec::new();
    // All sockets stay open until the function returns, so that no port is found twice.
    for _ in 0..count.saturating_mul(4) {
        if sockets.len() == count {
            break;
        }
        let tcp = BlockingListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        if let Ok(udp) = UdpSocket::bind(tcp.local_addr()?) {
            sockets.push((tcp, udp));
        }
    }
    if sockets.len() < count {
        return Err(format!("only {} of {count} ports are free", sockets.len()).into());
    }
    let read_port = |(tcp, _): &(BlockingListener, UdpSocket)| Ok(tcp.local_addr()?.port());
    sockets.iter().map(read_port).collect()
}

/// Prints `count` free ports, one per line.
///
/// # Errors
/// Too few ports are free.
pub fn print_ports(count: usize) -> Result<bool, BoxError> {
    for port in free_ports(count)? {
        println!("{port}");
    }
    Ok(true)
}
