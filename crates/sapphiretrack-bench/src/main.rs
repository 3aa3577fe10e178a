//! Measurements of the router fleet: each subcommand is one of them.

use std::process::ExitCode;

use pico_args::Arguments;
use sapphiretrackd::{LogFormat, start_logging};

const HELP: &str = "\
sapphiretrack-bench: measurements and the demo

  sapphiretrack-bench demo [--seed N]     the whole of it on embedded stand-ins, within a minute
  sapphiretrack-bench overhead [--json]   what a router adds to a chat
";

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if let Err(error) = start_logging(LogFormat::Text, log::LevelFilter::Warn) {
        eprintln!("sapphiretrack-bench: the log cannot start: {error}");
    }
    let name = arguments.subcommand().ok().flatten().unwrap_or_default();
    let result = match name.as_str() {
        "demo" => sapphiretrack_bench::demo::run(arguments),
        "overhead" => sapphiretrack_bench::overhead::run(arguments),
        other => Err(format!("there is no command {other:?}; hint: see --help")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sapphiretrack-bench: {error}");
            ExitCode::from(2)
        }
    }
}
