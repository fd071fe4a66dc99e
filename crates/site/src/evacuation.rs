//! Decides which availability zones are evacuated, from what the store shows.
//!
//! A zone that is wrongly open gets requests that it must not get; one that is wrongly evacuated only
//! leaves its servers idle. A zone therefore opens only after the store showed that its row was
//! removed. A row that is missing because the store was restored from an older copy is not such a
//! sign until operators had the time to write it again.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use serde::Serialize;
use siskinbend_types::Time;
use siskinbend_types::Zone;

use crate::Position;
use crate::Versioned;

/// Time for which a zone stays evacuated after a restored store lost its row. Operators write again
/// within it what the store lost.
const REWRITE_TIME: Duration = Duration::from_secs(6);

/// Change to the rows of evacuated zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The row of the zone was written.
    Started(Zone),
    /// The row of the zone was removed.
    Withdrawn(Zone),
}

/// Rows of evacuated zones in one answer of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationRows {
    /// All rows.
    All(BTreeSet<Zone>),
    /// Changes since an earlier position, in the order in which they were made.
    Changes(Vec<EvacuationChange>),
}

impl EvacuationRows {
    /// Whether these are changes and there are none.
    pub fn is_unchanged(&self) -> bool {
        matches!(self, EvacuationRows::Changes(changes) if changes.is_empty())
    }
}

/// Evacuation of one zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evacuation {
    /// When this process noticed it.
    pub since: Time,
    /// Maximum time from the write of its row until then; `None` if the first read found it.
    pub max_delay: Option<Duration>,
    /// When a restored store was first seen without its row.
    lost_at: Option<Time>,
}

/// State of an availability zone for new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    /// Its servers get requests.
    Open,
    /// It is evacuated, and requests of this gateway still run there.
    Evacuating,
    /// It is evacuated, and no request of this gateway runs there.
    Empty,
    /// It was reopened, and its servers count as cold.
    Warming,
}

impl ZoneState {
    /// Returns the name on status pages.
    pub fn as_str(self) -> &'static str {
        match self {
            ZoneState::Open => "open",
            ZoneState::Evacuating => "evacuating",
            ZoneState::Empty => "empty",
            ZoneState::Warming => "warming",
        }
    }
}

impl fmt::Display for ZoneState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// One zone on a status page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneStatus {
    /// The zone.
    pub zone: Zone,
    /// Its state.
    pub state: ZoneState,
    /// When this gateway noticed the latest start or withdrawal of its evacuation; `None` if it knows
    /// of none.
    pub since: Option<Time>,
}

/// The evacuated zones.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Position of the latest answer; `None` before the first complete read.
    position: Option<Position>,
    /// When the latest answer still held.
    confirmed_at: Time,
    zones: BTreeMap<Zone, Evacuation>,
}

impl Evacuations {
    /// Whether the rows have been read completely at least once.
    pub fn is_loaded(&self) -> bool {
        self.position.is_some()
    }

    /// Returns the evacuated zones.
    pub fn zones(&self) -> &BTreeMap<Zone, Evacuation> {
        &self.zones
    }

    /// Records an answer of the store, which was correct at `confirmed_at`. Answers of an older
    /// timeline are ignored, and so are changes of a timeline that was not read completely.
    pub fn record(&mut self, read: Versioned<EvacuationRows>, confirmed_at: Time, now: Time) {
        let timeline = read.position.timeline;
        let known = self.position.map(|position| position.timeline);
        match read.content {
            EvacuationRows::All(_) if known.is_some_and(|known| timeline < known) => return,
            EvacuationRows::All(zones) => self.replace(zones, read.position, now),
            EvacuationRows::Changes(_) if known != Some(timeline) => return,
            EvacuationRows::Changes(changes) => self.apply_changes(changes, now),
        }
        self.position = Some(read.position);
        self.confirmed_at = self.confirmed_at.max(confirmed_at);
    }

    /// Reopens the zones whose rows a restored store lost and nobody wrote again.
    pub fn update(&mut self, now: Time) {
        let is_lost = |evacuation: &Evacuation| {
            let lost_at = evacuation.lost_at;
            lost_at.is_some_and(|at| now.since(at) >= REWRITE_TIME)
        };
        self.zones.retain(|_, evacuation| !is_lost(evacuation));
    }

    fn replace(&mut self, listed: BTreeSet<Zone>, position: Position, now: Time) {
        // A store that names no timelines shows by its position alone that it was restored.
        let is_restored = self.position.is_some_and(|known| {
            known.timeline < position.timeline || position.change < known.change
        });
        self.zones.retain(|zone, evacuation| {
            if is_restored && !listed.contains(zone) {
                evacuation.lost_at = Some(now);
            }
            listed.contains(zone) || evacuation.lost_at.is_some()
        });
        for zone in listed {
            self.start(zone, now);
        }
    }

    fn apply_changes(&mut self, changes: Vec<EvacuationChange>, now: Time) {
        for change in changes {
            match change {
                EvacuationChange::Started(zone) => self.start(zone, now),
                EvacuationChange::Withdrawn(zone) => {
                    self.zones.remove(&zone);
                }
            }
        }
    }

    fn start(&mut self, zone: Zone, now: Time) {
        let max_delay = self.position.map(|_| now.since(self.confirmed_at));
        let evacuation = self.zones.entry(zone).or_insert(Evacuation {
            since: now,
            max_delay,
            lost_at: None,
        });
        evacuation.lost_at = None;
    }
}
