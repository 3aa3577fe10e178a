//! Applies what backend servers state in their answers about their availability to this router.

use std::sync::{Arc, Mutex, MutexGuard};

use sapphiretrack_routing::{LeavingServers, ServerEntry, ServerPauses};

use crate::clock::Clock;
use crate::events::{Event, note};
use crate::lock::lock;
use crate::ports::StatedAvailability;
use crate::shared::Shared;

/// What servers stated about their availability.
#[derive(Debug, Default)]
pub(crate) struct StatedAvailabilityTable {
    leaving: Mutex<LeavingServers>,
    pauses: Mutex<ServerPauses>,
}

impl StatedAvailabilityTable {
    /// Locks the servers that stated that they leave.
    pub(crate) fn leaving(&self) -> MutexGuard<'_, LeavingServers> {
        lock(&self.leaving)
    }

    /// Locks the pauses that servers asked this router for.
    pub(crate) fn pauses(&self) -> MutexGuard<'_, ServerPauses> {
        lock(&self.pauses)
    }
}

/// Records what a server stated in its answer to the request `id`, which is empty if the answer is to
/// a question of this router's own.
pub(crate) fn record_stated_availability(
    shared: &Shared,
    server: &Arc<ServerEntry>,
    stated: StatedAvailability,
    id: &str,
) {
    let now_ms = Clock.now_ms();
    let table = &shared.stated_availability;
    if stated.is_leaving && table.leaving().record(server.incarnation, now_ms) {
        note!(
            Event::SERVER_LEAVING,
            server = server.id,
            reason = "stated",
            id = id,
        );
        let runs_ms = shared.settings().drain_bound_ms;
        shared.draining_servers.record(server.clone(), runs_ms);
    }
    if let Some(pause_ms) = stated.pause_ms {
        let is_new = table.pauses().record(server.incarnation, pause_ms, now_ms);
        note!(
            Event::SERVER_PAUSED,
            id = id,
            server = server.id,
            pause_ms = pause_ms,
            is_new = is_new,
        );
    }
}
