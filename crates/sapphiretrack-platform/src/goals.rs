//! The desired states of engines in the platform's table, and which pools' engines check fencing
//! numbers.

use std::collections::BTreeMap;

use sapphiretrack_core::{EngineGoal, FencingCheck};
use serde::Serialize;
use snafu::ResultExt;

use crate::PlatformClient;
use crate::error::{PlatformError, UnreadableSnafu};
use crate::wire::{TransactRequest, Write};

const GOAL_PREFIX: &str = "engine/goal/";
const CHECK_PREFIX: &str = "engine/check/";

/// What operators have set for engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineGoals {
    /// The desired state of each engine, by server name.
    pub goals: BTreeMap<String, EngineGoal>,
    /// Whether engines check fencing numbers, by pool. Engines of a pool without an entry ignore
    /// them.
    pub checks: BTreeMap<String, FencingCheck>,
}

/// Store of the desired states of engines in the platform's table.
#[derive(Clone, Debug)]
pub struct GoalStore {
    platform: PlatformClient,
}

impl GoalStore {
    /// Creates a store on this platform.
    pub fn new(platform: PlatformClient) -> Self {
        Self { platform }
    }

    /// Reads all desired states and fencing checks. Makes two scans. Rows that cannot be read are reported and
    /// skipped.
    pub async fn load(&self) -> Result<EngineGoals, PlatformError> {
        let mut all = EngineGoals::default();
        let unusable = self.platform.unusable();
        let rows = self.platform.scan(GOAL_PREFIX).await?;
        for (row, goal) in unusable.read_rows(&rows) {
            let server = row.key[GOAL_PREFIX.len()..].to_owned();
            all.goals.insert(server, goal);
        }
        let rows = self.platform.scan(CHECK_PREFIX).await?;
        for (row, check) in unusable.read_rows(&rows) {
            let pool = row.key[CHECK_PREFIX.len()..].to_owned();
            all.checks.insert(pool, check);
        }
        Ok(all)
    }

    /// Sets the desired state of a server. The call is idempotent.
    pub async fn set_goal(&self, server: &str, goal: &EngineGoal) -> Result<(), PlatformError> {
        self.put(format!("{GOAL_PREFIX}{server}"), goal).await
    }

    /// Sets whether the engines of a pool check fencing numbers.
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
