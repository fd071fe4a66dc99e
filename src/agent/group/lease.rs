//! The lease of a group in the table service, and the number that the fence starts with.

use std::sync::Arc;

use tokio::sync::mpsc;

use siskinbend_control::lease::Action;
use siskinbend_control::lease::Event;
use siskinbend_control::lease::Lease;
use siskinbend_control::lease::LeaseRow;
use siskinbend_control::table::Key;
use siskinbend_store::Client;
use siskinbend_store::Table;
use siskinbend_types::FencingNumber;
use siskinbend_types::GroupName;
use siskinbend_types::Incarnation;
use siskinbend_types::Time;

use super::Input;
use crate::limits;

/// Key of a group's lease.
pub(super) fn build_key(group: &GroupName) -> Option<Key> {
    format!("lease/group/{group}").parse().ok()
}

/// Takes part in the lease of a group while this agent leads it.
pub(super) struct Holder {
    lease: Lease,
    key: Key,
    me: Incarnation,
    store: Arc<Client>,
    inbox: mpsc::Sender<Input>,
    /// A call of the store is under way.
    acting: bool,
    closing: bool,
}

impl Holder {
    pub(super) fn new(
        key: Key,
        me: Incarnation,
        store: Arc<Client>,
        inbox: mpsc::Sender<Input>,
    ) -> Self {
        Self {
            lease: Lease::new(key.clone(), me, limits::LEASE_TERM),
            key,
            me,
            store,
            inbox,
            acting: false,
            closing: false,
        }
    }

    /// The fencing number for commands, if the lease is held.
    pub(super) fn held(&self, now: Time) -> Option<FencingNumber> {
        self.lease.fencing(now)
    }

    /// Moves time forward; `wanted` tells whether this agent is to hold the lease.
    pub(super) fn tick(&mut self, wanted: bool, now: Time) {
        if self.closing && !self.acting && wanted {
            self.lease = Lease::new(self.key.clone(), self.me, limits::LEASE_TERM);
            self.closing = false;
        }
        let draw = rand::random();
        if wanted && !self.closing {
            self.handle(Event::Tick(draw), now);
        } else if !wanted && !self.closing {
            self.closing = true;
            self.handle(Event::Release(draw), now);
        }
    }

    /// Takes the result of a call of the store.
    pub(super) fn take(&mut self, event: Event, now: Time) {
        self.acting = false;
        self.handle(event, now);
    }

    fn handle(&mut self, event: Event, now: Time) {
        let Some(action) = self.lease.handle(event, now) else {
            return;
        };
        self.acting = true;
        let store = Arc::clone(&self.store);
        let inbox = self.inbox.clone();
        tokio::spawn(async move {
            let event = match action {
                Action::Read(key) => Event::Read(store.read(&key).await, rand::random()),
                Action::Commit(commit) => Event::Commit(store.commit(&commit).await),
            };
            // The group's task ends only with the process.
            let _ = inbox.send(Input::Lease(event)).await;
        });
    }
}

/// Reads the lease row until that succeeds and hands its number to the fence.
///
/// The read begins after the agent's start, so that the number is at least that of every command
/// sent to an earlier run. Without a row no command was ever sent.
pub(super) async fn learn_fence(store: Arc<Client>, key: Key, inbox: mpsc::Sender<Input>) {
    loop {
        match store.read(&key).await {
            Ok(None) => {
                let _ = inbox.send(Input::Fence(FencingNumber(0))).await;
                return;
            }
            Ok(Some(row)) => match LeaseRow::decode(&row.value) {
                Some(lease) => {
                    let _ = inbox.send(Input::Fence(lease.fencing)).await;
                    return;
                }
                None => log::error!(key:% = key; "lease_row_unreadable"),
            },
            Err(error) => log::warn!(key:% = key, error:% = error; "fence_unknown"),
        }
        tokio::time::sleep(limits::FENCE_RETRY_DELAY).await;
    }
}
