//! Which processes there are, from the platform's lagging VM list and their own reports.

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
    /// Address of the process on it.
    pub address: SocketAddr,
    /// Whether it is about to be stopped.
    pub leaving: bool,
}

/// What an agent says about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Address from which it came.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Name of the agent.
    pub agent: AgentId,
    /// Run of the agent.
    pub incarnation: Incarnation,
    /// Service of its backend server.
    pub service: ServiceName,
    /// Whether it takes no new work.
    pub draining: bool,
    /// When the question was sent that it answers; for a report that answers no question, when
    /// its connection was opened. The agent's run was alive after this moment.
    pub alive_after: Time,
}

/// A process as known here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// VM on the platform's list.
    pub vm: Option<VmId>,
    /// Whether the list says that the VM is about to be stopped.
    pub leaving: bool,
    /// Its last report and when that arrived.
    pub report: Option<(Report, Time)>,
    probe: Time,
    confirmed: bool,
    doubted: bool,
}

impl Member {
    fn new(address: SocketAddr, zone: &Zone, now: Time) -> Self {
        Self {
            address,
            zone: zone.clone(),
            vm: None,
            leaving: false,
            report: None,
            probe: now,
            confirmed: false,
            doubted: false,
        }
    }

    /// Tells whether it may receive new work: it has reported itself, its run is known for sure,
    /// and neither it nor the list says that it is leaving.
    pub fn is_eligible(&self) -> bool {
        let draining = self
            .report
            .as_ref()
            .is_none_or(|(report, _)| report.draining);
        self.confirmed && !draining && !self.leaving
    }
}

/// All processes that one entry knows.
#[derive(Debug, Default)]
pub struct Membership {
    members: BTreeMap<SocketAddr, Member>,
    replaced: u64,
}

impl Membership {
    /// Merges the platform's list. A failed read of the list changes nothing and isn't passed in.
    ///
    /// A VM that the list doesn't name stays while it reports itself, because the list lags.
    pub fn merge_list(&mut self, list: Vec<ListedVm>, now: Time) {
        let mut old: Vec<SocketAddr> = self.members.keys().copied().collect();
        for listed in list {
            old.retain(|address| *address != listed.address);
            let member = self
                .members
                .entry(listed.address)
                .or_insert_with(|| Member::new(listed.address, &listed.zone, now));
            let other = member.vm.as_ref().is_some_and(|vm| *vm != listed.vm);
            if other {
                // Another VM under a known address: its process is another run, too.
                member.confirmed = false;
                member.probe = now;
            }
            member.leaving = listed.leaving;
            member.zone = listed.zone;
            member.vm = Some(listed.vm);
        }
        for address in old {
            if let Some(member) = self.members.get_mut(&address) {
                member.vm = None;
            }
        }
    }

    /// Merges an agent's own report, received now.
    ///
    /// Runs have no order of their own. A report of another run replaces the known one only if
    /// its question was sent after the known run was last heard; otherwise it may be a late
    /// report of a run that is gone, and the address is asked again.
    pub fn merge_report(&mut self, report: Report, now: Time) {
        let member = self
            .members
            .entry(report.address)
            .or_insert_with(|| Member::new(report.address, &report.zone, now));
        if let Some((known, heard)) = &mut member.report {
            if known.incarnation == report.incarnation {
                // Draining is never taken back by the same run; an older report may come late.
                let draining = known.draining || report.draining;
                if report.alive_after >= *heard {
                    member.confirmed = true;
                    member.doubted = false;
                }
                *known = Report { draining, ..report };
                *heard = now;
                return;
            }
            if report.alive_after < *heard {
                // Work for a run that is gone is refused by its successor, so the known run
                // stays in use until the address has answered.
                member.doubted = true;
                return;
            }
            self.replaced += 1;
        }
        // A drain announced by the list was meant for the VM, so it stays.
        member.zone = report.zone.clone();
        member.report = Some((report, now));
        member.confirmed = true;
        member.doubted = false;
    }

    /// Forgets what is gone and returns the addresses to probe now.
    pub fn tick(&mut self, now: Time) -> Vec<SocketAddr> {
        self.members.retain(|_, member| {
            let silent = |(_, heard): &(Report, Time)| now.since(*heard) >= MAX_REPORT_AGE;
            member.vm.is_some() || member.report.as_ref().is_some_and(|report| !silent(report))
        });
        let mut probes = Vec::new();
        for member in self.members.values_mut() {
            if (!member.confirmed || member.doubted) && now >= member.probe {
                member.probe = now + PROBE_INTERVAL;
                probes.push(member.address);
            }
        }
        probes
    }

    /// All known processes by address.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// The process at an address.
    pub fn get(&self, address: SocketAddr) -> Option<&Member> {
        self.members.get(&address)
    }

    /// Runs that were replaced by another under the same address.
    pub fn replaced(&self) -> u64 {
        self.replaced
    }
}
