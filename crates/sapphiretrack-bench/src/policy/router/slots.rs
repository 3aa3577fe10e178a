//! Slot requests to stewards, and the decisions of a router as steward.

use sapphiretrack_core::{
    FullServer, Grant, RequesterLoad, ReservationId, ReserveRequest, RouterId, ServerId,
    load_for_repeated_request,
};

use super::{Attempt, Reservation, Router};

impl Router {
    /// Returns the load to send with a repeated slot request if the steward is expected to grant it
    /// then, and `None` if the request is not worth repeating.
    pub(crate) fn load_for_repeat(
        &self,
        full: FullServer,
        share: f64,
        now_ms: u64,
    ) -> Option<RequesterLoad> {
        let load = self.pool_load(now_ms);
        load_for_repeated_request(&self.placement.bound, &load, share, full)
    }

    /// Records that a steward did not reply in time.
    pub(crate) fn record_steward_timeout(&mut self, steward: usize, now_ms: u64) {
        self.steward_backoff
            .note_silent(self.router_ids[steward], now_ms);
    }

    /// Records that another router refused because it is not the server's steward.
    pub(crate) fn record_not_steward(&mut self, steward: usize, server: usize, now_ms: u64) {
        let (steward, server) = (self.router_ids[steward], self.servers[server]);
        if steward != self.id {
            self.steward_backoff
                .note_not_steward(steward, server, now_ms);
        }
    }

    /// Records the requests in flight of a steward that refused because the server is full.
    pub(crate) fn record_full_refusal(&mut self, steward: usize, full: FullServer, now_ms: u64) {
        if self.router_ids[steward] != self.id {
            self.record_pool_load(self.router_ids[steward], u32::from(full.in_flight), now_ms);
        }
    }

    /// Returns the counts that a steward sends when it refuses because the server is full.
    pub(crate) fn full_server(&self, server: ServerId, now_ms: u64) -> FullServer {
        FullServer {
            held: self.ledger.held(server).unwrap_or(0) as u16,
            in_flight: self.pool_in_flight() as u16,
            live_servers: self.pool_load(now_ms).live_servers as u16,
        }
    }

    /// Begins a reservation and returns the index of the steward to ask, if one is known and may be
    /// asked now, and the request.
    pub(crate) fn begin_reservation(
        &mut self,
        attempt: &Attempt,
        share: f64,
        now_ms: u64,
    ) -> (Option<usize>, ReserveRequest) {
        let server = attempt.server;
        let reservation = ReservationId(self.next_reservation);
        self.next_reservation = self.next_reservation.wrapping_add(1);
        let entry = Reservation {
            server,
            uncached_tokens: attempt.uncached_tokens,
            requested_ms: now_ms,
        };
        self.reservations.insert(reservation, entry);
        let request = ReserveRequest {
            router: self.id,
            reservation,
            server: self.servers[server],
            bound_share: share as f32,
            in_flight: self.pool_in_flight() as u16,
        };
        let steward = self.steward_consents.steward(self.servers[server]);
        let steward = steward.filter(|id| {
            self.steward_backoff
                .may_ask(*id, self.servers[server], now_ms)
        });
        let index = self.router_ids.iter().position(|id| Some(*id) == steward);
        (index, request)
    }

    /// Removes a reservation that was not granted or has ended.
    pub(crate) fn end_reservation(&mut self, reservation: ReservationId) {
        self.reservations.remove(&reservation);
    }

    /// Decides on a slot request, as steward.
    ///
    /// `known_load` is the load of the pool as the requesting router knows it; only repeated
    /// requests contain it.
    pub(crate) fn reserve(
        &mut self,
        request: &ReserveRequest,
        known_load: Option<RequesterLoad>,
        now_ms: u64,
    ) -> Grant {
        self.record_pool_load(request.router, u32::from(request.in_flight), now_ms);
        let Some(server) = self.servers.iter().position(|id| *id == request.server) else {
            return Grant::NotSteward;
        };
        if !self.sends_requests_to(server) {
            return Grant::Full;
        }
        let load = self
            .pool_load(now_ms)
            .with_requester_load(known_load.unwrap_or_default());
        let bound = self.placement.bound;
        self.ledger.reserve(request, &bound, &load, now_ms)
    }

    /// Releases a slot, as steward.
    pub(crate) fn release(
        &mut self,
        router: RouterId,
        server: usize,
        reservation: ReservationId,
        in_flight: u32,
        now_ms: u64,
    ) {
        self.record_pool_load(router, in_flight, now_ms);
        self.ledger
            .release(router, self.servers[server], reservation);
    }
}
