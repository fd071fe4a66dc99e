//! Request limits that backend servers name in their answers.

use std::collections::HashMap;

use siskinbend_types::AgentId;
use siskinbend_types::Rate;
use siskinbend_types::Time;

/// Change of a backend server's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// Limit before, if there was one.
    pub previous: Option<Rate>,
    /// Limit now, if there is one.
    pub limit: Option<Rate>,
}

#[derive(Debug)]
struct Limit {
    rate: Rate,
    /// When the server named it last.
    named_at: Time,
}

/// Limits of the backend servers, as their answers named them last.
#[derive(Debug, Default)]
pub struct ServerLimits {
    limits: HashMap<AgentId, Limit>,
}

impl ServerLimits {
    /// Records an answer to an attempt that was sent at `sent_at`; it names a limit or none. Returns
    /// the change, if there is one.
    ///
    /// An answer without a limit ends the limit only if it was asked for after the server named it:
    /// answers on different connections can overtake each other.
    pub fn record_answer(
        &mut self,
        server: &AgentId,
        limit: Option<Rate>,
        sent_at: Time,
        now: Time,
    ) -> Option<LimitChange> {
        let known = self.limits.get_mut(server);
        let previous = known.as_ref().map(|known| known.rate);
        match (known, limit) {
            (Some(known), Some(rate)) => {
                known.rate = rate;
                known.named_at = now;
            }
            (None, Some(rate)) => {
                let named_at = now;
                self.limits.insert(server.clone(), Limit { rate, named_at });
            }
            (Some(known), None) if sent_at > known.named_at => {
                self.limits.remove(server);
            }
            (_, None) => return None,
        }
        (previous != limit).then_some(LimitChange { previous, limit })
    }

    /// Forgets a backend server.
    pub fn remove(&mut self, server: &AgentId) {
        self.limits.remove(server);
    }

    /// Returns the number of backend servers with a limit.
    pub fn count(&self) -> usize {
        self.limits.len()
    }
}
