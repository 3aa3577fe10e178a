//! Applies what backend servers state in their answers about their availability to this router.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};

use sapphiretrack_routing::{Incarnation, LeavingServers, ServerEntry, ServerPauses};

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
    /// Whether a statement may keep requests from any listed server.
    pub(crate) fn may_exclude_any(&self, now_ms: u64) -> bool {
        lock(&self.leaving).may_be_listed() || lock(&self.pauses).may_be_any(now_ms)
    }

    /// Whether a server stated that it leaves.
    pub(crate) fn is_leaving(&self, server: Incarnation) -> bool {
        lock(&self.leaving).contains(server)
    }

    /// The time until a server's pause ends; none if it does not pause.
    pub(crate) fn pause_left_ms(&self, server: Incarnation, now_ms: u64) -> Option<u64> {
        lock(&self.pauses).left_ms(server, now_ms)
    }

    /// The number of servers that pause.
    pub(crate) fn paused_count(&self, now_ms: u64) -> usize {
        lock(&self.pauses).count(now_ms)
    }

    /// Forgets statements that no longer matter. `listed` are the servers that are listed.
    pub(crate) fn retain_listed(&self, listed: &HashSet<Incarnation>) {
        let now_ms = Clock.now_ms();
        lock(&self.leaving).retain_listed(listed, now_ms);
        lock(&self.pauses).drop_ended(now_ms);
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
    if stated.is_leaving && lock(&table.leaving).record(server.incarnation, now_ms) {
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
        let is_new = lock(&table.pauses).record(server.incarnation, pause_ms, now_ms);
        note!(
            Event::SERVER_PAUSED,
            id = id,
            server = server.id,
            pause_ms = pause_ms,
            is_new = is_new,
        );
    }
}
