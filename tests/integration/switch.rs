//! Map switches. Guards against ranks that use different maps in the same step, and against a group
//! that stays blocked.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use siskinbend_groups::AbortReason;
use siskinbend_groups::BeginError;
use siskinbend_groups::Body;
use siskinbend_groups::Envelope;
use siskinbend_groups::Event;
use siskinbend_groups::Options;
use siskinbend_groups::Outcome;
use siskinbend_groups::RankIndex;
use siskinbend_groups::RefuseReason;
use siskinbend_groups::Step;
use siskinbend_groups::timing::TimingEstimate;
use siskinbend_measure::switch::faults::Faults;
use siskinbend_measure::switch::world::AgentFault;
use siskinbend_measure::switch::world::ScheduledFault;
use siskinbend_measure::switch::world::Setup;
use siskinbend_measure::switch::world::World;
use siskinbend_types::Ballot;
use siskinbend_types::FencingNumber;
use siskinbend_types::Incarnation;
use siskinbend_types::Time;

use self::bench::Bench;
use self::bench::is_decide;
use self::bench::is_promise;
use self::bench::is_propose;
use self::bench::map;

mod bench;

/// A group whose coordinator has just decided to commit map 2. The decision is undelivered in
/// `bench.messages`. If `recorded` is false, the record of the coordinator's own rank doesn't
/// contain it either.
fn start_with_undelivered_commit(recorded: bool) -> Bench {
    let mut bench = Bench::start(3);
    bench.begin(0, map(2)).expect("ready");
    bench.deliver_unless(is_promise);
    if !recorded {
        bench.blocked_writes = vec![0];
    }
    bench.deliver_unless(is_decide);
    assert_eq!(bench.messages.len(), 2, "the commit to ranks 1 and 2");
    bench
}

#[test]
fn switch_takes_effect_without_a_pause() {
    let mut bench = Bench::start(3);
    bench.begin(0, map(2)).expect("ready");
    bench.deliver_all();
    let step = bench.engines.ranks[0].state.record.committed.step;
    assert!(step > Step(30), "the step is at least 1 s ahead, {step}");
    assert_eq!(bench.step_until_held(2 * step.0), 2 * step.0);
    bench.run_and_check(2);
    assert_eq!(bench.stats.held_steps, 0);
}

#[test]
fn delayed_commit_after_an_aborting_takeover_is_ignored() {
    // If it took effect, one rank would use the new map while the others keep the old one.
    let mut bench = start_with_undelivered_commit(false);
    let late = bench.remove_messages(is_decide);
    bench.kill(0);
    bench.restart(0);
    bench.blocked_writes.clear();
    bench.restart(0);
    bench.run_dropping(3_000, |_| false);
    assert_eq!(bench.committed(), [1, 1, 1]);
    assert_eq!(bench.gates(), [None; 3], "the takeover opened the gates");
    bench.deliver(late);
    assert_eq!(bench.committed(), [1, 1, 1]);
    bench.run_and_check(1);
}

#[test]
fn known_commit_is_adopted_by_a_takeover() {
    // The coordinator's own rank uses the new map from the switch's step on; an abort would mix
    // maps.
    let mut bench = start_with_undelivered_commit(true);
    bench.remove_messages(is_decide);
    bench.kill(0);
    let gate = bench.gates()[1].expect("promised");
    bench.step_until_held(1_000);
    assert_eq!(bench.engines.completed_step, Step(gate.0 - 1));
    bench.restart(0);
    bench.run_dropping(3_000, |_| false);
    assert_eq!(bench.committed(), [2, 2, 2]);
    bench.run_and_check(2);
}

#[test]
fn takeover_waits_for_every_rank() {
    // The rank that doesn't answer may be the only one that has recorded the commit.
    let mut bench = start_with_undelivered_commit(true);
    bench.remove_messages(is_decide);
    bench.kill(0);
    bench.step_until_held(1_000);
    bench.run_dropping(600_000, |_| false);
    assert_eq!(bench.committed(), [2, 1, 1]);
    assert!(
        bench.gates()[1].is_some() && bench.gates()[2].is_some(),
        "a gate opened without a decision"
    );
    bench.restart(0);
    bench.run_and_check(2);
}

