//! Race of the attempts at one request that have no answer yet.
//!
//! A further attempt joins while all others are silent. None is given up before another one is
//! answered with a success: a silent server may still answer, and nobody knows whether the others
//! will.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use futures::future::select_all;
use siskinbend_request::AttemptFailure;
use siskinbend_request::DirectAttempts;
use siskinbend_request::HedgeCause;
use smol_str::SmolStr;
use tokio::time::sleep;

use super::Gateway;
use super::attempt::Call;
use super::attempt::FailedAttempt;
use super::attempt::PendingResponse;
use super::attempt::run_attempt;
use super::fleet::Target;
use super::guards::AttemptGuard;
use super::hedge::HedgeSender;
use super::silence::CHECK_INTERVAL;
use super::silence::SilenceDetector;

type AnswerResult = Result<PendingResponse, FailedAttempt>;

/// Attempt that has no answer yet.
struct Runner<'call> {
    target: Target,
    silence: SilenceDetector,
    result: Pin<Box<dyn Future<Output = AnswerResult> + Send + 'call>>,
}

/// Attempts at one request; at least one until the race is over.
pub(super) struct Race<'call> {
    gateway: &'call Arc<Gateway>,
    call: &'call Call,
    attempts: &'call mut DirectAttempts,
    last_event: Option<SmolStr>,
    hedge_sender: HedgeSender,
    runners: Vec<Runner<'call>>,
    /// Server error that is the answer if no other attempt succeeds.
    error: Option<PendingResponse>,
}

impl<'call> Race<'call> {
    /// Creates a race of attempts that continue a stream after the event `last_event`, if any.
    pub fn new(
        gateway: &'call Arc<Gateway>,
        call: &'call Call,
        attempts: &'call mut DirectAttempts,
        last_event: Option<SmolStr>,
    ) -> Race<'call> {
        Race {
            gateway,
            call,
            attempts,
            last_event,
            hedge_sender: HedgeSender::new(gateway),
            runners: Vec::new(),
            error: None,
        }
    }

    /// Runs the race from its first attempt on. Returns the answer, or the last failure if there is
    /// none; that failure is not recorded in the request's attempts.
    pub async fn run(mut self, first: AttemptGuard) -> AnswerResult {
        self.add(first);
        loop {
            let ended = {
                let results = self.runners.iter_mut().map(|r| r.result.as_mut());
                tokio::select! {
                    (result, index, _) = select_all(results) => Some((result, index)),
                    () = sleep(CHECK_INTERVAL), if self.call.route.kind.is_retryable() => None,
                }
            };
            match ended {
                None => self.hedge_if_silent(),
                Some((result, index)) => {
                    self.runners.swap_remove(index);
                    if let Some(result) = self.handle_result(result) {
                        return result;
                    }
                }
            }
        }
    }

    fn add(&mut self, attempt: AttemptGuard) {
        let target = attempt.target.clone();
        let silence = SilenceDetector::new(attempt.sent_at);
        let last_event = self.last_event.clone();
        let result = run_attempt(self.gateway, self.call, attempt, last_event);
        self.runners.push(Runner {
            target,
            silence,
            result: Box::pin(result),
        });
    }

    fn hedge_if_silent(&mut self) {
        let (gateway, call) = (self.gateway, self.call);
        let is_silent = |r: &mut Runner| r.silence.is_silent(gateway, call, &r.target);
        // Each is checked, so that the silence of each is recorded.
        let silent = self.runners.iter_mut().map(is_silent).filter(|s| *s);
        if silent.count() < self.runners.len() {
            return;
        }
        let running: Vec<&Target> = self.runners.iter().map(|r| &r.target).collect();
        let last_event = self.last_event.as_ref();
        let cause = HedgeCause::Silent;
        let attempt = self
            .hedge_sender
            .start(call, self.attempts, &running, cause, last_event);
        if let Some(attempt) = attempt {
            self.add(attempt);
        }
    }

    /// Returns the result of the race, unless other attempts may still succeed.
    fn handle_result(&mut self, result: AnswerResult) -> Option<AnswerResult> {
        let is_last = self.runners.is_empty();
        match result {
            Ok(mut pending) if pending.response.status().is_server_error() && !is_last => {
                let result = pending.error_result();
                pending.attempt.finish(result);
                if let Some(earlier) = self.error.replace(pending) {
                    let target = earlier.attempt.target.id.clone();
                    self.attempts.record_failure(target, AttemptFailure::Failed);
                }
                None
            }
            Ok(pending) => {
                for loser in self.runners.drain(..) {
                    self.attempts.record_replaced(loser.target.id);
                }
                Some(Ok(pending))
            }
            Err(failed) if is_last => Some(match self.error.take() {
                Some(pending) => {
                    self.record_failure(&failed);
                    Ok(pending)
                }
                None => Err(failed),
            }),
            Err(failed) => {
                self.record_failure(&failed);
                None
            }
        }
    }

    fn record_failure(&mut self, failed: &FailedAttempt) {
        let target = failed.attempt.target.id.clone();
        self.attempts.record_failure(target, failed.failure);
    }
}
