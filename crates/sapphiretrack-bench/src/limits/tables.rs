//! The tables of the measurement of limits.

use pico_args::Arguments;

use super::{LimiterFault, LimitsRun, MS_PER_S};
use crate::run::check_all_read;

/// How long each run of the table is.
const RUN_S: f64 = 60.0;
/// The seed of the tables' runs.
const SEED: u64 = 7;
/// How many limiters the tables of many customers and of silence have.
const ROUTERS: usize = 9;
/// Requests that come while some do not reach the steward: enough for one limiter to use it all.
const SURGE: f64 = 20.0;

/// Runs the measurement and prints its tables.
pub fn run(arguments: Arguments) -> Result<(), String> {
    check_all_read(arguments)?;
    println!(
        "limiters  offered  admitted     exact    over %  worst excess  asks/admitted  ask bytes/s a limiter"
    );
    for limiters in [1, 9, 360] {
        for offered in [0.8, 1.0, 5.0] {
            print_run(limiters, offered);
        }
    }
    println!("\ncustomers  limiters  offered  asks/s a limiter  ask bytes/s a limiter");
    for (customers, offered) in [(1, 1.0), (5, 0.8), (5, 1.0), (5, 5.0), (20, 0.1)] {
        print_customers(customers, offered);
    }
    println!("\na surge of twenty times the rate over nine limiters; the steward:");
    for (name, faults) in silences() {
        print_silence(name, faults);
    }
    Ok(())
}

fn print_run(limiters: usize, offered: f64) {
    let run = LimitsRun {
        duration_ms: (RUN_S * MS_PER_S) as u64,
        ..LimitsRun::new(limiters, offered, SEED)
    };
    let result = run.run();
    println!(
        "{limiters:>8}  {offered:>7.1}  {:>8}  {:>8}  {:>8.2}  {:>12.1}  {:>13.2}  {:>20.0}",
        result.admitted,
        result.exact,
        result.over_percent(),
        result.worst_excess.max(0.0),
        result.asks as f64 / result.admitted.max(1) as f64,
        result.ask_bytes as f64 / limiters as f64 / RUN_S,
    );
}

/// Many customers over nine limiters, each with the same contract and its own arrivals.
fn print_customers(customers: u64, offered: f64) {
    let runs = (0..customers).map(|customer| {
        let run = LimitsRun {
            duration_ms: (RUN_S * MS_PER_S) as u64,
            ..LimitsRun::new(ROUTERS, offered, SEED + customer)
        };
        run.run()
    });
    let (asks, ask_bytes) = runs.fold((0, 0), |(asks, bytes), result| {
        (asks + result.asks, bytes + result.ask_bytes)
    });
    let a_limiter = |count: u64| count as f64 / ROUTERS as f64 / RUN_S;
    println!(
        "{customers:>9}  {ROUTERS:>8}  {offered:>7.1}  {:>16.1}  {:>21.0}",
        a_limiter(asks),
        a_limiter(ask_bytes),
    );
}

/// What keeps limiters from the steward's answers.
fn silences() -> Vec<(&'static str, Vec<LimiterFault>)> {
    let from_ms = 20_000;
    let cut = |limiter| LimiterFault::Cut {
        limiter,
        from_ms,
        until_ms: from_ms + 8_000,
    };
    let pause = |for_ms| LimiterFault::PausedSteward {
        from_ms,
        until_ms: from_ms + for_ms,
    };
    vec![
        ("answers all", Vec::new()),
        ("one of nine cut off for 8 s", vec![cut(0)]),
        ("eight of nine cut off for 8 s", (0..8).map(cut).collect()),
        ("stands still for 3 s", vec![pause(3_000)]),
        ("stands still for 8 s", vec![pause(8_000)]),
    ]
}

fn print_silence(name: &str, faults: Vec<LimiterFault>) {
    let run = LimitsRun {
        duration_ms: (RUN_S * MS_PER_S) as u64,
        faults,
        ..LimitsRun::new(ROUTERS, SURGE, SEED)
    };
    let result = run.run();
    println!(
        "{name}: admitted {}, exact {}, over {:.2}%, worst excess {:.1}, in flight {}, in the pause {}",
        result.admitted,
        result.exact,
        result.over_percent(),
        result.worst_excess.max(0.0),
        result.worst_in_flight_excess,
        result.admitted_in_pause,
    );
}
