//! Frames between processes and their QUIC transport.

pub mod channel;
pub mod frame;
pub mod limits;
pub mod message;
pub mod status;
pub mod transport;

pub use channel::Receiver;
pub use channel::Sender;
pub use frame::FrameError;
pub use message::Dispatch;
pub use message::Head;
pub use message::Hello;
pub use message::Message;
pub use status::DocumentVersion;
pub use status::Load;
pub use status::Status;
pub use transport::Credentials;
pub use transport::TransportError;