#[test]
fn gate_stays_closed_without_a_decision() {
    // No timeout, however long, says anything about the decision.
    let mut bench = start_with_undelivered_commit(true);
    bench.messages.clear();
    bench.step_until_held(1_000);
    bench.run_dropping(600_000, |_| true);
    assert!(!bench.step());
    bench.run_and_check(2);
}

#[test]
fn lost_promise_is_requested_again() {
    // The gate is already closed; without a retry, one lost message would block the group or abort
    // the switch.
    let mut bench = Bench::start(3);
    bench.begin(0, map(2)).expect("ready");
    bench.deliver_unless(|e| is_promise(e) && e.from == RankIndex(2));
    assert_eq!(bench.remove_messages(is_promise).len(), 1);
    assert!(bench.gates()[2].is_some());
    bench.run_dropping(300, |_| false);
    assert_eq!(bench.committed(), [2, 2, 2]);
}

#[test]
fn silent_rank_aborts_before_the_step_is_reached() {
    let mut bench = Bench::start(3);
    bench.begin(0, map(2)).expect("ready");
    bench.deliver_unless(is_propose);
    let mut held = false;
    for _ in 0..60 {
        held |= !bench.step();
        // The agent of rank 2 is partitioned while its engine keeps running.
        let cut = |e: &Envelope| e.to == RankIndex(2) || e.from == RankIndex(2);
        bench.deliver_unless(cut);
        bench.remove_messages(cut);
    }
    assert!(!held, "the abort came after the step was reached");
    let aborted = Outcome::Aborted {
        map: map(2),
        reason: AbortReason::PromiseTimeout,
        rank: Some(RankIndex(2)),
    };
    assert!(bench.outcomes.contains(&aborted), "{:?}", bench.outcomes);
    bench.run_and_check(1);
}

#[test]
fn two_candidates_end_with_one_leader() {
    let mut bench = start_with_undelivered_commit(true);
    bench.remove_messages(is_decide);
    bench.kill(0);
    // Neither candidate receives the other's query before it starts its own.
    bench.advance(2_000);
    let queries = bench.remove_messages(|e| matches!(e.body, Body::Query { .. }));
    let both = [1, 2].map(|r| queries.iter().any(|e| e.from == RankIndex(r)));
    assert_eq!(both, [true, true]);
    bench.restart(0);
    bench.deliver(queries);
    bench.run_dropping(10_000, |_| false);
    let leaders = bench.members.iter().flatten().filter(|m| m.is_leader());
    assert_eq!(leaders.count(), 1);
    bench.run_and_check(2);
}

#[test]
fn old_coordinator_steps_down() {
    // A paused coordinator resumes without knowing that another one has taken over.
    let mut bench = Bench::start(3);
    let cut = |e: &Envelope| e.from == RankIndex(0);
    bench.begin(0, map(2)).expect("ready");
    bench.deliver_unless(is_promise);
    let promises = bench.remove_messages(is_promise);
    for _ in 0..300 {
        // Its rank answers queries, but the messages that it sends as coordinator are lost.
        bench.advance(10);
        bench.deliver_unless(|e| cut(e) && !matches!(e.body, Body::State { .. }));
        bench.remove_messages(cut);
    }
    assert!(!bench.member(0).is_leader());
    bench.deliver(promises);
    bench.run_and_check(1);
    assert_eq!(bench.begin(0, map(3)), Err(BeginError::NotLeader));
}

