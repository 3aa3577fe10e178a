//! How soon the routers of a cell notice what happens to one of them, or to an engine.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use sapphiretrack_caller::{CallerClient, RequestOptions};
use sapphiretrack_fakes::EngineFaults;

use crate::cell::routers::{CALLER_KEY, Cell, RouterProcess, live_servers, operator};

/// The event of a lost peer.
const PEER_LOST: u16 = 302;
/// The event of a leaving peer.
const PEER_LEAVING: u16 = 301;
/// The event of a leaving server.
const SERVER_LEAVING: u16 = 401;

/// What happens to a router.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RouterFate {
    /// Its process is killed.
    Killed,
    /// It stands still, like a VM that is cut off without a word.
    Frozen,
    /// Its planned stop begins.
    Leaving,
}

/// Lets something happen to the last router, and returns when each other noticed.
pub(crate) async fn router_fate(cell: &mut Cell, fate: RouterFate) -> Result<Vec<f64>, String> {
    let victim = cell.routers.pop().ok_or("there is no router")?;
    let name = format!("router=\"{}\"", victim.name);
    let since = Instant::now();
    let (signal, event) = match fate {
        RouterFate::Killed => ("KILL", PEER_LOST),
        RouterFate::Frozen => ("STOP", PEER_LOST),
        RouterFate::Leaving => ("TERM", PEER_LEAVING),
    };
    victim.signal(signal)?;
    let times = cell.routers.iter().map(|router| {
        let noticed = router.wait_event(event, &name, since);
        noticed.map(|(after, _)| after.as_secs_f64() * 1_000.0)
    });
    let times: Option<Vec<f64>> = times.collect();
    drop(victim);
    cell.add_router()?;
    cell.publish();
    cell.wait_settled().await?;
    times.ok_or_else(|| format!("{fate:?} was not noticed by all"))
}

/// How often a flapping router goes down in one trial.
const DOWNS: usize = 4;

/// The last router dies and starts again under its name, several times with no pause between;
/// returns when each other router noticed each death.
pub(crate) async fn router_flapping(cell: &mut Cell) -> Result<Vec<f64>, String> {
    let mut times = Vec::new();
    for _ in 0..DOWNS {
        let victim = cell.routers.pop().ok_or("there is no router")?;
        let name = format!("router=\"{}\"", victim.name);
        let since = Instant::now();
        victim.signal("KILL")?;
        for router in &cell.routers {
            let noticed = router.wait_event(PEER_LOST, &name, since);
            let (after, _) = noticed.ok_or("a death was not noticed by all")?;
            times.push(after.as_secs_f64() * 1_000.0);
        }
        cell.start_again(&victim.name)?;
        cell.publish();
        cell.wait_settled().await?;
    }
    Ok(times)
}

/// An engine says that it is leaving; returns when each router closed it.
pub(crate) async fn engine_leaving(cell: &Cell, engine: usize) -> Result<Vec<f64>, String> {
    let since = Instant::now();
    cell.engines[engine].set_faults(EngineFaults {
        leaving: true,
        ..EngineFaults::default()
    });
    let name = format!("server=\"engine-{engine}\"");
    let times = cell.routers.iter().map(|router| {
        let noticed = router.wait_event(SERVER_LEAVING, &name, since);
        noticed.map(|(after, _)| after.as_secs_f64() * 1_000.0)
    });
    let times: Option<Vec<f64>> = times.collect();
    times.ok_or_else(|| String::from("the leaving engine was not noticed by all"))
}

/// An engine answers no more; returns when each router closed it, seen by polling.
pub(crate) async fn engine_silent(cell: &Cell, engine: usize) -> Result<Vec<f64>, String> {
    let all = {
        let first = cell.routers.first().ok_or("there is no router")?;
        let status = operator(first).status().await;
        live_servers(&status.map_err(|error| error.to_string())?)
    };
    let since = Instant::now();
    cell.engines[engine].set_faults(EngineFaults {
        frozen: true,
        ..EngineFaults::default()
    });
    let polls = cell
        .routers
        .iter()
        .map(|router| wait_live(router, all - 1, since));
    let times = futures_join(polls.collect()).await;
    cell.engines[engine].set_faults(EngineFaults::default());
    let until = cell
        .routers
        .iter()
        .map(|router| wait_live(router, all, since));
    futures_join(until.collect()).await;
    Ok(times)
}

async fn futures_join<Wait>(waits: Vec<Wait>) -> Vec<f64>
where
    Wait: Future<Output = f64>,
{
    let mut times = Vec::new();
    for wait in waits {
        times.push(wait.await);
    }
    times
}

async fn wait_live(router: &RouterProcess, count: usize, since: Instant) -> f64 {
    loop {
        let status = operator(router).status().await;
        if status.is_ok_and(|status| live_servers(&status) == count) {
            return since.elapsed().as_secs_f64() * 1_000.0;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// What callers met around the death of the steward of a pool's only engine.
#[derive(Clone, Debug)]
pub(crate) struct Gap {
    /// From the kill to the first answer after it that began after it.
    pub(crate) without_grants_ms: f64,
    /// Chats refused as not run in between, by the refusal's code.
    pub(crate) refused: BTreeMap<String, u32>,
}

/// Kills the steward of engine 0 and chats through another router until one is answered.
pub(crate) async fn steward_gap(cell: &mut Cell, planned: bool) -> Result<Gap, String> {
    let first = cell.routers.first().ok_or("there is no router")?;
    let status = operator(first).status().await;
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
        .remove(index.ok_or("the steward is not in the cell")?);
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
    // A planned stop answers on for a while: what counts is the longest time between answers.
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
    cell.wait_settled().await?;
    Ok(Gap {
        without_grants_ms: longest.as_secs_f64() * 1_000.0,
        refused,
    })
}
