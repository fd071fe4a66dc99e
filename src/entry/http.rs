//! Validates the HTTP requests of callers and converts them to calls.

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
use super::driver;
use super::driver::BackendRequest;
use super::problem;
use super::response::ResponseSender;
use crate::limits;

/// Path prefix of all services.
const SERVICES_PREFIX: &str = "/v1/services/";

/// Organisation, service and route that the token and path of a request match.
struct MatchedRoute<'doc> {
    organisation: &'doc Organisation,
    service: &'doc Service,
    route: &'doc Route,
    /// Path and query of the request to the backend server.
    path: SmolStr,
}

/// Builds the router for one connection.
pub(super) fn build_router(entry: Arc<Entry>) -> Router {
    Router::new().fallback(serve).with_state(entry)
}

async fn serve(State(entry): State<Arc<Entry>>, request: Request<Body>) -> Response<Body> {
    let id = RequestId(rand::random());
    match build_call(&entry, id, request).await {
        Ok((spec, backend_request)) => {
            let (sender, response) = ResponseSender::channel(id);
            entry.requests.spawn(driver::drive(
                Arc::clone(&entry),
                spec,
                backend_request,
                sender,
            ));
            let driver_failed = || problem::build(id, Outcome::Unknown, Reason::BackendFailed);
            response.await.unwrap_or_else(|_| driver_failed())
        }
        Err(reason) => {
            entry.metrics.requests.record_refusal(reason);
            log::info!(request:% = id, reason:% = reason, outcome = "not_run"; "request_refused");
            problem::build(id, Outcome::NotRun, reason)
        }
    }
}

async fn build_call(
    entry: &Entry,
    id: RequestId,
    request: Request<Body>,
) -> Result<(CallSpec, BackendRequest), Reason> {
    if entry.shutdown.is_draining() && entry.requests.is_closed() {
        return Err(Reason::Draining);
    }
    let document = entry.active.document().ok_or(Reason::NoDocument)?;
    let (parts, body) = request.into_parts();
    let matched = match_route(&document, &parts)?;
    let now = entry.clock.now();
    if !entry.fleet.admit(
        &matched.organisation.name,
        matched.organisation.rate_limit,
        now,
    ) {
        return Err(Reason::RateLimited);
    }
    let priority = parse_header(&parts.headers, "siskinbend-priority")?.unwrap_or_default();
    let timeout = read_timeout(&parts.headers, matched.route)?;
    let deadline = entry.clock.now() + timeout;
    let body = read_body(body, matched.route).await?;
    let key = read_key(&parts.headers, matched.route, &body)?;
    let prefix = matches!(matched.service.kind, ServiceKind::Model).then(|| hash_prefix(&body));
    let spec = CallSpec {
        id,
        organisation: matched.organisation.name.clone(),
        service: matched.service.name.clone(),
        idempotent: matched.route.idempotent,
        key,
        deadline,
        stall_timeout: Duration::from_millis(matched.route.stall_ms),
        max_attempts: limits::MAX_ATTEMPTS,
        // Agents don't retain interrupted streams yet; an interrupted stream ends with an error.
        resumable: false,
    };
    let content_type = read_text_header(&parts.headers, CONTENT_TYPE.as_str())?.unwrap_or_default();
    let backend_request = BackendRequest {
        method: SmolStr::new(parts.method.as_str()),
        path: matched.path,
        content_type: SmolStr::new(content_type),
        priority,
        prefix,
        body,
    };
    Ok((spec, backend_request))
}

/// Finds the organisation, service and route of a request. The token is checked first, so that an
/// unauthenticated caller can't find out which services exist.
fn match_route<'doc>(
    document: &'doc Document,
    parts: &Parts,
) -> Result<MatchedRoute<'doc>, Reason> {
    let token = read_text_header(&parts.headers, AUTHORIZATION.as_str())
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
        .strip_prefix(SERVICES_PREFIX)
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
    Ok(MatchedRoute {
        organisation,
        service,
        route,
        path,
    })
}

fn read_text_header<'head>(
    headers: &'head HeaderMap,
    name: &str,
) -> Result<Option<&'head str>, Reason> {
    match headers.get(name) {
        Some(value) => value.to_str().map(Some).map_err(|_| Reason::BadRequest),
        None => Ok(None),
    }
}

fn parse_header<T>(headers: &HeaderMap, name: &str) -> Result<Option<T>, Reason>
where
    T: std::str::FromStr,
{
    let text = read_text_header(headers, name)?;
    text.map(|t| t.parse().map_err(|_| Reason::BadRequest))
        .transpose()
}

/// Returns the timeout that the caller requests, limited to the timeout of the route.
fn read_timeout(headers: &HeaderMap, route: &Route) -> Result<Duration, Reason> {
    let requested: Option<u64> = parse_header(headers, "siskinbend-deadline-ms")?;
    let millis = requested.unwrap_or(route.timeout_ms).min(route.timeout_ms);
    Ok(Duration::from_millis(
        millis.min(u64::from(limits::MAX_DEADLINE_MS)),
    ))
}

async fn read_body(body: Body, route: &Route) -> Result<Bytes, Reason> {
    let limit = usize::try_from(route.body_limit.0).unwrap_or(usize::MAX);
    let read = Limited::new(body, limit).collect();
    match tokio::time::timeout(limits::BODY_TIMEOUT, read).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reason::BodyTooLarge),
        Ok(Err(_)) => Err(Reason::BadRequest),
        Err(_) => Err(Reason::SlowCaller),
    }
}

/// Returns the idempotency key of a call. The key is ignored on idempotent routes, whose calls need
/// no claim.
fn read_key(
    headers: &HeaderMap,
    route: &Route,
    body: &[u8],
) -> Result<Option<IdempotencyKey>, Reason> {
    let text = read_text_header(headers, "idempotency-key")?;
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

/// Returns a digest of route and body, because an idempotency key is valid for one route and body.
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
    let prefix = &body[..body.len().min(limits::PREFIX_BYTES)];
    let digest = Sha256::digest(prefix);
    let mut word = [0; 8];
    word.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(word)
}
