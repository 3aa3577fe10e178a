//! Stewards that no longer grant slots: ended incarnations of peers, and this router once it has
//! resigned.

use std::net::SocketAddr;

use sapphiretrack_core::{Incarnation, Ledger, RouterId};

use crate::control::ControlState;
use crate::control::heartbeats::URGENT_ROUNDS;
use crate::control::state::ledger_settings;

impl ControlState {
    /// Handles a refused connection to a peer.
    ///
    /// `dialled` is the newest incarnation of the peer that was known when the connection was
    /// started. If a newer one is known by now, the refusal is ignored.
    pub(crate) fn handle_peer_refusal(
        &mut self,
        router: RouterId,
        dialled: Incarnation,
        now_ms: u64,
    ) {
        let newest = self.peers.known_incarnation(router);
        if dialled != newest {
            return;
        }
        if self
            .ended_incarnations
            .note_refused(router, dialled, newest)
        {
            self.release_consents(router);
        }
        let change = self.peers.note_refused(router, now_ms);
        self.handle_peer_changes(change.as_slice());
    }

    /// Handles a refused connection to a steward of which only the address is known.
    ///
    /// Since the incarnation is unknown, heartbeats are sent at once to verify the refusal.
    pub(crate) fn handle_address_refusal(&mut self, address: SocketAddr) {
        let mut peers = self.peers.iter();
        if peers.any(|(_, peer)| peer.profile.peer_address == address) {
            self.urgent_rounds = self.urgent_rounds.max(1);
        }
    }

    /// Ends the consents to a router that no longer grants slots at once, instead of letting them
    /// expire. Returns whether there were any to end.
    pub(super) fn release_consents(&mut self, router: RouterId) -> bool {
        let changes = self.consents.release(router);
        if changes {
            self.changed = true;
            self.urgent_rounds = URGENT_ROUNDS;
        }
        changes
    }

    /// Resets the ledger, so that this router grants slots only after its peers have consented
    /// again.
    pub(super) fn reset_ledger(&mut self) {
        self.ledger = Ledger::new(self.identity.id, ledger_settings(&self.timing));
        self.heartbeat_tracker.invalidate_earlier();
    }

    /// Resigns as steward once this router is leaving and all its successors have seen that.
    pub(super) fn update_resignation(&mut self) {
        let is_own_successor = self.stewards.contains(&self.identity.id);
        if !is_own_successor && self.resignation.try_resign(&self.stewards) {
            self.changed = true;
            self.urgent_rounds = URGENT_ROUNDS;
        }
    }
}
