//! The order in which a policy tries servers for a request.

use sapphiretrack_core::{
    ChatKey, PlacementRequest, VmState, WarmHint, WorkspaceKey, rank_servers,
};

use crate::policy::policies::{Policy, SimpleView, simple_order};
use crate::policy::router::{Try, tries};
use crate::policy::trace::Turn;

use super::World;

impl World<'_> {
    pub(super) fn order(&mut self, request: u32) -> Vec<Try> {
        let turn = self.turn(request);
        let share = self.share(request);
        let now_ms = self.now_ms();
        let is_told = turn.sends_value && self.scenario.sticky;
        match self.policy {
            Policy::Oracle => self.oracle_order(turn, share),
            Policy::Sapphiretrack => {
                let told = self.values.get(&turn.chat).copied().filter(|_| is_told);
                self.routers[turn.router].rank(turn, told, share, now_ms)
            }
            Policy::ExchangedVectors => {
                let told = self.values.get(&turn.chat).copied().filter(|_| is_told);
                let router = &mut self.routers[turn.router];
                let mut order = router.rank(turn, told, share, now_ms);
                order.retain(|one| router.seems_to_have_room(one.server, share, now_ms));
                order
            }
            simple => {
                let router = &self.routers[turn.router];
                let live = (0..self.ids.len()).filter(|server| router.is_open(*server));
                let views: Vec<SimpleView> = live
                    .map(|index| SimpleView {
                        index,
                        id: self.ids[index],
                        reported: router.reported(index),
                        own: router.own(index),
                    })
                    .collect();
                let taken = &mut self.turns_taken[turn.router];
                let multiple = self.scenario.placement.bound.load_multiple;
                let order =
                    simple_order(simple, &views, turn.chat, taken, multiple, &mut self.random);
                let no_import = |server| Try {
                    server,
                    import_from: None,
                    uncached_tokens: 0,
                    told: None,
                };
                order.into_iter().map(no_import).collect()
            }
        }
    }

    pub(super) fn oracle_order(&mut self, turn: &Turn, share: f64) -> Vec<Try> {
        for (view, engine) in self.oracle_view.servers.iter_mut().zip(&self.engines) {
            view.state = if engine.is_open() {
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
        let warm: Vec<WarmHint> = self.values.get(&turn.chat).copied().into_iter().collect();
        let request = PlacementRequest {
            workspace,
            workspace_share: self.oracle_shares.note(workspace, self.now_us / 1_000),
            chat: ChatKey(turn.chat),
            prompt_tokens: turn.prompt_tokens,
            warm: &warm,
            bound_share: share,
            zone: "",
        };
        let ranked = rank_servers(&self.scenario.placement, &self.oracle_view, &request);
        let limit = self.true_limit(share);
        let under = tries(&self.ids, &ranked).into_iter();
        under
            .filter(|one| self.engines[one.server].in_flight() < limit)
            .collect()
    }
}
