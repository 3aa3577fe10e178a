//! Orders to engines: a desired state, compared with what the engine says.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::{Fencing, Incarnation, LeaseTerms};

/// What an engine shall be.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineGoal {
    /// The model that it serves; none leaves it as it is.
    pub model: Option<String>,
    /// The version of the model; none leaves it as it is.
    pub version: Option<String>,
    /// The adapters that it has loaded; none leaves them as they are.
    pub adapters: Option<BTreeSet<String>>,
    /// Its role; none leaves it as it is.
    pub role: Option<EngineRole>,
    /// Whether it shall stop.
    pub stopped: bool,
}

/// What an engine does in its pool.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prompts and answers.
    #[default]
    Mixed,
    /// Prompts only.
    Prefill,
    /// Answers only.
    Decode,
}

/// What an engine says that it is.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EngineState {
    /// Which run of it.
    pub incarnation: Incarnation,
    /// The model that it serves.
    pub model: String,
    /// The version of the model.
    pub version: String,
    /// The adapters that it has loaded.
    pub adapters: BTreeSet<String>,
    /// Its role.
    pub role: EngineRole,
    /// Whether it was told to stop.
    pub stopped: bool,
    /// Whether it is fetching weights.
    pub loading: bool,
    /// The fencing number of the last order that it took; 0 for none, or if it keeps none.
    pub fencing: Fencing,
}

/// An order: the whole desired state under a fencing number, so that repeating it does no harm.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineOrder {
    /// The holder's fencing number.
    pub fencing: Fencing,
    /// The run of the engine for which the order was made.
    pub incarnation: Incarnation,
    /// What it shall be.
    pub goal: EngineGoal,
}

/// Whether the engines of a pool refuse an order with an old fencing number.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FencingCheck {
    /// They do.
    Checks,
    /// They take any order: a new holder first waits until old ones can no longer arrive.
    #[default]
    Ignores,
}

/// How long an order may be on its way, from the holder's check to the engine.
pub const MAX_ORDER_DELAY_MS: u64 = 5_000;

impl EngineGoal {
    /// Whether an engine is as it shall be.
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

    /// Whether reaching the goal fetches weights from the rate-limited store.
    pub fn needs_weights(&self, state: &EngineState) -> bool {
        let other_model = self
            .model
            .as_ref()
            .is_some_and(|model| *model != state.model);
        let other_version = self
            .version
            .as_ref()
            .is_some_and(|version| *version != state.version);
        let new_adapter = self
            .adapters
            .as_ref()
            .is_some_and(|adapters| !adapters.is_subset(&state.adapters));
        !self.stopped && (other_model || other_version || new_adapter)
    }
}

/// How many fetches of weights may start, as a bucket that refills.
#[derive(Clone, Copy, Debug)]
pub struct WeightBudget {
    every_ms: u64,
    burst: u64,
    /// When the bucket was empty; fetches started in the future of it are used up.
    empty_at_ms: u64,
}

impl WeightBudget {
    /// One fetch each `every_ms`, and `burst` at once. It starts empty: the holder before this
    /// one may have just used it up.
    pub fn new(every_ms: u64, burst: u64, now_ms: u64) -> Self {
        Self {
            every_ms,
            burst,
            empty_at_ms: now_ms,
        }
    }

    /// Takes one fetch, if there is one.
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

/// When a new holder may give its first order.
///
/// A checking engine refuses what comes late, so that the holder can start at once. For an
/// ignoring one it waits until the last order of the holder before has certainly arrived: the
/// lease was already waited out in full before it was taken, unless it was given back.
pub fn first_order_ms(check: FencingCheck, terms: &LeaseTerms, taken_ms: u64) -> u64 {
    match check {
        FencingCheck::Checks => taken_ms,
        FencingCheck::Ignores => taken_ms + terms.margin_ms + MAX_ORDER_DELAY_MS,
    }
}

/// The order that an engine needs now, if any.
pub fn next_order(
    goal: &EngineGoal,
    state: &EngineState,
    fencing: Fencing,
    weights: &mut WeightBudget,
    now_ms: u64,
) -> Option<EngineOrder> {
    if goal.is_met_by(state) || state.loading {
        return None;
    }
    if goal.needs_weights(state) && !weights.take(now_ms) {
        return None;
    }
    Some(EngineOrder {
        fencing,
        incarnation: state.incarnation,
        goal: goal.clone(),
    })
}
