//! What requests meet: a server that refuses because it is leaving.

use sapphiretrack_backend::BackendError;

use crate::control::Command;
use crate::dispatch::Dispatcher;
use crate::dispatch::slots::Slot;

impl Dispatcher {
    /// Tells the control thread, and by it all peers, of a server that says it is leaving.
    pub(crate) fn note_leaving(&self, slot: &Slot, error: &BackendError) {
        if matches!(error, BackendError::Leaving) {
            self.control.send(Command::ServerLeaving {
                server: slot.server,
                incarnation: slot.incarnation,
            });
        }
    }
}
