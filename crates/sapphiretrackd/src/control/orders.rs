//! Orders to engines: one router of the cell holds the lease and brings engines to their goals.

use std::net::SocketAddr;
use std::time::Duration;

use sapphiretrack_backend::{OrderClient, OrderTaken};
use sapphiretrack_core::{
    EngineGoal, EngineOrder, Fencing, FencingCheck, Incarnation, LeaseKeeper, LeaseStep,
    LeaseTerms, RouterId, ServerId, ServerView, VmState, WeightBudget, first_order_ms, hash_parts,
    next_order, steward_of,
};
use sapphiretrack_platform::{
    EngineGoals, GoalStore, LeaseStore, LeaseWritten, PlatformClient, PlatformError,
};

use crate::clock::Clock;
use crate::control::{ControlHandle, Snapshot};
use crate::events::Event;

/// The lease's name.
const LEASE_NAME: &str = "engine-orders";
/// How often the lease is looked at and engines are compared with their goals.
const ROUND: Duration = Duration::from_millis(1_000);
/// How often the holder reads the goals.
const GOALS_PERIOD_MS: u64 = 2_000;
/// The weight store serves one fetch in this time, and two at once.
const WEIGHT_FETCH_EVERY_MS: u64 = 2_000;
const WEIGHT_FETCH_BURST: u64 = 2;

/// What gives orders.
pub(crate) struct OrderKeeper {
    clock: Clock,
    control: ControlHandle,
    lease: LeaseStore,
    goal_store: GoalStore,
    engines: OrderClient,
    keeper: LeaseKeeper,
    goals: EngineGoals,
    goals_read_ms: Option<u64>,
    weights: WeightBudget,
    /// The number that is held, and since when.
    taken: Option<(Fencing, u64)>,
}

impl OrderKeeper {
    /// A keeper that holds nothing yet.
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
            lease: LeaseStore::new(platform.clone(), LEASE_NAME),
            goal_store: GoalStore::new(platform.clone()),
            engines: OrderClient::default(),
            keeper: LeaseKeeper::new(me, incarnation, LeaseTerms::default()),
            goals: EngineGoals::default(),
            goals_read_ms: None,
            weights: WeightBudget::new(WEIGHT_FETCH_EVERY_MS, WEIGHT_FETCH_BURST, 0),
            taken: None,
        }
    }

    /// Runs until the planned stop.
    pub(crate) async fn run(mut self) {
        loop {
            tokio::time::sleep(ROUND).await;
            let snapshot = self.control.snapshot();
            if snapshot.stopping || !is_contender(&snapshot) {
                self.give_back().await;
                if snapshot.stopping {
                    return;
                }
                continue;
            }
            // A platform that is down costs the lease, never an order without one.
            if self.step_lease().await.is_err() || self.fencing().is_none() {
                continue;
            }
            self.read_goals().await;
            self.reconcile(&snapshot).await;
        }
    }

    /// The fencing number, if the lease holds right now.
    fn fencing(&self) -> Option<Fencing> {
        self.keeper.fencing(self.clock.now_ms())
    }

    async fn step_lease(&mut self) -> Result<(), PlatformError> {
        if !self.keeper.is_due(self.clock.now_ms()) {
            return Ok(());
        }
        let stored = self.lease.read().await?;
        let asked_ms = self.clock.now_ms();
        let step = self
            .keeper
            .decide(stored.row.as_ref(), rand::random(), asked_ms);
        let LeaseStep::Write(row) = step else {
            return Ok(());
        };
        if self.lease.write(&stored, &row).await? == LeaseWritten::Ours {
            self.keeper.note_written(&row, asked_ms);
            if self.taken.is_none_or(|(fencing, _)| fencing != row.fencing) {
                let now_ms = self.clock.now_ms();
                self.taken = Some((row.fencing, now_ms));
                self.weights = WeightBudget::new(WEIGHT_FETCH_EVERY_MS, WEIGHT_FETCH_BURST, now_ms);
                Event::LEASE_TAKEN.log(&[("fencing", &row.fencing.to_string())]);
            }
        }
        Ok(())
    }

    async fn give_back(&mut self) {
        let Some(row) = self.keeper.release(rand::random()) else {
            return;
        };
        self.taken = None;
        if let Ok(stored) = self.lease.read().await
            && stored.row.is_some_and(|now| now.fencing == row.fencing)
        {
            // If this is lost the successor waits the lease out.
            drop(self.lease.write(&stored, &row).await);
        }
    }

    async fn read_goals(&mut self) {
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
            if self.step_lease().await.is_err() {
                return;
            }
            self.bring_to_goal(server, &goal, check).await;
        }
    }

    async fn bring_to_goal(&mut self, server: &ServerView, goal: &EngineGoal, check: FencingCheck) {
        let Some((_, taken_ms)) = self.taken else {
            return;
        };
        let Ok(state) = self.engines.state(server.address).await else {
            return;
        };
        let now_ms = self.clock.now_ms();
        if now_ms < first_order_ms(check, self.keeper.terms(), taken_ms) {
            return;
        }
        // Right before the order: a pause up to here costs the order, not the lease's promise.
        let Some(fencing) = self.fencing() else {
            return;
        };
        let Some(order) = next_order(goal, &state, fencing, &mut self.weights, now_ms) else {
            return;
        };
        self.send(server.address, &server.name, &order).await;
    }

    async fn send(&self, address: SocketAddr, name: &str, order: &EngineOrder) {
        let fencing = order.fencing.to_string();
        match self.engines.order(address, order).await {
            Ok(OrderTaken::Taken) => {
                Event::ORDER_TAKEN.log(&[("server", name), ("fencing", &fencing)]);
            }
            Ok(OrderTaken::Refused) => {
                Event::ORDER_REFUSED.log(&[("server", name), ("fencing", &fencing)]);
            }
            // What came of it is read from the engine in the next round.
            Err(error) => Event::ORDER_LOST.log(&[
                ("server", name),
                ("fencing", &fencing),
                ("reason", &error.to_string()),
            ]),
        }
    }
}

/// Whether this router is the one of its cell that asks for the lease, so that the others need
/// not read the row. If views differ for a while, the row decides.
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
