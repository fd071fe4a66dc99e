//! The agent's bounded queue, fair between organisations.
//!
//! Organisations take turns by start-time fair queueing. Within an organisation the more urgent
//! request goes first. Between organisations urgency is worth a head start of a few requests, so
//! marking all work as interactive doesn't take service away from others.

use std::time::Duration;

use siskinbend_types::Organisation;
use siskinbend_types::Priority;
use siskinbend_types::Reason;
use siskinbend_types::Time;

use crate::LoadReport;
use crate::organisation_queue::OrganisationQueue;
use crate::organisation_queue::Waiter;

/// Weight of a new sample in the smoothed hold time and cost.
const SMOOTHING: f64 = 0.05;
/// An organisation without requests for this long no longer counts as active.
const ACTIVE_FOR: Duration = Duration::from_secs(10);
/// Head start, in mean requests, of one priority over the next between organisations.
const HEAD_START: f64 = 2.0;

/// Multiple of its fair share of the slots from which an organisation leaves the reserve to others.
/// Below it, chance variation between equal organisations would leave slots idle.
const GREEDY: f64 = 1.5;

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
    /// Slots that an organisation above its fair share leaves to the others.
    pub reserved_slots: u32,
    /// Requests that may wait.
    pub max_queued: usize,
    /// Weights of organisations; one that isn't listed has weight 1.
    pub weights: Vec<Weight>,
    /// Waiter time after which a request rises by one priority.
    pub ageing_interval: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 8,
            reserved_slots: 0,
            max_queued: 64,
            weights: Vec::new(),
            ageing_interval: Duration::from_secs(2),
        }
    }
}

/// What the queue needs to know about a request.
#[derive(Debug, Clone)]
pub struct RequestInfo {
    /// Who pays for it.
    pub organisation: Organisation,
    /// How urgent it is.
    pub priority: Priority,
    /// When the caller gives up, if it said so.
    pub deadline: Option<Time>,
    /// Expected work relative to other requests, for example in tokens; at least 1.
    pub cost: u32,
}

/// Names a waiting request within its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct WaiterId(u64);

/// A request that may run now.
#[derive(Debug)]
pub struct ReadyRequest<T> {
    /// The request.
    pub item: T,
    /// Who pays for it.
    pub organisation: Organisation,
    /// How long it waited.
    pub waited: Duration,
}

/// What a look at the queue yields.
#[derive(Debug)]
pub struct Dequeued<T> {
    /// The next request, if a slot is free; the slot is in use until `finished`.
    pub ready: Option<ReadyRequest<T>>,
    /// Requests whose deadline can't be met any more, to be refused with [`Reason::Deadline`].
    pub late: Vec<T>,
}

/// Requests that wait for a slot of the backend server.
#[derive(Debug)]
pub struct Queue<T> {
    settings: Settings,
    parts: Vec<OrganisationQueue<T>>,
    running: u32,
    next: u64,
    /// Virtual time: the start tag of the request that was last taken.
    virtual_now: f64,
    /// Smoothed time that a request held its slot, in seconds; zero until one finishes.
    hold: f64,
    /// Smoothed cost of a request.
    cost: f64,
    progress: Time,
}

