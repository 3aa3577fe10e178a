//! Enforces the limits of contracts on this router with budgets leased from their stewards.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use sapphiretrack_core::{
    Admission, BudgetGrant, BudgetReply, BudgetRequest, Contract, EmergencyPart, HeldBudget,
    NO_STEWARD_RETRY_MS, PoolShares, Refusal, RefusalCode, RouterId, Shortage, VmState,
    WaitSettings, steward_retry_delay_ms,
};
use sapphiretrack_peer::{PeerClient, PeerError};
use tokio::time::MissedTickBehavior;

use crate::clock::{Clock, wall_clock_ms};
use crate::control::{BudgetRoute, Command, ControlHandle};

/// Interval at which leases are renewed and unused amounts are returned.
const RENEW_PERIOD: Duration = Duration::from_millis(250);
/// Retry delay for a customer that already has its share of a full pool.
const FULL_POOL_RETRY_AFTER_MS: u64 = 500;
/// Low bits of a budget request's sequence number, which count requests; the bits above hold a time
/// in milliseconds.
const SEQUENCE_BITS: u32 = 20;

/// The limits of all customers.
#[derive(Clone)]
pub(crate) struct LimitTable {
    clock: Clock,
    control: ControlHandle,
    peers: PeerClient,
    router: RouterId,
    first_sequence: u64,
    customers: Arc<Mutex<BTreeMap<String, Arc<LocalBudget>>>>,
    /// The customers' shares of each pool.
    pools: Arc<Mutex<BTreeMap<String, PoolShares>>>,
}

/// This router's part of a customer's budget.
struct LocalBudget {
    customer: String,
    held: Mutex<HeldBudget>,
    /// Held during a request to the steward; its grant may also cover the requests that wait.
    steward_request: tokio::sync::Mutex<()>,
}

/// A permit under the in-flight limit of the contract and in the pool, released on drop.
pub(crate) struct InFlightPermit {
    _budget: BudgetPermit,
    table: LimitTable,
    customer: String,
    pool: String,
}

/// A permit under the in-flight limit of the contract, released on drop.
struct BudgetPermit {
    entry: Arc<LocalBudget>,
}

impl LimitTable {
    /// Creates an empty table.
    pub(crate) fn new(
        clock: Clock,
        control: ControlHandle,
        peers: PeerClient,
        router: RouterId,
    ) -> Self {
        Self {
            clock,
            control,
            peers,
            router,
            first_sequence: wall_clock_ms() << SEQUENCE_BITS,
            customers: Arc::default(),
            pools: Arc::default(),
        }
    }

    /// Admits a request, or refuses it with a retry delay.
    pub(crate) async fn admit(
        &self,
        contract: &Contract,
        pool: &str,
        tokens: u32,
        deadline_ms: u64,
    ) -> Result<InFlightPermit, Refusal> {
        let budget = self.admit_to_budget(contract, tokens, deadline_ms).await?;
        let weight = f64::from(contract.limits.in_flight);
        let now_ms = self.clock.now_ms();
        let mut pools = self.lock_pools();
        let shares = pools.entry(pool.to_owned()).or_default();
        if !shares.try_enter(&contract.customer, weight, now_ms) {
            let message = format!("{pool:?} is full and the customer has its share of it");
            return Err(Refusal::not_run(RefusalCode::Overloaded, message)
                .retry_after(FULL_POOL_RETRY_AFTER_MS));
        }
        Ok(InFlightPermit {
            _budget: budget,
            table: self.clone(),
            customer: contract.customer.clone(),
            pool: pool.to_owned(),
        })
    }

    /// Records that a pool refused a request because it was full.
    pub(crate) fn record_full_pool(&self, pool: &str) {
        let now_ms = self.clock.now_ms();
        if let Some(shares) = self.lock_pools().get_mut(pool) {
            shares.note_full(now_ms);
        }
    }

    /// Returns the share of a server's load bound that a customer's requests may fill in a pool.
    pub(crate) fn bound_share(&self, customer: &str, pool: &str) -> f64 {
        let now_ms = self.clock.now_ms();
        let pools = self.lock_pools();
        let shares = pools.get(pool);
        shares.map_or(1.0, |shares| shares.bound_share(customer, now_ms))
    }

