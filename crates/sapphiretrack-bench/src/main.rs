//! Measurements of the router fleet: each subcommand is one of them.

use std::process::ExitCode;

use pico_args::Arguments;

const HELP: &str = "\
sapphiretrack-bench: measurements and the demo

  sapphiretrack-bench demo      the whole of it on embedded stand-ins, within a minute
  sapphiretrack-bench policy    placement policies on one scenario:
                                --scenario NAME --seed N [--seeds N] [--policy NAME] [--json]
                                [--routers N] [--servers N] [--workspaces N] [--chats N]
                                [--rate-per-s X] [--minutes X] [--report-lag-ms N]
                                [--joins-per-min X] [--fails-per-min X] [--load-multiple X]
                                [--caller-value-chance X] [--no-sticky] [--subset-servers N]
                                [--heartbeat-ms N] [--plot FILE.svg]
";

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    let result = match arguments.subcommand() {
        Ok(Some(name)) if name == "demo" => sapphiretrack_bench::demo::run(arguments),
        Ok(Some(name)) if name == "policy" => sapphiretrack_bench::policy::run(arguments),
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
