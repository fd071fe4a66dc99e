//! Hedge of a stream: a further attempt beside one that runs.
//!
//! The running attempt is given up only when the hedge has brought data. Until then it is not known
//! that another backend server takes the stream: it may refuse, break off or be silent, and then the
//! running attempt is all that is left.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use siskinbend_request::AttemptFailure;
use siskinbend_request::DirectAttempts;
use siskinbend_request::HedgeCause;
use siskinbend_request::HedgeRefusal;
use siskinbend_routing::AttemptResult;
use siskinbend_routing::AttemptStage;
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
use super::fleet::Target;
use super::stream::is_framed;

/// Answer of a hedge that has brought data.
pub(super) struct HedgeAnswer {
    pub pending: PendingResponse,
    /// First part of the body; `None` if the body is empty, because the other attempt has sent all
    /// events.
    pub first: Option<Frame<Bytes>>,
}

type HedgeResult = Result<HedgeAnswer, FailedAttempt>;

/// Hedge that has not brought data.
pub(super) struct Hedge {
    pub cause: HedgeCause,
    result: Pin<Box<dyn Future<Output = HedgeResult> + Send>>,
}

impl Hedge {
    /// Sends a hedge, which continues the stream after the event `last_event`, to another backend
    /// server than `running`.
    ///
    /// # Errors
    ///
    /// Returns why none is sent.
    pub fn send(
        gateway: &Arc<Gateway>,
        call: &Arc<Call>,
        attempts: &mut DirectAttempts,
        running: &Target,
        cause: HedgeCause,
        last_event: Option<SmolStr>,
    ) -> Result<Hedge, HedgeRefusal> {
        let now = gateway.now();
        if !may_send(gateway, call, now) {
            return Err(HedgeRefusal::Unchecked);
        }
        let target = gateway
            .fleet()
            .choose_hedge(running, attempts, &call.regions, cause, now)?;
        gateway.metrics.requests.record_retry(cause.reason());
        let attempt = start_attempt(gateway, call, attempts, target, last_event.as_ref());
        let (gateway, call) = (Arc::clone(gateway), Arc::clone(call));
        let result = async move {
            let pending = run_attempt(&gateway, &call, attempt, last_event).await?;
            read_first(&gateway, &call, pending).await
        };
        Ok(Hedge {
            cause,
            result: Box::pin(result),
        })
    }

    /// Waits until the hedge has brought data or failed.
    pub async fn wait(&mut self) -> HedgeResult {
        (&mut self.result).await
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
        Ok(Some(Ok(first))) => {
            return Ok(HedgeAnswer {
                pending,
                first: Some(first),
            });
        }
        Ok(None) if framed => {
            return Ok(HedgeAnswer {
                pending,
                first: None,
            });
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
