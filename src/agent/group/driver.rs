//! The task of a group: runs its state machines and executes their actions.

use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use siskinbend_document::Fencing as EngineFencing;
use siskinbend_document::Group;
use siskinbend_groups::Action;
use siskinbend_groups::Body;
use siskinbend_groups::EngineState;
use siskinbend_groups::Envelope;
use siskinbend_groups::Event;
use siskinbend_groups::Fence;
use siskinbend_groups::LoadError;
use siskinbend_groups::MapRef;
use siskinbend_groups::Member;
use siskinbend_groups::Options;
use siskinbend_groups::Outcome;
use siskinbend_groups::RankIndex;
use siskinbend_placement::Report;
use siskinbend_placement::Shape;
use siskinbend_types::Ballot;
use siskinbend_types::FencingNumber;
use siskinbend_types::Time;

use super::GroupHandle;
use super::Input;
use super::connections::CountReport;
use super::connections::Payload;
use super::connections::RankConnections;
use super::engine::Engine;
use super::engine::LoadPhase;
use super::engine::RankView;
use super::engine::TokenCounts;
use super::find_group;
use super::lease::LeaseHolder;
use super::planner;
use super::planner::Plan;
use super::planner::Planner;
use crate::agent::Agent;
use crate::limits;
use crate::settings::GroupSettings;

/// The collaborators and initial state of a driver.
pub(super) struct Context {
    pub(super) agent: Arc<Agent>,
    pub(super) handle: Arc<GroupHandle>,
    pub(super) settings: GroupSettings,
    pub(super) connections: Arc<RankConnections>,
    pub(super) engine: Arc<Engine>,
    /// `None` without a platform.
    pub(super) holder: Option<LeaseHolder>,
    pub(super) group: Group,
    pub(super) shape: Shape,
    pub(super) state: EngineState,
}

/// A load command that the engine has accepted.
#[derive(Debug, Clone, Copy)]
struct Loading {
    map: MapRef,
    /// Rank views requested before this time do not show the command yet.
    since: Time,
}

/// Runs the state machines of one rank.
pub(super) struct Driver {
    context: Context,
    member: Member,
    fence: Fence,
    planner: Planner,
    timer: Option<Time>,
    loading: Option<Loading>,
    /// Map of the load command that the engine has not answered yet.
    unanswered_load: Option<MapRef>,
    /// The newest known coordinator with its ballot.
    coordinator: Option<(Ballot, RankIndex)>,
    /// Whether a switch can begin; false while one is in progress.
    can_switch: bool,
    /// Whether other ranks may have promised a switch proposed here whose decision they have not
    /// received yet.
    has_proposed: bool,
    /// Number of the next count report of this incarnation.
    report_number: u32,
    /// The last placement decision or switch outcome, for the status.
    last_outcome: String,
}

impl Driver {
    pub(super) fn start(context: Context) -> Self {
        let options = Options {
            ranks: context.shape.ranks,
            ..Options::default()
        };
        let mut actions = Vec::new();
        let now = context.agent.clock.now();
        let member = Member::start(
            context.settings.rank,
            context.agent.incarnation,
            options,
            context.state,
            now,
            &mut actions,
        );
        let service = context.agent.active.document();
        let service = service
            .as_ref()
            .and_then(|d| d.find_service(context.agent.settings.service.as_str()));
        let checked = service.is_some_and(|s| s.fencing == EngineFencing::Checked);
        log::info!(
            group:% = context.settings.name, rank:% = context.settings.rank,
            life:% = context.state.life,
            map:% = context.state.record.map_at(context.state.step), step:% = context.state.step;
            "group_joined"
        );
        let planner = Planner::new(context.shape, context.settings.policy, &context.group);
        let mut driver = Self {
            context,
            member,
            fence: Fence::new(checked),
            planner,
            timer: None,
            loading: None,
            unanswered_load: None,
            coordinator: None,
            can_switch: false,
            has_proposed: false,
            report_number: 0,
            last_outcome: "none".to_owned(),
        };
        driver.execute(actions);
        driver
    }

