//! How long the routers of a cell take to detect that a router or an engine fails or leaves, and
//! how long no request is granted when the steward of an engine goes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use sapphiretrack_caller::{CallerClient, RequestOptions};
use sapphiretrack_fakes::EngineFaults;

use crate::cell::routers::{CALLER_KEY, Cell, RouterProcess, live_server_count, operator_client};

/// The number of the log event of a lost peer.
const PEER_LOST: u16 = 302;
/// The number of the log event of a leaving peer.
const PEER_LEAVING: u16 = 301;
/// The number of the log event of a leaving backend server.
const SERVER_LEAVING: u16 = 401;

/// How a router goes away.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RouterExit {
    /// Its process is killed (SIGKILL).
    Killed,
    /// Its process is suspended (SIGSTOP): connections stay open and nothing is answered, as with a
    /// VM that loses its network.
    Frozen,
    /// Its planned stop begins (SIGTERM).
    Leaving,
}

/// Makes the last router go away and starts another one.
///
/// Returns the milliseconds after which each of the other routers logged it.
pub(crate) async fn measure_router_exit(
    cell: &mut Cell,
    exit: RouterExit,
) -> Result<Vec<f64>, String> {
    let victim = cell.routers.pop().ok_or("the cell has no router")?;
    let name = format!("router=\"{}\"", victim.name);
    let since = Instant::now();
    let (signal, event) = match exit {
        RouterExit::Killed => ("KILL", PEER_LOST),
        RouterExit::Frozen => ("STOP", PEER_LOST),
        RouterExit::Leaving => ("TERM", PEER_LEAVING),
    };
    victim.signal(signal)?;
    let times = cell.routers.iter().map(|router| {
        let detected = router.wait_for_event(event, &name, since);
        detected.map(|(after, _)| after.as_secs_f64() * 1_000.0)
    });
    let times: Option<Vec<f64>> = times.collect();
    drop(victim);
    cell.add_router()?;
    cell.publish();
    cell.wait_until_all_live().await?;
    times.ok_or_else(|| format!("{exit:?} was not detected by all routers"))
}

/// How often a flapping router crashes in one trial.
const CRASHES_PER_TRIAL: usize = 4;

/// Kills and restarts the last router under the same name, several times without a pause.
///
/// Returns the milliseconds after which each of the other routers logged each crash.
pub(crate) async fn measure_flapping_router(cell: &mut Cell) -> Result<Vec<f64>, String> {
    let mut times = Vec::new();
    for _ in 0..CRASHES_PER_TRIAL {
        let victim = cell.routers.pop().ok_or("the cell has no router")?;
        let name = format!("router=\"{}\"", victim.name);
        let since = Instant::now();
        victim.signal("KILL")?;
        for router in &cell.routers {
            let detected = router.wait_for_event(PEER_LOST, &name, since);
            let (after, _) = detected.ok_or("a crash was not detected by all routers")?;
            times.push(after.as_secs_f64() * 1_000.0);
        }
        cell.restart_router(&victim.name)?;
        cell.publish();
        cell.wait_until_all_live().await?;
    }
    Ok(times)
}

/// Makes an engine report that it is leaving.
///
/// Returns the milliseconds after which each router logged it.
pub(crate) async fn measure_leaving_engine(cell: &Cell, engine: usize) -> Result<Vec<f64>, String> {
    let since = Instant::now();
    cell.engines[engine].set_faults(EngineFaults {
        leaving: true,
        ..EngineFaults::default()
    });
    let name = format!("server=\"engine-{engine}\"");
    let times = cell.routers.iter().map(|router| {
        let detected = router.wait_for_event(SERVER_LEAVING, &name, since);
        detected.map(|(after, _)| after.as_secs_f64() * 1_000.0)
    });
    let times: Option<Vec<f64>> = times.collect();
    times.ok_or_else(|| String::from("the leaving engine was not detected by all routers"))
}

