//! Which version of the document a process serves, and how it learns of a newer one.

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

/// A version and the digest of its content; carried on every message between processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionTag {
    /// Version of the document.
    pub version: Version,
    /// SHA-256 of its text.
    pub digest: Digest,
}

/// The text of a version.
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
    /// A process that has it in force.
    Peer(SocketAddr),
    /// The object store.
    ObjectStore,
}

/// Why a fetch brought no content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum FetchError {
    /// the source serves as many fetches as it may
    Busy,
    /// the source doesn't have the content
    Missing,
    /// the source gave no complete answer
    Failed,
    /// this program can't read the document
    Unreadable,
}

/// Something that a process hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time passed; see [`VersionTracker::next_wake`].
    Tick,
    /// A message of a peer carried what it has in force.
    PeerVersion(SocketAddr, Option<VersionTag>),
    /// A beacon of a peer; as `PeerVersion`, and answered if the peer is behind.
    Beacon(SocketAddr, Option<VersionTag>),
    /// A poll of the environment's row ended; `None` if it failed or there is no row.
    Polled(Option<VersionTag>),
    /// A fetch ended. The shell has found the text readable before it passes it on.
    Fetched(Source, VersionTag, Result<Arc<str>, FetchError>),
}

/// Something that the shell carries out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Read the environment's row, then report `Polled`.
    Poll,
    /// Send a beacon with what is in force here.
    SendBeacon(SocketAddr, Option<VersionTag>),
    /// Fetch content, then report `Fetched`.
    Fetch(Source, VersionTag),
    /// Serve new requests under this content; those in flight keep theirs.
    Apply(Content),
}

/// What a process knows of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Fleet<'a> {
    /// Processes to which beacons can be sent, this one left out.
    pub peers: &'a [SocketAddr],
    /// Processes that poll the table.
    pub nodes: usize,
}

/// Time, fleet and randomness for one step of a tracker.
pub struct Context<'a> {
    /// The process's own clock.
    pub now: Time,
    /// What the process knows of the fleet.
    pub fleet: Fleet<'a>,
    /// Source of jitter and of random peers.
    pub rng: &'a mut dyn RngCore,
}

/// Counters of refusals.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// A version was heard with another digest than the one known.
    pub split: u64,
    /// The table showed an older version than the one in force.
    pub stale: u64,
    /// Content didn't match its digest.
    pub corrupt: u64,
    /// A fetch failed or timed out.
    pub failed: u64,
}

#[derive(Debug)]
struct Wanted {
    tag: VersionTag,
    holders: Vec<SocketAddr>,
    fetching: Option<Time>,
    tries: u32,
    retry: Time,
}

/// Tracks the version in force of one process.
#[derive(Debug)]
pub struct VersionTracker {
    current: Option<Content>,
    wanted: Option<Wanted>,
    poll: Time,
    beacon: Time,
    counts: Counts,
}

/// Returns the interval at which one of `nodes` processes polls the table.
pub fn poll_interval(nodes: usize) -> Duration {
    #[expect(
        clippy::cast_precision_loss,
        reason = "fleets have far fewer than 2^52 processes"
    )]
    let seconds = nodes as f64 / FLEET_POLLS_PER_S;
    Duration::from_secs_f64(seconds).clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL)
}

impl VersionTracker {
    /// Starts a process that knows no version. Its first poll is spread over a whole interval,
    /// so that a fleet that restarts at once doesn't read the table at once.
    pub fn start(context: &mut Context<'_>) -> Self {
        let interval = poll_interval(context.fleet.nodes);
        Self {
            current: None,
            wanted: None,
            poll: context.now + interval.mul_f64(context.rng.random()),
            beacon: context.now,
            counts: Counts::default(),
        }
    }

    /// The content in force.
    pub fn current(&self) -> Option<&Content> {
        self.current.as_ref()
    }

    /// Version and digest in force, for every message to a peer.
    pub fn tag(&self) -> Option<VersionTag> {
        self.current.as_ref().map(|content| content.tag)
    }

