//! UDP relay between an entry and an agent that damages what passes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::UdpSocket;

/// Largest datagram that passes.
const DATAGRAM: usize = 65_536;

/// What happens to the datagrams of one direction.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fault {
    pub blocked: bool,
    pub delay: Duration,
    /// Every so many datagrams one is sent twice; 0 for none.
    pub duplicate_every: u64,
    /// Every so many datagrams one is held back by `late`; 0 for none.
    pub reorder_every: u64,
    pub reorder_delay: Duration,
    /// Every so many datagrams one is lost; 0 for none.
    pub drop_every: u64,
}

/// Faults of both directions, as seen from the entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    pub to_agent: Fault,
    pub to_entry: Fault,
}

struct Way {
    faults: Mutex<Faults>,
    passed: AtomicU64,
}

/// A running relay.
pub struct Relay {
    pub address: SocketAddr,
    way: Arc<Way>,
}

impl Relay {
    /// Starts a relay to `agent`; it ends with the runtime of the test.
    pub async fn start(agent: SocketAddr) -> Self {
        let front = Arc::new(bind().await);
        let address = front.local_addr().expect("the socket is bound");
        let way = Arc::new(Way {
            faults: Mutex::default(),
            passed: AtomicU64::new(0),
        });
        tokio::spawn(pass_all(front, agent, Arc::clone(&way)));
        Self { address, way }
    }

    pub fn set_faults(&self, faults: Faults) {
        *self.way.faults.lock().expect("no holder panics") = faults;
    }

    /// Lets everything pass unchanged.
    pub fn clear_faults(&self) {
        self.set_faults(Faults::default());
    }
}

async fn bind() -> UdpSocket {
    UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("a port is free")
}

async fn pass_all(front: Arc<UdpSocket>, agent: SocketAddr, way: Arc<Way>) {
    let mut backs: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut buffer = vec![0; DATAGRAM];
    loop {
        // An error tells of an earlier datagram that found no receiver.
        let Ok((length, from)) = front.recv_from(&mut buffer).await else {
            continue;
        };
        let back = match backs.get(&from) {
            Some(back) => Arc::clone(back),
            None => Arc::new(bind().await),
        };
        if backs.insert(from, Arc::clone(&back)).is_none() {
            let returning = return_all(Arc::clone(&front), back, from, Arc::clone(&way));
            tokio::spawn(returning);
        }
        let fault = way.faults.lock().expect("no holder panics").to_agent;
        pass(&way, fault, &backs[&from], agent, &buffer[..length]);
    }
}

async fn return_all(front: Arc<UdpSocket>, back: Arc<UdpSocket>, entry: SocketAddr, way: Arc<Way>) {
    let mut buffer = vec![0; DATAGRAM];
    loop {
        let Ok(length) = back.recv(&mut buffer).await else {
            continue;
        };
        let fault = way.faults.lock().expect("no holder panics").to_entry;
        pass(&way, fault, &front, entry, &buffer[..length]);
    }
}

fn pass(way: &Way, fault: Fault, through: &Arc<UdpSocket>, to: SocketAddr, bytes: &[u8]) {
    let number = way.passed.fetch_add(1, Ordering::Relaxed) + 1;
    let hits = |every: u64| every > 0 && number.is_multiple_of(every);
    if fault.blocked || hits(fault.drop_every) {
        return;
    }
    let late = if hits(fault.reorder_every) {
        fault.reorder_delay
    } else {
        Duration::ZERO
    };
    for _ in 0..if hits(fault.duplicate_every) { 2 } else { 1 } {
        let (through, bytes) = (Arc::clone(through), bytes.to_vec());
        tokio::spawn(async move {
            let wait = fault.delay + late;
            if !wait.is_zero() {
                tokio::time::sleep(wait).await;
            }
            // A datagram may be lost; that is what QUIC is for.
            let _ = through.send_to(&bytes, to).await;
        });
    }
}