#[test]
fn coordinator_steps_down_when_a_rank_has_answered_a_higher_ballot() {
    // The candidate of the higher ballot reached only rank 2 and is gone. Rank 2 rejects all lower
    // ballots.
    let mut bench = Bench::start(3);
    let ballot = Ballot {
        term: 50,
        owner: Incarnation(99),
    };
    let query = Envelope {
        life: bench.engines.ranks[2].state.life,
        from: RankIndex(1),
        to: RankIndex(2),
        body: Body::Query { ballot },
    };
    bench.deliver(vec![query]);
    bench.run_dropping(3_000, |_| false);
    assert!(!bench.member(0).is_leader());
    bench.run_dropping(10_000, |_| false);
    let leaders = bench.members.iter().flatten().filter(|m| m.is_leader());
    assert_eq!(leaders.count(), 1);
}

#[test]
fn second_switch_waits_for_the_first_decision() {
    let mut bench = Bench::start(3);
    bench.begin(0, map(2)).expect("ready");
    bench.deliver_unless(is_promise);
    let first = bench.member(2).rank().promise().expect("promised");
    assert_eq!(bench.begin(0, map(3)), Err(BeginError::Busy));
    // A message that a correct coordinator never sends: another proposal while rank 2 has an
    // undecided promise.
    let mut second = first;
    second.id.round += 1;
    second.map = map(3);
    second.step.0 += 50;
    let mut envelope = bench.messages[0].clone();
    envelope.from = RankIndex(0);
    envelope.to = RankIndex(2);
    envelope.body = Body::Propose { switch: second };
    bench.messages.clear();
    bench.deliver(vec![envelope]);
    let refused = Body::Refuse {
        id: second.id,
        reason: RefuseReason::Promised,
    };
    assert!(bench.messages.iter().any(|e| e.body == refused));
    assert_eq!(bench.member(2).rank().promise(), Some(first));
    // Loading the weights of the second map would replace those of the promised map.
    let mut envelope = bench.messages[0].clone();
    (envelope.from, envelope.to) = (RankIndex(0), RankIndex(2));
    envelope.body = Body::Prepare {
        id: second.id,
        map: second.map,
        fencing: FencingNumber(1),
        plan: Vec::new(),
    };
    bench.deliver(vec![envelope]);
    let loaded = Body::Loaded { id: second.id };
    assert!(bench.messages.iter().all(|e| e.body != loaded));
    let undelivered = |e: &Envelope| is_decide(e) || (is_promise(e) && e.from == RankIndex(1));
    bench.run_dropping(700, undelivered);
    assert_eq!(bench.member(2).rank().promise(), Some(first));
    assert_eq!(
        bench.begin(0, map(3)),
        Err(BeginError::Busy),
        "not all ranks have recorded the abort"
    );
}

#[test]
fn restarted_rank_rejoins_with_the_map_in_force() {
    let mut bench = Bench::start(3);
    bench.begin(0, map(2)).expect("ready");
    bench.run_and_check(2);
    for rank in [2, 1] {
        bench.restart(rank);
        bench.deliver_all();
        assert!(bench.step());
    }
    bench.begin(0, map(3)).expect("ready");
    bench.run_and_check(3);
    assert_eq!(bench.stats.held_steps, 0);
}

#[test]
fn restart_of_a_promised_rank_keeps_its_gate_closed() {
    let mut bench = start_with_undelivered_commit(true);
    bench.messages.clear();
    bench.restart(2);
    bench.step_until_held(1_000);
    assert!(bench.gates()[2].is_some(), "the promise was lost");
    bench.run_and_check(2);
}

#[test]
fn switch_whose_step_has_started_is_proposed_again() {
    // The coordinator receives the step reports late, so the ranks have already started the step
    // that it chooses.
    let mut bench = Bench::start(3);
    bench.blocked_reports = vec![0];
    for _ in 0..300 {
        assert!(bench.step());
        bench.deliver_all();
    }
    bench.begin(0, map(2)).expect("ready");
    bench.deliver_unless(is_propose);
    let steps: Vec<Step> = bench.messages.iter().filter_map(proposed_step).collect();
    assert!(
        steps[0] < bench.engines.completed_step,
        "the first proposed step has already started, {steps:?}"
    );
    bench.blocked_reports.clear();
    bench.run_and_check(2);
    assert_eq!(bench.stats.held_steps, 0);
}

