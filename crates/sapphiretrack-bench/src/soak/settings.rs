//! The settings of a soak and their command-line flags.

use std::path::PathBuf;

use pico_args::Arguments;

/// The settings of a soak.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakSettings {
    /// Duration of the load and the faults.
    pub minutes: f64,
    /// Seed of the load and the faults.
    pub seed: u64,
    /// Number of routers.
    pub routers: usize,
    /// Mean number of arrivals per second of each deployment.
    pub requests_per_s: f64,
    /// Maximum number of arrivals of each deployment; 0 for no limit.
    pub max_requests: u64,
    /// Maximum number of faults; 0 for no limit.
    pub max_faults: usize,
    /// Mean time between two faults.
    pub fault_mean_ms: f64,
    /// File to which the report is appended as a JSON line.
    pub json: Option<PathBuf>,
    /// File to which failing seeds are appended.
    pub seeds: Option<PathBuf>,
    /// False with `--quiet`. Without effect: the soak prints no progress.
    pub progress: bool,
}

impl Default for SoakSettings {
    fn default() -> Self {
        Self {
            minutes: 10.0,
            seed: 1,
            routers: 9,
            requests_per_s: 25.0,
            max_requests: 0,
            max_faults: 0,
            fault_mean_ms: 2_000.0,
            json: None,
            seeds: None,
            progress: true,
        }
    }
}

/// Parses the settings of a soak from the command line.
pub fn parse_soak_settings(mut arguments: Arguments) -> Result<SoakSettings, String> {
    let defaults = SoakSettings::default();
    let read = &mut arguments;
    let settings = SoakSettings {
        minutes: flag_value(read, "--minutes")?.unwrap_or(defaults.minutes),
        seed: flag_value(read, "--seed")?.unwrap_or(defaults.seed),
        routers: flag_value(read, "--routers")?.unwrap_or(defaults.routers),
        requests_per_s: flag_value(read, "--rate")?.unwrap_or(defaults.requests_per_s),
        max_requests: flag_value(read, "--requests")?.unwrap_or(defaults.max_requests),
        max_faults: flag_value(read, "--faults")?.unwrap_or(defaults.max_faults),
        fault_mean_ms: flag_value(read, "--fault-mean-ms")?.unwrap_or(defaults.fault_mean_ms),
        json: flag_value(read, "--json")?,
        seeds: flag_value(read, "--seeds")?,
        progress: !read.contains("--quiet"),
    };
    if let Some(argument) = arguments.finish().first() {
        return Err(format!("unknown argument {argument:?}; hint: see --help"));
    }
    let positive = |value: f64| value.is_finite() && value > 0.0;
    let checks = [
        ("--minutes", positive(settings.minutes), "must be above 0"),
        ("--routers", settings.routers >= 3, "must be at least 3"),
        (
            "--rate",
            positive(settings.requests_per_s),
            "must be above 0",
        ),
        (
            "--fault-mean-ms",
            positive(settings.fault_mean_ms),
            "must be above 0",
        ),
    ];
    match checks.iter().find(|(_, holds, _)| !holds) {
        Some((flag, _, problem)) => Err(format!("{flag} {problem}; hint: see --help")),
        None => Ok(settings),
    }
}

fn flag_value<Value>(arguments: &mut Arguments, flag: &'static str) -> Result<Option<Value>, String>
where
    Value: std::str::FromStr,
    Value::Err: std::fmt::Display,
{
    arguments
        .opt_value_from_str(flag)
        .map_err(|error| format!("{error}; hint: see --help"))
}
