//! Commands about contracts and changes.

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

/// How long one call to a router may take.
const CALL_TIMEOUT_MS: u64 = 15_000;
/// How often `--wait` looks.
const WAIT_POLL: Duration = Duration::from_millis(100);

/// A client of the router that the options name.
pub(crate) fn client(options: &Options) -> OperatorClient {
    client_of(options, &options.router)
}

/// A client of the router with this operators' URL.
pub(crate) fn client_of(options: &Options, url: &str) -> OperatorClient {
    OperatorClient::with_trust(url, &options.operator_key, CALL_TIMEOUT_MS, &options.trust)
}

/// An id for a change.
pub(crate) fn new_change_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Applies a contract.
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
    let version = settle(&client, reply, &request.change_id).await?;
    let accepted = accepted_text(options, version);
    if !apply.wait {
        return Ok(accepted);
    }
    // Accepted holds whatever the wait brings, so it is told first.
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

/// Tells what came of a change.
pub(crate) async fn change(options: &Options, change_id: &str) -> Result<String, CliError> {
    let client = client(options);
    let reply = client.outcome_of(change_id).await;
    let version = settle(&client, reply, change_id).await?;
    Ok(accepted_text(options, version))
}

/// The version of an accepted change; a lost reply is settled by asking once more.
pub(crate) async fn settle(
    client: &OperatorClient,
    reply: Result<ChangeReply, sapphiretrack_operator::OperatorError>,
    change_id: &str,
) -> Result<u64, CliError> {
    use sapphiretrack_operator::OperatorError;
    let reply = match reply {
        Ok(reply) => reply,
        Err(OperatorError::ReplyLost { reason, .. }) => match client.outcome_of(change_id).await {
            Ok(accepted @ ChangeReply::Accepted { .. }) => accepted,
            // The change may still be on its way: absence now proves nothing.
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

/// How an accepted change is told.
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

/// Waits until every router that the asked one sees has the version in force.
async fn wait_in_force(
    client: &OperatorClient,
    options: &Options,
    version: u64,
) -> Result<String, CliError> {
    let started = Instant::now();
    let mut told: Vec<String> = Vec::new();
    loop {
        let status: Status = client.status().await.context(RouterSnafu)?;
        let mut missing = Vec::new();
        for router in &status.routers {
            if router.config_version < version {
                missing.push(router.name.clone());
            } else if !told.contains(&router.name) {
                told.push(router.name.clone());
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
