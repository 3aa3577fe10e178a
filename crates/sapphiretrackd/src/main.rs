//! The command-line program of the router daemon.

use std::process::ExitCode;

use sapphiretrackd::{Daemon, help_text, parse_settings, start_logging};

/// Exit code of a router that could not start.
const EXIT_CANNOT_START: u8 = 1;
/// Exit code for invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Exit code of a planned stop that reached its limit with requests still in flight.
const EXIT_STOP_LIMIT: u8 = 3;

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{}", help_text());
        return ExitCode::SUCCESS;
    }
    if arguments.contains(["-V", "--version"]) {
        println!("sapphiretrackd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let settings = match parse_settings(arguments, |name| std::env::var(name).ok()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("sapphiretrackd: {error}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if settings.check_settings {
        println!("settings are good");
        return ExitCode::SUCCESS;
    }
    if let Err(error) = start_logging(settings.log_format, settings.log_level) {
        eprintln!("sapphiretrackd: cannot start logging: {error}");
        return ExitCode::from(EXIT_CANNOT_START);
    }
    match Daemon::start(settings).and_then(Daemon::run) {
        Ok(report) if report.cut_requests == 0 => ExitCode::SUCCESS,
        Ok(_) => ExitCode::from(EXIT_STOP_LIMIT),
        Err(error) => {
            eprintln!("sapphiretrackd: {error}");
            ExitCode::from(EXIT_CANNOT_START)
        }
    }
}