    /// Counters of refusals.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Time of the next tick that has something to do.
    pub fn next_wake(&self) -> Time {
        let fetch = self.wanted.as_ref().map(|wanted| match wanted.fetching {
            Some(since) => since + FETCH_TIMEOUT,
            None => wanted.retry,
        });
        let timer = self.poll.min(self.beacon);
        fetch.map_or(timer, |fetch| fetch.min(timer))
    }

    /// Puts content in force that this process itself had accepted, as the operator's command
    /// does: it announces the version to peers and serves fetches before it ends, so that an
    /// outage right after the acceptance doesn't hide the version.
    pub fn announce(&mut self, content: Content, context: &mut Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.apply(content, context, &mut actions);
        actions
    }

    /// Takes an event and returns what to do.
    ///
    /// # Panics
    ///
    /// Panics if the version in force would decrease.
    pub fn handle(&mut self, event: Event, context: &mut Context<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(context, &mut actions),
            Event::PeerVersion(peer, tag) => self.hear(peer, tag, context.now),
            Event::Beacon(peer, tag) => {
                self.hear(peer, tag, context.now);
                let own = self.tag();
                let behind = |own: &VersionTag| tag.is_none_or(|s| s.version < own.version);
                if own.as_ref().is_some_and(behind) {
                    actions.push(Action::SendBeacon(peer, own));
                }
            }
            Event::Polled(None) => {}
            Event::Polled(Some(tag)) => self.learn(tag, None, context.now),
            Event::Fetched(source, tag, Ok(text)) => {
                self.accept(source, Content { tag, text }, context, &mut actions);
            }
            Event::Fetched(source, tag, Err(error)) => {
                self.fail(source, tag, error, context);
            }
        }
        self.fetch(context, &mut actions);
        actions
    }

    fn tick(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action>) {
        if context.now >= self.poll {
            let jitter = 1.0 + POLL_JITTER * context.rng.random::<f64>();
            self.poll = context.now + poll_interval(context.fleet.nodes).mul_f64(jitter);
            actions.push(Action::Poll);
        }
        if context.now >= self.beacon {
            self.send_beacons(BEACON_FANOUT, context, actions);
            let interval = match self.current {
                Some(_) => BEACON_INTERVAL,
                None => INITIAL_BEACON_INTERVAL,
            };
            self.beacon = context.now + interval.mul_f64(0.9 + 0.2 * context.rng.random::<f64>());
        }
        let late = |since: Time| context.now.since(since) >= FETCH_TIMEOUT;
        if let Some(wanted) = &mut self.wanted
            && wanted.fetching.is_some_and(late)
        {
            self.counts.failed += 1;
            wanted.fetching = None;
        }
    }

    fn send_beacons(&self, count: usize, context: &mut Context<'_>, actions: &mut Vec<Action>) {
        let tag = self.tag();
        let peers = context.fleet.peers.choose_multiple(context.rng, count);
        actions.extend(peers.map(|peer| Action::SendBeacon(*peer, tag)));
    }

    fn hear(&mut self, peer: SocketAddr, tag: Option<VersionTag>, now: Time) {
        if let Some(tag) = tag {
            self.learn(tag, Some(peer), now);
        }
    }

    /// Notes a version heard from a peer that has it in force, or from the table (`None`).
    fn learn(&mut self, tag: VersionTag, peer: Option<SocketAddr>, now: Time) {
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
        let known = self.wanted.as_ref().map(|wanted| wanted.tag);
        match known {
            Some(known) if tag.version < known.version => return,
            Some(known) if tag == known => {}
            Some(known) if tag.version == known.version => {
                self.counts.split += 1;
                // Nothing of this version is in force here yet, and the table is the authority.
                if peer.is_some() {
                    return;
                }
                self.want(tag, now);
            }
            _ => self.want(tag, now),
        }
        if let (Some(wanted), Some(peer)) = (&mut self.wanted, peer)
            && !wanted.holders.contains(&peer)
        {
            if wanted.holders.len() == MAX_HOLDERS {
                wanted.holders.remove(0);
            }
            wanted.holders.push(peer);
        }
    }

    fn want(&mut self, tag: VersionTag, now: Time) {
        self.wanted = Some(Wanted {
            tag,
            holders: Vec::new(),
            fetching: None,
            tries: 0,
            retry: now,
        });
    }

    /// Starts the next fetch if one is due.
    fn fetch(&mut self, context: &mut Context<'_>, actions: &mut Vec<Action>) {
        let Some(wanted) = &mut self.wanted else {
            return;
        };
        if wanted.fetching.is_some() || context.now < wanted.retry {
            return;
        }
        wanted.tries += 1;
        let holder = match wanted.tries % OBJECT_FETCH_PERIOD {
            0 => None,
            _ => wanted.holders.choose(context.rng),
        };
        let source = holder.map_or(Source::ObjectStore, |peer| Source::Peer(*peer));
        wanted.fetching = Some(context.now);
        actions.push(Action::Fetch(source, wanted.tag));
    }

    fn fail(
        &mut self,
        source: Source,
        tag: VersionTag,
        error: FetchError,
        context: &mut Context<'_>,
    ) {
        self.counts.failed += 1;
        let Some(wanted) = self.wanted.as_mut().filter(|wanted| wanted.tag == tag) else {
            return;
        };
        if let (Source::Peer(peer), true) = (source, error != FetchError::Busy) {
            // A peer that failed is asked again only after it is heard again.
            wanted.holders.retain(|holder| *holder != peer);
        }
        let doubled = FETCH_BACKOFF_BASE.saturating_mul(1 << wanted.tries.min(16));
        wanted.fetching = None;
        wanted.retry = context.now + doubled.min(MAX_FETCH_BACKOFF).mul_f64(context.rng.random());
    }

    fn accept(
        &mut self,
        source: Source,
        content: Content,
        context: &mut Context<'_>,
        actions: &mut Vec<Action>,
    ) {
        if Document::digest(&content.text) != content.tag.digest {
            self.counts.corrupt += 1;
            self.fail(source, content.tag, FetchError::Failed, context);
            return;
        }
        // An answer may come late, after a newer version is in force. Content that is no longer
        // wanted is dropped too: the table may have named another digest for its version.
        let wanted = self.wanted.as_ref().map(|wanted| wanted.tag);
        if wanted == Some(content.tag) {
            self.apply(content, context, actions);
        }
    }

    fn apply(&mut self, content: Content, context: &mut Context<'_>, actions: &mut Vec<Action>) {
        let next = content.tag;
        if let Some(own) = self.tag() {
            assert!(
                next.version > own.version,
                "version {} ({}) would replace version {} ({})",
                next.version,
                next.digest,
                own.version,
                own.digest
            );
        }
        self.current = Some(content.clone());
        self.wanted = self.wanted.take().filter(|w| w.tag.version > next.version);
        actions.push(Action::Apply(content));
        self.send_beacons(PUSH_FANOUT, context, actions);
        self.beacon = context.now + BEACON_INTERVAL.mul_f64(context.rng.random());
    }
}

/// Limits the fetches that a process serves at the same time.
#[derive(Debug, Clone, Copy, Default)]
pub struct FetchLimiter {
    active: u32,
    refused: u64,
}

impl FetchLimiter {
    /// Takes a place for one fetch; `false` if there is none, and the fetch is refused as busy.
    pub fn try_acquire(&mut self) -> bool {
        let free = self.active < MAX_SERVED_FETCHES;
        if free {
            self.active += 1;
        } else {
            self.refused += 1;
        }
        free
    }

    /// Gives the place of an admitted fetch back.
    pub fn release(&mut self) {
        self.active = self.active.saturating_sub(1);
    }

    /// Fetches refused so far.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
