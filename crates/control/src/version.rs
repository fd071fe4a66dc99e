//! Tracks the active document version of a process and distributes newer versions by gossip.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::RngCore;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;
use siskinbend_document::Document;
use siskinbend_types::Digest;
use siskinbend_types::Time;
use siskinbend_types::Version;

use crate::limits::BEACON_FANOUT;
use crate::limits::BEACON_INTERVAL;
use crate::limits::FETCH_BACKOFF_BASE;
use crate::limits::FETCH_TIMEOUT;
use crate::limits::FLEET_POLLS_PER_S;
use crate::limits::INITIAL_BEACON_INTERVAL;
use crate::limits::MAX_FETCH_BACKOFF;
use crate::limits::MAX_HOLDERS;
use crate::limits::MAX_POLL_INTERVAL;
use crate::limits::MAX_SERVED_FETCHES;
use crate::limits::MIN_POLL_INTERVAL;
use crate::limits::OBJECT_FETCH_PERIOD;
use crate::limits::POLL_JITTER;
use crate::limits::PUSH_FANOUT;

/// Identifies a document by version and digest; carried on every message between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionTag {
    /// Version of the document.
    pub version: Version,
    /// SHA-256 of the document text.
    pub digest: Digest,
}

/// A document version with its text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Content {
    /// Version and digest.
    pub tag: VersionTag,
    /// The text.
    pub text: Arc<str>,
}

/// Where content is fetched from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// A process in which the version is active.
    Peer(SocketAddr),
    /// The object store.
    ObjectStore,
}

/// Why a fetch returned no content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum FetchError {
    /// the source has reached its limit of concurrent fetches
    Busy,
    /// the source doesn't have the content
    Missing,
    /// the source did not return complete content
    Failed,
    /// this program can't parse the document
    Unreadable,
}

/// Input of a [`VersionTracker`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A timer expired; see [`VersionTracker::next_wake`].
    Tick,
    /// A message of a peer carried its active version.
    PeerVersion(SocketAddr, Option<VersionTag>),
    /// A peer sent a beacon; handled as `PeerVersion`, and answered if the peer's version is older.
    Beacon(SocketAddr, Option<VersionTag>),
    /// A poll of the environment row ended; `None` if it failed or the row is absent.
    Polled(Option<VersionTag>),
    /// A fetch ended. The caller passes on only text that it has parsed successfully.
    Fetched(Source, VersionTag, Result<Arc<str>, FetchError>),
}

/// Action that the caller of a [`VersionTracker`] carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the environment row, then report `Polled`.
    Poll,
    /// Send a beacon with this process's active version.
    SendBeacon(SocketAddr, Option<VersionTag>),
    /// Fetch content, then report `Fetched`.
    Fetch(Source, VersionTag),
    /// Use this content for new requests; requests in flight keep the content they started with.
    Apply(Content),
}

/// A process's view of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// Processes that beacons can be sent to, excluding this one.
    pub peers: &'a [SocketAddr],
    /// Number of processes that poll the table.
    pub nodes: usize,
}

/// Time, fleet and randomness for one call of a tracker.
pub struct Context<'a> {
    /// The process's own clock.
    pub now: Time,
    /// The process's view of the fleet.
    pub fleet: Fleet<'a>,
    /// Randomness for jitter and for the choice of peers.
    pub rng: &'a mut dyn RngCore,
}

/// Counters of rejected versions and failed fetches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// A version was received with a digest that differs from the known one.
    pub split: u64,
    /// The table returned a version older than the active one.
    pub stale: u64,
    /// Fetched content did not match its digest.
    pub corrupt: u64,
    /// A fetch failed or timed out.
    pub failed: u64,
}

#[derive(Debug)]
struct PendingFetch {
    tag: VersionTag,
    holders: Vec<SocketAddr>,
    started: Option<Time>,
    attempts: u32,
    next_attempt: Time,
}

/// Tracks the active version of one process and fetches newer ones.
#[derive(Debug)]
pub struct VersionTracker {
    current: Option<Content>,
    pending: Option<PendingFetch>,
    next_poll: Time,
    next_beacon: Time,
    counts: Counts,
}

/// Returns the poll interval of each of `nodes` processes.
pub fn poll_interval(nodes: usize) -> Duration {
    #[expect(
        clippy::cast_precision_loss,
        reason = "fleets have far fewer than 2^52 processes"
    )]
    let seconds = nodes as f64 / FLEET_POLLS_PER_S;
    Duration::from_secs_f64(seconds).clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL)
}

