//! Reserves slots on backend servers with their stewards.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sapphiretrack_core::{
    Candidate, Grant, Incarnation, ReservationId, ReserveRequest, SHED_BELOW_SHARE, ServerId,
    WaitSettings, wait_for_room, wait_for_steward,
};
use sapphiretrack_peer::PeerError;

use crate::control::{Begun, Command, ControlHandle, Place, SlotWish, Snapshot};
use crate::dispatch::Dispatcher;

/// How many servers are tried for a slot at a time; those that look full come last.
const MAX_TRIED_SERVERS: usize = 64;

/// A slot on a server; dropping it gives it back.
pub(crate) struct Slot {
    /// The server.
    pub(crate) server: ServerId,
    /// Where it takes requests.
    pub(crate) address: SocketAddr,
    /// Where the chat's cached tokens can be imported from, where that is cheaper.
    pub(crate) import_from: Option<SocketAddr>,
    /// Its incarnation, as last heard.
    pub(crate) incarnation: Incarnation,
    _reservation: Reservation,
}

/// What a request needs of a slot.
pub(crate) struct WantedSlot<'a> {
    /// The pool.
    pub(crate) pool: &'a str,
    /// The part of the bound that the class may fill.
    pub(crate) bound_share: f64,
    /// Servers that were tried before.
    pub(crate) tried: &'a [ServerId],
    /// When the answer is late.
    pub(crate) deadline: Instant,
}

/// Ends a reservation when dropped, granted or not.
struct Reservation {
    control: ControlHandle,
    id: ReservationId,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.control.send(Command::End {
            reservation: self.id,
        });
    }
}

impl Dispatcher {
    /// The first slot that is granted among the candidates, leaving out servers tried before;
    /// waits a moment for room, or for a steward that changes, where that is expected to help.
    pub(crate) async fn reserve(
        &self,
        wanted: &WantedSlot<'_>,
        candidates: &[Candidate],
    ) -> Option<Slot> {
        let since = Instant::now();
        let mut waited_ms = 0;
        loop {
            let snapshot = self.control.snapshot();
            let refusal = match self.reserve_now(&snapshot, wanted, candidates).await {
                Ok(slot) => return Some(slot),
                Err(refusal) => refusal,
            };
            let pool = snapshot.pools.get(wanted.pool)?;
            let left = wanted.deadline.saturating_duration_since(Instant::now());
            let left_ms = left.as_millis() as u64;
            let settings = WaitSettings::default();
            // A class that is shed is refused at once.
            let is_shed = wanted.bound_share < SHED_BELOW_SHARE;
            let for_room = wait_for_room(&settings, pool.in_flight(), waited_ms, left_ms);
            let for_steward = match refusal {
                Grant::NotSteward => {
                    let tried_ms = since.elapsed().as_millis() as u64;
                    wait_for_steward(&settings, tried_ms, left_ms)
                }
                Grant::Granted | Grant::Full => None,
            };
            let wait = for_room.into_iter().chain(for_steward).min();
            let wait_ms = wait.filter(|_| !is_shed)?;
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            waited_ms += wait_ms;
        }
    }

    /// One round over the candidates. If there is no slot, tells whether all that were tried are
    /// full, or some server's steward could not decide.
    async fn reserve_now(
        &self,
        snapshot: &Snapshot,
        wanted: &WantedSlot<'_>,
        candidates: &[Candidate],
    ) -> Result<Slot, Grant> {
        let mut refusal = Grant::Full;
        let Some(pool) = snapshot.pools.get(wanted.pool) else {
            return Err(refusal);
        };
        let fresh = candidates
            .iter()
            .filter(|candidate| !wanted.tried.contains(&candidate.server));
        for candidate in fresh.take(MAX_TRIED_SERVERS) {
            let Some(server) = pool.server(candidate.server) else {
                continue;
            };
            let wish = SlotWish {
                server: candidate.server,
                bound_share: wanted.bound_share,
                uncached_tokens: candidate.uncached_tokens,
            };
            let reservation = match self.reserve_on(wish, snapshot).await {
                Ok(reservation) => reservation,
                Err(Grant::NotSteward) => {
                    refusal = Grant::NotSteward;
                    continue;
                }
                Err(_) => continue,
            };
            return Ok(Slot {
                server: server.id,
                import_from: candidate
                    .import_from
                    .and_then(|from| pool.server(from))
                    .map(|from| from.address),
                address: server.address,
                incarnation: server.report.incarnation,
                _reservation: reservation,
            });
        }
        Err(refusal)
    }

    async fn reserve_on(&self, wish: SlotWish, snapshot: &Snapshot) -> Result<Reservation, Grant> {
        let Begun {
            reservation: id,
            place,
            in_flight,
        } = self.control.begin(wish).await.ok_or(Grant::Full)?;
        let reservation = Reservation {
            control: self.control.clone(),
            id,
        };
        let grant = match place {
            Place::Here(grant) => grant,
            Place::Nowhere => Grant::NotSteward,
            Place::Peer(address) => {
                let request = ReserveRequest {
                    router: snapshot.me,
                    reservation: id,
                    server: wish.server,
                    bound_share: wish.bound_share as f32,
                    in_flight,
                };
                let reply = self.peers.reserve(address, request).await;
                if reply.as_ref().is_err_and(PeerError::is_refused) {
                    self.control.send(Command::AddressRefused { address });
                }
                reply.unwrap_or(Grant::NotSteward)
            }
        };
        match grant {
            Grant::Granted => Ok(reservation),
            refusal => Err(refusal),
        }
    }
}
