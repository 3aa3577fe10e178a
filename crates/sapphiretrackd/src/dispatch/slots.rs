//! Reserves slots on backend servers at the routers that count them, the stewards.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sapphiretrack_core::{
    Candidate, FullServer, Grant, Incarnation, RequesterLoad, ReservationId, ReserveRequest,
    SHED_BELOW_SHARE, ServerId, WaitSettings, capacity_retry_delay_ms, raise_live_servers_to_max,
    steward_retry_delay_ms,
};
use sapphiretrack_peer::{PeerError, SlotReply};

use crate::control::{
    Command, ControlHandle, ReservationRequest, SlotRefusal, SlotRoute, Snapshot,
};
use crate::dispatch::Dispatcher;

/// Maximum number of servers on which one round requests a slot; servers that appear to be full are
/// ranked last.
const MAX_TRIED_SERVERS: usize = 64;

/// A server to request a slot on, with its counts if its steward refused before because it was
/// full.
type SlotCandidate = (Candidate, Option<FullServer>);

/// A slot on a server, released on drop.
pub(crate) struct Slot {
    /// The server.
    pub(crate) server: ServerId,
    /// The address for requests.
    pub(crate) address: SocketAddr,
    /// The server to import the chat's cached tokens from, if that is cheaper than computing them.
    pub(crate) import_from: Option<SocketAddr>,
    /// The last known incarnation of the server.
    pub(crate) incarnation: Incarnation,
    _reservation: Reservation,
}

/// A request's requirements for a slot.
pub(crate) struct SlotRequest<'a> {
    /// The pool of servers.
    pub(crate) pool: &'a str,
    /// The share of a server's load bound that the request may fill.
    pub(crate) bound_share: f64,
    /// Servers that earlier attempts used.
    pub(crate) tried: &'a [ServerId],
    /// The deadline of the request.
    pub(crate) deadline: Instant,
}

/// Why a round over the candidates gave no slot.
#[derive(Default)]
struct FailedRound {
    /// Full servers, with the counts from their stewards.
    full: Vec<SlotCandidate>,
    /// Whether a server has no steward that decides on its slots now.
    lacks_steward: bool,
}

/// Ends a reservation on drop, granted or not.
struct Reservation {
    control: ControlHandle,
    id: ReservationId,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.control.send(Command::EndReservation {
            reservation: self.id,
        });
    }
}

impl Dispatcher {
    /// Reserves a slot on the first candidate that grants one, without the servers tried before.
    ///
    /// Waits briefly for capacity, or for the change of a steward, if that is expected to help.
    pub(crate) async fn reserve(
        &self,
        slot_request: &SlotRequest<'_>,
        candidates: &[Candidate],
    ) -> Option<Slot> {
        let started_at = Instant::now();
        let mut waited_ms = 0;
        loop {
            let snapshot = self.control.snapshot();
            let lacks_steward = match self
                .reserve_with_retry(&snapshot, slot_request, candidates)
                .await
            {
                Ok(slot) => return Some(slot),
                Err(failed) => failed.lacks_steward,
            };
            let pool = snapshot.pools.get(slot_request.pool)?;
            let left = slot_request
                .deadline
                .saturating_duration_since(Instant::now());
            let left_ms = left.as_millis() as u64;
            let settings = WaitSettings::default();
            // Requests of a shed class do not wait.
            let is_shed = slot_request.bound_share < SHED_BELOW_SHARE;
            let capacity_wait_ms =
                capacity_retry_delay_ms(&settings, pool.in_flight(), waited_ms, left_ms);
            let elapsed_ms = started_at.elapsed().as_millis() as u64;
            let steward_wait_ms = lacks_steward
                .then(|| steward_retry_delay_ms(&settings, elapsed_ms, left_ms))
                .flatten();
            let wait = capacity_wait_ms.into_iter().chain(steward_wait_ms).min();
            let wait_ms = wait.filter(|_| !is_shed)?;
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            waited_ms += wait_ms;
        }
    }

