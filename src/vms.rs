//! Reads the platform's list of VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use siskinbend_store::Client;
use siskinbend_store::Vm;
use siskinbend_store::VmList;
use siskinbend_store::VmState;

/// Reads the list again and again and hands over each that was read; a failed read changes nothing.
pub async fn watch<F>(store: Arc<Client>, interval: Duration, take: F)
where
    F: Fn(Vec<Vm>),
{
    loop {
        match store.list().await {
            Ok(list) => take(list),
            Err(error) => log::debug!(error:% = error; "vm_list_unavailable"),
        }
        // Jitter keeps processes that started together from reading together.
        tokio::time::sleep(interval.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

/// Tells whether the list says that the VM with this address is leaving.
pub fn is_leaving(list: &[Vm], own: SocketAddr) -> bool {
    list.iter()
        .any(|vm| vm.address == own && vm.state == VmState::Leaving)
}