/// Makes an engine stop answering.
///
/// Returns the milliseconds after which each router listed one live server less. The routers are
/// polled one after another, so the time of a router is at least that of the one before it.
pub(crate) async fn measure_silent_engine(cell: &Cell, engine: usize) -> Result<Vec<f64>, String> {
    let live = {
        let first = cell.routers.first().ok_or("the cell has no router")?;
        let status = operator_client(first).status().await;
        live_server_count(&status.map_err(|error| error.to_string())?)
    };
    let since = Instant::now();
    cell.engines[engine].set_faults(EngineFaults {
        frozen: true,
        ..EngineFaults::default()
    });
    let polls = cell
        .routers
        .iter()
        .map(|router| wait_for_live_servers(router, live - 1, since));
    let times = await_in_order(polls.collect()).await;
    cell.engines[engine].set_faults(EngineFaults::default());
    let recoveries = cell
        .routers
        .iter()
        .map(|router| wait_for_live_servers(router, live, since));
    await_in_order(recoveries.collect()).await;
    Ok(times)
}

async fn await_in_order<Wait>(waits: Vec<Wait>) -> Vec<f64>
where
    Wait: Future<Output = f64>,
{
    let mut times = Vec::new();
    for wait in waits {
        times.push(wait.await);
    }
    times
}

async fn wait_for_live_servers(router: &RouterProcess, count: usize, since: Instant) -> f64 {
    loop {
        let status = operator_client(router).status().await;
        if status.is_ok_and(|status| live_server_count(&status) == count) {
            return since.elapsed().as_secs_f64() * 1_000.0;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// What callers observe when the steward of a pool's only engine goes away.
#[derive(Clone, Debug)]
pub(crate) struct GrantGap {
    /// The longest time without a complete answer from the signal on, in milliseconds.
    pub(crate) without_grants_ms: f64,
    /// Chats without a complete answer, by error code; the code is empty if there was no error
    /// body.
    pub(crate) refused: BTreeMap<String, u32>,
}

/// Kills the steward of engine 0, or stops it as planned, and sends chats to another router for
/// four seconds, or longer until one is complete.
pub(crate) async fn measure_grant_gap(cell: &mut Cell, planned: bool) -> Result<GrantGap, String> {
    let first = cell.routers.first().ok_or("the cell has no router")?;
    let status = operator_client(first).status().await;
    let status = status.map_err(|error| error.to_string())?;
    let steward = status
        .servers
        .iter()
        .find(|server| server.name == "engine-0");
    let steward = steward.map(|server| server.steward.clone());
    let steward = steward.ok_or("engine-0 has no steward")?;
    let index = cell
        .routers
        .iter()
        .position(|router| router.name == steward);
    let victim = cell
        .routers
        .remove(index.ok_or("the steward is not a router of the cell")?);
    let url = format!("http://{}", cell.routers[0].vm.address);
    let client = CallerClient::new();
    let options = RequestOptions {
        key: CALLER_KEY.to_owned(),
        workspace: Some(String::from("gap")),
        chat: Some(String::from("gap")),
        ..RequestOptions::default()
    };
    let body = Bytes::from_static(
        b"{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":1,\
          \"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}",
    );
    drop(client.chat(&url, body.clone(), &options, |_| {}).await);
    victim.signal(if planned { "TERM" } else { "KILL" })?;
    let since = Instant::now();
    // During a planned stop chats are still answered for a while, so the longest time between two
    // answers is measured, not the time to the first answer.
    let mut last = since;
    let mut longest = Duration::ZERO;
    let mut refused: BTreeMap<String, u32> = BTreeMap::new();
    while since.elapsed() < Duration::from_secs(4) || longest.is_zero() {
        let answer = client.chat(&url, body.clone(), &options, |_| {}).await;
        let answer = answer.map_err(|error| error.to_string())?;
        if answer.outcome == "complete" {
            longest = longest.max(last.elapsed());
            last = Instant::now();
        } else {
            let code = answer
                .error
                .map_or_else(String::new, |error| format!("{:?}", error.error.code));
            *refused.entry(code).or_default() += 1;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    drop(victim);
    cell.add_router()?;
    cell.publish();
    cell.wait_until_all_live().await?;
    Ok(GrantGap {
        without_grants_ms: longest.as_secs_f64() * 1_000.0,
        refused,
    })
}
