//! Heartbeats between simulated routers.

use sapphiretrack_core::{HeldSlots, LoadReport, ServerId, VmState};
use sapphiretrack_peer::{Heartbeat, InFlight, ServerState};

use super::{Router, state_version};

impl Router {
    /// Builds the heartbeat for the peer with index `to`.
    pub(crate) fn heartbeat(&mut self, to: usize, now_ms: u64) -> Heartbeat {
        let steward = self.router_ids[to];
        self.steward_consents.note_sent(steward, now_ms);
        self.sequence += 1;
        let is_consented =
            |server: &ServerId| self.steward_consents.consent(*server) == Some(steward);
        let listed = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, id)| is_consented(id));
        let by_server = listed
            .map(|(server, id)| {
                let held = self
                    .reservations
                    .iter()
                    .filter(|(_, entry)| entry.server == server);
                (*id, held.map(|(reservation, _)| *reservation).collect())
            })
            .collect();
        Heartbeat {
            router: self.id,
            incarnation: 1,
            sequence: self.sequence,
            seen_sequence: self.sequence,
            state: VmState::Live,
            config_version: 1,
            profile: None,
            in_flight: self.in_flight_update(to),
            servers: self
                .probed_servers()
                .map(|server| self.server_state(server))
                .collect(),
            held: HeldSlots {
                next_reservation: self.next_reservation,
                by_server,
            },
            leaving_servers: Vec::new(),
            list_digest: u64::MAX,
            suspects: Vec::new(),
            sections: Vec::new(),
        }
    }

    /// Returns the counts of requests in flight for a peer: all nonzero counts if the last
    /// heartbeat got no reply, otherwise only the changed ones.
    pub(super) fn in_flight_update(&mut self, to: usize) -> InFlight {
        let peer = &mut self.peers[to];
        let whole = !peer.has_replied;
        let changed = self
            .own_in_flight
            .iter()
            .enumerate()
            .filter(|(server, own)| match whole {
                true => **own > 0,
                false => **own != peer.sent_counts[*server],
            });
        let counts = changed
            .map(|(server, own)| (self.servers[server], *own as u16))
            .collect();
        peer.sent_counts.clone_from(&self.own_in_flight);
        peer.has_replied = false;
        InFlight { whole, counts }
    }

    /// Records that a peer replied to the last heartbeat.
    pub(crate) fn record_heartbeat_reply(&mut self, peer: usize) {
        self.peers[peer].has_replied = true;
    }

    /// Returns the servers whose load reports this router fetches: those that it is the steward of,
    /// by its own view.
    pub(crate) fn probed_servers(&self) -> impl Iterator<Item = usize> + '_ {
        let is_own = |id: &ServerId| self.steward_consents.steward(*id) == Some(self.id);
        let servers = self.servers.iter().enumerate();
        servers
            .filter(move |(_, id)| is_own(id))
            .map(|(server, _)| server)
    }

    /// Applies a peer's heartbeat and returns the servers that have just joined.
    pub(crate) fn apply_heartbeat(
        &mut self,
        from: usize,
        heartbeat: &Heartbeat,
        now_ms: u64,
    ) -> Vec<usize> {
        let peer = &mut self.peers[from];
        peer.last_heartbeat_ms = now_ms;
        self.steward_backoff.note_seen(heartbeat.router);
        if heartbeat.in_flight.whole {
            peer.in_flight.fill(0);
        }
        for (id, count) in &heartbeat.in_flight.counts {
            if let Some(server) = self.servers.iter().position(|known| known == id) {
                peer.in_flight[server] = u32::from(*count);
            }
        }
        self.ledger
            .reconcile(heartbeat.router, &heartbeat.held, now_ms);
        let sum = self.peers[from].in_flight.iter().sum();
        self.record_pool_load(heartbeat.router, sum, now_ms);
        let mut joined = Vec::new();
        for state in &heartbeat.servers {
            let position = self.servers.iter().position(|id| *id == state.server);
            let Some(server) = position else { continue };
            let version = state_version(state.report.incarnation, state.state);
            if self.apply_state(server, state.state, version) {
                joined.push(server);
            }
        }
        joined
    }

    pub(super) fn server_state(&self, server: usize) -> ServerState {
        let view = &self.view.servers[server];
        ServerState {
            server: view.id,
            state: match self.state_versions[server] % 2 {
                0 => VmState::Live,
                _ => VmState::Leaving,
            },
            reachable: true,
            report: LoadReport {
                incarnation: self.state_versions[server] / 2,
                ..view.report
            },
        }
    }
}
