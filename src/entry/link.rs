//! Maintains the connections to agents and probes their status.

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

/// Keeps an agent connected while it is in this entry's subset; returns when its VM is gone.
pub(super) async fn maintain(entry: Arc<Entry>, address: SocketAddr) {
    let mut changed = entry.fleet.subset_changed.subscribe();
    let mut delay = limits::MIN_RECONNECT_DELAY;
    let mut failures = 0;
    // The platform's list also contains the VMs of entries, which accept no connections. Addresses
    // that never answered are retried more rarely.
    let mut max_delay = limits::MAX_UNSEEN_RETRY_DELAY;
    while entry.fleet.is_known_address(address) {
        if !entry.fleet.should_connect(address) {
            // The timeout is for detecting a VM that is gone. The channel can't close, because the
            // entry owns the sender.
            let _ = tokio::time::timeout(limits::SUBSET_CHECK_INTERVAL, changed.changed()).await;
            continue;
        }
        match entry.fleet.dialer.connect(address).await {
            Ok(connection) => {
                run_connection(&entry, &connection).await;
                (delay, failures) = (limits::MIN_RECONNECT_DELAY, 0);
                max_delay = limits::MAX_RECONNECT_DELAY;
            }
            Err(error) => {
                log::debug!(address:% = address, error:% = error; "agent_unreachable");
                delay = (delay * 2).min(max_delay);
                failures += 1;
            }
        }
        if failures == limits::MAX_DIAL_FAILURES {
            entry.fleet.remove_from_directory(address);
        }
        // Jitter prevents all entries from reconnecting at once after the failure of a network
        // switch.
        tokio::time::sleep(delay.mul_f64(rand::random_range(0.5..1.5))).await;
    }
    entry.fleet.remove_from_directory(address);
    log::info!(address:% = address; "agent_forgotten");
}

/// Uses a connection until it is lost or the agent leaves the subset. After that, requests in
/// flight keep the connection open, but new ones don't use it.
async fn run_connection(entry: &Arc<Entry>, connection: &Connection) {
    let address = connection.remote_address();
    tokio::select! {
        error = read_reports(entry, connection) => {
            if let Some(error) = error {
                log::warn!(address:% = address, error:% = error; "agent_lost");
            }
        }
        () = serve_requests(entry, connection) => log::warn!(address:% = address; "agent_lost"),
        () = wait_subset_exit(entry, address) => log::info!(address:% = address; "agent_parked"),
    }
    entry.document_sync.remove_peer(connection);
    entry.fleet.remove_link(connection);
}

/// Waits until an agent leaves this entry's subset.
async fn wait_subset_exit(entry: &Entry, address: SocketAddr) {
    let mut changed = entry.fleet.subset_changed.subscribe();
    while entry.fleet.should_connect(address) {
        if changed.changed().await.is_err() {
            return;
        }
    }
}

/// Reads the hello and status reports of an agent until the connection fails. Returns `None` if the
/// agent is not in this entry's subset.
async fn read_reports(entry: &Arc<Entry>, connection: &Connection) -> Option<FrameError> {
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
    if !entry
        .fleet
        .update_directory(connection.remote_address(), &hello)
    {
        return None;
    }
    log::info!(
        agent:% = hello.agent, service:% = hello.service, zone:% = hello.zone,
        incarnation:% = hello.status.incarnation;
        "agent_connected"
    );
    entry
        .fleet
        .add_link(connection, &hello, opened, entry.clock.now());
    entry.document_sync.add_peer(connection);
    record_status(entry, connection, &hello, &hello.status);
    loop {
        match receiver.receive().await {
            Ok(Message::Report(status)) => {
                if status.draining {
                    log::info!(agent:% = hello.agent; "agent_draining");
                }
                record_status(entry, connection, &hello, &status);
            }
            Ok(_) => return Some(FrameError::Truncated),
            Err(error) => return Some(error),
        }
    }
}

fn record_status(entry: &Arc<Entry>, connection: &Connection, hello: &Hello, status: &Status) {
    entry.fleet.observe(&hello.agent, status, entry.clock.now());
    entry
        .document_sync
        .record_version(connection.remote_address(), status.newest);
}

/// Serves the agent's requests for documents until the connection is lost.
async fn serve_requests(entry: &Arc<Entry>, connection: &Connection) {
    let from = connection.remote_address();
    while let Ok((send, receive)) = connection.accept_bi().await {
        tokio::spawn(serve_request(Arc::clone(entry), from, send, receive));
    }
}

async fn serve_request(entry: Arc<Entry>, from: SocketAddr, send: SendStream, receive: RecvStream) {
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

/// Probes the agents whose last status is too old.
pub(super) async fn run_probes(entry: Arc<Entry>) {
    let mut ticks = tokio::time::interval(limits::PROBE_CHECK_INTERVAL);
    loop {
        ticks.tick().await;
        for name in entry.fleet.take_due_probes(entry.clock.now()) {
            tokio::spawn(probe_agent(Arc::clone(&entry), name));
        }
    }
}

async fn probe_agent(entry: Arc<Entry>, name: AgentId) {
    let Some(connection) = entry.fleet.find_connection(&name) else {
        return;
    };
    let alive_after = entry.clock.now();
    let reply = exchange::call(&connection, NO_REQUEST, &Message::Probe).await;
    if let Some(Message::Report(status)) = reply {
        entry
            .fleet
            .record_probe_reply(&name, &status, alive_after, entry.clock.now());
        entry
            .document_sync
            .record_version(connection.remote_address(), status.newest);
    }
}

/// Builds a membership report from the hello and status of an agent.
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
