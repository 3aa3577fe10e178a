//! Slots on backend servers: granting them as steward, and those that this router holds.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use sapphiretrack_core::{
    CellView, FullServer, Grant, PoolKind, RequesterLoad, ReservationId, ReserveRequest,
    RosterServer, RouterId, ServerId, VmRole, VmState, load_for_repeated_request, steward_of,
};
use sapphiretrack_peer::{PeerReply, PeerRequest};

use crate::control::ControlState;
use crate::control::handle::{BegunReservation, ReservationRequest, SlotRefusal, SlotRoute};

/// A slot that this router holds or has requested.
pub(super) struct HeldSlot {
    /// The server.
    pub(super) server: ServerId,
    /// The address of the steward; none if that is this router.
    pub(super) steward_address: Option<SocketAddr>,
    /// Prompt tokens that the server does not have cached and is expected to compute.
    pub(super) uncached_tokens: u32,
    /// When the slot was requested.
    pub(super) requested_ms: u64,
    /// Whether the steward has granted the slot.
    pub(super) is_granted: bool,
}

/// A backend server with its pool.
pub(super) struct PooledServer<'a> {
    pub(super) id: ServerId,
    /// Its entry in the roster.
    pub(super) entry: &'a RosterServer,
    pub(super) pool: &'a str,
    pub(super) kind: PoolKind,
}

impl ControlState {
    /// Starts a reservation on a server: decides on it if this router is the steward, otherwise
    /// returns the steward's address.
    pub(crate) fn begin_reservation(
        &mut self,
        request: ReservationRequest,
        now_ms: u64,
    ) -> BegunReservation {
        let ReservationRequest { server, .. } = request;
        let in_flight = self.own_pool_in_flight(server);
        let reservation = ReservationId(self.next_reservation);
        self.next_reservation = self.next_reservation.wrapping_add(1);
        let router = self.identity.id;
        let known_load = self.load_for_retry(&request, now_ms);
        let retry_is_futile = request.refusal.is_some() && known_load.is_none();
        let may_ask = |steward: &RouterId| self.steward_backoff.may_ask(*steward, server, now_ms);
        let route = match self.steward(server) {
            _ if retry_is_futile => SlotRoute::Unavailable,
            Some(steward) if steward == router => {
                let reserve_request = ReserveRequest {
                    router,
                    reservation,
                    server,
                    bound_share: request.bound_share as f32,
                    in_flight,
                };
                SlotRoute::Local(self.reserve(&reserve_request, known_load, now_ms))
            }
            Some(steward) => match self.peers.get(steward).filter(|_| may_ask(&steward)) {
                Some(peer) => SlotRoute::Peer(peer.profile.peer_address),
                None => SlotRoute::Unavailable,
            },
            None => SlotRoute::Unavailable,
        };
        let steward_address = match route {
            SlotRoute::Local(Grant::Granted) => Some(None),
            SlotRoute::Peer(address) => Some(Some(address)),
            SlotRoute::Local(_) | SlotRoute::Unavailable => None,
        };
        if let Some(steward_address) = steward_address {
            let held = HeldSlot {
                server,
                steward_address,
                uncached_tokens: request.uncached_tokens,
                requested_ms: now_ms,
                is_granted: steward_address.is_none(),
            };
            self.changed = true;
            self.held_slots.insert(reservation, held);
        }
        BegunReservation {
            reservation,
            route,
            in_flight,
            known_load,
        }
    }

    /// The load to send to a steward that refused before, so that it can decide again; none if that
    /// is not expected to help.
    fn load_for_retry(&self, request: &ReservationRequest, now_ms: u64) -> Option<RequesterLoad> {
        let refusal = request.refusal?;
        let pool = self.pool_of(request.server)?;
        let load = self.pool_load(&pool, now_ms);
        load_for_repeated_request(&self.bound, &load, request.bound_share, refusal)
    }

