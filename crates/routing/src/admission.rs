//! The bounded queue of an agent or a gateway, fair between organisations.
//!
//! Start-time fair queueing shares the slots between organisations. Within an organisation the most
//! urgent request goes first. Between organisations a higher priority is worth a head start of only
//! a few requests, so an organisation can't take service from others by marking all its requests as
//! interactive.

mod limited;

use std::time::Duration;

use siskinbend_types::Organisation;
use siskinbend_types::Priority;
use siskinbend_types::Reason;
use siskinbend_types::Time;

use crate::LoadReport;
use crate::organisation_queue::Order;
use crate::organisation_queue::OrganisationQueue;
use crate::organisation_queue::Waiter;

pub use limited::Enqueued;
pub use limited::Rejected;
pub use limited::StartInfo;

/// Weight of a new sample in the smoothed hold time and cost.
const SMOOTHING: f64 = 0.05;
/// An organisation without requests for this long no longer counts as active.
const ACTIVITY_TIMEOUT: Duration = Duration::from_secs(10);
/// Head start, in mean requests, of one priority over the next between organisations.
const PRIORITY_HEAD_START: f64 = 2.0;

/// Multiple of its fair share of the slots at which an organisation counts as above its share. At a
/// lower value, random variation between equal organisations would leave slots idle.
const SHARE_TOLERANCE: f64 = 1.5;

/// Weight of one organisation.
#[derive(Debug, Clone)]
pub struct Weight {
    /// The organisation.
    pub organisation: Organisation,
    /// Its share of service relative to the others, at least 1.
    pub weight: u32,
}

/// Limits of the queue.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Requests that the backend server runs at a time.
    pub slots: u32,
    /// Slots that an organisation above its fair share leaves free for others.
    pub reserved_slots: u32,
    /// Requests that may wait.
    pub max_queued: usize,
    /// Weights of organisations; one that isn't listed has weight 1.
    pub weights: Vec<Weight>,
    /// Waiting time after which a request rises by one priority.
    pub ageing_interval: Duration,
    /// Part of its share of the started requests that a less urgent class of an organisation gets at
    /// least; 0 for none.
    pub class_floor: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 8,
            reserved_slots: 0,
            max_queued: 64,
            weights: Vec::new(),
            ageing_interval: Duration::from_secs(2),
            class_floor: 0.0,
        }
    }
}

impl Settings {
    /// Limits of a gateway's queue, in which requests wait for some 100 ms only.
    pub fn for_gateway() -> Settings {
        Settings {
            ageing_interval: Duration::from_millis(200),
            class_floor: 0.25,
            ..Settings::default()
        }
    }
}

/// Properties of a request that determine its place in the queue.
#[derive(Debug, Clone)]
pub struct RequestInfo {
    /// The organisation that sent it.
    pub organisation: Organisation,
    /// Its priority.
    pub priority: Priority,
    /// When the caller stops waiting, if it said so.
    pub deadline: Option<Time>,
    /// Expected work relative to other requests, for example in tokens; at least 1.
    pub cost: u32,
}

/// Identifies a waiting request within its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct WaiterId(u64);

/// A request that may run now.
#[derive(Debug)]
pub struct ReadyRequest<T> {
    /// The request.
    pub item: T,
    /// The organisation that sent it.
    pub organisation: Organisation,
    /// How long it waited.
    pub waited: Duration,
}

/// Result of [`Queue::dequeue`].
#[derive(Debug)]
pub struct Dequeued<T> {
    /// The next request, if a slot is free; it holds the slot until [`Queue::release_slot`].
    pub ready: Option<ReadyRequest<T>>,
    /// Requests whose deadline can't be met any more, to be refused with [`Reason::Deadline`].
    pub late: Vec<T>,
}

