//! Idle connections to one peer.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::Connection;

/// Idle connections kept to one peer.
const MOST_IDLE: usize = 32;
/// Idle time after which a connection isn't used again. Peers close idle connections, and a
/// request that crosses the close may have run.
const MOST_IDLE_TIME: Duration = Duration::from_millis(2_500);

/// Idle connections to one peer, the one used last first.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: VecDeque<(Connection, Instant)>,
}

impl ConnectionPool {
    /// Takes the connection that was used last, if it is still open.
    pub fn take(&mut self) -> Option<Connection> {
        self.prune();
        while let Some((link, _)) = self.idle.pop_back() {
            if link.is_open() {
                return Some(link);
            }
        }
        None
    }

    /// Puts a connection back after the whole answer was read.
    pub fn put(&mut self, link: Connection) {
        self.prune();
        if self.idle.len() < MOST_IDLE {
            self.idle.push_back((link, Instant::now()));
        }
    }

    /// Closes connections that were idle for too long.
    pub fn prune(&mut self) {
        while let Some((_, since)) = self.idle.front()
            && since.elapsed() > MOST_IDLE_TIME
        {
            self.idle.pop_front();
        }
    }
}
