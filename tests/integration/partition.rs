//! Regions that lose each other; guards against a part that goes back to an older version, and
//! against one that stays behind after the parts meet again while the platform is still down.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use siskinbend_control::version::Action;
use siskinbend_control::version::Context;
use siskinbend_control::version::Event;
use siskinbend_control::version::FetchError;
use siskinbend_control::version::Fleet;
use siskinbend_control::version::Source;
use siskinbend_control::version::VersionTag;
use siskinbend_control::version::VersionTracker;
use siskinbend_document::Document;
use siskinbend_types::Time;
use siskinbend_types::Version;

const PROCESSES: usize = 20;

/// Processes from this one on are in the region that is cut off.
const CUT: usize = 10;

/// Interval of the ticks, in milliseconds.
const TICK: u64 = 50;

/// Two regions; only the first reaches the platform.
struct World {
    trackers: Vec<VersionTracker>,
    peers: Vec<SocketAddr>,
    rng: ChaCha8Rng,
    now: Time,
    parted: bool,
    /// Version that the platform has accepted, while it can be reached.
    accepted: Option<(VersionTag, Arc<str>)>,
}

fn address(index: usize) -> SocketAddr {
    let port = 1 + u16::try_from(index).expect("there are few processes");
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn accept(version: u64, text: &str) -> Option<(VersionTag, Arc<str>)> {
    let digest = Document::digest(text);
    let tag = VersionTag {
        version: Version(version),
        digest,
    };
    Some((tag, text.into()))
}

impl World {
    fn start() -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let peers: Vec<SocketAddr> = (0..PROCESSES).map(address).collect();
        let fleet = Fleet {
            peers: &peers,
            nodes: PROCESSES,
        };
        let mut start = || {
            VersionTracker::start(&mut Context {
                now: Time(0),
                fleet,
                rng: &mut rng,
            })
        };
        let trackers = (0..PROCESSES).map(|_| start()).collect();
        Self {
            trackers,
            peers,
            rng,
            now: Time(0),
            parted: false,
            accepted: None,
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.parted || (from < CUT) == (to < CUT)
    }

    fn run_until(&mut self, millis: u64) {
        while self.now < Time::from_millis(millis) {
            self.now = Time(self.now.0 + TICK * 1_000);
            for index in 0..PROCESSES {
                self.tell(index, Event::Tick);
            }
        }
    }

    fn tell(&mut self, index: usize, event: Event) {
        let mut queue = VecDeque::from([(index, event)]);
        while let Some((index, event)) = queue.pop_front() {
            let before = self.find_version(index);
            let others: Vec<_> = (0..PROCESSES)
                .filter(|n| *n != index)
                .map(address)
                .collect();
            let fleet = Fleet {
                peers: &others,
                nodes: PROCESSES,
            };
            let mut context = Context {
                now: self.now,
                fleet,
                rng: &mut self.rng,
            };
            let actions = self.trackers[index].handle(event, &mut context);
            assert!(
                self.find_version(index) >= before,
                "process {index} went back"
            );
            for action in actions {
                queue.extend(self.act(index, &action));
            }
        }
    }

    fn act(&self, index: usize, action: &Action) -> Option<(usize, Event)> {
        let find = |to: SocketAddr| self.peers.iter().position(|peer| *peer == to);
        match action {
            Action::Poll => {
                let seen = self.accepted.as_ref().filter(|_| index < CUT);
                Some((index, Event::Polled(seen.map(|(tag, _)| *tag))))
            }
            Action::SendBeacon(to, tag) => {
                let to = find(*to).filter(|to| self.reaches(index, *to))?;
                Some((to, Event::Beacon(address(index), *tag)))
            }
            Action::Fetch(source, tag) => {
                let text = self.fetch(index, *source, *tag);
                Some((index, Event::Fetched(*source, *tag, text)))
            }
            Action::Apply(_) => None,
        }
    }

    fn fetch(
        &self,
        from: usize,
        source: Source,
        wanted: VersionTag,
    ) -> Result<Arc<str>, FetchError> {
        match source {
            Source::ObjectStore => {
                let seen = self.accepted.as_ref().filter(|_| from < CUT);
                let held = seen.filter(|(tag, _)| *tag == wanted);
                held.map(|(_, text)| text.clone()).ok_or(FetchError::Failed)
            }
            Source::Peer(peer) => {
                let to = self.peers.iter().position(|other| *other == peer);
                let to = to
                    .filter(|to| self.reaches(from, *to))
                    .ok_or(FetchError::Failed)?;
                let held = self.trackers[to]
                    .current()
                    .filter(|held| held.tag == wanted);
                held.map(|held| held.text.clone())
                    .ok_or(FetchError::Missing)
            }
        }
    }

    fn find_version(&self, index: usize) -> u64 {
        self.trackers[index].tag().map_or(0, |tag| tag.version.0)
    }

    fn list_versions(&self, from: usize, to: usize) -> Vec<u64> {
        (from..to).map(|index| self.find_version(index)).collect()
    }
}

#[test]
fn parted_region_catches_up_without_the_platform() {
    let mut world = World::start();
    world.accepted = accept(1, "one");
    world.run_until(9_000);
    // The region that reaches no platform has learned the version from its peers.
    assert_eq!(world.list_versions(0, PROCESSES), [1; PROCESSES]);
    world.parted = true;
    world.accepted = accept(2, "two");
    world.run_until(18_000);
    assert_eq!(world.list_versions(0, CUT), [2; CUT]);
    world.run_until(3_600_000);
    assert_eq!(world.list_versions(CUT, PROCESSES), [1; PROCESSES - CUT]);
    // The platform fails before the regions meet again: only peers can tell.
    world.accepted = None;
    world.parted = false;
    world.run_until(3_609_000);
    assert_eq!(world.list_versions(0, PROCESSES), [2; PROCESSES]);
}
