//! Reserves slots on backend servers with their stewards.

use std::net::SocketAddr;

use sapphiretrack_core::{Candidate, Grant, Incarnation, ReservationId, ReserveRequest, ServerId};
use sapphiretrack_peer::PeerError;

use crate::control::{Begun, Command, ControlHandle, Place, Snapshot};
use crate::dispatch::Dispatcher;

/// How many servers are tried for a slot before a request is refused.
const MAX_TRIED_SERVERS: usize = 8;

/// A slot on a server; dropping it gives it back.
pub(crate) struct Slot {
    /// The server.
    pub(crate) server: ServerId,
    /// Where it takes requests.
    pub(crate) address: SocketAddr,
    /// Its incarnation, as last heard.
    pub(crate) incarnation: Incarnation,
    _reservation: Reservation,
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
    /// The first slot that is granted among the candidates, leaving out servers tried before.
    pub(crate) async fn reserve(
        &self,
        snapshot: &Snapshot,
        pool: &str,
        candidates: &[Candidate],
        bound_share: f64,
        tried: &[ServerId],
    ) -> Option<Slot> {
        let pool = snapshot.pools.get(pool)?;
        let fresh = candidates
            .iter()
            .filter(|candidate| !tried.contains(&candidate.server));
        for candidate in fresh.take(MAX_TRIED_SERVERS) {
            let Some(server) = pool.server(candidate.server) else {
                continue;
            };
            let Some(reservation) = self
                .reserve_on(candidate.server, bound_share, snapshot)
                .await
            else {
                continue;
            };
            return Some(Slot {
                server: server.id,
                address: server.address,
                incarnation: server.report.incarnation,
                _reservation: reservation,
            });
        }
        None
    }

    async fn reserve_on(
        &self,
        server: ServerId,
        bound_share: f64,
        snapshot: &Snapshot,
    ) -> Option<Reservation> {
        let Begun {
            reservation: id,
            place,
        } = self.control.begin(server, bound_share).await?;
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
                    server,
                    bound_share,
                };
                let reply = self.peers.reserve(address, request).await;
                if reply.as_ref().is_err_and(PeerError::is_refused) {
                    self.control.send(Command::AddressRefused { address });
                }
                reply.unwrap_or(Grant::NotSteward)
            }
        };
        (grant == Grant::Granted).then_some(reservation)
    }
}
