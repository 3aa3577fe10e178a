//! Measurements of the router fleet: each subcommand is one of them.

use std::process::ExitCode;

use pico_args::Arguments;
use sapphiretrackd::{LogFormat, start_logging};

const HELP: &str = "\
sapphiretrack-bench: measurements and the demo

  sapphiretrack-bench demo [--seed N]     the whole of it on embedded stand-ins, within a minute
  sapphiretrack-bench limits              over-admission of 1, 9 and 360 limiters against exact counting
  sapphiretrack-bench overload            goodput and late share by class at 1, 2 and 4 times the capacity
  sapphiretrack-bench brown-out           retries while engines cut every stream
  sapphiretrack-bench claims              added time and platform writes of a non-idempotent request
  sapphiretrack-bench streams             memory of a router for each open stream
  sapphiretrack-bench cell                control bytes, processor time and memory of one cell
  sapphiretrack-bench overhead [--json]   what a router adds to a chat
  sapphiretrack-bench load                open-loop load against running routers
  sapphiretrack-bench soak                a fleet of processes under load and random faults
  sapphiretrack-bench slopes              what a router spends, by the size of each thing it holds
  sapphiretrack-bench report              gathers JSON lines of all measurements into one file
  sapphiretrack-bench policy              placement policies on one scenario:
                                          --scenario NAME --seed N [--seeds N] [--policy NAME] [--json]
                                          [--routers N] [--servers N] [--workspaces N] [--chats N]
                                          [--rate-per-s X] [--minutes X] [--report-lag-ms N]
                                          [--joins-per-min X] [--fails-per-min X] [--load-multiple X]
                                          [--caller-value-chance X] [--no-sticky] [--subset-servers N]
                                          [--heartbeat-ms N] [--plot FILE.svg]; or --decision:
                                          the time of one decision by the number of servers;
                                          or --replace: the reuse lost by replacing a router

Exit codes: 0 done and every promise held, 1 a promise was broken, 2 wrong use or cannot run
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
    if let Err(error) = start_logging(LogFormat::Text, log::LevelFilter::Error) {
        eprintln!("sapphiretrack-bench: the log cannot start: {error}");
    }
    let held = match name.as_str() {
        "demo" => sapphiretrack_bench::demo::run(arguments).map(|()| true),
        "limits" => sapphiretrack_bench::limits::run(arguments).map(|()| true),
        "overload" => sapphiretrack_bench::overload::run(arguments).map(|()| true),
        "brown-out" => sapphiretrack_bench::overload::run_brown_out(arguments).map(|()| true),
        "claims" => sapphiretrack_bench::claims::run(arguments).map(|()| true),
        "streams" => sapphiretrack_bench::streams::run(arguments).map(|()| true),
        "cell" => sapphiretrack_bench::cell::run(arguments).map(|()| true),
        "overhead" => sapphiretrack_bench::overhead::run(arguments).map(|()| true),
        "load" => sapphiretrack_bench::load::run(arguments),
        "soak" => sapphiretrack_bench::soak::run(arguments),
        "slopes" => sapphiretrack_bench::slopes::run(arguments).map(|()| true),
        "report" => sapphiretrack_bench::report::run(arguments).map(|()| true),
        "policy" => sapphiretrack_bench::policy::run(arguments).map(|()| true),
        _ => Err(format!("there is no command {name:?}; hint: see --help")),
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
