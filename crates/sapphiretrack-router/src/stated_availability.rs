//! Applies what backend servers state in their answers about their availability to this router.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

use rand::seq::IndexedRandom;
use sapphiretrack_routing::{
    BrittleServers, Incarnation, LeavingServers, ServerEntry, ServerPauses, SlotShare,
};

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
    brittle: Mutex<BrittleServers>,
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

    /// This router's share of each of a service's servers, in their order, and none where it is no owner.
    /// Nothing if it is known that none of the servers is brittle.
    pub(crate) fn slot_shares(
        &self,
        shared: &Shared,
        servers: &[Arc<ServerEntry>],
        now_ms: u64,
    ) -> Option<Vec<Option<SlotShare>>> {
        let mut brittle = lock(&self.brittle);
        let service = &servers.first()?.service;
        let is_brittle = brittle.contains(service, now_ms);
        if !is_brittle && !brittle.is_known(service) {
            let routers = shared.peers().fleet_size();
            let shares = servers
                .iter()
                .map(|server| Some(SlotShare::before_first_answer(server.slots, routers)));
            return Some(shares.collect());
        }
        if !is_brittle {
            return None;
        }
        // A router that does not know the others yet does not know its share either.
        if !shared.is_discovered.load(Ordering::Relaxed) {
            return Some(vec![None; servers.len()]);
        }
        let (name, peers) = (&shared.settings().name, shared.peers());
        let routers = peers.sender_count();
        let shares = servers.iter().map(|server| {
            let share = SlotShare::new(server.slots, routers);
            let is_owner = share.owners == routers
                || brittle.is_owner(server.incarnation, now_ms, || {
                    peers.is_owner(server.incarnation.0, name, share.owners, now_ms)
                });
            is_owner.then_some(share)
        });
        Some(shares.collect())
    }

    /// The addresses for messages of the routers among which the slots of one of these servers, chosen at
    /// random, are divided; none if the servers are not brittle.
    pub(crate) fn slot_owners(
        &self,
        shared: &Shared,
        servers: &[Arc<ServerEntry>],
    ) -> Option<Vec<SocketAddr>> {
        let now_ms = Clock.now_ms();
        let server = servers.choose(&mut rand::rng())?;
        if !self.is_brittle(&server.service, now_ms) {
            return None;
        }
        let (settings, peers) = (shared.settings(), shared.peers());
        let share = SlotShare::new(server.slots, peers.sender_count());
        let own = (settings.name.as_str(), settings.peer_address);
        Some(peers.key_owners(server.incarnation.0, own, share.owners, now_ms))
    }

    /// Whether the servers of a service are brittle.
    pub(crate) fn is_brittle(&self, service: &str, now_ms: u64) -> bool {
        lock(&self.brittle).contains(service, now_ms)
    }

    /// Whether it is known that the servers of a service are not brittle: one of them has answered.
    pub(crate) fn is_not_brittle(&self, service: &str, now_ms: u64) -> bool {
        let brittle = lock(&self.brittle);
        brittle.is_known(service) && !brittle.contains(service, now_ms)
    }

    /// The number of services whose servers are brittle.
    pub(crate) fn brittle_count(&self, now_ms: u64) -> usize {
        lock(&self.brittle).count(now_ms)
    }

    /// Records that a brittle server refused a request for want of room: it gets no others for a time.
    pub(crate) fn record_refusal(&self, shared: &Shared, server: &ServerEntry) {
        let routers = shared.peers().fleet_size();
        let pause_ms = lock(&self.brittle).pause_ms(&server.service, routers);
        if let Some(pause_ms) = pause_ms {
            lock(&self.pauses).record(server.incarnation, pause_ms, Clock.now_ms());
        }
    }

    /// Forgets statements that no longer matter. `listed` are the servers that are listed.
    pub(crate) fn retain_listed(&self, listed: &HashSet<Incarnation>) {
        let now_ms = Clock.now_ms();
        lock(&self.leaving).retain_listed(listed, now_ms);
        lock(&self.pauses).drop_ended(now_ms);
        lock(&self.brittle).retain_listed(|server| listed.contains(&server));
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
    let limit = stated.max_refusals_per_s;
    let is_new = lock(&table.brittle).record(&server.service, limit, now_ms);
    if is_new {
        note!(
            Event::SERVER_BRITTLE,
            id = id,
            server = server.id,
            service = server.service,
            is_brittle = limit.is_some(),
            max_refusals_per_s = limit.unwrap_or(0),
        );
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
