//! Admits callers' requests.

use std::sync::Arc;
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
use siskinbend_site::config::KeyOwner;
use siskinbend_types::Outcome;
use siskinbend_types::Reason;
use tokio::time::timeout;

use super::Gateway;
use super::attempt::Call;
use super::attempt::strip_connection;
use super::plain;
use super::response::Body;
use super::response::problem_response;
use super::stream;

/// Time after which a caller should come back that was refused for want of knowledge.
const RETRY_AFTER: Duration = Duration::from_millis(400);
/// The least urgent rank that engines know.
const LOWEST_PRIORITY: u8 = 9;
/// Time that a caller waits if it doesn't say.
const USUAL_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves one request.
pub(super) async fn serve(gateway: Arc<Gateway>, request: Request<Incoming>) -> Response<Body> {
    let call = match admit(&gateway, request).await {
        Ok(call) => call,
        Err(reason) => {
            gateway.metrics.requests.record_refusal(reason);
            let after = matches!(reason, Reason::NoDocument | Reason::StoreUnavailable);
            return problem_response(reason, Outcome::NotRun, after.then_some(RETRY_AFTER));
        }
    };
    gateway.fleet().budget(&call.service).deposit();
    let service = call.service.clone();
    let response = if call.route.kind.is_stream() {
        stream::serve(&gateway, call).await
    } else {
        plain::serve(&gateway, &call).await
    };
    if response.status().is_success() {
        gateway
            .metrics
            .requests
            .record_request(service.as_str(), Outcome::Answered);
    }
    response
}

/// Tells the caller that there is no answer.
pub(super) fn refuse(gateway: &Arc<Gateway>, call: &Call, next: NextStep) -> Response<Body> {
    let (reason, outcome) = match next {
        NextStep::Refuse(reason) => (reason, Outcome::NotRun),
        NextStep::Fail(reason) => (reason, Outcome::Unknown),
        NextStep::Retry | NextStep::ForwardFailure => (Reason::BackendFailed, Outcome::Unknown),
    };
    let now = gateway.now();
    log::info!(
        request:% = call.head.id,
        service:% = call.service,
        reason:% = reason,
        outcome:% = outcome,
        waited_ms = now.since(call.received).as_millis() as u64,
        left_ms = call.left(now).as_millis() as u64;
        "request_refused"
    );
    gateway.metrics.requests.record_refusal(reason);
    gateway
        .metrics
        .requests
        .record_request(call.service.as_str(), outcome);
    let after = (outcome == Outcome::NotRun).then(|| find_return(reason, call.left(now)));
    problem_response(reason, outcome, after)
}

/// When the caller of a request that did not run should come back.
fn find_return(reason: Reason, left: Duration) -> Duration {
    let cause = match reason {
        Reason::QueueFull | Reason::ShareExceeded => retry_after::RefusalCause::Overloaded,
        Reason::NoReplica | Reason::Draining => retry_after::RefusalCause::Closed,
        _ => retry_after::RefusalCause::Failure,
    };
    retry_after::find_retry_delay(cause, left, rand::random())
}

async fn admit(gateway: &Arc<Gateway>, request: Request<Incoming>) -> Result<Call, Reason> {
    let received = gateway.now();
    let (parts, body) = request.into_parts();
    let head = gateway.adapter.headers.decode_request(&parts.headers);
    let (config, certain, trusted) = {
        let view = gateway.view();
        let config = view.config().cloned().ok_or(Reason::NoDocument)?;
        (
            config,
            view.is_config_fresh(received),
            view.are_keys_usable(received),
        )
    };
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|h| h.to_str().ok())
        .unwrap_or_default();
    let Some(route) = config.find_route(host, parts.uri.path()) else {
        log::info!(request:% = head.id, version:% = config.version, certain; "route_unknown");
        return Err(unless(certain, Reason::UnknownRoute));
    };
    let owner = match find_owner(&config, route.public, head.key.as_deref()) {
        Ok(owner) => owner,
        Err(()) => {
            log::info!(request:% = head.id, version:% = config.version, certain; "key_unknown");
            return Err(unless(certain, Reason::Unauthorized));
        }
    };
    if owner.is_some() && !trusted {
        let age = gateway.view().config_age(received).unwrap_or_default();
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
    let body = match receive(body, &config).await {
        Ok(body) => body,
        Err(reason) => {
            log::info!(request:% = head.id, service:% = service, reason:% = reason; "body_refused");
            return Err(reason);
        }
    };
    let mut headers = parts.headers;
    strip_connection(&mut headers);
    let wait = head.timeout.unwrap_or(USUAL_TIMEOUT).min(route.timeout);
    Ok(Call {
        deadline: received + wait,
        received,
        version: config.version,
        head,
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        service,
        priority: Some(find_priority(route.priority, owner.as_ref())),
        organisation: owner.map(|o| o.organisation),
        route,
    })
}

/// Urgency at the engines: the organisation's rank goes before that of the route.
fn find_priority(route: u8, owner: Option<&KeyOwner>) -> u8 {
    let rank = owner.and_then(|o| o.priority).unwrap_or(route);
    rank.min(LOWEST_PRIORITY)
}

/// A refusal that is certain only if the configuration is fresh.
fn unless(certain: bool, reason: Reason) -> Reason {
    if certain {
        reason
    } else {
        Reason::StoreUnavailable
    }
}

/// The owner of the key, `None` if the request needs no key.
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

async fn receive(body: Incoming, config: &Config) -> Result<Bytes, Reason> {
    let limits = config.limits;
    let reading = Limited::new(body, limits.body_bytes).collect();
    match timeout(limits.receive_timeout, reading).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reason::BodyTooLarge),
        Ok(Err(_)) => Err(Reason::BadRequest),
        Err(_) => Err(Reason::SlowCaller),
    }
}
