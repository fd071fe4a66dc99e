//! Checks whether a process still listens at an address.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// What a new connection to an address shows about the process there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum Reachability {
    /// a process accepts connections
    Listening,
    /// the VM answers, but no process listens
    NotListening,
    /// nothing answered, so the VM or the network may be at fault
    Unknown,
}

/// Opens a connection to `address` and closes it again.
pub async fn probe(address: SocketAddr, connect_timeout: Duration) -> Reachability {
    match timeout(connect_timeout, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Reachability::Listening,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            Reachability::NotListening
        }
        Ok(Err(_)) | Err(_) => Reachability::Unknown,
    }
}
