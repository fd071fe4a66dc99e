//! Evacuation of availability zones, as it applies to the backend servers of this gateway.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use siskinbend_site::Config;
use siskinbend_site::ZoneStatus;
use siskinbend_site::evacuation::Evacuation;
use siskinbend_site::evacuation::ZoneState;
use siskinbend_types::AgentId;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;
use siskinbend_types::Zone;

use super::Fleet;
use super::Replica;

/// Zones that are evacuated, and those that were.
#[derive(Debug, Default)]
pub(super) struct Zones {
    evacuated: BTreeMap<Zone, Evacuation>,
    /// Withdrawal of the latest evacuation of each open zone.
    reopened: BTreeMap<Zone, Time>,
}

impl Zones {
    /// Lists the evacuated zones.
    pub fn list_closed(&self) -> Vec<Zone> {
        self.evacuated.keys().cloned().collect()
    }
}

impl Fleet {
    /// Sets the evacuated zones.
    pub fn set_evacuations(&mut self, evacuated: &BTreeMap<Zone, Evacuation>, now: Time) {
        if self.zones.evacuated == *evacuated {
            return;
        }
        let before = std::mem::replace(&mut self.zones.evacuated, evacuated.clone());
        let closed = self.zones.list_closed();
        for routing in self.services.values_mut() {
            routing.closed_zones.clone_from(&closed);
        }
        for (zone, evacuation) in evacuated {
            if !before.contains_key(zone) {
                self.zones.reopened.remove(zone);
                let delay = evacuation.max_delay;
                let delay = delay.map_or_else(String::new, |d| d.as_millis().to_string());
                log::info!(zone:% = zone, since_ms:% = delay; "zone_evacuated");
            }
        }
        for (zone, evacuation) in before {
            if !evacuated.contains_key(&zone) {
                self.reopen(zone, evacuation.since, now);
            }
        }
    }

    /// Records that the evacuation of a zone was withdrawn. Its servers may have become cold shortly
    /// before.
    fn reopen(&mut self, zone: Zone, evacuated_at: Time, now: Time) {
        let servers = self.list_servers_in(&zone);
        log::info!(
            zone:% = zone,
            evacuated_ms = now.since(evacuated_at).as_millis() as u64,
            servers = servers.len();
            "zone_reopened"
        );
        self.rules.slow_start.record_reopened(&servers, now);
        if !servers.is_empty() {
            self.zones.reopened.insert(zone, now);
        }
    }

    fn list_servers_in(&self, zone: &Zone) -> Vec<AgentId> {
        let is_inside = |(id, replica): (&AgentId, &Replica)| {
            (replica.server.zone == *zone).then(|| id.clone())
        };
        self.replicas.iter().filter_map(is_inside).collect()
    }

    /// Lists all zones that have servers or are evacuated, with their states. The configuration says
    /// for how long the servers of a reopened zone count as cold.
    pub fn list_zones(&self, config: Option<&Config>, now: Time) -> Vec<ZoneStatus> {
        let mut services: BTreeMap<&Zone, BTreeSet<&ServiceName>> = BTreeMap::new();
        for server in self.replicas.values().map(|replica| &replica.server) {
            let inside = services.entry(&server.zone).or_default();
            inside.insert(&server.service);
        }
        for zone in self.zones.evacuated.keys() {
            services.entry(zone).or_default();
        }
        let outstanding = self.count_outstanding();
        let describe = |(zone, services): (&Zone, BTreeSet<&ServiceName>)| {
            let evacuated = self.zones.evacuated.get(zone).map(|e| e.since);
            let reopened = self.zones.reopened.get(zone).copied();
            let state = match (evacuated, reopened) {
                (Some(_), _) if outstanding.get(zone).is_some_and(|n| *n > 0) => {
                    ZoneState::Evacuating
                }
                (Some(_), _) => ZoneState::Empty,
                (None, Some(at)) if now.since(at) < find_cold_time(config, &services) => {
                    ZoneState::Warming
                }
                (None, _) => ZoneState::Open,
            };
            ZoneStatus {
                zone: zone.clone(),
                state,
                since: evacuated.or(reopened),
            }
        };
        services.into_iter().map(describe).collect()
    }

    fn count_outstanding(&self) -> BTreeMap<&Zone, u32> {
        let mut counts = BTreeMap::new();
        for routing in self.services.values() {
            for (zone, count) in routing.picker.count_outstanding() {
                *counts.entry(zone).or_default() += count;
            }
        }
        counts
    }
}

/// Returns the longest time for which a server of some services is cold after its start.
fn find_cold_time(config: Option<&Config>, services: &BTreeSet<&ServiceName>) -> Duration {
    let find = |name: &&ServiceName| config?.find_service(name)?.slow_start;
    let times = services.iter().filter_map(find).map(|s| s.duration);
    times.max().unwrap_or_default()
}
