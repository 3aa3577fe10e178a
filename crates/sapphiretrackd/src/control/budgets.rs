//! The budgets of the customers whose steward this router is.

use std::collections::BTreeMap;

use sapphiretrack_core::{
    BUDGET_LEASE_MS, BudgetAsk, BudgetReply, Contract, CustomerBudget, RouterId, ServerId,
    hash_parts, steward_of,
};

/// All budgets that this router keeps.
#[derive(Default)]
pub(crate) struct Budgets {
    customers: BTreeMap<String, CustomerBudget>,
    stewards: Vec<RouterId>,
    stewards_changed_ms: u64,
}

impl Budgets {
    /// Notes which routers may be stewards; forgets budgets that others keep, or nobody uses.
    pub(crate) fn set_view(&mut self, me: RouterId, stewards: &[RouterId], now_ms: u64) {
        if self.stewards != stewards {
            self.stewards = stewards.to_vec();
            self.stewards_changed_ms = now_ms;
        }
        self.customers.retain(|customer, budget| {
            budget_steward(customer, stewards) == Some(me) && !budget.is_idle(now_ms)
        });
    }

    /// Answers a router about a customer whose steward this one is.
    pub(crate) fn answer(
        &mut self,
        ask: &BudgetAsk,
        contract: &Contract,
        share: f64,
        now_ms: u64,
    ) -> BudgetReply {
        // The steward before may have leased budgets that still last.
        let knows_holders = now_ms.saturating_sub(self.stewards_changed_ms) >= BUDGET_LEASE_MS;
        let budget = self
            .customers
            .entry(ask.customer.clone())
            .or_insert_with(|| CustomerBudget::new(&contract.limits, knows_holders, now_ms));
        BudgetReply::Answered(budget.answer(ask, &contract.limits, share, now_ms))
    }
}

/// The router that keeps a customer's budget: rendezvous over the live routers.
pub(crate) fn budget_steward(customer: &str, stewards: &[RouterId]) -> Option<RouterId> {
    let key = hash_parts(&[b"budget", customer.as_bytes()]);
    steward_of(ServerId(key), stewards)
}
