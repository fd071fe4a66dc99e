//! Streams that wait for a place under the concurrency limits of their service's groups.

use std::time::Duration;

use siskinbend_routing::Queue;
use siskinbend_routing::Requirements;
use siskinbend_routing::WaiterId;
use siskinbend_routing::admission::Rejected;
use siskinbend_routing::admission::Settings;
use siskinbend_routing::admission::StartInfo;
use siskinbend_types::Organisation;
use siskinbend_types::Reason;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;
use tokio::sync::oneshot;

use super::Fleet;
use super::ServiceRouting;
use crate::gateway::guards::AdmissionPermit;

/// Tells a waiting request that it may start, or why it is refused.
type Notice = Result<(), Reason>;

/// Request that a limited service admitted. It reserves a place until a server is chosen for it.
#[derive(Debug)]
pub(in crate::gateway) struct StartedRequest {
    organisation: Organisation,
    class: u8,
    since: Time,
    is_reserved: bool,
}

/// Result of [`Fleet::admit`].
pub(in crate::gateway) enum Admission {
    /// The request need not wait.
    Started,
    /// The request waits for a notice.
    Waiting {
        waiter: WaiterId,
        notice: oneshot::Receiver<Notice>,
        predicted: Duration,
    },
}

/// Queue of one service.
#[derive(Debug)]
pub(super) struct StreamQueue {
    queue: Queue<oneshot::Sender<Notice>>,
    /// Number of started requests for which no server has been chosen yet.
    reserved: u32,
}

impl Default for StreamQueue {
    fn default() -> Self {
        StreamQueue {
            queue: Queue::new(Settings::for_gateway()),
            reserved: 0,
        }
    }
}

impl StreamQueue {
    pub fn waiting(&self) -> usize {
        self.queue.queued()
    }

    /// Records that a server was chosen for a request, which counts against the limit from now on.
    pub fn confirm(&mut self, permit: &mut AdmissionPermit) {
        if let Some(started) = &mut permit.started
            && std::mem::replace(&mut started.is_reserved, false)
        {
            self.reserved = self.reserved.saturating_sub(1);
        }
    }

    fn start(&mut self, info: &StartInfo, permit: &mut AdmissionPermit, now: Time) {
        permit.started = Some(StartedRequest {
            organisation: info.organisation.clone(),
            class: info.class,
            since: now,
            is_reserved: true,
        });
    }

    /// Ends a request. One for which no server was chosen did not hold its place for a measurable
    /// time.
    fn end(&mut self, started: &StartedRequest, now: Time) {
        let held = match started.is_reserved {
            true => None,
            false => Some(now.since(started.since)),
        };
        self.reserved -= u32::from(started.is_reserved).min(self.reserved);
        self.queue
            .release_class(&started.organisation, started.class, held, now);
    }

    fn refuse_all(&mut self, reason: Reason) {
        for waiter in self.queue.clear() {
            // A caller that left needs no notice.
            let _ = waiter.send(Err(reason));
        }
    }
}

impl ServiceRouting {
    /// Number of requests that may start; `None` if all groups are closed.
    fn count_free(&self, now: Time) -> Option<u32> {
        let closed = self.list_closed(now);
        let free = self
            .limits
            .count_free(&self.picker, &closed, &self.closed_zones)?;
        Some(free.saturating_sub(self.streams.reserved))
    }

    /// Starts waiting requests while places are free.
    fn wake(&mut self, now: Time) {
        if self.streams.waiting() == 0 {
            return;
        }
        let mut free = self.count_free(now).unwrap_or(0);
        loop {
            let dequeued = self.streams.queue.dequeue_within(free, now);
            for late in dequeued.late {
                let _ = late.send(Err(Reason::ShareExceeded));
            }
            let Some(ready) = dequeued.ready else {
                return;
            };
            // A caller that left returns its place when its wait is dropped.
            let _ = ready.item.send(Ok(()));
            self.streams.reserved += 1;
            free = free.saturating_sub(1);
        }
    }
}

impl Fleet {
    /// Admits a stream request to a service, or lets it wait, if the limits of all usable groups are
    /// reached. A service without limits admits everything.
    pub fn admit(
        &mut self,
        service: &ServiceName,
        info: &StartInfo,
        permit: &mut AdmissionPermit,
        now: Time,
    ) -> Result<Admission, Rejected> {
        let routing = self.service(service);
        routing.wake(now);
        let (Some(limit), Some(free)) = (routing.limits.total_limit(), routing.count_free(now))
        else {
            return Ok(Admission::Started);
        };
        let streams = &mut routing.streams;
        streams.queue.set_slots(limit);
        if streams.queue.try_start(info, free, now) {
            streams.reserved += 1;
            streams.start(info, permit, now);
            return Ok(Admission::Started);
        }
        let (sender, notice) = oneshot::channel();
        let enqueued = streams.queue.enqueue_until(sender, info.clone(), now)?;
        if let Some(displaced) = enqueued.displaced {
            let _ = displaced.send(Err(Reason::Displaced));
        }
        // Others may wait only because they leave places to more urgent requests such as this one.
        routing.wake(now);
        Ok(Admission::Waiting {
            waiter: enqueued.waiter,
            notice,
            predicted: enqueued.predicted,
        })
    }

    /// Gives a request that was told to start its place.
    pub fn confirm_start(
        &mut self,
        service: &ServiceName,
        info: &StartInfo,
        permit: &mut AdmissionPermit,
        now: Time,
    ) {
        self.service(service).streams.start(info, permit, now);
    }

    /// Removes a waiting request. Returns whether it still waited.
    pub fn stop_waiting(&mut self, service: &ServiceName, waiter: WaiterId) -> bool {
        self.service(service).streams.queue.remove(waiter).is_some()
    }

    /// Ends the permit of a request for a service.
    pub fn release(&mut self, service: &ServiceName, permit: &mut AdmissionPermit, now: Time) {
        let routing = self.service(service);
        routing.release(permit);
        if let Some(started) = permit.started.take() {
            routing.streams.end(&started, now);
        }
        routing.wake(now);
    }

    /// Starts or refuses the waiting requests of a service after the state of a group changed.
    pub(super) fn recheck_waiting(&mut self, service: &ServiceName, now: Time) {
        let routing = self.service(service);
        if routing.streams.waiting() == 0 {
            return;
        }
        let requirements = Requirements {
            closed_groups: routing.list_closed(now),
            closed_zones: routing.closed_zones.clone(),
            ..Requirements::default()
        };
        let choice = routing.picker.choose(&requirements, now, &mut rand::rng());
        match choice {
            Ok(_) => routing.wake(now),
            Err(reason) => routing.streams.refuse_all(reason),
        }
    }

    /// Sum of the limits of a service's groups.
    pub fn total_limit(&mut self, service: &ServiceName) -> Option<u32> {
        self.service(service).limits.total_limit()
    }
}
