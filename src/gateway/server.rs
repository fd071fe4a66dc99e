//! Listeners of a gateway for callers, readiness checks and metrics.

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
use http::header::CONTENT_TYPE;
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
use super::handler::handle;
use super::response::Body;
use super::response::full_body;
use super::status::read_status;
use crate::listener;
use crate::listener::ACCEPT_RETRY_DELAY;

/// Time for which new connections are still accepted after the process stopped being ready, so that
/// the platform's load balancer stops sending connections first.
pub(super) const UNREADY_GRACE: Duration = Duration::from_millis(2_300);
/// Margin added to the operators' idle timeout before a caller's connection is closed. Callers may
/// reuse a connection until the timeout, and closing it must not race with a new request.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Interval at which a draining process checks for open connections.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum size of a connection's buffer that hyper allows.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Path of the status page on the metrics listener.
const STATUS_PATH: &str = "/admin/status";
const TEXT: &str = "text/plain; charset=utf-8";
const JSON: &str = "application/json";

/// Content of a page.
struct Page {
    status: StatusCode,
    kind: &'static str,
    text: String,
}

impl Page {
    fn new<Failure>(kind: &'static str, content: Result<String, Failure>) -> Page
    where
        Failure: std::fmt::Display,
    {
        match content {
            Ok(text) => Page {
                status: StatusCode::OK,
                kind,
                text,
            },
            Err(error) => Page {
                status: StatusCode::INTERNAL_SERVER_ERROR,
                kind: TEXT,
                text: error.to_string(),
            },
        }
    }
}

/// Binds a listening socket.
pub(super) async fn bind(
    name: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|error| StartError::Bind(name, error))
}

/// Serves callers' connections until the process is asked to stop and all of them have ended, at
/// most `drain_timeout` later.
pub(super) async fn serve_callers(
    gateway: &Arc<Gateway>,
    listener: TcpListener,
    drain_timeout: Duration,
) {
    let open = Arc::new(AtomicUsize::new(0));
    let shutdown = gateway.shutdown.clone();
    let stopped_accepting = async {
        shutdown.wait().await;
        sleep(UNREADY_GRACE).await;
    };
    tokio::pin!(stopped_accepting);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stopped_accepting => break,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(gateway, stream, &open),
            Err(error) => {
                log::warn!(error:% = error; "accept_failed");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    let deadline = Instant::now() + drain_timeout.saturating_sub(UNREADY_GRACE);
    while open.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        sleep(DRAIN_INTERVAL).await;
    }
    let remaining = open.load(Ordering::Relaxed);
    if remaining > 0 {
        log::warn!(connections = remaining; "drain_time_exceeded");
    }
}

fn spawn_connection(gateway: &Arc<Gateway>, stream: TcpStream, open: &Arc<AtomicUsize>) {
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
            let shutdown = gateway.shutdown.clone();
            let mut response = handle(gateway, request).await;
            if shutdown.is_draining() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout + IDLE_MARGIN)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let shutdown = gateway.shutdown.clone();
    let stopped_accepting = async {
        shutdown.wait().await;
        sleep(UNREADY_GRACE).await;
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stopped_accepting => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!(error:% = error; "caller_connection_ended");
    }
}

/// Serves the platform's readiness checks.
pub(super) async fn serve_readiness(
    gateway: &Arc<Gateway>,
    address: SocketAddr,
) -> Result<(), StartError> {
    let gateway = Arc::clone(gateway);
    serve_pages("readiness", address, move |_| {
        let (status, text) = match gateway.is_ready() {
            true => (StatusCode::OK, "ready\n"),
            false => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        };
        Page {
            status,
            kind: TEXT,
            text: text.to_owned(),
        }
    })
    .await
}

/// Serves the status page, and the metrics at all other paths.
pub(super) async fn serve_metrics(
    gateway: &Arc<Gateway>,
    address: SocketAddr,
) -> Result<(), StartError> {
    let gateway = Arc::clone(gateway);
    serve_pages("metrics", address, move |path| match path {
        STATUS_PATH => Page::new(JSON, serde_json::to_string(&read_status(&gateway))),
        _ => Page::new(TEXT, gateway.render_metrics()),
    })
    .await
}

/// Serves the pages that `render` returns for each path.
async fn serve_pages<Render>(
    name: &'static str,
    address: SocketAddr,
    render: Render,
) -> Result<(), StartError>
where
    Render: Fn(&str) -> Page + Send + Sync + 'static,
{
    let listener = bind(name, address).await?;
    let render = Arc::new(render);
    let service = service_fn(move |request: Request<Incoming>| {
        let page = render(request.uri().path());
        let mut response: Response<Body> = Response::new(full_body(page.text.into()));
        *response.status_mut() = page.status;
        let kind = HeaderValue::from_static(page.kind);
        response.headers_mut().insert(CONTENT_TYPE, kind);
        async move { Ok::<_, Infallible>(response) }
    });
    tokio::spawn(listener::serve(name, listener, service));
    Ok(())
}
