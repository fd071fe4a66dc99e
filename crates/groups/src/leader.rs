//! State of a coordinator while it leads the group.

use siskinbend_types::FencingNumber;
use siskinbend_types::Time;

use crate::message::Body;
use crate::message::Decision;
use crate::message::MapRef;
use crate::message::RankIndex;
use crate::message::RoundId;
use crate::message::Switch;
use crate::options::Options;
use crate::timing::Backoff;
use crate::timing::TimingEstimate;

/// A switch to a map that is in progress.
#[derive(Debug, Clone)]
pub(crate) struct PendingSwitch {
    pub(crate) map: MapRef,
    pub(crate) plan: Vec<u8>,
    pub(crate) fencing: FencingNumber,
    /// Remaining new proposals in case a rank has already started the step.
    pub(crate) proposal_retries: u32,
}

#[derive(Debug)]
pub(crate) enum Phase {
    Idle,
    Preparing(PendingSwitch),
    Proposing(PendingSwitch, Switch),
    /// Waiting until every rank has recorded the last decision; then the switch, if any, is
    /// proposed again.
    Deciding(Option<PendingSwitch>),
}

/// The ranks whose answers are outstanding.
#[derive(Debug)]
pub(crate) struct AnswerTracker {
    pub(crate) outstanding: Vec<bool>,
    pub(crate) remaining: usize,
    pub(crate) since: Time,
    pub(crate) backoff: Backoff,
    pub(crate) retries: u32,
}

impl AnswerTracker {
    pub(crate) fn start(options: &Options, estimate: &TimingEstimate, now: Time) -> Self {
        let interval = (estimate.max_round_trip() * 2).max(options.min_backoff);
        let interval = interval.min(options.max_backoff);
        Self::with_backoff(
            options,
            Backoff::start(interval, options.max_backoff, now),
            now,
        )
    }

    /// Starts with a long interval, because loads take seconds and the message carries the plan.
    pub(crate) fn start_slow_retry(options: &Options, now: Time) -> Self {
        let backoff = Backoff::start(options.max_backoff, options.load_timeout, now);
        Self::with_backoff(options, backoff, now)
    }

    fn with_backoff(options: &Options, backoff: Backoff, now: Time) -> Self {
        Self {
            outstanding: vec![true; usize::from(options.ranks)],
            remaining: usize::from(options.ranks),
            since: now,
            backoff,
            retries: 0,
        }
    }

    /// Records an answer and returns true if it was the last outstanding one.
    pub(crate) fn record_answer(&mut self, from: RankIndex) -> bool {
        let first = std::mem::replace(&mut self.outstanding[from.as_usize()], false);
        self.remaining -= usize::from(first);
        first && self.remaining == 0
    }

    pub(crate) fn outstanding_ranks(&self) -> impl Iterator<Item = RankIndex> {
        let outstanding = (0u16..).zip(&self.outstanding);
        outstanding.filter(|(_, w)| **w).map(|(r, _)| RankIndex(r))
    }
}

#[derive(Debug)]
pub(crate) struct Leader {
    /// The newest round.
    pub(crate) id: RoundId,
    /// The last decided round.
    pub(crate) upto: RoundId,
    pub(crate) committed: Switch,
    /// Whether every rank has recorded the commit, and the commit was reported.
    pub(crate) reported: bool,
    pub(crate) keep_weights: bool,
    pub(crate) phase: Phase,
    pub(crate) tracker: AnswerTracker,
    pub(crate) deadline: Time,
    pub(crate) heartbeat_due: Time,
}

impl Leader {
    /// The request that the ranks must answer in this phase.
    pub(crate) fn request(&self) -> Body {
        match &self.phase {
            Phase::Preparing(pending) => Body::Prepare {
                id: self.id,
                map: pending.map,
                fencing: pending.fencing,
                plan: pending.plan.clone(),
            },
            Phase::Proposing(_, switch) => Body::Propose { switch: *switch },
            Phase::Idle | Phase::Deciding(_) => self.decision(),
        }
    }

    pub(crate) fn decision(&self) -> Body {
        Body::Decide(Decision {
            ballot: self.id.ballot,
            upto: self.upto,
            committed: self.committed,
            keep_weights: self.keep_weights,
        })
    }

    /// The map of the unfinished switch, if any.
    pub(crate) fn unfinished_map(&self) -> Option<MapRef> {
        match &self.phase {
            Phase::Preparing(pending)
            | Phase::Proposing(pending, _)
            | Phase::Deciding(Some(pending)) => Some(pending.map),
            Phase::Deciding(None) if !self.reported => Some(self.committed.map),
            Phase::Deciding(None) | Phase::Idle => None,
        }
    }
}
