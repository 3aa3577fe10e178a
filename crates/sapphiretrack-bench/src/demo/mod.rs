//! The demo: routers, fake servers and callers in one process, in less than a minute.

mod callers;
mod sample;
mod tally;

use std::sync::Arc;
use std::time::{Duration, Instant};

use pico_args::Arguments;
use sapphiretrack_fakes::EngineFaults;

use crate::demo::callers::{CallerPlan, run_callers};
use crate::demo::sample::Sampler;
use crate::demo::tally::Tally;
use crate::run::{block_on, reject_unused_arguments};
use crate::site::{Site, SiteSettings};

/// The seed if `--seed` is absent.
const DEFAULT_SEED: u64 = 1;
/// How long an engine may still receive new requests after it announces that it is leaving.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

// Times of the events, from the start of the callers.
const JOIN_AT: Duration = Duration::from_secs(4);
const SURGE_AT: Duration = Duration::from_secs(8);
const LEAVE_AT: Duration = Duration::from_secs(13);
const STOP_AT: Duration = Duration::from_secs(18);
const END_AT: Duration = Duration::from_secs(25);

/// Runs the demo. The error names the guarantees that were violated, or what failed.
pub fn run(mut arguments: Arguments) -> Result<(), String> {
    let seed: Option<u64> = arguments
        .opt_value_from_str("--seed")
        .map_err(|error| error.to_string())?;
    reject_unused_arguments(arguments)?;
    block_on(4, run_demo(seed.unwrap_or(DEFAULT_SEED)))
}

async fn run_demo(seed: u64) -> Result<(), String> {
    eprintln!("seed {seed}");
    let mut site = Site::start(SiteSettings::default()).await?;
    let tally = Arc::new(Tally::default());
    let apply_time = site.apply_contract().await?;
    eprintln!(
        "contract in force on all {} routers after {apply_time:?}",
        site.router_count()
    );
    let sampler = Sampler::start(site.engines());
    let plan = CallerPlan {
        seed,
        entries: site.caller_urls(),
        surge: SURGE_AT..LEAVE_AT,
        end: END_AT,
    };
    let started = Instant::now();
    let callers = tokio::spawn(run_callers(plan, started, tally.clone()));

    sleep_until(started, JOIN_AT).await;
    eprintln!(
        "{:>5.1} s  an engine joins",
        started.elapsed().as_secs_f64()
    );
    site.add_engine().await?;
    sampler.set_engines(site.engines());
    sleep_until(started, SURGE_AT).await;
    eprintln!(
        "{:>5.1} s  a workspace surges",
        started.elapsed().as_secs_f64()
    );
    sleep_until(started, LEAVE_AT).await;
    eprintln!(
        "{:>5.1} s  an engine leaves",
        started.elapsed().as_secs_f64()
    );
    let leaving = site.engines()[0].clone();
    leaving.set_faults(EngineFaults {
        leaving: true,
        ..EngineFaults::default()
    });
    sampler.set_engines(site.engines()[1..].to_vec());
    tokio::time::sleep(LEAVING_GRACE).await;
    let started_after_grace = leaving.started_requests();
    sleep_until(started, STOP_AT).await;
    eprintln!(
        "{:>5.1} s  a planned stop of a router",
        started.elapsed().as_secs_f64()
    );
    let cut_requests = site.stop_router().await?;
    callers.await.map_err(|error| error.to_string())?;
    eprintln!(
        "{:>5.1} s  all callers have finished",
        started.elapsed().as_secs_f64()
    );

    let requests_after_leaving = leaving.started_requests() - started_after_grace;
    let control_bytes_per_s = site.control_bytes_per_s().await?;
    let mut violations = tally.violations(&site.service().runs());
    if requests_after_leaving > 0 {
        violations.push(format!(
            "{requests_after_leaving} requests reached an engine after its leaving grace period"
        ));
    }
    if cut_requests > 0 {
        violations.push(format!("the planned stop cut {cut_requests} requests"));
    }
    print!(
        "{}",
        tally.table(&sampler.skew(), &control_bytes_per_s, apply_time)
    );
    site.stop_all().await?;
    match violations.is_empty() {
        true => Ok(()),
        false => Err(format!("violated guarantees: {}", violations.join("; "))),
    }
}

async fn sleep_until(started: Instant, at: Duration) {
    tokio::time::sleep_until(tokio::time::Instant::from_std(started + at)).await;
}
