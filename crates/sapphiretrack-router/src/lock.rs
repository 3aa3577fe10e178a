//! Locks of state that several threads share.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex and ignores poisoning: the guarded state is consistent between any two statements,
/// so that a panic of another holder does not corrupt it.
pub(crate) fn lock<State>(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
