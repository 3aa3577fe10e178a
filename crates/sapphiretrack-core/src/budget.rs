//! A customer's budget at its steward: how much each router holds and how much can be leased.
//!
//! The steward keeps one token bucket for each rate. A router takes from it what a waiting request
//! needs and leases an amount in advance for its next requests. All advance leases together are at
//! most [`HELD_SHARE`] of a burst, and the bucket's burst is smaller by the same amount. So any
//! number of routers together admits no more than a single limiter with the full burst.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{Limits, RateLimiter, RouterId};

/// Fraction of a burst that all routers together may hold in advance.
pub const HELD_SHARE: f64 = 0.2;
/// Fraction of a budget that a new steward starts with while routers unknown to it may hold a part;
/// at least one request.
pub const NEW_STEWARD_SHARE: f64 = 0.125;
/// Lease duration, counted from the last request that the steward received from the holder.
pub const BUDGET_LEASE_MS: u64 = 1_500;
/// Minimum retry delay for refused callers.
const MIN_RETRY_MS: u64 = 20;
/// Retry delay for callers refused by the in-flight limit.
const SLOT_RETRY_MS: u64 = 200;

/// An amount of requests and tokens.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Amounts {
    /// Requests.
    pub requests: f64,
    /// Tokens.
    pub tokens: f64,
}

/// A router's request to the steward of a customer's budget.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BudgetRequest {
    /// The requesting router.
    pub router: RouterId,
    /// The customer's name.
    pub customer: String,
    /// Increases with each request of a router for a customer.
    pub sequence: u64,
    /// Unspent amounts that the router holds; negative if it used more than it held.
    pub held: Amounts,
    /// Unused amounts that the router returns.
    pub returned: Amounts,
    /// Tokens of the caller's request that waits for the reply; `None` if none waits.
    pub need_tokens: Option<f64>,
    /// Amounts to lease to the router in advance.
    pub ahead: Amounts,
    /// The router's requests in flight, without the waiting one.
    pub in_flight: u32,
    /// In-flight slots to lease to the router in advance.
    pub slots_ahead: u32,
}

/// The steward's reply.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum BudgetReply {
    /// The router is the steward and grants or refuses.
    Answered(BudgetGrant),
    /// The router is not the customer's steward in its own view.
    NotSteward,
}

/// Amounts and slots that a steward leases to a router.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct BudgetGrant {
    /// Decision about the waiting request; if admitted, its amounts are already charged.
    pub need: NeedDecision,
    /// Amounts to add to what the router holds.
    pub added: Amounts,
    /// In-flight slots that the router holds, including those in use.
    pub slots: u32,
}

/// A steward's decision about a waiting request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum NeedDecision {
    /// No request was waiting.
    Nothing,
    /// The request may run.
    Admitted,
    /// The request or token rate is used up.
    RateUsedUp {
        /// Delay before the next attempt.
        retry_after_ms: u64,
        /// Whether a request of any size would be refused.
        any_size: bool,
    },
    /// No in-flight slot is free.
    SlotsUsedUp {
        /// Delay before the next attempt.
        retry_after_ms: u64,
    },
}

/// One customer's budget at its steward.
#[derive(Clone, Debug)]
pub struct CustomerBudget {
    requests: RateLimiter,
    tokens: RateLimiter,
    holders: BTreeMap<RouterId, Holder>,
    /// Until this time routers unknown to this steward may hold in-flight slots.
    holders_unknown_until_ms: u64,
}

/// What one router holds.
#[derive(Clone, Copy, Debug, Default)]
struct Holder {
    held: Amounts,
    slots: u32,
    first_in_flight: u32,
    sequence: u64,
    seen_ms: u64,
}

impl CustomerBudget {
    /// Creates a customer's budget at a new steward.
    ///
    /// If some holders may be unknown, it grants only a part until their leases have expired.
    pub fn new(limits: &Limits, are_holders_known: bool, now_ms: u64) -> Self {
        let burst_s = limits.burst_s * (1.0 - HELD_SHARE);
        let mut requests = RateLimiter::new(limits.requests_per_s, burst_s, now_ms);
        let mut tokens = RateLimiter::new(limits.tokens_per_s, burst_s, now_ms);
        let mut holders_unknown_until_ms = 0;
        if !are_holders_known {
            requests.scale_level(NEW_STEWARD_SHARE);
            tokens.scale_level(NEW_STEWARD_SHARE);
            holders_unknown_until_ms = now_ms + BUDGET_LEASE_MS;
        }
        Self {
            requests,
            tokens,
            holders: BTreeMap::new(),
            holders_unknown_until_ms,
        }
    }

    /// Answers a router's request.
    ///
    /// `share` is the fraction of the contract that this steward may grant. It is below 1 while
    /// routers that may use another steward are unreachable.
    pub fn answer(
        &mut self,
        request: &BudgetRequest,
        limits: &Limits,
        share: f64,
        now_ms: u64,
    ) -> BudgetGrant {
        self.expire(now_ms);
        self.set_limits(limits, share, now_ms);
        if !self.record_holder(request, now_ms) {
            return BudgetGrant {
                need: NeedDecision::SlotsUsedUp {
                    retry_after_ms: MIN_RETRY_MS,
                },
                added: Amounts::default(),
                slots: request.in_flight,
            };
        }
        let mut added = self.charge_debt(request, now_ms);
        let free_slots = self.free_slots(request, limits, share, now_ms);
        let need = self.decide_need(request, free_slots, now_ms);
        let admitted = u32::from(need == NeedDecision::Admitted);
        // Leaves half of the free slots to other routers.
        let slots_ahead = request.slots_ahead.min((free_slots - admitted) / 2);
        let slots = request.in_flight + admitted + slots_ahead;
        let ahead = self.lease_in_advance(request, limits, share, now_ms);
        added.requests += ahead.requests;
        added.tokens += ahead.tokens;
        if let Some(holder) = self.holders.get_mut(&request.router) {
            holder.slots = slots;
            holder.held.requests += ahead.requests;
            holder.held.tokens += ahead.tokens;
        }
        BudgetGrant { need, added, slots }
    }

