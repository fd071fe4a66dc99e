//! Hands the answer of a request from its driver to the HTTP server.

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

/// Header that names the request in every answer.
pub(super) const REQUEST_HEADER: HeaderName = HeaderName::from_static("siskinbend-request");

/// Why the body of an answer ends early; the HTTP server aborts the connection or stream.
#[derive(Debug, Display)]
pub(super) enum CutError {
    /// the answer was cut off: {0}
    Cut(Reason),
    /// the answer was cut off because the entry failed
    Lost,
}

impl std::error::Error for CutError {}

/// A part of the body.
enum Part {
    Data(Bytes),
    End,
}

/// Receives the answer of a request while the caller waits.
pub(super) struct Answer {
    id: RequestId,
    waiting: Option<oneshot::Sender<Response<Body>>>,
    body: Option<mpsc::Sender<Result<Part, CutError>>>,
}

impl Answer {
    /// The driver's side and the caller's side of a new answer.
    pub(super) fn open(id: RequestId) -> (Self, oneshot::Receiver<Response<Body>>) {
        let (sender, receiver) = oneshot::channel();
        (
            Self {
                id,
                waiting: Some(sender),
                body: None,
            },
            receiver,
        )
    }

    /// Sends a whole answer.
    pub(super) fn send_whole(&mut self, mut answer: Response<Body>) {
        let id = HeaderValue::from_str(&self.id.to_string());
        if let Ok(id) = id {
            answer.headers_mut().insert(REQUEST_HEADER, id);
        }
        if let Some(waiting) = self.waiting.take() {
            // The caller may have gone; then nobody is left to tell.
            let _ = waiting.send(answer);
        }
    }

    /// Sends the head of an answer whose body follows.
    pub(super) fn send_head(&mut self, head: &Head) {
        let (sender, receiver) = mpsc::channel(limits::MAX_BUFFERED_CHUNKS);
        self.body = Some(sender);
        let mut answer = Response::new(Body::from_stream(read_parts(receiver)));
        *answer.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
        if let Ok(value) = HeaderValue::from_str(&head.content_type)
            && !head.content_type.is_empty()
        {
            answer.headers_mut().insert(CONTENT_TYPE, value);
        }
        self.send_whole(answer);
    }

    /// Sends a part of the body; waits while the caller reads slowly.
    pub(super) async fn send_chunk(&mut self, bytes: Bytes) {
        if let Some(body) = &self.body {
            // A caller that has gone is noticed by `wait_gone`.
            let _ = body.send(Ok(Part::Data(bytes))).await;
        }
    }

    /// Sends a part of the body if the caller keeps up; gives it back otherwise.
    pub(super) fn try_chunk(&mut self, bytes: Bytes) -> Result<(), Bytes> {
        let Some(body) = &self.body else {
            return Ok(());
        };
        match body.try_send(Ok(Part::Data(bytes))) {
            Err(TrySendError::Full(Ok(Part::Data(bytes)))) => Err(bytes),
            // A caller that has gone is noticed by `wait_gone`.
            _ => Ok(()),
        }
    }

    /// Completes the body.
    pub(super) async fn send_end(&mut self) {
        if let Some(body) = self.body.take() {
            // A caller that has gone needs no end.
            let _ = body.send(Ok(Part::End)).await;
        }
    }

    /// Aborts the body, so that the caller can see that it is not complete.
    pub(super) fn cut(&mut self, reason: Reason) {
        if let Some(body) = self.body.take() {
            // If the caller doesn't keep up, the dropped sender ends the body with an error too.
            let _ = body.try_send(Err(CutError::Cut(reason)));
        }
    }

    /// Tells whether the head was sent.
    pub(super) fn has_begun(&self) -> bool {
        self.waiting.is_none()
    }

    /// Waits until the caller has gone.
    pub(super) async fn wait_gone(&mut self) {
        match (&mut self.waiting, &self.body) {
            (Some(waiting), _) => waiting.closed().await,
            (None, Some(body)) => body.closed().await,
            (None, None) => std::future::pending().await,
        }
    }
}

/// Turns the parts into a body; without an explicit end the body ends with an error.
fn read_parts(
    receiver: mpsc::Receiver<Result<Part, CutError>>,
) -> impl Stream<Item = Result<Bytes, CutError>> {
    stream::unfold(Some(receiver), |receiver| async {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(Ok(Part::Data(bytes))) => Some((Ok(bytes), Some(receiver))),
            Some(Ok(Part::End)) => None,
            Some(Err(cut)) => Some((Err(cut), None)),
            None => Some((Err(CutError::Lost), None)),
        }
    })
}
