//! Limits and timeouts of the transport.

use std::time::Duration;

/// Bytes of a frame's header: kind, payload length, request id.
pub const HEADER_BYTES: usize = 1 + 4 + 16;

/// Longest payload of a frame in bytes; a peer that announces more is cut off.
pub const MAX_PAYLOAD_BYTES: usize = 1 << 20;

/// A connection to a few peers without any packet for this long is lost.
///
/// A frozen peer must count as failed within 3 s.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Shortest interval of keep-alive packets; two may be lost before the idle timeout.
pub const MIN_KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(800);

/// Share of the keep-alive interval that each peer adds, so that a process with many peers stays
/// under 7 KB/s of control traffic: a keep-alive packet and its answer have about 110 bytes.
pub const KEEP_ALIVE_PER_PEER: Duration = Duration::from_millis(90);

/// Longest silence that the accepting side allows; the connecting side asks for less.
pub const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest time for a handshake.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Requests that one connection may have open at a time at the accepting side. Each allowed stream
/// takes about 80 bytes of the connection's memory, open or not.
pub const MAX_STREAMS: u32 = 1_024;

/// Questions that the accepting side may have open at a time at the connecting side.
pub const MAX_SERVER_STREAMS: u32 = 32;

/// Bytes that a stream may have in flight; the limit carries backpressure to the sender.
pub const STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// Bytes that a connection may have in flight.
pub const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

/// Name that every certificate of the fleet carries.
pub const SERVER_NAME: &str = "siskinbend";

/// Protocol name and version in the TLS handshake.
pub const PROTOCOL: &[u8] = b"siskinbend/1";
