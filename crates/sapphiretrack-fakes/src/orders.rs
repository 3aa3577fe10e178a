//! Orders to the fake engine, which checks or ignores their fencing numbers.

use std::time::Duration;

use http::{Request, StatusCode};
use hyper::body::Incoming;
use sapphiretrack_core::{EngineOrder, EngineState, Fencing, FencingCheck};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::http_server::{FakeResponse, json_response, read_json, status_response};

/// An order that the engine received, for tests that check the order history.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReceivedOrder {
    /// The order.
    pub order: EngineOrder,
    /// Whether the engine accepted it.
    pub taken: bool,
}

/// Handles orders and holds the state that they set.
#[derive(Debug, Default)]
pub(crate) struct OrderHandler {
    fencing_check: FencingCheck,
    state: EngineState,
    highest_fencing: Fencing,
    loading_until: Option<Instant>,
    load_ms: u64,
    received: Vec<ReceivedOrder>,
}

impl OrderHandler {
    /// Creates the state of an engine that serves the model `assistant` and has no orders yet.
    /// Loading weights takes `load_ms`.
    pub(crate) fn new(fencing_check: FencingCheck, incarnation: u64, load_ms: u64) -> Self {
        Self {
            fencing_check,
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

    /// Applies an order, or rejects it if it is for another incarnation or, with fencing checks, has
    /// a lower fencing number than an order that was applied. Returns whether it was applied.
    pub(crate) fn handle(&mut self, order: EngineOrder) -> bool {
        let checks_fencing = self.fencing_check == FencingCheck::Checks;
        let taken = order.incarnation == self.state.incarnation
            && (!checks_fencing || order.fencing >= self.highest_fencing);
        if taken {
            self.highest_fencing = self.highest_fencing.max(order.fencing);
            self.apply(&order);
        }
        self.received.push(ReceivedOrder { order, taken });
        taken
    }

    /// The state that the engine reports.
    pub(crate) fn state(&mut self) -> EngineState {
        self.state.loading = self
            .loading_until
            .is_some_and(|until| Instant::now() < until);
        self.state.clone()
    }

    /// All orders in the sequence in which they were received, rejected ones included.
    pub(crate) fn received(&self) -> &[ReceivedOrder] {
        &self.received
    }

    fn apply(&mut self, order: &EngineOrder) {
        let goal = &order.goal;
        if goal.needs_weights(&self.state) {
            self.loading_until = Some(Instant::now() + Duration::from_millis(self.load_ms));
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
        if self.fencing_check == FencingCheck::Checks {
            state.fencing = order.fencing;
        }
    }
}

/// Reads an order from a request, hands it to `handle` and answers with status 200 if it was
/// accepted, else with 409.
pub(crate) async fn answer_order<Handle>(request: Request<Incoming>, handle: Handle) -> FakeResponse
where
    Handle: FnOnce(EngineOrder) -> bool,
{
    let order = match read_json(request).await {
        Ok(order) => order,
        Err(response) => return response,
    };
    if handle(order) {
        return json_response(&());
    }
    status_response(StatusCode::CONFLICT, "{}")
}
