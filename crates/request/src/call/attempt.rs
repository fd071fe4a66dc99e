//! Attempts of a call: dispatch, frames of the answer, timeouts, cancels and retries.

use siskinbend_types::Attempt;
use siskinbend_types::Reason;
use siskinbend_types::Time;

use crate::Action;
use crate::Call;
use crate::CancelState;
use crate::Event;
use crate::OnOutage;
use crate::RetryBudget;
use crate::Target;
use crate::call::CANCEL_TIMEOUT;
use crate::call::Cancelling;
use crate::call::InFlight;
use crate::call::Phase;
use crate::call::RESUME_TIMEOUT;

impl Call {
    /// Dispatches the attempt `self.attempt`.
    pub(super) fn dispatch(&mut self, target: Target, now: Time, actions: &mut Vec<Action>) {
        self.assert_may_dispatch(&target);
        self.dispatches += 1;
        actions.push(Action::SetTimer(
            (now + self.spec.stall_timeout).min(self.spec.deadline),
        ));
        actions.push(Action::Dispatch {
            attempt: self.attempt,
            target: target.clone(),
        });
        self.phase = Phase::InFlight(InFlight {
            target,
            last_event: now,
            accepted: false,
            head_forwarded: false,
            chunks: 0,
            resume_deadline: None,
        });
    }

    fn assert_may_dispatch(&self, target: &Target) {
        let (id, attempt) = (self.spec.id, self.attempt);
        assert!(
            self.spec.idempotent || !self.may_have_run,
            "attempt {attempt} of request {id} follows one that may have run"
        );
        assert!(
            !matches!(self.phase, Phase::InFlight(_) | Phase::Cancelling(_)),
            "attempt {attempt} of request {id} would start while another one is open"
        );
        let Some(key) = &self.spec.key else { return };
        let claimed = self.own_claim.as_ref().is_some_and(|(row, _)| {
            row.id == id
                && row.attempt == attempt
                && row.agent == target.agent
                && row.incarnation == target.incarnation
                && row.window == target.window
        });
        let may_run_unclaimed = self.own_claim.is_none() && key.on_outage == OnOutage::Run;
        assert!(
            claimed || may_run_unclaimed,
            "attempt {attempt} of request {id} at {} has no claim",
            target.agent
        );
    }

    /// Handles a frame from the agent or the loss of the connection.
    pub(super) fn handle_frame(
        &mut self,
        frame: Event,
        now: Time,
        budget: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        let (Event::NotSent(attempt)
        | Event::Accepted(attempt)
        | Event::Refused(attempt, _)
        | Event::Head(attempt)
        | Event::Chunk(attempt, _)
        | Event::End(attempt, _)
        | Event::Aborted(attempt, _)
        | Event::LinkLost(attempt)
        | Event::Resumed(attempt)
        | Event::NotResumed(attempt)
        | Event::Cancelled(attempt, _)) = frame
        else {
            return;
        };
        if attempt != self.attempt {
            return;
        }
        match (&mut self.phase, frame) {
            (Phase::InFlight(in_flight), frame) => {
                in_flight.last_event = now;
                self.handle_dispatched(&frame, now, budget, actions);
            }
            (Phase::Cancelling(_), Event::Refused(_, reason)) if proves_not_run(reason) => {
                self.retry(reason, now, budget, actions);
            }
            (Phase::Cancelling(_), Event::Cancelled(_, state)) => {
                self.handle_cancel_result(state, now, budget, actions);
            }
            _ => {}
        }
    }

    fn handle_dispatched(
        &mut self,
        frame: &Event,
        now: Time,
        budget: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        let Phase::InFlight(in_flight) = &mut self.phase else {
            return;
        };
        match *frame {
            // A copy of the dispatch was refused; the first one is still in flight.
            Event::Refused(_, Reason::Duplicate) | Event::Cancelled(..) => {}
            Event::Refused(_, reason) if !in_flight.head_forwarded && proves_not_run(reason) => {
                self.retry(reason, now, budget, actions);
            }
            Event::Refused(_, reason) if !in_flight.head_forwarded => {
                self.fail_or_repeat(reason, now, budget, actions);
            }
            Event::NotSent(_) if !in_flight.accepted && !in_flight.head_forwarded => {
                self.retry(Reason::LinkLost, now, budget, actions);
            }
            Event::Accepted(_) => in_flight.accepted = true,
            Event::Head(_) if !in_flight.head_forwarded => {
                in_flight.head_forwarded = true;
                actions.push(Action::ForwardHead);
            }
            Event::Head(_) => {}
            Event::Chunk(_, index) if in_flight.head_forwarded && index == in_flight.chunks => {
                in_flight.chunks += 1;
                actions.push(Action::ForwardChunk);
            }
            Event::Chunk(_, index) if index < in_flight.chunks => {}
            Event::End(_, chunks) if in_flight.head_forwarded && chunks == in_flight.chunks => {
                self.complete(actions);
            }
            Event::Aborted(_, reason) => self.fail_or_repeat(reason, now, budget, actions),
            Event::LinkLost(_) => self.request_resume(now, actions),
            Event::Resumed(_) => in_flight.resume_deadline = None,
            Event::NotResumed(_) if in_flight.resume_deadline.is_none() => {}
            Event::NotResumed(_) => self.cancel(Reason::LinkLost, now, actions),
            // A part of the answer is missing, or the frame contradicts an earlier one.
            _ => self.cancel(Reason::Protocol, now, actions),
        }
    }

