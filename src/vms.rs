//! Polls the platform's list of VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use siskinbend_store::Client;
use siskinbend_store::Vm;
use siskinbend_store::VmList;
use siskinbend_store::VmState;

use crate::limits;

/// Polls the list and passes each result to `on_list`; failed reads are skipped. The interval grows
/// with the length of the list.
pub async fn watch<F>(store: Arc<Client>, interval: Duration, on_list: F)
where
    F: Fn(Vec<Vm>),
{
    let mut delay = interval;
    loop {
        match store.list().await {
            Ok(list) => {
                let length = u32::try_from(list.len()).unwrap_or(u32::MAX);
                delay = interval.max(limits::LIST_INTERVAL_PER_VM.saturating_mul(length));
                on_list(list);
            }
            Err(error) => log::debug!(error:% = error; "vm_list_unavailable"),
        }
        // Jitter spreads the reads of processes that started at the same time.
        tokio::time::sleep(delay.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

/// Whether the list marks the VM with this address as leaving.
pub fn is_leaving(list: &[Vm], own: SocketAddr) -> bool {
    list.iter()
        .any(|vm| vm.address == own && vm.state == VmState::Leaving)
}
