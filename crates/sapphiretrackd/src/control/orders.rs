//! Reconciles engines with their goals, on the one router of the cell that holds the lease.

use std::net::SocketAddr;
use std::time::Duration;

use sapphiretrack_backend::{OrderClient, OrderReply};
use sapphiretrack_core::{
    EngineGoal, EngineOrder, Fencing, FencingCheck, Incarnation, LeaseKeeper, LeaseStep,
    LeaseTerms, RouterId, ServerId, ServerView, VmState, WeightBudget, first_order_ms, hash_parts,
    next_order, steward_of,
};
use sapphiretrack_platform::{
    EngineGoals, GoalStore, LeaseStore, LeaseWriteResult, PlatformClient, PlatformError,
};

use crate::clock::Clock;
use crate::control::{ControlHandle, Snapshot};
use crate::events::Event;

/// Name of the lease whose holder sends the orders to engines.
const LEASE_NAME: &str = "engine-orders";
/// How often the lease is checked and engines are compared with their goals.
const ROUND_PERIOD: Duration = Duration::from_millis(1_000);
/// How often the holder of the lease reads the goals.
const GOALS_PERIOD_MS: u64 = 2_000;
/// Period in which the weight store serves one fetch.
const WEIGHT_FETCH_EVERY_MS: u64 = 2_000;
/// How many fetches the weight store serves at once.
const WEIGHT_FETCH_BURST: u64 = 2;

/// Sends orders to engines whose state differs from their goal, while it holds the lease.
pub(crate) struct EngineReconciler {
    clock: Clock,
    control: ControlHandle,
    lease_store: LeaseStore,
    goal_store: GoalStore,
    engines: OrderClient,
    lease_keeper: LeaseKeeper,
    goals: EngineGoals,
    goals_read_ms: Option<u64>,
    weights: WeightBudget,
    /// The fencing number of the held lease, and when it was acquired.
    acquired: Option<(Fencing, u64)>,
}

impl EngineReconciler {
    /// Creates a reconciler that does not hold the lease.
    pub(crate) fn new(
        clock: Clock,
        control: ControlHandle,
        platform: &PlatformClient,
        me: RouterId,
        incarnation: Incarnation,
    ) -> Self {
        Self {
            clock,
            control,
            lease_store: LeaseStore::new(platform.clone(), LEASE_NAME),
            goal_store: GoalStore::new(platform.clone()),
            engines: OrderClient::default(),
            lease_keeper: LeaseKeeper::new(me, incarnation, LeaseTerms::default()),
            goals: EngineGoals::default(),
            goals_read_ms: None,
            weights: WeightBudget::new(WEIGHT_FETCH_EVERY_MS, WEIGHT_FETCH_BURST, 0),
            acquired: None,
        }
    }

    /// Runs until the planned stop, which releases the lease.
    pub(crate) async fn run(mut self) {
        loop {
            tokio::time::sleep(ROUND_PERIOD).await;
            let snapshot = self.control.snapshot();
            if snapshot.stopping || !is_contender(&snapshot) {
                self.release_lease().await;
                if snapshot.stopping {
                    return;
                }
                continue;
            }
            // While the platform is down the lease may be lost; no order is sent without it.
            if self.maintain_lease().await.is_err() || self.fencing().is_none() {
                continue;
            }
            self.refresh_goals().await;
            self.reconcile(&snapshot).await;
        }
    }

    /// The fencing number, if the lease is valid now.
    fn fencing(&self) -> Option<Fencing> {
        self.lease_keeper.fencing(self.clock.now_ms())
    }

    /// Acquires or renews the lease if that is due.
    async fn maintain_lease(&mut self) -> Result<(), PlatformError> {
        if !self.lease_keeper.is_due(self.clock.now_ms()) {
            return Ok(());
        }
        let stored = self.lease_store.read().await?;
        let requested_ms = self.clock.now_ms();
        let step = self
            .lease_keeper
            .decide(stored.row.as_ref(), rand::random(), requested_ms);
        let LeaseStep::Write(row) = step else {
            return Ok(());
        };
        if self.lease_store.write(&stored, &row).await? == LeaseWriteResult::Written {
            self.lease_keeper.note_written(&row, requested_ms);
            if self
                .acquired
                .is_none_or(|(fencing, _)| fencing != row.fencing)
            {
                let now_ms = self.clock.now_ms();
                self.acquired = Some((row.fencing, now_ms));
                self.weights = WeightBudget::new(WEIGHT_FETCH_EVERY_MS, WEIGHT_FETCH_BURST, now_ms);
                Event::ORDER_LEASE_ACQUIRED.log(&[("fencing", &row.fencing.to_string())]);
            }
        }
        Ok(())
    }

