//! Encoding and decoding of frames: kind, payload length, request id, payload.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use displaydoc::Display;
use serde::Serialize;
use serde::de::DeserializeOwned;

use siskinbend_types::RequestId;

use crate::Message;
use crate::limits::HEADER_BYTES;
use crate::limits::MAX_PAYLOAD_BYTES;

/// Why a frame could not be received or sent.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum FrameError {
    /// unknown frame kind {0}
    UnknownKind(u8),
    /// the frame announces a payload of {0} bytes, which exceeds the limit
    TooLarge(usize),
    /// the payload of frame kind {0} is malformed
    MalformedPayload(u8),
    /// the frame belongs to request {0} instead of {1}
    WrongRequest(RequestId, RequestId),
    /// the stream ended within a frame or before the answer was complete
    Truncated,
    /// the connection was lost
    Lost,
}

impl std::error::Error for FrameError {}

mod kind {
    pub(super) const DISPATCH: u8 = 1;
    pub(super) const BODY: u8 = 2;
    pub(super) const BODY_END: u8 = 3;
    pub(super) const CANCEL: u8 = 4;
    pub(super) const PROBE: u8 = 5;
    pub(super) const LOOKUP: u8 = 6;
    pub(super) const ACCEPTED: u8 = 7;
    pub(super) const REFUSED: u8 = 8;
    pub(super) const HEAD: u8 = 9;
    pub(super) const CHUNK: u8 = 10;
    pub(super) const END: u8 = 11;
    pub(super) const ABORTED: u8 = 12;
    pub(super) const CANCEL_STATE: u8 = 13;
    pub(super) const FOUND: u8 = 14;
    pub(super) const REPORT: u8 = 15;
    pub(super) const FETCH: u8 = 16;
    pub(super) const CONTENT: u8 = 17;
    pub(super) const GROUP: u8 = 18;
    pub(super) const HELLO: u8 = 19;
    pub(super) const BEACON: u8 = 20;
    pub(super) const NO_CONTENT: u8 = 21;
}

/// Appends one frame to a buffer.
pub fn encode(id: RequestId, message: &Message, out: &mut BytesMut) {
    let start = out.len();
    out.put_u8(0);
    out.put_u32(0);
    out.put_u128(id.0);
    let kind = encode_message(message, out);
    let size = out.len() - start - HEADER_BYTES;
    assert!(
        size <= MAX_PAYLOAD_BYTES,
        "request {id}: the payload of frame kind {kind} has {size} bytes"
    );
    out[start] = kind;
    out[start + 1..start + 5].copy_from_slice(&(size as u32).to_be_bytes());
}

fn encode_message(message: &Message, out: &mut BytesMut) -> u8 {
    match message {
        Message::Dispatch(dispatch) => encode_payload(kind::DISPATCH, dispatch, out),
        Message::Body(bytes) => copy_payload(kind::BODY, bytes, out),
        Message::BodyEnd => kind::BODY_END,
        Message::Cancel(attempt) => encode_payload(kind::CANCEL, attempt, out),
        Message::Probe => kind::PROBE,
        Message::Beacon(newest) => encode_payload(kind::BEACON, newest, out),
        Message::Lookup(attempt, owner) => encode_payload(kind::LOOKUP, &(attempt, owner), out),
        Message::Accepted(status) => encode_payload(kind::ACCEPTED, status, out),
        Message::Refused(reason, status) => encode_payload(kind::REFUSED, &(reason, status), out),
        Message::Head(head) => encode_payload(kind::HEAD, head, out),
        Message::Chunk(bytes) => copy_payload(kind::CHUNK, bytes, out),
        Message::End(status) => encode_payload(kind::END, status, out),
        Message::Aborted(reason) => encode_payload(kind::ABORTED, reason, out),
        Message::CancelState(state) => encode_payload(kind::CANCEL_STATE, state, out),
        Message::Found(found) => encode_payload(kind::FOUND, found, out),
        Message::Report(status) => encode_payload(kind::REPORT, status, out),
        Message::Fetch(newest) => encode_payload(kind::FETCH, newest, out),
        Message::Content(bytes) => copy_payload(kind::CONTENT, bytes, out),
        Message::Hello(hello) => encode_payload(kind::HELLO, hello, out),
        Message::NoContent(busy) => encode_payload(kind::NO_CONTENT, busy, out),
        Message::Group(bytes) => copy_payload(kind::GROUP, bytes, out),
    }
}

