//! What a process believes about the deployment, and how old that belief is.
//!
//! Answers the load pattern of a store that is down, slow or partly unreachable: the newest known
//! state stays in use, except where using it any longer could break a promise.

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

/// Time after the store's return in which entries that lapsed during the outage come back.
const LAPSE_GRACE: Duration = Duration::from_millis(1_900);
/// Age of the configuration above which "there is no such route or key" is not certain.
const CERTAIN_AGE: Duration = Duration::from_millis(2_600);
/// Margin kept to the time after which a key that was taken away may not be used. A store may
/// for a second tell nothing of the changes that it takes.
const REVOKE_MARGIN: Duration = Duration::from_millis(1_000);

/// Limits of a view.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Time after which a key that was taken away may not be used any more.
    pub revocation_delay: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            revocation_delay: Duration::from_secs(5),
        }
    }
}

/// One backend server with what is known of its registration.
#[derive(Debug, Clone)]
struct ServerEntry {
    server: BackendServer,
    /// When its entry was found missing, if that was around an outage of the store.
    missing_since: Option<Time>,
}

/// What changed in the set of backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerUpdate {
    /// A backend server is new or its entry changed.
    Put(BackendServer),
    /// A backend server takes no more requests.
    Removed(AgentId),
}

/// What a process believes about the deployment.
#[derive(Debug, Default)]
pub struct DeploymentView {
    settings: Settings,
    config: Option<Arc<Config>>,
    /// When the call was made whose answer last confirmed the configuration.
    confirmed: Option<Time>,
    servers: BTreeMap<AgentId, ServerEntry>,
    listed: bool,
    /// Whether the last call about the registry failed.
    failing: bool,
    /// When the registry was heard again after a failure.
    returned: Option<Time>,
}

impl DeploymentView {
    /// A view that knows nothing yet.
    pub fn new(settings: Settings) -> DeploymentView {
        DeploymentView {
            settings,
            ..DeploymentView::default()
        }
    }

    /// Replaces the limits.
    pub fn set_settings(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// Takes in an answer about the configuration; `asked` is when the call was made. Returns the
    /// configuration if it is newer than the known one.
    pub fn update_config(&mut self, config: Option<Config>, asked: Time) -> Option<Arc<Config>> {
        self.confirmed = self.confirmed.max(Some(asked));
        let config = config?;
        let newer = self
            .config
            .as_ref()
            .is_none_or(|known| config.version > known.version);
        if !newer {
            return None;
        }
        let config = Arc::new(config);
        self.config = Some(Arc::clone(&config));
        Some(config)
    }

    /// Takes in the whole registry.
    pub fn replace_servers(&mut self, all: Vec<BackendServer>, now: Time) -> Vec<ServerUpdate> {
        self.record_store_success(now);
        let gone: Vec<AgentId> = self
            .servers
            .keys()
            .filter(|id| !all.iter().any(|s| &s.id == *id))
            .cloned()
            .collect();
        let mut updates = Vec::new();
        for server in all {
            updates.extend(self.put(server));
        }
        for id in gone {
            updates.extend(self.miss(&id, now));
        }
        self.listed = true;
        updates
    }

    /// Takes in changes of the registry.
    pub fn apply_changes(&mut self, changes: Vec<ServerChange>, now: Time) -> Vec<ServerUpdate> {
        self.record_store_success(now);
        let mut updates = Vec::new();
        for change in changes {
            match change {
                ServerChange::Put(server) => updates.extend(self.put(server)),
                ServerChange::Removed(id) => updates.extend(self.miss(&id, now)),
            }
        }
        updates
    }

    /// Notes that a call about the registry failed.
    pub fn record_store_failure(&mut self) {
        self.failing = true;
    }

    /// Removes the entries that did not come back in time after an outage.
    pub fn remove_expired(&mut self, now: Time) -> Vec<ServerUpdate> {
        let late = |known: &ServerEntry| {
            known
                .missing_since
                .is_some_and(|since| now.since(since) >= LAPSE_GRACE)
        };
        let gone: Vec<AgentId> = self
            .servers
            .iter()
            .filter(|(_, known)| late(known))
            .map(|(id, _)| id.clone())
            .collect();
        gone.into_iter()
            .map(|id| {
                self.servers.remove(&id);
                ServerUpdate::Removed(id)
            })
            .collect()
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Whether enough is known to serve callers.
    pub fn is_complete(&self) -> bool {
        self.config.is_some() && self.listed
    }

    /// Whether the configuration was confirmed so lately that a route or key that it lacks does
    /// not exist.
    pub fn is_config_fresh(&self, now: Time) -> bool {
        self.confirmed
            .is_some_and(|at| now.since(at) <= CERTAIN_AGE)
    }

    /// Whether keys can still be trusted. A key may have been taken away just after the last
    /// confirmation, so a process that hears nothing for too long must stop using all keys.
    pub fn are_keys_usable(&self, now: Time) -> bool {
        let most = self.settings.revocation_delay.saturating_sub(REVOKE_MARGIN);
        self.confirmed.is_some_and(|at| now.since(at) <= most)
    }

    /// Age of the last confirmation of the configuration.
    pub fn config_age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// A backend server by its id.
    pub fn find_server(&self, id: &AgentId) -> Option<&BackendServer> {
        self.servers.get(id).map(|known| &known.server)
    }

    /// The backend servers of a service whose entries stand.
    pub fn list_servers<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a BackendServer> + 'a {
        self.servers
            .values()
            .filter(|known| known.missing_since.is_none())
            .map(|known| &known.server)
            .filter(move |server| &server.service == service)
    }

    fn record_store_success(&mut self, now: Time) {
        if self.failing {
            self.failing = false;
            self.returned = Some(now);
        }
    }

    fn put(&mut self, server: BackendServer) -> Option<ServerUpdate> {
        let known = ServerEntry {
            server: server.clone(),
            missing_since: None,
        };
        let before = self.servers.insert(server.id.clone(), known);
        let same = before.is_some_and(|b| b.server == server);
        (!same).then_some(ServerUpdate::Put(server))
    }

    /// An entry that lapsed around an outage may only be late; any other missing entry is gone.
    fn miss(&mut self, id: &AgentId, now: Time) -> Option<ServerUpdate> {
        let after_outage = self
            .returned
            .is_some_and(|returned| now.since(returned) < LAPSE_GRACE);
        let known = self.servers.get_mut(id)?;
        if after_outage && known.server.state == ServerState::Ready {
            let returned = self.returned.unwrap_or(now);
            known.missing_since.get_or_insert(returned);
            return None;
        }
        self.servers.remove(id);
        Some(ServerUpdate::Removed(id.clone()))
    }
}
