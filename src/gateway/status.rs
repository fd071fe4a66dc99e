//! Status page of a gateway.
//!
//! The parts of the gateway list their state as typed values. Each type has a line here, and a list
//! is added to the page with one line in [`list_notes`].

use std::fmt::Display;
use std::time::Duration;

use siskinbend_routing::slow_start::ColdServer;
use siskinbend_site::ZoneStatus;
use siskinbend_types::Time;

use super::Gateway;
use super::evacuations;
use super::fleet::GroupState;
use super::fleet::LeavingServer;
use super::fleet::LimitedServer;
use super::fleet::PausedServer;
use super::fleet::ServiceState;
use crate::admin::ProcessStatus;

/// Value that the status page shows in one line.
trait StatusLine {
    /// Formats the value as key=value pairs.
    fn format_line(&self) -> String;
}

impl StatusLine for ServiceState {
    fn format_line(&self) -> String {
        format!(
            "service={} servers={} open={} streams={} limit={} report_age_s={:.1}",
            self.service,
            self.servers,
            self.open,
            self.running,
            optional(self.limit),
            self.report_age,
        )
    }
}

impl StatusLine for GroupState {
    fn format_line(&self) -> String {
        format!(
            "group={} service={} open={} streams={} limit={}",
            self.group,
            self.service,
            self.open,
            self.running,
            optional(self.limit),
        )
    }
}

impl StatusLine for LeavingServer {
    fn format_line(&self) -> String {
        let (server, service) = (&self.server, &self.service);
        let age_ms = millis(self.age);
        format!("server={server} service={service} state=leaving since_ms={age_ms}")
    }
}

impl StatusLine for PausedServer {
    fn format_line(&self) -> String {
        let (server, service) = (&self.server, &self.service);
        let left_ms = millis(self.left);
        format!("server={server} service={service} state=paused left_ms={left_ms}")
    }
}

impl StatusLine for LimitedServer {
    fn format_line(&self) -> String {
        let (server, service, limit) = (&self.server, &self.service, self.limit);
        format!("server={server} service={service} state=limited limit={limit}")
    }
}

impl StatusLine for ColdServer {
    fn format_line(&self) -> String {
        let (server, service) = (&self.id, &self.service);
        let (cause, left_ms) = (self.cause, millis(self.left));
        format!("server={server} service={service} state=cold cause={cause} left_ms={left_ms}")
    }
}

impl StatusLine for ZoneStatus {
    fn format_line(&self) -> String {
        format!("zone={} state={}", self.zone, self.state)
    }
}

fn optional<Number>(number: Option<Number>) -> String
where
    Number: Display,
{
    number.map_or("none".to_owned(), |n| n.to_string())
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn lines<Item>(items: Vec<Item>) -> impl Iterator<Item = String>
where
    Item: StatusLine,
{
    items.into_iter().map(|item| item.format_line())
}

/// Lists the lines of the page.
fn list_notes(gateway: &Gateway, now: Time) -> Vec<String> {
    let zones = evacuations::list_zones(gateway, now);
    let fleet = gateway.fleet();
    let mut notes = Vec::new();
    notes.extend(lines(zones));
    notes.extend(lines(fleet.list_states(now)));
    notes.extend(lines(fleet.list_groups(now)));
    notes.extend(lines(fleet.list_leaving(now)));
    notes.extend(lines(fleet.list_paused(now)));
    notes.extend(lines(fleet.list_limited()));
    notes.extend(lines(fleet.list_cold(now)));
    notes
}

/// Returns the status of a gateway.
pub(super) fn read_status(gateway: &Gateway) -> ProcessStatus {
    let config = gateway.config();
    ProcessStatus {
        name: gateway.settings.node.to_string(),
        role: "gateway".to_owned(),
        zone: gateway.settings.zone.to_string(),
        incarnation: gateway.started_ms.to_string(),
        draining: gateway.shutdown.is_draining(),
        version: config.as_ref().map(|c| c.version.0),
        digest: config.map(|c| format!("{:016x}", c.fingerprint())),
        notes: list_notes(gateway, gateway.now()),
    }
}
