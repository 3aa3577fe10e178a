//! What a router may admit of a customer's budget while the budget's steward does not answer.
//!
//! [`EMERGENCY_SHARE`] of each contract is divided into a fixed part for each router. A paused
//! steward grants nothing, so the rate that all parts admit together stays below the contract's.
//! Admitted amounts are reported to the steward as a debt when it answers again.

use std::collections::BTreeSet;

use crate::budget::Amounts;
use crate::{Limits, RateLimiter, RouterId, hash_parts};

/// Fraction of a contract that all routers together may admit while the steward does not answer.
pub const EMERGENCY_SHARE: f64 = 0.25;
/// How long a router admits without the steward, from the first missing reply.
///
/// This covers the time until an unresponsive router loses its stewardship and the next steward
/// answers for the first time.
pub const EMERGENCY_MS: u64 = 5_000;
/// Tolerance for rounding down, so that for example a third of three does not become zero.
const ROUNDING: f64 = 1e-9;

/// A router's part of the emergency share.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EmergencyPart {
    rank: u32,
    routers: u32,
}

/// A router's emergency budget for one contract.
#[derive(Clone, Debug)]
pub(crate) struct EmergencyBudget {
    part: EmergencyPart,
    requests: RateLimiter,
    tokens: RateLimiter,
    unreachable_since_ms: Option<u64>,
    /// Amounts that were admitted and not yet reported to the steward.
    unreported: Amounts,
}

impl EmergencyPart {
    /// The part of the router `me` among `routers`.
    ///
    /// Slots and requests are indivisible. Which routers get the remainder depends on the customer,
    /// so that it is not the same routers for all customers.
    pub fn new(me: RouterId, routers: &BTreeSet<RouterId>, customer: &str) -> Self {
        let count = routers.len().max(1) as u64;
        let position = routers.range(..me).count() as u64;
        let offset = hash_parts(&[b"emergency", customer.as_bytes()]);
        Self {
            rank: ((position + offset % count) % count) as u32,
            routers: count as u32,
        }
    }

    /// This part of an amount, in whole units; all parts add up to the emergency share.
    fn whole_units(self, amount: f64) -> u32 {
        let up_to = |rank: u32| {
            let part = f64::from(rank) / f64::from(self.routers);
            (amount * EMERGENCY_SHARE * part + ROUNDING).floor()
        };
        (up_to(self.rank + 1) - up_to(self.rank)) as u32
    }

    /// In-flight limit of this part.
    ///
    /// If there are fewer requests or slots than routers, the scarcer of the two decides which
    /// routers get one of each.
    fn max_in_flight(self, limits: &Limits) -> u32 {
        let in_flight = f64::from(limits.in_flight);
        let burst = limits.requests_per_s * limits.burst_s;
        if self.whole_units(in_flight.min(burst)) == 0 {
            return 0;
        }
        self.whole_units(in_flight).max(1)
    }

    fn rate(self, rate_per_s: f64) -> f64 {
        rate_per_s * EMERGENCY_SHARE / f64::from(self.routers)
    }
}

impl EmergencyBudget {
    /// Creates a full budget; the steward counts as reachable.
    pub(crate) fn new(part: EmergencyPart, limits: &Limits, now_ms: u64) -> Self {
        let bucket = |rate_per_s| RateLimiter::new(part.rate(rate_per_s), limits.burst_s, now_ms);
        Self {
            part,
            requests: bucket(limits.requests_per_s),
            tokens: bucket(limits.tokens_per_s),
            unreachable_since_ms: None,
            unreported: Amounts::default(),
        }
    }

    /// Records that the steward did not answer; the part is then fixed until it answers again.
    pub(crate) fn mark_unreachable(&mut self, part: EmergencyPart, limits: &Limits, now_ms: u64) {
        if self.unreachable_since_ms.is_some() {
            return;
        }
        self.unreachable_since_ms = Some(now_ms);
        self.part = part;
        self.set_limits(limits, now_ms);
    }

    /// Records that the steward answered.
    pub(crate) fn mark_reachable(&mut self) {
        self.unreachable_since_ms = None;
    }

    /// Whether the steward is currently unreachable.
    pub(crate) fn is_steward_unreachable(&self) -> bool {
        self.unreachable_since_ms.is_some()
    }

    /// Whether to contact the steward although no request waits.
    pub(crate) fn needs_report(&self) -> bool {
        self.is_steward_unreachable() || self.unreported != Amounts::default()
    }

    /// Whether the budget is in its initial state and can be dropped.
    pub(crate) fn is_unused(&mut self, now_ms: u64) -> bool {
        !self.needs_report() && self.requests.is_full(now_ms) && self.tokens.is_full(now_ms)
    }

    /// Whether requests are currently admitted from this budget.
    pub(crate) fn is_in_use(&self, now_ms: u64) -> bool {
        self.unreachable_since_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) < EMERGENCY_MS)
    }

    /// Admits a request, or returns the retry delay in milliseconds; 0 if no slot is free.
    pub(crate) fn try_admit(
        &mut self,
        tokens: f64,
        in_flight: u32,
        limits: &Limits,
        now_ms: u64,
    ) -> Result<(), u64> {
        self.set_limits(limits, now_ms);
        if in_flight >= self.part.max_in_flight(limits) {
            return Err(0);
        }
        let wait_ms = self.requests.wait_ms(1.0, now_ms);
        let wait_ms = wait_ms.max(self.tokens.wait_ms(tokens, now_ms));
        if wait_ms > 0 {
            return Err(wait_ms);
        }
        self.requests.charge(1.0, now_ms);
        self.unreported.requests += 1.0;
        self.charge_tokens(tokens, now_ms);
        Ok(())
    }

    /// Charges tokens that a request used.
    pub(crate) fn charge_tokens(&mut self, tokens: f64, now_ms: u64) {
        self.tokens.charge(tokens, now_ms);
        self.unreported.tokens += tokens;
    }

    /// Takes the amounts to report to the steward; the next call starts from zero.
    pub(crate) fn take_unreported(&mut self) -> Amounts {
        std::mem::take(&mut self.unreported)
    }

    fn set_limits(&mut self, limits: &Limits, now_ms: u64) {
        let requests_per_s = self.part.rate(limits.requests_per_s);
        self.requests
            .set_rate(requests_per_s, limits.burst_s, now_ms);
        let tokens_per_s = self.part.rate(limits.tokens_per_s);
        self.tokens.set_rate(tokens_per_s, limits.burst_s, now_ms);
    }
}