fn proposed_step(envelope: &Envelope) -> Option<Step> {
    match &envelope.body {
        Body::Propose { switch } => Some(switch.step),
        _ => None,
    }
}

#[test]
fn margin_follows_step_time_and_round_trip() {
    // A fixed margin is too short for short steps, slow networks or late step reports.
    let options = Options::default();
    let mut slow = TimingEstimate::default();
    let mut fast = TimingEstimate::default();
    for step in 0..100 {
        slow.record_step(Step(step), Time::from_millis(step * 40));
        fast.record_step(Step(step), Time::from_millis(step * 10));
    }
    let margin = slow.margin(&options);
    let ahead =
        |estimate: &TimingEstimate, end| estimate.step_after(margin, Time::from_millis(end)).0 - 99;
    assert_eq!(ahead(&slow, 99 * 40), 26);
    assert_eq!(ahead(&fast, 99 * 10), 101);
    for _ in 0..20 {
        slow.record_round_trip(Duration::from_secs(1));
    }
    assert!(slow.margin(&options) >= Duration::from_secs(4));
    fast.record_passed_step();
    assert_eq!(fast.margin(&options), options.min_margin * 2);
}

#[test]
fn late_proposal_of_an_aborted_round_closes_no_gate() {
    let mut bench = Bench::start(3);
    bench.begin(0, map(2)).expect("ready");
    bench.deliver_unless(is_propose);
    let late = bench.remove_messages(is_propose);
    bench.run_dropping(3_000, is_propose);
    bench.begin(0, map(2)).expect("ready");
    bench.deliver_unless(is_propose);
    bench.deliver(late);
    assert_eq!(bench.gates()[1..], [None; 2]);
    bench.run_and_check(2);
}

#[test]
fn late_write_of_an_earlier_run_is_refused() {
    // The write would close a gate without the new run's knowledge, or undo a commit.
    let mut bench = Bench::start(3);
    bench.begin(0, map(2)).expect("ready");
    bench.deliver_unless(is_propose);
    bench.blocked_writes = vec![2];
    bench.deliver_unless(|_| false);
    let (rank, write) = bench.lost_writes.pop().expect("rank 2 wrote its promise");
    bench.blocked_writes.clear();
    bench.restart(2);
    bench.engines.write(rank, &write);
    assert_eq!(bench.gates()[2], None);
    bench.run_and_check(2);
}

#[test]
fn replaced_run_of_an_agent_stops_acting() {
    let mut bench = Bench::start(3);
    let old = bench.members[2].take();
    bench.restart(2);
    let new = std::mem::replace(&mut bench.members[2], old);
    let report = bench.engines.report(2);
    bench.handle_event(2, Event::EngineReport(report));
    assert!(bench.member(2).rank().is_superseded());
    bench.begin(0, map(2)).expect("ready");
    bench.deliver_all();
    assert_eq!(
        bench.gates(),
        [None; 3],
        "the replaced run answered in place of its successor"
    );
    bench.members[2] = new;
    bench.run_and_check(2);
}

#[test]
fn misrouted_messages_and_messages_of_an_earlier_group_run_are_dropped() {
    let mut bench = Bench::start(3);
    bench.begin(0, map(2)).expect("ready");
    bench.deliver_unless(is_propose);
    let proposals = bench.remove_messages(|e| is_propose(e) && e.to == RankIndex(1));
    let mut old = proposals[0].clone();
    old.life = Incarnation(99);
    bench.handle_event(1, Event::Message(old));
    bench.handle_event(2, Event::Message(proposals[0].clone()));
    assert_eq!(bench.gates()[1..], [None; 2]);
}

