//! What a coordinator keeps while it leads.

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

/// A map on its way into force.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) map: MapRef,
    pub(crate) plan: Vec<u8>,
    pub(crate) fencing: FencingNumber,
    /// Proposals that remain if the step turns out too near.
    pub(crate) proposals: u32,
}

#[derive(Debug)]
pub(crate) enum Phase {
    Idle,
    Preparing(Job),
    Proposing(Job, Switch),
    /// Every rank is to record the last decision; then the job, if any, is tried again.
    Deciding(Option<Job>),
}

/// Ranks whose answer is awaited.
#[derive(Debug)]
pub(crate) struct Poll {
    pub(crate) waiting: Vec<bool>,
    pub(crate) left: usize,
    pub(crate) since: Time,
    pub(crate) backoff: Backoff,
    pub(crate) repeats: u32,
}

impl Poll {
    pub(crate) fn start(options: &Options, estimate: &TimingEstimate, now: Time) -> Self {
        let interval = (estimate.max_round_trip() * 2).max(options.min_backoff);
        let interval = interval.min(options.max_backoff);
        Self::with_backoff(
            options,
            Backoff::start(interval, options.max_backoff, now),
            now,
        )
    }

    /// Repeats rarely: loads take seconds and the message carries the plan.
    pub(crate) fn start_slow(options: &Options, now: Time) -> Self {
        let backoff = Backoff::start(options.max_backoff, options.load_timeout, now);
        Self::with_backoff(options, backoff, now)
    }

    fn with_backoff(options: &Options, backoff: Backoff, now: Time) -> Self {
        Self {
            waiting: vec![true; usize::from(options.ranks)],
            left: usize::from(options.ranks),
            since: now,
            backoff,
            repeats: 0,
        }
    }

    /// Notes an answer and returns true if it was the last one awaited.
    pub(crate) fn note(&mut self, from: RankIndex) -> bool {
        let fresh = std::mem::replace(&mut self.waiting[from.as_usize()], false);
        self.left -= usize::from(fresh);
        fresh && self.left == 0
    }

    pub(crate) fn ranks(&self) -> impl Iterator<Item = RankIndex> {
        let waiting = (0u16..).zip(&self.waiting);
        waiting.filter(|(_, w)| **w).map(|(r, _)| RankIndex(r))
    }
}

#[derive(Debug)]
pub(crate) struct Leader {
    /// The newest round.
    pub(crate) id: RoundId,
    /// The last decided round.
    pub(crate) upto: RoundId,
    pub(crate) committed: Switch,
    /// The commit has been recorded by every rank and reported.
    pub(crate) reported: bool,
    pub(crate) keep: bool,
    pub(crate) phase: Phase,
    pub(crate) poll: Poll,
    pub(crate) deadline: Time,
    pub(crate) beacon_due: Time,
}

impl Leader {
    /// What the ranks are asked in this phase.
    pub(crate) fn request(&self) -> Body {
        match &self.phase {
            Phase::Preparing(job) => Body::Prepare {
                id: self.id,
                map: job.map,
                fencing: job.fencing,
                plan: job.plan.clone(),
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
            keep_weights: self.keep,
        })
    }

    /// The map whose switch is not settled.
    pub(crate) fn unsettled(&self) -> Option<MapRef> {
        match &self.phase {
            Phase::Preparing(job) | Phase::Proposing(job, _) | Phase::Deciding(Some(job)) => {
                Some(job.map)
            }
            Phase::Deciding(None) if !self.reported => Some(self.committed.map),
            Phase::Deciding(None) | Phase::Idle => None,
        }
    }
}
