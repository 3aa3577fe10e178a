//! The order endpoints of a stand-in engine: one that checks fencing numbers or one that does not.

use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use sapphiretrack_core::{EngineOrder, EngineState, Fencing, FencingCheck};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::http_server::{FakeResponse, json, read_json, with_status};

/// An order as it arrived, for checks of the history.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ArrivedOrder {
    /// The order.
    pub order: EngineOrder,
    /// Whether it was taken.
    pub taken: bool,
}

/// What an engine keeps about orders.
#[derive(Debug, Default)]
pub(crate) struct OrderBook {
    check: FencingCheck,
    state: EngineState,
    highest: Fencing,
    loaded_at: Option<Instant>,
    load_ms: u64,
    arrived: Vec<ArrivedOrder>,
}

impl OrderBook {
    /// An engine that serves a model, with nothing ordered yet.
    pub(crate) fn new(check: FencingCheck, incarnation: u64, load_ms: u64) -> Self {
        Self {
            check,
            state: EngineState {
                incarnation,
                model: String::from("assistant"),
                version: String::from("1"),
                ..EngineState::default()
            },
            load_ms,
            ..Self::default()
        }
    }

    /// Takes or refuses an order.
    pub(crate) fn take(&mut self, order: EngineOrder) -> bool {
        let checks = self.check == FencingCheck::Checks;
        let taken = order.incarnation == self.state.incarnation
            && (!checks || order.fencing >= self.highest);
        if taken {
            self.highest = self.highest.max(order.fencing);
            self.apply(&order);
        }
        self.arrived.push(ArrivedOrder { order, taken });
        taken
    }

    /// What the engine says that it is.
    pub(crate) fn state(&mut self) -> EngineState {
        self.state.loading = self.loaded_at.is_some_and(|at| Instant::now() < at);
        self.state.clone()
    }

    /// All orders as they arrived.
    pub(crate) fn arrived(&self) -> &[ArrivedOrder] {
        &self.arrived
    }

    fn apply(&mut self, order: &EngineOrder) {
        let goal = &order.goal;
        if goal.needs_weights(&self.state) {
            self.loaded_at = Some(Instant::now() + Duration::from_millis(self.load_ms));
        }
        let state = &mut self.state;
        state.model = goal.model.clone().unwrap_or_else(|| state.model.clone());
        state.version = goal
            .version
            .clone()
            .unwrap_or_else(|| state.version.clone());
        if let Some(adapters) = &goal.adapters {
            state.adapters.clone_from(adapters);
        }
        state.role = goal.role.unwrap_or(state.role);
        state.stopped = goal.stopped;
        if self.check == FencingCheck::Checks {
            state.fencing = order.fencing;
        }
    }
}

/// Reads an order from a request and answers it.
pub(crate) async fn answer_order<Take>(request: Request<Incoming>, take: Take) -> FakeResponse
where
    Take: FnOnce(EngineOrder) -> bool,
{
    let order = match read_json(request).await {
        Ok(order) => order,
        Err(response) => return response,
    };
    if take(order) {
        return json(&());
    }
    with_status(StatusCode::CONFLICT, "{}")
}
