//! Applies the pauses that backend servers ask this router for.

use std::sync::{Mutex, MutexGuard};

use sapphiretrack_routing::{ServerEntry, ServerPauses};

use crate::clock::Clock;
use crate::events::{Event, note};
use crate::lock::lock;
use crate::ports::StatedAvailability;

/// The pauses that servers asked this router for.
#[derive(Debug, Default)]
pub(crate) struct ServerPauseTable(Mutex<ServerPauses>);

impl ServerPauseTable {
    /// Locks the pauses.
    pub(crate) fn pauses(&self) -> MutexGuard<'_, ServerPauses> {
        lock(&self.0)
    }

    /// Records what a server stated in its answer to the request `id`.
    pub(crate) fn record_answer(&self, server: &ServerEntry, stated: StatedAvailability, id: &str) {
        let Some(pause_ms) = stated.pause_ms else {
            return;
        };
        let is_new = self
            .pauses()
            .record(server.incarnation, pause_ms, Clock.now_ms());
        note!(
            Event::SERVER_PAUSED,
            id = id,
            server = server.id,
            pause_ms = pause_ms,
            is_new = is_new,
        );
    }
}
