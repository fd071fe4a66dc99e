//! Admits callers' requests and refuses those that cannot be served.

use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::header;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use siskinbend_request::NextStep;
use siskinbend_request::retry_after;
use siskinbend_site::Config;
use siskinbend_site::RequestHead;
use siskinbend_site::config::KeyOwner;
use siskinbend_types::Organisation;
use siskinbend_types::Outcome;
use siskinbend_types::Reason;
use siskinbend_types::ServiceName;
use siskinbend_types::Time;
use tokio::time::timeout;

use super::Gateway;
use super::attempt::Call;
use super::attempt::strip_hop_by_hop;
use super::buffered;
use super::response::Body;
use super::response::problem_response;
use super::returns;
use super::stream;

/// Retry delay for callers whose request cannot be checked because the configuration is missing or
/// too old.
const CONFIG_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Retry delay for callers of a gateway that stops: the balancer sends them to another one.
const STOP_RETRY_DELAY: Duration = Duration::ZERO;
/// Resolution of `Retry-After` in refusals.
const RETRY_STEP: Duration = Duration::from_millis(10);
/// Lowest priority that engines accept.
pub(super) const LOWEST_PRIORITY: u8 = 9;
/// Timeout of requests that do not specify one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Handles one request of a caller.
pub(super) async fn handle(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let call = match admit(&gateway, request).await {
        Ok(call) => call,
        Err(reason) => {
            gateway.metrics.requests.record_refusal(reason);
            let retry_delay = match reason {
                Reason::NoDocument | Reason::StoreUnavailable => Some(CONFIG_RETRY_DELAY),
                Reason::Draining => Some(STOP_RETRY_DELAY),
                _ => None,
            };
            return problem_response(reason, Outcome::NotRun, retry_delay);
        }
    };
    gateway.fleet().budget(&call.service).deposit();
    let service = call.service.clone();
    let response = if call.route.kind.is_stream() {
        stream::serve(&gateway, call).await
    } else {
        buffered::serve(&gateway, &call).await
    };
    if response.status().is_success() {
        gateway
            .metrics
            .requests
            .record_request(service.as_str(), Outcome::Answered);
    }
    response
}

/// Refuses an admitted request, and logs and counts the refusal.
pub(super) fn refuse(gateway: &Arc<Gateway>, call: &Call, next: NextStep) -> Response<Body> {
    let (reason, outcome) = match next {
        NextStep::Refuse(reason) => (reason, Outcome::NotRun),
        NextStep::Fail(reason) => (reason, Outcome::Unknown),
        NextStep::Retry | NextStep::ForwardFailure => (Reason::BackendFailed, Outcome::Unknown),
    };
    let now = gateway.now();
    let pause_left = match (reason, outcome) {
        (Reason::ServersPaused | Reason::QueueFull, Outcome::NotRun) => gateway
            .fleet()
            .find_pause_end(&call.service, &call.regions, now),
        _ => None,
    };
    // The last servers to refuse the request may have done so because they pause.
    let reason = pause_left.map_or(reason, |_| Reason::ServersPaused);
    let retry_delay = (outcome == Outcome::NotRun).then(|| match pause_left {
        Some(left) => round_up(left).min(call.time_left(now)),
        None => find_retry_delay(gateway, call, reason, now),
    });
    let organisation = call.organisation.as_ref().map(Organisation::as_str);
    let limit = gateway.fleet().total_limit(&call.service);
    log::info!(
        request:% = call.head.id,
        service:% = call.service,
        route:% = call.route.prefix,
        organisation = organisation.unwrap_or_default(),
        priority = call.priority.unwrap_or(LOWEST_PRIORITY),
        limit = limit.unwrap_or(0),
        predicted_ms = call.predicted().as_millis() as u64,
        reason:% = reason,
        outcome:% = outcome,
        waited_ms = now.since(call.received_at).as_millis() as u64,
        left_ms = call.time_left(now).as_millis() as u64,
        retry_ms = retry_delay.map_or(0, |d| d.as_millis() as u64);
        "request_refused"
    );
    gateway.metrics.requests.record_refusal(reason);
    gateway
        .metrics
        .requests
        .record_request(call.service.as_str(), outcome);
    problem_response(reason, outcome, retry_delay)
}

/// Returns the delay after which the caller of a request that did not run should retry.
fn find_retry_delay(gateway: &Arc<Gateway>, call: &Call, reason: Reason, now: Time) -> Duration {
    if let Some((_, blocked_for)) = gateway.crashes.find_blocked(call, now) {
        return blocked_for;
    }
    if let Some(delay) = returns::book(gateway, call, reason, now) {
        return delay;
    }
    if reason == Reason::ColdStart
        && let Some(delay) = gateway.fleet().find_cold_delay(&call.service, now)
    {
        return delay.min(retry_after::max_retry_delay(call.time_left(now)));
    }
    let cause = match reason {
        Reason::QueueFull
        | Reason::ShareExceeded
        | Reason::Displaced
        | Reason::ServerLimit
        | Reason::ServersPaused => retry_after::RefusalCause::Overloaded,
        Reason::NoReplica | Reason::Draining | Reason::ZoneEvacuated | Reason::RegionNotAllowed => {
            retry_after::RefusalCause::Closed
        }
        _ => retry_after::RefusalCause::Failure,
    };
    retry_after::find_retry_delay(cause, call.time_left(now), rand::random())
}

