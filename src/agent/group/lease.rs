//! The lease of a group in the table service, and the initial fencing number.

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

/// Builds the table key of a group's lease.
pub(super) fn build_key(group: &GroupName) -> Option<Key> {
    format!("lease/group/{group}").parse().ok()
}

/// Holds the lease of a group while this agent is its coordinator.
pub(super) struct LeaseHolder {
    lease: Lease,
    key: Key,
    incarnation: Incarnation,
    store: Arc<Client>,
    inbox: mpsc::Sender<Input>,
    /// Whether a store call is in flight.
    in_flight: bool,
    /// Set when a release begins, until the lease is wanted again.
    releasing: bool,
}

impl LeaseHolder {
    pub(super) fn new(
        key: Key,
        incarnation: Incarnation,
        store: Arc<Client>,
        inbox: mpsc::Sender<Input>,
    ) -> Self {
        Self {
            lease: Lease::new(key.clone(), incarnation, limits::LEASE_TERM),
            key,
            incarnation,
            store,
            inbox,
            in_flight: false,
            releasing: false,
        }
    }

    /// Returns the fencing number for commands, if the lease is held.
    pub(super) fn fencing(&self, now: Time) -> Option<FencingNumber> {
        self.lease.fencing(now)
    }

    /// Advances the lease; `is_wanted` says whether this agent should hold it.
    pub(super) fn tick(&mut self, is_wanted: bool, now: Time) {
        if self.releasing && !self.in_flight && is_wanted {
            self.lease = Lease::new(self.key.clone(), self.incarnation, limits::LEASE_TERM);
            self.releasing = false;
        }
        let random = rand::random();
        if is_wanted && !self.releasing {
            self.handle(Event::Tick(random), now);
        } else if !is_wanted && !self.releasing {
            self.releasing = true;
            self.handle(Event::Release(random), now);
        }
    }

    /// Handles the result of a store call.
    pub(super) fn handle_result(&mut self, event: Event, now: Time) {
        self.in_flight = false;
        self.handle(event, now);
    }

    fn handle(&mut self, event: Event, now: Time) {
        let Some(action) = self.lease.handle(event, now) else {
            return;
        };
        self.in_flight = true;
        let store = Arc::clone(&self.store);
        let inbox = self.inbox.clone();
        tokio::spawn(async move {
            let event = match action {
                Action::Read(key) => Event::Read(store.read(&key).await, rand::random()),
                Action::Commit(commit) => Event::Commit(store.commit(&commit).await),
            };
            // The receiver is dropped only when the process ends.
            let _ = inbox.send(Input::LeaseEvent(event)).await;
        });
    }
}

/// Reads the lease row, with retries, and sends its fencing number to the group's task.
///
/// The read begins after the agent has started, so the number is at least that of any command sent
/// to an earlier incarnation. If there is no row, no command has ever been sent.
pub(super) async fn read_initial_fence(store: Arc<Client>, key: Key, inbox: mpsc::Sender<Input>) {
    loop {
        match store.read(&key).await {
            Ok(None) => {
                let _ = inbox.send(Input::InitialFence(FencingNumber(0))).await;
                return;
            }
            Ok(Some(row)) => match LeaseRow::decode(&row.value) {
                Some(lease) => {
                    let _ = inbox.send(Input::InitialFence(lease.fencing)).await;
                    return;
                }
                None => log::error!(key:% = key; "lease_row_unreadable"),
            },
            Err(error) => log::warn!(key:% = key, error:% = error; "fence_unknown"),
        }
        tokio::time::sleep(limits::FENCE_RETRY_DELAY).await;
    }
}
