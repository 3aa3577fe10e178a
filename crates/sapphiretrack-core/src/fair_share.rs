//! Fair shares between customers while a pool is full.
//!
//! A full pool refuses requests of all customers alike, so a customer that sends ten times as many
//! requests would get ten times as much of the capacity that becomes free. For some time after a
//! refusal due to lack of capacity, each customer is therefore limited to its fair share of the
//! requests that this router has in flight on the pool.
//!
//! Routers share servers, so a slot that one router leaves free for a customer is taken by requests
//! from other routers. Customers with above-average demand therefore leave a part of each server
//! free (trunk reservation), which customers with less demand can use through any router. A
//! customer with far below average demand is not limited to a share of one router's requests in
//! flight: with a few slots, the share is too coarse.

use std::collections::BTreeMap;

/// How long a pool counts as full after it refused a request due to lack of capacity.
pub const FULL_FOR_MS: u64 = 1_000;
/// How long a customer counts as active after its last request.
const ACTIVE_FOR_MS: u64 = 1_000;
/// Half-life of a customer's decayed request count.
const DEMAND_HALF_LIFE_MS: f64 = 1_000.0;
/// Fraction of a server's bound that customers with above-average demand may fill.
const HIGH_DEMAND_BOUND_SHARE: f64 = 0.85;
/// How long above-average customers leave the rest of the bound free after a refusal due to lack of
/// capacity. It is longer than [`FULL_FOR_MS`] since the pool fills up again as soon as fair shares
/// are no longer enforced.
const RESERVATION_MS: u64 = 5_000;
/// A customer has low demand up to this fraction of the average demand per weight.
const LOW_DEMAND_FRACTION: f64 = 0.5;

/// A claimant's weight and demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Weight relative to the other claimants.
    pub weight: f64,
    /// Maximum amount that the claimant would use.
    pub wanted: f64,
}

/// Splits a capacity by weighted max-min fairness: no claimant gets more than its demand, and
/// unused capacity is split between the others by weight.
pub fn fair_shares(capacity: f64, demands: &[Demand]) -> Vec<f64> {
    let mut shares = vec![0.0; demands.len()];
    let mut open: Vec<usize> = (0..demands.len()).collect();
    open.sort_by(|a, b| {
        let filled_at = |index: usize| demands[index].wanted / demands[index].weight;
        filled_at(*a).total_cmp(&filled_at(*b))
    });
    let mut left = capacity.max(0.0);
    let mut weights: f64 = demands.iter().map(|demand| demand.weight).sum();
    // Claimants with the lowest demand per weight come first, so that their unused capacity is
    // split between the later ones.
    for index in open {
        let demand = demands[index];
        let share = (left * demand.weight / weights).min(demand.wanted);
        shares[index] = share;
        left -= share;
        weights -= demand.weight;
    }
    shares
}

/// One router's requests in flight on one pool, by customer.
#[derive(Clone, Debug, Default)]
pub struct PoolShares {
    customers: BTreeMap<String, CustomerShare>,
    /// When the pool last refused a request due to lack of capacity.
    last_refused_ms: Option<u64>,
    /// This router's requests in flight at the last refusal. While requests end one by one, a lower
    /// count does not mean that the capacity is lower.
    capacity_in_flight: u32,
}

/// One customer's use of and demand for a pool.
#[derive(Clone, Copy, Debug, Default)]
struct CustomerShare {
    weight: f64,
    in_flight: u32,
    last_request_ms: u64,
    /// Number of requests up to `last_request_ms`, with exponential decay.
    requests: f64,
}

impl PoolShares {
    /// Admits a request unless the pool is full and the customer has reached its fair share.
    /// A customer with low demand is limited only by the servers' bounds.
    ///
    /// `weight` is the customer's in-flight limit.
    pub fn try_enter(&mut self, customer: &str, weight: f64, now_ms: u64) -> bool {
        let entry = self.customers.entry(customer.to_owned()).or_default();
        entry.weight = weight;
        entry.requests = entry.decayed_requests(now_ms) + 1.0;
        entry.last_request_ms = now_ms;
        let is_full = self
            .last_refused_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < FULL_FOR_MS);
        if is_full
            && self.demand_exceeds(LOW_DEMAND_FRACTION, customer, now_ms)
            && !self.is_below_share(customer, now_ms)
        {
            return false;
        }
        if let Some(entry) = self.customers.get_mut(customer) {
            entry.in_flight += 1;
        }
        true
    }

    /// Fraction of a server's bound that the customer may fill.
    ///
    /// It is below 1.0 for a customer with above-average demand while the pool is full and for a
    /// few seconds afterwards.
    pub fn bound_share(&self, customer: &str, now_ms: u64) -> f64 {
        let is_reserved = self
            .last_refused_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < RESERVATION_MS);
        if is_reserved && self.demand_exceeds(1.0, customer, now_ms) {
            HIGH_DEMAND_BOUND_SHARE
        } else {
            1.0
        }
    }

    /// Whether a customer's demand per weight exceeds `fraction` of the active customers' average.
    fn demand_exceeds(&self, fraction: f64, customer: &str, now_ms: u64) -> bool {
        let Some(own) = self.customers.get(customer) else {
            return false;
        };
        let active = self
            .customers
            .values()
            .filter(|share| share.is_active(now_ms));
        let (requests, weight) = active.fold((0.0, 0.0), |(requests, weight), share| {
            (
                requests + share.decayed_requests(now_ms),
                weight + share.weight,
            )
        });
        own.decayed_requests(now_ms) * weight > fraction * requests * own.weight
    }

    /// Records that an admitted request ended.
    pub fn leave(&mut self, customer: &str) {
        if let Some(entry) = self.customers.get_mut(customer) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Records that the pool refused a request due to lack of capacity.
    pub fn note_full(&mut self, now_ms: u64) {
        self.last_refused_ms = Some(now_ms);
        self.capacity_in_flight = self.in_flight();
        self.customers
            .retain(|_, share| share.in_flight > 0 || share.is_active(now_ms));
    }

    fn in_flight(&self) -> u32 {
        self.customers.values().map(|share| share.in_flight).sum()
    }

    /// Whether the customer stays within its fair share of the capacity with one more request.
    fn is_below_share(&self, customer: &str, now_ms: u64) -> bool {
        let mut demands = Vec::new();
        let mut own = None;
        for (name, share) in &self.customers {
            let is_active = share.is_active(now_ms);
            if name == customer {
                own = Some((demands.len(), share.in_flight));
            }
            demands.push(Demand {
                weight: share.weight.max(f64::MIN_POSITIVE),
                // An active customer would use more than it has in flight.
                wanted: if is_active {
                    f64::INFINITY
                } else {
                    f64::from(share.in_flight)
                },
            });
        }
        let Some((index, own_in_flight)) = own else {
            return true;
        };
        if demands.len() == 1 || own_in_flight == 0 {
            return true;
        }
        let capacity_in_flight = self.in_flight().max(self.capacity_in_flight);
        let shares = fair_shares(f64::from(capacity_in_flight), &demands);
        f64::from(own_in_flight) < shares[index]
    }
}

impl CustomerShare {
    fn is_active(&self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.last_request_ms) < ACTIVE_FOR_MS
    }

    fn decayed_requests(&self, now_ms: u64) -> f64 {
        let past_ms = now_ms.saturating_sub(self.last_request_ms) as f64;
        self.requests * (-past_ms / DEMAND_HALF_LIFE_MS).exp2()
    }
}