/// Requests that wait for a slot of the backend server.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    organisations: Vec<OrganisationQueue<T>>,
    running: u32,
    last_id: u64,
    /// Start tag of the request that was dequeued last.
    virtual_time: f64,
    /// Smoothed time that a request held its slot, in seconds; zero until one finishes.
    mean_hold: f64,
    /// Smoothed cost of a request.
    mean_cost: f64,
    last_progress: Time,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            organisations: Vec::new(),
            running: 0,
            last_id: 0,
            virtual_time: 0.0,
            mean_hold: 0.0,
            mean_cost: 0.0,
            last_progress: Time::default(),
        }
    }

    /// Replaces the limits; requests that already wait stay.
    pub fn configure(&mut self, settings: Settings) {
        for own in &mut self.organisations {
            own.weight = find_weight(&settings, &own.organisation);
        }
        self.settings = settings;
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// `QueueFull`, `ShareExceeded` or `Deadline`; the item is dropped and was not run.
    pub fn enqueue(&mut self, item: T, info: RequestInfo, now: Time) -> Result<WaiterId, Reason> {
        let RequestInfo {
            organisation,
            priority,
            deadline,
            cost,
        } = info;
        let queued = self.queued();
        let own = self.activate(organisation, now);
        // The deadline is checked against the estimates only if the request has to wait. A request
        // that finds a free slot is admitted even if others recently took longer than its deadline
        // allows.
        let must_wait = queued > 0 || self.running >= self.settings.slots;
        let wait = if must_wait {
            self.estimate_wait(own, queued)
        } else {
            Duration::ZERO
        };
        let hold = if must_wait {
            self.estimate_hold()
        } else {
            Duration::ZERO
        };
        if deadline.is_some_and(|d| now + wait + hold >= d) {
            return Err(Reason::Deadline);
        }
        if queued >= self.settings.max_queued {
            return Err(Reason::QueueFull);
        }
        if must_wait && self.exceeds_queue_share(own, queued) {
            return Err(Reason::ShareExceeded);
        }
        let cost = f64::from(cost.max(1));
        self.mean_cost = if self.mean_cost == 0.0 {
            cost
        } else {
            smooth(self.mean_cost, cost)
        };
        self.last_id += 1;
        let id = self.last_id;
        let virtual_time = self.virtual_time;
        let waiter = Waiter {
            id,
            item,
            deadline,
            latest_start: None,
            cost,
            enqueued: now,
        };
        let class = match priority {
            Priority::Interactive => 0,
            Priority::Normal => 1,
            Priority::Batch => 2,
        };
        self.organisations[own].push(class, waiter, virtual_time);
        assert!(
            self.queued() <= self.settings.max_queued,
            "queue exceeds its limit of {} requests after request {id}",
            self.settings.max_queued
        );
        Ok(WaiterId(id))
    }

    /// Removes the next request if a slot is free, and the requests that would be late.
    ///
    /// Call it after every `enqueue` and `release_slot` until `ready` is empty, and at a timer of
    /// about 100 ms, because a request may become late while nothing else happens.
    pub fn dequeue(&mut self, now: Time) -> Dequeued<T> {
        // While more requests wait than slots are free, a slot goes only to a request that can also
        // finish before its deadline.
        let free = self.settings.slots.saturating_sub(self.running) as usize;
        let margin = if self.queued() > free {
            self.estimate_hold()
        } else {
            Duration::ZERO
        };
        let mut late = Vec::new();
        for own in &mut self.organisations {
            own.remove_late(now + margin, now, &mut late);
        }
        let free = self.settings.slots.saturating_sub(self.running);
        let next = self.find_next(free, now);
        let ready = next.and_then(|next| self.take(next, free, now));
        assert!(
            ready.is_none() || self.running <= self.settings.slots,
            "{} requests run in {} slots",
            self.running,
            self.settings.slots
        );
        Dequeued { ready, late }
    }

    /// Removes the next request of an organisation, which takes a slot.
    fn take(&mut self, next: usize, free: u32, now: Time) -> Option<ReadyRequest<T>> {
        let virtual_time = self.virtual_time.max(self.organisations[next].start_tag);
        let order = self.order(free);
        let (waiter, _) = self.organisations[next].pop(now, order)?;
        self.virtual_time = virtual_time;
        let mean_hold = self.mean_hold;
        self.organisations[next].charge(waiter.cost, mean_hold, now);
        if self.running == 0 {
            self.last_progress = now;
        }
        self.running += 1;
        Some(ReadyRequest {
            item: waiter.item,
            organisation: self.organisations[next].organisation.clone(),
            waited: now.since(waiter.enqueued),
        })
    }

    fn order(&self, free: u32) -> Order {
        Order {
            free,
            reserve: self.urgent_reserve(),
            slots: self.settings.slots,
            mean_hold: self.mean_hold,
            ageing_interval: self.settings.ageing_interval,
            class_floor: self.settings.class_floor,
        }
    }

    /// Frees the slot of a request that ended, with or without success.
    pub fn release_slot(&mut self, organisation: &Organisation, held: Duration, now: Time) {
        assert!(
            self.running > 0,
            "{organisation} finished a request but none was running"
        );
        self.running -= 1;
        self.last_progress = now;
        let held = held.as_secs_f64();
        self.mean_hold = if self.mean_hold == 0.0 {
            held
        } else {
            smooth(self.mean_hold, held)
        };
        let found = self
            .organisations
            .iter_mut()
            .find(|o| &o.organisation == organisation);
        let own = found.expect("an organisation is kept while it has running requests");
        assert!(
            own.running > 0,
            "{organisation} finished a request but had none running"
        );
        own.running -= 1;
        own.last_active = now;
        own.mean_hold = if own.mean_hold == 0.0 {
            held
        } else {
            smooth(own.mean_hold, held)
        };
    }

    /// Records that the backend server made progress.
    pub fn record_progress(&mut self, now: Time) {
        self.last_progress = now;
    }

    /// Removes a waiting request, for example because it was cancelled.
    pub fn remove(&mut self, waiter: WaiterId) -> Option<T> {
        self.organisations
            .iter_mut()
            .find_map(|o| o.remove(waiter.0))
    }

    /// Removes all waiting requests, for example because the agent drains.
    pub fn clear(&mut self) -> Vec<T> {
        self.organisations
            .iter_mut()
            .flat_map(OrganisationQueue::clear)
            .collect()
    }

    /// Number of requests that wait.
    pub fn queued(&self) -> usize {
        self.organisations
            .iter()
            .map(OrganisationQueue::queued)
            .sum()
    }

    /// Returns the current load.
    pub fn report(&self, now: Time) -> LoadReport {
        LoadReport {
            running: self.running,
            queued: u32::try_from(self.queued()).unwrap_or(u32::MAX),
            slots: self.settings.slots,
            hold: Duration::from_secs_f64(self.mean_hold),
            idle: if self.running == 0 {
                Duration::ZERO
            } else {
                now.since(self.last_progress)
            },
        }
    }

    /// Returns the index of an organisation, which becomes active, and removes inactive ones.
    fn activate(&mut self, organisation: Organisation, now: Time) -> usize {
        self.organisations
            .retain(|o| !o.is_idle() || now.since(o.last_active) < ACTIVITY_TIMEOUT);
        let found = self
            .organisations
            .iter()
            .position(|o| o.organisation == organisation);
        let own = found.unwrap_or_else(|| {
            let weight = find_weight(&self.settings, &organisation);
            self.organisations
                .push(OrganisationQueue::new(organisation, weight));
            self.organisations.len() - 1
        });
        self.organisations[own].last_active = now;
        own
    }

    /// Returns the index of the organisation whose request is dequeued next, if a slot is free.
    fn find_next(&self, free: u32, now: Time) -> Option<usize> {
        if free == 0 {
            return None;
        }
        let key = |own: &OrganisationQueue<T>| {
            let class = own.next_class(now, self.order(free))?;
            // The penalty for a low priority applies only above the share of the slots: below it an
            // organisation is owed service whatever its priority.
            let class = if self.is_above_share(own) { class } else { 0 };
            let penalty =
                f64::from(class) * PRIORITY_HEAD_START * self.mean_cost / self.total_weight();
            Some(own.start_tag.max(self.virtual_time) + penalty)
        };
        let may_run = |o: &OrganisationQueue<T>| {
            free > self.settings.reserved_slots || !self.is_above_share(o)
        };
        let ready = self
            .organisations
            .iter()
            .enumerate()
            .filter(|(_, o)| may_run(o));
        let keyed = ready.filter_map(|(at, o)| Some((key(o)?, at)));
        keyed.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, at)| at)
    }

    fn total_weight(&self) -> f64 {
        self.organisations.iter().map(|o| o.weight).sum()
    }

    /// Whether an organisation runs more than [`SHARE_TOLERANCE`] times its fair share of the
    /// slots.
    fn is_above_share(&self, own: &OrganisationQueue<T>) -> bool {
        let share = f64::from(self.settings.slots) * own.weight / self.total_weight();
        f64::from(own.running) >= share * SHARE_TOLERANCE
    }

    /// Whether an organisation has as many waiting requests as the remaining capacity of the queue
    /// times its weight relative to the mean. This keeps capacity for organisations that come
    /// later; one organisation alone can use half of the queue.
    fn exceeds_queue_share(&self, own: usize, queued: usize) -> bool {
        let remaining = self.settings.max_queued.saturating_sub(queued) as f64;
        let mean_weight = self.total_weight() / self.organisations.len() as f64;
        let max_queued = (remaining * self.organisations[own].weight / mean_weight).max(1.0);
        self.organisations[own].queued() as f64 >= max_queued
    }

    /// Estimates how long a new request of an organisation would wait. The organisation's queue is
    /// served at its share of the service, but the wait is at most that of the whole queue.
    fn estimate_wait(&self, own: usize, queued: usize) -> Duration {
        let own = &self.organisations[own];
        let waiting_weight: f64 = self
            .organisations
            .iter()
            .filter(|o| o.queued() > 0)
            .map(|o| o.weight)
            .sum();
        let total_weight = if own.queued() > 0 {
            waiting_weight
        } else {
            waiting_weight + own.weight
        };
        let own_turns = (own.queued() + 1) as f64 * total_weight / own.weight;
        let turns = own_turns.min(queued as f64 + 1.0);
        Duration::from_secs_f64(turns * self.mean_hold / f64::from(self.settings.slots.max(1)))
    }

    fn estimate_hold(&self) -> Duration {
        Duration::from_secs_f64(self.mean_hold)
    }
}

fn find_weight(settings: &Settings, organisation: &Organisation) -> f64 {
    let listed = settings
        .weights
        .iter()
        .find(|w| &w.organisation == organisation);
    f64::from(listed.map_or(1, |w| w.weight.max(1)))
}

fn smooth(mean: f64, sample: f64) -> f64 {
    mean + (sample - mean) * SMOOTHING
}
