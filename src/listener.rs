//! HTTP/1.1 server for the pages of a process and for messages between processes.

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

/// Delay after a failure to accept a connection, for example when no file descriptor is free.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Serves all connections of a listener until the process ends; `name` identifies it in the log.
pub(crate) async fn serve<Handler, ResponseBody>(
    name: &'static str,
    listener: TcpListener,
    handler: Handler,
) where
    Handler: Service<Request<Incoming>, Response = Response<ResponseBody>, Error = Infallible>,
    Handler: Clone + Send + 'static,
    Handler::Future: Send,
    ResponseBody: Body + Send + 'static,
    ResponseBody::Data: Send,
    ResponseBody::Error: std::error::Error + Send + Sync + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(name, stream, handler.clone()));
            }
            Err(error) => {
                log::warn!(listener = name, error:% = error; "accept_failed");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection<Handler, ResponseBody>(
    name: &'static str,
    stream: TcpStream,
    handler: Handler,
) where
    Handler: Service<Request<Incoming>, Response = Response<ResponseBody>, Error = Infallible>,
    ResponseBody: Body + 'static,
    ResponseBody::Error: std::error::Error + Send + Sync + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(listener = name, error:% = error; "socket_options_refused");
    }
    let result = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), handler)
        .await;
    if let Err(error) = result {
        log::debug!(listener = name, error:% = error; "connection_ended");
    }
}
