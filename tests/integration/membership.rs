//! Membership of agents. Guards against sending work to an earlier incarnation, and against losing
//! an agent because the platform's VM list is delayed or unavailable.

use std::net::SocketAddr;
use std::time::Duration;

use siskinbend_control::membership::ListedVm;
use siskinbend_control::membership::Membership;
use siskinbend_control::membership::Report;
use siskinbend_types::Incarnation;
use siskinbend_types::Time;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn listed(vm: &str, port: u16, leaving: bool) -> ListedVm {
    ListedVm {
        vm: vm.parse().expect("name"),
        zone: "oyo".parse().expect("name"),
        address: address(port),
        leaving,
    }
}

fn report(port: u16, incarnation: u64, alive_after: u64) -> Report {
    Report {
        address: address(port),
        zone: "oyo".parse().expect("name"),
        agent: "agent-1".parse().expect("name"),
        incarnation: Incarnation(incarnation),
        service: "draft-pool".parse().expect("name"),
        draining: false,
        alive_after: Time::from_millis(alive_after),
    }
}

fn at(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn incarnation(members: &Membership, port: u16) -> Option<Incarnation> {
    let member = members.get(address(port))?;
    member.report.as_ref().map(|(report, _)| report.incarnation)
}

#[test]
fn listed_agent_is_probed_before_it_is_used() {
    let mut members = Membership::default();
    members.merge_list(vec![listed("vm-1", 1, false)], at(0));
    assert!(!members.get(address(1)).expect("member").is_eligible());
    assert_eq!(members.tick(at(0)), [address(1)]);
    assert_eq!(members.tick(at(10)), []);
    members.merge_report(report(1, 7, 5), at(20));
    assert!(members.get(address(1)).expect("member").is_eligible());
    assert_eq!(members.tick(at(5_000)), []);
}

#[test]
fn new_incarnation_replaces_the_old_one_despite_late_reports() {
    let mut members = Membership::default();
    members.merge_report(report(1, 7, 0), at(10));
    members.merge_report(report(1, 8, 20), at(30));
    assert_eq!(incarnation(&members, 1), Some(Incarnation(8)));
    // A delayed answer of the old incarnation, to a probe sent before it ended, arrives last.
    members.merge_report(report(1, 7, 15), at(40));
    assert_eq!(incarnation(&members, 1), Some(Incarnation(8)));
    assert!(members.get(address(1)).expect("member").is_eligible());
    // The next probe decides, whichever incarnation answers it.
    assert_eq!(members.tick(at(1_100)), [address(1)]);
    members.merge_report(report(1, 9, 1_100), at(1_110));
    assert_eq!(incarnation(&members, 1), Some(Incarnation(9)));
    assert_eq!(members.replaced(), 2);
}

#[test]
fn replaced_vm_under_the_same_address_is_probed_again() {
    let mut members = Membership::default();
    members.merge_list(vec![listed("vm-1", 1, false)], at(0));
    members.merge_report(report(1, 7, 1), at(2));
    members.merge_list(vec![listed("vm-2", 1, false)], at(1_000));
    assert!(!members.get(address(1)).expect("member").is_eligible());
    assert_eq!(members.tick(at(1_000)), [address(1)]);
}

#[test]
fn delayed_list_neither_hides_nor_keeps_agents_forever() {
    let mut members = Membership::default();
    members.merge_list(vec![listed("vm-1", 1, false)], at(0));
    members.merge_report(report(1, 7, 1), at(2));
    members.merge_report(report(2, 8, 1), at(2));
    members.merge_list(vec![], at(1_000));
    members.tick(at(1_000));
    // Both agents have reported recently, so an empty list removes neither.
    assert_eq!(
        members
            .members()
            .filter(|member| member.is_eligible())
            .count(),
        2
    );
    members.merge_report(report(2, 8, 29_000), at(29_001));
    members.tick(at(2) + Duration::from_secs(30));
    let left: Vec<_> = members.members().map(|member| member.address).collect();
    assert_eq!(left, [address(2)]);
}

#[test]
fn drain_starts_with_the_list_or_the_report() {
    let mut members = Membership::default();
    members.merge_list(vec![listed("vm-1", 1, true)], at(0));
    members.merge_report(report(1, 7, 1), at(2));
    assert!(!members.get(address(1)).expect("member").is_eligible());
    // A VM that was marked as leaving stays ineligible when it disappears from the list.
    members.merge_list(vec![], at(10));
    assert!(!members.get(address(1)).expect("member").is_eligible());
    let draining = Report {
        draining: true,
        ..report(2, 8, 1)
    };
    members.merge_report(draining, at(2));
    // A report from before the drain started arrives late.
    members.merge_report(report(2, 8, 0), at(3));
    assert!(!members.get(address(2)).expect("member").is_eligible());
}
