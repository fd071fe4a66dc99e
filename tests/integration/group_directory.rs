//! Several groups behind one service: which ranks belong to which group, and who leads each.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use proptest::prelude::*;
use siskinbend_groups::report::RankReport;
use siskinbend_groups::report::ReportBundle;
use siskinbend_groups::view::GroupView;
use siskinbend_site::engine::RankState;
use siskinbend_types::EngineGroup;
use siskinbend_types::Time;
use siskinbend_types::Zone;

/// Addresses, group and index of the ranks of one service, and the views of their agents.
struct Service {
    views: BTreeMap<SocketAddr, GroupView>,
    states: BTreeMap<SocketAddr, RankState>,
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 200) as u8, (n % 200) as u8], 8_000))
}

fn group(n: usize) -> EngineGroup {
    format!("g0-{n}").parse().expect("any text is a group")
}

fn zone(n: usize) -> Zone {
    format!("zone-{n}").parse().expect("a zone")
}

impl Service {
    /// Creates groups of the given sizes. The addresses of their ranks alternate, and so do the
    /// three zones.
    fn new(sizes: &[usize]) -> Service {
        let longest = sizes.iter().max().copied().unwrap_or(0);
        let mut states = BTreeMap::new();
        for rank in 0..longest {
            for (n, size) in sizes.iter().enumerate().filter(|(_, size)| rank < **size) {
                let state = RankState {
                    group: group(n),
                    rank: rank as u16,
                    size: *size as u16,
                    open: true,
                    ..RankState::default()
                };
                states.insert(address(states.len()), state);
            }
        }
        let registered: BTreeMap<SocketAddr, Zone> = (0..states.len())
            .map(|n| (address(n), zone(n % 3)))
            .collect();
        let mut views = BTreeMap::new();
        for (rank, state) in &states {
            let mut view = GroupView::new(*rank, registered[rank].clone());
            view.set_registered(registered.clone());
            view.set_own_state(state, 1_000);
            views.insert(*rank, view);
        }
        Service { views, states }
    }

    /// Lets each agent ask one other agent; returns the number of asked agents that answered with
    /// their directory.
    fn exchange(&mut self, random: &mut impl FnMut() -> u64) -> usize {
        let mut transfers = 0;
        let ranks: Vec<SocketAddr> = self.views.keys().copied().collect();
        for rank in ranks {
            let asker = &self.views[&rank];
            let query = asker.query_directory();
            let Some(partner) = asker.choose_partner(random()) else {
                continue;
            };
            let Some(asked) = self.views.get_mut(&partner) else {
                continue;
            };
            if let Some(entries) = asked.answer_directory(query) {
                transfers += 1;
                self.view(rank).merge_directory(entries);
            }
        }
        transfers
    }

    fn view(&mut self, rank: SocketAddr) -> &mut GroupView {
        self.views.get_mut(&rank).expect("a rank of the service")
    }

    fn is_complete(&self) -> bool {
        self.views.values().all(GroupView::is_complete)
    }

    /// Exchanges directories until every agent knows its whole group; returns the rounds.
    fn converge(&mut self) -> usize {
        let mut random = seeded_numbers(7);
        (1..100)
            .find(|_| {
                self.exchange(&mut random);
                self.is_complete()
            })
            .expect("the directories converge")
    }

    /// Each agent sends its report once, highest address first, so that reports reach the leader
    /// in one round.
    fn report(&mut self, now: Time) {
        let ranks: Vec<SocketAddr> = self.states.keys().rev().copied().collect();
        for rank in ranks {
            let report = RankReport {
                rank,
                state: self.states[&rank].clone(),
                placement: vec![vec![0]],
                age_ms: 0,
            };
            let bundle = self.view(rank).collect(Some((report, vec![1, 0])), now);
            let receiver = self.views[&rank].list_receivers(now).first().copied();
            match receiver {
                Some(receiver) => assert!(self.view(receiver).receive(bundle, now)),
                None => self.view(rank).record_bundle(bundle, now),
            }
        }
    }

    fn list_leaders(&self, now: Time) -> Vec<SocketAddr> {
        let leads = |view: &GroupView| view.list_leader_candidates(now).is_empty();
        let leaders = self.views.iter().filter(|(_, view)| leads(view));
        leaders.map(|(rank, _)| *rank).collect()
    }
}

