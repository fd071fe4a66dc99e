//! Decisions about claims: writing, finding, asking and taking over a claim row.

use siskinbend_types::Reason;
use siskinbend_types::Time;

use crate::Action;
use crate::Call;
use crate::ClaimRow;
use crate::ClaimState;
use crate::Event;
use crate::LookupResult;
use crate::OnOutage;
use crate::StoredAnswer;
use crate::Target;
use crate::call::Asking;
use crate::call::Claiming;
use crate::call::Phase;
use crate::call::attempt::after;
use crate::ledger::START_LIMIT;

/// Claim writes of one call beyond one for each attempt. It stops two calls that keep losing the
/// response of their writes.
const SPARE_WRITES: u32 = 4;

impl Call {
    /// Claims the key for a new attempt at the target.
    pub(super) fn write_claim(
        &mut self,
        target: Target,
        replaces: Option<u64>,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let Some(key) = &self.spec.key else { return };
        if self.writes >= self.spec.max_attempts.saturating_add(SPARE_WRITES) {
            return self.fail(Reason::StoreUnavailable, out);
        }
        self.writes += 1;
        self.unclaimed = None;
        let other = self.cleared.as_ref().map(|(row, _)| row.attempt);
        self.attempt = after(self.attempt, other.unwrap_or_default());
        let row = ClaimRow {
            organisation: self.spec.organisation.clone(),
            service: self.spec.service.clone(),
            key: key.digest,
            body: key.body_digest,
            id: self.spec.id,
            attempt: self.attempt,
            agent: target.agent.clone(),
            incarnation: target.incarnation,
            window: target.window,
            state: ClaimState::Claimed,
            // The row outlives every start of the attempt that it names.
            retention: key
                .retention
                .max(self.spec.deadline.since(now) + START_LIMIT),
        };
        out.push(Action::WriteClaim {
            row: Box::new(row.clone()),
            replaces,
        });
        self.phase = Phase::Claiming(Box::new(Claiming {
            target,
            row,
            replaces,
        }));
    }

    /// Handles the answers to claim writes and lookups.
    pub(super) fn handle_claim(&mut self, event: Event, now: Time, out: &mut Vec<Action>) {
        match (std::mem::replace(&mut self.phase, Phase::Idle), event) {
            (Phase::Claiming(claiming), Event::ClaimWritten(revision)) => {
                self.hold(*claiming, revision, now, out);
            }
            (Phase::Claiming(claiming), Event::ClaimConflict(row, revision)) => {
                self.judge_row(*claiming, *row, revision, now, out);
            }
            (Phase::Claiming(claiming), Event::ClaimUnavailable) => {
                self.run_unclaimed(*claiming, now, out);
            }
            (Phase::Asking(asking), Event::LookedUp(found)) => self.judge(*asking, found, now, out),
            (Phase::Asking(asking), Event::LookupFailed) => {
                self.judge(*asking, LookupResult::Forgotten, now, out);
            }
            (phase, _) => self.phase = phase,
        }
    }

    /// The claim row is written: dispatches the attempt that it names.
    fn hold(&mut self, claiming: Claiming, revision: u64, now: Time, out: &mut Vec<Action>) {
        self.held = Some((claiming.row, revision));
        self.cleared = None;
        if now >= self.spec.deadline {
            self.fail(Reason::Deadline, out);
        } else {
            self.dispatch(claiming.target, now, out);
        }
    }

    /// The table can't be reached. Running without a claim is allowed only while nothing is
    /// known of the key: a row that was seen names an attempt that a repeat would ask about.
    fn run_unclaimed(&mut self, claiming: Claiming, now: Time, out: &mut Vec<Action>) {
        let run = self
            .spec
            .key
            .as_ref()
            .is_some_and(|key| key.on_outage == OnOutage::Run);
        if now >= self.spec.deadline {
            self.fail(Reason::Deadline, out);
        } else if run && claiming.replaces.is_none() && self.cleared.is_none() {
            self.unclaimed = Some(claiming.row);
            self.dispatch(claiming.target, now, out);
        } else {
            self.fail(Reason::StoreUnavailable, out);
        }
    }

    /// The row is not the one just written.
    fn judge_row(
        &mut self,
        claiming: Claiming,
        row: ClaimRow,
        revision: u64,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        self.check_row(&row);
        if row.body != claiming.row.body {
            return self.fail(Reason::KeyReused, out);
        }
        if row.id == self.spec.id {
            return self.find_own(claiming, row, revision, now, out);
        }
        match &row.state {
            ClaimState::Answered(Some(answer)) => {
                let answer = answer.clone();
                self.replay(answer, out);
            }
            ClaimState::Answered(None) => {
                self.contested = true;
                self.fail(Reason::AnswerNotKept, out);
            }
            ClaimState::NotRun => self.take_over(claiming.target, row, revision, now, out),
            ClaimState::Claimed => self.meet_claim(claiming, row, revision, now, out),
        }
    }

