//! One organisation's part of the queue.

use std::collections::VecDeque;
use std::time::Duration;

use siskinbend_types::Organisation;
use siskinbend_types::Priority;
use siskinbend_types::Time;

/// Number of priorities.
const CLASSES: usize = 3;
/// Most that an organisation's hold time, relative to all, changes the price of its requests.
const MOST_FACTOR: f64 = 4.0;

/// A request that waits.
#[derive(Debug)]
pub(crate) struct Waiter<T> {
    pub place: u64,
    pub item: T,
    pub deadline: Option<Time>,
    pub cost: f64,
    pub since: Time,
}

/// Waiter and running requests of one organisation.
#[derive(Debug)]
pub(crate) struct OrganisationQueue<T> {
    pub organisation: Organisation,
    pub weight: f64,
    pub running: u32,
    /// When it last offered or finished a request.
    pub seen: Time,
    /// Start tag of its next request.
    pub start: f64,
    /// Smoothed time that its requests held a slot, in seconds; zero until one finishes.
    pub hold: f64,
    classes: [VecDeque<Waiter<T>>; CLASSES],
}

impl<T> OrganisationQueue<T> {
    pub(crate) fn new(organisation: Organisation, weight: f64) -> Self {
        Self {
            organisation,
            weight,
            running: 0,
            seen: Time::default(),
            start: 0.0,
            hold: 0.0,
            classes: [VecDeque::new(), VecDeque::new(), VecDeque::new()],
        }
    }

    pub(crate) fn queued(&self) -> usize {
        self.classes.iter().map(VecDeque::len).sum()
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running == 0 && self.queued() == 0
    }

    /// Adds a request; an organisation that had none waiting can't claim service for that time.
    pub(crate) fn push(&mut self, priority: Priority, waiting: Waiter<T>, virtual_now: f64) {
        if self.queued() == 0 {
            self.start = self.start.max(virtual_now);
        }
        let class = match priority {
            Priority::Interactive => 0,
            Priority::Normal => 1,
            Priority::Batch => 2,
        };
        self.classes[class].push_back(waiting);
    }

    /// The class, after ageing, of the request that goes next; 0 is the most urgent.
    pub(crate) fn first_class(&self, now: Time, ageing: Duration) -> Option<u32> {
        self.find_first(now, ageing).map(|(class, _, _)| class)
    }

    /// Takes the request that goes next, and its class after ageing.
    pub(crate) fn pop(&mut self, now: Time, ageing: Duration) -> Option<(Waiter<T>, u32)> {
        let (class, _, at) = self.find_first(now, ageing)?;
        self.classes[at].pop_front().map(|w| (w, class))
    }

    /// Class after ageing, time of arrival and original class of the request that goes next.
    fn find_first(&self, now: Time, ageing: Duration) -> Option<(u32, Time, usize)> {
        let aged = |at: usize, since: Time| {
            let steps = now.since(since).as_secs_f64() / ageing.as_secs_f64().max(1e-6);
            (at as f64 - steps.floor()).max(0.0) as u32
        };
        let heads = self.classes.iter().enumerate();
        let heads = heads.filter_map(|(at, class)| Some((at, class.front()?.since)));
        heads.map(|(at, since)| (aged(at, since), since, at)).min()
    }

    /// Advances the start tag by a request's cost. An organisation whose requests hold their slot
    /// longer than the mean pays more for each.
    pub(crate) fn charge(&mut self, cost: f64, mean_hold: f64, now: Time) {
        let known = self.hold > 0.0 && mean_hold > 0.0;
        let factor = if known { self.hold / mean_hold } else { 1.0 };
        self.start += cost * factor.clamp(1.0 / MOST_FACTOR, MOST_FACTOR) / self.weight;
        self.running += 1;
        self.seen = now;
    }

    /// Moves requests with a deadline up to `end` to `late`.
    pub(crate) fn drop_late(&mut self, end: Time, late: &mut Vec<T>) {
        let is_late = |w: &Waiter<T>| w.deadline.is_some_and(|d| d <= end);
        for class in &mut self.classes {
            while let Some(at) = class.iter().position(is_late) {
                late.extend(class.remove(at).map(|w| w.item));
            }
        }
    }

    pub(crate) fn remove(&mut self, place: u64) -> Option<T> {
        self.classes.iter_mut().find_map(|class| {
            let at = class.iter().position(|w| w.place == place)?;
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
