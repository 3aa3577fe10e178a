//! Simulates the placement decisions of a router fleet with a simple engine model.
//!
//! Each router handles its own share of the requests and has its own, delayed view of the pool.
//! Messages between routers are delayed; no sockets are opened.

mod arguments;
mod decision;
mod engine;
mod measures;
mod messages;
mod plot;
mod policies;
mod replace;
mod router;
mod scenario;
mod simulation;
mod trace;

use pico_args::Arguments;

pub use decision::{DECISION_SERVERS, decide, decision_pool};
pub use measures::{Interval, Measures};
pub use policies::Policy;
pub use replace::ReplacementMode;
pub use scenario::{Scenario, ScenarioName};

use arguments::Options;

/// Runs all policies, or the given one, on one scenario and prints their results.
///
/// Returns an error if the arguments are invalid or the plot cannot be written.
pub fn run(mut arguments: Arguments) -> Result<(), String> {
    if arguments.contains("--decision") {
        return decision::run();
    }
    let replaces = arguments.contains("--replace");
    let options = Options::parse(arguments)?;
    if replaces {
        replace::run(&options.scenario, options.seeds());
        return Ok(());
    }
    if let Some(path) = &options.plot {
        return plot::draw(&options, path);
    }
    if !options.json {
        println!("{}", Measures::ROW_HEADER);
    }
    for seed in options.seeds() {
        for policy in options.policies() {
            let measures = measure(&options.scenario, policy, seed);
            match options.json {
                true => println!("{}", measures.to_json()),
                false => println!("{}", measures.to_row()),
            }
        }
    }
    Ok(())
}

/// Runs one policy on one scenario; the same seed gives the same results.
pub fn measure(scenario: &Scenario, policy: Policy, seed: u64) -> Measures {
    let trace = trace::Trace::new(scenario, seed);
    simulation::Simulation::new(scenario, policy, seed, &trace).run()
}
