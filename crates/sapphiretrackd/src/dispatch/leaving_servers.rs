//! Reports servers that refuse requests because they are leaving.

use sapphiretrack_backend::BackendError;

use crate::control::Command;
use crate::dispatch::Dispatcher;
use crate::dispatch::slots::Slot;

impl Dispatcher {
    /// Reports the server to the control thread, which informs all peers, if it refused the request
    /// because it is leaving.
    pub(crate) fn report_leaving_server(&self, slot: &Slot, error: &BackendError) {
        if matches!(error, BackendError::Leaving) {
            self.control.send(Command::ServerLeaving {
                server: slot.server,
                incarnation: slot.incarnation,
            });
        }
    }
}
