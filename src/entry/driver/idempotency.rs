//! Calls with an idempotency key: looks up the claimed attempt, records the outcome and stores the
//! answer.

use std::sync::Arc;

use siskinbend_request::AttemptRef;
use siskinbend_request::ClaimRow;
use siskinbend_request::ClaimState;
use siskinbend_request::Event;
use siskinbend_request::StoredAnswer;
use siskinbend_wire::Message;

use super::Driver;
use super::UnsentPart;
use crate::entry::claims;
use crate::exchange;
use crate::limits;

impl Driver {
    /// Queries the agent named in a claim for the state of the claimed attempt.
    pub(super) fn lookup(&mut self, row: &ClaimRow) {
        let reference = AttemptRef {
            id: row.id,
            attempt: row.attempt,
            incarnation: row.incarnation,
            window: row.window,
        };
        let message = Message::Lookup(reference, row.organisation.clone());
        let (entry, agent) = (Arc::clone(&self.entry), row.agent.clone());
        self.pending = Some(Box::pin(async move {
            let answer = match entry.fleet.connect_to(&agent).await {
                Some(connection) => exchange::call(&connection, reference.id, &message).await,
                None => None,
            };
            match answer {
                Some(Message::Found(found)) => Event::LookedUp(found),
                _ => Event::LookupFailed,
            }
        }));
    }

    /// Writes the outcome to the claim row in the background; the caller doesn't wait for it.
    pub(super) fn record_answer(&mut self, mut row: ClaimRow, replaces: Option<u64>) {
        if row.state == ClaimState::Answered(None) {
            row.state = ClaimState::Answered(self.stored.take());
        }
        let entry = Arc::clone(&self.entry);
        self.entry.requests.spawn(async move {
            claims::record_outcome(entry.store.as_deref(), &row, replaces).await;
        });
    }

    /// Appends the unsent part to the stored answer of a call with an idempotency key. An answer
    /// that exceeds the size limit is discarded.
    pub(super) fn store_part(&mut self) {
        match &self.unsent {
            UnsentPart::Head(head) if self.spec.key.is_some() => {
                self.stored = Some(StoredAnswer {
                    status: head.status,
                    content_type: head.content_type.clone(),
                    body: Vec::new(),
                });
            }
            UnsentPart::Chunk(bytes) => {
                let capacity = limits::MAX_STORED_ANSWER_BYTES.checked_sub(bytes.len());
                self.stored = self
                    .stored
                    .take()
                    .filter(|stored| capacity.is_some_and(|c| stored.body.len() <= c));
                if let Some(stored) = &mut self.stored {
                    stored.body.extend_from_slice(bytes);
                }
            }
            _ => {}
        }
    }
}
