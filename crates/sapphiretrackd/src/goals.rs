//! Operator calls that set the desired state of engines and whether pools check fencing numbers.

use sapphiretrack_core::{EngineGoal, EngineRole, FencingCheck};
use sapphiretrack_operator::wire::{GoalReply, SetFencing, SetGoal};
use sapphiretrack_platform::GoalStore;

use crate::control::ControlHandle;

/// Runs the operator calls on goals.
#[derive(Clone)]
pub(crate) struct GoalOperations {
    pub(crate) store: GoalStore,
    pub(crate) control: ControlHandle,
}

impl GoalOperations {
    /// Sets the desired state of a backend server.
    pub(crate) async fn set_goal(&self, request: SetGoal) -> GoalReply {
        let snapshot = self.control.snapshot();
        let mut servers = snapshot.pools.values().flat_map(|pool| &pool.servers);
        if !servers.any(|server| server.name == request.server) {
            return error_reply(format!("there is no backend server {:?}", request.server));
        }
        let goal = match parse_goal(&request) {
            Ok(goal) => goal,
            Err(reason) => return error_reply(reason),
        };
        reply(self.store.set_goal(&request.server, &goal).await)
    }

    /// Sets whether the engines of a pool check fencing numbers.
    pub(crate) async fn set_fencing(&self, request: SetFencing) -> GoalReply {
        let check = if request.checks {
            FencingCheck::Checks
        } else {
            FencingCheck::Ignores
        };
        reply(self.store.set_check(&request.pool, check).await)
    }
}

fn parse_goal(request: &SetGoal) -> Result<EngineGoal, String> {
    let role = match request.role.as_deref() {
        None => None,
        Some("mixed") => Some(EngineRole::Mixed),
        Some("prefill") => Some(EngineRole::Prefill),
        Some("decode") => Some(EngineRole::Decode),
        Some(other) => {
            return Err(format!(
                "there is no role {other:?}; hint: mixed, prefill or decode"
            ));
        }
    };
    Ok(EngineGoal {
        model: request.model.clone(),
        version: request.version.clone(),
        adapters: request
            .adapters
            .as_ref()
            .map(|adapters| adapters.iter().cloned().collect()),
        role,
        stopped: request.stopped,
    })
}

fn reply(result: Result<(), sapphiretrack_platform::PlatformError>) -> GoalReply {
    match result {
        Ok(()) => GoalReply { problem: None },
        Err(error) => error_reply(format!("{error}; hint: repeat it, that does no harm")),
    }
}

fn error_reply(text: String) -> GoalReply {
    GoalReply {
        problem: Some(text),
    }
}
