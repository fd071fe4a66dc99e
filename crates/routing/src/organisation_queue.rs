//! Waiting requests of one organisation.

use std::collections::VecDeque;
use std::time::Duration;

use siskinbend_types::Organisation;
use siskinbend_types::Time;

/// Number of classes. Agents use the first three, gateways one for each priority of the engines.
const PRIORITY_CLASSES: usize = 10;
/// The least urgent class.
pub(crate) const MAX_CLASS: usize = PRIORITY_CLASSES - 1;
/// Time without requests after which no more of a class are expected.
const EXPECTATION_TIME: Duration = Duration::from_secs(1);
/// Time over which the rate of a class is measured, which spans bursts a second apart.
const RATE_WINDOW: Duration = Duration::from_secs(2);
/// Number of offered requests over which the shares of classes are measured.
const SHARE_WINDOW: f64 = 1_024.0;
/// Bound on the factor, and its inverse, by which an organisation's mean hold time scales the cost
/// of its requests.
const MAX_HOLD_FACTOR: f64 = 4.0;

/// A waiting request.
#[derive(Debug)]
pub(crate) struct Waiter<T> {
    pub id: u64,
    pub item: T,
    pub deadline: Option<Time>,
    /// When it is refused if it has not started.
    pub latest_start: Option<Time>,
    pub cost: f64,
    pub enqueued: Time,
}

/// Rules for the order of one organisation's requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Order {
    pub ageing_interval: Duration,
    pub class_floor: f64,
    /// Free slots.
    pub free: u32,
    /// Slots that less urgent requests leave free at least while more urgent ones arrive.
    pub reserve: u32,
    /// Slots in all.
    pub slots: u32,
    /// Mean time in seconds that a request holds its slot.
    pub mean_hold: f64,
}

/// Requests of one class of an organisation.
#[derive(Debug, Clone, Copy, Default)]
struct ClassShare {
    offered: f64,
    started: f64,
    running: u32,
    /// Requests offered lately; each counts less the longer ago it was.
    recent: f64,
    last_offer: Option<Time>,
}

impl ClassShare {
    /// Requests offered per second.
    fn offered_rate(&self, now: Time) -> f64 {
        let since = self.last_offer.map_or(Duration::MAX, |at| now.since(at));
        let age = since.as_secs_f64() / RATE_WINDOW.as_secs_f64();
        self.recent * (-age).exp() / RATE_WINDOW.as_secs_f64()
    }
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
    shares: [ClassShare; PRIORITY_CLASSES],
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
            classes: std::array::from_fn(|_| VecDeque::new()),
            shares: [ClassShare::default(); PRIORITY_CLASSES],
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
    pub(crate) fn push(&mut self, class: usize, waiter: Waiter<T>, virtual_time: f64) {
        if self.queued() == 0 {
            self.start_tag = self.start_tag.max(virtual_time);
        }
        self.classes[class].push_back(waiter);
    }

    /// Returns the class, after ageing, of the next request; 0 is the most urgent.
    pub(crate) fn next_class(&self, now: Time, order: Order) -> Option<u32> {
        self.find_next(now, order).map(|(class, _, _)| class)
    }

    /// Removes the next request and returns it with its class after ageing.
    pub(crate) fn pop(&mut self, now: Time, order: Order) -> Option<(Waiter<T>, u32)> {
        let (class, _, index) = self.find_next(now, order)?;
        self.record_start(index);
        self.classes[index].pop_front().map(|w| (w, class))
    }

    /// Records that a request of a class arrived.
    pub(crate) fn record_offer(&mut self, class: usize, now: Time) {
        if self.shares.iter().map(|s| s.offered).sum::<f64>() >= SHARE_WINDOW {
            for share in &mut self.shares {
                share.offered /= 2.0;
                share.started /= 2.0;
            }
        }
        let share = &mut self.shares[class];
        share.offered += 1.0;
        share.recent = share.offered_rate(now) * RATE_WINDOW.as_secs_f64() + 1.0;
        share.last_offer = Some(now);
    }

    /// Records that a request of a class started.
    pub(crate) fn record_start(&mut self, class: usize) {
        self.shares[class].started += 1.0;
        self.shares[class].running += 1;
    }

