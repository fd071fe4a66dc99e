//! Keeps the connection to one agent and asks agents for their status.

use std::net::SocketAddr;
use std::sync::Arc;

use quinn::Connection;

use siskinbend_types::AgentId;
use siskinbend_types::RequestId;
use siskinbend_wire::FrameError;
use siskinbend_wire::Message;
use siskinbend_wire::Receiver;
use siskinbend_wire::Sender;
use siskinbend_wire::transport;

use super::Entry;
use crate::limits;

/// Id of frames that belong to no request.
const NO_REQUEST: RequestId = RequestId(0);

/// Connects to an agent again and again until the entry stops.
pub(super) async fn keep(entry: Arc<Entry>, name: AgentId, address: SocketAddr) {
    let mut pause = limits::RECONNECT_MIN;
    loop {
        match transport::connect(&entry.fleet.endpoint, address).await {
            Ok(connection) => {
                let error = watch(&entry, &name, connection).await;
                entry.fleet.remove(&name);
                log::warn!(agent:% = name, address:% = address, error:% = error; "agent_lost");
                pause = limits::RECONNECT_MIN;
            }
            Err(error) => {
                log::debug!(agent:% = name, error:% = error; "agent_unreachable");
                pause = (pause * 2).min(limits::RECONNECT_MAX);
            }
        }
        // Jitter keeps entries from connecting all at once after a switch has failed.
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
    }
}

/// Reads what an agent announces until the connection is lost.
async fn watch(entry: &Entry, name: &AgentId, connection: Connection) -> FrameError {
    let stream = match connection.accept_uni().await {
        Ok(stream) => stream,
        Err(_) => return FrameError::Lost,
    };
    let mut receiver = Receiver::new(Some(NO_REQUEST), stream);
    loop {
        match receiver.receive().await {
            Ok(Message::Hello(hello)) if hello.agent == *name => {
                log::info!(
                    agent:% = name, service:% = hello.service, zone:% = hello.zone,
                    incarnation:% = hello.status.incarnation;
                    "agent_connected"
                );
                entry
                    .fleet
                    .add(name, connection.clone(), hello.service, hello.zone);
                entry.fleet.observe(name, &hello.status, entry.clock.now());
            }
            Ok(Message::Report(status)) => {
                if status.draining {
                    log::info!(agent:% = name; "agent_draining");
                }
                entry.fleet.observe(name, &status, entry.clock.now());
            }
            Ok(_) => return FrameError::Truncated,
            Err(error) => return error,
        }
    }
}

/// Sends probes to agents that were not heard from lately.
pub(super) async fn probe(entry: Arc<Entry>) {
    let mut ticks = tokio::time::interval(limits::PROBE_TICK);
    loop {
        ticks.tick().await;
        for name in entry.fleet.find_probes(entry.clock.now()) {
            tokio::spawn(probe_one(Arc::clone(&entry), name));
        }
    }
}

async fn probe_one(entry: Arc<Entry>, name: AgentId) {
    let Some(connection) = entry.fleet.find_connection(&name) else {
        return;
    };
    let question = Message::Probe(entry.active.newest());
    if let Some(Message::Report(status)) = ask(&connection, NO_REQUEST, &question).await {
        entry.fleet.observe(&name, &status, entry.clock.now());
    }
}

/// Sends one message on a stream of its own and waits a bounded time for the answer.
pub(super) async fn ask(
    connection: &Connection,
    id: RequestId,
    question: &Message,
) -> Option<Message> {
    let exchange = async {
        let (send, receive) = connection.open_bi().await.ok()?;
        let mut sender = Sender::new(id, send);
        sender.send(std::slice::from_ref(question)).await.ok()?;
        Receiver::new(Some(id), receive).receive().await.ok()
    };
    tokio::time::timeout(limits::CONTROL_TIMEOUT, exchange)
        .await
        .ok()
        .flatten()
}
