//! Commands for routers and backend servers.

use std::time::{Duration, Instant};

use sapphiretrack_operator::wire::{DrainServer, SetGoal, Status};
use sapphiretrack_operator::{OperatorClient, OperatorError};
use snafu::ResultExt;

use crate::command::{Options, ServerDrain, StatusQuery, with_scheme_of};
use crate::contracts::{accepted_text, client, client_for_url, new_change_id, resolve_outcome};
use crate::error::{CliError, NoSuchSnafu, RouterSnafu, WaitEndedSnafu};
use crate::goals::set_goal;
use crate::table::{json, table};

/// The interval at which `--wait` polls the status.
const WAIT_POLL: Duration = Duration::from_millis(100);
/// The state of a VM that accepts new requests.
const LIVE: &str = "live";

/// Lists routers.
pub(crate) async fn routers(options: &Options) -> Result<String, CliError> {
    let status = client(options).status().await.context(RouterSnafu)?;
    if options.json {
        return Ok(json(&status.routers));
    }
    Ok(router_table(&status))
}

/// Lists backend servers.
pub(crate) async fn servers(options: &Options) -> Result<String, CliError> {
    let status = client(options).status().await.context(RouterSnafu)?;
    if options.json {
        return Ok(json(&status.servers));
    }
    Ok(server_table(&status))
}

/// Shows the status of the fleet as one router sees it.
pub(crate) async fn status(options: &Options, query: &StatusQuery) -> Result<String, CliError> {
    let status = if query.wait {
        wait_status(options, query).await?
    } else {
        client(options).status().await.context(RouterSnafu)?
    };
    if options.json {
        return Ok(json(&status));
    }
    let platform = if status.platform_reached {
        "reached"
    } else {
        "not reached"
    };
    Ok(format!(
        "router {}: version {}, {} in flight, platform {platform}\n\n{}\n{}",
        status.router,
        status.config_version,
        status.in_flight,
        router_table(&status),
        server_table(&status)
    ))
}

/// Waits until the router answers and sees at least the requested numbers of live VMs.
async fn wait_status(options: &Options, query: &StatusQuery) -> Result<Status, CliError> {
    let client = client(options);
    let started = Instant::now();
    loop {
        let answer = client.status().await;
        let is_timed_out = started.elapsed().as_millis() as u64 >= options.wait_limit_ms;
        let status = match answer {
            Ok(status) => status,
            // A router that is still starting does not accept connections yet.
            Err(OperatorError::Unreachable { .. }) if !is_timed_out => {
                tokio::time::sleep(WAIT_POLL).await;
                continue;
            }
            Err(error) => return Err(error).context(RouterSnafu),
        };
        let (routers, servers) = live_counts(&status);
        if routers >= query.routers && servers >= query.servers {
            return Ok(status);
        }
        if is_timed_out {
            return WaitEndedSnafu {
                what: "not all are live",
                wait_limit_ms: options.wait_limit_ms,
                missing: format!(
                    "{routers} of {} routers, {servers} of {} servers",
                    query.routers, query.servers
                ),
            }
            .fail();
        }
        tokio::time::sleep(WAIT_POLL).await;
    }
}

/// Counts the routers and the backend servers that accept new requests.
fn live_counts(status: &Status) -> (usize, usize) {
    let routers = status.routers.iter().filter(|router| router.state == LIVE);
    let servers = status.servers.iter().filter(|server| server.state == LIVE);
    (routers.count(), servers.count())
}

/// Starts the planned stop of a router.
pub(crate) async fn stop(options: &Options, name: &str) -> Result<String, CliError> {
    let status = client(options).status().await.context(RouterSnafu)?;
    let Some(router) = status.routers.iter().find(|router| router.name == name) else {
        return NoSuchSnafu {
            what: "router",
            name,
        }
        .fail();
    };
    let url = with_scheme_of(&options.router, &router.operator_address);
    let target = client_for_url(options, &url);
    let reply = target.stop().await.context(RouterSnafu)?;
    if options.json {
        return Ok(json(&reply));
    }
    Ok(format!(
        "stopping {name}: {} requests in flight\n",
        reply.in_flight
    ))
}

/// Starts or ends the drain of a backend server.
pub(crate) async fn drain(options: &Options, drain: &ServerDrain) -> Result<String, CliError> {
    let client = client(options);
    let request = DrainServer {
        change_id: new_change_id(),
        operator: options.operator.clone(),
        server: drain.server.clone(),
        draining: !drain.undo,
    };
    let reply = client.drain(&request).await;
    let version = resolve_outcome(&client, reply, &request.change_id).await?;
    let accepted = accepted_text(options, version);
    // `--stop` implies the wait: a server is stopped only after its last request has ended.
    if !drain.wait && !drain.stop {
        return Ok(accepted);
    }
    // Printed before the wait, because the drain is committed even if the wait fails.
    print!("{accepted}");
    let mut text = wait_drained(&client, options, &drain.server, version).await?;
    if drain.stop && !drain.undo {
        let goal = SetGoal {
            server: drain.server.clone(),
            model: None,
            version: None,
            adapters: None,
            role: None,
            stopped: true,
        };
        text.push_str(&set_goal(options, &goal).await?);
    }
    Ok(text)
}

/// Waits until the drain is in force on every router and the server has no request in flight.
async fn wait_drained(
    client: &OperatorClient,
    options: &Options,
    server: &str,
    version: u64,
) -> Result<String, CliError> {
    let started = Instant::now();
    loop {
        let status = client.status().await.context(RouterSnafu)?;
        let behind = status
            .routers
            .iter()
            .filter(|router| router.config_version < version)
            .count();
        let listed = status.servers.iter().find(|listed| listed.name == server);
        let in_flight = listed.map_or(0, |listed| listed.in_flight);
        if behind == 0 && in_flight == 0 {
            return Ok(if options.json {
                String::new()
            } else {
                format!("{server} is empty\n")
            });
        }
        if started.elapsed().as_millis() as u64 >= options.wait_limit_ms {
            return WaitEndedSnafu {
                what: "not empty",
                wait_limit_ms: options.wait_limit_ms,
                missing: format!("{in_flight} requests in flight, {behind} routers behind"),
            }
            .fail();
        }
        tokio::time::sleep(WAIT_POLL).await;
    }
}

fn router_table(status: &Status) -> String {
    let rows: Vec<Vec<String>> = status
        .routers
        .iter()
        .map(|router| {
            vec![
                router.name.clone(),
                router.zone.clone(),
                router.state.clone(),
                router.config_version.to_string(),
                router.caller_address.clone(),
                router.operator_address.clone(),
            ]
        })
        .collect();
    table(
        &["ROUTER", "ZONE", "STATE", "VERSION", "CALLERS", "OPERATORS"],
        &rows,
    )
}

fn server_table(status: &Status) -> String {
    let rows: Vec<Vec<String>> = status
        .servers
        .iter()
        .map(|server| {
            vec![
                server.name.clone(),
                server.zone.clone(),
                server.pool.clone(),
                server.state.clone(),
                server.in_flight.to_string(),
                server.steward.clone(),
            ]
        })
        .collect();
    table(
        &["SERVER", "ZONE", "POOL", "STATE", "IN FLIGHT", "STEWARD"],
        &rows,
    )
}
