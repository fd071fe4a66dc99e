//! Waiting requests of one organisation.

use std::collections::VecDeque;
use std::time::Duration;

use siskinbend_types::Organisation;
use siskinbend_types::Priority;
use siskinbend_types::Time;

const PRIORITY_CLASSES: usize = 3;
/// Bound on the factor, and its inverse, by which an organisation's mean hold time scales the cost
/// of its requests.
const MAX_HOLD_FACTOR: f64 = 4.0;

/// A waiting request.
#[derive(Debug)]
pub(crate) struct Waiter<T> {
    pub id: u64,
    pub item: T,
    pub deadline: Option<Time>,
    pub cost: f64,
    pub enqueued: Time,
}

/// Waiting requests of one organisation, and its share of the slots.
#[derive(Debug)]
pub(crate) struct OrganisationQueue<T> {
    pub organisation: Organisation,
    pub weight: f64,
    pub running: u32,
    /// When a request was last offered, started or finished.
    pub last_active: Time,
    /// Start tag of its next request.
    pub start_tag: f64,
    /// Smoothed time that its requests held a slot, in seconds; zero until one finishes.
    pub mean_hold: f64,
    classes: [VecDeque<Waiter<T>>; PRIORITY_CLASSES],
}

impl<T> OrganisationQueue<T> {
    pub(crate) fn new(organisation: Organisation, weight: f64) -> Self {
        Self {
            organisation,
            weight,
            running: 0,
            last_active: Time::default(),
            start_tag: 0.0,
            mean_hold: 0.0,
            classes: [VecDeque::new(), VecDeque::new(), VecDeque::new()],
        }
    }

    pub(crate) fn queued(&self) -> usize {
        self.classes.iter().map(VecDeque::len).sum()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running == 0 && self.queued() == 0
    }

    /// Adds a request. An organisation without waiting requests starts at the current virtual time,
    /// so that it can't save up service.
    pub(crate) fn push(&mut self, priority: Priority, waiter: Waiter<T>, virtual_time: f64) {
        if self.queued() == 0 {
            self.start_tag = self.start_tag.max(virtual_time);
        }
        let class = match priority {
            Priority::Interactive => 0,
            Priority::Normal => 1,
            Priority::Batch => 2,
        };
        self.classes[class].push_back(waiter);
    }

    /// Returns the class, after ageing, of the next request; 0 is the most urgent.
    pub(crate) fn next_class(&self, now: Time, ageing_interval: Duration) -> Option<u32> {
        self.find_next(now, ageing_interval)
            .map(|(class, _, _)| class)
    }

    /// Removes the next request and returns it with its class after ageing.
    pub(crate) fn pop(&mut self, now: Time, ageing_interval: Duration) -> Option<(Waiter<T>, u32)> {
        let (class, _, index) = self.find_next(now, ageing_interval)?;
        self.classes[index].pop_front().map(|w| (w, class))
    }

    /// Returns the class after ageing, the time of arrival and the original class of the next
    /// request.
    fn find_next(&self, now: Time, ageing_interval: Duration) -> Option<(u32, Time, usize)> {
        let age = |class: usize, enqueued: Time| {
            let steps = now.since(enqueued).as_secs_f64() / ageing_interval.as_secs_f64().max(1e-6);
            (class as f64 - steps.floor()).max(0.0) as u32
        };
        let heads = self.classes.iter().enumerate();
        let heads = heads.filter_map(|(class, queue)| Some((class, queue.front()?.enqueued)));
        heads
            .map(|(class, enqueued)| (age(class, enqueued), enqueued, class))
            .min()
    }

    /// Advances the start tag by a request's cost. An organisation whose requests hold their slots
    /// longer than the mean pays more for each.
    pub(crate) fn charge(&mut self, cost: f64, overall_hold: f64, now: Time) {
        let is_known = self.mean_hold > 0.0 && overall_hold > 0.0;
        let factor = if is_known {
            self.mean_hold / overall_hold
        } else {
            1.0
        };
        let factor = factor.clamp(1.0 / MAX_HOLD_FACTOR, MAX_HOLD_FACTOR);
        self.start_tag += cost * factor / self.weight;
        self.running += 1;
        self.last_active = now;
    }

    /// Moves requests with a deadline up to `end` to `late`.
    pub(crate) fn remove_late(&mut self, end: Time, late: &mut Vec<T>) {
        let is_late = |w: &Waiter<T>| w.deadline.is_some_and(|d| d <= end);
        for class in &mut self.classes {
            while let Some(at) = class.iter().position(is_late) {
                late.extend(class.remove(at).map(|w| w.item));
            }
        }
    }

    pub(crate) fn remove(&mut self, id: u64) -> Option<T> {
        self.classes.iter_mut().find_map(|class| {
            let at = class.iter().position(|w| w.id == id)?;
            class.remove(at).map(|w| w.item)
        })
    }

    pub(crate) fn clear(&mut self) -> Vec<T> {
        self.classes
            .iter_mut()
            .flat_map(std::mem::take)
            .map(|w| w.item)
            .collect()
    }
}
