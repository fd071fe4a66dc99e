//! Server for the calls of other processes to an agent.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::service::service_fn;
use serde::Serialize;
use siskinbend_groups::directory::DirectoryQuery;
use siskinbend_groups::report::ReportBundle;
use tokio::net::TcpListener;

use super::Agent;
use super::limits;
use super::relay;
use crate::listener;
use crate::peer::DIRECTORY_PATH;
use crate::peer::LIMITS_PATH;
use crate::peer::LOADS_PATH;
use crate::peer::MAX_MESSAGE_BYTES;
use crate::peer::PUSH_PATH;
use crate::peer::RELAY_PATH;
use crate::peer::RelayMessage;

/// Binds the agent's address and starts serving.
pub(super) async fn start(agent: &Arc<Agent>) -> std::io::Result<()> {
    let listener = TcpListener::bind(agent.settings.peers).await?;
    let agent = Arc::clone(agent);
    let service = service_fn(move |request| handle(Arc::clone(&agent), request));
    tokio::spawn(listener::serve("agents", listener, service));
    Ok(())
}

async fn handle(
    agent: Arc<Agent>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path().to_owned();
    let content = match Limited::new(request.into_body(), MAX_MESSAGE_BYTES)
        .collect()
        .await
    {
        Ok(collected) => collected.to_bytes(),
        Err(error) => {
            log::debug!(error:% = error; "agent_message_broken");
            return Ok(error_response(StatusCode::BAD_REQUEST));
        }
    };
    let result = match path.as_str() {
        PUSH_PATH => handle_report(&agent, &content),
        LOADS_PATH => encode(&agent.group_view().find_loads(agent.now())),
        DIRECTORY_PATH => handle_directory_query(&agent, &content),
        LIMITS_PATH => encode(&limits::find(&agent).await),
        RELAY_PATH => relay(&agent, &content).await,
        _ => Err(StatusCode::NOT_FOUND),
    };
    Ok(result.unwrap_or_else(error_response))
}

/// Receives reports, and answers with the loads of the group if they are wanted and known.
fn handle_report(agent: &Agent, content: &[u8]) -> Result<Response<Full<Bytes>>, StatusCode> {
    let bundle: ReportBundle =
        postcard::from_bytes(content).map_err(|_| StatusCode::BAD_REQUEST)?;
    let now = agent.now();
    let mut view = agent.group_view();
    let wants_loads = bundle.wants_loads;
    if !view.receive(bundle, now) {
        // The sender's directory is outdated: this rank has joined another group.
        return Err(StatusCode::CONFLICT);
    }
    let loads = if wants_loads {
        view.find_loads(now)
    } else {
        None
    };
    encode(&loads)
}

fn handle_directory_query(
    agent: &Agent,
    content: &[u8],
) -> Result<Response<Full<Bytes>>, StatusCode> {
    let query: DirectoryQuery =
        postcard::from_bytes(content).map_err(|_| StatusCode::BAD_REQUEST)?;
    encode(&agent.group_view().answer_directory(query))
}

async fn relay(agent: &Arc<Agent>, content: &[u8]) -> Result<Response<Full<Bytes>>, StatusCode> {
    let message: RelayMessage =
        postcard::from_bytes(content).map_err(|_| StatusCode::BAD_REQUEST)?;
    encode(&relay::execute(agent, message).await)
}

fn encode<Content>(content: &Content) -> Result<Response<Full<Bytes>>, StatusCode>
where
    Content: Serialize,
{
    let bytes = postcard::to_stdvec(content).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
    Ok(Response::new(Full::new(bytes.into())))
}

fn error_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