#[test]
fn failed_load_aborts_the_switch_without_blocking_the_group() {
    let mut bench = Bench::start(3);
    bench.loads_fail = true;
    bench.begin(0, map(2)).expect("ready");
    bench.deliver_all();
    let failed = |o: &Outcome| matches!(o, Outcome::Aborted { reason, .. } if *reason == AbortReason::LoadFailed);
    assert!(bench.outcomes.iter().any(failed));
    assert_eq!(bench.step_until_held(100), 100);
    bench.loads_fail = false;
    bench.begin(0, map(2)).expect("ready again");
    bench.run_and_check(2);
}

fn run(setup: Setup) -> siskinbend_measure::switch::stats::SwitchStats {
    World::start(setup)
        .run()
        .expect("the group never stops forever")
}

/// Injects a fault into the coordinator after each of its actions, one action per run, until a run
/// ends without an injection.
fn inject_at_every_action(fault: AgentFault) {
    let mut injections = 0;
    for actions in 0..1_000 {
        let mut world = World::start(Setup {
            seed: actions,
            ranks: 4,
            steps: 600,
            scheduled_fault: Some(ScheduledFault { actions, fault }),
            ..Setup::default()
        });
        let stats = world.run().expect("the group never stops forever");
        assert_eq!(stats.mixed_steps, 0, "interrupted after {actions} actions");
        assert!(
            stats.switches > 1,
            "no switch after the interruption at action {actions}"
        );
        if !world.is_fault_injected() {
            break;
        }
        injections += 1;
    }
    assert!(injections > 50, "only {injections} injections");
}

#[test]
fn coordinator_may_be_killed_at_every_point() {
    inject_at_every_action(AgentFault::Kill(Duration::from_secs(1)));
}

#[test]
fn coordinator_may_be_paused_at_every_point() {
    // The pause is long enough for a takeover by another rank before the coordinator resumes in the
    // middle of its sends.
    inject_at_every_action(AgentFault::Pause(Duration::from_secs(9)));
}

#[test]
fn switches_without_faults_cause_no_pause() {
    for seed in 0..4 {
        let steps = 1_000;
        let stats = run(Setup {
            seed,
            steps,
            ..Setup::default()
        });
        assert!(stats.switches >= 8);
        let rest = (stats.mixed_steps, stats.aborted, stats.held_steps);
        assert_eq!(rest, (0, 0, 0));
    }
}

#[test]
fn same_seed_gives_the_same_run() {
    let setup = Setup {
        seed: 7,
        ranks: 8,
        steps: 500,
        faults: Faults::all(),
        ..Setup::default()
    };
    assert_eq!(run(setup.clone()), run(setup));
}

fn setup_with_faults(seed: u64, ignore_gates: bool) -> Setup {
    Setup {
        seed,
        ranks: 5,
        steps: 1_500,
        period: Duration::from_millis(700),
        faults: Faults::all(),
        ignore_gates,
        ..Setup::default()
    }
}

#[test]
fn steps_are_mixed_without_the_promise() {
    // If the engine ignores a closed gate, a rank that misses the commit continues with the old
    // map. With the gate, the same seeds mix no step.
    let (mut without_gate, mut with_gate) = (0, 0);
    for seed in 0..40 {
        without_gate += run(setup_with_faults(seed, true)).mixed_steps;
        with_gate += run(setup_with_faults(seed, false)).mixed_steps;
    }
    assert!(
        without_gate > 0,
        "no mixed step was detected without the gate"
    );
    assert_eq!(with_gate, 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]
    #[test]
    fn random_faults_mix_no_step(seed: u64, ranks in 1u16..12, loss in 0.0f64..0.4, pause in 1u64..20) {
        let stats = World::start(Setup {
            ranks,
            faults: Faults {
                loss,
                disturbance_interval: Duration::from_secs(pause),
                ..Faults::all()
            },
            ..setup_with_faults(seed, false)
        }).run();
        prop_assert!(stats.is_ok(), "{stats:?}");
        prop_assert_eq!(stats.map(|t| t.mixed_steps), Ok(0));
    }
}