    /// Releases the lease if this router holds it.
    async fn release_lease(&mut self) {
        let Some(row) = self.lease_keeper.release(rand::random()) else {
            return;
        };
        self.acquired = None;
        if let Ok(stored) = self.lease_store.read().await
            && stored.row.is_some_and(|now| now.fencing == row.fencing)
        {
            // If this write fails, the successor waits until the lease expires.
            drop(self.lease_store.write(&stored, &row).await);
        }
    }

    /// Reads the goals unless the last read is recent.
    async fn refresh_goals(&mut self) {
        let now_ms = self.clock.now_ms();
        let fresh = self
            .goals_read_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < GOALS_PERIOD_MS);
        if fresh {
            return;
        }
        if let Ok(goals) = self.goal_store.load().await {
            self.goals = goals;
            self.goals_read_ms = Some(now_ms);
        }
    }

    /// Reconciles each listed engine that has a goal.
    async fn reconcile(&mut self, snapshot: &Snapshot) {
        for (name, goal) in self.goals.goals.clone() {
            let id = ServerId::from_name(&name);
            let found = snapshot
                .pools
                .values()
                .find_map(|pool| Some((pool.name.as_str(), pool.server(id)?)));
            let Some((pool, server)) = found else {
                continue;
            };
            let check = self.goals.checks.get(pool).copied().unwrap_or_default();
            if self.maintain_lease().await.is_err() {
                return;
            }
            self.reconcile_engine(server, &goal, check).await;
        }
    }

    /// Sends an engine the order that its goal requires, if any. After acquiring the lease, no
    /// order is sent before `first_order_ms`.
    async fn reconcile_engine(
        &mut self,
        server: &ServerView,
        goal: &EngineGoal,
        check: FencingCheck,
    ) {
        let Some((_, acquired_ms)) = self.acquired else {
            return;
        };
        let Ok(state) = self.engines.state(server.address).await else {
            return;
        };
        let now_ms = self.clock.now_ms();
        if now_ms < first_order_ms(check, self.lease_keeper.terms(), acquired_ms) {
            return;
        }
        // Checked right before the order, so that none is sent after a pause in which the lease
        // expired.
        let Some(fencing) = self.fencing() else {
            return;
        };
        let Some(order) = next_order(goal, &state, fencing, &mut self.weights, now_ms) else {
            return;
        };
        self.send_order(server.address, &server.name, &order).await;
    }

    async fn send_order(&self, address: SocketAddr, name: &str, order: &EngineOrder) {
        let fencing = order.fencing.to_string();
        match self.engines.order(address, order).await {
            Ok(OrderReply::Accepted) => {
                Event::ORDER_ACCEPTED.log(&[("server", name), ("fencing", &fencing)]);
            }
            Ok(OrderReply::Refused) => {
                Event::ORDER_REFUSED.log(&[("server", name), ("fencing", &fencing)]);
            }
            // The engine's state in the next round shows whether it accepted the order.
            Err(error) => Event::ORDER_UNANSWERED.log(&[
                ("server", name),
                ("fencing", &fencing),
                ("reason", &error.to_string()),
            ]),
        }
    }
}

/// Whether this router is the one of its cell that competes for the lease, so that the others need
/// not read the row. If routers disagree for a while, the row decides.
fn is_contender(snapshot: &Snapshot) -> bool {
    let live: Vec<RouterId> = snapshot
        .routers
        .iter()
        .filter(|router| router.state == VmState::Live)
        .map(|router| router.id)
        .collect();
    let lease = ServerId(hash_parts(&[LEASE_NAME.as_bytes()]));
    !snapshot.isolated && steward_of(lease, &live) == Some(snapshot.me)
}
