//! Budgets of the customers that this router is the steward of.

use std::collections::BTreeMap;

use sapphiretrack_core::{
    BUDGET_LEASE_MS, BudgetReply, BudgetRequest, Contract, CustomerBudget, MAX_ITERATION_GAP_MS,
    RouterId, ServerId, hash_parts, steward_of,
};

use crate::control::ControlState;
use crate::control::handle::BudgetRoute;

/// A peer counts towards the share of budgets if it was seen within this percentage of
/// `dead_after_ms`, the silence after which its budgets move to another steward.
const RECENTLY_SEEN_PERCENT: u64 = 60;

/// The budgets of the customers that this router is the steward of.
#[derive(Default)]
pub(crate) struct Budgets {
    customers: BTreeMap<String, CustomerBudget>,
    stewards: Vec<RouterId>,
    stewards_changed_ms: u64,
}

impl Budgets {
    /// Updates the routers that may be stewards, and drops budgets that now belong to another
    /// steward or are idle.
    pub(crate) fn update_stewards(&mut self, me: RouterId, stewards: &[RouterId], now_ms: u64) {
        if self.stewards != stewards {
            self.stewards = stewards.to_vec();
            self.stewards_changed_ms = now_ms;
        }
        self.customers.retain(|customer, budget| {
            budget_steward(customer, stewards) == Some(me) && !budget.is_idle(now_ms)
        });
    }

    /// Drops all budgets after a pause that was long enough for peers to declare this router dead.
    ///
    /// Another router may have been steward in the meantime, and may already have granted what the
    /// buckets refilled during the pause.
    pub(crate) fn reset_after_pause(&mut self, gap_ms: u64, dead_after_ms: u64, now_ms: u64) {
        if gap_ms + MAX_ITERATION_GAP_MS >= dead_after_ms {
            self.customers.clear();
            self.stewards_changed_ms = now_ms;
        }
    }

    /// Answers a budget request as the customer's steward.
    pub(crate) fn grant(
        &mut self,
        request: &BudgetRequest,
        contract: &Contract,
        share: f64,
        now_ms: u64,
    ) -> BudgetReply {
        // Leases granted by the previous steward may still be valid.
        let are_holders_known = now_ms.saturating_sub(self.stewards_changed_ms) >= BUDGET_LEASE_MS;
        let budget = self
            .customers
            .entry(request.customer.clone())
            .or_insert_with(|| CustomerBudget::new(&contract.limits, are_holders_known, now_ms));
        BudgetReply::Answered(budget.answer(request, &contract.limits, share, now_ms))
    }
}

/// The steward of a customer, chosen by rendezvous hashing over the routers in `stewards`.
pub(crate) fn budget_steward(customer: &str, stewards: &[RouterId]) -> Option<RouterId> {
    let key = hash_parts(&[b"budget", customer.as_bytes()]);
    steward_of(ServerId(key), stewards)
}

impl ControlState {
    /// Returns the peer that is the customer's steward, or this router's own answer if no peer is.
    pub(crate) fn lease_budget(&mut self, request: BudgetRequest, now_ms: u64) -> BudgetRoute {
        let steward = budget_steward(&request.customer, &self.stewards);
        let peer = steward.and_then(|steward| Some((steward, self.peers.get(steward)?)));
        match peer {
            Some((steward, peer)) => BudgetRoute::Peer {
                steward,
                address: peer.profile.peer_address,
                request,
            },
            None => BudgetRoute::Local(self.answer_budget_request(&request, now_ms)),
        }
    }

    /// Answers a budget request, with `NotSteward` if this router is not the steward or does not
    /// have the customer's contract.
    pub(super) fn answer_budget_request(
        &mut self,
        request: &BudgetRequest,
        now_ms: u64,
    ) -> BudgetReply {
        let steward = budget_steward(&request.customer, &self.stewards);
        let contract = self.config.contracts.get(&request.customer);
        match contract {
            Some(contract) if steward == Some(self.identity.id) => {
                let contract = contract.clone();
                let share = self.budget_share(now_ms);
                self.budgets.grant(request, &contract, share, now_ms)
            }
            _ => BudgetReply::NotSteward,
        }
    }

    /// The fraction of each budget that this router may grant as steward: the routers that it saw
    /// recently, divided by the routers that it expects. Routers that it does not see may use
    /// another steward.
    fn budget_share(&self, now_ms: u64) -> f64 {
        let seen_within_ms = self.timing.dead_after_ms * RECENTLY_SEEN_PERCENT / 100;
        let seen = 1 + self.peers.live_seen_within(seen_within_ms, now_ms);
        seen as f64 / self.peers.expected_routers().max(seen) as f64
    }
}
