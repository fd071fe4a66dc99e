//! Placement at the coordinator: aggregates count reports and decides on changes of the expert map.

use std::collections::BTreeMap;
use std::time::Duration;

use sha2::Digest as _;
use sha2::Sha256;

use siskinbend_document::Group;
use siskinbend_groups::MapRef;
use siskinbend_groups::RankIndex;
use siskinbend_placement::Decision;
use siskinbend_placement::DemandEstimator;
use siskinbend_placement::ExpertMap;
use siskinbend_placement::MapChange;
use siskinbend_placement::Policy;
use siskinbend_placement::PolicyInput;
use siskinbend_placement::PolicyKind;
use siskinbend_placement::Price;
use siskinbend_placement::Report;
use siskinbend_placement::Shape;
use siskinbend_types::ByteSize;
use siskinbend_types::Digest;
use siskinbend_types::Incarnation;

use super::connections::CountReport;

/// Maximum number of explanations in the status.
const MAX_EXPLANATIONS: usize = 3;

/// A planned change of the map, with the encoded new map.
#[derive(Debug, Clone)]
pub(super) struct Plan {
    pub(super) id: MapRef,
    pub(super) bytes: Vec<u8>,
    pub(super) change: MapChange,
}

/// A decision of the policy with its reasons.
pub(super) struct PlanDecision {
    pub(super) plan: Option<Plan>,
    /// Name of the first explanation.
    pub(super) reason: &'static str,
    /// The first explanations as sentences.
    pub(super) text: String,
}

/// The committed map, with the counts reported under it and under earlier maps.
struct ActiveMap {
    id: MapRef,
    map: ExpertMap,
    estimator: DemandEstimator,
}

/// Offset between a rank's interval numbers and those of the coordinator.
#[derive(Debug, Clone, Copy)]
struct Offset {
    incarnation: Incarnation,
    shift: i64,
}

/// Decides on the placement of a group while this agent is its coordinator.
pub(super) struct Planner {
    shape: Shape,
    policy_kind: PolicyKind,
    price: Price,
    policy: Box<dyn Policy>,
    active: Option<ActiveMap>,
    /// The plan whose switch is in progress.
    pending: Option<(MapRef, ExpertMap)>,
    offsets: BTreeMap<RankIndex, Offset>,
    /// Number of the current interval at the coordinator.
    interval: u32,
}

fn build_price(group: &Group) -> Price {
    Price {
        skew_weight: group.price.skew_weight,
        byte_cost: group.price.byte_cost,
        horizon_steps: group.price.horizon_steps,
    }
}

/// Returns the shape of a group, if its numbers fit the types of the placement.
pub(super) fn build_shape(group: &Group) -> Option<Shape> {
    Some(Shape {
        ranks: group.ranks.try_into().ok()?,
        experts: group.experts.try_into().ok()?,
        layers: group.layers.try_into().ok()?,
        slots: group.slots.try_into().ok()?,
    })
}

/// Decodes a map read from the engine, and checks it against its digest and the shape.
pub(super) fn decode_map(id: MapRef, bytes: &[u8], shape: Shape) -> Result<ExpertMap, String> {
    if id.digest != Digest(Sha256::digest(bytes).into()) {
        return Err("the content does not match the digest".to_owned());
    }
    let map: ExpertMap = postcard::from_bytes(bytes).map_err(|e| e.to_string())?;
    map.validate(shape).map_err(|e| e.to_string())?;
    Ok(map)
}

impl Planner {
    pub(super) fn new(shape: Shape, policy_kind: PolicyKind, group: &Group) -> Self {
        let price = build_price(group);
        Self {
            shape,
            policy_kind,
            price,
            policy: policy_kind.build(price),
            active: None,
            pending: None,
            offsets: BTreeMap::new(),
            interval: 0,
        }
    }

    /// Clears all state; called when another agent is the coordinator.
    pub(super) fn reset(&mut self) {
        if self.active.take().is_some() {
            self.policy = self.policy_kind.build(self.price);
            self.offsets.clear();
        }
        self.pending = None;
    }