    /// The row is an earlier write of this call whose response was lost.
    fn find_own(
        &mut self,
        claiming: Claiming,
        row: ClaimRow,
        revision: u64,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        assert!(
            row.attempt <= self.attempt && row.state == ClaimState::Claimed,
            "the claim of request {} names attempt {} as {:?} though {} is not yet dispatched",
            self.spec.id,
            row.attempt,
            row.state,
            self.attempt
        );
        if row == claiming.row {
            return self.hold(claiming, revision, now, out);
        }
        // Every earlier attempt of this call is proved not to run, or this one were not claimed.
        self.held = Some((row, revision));
        self.write_claim(claiming.target, Some(revision), now, out);
    }

    /// Another request holds the claim. A call asks about one holder only. If it did so for
    /// each, or after it lost its own claim, two calls could cancel each other in turn.
    fn meet_claim(
        &mut self,
        claiming: Claiming,
        row: ClaimRow,
        revision: u64,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        let target = claiming.target;
        match &self.cleared {
            Some((known, _)) if *known == row => {
                self.take_over(target, row, revision, now, out);
            }
            None if self.held.is_none() => {
                self.contested = true;
                out.push(Action::Lookup(Box::new(row.clone())));
                self.phase = Phase::Asking(Box::new(Asking {
                    target,
                    row,
                    revision,
                }));
            }
            _ => {
                self.contested = true;
                self.fail(Reason::InProgress, out);
            }
        }
    }

    /// Asks the agent for the answer of this call's own finished attempt.
    pub(super) fn ask_own(&mut self, out: &mut Vec<Action>) {
        let Phase::Cancelling(cancelling) = &self.phase else {
            return;
        };
        let target = cancelling.target.clone();
        let Some((row, revision)) = self.held.clone() else {
            return;
        };
        self.tainted = true;
        // The deadline may have passed; the lookup gets as long as the cancel got.
        out.push(Action::SetTimer(cancelling.until.max(self.spec.deadline)));
        out.push(Action::Lookup(Box::new(row.clone())));
        self.phase = Phase::Asking(Box::new(Asking {
            target,
            row,
            revision,
        }));
    }

    /// The agent named in the row has answered, or can't be asked (`Forgotten`).
    fn judge(&mut self, asking: Asking, found: LookupResult, now: Time, out: &mut Vec<Action>) {
        let own = asking.row.id == self.spec.id;
        match found {
            LookupResult::Finished(answer) => {
                self.held = Some((asking.row, asking.revision));
                self.record_answer(Some(answer.clone()), out);
                self.replay(answer, out);
            }
            LookupResult::Running => self.fail(Reason::InProgress, out),
            LookupResult::NeverStarts if !own => {
                self.contested = false;
                self.take_over(asking.target, asking.row, asking.revision, now, out);
            }
            LookupResult::NeverStarts
            | LookupResult::FinishedWithoutAnswer
            | LookupResult::OtherIncarnation
            | LookupResult::Forgotten => self.fail(Reason::OutcomeLost, out),
        }
    }

    /// Replaces the claim of an attempt that is proved never to run.
    fn take_over(
        &mut self,
        target: Target,
        row: ClaimRow,
        revision: u64,
        now: Time,
        out: &mut Vec<Action>,
    ) {
        assert!(
            row.id != self.spec.id && !matches!(row.state, ClaimState::Answered(_)),
            "request {} takes over the claim of request {}",
            self.spec.id,
            row.id
        );
        self.held = None;
        self.cleared = Some((row, revision));
        self.write_claim(target, Some(revision), now, out);
    }

    /// Writes the answer to the claim row; without `answer` the shell puts in what it passed.
    pub(super) fn record_answer(&mut self, answer: Option<StoredAnswer>, out: &mut Vec<Action>) {
        let held = self
            .held
            .take()
            .map(|(row, revision)| (row, Some(revision)));
        let unclaimed = self.unclaimed.take().map(|row| (row, None));
        if let Some((mut row, replaces)) = held.or(unclaimed) {
            row.state = ClaimState::Answered(answer);
            let row = Box::new(row);
            out.push(Action::RecordAnswer { row, replaces });
        }
    }

    fn replay(&mut self, answer: StoredAnswer, out: &mut Vec<Action>) {
        self.phase = Phase::Done;
        out.push(Action::Replay(answer));
    }

    /// An answer belongs to one organisation and key; a row of another must never get here.
    fn check_row(&self, row: &ClaimRow) {
        let key = self.spec.key.as_ref().map(|key| key.digest);
        assert!(
            row.organisation == self.spec.organisation
                && row.service == self.spec.service
                && Some(row.key) == key,
            "request {} of {} was given the claim {}",
            self.spec.id,
            self.spec.organisation,
            row.path()
        );
    }
}