impl<T> Queue<T> {
    /// An empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            parts: Vec::new(),
            running: 0,
            next: 0,
            virtual_now: 0.0,
            hold: 0.0,
            cost: 0.0,
            progress: Time::default(),
        }
    }

    /// Replaces the limits; requests that already wait stay.
    pub fn configure(&mut self, settings: Settings) {
        for part in &mut self.parts {
            part.weight = weigh(&settings, &part.organisation);
        }
        self.settings = settings;
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// `QueueFull`, `ShareExceeded` or `Deadline`; the item is dropped and was not run.
    pub fn enqueue(&mut self, item: T, ticket: RequestInfo, now: Time) -> Result<WaiterId, Reason> {
        let RequestInfo {
            organisation,
            priority,
            deadline,
            cost,
        } = ticket;
        let queued = self.queued();
        let own = self.open(organisation, now);
        // A wait can only be estimated for a request that finds others before it. One that finds
        // a free slot is taken even if others lately took longer than its deadline allows.
        let waits = queued > 0 || self.running >= self.settings.slots;
        let wait = if waits {
            self.estimate_wait(own, queued)
        } else {
            Duration::ZERO
        };
        let hold = if waits {
            self.expect_hold()
        } else {
            Duration::ZERO
        };
        if deadline.is_some_and(|d| now + wait + hold >= d) {
            return Err(Reason::Deadline);
        }
        if queued >= self.settings.max_queued {
            return Err(Reason::QueueFull);
        }
        if waits && self.exceeds_share(own, queued) {
            return Err(Reason::ShareExceeded);
        }
        let cost = f64::from(cost.max(1));
        self.cost = if self.cost == 0.0 {
            cost
        } else {
            smooth(self.cost, cost)
        };
        self.next += 1;
        let place = self.next;
        let virtual_now = self.virtual_now;
        let waiting = Waiter {
            place,
            item,
            deadline: ticket.deadline,
            cost,
            since: now,
        };
        self.parts[own].push(priority, waiting, virtual_now);
        assert!(
            self.queued() <= self.settings.max_queued,
            "queue over its limit at place {place}"
        );
        Ok(WaiterId(place))
    }

    /// Takes the next request if a slot is free, and the requests that would be late.
    ///
    /// Call it after every `offer` and `finished` until `run` is empty, and at a timer of about
    /// 100 ms, because a request may become late while nothing else happens.
    pub fn dequeue(&mut self, now: Time) -> Dequeued<T> {
        // Under contention a slot goes only to a request that can also end in time.
        let free = self.settings.slots.saturating_sub(self.running) as usize;
        let margin = if self.queued() > free {
            self.expect_hold()
        } else {
            Duration::ZERO
        };
        let mut late = Vec::new();
        for part in &mut self.parts {
            part.drop_late(now + margin, &mut late);
        }
        let Some(next) = self.find_next(now) else {
            return Dequeued { ready: None, late };
        };
        let virtual_now = self.virtual_now.max(self.parts[next].start);
        let Some((waiting, _)) = self.parts[next].pop(now, self.settings.ageing_interval) else {
            return Dequeued { ready: None, late };
        };
        self.virtual_now = virtual_now;
        let mean = self.hold;
        self.parts[next].charge(waiting.cost, mean, now);
        if self.running == 0 {
            self.progress = now;
        }
        self.running += 1;
        assert!(
            self.running <= self.settings.slots,
            "{} requests run in {} slots",
            self.running,
            self.settings.slots
        );
        let organisation = self.parts[next].organisation.clone();
        let run = ReadyRequest {
            item: waiting.item,
            organisation,
            waited: now.since(waiting.since),
        };
        Dequeued {
            ready: Some(run),
            late,
        }
    }

    /// Frees the slot of a request that ended, however it ended.
    pub fn release_slot(&mut self, organisation: &Organisation, spent: Duration, now: Time) {
        assert!(
            self.running > 0,
            "{organisation} finished a request but none was running"
        );
        self.running -= 1;
        self.progress = now;
        let spent = spent.as_secs_f64();
        self.hold = if self.hold == 0.0 {
            spent
        } else {
            smooth(self.hold, spent)
        };
        let found = self
            .parts
            .iter_mut()
            .find(|t| &t.organisation == organisation);
        let part = found.expect("an organisation stays known while it has running requests");
        assert!(
            part.running > 0,
            "{organisation} finished a request but had none running"
        );
        part.running -= 1;
        part.seen = now;
        part.hold = if part.hold == 0.0 {
            spent
        } else {
            smooth(part.hold, spent)
        };
    }

    /// Notes that the backend server produced something.
    pub fn record_progress(&mut self, now: Time) {
        self.progress = now;
    }

    /// Takes a waiting request out, for example because it was cancelled.
    pub fn remove(&mut self, place: WaiterId) -> Option<T> {
        self.parts.iter_mut().find_map(|t| t.remove(place.0))
    }

    /// Takes all waiting requests out, for example because the agent drains.
    pub fn clear(&mut self) -> Vec<T> {
        self.parts
            .iter_mut()
            .flat_map(OrganisationQueue::clear)
            .collect()
    }

    /// Number of requests that wait.
    pub fn queued(&self) -> usize {
        self.parts.iter().map(OrganisationQueue::queued).sum()
    }

    /// The load now.
    pub fn report(&self, now: Time) -> LoadReport {
        LoadReport {
            running: self.running,
            queued: u32::try_from(self.queued()).unwrap_or(u32::MAX),
            slots: self.settings.slots,
            hold: Duration::from_secs_f64(self.hold),
            idle: if self.running == 0 {
                Duration::ZERO
            } else {
                now.since(self.progress)
            },
        }
    }

    /// The position of an organisation, which becomes active; long inactive ones are forgotten.
    fn open(&mut self, organisation: Organisation, now: Time) -> usize {
        self.parts
            .retain(|t| !t.is_idle() || now.since(t.seen) < ACTIVE_FOR);
        let found = self
            .parts
            .iter()
            .position(|t| t.organisation == organisation);
        let own = found.unwrap_or_else(|| {
            let weight = weigh(&self.settings, &organisation);
            self.parts
                .push(OrganisationQueue::new(organisation, weight));
            self.parts.len() - 1
        });
        self.parts[own].seen = now;
        own
    }

    /// The organisation whose request goes next, if one may run.
    fn find_next(&self, now: Time) -> Option<usize> {
        let free = self.settings.slots.saturating_sub(self.running);
        if free == 0 {
            return None;
        }
        let key = |part: &OrganisationQueue<T>| {
            let class = part.first_class(now, self.settings.ageing_interval)?;
            // An organisation below its share of the slots is owed service whatever its class.
            let class = if self.is_above_share(part) { class } else { 0 };
            let penalty = f64::from(class) * HEAD_START * self.cost / self.total_weight();
            Some(part.start.max(self.virtual_now) + penalty)
        };
        let may_run = |t: &OrganisationQueue<T>| {
            free > self.settings.reserved_slots || !self.is_above_share(t)
        };
        let ready = self.parts.iter().enumerate().filter(|(_, t)| may_run(t));
        let keyed = ready.filter_map(|(at, t)| Some((key(t)?, at)));
        keyed.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, at)| at)
    }

    fn total_weight(&self) -> f64 {
        self.parts.iter().map(|t| t.weight).sum()
    }

    /// Tells whether an organisation runs far more than its share of the slots.
    fn is_above_share(&self, part: &OrganisationQueue<T>) -> bool {
        let share = f64::from(self.settings.slots) * part.weight / self.total_weight();
        f64::from(part.running) >= share * GREEDY
    }

    /// Tells whether an organisation holds more waiting requests than the free room times its
    /// weight relative to the mean. This leaves room for organisations that come later, and one
    /// organisation alone can use half of the queue.
    fn exceeds_share(&self, own: usize, queued: usize) -> bool {
        let room = self.settings.max_queued.saturating_sub(queued) as f64;
        let mean = self.total_weight() / self.parts.len() as f64;
        let most = (room * self.parts[own].weight / mean).max(1.0);
        self.parts[own].queued() as f64 >= most
    }

    /// How long a new request of an organisation would wait: its own queue at its share of the
    /// service, but not longer than everything that waits.
    fn estimate_wait(&self, own: usize, queued: usize) -> Duration {
        let part = &self.parts[own];
        let busy: f64 = self
            .parts
            .iter()
            .filter(|t| t.queued() > 0)
            .map(|t| t.weight)
            .sum();
        let others = if part.queued() > 0 {
            busy
        } else {
            busy + part.weight
        };
        let turns = (part.queued() + 1) as f64 * others / part.weight;
        let ahead = turns.min(queued as f64 + 1.0);
        Duration::from_secs_f64(ahead * self.hold / f64::from(self.settings.slots.max(1)))
    }

    fn expect_hold(&self) -> Duration {
        Duration::from_secs_f64(self.hold)
    }
}

fn weigh(settings: &Settings, organisation: &Organisation) -> f64 {
    let listed = settings
        .weights
        .iter()
        .find(|w| &w.organisation == organisation);
    f64::from(listed.map_or(1, |w| w.weight.max(1)))
}

fn smooth(mean: f64, sample: f64) -> f64 {
    mean + (sample - mean) * SMOOTHING
}
