//! Listeners of a gateway: callers, readiness and metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header::CONNECTION;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep;

use super::Gateway;
use super::StartError;
use super::response::Body;
use super::response::full_body;
use super::serve::serve;
use crate::listener;
use crate::listener::ACCEPT_RETRY_DELAY;

/// Time for which new connections are still taken after the process stopped being ready, so that
/// the platform's balancer notices first.
const READY_GRACE: Duration = Duration::from_millis(2_300);
/// Idle time beyond the operators' limit after which a caller's connection is closed. A caller may
/// use a connection up to the limit, and a close must not cross a request.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Interval at which a draining process looks for open connections.
const DRAIN_TICK: Duration = Duration::from_millis(50);
/// Least size of a connection's buffer in bytes that the library allows.
const LEAST_BUFFER: usize = 8 << 10;

/// Opens a listening socket.
pub(super) async fn bind(
    name: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Bind(name, error))
}

/// Takes callers' connections until the process was asked to stop and all of them have ended, at
/// most `limit` after it was asked.
pub(super) async fn serve_callers(gateway: &Arc<Gateway>, listener: TcpListener, limit: Duration) {
    let open = Arc::new(AtomicUsize::new(0));
    let stop = gateway.shutdown.clone();
    let closing = async {
        stop.wait().await;
        sleep(READY_GRACE).await;
    };
    tokio::pin!(closing);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut closing => break,
        };
        match accepted {
            Ok((stream, _)) => serve_caller(gateway, stream, &open),
            Err(error) => {
                log::warn!(error:% = error; "accept_failed");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    let end = Instant::now() + limit.saturating_sub(READY_GRACE);
    while open.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        sleep(DRAIN_TICK).await;
    }
    let left = open.load(Ordering::Relaxed);
    if left > 0 {
        log::warn!(connections = left; "drain_time_exceeded");
    }
}

fn serve_caller(gateway: &Arc<Gateway>, stream: TcpStream, open: &Arc<AtomicUsize>) {
    let gateway = Arc::clone(gateway);
    let open = Arc::clone(open);
    open.fetch_add(1, Ordering::Relaxed);
    tokio::spawn(async move {
        run_connection(&gateway, stream).await;
        open.fetch_sub(1, Ordering::Relaxed);
    });
}

async fn run_connection(gateway: &Arc<Gateway>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(error:% = error; "socket_options_refused");
    }
    let limits = gateway.config().map(|c| c.limits).unwrap_or_default();
    let shared = Arc::clone(gateway);
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = Arc::clone(&shared);
        async move {
            let stopping = gateway.shutdown.clone();
            let mut response = serve(gateway, request).await;
            if stopping.is_draining() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_MARGIN)
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let stop = gateway.shutdown.clone();
    let closing = async {
        stop.wait().await;
        sleep(READY_GRACE).await;
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error:% = error; "caller_connection_ended");
    }
}

/// Answers the platform's readiness checks.
pub(super) async fn serve_readiness(
    gateway: &Arc<Gateway>,
    address: SocketAddr,
) -> Result<(), StartError> {
    let gateway = Arc::clone(gateway);
    serve_pages("readiness", address, move || match gateway.is_ready() {
        true => (StatusCode::OK, "ready\n".to_owned()),
        false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
    })
    .await
}

/// Serves the metrics.
pub(super) async fn serve_metrics(
    gateway: &Arc<Gateway>,
    address: SocketAddr,
) -> Result<(), StartError> {
    let gateway = Arc::clone(gateway);
    serve_pages("metrics", address, move || match gateway.show_metrics() {
        Ok(text) => (StatusCode::OK, text),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    })
    .await
}

async fn serve_pages<Page>(
    name: &'static str,
    address: SocketAddr,
    page: Page,
) -> Result<(), StartError>
where
    Page: Fn() -> (StatusCode, String) + Send + Sync + 'static,
{
    let listener = bind(name, address).await?;
    let page = Arc::new(page);
    let calls = service_fn(move |_: Request<Incoming>| {
        let (status, text) = page();
        let mut response: Response<Body> = Response::new(full_body(text.into()));
        *response.status_mut() = status;
        async move { Ok::<_, Infallible>(response) }
    });
    tokio::spawn(listener::serve(name, listener, calls));
    Ok(())
}
