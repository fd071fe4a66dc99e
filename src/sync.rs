//! A lock whose holder must not have panicked.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Locks a mutex. A panic while it was held is a broken invariant of the decision code, and the
/// process must not go on with a state that breaks a guarantee.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    let fatal = |_: PoisonError<_>| -> MutexGuard<'_, T> {
        log::error!("invariant_broken");
        std::process::abort()
    };
    mutex.lock().unwrap_or_else(fatal)
}
