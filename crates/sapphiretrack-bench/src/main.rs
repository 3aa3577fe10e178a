//! Measurements of the router fleet: each subcommand is one of them.

use std::process::ExitCode;

use pico_args::Arguments;

const HELP: &str = "\
sapphiretrack-bench: measurements and the demo

  sapphiretrack-bench demo      the whole of it on embedded stand-ins, within a minute
  sapphiretrack-bench limits    over-admission of 1, 9 and 360 limiters against exact counting
";

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let result = match arguments.subcommand() {
        Ok(Some(name)) if name == "demo" => sapphiretrack_bench::demo::run(arguments),
        Ok(Some(name)) if name == "limits" => sapphiretrack_bench::limits::run(arguments),
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
