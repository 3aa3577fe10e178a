//! Measurements of the router fleet: each subcommand is one of them.

use std::process::ExitCode;

use pico_args::Arguments;

const HELP: &str = "\
sapphiretrack-bench: measurements and the demo

  sapphiretrack-bench demo      the whole of it on embedded stand-ins, within a minute
  sapphiretrack-bench load      open-loop load against running routers
  sapphiretrack-bench report    gathers JSON lines of all measurements into one file
  sapphiretrack-bench slopes    what a router spends, by the size of each thing it holds
  sapphiretrack-bench soak      a fleet of processes under load and random faults
";
/// The exit code of a run that found a broken promise.
const BROKEN_PROMISE: u8 = 1;

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    let name = arguments.subcommand().ok().flatten().unwrap_or_default();
    if name.is_empty() && arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let held = match name.as_str() {
        "demo" => sapphiretrack_bench::demo::run(arguments).map(|()| true),
        "load" => sapphiretrack_bench::load::run(arguments),
        "report" => sapphiretrack_bench::report::run(arguments).map(|()| true),
        "slopes" => sapphiretrack_bench::slopes::run(arguments).map(|()| true),
        "soak" => sapphiretrack_bench::soak::run(arguments),
        _ => Err(String::from("a command is missing; hint: see --help")),
    };
    match held {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN_PROMISE),
        Err(error) => {
            eprintln!("sapphiretrack-bench: {error}");
            ExitCode::from(2)
        }
    }
}
