//! Limits and timeouts of the transport.

use std::time::Duration;

/// Size of a frame header in bytes: kind, payload length, request id.
pub const HEADER_BYTES: usize = 1 + 4 + 16;

/// Maximum payload of a frame in bytes; a frame that announces more is an error.
pub const MAX_PAYLOAD_BYTES: usize = 1 << 20;

/// Idle timeout of the connecting side if the process has few peers.
///
/// Chosen so that a frozen peer counts as failed within 3 s.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Minimum interval of keep-alive packets; two may be lost before the idle timeout.
pub const MIN_KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(800);

/// Keep-alive interval per peer: the interval grows with the number of peers, so that a process
/// stays under 7 KB/s of control traffic. A keep-alive packet and its answer have about 110 bytes.
pub const KEEP_ALIVE_PER_PEER: Duration = Duration::from_millis(90);

/// Idle timeout of the accepting side; the connecting side asks for a shorter one.
pub const SERVER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout of a handshake.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of concurrent streams that the connecting side may open, one per request. Each
/// allowed stream takes about 80 bytes of memory per connection, whether it is open or not.
pub const MAX_CLIENT_STREAMS: u32 = 1_024;

/// Maximum number of concurrent streams that the accepting side may open, one per request.
pub const MAX_SERVER_STREAMS: u32 = 32;

/// Flow control window of a stream in bytes; applies backpressure to the sender.
pub const STREAM_WINDOW_BYTES: u32 = 64 * 1024;

/// Flow control window of a connection in bytes.
pub const CONNECTION_WINDOW_BYTES: u32 = 8 << 20;

/// Server name in every certificate of the fleet.
pub const SERVER_NAME: &str = "siskinbend";

/// ALPN protocol name and version.
pub const PROTOCOL: &[u8] = b"siskinbend/1";
