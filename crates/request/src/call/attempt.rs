//! Decisions about attempts: dispatch, frames of the answer, silence, cancel and retry.

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
use crate::call::CANCEL_WAIT;
use crate::call::Cancelling;
use crate::call::Phase;
use crate::call::RESUME_WAIT;
use crate::call::Sent;

impl Call {
    /// Sends the attempt `self.attempt`.
    pub(super) fn dispatch(&mut self, target: Target, now: Time, out: &mut Vec<Action>) {
        self.check_dispatch(&target);
        self.dispatched += 1;
        out.push(Action::SetTimer(
            (now + self.spec.stall_timeout).min(self.spec.deadline),
        ));
        out.push(Action::Dispatch {
            attempt: self.attempt,
            target: target.clone(),
        });
        self.phase = Phase::Sent(Sent {
            target,
            heard: now,
            accepted: false,
            head: false,
            chunks: 0,
            resuming: None,
        });
    }

    fn check_dispatch(&self, target: &Target) {
        let (id, attempt) = (self.spec.id, self.attempt);
        assert!(
            self.spec.idempotent || !self.tainted,
            "attempt {attempt} of request {id} follows one that may have run"
        );
        assert!(
            !matches!(self.phase, Phase::Sent(_) | Phase::Cancelling(_)),
            "attempt {attempt} of request {id} would overtake an open one"
        );
        let Some(key) = &self.spec.key else { return };
        let claimed = self.held.as_ref().is_some_and(|(row, _)| {
            row.id == id
                && row.attempt == attempt
                && row.agent == target.agent
                && row.incarnation == target.incarnation
                && row.window == target.window
        });
        let unclaimed = self.held.is_none() && key.on_outage == OnOutage::Run;
        assert!(
            claimed || unclaimed,
            "attempt {attempt} of request {id} at {} has no claim",
            target.agent
        );
    }

