//! UDP relay between an entry and an agent that injects faults.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::UdpSocket;

/// Maximum size of a forwarded datagram.
const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Faults of one direction.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fault {
    pub blocked: bool,
    pub delay: Duration,
    /// One in this many datagrams is sent twice; 0 for none.
    pub duplicate_every: u64,
    /// One in this many datagrams is delayed by `reorder_delay`; 0 for none.
    pub reorder_every: u64,
    pub reorder_delay: Duration,
    /// One in this many datagrams is dropped; 0 for none.
    pub drop_every: u64,
}

/// Faults of both directions.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub to_agent: Fault,
    pub to_entry: Fault,
}

struct State {
    faults: Mutex<Faults>,
    received: AtomicU64,
}

/// A running relay.
pub struct Relay {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Relay {
    /// Starts a relay to `agent`, which runs until the runtime of the test stops.
    pub async fn start(agent: SocketAddr) -> Self {
        let entry_socket = Arc::new(bind().await);
        let address = entry_socket.local_addr().expect("the socket is bound");
        let state = Arc::new(State {
            faults: Mutex::default(),
            received: AtomicU64::new(0),
        });
        tokio::spawn(forward_to_agent(entry_socket, agent, Arc::clone(&state)));
        Self { address, state }
    }

    pub fn set_faults(&self, faults: Faults) {
        *self.state.faults.lock().expect("no holder panics") = faults;
    }

    /// Forwards all datagrams unchanged from now on.
    pub fn clear_faults(&self) {
        self.set_faults(Faults::default());
    }
}

async fn bind() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("a port is free")
}

async fn forward_to_agent(entry_socket: Arc<UdpSocket>, agent: SocketAddr, state: Arc<State>) {
    let mut agent_sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // An error means that no receiver was found for an earlier datagram.
        let Ok((length, from)) = entry_socket.recv_from(&mut buffer).await else {
            continue;
        };
        let agent_socket = match agent_sockets.get(&from) {
            Some(agent_socket) => Arc::clone(agent_socket),
            None => Arc::new(bind().await),
        };
        if agent_sockets
            .insert(from, Arc::clone(&agent_socket))
            .is_none()
        {
            let return_path = forward_to_entry(
                Arc::clone(&entry_socket),
                agent_socket,
                from,
                Arc::clone(&state),
            );
            tokio::spawn(return_path);
        }
        let fault = state.faults.lock().expect("no holder panics").to_agent;
        forward(
            &state,
            fault,
            &agent_sockets[&from],
            agent,
            &buffer[..length],
        );
    }
}

async fn forward_to_entry(
    entry_socket: Arc<UdpSocket>,
    agent_socket: Arc<UdpSocket>,
    entry: SocketAddr,
    state: Arc<State>,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok(length) = agent_socket.recv(&mut buffer).await else {
            continue;
        };
        let fault = state.faults.lock().expect("no holder panics").to_entry;
        forward(&state, fault, &entry_socket, entry, &buffer[..length]);
    }
}

fn forward(state: &State, fault: Fault, socket: &Arc<UdpSocket>, to: SocketAddr, bytes: &[u8]) {
    let number = state.received.fetch_add(1, Ordering::Relaxed) + 1;
    let applies = |every: u64| every > 0 && number.is_multiple_of(every);
    if fault.blocked || applies(fault.drop_every) {
        return;
    }
    let extra_delay = if applies(fault.reorder_every) {
        fault.reorder_delay
    } else {
        Duration::ZERO
    };
    for _ in 0..if applies(fault.duplicate_every) { 2 } else { 1 } {
        let (socket, bytes) = (Arc::clone(socket), bytes.to_vec());
        tokio::spawn(async move {
            let delay = fault.delay + extra_delay;
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            // QUIC retransmits what a lost datagram contained.
            let _ = socket.send_to(&bytes, to).await;
        });
    }
}
