//! Checks a caller's request and turns it into a call.

use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::body::Bytes;
use axum::extract::State;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::header::AUTHORIZATION;
use http::header::CONTENT_TYPE;
use http::request::Parts;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use sha2::Digest as _;
use sha2::Sha256;
use smol_str::SmolStr;
use smol_str::format_smolstr;

use siskinbend_document::Document;
use siskinbend_document::OnOutage as RouteOutage;
use siskinbend_document::Organisation;
use siskinbend_document::Route;
use siskinbend_document::Service;
use siskinbend_document::ServiceKind;
use siskinbend_request::CallSpec;
use siskinbend_request::IdempotencyKey;
use siskinbend_request::OnOutage;
use siskinbend_types::Digest;
use siskinbend_types::Outcome;
use siskinbend_types::Reason;
use siskinbend_types::RequestId;

use super::Entry;
use super::answer::Answer;
use super::driver;
use super::driver::Forward;
use super::problem;
use crate::limits;

/// Path under which services are called.
const SERVICES: &str = "/v1/services/";

/// What the path and the token say about a request.
struct Target<'doc> {
    organisation: &'doc Organisation,
    service: &'doc Service,
    route: &'doc Route,
    /// Path at the backend server, with the query.
    path: SmolStr,
}

/// Builds the router for one connection.
pub(super) fn build_router(entry: Arc<Entry>) -> Router {
    Router::new().fallback(serve).with_state(entry)
}

async fn serve(State(entry): State<Arc<Entry>>, request: Request<Body>) -> Response<Body> {
    let id = RequestId(rand::random());
    match admit(&entry, id, request).await {
        Ok((spec, forward)) => {
            let (answer, waiting) = Answer::open(id);
            entry
                .requests
                .spawn(driver::drive(Arc::clone(&entry), spec, forward, answer));
            let lost = || problem::build(id, Outcome::Unknown, Reason::BackendFailed);
            waiting.await.unwrap_or_else(|_| lost())
        }
        Err(reason) => {
            entry.metrics.requests.record_refusal(reason);
            log::info!(request:% = id, reason:% = reason, outcome = "not_run"; "request_refused");
            problem::build(id, Outcome::NotRun, reason)
        }
    }
}

async fn admit(
    entry: &Entry,
    id: RequestId,
    request: Request<Body>,
) -> Result<(CallSpec, Forward), Reason> {
    if entry.shutdown.is_draining() && entry.requests.is_closed() {
        return Err(Reason::Draining);
    }
    let document = entry.active.document().ok_or(Reason::NoDocument)?;
    let (parts, body) = request.into_parts();
    let target = find_target(&document, &parts)?;
    let now = entry.clock.now();
    if !entry.fleet.admit(
        &target.organisation.name,
        target.organisation.rate_limit,
        now,
    ) {
        return Err(Reason::RateLimited);
    }
    let priority = read_header(&parts.headers, "siskinbend-priority")?.unwrap_or_default();
    let timeout = read_timeout(&parts.headers, target.route)?;
    let deadline = entry.clock.now() + timeout;
    let body = read_body(body, target.route).await?;
    let key = read_key(&parts.headers, target.route, &body)?;
    let prefix = matches!(target.service.kind, ServiceKind::Model).then(|| hash_prefix(&body));
    let spec = CallSpec {
        id,
        organisation: target.organisation.name.clone(),
        service: target.service.name.clone(),
        idempotent: target.route.idempotent,
        key,
        deadline,
        stall_timeout: Duration::from_millis(target.route.stall_ms),
        max_attempts: limits::MAX_ATTEMPTS,
        // The agents don't hold broken streams yet; a broken stream ends as an error.
        resumable: false,
    };
    let content_type = read_text(&parts.headers, CONTENT_TYPE.as_str())?.unwrap_or_default();
    let forward = Forward {
        method: SmolStr::new(parts.method.as_str()),
        path: target.path,
        content_type: SmolStr::new(content_type),
        priority,
        prefix,
        body,
    };
    Ok((spec, forward))
}

