//! Orders to engines, from a comparison of the desired state with the reported one.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{Fencing, Incarnation, LeaseTerms};

/// The desired state of an engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineGoal {
    /// The model to serve; `None` keeps the current one.
    pub model: Option<String>,
    /// The version of the model; `None` keeps the current one.
    pub version: Option<String>,
    /// The adapters to have loaded; `None` keeps the current ones.
    pub adapters: Option<BTreeSet<String>>,
    /// The engine's role; `None` keeps the current one.
    pub role: Option<EngineRole>,
    /// Whether the engine is to stop.
    pub stopped: bool,
}

/// The part of the work that an engine does in its pool.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Processes prompts and generates answers.
    #[default]
    Mixed,
    /// Only processes prompts.
    Prefill,
    /// Only generates answers.
    Decode,
}

/// The state that an engine reports.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineState {
    /// The engine's incarnation.
    pub incarnation: Incarnation,
    /// The model that the engine serves.
    pub model: String,
    /// The version of the model.
    pub version: String,
    /// The loaded adapters.
    pub adapters: BTreeSet<String>,
    /// The engine's role.
    pub role: EngineRole,
    /// Whether the engine was ordered to stop.
    pub stopped: bool,
    /// Whether the engine is fetching weights.
    pub loading: bool,
    /// The fencing number of the last accepted order; 0 if there was none or the engine does not
    /// store it.
    pub fencing: Fencing,
}

/// An order with the complete desired state and a fencing number, so that it is safe to repeat.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineOrder {
    /// The fencing number of the lease holder that sends the order.
    pub fencing: Fencing,
    /// The incarnation of the engine that the order is meant for.
    pub incarnation: Incarnation,
    /// The desired state.
    pub goal: EngineGoal,
}

/// Whether the engines of a pool reject an order with an outdated fencing number.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingCheck {
    /// The engines reject such an order.
    Checks,
    /// The engines accept any order; a new lease holder waits until earlier orders can no longer
    /// arrive.
    #[default]
    Ignores,
}

/// Maximum time from the lease holder's check to the arrival of an order at the engine.
pub const MAX_ORDER_DELAY_MS: u64 = 5_000;

impl EngineGoal {
    /// Whether an engine's reported state matches the goal.
    pub fn is_met_by(&self, state: &EngineState) -> bool {
        self.stopped == state.stopped
            && self
                .model
                .as_ref()
                .is_none_or(|model| *model == state.model)
            && self
                .version
                .as_ref()
                .is_none_or(|version| *version == state.version)
            && self
                .adapters
                .as_ref()
                .is_none_or(|adapters| *adapters == state.adapters)
            && self.role.is_none_or(|role| role == state.role)
    }

    /// Whether reaching the goal requires fetching weights from the rate-limited store.
    pub fn needs_weights(&self, state: &EngineState) -> bool {
        let changes_model = self
            .model
            .as_ref()
            .is_some_and(|model| *model != state.model);
        let changes_version = self
            .version
            .as_ref()
            .is_some_and(|version| *version != state.version);
        let adds_adapter = self
            .adapters
            .as_ref()
            .is_some_and(|adapters| !adapters.is_subset(&state.adapters));
        !self.stopped && (changes_model || changes_version || adds_adapter)
    }
}

/// Rate limit for starting fetches of model weights, as a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct WeightBudget {
    every_ms: u64,
    burst: u64,
    /// The time at which the bucket would have been empty; one fetch accrues per `every_ms` since.
    empty_at_ms: u64,
}

impl WeightBudget {
    /// Allows one fetch per `every_ms`, and at most `burst` at once. The bucket starts empty, since
    /// the previous lease holder may have just used it up.
    pub fn new(every_ms: u64, burst: u64, now_ms: u64) -> Self {
        Self {
            every_ms,
            burst,
            empty_at_ms: now_ms,
        }
    }

    /// Takes one fetch; returns false if none is available.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let oldest_ms = now_ms.saturating_sub(self.every_ms.saturating_mul(self.burst));
        let empty_at_ms = self.empty_at_ms.max(oldest_ms);
        if now_ms.saturating_sub(empty_at_ms) < self.every_ms {
            return false;
        }
        self.empty_at_ms = empty_at_ms + self.every_ms;
        true
    }
}

/// When a new lease holder may send its first order.
///
/// An engine that checks fencing numbers rejects late orders of the previous holder, so the new one
/// can start at once. For other engines it waits until the last order of the previous holder has
/// certainly arrived. The lease's duration has already passed by then, unless it was released.
pub fn first_order_ms(check: FencingCheck, terms: &LeaseTerms, taken_ms: u64) -> u64 {
    match check {
        FencingCheck::Checks => taken_ms,
        FencingCheck::Ignores => taken_ms + terms.margin_ms + MAX_ORDER_DELAY_MS,
    }
}

/// The order to send to an engine now, if any.
pub fn next_order(
    goal: &EngineGoal,
    state: &EngineState,
    fencing: Fencing,
    weight_budget: &mut WeightBudget,
    now_ms: u64,
) -> Option<EngineOrder> {
    if goal.is_met_by(state) || state.loading {
        return None;
    }
    if goal.needs_weights(state) && !weight_budget.take(now_ms) {
        return None;
    }
    Some(EngineOrder {
        fencing,
        incarnation: state.incarnation,
        goal: goal.clone(),
    })
}