/// Pseudorandom numbers (splitmix64).
fn seeded_numbers(seed: u64) -> impl FnMut() -> u64 {
    let mut state = seed;
    move || {
        state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}

/// Guards against an agent that waits for the ranks of other groups: each group of a service has
/// its own leader, which receives the reports of exactly its own ranks.
#[test]
fn each_group_has_a_leader() {
    let mut service = Service::new(&[24, 24, 24]);
    service.converge();
    let now = Time::from_millis(1_000);
    let leaders = service.list_leaders(now);
    assert_eq!(leaders, [address(0), address(1), address(2)]);
    service.report(now);
    for leader in leaders {
        let ranks = service.view(leader).list_addresses(now);
        assert_eq!(ranks.map(|r| r.len()), Some(24), "reports at {leader}");
    }
}

/// Guards against a discovery that needs an agent which all others ask, or polls that grow with the
/// square of the number of ranks: the directories converge in a few rounds of one query each, and
/// then nothing is sent any more.
#[test]
fn directories_converge() {
    let mut service = Service::new(&[64; 12]);
    let rounds = service.converge();
    assert!(rounds <= 12, "{rounds} rounds");
    let mut random = seeded_numbers(8);
    for _ in 0..12 {
        service.exchange(&mut random);
    }
    assert_eq!(service.exchange(&mut random), 0, "directories sent again");
}

/// Guards against reports that never arrive in a large group, and against a leader that receives a
/// message from every rank: the reports of a zone arrive in one bundle.
#[test]
fn zones_bundle_reports() {
    let mut service = Service::new(&[129]);
    service.converge();
    let now = Time::from_millis(1_000);
    let leader = address(0);
    let receivers: BTreeSet<SocketAddr> = service
        .views
        .values()
        .filter_map(|view| view.list_receivers(now).first().copied())
        .collect();
    assert_eq!(receivers, BTreeSet::from([leader, address(1), address(2)]));
    service.report(now);
    let view = service.view(leader);
    assert_eq!(view.list_addresses(now).map(|r| r.len()), Some(129));
    assert_eq!(view.demand.sum_counts(), 129.0, "counts of all ranks");
}

/// Guards against a rank that follows its old group after it has joined another one, or comes back
/// as part of another one under the same address.
#[test]
fn changed_group_is_noticed() {
    let mut service = Service::new(&[4, 4]);
    service.converge();
    let moved = address(0);
    let state = RankState {
        group: group(1),
        size: 5,
        rank: 4,
        ..service.states[&moved].clone()
    };
    service.states.insert(moved, state.clone());
    service.view(moved).set_own_state(&state, 900);
    let mut random = seeded_numbers(9);
    for _ in 0..10 {
        service.exchange(&mut random);
    }
    let now = Time::from_millis(1_000);
    let leaders = service.list_leaders(now);
    assert_eq!(
        leaders,
        [address(0), address(2)],
        "an earlier clock doesn't matter"
    );
}

/// Guards against a leader that mixes up two groups because a sender's directory is outdated.
#[test]
fn foreign_reports_are_rejected() {
    let mut service = Service::new(&[4, 4]);
    service.converge();
    let now = Time::from_millis(1_000);
    let foreign = RankReport {
        rank: address(1),
        state: service.states[&address(1)].clone(),
        placement: Vec::new(),
        age_ms: 0,
    };
    let bundle = ReportBundle {
        reports: vec![foreign],
        ..ReportBundle::default()
    };
    let view = service.view(address(0));
    assert!(!view.receive(bundle, now));
    assert!(view.list_recent(now).is_empty());
}

/// Guards against an agent that doesn't know the ranks whose agents have never run: once they were
/// read directly, they count as members.
#[test]
fn silent_agents_are_identified() {
    let mut service = Service::new(&[4, 4]);
    service.views.remove(&address(6));
    service.states.remove(&address(6));
    let mut random = seeded_numbers(10);
    for _ in 0..10 {
        service.exchange(&mut random);
    }
    let view = service.view(address(0));
    assert!(!view.is_complete());
    assert_eq!(view.list_unidentified(), [address(6)]);
    view.identify(address(6), group(0));
    assert!(view.is_complete());
}

/// Guards against a leader that forgets the demand because an agent could read no counts.
#[test]
fn missing_counts_keep_the_demand() {
    let mut service = Service::new(&[3]);
    service.converge();
    let now = Time::from_millis(1_000);
    service.report(now);
    let view = service.view(address(0));
    view.record_bundle(ReportBundle::default(), now);
    assert_eq!(view.demand.sum_counts(), 3.0);
}

/// Guards against an agent that leads although one with a lower address is back.
#[test]
fn skipped_agents_are_checked() {
    let mut service = Service::new(&[3]);
    service.converge();
    let now = Time::from_millis(1_000);
    let view = service.view(address(1));
    view.mark_unresponsive(address(0), now);
    assert!(view.list_leader_candidates(now).is_empty());
    assert_eq!(view.list_skipped(), [address(0)]);
    view.mark_responsive(address(0));
    assert_eq!(view.list_leader_candidates(now), [address(0)]);
    assert!(view.list_skipped().is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// Guards against sizes for which groups are mixed up, or whose reports are lost on the way:
    /// whatever the sizes, each group has one leader, which knows all of its ranks.
    #[test]
    fn any_sizes_converge(sizes in prop::collection::vec(1_usize..50, 1..6)) {
        let mut service = Service::new(&sizes);
        service.converge();
        let now = Time::from_millis(1_000);
        let leaders = service.list_leaders(now);
        prop_assert_eq!(leaders.len(), sizes.len());
        service.report(now);
        let mut found: Vec<usize> = Vec::new();
        for leader in leaders {
            let ranks = service.view(leader).list_addresses(now);
            found.push(ranks.map_or(0, |r| r.len()));
        }
        found.sort_unstable();
        let mut wanted = sizes.clone();
        wanted.sort_unstable();
        prop_assert_eq!(found, wanted);
    }
}
