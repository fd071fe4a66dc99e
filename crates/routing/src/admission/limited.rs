//! The queue before a capacity that others limit, such as the concurrency limits of a gateway.
//!
//! Requests wait only for as long as their latency goal allows, which is a few free slots at most. An
//! urgent request that may wait only briefly would lose each slot to patient ones. Within an
//! organisation, less urgent requests therefore leave some slots free while more urgent ones arrive,
//! except for a floor of their share.

use std::time::Duration;

use siskinbend_types::Organisation;
use siskinbend_types::Reason;
use siskinbend_types::Time;

use super::Dequeued;
use super::Queue;
use super::WaiterId;
use crate::organisation_queue::MAX_CLASS;
use crate::organisation_queue::Waiter;

/// Share of the slots, beside one, that less urgent requests leave to more urgent ones at least.
const URGENT_RESERVE: f64 = 0.05;

/// A request that must start by a certain time.
#[derive(Debug, Clone)]
pub struct StartInfo {
    /// The organisation that sent it.
    pub organisation: Organisation,
    /// Its urgency from 0, the most urgent, to 9.
    pub class: u8,
    /// When it is refused if it has not started.
    pub latest_start: Time,
}

/// Result of [`Queue::enqueue_until`].
#[derive(Debug)]
pub struct Enqueued<T> {
    /// The request.
    pub waiter: WaiterId,
    /// Predicted time until its start.
    pub predicted: Duration,
    /// A less urgent request that would start too late now, to be refused.
    pub displaced: Option<T>,
}

/// Refusal of a request that would start too late.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejected {
    /// Why it was refused.
    pub reason: Reason,
    /// Predicted time until its start.
    pub predicted: Duration,
}

impl<T> Queue<T> {
    /// Sets the number of requests that may run; more may run already.
    pub fn set_slots(&mut self, slots: u32) {
        self.settings.slots = slots;
    }

    /// Starts a request that need not wait while `free` slots are free. It holds its slot until
    /// [`Queue::release_class`]. Returns whether it started.
    ///
    /// Call [`Queue::dequeue_within`] before until it returns no request.
    pub fn try_start(&mut self, info: &StartInfo, free: u32, now: Time) -> bool {
        let own = self.activate(info.organisation.clone(), now);
        let class = usize::from(info.class).min(MAX_CLASS);
        self.organisations[own].record_offer(class, now);
        let order = self.order(free);
        let is_free = free > 0 && self.organisations[own].may_take(class, now, order);
        if is_free {
            let mean_hold = self.mean_hold;
            let virtual_time = self.virtual_time;
            let own = &mut self.organisations[own];
            if own.queued() == 0 {
                own.start_tag = own.start_tag.max(virtual_time);
            }
            own.record_start(class);
            own.charge(1.0, mean_hold, now);
            self.running += 1;
        }
        is_free
    }

    /// Adds a request that [`Queue::try_start`] did not start.
    ///
    /// # Errors
    ///
    /// `ShareExceeded` if the predicted start is too late or the organisation's share of the queue
    /// is used up, and `QueueFull`. The item is dropped.
    pub fn enqueue_until(
        &mut self,
        item: T,
        info: StartInfo,
        now: Time,
    ) -> Result<Enqueued<T>, Rejected> {
        let own = self.activate(info.organisation, now);
        let class = usize::from(info.class).min(MAX_CLASS);
        let queued = self.queued();
        let predicted = self.predict_start(own, class);
        let rejected = |reason| Rejected { reason, predicted };
        if now + predicted > info.latest_start {
            return Err(rejected(Reason::ShareExceeded));
        }
        let is_full = queued >= self.settings.max_queued;
        let floor = self.settings.class_floor;
        let mut displaced = None;
        if is_full || self.exceeds_queue_share(own, queued) {
            displaced = self.organisations[own].remove_least_urgent(class, floor, |_| true);
            if displaced.is_none() {
                return Err(rejected(match is_full {
                    true => Reason::QueueFull,
                    false => Reason::ShareExceeded,
                }));
            }
        }
        self.mean_cost = 1.0;
        self.last_id += 1;
        let waiter = Waiter {
            id: self.last_id,
            item,
            deadline: None,
            latest_start: Some(info.latest_start),
            cost: 1.0,
            enqueued: now,
        };
        let virtual_time = self.virtual_time;
        self.organisations[own].push(class, waiter, virtual_time);
        if displaced.is_none() {
            displaced = self.displace_late(own, class, now);
        }
        Ok(Enqueued {
            waiter: WaiterId(self.last_id),
            predicted,
            displaced,
        })
    }

    /// Removes the next request if it may take one of `free` slots, and the requests that can no
    /// longer start in time. Unlike [`Queue::dequeue`], the number of running requests does not
    /// matter.
    pub fn dequeue_within(&mut self, free: u32, now: Time) -> Dequeued<T> {
        let mut late = Vec::new();
        for own in &mut self.organisations {
            own.remove_late(now, now, &mut late);
        }
        let ready = self
            .find_next(free, now)
            .and_then(|own| self.take(own, free, now));
        Dequeued { ready, late }
    }

    /// Frees the slot of a request of a class that ended, or that was not run if `held` is `None`.
    pub fn release_class(
        &mut self,
        organisation: &Organisation,
        class: u8,
        held: Option<Duration>,
        now: Time,
    ) {
        let mut organisations = self.organisations.iter_mut();
        if let Some(own) = organisations.find(|o| &o.organisation == organisation) {
            own.record_end(usize::from(class).min(MAX_CLASS));
            if held.is_none() {
                own.running = own.running.saturating_sub(1);
            }
        }
        match held {
            Some(held) => self.release_slot(organisation, held, now),
            None => self.running = self.running.saturating_sub(1),
        }
    }

    /// Slots that less urgent requests leave free for more urgent ones of their organisation.
    pub(super) fn urgent_reserve(&self) -> u32 {
        1 + (f64::from(self.settings.slots) * URGENT_RESERVE) as u32
    }

    /// Predicts the time until the start of a new request.
    fn predict_start(&self, own: usize, class: usize) -> Duration {
        let is_owed = self.organisations[own].is_owed(class, self.settings.class_floor);
        let ahead = match is_owed {
            true => 0,
            false => self.organisations[own].count_up_to(class),
        };
        self.predict_turn(own, ahead)
    }

    /// Predicts the time until the start of a request with `ahead` others of its organisation before
    /// it. The next slot becomes free after half an interval on average.
    fn predict_turn(&self, own: usize, ahead: usize) -> Duration {
        let own = &self.organisations[own];
        let others = self.organisations.iter().filter(|o| o.queued() > 0);
        let others = others.filter(|o| o.organisation != own.organisation);
        let (mut weight, mut queued) = (own.weight, ahead);
        for other in others {
            weight += other.weight;
            queued += other.queued();
        }
        let own_turns = (ahead + 1) as f64 * weight / own.weight;
        let excess = self.running.saturating_sub(self.settings.slots);
        let turns = own_turns.min(queued as f64 + 1.0) - 0.5 + f64::from(excess);
        let interval = self.mean_hold / f64::from(self.settings.slots.max(1));
        Duration::from_secs_f64(turns * interval)
    }

    /// Removes the least urgent request behind a new one of the class if it would start too late.
    fn displace_late(&mut self, own: usize, class: usize, now: Time) -> Option<T> {
        let ahead = self.organisations[own].queued().saturating_sub(1);
        let start = now + self.predict_turn(own, ahead);
        let floor = self.settings.class_floor;
        self.organisations[own].remove_least_urgent(class, floor, |latest| start > latest)
    }
}