/// Finds organisation, service and route; the token comes first, so that a stranger learns nothing.
fn find_target<'doc>(document: &'doc Document, parts: &Parts) -> Result<Target<'doc>, Reason> {
    let token = read_text(&parts.headers, AUTHORIZATION.as_str())
        .ok()
        .flatten()
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or(Reason::Unauthorized)?;
    let organisation = document
        .find_organisation(token)
        .ok_or(Reason::Unauthorized)?;
    let rest = parts
        .uri
        .path()
        .strip_prefix(SERVICES)
        .ok_or(Reason::UnknownService)?;
    let (name, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let service = document.find_service(name).ok_or(Reason::UnknownService)?;
    let route = service
        .find_route(parts.method.as_str(), path)
        .ok_or(Reason::UnknownRoute)?;
    let path = match parts.uri.query() {
        Some(query) => format_smolstr!("/v1{path}?{query}"),
        None => format_smolstr!("/v1{path}"),
    };
    Ok(Target {
        organisation,
        service,
        route,
        path,
    })
}

fn read_text<'head>(headers: &'head HeaderMap, name: &str) -> Result<Option<&'head str>, Reason> {
    match headers.get(name) {
        Some(value) => value.to_str().map(Some).map_err(|_| Reason::BadRequest),
        None => Ok(None),
    }
}

fn read_header<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Reason>
where
    T: std::str::FromStr,
{
    let text = read_text(headers, name)?;
    text.map(|t| t.parse().map_err(|_| Reason::BadRequest))
        .transpose()
}

/// The caller's deadline, but no longer than the route allows.
fn read_timeout(headers: &HeaderMap, route: &Route) -> Result<Duration, Reason> {
    let wanted: Option<u64> = read_header(headers, "siskinbend-deadline-ms")?;
    let millis = wanted.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    Ok(Duration::from_millis(
        millis.min(u64::from(limits::MAX_DEADLINE_MS)),
    ))
}

async fn read_body(body: Body, route: &Route) -> Result<Bytes, Reason> {
    let limit = usize::try_from(route.body_limit.0).unwrap_or(usize::MAX);
    let reading = Limited::new(body, limit).collect();
    match tokio::time::timeout(limits::BODY_TIMEOUT, reading).await {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reason::BodyTooLarge),
        Ok(Err(_)) => Err(Reason::BadRequest),
        Err(_) => Err(Reason::SlowCaller),
    }
}

/// The idempotency key of a call that may not be repeated; other calls need no claim.
fn read_key(
    headers: &HeaderMap,
    route: &Route,
    body: &[u8],
) -> Result<Option<IdempotencyKey>, Reason> {
    let text = read_text(headers, "idempotency-key")?;
    let Some(text) = text.filter(|_| !route.idempotent) else {
        return Ok(None);
    };
    if text.is_empty() || text.len() > limits::MAX_KEY_BYTES {
        return Err(Reason::BadRequest);
    }
    Ok(Some(IdempotencyKey {
        digest: Digest(Sha256::digest(text.as_bytes()).into()),
        body_digest: digest_call(route, body),
        on_outage: match route.on_outage {
            RouteOutage::Refuse => OnOutage::Refuse,
            RouteOutage::Run => OnOutage::Run,
        },
        retention: Duration::from_secs(route.key_retention_s),
    }))
}

/// A key belongs to one route and one body.
fn digest_call(route: &Route, body: &[u8]) -> Digest {
    let mut hash = Sha256::new();
    hash.update(route.method.as_str());
    hash.update([0]);
    hash.update(route.path.as_str());
    hash.update([0]);
    hash.update(body);
    Digest(hash.finalize().into())
}

fn hash_prefix(body: &[u8]) -> u64 {
    let start = &body[..body.len().min(limits::PREFIX_BYTES)];
    let digest = Sha256::digest(start);
    let mut word = [0; 8];
    word.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(word)
}
