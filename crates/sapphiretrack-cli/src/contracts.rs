//! Commands for contracts and configuration changes.

use std::time::{Duration, Instant};

use sapphiretrack_core::parse_contract;
use sapphiretrack_operator::OperatorClient;
use sapphiretrack_operator::wire::{ApplyContract, ChangeReply, Status};
use snafu::ResultExt;

use crate::command::{ContractApply, ContractShow, Options};
use crate::error::{
    CliError, ContractSnafu, ReadFileSnafu, RefusedSnafu, RouterSnafu, UnknownSnafu, WaitEndedSnafu,
};
use crate::table::{json, table};

/// The longest time of a call to a router, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 15_000;
/// The interval at which `--wait` polls the status.
const WAIT_POLL: Duration = Duration::from_millis(100);

/// Creates a client of the router given by `--router`.
pub(crate) fn client(options: &Options) -> OperatorClient {
    client_for_url(options, &options.router)
}

/// Creates a client of the router whose operator interface is at `url`.
pub(crate) fn client_for_url(options: &Options, url: &str) -> OperatorClient {
    OperatorClient::with_trust(url, &options.operator_key, CALL_TIMEOUT_MS, &options.trust)
}

/// Creates a random id for a change.
pub(crate) fn new_change_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Applies a contract file.
pub(crate) async fn apply(options: &Options, apply: &ContractApply) -> Result<String, CliError> {
    let file = apply.file.as_path();
    let contract_toml = std::fs::read_to_string(file).context(ReadFileSnafu { file })?;
    let contract = parse_contract(&contract_toml).context(ContractSnafu { file })?;
    let client = client(options);
    let seen_version = match apply.seen_version {
        Some(version) => version,
        None => current_version(&client, &contract.customer).await?,
    };
    let request = ApplyContract {
        change_id: new_change_id(),
        operator: options.operator.clone(),
        seen_version,
        contract_toml,
    };
    let reply = client.apply(&request).await;
    let version = resolve_outcome(&client, reply, &request.change_id).await?;
    let accepted = accepted_text(options, version);
    if !apply.wait {
        return Ok(accepted);
    }
    // Printed before the wait, because the change is committed even if the wait fails.
    print!("{accepted}");
    wait_in_force(&client, options, version).await
}

/// Shows a contract.
pub(crate) async fn show(options: &Options, show: &ContractShow) -> Result<String, CliError> {
    let client = client(options);
    let shown = match show.version {
        Some(version) => client.show_at(&show.customer, version).await,
        None => client.show(&show.customer).await,
    };
    let shown = shown.context(RouterSnafu)?;
    if options.json {
        return Ok(json(&shown));
    }
    Ok(format!(
        "# version {}\n{}",
        shown.version, shown.contract_toml
    ))
}

/// Lists all changes.
pub(crate) async fn history(options: &Options) -> Result<String, CliError> {
    let lines = client(options).history().await.context(RouterSnafu)?;
    if options.json {
        return Ok(json(&lines));
    }
    let rows: Vec<Vec<String>> = lines
        .into_iter()
        .map(|line| {
            vec![
                line.version.to_string(),
                line.operator,
                line.change_id,
                line.what,
            ]
        })
        .collect();
    Ok(table(&["VERSION", "OPERATOR", "CHANGE", "WHAT"], &rows))
}

/// Shows the outcome of a change.
pub(crate) async fn change(options: &Options, change_id: &str) -> Result<String, CliError> {
    let client = client(options);
    let reply = client.outcome_of(change_id).await;
    let version = resolve_outcome(&client, reply, change_id).await?;
    Ok(accepted_text(options, version))
}

/// Returns the version of an accepted change. If the reply was lost, asks once for the outcome.
pub(crate) async fn resolve_outcome(
    client: &OperatorClient,
    reply: Result<ChangeReply, sapphiretrack_operator::OperatorError>,
    change_id: &str,
) -> Result<u64, CliError> {
    use sapphiretrack_operator::OperatorError;
    let reply = match reply {
        Ok(reply) => reply,
        Err(OperatorError::ReplyLost { reason, .. }) => match client.outcome_of(change_id).await {
            Ok(accepted @ ChangeReply::Accepted { .. }) => accepted,
            // The change may still be in transit, so that its absence proves nothing.
            _ => ChangeReply::Unknown {
                change_id: change_id.to_owned(),
                reason,
            },
        },
        Err(source) => return Err(CliError::Router { source }),
    };
    match reply {
        ChangeReply::Accepted { version } => Ok(version),
        ChangeReply::Refused {
            reason,
            differences,
            ..
        } => {
            let lines = differences.iter().map(|line| format!("\n  {line}"));
            let reason = reason + &lines.collect::<String>();
            RefusedSnafu { reason }.fail()
        }
        ChangeReply::Unknown { change_id, reason } => UnknownSnafu { change_id, reason }.fail(),
    }
}

/// The output for an accepted change.
pub(crate) fn accepted_text(options: &Options, version: u64) -> String {
    if options.json {
        return json(&ChangeReply::Accepted { version });
    }
    format!("accepted: version {version}\n")
}

async fn current_version(client: &OperatorClient, customer: &str) -> Result<u64, CliError> {
    use sapphiretrack_operator::OperatorError;
    match client.show(customer).await {
        Ok(shown) => Ok(shown.version),
        Err(OperatorError::Refused { status: 404, .. }) => Ok(0),
        Err(source) => Err(CliError::Router { source }),
    }
}

/// Waits until the version is in force on every router that the queried router knows.
async fn wait_in_force(
    client: &OperatorClient,
    options: &Options,
    version: u64,
) -> Result<String, CliError> {
    let started = Instant::now();
    let mut reported: Vec<String> = Vec::new();
    loop {
        let status: Status = client.status().await.context(RouterSnafu)?;
        let mut missing = Vec::new();
        for router in &status.routers {
            if router.config_version < version {
                missing.push(router.name.clone());
            } else if !reported.contains(&router.name) {
                reported.push(router.name.clone());
                if !options.json {
                    println!(
                        "in force on {} after {} ms",
                        router.name,
                        started.elapsed().as_millis()
                    );
                }
            }
        }
        if missing.is_empty() {
            return Ok(if options.json {
                String::new()
            } else {
                format!("in force on all {} routers\n", status.routers.len())
            });
        }
        if started.elapsed().as_millis() as u64 >= options.wait_limit_ms {
            return WaitEndedSnafu {
                what: "not in force everywhere",
                wait_limit_ms: options.wait_limit_ms,
                missing: missing.join(", "),
            }
            .fail();
        }
        tokio::time::sleep(WAIT_POLL).await;
    }
}
