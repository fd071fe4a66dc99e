//! Claims of a call: writing, looking up and taking over claim rows.

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
use crate::call::Claiming;
use crate::call::LookingUp;
use crate::call::Phase;
use crate::call::attempt::next_attempt;
use crate::ledger::MAX_START_DELAY;

/// Claim writes of one call beyond one for each attempt. The limit ends a conflict of two calls
/// that both keep losing the responses to their writes.
const MAX_EXTRA_CLAIM_WRITES: u32 = 4;

impl Call {
    /// Claims the key for a new attempt at the target.
    pub(super) fn write_claim(
        &mut self,
        target: Target,
        replaces: Option<u64>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let Some(key) = &self.spec.key else { return };
        if self.claim_writes
            >= self
                .spec
                .max_attempts
                .saturating_add(MAX_EXTRA_CLAIM_WRITES)
        {
            return self.fail(Reason::StoreUnavailable, actions);
        }
        self.claim_writes += 1;
        self.unwritten_claim = None;
        let other = self.void_claim.as_ref().map(|(row, _)| row.attempt);
        self.attempt = next_attempt(self.attempt, other.unwrap_or_default());
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
            // The row must be kept until the attempt that it names can no longer start.
            retention: key
                .retention
                .max(self.spec.deadline.since(now) + MAX_START_DELAY),
        };
        actions.push(Action::WriteClaim {
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
    pub(super) fn handle_claim(&mut self, event: Event, now: Time, actions: &mut Vec<Action>) {
        match (std::mem::replace(&mut self.phase, Phase::Idle), event) {
            (Phase::Claiming(claiming), Event::ClaimWritten(revision)) => {
                self.handle_claim_written(*claiming, revision, now, actions);
            }
            (Phase::Claiming(claiming), Event::ClaimConflict(row, revision)) => {
                self.handle_claim_conflict(*claiming, *row, revision, now, actions);
            }
            (Phase::Claiming(claiming), Event::ClaimUnavailable) => {
                self.handle_claim_unavailable(*claiming, now, actions);
            }
            (Phase::LookingUp(lookup), Event::LookedUp(found)) => {
                self.handle_lookup(*lookup, found, now, actions);
            }
            (Phase::LookingUp(lookup), Event::LookupFailed) => {
                self.handle_lookup(*lookup, LookupResult::Forgotten, now, actions);
            }
            (phase, _) => self.phase = phase,
        }
    }

    /// Dispatches the attempt that the written claim row names.
    fn handle_claim_written(
        &mut self,
        claiming: Claiming,
        revision: u64,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        self.own_claim = Some((claiming.row, revision));
        self.void_claim = None;
        if now >= self.spec.deadline {
            self.fail(Reason::Deadline, actions);
        } else {
            self.dispatch(claiming.target, now, actions);
        }
    }

    /// Handles an unreachable table. The call may run without a claim only if it has seen no claim
    /// row for the key, because a repeat would look up the attempt that such a row names.
    fn handle_claim_unavailable(
        &mut self,
        claiming: Claiming,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let run = self
            .spec
            .key
            .as_ref()
            .is_some_and(|key| key.on_outage == OnOutage::Run);
        if now >= self.spec.deadline {
            self.fail(Reason::Deadline, actions);
        } else if run && claiming.replaces.is_none() && self.void_claim.is_none() {
            self.unwritten_claim = Some(claiming.row);
            self.dispatch(claiming.target, now, actions);
        } else {
            self.fail(Reason::StoreUnavailable, actions);
        }
    }

    /// Handles a claim row other than the one that was to be written.
    fn handle_claim_conflict(
        &mut self,
        claiming: Claiming,
        row: ClaimRow,
        revision: u64,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        self.assert_row_matches(&row);
        if row.body != claiming.row.body {
            return self.fail(Reason::KeyReused, actions);
        }
        if row.id == self.spec.id {
            return self.handle_own_row(claiming, row, revision, now, actions);
        }
        match &row.state {
            ClaimState::Answered(Some(answer)) => {
                let answer = answer.clone();
                self.replay(answer, actions);
            }
            ClaimState::Answered(None) => {
                self.contended = true;
                self.fail(Reason::AnswerNotKept, actions);
            }
            ClaimState::NotRun => self.take_over(claiming.target, row, revision, now, actions),
            ClaimState::Claimed => self.handle_foreign_claim(claiming, row, revision, now, actions),
        }
    }

    /// Handles an earlier write of this call whose response was lost.
    fn handle_own_row(
        &mut self,
        claiming: Claiming,
        row: ClaimRow,
        revision: u64,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        assert!(
            row.attempt <= self.attempt && row.state == ClaimState::Claimed,
            "the claim of request {} names attempt {} as {:?} but attempt {} is not yet dispatched",
            self.spec.id,
            row.attempt,
            row.state,
            self.attempt
        );
        if row == claiming.row {
            return self.handle_claim_written(claiming, revision, now, actions);
        }
        // A new attempt is claimed only after every earlier one is proved not to run.
        self.own_claim = Some((row, revision));
        self.write_claim(claiming.target, Some(revision), now, actions);
    }

    /// Handles a claim of another request. A call looks up only one such attempt, because a lookup
    /// prevents an attempt that has not started from starting. With more lookups, or a lookup after
    /// the loss of its own claim, two calls could cancel each other in turn.
    fn handle_foreign_claim(
        &mut self,
        claiming: Claiming,
        row: ClaimRow,
        revision: u64,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let target = claiming.target;
        match &self.void_claim {
            Some((looked_up, _)) if *looked_up == row => {
                self.take_over(target, row, revision, now, actions);
            }
            None if self.own_claim.is_none() => {
                self.contended = true;
                actions.push(Action::Lookup(Box::new(row.clone())));
                self.phase = Phase::LookingUp(Box::new(LookingUp {
                    target,
                    row,
                    revision,
                }));
            }
            _ => {
                self.contended = true;
                self.fail(Reason::InProgress, actions);
            }
        }
    }

    /// Asks the agent for the answer of this call's finished attempt.
    pub(super) fn look_up_own_attempt(&mut self, actions: &mut Vec<Action>) {
        let Phase::Cancelling(cancelling) = &self.phase else {
            return;
        };
        let target = cancelling.target.clone();
        let Some((row, revision)) = self.own_claim.clone() else {
            return;
        };
        self.may_have_run = true;
        // The deadline may have passed; the lookup has until the timeout of the cancel.
        actions.push(Action::SetTimer(cancelling.until.max(self.spec.deadline)));
        actions.push(Action::Lookup(Box::new(row.clone())));
        self.phase = Phase::LookingUp(Box::new(LookingUp {
            target,
            row,
            revision,
        }));
    }

    /// Handles the result of a lookup; `Forgotten` also if the agent could not be reached.
    fn handle_lookup(
        &mut self,
        lookup: LookingUp,
        found: LookupResult,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let own = lookup.row.id == self.spec.id;
        match found {
            LookupResult::Finished(answer) => {
                self.own_claim = Some((lookup.row, lookup.revision));
                self.record_answer(Some(answer.clone()), actions);
                self.replay(answer, actions);
            }
            LookupResult::Running => self.fail(Reason::InProgress, actions),
            LookupResult::NeverStarts if !own => {
                self.contended = false;
                self.take_over(lookup.target, lookup.row, lookup.revision, now, actions);
            }
            LookupResult::NeverStarts
            | LookupResult::FinishedWithoutAnswer
            | LookupResult::OtherIncarnation
            | LookupResult::Forgotten => self.fail(Reason::OutcomeLost, actions),
        }
    }

    /// Replaces the claim row of an attempt that is proved never to run.
    fn take_over(
        &mut self,
        target: Target,
        row: ClaimRow,
        revision: u64,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        assert!(
            row.id != self.spec.id && !matches!(row.state, ClaimState::Answered(_)),
            "request {} takes over the claim of request {}",
            self.spec.id,
            row.id
        );
        self.own_claim = None;
        self.void_claim = Some((row, revision));
        self.write_claim(target, Some(revision), now, actions);
    }

    /// Writes the answer to the claim row; without `answer` the shell adds the one it forwarded.
    pub(super) fn record_answer(
        &mut self,
        answer: Option<StoredAnswer>,
        actions: &mut Vec<Action>,
    ) {
        let own_claim = self
            .own_claim
            .take()
            .map(|(row, revision)| (row, Some(revision)));
        let unwritten_claim = self.unwritten_claim.take().map(|row| (row, None));
        if let Some((mut row, replaces)) = own_claim.or(unwritten_claim) {
            row.state = ClaimState::Answered(answer);
            let row = Box::new(row);
            actions.push(Action::RecordAnswer { row, replaces });
        }
    }

    fn replay(&mut self, answer: StoredAnswer, actions: &mut Vec<Action>) {
        self.phase = Phase::Done;
        actions.push(Action::Replay(answer));
    }

    /// Panics if the row belongs to another organisation, service or key: its answer must never
    /// reach this caller.
    fn assert_row_matches(&self, row: &ClaimRow) {
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
