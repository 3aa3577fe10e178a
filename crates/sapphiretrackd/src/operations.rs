//! Operator calls on contracts, drains and the state of the router.

use std::sync::Arc;
use std::time::Duration;

use sapphiretrack_core::{
    Change, FleetConfig, ServerView, VmState, check_change_id, check_server_name, parse_contract,
};
use sapphiretrack_operator::wire::{
    ApplyContract, ChangeReply, ContractQuery, ContractReply, DrainServer, HistoryLine,
    RouterStatus, ServerStatus, Status,
};
use sapphiretrack_platform::{ApplyError, ChangeOutcome, ConfigurationStore, KnownConfig};

use crate::clock::wall_clock_ms;
use crate::control::{Command, ControlHandle, Snapshot};
use crate::metrics::Metrics;

/// How long to wait until an accepted change is in force on this router.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(2);
/// Interval at which the version in force is checked.
const IN_FORCE_POLL: Duration = Duration::from_millis(5);

/// Runs the operator calls.
#[derive(Clone)]
pub(crate) struct Operations {
    pub(crate) router_name: String,
    pub(crate) store: ConfigurationStore,
    pub(crate) control: ControlHandle,
    pub(crate) metrics: Arc<Metrics>,
}

impl Operations {
    /// Applies a contract.
    pub(crate) async fn apply(&self, request: ApplyContract) -> ChangeReply {
        let contract = match parse_contract(&request.contract_toml) {
            Ok(contract) => Box::new(contract),
            Err(error) => {
                return refused_reply(error.to_string());
            }
        };
        let change = Change::Contract {
            contract,
            seen_version: request.seen_version,
        };
        self.apply_change(request.change_id, &request.operator, &change)
            .await
    }

    /// Starts or ends the drain of a backend server.
    pub(crate) async fn drain(&self, request: DrainServer) -> ChangeReply {
        let snapshot = self.control.snapshot();
        let known = snapshot.pools.values().any(|pool| {
            pool.servers
                .iter()
                .any(|server| server.name == request.server)
        });
        if request.draining && !known {
            return refused_reply(format!("there is no backend server {:?}", request.server));
        }
        if let Err(error) = check_server_name(&request.server) {
            return refused_reply(error.to_string());
        }
        let change = Change::Drain {
            server: request.server,
            draining: request.draining,
        };
        self.apply_change(request.change_id, &request.operator, &change)
            .await
    }

    /// Returns the outcome of an earlier change.
    pub(crate) async fn outcome_of(&self, change_id: String) -> ChangeReply {
        if let Err(error) = check_change_id(&change_id) {
            return refused_reply(error.to_string());
        }
        let newest = self.control.snapshot().newest_version();
        match self.store.settled_outcome_of(&change_id, newest).await {
            Ok(Some(accepted)) => self.activate(change_id, accepted.version, None).await,
            Ok(None) => refused_reply(String::from(
                "no change of this id was accepted so far; one that is still on its way may be",
            )),
            Err(error) => ChangeReply::Unknown {
                change_id,
                reason: error.to_string(),
            },
        }
    }

    /// Returns a customer's contract, in its current or a given version.
    pub(crate) async fn show(
        &self,
        query: &ContractQuery,
    ) -> Result<Option<ContractReply>, String> {
        let customer = query.customer.as_str();
        let found = match query.version {
            Some(version) => self.store.contract_at(customer, version).await,
            None => self.store.contract(customer).await,
        };
        let Some((version, contract)) = found.map_err(|error| error.to_string())? else {
            return Ok(None);
        };
        let contract_toml =
            toml::to_string_pretty(contract.as_ref()).map_err(|error| error.to_string())?;
        Ok(Some(ContractReply {
            version,
            contract_toml,
        }))
    }

    /// Returns all changes.
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

