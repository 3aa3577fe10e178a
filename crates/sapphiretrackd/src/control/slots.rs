//! Slots on backend servers: where they are decided, and what this router holds.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sapphiretrack_core::{
    Grant, PoolKind, ReservationId, ReserveRequest, RosterServer, RouterId, ServerId, VmRole,
    VmState, steward_of,
};

use crate::control::ControlState;
use crate::control::handle::{Begun, Place};

/// A slot that this router holds or has asked for.
pub(super) struct Held {
    pub(super) server: ServerId,
    pub(super) steward: Option<SocketAddr>,
}

/// A backend server with its pool.
pub(super) struct PooledServer<'a> {
    pub(super) id: ServerId,
    pub(super) known: &'a RosterServer,
    pub(super) pool: &'a str,
    pub(super) kind: PoolKind,
}

impl ControlState {
    /// Starts a reservation on a server.
    pub(crate) fn begin(&mut self, server: ServerId, bound_share: f64, now_ms: u64) -> Begun {
        let reservation = ReservationId(self.next_reservation);
        self.next_reservation = self.next_reservation.wrapping_add(1);
        let router = self.identity.id;
        let place = match self.steward(server) {
            Some(steward) if steward == router => {
                let request = ReserveRequest {
                    router,
                    reservation,
                    server,
                    bound_share,
                };
                Place::Here(self.reserve(&request, now_ms))
            }
            Some(steward) => match self.peers.get(steward) {
                Some(peer) => Place::Peer(peer.profile.peer_address),
                None => Place::Nowhere,
            },
            None => Place::Nowhere,
        };
        let steward = match place {
            Place::Here(Grant::Granted) => None,
            Place::Peer(address) => Some(address),
            Place::Here(_) | Place::Nowhere => return Begun { reservation, place },
        };
        self.changed = true;
        self.held.insert(reservation, Held { server, steward });
        Begun { reservation, place }
    }

    /// Ends a reservation; returns the steward that has to be told, with the server.
    pub(crate) fn end(&mut self, reservation: ReservationId) -> Option<(SocketAddr, ServerId)> {
        let held = self.held.remove(&reservation)?;
        self.changed = true;
        self.ledger
            .release(self.identity.id, held.server, reservation);
        held.steward.map(|steward| (steward, held.server))
    }

    /// The servers whose load reports this router fetches: those that it is steward of.
    pub(crate) fn watched_servers(&self) -> Vec<(ServerId, SocketAddr)> {
        let servers = self.stewarded().into_iter();
        servers
            .filter_map(|server| Some((server, self.servers.get(server)?.record.address)))
            .collect()
    }

    /// Decides on a slot of a server that this router is steward of.
    pub(super) fn reserve(&mut self, request: &ReserveRequest, now_ms: u64) -> Grant {
        let Some(pool) = self
            .pooled_servers()
            .find(|server| server.id == request.server)
            .map(|server| server.pool.to_owned())
        else {
            return Grant::NotSteward;
        };
        let in_flight = self.in_flight_by_server();
        let mut pool_in_flight = 0;
        let mut live_servers = 0;
        for server in self.pooled_servers().filter(|server| server.pool == pool) {
            pool_in_flight += in_flight.get(&server.id).copied().unwrap_or(0);
            let live = self.server_state(server.id, now_ms) == VmState::Live;
            if server.id == request.server && !live {
                return Grant::Full;
            }
            live_servers += u32::from(live);
        }
        self.changed = true;
        let bound = self.bound;
        self.ledger
            .reserve(request, &bound, pool_in_flight, live_servers)
    }

    /// Brings the ledger in line with the view: which servers this router counts, who may hold
    /// slots there, and what it holds itself.
    pub(super) fn settle_ledger(&mut self, now_ms: u64) {
        let stewarded = self.stewarded();
        let holders = self.peers.holders(now_ms);
        self.ledger.set_view(&stewarded, &holders, now_ms);
        let own = self.held_for(self.identity.id);
        self.ledger.reconcile(self.identity.id, &own);
    }

    /// The servers that this router is steward of.
    pub(super) fn stewarded(&self) -> Vec<ServerId> {
        self.servers
            .iter()
            .map(|(server, _)| server)
            .filter(|server| self.steward(*server) == Some(self.identity.id))
            .collect()
    }

    pub(super) fn steward(&self, server: ServerId) -> Option<RouterId> {
        steward_of(server, &self.stewards)
    }

    pub(super) fn pooled_servers(&self) -> impl Iterator<Item = PooledServer<'_>> {
        self.servers
            .iter()
            .filter_map(|(id, known)| match &known.record.role {
                VmRole::Server { pool, kind } => Some(PooledServer {
                    id,
                    known,
                    pool,
                    kind: *kind,
                }),
                VmRole::Router { .. } => None,
            })
    }

    /// Whether a server takes new work, by all signals and by the operators.
    pub(super) fn server_state(&self, server: ServerId, now_ms: u64) -> VmState {
        if self.config.is_draining(server) {
            return VmState::Leaving;
        }
        self.servers
            .state(server, now_ms)
            .unwrap_or(VmState::Leaving)
    }

    pub(super) fn in_flight_by_server(&self) -> BTreeMap<ServerId, u32> {
        let mut counts: BTreeMap<ServerId, u32> = BTreeMap::new();
        for held in self.held.values() {
            *counts.entry(held.server).or_default() += 1;
        }
        for (router, _) in self.peers.iter() {
            let Some(told) = self.book.in_flight.get(&router) else {
                continue;
            };
            for (server, count) in told {
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
