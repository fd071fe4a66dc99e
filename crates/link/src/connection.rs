//! One HTTP/1.1 connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Time without an acknowledgement after which the kernel closes a connection. Without it, a
/// connection to a VM that lost power hangs for many minutes.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);
/// Read buffer of a connection in bytes. Most answers fit, and there are many connections.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Why a request received no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum ConnectionError {
    /// the connection could not be opened
    Connect,
    /// the connection closed before the request was sent
    NotSent,
    /// the connection failed after the request may have been sent
    Broken,
    /// the answer did not arrive before the timeout
    Timeout,
    /// the answer exceeds the allowed length
    BodyTooLong,
    /// too many long answers are being read at the same time
    NoBodyMemory,
}

impl std::error::Error for ConnectionError {}

/// How a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseMode {
    /// Sent data is still delivered.
    Graceful,
    /// The connection is reset and undelivered data is discarded. After a network partition, a
    /// request whose caller has disconnected must not reach the backend server.
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
    /// [`ConnectionError::Connect`] if it can't be opened within `connect_timeout`.
    pub async fn open(
        address: SocketAddr,
        connect_timeout: Duration,
        close_mode: CloseMode,
    ) -> Result<Connection, ConnectionError> {
        let connected = timeout(connect_timeout, TcpStream::connect(address)).await;
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
        set_options(&stream, close_mode);
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES.max(64 << 10))
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|_| ConnectionError::Connect)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(peer:% = address, error:% = error; "link_ended");
            }
        });
        Ok(Connection { sender })
    }

    /// Sends a request and waits for the head of the answer. The connection accepts the next
    /// request after the body of the answer was read to its end.
    ///
    /// # Errors
    ///
    /// [`ConnectionError::NotSent`] if no part of the request was sent, otherwise
    /// [`ConnectionError::Broken`].
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

    /// Whether the connection can accept a request.
    pub fn is_open(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }
}

fn set_options(stream: &TcpStream, close_mode: CloseMode) {
    let socket = SockRef::from(stream);
    let linger = match close_mode {
        CloseMode::Graceful => Ok(()),
        CloseMode::Reset => socket.set_linger(Some(Duration::ZERO)),
    };
    let result = linger
        .and_then(|()| stream.set_nodelay(true))
        .and_then(|()| socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT)));
    if let Err(error) = result {
        log::debug!(error:% = error; "socket_options_refused");
    }
}