    /// Records the end of a request of a class.
    pub(crate) fn record_end(&mut self, class: usize) {
        let running = &mut self.shares[class].running;
        *running = running.saturating_sub(1);
    }

    /// Whether a request of a class may take a free slot.
    pub(crate) fn may_take(&self, class: usize, now: Time, order: Order) -> bool {
        let leaves_reserve = order.class_floor > 0.0
            && self.expects_urgent(class, now)
            && !self.is_owed(class, order.class_floor);
        !leaves_reserve || order.free > self.find_reserve(class, now, order)
    }

    /// Returns how many slots a class leaves free: those that more urgent requests occupy at their
    /// rate of arrival, less those that they already hold.
    fn find_reserve(&self, class: usize, now: Time, order: Order) -> u32 {
        let urgent = || self.shares[..class].iter();
        let rate: f64 = urgent().map(|s| s.offered_rate(now)).sum();
        let needed = (rate * order.mean_hold).ceil().min(f64::from(order.slots)) as u32;
        let running: u32 = urgent().map(|s| s.running).sum();
        needed.saturating_sub(running).max(order.reserve)
    }

    /// Whether more urgent requests than those of a class arrived lately.
    fn expects_urgent(&self, class: usize, now: Time) -> bool {
        let mut urgent = self.shares[..class].iter().filter_map(|s| s.last_offer);
        urgent.any(|at| now.since(at) < EXPECTATION_TIME)
    }

    /// Whether the next request of a class starts before more urgent ones, because fewer than the
    /// part `floor` of the class's share have started.
    pub(crate) fn is_owed(&self, class: usize, floor: f64) -> bool {
        let offered: f64 = self.shares.iter().map(|s| s.offered).sum();
        let started: f64 = self.shares.iter().map(|s| s.started).sum();
        let share = self.shares[class];
        share.started < floor * share.offered * started / offered.max(1.0)
    }

    /// Number of waiting requests of a class and of more urgent ones.
    pub(crate) fn count_up_to(&self, class: usize) -> usize {
        self.classes[..=class].iter().map(VecDeque::len).sum()
    }

    /// Removes the newest request of the least urgent class below `class` if it is accepted by its
    /// latest start. A class that is owed a start keeps its last request.
    pub(crate) fn remove_least_urgent<Accept>(
        &mut self,
        class: usize,
        floor: f64,
        accept: Accept,
    ) -> Option<T>
    where
        Accept: Fn(Time) -> bool,
    {
        let has_spare = |class: &usize| {
            let kept = usize::from(self.is_owed(*class, floor));
            self.classes[*class].len() > kept
        };
        let least = (class + 1..PRIORITY_CLASSES).rev().find(has_spare)?;
        let latest = self.classes[least].back()?.latest_start?;
        accept(latest).then(|| self.classes[least].pop_back().map(|w| w.item))?
    }

    /// Returns the class after ageing, the time of arrival and the original class of the next
    /// request.
    fn find_next(&self, now: Time, order: Order) -> Option<(u32, Time, usize)> {
        let ageing_interval = order.ageing_interval;
        let waits = |class: &usize| !self.classes[*class].is_empty();
        if order.class_floor > 0.0 {
            let owed = |class: &usize| self.is_owed(*class, order.class_floor);
            if let Some(class) = (1..PRIORITY_CLASSES).rev().filter(waits).find(owed) {
                return Some((0, self.classes[class].front()?.enqueued, class));
            }
        }
        let age = |class: usize, enqueued: Time| {
            let steps = now.since(enqueued).as_secs_f64() / ageing_interval.as_secs_f64().max(1e-6);
            (class as f64 - steps.floor()).max(0.0) as u32
        };
        let heads = self.classes.iter().enumerate();
        let heads = heads.filter_map(|(class, queue)| Some((class, queue.front()?.enqueued)));
        heads
            .filter(|(class, _)| self.may_take(*class, now, order))
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

    /// Moves requests with a deadline up to `end` or a latest start before `now` to `late`.
    pub(crate) fn remove_late(&mut self, end: Time, now: Time, late: &mut Vec<T>) {
        let is_late = |w: &Waiter<T>| {
            w.deadline.is_some_and(|d| d <= end) || w.latest_start.is_some_and(|s| s < now)
        };
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
