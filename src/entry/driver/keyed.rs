//! Keyed calls: the claim's other attempt, the recorded outcome and the stored answer.

use std::sync::Arc;

use siskinbend_request::AttemptRef;
use siskinbend_request::ClaimRow;
use siskinbend_request::ClaimState;
use siskinbend_request::Event;
use siskinbend_request::StoredAnswer;
use siskinbend_wire::Message;

use super::Driver;
use super::Held;
use crate::entry::claims;
use crate::exchange;
use crate::limits;

impl Driver {
    /// Asks the agent of a claim what became of its attempt.
    pub(super) fn lookup(&mut self, row: &ClaimRow) {
        let named = AttemptRef {
            id: row.id,
            attempt: row.attempt,
            incarnation: row.incarnation,
            window: row.window,
        };
        let question = Message::Lookup(named, row.organisation.clone());
        let (entry, agent) = (Arc::clone(&self.entry), row.agent.clone());
        self.pending = Some(Box::pin(async move {
            let answer = match entry.fleet.reach(&agent).await {
                Some(connection) => exchange::call(&connection, named.id, &question).await,
                None => None,
            };
            match answer {
                Some(Message::Found(found)) => Event::LookedUp(found),
                _ => Event::LookupFailed,
            }
        }));
    }

    /// Writes the outcome to the claim row while the caller already has its answer.
    pub(super) fn record(&mut self, mut row: ClaimRow, replaces: Option<u64>) {
        if row.state == ClaimState::Answered(None) {
            row.state = ClaimState::Answered(self.kept.take());
        }
        let entry = Arc::clone(&self.entry);
        self.entry.requests.spawn(async move {
            claims::record(entry.store.as_deref(), &row, replaces).await;
        });
    }

    /// Keeps the answer of a keyed call while it is small enough to be stored.
    pub(super) fn keep(&mut self) {
        match &self.held {
            Held::Head(head) if self.spec.key.is_some() => {
                self.kept = Some(StoredAnswer {
                    status: head.status,
                    content_type: head.content_type.clone(),
                    body: Vec::new(),
                });
            }
            Held::Chunk(bytes) => {
                let room = limits::MAX_STORED_ANSWER_BYTES.checked_sub(bytes.len());
                self.kept = self
                    .kept
                    .take()
                    .filter(|k| room.is_some_and(|r| k.body.len() <= r));
                if let Some(kept) = &mut self.kept {
                    kept.body.extend_from_slice(bytes);
                }
            }
            _ => {}
        }
    }
}
