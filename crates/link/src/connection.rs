//! One HTTP/1.1 connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time without an acknowledgement after which the kernel gives a connection up. Without it, a
/// connection to a VM that lost power hangs for many minutes.
const USER_TIMEOUT: Duration = Duration::from_secs(4);
/// Read buffer of a connection in bytes; most answers fit, and there are many connections.
const READ_BUFFER: usize = 16 << 10;

/// Why a request got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum ConnectionError {
    /// no connection could be opened
    Connect,
    /// the connection closed before the request was sent
    NotSent,
    /// the connection failed after the request may have been sent
    Broken,
    /// the answer did not come in time
    Timeout,
    /// the answer is longer than allowed
    BodyTooLong,
}

impl std::error::Error for ConnectionError {}

/// How a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseMode {
    /// What was sent still arrives.
    Graceful,
    /// What has not arrived yet never does: the connection is reset. A request whose caller left
    /// must not reach a backend server that was cut off for a while.
    Reset,
}

/// One HTTP/1.1 connection; dropping it closes the connection.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::Connect`] if there is none within `limit`.
    pub async fn open(
        address: SocketAddr,
        limit: Duration,
        close: CloseMode,
    ) -> Result<Connection, ConnectionError> {
        let connected = timeout(limit, TcpStream::connect(address)).await;
        let stream = match connected {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                log::debug!(peer:% = address, error:% = error; "connect_failed");
                return Err(ConnectionError::Connect);
            }
            Err(_) => {
                log::debug!(peer:% = address; "connect_timed_out");
                return Err(ConnectionError::Connect);
            }
        };
        tune(&stream, close);
        let shaken = http1::Builder::new()
            .max_buf_size(READ_BUFFER.max(64 << 10))
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = shaken.map_err(|_| ConnectionError::Connect)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(peer:% = address, error:% = error; "link_ended");
            }
        });
        Ok(Connection { sender })
    }

    /// Sends a request and waits for the head of the answer. The link serves the next request once
    /// the body of the answer was read to its end.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::NotSent`] if nothing of the request was sent, else [`ConnectionError::Broken`].
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        if self.sender.ready().await.is_err() {
            return Err(ConnectionError::NotSent);
        }
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut failed) => {
                log::debug!(error:% = failed.error(); "answer_failed");
                match failed.take_message() {
                    Some(_) => Err(ConnectionError::NotSent),
                    None => Err(ConnectionError::Broken),
                }
            }
        }
    }

    /// Whether the connection can take a request.
    pub fn is_open(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}

/// Reads a whole body of at most `most` bytes.
///
/// # Errors
///
/// [`ConnectionError::BodyTooLong`] or [`ConnectionError::Broken`].
pub async fn read_body(body: Incoming, most: usize) -> Result<Bytes, ConnectionError> {
    match Limited::new(body, most).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(ConnectionError::BodyTooLong)
        }
        Err(_) => Err(ConnectionError::Broken),
    }
}

fn tune(stream: &TcpStream, close: CloseMode) {
    let socket = SockRef::from(stream);
    let linger = match close {
        CloseMode::Graceful => Ok(()),
        CloseMode::Reset => socket.set_linger(Some(Duration::ZERO)),
    };
    let tuned = linger
        .and_then(|()| stream.set_nodelay(true))
        .and_then(|()| socket.set_tcp_user_timeout(Some(USER_TIMEOUT)));
    if let Err(error) = tuned {
        log::debug!(error:% = error; "socket_options_refused");
    }
}