    /// Returns the state of the fleet as seen by this router.
    pub(crate) fn status(&self) -> Status {
        let snapshot = self.control.snapshot();
        let mut status = Status {
            router: self.router_name.clone(),
            config_version: snapshot.config.version,
            config_known: snapshot.config_known,
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

    async fn apply_change(
        &self,
        change_id: String,
        operator: &str,
        change: &Change,
    ) -> ChangeReply {
        if let Err(error) = check_change_id(&change_id) {
            return refused_reply(error.to_string());
        }
        let snapshot = self.control.snapshot();
        let known = KnownConfig {
            config: snapshot.config.clone(),
            newest_version: snapshot.newest_version(),
        };
        let applied = self
            .store
            .apply(&change_id, operator, change, wall_clock_ms(), &known)
            .await;
        match applied {
            Ok(ChangeOutcome::Accepted { version, config }) => {
                self.activate(change_id, version, config).await
            }
            Ok(ChangeOutcome::Refused {
                current_version,
                changed_by,
                differences,
            }) => ChangeReply::Refused {
                reason: refusal_text(current_version, &changed_by),
                current_version: Some(current_version),
                differences,
            },
            Err(error @ ApplyError::NotApplied { .. }) => refused_reply(error.to_string()),
            Err(error @ ApplyError::Unknown { .. }) => ChangeReply::Unknown {
                change_id,
                reason: error.to_string(),
            },
        }
    }

    /// Puts a change in force on this router, and only then reports it as accepted: from then on the
    /// peers receive it even if the platform fails.
    async fn activate(
        &self,
        change_id: String,
        version: u64,
        config: Option<Arc<FleetConfig>>,
    ) -> ChangeReply {
        let held = self.control.snapshot().config.clone();
        if held.version < version {
            let config = match config {
                Some(config) => Ok(config),
                None => self.store.load_since(&held).await.map(Arc::new),
            };
            match config {
                Ok(config) => {
                    self.spawn_snapshot_write(config.clone());
                    self.control.send(Command::OfferConfig(config));
                }
                Err(error) => {
                    let reason = format!("it is written but not read back: {error}");
                    return ChangeReply::Unknown { change_id, reason };
                }
            }
        }
        let in_force = tokio::time::timeout(IN_FORCE_LIMIT, async {
            while self.control.snapshot().config.version < version {
                tokio::time::sleep(IN_FORCE_POLL).await;
            }
        });
        match in_force.await {
            Ok(()) => ChangeReply::Accepted { version },
            Err(_) => ChangeReply::Unknown {
                change_id,
                reason: String::from("it is written but not yet in force on this router"),
            },
        }
    }

    /// Writes the configuration snapshot in the background if one is due. A failure is ignored,
    /// since a later snapshot replaces this one.
    fn spawn_snapshot_write(&self, config: Arc<FleetConfig>) {
        let store = self.store.clone();
        tokio::spawn(async move { drop(store.write_snapshot_if_due(&config).await) });
    }
}

fn refused_reply(reason: String) -> ChangeReply {
    ChangeReply::Refused {
        reason,
        current_version: None,
        differences: Vec::new(),
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
        Change::Republished { held_version } => {
            format!("version {held_version} written back after the platform lost it")
        }
    }
}

fn state_text(state: VmState) -> String {
    match state {
        VmState::Live => String::from("live"),
        VmState::Leaving => String::from("leaving"),
    }
}

fn router_lines(snapshot: &Snapshot) -> Vec<RouterStatus> {
    let lines = snapshot.routers.iter().map(|router| RouterStatus {
        name: router.name.clone(),
        zone: router.zone.clone(),
        state: state_text(router.state),
        config_version: router.config_version,
        caller_address: router.caller_address.to_string(),
        operator_address: router.operator_address.to_string(),
    });
    lines.collect()
}

fn server_lines(snapshot: &Snapshot) -> Vec<ServerStatus> {
    let steward_name = |server: &ServerView| {
        let steward = snapshot
            .routers
            .iter()
            .find(|router| router.id == server.steward);
        steward.map_or_else(String::new, |router| router.name.clone())
    };
    let lines = snapshot.pools.values().flat_map(|pool| {
        pool.servers.iter().map(|server| ServerStatus {
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
