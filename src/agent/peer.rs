//! Accepts connections of peers and serves their streams.

use std::sync::Arc;

use quinn::Connection;
use quinn::Endpoint;
use quinn::Incoming;
use quinn::RecvStream;
use quinn::SendStream;
use tokio_util::task::TaskTracker;

use siskinbend_wire::FrameError;
use siskinbend_wire::Message;
use siskinbend_wire::Receiver;
use siskinbend_wire::Sender;

use super::Agent;
use super::attempt;
use crate::exchange;
use crate::exchange::NO_REQUEST;

/// Accepts connections until the endpoint is closed.
pub(super) async fn accept(agent: Arc<Agent>, endpoint: Endpoint, tasks: TaskTracker) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(serve(Arc::clone(&agent), incoming, tasks.clone()));
    }
}

async fn serve(agent: Arc<Agent>, incoming: Incoming, tasks: TaskTracker) {
    let from = incoming.remote_address();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            log::warn!(peer:% = from, error:% = error; "peer_rejected");
            return;
        }
    };
    log::debug!(peer:% = from; "peer_connected");
    let announcement = tokio::spawn(announce(Arc::clone(&agent), connection.clone()));
    serve_streams(agent, connection, tasks).await;
    announcement.abort();
    log::debug!(peer:% = from; "peer_left");
}

/// Serves the streams of a connection until the connection is lost.
pub(super) async fn serve_streams(agent: Arc<Agent>, connection: Connection, tasks: TaskTracker) {
    agent.document_sync.add_peer(&connection);
    while let Ok((send, receive)) = connection.accept_bi().await {
        let connection = connection.clone();
        tasks.spawn(serve_stream(Arc::clone(&agent), connection, send, receive));
    }
    agent.document_sync.remove_peer(&connection);
    agent.unregister_entry(&connection);
}

/// Sends the agent's hello, and its status again after each change that peers need at once.
async fn announce(agent: Arc<Agent>, connection: Connection) -> Result<(), FrameError> {
    let mut changed = agent.status_changed.subscribe();
    let stream = connection.open_uni().await.map_err(|_| FrameError::Lost)?;
    let mut sender = Sender::new(NO_REQUEST, stream);
    sender.send(&[Message::Hello(agent.build_hello())]).await?;
    while changed.changed().await.is_ok() {
        sender.send(&[Message::Report(agent.status())]).await?;
    }
    Ok(())
}

async fn serve_stream(
    agent: Arc<Agent>,
    connection: Connection,
    send: SendStream,
    receive: RecvStream,
) {
    let mut receiver = Receiver::new(None, receive);
    let first = match receiver.receive().await {
        Ok(message) => message,
        Err(error) => {
            log::debug!(error:% = error; "stream_rejected");
            return;
        }
    };
    let id = receiver.id().unwrap_or(NO_REQUEST);
    let mut sender = Sender::new(id, send);
    let now = agent.clock.now();
    let answer = match first {
        Message::Dispatch(dispatch) => {
            agent.register_entry(&connection);
            attempt::serve(&agent, id, dispatch, sender, receiver).await;
            return;
        }
        Message::Cancel(attempt) if attempt.id == id => {
            Message::CancelState(agent.scheduler.cancel(&attempt, now))
        }
        Message::Lookup(attempt, owner) if attempt.id == id => {
            Message::Found(agent.scheduler.lookup(&attempt, &owner, now))
        }
        Message::Probe => {
            agent.register_entry(&connection);
            Message::Report(agent.status())
        }
        Message::Beacon(newest) => {
            let from = connection.remote_address();
            agent.document_sync.answer_beacon(from, newest)
        }
        Message::Fetch(wanted) => return agent.document_sync.serve_fetch(wanted, sender).await,
        Message::Group(bytes) if agent.group.is_some() => {
            if let Some(group) = &agent.group {
                group.receive(&bytes, connection);
            }
            return;
        }
        _ => {
            log::warn!(request:% = id; "unexpected_frame");
            sender.reset();
            return;
        }
    };
    exchange::reply(sender, answer).await;
}
