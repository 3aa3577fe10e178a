//! What a router may admit of a customer's budget while its steward does not answer.
//!
//! Every router has a fixed part of [`EMERGENCY_SHARE`] of each contract. A paused steward gives
//! out nothing, so what the parts admit by their rate is less than the contract's. What they admit
//! is told to the steward as a debt when it answers again.

use std::collections::BTreeSet;

use crate::budget::Amounts;
use crate::{Limits, RateLimiter, RouterId, hash_parts};

/// The part of a contract that all routers together may admit while the steward does not answer.
pub const EMERGENCY_SHARE: f64 = 0.25;
/// How long after the first missing answer a router admits without the steward.
///
/// It covers the time until a silent router loses its stewardship, and the next one's first answer.
pub const EMERGENCY_MS: u64 = 5_000;
/// Keeps sums such as a third of three from being rounded down to less than one.
const ROUNDING: f64 = 1e-9;

/// Which part of the emergency share is a router's.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EmergencyPart {
    rank: u32,
    routers: u32,
}

/// A router's emergency part of one contract.
#[derive(Clone, Debug)]
pub(crate) struct EmergencyBudget {
    part: EmergencyPart,
    requests: RateLimiter,
    tokens: RateLimiter,
    silent_since_ms: Option<u64>,
    /// What was admitted and the steward has not been told of.
    spent: Amounts,
}

impl EmergencyPart {
    /// The part of the router `me` among all.
    ///
    /// Places and requests are not divided, so who has the odd ones differs between customers.
    pub fn new(me: RouterId, routers: &BTreeSet<RouterId>, customer: &str) -> Self {
        let count = routers.len().max(1) as u64;
        let before = routers.range(..me).count() as u64;
        let turn = hash_parts(&[b"emergency", customer.as_bytes()]);
        Self {
            rank: ((before + turn % count) % count) as u32,
            routers: count as u32,
        }
    }

    /// The whole units of a contract's amount; the parts of all routers add up to the share.
    fn whole(self, amount: f64) -> u32 {
        let up_to = |rank: u32| {
            let part = f64::from(rank) / f64::from(self.routers);
            (amount * EMERGENCY_SHARE * part + ROUNDING).floor()
        };
        (up_to(self.rank + 1) - up_to(self.rank)) as u32
    }

    /// Places in flight. Where requests or places are fewer than routers, those routers have one
    /// of both that the scarcer of the two gives one.
    fn places(self, limits: &Limits) -> u32 {
        let in_flight = f64::from(limits.in_flight);
        let burst = limits.requests_per_s * limits.burst_s;
        if self.whole(in_flight.min(burst)) == 0 {
            return 0;
        }
        self.whole(in_flight).max(1)
    }

    fn rate(self, rate_per_s: f64) -> f64 {
        rate_per_s * EMERGENCY_SHARE / f64::from(self.routers)
    }
}

impl EmergencyBudget {
    /// A full part; the steward is not missed yet.
    pub(crate) fn new(part: EmergencyPart, limits: &Limits, now_ms: u64) -> Self {
        let bucket = |rate_per_s| RateLimiter::new(part.rate(rate_per_s), limits.burst_s, now_ms);
        Self {
            part,
            requests: bucket(limits.requests_per_s),
            tokens: bucket(limits.tokens_per_s),
            silent_since_ms: None,
            spent: Amounts::default(),
        }
    }

    /// Notes that the steward did not answer; the part stays as it is until it answers.
    pub(crate) fn note_silence(&mut self, part: EmergencyPart, limits: &Limits, now_ms: u64) {
        if self.silent_since_ms.is_some() {
            return;
        }
        self.silent_since_ms = Some(now_ms);
        self.part = part;
        self.set_limits(limits, now_ms);
    }

    /// Notes that a steward answers.
    pub(crate) fn end_silence(&mut self) {
        self.silent_since_ms = None;
    }

    /// Whether the steward is missed.
    pub(crate) fn is_silent(&self) -> bool {
        self.silent_since_ms.is_some()
    }

    /// Whether the steward is to be asked though no request waits.
    pub(crate) fn has_news(&self) -> bool {
        self.is_silent() || self.spent != Amounts::default()
    }

    /// Whether nothing would be lost by beginning anew.
    pub(crate) fn is_unused(&mut self, now_ms: u64) -> bool {
        !self.has_news() && self.requests.is_full(now_ms) && self.tokens.is_full(now_ms)
    }

    /// Whether requests are decided here for now.
    pub(crate) fn is_in_use(&self, now_ms: u64) -> bool {
        self.silent_since_ms
            .is_some_and(|since_ms| now_ms.saturating_sub(since_ms) < EMERGENCY_MS)
    }

    /// Admits a request, or says after how many milliseconds it may come back.
    pub(crate) fn try_admit(
        &mut self,
        tokens: f64,
        in_flight: u32,
        limits: &Limits,
        now_ms: u64,
    ) -> Result<(), u64> {
        self.set_limits(limits, now_ms);
        if in_flight >= self.part.places(limits) {
            return Err(0);
        }
        let wait_ms = self.requests.wait_ms(1.0, now_ms);
        let wait_ms = wait_ms.max(self.tokens.wait_ms(tokens, now_ms));
        if wait_ms > 0 {
            return Err(wait_ms);
        }
        self.requests.charge(1.0, now_ms);
        self.spent.requests += 1.0;
        self.charge_tokens(tokens, now_ms);
        Ok(())
    }

    /// Counts tokens that a request used.
    pub(crate) fn charge_tokens(&mut self, tokens: f64, now_ms: u64) {
        self.tokens.charge(tokens, now_ms);
        self.spent.tokens += tokens;
    }

    /// What the steward has to be told, once.
    pub(crate) fn take_spent(&mut self) -> Amounts {
        std::mem::take(&mut self.spent)
    }

    fn set_limits(&mut self, limits: &Limits, now_ms: u64) {
        let requests_per_s = self.part.rate(limits.requests_per_s);
        self.requests
            .set_rate(requests_per_s, limits.burst_s, now_ms);
        let tokens_per_s = self.part.rate(limits.tokens_per_s);
        self.tokens.set_rate(tokens_per_s, limits.burst_s, now_ms);
    }
}
