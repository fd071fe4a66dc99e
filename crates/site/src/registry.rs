//! The backend servers in the registry, during outages of the store and after it was restored.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use siskinbend_types::AgentId;
use siskinbend_types::Time;
use siskinbend_types::Timeline;

use crate::BackendServer;
use crate::ServerState;
use crate::source::ServerChange;

/// Time after a store outage in which backend servers can renew entries that expired during it.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(1_900);
/// Time after which an entry of a server that had left counts again, if it came back with a restored
/// store. The platform removes entries of servers that are gone within it.
const RETURN_DELAY: Duration = Duration::from_secs(6);
/// Time for which servers that left are remembered. It exceeds the age of copies from which the store
/// is restored.
const LEFT_RETENTION: Duration = Duration::from_secs(120);

/// Change to the set of usable backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerUpdate {
    /// A backend server was added or its entry changed.
    Put(BackendServer),
    /// A backend server was removed.
    Removed(AgentId),
}

/// Backend server with the state of its registration.
#[derive(Debug, Clone)]
struct ServerEntry {
    server: BackendServer,
    /// Timeline of the store in which this state was seen.
    timeline: Timeline,
    /// Recovery time of the store if the entry was missing after an outage; `None` while it is
    /// registered.
    missing_since: Option<Time>,
}

/// Run of a backend server that is no longer registered.
#[derive(Debug)]
struct LeftServer {
    started_ms: u64,
    /// Whether it announced that it would leave.
    was_draining: bool,
    timeline: Timeline,
    at: Time,
}

/// Latest known backend servers.
#[derive(Debug, Default)]
pub struct Registry {
    /// Latest history of the store; `None` before the first read.
    timeline: Option<Timeline>,
    servers: BTreeMap<AgentId, ServerEntry>,
    left: BTreeMap<AgentId, LeftServer>,
    /// Entries of servers that had left, with the time since when the restored store holds them.
    returned: BTreeMap<AgentId, (BackendServer, Time)>,
    /// Whether the latest call failed.
    is_failing: bool,
    /// When a call first succeeded after a failure, or first showed that the store was restored.
    recovered_at: Option<Time>,
}

impl Registry {
    /// Whether the registry has been read at least once.
    pub fn is_loaded(&self) -> bool {
        self.timeline.is_some()
    }

    /// Whether entries that the store lost may still be written again.
    pub fn is_recovering(&self, now: Time) -> bool {
        self.recovered_at
            .is_some_and(|at| now.since(at) < REREGISTRATION_GRACE)
    }

    /// Replaces all backend servers with a complete read, unless it is of an older timeline.
    pub fn replace(
        &mut self,
        servers: Vec<BackendServer>,
        timeline: Timeline,
        now: Time,
    ) -> Vec<ServerUpdate> {
        if Some(timeline) < self.timeline {
            return Vec::new();
        }
        if self.timeline.is_some_and(|known| known < timeline) {
            self.is_failing = true;
        }
        self.timeline = Some(timeline);
        self.record_success(now);
        self.left.retain(|_, l| now.since(l.at) < LEFT_RETENTION);
        let listed: BTreeSet<&AgentId> = servers.iter().map(|s| &s.id).collect();
        self.returned.retain(|id, _| listed.contains(id));
        let known = self.servers.keys();
        let missing: Vec<AgentId> = known.filter(|id| !listed.contains(id)).cloned().collect();
        let mut updates = Vec::new();
        for server in servers {
            updates.extend(self.put_read(server, now));
        }
        for id in missing {
            updates.extend(self.handle_missing(&id, now));
        }
        updates
    }

    /// Applies changes since the latest read.
    pub fn apply_changes(&mut self, changes: Vec<ServerChange>, now: Time) -> Vec<ServerUpdate> {
        self.record_success(now);
        let mut updates = Vec::new();
        for change in changes {
            match change {
                ServerChange::Put(server) => updates.extend(self.put_changed(server)),
                ServerChange::Removed(id) => {
                    self.returned.remove(&id);
                    updates.extend(self.handle_missing(&id, now));
                }
            }
        }
        updates
    }

    /// Records a failed call.
    pub fn record_failure(&mut self) {
        self.is_failing = true;
    }

