//! The cost of the claim of a non-idempotent request: added latency, and writes to the platform.

use std::time::Instant;

use bytes::Bytes;
use http::Method;
use pico_args::Arguments;
use sapphiretrack_caller::{CallerClient, RequestOptions};
use sapphiretrack_core::LoadBound;
use sapphiretrack_fakes::{EngineSettings, PlatformFaults};

use crate::open_loop::quantile;
use crate::run::{block_on, reject_unused_arguments};
use crate::small_fleet::{CALLER_KEY, SmallFleet, SmallFleetSettings, contract_toml};

/// Requests of each kind for each delay of the platform.
const REQUESTS: usize = 2_000;

/// Runs the measurement and prints its results; an error says what failed.
pub fn run(arguments: Arguments) -> Result<(), String> {
    reject_unused_arguments(arguments)?;
    block_on(2, async {
        let fleet = SmallFleet::start(SmallFleetSettings {
            routers: 3,
            engines: 1,
            engine: EngineSettings::default(),
            load_bound: LoadBound::default(),
            contract_toml: contract_toml([20_000; 3]),
        })
        .await?;
        for delay_ms in [0, 5] {
            fleet.platform.set_faults(PlatformFaults {
                delay_ms,
                ..PlatformFaults::default()
            });
            measure(&fleet, delay_ms).await?;
        }
        Ok(())
    })
}

async fn measure(fleet: &SmallFleet, delay_ms: u64) -> Result<(), String> {
    let mut plain = send_requests(fleet, "plant/pallets", &format!("plain-{delay_ms}")).await?;
    let before = committed_transactions(fleet);
    let mut claimed =
        send_requests(fleet, "plant/labels/print", &format!("once-{delay_ms}")).await?;
    let writes = (committed_transactions(fleet) - before) as f64 / REQUESTS as f64;
    for at in [0.5, 0.99] {
        let (without, with) = (quantile(&mut plain, at), quantile(&mut claimed, at));
        println!(
            "platform delay {delay_ms} ms, p{:.0}: {without} us without a claim, {with} us with one, \
             {} us added",
            at * 100.0,
            with.saturating_sub(without),
        );
    }
    println!(
        "platform delay {delay_ms} ms: {writes:.3} platform writes per non-idempotent request"
    );
    Ok(())
}

/// The number of committed transactions: each one raises the row version by one.
fn committed_transactions(fleet: &SmallFleet) -> u64 {
    let rows = fleet.platform.rows();
    rows.iter().map(|row| row.row_version).max().unwrap_or(0)
}

/// Sends requests one after another to the routers in turn; returns their latencies in
/// microseconds.
async fn send_requests(fleet: &SmallFleet, path: &str, name: &str) -> Result<Vec<u64>, String> {
    let client = CallerClient::new();
    let mut times_us = Vec::with_capacity(REQUESTS);
    for number in 0..REQUESTS {
        let options = RequestOptions {
            key: CALLER_KEY.to_owned(),
            idempotency_key: Some(format!("{name}-{number}")),
            ..RequestOptions::default()
        };
        let url = &fleet.caller_urls[number % fleet.caller_urls.len()];
        let body = Bytes::from(format!("{name} {number}"));
        let started = Instant::now();
        let answer = client
            .service(url, Method::POST, path, body, &options)
            .await;
        times_us.push(started.elapsed().as_micros() as u64);
        let answer = answer.map_err(|error| error.to_string())?;
        if answer.outcome != "complete" {
            return Err(format!("request {number} is not complete: {answer:?}"));
        }
    }
    Ok(times_us)
}