/// Rounds a delay up to what `Retry-After` can express, so that no caller comes back too early.
fn round_up(delay: Duration) -> Duration {
    let steps = delay.as_micros().div_ceil(RETRY_STEP.as_micros());
    RETRY_STEP * u32::try_from(steps).unwrap_or(u32::MAX)
}

async fn admit(gateway: &Arc<Gateway>, request: Request<Incoming>) -> Result<Call, Reason> {
    let received_at = gateway.now();
    let (parts, body) = request.into_parts();
    let head = gateway.adapter.headers.decode_request(&parts.headers);
    let (config, certain, keys_usable) = {
        let view = gateway.view();
        let config = view.config().cloned().ok_or(Reason::NoDocument)?;
        (
            config,
            view.is_config_fresh(received_at),
            view.are_keys_usable(received_at),
        )
    };
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|h| h.to_str().ok())
        .unwrap_or_default();
    let Some(route) = config.find_route(host, parts.uri.path()) else {
        log::info!(request:% = head.id, version:% = config.version, certain; "route_unknown");
        return Err(reason_if_certain(certain, Reason::UnknownRoute));
    };
    let owner = match find_owner(&config, route.public, head.key.as_deref()) {
        Ok(owner) => owner,
        Err(()) => {
            log::info!(request:% = head.id, version:% = config.version, certain; "key_unknown");
            return Err(reason_if_certain(certain, Reason::Unauthorized));
        }
    };
    if owner.is_some() && !keys_usable {
        let age = gateway.view().config_age(received_at).unwrap_or_default();
        log::info!(
            request:% = head.id,
            version:% = config.version,
            age_ms = age.as_millis() as u64;
            "keys_not_trusted"
        );
        return Err(Reason::StoreUnavailable);
    }
    let service = route
        .choose_service(rand::random())
        .ok_or(Reason::UnknownService)?
        .clone();
    let (route, owner) = (route.clone(), owner.cloned());
    let body = match read_request_body(body, &config).await {
        Ok(body) => body,
        Err(reason) => {
            log::info!(request:% = head.id, service:% = service, reason:% = reason; "body_refused");
            return Err(reason);
        }
    };
    let mut headers = parts.headers;
    strip_hop_by_hop(&mut headers);
    let time_limit = head.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let deadline = received_at + time_limit;
    check_stop(gateway, &head, &service, deadline)?;
    Ok(Call {
        deadline,
        received_at,
        version: config.version,
        head,
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        service,
        priority: Some(find_priority(route.priority, owner.as_ref())),
        regions: owner.as_ref().map_or_else(
            || route.regions.clone(),
            |owner| route.regions.intersect(&owner.regions),
        ),
        organisation: owner.map(|o| o.organisation),
        fingerprint: OnceLock::new(),
        predicted_wait: OnceLock::new(),
        route,
    })
}

/// Returns an error if the process stops before the deadline of a request that has arrived late. The
/// body has been read by then, so that the caller reads the refusal.
fn check_stop(
    gateway: &Gateway,
    head: &RequestHead,
    service: &ServiceName,
    deadline: Time,
) -> Result<(), Reason> {
    let now = gateway.now();
    match gateway.stop.get() {
        Some(stop) if !stop.may_take(deadline, now) => {
            log::info!(
                request:% = head.id,
                service:% = service,
                left_ms = deadline.since(now).as_millis() as u64,
                exit_ms = stop.time_left(now).as_millis() as u64;
                "request_not_taken"
            );
            Err(Reason::Draining)
        }
        _ => Ok(()),
    }
}

/// Returns the priority at the engines; the organisation's priority overrides that of the route.
fn find_priority(route: u8, owner: Option<&KeyOwner>) -> u8 {
    let priority = owner.and_then(|o| o.priority).unwrap_or(route);
    priority.min(LOWEST_PRIORITY)
}

/// Returns `reason` if the configuration is fresh enough to be certain of it, or else that the
/// store is unavailable.
fn reason_if_certain(certain: bool, reason: Reason) -> Reason {
    if certain {
        reason
    } else {
        Reason::StoreUnavailable
    }
}

/// Finds the owner of the key; `None` if the request needs no key, an error if the key is unknown.
fn find_owner<'config>(
    config: &'config Config,
    public: bool,
    key: Option<&str>,
) -> Result<Option<&'config KeyOwner>, ()> {
    let Some(keys) = &config.keys else {
        return Ok(None);
    };
    if public {
        return Ok(None);
    }
    key.and_then(|key| keys.get(key)).map(Some).ok_or(())
}

async fn read_request_body(body: Incoming, config: &Config) -> Result<Bytes, Reason> {
    let limits = config.limits;
    let reading = Limited::new(body, limits.body_bytes).collect();
    match timeout(limits.receive_timeout, reading).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reason::BodyTooLarge),
        Ok(Err(_)) => Err(Reason::BadRequest),
        Err(_) => Err(Reason::SlowCaller),
    }
}
