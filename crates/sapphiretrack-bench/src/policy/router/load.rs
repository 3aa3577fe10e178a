//! The load of the pool as a simulated router knows it.

use sapphiretrack_core::{
    LoadReport, PoolLoad, RouterId, RouterLoad, SentTokens, backlog_tokens, pool_load, server_limit,
};

use super::Router;

impl Router {
    /// Stores a server's load report.
    pub(crate) fn apply_report(&mut self, server: usize, report: LoadReport, now_ms: u64) {
        self.last_report_ms = now_ms;
        self.ledger
            .note_report(self.servers[server], report.running + report.queued, now_ms);
        self.view.servers[server].report = report;
    }

    /// Returns the number of this router's requests in flight on all servers.
    pub(crate) fn pool_in_flight(&self) -> u32 {
        self.own_in_flight.iter().sum()
    }

    /// Returns whether a server is below its load bound, as far as this router knows.
    pub(crate) fn appears_below_limit(&self, server: usize, share: f64, now_ms: u64) -> bool {
        let load = self.pool_load(now_ms);
        self.known_in_flight(server) < server_limit(&self.placement.bound, &load, share)
    }

    pub(super) fn known_in_flight(&self, server: usize) -> u32 {
        let seen = self.peers.iter().map(|peer| peer.in_flight[server]);
        seen.sum::<u32>() + self.own_in_flight[server]
    }

    pub(super) fn record_pool_load(&mut self, router: RouterId, in_flight: u32, now_ms: u64) {
        let Some(index) = self.router_ids.iter().position(|id| *id == router) else {
            return;
        };
        let peer = &mut self.peers[index];
        peer.pool_in_flight = in_flight;
        peer.pool_load_at_ms = now_ms;
    }

    pub(super) fn pool_load(&self, now_ms: u64) -> PoolLoad {
        let own = self.pool_in_flight();
        let others = self
            .router_ids
            .iter()
            .zip(&self.peers)
            .filter(|(id, _)| **id != self.id);
        let seen = others.map(|(_, peer)| RouterLoad {
            in_flight: peer.pool_in_flight,
            age_ms: now_ms.saturating_sub(peer.pool_load_at_ms),
        });
        let holding = (0..self.servers.len()).filter(|server| !self.is_live(*server));
        let holding = holding
            .filter(|server| self.known_in_flight(*server) > 0)
            .count();
        PoolLoad {
            live_servers: self.view.live_count() + holding as u32,
            open_servers: self.view.open_count(),
            ..pool_load(&self.drain, own, seen)
        }
    }

    /// Updates the loads in the view before a placement.
    ///
    /// The requests in flight are the ledger's count where this router is the steward, otherwise
    /// the last counts of the peers plus its own. The backlog is estimated from the last report and
    /// the tokens that this router sent since.
    pub(super) fn update_view_loads(&mut self, now_ms: u64) {
        for (server, view) in self.view.servers.iter_mut().enumerate() {
            let seen: u32 = self.peers.iter().map(|peer| peer.in_flight[server]).sum();
            let counted = self.ledger.held(view.id);
            view.in_flight = counted.unwrap_or(seen + self.own_in_flight[server]);
            let own = self
                .reservations
                .values()
                .filter(|entry| entry.server == server);
            let sent = own.map(|entry| SentTokens {
                tokens: entry.uncached_tokens,
                age_ms: now_ms.saturating_sub(entry.requested_ms),
            });
            let age_ms = now_ms.saturating_sub(self.last_report_ms);
            let reported_tokens = view.report.queued_prompt_tokens;
            view.backlog_tokens = backlog_tokens(&self.placement, reported_tokens, age_ms, sent);
        }
    }
}