    /// Requests a slot on each candidate in turn, then once more on the full ones where the load
    /// counts in the refusals leave capacity.
    async fn reserve_with_retry(
        &self,
        snapshot: &Snapshot,
        slot_request: &SlotRequest<'_>,
        candidates: &[Candidate],
    ) -> Result<Slot, FailedRound> {
        let untried = candidates
            .iter()
            .filter(|candidate| !slot_request.tried.contains(&candidate.server));
        let untried = untried.take(MAX_TRIED_SERVERS).copied();
        let first: Vec<SlotCandidate> = untried.map(|candidate| (candidate, None)).collect();
        let mut failed = match self
            .reserve_first_granted(snapshot, slot_request, &first)
            .await
        {
            Ok(slot) => return Ok(slot),
            Err(failed) => failed,
        };
        let mut full = std::mem::take(&mut failed.full);
        raise_live_servers_to_max(full.iter_mut().filter_map(|(_, counts)| counts.as_mut()));
        let slot = self
            .reserve_first_granted(snapshot, slot_request, &full)
            .await;
        slot.map_err(|_| failed)
    }

    async fn reserve_first_granted(
        &self,
        snapshot: &Snapshot,
        slot_request: &SlotRequest<'_>,
        candidates: &[SlotCandidate],
    ) -> Result<Slot, FailedRound> {
        let mut failed = FailedRound::default();
        let Some(pool) = snapshot.pools.get(slot_request.pool) else {
            return Err(failed);
        };
        for (candidate, refusal) in candidates {
            let Some(server) = pool.server(candidate.server) else {
                continue;
            };
            let reservation_request = ReservationRequest {
                server: candidate.server,
                bound_share: slot_request.bound_share,
                uncached_tokens: candidate.uncached_tokens,
                refusal: *refusal,
            };
            let reservation = match self.reserve_on_server(reservation_request, snapshot).await {
                Ok(reservation) => reservation,
                Err(SlotRefusal::Full(counts)) => {
                    failed.full.push((*candidate, Some(counts)));
                    continue;
                }
                Err(SlotRefusal::WithoutCounts) => continue,
                Err(SlotRefusal::NotSteward | SlotRefusal::NoReply) => {
                    failed.lacks_steward = true;
                    continue;
                }
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
        Err(failed)
    }

    /// Reserves a slot on one server.
    async fn reserve_on_server(
        &self,
        reservation_request: ReservationRequest,
        snapshot: &Snapshot,
    ) -> Result<Reservation, SlotRefusal> {
        // There is no reply only if the control thread has ended.
        let begun = self.control.begin_reservation(reservation_request).await;
        let begun = begun.ok_or(SlotRefusal::WithoutCounts)?;
        let reservation = Reservation {
            control: self.control.clone(),
            id: begun.reservation,
        };
        match begun.route {
            SlotRoute::Local(Grant::Granted) => Ok(reservation),
            // This router counts these slots itself, so a second request needs no counts.
            SlotRoute::Local(Grant::Full) => Err(SlotRefusal::Full(FullServer::default())),
            SlotRoute::Local(Grant::NotSteward) | SlotRoute::Unavailable => {
                Err(SlotRefusal::NotSteward)
            }
            SlotRoute::Peer(address) => {
                let request = ReserveRequest {
                    router: snapshot.me,
                    reservation: begun.reservation,
                    server: reservation_request.server,
                    bound_share: reservation_request.bound_share as f32,
                    in_flight: begun.in_flight,
                };
                let granted = self
                    .reserve_at_steward(address, request, begun.known_load)
                    .await;
                granted.map(|()| reservation)
            }
        }
    }

    /// Requests a slot from the steward at `address` and reports the reply to the control thread.
    async fn reserve_at_steward(
        &self,
        address: SocketAddr,
        request: ReserveRequest,
        pool_load: Option<RequesterLoad>,
    ) -> Result<(), SlotRefusal> {
        let reservation = request.reservation;
        let reply = self.peers.reserve(address, request, pool_load).await;
        if reply.as_ref().is_err_and(PeerError::is_connection_refused) {
            self.control
                .send(Command::StewardConnectionRefused { address });
        }
        let refusal = match reply {
            Ok(SlotReply::Decided(Grant::Granted)) => {
                self.control.send(Command::SlotGranted { reservation });
                return Ok(());
            }
            Ok(SlotReply::Full(full)) => SlotRefusal::Full(full),
            Ok(SlotReply::Decided(Grant::NotSteward)) => SlotRefusal::NotSteward,
            Ok(SlotReply::Decided(Grant::Full)) | Err(PeerError::Rejected) => {
                SlotRefusal::WithoutCounts
            }
            Err(_) => SlotRefusal::NoReply,
        };
        let refused = Command::SlotRefused {
            reservation,
            refusal,
        };
        self.control.send(refused);
        Err(refusal)
    }
}
