//! Prints the tables of the subcommand `limits`.

use pico_args::Arguments;

use super::{LimiterFault, LimitsRun, MS_PER_S};
use crate::run::reject_unused_arguments;

/// The duration of each run, in seconds of virtual time.
const RUN_S: f64 = 60.0;
/// The seed of the runs.
const SEED: u64 = 7;
/// The number of limiters in the tables of several customers and of steward outages.
const LIMITERS: usize = 9;
/// The offered load during steward outages, as a multiple of the contract's rate: high enough that
/// one limiter alone could use the whole contract.
const SURGE_MULTIPLE: f64 = 20.0;

/// Runs the simulations and prints their tables.
pub fn run(arguments: Arguments) -> Result<(), String> {
    reject_unused_arguments(arguments)?;
    println!(
        "limiters  offered  admitted     exact    over %  worst excess  asks/admitted  ask bytes/s/limiter"
    );
    for limiters in [1, 9, 360] {
        for offered_multiple in [0.8, 1.0, 5.0] {
            print_run(limiters, offered_multiple);
        }
    }
    println!("\ncustomers  limiters  offered  asks/s/limiter  ask bytes/s/limiter");
    for (customers, offered_multiple) in [(1, 1.0), (5, 0.8), (5, 1.0), (5, 5.0), (20, 0.1)] {
        print_customers(customers, offered_multiple);
    }
    println!("\na surge of 20 times the rate over nine limiters, by the state of the steward:");
    for (name, faults) in steward_outages() {
        print_outage(name, faults);
    }
    Ok(())
}

fn print_run(limiters: usize, offered_multiple: f64) {
    let run = LimitsRun {
        duration_ms: (RUN_S * MS_PER_S) as u64,
        ..LimitsRun::new(limiters, offered_multiple, SEED)
    };
    let result = run.run();
    println!(
        "{limiters:>8}  {offered_multiple:>7.1}  {:>8}  {:>8}  {:>8.2}  {:>12.1}  {:>13.2}  {:>19.0}",
        result.admitted,
        result.exact,
        result.over_admission_percent(),
        result.worst_excess.max(0.0),
        result.asks as f64 / result.admitted.max(1) as f64,
        result.ask_bytes as f64 / limiters as f64 / RUN_S,
    );
}

/// Prints the requests to stewards for several customers over nine limiters; all customers have the
/// same contract and arrivals of their own.
fn print_customers(customers: u64, offered_multiple: f64) {
    let runs = (0..customers).map(|customer| {
        let run = LimitsRun {
            duration_ms: (RUN_S * MS_PER_S) as u64,
            ..LimitsRun::new(LIMITERS, offered_multiple, SEED + customer)
        };
        run.run()
    });
    let (asks, ask_bytes) = runs.fold((0, 0), |(asks, bytes), result| {
        (asks + result.asks, bytes + result.ask_bytes)
    });
    let per_limiter = |count: u64| count as f64 / LIMITERS as f64 / RUN_S;
    println!(
        "{customers:>9}  {LIMITERS:>8}  {offered_multiple:>7.1}  {:>14.1}  {:>19.0}",
        per_limiter(asks),
        per_limiter(ask_bytes),
    );
}

/// The outages of the steward, by a description.
fn steward_outages() -> Vec<(&'static str, Vec<LimiterFault>)> {
    let from_ms = 20_000;
    let partition = |limiter| LimiterFault::Partition {
        limiter,
        from_ms,
        until_ms: from_ms + 8_000,
    };
    let pause = |length_ms| LimiterFault::PausedSteward {
        from_ms,
        until_ms: from_ms + length_ms,
    };
    vec![
        ("reachable", Vec::new()),
        ("unreachable from one of nine for 8 s", vec![partition(0)]),
        (
            "unreachable from eight of nine for 8 s",
            (0..8).map(partition).collect(),
        ),
        ("paused for 3 s", vec![pause(3_000)]),
        ("paused for 8 s", vec![pause(8_000)]),
    ]
}

fn print_outage(name: &str, faults: Vec<LimiterFault>) {
    let run = LimitsRun {
        duration_ms: (RUN_S * MS_PER_S) as u64,
        faults,
        ..LimitsRun::new(LIMITERS, SURGE_MULTIPLE, SEED)
    };
    let result = run.run();
    println!(
        "{name}: admitted {}, exact {}, over {:.2}%, worst excess {:.1}, in flight above the limit {}, admitted in the pause {}",
        result.admitted,
        result.exact,
        result.over_admission_percent(),
        result.worst_excess.max(0.0),
        result.worst_in_flight_excess,
        result.admitted_in_pause,
    );
}
