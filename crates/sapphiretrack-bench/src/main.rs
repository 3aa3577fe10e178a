//! The program `sapphiretrack-bench`: measurements of the router fleet and the demo, by subcommand.

use std::process::ExitCode;

use pico_args::Arguments;
use sapphiretrackd::{LogFormat, start_logging};

const HELP: &str = "\
sapphiretrack-bench: measurements and the demo

  sapphiretrack-bench demo [--seed N]     a site with embedded fakes, for less than a minute
  sapphiretrack-bench limits              over-admission of 1, 9 and 360 limiters compared with an exact counter
  sapphiretrack-bench overload            goodput and share of late answers by class at 1, 2 and 4 times the capacity
  sapphiretrack-bench brown-out           retries while engines cut every stream
  sapphiretrack-bench claims              added latency and platform writes of a non-idempotent request
  sapphiretrack-bench streams             memory of a router per open stream
  sapphiretrack-bench cell                control traffic, CPU time and memory of a cell; detection of failures
  sapphiretrack-bench overhead [--json]   latency that a router adds to a chat
  sapphiretrack-bench load                open-loop load against running routers
  sapphiretrack-bench soak                a fleet of processes under load and random faults
  sapphiretrack-bench slopes              resource usage of a router per peer, server, contract, request, ...
  sapphiretrack-bench report              combines JSON lines of measurements into one report
  sapphiretrack-bench policy              placement policies on one scenario:
                                          --scenario NAME --seed N [--seeds N] [--policy NAME] [--json]
                                          [--routers N] [--servers N] [--workspaces N] [--chats N]
                                          [--rate-per-s X] [--minutes X] [--report-lag-ms N]
                                          [--joins-per-min X] [--fails-per-min X] [--load-multiple X]
                                          [--caller-value-chance X] [--no-sticky] [--subset-servers N]
                                          [--heartbeat-ms N] [--plot FILE.svg]; or --decision:
                                          the duration of one decision by the number of servers;
                                          or --replace: the cache reuse lost by replacing a router

Exit codes: 0 success, 1 a guarantee was violated, 2 wrong usage or a failure to run
";
/// The exit code of a run in which a guarantee was violated.
const GUARANTEE_VIOLATED: u8 = 1;

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    let name = arguments.subcommand().ok().flatten().unwrap_or_default();
    if name.is_empty() && arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if let Err(error) = start_logging(LogFormat::Text, log::LevelFilter::Error) {
        eprintln!("sapphiretrack-bench: logging cannot be started: {error}");
    }
    let result = match name.as_str() {
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
        _ => Err(format!("unknown subcommand {name:?}; hint: see --help")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(GUARANTEE_VIOLATED),
        Err(error) => {
            eprintln!("sapphiretrack-bench: {error}");
            ExitCode::from(2)
        }
    }
}
