//! Sending and receiving the frames of one request over one QUIC stream.

use bytes::BytesMut;
use quinn::RecvStream;
use quinn::SendStream;
use quinn::VarInt;

use siskinbend_types::RequestId;

use crate::FrameError;
use crate::Message;
use crate::frame;

/// Maximum size of one read from a stream in bytes.
const MAX_READ_BYTES: usize = 16 * 1024;

/// QUIC error code of a stream that is reset or stopped.
const ABANDONED: VarInt = VarInt::from_u32(1);

/// Sends the frames of one request.
#[derive(Debug)]
pub struct Sender {
    id: RequestId,
    stream: SendStream,
    buffer: BytesMut,
}

impl Sender {
    /// Creates a sender of this request's frames on a stream.
    pub fn new(id: RequestId, stream: SendStream) -> Self {
        Self {
            id,
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Sends messages in one write; waits while the peer's flow control window is full.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::Lost`] if the peer stopped the stream or the connection is lost.
    pub async fn send(&mut self, messages: &[Message]) -> Result<(), FrameError> {
        for message in messages {
            frame::encode(self.id, message, &mut self.buffer);
        }
        let bytes = self.buffer.split().freeze();
        self.stream
            .write_chunk(bytes)
            .await
            .map_err(|_| FrameError::Lost)
    }

    /// Ends the stream and waits until the peer has received all frames.
    pub async fn finish(mut self) {
        // An error means that the stream is already closed.
        let _ = self.stream.finish();
        self.wait_stopped().await;
    }

    /// Waits until the peer stops the stream, has read all of it, or the connection is lost.
    pub async fn wait_stopped(&mut self) {
        // The reason does not matter to the caller.
        let _ = self.stream.stopped().await;
    }

    /// Resets the stream.
    pub fn reset(&mut self) {
        // An error means that the stream is already closed.
        let _ = self.stream.reset(ABANDONED);
    }
}

/// Receives the frames of one request.
#[derive(Debug)]
pub struct Receiver {
    id: Option<RequestId>,
    stream: RecvStream,
    buffer: BytesMut,
}

impl Receiver {
    /// Creates a receiver of a stream's frames. Without an id, the id of the first frame becomes the
    /// id of the stream.
    pub fn new(id: Option<RequestId>, stream: RecvStream) -> Self {
        Self {
            id,
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Returns the request id of the stream, once it is known.
    pub fn id(&self) -> Option<RequestId> {
        self.id
    }

    /// Waits for the next message.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::Truncated`] at the end of the stream, [`FrameError::Lost`] if the
    /// stream was reset or the connection lost, and other errors for a frame that is malformed or
    /// belongs to another request.
    pub async fn receive(&mut self) -> Result<Message, FrameError> {
        loop {
            if let Some((id, message)) = frame::decode(&mut self.buffer)? {
                let expected = *self.id.get_or_insert(id);
                return if expected == id {
                    Ok(message)
                } else {
                    Err(FrameError::WrongRequest(id, expected))
                };
            }
            let chunk = self.stream.read_chunk(MAX_READ_BYTES, true).await;
            match chunk {
                Ok(Some(chunk)) => self.buffer.extend_from_slice(&chunk.bytes),
                Ok(None) => return Err(FrameError::Truncated),
                Err(_) => return Err(FrameError::Lost),
            }
        }
    }

    /// Returns the next message if it has already been received, without reading from the stream.
    ///
    /// # Errors
    ///
    /// As [`Receiver::receive`].
    pub fn try_receive(&mut self) -> Result<Option<Message>, FrameError> {
        match frame::decode(&mut self.buffer)? {
            Some((id, message)) if Some(id) == self.id => Ok(Some(message)),
            Some((id, _)) => Err(FrameError::WrongRequest(id, self.id.unwrap_or(id))),
            None => Ok(None),
        }
    }

    /// Asks the peer to stop sending.
    pub fn stop(&mut self) {
        // An error means that the stream is already closed.
        let _ = self.stream.stop(ABANDONED);
    }
}
