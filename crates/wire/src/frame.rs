//! Encoding of frames: kind, payload length, request id, payload.

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

/// Why bytes are not a frame.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum FrameError {
    /// the frame kind {0} is not known
    UnknownKind(u8),
    /// the frame announces {0} bytes, more than are allowed
    TooLarge(usize),
    /// the payload of frame kind {0} is malformed
    MalformedPayload(u8),
    /// the frame belongs to request {0} instead of {1}
    WrongRequest(RequestId, RequestId),
    /// the stream ended inside a frame or before the answer was complete
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
    let kind = put_payload(message, out);
    let size = out.len() - start - HEADER_BYTES;
    assert!(
        size <= MAX_PAYLOAD_BYTES,
        "request {id}: a frame of kind {kind} has {size} bytes"
    );
    out[start] = kind;
    out[start + 1..start + 5].copy_from_slice(&(size as u32).to_be_bytes());
}

fn put_payload(message: &Message, out: &mut BytesMut) -> u8 {
    match message {
        Message::Dispatch(dispatch) => put(kind::DISPATCH, dispatch, out),
        Message::Body(bytes) => put_raw(kind::BODY, bytes, out),
        Message::BodyEnd => kind::BODY_END,
        Message::Cancel(attempt) => put(kind::CANCEL, attempt, out),
        Message::Probe => kind::PROBE,
        Message::Beacon(newest) => put(kind::BEACON, newest, out),
        Message::Lookup(attempt, owner) => put(kind::LOOKUP, &(attempt, owner), out),
        Message::Accepted(status) => put(kind::ACCEPTED, status, out),
        Message::Refused(reason, status) => put(kind::REFUSED, &(reason, status), out),
        Message::Head(head) => put(kind::HEAD, head, out),
        Message::Chunk(bytes) => put_raw(kind::CHUNK, bytes, out),
        Message::End(status) => put(kind::END, status, out),
        Message::Aborted(reason) => put(kind::ABORTED, reason, out),
        Message::CancelState(state) => put(kind::CANCEL_STATE, state, out),
        Message::Found(found) => put(kind::FOUND, found, out),
        Message::Report(status) => put(kind::REPORT, status, out),
        Message::Fetch(newest) => put(kind::FETCH, newest, out),
        Message::Content(bytes) => put_raw(kind::CONTENT, bytes, out),
        Message::Hello(hello) => put(kind::HELLO, hello, out),
        Message::NoContent(busy) => put(kind::NO_CONTENT, busy, out),
        Message::Group(bytes) => put_raw(kind::GROUP, bytes, out),
    }
}

fn put<T>(kind: u8, value: &T, out: &mut BytesMut) -> u8
where
    T: Serialize,
{
    let bytes = postcard::to_stdvec(value).expect("plain data always encodes into memory");
    out.extend_from_slice(&bytes);
    kind
}

fn put_raw(kind: u8, bytes: &Bytes, out: &mut BytesMut) -> u8 {
    out.extend_from_slice(bytes);
    kind
}

/// Takes the first complete frame from a buffer, or returns `None` until more bytes arrive.
///
/// # Errors
///
/// Returns why the bytes are not a frame; the stream is then useless.
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
    Ok(Some((id, read_payload(kind, frame.freeze())?)))
}

fn read_payload(kind: u8, payload: Bytes) -> Result<Message, FrameError> {
    Ok(match kind {
        kind::DISPATCH => Message::Dispatch(read(kind, &payload)?),
        kind::BODY => Message::Body(payload),
        kind::BODY_END => Message::BodyEnd,
        kind::CANCEL => Message::Cancel(read(kind, &payload)?),
        kind::PROBE => Message::Probe,
        kind::BEACON => Message::Beacon(read(kind, &payload)?),
        kind::LOOKUP => {
            let (attempt, owner) = read(kind, &payload)?;
            Message::Lookup(attempt, owner)
        }
        kind::ACCEPTED => Message::Accepted(read(kind, &payload)?),
        kind::REFUSED => {
            let (reason, status) = read(kind, &payload)?;
            Message::Refused(reason, status)
        }
        kind::HEAD => Message::Head(read(kind, &payload)?),
        kind::CHUNK => Message::Chunk(payload),
        kind::END => Message::End(read(kind, &payload)?),
        kind::ABORTED => Message::Aborted(read(kind, &payload)?),
        kind::CANCEL_STATE => Message::CancelState(read(kind, &payload)?),
        kind::FOUND => Message::Found(read(kind, &payload)?),
        kind::REPORT => Message::Report(read(kind, &payload)?),
        kind::FETCH => Message::Fetch(read(kind, &payload)?),
        kind::CONTENT => Message::Content(payload),
        kind::HELLO => Message::Hello(read(kind, &payload)?),
        kind::NO_CONTENT => Message::NoContent(read(kind, &payload)?),
        kind::GROUP => Message::Group(payload),
        other => return Err(FrameError::UnknownKind(other)),
    })
}

fn read<T>(kind: u8, payload: &[u8]) -> Result<T, FrameError>
where
    T: DeserializeOwned,
{
    match postcard::take_from_bytes(payload) {
        Ok((value, [])) => Ok(value),
        _ => Err(FrameError::MalformedPayload(kind)),
    }
}