impl VersionTracker {
    /// Creates a tracker without a version. The first poll is delayed by a random part of the poll
    /// interval, so that processes that restart together do not read the table at the same time.
    pub fn start(context: &mut Context<'_>) -> Self {
        let interval = poll_interval(context.fleet.nodes);
        Self {
            current: None,
            pending: None,
            next_poll: context.now + interval.mul_f64(context.rng.random()),
            next_beacon: context.now,
            counts: Counts::default(),
        }
    }

    /// Returns the active content.
    pub fn current(&self) -> Option<&Content> {
        self.current.as_ref()
    }

    /// Returns version and digest of the active content, as sent with every message to a peer.
    pub fn tag(&self) -> Option<VersionTag> {
        self.current.as_ref().map(|content| content.tag)
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Returns the time at which the next [`Event::Tick`] is due.
    pub fn next_wake(&self) -> Time {
        let fetch = self.pending.as_ref().map(|pending| match pending.started {
            Some(started) => started + FETCH_TIMEOUT,
            None => pending.next_attempt,
        });
        let timer = self.next_poll.min(self.next_beacon);
        fetch.map_or(timer, |fetch| fetch.min(timer))
    }

    /// Activates content that this process itself wrote, and announces it to peers.
    ///
    /// The operator's command announces the version and serves fetches before it exits, so that a
    /// platform outage right after the commit does not hide the version from the fleet.
    pub fn announce(&mut self, content: Content, context: &mut Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.apply(content, context, &mut actions);
        actions
    }

    /// Handles an event and returns the actions to carry out.
    ///
    /// # Panics
    ///
    /// Panics if the active version would not increase.
    pub fn handle(&mut self, event: Event, context: &mut Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(context, &mut actions),
            Event::PeerVersion(peer, tag) => self.record_peer_version(peer, tag, context.now),
            Event::Beacon(peer, tag) => {
                self.record_peer_version(peer, tag, context.now);
                let own = self.tag();
                let is_newer = |own: &VersionTag| tag.is_none_or(|s| s.version < own.version);
                if own.as_ref().is_some_and(is_newer) {
                    actions.push(Action::SendBeacon(peer, own));
                }
            }
            Event::Polled(None) => {}
            Event::Polled(Some(tag)) => self.record_version(tag, None, context.now),
            Event::Fetched(source, tag, Ok(text)) => {
                self.accept_content(source, Content { tag, text }, context, &mut actions);
            }
            Event::Fetched(source, tag, Err(error)) => {
                self.record_failure(source, tag, error, context);
            }
        }
        self.start_fetch(context, &mut actions);
        actions
    }

    fn tick(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action>) {
        if context.now >= self.next_poll {
            let jitter = 1.0 + POLL_JITTER * context.rng.random::<f64>();
            self.next_poll = context.now + poll_interval(context.fleet.nodes).mul_f64(jitter);
            actions.push(Action::Poll);
        }
        if context.now >= self.next_beacon {
            self.send_beacons(BEACON_FANOUT, context, actions);
            let interval = match self.current {
                Some(_) => BEACON_INTERVAL,
                None => INITIAL_BEACON_INTERVAL,
            };
            self.next_beacon =
                context.now + interval.mul_f64(0.9 + 0.2 * context.rng.random::<f64>());
        }
        let timed_out = |started: Time| context.now.since(started) >= FETCH_TIMEOUT;
        if let Some(pending) = &mut self.pending
            && pending.started.is_some_and(timed_out)
        {
            self.counts.failed += 1;
            pending.started = None;
        }
    }

    fn send_beacons(&self, count: usize, context: &mut Context<'_>, actions: &mut Vec<Action>) {
        let tag = self.tag();
        let peers = context.fleet.peers.choose_multiple(context.rng, count);
        actions.extend(peers.map(|peer| Action::SendBeacon(*peer, tag)));
    }

    fn record_peer_version(&mut self, peer: SocketAddr, tag: Option<VersionTag>, now: Time) {
        if let Some(tag) = tag {
            self.record_version(tag, Some(peer), now);
        }
    }

