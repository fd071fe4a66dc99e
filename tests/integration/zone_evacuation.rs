//! Which zones a gateway believes to be evacuated, and what that leaves of its servers.

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use siskinbend_routing::PolicyKind;
use siskinbend_routing::Requirements;
use siskinbend_site::Evacuations;
use siskinbend_site::Position;
use siskinbend_site::Versioned;
use siskinbend_site::evacuation::EvacuationChange;
use siskinbend_site::evacuation::EvacuationRows;
use siskinbend_types::Reason;
use siskinbend_types::Timeline;
use siskinbend_types::Zone;

use crate::choice::agent;
use crate::choice::observation;
use crate::choice::picker;
use crate::choice::zone;
use crate::site_view::at;

/// Gateway that reads the rows of a store with one timeline after another.
#[derive(Default)]
struct Reader {
    evacuations: Evacuations,
    timeline: u64,
    change: u64,
}

impl Reader {
    fn record(&mut self, content: EvacuationRows, millis: u64) {
        let position = Position {
            timeline: Timeline(self.timeline),
            change: self.change,
        };
        let read = Versioned { content, position };
        self.evacuations.record(read, at(millis), at(millis));
    }

    fn read(&mut self, zones: &[usize], millis: u64) {
        let zones = zones.iter().map(|n| zone(*n)).collect();
        self.record(EvacuationRows::All(zones), millis);
    }

    fn watch(&mut self, changes: &[EvacuationChange], millis: u64) {
        self.change += 1;
        self.record(EvacuationRows::Changes(changes.to_vec()), millis);
    }

    fn zones(&mut self, millis: u64) -> Vec<Zone> {
        self.evacuations.update(at(millis));
        self.evacuations.zones().keys().cloned().collect()
    }
}

fn started(n: usize) -> EvacuationChange {
    EvacuationChange::Started(zone(n))
}

fn withdrawn(n: usize) -> EvacuationChange {
    EvacuationChange::Withdrawn(zone(n))
}

/// Guards against an evacuation that is forgotten while the store is away, and against one that is
/// noticed late and looks as if it were new.
#[test]
fn late_gateway() {
    let mut reader = Reader::default();
    assert!(!reader.evacuations.is_loaded());
    reader.read(&[], 0);
    reader.watch(&[started(1)], 1_000);
    assert_eq!(reader.zones(3_600_000), [zone(1)]);
    // It was cut off while the zone reopened and another one was evacuated.
    reader.read(&[2], 3_600_000);
    assert_eq!(reader.zones(3_600_000), [zone(2)]);
    let known = reader.evacuations.zones()[&zone(2)];
    assert_eq!(known.max_delay, Some(at(3_600_000).since(at(1_000))));
}

/// Guards against reopening a zone because a restored store has lost its row, against keeping it
/// closed for good, and against a late answer of the lost history.
#[test]
fn restored_store() {
    let mut reader = Reader::default();
    reader.read(&[1, 2], 0);
    reader.timeline = 1;
    reader.read(&[2, 3], 10_000);
    assert_eq!(reader.zones(15_999), [zone(1), zone(2), zone(3)]);
    // Another complete read is no sign that the row was removed.
    reader.read(&[2, 3], 15_999);
    assert_eq!(reader.zones(15_999), [zone(1), zone(2), zone(3)]);
    reader.timeline = 0;
    reader.read(&[], 15_999);
    reader.watch(&[withdrawn(2)], 15_999);
    assert_eq!(reader.zones(16_000), [zone(2), zone(3)]);
}

/// Guards against reopening a zone whose row is written again, or keeping it closed after that row is
/// removed; and against trusting a store that went back without saying so.
#[test]
fn rewritten_row() {
    let mut reader = Reader {
        change: 9,
        ..Reader::default()
    };
    reader.read(&[1], 0);
    reader.change = 4;
    reader.read(&[], 10_000);
    reader.watch(&[started(1)], 12_000);
    assert_eq!(reader.zones(60_000), [zone(1)]);
    reader.watch(&[withdrawn(1)], 60_000);
    assert!(reader.zones(60_000).is_empty());
}

/// Guards against keeping what was removed in a part of the history that the store has dropped, and
/// against changes of a history that was never read completely.
#[test]
fn dropped_history() {
    let mut reader = Reader::default();
    reader.watch(&[started(3)], 0);
    reader.read(&[1], 0);
    reader.change += 1_000;
    reader.read(&[2], 1_000);
    reader.timeline = 1;
    reader.watch(&[withdrawn(2)], 2_000);
    assert_eq!(reader.zones(2_000), [zone(2)]);
}

/// Guards against opening a zone for the moment, or for good, between two evacuations.
#[test]
fn withdrawn_and_repeated() {
    let mut reader = Reader::default();
    reader.read(&[1], 0);
    reader.watch(&[withdrawn(1), started(1)], 5_000);
    assert_eq!(reader.zones(5_000), [zone(1)]);
    assert_eq!(reader.evacuations.zones()[&zone(1)].since, at(5_000));
    reader.watch(&[withdrawn(1)], 6_000);
    reader.watch(&[started(1)], 6_100);
    assert_eq!(reader.zones(6_100), [zone(1)]);
}

/// Guards against choosing a server of an evacuated zone, whether one, two or all zones are
/// evacuated, or one that has no servers; and against blaming the evacuation while servers are left.
#[test]
fn closed_zones() {
    let mut picker = picker(PolicyKind::Siskinbend);
    for n in 0..9 {
        let mut observation = observation(n as u32);
        observation.zone = zone(n % 3);
        picker.observe(&agent(n), observation, at(0));
    }
    picker.record_dispatch(&agent(4), at(0));
    assert_eq!(picker.count_outstanding()[&zone(1)], 1);
    let mut random = ChaCha8Rng::seed_from_u64(3);
    for closed in [&[0][..], &[0, 2], &[0, 1, 2], &[7]] {
        let requirements = Requirements {
            closed_zones: closed.iter().map(|n| zone(*n)).collect(),
            ..Requirements::default()
        };
        let is_left = closed.len() < 3;
        assert_eq!(picker.are_all_closed(&requirements.closed_zones), !is_left);
        for _ in 0..100 {
            let choice = picker.choose(&requirements, at(0), &mut random);
            let chosen = choice.map(|choice| choice.agent);
            let is_open = |n: &usize| !closed.contains(&(n % 3));
            match is_left {
                true => assert!((0..9).filter(is_open).any(|n| chosen == Ok(agent(n)))),
                false => assert_eq!(chosen, Err(Reason::NoReplica)),
            }
        }
    }
}
