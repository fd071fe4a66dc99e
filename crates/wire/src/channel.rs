//! Sending and receiving the frames of one request over one QUIC stream.

use bytes::BytesMut;
use quinn::RecvStream;
use quinn::SendStream;
use quinn::VarInt;

use siskinbend_types::RequestId;

use crate::FrameError;
use crate::Message;
use crate::frame;

/// Bytes that one read from a stream takes at most.
const READ_BYTES: usize = 16 * 1024;

/// QUIC error code of a stream that is given up.
const ABANDONED: VarInt = VarInt::from_u32(1);

/// Sends the frames of one request.
#[derive(Debug)]
pub struct Sender {
    id: RequestId,
    stream: SendStream,
    buffer: BytesMut,
}

impl Sender {
    /// Sends frames of this request over a stream.
    pub fn new(id: RequestId, stream: SendStream) -> Self {
        Self {
            id,
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Sends some messages with one write; waits while the peer's window is full.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError::Lost`] if the peer gave up the stream or the connection is lost.
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

    /// Tells the peer that no more frames follow and waits until it has received all of them.
    pub async fn finish(mut self) {
        // An error means that the stream is closed already.
        let _ = self.stream.finish();
        self.wait_stopped().await;
    }

    /// Waits until the peer gives up the stream or the connection is lost.
    pub async fn wait_stopped(&mut self) {
        // Without an error the peer only confirmed that it has read everything.
        let _ = self.stream.stopped().await;
    }

    /// Gives up the stream; the peer sees a reset.
    pub fn reset(&mut self) {
        // An error means that the stream is closed already.
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
    /// Receives frames of a stream; without an id, the first frame's id is taken as the stream's.
    pub fn new(id: Option<RequestId>, stream: RecvStream) -> Self {
        Self {
            id,
            stream,
            buffer: BytesMut::new(),
        }
    }

    /// Id of the stream's request, once known.
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
                let own = *self.id.get_or_insert(id);
                return if own == id {
                    Ok(message)
                } else {
                    Err(FrameError::WrongRequest(id, own))
                };
            }
            let chunk = self.stream.read_chunk(READ_BYTES, true).await;
            match chunk {
                Ok(Some(chunk)) => self.buffer.extend_from_slice(&chunk.bytes),
                Ok(None) => return Err(FrameError::Truncated),
                Err(_) => return Err(FrameError::Lost),
            }
        }
    }

    /// Returns a message that has already arrived, without waiting.
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

    /// Tells the peer to stop sending.
    pub fn stop(&mut self) {
        // An error means that the stream is closed already.
        let _ = self.stream.stop(ABANDONED);
    }
}
