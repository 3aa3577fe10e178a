//! Enforces the limits of contracts on this router.
//!
//! A router enforces its equal share of each limit.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use sapphiretrack_core::{Contract, InFlightGate, RateLimiter, Refusal, RefusalCode};

/// When to come back after the in-flight limit.
const IN_FLIGHT_RETRY_MS: u64 = 500;

/// The limits of all customers.
#[derive(Clone, Default)]
pub(crate) struct LimitTable {
    customers: Arc<Mutex<BTreeMap<String, CustomerLimits>>>,
}

/// The limits of one customer.
struct CustomerLimits {
    requests: RateLimiter,
    tokens: RateLimiter,
    in_flight: InFlightGate,
}

/// Keeps one place under the in-flight limit until it is dropped.
pub(crate) struct InFlightPlace {
    table: LimitTable,
    customer: String,
}

impl LimitTable {
    /// Takes a request in, or refuses it with when to come back.
    pub(crate) fn enter(
        &self,
        contract: &Contract,
        tokens: u32,
        live_routers: usize,
        now_ms: u64,
    ) -> Result<InFlightPlace, Refusal> {
        let limits = &contract.limits;
        let share = 1.0 / live_routers.max(1) as f64;
        let requests_per_s = limits.requests_per_s * share;
        let tokens_per_s = limits.tokens_per_s * share;
        let in_flight_limit = (f64::from(limits.in_flight) * share).ceil() as u32;
        let mut customers = self
            .customers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let entry = customers
            .entry(contract.customer.clone())
            .or_insert_with(|| CustomerLimits {
                requests: RateLimiter::new(requests_per_s, limits.burst_s, now_ms),
                tokens: RateLimiter::new(tokens_per_s, limits.burst_s, now_ms),
                in_flight: InFlightGate::default(),
            });
        entry
            .requests
            .set_rate(requests_per_s, limits.burst_s, now_ms);
        entry.tokens.set_rate(tokens_per_s, limits.burst_s, now_ms);
        if !entry.in_flight.try_enter(in_flight_limit) {
            let message = format!("{} requests are in flight", limits.in_flight);
            return Err(Refusal::not_run(RefusalCode::InFlightLimited, message)
                .retry_after(IN_FLIGHT_RETRY_MS));
        }
        let place = InFlightPlace {
            table: self.clone(),
            customer: contract.customer.clone(),
        };
        let taken = entry
            .requests
            .try_take(1.0, now_ms)
            .and_then(|()| entry.tokens.try_take(f64::from(tokens), now_ms));
        drop(customers);
        match taken {
            Ok(()) => Ok(place),
            Err(wait_ms) => {
                let message = "the contract's request or token rate is used up";
                Err(Refusal::not_run(RefusalCode::RateLimited, message).retry_after(wait_ms))
            }
        }
    }

    /// Charges generated tokens.
    pub(crate) fn charge_tokens(&self, customer: &str, tokens: u32, now_ms: u64) {
        let mut customers = self
            .customers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = customers.get_mut(customer) {
            entry.tokens.charge(f64::from(tokens), now_ms);
        }
    }
}

impl Drop for InFlightPlace {
    fn drop(&mut self) {
        let mut customers = self
            .table
            .customers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = customers.get_mut(&self.customer) {
            entry.in_flight.leave();
        }
    }
}