    /// Handles a frame of the agent or a loss of the connection.
    pub(super) fn handle_frame(
        &mut self,
        frame: Event,
        now: Time,
        budget: &mut RetryBudget,
        out: &mut Vec<Action>,
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
            (Phase::Sent(sent), frame) => {
                sent.heard = now;
                self.handle_sent(&frame, now, budget, out);
            }
            (Phase::Cancelling(_), Event::Refused(_, reason)) if proves_not_run(reason) => {
                self.retry(reason, now, budget, out);
            }
            (Phase::Cancelling(_), Event::Cancelled(_, state)) => {
                self.settle_cancel(state, now, budget, out);
            }
            _ => {}
        }
    }

    fn handle_sent(
        &mut self,
        frame: &Event,
        now: Time,
        budget: &mut RetryBudget,
        out: &mut Vec<Action>,
    ) {
        let Phase::Sent(sent) = &mut self.phase else {
            return;
        };
        match *frame {
            // The refusal of a copy says nothing of the first dispatch.
            Event::Refused(_, Reason::Duplicate) | Event::Cancelled(..) => {}
            Event::Refused(_, reason) if !sent.head && proves_not_run(reason) => {
                self.retry(reason, now, budget, out);
            }
            Event::Refused(_, reason) if !sent.head => self.taint(reason, now, budget, out),
            Event::NotSent(_) if !sent.accepted && !sent.head => {
                self.retry(Reason::LinkLost, now, budget, out);
            }
            Event::Accepted(_) => sent.accepted = true,
            Event::Head(_) if !sent.head => {
                sent.head = true;
                out.push(Action::ForwardHead);
            }
            Event::Head(_) => {}
            Event::Chunk(_, index) if sent.head && index == sent.chunks => {
                sent.chunks += 1;
                out.push(Action::ForwardChunk);
            }
            Event::Chunk(_, index) if index < sent.chunks => {}
            Event::End(_, chunks) if sent.head && chunks == sent.chunks => self.complete(out),
            Event::Aborted(_, reason) => self.taint(reason, now, budget, out),
            Event::LinkLost(_) => self.resume(now, out),
            Event::Resumed(_) => sent.resuming = None,
            Event::NotResumed(_) if sent.resuming.is_none() => {}
            Event::NotResumed(_) => self.cancel(Reason::LinkLost, now, out),
            // A part of the answer is missing, or the frame contradicts an earlier one.
            _ => self.cancel(Reason::Protocol, now, out),
        }
    }

    /// The answer is complete.
    fn complete(&mut self, out: &mut Vec<Action>) {
        out.push(Action::ForwardEnd);
        self.record_answer(None, out);
        self.phase = Phase::Done;
    }

    /// Asks the agent to go on with a broken stream. An attempt that was not accepted is
    /// cancelled instead: it may not have arrived, and a cancel can prove that.
    fn resume(&mut self, now: Time, out: &mut Vec<Action>) {
        let attempt = self.attempt;
        match &mut self.phase {
            Phase::Sent(sent)
                if self.spec.resumable
                    && sent.resuming.is_none()
                    && (sent.accepted || sent.head) =>
            {
                let until = now + RESUME_WAIT;
                sent.resuming = Some(until);
                out.push(Action::SetTimer(until.min(self.spec.deadline)));
                out.push(Action::Resume {
                    attempt,
                    target: sent.target.clone(),
                    received: u64::from(sent.head) + sent.chunks,
                });
            }
            _ => self.cancel(Reason::LinkLost, now, out),
        }
    }

    /// Cancels a silent attempt, or waits on.
    pub(super) fn check_silence(&mut self, now: Time, out: &mut Vec<Action>) {
        let Phase::Sent(sent) = &self.phase else {
            return;
        };
        let stalled = sent.heard + self.spec.stall_timeout;
        if now >= self.spec.deadline {
            self.cancel(Reason::Deadline, now, out);
        } else if let Some(until) = sent.resuming {
            if now >= until {
                self.cancel(Reason::LinkLost, now, out);
            } else {
                out.push(Action::SetTimer(until.min(self.spec.deadline)));
            }
        } else if now >= stalled {
            self.cancel(Reason::Stalled, now, out);
        } else {
            out.push(Action::SetTimer(stalled.min(self.spec.deadline)));
        }
    }

    /// Cancels the attempt. Time alone proves nothing, so the outcome waits for the agent; once
    /// the head was passed it is known that the attempt ran.
    fn cancel(&mut self, cause: Reason, now: Time, out: &mut Vec<Action>) {
        let Phase::Sent(sent) = &self.phase else {
            return;
        };
        let target = sent.target.clone();
        out.push(Action::Cancel {
            attempt: self.attempt,
            target: target.clone(),
        });
        if sent.head {
            self.tainted = true;
            return self.fail(cause, out);
        }
        let until = now + CANCEL_WAIT;
        out.push(Action::SetTimer(until));
        self.phase = Phase::Cancelling(Cancelling {
            target,
            cause,
            until,
        });
    }

    fn settle_cancel(
        &mut self,
        state: CancelState,
        now: Time,
        budget: &mut RetryBudget,
        out: &mut Vec<Action>,
    ) {
        let Phase::Cancelling(cancelling) = &self.phase else {
            return;
        };
        let cause = cancelling.cause;
        match state {
            CancelState::NeverStarts => self.retry(cause, now, budget, out),
            CancelState::Finished if self.held.is_some() => self.ask_own(out),
            CancelState::Running
            | CancelState::Finished
            | CancelState::OtherIncarnation
            | CancelState::Forgotten => self.taint(cause, now, budget, out),
        }
    }

    /// The open attempt may have run: tries again only if that does no harm and the caller has
    /// seen nothing of it.
    pub(super) fn taint(
        &mut self,
        reason: Reason,
        now: Time,
        budget: &mut RetryBudget,
        out: &mut Vec<Action>,
    ) {
        self.tainted = true;
        let begun = matches!(&self.phase, Phase::Sent(sent) if sent.head);
        if self.spec.idempotent && !begun {
            self.retry(reason, now, budget, out);
        } else {
            self.fail(reason, out);
        }
    }

    /// Ends the open attempt, which is proved not to have run or may be repeated, and tries
    /// again if there is time and budget.
    fn retry(
        &mut self,
        reason: Reason,
        now: Time,
        budget: &mut RetryBudget,
        out: &mut Vec<Action>,
    ) {
        let phase = std::mem::replace(&mut self.phase, Phase::Choosing);
        if let Phase::Sent(Sent { target, .. }) | Phase::Cancelling(Cancelling { target, .. }) =
            phase
            && !self.avoid.contains(&target.agent)
        {
            self.avoid.push(target.agent);
        }
        if now >= self.spec.deadline {
            self.fail(Reason::Deadline, out);
        } else if self.dispatched >= self.spec.max_attempts {
            self.fail(reason, out);
        } else if !budget.try_withdraw() {
            self.fail(Reason::RetryBudget, out);
        } else {
            self.choose(out);
        }
    }
}

/// Whether a refusal proves that the attempt never runs. A copy of a dispatch is refused as a
/// duplicate while the first may run, and an agent can't judge an attempt that is too old.
fn proves_not_run(reason: Reason) -> bool {
    !matches!(reason, Reason::Duplicate | Reason::OutcomeLost)
}

/// The first attempt that takes over after another one.
pub(super) fn after(own: Attempt, other: Attempt) -> Attempt {
    own.max(other).next()
}
