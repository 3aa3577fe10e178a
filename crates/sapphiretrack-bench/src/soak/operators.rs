//! Operators that race each other, and how their changes are settled.

use std::time::Duration;

use sapphiretrack_operator::OperatorClient;
use sapphiretrack_operator::wire::{ApplyContract, ChangeReply};

use crate::soak::deployment::Deployment;
use crate::soak::evidence::{ChangeRecord, ChangeState};

/// How often an unknown change is asked after, once all faults are taken back.
const SETTLE_TRIES: u32 = 40;
/// The wait between two of them.
const SETTLE_PERIOD: Duration = Duration::from_millis(250);

/// One operator's change of a deployment's contract through one router.
pub(crate) struct Change {
    pub(crate) deployment: Deployment,
    pub(crate) operator: OperatorClient,
    /// Makes the change differ from all others.
    pub(crate) number: u64,
}

impl Change {
    /// Reads the contract and changes it; none if the router did not say what it is.
    pub(crate) async fn apply(self) -> Option<ChangeRecord> {
        let customer = self.deployment.customer;
        let shown = self.operator.show(customer).await.ok()?;
        Some(self.apply_to(shown.version).await)
    }

    /// Changes the contract as it stood at a version.
    pub(crate) async fn apply_to(self, seen_version: u64) -> ChangeRecord {
        let change_id = format!("change-{}", self.number);
        let request = ApplyContract {
            change_id: change_id.clone(),
            operator: format!("operator-{}", self.number % 2),
            seen_version,
            contract_toml: self.deployment.contract_toml(self.number),
        };
        let state = match self.operator.apply(&request).await {
            Ok(ChangeReply::Accepted { version }) => ChangeState::Accepted(version),
            Ok(ChangeReply::Refused { .. }) => ChangeState::Refused,
            Ok(ChangeReply::Unknown { .. }) | Err(_) => ChangeState::Unsettled,
        };
        ChangeRecord {
            change_id,
            customer: self.deployment.customer.to_owned(),
            seen_version,
            state,
        }
    }
}

/// Settles a change whose reply was lost, as an operator's tool does.
pub(crate) async fn settle(operator: &OperatorClient, change_id: &str) -> ChangeState {
    for _ in 0..SETTLE_TRIES {
        match operator.outcome_of(change_id).await {
            Ok(ChangeReply::Accepted { version }) => return ChangeState::Accepted(version),
            Ok(ChangeReply::Refused { .. }) => return ChangeState::Refused,
            Ok(ChangeReply::Unknown { .. }) | Err(_) => {
                tokio::time::sleep(SETTLE_PERIOD).await;
            }
        }
    }
    ChangeState::Unsettled
}