    /// Whether no router holds anything and the buckets are full, so the budget can be dropped.
    pub fn is_idle(&mut self, now_ms: u64) -> bool {
        self.expire(now_ms);
        self.holders.is_empty() && self.requests.is_full(now_ms) && self.tokens.is_full(now_ms)
    }

    /// Removes routers whose lease has expired; they stopped spending it by then.
    fn expire(&mut self, now_ms: u64) {
        self.holders
            .retain(|_, holder| now_ms.saturating_sub(holder.seen_ms) < BUDGET_LEASE_MS);
    }

    fn set_limits(&mut self, limits: &Limits, share: f64, now_ms: u64) {
        let burst_s = limits.burst_s * (1.0 - HELD_SHARE);
        self.requests
            .set_rate(limits.requests_per_s * share, burst_s, now_ms);
        self.tokens
            .set_rate(limits.tokens_per_s * share, burst_s, now_ms);
    }

    /// Records what a router holds; returns false if this or a newer request was already answered.
    fn record_holder(&mut self, request: &BudgetRequest, now_ms: u64) -> bool {
        let known = self.holders.get(&request.router).copied();
        if known.is_some_and(|known| request.sequence <= known.sequence) {
            return false;
        }
        let before = known.map_or_else(Amounts::default, |known| known.held);
        self.requests.give_back(
            request.returned.requests.clamp(0.0, before.requests),
            now_ms,
        );
        self.tokens
            .give_back(request.returned.tokens.clamp(0.0, before.tokens), now_ms);
        let holder = Holder {
            held: Amounts {
                requests: request.held.requests.max(0.0),
                tokens: request.held.tokens.max(0.0),
            },
            slots: request.in_flight,
            first_in_flight: known.map_or(request.in_flight, |known| known.first_in_flight),
            sequence: request.sequence,
            seen_ms: now_ms,
        };
        self.holders.insert(request.router, holder);
        true
    }

    /// Charges the buckets with what a router used beyond what it held.
    fn charge_debt(&mut self, request: &BudgetRequest, now_ms: u64) -> Amounts {
        let debt = Amounts {
            requests: (-request.held.requests).max(0.0),
            tokens: (-request.held.tokens).max(0.0),
        };
        self.requests.charge(debt.requests, now_ms);
        self.tokens.charge(debt.tokens, now_ms);
        debt
    }

    fn free_slots(&self, request: &BudgetRequest, limits: &Limits, share: f64, now_ms: u64) -> u32 {
        let mut limit = (f64::from(limits.in_flight) * share).floor() as u32;
        if now_ms < self.holders_unknown_until_ms {
            let reported: u32 = self.holders.values().map(|h| h.first_in_flight).sum();
            let unknown = (f64::from(limits.in_flight) * NEW_STEWARD_SHARE).floor() as u32;
            limit = limit.min(reported + unknown.max(1));
        }
        let others = self.holders.iter().filter(|(id, _)| **id != request.router);
        let taken: u32 = others.map(|(_, holder)| holder.slots).sum();
        limit.saturating_sub(taken + request.in_flight)
    }

    fn decide_need(
        &mut self,
        request: &BudgetRequest,
        free_slots: u32,
        now_ms: u64,
    ) -> NeedDecision {
        let Some(tokens) = request.need_tokens else {
            return NeedDecision::Nothing;
        };
        if free_slots == 0 {
            return NeedDecision::SlotsUsedUp {
                retry_after_ms: SLOT_RETRY_MS,
            };
        }
        let requests_wait_ms = self.requests.wait_ms(1.0, now_ms);
        let wait_ms = self.tokens.wait_ms(tokens, now_ms).max(requests_wait_ms);
        if wait_ms > 0 {
            return NeedDecision::RateUsedUp {
                retry_after_ms: wait_ms.max(MIN_RETRY_MS),
                any_size: requests_wait_ms > 0,
            };
        }
        self.requests.charge(1.0, now_ms);
        self.tokens.charge(tokens, now_ms);
        NeedDecision::Admitted
    }

    /// Leases amounts in advance, as far as [`HELD_SHARE`] and the buckets allow.
    fn lease_in_advance(
        &mut self,
        request: &BudgetRequest,
        limits: &Limits,
        share: f64,
        now_ms: u64,
    ) -> Amounts {
        let held = self
            .holders
            .values()
            .fold(Amounts::default(), |sum, h| Amounts {
                requests: sum.requests + h.held.requests,
                tokens: sum.tokens + h.held.tokens,
            });
        let held_burst_s = limits.burst_s * HELD_SHARE * share;
        let unleased = |rate_per_s: f64, held: f64| (rate_per_s * held_burst_s - held).max(0.0);
        let requests = request
            .ahead
            .requests
            .min(unleased(limits.requests_per_s, held.requests))
            .min(self.requests.available(now_ms))
            .floor();
        let tokens = request
            .ahead
            .tokens
            .min(unleased(limits.tokens_per_s, held.tokens))
            .min(self.tokens.available(now_ms))
            .floor();
        self.requests.charge(requests, now_ms);
        self.tokens.charge(tokens, now_ms);
        Amounts { requests, tokens }
    }
}
