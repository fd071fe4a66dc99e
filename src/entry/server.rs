//! HTTP server for callers, over HTTP/1.1 and HTTP/2.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use hyper_util::server::graceful::Watcher;
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;

use super::Entry;
use super::http;
use crate::limits;

/// First bytes of an HTTP/2 connection (RFC 9113, section 3.4).
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// A running server.
pub(super) struct Serving {
    pub(super) address: SocketAddr,
    entry: Arc<Entry>,
    accepting: JoinHandle<GracefulShutdown>,
    stop: tokio::sync::oneshot::Sender<()>,
}

impl Serving {
    /// Stops accepting connections and waits until the requests in flight are answered.
    pub(super) async fn drain(self, limit: Duration) {
        // The accept loop ends only on this signal.
        let _ = self.stop.send(());
        let Ok(connections) = self.accepting.await else {
            return;
        };
        self.entry.requests.close();
        let finish = async {
            connections.shutdown().await;
            self.entry.requests.wait().await;
        };
        if tokio::time::timeout(limit, finish).await.is_err() {
            log::warn!(left = self.entry.requests.len(); "drain_time_exceeded");
        }
    }
}

/// Binds the address and serves callers.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub(super) async fn start(entry: Arc<Entry>, address: SocketAddr) -> std::io::Result<Serving> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = tokio::sync::oneshot::channel();
    let accepting = tokio::spawn(accept(Arc::clone(&entry), listener, stopped));
    Ok(Serving {
        address,
        entry,
        accepting,
        stop,
    })
}

async fn accept(
    entry: Arc<Entry>,
    listener: TcpListener,
    mut stopped: tokio::sync::oneshot::Receiver<()>,
) -> GracefulShutdown {
    let graceful = GracefulShutdown::new();
    let builder = Arc::new(build_server());
    let places = Arc::new(Semaphore::new(limits::MAX_CALLER_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = accept_one(&listener, &places) => accepted,
            _ = &mut stopped => return graceful,
        };
        let (socket, place) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                // Out of file descriptors, for example; a pause lets connections end.
                log::warn!(error:% = error; "accept_failed");
                tokio::time::sleep(limits::MIN_RECONNECT_DELAY).await;
                continue;
            }
        };
        let serving = serve(
            Arc::clone(&entry),
            Arc::clone(&builder),
            graceful.watcher(),
            socket,
        );
        tokio::spawn(async move {
            serving.await;
            drop(place);
        });
    }
}

async fn serve(
    entry: Arc<Entry>,
    builder: Arc<Builder<TokioExecutor>>,
    watcher: Watcher,
    socket: TcpStream,
) {
    match tokio::time::timeout(limits::HEAD_TIMEOUT, wait_version(&socket)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => {
            log::debug!(error:% = error; "caller_connection_failed");
            return;
        }
        Err(_) => {
            log::debug!("caller_sent_no_head");
            return;
        }
    }
    let service = TowerToHyperService::new(http::build_router(entry));
    let connection = builder
        .serve_connection(TokioIo::new(socket), service)
        .into_owned();
    if let Err(error) = watcher.watch(connection).await {
        log::debug!(error:% = error; "caller_connection_failed");
    }
}

/// Waits until the first bytes tell the HTTP version.
///
/// The HTTP server reads them without a time limit, so that a caller that sends less would keep
/// its place for ever.
async fn wait_version(socket: &TcpStream) -> std::io::Result<()> {
    let mut start = [0; PREFACE.len()];
    loop {
        let length = socket.peek(&mut start).await?;
        if length == 0 || length == PREFACE.len() || !PREFACE.starts_with(&start[..length]) {
            return Ok(());
        }
        // The bytes stay in the socket, so that it is readable again at once.
        tokio::time::sleep(limits::VERSION_POLL_INTERVAL).await;
    }
}

async fn accept_one(
    listener: &TcpListener,
    places: &Arc<Semaphore>,
) -> std::io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let place = Arc::clone(places)
        .acquire_owned()
        .await
        .map_err(std::io::Error::other)?;
    let (socket, _) = listener.accept().await?;
    socket.set_nodelay(true)?;
    Ok((socket, place))
}

fn build_server() -> Builder<TokioExecutor> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(limits::HEAD_TIMEOUT)
        .max_buf_size(limits::MAX_HEADER_BYTES);
    let head_bytes = u32::try_from(limits::MAX_HEADER_BYTES).unwrap_or(u32::MAX);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(head_bytes)
        .max_concurrent_streams(limits::MAX_CALLER_STREAMS)
        .keep_alive_interval(limits::CALLER_PING_INTERVAL)
        .keep_alive_timeout(limits::HEAD_TIMEOUT);
    builder
}
