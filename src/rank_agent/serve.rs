//! Answers the calls of other agents.

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
use tokio::net::TcpListener;

use super::Agent;
use super::roster::Push;
use crate::listener;
use crate::peer::LOADS_PATH;
use crate::peer::MAX_MESSAGE_BYTES;
use crate::peer::ORDER_PATH;
use crate::peer::PUSH_PATH;
use crate::peer::RelayedOrder;
use crate::peer::RelayedReply;
use crate::peer::STATE_PATH;

/// Starts to listen for other agents.
pub(super) async fn start(agent: &Arc<Agent>) -> std::io::Result<()> {
    let listener = TcpListener::bind(agent.settings.peers).await?;
    let agent = Arc::clone(agent);
    let calls = service_fn(move |request| answer(Arc::clone(&agent), request));
    tokio::spawn(listener::serve("agents", listener, calls));
    Ok(())
}

async fn answer(
    agent: Arc<Agent>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let path = request.uri().path().to_owned();
    let content = match Limited::new(request.into_body(), MAX_MESSAGE_BYTES)
        .collect()
        .await
    {
        Ok(whole) => whole.to_bytes(),
        Err(error) => {
            log::debug!(error:% = error; "agent_message_broken");
            return Ok(fail(StatusCode::BAD_REQUEST));
        }
    };
    let done = match path.as_str() {
        PUSH_PATH => take_push(&agent, &content),
        STATE_PATH => encode(&agent.engine.read_state(agent.own).await),
        LOADS_PATH => encode(&agent.roster().list_loads(agent.now())),
        ORDER_PATH => pass_order(&agent, &content).await,
        _ => Err(StatusCode::NOT_FOUND),
    };
    Ok(done.unwrap_or_else(fail))
}

fn take_push(agent: &Agent, content: &[u8]) -> Result<Response<Full<Bytes>>, StatusCode> {
    let push: Push = postcard::from_bytes(content).map_err(|_| StatusCode::BAD_REQUEST)?;
    let now = agent.now();
    agent.roster().hear(push, now);
    encode(&())
}

async fn pass_order(agent: &Agent, content: &[u8]) -> Result<Response<Full<Bytes>>, StatusCode> {
    let passed: RelayedOrder =
        postcard::from_bytes(content).map_err(|_| StatusCode::BAD_REQUEST)?;
    let order = agent.maps().expand(passed);
    let reply = match order {
        Some(order) => RelayedReply::Answered(agent.engine.send_order(agent.own, &order).await),
        None => RelayedReply::NoBase,
    };
    encode(&reply)
}

fn encode<Answer>(answer: &Answer) -> Result<Response<Full<Bytes>>, StatusCode>
where
    Answer: Serialize,
{
    let bytes = postcard::to_stdvec(answer).map_err(|_| StatusCode::INTERNAL_SERVER_ERROR)?;
    Ok(Response::new(Full::new(bytes.into())))
}

fn fail(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
