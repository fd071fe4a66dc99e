//! Membership of agents, merged from the platform's delayed VM list and the agents' own reports.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use siskinbend_types::AgentId;
use siskinbend_types::Incarnation;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;
use siskinbend_types::VmId;
use siskinbend_types::Zone;

use crate::limits::MAX_REPORT_AGE;
use crate::limits::PROBE_INTERVAL;

/// One VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// Id of the VM.
    pub vm: VmId,
    /// Its availability zone.
    pub zone: Zone,
    /// Address of its agent.
    pub address: SocketAddr,
    /// Whether the VM is about to be stopped.
    pub leaving: bool,
}

/// Status that an agent reports about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Address of the agent.
    pub address: SocketAddr,
    /// Availability zone of the agent.
    pub zone: Zone,
    /// Name of the agent.
    pub agent: AgentId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Service of its backend server.
    pub service: ServiceName,
    /// Whether the agent accepts no new work.
    pub draining: bool,
    /// Time at which the probe was sent that the report answers, or at which the connection was
    /// opened if the report is unsolicited. The incarnation was alive after this time.
    pub alive_after: Time,
}

/// A known agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Address of the agent.
    pub address: SocketAddr,
    /// Availability zone of the agent.
    pub zone: Zone,
    /// VM on the platform's list, `None` if the list has none at this address.
    pub vm: Option<VmId>,
    /// Whether the list says that the VM is about to be stopped.
    pub leaving: bool,
    /// Last report and the time of its arrival.
    pub report: Option<(Report, Time)>,
    next_probe: Time,
    confirmed: bool,
    suspect: bool,
}

impl Member {
    fn new(address: SocketAddr, zone: &Zone, now: Time) -> Self {
        Self {
            address,
            zone: zone.clone(),
            vm: None,
            leaving: false,
            report: None,
            next_probe: now,
            confirmed: false,
            suspect: false,
        }
    }

    /// Returns whether the agent may receive new work: it has reported, its incarnation is
    /// confirmed, it is not draining, and the list does not mark its VM as leaving.
    pub fn is_eligible(&self) -> bool {
        let draining = self
            .report
            .as_ref()
            .is_none_or(|(report, _)| report.draining);
        self.confirmed && !draining && !self.leaving
    }
}

/// All agents known to one entry.
#[derive(Debug, Default)]
pub struct Membership {
    members: BTreeMap<SocketAddr, Member>,
    replaced: u64,
}

impl Membership {
    /// Merges the platform's list. The caller does not call this if reading the list failed.
    ///
    /// An agent whose VM is missing from the list stays as long as it reports, because the list is
    /// delayed.
    pub fn merge_list(&mut self, list: Vec<ListedVm>, now: Time) {
        let mut unlisted: Vec<SocketAddr> = self.members.keys().copied().collect();
        for listed in list {
            unlisted.retain(|address| *address != listed.address);
            let member = self
                .members
                .entry(listed.address)
                .or_insert_with(|| Member::new(listed.address, &listed.zone, now));
            let vm_changed = member.vm.as_ref().is_some_and(|vm| *vm != listed.vm);
            if vm_changed {
                // A different VM at a known address runs a different incarnation of the agent.
                member.confirmed = false;
                member.next_probe = now;
            }
            member.leaving = listed.leaving;
            member.zone = listed.zone;
            member.vm = Some(listed.vm);
        }
        for address in unlisted {
            if let Some(member) = self.members.get_mut(&address) {
                member.vm = None;
            }
        }
    }

    /// Merges an agent's own report, received now.
    ///
    /// Incarnations are not ordered. A report of another incarnation replaces the known one only if
    /// its probe was sent after the last report of the known incarnation arrived. Otherwise it may
    /// be a delayed report of an earlier incarnation, and the address is probed again.
    pub fn merge_report(&mut self, report: Report, now: Time) {
        let member = self
            .members
            .entry(report.address)
            .or_insert_with(|| Member::new(report.address, &report.zone, now));
        if let Some((known, received)) = &mut member.report {
            if known.incarnation == report.incarnation {
                // An incarnation never stops draining, but an older report may arrive late.
                let draining = known.draining || report.draining;
                if report.alive_after >= *received {
                    member.confirmed = true;
                    member.suspect = false;
                }
                *known = Report { draining, ..report };
                *received = now;
                return;
            }
            if report.alive_after < *received {
                // An agent refuses work meant for an earlier incarnation, so using the known
                // incarnation is safe until the probe is answered.
                member.suspect = true;
                return;
            }
            self.replaced += 1;
        }
        // `leaving` stays set: the list reports it for the VM, not for the incarnation.
        member.zone = report.zone.clone();
        member.report = Some((report, now));
        member.confirmed = true;
        member.suspect = false;
    }

    /// Removes expired agents and returns the addresses to probe now.
    pub fn tick(&mut self, now: Time) -> Vec<SocketAddr> {
        self.members.retain(|_, member| {
            let expired = |(_, received): &(Report, Time)| now.since(*received) >= MAX_REPORT_AGE;
            member.vm.is_some()
                || member
                    .report
                    .as_ref()
                    .is_some_and(|report| !expired(report))
        });
        let mut probes = Vec::new();
        for member in self.members.values_mut() {
            if (!member.confirmed || member.suspect) && now >= member.next_probe {
                member.next_probe = now + PROBE_INTERVAL;
                probes.push(member.address);
            }
        }
        probes
    }

    /// Iterates over all known agents by address.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the agent at an address.
    pub fn get(&self, address: SocketAddr) -> Option<&Member> {
        self.members.get(&address)
    }

    /// Returns how many incarnations were replaced by another at the same address.
    pub fn replaced(&self) -> u64 {
        self.replaced
    }
}
