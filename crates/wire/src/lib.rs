//! Frames between processes and their QUIC transport.
