//! The task of a group: carries out what its state machines decide.

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

use super::Input;
use super::Port;
use super::engine::Engine;
use super::engine::LoadPhase;
use super::engine::RankView;
use super::engine::TokenCounts;
use super::find_group;
use super::lease::Holder;
use super::links::Counts;
use super::links::Links;
use super::links::Payload;
use super::planner;
use super::planner::Plan;
use super::planner::Planner;
use crate::agent::Agent;
use crate::limits;
use crate::settings::GroupSettings;

/// What a driver is made of.
pub(super) struct Parts {
    pub(super) agent: Arc<Agent>,
    pub(super) port: Arc<Port>,
    pub(super) settings: GroupSettings,
    pub(super) links: Arc<Links>,
    pub(super) engine: Arc<Engine>,
    /// None without a platform.
    pub(super) holder: Option<Holder>,
    pub(super) group: Group,
    pub(super) shape: Shape,
    pub(super) state: EngineState,
}

/// A load command that the engine has accepted.
#[derive(Debug, Clone, Copy)]
struct Loading {
    map: MapRef,
    /// Answers to questions before this time don't show the command.
    since: Time,
}

/// Runs the machines of one rank.
pub(super) struct Driver {
    parts: Parts,
    member: Member,
    fence: Fence,
    planner: Planner,
    timer: Option<Time>,
    loading: Option<Loading>,
    /// The map of a load command that the engine hasn't answered.
    commanding: Option<MapRef>,
    coordinator: Option<(Ballot, RankIndex)>,
    /// A switch can begin; false while one is under way.
    ready: bool,
    /// Other ranks may have promised a switch of this coordinator that they don't know the
    /// decision of.
    proposed: bool,
    /// Count intervals of this run.
    interval: u32,
    /// The last decision or outcome with its reason.
    last: String,
}

impl Driver {
    pub(super) fn start(parts: Parts) -> Self {
        let options = Options {
            ranks: parts.shape.ranks,
            ..Options::default()
        };
        let mut actions = Vec::new();
        let now = parts.agent.clock.now();
        let member = Member::start(
            parts.settings.rank,
            parts.agent.incarnation,
            options,
            parts.state,
            now,
            &mut actions,
        );
        let service = parts.agent.active.document();
        let service = service
            .as_ref()
            .and_then(|d| d.find_service(parts.agent.settings.service.as_str()));
        let checked = service.is_some_and(|s| s.fencing == EngineFencing::Checked);
        log::info!(
            group:% = parts.settings.name, rank:% = parts.settings.rank, life:% = parts.state.life,
            map:% = parts.state.record.map_at(parts.state.step), step:% = parts.state.step;
            "group_joined"
        );
        let planner = Planner::new(parts.shape, parts.settings.policy, &parts.group);
        let mut driver = Self {
            parts,
            member,
            fence: Fence::new(checked),
            planner,
            timer: None,
            loading: None,
            commanding: None,
            coordinator: None,
            ready: false,
            proposed: false,
            interval: 0,
            last: "none".to_owned(),
        };
        driver.carry_out(actions);
        driver
    }

