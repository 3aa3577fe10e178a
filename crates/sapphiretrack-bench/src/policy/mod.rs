//! Policy runs: the placement decisions of a router fleet against a small engine model.
//!
//! A measurement of decisions: each router sees its own part of the requests and its own late
//! view, messages take time, and no sockets are opened.

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
mod trace;
mod world;

use pico_args::Arguments;

pub use decision::{DECISION_SERVERS, decide, decision_pool};
pub use measures::{Measures, Moment};
pub use policies::Policy;
pub use replace::Replaced;
pub use scenario::{Scenario, ScenarioName};

use arguments::Options;

/// Runs all policies on one scenario; an error says what was wrong with the arguments.
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
        println!("{}", Measures::TABLE_HEAD);
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

/// One policy on one scenario and seed; the same seed gives the same figures.
pub fn measure(scenario: &Scenario, policy: Policy, seed: u64) -> Measures {
    let trace = trace::Trace::new(scenario, seed);
    world::World::new(scenario, policy, seed, &trace).run()
}
