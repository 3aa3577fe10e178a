//! Goodput and share of late answers by class at multiples of the engines' capacity; retries while
//! engines cut every stream.

use pico_args::Arguments;
use sapphiretrack_core::LoadBound;
use sapphiretrack_fakes::{EngineFaults, EngineSettings};

use crate::open_loop::{OfferedClass, OfferedLoad, offer_load, quantile};
use crate::run::{block_on, reject_unused_arguments};
use crate::small_fleet::{SmallFleet, SmallFleetSettings, contract_toml};

const ENGINES: usize = 4;
const BATCH_SLOTS: u32 = 8;
const DECODE_MS: u64 = 10;
const ANSWER_TOKENS: u32 = 20;
const DEADLINES_MS: [u64; 3] = [1_000, 2_000, 4_000];
const CLASS_SHARES: [f64; 3] = [0.1, 0.6, 0.3];
const CLASS_NAMES: [&str; 3] = ["urgent", "floor", "night"];

/// Runs the measurement of overload and prints its results; an error says what failed.
pub fn run(mut arguments: Arguments) -> Result<(), String> {
    let seconds = arguments
        .opt_value_from_str("--seconds")
        .map_err(|error| error.to_string())?
        .unwrap_or(15.0);
    reject_unused_arguments(arguments)?;
    block_on(2, async move {
        let capacity = measure_capacity().await?;
        println!("measured capacity of the fake engines: {capacity:.0} requests/s");
        let mut baseline = None;
        for multiple in [1.0, 2.0, 4.0] {
            let fleet = start_fleet(ENGINES).await?;
            let load = offered_load(capacity * multiple, seconds);
            let results = offer_load(&fleet, &load).await;
            let mut in_time = 0;
            for name in CLASS_NAMES {
                let mut result = results.get(name).cloned().unwrap_or_default();
                in_time += result.in_time;
                let admitted = f64::from((result.in_time + result.late).max(1));
                println!(
                    "{multiple} x {name:6} offered {:5} in time {:5} late {:4} ({:.2}% of admitted) \
                     refused {:5} other {:3} p50 {} ms p99 {} ms, refusals p99 {} ms",
                    result.offered,
                    result.in_time,
                    result.late,
                    f64::from(result.late) / admitted * 100.0,
                    result.refused,
                    result.other,
                    quantile(&mut result.times_ms, 0.5),
                    quantile(&mut result.times_ms, 0.99),
                    quantile(&mut result.refusal_ms, 0.99),
                );
            }
            let goodput = f64::from(in_time) / seconds;
            let baseline = *baseline.get_or_insert(goodput);
            println!(
                "{multiple} x goodput {goodput:.1} requests/s, {:.3} of the goodput at 1 x",
                goodput / baseline
            );
        }
        Ok(())
    })
}

/// Runs the measurement of retries while engines fail and prints its results; an error says what
/// failed.
pub fn run_brown_out(arguments: Arguments) -> Result<(), String> {
    reject_unused_arguments(arguments)?;
    block_on(2, async {
        for failing in [1, 2, ENGINES] {
            let fleet = start_fleet(ENGINES).await?;
            for engine in &fleet.engines[..failing] {
                engine.set_faults(EngineFaults {
                    cut_streams: u32::MAX,
                    cut_after_tokens: 2,
                    ..EngineFaults::default()
                });
            }
            let results = offer_load(&fleet, &offered_load(80.0, 20.0)).await;
            let requests: u32 = results.values().map(|result| result.offered).sum();
            let in_time: u32 = results.values().map(|result| result.in_time).sum();
            let refused: u32 = results.values().map(|result| result.refused).sum();
            let engines = fleet.engines.iter();
            let started: u64 = engines.map(|engine| engine.started_requests()).sum();
            // Requests with the outcome `not-run` count as never sent to an engine, all others as
            // sent at least once.
            let sent_requests = f64::from(requests - refused);
            println!(
                "{failing} of {ENGINES} engines cut every stream: {requests} requests, {refused} \
                 refused, {in_time} complete in time, {started} attempts, amplification {:.3}",
                started as f64 / sent_requests,
            );
        }
        Ok(())
    })
}

/// Measures the requests per second that the engines complete while all their batch slots are full.
async fn measure_capacity() -> Result<f64, String> {
    const SECONDS: f64 = 6.0;
    let fleet = start_fleet(ENGINES).await?;
    let nominal = f64::from(ENGINES as u32 * BATCH_SLOTS) * 1_000.0
        / (DECODE_MS * u64::from(ANSWER_TOKENS)) as f64;
    let results = offer_load(&fleet, &offered_load(nominal * 1.5, SECONDS)).await;
    let completed: usize = results.values().map(|result| result.times_ms.len()).sum();
    // Requests in flight at the end of the load complete too, so the time of one answer is added.
    let tail_s = (DECODE_MS * u64::from(ANSWER_TOKENS)) as f64 / 1_000.0;
    Ok(completed as f64 / (SECONDS + tail_s))
}

async fn start_fleet(engines: usize) -> Result<SmallFleet, String> {
    SmallFleet::start(SmallFleetSettings {
        routers: 3,
        engines,
        engine: EngineSettings {
            batch_slots: BATCH_SLOTS,
            decode_ms: DECODE_MS,
            queue_requests: 1_000,
            ..EngineSettings::default()
        },
        // A server may always hold one full batch, and never more than four.
        load_bound: LoadBound {
            floor_requests: BATCH_SLOTS,
            ceiling_requests: BATCH_SLOTS * 4,
            ..LoadBound::default()
        },
        contract_toml: contract_toml(DEADLINES_MS),
    })
    .await
}

fn offered_load(requests_per_s: f64, seconds: f64) -> OfferedLoad {
    let classes = CLASS_NAMES.iter().zip(CLASS_SHARES).zip(DEADLINES_MS);
    OfferedLoad {
        requests_per_s,
        seconds,
        answer_tokens: ANSWER_TOKENS,
        classes: classes
            .map(|((name, share), deadline_ms)| OfferedClass {
                name,
                share,
                deadline_ms,
            })
            .collect(),
        seed: 6,
    }
}
