//! A process's local view of the deployment, and the age of that view.
//!
//! While the platform's store is down, slow or partly unreachable, the latest known state stays in
//! use until its age could violate a guarantee, such as the revocation delay of API keys.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use siskinbend_types::AgentId;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;

use crate::BackendServer;
use crate::Config;
use crate::ServerState;
use crate::source::ServerChange;

/// Time after a store outage in which backend servers can renew entries that expired during it.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(1_900);
/// Maximum age of the configuration at which an unknown route or key is reported as such. Above it,
/// the route or key may have been added since.
const MAX_FRESH_AGE: Duration = Duration::from_millis(2_600);
/// Safety margin subtracted from the revocation delay. The store may report a change up to one
/// second after it accepted it.
const REVOCATION_MARGIN: Duration = Duration::from_millis(1_000);

/// Settings of a [`DeploymentView`].
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Maximum time for which a revoked API key may still be accepted.
    pub revocation_delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            revocation_delay: Duration::from_secs(5),
        }
    }
}

/// Backend server with the state of its registration.
#[derive(Debug, Clone)]
struct ServerEntry {
    server: BackendServer,
    /// Recovery time of the store if the entry was missing after an outage; `None` while it is
    /// registered.
    missing_since: Option<Time>,
}

/// Change to the set of usable backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerUpdate {
    /// A backend server was added or its entry changed.
    Put(BackendServer),
    /// A backend server was removed.
    Removed(AgentId),
}

/// Latest known configuration and backend servers of the deployment.
#[derive(Debug, Default)]
pub struct DeploymentView {
    settings: Settings,
    config: Option<Arc<Config>>,
    /// Start time of the latest call that confirmed the configuration.
    confirmed_at: Option<Time>,
    servers: BTreeMap<AgentId, ServerEntry>,
    registry_loaded: bool,
    /// Whether the latest registry call failed.
    store_failing: bool,
    /// When a registry call first succeeded after a failure.
    recovered_at: Option<Time>,
}

impl DeploymentView {
    /// Creates an empty view.
    pub fn new(settings: Settings) -> DeploymentView {
        DeploymentView {
            settings,
            ..DeploymentView::default()
        }
    }

    /// Replaces the settings.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Records a configuration read that started at `requested_at`, and returns the configuration
    /// if it is newer than the known one. `None` for `config` confirms the known one.
    pub fn update_config(
        &mut self,
        config: Option<Config>,
        requested_at: Time,
    ) -> Option<Arc<Config>> {
        self.confirmed_at = self.confirmed_at.max(Some(requested_at));
        let config = config?;
        let is_newer = self
            .config
            .as_ref()
            .is_none_or(|known| config.version > known.version);
        if !is_newer {
            return None;
        }
        let config = Arc::new(config);
        self.config = Some(Arc::clone(&config));
        Some(config)
    }

    /// Replaces all backend servers with a complete read of the registry.
    pub fn replace_servers(&mut self, servers: Vec<BackendServer>, now: Time) -> Vec<ServerUpdate> {
        self.record_store_success(now);
        let removed: Vec<AgentId> = self
            .servers
            .keys()
            .filter(|id| !servers.iter().any(|s| &s.id == *id))
            .cloned()
            .collect();
        let mut updates = Vec::new();
        for server in servers {
            updates.extend(self.upsert(server));
        }
        for id in removed {
            updates.extend(self.handle_missing(&id, now));
        }
        self.registry_loaded = true;
        updates
    }

    /// Applies changes of the registry.
    pub fn apply_changes(&mut self, changes: Vec<ServerChange>, now: Time) -> Vec<ServerUpdate> {
        self.record_store_success(now);
        let mut updates = Vec::new();
        for change in changes {
            match change {
                ServerChange::Put(server) => updates.extend(self.upsert(server)),
                ServerChange::Removed(id) => updates.extend(self.handle_missing(&id, now)),
            }
        }
        updates
    }

    /// Records a failed registry call.
    pub fn record_store_failure(&mut self) {
        self.store_failing = true;
    }

    /// Removes entries that were not registered again in time after a store outage.
    pub fn remove_expired(&mut self, now: Time) -> Vec<ServerUpdate> {
        let is_expired = |entry: &ServerEntry| {
            entry
                .missing_since
                .is_some_and(|since| now.since(since) >= REREGISTRATION_GRACE)
        };
        let removed: Vec<AgentId> = self
            .servers
            .iter()
            .filter(|(_, entry)| is_expired(entry))
            .map(|(id, _)| id.clone())
            .collect();
        removed
            .into_iter()
            .map(|id| {
                self.servers.remove(&id);
                ServerUpdate::Removed(id)
            })
            .collect()
    }

    /// Returns the latest known configuration.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Whether both the configuration and the registry have been read at least once.
    pub fn is_complete(&self) -> bool {
        self.config.is_some() && self.registry_loaded
    }

    /// Whether the configuration was confirmed so recently that a route or key missing from it does
    /// not exist.
    pub fn is_config_fresh(&self, now: Time) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.since(at) <= MAX_FRESH_AGE)
    }

    /// Whether API keys can still be accepted. A key may have been revoked just after the latest
    /// confirmation, so all keys become unusable when no confirmation arrives within the revocation
    /// delay.
    pub fn are_keys_usable(&self, now: Time) -> bool {
        let max_age = self
            .settings
            .revocation_delay
            .saturating_sub(REVOCATION_MARGIN);
        self.confirmed_at.is_some_and(|at| now.since(at) <= max_age)
    }

    /// Returns the time since the configuration was last confirmed.
    pub fn config_age(&self, now: Time) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Finds a backend server by its id.
    pub fn find_server(&self, id: &AgentId) -> Option<&BackendServer> {
        self.servers.get(id).map(|entry| &entry.server)
    }

    /// Lists the backend servers of a service that are currently registered.
    pub fn list_servers<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a BackendServer> + 'a {
        self.servers
            .values()
            .filter(|entry| entry.missing_since.is_none())
            .map(|entry| &entry.server)
            .filter(move |server| &server.service == service)
    }

    fn record_store_success(&mut self, now: Time) {
        if self.store_failing {
            self.store_failing = false;
            self.recovered_at = Some(now);
        }
    }

    fn upsert(&mut self, server: BackendServer) -> Option<ServerUpdate> {
        let entry = ServerEntry {
            server: server.clone(),
            missing_since: None,
        };
        let previous = self.servers.insert(server.id.clone(), entry);
        let is_unchanged = previous.is_some_and(|p| p.server == server);
        (!is_unchanged).then_some(ServerUpdate::Put(server))
    }

    /// Removes a missing entry, unless it may have expired during a store outage and can still be
    /// renewed. A draining entry is removed at once.
    fn handle_missing(&mut self, id: &AgentId, now: Time) -> Option<ServerUpdate> {
        let after_outage = self
            .recovered_at
            .is_some_and(|at| now.since(at) < REREGISTRATION_GRACE);
        let entry = self.servers.get_mut(id)?;
        if after_outage && entry.server.state == ServerState::Ready {
            let recovered_at = self.recovered_at.unwrap_or(now);
            entry.missing_since.get_or_insert(recovered_at);
            return None;
        }
        self.servers.remove(id);
        Some(ServerUpdate::Removed(id.clone()))
    }
}
