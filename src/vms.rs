//! Reads the platform's list of VMs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use siskinbend_store::Client;
use siskinbend_store::Vm;
use siskinbend_store::VmList;
use siskinbend_store::VmState;

use crate::limits;

/// Reads the list again and again and hands over each that was read; a failed read changes nothing.
/// A longer list is read more rarely than at the given interval.
pub async fn watch<F>(store: Arc<Client>, interval: Duration, take: F)
where
    F: Fn(Vec<Vm>),
{
    let mut pause = interval;
    loop {
        match store.list().await {
            Ok(list) => {
                let length = u32::try_from(list.len()).unwrap_or(u32::MAX);
                pause = interval.max(limits::LIST_INTERVAL_PER_VM.saturating_mul(length));
                take(list);
            }
            Err(error) => log::debug!(error:% = error; "vm_list_unavailable"),
        }
        // Jitter keeps processes that started together from reading together.
        tokio::time::sleep(pause.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

/// Tells whether the list says that the VM with this address is leaving.
pub fn is_leaving(list: &[Vm], own: SocketAddr) -> bool {
    list.iter()
        .any(|vm| vm.address == own && vm.state == VmState::Leaving)
}
