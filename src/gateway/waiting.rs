//! Waits for a place under the concurrency limit of a service before a stream is sent.

use std::sync::Arc;
use std::time::Duration;

use siskinbend_routing::WaiterId;
use siskinbend_routing::admission::StartInfo;
use siskinbend_types::Organisation;
use siskinbend_types::Reason;
use siskinbend_types::ServiceName;
use smol_str::SmolStr;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::Gateway;
use super::attempt::Call;
use super::fleet::Admission;
use super::guards::AdmissionPermit;
use super::handler::LOWEST_PRIORITY;

/// Part of its latency goal for which a stream may wait.
const MAX_WAIT_DIVISOR: u32 = 4;
/// Organisation of requests without one.
const NO_ORGANISATION: SmolStr = SmolStr::new_static("-");

/// Removes a request from the queue when its caller leaves.
struct Wait<'gateway> {
    gateway: &'gateway Arc<Gateway>,
    service: &'gateway ServiceName,
    info: &'gateway StartInfo,
    waiter: WaiterId,
    notice: oneshot::Receiver<Result<(), Reason>>,
    is_over: bool,
}

impl Wait<'_> {
    /// Waits until the request may start or is refused.
    async fn run(mut self, permit: &mut AdmissionPermit) -> Result<(), Reason> {
        let left = self.info.latest_start.since(self.gateway.now());
        let noticed = timeout(left, &mut self.notice).await;
        let result = match noticed {
            Ok(notice) => notice.unwrap_or(Err(Reason::ShareExceeded)),
            Err(_) => self.stop(),
        };
        self.is_over = true;
        if result.is_ok() {
            let now = self.gateway.now();
            let mut fleet = self.gateway.fleet();
            fleet.confirm_start(self.service, self.info, permit, now);
        }
        result
    }

    /// Stops waiting. A notice that came at the same moment counts.
    fn stop(&mut self) -> Result<(), Reason> {
        let still_waits = self.gateway.fleet().stop_waiting(self.service, self.waiter);
        match still_waits {
            true => Err(Reason::ShareExceeded),
            false => self.notice.try_recv().unwrap_or(Err(Reason::ShareExceeded)),
        }
    }
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if self.is_over || self.stop().is_err() {
            return;
        }
        // The place was given to a caller that left: the permit returns it when dropped.
        let mut permit = AdmissionPermit::new(self.gateway, self.service);
        let now = self.gateway.now();
        let mut fleet = self.gateway.fleet();
        fleet.confirm_start(self.service, self.info, &mut permit, now);
        drop(fleet);
        drop(permit);
    }
}

/// Waits until a stream may be sent to its service.
///
/// # Errors
///
/// Returns why the stream is refused; it was not run.
pub(super) async fn admit(
    gateway: &Arc<Gateway>,
    call: &Call,
    permit: &mut AdmissionPermit,
) -> Result<(), Reason> {
    // A request that waits for the check of a server must not reserve a place meanwhile.
    gateway.crashes.wait_until_checked(call).await;
    let Some(info) = build_info(call) else {
        return Ok(());
    };
    let now = gateway.now();
    let admission = gateway.fleet().admit(&call.service, &info, permit, now);
    let (waiter, notice, predicted) = match admission {
        Ok(Admission::Started) => return Ok(()),
        Ok(Admission::Waiting {
            waiter,
            notice,
            predicted,
        }) => (waiter, notice, predicted),
        Err(rejected) => {
            call.set_predicted(rejected.predicted);
            return Err(rejected.reason);
        }
    };
    call.set_predicted(predicted);
    let wait = Wait {
        gateway,
        service: &call.service,
        info: &info,
        waiter,
        notice,
        is_over: false,
    };
    let result = wait.run(permit).await;
    record_wait(
        gateway,
        call,
        now.since(call.received_at),
        result,
        gateway.now().since(now),
    );
    result
}

fn record_wait(
    gateway: &Arc<Gateway>,
    call: &Call,
    before: Duration,
    result: Result<(), Reason>,
    waited: Duration,
) {
    gateway.metrics.wait.observe(waited.as_secs_f64());
    let event = match result {
        Ok(()) => "request_waited",
        Err(Reason::Displaced) => "request_displaced",
        Err(_) => return,
    };
    let organisation = call.organisation.as_ref().map(Organisation::as_str);
    log::info!(
        request:% = call.head.id,
        service:% = call.service,
        route:% = call.route.prefix,
        organisation = organisation.unwrap_or_default(),
        priority = call.priority.unwrap_or(LOWEST_PRIORITY),
        before_ms = before.as_millis() as u64,
        waited_ms = waited.as_millis() as u64,
        predicted_ms = call.predicted().as_millis() as u64;
        "{event}"
    );
}

/// Returns the place of a stream in the queue; its urgency is its priority at the engines.
fn build_info(call: &Call) -> Option<StartInfo> {
    let organisation = match &call.organisation {
        Some(organisation) => organisation.clone(),
        None => NO_ORGANISATION.try_into().ok()?,
    };
    Some(StartInfo {
        organisation,
        class: call.priority.unwrap_or(LOWEST_PRIORITY),
        latest_start: call.received_at + call.route.latency_goal / MAX_WAIT_DIVISOR,
    })
}
