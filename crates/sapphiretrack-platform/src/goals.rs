//! The desired state of engines in the table, and which pools' engines check fencing numbers.

use std::collections::BTreeMap;

use sapphiretrack_core::{EngineGoal, FencingCheck};
use serde::Serialize;
use snafu::ResultExt;

use crate::PlatformClient;
use crate::error::{PlatformError, UnreadableSnafu};
use crate::wire::{TransactRequest, Write};

const GOAL_PREFIX: &str = "engine/goal/";
const CHECK_PREFIX: &str = "engine/check/";

/// What operators want of the engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineGoals {
    /// The desired state by server name.
    pub goals: BTreeMap<String, EngineGoal>,
    /// Whether engines check the fencing number, by pool; they ignore it if nothing is said.
    pub checks: BTreeMap<String, FencingCheck>,
}

/// Reads and sets the desired state of engines.
#[derive(Clone, Debug)]
pub struct GoalStore {
    platform: PlatformClient,
}

impl GoalStore {
    /// A store on this platform.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Reads all: two reads.
    pub async fn load(&self) -> Result<EngineGoals, PlatformError> {
        let mut all = EngineGoals::default();
        for row in self.platform.scan(GOAL_PREFIX).await? {
            let goal =
                serde_json::from_str(&row.value).context(UnreadableSnafu { what: "a goal" })?;
            all.goals
                .insert(row.key[GOAL_PREFIX.len()..].to_owned(), goal);
        }
        for row in self.platform.scan(CHECK_PREFIX).await? {
            let check =
                serde_json::from_str(&row.value).context(UnreadableSnafu { what: "a check" })?;
            all.checks
                .insert(row.key[CHECK_PREFIX.len()..].to_owned(), check);
        }
        Ok(all)
    }

    /// Sets the desired state of a server; repeating it does no harm.
    pub async fn set_goal(&self, server: &str, goal: &EngineGoal) -> Result<(), PlatformError> {
        self.put(format!("{GOAL_PREFIX}{server}"), goal).await
    }

    /// Says whether the engines of a pool check fencing numbers.
    pub async fn set_check(&self, pool: &str, check: FencingCheck) -> Result<(), PlatformError> {
        self.put(format!("{CHECK_PREFIX}{pool}"), &check).await
    }

    async fn put<Value>(&self, key: String, value: &Value) -> Result<(), PlatformError>
    where
        Value: Serialize,
    {
        let value = serde_json::to_string(value).context(UnreadableSnafu { what: "a goal" })?;
        let request = TransactRequest {
            conditions: Vec::new(),
            writes: vec![Write::Put { key, value }],
        };
        self.platform.transact(&request).await.map(drop)
    }
}