    async fn admit_to_budget(
        &self,
        contract: &Contract,
        tokens: u32,
        deadline_ms: u64,
    ) -> Result<BudgetPermit, Refusal> {
        let entry = self.entry(&contract.customer);
        let tokens = f64::from(tokens);
        if let Some(decided) = self.decide_locally(&entry, contract, tokens) {
            return decided;
        }
        let _guard = entry.steward_request.lock().await;
        // The grant for the previous request may cover this one.
        if let Some(decided) = self.decide_locally(&entry, contract, tokens) {
            return decided;
        }
        match self
            .lease_until_decided(&entry, contract, tokens, deadline_ms)
            .await
        {
            Ok(()) => Ok(BudgetPermit {
                entry: entry.clone(),
            }),
            Err(shortage) => Err(shortage_refusal(contract, shortage)),
        }
    }

    /// Leases budget from the steward until the request is decided.
    ///
    /// If no steward answers, this router's part of the emergency share decides. If that does not
    /// decide either, the request is repeated with growing delays, since the steward may be
    /// changing.
    async fn lease_until_decided(
        &self,
        entry: &Arc<LocalBudget>,
        contract: &Contract,
        tokens: f64,
        deadline_ms: u64,
    ) -> Result<(), Shortage> {
        let started_ms = self.clock.now_ms();
        loop {
            let requested_ms = self.clock.now_ms();
            let request = entry
                .lock()
                .budget_request(self.router, &entry.customer, Some(tokens));
            let answer = self.lease_from_steward(request).await;
            let now_ms = self.clock.now_ms();
            if let Some((steward, grant)) = answer {
                let mut held = entry.lock();
                held.record_steward(steward);
                return held.apply_grant(&grant, tokens, requested_ms, now_ms);
            }
            self.use_emergency_share(entry, contract);
            match entry.lock().try_admit(tokens, &contract.limits, now_ms) {
                Admission::Admitted => return Ok(()),
                Admission::Refused(shortage) => return Err(shortage),
                Admission::Ask => {}
            }
            let waited_ms = now_ms.saturating_sub(started_ms);
            let left_ms = deadline_ms.saturating_sub(waited_ms);
            let wait = steward_retry_delay_ms(&WaitSettings::default(), waited_ms, left_ms);
            let Some(wait_ms) = wait else {
                return Err(Shortage::NoSteward {
                    retry_after_ms: NO_STEWARD_RETRY_MS,
                });
            };
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    /// Applies this router's part of the emergency share until a steward answers.
    fn use_emergency_share(&self, entry: &LocalBudget, contract: &Contract) {
        let part = EmergencyPart::new(self.router, &self.live_routers(), &entry.customer);
        let now_ms = self.clock.now_ms();
        entry
            .lock()
            .mark_steward_unreachable(part, &contract.limits, now_ms);
    }

    /// Returns the routers that are seen or listed as live, including this one.
    fn live_routers(&self) -> BTreeSet<RouterId> {
        let snapshot = self.control.snapshot();
        let seen = snapshot.routers.iter();
        let seen = seen.filter(|router| router.state == VmState::Live);
        let listed = snapshot.listed_others.iter();
        let listed = listed.map(|vm| RouterId::from_name(&vm.name));
        seen.map(|router| router.id)
            .chain(listed)
            .chain([self.router])
            .collect()
    }

    /// Charges generated tokens to a customer's budget.
    pub(crate) fn charge_tokens(&self, customer: &str, tokens: u32, now_ms: u64) {
        self.entry(customer)
            .lock()
            .charge_tokens(f64::from(tokens), now_ms);
    }

    /// Renews leases and returns unused amounts until the process ends.
    pub(crate) async fn renew_leases(self) {
        let mut period = tokio::time::interval(RENEW_PERIOD);
        period.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            period.tick().await;
            let entries: Vec<Arc<LocalBudget>> = self.lock().values().cloned().collect();
            for entry in entries {
                let table = self.clone();
                tokio::spawn(async move { table.renew_customer(&entry).await });
            }
            self.lock()
                .retain(|_, entry| Arc::strong_count(entry) > 1 || !entry.lock().is_idle());
        }
    }

    async fn renew_customer(&self, entry: &LocalBudget) {
        let Ok(_guard) = entry.steward_request.try_lock() else {
            return;
        };
        let config = self.control.snapshot().config.clone();
        let Some(contract) = config.contracts.get(&entry.customer) else {
            return;
        };
        let requested_ms = self.clock.now_ms();
        let request =
            entry
                .lock()
                .end_period(self.router, &entry.customer, &contract.limits, requested_ms);
        let Some(request) = request else { return };
        let Some((steward, grant)) = self.lease_from_steward(request).await else {
            return self.use_emergency_share(entry, contract);
        };
        let now_ms = self.clock.now_ms();
        let mut held = entry.lock();
        held.record_steward(steward);
        // No request waits for this grant, so a shortage refuses none.
        let _ignored = held.apply_grant(&grant, 0.0, requested_ms, now_ms);
    }

    /// Decides from the budget held here. Returns `None` if the steward has to decide.
    fn decide_locally(
        &self,
        entry: &Arc<LocalBudget>,
        contract: &Contract,
        tokens: f64,
    ) -> Option<Result<BudgetPermit, Refusal>> {
        let now_ms = self.clock.now_ms();
        let admission = entry.lock().try_admit(tokens, &contract.limits, now_ms);
        match admission {
            Admission::Admitted => Some(Ok(BudgetPermit {
                entry: entry.clone(),
            })),
            Admission::Refused(shortage) => Some(Err(shortage_refusal(contract, shortage))),
            Admission::Ask => None,
        }
    }

    /// Requests budget from the steward. Returns `None` if it does not answer or is not the
    /// steward.
    async fn lease_from_steward(&self, request: BudgetRequest) -> Option<(RouterId, BudgetGrant)> {
        let (steward, reply) = match self.control.lease_budget(request).await? {
            BudgetRoute::Local(reply) => (self.router, reply),
            BudgetRoute::Peer {
                steward,
                address,
                request,
            } => {
                let reply = self.peers.lease_budget(address, request).await;
                if reply.as_ref().is_err_and(PeerError::is_connection_refused) {
                    self.control
                        .send(Command::StewardConnectionRefused { address });
                }
                (steward, reply.ok()?)
            }
        };
        match reply {
            BudgetReply::Answered(grant) => Some((steward, grant)),
            BudgetReply::NotSteward => None,
        }
    }

    fn entry(&self, customer: &str) -> Arc<LocalBudget> {
        let mut customers = self.lock();
        if let Some(entry) = customers.get(customer) {
            return entry.clone();
        }
        let entry = Arc::new(LocalBudget {
            customer: customer.to_owned(),
            held: Mutex::new(HeldBudget::new(self.next_first_sequence())),
            steward_request: tokio::sync::Mutex::default(),
        });
        customers.insert(customer.to_owned(), entry.clone());
        entry
    }

    /// Returns a number above the sequence numbers of all entries that were removed before.
    fn next_first_sequence(&self) -> u64 {
        self.first_sequence + (self.clock.now_ms() << SEQUENCE_BITS)
    }

    fn lock_pools(&self) -> MutexGuard<'_, BTreeMap<String, PoolShares>> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Arc<LocalBudget>>> {
        self.customers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl LocalBudget {
    fn lock(&self) -> MutexGuard<'_, HeldBudget> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for BudgetPermit {
    fn drop(&mut self) {
        self.entry.lock().leave();
    }
}

impl Drop for InFlightPermit {
    fn drop(&mut self) {
        if let Some(shares) = self.table.lock_pools().get_mut(&self.pool) {
            shares.leave(&self.customer);
        }
    }
}

fn shortage_refusal(contract: &Contract, shortage: Shortage) -> Refusal {
    let retry_after_ms = shortage.retry_after_ms();
    let refusal = match shortage {
        Shortage::Rate { .. } => {
            let message = "the contract's request or token rate is used up";
            Refusal::not_run(RefusalCode::RateLimited, message)
        }
        Shortage::InFlight { .. } => {
            let limit = contract.limits.in_flight;
            let message = format!("the contract's limit of {limit} requests in flight is reached");
            Refusal::not_run(RefusalCode::InFlightLimited, message)
        }
        Shortage::NoSteward { .. } => {
            let message = "the router that keeps the customer's budget does not answer";
            Refusal::not_run(RefusalCode::Overloaded, message)
        }
    };
    refusal.retry_after(retry_after_ms)
}
