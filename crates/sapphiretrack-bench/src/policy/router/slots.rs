//! Slots: whom a router asks, and how it decides as steward.

use sapphiretrack_core::{
    FullServer, Grant, ReservationId, ReserveRequest, RouterId, ServerId, ToldLoad, ask_again,
};

use super::{Held, Router, Try};

impl Router {
    /// Whether a steward that refused is worth asking again, and what it is told.
    pub(crate) fn ask_again(&self, full: FullServer, share: f64, now_ms: u64) -> Option<ToldLoad> {
        let load = self.pool_load(now_ms);
        ask_again(&self.placement.bound, &load, share, full)
    }

    /// Notes a steward that did not answer.
    pub(crate) fn note_silent(&mut self, steward: usize, now_ms: u64) {
        self.asks.note_silent(self.all[steward], now_ms);
    }

    /// Notes a refusal by another router that does not count the server's slots.
    pub(crate) fn note_not_steward(&mut self, steward: usize, server: usize, now_ms: u64) {
        let (steward, server) = (self.all[steward], self.servers[server]);
        if steward != self.id {
            self.asks.note_not_steward(steward, server, now_ms);
        }
    }

    /// Notes what a steward that refused for want of room says of its own load.
    pub(crate) fn note_full(&mut self, steward: usize, full: FullServer, now_ms: u64) {
        if self.all[steward] != self.id {
            self.note_pool_load(self.all[steward], u32::from(full.in_flight), now_ms);
        }
    }

    /// What a refusal for want of room tells the asker.
    pub(crate) fn full_server(&self, server: ServerId, now_ms: u64) -> FullServer {
        FullServer {
            held: self.ledger.held(server).unwrap_or(0) as u16,
            in_flight: self.pool_in_flight() as u16,
            live_servers: self.pool_load(now_ms).live_servers as u16,
        }
    }

    /// Begins a reservation: whom to ask, and what.
    pub(crate) fn begin(
        &mut self,
        wanted: &Try,
        share: f64,
        now_ms: u64,
    ) -> (Option<usize>, ReserveRequest) {
        let server = wanted.server;
        let reservation = ReservationId(self.next_reservation);
        self.next_reservation = self.next_reservation.wrapping_add(1);
        let held = Held {
            server,
            uncached_tokens: wanted.uncached_tokens,
            asked_ms: now_ms,
        };
        self.held.insert(reservation, held);
        let request = ReserveRequest {
            router: self.id,
            reservation,
            server: self.servers[server],
            bound_share: share as f32,
            in_flight: self.pool_in_flight() as u16,
        };
        let steward = self.names.steward(self.servers[server]);
        let asked = steward.filter(|id| self.asks.may_ask(*id, self.servers[server], now_ms));
        let index = self.all.iter().position(|id| Some(*id) == asked);
        (index, request)
    }

    /// Ends a reservation.
    pub(crate) fn end(&mut self, reservation: ReservationId) {
        self.held.remove(&reservation);
    }

    /// Decides about a slot, as steward.
    ///
    /// `told` is what the asker knows of the pool's load.
    pub(crate) fn reserve(
        &mut self,
        request: &ReserveRequest,
        told: Option<ToldLoad>,
        now_ms: u64,
    ) -> Grant {
        self.note_pool_load(request.router, u32::from(request.in_flight), now_ms);
        let Some(server) = self.servers.iter().position(|id| *id == request.server) else {
            return Grant::NotSteward;
        };
        if !self.is_open(server) {
            return Grant::Full;
        }
        let load = self.pool_load(now_ms).with_told(told.unwrap_or_default());
        let bound = self.placement.bound;
        self.ledger.reserve(request, &bound, &load, now_ms)
    }

    /// Takes a slot back, as steward.
    pub(crate) fn release(
        &mut self,
        router: RouterId,
        server: usize,
        reservation: ReservationId,
        in_flight: u32,
        now_ms: u64,
    ) {
        self.note_pool_load(router, in_flight, now_ms);
        self.ledger
            .release(router, self.servers[server], reservation);
    }
}
