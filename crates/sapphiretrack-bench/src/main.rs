//! Measurements of the router fleet: each subcommand is one of them.

use std::process::ExitCode;

use pico_args::Arguments;

const HELP: &str = "\
sapphiretrack-bench: measurements and the demo

  sapphiretrack-bench demo      the whole of it on embedded stand-ins, within a minute
  sapphiretrack-bench overload  goodput and late share by class at 1, 2 and 4 times the capacity
  sapphiretrack-bench brown-out retries while engines cut every stream
  sapphiretrack-bench claims    added time and platform writes of a non-idempotent request
  sapphiretrack-bench streams   memory of a router for each open stream (starts sapphiretrackd)
";

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let result = match arguments.subcommand() {
        Ok(Some(name)) if name == "demo" => sapphiretrack_bench::demo::run(arguments),
        Ok(Some(name)) if name == "overload" => sapphiretrack_bench::overload::run(arguments),
        Ok(Some(name)) if name == "brown-out" => {
            sapphiretrack_bench::overload::run_brown_out(arguments)
        }
        Ok(Some(name)) if name == "claims" => sapphiretrack_bench::claims::run(arguments),
        Ok(Some(name)) if name == "streams" => sapphiretrack_bench::streams::run(arguments),
        _ => Err(String::from("a command is missing; hint: see --help")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sapphiretrack-bench: {error}");
            ExitCode::from(2)
        }
    }
}