fn encode_payload<T>(kind: u8, value: &T, out: &mut BytesMut) -> u8
where
    T: Serialize,
{
    let bytes = postcard::to_stdvec(value).expect("encoding into memory cannot fail");
    out.extend_from_slice(&bytes);
    kind
}

fn copy_payload(kind: u8, bytes: &Bytes, out: &mut BytesMut) -> u8 {
    out.extend_from_slice(bytes);
    kind
}

/// Removes the first frame from a buffer and decodes it, or returns `None` if it is incomplete.
///
/// # Errors
///
/// Returns why the bytes are not a frame; the rest of the stream can't be decoded then.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<(RequestId, Message)>, FrameError> {
    if buffer.len() < HEADER_BYTES {
        return Ok(None);
    }
    let mut head = &buffer[..HEADER_BYTES];
    let kind = head.get_u8();
    let size = head.get_u32() as usize;
    let id = RequestId(head.get_u128());
    if size > MAX_PAYLOAD_BYTES {
        return Err(FrameError::TooLarge(size));
    }
    if buffer.len() < HEADER_BYTES + size {
        return Ok(None);
    }
    let mut frame = buffer.split_to(HEADER_BYTES + size);
    frame.advance(HEADER_BYTES);
    Ok(Some((id, decode_message(kind, frame.freeze())?)))
}

fn decode_message(kind: u8, payload: Bytes) -> Result<Message, FrameError> {
    Ok(match kind {
        kind::DISPATCH => Message::Dispatch(decode_payload(kind, &payload)?),
        kind::BODY => Message::Body(payload),
        kind::BODY_END => Message::BodyEnd,
        kind::CANCEL => Message::Cancel(decode_payload(kind, &payload)?),
        kind::PROBE => Message::Probe,
        kind::BEACON => Message::Beacon(decode_payload(kind, &payload)?),
        kind::LOOKUP => {
            let (attempt, owner) = decode_payload(kind, &payload)?;
            Message::Lookup(attempt, owner)
        }
        kind::ACCEPTED => Message::Accepted(decode_payload(kind, &payload)?),
        kind::REFUSED => {
            let (reason, status) = decode_payload(kind, &payload)?;
            Message::Refused(reason, status)
        }
        kind::HEAD => Message::Head(decode_payload(kind, &payload)?),
        kind::CHUNK => Message::Chunk(payload),
        kind::END => Message::End(decode_payload(kind, &payload)?),
        kind::ABORTED => Message::Aborted(decode_payload(kind, &payload)?),
        kind::CANCEL_STATE => Message::CancelState(decode_payload(kind, &payload)?),
        kind::FOUND => Message::Found(decode_payload(kind, &payload)?),
        kind::REPORT => Message::Report(decode_payload(kind, &payload)?),
        kind::FETCH => Message::Fetch(decode_payload(kind, &payload)?),
        kind::CONTENT => Message::Content(payload),
        kind::HELLO => Message::Hello(decode_payload(kind, &payload)?),
        kind::NO_CONTENT => Message::NoContent(decode_payload(kind, &payload)?),
        kind::GROUP => Message::Group(payload),
        other => return Err(FrameError::UnknownKind(other)),
    })
}

fn decode_payload<T>(kind: u8, payload: &[u8]) -> Result<T, FrameError>
where
    T: DeserializeOwned,
{
    match postcard::take_from_bytes(payload) {
        Ok((value, [])) => Ok(value),
        _ => Err(FrameError::MalformedPayload(kind)),
    }
}