    /// Records that a peer granted a slot.
    pub(crate) fn mark_granted(&mut self, reservation: ReservationId) {
        if let Some(held) = self.held_slots.get_mut(&reservation) {
            held.is_granted = true;
        }
    }

    /// Records why a peer did not grant a slot.
    pub(crate) fn record_slot_refusal(
        &mut self,
        reservation: ReservationId,
        refusal: SlotRefusal,
        now_ms: u64,
    ) {
        let Some(held) = self.held_slots.get(&reservation) else {
            return;
        };
        let (server, address) = (held.server, held.steward_address);
        let steward = self
            .peers
            .iter()
            .find(|(_, peer)| Some(peer.profile.peer_address) == address)
            .map(|(router, _)| router);
        let Some(steward) = steward else { return };
        match refusal {
            SlotRefusal::Full(full) => {
                self.record_pool_load(steward, server, full.in_flight, now_ms)
            }
            SlotRefusal::NotSteward => self
                .steward_backoff
                .note_not_steward(steward, server, now_ms),
            SlotRefusal::WithoutCounts => {}
            SlotRefusal::NoReply => self.steward_backoff.note_silent(steward, now_ms),
        }
    }

    /// The counts that are sent with the refusal of a slot on a full server.
    fn refusal_counts(&self, server: ServerId, now_ms: u64) -> FullServer {
        let pool = self.pool_of(server).unwrap_or_default();
        FullServer {
            held: self.ledger.held(server).unwrap_or(0) as u16,
            in_flight: self.own_pool_in_flight(server),
            live_servers: self.pool_load(&pool, now_ms).live_servers as u16,
        }
    }

    /// Decides on a peer's request for a slot. `known_load` is the pool's load in the peer's view.
    pub(super) fn reserve_for_peer(
        &mut self,
        request: &ReserveRequest,
        known_load: Option<RequesterLoad>,
        now_ms: u64,
    ) -> PeerReply {
        self.record_pool_load(request.router, request.server, request.in_flight, now_ms);
        match self.reserve(request, known_load, now_ms) {
            Grant::Full => PeerReply::Full(self.refusal_counts(request.server, now_ms)),
            decided => PeerReply::Reserve(decided),
        }
    }

    /// Ends a reservation. Returns the release to send if the steward is a peer.
    pub(crate) fn end_reservation(
        &mut self,
        reservation: ReservationId,
    ) -> Option<(SocketAddr, PeerRequest)> {
        let held = self.held_slots.remove(&reservation)?;
        self.changed = true;
        let router = self.identity.id;
        self.ledger.release(router, held.server, reservation);
        let release = PeerRequest::Release {
            router,
            server: held.server,
            reservation,
            in_flight: self.own_pool_in_flight(held.server),
        };
        held.steward_address.map(|address| (address, release))
    }

    /// The servers whose load reports this router fetches, as their steward, with their addresses.
    pub(crate) fn watched_servers(&self) -> Vec<(ServerId, SocketAddr)> {
        let servers = self.stewarded_servers().into_iter();
        servers
            .filter_map(|server| Some((server, self.servers.get(server)?.record.address)))
            .collect()
    }

    /// Decides on a slot, with `NotSteward` if this router cannot grant slots of the server.
    fn reserve(
        &mut self,
        request: &ReserveRequest,
        known_load: Option<RequesterLoad>,
        now_ms: u64,
    ) -> Grant {
        if self.resignation.has_resigned() {
            return Grant::NotSteward;
        }
        let Some(pool) = self
            .pooled_servers()
            .find(|server| server.id == request.server)
            .map(|server| server.pool.to_owned())
        else {
            return Grant::NotSteward;
        };
        let is_open = self.server_state(request.server, now_ms) == VmState::Live
            && !self.is_joining(request.server, now_ms);
        if !is_open {
            return Grant::Full;
        }
        self.changed = true;
        let load = self
            .pool_load(&pool, now_ms)
            .with_requester_load(known_load.unwrap_or_default());
        let bound = self.bound;
        self.ledger.reserve(request, &bound, &load, now_ms)
    }

