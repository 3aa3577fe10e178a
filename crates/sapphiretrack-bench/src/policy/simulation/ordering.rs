//! The order in which each policy tries the servers for a request.

use sapphiretrack_core::{
    ChatKey, PlacementRequest, VmState, WarmHint, WorkspaceKey, rank_servers,
};

use crate::policy::policies::{BaselineServer, Policy, baseline_order};
use crate::policy::router::{Attempt, to_attempts};
use crate::policy::trace::Turn;

use super::Simulation;

impl Simulation<'_> {
    pub(super) fn attempts_for(&mut self, request: u32) -> Vec<Attempt> {
        let turn = self.turn(request);
        let share = self.bound_share(request);
        let now_ms = self.now_ms();
        let has_caller_value = turn.sends_value && self.scenario.sticky;
        match self.policy {
            Policy::Oracle => self.oracle_attempts(turn, share),
            Policy::Sapphiretrack => {
                let caller_hint = self
                    .caller_values
                    .get(&turn.chat)
                    .copied()
                    .filter(|_| has_caller_value);
                self.routers[turn.router].rank(turn, caller_hint, share, now_ms)
            }
            Policy::ExchangedVectors => {
                let caller_hint = self
                    .caller_values
                    .get(&turn.chat)
                    .copied()
                    .filter(|_| has_caller_value);
                let router = &mut self.routers[turn.router];
                let mut order = router.rank(turn, caller_hint, share, now_ms);
                order.retain(|one| router.appears_below_limit(one.server, share, now_ms));
                order
            }
            baseline => {
                let router = &self.routers[turn.router];
                let live =
                    (0..self.server_ids.len()).filter(|server| router.sends_requests_to(*server));
                let views: Vec<BaselineServer> = live
                    .map(|index| BaselineServer {
                        index,
                        id: self.server_ids[index],
                        reported_requests: router.reported_requests(index),
                        own_in_flight: router.own_in_flight(index),
                    })
                    .collect();
                let request_number = &mut self.routed_requests[turn.router];
                let multiple = self.scenario.placement.bound.load_multiple;
                let order = baseline_order(
                    baseline,
                    &views,
                    turn.chat,
                    request_number,
                    multiple,
                    &mut self.random,
                );
                let no_import = |server| Attempt {
                    server,
                    import_from: None,
                    uncached_tokens: 0,
                    known_load: None,
                };
                order.into_iter().map(no_import).collect()
            }
        }
    }

    pub(super) fn oracle_attempts(&mut self, turn: &Turn, share: f64) -> Vec<Attempt> {
        for (view, engine) in self.oracle_view.servers.iter_mut().zip(&self.engines) {
            view.state = if engine.accepts_requests() {
                VmState::Live
            } else {
                VmState::Leaving
            };
            view.in_flight = engine.in_flight();
            view.report.incarnation = engine.incarnation;
            view.backlog_tokens = engine.backlog_tokens(self.now_us);
        }
        self.oracle_view
            .servers
            .iter_mut()
            .filter(|view| view.state == VmState::Leaving)
            .for_each(|view| view.in_flight = 0);
        let workspace = WorkspaceKey(turn.workspace);
        let warm: Vec<WarmHint> = self
            .caller_values
            .get(&turn.chat)
            .copied()
            .into_iter()
            .collect();
        let request = PlacementRequest {
            workspace,
            workspace_share: self
                .oracle_shares
                .note_request(workspace, self.now_us / 1_000),
            chat: ChatKey(turn.chat),
            prompt_tokens: turn.prompt_tokens,
            warm: &warm,
            bound_share: share,
            zone: "",
        };
        let ranked = rank_servers(&self.scenario.placement, &self.oracle_view, &request);
        let limit = self.true_limit(share);
        let under = to_attempts(&self.server_ids, &ranked).into_iter();
        under
            .filter(|one| self.engines[one.server].in_flight() < limit)
            .collect()
    }
}
