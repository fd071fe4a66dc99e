//! Serves short HTTP/1.1 calls: pages of a process and messages between processes.

use std::convert::Infallible;
use std::time::Duration;

use http::Request;
use http::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

/// Pause after a connection could not be accepted, for example for want of descriptors.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves all connections of a listener until the process ends; `name` is for the log.
pub(crate) async fn serve<Calls, Content>(name: &'static str, listener: TcpListener, calls: Calls)
where
    Calls: Service<Request<Incoming>, Response = Response<Content>, Error = Infallible>,
    Calls: Clone + Send + 'static,
    Calls::Future: Send,
    Content: Body + Send + 'static,
    Content::Data: Send,
    Content::Error: std::error::Error + Send + Sync + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(name, stream, calls.clone()));
            }
            Err(error) => {
                log::warn!(listener = name, error:% = error; "accept_failed");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<Calls, Content>(name: &'static str, stream: TcpStream, calls: Calls)
where
    Calls: Service<Request<Incoming>, Response = Response<Content>, Error = Infallible>,
    Content: Body + 'static,
    Content::Error: std::error::Error + Send + Sync + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(listener = name, error:% = error; "socket_options_refused");
    }
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), calls)
        .await;
    if let Err(error) = served {
        log::debug!(listener = name, error:% = error; "connection_ended");
    }
}