    /// Updates the ledger and the consents with the current view of the cell: the servers that this
    /// router may be steward of, the routers that may hold slots there, and its own slots.
    pub(super) fn update_ledger(&mut self, now_ms: u64) {
        let me = self.identity.id;
        let all: BTreeSet<ServerId> = self.servers.iter().map(|(server, _)| server).collect();
        let has_own_consent = |server: &ServerId| self.consents.consent(*server) == Some(me);
        let stewarded: Vec<ServerId> = all.iter().copied().filter(has_own_consent).collect();
        self.consents.note_sent(me, now_ms);
        let mut live: Vec<RouterId> = self.peers.iter().map(|(router, _)| router).collect();
        live.push(me);
        let listed = self.vm_list.iter();
        let routers = listed.filter(|record| matches!(record.role, VmRole::Router { .. }));
        let mut known: BTreeSet<RouterId> = routers
            .map(|record| RouterId::from_name(&record.name))
            .collect();
        known.extend(&live);
        let known: Vec<RouterId> = known.into_iter().collect();
        let ended: Vec<RouterId> = self.ended_incarnations.routers().collect();
        let view = CellView {
            stewarded: &stewarded,
            live: &live,
            known: &known,
            ended: &ended,
        };
        self.ledger.set_view(&view, now_ms);
        let own = self.held_slots_for(me);
        self.ledger.reconcile(me, &own, now_ms);
        let may_begin = self.ledger.sees_majority();
        self.consents.retain(|server| all.contains(&server));
        if self.resignation.has_resigned() {
            self.consents.release(me);
        }
        for server in all {
            if let Some(steward) = steward_of(server, &self.stewards) {
                self.consents
                    .set_preferred(server, steward, may_begin, now_ms);
            }
        }
    }

    /// The servers that this router is steward of.
    pub(super) fn stewarded_servers(&self) -> Vec<ServerId> {
        self.servers
            .iter()
            .map(|(server, _)| server)
            .filter(|server| self.steward(*server) == Some(self.identity.id))
            .collect()
    }

    /// The router that slots of a server are requested from.
    pub(super) fn steward(&self, server: ServerId) -> Option<RouterId> {
        self.consents.steward(server)
    }

    /// All known backend servers.
    pub(super) fn pooled_servers(&self) -> impl Iterator<Item = PooledServer<'_>> {
        self.servers
            .iter()
            .filter_map(|(id, entry)| match &entry.record.role {
                VmRole::Server { pool, kind } => Some(PooledServer {
                    id,
                    entry,
                    pool,
                    kind: *kind,
                }),
                VmRole::Router { .. } => None,
            })
    }

    /// Whether a server accepts new work. Unknown servers and those that operators drain count as
    /// leaving.
    pub(super) fn server_state(&self, server: ServerId, now_ms: u64) -> VmState {
        if self.config.is_draining(server) {
            return VmState::Leaving;
        }
        self.servers
            .state(server, now_ms)
            .unwrap_or(VmState::Leaving)
    }

    /// Requests in flight by server: exact where this router counts the slots as steward, otherwise
    /// its own plus what peers reported.
    pub(super) fn in_flight_by_server(&self) -> BTreeMap<ServerId, u32> {
        let mut counts: BTreeMap<ServerId, u32> = BTreeMap::new();
        for held in self.held_slots.values() {
            *counts.entry(held.server).or_default() += 1;
        }
        for (router, _) in self.peers.iter() {
            let Some(peer_counts) = self.heartbeat_tracker.in_flight.get(&router) else {
                continue;
            };
            for (server, count) in peer_counts {
                *counts.entry(*server).or_default() += u32::from(*count);
            }
        }
        for (server, count) in &mut counts {
            if let Some(exact) = self.ledger.held(*server) {
                *count = exact;
            }
        }
        counts
    }
}
