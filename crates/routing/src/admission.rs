//! The agent's bounded queue, fair between organisations.

use std::time::Duration;

use siskinbend_types::Organisation;
use siskinbend_types::Priority;
use siskinbend_types::Reason;
use siskinbend_types::Time;

use crate::Report;

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
    /// Requests that may wait.
    pub limit: usize,
    /// Weights of organisations; one that isn't listed has weight 1.
    pub weights: Vec<Weight>,
    /// Waiting time after which a request rises by one priority.
    pub ageing: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            slots: 8,
            limit: 64,
            weights: Vec::new(),
            ageing: Duration::from_secs(2),
        }
    }
}

/// What the queue needs to know about a request.
#[derive(Debug, Clone)]
pub struct Ticket {
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
pub struct Place(u64);

/// A request that may run now.
#[derive(Debug)]
pub struct Run<T> {
    /// The request.
    pub item: T,
    /// Who pays for it.
    pub organisation: Organisation,
    /// How long it waited.
    pub waited: Duration,
}

/// What a look at the queue yields.
#[derive(Debug)]
pub struct Taken<T> {
    /// The next request, if a slot is free; the slot is in use until `finished`.
    pub run: Option<Run<T>>,
    /// Requests whose deadline can't be met any more, to be refused with [`Reason::Deadline`].
    pub late: Vec<T>,
}

struct Waiting<T> {
    place: Place,
    item: T,
    ticket: Ticket,
    since: Time,
}

/// Requests that wait for a slot of the backend server.
pub struct Queue<T> {
    settings: Settings,
    waiting: Vec<Waiting<T>>,
    running: u32,
    next: u64,
    hold: Duration,
    progress: Time,
}

impl<T> Queue<T> {
    /// An empty queue.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            waiting: Vec::new(),
            running: 0,
            next: 0,
            hold: Duration::ZERO,
            progress: Time::default(),
        }
    }

    /// Replaces the limits; requests that already wait stay.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Adds a request.
    ///
    /// # Errors
    ///
    /// `QueueFull`, `ShareExceeded` or `Deadline`; the item is dropped and was not run.
    pub fn offer(&mut self, item: T, ticket: Ticket, now: Time) -> Result<Place, Reason> {
        if self.waiting.len() >= self.settings.limit {
            return Err(Reason::QueueFull);
        }
        self.next += 1;
        let place = Place(self.next);
        self.waiting.push(Waiting {
            place,
            item,
            ticket,
            since: now,
        });
        Ok(place)
    }

    /// Takes the next request if a slot is free, and the requests that would be late.
    pub fn take(&mut self, now: Time) -> Taken<T> {
        let mut late = Vec::new();
        while let Some(at) = self
            .waiting
            .iter()
            .position(|w| w.ticket.deadline.is_some_and(|d| d <= now))
        {
            late.push(self.waiting.remove(at).item);
        }
        if self.waiting.is_empty() || self.running >= self.settings.slots {
            return Taken { run: None, late };
        }
        let first = self.waiting.remove(0);
        if self.running == 0 {
            self.progress = now;
        }
        self.running += 1;
        let waited = now.since(first.since);
        let organisation = first.ticket.organisation;
        Taken {
            run: Some(Run {
                item: first.item,
                organisation,
                waited,
            }),
            late,
        }
    }

    /// Frees the slot of a request that ended, however it ended.
    pub fn finished(&mut self, organisation: &Organisation, spent: Duration, now: Time) {
        assert!(
            self.running > 0,
            "{organisation} finished a request but none was running"
        );
        self.running -= 1;
        self.hold = if self.hold.is_zero() {
            spent
        } else {
            (self.hold * 7 + spent) / 8
        };
        self.progress = now;
    }

    /// Notes that the backend server produced something.
    pub fn progress(&mut self, now: Time) {
        self.progress = now;
    }

    /// Takes a waiting request out, for example because it was cancelled.
    pub fn remove(&mut self, place: Place) -> Option<T> {
        let at = self.waiting.iter().position(|w| w.place == place)?;
        Some(self.waiting.remove(at).item)
    }

    /// The load now.
    pub fn report(&self, now: Time) -> Report {
        Report {
            running: self.running,
            queued: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            slots: self.settings.slots,
            hold: self.hold,
            idle: if self.running == 0 {
                Duration::ZERO
            } else {
                now.since(self.progress)
            },
        }
    }
}