    /// Records a version that is active at `peer`, or that the table names if `peer` is `None`.
    fn record_version(&mut self, tag: VersionTag, peer: Option<SocketAddr>, now: Time) {
        if let Some(own) = self.tag() {
            if tag.version < own.version {
                self.counts.stale += u64::from(peer.is_none());
                return;
            }
            if tag.version == own.version {
                self.counts.split += u64::from(tag.digest != own.digest);
                return;
            }
        }
        let known = self.pending.as_ref().map(|pending| pending.tag);
        match known {
            Some(known) if tag.version < known.version => return,
            Some(known) if tag == known => {}
            Some(known) if tag.version == known.version => {
                self.counts.split += 1;
                // This version is not active here yet, and the table is authoritative for it.
                if peer.is_some() {
                    return;
                }
                self.set_pending(tag, now);
            }
            _ => self.set_pending(tag, now),
        }
        if let (Some(pending), Some(peer)) = (&mut self.pending, peer)
            && !pending.holders.contains(&peer)
        {
            if pending.holders.len() == MAX_HOLDERS {
                pending.holders.remove(0);
            }
            pending.holders.push(peer);
        }
    }

    fn set_pending(&mut self, tag: VersionTag, now: Time) {
        self.pending = Some(PendingFetch {
            tag,
            holders: Vec::new(),
            started: None,
            attempts: 0,
            next_attempt: now,
        });
    }

    /// Starts the next fetch if one is due.
    fn start_fetch(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action>) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        if pending.started.is_some() || context.now < pending.next_attempt {
            return;
        }
        pending.attempts += 1;
        let holder = match pending.attempts % OBJECT_FETCH_PERIOD {
            0 => None,
            _ => pending.holders.choose(context.rng),
        };
        let source = holder.map_or(Source::ObjectStore, |peer| Source::Peer(*peer));
        pending.started = Some(context.now);
        actions.push(Action::Fetch(source, pending.tag));
    }

    fn record_failure(
        &mut self,
        source: Source,
        tag: VersionTag,
        error: FetchError,
        context: &mut Context<'_>,
    ) {
        self.counts.failed += 1;
        let Some(pending) = self.pending.as_mut().filter(|pending| pending.tag == tag) else {
            return;
        };
        if let (Source::Peer(peer), true) = (source, error != FetchError::Busy) {
            // The peer is used again only after it has sent the version once more.
            pending.holders.retain(|holder| *holder != peer);
        }
        let doubled = FETCH_BACKOFF_BASE.saturating_mul(1 << pending.attempts.min(16));
        pending.started = None;
        pending.next_attempt =
            context.now + doubled.min(MAX_FETCH_BACKOFF).mul_f64(context.rng.random());
    }

    fn accept_content(
        &mut self,
        source: Source,
        content: Content,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        if Document::digest(&content.text) != content.tag.digest {
            self.counts.corrupt += 1;
            self.record_failure(source, content.tag, FetchError::Failed, context);
            return;
        }
        // Content that is no longer pending is dropped: a newer version may be active by now, or the
        // table may have named another digest for this version.
        let expected = self.pending.as_ref().map(|pending| pending.tag);
        if expected == Some(content.tag) {
            self.apply(content, context, actions);
        }
    }

    fn apply(&mut self, content: Content, context: &mut Context<'_>, actions: &mut Vec<Action>) {
        let next = content.tag;
        if let Some(own) = self.tag() {
            assert!(
                next.version > own.version,
                "version {} ({}) is not newer than the active version {} ({})",
                next.version,
                next.digest,
                own.version,
                own.digest
            );
        }
        self.current = Some(content.clone());
        self.pending = self
            .pending
            .take()
            .filter(|pending| pending.tag.version > next.version);
        actions.push(Action::Apply(content));
        self.send_beacons(PUSH_FANOUT, context, actions);
        self.next_beacon = context.now + BEACON_INTERVAL.mul_f64(context.rng.random());
    }
}

/// Limits the fetches that a process serves concurrently.
#[derive(Debug, Clone, Copy, Default)]
pub struct FetchLimiter {
    active: u32,
    refused: u64,
}

impl FetchLimiter {
    /// Takes a permit for one fetch; `false` if none is free and the fetch is refused as busy.
    pub fn try_acquire(&mut self) -> bool {
        let available = self.active < MAX_SERVED_FETCHES;
        if available {
            self.active += 1;
        } else {
            self.refused += 1;
        }
        available
    }

    /// Returns the permit of an admitted fetch.
    pub fn release(&mut self) {
        self.active = self.active.saturating_sub(1);
    }

    /// Returns the number of refused fetches.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
