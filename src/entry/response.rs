//! Channel that carries a response from the driver of a request to the HTTP server.

use axum::body::Body;
use axum::body::Bytes;
use displaydoc::Display;
use futures::Stream;
use futures::stream;
use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::oneshot;

use siskinbend_types::Reason;
use siskinbend_types::RequestId;
use siskinbend_wire::Head;

use crate::limits;

/// Header with the request ID, set on every response.
pub(super) const REQUEST_HEADER: HeaderName = HeaderName::from_static("siskinbend-request");

/// Reason why a response body ends early. The HTTP server then aborts the connection or stream.
#[derive(Debug, Display)]
pub(super) enum BodyError {
    /// response body aborted: {0}
    Aborted(Reason),
    /// response body aborted: its driver stopped
    DriverDropped,
}

impl std::error::Error for BodyError {}

/// Part of a response body. A body without an explicit end is incomplete.
enum BodyPart {
    Data(Bytes),
    End,
}

/// Sends the response of one request to the waiting caller.
pub(super) struct ResponseSender {
    id: RequestId,
    head: Option<oneshot::Sender<Response<Body>>>,
    body: Option<mpsc::Sender<Result<BodyPart, BodyError>>>,
}

impl ResponseSender {
    /// Creates the sender for the driver and the receiver for the HTTP server.
    pub(super) fn channel(id: RequestId) -> (Self, oneshot::Receiver<Response<Body>>) {
        let (sender, receiver) = oneshot::channel();
        (
            Self {
                id,
                head: Some(sender),
                body: None,
            },
            receiver,
        )
    }

    /// Sends a response with its complete body.
    pub(super) fn send_complete(&mut self, mut response: Response<Body>) {
        let id = HeaderValue::from_str(&self.id.to_string());
        if let Ok(id) = id {
            response.headers_mut().insert(REQUEST_HEADER, id);
        }
        if let Some(head) = self.head.take() {
            // Fails only if the caller has disconnected.
            let _ = head.send(response);
        }
    }

    /// Sends the status and headers of a response whose body follows in chunks.
    pub(super) fn send_head(&mut self, head: &Head) {
        let (sender, receiver) = mpsc::channel(limits::MAX_BUFFERED_CHUNKS);
        self.body = Some(sender);
        let mut response = Response::new(Body::from_stream(into_body_stream(receiver)));
        *response.status_mut() =
            StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
        if let Ok(value) = HeaderValue::from_str(&head.content_type)
            && !head.content_type.is_empty()
        {
            response.headers_mut().insert(CONTENT_TYPE, value);
        }
        self.send_complete(response);
    }

    /// Sends a chunk of the body; waits while the buffer is full.
    pub(super) async fn send_chunk(&mut self, bytes: Bytes) {
        if let Some(body) = &self.body {
            // `wait_disconnect` detects a caller that has disconnected.
            let _ = body.send(Ok(BodyPart::Data(bytes))).await;
        }
    }

    /// Sends a chunk of the body, or returns it if the buffer is full.
    pub(super) fn try_send_chunk(&mut self, bytes: Bytes) -> Result<(), Bytes> {
        let Some(body) = &self.body else {
            return Ok(());
        };
        match body.try_send(Ok(BodyPart::Data(bytes))) {
            Err(TrySendError::Full(Ok(BodyPart::Data(bytes)))) => Err(bytes),
            // `wait_disconnect` detects a caller that has disconnected.
            _ => Ok(()),
        }
    }

    /// Completes the body.
    pub(super) async fn send_end(&mut self) {
        if let Some(body) = self.body.take() {
            // Fails only if the caller has disconnected.
            let _ = body.send(Ok(BodyPart::End)).await;
        }
    }

    /// Aborts the body with an error, so that the caller can detect that it is truncated.
    pub(super) fn abort(&mut self, reason: Reason) {
        if let Some(body) = self.body.take() {
            // If the buffer is full, dropping the sender ends the body with an error as well.
            let _ = body.try_send(Err(BodyError::Aborted(reason)));
        }
    }

    /// Returns whether the status and headers were sent.
    pub(super) fn has_started(&self) -> bool {
        self.head.is_none()
    }

    /// Waits until the caller has disconnected.
    pub(super) async fn wait_disconnect(&mut self) {
        match (&mut self.head, &self.body) {
            (Some(head), _) => head.closed().await,
            (None, Some(body)) => body.closed().await,
            (None, None) => std::future::pending().await,
        }
    }
}

/// Converts the parts to a body stream, which ends with an error if the explicit end is missing.
fn into_body_stream(
    receiver: mpsc::Receiver<Result<BodyPart, BodyError>>,
) -> impl Stream<Item = Result<Bytes, BodyError>> {
    stream::unfold(Some(receiver), |receiver| async {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(Ok(BodyPart::Data(bytes))) => Some((Ok(bytes), Some(receiver))),
            Some(Ok(BodyPart::End)) => None,
            Some(Err(error)) => Some((Err(error), None)),
            None => Some((Err(BodyError::DriverDropped), None)),
        }
    })
}
