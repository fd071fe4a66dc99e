//! Keeps the connection to one agent and asks agents for their status.

use std::net::SocketAddr;
use std::sync::Arc;

use quinn::Connection;
use quinn::RecvStream;
use quinn::SendStream;

use siskinbend_control::membership::Report;
use siskinbend_types::AgentId;
use siskinbend_types::Time;
use siskinbend_wire::FrameError;
use siskinbend_wire::Hello;
use siskinbend_wire::Message;
use siskinbend_wire::Receiver;
use siskinbend_wire::Sender;
use siskinbend_wire::Status;

use super::Entry;
use crate::exchange;
use crate::exchange::NO_REQUEST;
use crate::limits;

/// Connects to an agent again and again until its VM is gone, while it is in this entry's subset.
pub(super) async fn keep(entry: Arc<Entry>, address: SocketAddr) {
    let mut changed = entry.fleet.changed.subscribe();
    let mut pause = limits::MIN_RECONNECT_DELAY;
    let mut failures = 0;
    // Entries are on the platform's list too, and nothing answers at their address.
    let mut longest = limits::MAX_UNSEEN_RETRY_DELAY;
    while entry.fleet.is_wanted(address) {
        if !entry.fleet.is_chosen(address) {
            // The timeout notices a VM that is gone; an error can't happen while the entry lives.
            let _ = tokio::time::timeout(limits::SUBSET_CHECK_INTERVAL, changed.changed()).await;
            continue;
        }
        match entry.fleet.dialer.connect(address).await {
            Ok(connection) => {
                hold(&entry, &connection).await;
                (pause, failures) = (limits::MIN_RECONNECT_DELAY, 0);
                longest = limits::MAX_RECONNECT_DELAY;
            }
            Err(error) => {
                log::debug!(address:% = address, error:% = error; "agent_unreachable");
                pause = (pause * 2).min(longest);
                failures += 1;
            }
        }
        if failures == limits::MAX_DIAL_FAILURES {
            entry.fleet.forget(address);
        }
        // Jitter keeps entries from connecting all at once after a switch has failed.
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.5..1.5))).await;
    }
    entry.fleet.forget(address);
    log::info!(address:% = address; "agent_forgotten");
}

/// Uses a connection until it is lost or the agent leaves the subset. Streams of requests keep a
/// connection open that is no longer used for new ones.
async fn hold(entry: &Arc<Entry>, connection: &Connection) {
    let address = connection.remote_address();
    tokio::select! {
        error = watch(entry, connection) => {
            if let Some(error) = error {
                log::warn!(address:% = address, error:% = error; "agent_lost");
            }
        }
        () = answer(entry, connection) => log::warn!(address:% = address; "agent_lost"),
        () = wait_displaced(entry, address) => log::info!(address:% = address; "agent_parked"),
    }
    entry.document_sync.remove_peer(connection);
    entry.fleet.remove(connection);
}

/// Waits until an agent is no longer in this entry's subset.
async fn wait_displaced(entry: &Entry, address: SocketAddr) {
    let mut changed = entry.fleet.changed.subscribe();
    while entry.fleet.is_chosen(address) {
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// Reads what an agent announces until the connection is lost; `None` if the agent is not in this
/// entry's subset.
async fn watch(entry: &Arc<Entry>, connection: &Connection) -> Option<FrameError> {
    let opened = entry.clock.now();
    let Ok(stream) = connection.accept_uni().await else {
        return Some(FrameError::Lost);
    };
    let mut receiver = Receiver::new(Some(NO_REQUEST), stream);
    let hello = match receiver.receive().await {
        Ok(Message::Hello(hello)) => hello,
        Ok(_) => return Some(FrameError::Truncated),
        Err(error) => return Some(error),
    };
    if !entry.fleet.learn(connection.remote_address(), &hello) {
        return None;
    }
    log::info!(
        agent:% = hello.agent, service:% = hello.service, zone:% = hello.zone,
        incarnation:% = hello.status.incarnation;
        "agent_connected"
    );
    entry
        .fleet
        .add(connection, &hello, opened, entry.clock.now());
    entry.document_sync.add_peer(connection);
    observe(entry, connection, &hello, &hello.status);
    loop {
        match receiver.receive().await {
            Ok(Message::Report(status)) => {
                if status.draining {
                    log::info!(agent:% = hello.agent; "agent_draining");
                }
                observe(entry, connection, &hello, &status);
            }
            Ok(_) => return Some(FrameError::Truncated),
            Err(error) => return Some(error),
        }
    }
}

fn observe(entry: &Arc<Entry>, connection: &Connection, hello: &Hello, status: &Status) {
    entry.fleet.observe(&hello.agent, status, entry.clock.now());
    entry
        .document_sync
        .record_version(connection.remote_address(), status.newest);
}

/// Answers the agent's questions about documents until the connection is lost.
async fn answer(entry: &Arc<Entry>, connection: &Connection) {
    let from = connection.remote_address();
    while let Ok((send, receive)) = connection.accept_bi().await {
        tokio::spawn(answer_one(Arc::clone(entry), from, send, receive));
    }
}

async fn answer_one(entry: Arc<Entry>, from: SocketAddr, send: SendStream, receive: RecvStream) {
    let mut sender = Sender::new(NO_REQUEST, send);
    match Receiver::new(Some(NO_REQUEST), receive).receive().await {
        Ok(Message::Beacon(newest)) => {
            exchange::reply(sender, entry.document_sync.answer_beacon(from, newest)).await;
        }
        Ok(Message::Fetch(wanted)) => entry.document_sync.serve_fetch(wanted, sender).await,
        Ok(_) => sender.reset(),
        Err(error) => log::debug!(error:% = error; "stream_rejected"),
    }
}

/// Sends probes to agents that were not heard from lately.
pub(super) async fn probe(entry: Arc<Entry>) {
    let mut ticks = tokio::time::interval(limits::PROBE_CHECK_INTERVAL);
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
    let alive_after = entry.clock.now();
    let answer = exchange::call(&connection, NO_REQUEST, &Message::Probe).await;
    if let Some(Message::Report(status)) = answer {
        entry
            .fleet
            .confirm(&name, &status, alive_after, entry.clock.now());
        entry
            .document_sync
            .record_version(connection.remote_address(), status.newest);
    }
}

/// Builds the report of an agent for the membership.
pub(super) fn build_report(
    from: SocketAddr,
    hello: &Hello,
    status: &Status,
    alive_after: Time,
) -> Report {
    Report {
        address: from,
        zone: hello.zone.clone(),
        agent: hello.agent.clone(),
        incarnation: status.incarnation,
        service: hello.service.clone(),
        draining: status.draining,
        alive_after,
    }
}
