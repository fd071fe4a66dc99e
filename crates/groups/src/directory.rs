//! Directory of the ranks of a service: which group each rank belongs to.
//!
//! The platform's registry doesn't contain the groups, and an agent can read only its own rank for
//! free. Agents therefore exchange their directories in pairs. News reaches all agents after a
//! number of exchanges that grows with the logarithm of the number of ranks, and no agent has to
//! be asked by all others.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use siskinbend_types::EngineGroup;
use siskinbend_types::Zone;

use crate::view::MAX_DIRECT_REPORTS;

/// Group of one rank, as its agent stated it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Membership {
    /// Address of the rank.
    pub rank: SocketAddr,
    /// Group that the rank belongs to.
    pub group: EngineGroup,
    /// Availability zone of the rank.
    pub zone: Zone,
    /// Time of the statement in Unix milliseconds by the clock of the rank's VM. Of two statements
    /// about one rank, the later one holds.
    pub stated_ms: u64,
}

/// Asks another process for its directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryQuery {
    /// Digest of the asker's directory, which the asker need not be sent again.
    pub digest: u64,
    /// The asker's own rank; `None` if it has none or doesn't know its group yet.
    pub own: Option<Membership>,
}

/// Answer to a [`DirectoryQuery`]: all entries, or `None` if the asker has the same ones.
pub type DirectoryAnswer = Option<Vec<Membership>>;

/// Known ranks of one service with their groups.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    entries: BTreeMap<SocketAddr, Membership>,
}

impl Directory {
    /// Adds the entries that are newer than the known ones, and returns whether any was.
    pub fn merge<Entries>(&mut self, entries: Entries) -> bool
    where
        Entries: IntoIterator<Item = Membership>,
    {
        let mut has_changed = false;
        for entry in entries {
            let known = self.entries.get(&entry.rank);
            if known.is_none_or(|known| known.stated_ms < entry.stated_ms) {
                self.entries.insert(entry.rank, entry);
                has_changed = true;
            }
        }
        has_changed
    }

    /// Removes the ranks for which `keep` returns false.
    pub fn retain<Keep>(&mut self, keep: Keep)
    where
        Keep: Fn(&SocketAddr) -> bool,
    {
        self.entries.retain(|rank, _| keep(rank));
    }

    /// Returns the entry of a rank.
    pub fn find(&self, rank: SocketAddr) -> Option<&Membership> {
        self.entries.get(&rank)
    }

    /// Lists the entries in the order of their addresses.
    pub fn iter(&self) -> impl Iterator<Item = &Membership> {
        self.entries.values()
    }

    /// Lists the ranks of each group in the order of their addresses.
    pub fn list_groups(&self) -> BTreeMap<EngineGroup, BTreeSet<SocketAddr>> {
        let mut groups: BTreeMap<EngineGroup, BTreeSet<SocketAddr>> = BTreeMap::new();
        for entry in self.entries.values() {
            let ranks = groups.entry(entry.group.clone()).or_default();
            ranks.insert(entry.rank);
        }
        groups
    }

    /// Lists the agents that may know the loads of each group, in the order in which a process of
    /// `zone` should ask them. Only the leader of a small group knows them; in a large group, the
    /// agents that collect the reports of a zone do too.
    pub fn list_load_sources(&self, zone: &Zone) -> Vec<Vec<SocketAddr>> {
        let is_remote = |rank: &SocketAddr| self.find(*rank).is_none_or(|e| e.zone != *zone);
        let sources = |ranks: BTreeSet<SocketAddr>| {
            let mut ranks: Vec<SocketAddr> = ranks.into_iter().collect();
            if ranks.len() > MAX_DIRECT_REPORTS {
                ranks.sort_by_key(is_remote);
            }
            ranks
        };
        self.list_groups().into_values().map(sources).collect()
    }

    /// Builds a query for another process's directory.
    pub fn query(&self, own: Option<SocketAddr>) -> DirectoryQuery {
        DirectoryQuery {
            digest: self.digest(),
            own: own.and_then(|rank| self.find(rank)).cloned(),
        }
    }

    /// Records the asker's own rank and answers its query.
    pub fn answer(&mut self, query: DirectoryQuery) -> DirectoryAnswer {
        self.merge(query.own);
        (query.digest != self.digest()).then(|| self.iter().cloned().collect())
    }

    fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.entries.values().for_each(|e| e.hash(&mut hasher));
        hasher.finish()
    }
}
