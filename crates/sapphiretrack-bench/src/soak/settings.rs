//! How long and how hard the soak is.

use std::path::PathBuf;

use pico_args::Arguments;

/// The settings of a soak.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakSettings {
    /// How long load and faults come.
    pub minutes: f64,
    /// What the load and the faults come from.
    pub seed: u64,
    /// Routers.
    pub routers: usize,
    /// Arrivals a second of each deployment.
    pub requests_per_s: f64,
    /// The most arrivals of each deployment; 0 for no bound.
    pub max_requests: u64,
    /// The most faults; 0 for no bound.
    pub max_faults: usize,
    /// The time between two faults, on average.
    pub fault_mean_ms: f64,
    /// Where the report goes as a JSON line.
    pub json: Option<PathBuf>,
    /// Where failing seeds are kept.
    pub seeds: Option<PathBuf>,
    /// Whether progress is written while the soak runs.
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

/// Reads the settings of a soak from the command line.
pub fn parse_soak_settings(mut arguments: Arguments) -> Result<SoakSettings, String> {
    let defaults = SoakSettings::default();
    let read = &mut arguments;
    let settings = SoakSettings {
        minutes: value(read, "--minutes")?.unwrap_or(defaults.minutes),
        seed: value(read, "--seed")?.unwrap_or(defaults.seed),
        routers: value(read, "--routers")?.unwrap_or(defaults.routers),
        requests_per_s: value(read, "--rate")?.unwrap_or(defaults.requests_per_s),
        max_requests: value(read, "--requests")?.unwrap_or(defaults.max_requests),
        max_faults: value(read, "--faults")?.unwrap_or(defaults.max_faults),
        fault_mean_ms: value(read, "--fault-mean-ms")?.unwrap_or(defaults.fault_mean_ms),
        json: value(read, "--json")?,
        seeds: value(read, "--seeds")?,
        progress: !read.contains("--quiet"),
    };
    if let Some(argument) = arguments.finish().first() {
        return Err(format!("unknown argument {argument:?}; hint: see --help"));
    }
    let positive = |value: f64| value.is_finite() && value > 0.0;
    let checks = [
        ("--minutes", positive(settings.minutes), "is not above 0"),
        ("--routers", settings.routers >= 3, "is below 3"),
        (
            "--rate",
            positive(settings.requests_per_s),
            "is not above 0",
        ),
        (
            "--fault-mean-ms",
            positive(settings.fault_mean_ms),
            "is not above 0",
        ),
    ];
    match checks.iter().find(|(_, holds, _)| !holds) {
        Some((flag, _, problem)) => Err(format!("{flag} {problem}; hint: see --help")),
        None => Ok(settings),
    }
}

fn value<Value>(arguments: &mut Arguments, flag: &'static str) -> Result<Option<Value>, String>
where
    Value: std::str::FromStr,
    Value::Err: std::fmt::Display,
{
    arguments
        .opt_value_from_str(flag)
        .map_err(|error| format!("{error}; hint: see --help"))
}
