//! HTTP/1.1 and HTTP/2 server for callers.

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
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// A running server.
pub(super) struct Server {
    pub(super) address: SocketAddr,
    entry: Arc<Entry>,
    accept_task: JoinHandle<GracefulShutdown>,
    stop: tokio::sync::oneshot::Sender<()>,
}

impl Server {
    /// Stops accepting connections and waits up to `timeout` for the requests in flight.
    pub(super) async fn drain(self, timeout: Duration) {
        // Can't fail: the accept task ends only on this signal.
        let _ = self.stop.send(());
        let Ok(connections) = self.accept_task.await else {
            return;
        };
        self.entry.requests.close();
        let drained = async {
            connections.shutdown().await;
            self.entry.requests.wait().await;
        };
        if tokio::time::timeout(timeout, drained).await.is_err() {
            log::warn!(left = self.entry.requests.len(); "drain_time_exceeded");
        }
    }
}

/// Binds the address and starts to serve callers.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub(super) async fn start(entry: Arc<Entry>, address: SocketAddr) -> std::io::Result<Server> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stop_signal) = tokio::sync::oneshot::channel();
    let accept_task = tokio::spawn(accept(Arc::clone(&entry), listener, stop_signal));
    Ok(Server {
        address,
        entry,
        accept_task,
        stop,
    })
}

async fn accept(
    entry: Arc<Entry>,
    listener: TcpListener,
    mut stop_signal: tokio::sync::oneshot::Receiver<()>,
) -> GracefulShutdown {
    let graceful = GracefulShutdown::new();
    let builder = Arc::new(build_server());
    let permits = Arc::new(Semaphore::new(limits::MAX_CALLER_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = accept_one(&listener, &permits) => accepted,
            _ = &mut stop_signal => return graceful,
        };
        let (socket, permit) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                // For example, the file descriptors are exhausted; the delay lets connections end.
                log::warn!(error:% = error; "accept_failed");
                tokio::time::sleep(limits::MIN_RECONNECT_DELAY).await;
                continue;
            }
        };
        let connection = serve(
            Arc::clone(&entry),
            Arc::clone(&builder),
            graceful.watcher(),
            socket,
        );
        tokio::spawn(async move {
            connection.await;
            drop(permit);
        });
    }
}

async fn serve(
    entry: Arc<Entry>,
    builder: Arc<Builder<TokioExecutor>>,
    watcher: Watcher,
    socket: TcpStream,
) {
    match tokio::time::timeout(limits::HEAD_TIMEOUT, wait_protocol(&socket)).await {
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

/// Waits until enough bytes have arrived to tell HTTP/1.1 from HTTP/2.
///
/// The HTTP server reads these bytes without a timeout, so a caller that sends fewer would keep its
/// connection permit forever.
async fn wait_protocol(socket: &TcpStream) -> std::io::Result<()> {
    let mut start = [0; HTTP2_PREFACE.len()];
    loop {
        let length = socket.peek(&mut start).await?;
        if length == 0
            || length == HTTP2_PREFACE.len()
            || !HTTP2_PREFACE.starts_with(&start[..length])
        {
            return Ok(());
        }
        // `peek` leaves the bytes in the socket, which would therefore be readable again at once.
        tokio::time::sleep(limits::VERSION_POLL_INTERVAL).await;
    }
}

async fn accept_one(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> std::io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits)
        .acquire_owned()
        .await
        .map_err(std::io::Error::other)?;
    let (socket, _) = listener.accept().await?;
    socket.set_nodelay(true)?;
    Ok((socket, permit))
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
