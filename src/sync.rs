//! Mutex locking that aborts the process on a poisoned lock.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Locks a mutex, and aborts the process if it is poisoned. A panic while the lock was held means
/// that the decision code violated an invariant, and the remaining state could break a guarantee.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    let fatal = |_: PoisonError<_>| -> MutexGuard<'_, T> {
        log::error!("invariant_broken");
        std::process::abort()
    };
    mutex.lock().unwrap_or_else(fatal)
}
