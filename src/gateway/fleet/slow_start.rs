//! Slow start of backend servers: what the fleet learns of their starts, and its log lines.

use std::collections::HashMap;
use std::time::Duration;

use siskinbend_routing::SlowStart;
use siskinbend_routing::slow_start::Change;
use siskinbend_routing::slow_start::ColdServer;
use siskinbend_routing::slow_start::Entry;
use siskinbend_routing::slow_start::Limit;
use siskinbend_routing::slow_start::Tolerance;
use siskinbend_site::BackendServer;
use siskinbend_site::Config;
use siskinbend_site::NodeSettings;
use siskinbend_site::registry::ServerUpdate;
use siskinbend_types::AgentId;
use siskinbend_types::Incarnation;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;

use super::Fleet;
use super::Target;

/// Resolution of retry times in answers.
const DELAY_RESOLUTION: Duration = Duration::from_millis(10);

/// Creates the slow start of a gateway that knows no backend server.
pub(super) fn create(settings: &NodeSettings) -> SlowStart {
    let tolerance = Tolerance {
        overrun: settings.bounds.cold_overrun,
        slack: settings.bounds.cold_slack,
    };
    SlowStart::new(settings.node.clone(), tolerance)
}

impl Fleet {
    /// Sets which services need a slow start. Returns whether some do and none did before.
    pub fn configure_slow_start(&mut self, config: &Config) -> bool {
        let limits = config.services.iter().filter_map(|service| {
            let slow_start = service.slow_start?;
            let limit = Limit {
                duration: slow_start.duration,
                rate: slow_start.rate,
            };
            Some((service.name.clone(), limit))
        });
        let limits: HashMap<ServiceName, Limit> = limits.collect();
        let is_added = !limits.is_empty() && !self.rules.slow_start.is_configured();
        self.rules.slow_start.configure(limits);
        is_added
    }

    /// Applies what a read or a watch of the registry returned. The first read is complete.
    pub fn apply_read(&mut self, updates: Vec<ServerUpdate>, now: Time) {
        self.apply(updates, now);
        self.rules.slow_start.record_read();
    }

    pub(super) fn observe_start(&mut self, server: &BackendServer, now: Time) {
        let entry = Entry {
            service: server.service.clone(),
            run: Incarnation(server.started_ms),
            cold_for: server.cold_for,
        };
        self.rules.slow_start.observe(&server.id, &entry, now);
    }

    /// Records an answer to an attempt, and the cold time that it states, if any.
    pub fn record_cold_answer(
        &mut self,
        target: &Target,
        cold_for: Option<Duration>,
        sent_at: Time,
        now: Time,
    ) {
        let slow_start = &mut self.rules.slow_start;
        slow_start.record_answer(&target.id, cold_for, sent_at, now);
    }

    /// Records that a connection to a backend server failed or broke.
    pub fn record_connection_failure(&mut self, target: &Target, now: Time) {
        let slow_start = &mut self.rules.slow_start;
        slow_start.record_failure(&target.id, target.incarnation, now);
    }

    /// Returns the time until a request may be sent to a cold backend server of a service.
    pub fn find_cold_delay(&self, service: &ServiceName, now: Time) -> Option<Duration> {
        let permit = self.rules.slow_start.next_permit(service, now)?;
        // Answers state the time rounded, and a caller must not come back before it.
        Some(permit.since(now) + DELAY_RESOLUTION)
    }

    /// Lists the cold backend servers.
    pub fn list_cold(&self, now: Time) -> Vec<ColdServer> {
        self.rules.slow_start.list_cold(now)
    }

    pub(super) fn log_cold_changes(&mut self, now: Time) {
        for change in self.rules.slow_start.take_changes(now) {
            match change {
                Change::Cold(cold) => log_cold(&cold),
                Change::Warm { id, service } => log_warm(&id, &service),
            }
        }
    }
}

fn log_cold(cold: &ColdServer) {
    log::info!(
        server:% = cold.id,
        service:% = cold.service,
        for_ms = cold.left.as_millis() as u64,
        cause:% = cold.cause;
        "server_cold"
    );
}

fn log_warm(id: &AgentId, service: &ServiceName) {
    log::info!(server:% = id, service:% = service; "server_warm");
}