    pub(super) async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let mut reports = tokio::time::interval(self.context.settings.interval);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut leases = tokio::time::interval(limits::LEASE_TICK_INTERVAL);
        leases.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let due = self
                .context
                .agent
                .clock
                .to_instant(self.timer.unwrap_or_default());
            tokio::select! {
                input = inputs.recv() => {
                    let Some(input) = input else { return };
                    self.handle_input(input);
                }
                () = tokio::time::sleep_until(due), if self.timer.is_some() => {
                    self.timer = None;
                    self.handle_event(Event::Timer);
                }
                _ = reports.tick() => {
                    self.decide_placement();
                    self.read_token_counts();
                }
                _ = leases.tick() => self.tick_lease(),
            }
            self.publish();
        }
    }

    fn now(&self) -> Time {
        self.context.agent.clock.now()
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Message(payload, connection) => {
                let from = payload.sender();
                if !self.context.connections.accept_message(from, &connection) {
                    log::warn!(rank:% = from, peer:% = connection.remote_address(); "wrong_rank");
                    self.context.agent.record_group_fault("wrong_rank");
                    return;
                }
                match payload {
                    Payload::Switch(envelope) => self.handle_message(envelope),
                    Payload::Counts(counts) => self.record_counts(&counts),
                }
            }
            Input::RankView(view, requested_at) => self.handle_rank_view(&view, requested_at),
            Input::RecordWritten(state) => self.handle_state(state),
            Input::LoadAnswered(map, result) => {
                self.fence.finish();
                self.unanswered_load = None;
                if let Err(error) = result {
                    log::warn!(map:% = map, error:% = error; "load_refused");
                    self.fail_load(map, LoadError::Failed);
                } else {
                    let since = self.now();
                    self.loading = Some(Loading { map, since });
                }
            }
            Input::TokenCounts(counts) => self.send_report(counts),
            Input::Map(id, Ok(map)) => {
                let committed = self.member.rank().state().record.committed.map;
                if self.member.is_leader() && committed == id && !self.planner.has_map(id) {
                    self.planner.install(id, map);
                }
            }
            Input::Map(id, Err(error)) => log::warn!(map:% = id, error:% = error; "map_unreadable"),
            Input::LeaseEvent(event) => {
                let now = self.now();
                if let Some(holder) = &mut self.context.holder {
                    holder.handle_result(event, now);
                }
            }
            Input::InitialFence(number) => {
                log::info!(fencing:% = number; "fence_known");
                self.fence.raise_to(number);
            }
        }
    }

    fn handle_message(&mut self, envelope: Envelope) {
        self.update_coordinator(&envelope);
        self.handle_event(Event::Message(envelope));
    }

    /// Updates the coordinator from messages that only a coordinator sends.
    fn update_coordinator(&mut self, envelope: &Envelope) {
        let ballot = match &envelope.body {
            Body::Heartbeat { ballot } => *ballot,
            Body::Decide(decision) => decision.ballot,
            Body::Prepare { id, .. } => id.ballot,
            Body::Propose { switch } => switch.id.ballot,
            _ => return,
        };
        let newer = self.coordinator.is_none_or(|(known, _)| known <= ballot);
        if newer && envelope.life == self.member.rank().state().life {
            self.coordinator = Some((ballot, envelope.from));
        }
    }

    fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        let now = self.now();
        self.member.handle(event, now, &mut actions);
        self.execute(actions);
    }

    fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(envelope) => {
                    let to = envelope.to;
                    self.has_proposed |= matches!(envelope.body, Body::Propose { .. });
                    self.context
                        .connections
                        .send(to, &Payload::Switch(envelope));
                }
                Action::LoadWeights { map, fencing, plan } => self.start_load(map, fencing, plan),
                Action::DiscardWeights(map) => self.discard_weights(map),
                Action::WriteRecord(write) => {
                    let engine = Arc::clone(&self.context.engine);
                    let inbox = self.context.handle.inbox.clone();
                    tokio::spawn(async move {
                        match engine.write_record(&write).await {
                            Ok(state) => {
                                let _ = inbox.send(Input::RecordWritten(state)).await;
                            }
                            // The state machine repeats the write.
                            Err(error) => log::debug!(error:% = error; "record_not_written"),
                        }
                    });
                }
                Action::SetTimer(at) => self.timer = Some(at),
                Action::Report(outcome) => self.handle_outcome(outcome),
            }
        }
    }

    fn start_load(&mut self, map: MapRef, fencing: FencingNumber, plan: Vec<u8>) {
        let loading = self.loading.map(|loading| loading.map);
        if [self.unanswered_load, loading].contains(&Some(map)) {
            // The state machine repeats the action until the load ends.
            return;
        }
        if let Err(refusal) = self.fence.admit(fencing) {
            log::warn!(map:% = map, fencing:% = fencing, reason = refusal.as_str(); "load_fenced");
            self.fail_load(map, refusal.into());
            return;
        }
        self.loading = None;
        self.unanswered_load = Some(map);
        let engine = Arc::clone(&self.context.engine);
        let inbox = self.context.handle.inbox.clone();
        tokio::spawn(async move {
            let result = engine.load(map, fencing, plan).await;
            if result.is_err() {
                // The engine may still read the command from the closed connection within this
                // time. Until it is over, the fence admits no other command.
                tokio::time::sleep(limits::RANK_TIMEOUT).await;
            }
            let _ = inbox.send(Input::LoadAnswered(map, result)).await;
        });
    }

    fn fail_load(&mut self, map: MapRef, fault: LoadError) {
        self.context.agent.record_group_fault(fault.as_str());
        self.handle_event(Event::WeightsFailed(map, fault));
    }

    fn discard_weights(&mut self, map: MapRef) {
        if self.loading.is_some_and(|loading| loading.map == map) {
            self.loading = None;
        }
        let engine = Arc::clone(&self.context.engine);
        tokio::spawn(async move {
            // Weights that are not discarded are replaced by the next load.
            if let Err(error) = engine.discard(map).await {
                log::warn!(map:% = map, error:% = error; "weights_not_discarded");
            }
        });
    }

    fn handle_state(&mut self, state: EngineState) {
        if state.life != self.member.rank().state().life {
            // The whole group has restarted, so versions and ballots start again.
            let group = &self.context.settings.name;
            log::warn!(group:% = group, life:% = state.life; "group_restarted");
            self.planner.reset();
            self.coordinator = None;
            self.loading = None;
            self.can_switch = false;
        }
        self.handle_event(Event::EngineReport(state));
    }

    fn handle_rank_view(&mut self, view: &RankView, requested_at: Time) {
        self.handle_state(view.state);
        let Some(loading) = self.loading.filter(|loading| loading.since < requested_at) else {
            return;
        };
        let map = loading.map;
        let load = view.load.filter(|load| load.map == map);
        match load.map(|load| load.phase) {
            Some(LoadPhase::Loading) => {}
            Some(LoadPhase::Loaded) => {
                self.loading = None;
                self.handle_event(Event::WeightsLoaded(map));
            }
            // A command that the engine no longer reports was lost in a restart.
            Some(LoadPhase::Failed) | None => {
                self.loading = None;
                log::warn!(map:% = map; "load_failed");
                self.fail_load(map, LoadError::Failed);
            }
        }
    }

    fn handle_outcome(&mut self, outcome: Outcome) {
        let group = &self.context.settings.name;
        match outcome {
            Outcome::Ready { committed } => {
                self.can_switch = true;
                self.has_proposed = false;
                log::debug!(group:% = group, committed:% = committed; "switch_possible");
                self.planner.commit(committed.map);
            }
            Outcome::Committed(switch) => {
                log::info!(
                    group:% = group, map:% = switch.map, step:% = switch.step,
                    outcome = "committed"; "switch_ended"
                );
                self.planner.commit(switch.map);
                self.last_outcome =
                    format!("map {} committed for step {}", switch.map, switch.step);
            }
            Outcome::Aborted { map, reason, rank } => {
                let rank = rank.map_or("none".to_owned(), |rank| rank.to_string());
                log::warn!(
                    group:% = group, map:% = map, outcome = "aborted", reason = reason.as_str(),
                    rank = rank;
                    "switch_ended"
                );
                self.planner.abandon();
                self.context.agent.record_group_fault(reason.as_str());
                self.last_outcome = format!("map {map} aborted: {reason}, rank {rank}");
            }
        }
    }

    /// Reads the content of the committed map from the engine if it is not known.
    fn fetch_map(&self) {
        let id = self.member.rank().state().record.committed.map;
        if self.planner.has_map(id) {
            return;
        }
        let engine = Arc::clone(&self.context.engine);
        let inbox = self.context.handle.inbox.clone();
        let shape = self.context.shape;
        tokio::spawn(async move {
            let read = match engine.read_map(id).await {
                Ok(bytes) => planner::decode_map(id, &bytes, shape),
                Err(error) => Err(error.to_string()),
            };
            let _ = inbox.send(Input::Map(id, read)).await;
        });
    }

    fn tick_lease(&mut self) {
        let now = self.now();
        let is_leader = self.member.is_leader();
        let wanted = is_leader && !self.context.agent.shutdown.is_draining();
        if let Some(holder) = &mut self.context.holder {
            holder.tick(wanted, now);
        }
        if is_leader {
            self.fetch_map();
        } else {
            self.planner.reset();
        }
    }

    fn read_token_counts(&self) {
        let engine = Arc::clone(&self.context.engine);
        let inbox = self.context.handle.inbox.clone();
        tokio::spawn(async move {
            match engine.take_token_counts().await {
                Ok(counts) => {
                    let _ = inbox.send(Input::TokenCounts(counts)).await;
                }
                Err(error) => log::debug!(error:% = error; "counts_unavailable"),
            }
        });
    }

    /// Sends a report to the coordinator: the counts of the map under which most steps ran.
    fn send_report(&mut self, counts: Vec<TokenCounts>) {
        let interval = self.report_number;
        self.report_number += 1;
        let longest = counts.into_iter().max_by_key(|counts| counts.steps);
        let Some(counts) = longest.filter(|counts| counts.steps > 0) else {
            return;
        };
        let rank = self.context.settings.rank;
        let busy = counts.busy_ns / u64::from(counts.steps);
        let report = Report {
            version: counts.map.version,
            interval,
            rank: rank.0,
            steps: counts.steps,
            busy_ns: u32::try_from(busy).unwrap_or(u32::MAX),
            layers: counts.layers,
        };
        let counts = CountReport {
            life: self.member.rank().state().life,
            incarnation: self.context.agent.incarnation,
            rank,
            report: report.encode(),
        };
        if self.member.is_leader() {
            self.record_counts(&counts);
        } else if let Some((_, to)) = self.coordinator {
            self.context.connections.send(to, &Payload::Counts(counts));
        }
    }

    fn record_counts(&mut self, counts: &CountReport) {
        if !self.member.is_leader() || counts.life != self.member.rank().state().life {
            return;
        }
        if let Err(reason) = self.planner.record_report(counts) {
            log::debug!(rank:% = counts.rank, reason; "report_not_counted");
            self.context.agent.record_group_fault(reason);
        }
    }

    /// Decides on the placement, and begins a switch if the policy proposes one.
    fn decide_placement(&mut self) {
        self.planner.advance();
        let draining = self.context.agent.shutdown.is_draining();
        let committed = self.member.rank().state().record.committed.map;
        let known = self.planner.has_map(committed);
        if !self.member.is_leader() || !self.can_switch || !known || draining {
            return;
        }
        if let Some(document) = self.context.agent.active.document()
            && let Some(group) = find_group(&document, &self.context.settings)
        {
            self.context.group = group;
        }
        let interval = self.context.settings.interval;
        let Some(decision) = self.planner.decide(&self.context.group, interval) else {
            return;
        };
        let name = &self.context.settings.name;
        match decision.plan {
            Some(plan) => self.begin_switch(&plan, decision.reason, &decision.text),
            None => {
                log::info!(
                    group:% = name, reason = decision.reason, why = decision.text;
                    "plan_kept"
                );
                self.last_outcome = format!("map kept: {}", decision.text);
            }
        }
    }

    fn begin_switch(&mut self, plan: &Plan, reason: &'static str, text: &str) {
        let now = self.now();
        let mut actions = Vec::new();
        let fencing = self.context.holder.as_ref().and_then(|h| h.fencing(now));
        let begun = match fencing {
            None => Err("the lease is not held".to_owned()),
            Some(fencing) => {
                let bytes = plan.bytes.clone();
                let begun = self
                    .member
                    .begin(plan.id, bytes, fencing, now, &mut actions);
                begun.map_err(|e| e.to_string()).map(|()| fencing)
            }
        };
        let name = &self.context.settings.name;
        let change = &plan.change;
        match begun {
            Ok(fencing) => {
                log::info!(
                    group:% = name, map:% = plan.id, fencing:% = fencing, reason, why = text,
                    gain = format!("{:.3}", change.gain),
                    cost = format!("{:.3}", change.cost.total),
                    loads = change.loads.len(), bytes = change.cost.bytes,
                    ranks = change.cost.ranks;
                    "plan_taken"
                );
                self.last_outcome = format!("map {} planned: {text}", plan.id);
                self.can_switch = false;
                self.planner.set_pending(plan);
            }
            Err(obstacle) => {
                log::warn!(
                    group:% = name, map:% = plan.id, reason, why = text, obstacle = obstacle,
                    gain = format!("{:.3}", change.gain),
                    cost = format!("{:.3}", change.cost.total);
                    "plan_not_taken"
                );
                self.last_outcome = format!("map {} not taken: {obstacle}", plan.id);
                self.planner.abandon();
            }
        }
        self.execute(actions);
    }

    /// Publishes the state to the other tasks.
    fn publish(&mut self) {
        let is_leader = self.member.is_leader();
        self.can_switch &= is_leader;
        self.has_proposed &= is_leader;
        let state = self.member.rank().state();
        let role = match self.coordinator {
            _ if is_leader => "coordinator".to_owned(),
            Some((_, rank)) => format!("rank of coordinator {rank}"),
            None => "rank without coordinator".to_owned(),
        };
        let known = self.fence.highest();
        let fence = known.map_or("unknown".to_owned(), |number| number.to_string());
        let superseded = match self.member.rank().is_superseded() {
            true => " superseded by another run",
            false => "",
        };
        let status_line = format!(
            "group={} rank={} map={} step={} role=\"{role}\" fence={fence} held={}{superseded} \
             last=\"{}\"",
            self.context.settings.name,
            self.context.settings.rank,
            state.record.map_at(state.step),
            state.step,
            state.record.promise.is_some(),
            self.last_outcome,
        );
        let settled = state.record.promise.is_none() && !self.has_proposed;
        self.context.handle.publish(status_line, settled);
    }
}
