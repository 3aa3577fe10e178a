//! Operators' changes of contracts, and how an unknown outcome is resolved.

use std::time::Duration;

use sapphiretrack_operator::OperatorClient;
use sapphiretrack_operator::wire::{ApplyContract, ChangeReply};

use crate::soak::deployment::Deployment;
use crate::soak::evidence::{ChangeRecord, ChangeState};

/// Maximum number of requests for the outcome of a change.
const MAX_OUTCOME_REQUESTS: u32 = 40;
/// Delay between two of these requests.
const OUTCOME_REQUEST_DELAY: Duration = Duration::from_millis(250);

/// An operator's change of a deployment's contract through one router.
pub(crate) struct Change {
    pub(crate) deployment: Deployment,
    pub(crate) operator: OperatorClient,
    /// Number of the change; makes its id and its contract unique.
    pub(crate) number: u64,
}

impl Change {
    /// Reads the contract's version and changes the contract; `None` if the version cannot be read.
    pub(crate) async fn apply(self) -> Option<ChangeRecord> {
        let customer = self.deployment.customer;
        let shown = self.operator.show(customer).await.ok()?;
        Some(self.apply_to(shown.version).await)
    }

    /// Changes the contract on the basis of a version.
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
            Ok(ChangeReply::Unknown { .. }) | Err(_) => ChangeState::Unresolved,
        };
        ChangeRecord {
            change_id,
            customer: self.deployment.customer.to_owned(),
            seen_version,
            state,
        }
    }
}

/// Asks for the outcome of a change whose reply was lost, as the operators' tool does.
pub(crate) async fn resolve_outcome(operator: &OperatorClient, change_id: &str) -> ChangeState {
    for _ in 0..MAX_OUTCOME_REQUESTS {
        match operator.outcome_of(change_id).await {
            Ok(ChangeReply::Accepted { version }) => return ChangeState::Accepted(version),
            Ok(ChangeReply::Refused { .. }) => return ChangeState::Refused,
            Ok(ChangeReply::Unknown { .. }) | Err(_) => {
                tokio::time::sleep(OUTCOME_REQUEST_DELAY).await;
            }
        }
    }
    ChangeState::Unresolved
}
