//! Network partition between two regions. Guards against a region that reverts to an older version,
//! and against one that stays on an old version after the partition heals during a platform outage.

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

/// Index of the first process in the isolated region.
const FIRST_ISOLATED: usize = 10;

/// Interval of the ticks in milliseconds.
const TICK_MS: u64 = 50;

/// Simulation of two regions, of which only the first reaches the platform.
struct Simulation {
    trackers: Vec<VersionTracker>,
    peers: Vec<SocketAddr>,
    rng: ChaCha8Rng,
    now: Time,
    partitioned: bool,
    /// Version that the platform serves; `None` during an outage of the platform.
    accepted: Option<(VersionTag, Arc<str>)>,
}

fn address(index: usize) -> SocketAddr {
    let port = 1 + u16::try_from(index).expect("there are few processes");
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn make_version(version: u64, text: &str) -> Option<(VersionTag, Arc<str>)> {
    let digest = Document::digest(text);
    let tag = VersionTag {
        version: Version(version),
        digest,
    };
    Some((tag, text.into()))
}

impl Simulation {
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
            partitioned: false,
            accepted: None,
        }
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        !self.partitioned || (from < FIRST_ISOLATED) == (to < FIRST_ISOLATED)
    }

    fn run_until(&mut self, millis: u64) {
        while self.now < Time::from_millis(millis) {
            self.now = Time(self.now.0 + TICK_MS * 1_000);
            for index in 0..PROCESSES {
                self.deliver(index, Event::Tick);
            }
        }
    }

    fn deliver(&mut self, index: usize, event: Event) {
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
                "process {index} reverted to an older version"
            );
            for action in actions {
                queue.extend(self.execute(index, &action));
            }
        }
    }

    fn execute(&self, index: usize, action: &Action) -> Option<(usize, Event)> {
        let find = |to: SocketAddr| self.peers.iter().position(|peer| *peer == to);
        match action {
            Action::Poll => {
                let seen = self.accepted.as_ref().filter(|_| index < FIRST_ISOLATED);
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
        expected: VersionTag,
    ) -> Result<Arc<str>, FetchError> {
        match source {
            Source::ObjectStore => {
                let seen = self.accepted.as_ref().filter(|_| from < FIRST_ISOLATED);
                let content = seen.filter(|(tag, _)| *tag == expected);
                content
                    .map(|(_, text)| text.clone())
                    .ok_or(FetchError::Failed)
            }
            Source::Peer(peer) => {
                let to = self.peers.iter().position(|other| *other == peer);
                let to = to
                    .filter(|to| self.reaches(from, *to))
                    .ok_or(FetchError::Failed)?;
                let content = self.trackers[to]
                    .current()
                    .filter(|content| content.tag == expected);
                content
                    .map(|content| content.text.clone())
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
fn isolated_region_catches_up_without_the_platform() {
    let mut simulation = Simulation::start();
    simulation.accepted = make_version(1, "one");
    simulation.run_until(9_000);
    // The second region has no access to the platform and got the version from its peers.
    assert_eq!(simulation.list_versions(0, PROCESSES), [1; PROCESSES]);
    simulation.partitioned = true;
    simulation.accepted = make_version(2, "two");
    simulation.run_until(18_000);
    assert_eq!(
        simulation.list_versions(0, FIRST_ISOLATED),
        [2; FIRST_ISOLATED]
    );
    simulation.run_until(3_600_000);
    assert_eq!(
        simulation.list_versions(FIRST_ISOLATED, PROCESSES),
        [1; PROCESSES - FIRST_ISOLATED]
    );
    // The platform fails before the partition heals, so only peers can distribute the version.
    simulation.accepted = None;
    simulation.partitioned = false;
    simulation.run_until(3_609_000);
    assert_eq!(simulation.list_versions(0, PROCESSES), [2; PROCESSES]);
}
