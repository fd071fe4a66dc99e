//! Idle connections to one peer.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::Connection;

/// Largest number of idle connections that are kept to one peer.
const MAX_IDLE: usize = 32;
/// Idle time after which a connection is not reused. Peers close idle connections, and a request
/// sent at the time of the close may have run.
const MAX_IDLE_TIME: Duration = Duration::from_millis(2_500);

/// Idle connections to one peer, the one used last at the back.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    /// Connections with the start of their idle time, the oldest first.
    idle: VecDeque<(Connection, Instant)>,
}

impl ConnectionPool {
    /// Removes and returns the open connection that was used last.
    pub fn take(&mut self) -> Option<Connection> {
        self.prune();
        while let Some((connection, _)) = self.idle.pop_back() {
            if connection.is_open() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after its answer was read to the end.
    pub fn put(&mut self, connection: Connection) {
        self.prune();
        if self.idle.len() < MAX_IDLE {
            self.idle.push_back((connection, Instant::now()));
        }
    }

    /// Closes connections whose idle time has expired.
    pub fn prune(&mut self) {
        while let Some((_, since)) = self.idle.front()
            && since.elapsed() > MAX_IDLE_TIME
        {
            self.idle.pop_front();
        }
    }
}
