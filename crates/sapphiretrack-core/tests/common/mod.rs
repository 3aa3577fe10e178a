//! Helpers for tests of a steward: one server with a load bound of two requests.

use sapphiretrack_core::{
    Grant, HeldSlots, Ledger, LoadBound, PoolLoad, ReservationId, ReserveRequest, RouterId,
    ServerId,
};

/// The only server.
pub const SERVER: ServerId = ServerId(7);
/// The server's load bound, in requests.
pub const BOUND: usize = 2;

/// A router's list of the slots that it holds on the server.
pub fn listing(reservations: &[u32], next_reservation: u32) -> HeldSlots {
    let held = reservations.iter().copied().map(ReservationId).collect();
    HeldSlots {
        next_reservation,
        by_server: vec![(SERVER, held)],
    }
}

/// Requests a slot on the server from its steward.
pub fn reserve(ledger: &mut Ledger, router: RouterId, reservation: u32, now_ms: u64) -> Grant {
    let load = PoolLoad {
        live_servers: 1,
        open_servers: 1,
        ..PoolLoad::default()
    };
    let bound = LoadBound {
        floor_requests: BOUND as u32,
        ..LoadBound::default()
    };
    let request = ReserveRequest {
        router,
        reservation: ReservationId(reservation),
        server: SERVER,
        bound_share: 1.0,
        in_flight: 0,
    };
    ledger.reserve(&request, &bound, &load, now_ms)
}
