//! Hedge of a stream: a further attempt beside one that runs.
//!
//! The running attempt is given up only when the hedge has brought data. Until then it is not known
//! that another backend server takes the stream: it may refuse, break off or be silent, and then the
//! running attempt is all that is left.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use siskinbend_request::AttemptFailure;
use siskinbend_request::DirectAttempts;
use siskinbend_request::HedgeCause;
use siskinbend_request::HedgeRefusal;
use siskinbend_routing::AttemptResult;
use siskinbend_routing::AttemptStage;
use siskinbend_types::Time;
use smol_str::SmolStr;
use tokio::time::timeout;

use super::Gateway;
use super::attempt::Call;
use super::attempt::FailedAttempt;
use super::attempt::PendingResponse;
use super::attempt::may_send;
use super::attempt::run_attempt;
use super::attempt::start_attempt;
use super::crashes;
use super::fleet::HedgeRequest;
use super::fleet::Target;
use super::guards::AttemptGuard;
use super::stream::is_framed;

/// Answer of a hedge that has brought data.
pub(super) struct HedgeAnswer {
    pub pending: PendingResponse,
    /// First part of the body. It has no data if the other attempt has sent all events already.
    pub first: Frame<Bytes>,
}

/// Interval at which a refused hedge is checked again; each check looks at all replicas.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

type HedgeResult = Result<HedgeAnswer, FailedAttempt>;

/// Hedge that has not brought data.
pub(super) struct Hedge {
    pub cause: HedgeCause,
    result: Pin<Box<dyn Future<Output = HedgeResult> + Send>>,
}

impl Hedge {
    /// Runs an attempt, which continues the stream after the event `last_event`, as a hedge.
    pub fn new(
        gateway: &Arc<Gateway>,
        call: &Arc<Call>,
        attempt: AttemptGuard,
        cause: HedgeCause,
        last_event: Option<SmolStr>,
    ) -> Hedge {
        let (gateway, call) = (Arc::clone(gateway), Arc::clone(call));
        let result = async move {
            let pending = run_attempt(&gateway, &call, attempt, last_event).await?;
            read_first(&gateway, &call, pending).await
        };
        Hedge {
            cause,
            result: Box::pin(result),
        }
    }

    /// Waits until the hedge has brought data or failed.
    pub async fn wait(&mut self) -> HedgeResult {
        (&mut self.result).await
    }
}

/// Starts the hedges of one request, and logs why one is not sent.
pub(super) struct HedgeSender {
    gateway: Arc<Gateway>,
    /// Why the latest hedge was not sent, and when.
    refused: Option<(HedgeRefusal, Time)>,
}

impl HedgeSender {
    pub fn new(gateway: &Arc<Gateway>) -> HedgeSender {
        HedgeSender {
            gateway: Arc::clone(gateway),
            refused: None,
        }
    }

    /// Starts an attempt beside those at `running`; `None` if the request stays with these.
    pub fn start(
        &mut self,
        call: &Call,
        attempts: &mut DirectAttempts,
        running: &[&Target],
        cause: HedgeCause,
        last_event: Option<&SmolStr>,
    ) -> Option<AttemptGuard> {
        let now = self.gateway.now();
        let is_recent = |at: Time| now.since(at) < RECHECK_INTERVAL;
        if self.refused.is_some_and(|(_, at)| is_recent(at)) {
            return None;
        }
        let request = HedgeRequest {
            service: &call.service,
            running,
            regions: &call.regions,
            cause,
        };
        let chosen = match may_send(&self.gateway, call, now) {
            true => self.gateway.fleet().choose_hedge(&request, attempts, now),
            false => Err(HedgeRefusal::Unchecked),
        };
        match chosen {
            Ok(target) => {
                self.refused = None;
                self.gateway.metrics.requests.record_retry(cause.reason());
                let attempt = start_attempt(&self.gateway, call, attempts, target, last_event);
                Some(attempt)
            }
            Err(refusal) => {
                self.record_refusal(call, cause, refusal, now);
                None
            }
        }
    }

    /// Records why no hedge was sent; logs it unless the latest one had the same reason.
    fn record_refusal(&mut self, call: &Call, cause: HedgeCause, refusal: HedgeRefusal, now: Time) {
        let previous = self.refused.replace((refusal, now));
        if previous.is_none_or(|(previous, _)| previous != refusal) {
            log::info!(
                request:% = call.head.id,
                cause:% = cause.reason(),
                refusal:% = refusal;
                "hedge_not_sent"
            );
        }
    }
}

/// Reads the first part of a stream's body.
async fn read_first(gateway: &Arc<Gateway>, call: &Call, pending: PendingResponse) -> HedgeResult {
    let mut pending = pending;
    let target = pending.attempt.target.clone();
    if !pending.response.status().is_success() {
        let result = pending.error_result();
        pending.attempt.finish(result);
        return Err(FailedAttempt::new(pending.attempt, AttemptFailure::Failed));
    }
    let framed = is_framed(pending.response.headers());
    let frame = pending.response.body_mut().frame();
    let (result, failure) = match timeout(call.time_left(gateway.now()), frame).await {
        Ok(Some(Ok(first))) => return Ok(HedgeAnswer { pending, first }),
        Ok(None) if framed => {
            let first = Frame::data(Bytes::new());
            return Ok(HedgeAnswer { pending, first });
        }
        Ok(Some(Err(_)) | None) => {
            crashes::record_loss(gateway, call, &target, AttemptStage::of_stream(0));
            pending.attempt.record_connection_failure();
            (AttemptResult::Failed, AttemptFailure::ConnectionLost)
        }
        Err(_) => (AttemptResult::Stalled, AttemptFailure::Stalled),
    };
    pending.attempt.finish(result);
    Err(FailedAttempt::new(pending.attempt, failure))
}