    fn complete(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::ForwardEnd);
        self.record_answer(None, actions);
        self.phase = Phase::Done;
    }

    /// Asks the agent to continue a broken stream. An attempt that was not accepted is cancelled
    /// instead: it may not have arrived, and the answer to a cancel can prove that.
    fn request_resume(&mut self, now: Time, actions: &mut Vec<Action>) {
        let attempt = self.attempt;
        match &mut self.phase {
            Phase::InFlight(in_flight)
                if self.spec.resumable
                    && in_flight.resume_deadline.is_none()
                    && (in_flight.accepted || in_flight.head_forwarded) =>
            {
                let until = now + RESUME_TIMEOUT;
                in_flight.resume_deadline = Some(until);
                actions.push(Action::SetTimer(until.min(self.spec.deadline)));
                actions.push(Action::Resume {
                    attempt,
                    target: in_flight.target.clone(),
                    received: u64::from(in_flight.head_forwarded) + in_flight.chunks,
                });
            }
            _ => self.cancel(Reason::LinkLost, now, actions),
        }
    }

    /// Cancels the attempt if a timeout has expired, otherwise sets the timer again.
    pub(super) fn check_timeouts(&mut self, now: Time, actions: &mut Vec<Action>) {
        let Phase::InFlight(in_flight) = &self.phase else {
            return;
        };
        let stalled = in_flight.last_event + self.spec.stall_timeout;
        if now >= self.spec.deadline {
            self.cancel(Reason::Deadline, now, actions);
        } else if let Some(until) = in_flight.resume_deadline {
            if now >= until {
                self.cancel(Reason::LinkLost, now, actions);
            } else {
                actions.push(Action::SetTimer(until.min(self.spec.deadline)));
            }
        } else if now >= stalled {
            self.cancel(Reason::Stalled, now, actions);
        } else {
            actions.push(Action::SetTimer(stalled.min(self.spec.deadline)));
        }
    }

    /// Cancels the attempt. A timeout doesn't prove that the attempt did not run, so the call waits
    /// for the agent's answer, unless the head was forwarded: then the attempt did run.
    fn cancel(&mut self, cause: Reason, now: Time, actions: &mut Vec<Action>) {
        let Phase::InFlight(in_flight) = &self.phase else {
            return;
        };
        let target = in_flight.target.clone();
        actions.push(Action::Cancel {
            attempt: self.attempt,
            target: target.clone(),
        });
        if in_flight.head_forwarded {
            self.may_have_run = true;
            return self.fail(cause, actions);
        }
        let until = now + CANCEL_TIMEOUT;
        actions.push(Action::SetTimer(until));
        self.phase = Phase::Cancelling(Cancelling {
            target,
            cause,
            until,
        });
    }

    fn handle_cancel_result(
        &mut self,
        state: CancelState,
        now: Time,
        budget: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        let Phase::Cancelling(cancelling) = &self.phase else {
            return;
        };
        let cause = cancelling.cause;
        match state {
            CancelState::NeverStarts => self.retry(cause, now, budget, actions),
            CancelState::Finished if self.own_claim.is_some() => self.look_up_own_attempt(actions),
            CancelState::Running
            | CancelState::Finished
            | CancelState::OtherIncarnation
            | CancelState::Forgotten => self.fail_or_repeat(cause, now, budget, actions),
        }
    }

    /// Handles the failure of an attempt that may have run. It is repeated only if the operation
    /// may be repeated and nothing of the answer was forwarded.
    pub(super) fn fail_or_repeat(
        &mut self,
        reason: Reason,
        now: Time,
        budget: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        self.may_have_run = true;
        let is_answering =
            matches!(&self.phase, Phase::InFlight(in_flight) if in_flight.head_forwarded);
        if self.spec.idempotent && !is_answering {
            self.retry(reason, now, budget, actions);
        } else {
            self.fail(reason, actions);
        }
    }

    /// Ends an attempt that is proved not to have run or may be repeated, and starts another one if
    /// the deadline, the number of attempts and the retry budget allow it.
    fn retry(
        &mut self,
        reason: Reason,
        now: Time,
        budget: &mut RetryBudget,
        actions: &mut Vec<Action>,
    ) {
        let phase = std::mem::replace(&mut self.phase, Phase::Choosing);
        if let Phase::InFlight(InFlight { target, .. })
        | Phase::Cancelling(Cancelling { target, .. }) = phase
            && !self.avoid.contains(&target.agent)
        {
            self.avoid.push(target.agent);
        }
        if now >= self.spec.deadline {
            self.fail(Reason::Deadline, actions);
        } else if self.dispatches >= self.spec.max_attempts {
            self.fail(reason, actions);
        } else if !budget.try_withdraw() {
            self.fail(Reason::RetryBudget, actions);
        } else {
            self.request_target(actions);
        }
    }
}

/// Whether a refusal proves that the attempt never runs. `Duplicate` doesn't, because the first
/// copy of the dispatch may run, nor does `OutcomeLost`, because the agent has no record of an
/// attempt that is too old.
fn proves_not_run(reason: Reason) -> bool {
    !matches!(reason, Reason::Duplicate | Reason::OutcomeLost)
}

/// Returns the number of the attempt that follows both attempts.
pub(super) fn next_attempt(own: Attempt, other: Attempt) -> Attempt {
    own.max(other).next()
}
