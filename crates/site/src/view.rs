//! A process's local view of the deployment, and the age of that view.
//!
//! While the platform's store is down, slow or partly unreachable, the latest known state stays in
//! use until its age could violate a guarantee, such as the revocation delay of API keys.

use std::sync::Arc;
use std::time::Duration;

use siskinbend_types::Time;

use crate::BackendServer;
use crate::Config;
use crate::Evacuations;
use crate::StoredConfig;
use crate::Versioned;
use crate::config_choice::ConfigChoice;
use crate::evacuation::EvacuationRows;
use crate::registry::Registry;
use crate::registry::ServerUpdate;
use crate::source::ServerChange;

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

/// Latest known configuration and backend servers of the deployment.
#[derive(Debug, Default)]
pub struct DeploymentView {
    settings: Settings,
    config: ConfigChoice,
    evacuations: Evacuations,
    registry: Registry,
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

    /// Records an answer to a call for the configuration that started at `requested_at`; without
    /// content it says that nothing changed. Returns the configuration if another one comes into
    /// force.
    pub fn update_config(
        &mut self,
        read: Versioned<Option<StoredConfig>>,
        requested_at: Time,
        now: Time,
    ) -> Option<Arc<Config>> {
        self.config.record(read, requested_at, now)
    }

    /// Records the evacuated zones in an answer of the store, which was correct at `confirmed_at`.
    pub fn record_evacuations(
        &mut self,
        read: Versioned<EvacuationRows>,
        confirmed_at: Time,
        now: Time,
    ) {
        self.evacuations.record(read, confirmed_at, now);
    }

    /// Returns the evacuated zones.
    pub fn update_evacuations(&mut self, now: Time) -> &Evacuations {
        self.evacuations.update(now);
        &self.evacuations
    }

    /// Replaces all backend servers with a complete read of the registry.
    pub fn replace_servers(
        &mut self,
        read: Versioned<Vec<BackendServer>>,
        now: Time,
    ) -> Vec<ServerUpdate> {
        let timeline = read.position.timeline;
        self.registry.replace(read.content, timeline, now)
    }

    /// Applies changes of the registry.
    pub fn apply_changes(&mut self, changes: Vec<ServerChange>, now: Time) -> Vec<ServerUpdate> {
        self.registry.apply_changes(changes, now)
    }

    /// Records a failed registry call.
    pub fn record_store_failure(&mut self) {
        self.registry.record_failure();
    }

    /// Returns the changes to the registry that are due without a call to the store.
    pub fn update_servers(&mut self, now: Time) -> Vec<ServerUpdate> {
        self.registry.update(now)
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.config()
    }

    /// Whether the configuration, the evacuated zones and the registry have been read at least once.
    pub fn is_complete(&self) -> bool {
        self.config().is_some() && self.evacuations.is_loaded() && self.registry.is_loaded()
    }

    /// Whether the configuration was confirmed so recently that a route or key missing from it does
    /// not exist.
    pub fn is_config_fresh(&self, now: Time) -> bool {
        self.config_age(now).is_some_and(|age| age <= MAX_FRESH_AGE)
    }

    /// Whether API keys can still be accepted. A key may have been revoked just after the latest
    /// confirmation, so all keys become unusable when no confirmation arrives within the revocation
    /// delay.
    pub fn are_keys_usable(&self, now: Time) -> bool {
        let delay = self.settings.revocation_delay;
        let max_age = delay.saturating_sub(REVOCATION_MARGIN);
        self.config_age(now).is_some_and(|age| age <= max_age)
    }

    /// Returns the time since the configuration was last confirmed.
    pub fn config_age(&self, now: Time) -> Option<Duration> {
        self.config.confirmed_at().map(|at| now.since(at))
    }
}
