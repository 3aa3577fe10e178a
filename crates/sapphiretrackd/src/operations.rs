//! What operators ask of a router.

use std::sync::Arc;

use sapphiretrack_core::{ServerView, VmState, parse_contract};
use sapphiretrack_operator::wire::{
    ApplyContract, ChangeReply, DrainServer, HistoryLine, RouterLine, ServerLine, ShownContract,
    Status,
};
use sapphiretrack_platform::{Change, ChangeOutcome, ConfigurationStore, PlatformError};
use tokio::sync::watch;

use crate::clock::wall_clock_ms;
use crate::control::{ControlHandle, Snapshot};
use crate::metrics::Metrics;

/// Runs operators' calls.
#[derive(Clone)]
pub(crate) struct Operations {
    pub(crate) router_name: String,
    pub(crate) store: ConfigurationStore,
    pub(crate) control: ControlHandle,
    pub(crate) metrics: Arc<Metrics>,
    /// Asks for a read of the configuration at once.
    pub(crate) read_config: watch::Sender<u64>,
}

impl Operations {
    /// Applies a contract.
    pub(crate) async fn apply(&self, request: ApplyContract) -> ChangeReply {
        let contract = match parse_contract(&request.contract_toml) {
            Ok(contract) => Box::new(contract),
            Err(error) => {
                let reason = error.to_string();
                return ChangeReply::Refused {
                    reason,
                    current_version: None,
                };
            }
        };
        let change = Change::Contract {
            contract,
            seen_version: request.seen_version,
        };
        self.change(request.change_id, &request.operator, &change)
            .await
    }

    /// Starts or ends a drain.
    pub(crate) async fn drain(&self, request: DrainServer) -> ChangeReply {
        let snapshot = self.control.snapshot();
        let known = snapshot.pools.values().any(|pool| {
            pool.servers
                .iter()
                .any(|server| server.name == request.server)
        });
        if request.draining && !known {
            let reason = format!("there is no backend server {:?}", request.server);
            return ChangeReply::Refused {
                reason,
                current_version: None,
            };
        }
        let change = Change::Drain {
            server: request.server,
            draining: request.draining,
        };
        self.change(request.change_id, &request.operator, &change)
            .await
    }

    /// What came of a change.
    pub(crate) async fn outcome_of(&self, change_id: String) -> ChangeReply {
        match self.store.outcome_of(&change_id).await {
            Ok(Some(accepted)) => ChangeReply::Accepted {
                version: accepted.version,
            },
            Ok(None) => ChangeReply::Refused {
                reason: String::from("no change of this id was accepted"),
                current_version: None,
            },
            Err(error) => ChangeReply::Unknown {
                change_id,
                reason: error.to_string(),
            },
        }
    }

    /// A customer's contract.
    pub(crate) async fn show(&self, customer: &str) -> Result<Option<ShownContract>, String> {
        let found = self
            .store
            .contract(customer)
            .await
            .map_err(|error| error.to_string())?;
        let Some((version, contract)) = found else {
            return Ok(None);
        };
        let contract_toml =
            toml::to_string_pretty(contract.as_ref()).map_err(|error| error.to_string())?;
        Ok(Some(ShownContract {
            version,
            contract_toml,
        }))
    }

    /// All changes.
    pub(crate) async fn history(&self) -> Result<Vec<HistoryLine>, String> {
        let entries = self
            .store
            .history()
            .await
            .map_err(|error| error.to_string())?;
        let lines = entries.into_iter().map(|entry| HistoryLine {
            version: entry.version,
            change_id: entry.change_id,
            operator: entry.operator,
            at_ms: entry.at_ms,
            what: describe(&entry.change),
        });
        Ok(lines.collect())
    }

    /// The router's view.
    pub(crate) fn status(&self) -> Status {
        let snapshot = self.control.snapshot();
        let mut status = Status {
            router: self.router_name.clone(),
            config_version: snapshot.config.version,
            platform_reached: snapshot.platform_reached,
            stopping: snapshot.stopping,
            in_flight: self.metrics.in_flight.get().max(0) as u64,
            routers: router_lines(&snapshot),
            servers: server_lines(&snapshot),
        };
        status.routers.sort_by(|a, b| a.name.cmp(&b.name));
        status.servers.sort_by(|a, b| a.name.cmp(&b.name));
        status
    }

    async fn change(&self, change_id: String, operator: &str, change: &Change) -> ChangeReply {
        let applied = self
            .store
            .apply(&change_id, operator, change, wall_clock_ms())
            .await;
        match applied {
            Ok(ChangeOutcome::Accepted { version }) => {
                self.read_config.send_modify(|count| *count += 1);
                ChangeReply::Accepted { version }
            }
            Ok(ChangeOutcome::Refused {
                current_version,
                changed_by,
            }) => ChangeReply::Refused {
                reason: refusal_text(current_version, &changed_by),
                current_version: Some(current_version),
            },
            Err(error) => self.settle(change_id, error).await,
        }
    }

    /// Reads back what came of a change whose reply was lost.
    async fn settle(&self, change_id: String, error: PlatformError) -> ChangeReply {
        if error.is_without_effect() {
            let reason = format!("{error}; nothing was changed");
            return ChangeReply::Refused {
                reason,
                current_version: None,
            };
        }
        if let Ok(Some(accepted)) = self.store.outcome_of(&change_id).await {
            self.read_config.send_modify(|count| *count += 1);
            return ChangeReply::Accepted {
                version: accepted.version,
            };
        }
        ChangeReply::Unknown {
            change_id,
            reason: error.to_string(),
        }
    }
}

fn refusal_text(current_version: u64, changed_by: &str) -> String {
    if current_version == 0 {
        return String::from("there is no such contract yet; hint: apply it as new");
    }
    format!("{changed_by:?} changed the contract at version {current_version}; hint: show it first")
}

fn describe(change: &Change) -> String {
    match change {
        Change::Contract { contract, .. } => format!("contract of {}", contract.customer),
        Change::Drain {
            server,
            draining: true,
        } => format!("drain of {server}"),
        Change::Drain {
            server,
            draining: false,
        } => format!("end of the drain of {server}"),
    }
}

fn state_text(state: VmState) -> String {
    match state {
        VmState::Live => String::from("live"),
        VmState::Leaving => String::from("leaving"),
    }
}

fn router_lines(snapshot: &Snapshot) -> Vec<RouterLine> {
    let lines = snapshot.routers.iter().map(|router| RouterLine {
        name: router.name.clone(),
        zone: router.zone.clone(),
        state: state_text(router.state),
        config_version: router.config_version,
        caller_address: router.caller_address.to_string(),
        operator_address: router.operator_address.to_string(),
    });
    lines.collect()
}

fn server_lines(snapshot: &Snapshot) -> Vec<ServerLine> {
    let steward_name = |server: &ServerView| {
        let steward = snapshot
            .routers
            .iter()
            .find(|router| router.id == server.steward);
        steward.map_or_else(String::new, |router| router.name.clone())
    };
    let lines = snapshot.pools.values().flat_map(|pool| {
        pool.servers.iter().map(|server| ServerLine {
            name: server.name.clone(),
            zone: server.zone.clone(),
            pool: pool.name.clone(),
            state: state_text(server.state),
            in_flight: server.in_flight,
            steward: steward_name(server),
        })
    });
    lines.collect()
}