    pub(super) async fn run(mut self, mut inputs: mpsc::Receiver<Input>) {
        let mut reports = tokio::time::interval(self.parts.settings.interval);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut leases = tokio::time::interval(limits::LEASE_TICK_INTERVAL);
        leases.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let due = self
                .parts
                .agent
                .clock
                .to_instant(self.timer.unwrap_or_default());
            tokio::select! {
                input = inputs.recv() => {
                    let Some(input) = input else { return };
                    self.take(input);
                }
                () = tokio::time::sleep_until(due), if self.timer.is_some() => {
                    self.timer = None;
                    self.handle(Event::Timer);
                }
                _ = reports.tick() => {
                    self.decide();
                    self.read_tokens();
                }
                _ = leases.tick() => self.tick_lease(),
            }
            self.publish();
        }
    }

    fn now(&self) -> Time {
        self.parts.agent.clock.now()
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::Message(payload, connection) => {
                let from = payload.from();
                if !self.parts.links.adopt(from, &connection) {
                    log::warn!(rank:% = from, peer:% = connection.remote_address(); "wrong_rank");
                    self.parts.agent.count_group("wrong_rank");
                    return;
                }
                match payload {
                    Payload::Switch(envelope) => self.deliver(envelope),
                    Payload::Counts(counts) => self.ingest(&counts),
                }
            }
            Input::Engine(view, asked) => self.note_view(&view, asked),
            Input::Written(state) => self.note_state(state),
            Input::Load(map, result) => {
                self.fence.finish();
                self.commanding = None;
                if let Err(error) = result {
                    log::warn!(map:% = map, error:% = error; "load_refused");
                    self.fail_load(map, LoadError::Failed);
                } else {
                    let since = self.now();
                    self.loading = Some(Loading { map, since });
                }
            }
            Input::Tokens(counts) => self.report(counts),
            Input::Map(id, Ok(map)) => {
                let committed = self.member.rank().state().record.committed.map;
                if self.member.is_leader() && committed == id && !self.planner.knows(id) {
                    self.planner.install(id, map);
                }
            }
            Input::Map(id, Err(error)) => log::warn!(map:% = id, error:% = error; "map_unreadable"),
            Input::Lease(event) => {
                let now = self.now();
                if let Some(holder) = &mut self.parts.holder {
                    holder.take(event, now);
                }
            }
            Input::Fence(number) => {
                log::info!(fencing:% = number; "fence_known");
                self.fence.raise_to(number);
            }
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        self.note_coordinator(&envelope);
        self.handle(Event::Message(envelope));
    }

    /// Notes who leads, from messages that only a coordinator sends.
    fn note_coordinator(&mut self, envelope: &Envelope) {
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

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        let now = self.now();
        self.member.handle(event, now, &mut actions);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(envelope) => {
                    let to = envelope.to;
                    self.proposed |= matches!(envelope.body, Body::Propose { .. });
                    self.parts.links.send(to, &Payload::Switch(envelope));
                }
                Action::LoadWeights { map, fencing, plan } => self.load(map, fencing, plan),
                Action::DiscardWeights(map) => self.discard(map),
                Action::WriteRecord(write) => {
                    let engine = Arc::clone(&self.parts.engine);
                    let inbox = self.parts.port.inbox.clone();
                    tokio::spawn(async move {
                        match engine.write_record(&write).await {
                            Ok(state) => {
                                let _ = inbox.send(Input::Written(state)).await;
                            }
                            // The machine repeats the write.
                            Err(error) => log::debug!(error:% = error; "record_not_written"),
                        }
                    });
                }
                Action::SetTimer(at) => self.timer = Some(at),
                Action::Report(outcome) => self.note_outcome(outcome),
            }
        }
    }

    fn load(&mut self, map: MapRef, fencing: FencingNumber, plan: Vec<u8>) {
        let loading = self.loading.map(|loading| loading.map);
        if [self.commanding, loading].contains(&Some(map)) {
            // The action repeats until the load ends.
            return;
        }
        if let Err(refusal) = self.fence.admit(fencing) {
            log::warn!(map:% = map, fencing:% = fencing, reason = refusal.as_str(); "load_fenced");
            self.fail_load(map, refusal.into());
            return;
        }
        self.loading = None;
        self.commanding = Some(map);
        let engine = Arc::clone(&self.parts.engine);
        let inbox = self.parts.port.inbox.clone();
        tokio::spawn(async move {
            let result = engine.load(map, fencing, plan).await;
            if result.is_err() {
                // The connection is closed; until this time is over, the engine may still read
                // the command from it, and the fence lets no other one pass.
                tokio::time::sleep(limits::RANK_TIMEOUT).await;
            }
            let _ = inbox.send(Input::Load(map, result)).await;
        });
    }

    fn fail_load(&mut self, map: MapRef, fault: LoadError) {
        self.parts.agent.count_group(fault.as_str());
        self.handle(Event::WeightsFailed(map, fault));
    }

    fn discard(&mut self, map: MapRef) {
        if self.loading.is_some_and(|loading| loading.map == map) {
            self.loading = None;
        }
        let engine = Arc::clone(&self.parts.engine);
        tokio::spawn(async move {
            // Weights that stay loaded are replaced by the next load.
            if let Err(error) = engine.discard(map).await {
                log::warn!(map:% = map, error:% = error; "weights_not_discarded");
            }
        });
    }

    fn note_state(&mut self, state: EngineState) {
        if state.life != self.member.rank().state().life {
            // The group restarted as a whole; versions and ballots begin again.
            log::warn!(group:% = self.parts.settings.name, life:% = state.life; "group_restarted");
            self.planner.reset();
            self.coordinator = None;
            self.loading = None;
            self.ready = false;
        }
        self.handle(Event::EngineReport(state));
    }

    fn note_view(&mut self, view: &RankView, asked: Time) {
        self.note_state(view.state);
        let Some(loading) = self.loading.filter(|loading| loading.since < asked) else {
            return;
        };
        let map = loading.map;
        let load = view.load.filter(|load| load.map == map);
        match load.map(|load| load.phase) {
            Some(LoadPhase::Loading) => {}
            Some(LoadPhase::Loaded) => {
                self.loading = None;
                self.handle(Event::WeightsLoaded(map));
            }
            // A command that the engine doesn't know any more was lost in a restart.
            Some(LoadPhase::Failed) | None => {
                self.loading = None;
                log::warn!(map:% = map; "load_failed");
                self.fail_load(map, LoadError::Failed);
            }
        }
    }

    fn note_outcome(&mut self, outcome: Outcome) {
        let group = &self.parts.settings.name;
        match outcome {
            Outcome::Ready { committed } => {
                self.ready = true;
                self.proposed = false;
                log::debug!(group:% = group, committed:% = committed; "switch_possible");
                self.planner.commit(committed.map);
            }
            Outcome::Committed(switch) => {
                log::info!(
                    group:% = group, map:% = switch.map, step:% = switch.step,
                    outcome = "committed"; "switch_ended"
                );
                self.planner.commit(switch.map);
                self.last = format!("map {} committed for step {}", switch.map, switch.step);
            }
            Outcome::Aborted { map, reason, rank } => {
                let rank = rank.map_or("none".to_owned(), |rank| rank.to_string());
                log::warn!(
                    group:% = group, map:% = map, outcome = "aborted", reason = reason.as_str(),
                    rank = rank;
                    "switch_ended"
                );
                self.planner.abandon();
                self.parts.agent.count_group(reason.as_str());
                self.last = format!("map {map} aborted: {reason}, rank {rank}");
            }
        }
    }

    /// Reads the content of the map in force from the engine, if it isn't known.
    fn find_map(&self) {
        let id = self.member.rank().state().record.committed.map;
        if self.planner.knows(id) {
            return;
        }
        let engine = Arc::clone(&self.parts.engine);
        let inbox = self.parts.port.inbox.clone();
        let shape = self.parts.shape;
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
        let leading = self.member.is_leader();
        let wanted = leading && !self.parts.agent.shutdown.is_draining();
        if let Some(holder) = &mut self.parts.holder {
            holder.tick(wanted, now);
        }
        if leading {
            self.find_map();
        } else {
            self.planner.reset();
        }
    }

    fn read_tokens(&self) {
        let engine = Arc::clone(&self.parts.engine);
        let inbox = self.parts.port.inbox.clone();
        tokio::spawn(async move {
            match engine.take_tokens().await {
                Ok(counts) => {
                    let _ = inbox.send(Input::Tokens(counts)).await;
                }
                Err(error) => log::debug!(error:% = error; "counts_unavailable"),
            }
        });
    }

    /// Sends the counts of the map with the most steps to the coordinator.
    fn report(&mut self, counts: Vec<TokenCounts>) {
        let interval = self.interval;
        self.interval += 1;
        let longest = counts.into_iter().max_by_key(|counts| counts.steps);
        let Some(counts) = longest.filter(|counts| counts.steps > 0) else {
            return;
        };
        let rank = self.parts.settings.rank;
        let busy = counts.busy_ns / u64::from(counts.steps);
        let report = Report {
            version: counts.map.version,
            interval,
            rank: rank.0,
            steps: counts.steps,
            busy_ns: u32::try_from(busy).unwrap_or(u32::MAX),
            layers: counts.layers,
        };
        let counts = Counts {
            life: self.member.rank().state().life,
            run: self.parts.agent.incarnation,
            from: rank,
            report: report.encode(),
        };
        if self.member.is_leader() {
            self.ingest(&counts);
        } else if let Some((_, to)) = self.coordinator {
            self.parts.links.send(to, &Payload::Counts(counts));
        }
    }

    fn ingest(&mut self, counts: &Counts) {
        if !self.member.is_leader() || counts.life != self.member.rank().state().life {
            return;
        }
        if let Err(reason) = self.planner.ingest(counts) {
            log::debug!(rank:% = counts.from, reason; "report_not_counted");
            self.parts.agent.count_group(reason);
        }
    }

    /// Decides on the placement and begins a switch if it pays.
    fn decide(&mut self) {
        self.planner.advance();
        let draining = self.parts.agent.shutdown.is_draining();
        let committed = self.member.rank().state().record.committed.map;
        let known = self.planner.knows(committed);
        if !self.member.is_leader() || !self.ready || !known || draining {
            return;
        }
        if let Some(document) = self.parts.agent.active.document()
            && let Some(group) = find_group(&document, &self.parts.settings)
        {
            self.parts.group = group;
        }
        let interval = self.parts.settings.interval;
        let Some(verdict) = self.planner.decide(&self.parts.group, interval) else {
            return;
        };
        let name = &self.parts.settings.name;
        match verdict.plan {
            Some(plan) => self.begin(&plan, verdict.reason, &verdict.text),
            None => {
                log::info!(group:% = name, reason = verdict.reason, why = verdict.text; "plan_kept");
                self.last = format!("map kept: {}", verdict.text);
            }
        }
    }

    fn begin(&mut self, plan: &Plan, reason: &'static str, text: &str) {
        let now = self.now();
        let mut actions = Vec::new();
        let held = self.parts.holder.as_ref().and_then(|h| h.held(now));
        let begun = match held {
            None => Err("the lease is not held".to_owned()),
            Some(fencing) => {
                let bytes = plan.bytes.clone();
                let begun = self
                    .member
                    .begin(plan.id, bytes, fencing, now, &mut actions);
                begun.map_err(|e| e.to_string()).map(|()| fencing)
            }
        };
        let name = &self.parts.settings.name;
        let change = &plan.change;
        match begun {
            Ok(fencing) => {
                log::info!(
                    group:% = name, map:% = plan.id, fencing:% = fencing, reason, why = text,
                    gain = format!("{:.3}", change.gain), cost = format!("{:.3}", change.cost.total),
                    loads = change.loads.len(), bytes = change.cost.bytes, ranks = change.cost.ranks;
                    "plan_taken"
                );
                self.last = format!("map {} planned: {text}", plan.id);
                self.ready = false;
                self.planner.begin(plan);
            }
            Err(obstacle) => {
                log::warn!(
                    group:% = name, map:% = plan.id, reason, why = text, obstacle = obstacle,
                    gain = format!("{:.3}", change.gain), cost = format!("{:.3}", change.cost.total);
                    "plan_not_taken"
                );
                self.last = format!("map {} not taken: {obstacle}", plan.id);
                self.planner.abandon();
            }
        }
        self.carry_out(actions);
    }

    /// Shows the state to the other tasks.
    fn publish(&mut self) {
        let leading = self.member.is_leader();
        self.ready &= leading;
        self.proposed &= leading;
        let state = self.member.rank().state();
        let role = match self.coordinator {
            _ if leading => "coordinator".to_owned(),
            Some((_, rank)) => format!("rank of coordinator {rank}"),
            None => "rank without coordinator".to_owned(),
        };
        let known = self.fence.highest();
        let fence = known.map_or("unknown".to_owned(), |number| number.to_string());
        let superseded = match self.member.rank().is_superseded() {
            true => " superseded by another run",
            false => "",
        };
        let note = format!(
            "group={} rank={} map={} step={} role=\"{role}\" fence={fence} held={}{superseded} \
             last=\"{}\"",
            self.parts.settings.name,
            self.parts.settings.rank,
            state.record.map_at(state.step),
            state.step,
            state.record.promise.is_some(),
            self.last,
        );
        let settled = state.record.promise.is_none() && !self.proposed;
        self.parts.port.publish(note, settled);
    }
}
