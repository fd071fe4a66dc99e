//! Placement at the coordinator: adds up reports and decides on changes of the expert map.

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

use super::links::Counts;

/// Explanations that the status shows.
const SHOWN: usize = 3;

/// A map with its encoded content.
#[derive(Debug, Clone)]
pub(super) struct Plan {
    pub(super) id: MapRef,
    pub(super) bytes: Vec<u8>,
    pub(super) change: MapChange,
}

/// A decision with its reasons.
pub(super) struct Verdict {
    pub(super) plan: Option<Plan>,
    /// Name of the first explanation.
    pub(super) reason: &'static str,
    /// The first explanations as sentences.
    pub(super) text: String,
}

/// The map in force and what was reported under it and earlier ones.
struct InForce {
    id: MapRef,
    map: ExpertMap,
    counts: DemandEstimator,
}

/// Difference between a rank's interval numbers and those of the coordinator.
#[derive(Debug, Clone, Copy)]
struct Offset {
    run: Incarnation,
    shift: i64,
}

/// Decides on the placement of a group while this agent leads it.
pub(super) struct Planner {
    shape: Shape,
    kind: PolicyKind,
    price: Price,
    policy: Box<dyn Policy>,
    inforce: Option<InForce>,
    /// The plan whose switch is under way.
    pending: Option<(MapRef, ExpertMap)>,
    offsets: BTreeMap<RankIndex, Offset>,
    /// Interval of the coordinator.
    interval: u32,
}

fn read_price(group: &Group) -> Price {
    Price {
        skew_weight: group.price.skew_weight,
        byte_cost: group.price.byte_cost,
        horizon_steps: group.price.horizon_steps,
    }
}

/// The size of a group, if it is within the range of the placement.
pub(super) fn read_shape(group: &Group) -> Option<Shape> {
    Some(Shape {
        ranks: group.ranks.try_into().ok()?,
        experts: group.experts.try_into().ok()?,
        layers: group.layers.try_into().ok()?,
        slots: group.slots.try_into().ok()?,
    })
}

/// Reads a map that an engine or a coordinator sent.
pub(super) fn decode_map(id: MapRef, bytes: &[u8], shape: Shape) -> Result<ExpertMap, String> {
    if id.digest != Digest(Sha256::digest(bytes).into()) {
        return Err("the digest differs".to_owned());
    }
    let map: ExpertMap = postcard::from_bytes(bytes).map_err(|e| e.to_string())?;
    map.validate(shape).map_err(|e| e.to_string())?;
    Ok(map)
}

impl Planner {
    pub(super) fn new(shape: Shape, kind: PolicyKind, group: &Group) -> Self {
        let price = read_price(group);
        Self {
            shape,
            kind,
            price,
            policy: kind.build(price),
            inforce: None,
            pending: None,
            offsets: BTreeMap::new(),
            interval: 0,
        }
    }

    /// Forgets everything, because another agent leads.
    pub(super) fn reset(&mut self) {
        if self.inforce.take().is_some() {
            self.policy = self.kind.build(self.price);
            self.offsets.clear();
        }
        self.pending = None;
    }

    /// Tells whether the content of the map in force is known.
    pub(super) fn knows(&self, id: MapRef) -> bool {
        self.inforce
            .as_ref()
            .is_some_and(|inforce| inforce.id == id)
    }

    /// Puts the map of a committed switch in force if it was planned here.
    pub(super) fn commit(&mut self, id: MapRef) {
        if let Some((planned, map)) = self.pending.take()
            && planned == id
        {
            self.install(id, map);
        }
    }

    /// Gives up a plan that was not taken or whose switch was aborted. The policy has noted the plan
    /// as done and would wait for the demand to change again, so it starts anew.
    pub(super) fn abandon(&mut self) {
        self.pending = None;
        self.policy = self.kind.build(self.price);
    }

    /// Puts a map in force.
    pub(super) fn install(&mut self, id: MapRef, map: ExpertMap) {
        let counts = match self.inforce.take() {
            Some(mut old) => {
                old.counts.add_map(map.clone());
                old.counts
            }
            None => DemandEstimator::new(self.shape, map.clone()),
        };
        self.inforce = Some(InForce { id, map, counts });
    }

    /// Adds a report, or tells why it is not counted.
    pub(super) fn ingest(&mut self, counts: &Counts) -> Result<(), &'static str> {
        let Some(inforce) = &mut self.inforce else {
            return Err("map_unknown");
        };
        let report = Report::decode(&counts.report, self.shape);
        let mut report = report.map_err(|_| "malformed")?;
        if report.rank != counts.from.0 {
            return Err("wrong_rank");
        }
        // Each run of an agent numbers its intervals from 0; two clocks differ by less than one
        // interval in a day, and the offset follows.
        let own = i64::from(report.interval);
        let shift = i64::from(self.interval) - own;
        let offset = self.offsets.entry(counts.from).or_insert(Offset {
            run: counts.run,
            shift,
        });
        if offset.run != counts.run || offset.shift.abs_diff(shift) > 1 {
            *offset = Offset {
                run: counts.run,
                shift,
            };
        }
        report.interval = u32::try_from(own + offset.shift).unwrap_or(0);
        let counted = inforce.counts.ingest(&report);
        counted.map_err(|refusal| refusal.as_str())
    }

    /// Begins the next interval.
    pub(super) fn advance(&mut self) {
        self.interval += 1;
    }

    /// Decides on the placement; `None` before the map in force is known.
    pub(super) fn decide(&mut self, group: &Group, interval: Duration) -> Option<Verdict> {
        let price = read_price(group);
        if price != self.price {
            self.price = price;
            self.policy = self.kind.build(price);
        }
        let inforce = self.inforce.as_ref()?;
        let demand = inforce.counts.estimate();
        let budget = group.load_rate.0 as f64 * interval.as_secs_f64();
        let decision = self.policy.decide(&PolicyInput {
            shape: self.shape,
            map: &inforce.map,
            demand: &demand,
            expert_size: group.expert_size,
            budget: ByteSize(budget as u64),
        });
        Some(judge(decision))
    }

    /// Notes that a switch to a plan has begun.
    pub(super) fn begin(&mut self, plan: &Plan) {
        self.pending = Some((plan.id, plan.change.map.clone()));
    }
}

fn judge(decision: Decision) -> Verdict {
    let Decision {
        change,
        explanations,
    } = decision;
    let reason = explanations.first().map_or("none", |e| e.as_str());
    let shown: Vec<String> = explanations
        .iter()
        .take(SHOWN)
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
    Verdict {
        plan,
        reason,
        text: shown.join("; "),
    }
}