    /// Removes entries that were not registered again in time after a store outage, and readmits
    /// servers that were not removed again after the store was restored.
    pub fn update(&mut self, now: Time) -> Vec<ServerUpdate> {
        let is_expired = |entry: &ServerEntry| {
            entry
                .missing_since
                .is_some_and(|since| now.since(since) >= REREGISTRATION_GRACE)
        };
        let expired = self.servers.iter().filter(|(_, entry)| is_expired(entry));
        let expired: Vec<AgentId> = expired.map(|(id, _)| id.clone()).collect();
        let mut updates: Vec<ServerUpdate> = expired
            .into_iter()
            .filter_map(|id| self.remove(&id, now))
            .collect();
        let is_due = |since: Time| now.since(since) >= RETURN_DELAY;
        let due = self.returned.values().filter(|(_, since)| is_due(*since));
        let due: Vec<BackendServer> = due.map(|(server, _)| server.clone()).collect();
        for server in due {
            self.returned.remove(&server.id);
            updates.extend(self.upsert(server));
        }
        updates
    }

    /// Lists all backend servers that are in use, also those that may still register again.
    pub fn list(&self) -> impl Iterator<Item = &BackendServer> {
        self.servers.values().map(|entry| &entry.server)
    }

    fn record_success(&mut self, now: Time) {
        if self.is_failing {
            self.is_failing = false;
            self.recovered_at = Some(now);
        }
    }

    fn timeline(&self) -> Timeline {
        self.timeline.unwrap_or_default()
    }

    /// Puts an entry of a complete read, which may come from the copy of a restored store.
    fn put_read(&mut self, server: BackendServer, now: Time) -> Option<ServerUpdate> {
        if self.is_outdated(&server) {
            return self.handle_missing(&server.id, now);
        }
        match self.find_left(&server) {
            None => self.upsert(server),
            Some(left) if left.was_draining => None,
            Some(_) => {
                let id = server.id.clone();
                self.returned.entry(id).or_insert((server, now));
                None
            }
        }
    }

    /// Puts an entry that was written after the latest read.
    fn put_changed(&mut self, server: BackendServer) -> Option<ServerUpdate> {
        let is_leaving = self.find_left(&server).is_some_and(|l| l.was_draining);
        if is_leaving || self.is_outdated(&server) {
            return None;
        }
        self.returned.remove(&server.id);
        self.upsert(server)
    }

    /// Returns what is known of the same run of a server if it left in an earlier timeline.
    fn find_left(&self, server: &BackendServer) -> Option<&LeftServer> {
        let left = self.left.get(&server.id)?;
        let is_same = left.started_ms == server.started_ms && left.timeline < self.timeline();
        is_same.then_some(left)
    }

    /// Whether an entry is of an earlier run than the one known from an earlier timeline.
    fn is_outdated(&self, server: &BackendServer) -> bool {
        self.servers.get(&server.id).is_some_and(|known| {
            known.timeline < self.timeline() && server.started_ms < known.server.started_ms
        })
    }

    fn upsert(&mut self, server: BackendServer) -> Option<ServerUpdate> {
        let mut entry = ServerEntry {
            server,
            timeline: self.timeline(),
            missing_since: None,
        };
        let previous = self.servers.get(&entry.server.id);
        // A run that is draining does not become ready again, whatever a restored store says.
        let draining = previous.filter(|p| {
            p.server.state == ServerState::Draining
                && p.server.started_ms == entry.server.started_ms
                && p.timeline < entry.timeline
        });
        if let (Some(draining), ServerState::Ready) = (draining, entry.server.state) {
            entry.server.state = ServerState::Draining;
            entry.timeline = draining.timeline;
        }
        let is_unchanged = previous.is_some_and(|p| p.server == entry.server);
        let server = entry.server.clone();
        self.left.remove(&server.id);
        self.servers.insert(server.id.clone(), entry);
        (!is_unchanged).then_some(ServerUpdate::Put(server))
    }

    /// Removes a missing entry, unless it may have expired or been lost during a store outage and can
    /// still be renewed. A draining entry is removed at once.
    fn handle_missing(&mut self, id: &AgentId, now: Time) -> Option<ServerUpdate> {
        let is_recovering = self.is_recovering(now);
        let recovered_at = self.recovered_at.unwrap_or(now);
        let entry = self.servers.get_mut(id)?;
        if is_recovering && entry.server.state == ServerState::Ready {
            entry.missing_since.get_or_insert(recovered_at);
            return None;
        }
        self.remove(id, now)
    }

    fn remove(&mut self, id: &AgentId, now: Time) -> Option<ServerUpdate> {
        let entry = self.servers.remove(id)?;
        let left = LeftServer {
            started_ms: entry.server.started_ms,
            was_draining: entry.server.state == ServerState::Draining,
            timeline: self.timeline(),
            at: now,
        };
        self.left.insert(id.clone(), left);
        Some(ServerUpdate::Removed(id.clone()))
    }
}