    /// Returns whether the content of the committed map `id` is known.
    pub(super) fn has_map(&self, id: MapRef) -> bool {
        self.active.as_ref().is_some_and(|active| active.id == id)
    }

    /// Installs the map of a committed switch if it is the pending plan.
    pub(super) fn commit(&mut self, id: MapRef) {
        if let Some((planned, map)) = self.pending.take()
            && planned == id
        {
            self.install(id, map);
        }
    }

    /// Drops a plan whose switch did not begin or was aborted. The policy has recorded the plan as
    /// done and would wait for the demand to change again, so it is rebuilt.
    pub(super) fn abandon(&mut self) {
        self.pending = None;
        self.policy = self.policy_kind.build(self.price);
    }

    /// Installs a map as the committed one.
    pub(super) fn install(&mut self, id: MapRef, map: ExpertMap) {
        let estimator = match self.active.take() {
            Some(mut old) => {
                old.estimator.add_map(map.clone());
                old.estimator
            }
            None => DemandEstimator::new(self.shape, map.clone()),
        };
        self.active = Some(ActiveMap { id, map, estimator });
    }

    /// Adds a report to the counts.
    ///
    /// # Errors
    ///
    /// Returns the reason for which the report is not counted.
    pub(super) fn record_report(&mut self, counts: &CountReport) -> Result<(), &'static str> {
        let Some(active) = &mut self.active else {
            return Err("map_unknown");
        };
        let report = Report::decode(&counts.report, self.shape);
        let mut report = report.map_err(|_| "malformed")?;
        if report.rank != counts.rank.0 {
            return Err("wrong_rank");
        }
        // Each incarnation of an agent numbers its intervals from 0, so an offset maps them to the
        // intervals of the coordinator. Two clocks drift apart by less than one interval in a day;
        // a larger difference resets the offset.
        let reported = i64::from(report.interval);
        let shift = i64::from(self.interval) - reported;
        let offset = self.offsets.entry(counts.rank).or_insert(Offset {
            incarnation: counts.incarnation,
            shift,
        });
        if offset.incarnation != counts.incarnation || offset.shift.abs_diff(shift) > 1 {
            *offset = Offset {
                incarnation: counts.incarnation,
                shift,
            };
        }
        report.interval = u32::try_from(reported + offset.shift).unwrap_or(0);
        let counted = active.estimator.ingest(&report);
        counted.map_err(|refusal| refusal.as_str())
    }

    /// Starts the next interval.
    pub(super) fn advance(&mut self) {
        self.interval += 1;
    }

    /// Decides on the placement. Returns `None` until the committed map is known.
    pub(super) fn decide(&mut self, group: &Group, interval: Duration) -> Option<PlanDecision> {
        let price = build_price(group);
        if price != self.price {
            self.price = price;
            self.policy = self.policy_kind.build(price);
        }
        let active = self.active.as_ref()?;
        let demand = active.estimator.estimate();
        let budget = group.load_rate.0 as f64 * interval.as_secs_f64();
        let decision = self.policy.decide(&PolicyInput {
            shape: self.shape,
            map: &active.map,
            demand: &demand,
            expert_size: group.expert_size,
            budget: ByteSize(budget as u64),
        });
        Some(build_decision(decision))
    }

    /// Records that a switch to a plan has begun.
    pub(super) fn set_pending(&mut self, plan: &Plan) {
        self.pending = Some((plan.id, plan.change.map.clone()));
    }
}

fn build_decision(decision: Decision) -> PlanDecision {
    let Decision {
        change,
        explanations,
    } = decision;
    let reason = explanations.first().map_or("none", |e| e.as_str());
    let shown: Vec<String> = explanations
        .iter()
        .take(MAX_EXPLANATIONS)
        .map(ToString::to_string)
        .collect();
    let plan = change.and_then(|change| {
        let bytes = postcard::to_allocvec(&change.map).ok()?;
        let id = MapRef {
            version: change.map.version,
            digest: Digest(Sha256::digest(&bytes).into()),
        };
        Some(Plan { id, bytes, change })
    });
    PlanDecision {
        plan,
        reason,
        text: shown.join("; "),
    }
}
