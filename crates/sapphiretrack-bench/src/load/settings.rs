//! The settings of a load and their command-line flags.

use std::path::PathBuf;
use std::str::FromStr;

use pico_args::Arguments;
use serde::Serialize;
use snafu::{ResultExt, Snafu, ensure};

/// The settings of a load by the callers of one customer.
#[derive(Clone, Debug, Serialize)]
pub struct LoadSettings {
    /// Routers for address lookups: `http://IP:PORT`.
    pub entries: Vec<String>,
    /// A caller key of the customer's contract.
    #[serde(skip)]
    pub key: String,
    /// Availability zone that callers name in lookups.
    pub zone: Option<String>,
    /// The model that chats request.
    pub model: String,
    /// Name of the plain service.
    pub service: String,
    /// Path of non-idempotent requests at the service.
    pub order_path: String,
    /// Path of idempotent requests at the service.
    pub lookup_path: String,
    /// Mean number of arrivals per second.
    pub requests_per_s: f64,
    /// Duration of the arrivals.
    pub duration_s: f64,
    /// Maximum number of arrivals; 0 for no limit.
    pub max_requests: u64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of caller processes, each with its own cached router addresses.
    pub callers: usize,
    /// Number of workspaces of the customer.
    pub workspaces: usize,
    /// Zipf exponent of the workspaces' shares: share n is proportional to `n ^ -exponent`.
    pub zipf_exponent: f64,
    /// The classes and their shares.
    pub classes: Vec<ClassMix>,
    /// Share of chat arrivals that continue a paused chat, if one is due.
    pub returning_share: f64,
    /// Share of chat requests that return the warm value of an earlier answer, if there is one.
    pub warm_share: f64,
    /// Mean pause between two turns of a chat.
    pub pause_mean_ms: f64,
    /// Maximum number of turns of a chat.
    pub max_turns: u32,
    /// Share of arrivals that are requests to the plain service.
    pub service_share: f64,
    /// Share of non-idempotent orders among these.
    pub order_share: f64,
    /// Length of the text shared by a workspace's chats.
    pub preamble_bytes: usize,
    /// Length of the text that each turn adds.
    pub turn_bytes: usize,
    /// Number of tokens per answer.
    pub answer_tokens: u32,
    /// Maximum number of requests in flight. Others wait, and their wait counts as latency.
    pub max_in_flight: usize,
    /// Maximum number of attempts per request, including the first.
    pub max_attempts: u32,
    /// Time limit of an attempt.
    pub answer_limit_ms: u64,
    /// File to which the report is appended as a JSON line.
    #[serde(skip)]
    pub json: Option<PathBuf>,
    /// File to which the plot is written.
    #[serde(skip)]
    pub plot: Option<PathBuf>,
    /// Whether progress is printed while the load runs.
    #[serde(skip)]
    pub progress: bool,
}

impl Default for LoadSettings {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            key: String::new(),
            zone: None,
            model: String::from("assistant"),
            service: String::from("plant"),
            order_path: String::from("labels/print"),
            lookup_path: String::from("pallets"),
            requests_per_s: 20.0,
            duration_s: 30.0,
            max_requests: 0,
            seed: 1,
            callers: 16,
            workspaces: 10,
            zipf_exponent: 1.2,
            classes: vec![
                ClassMix::new("urgent", 0.1, 5_000),
                ClassMix::new("floor", 0.9, 20_000),
            ],
            returning_share: 0.6,
            warm_share: 0.8,
            pause_mean_ms: 2_000.0,
            max_turns: 8,
            service_share: 0.2,
            order_share: 0.5,
            preamble_bytes: 4_000,
            turn_bytes: 600,
            answer_tokens: 24,
            max_in_flight: 1_000,
            max_attempts: 6,
            answer_limit_ms: 60_000,
            json: None,
            plot: None,
            progress: true,
        }
    }
}

/// A class of requests and its share of the arrivals.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassMix {
    /// Name of the class in the contract.
    pub name: String,
    /// Its weight relative to the other classes.
    pub share: f64,
    /// Time from the scheduled arrival after which a complete answer counts as late.
    pub late_after_ms: u64,
}

impl ClassMix {
    /// Creates a class.
    pub fn new(name: &str, share: f64, late_after_ms: u64) -> Self {
        Self {
            name: name.to_owned(),
            share,
            late_after_ms,
        }
    }
}

impl FromStr for ClassMix {
    type Err = String;

    /// Parses `NAME=SHARE:LATE_AFTER_MS`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parsed = text.split_once('=').and_then(|(name, rest)| {
            let (share, late_after_ms) = rest.split_once(':')?;
            Some(Self::new(
                name,
                share.parse().ok()?,
                late_after_ms.parse().ok()?,
            ))
        });
        parsed.ok_or_else(|| format!("{text:?} does not have the form NAME=SHARE:LATE_AFTER_MS"))
    }
}

/// An error in the settings of a load.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// A flag has no value, or one that cannot be parsed.
    #[snafu(display("invalid command line: {source}; hint: see --help"))]
    CommandLine {
        /// The parser's error.
        source: pico_args::Error,
    },
    /// An argument is not known.
    #[snafu(display("unknown argument {argument:?}; hint: see --help"))]
    UnknownArgument {
        /// The argument.
        argument: String,
    },
    /// A value is out of range.
    #[snafu(display("{flag} {problem}; hint: see --help"))]
    Value {
        /// The flag.
        flag: &'static str,
        /// Why the value is invalid.
        problem: &'static str,
    },
}

/// Parses the settings of a load from the command line.
pub fn parse_load_settings(mut arguments: Arguments) -> Result<LoadSettings, SettingsError> {
    let entries = arguments.values_from_str("--entry");
    let classes = arguments.values_from_str("--class");
    let zone = arguments.opt_value_from_str("--zone");
    let json = arguments.opt_value_from_str("--json");
    let plot = arguments.opt_value_from_str("--plot");
    let mut settings = LoadSettings {
        entries: entries.context(CommandLineSnafu)?,
        zone: zone.context(CommandLineSnafu)?,
        json: json.context(CommandLineSnafu)?,
        plot: plot.context(CommandLineSnafu)?,
        progress: !arguments.contains("--quiet"),
        ..LoadSettings::default()
    };
    let classes: Vec<ClassMix> = classes.context(CommandLineSnafu)?;
    if !classes.is_empty() {
        settings.classes = classes;
    }
    let read = &mut arguments;
    set(read, "--key", &mut settings.key)?;
    set(read, "--model", &mut settings.model)?;
    set(read, "--service", &mut settings.service)?;
    set(read, "--order-path", &mut settings.order_path)?;
    set(read, "--lookup-path", &mut settings.lookup_path)?;
    set(read, "--rate", &mut settings.requests_per_s)?;
    set(read, "--duration-s", &mut settings.duration_s)?;
    set(read, "--requests", &mut settings.max_requests)?;
    set(read, "--seed", &mut settings.seed)?;
    set(read, "--callers", &mut settings.callers)?;
    set(read, "--workspaces", &mut settings.workspaces)?;
    set(read, "--zipf", &mut settings.zipf_exponent)?;
    set(read, "--returning-share", &mut settings.returning_share)?;
    set(read, "--warm-share", &mut settings.warm_share)?;
    set(read, "--pause-mean-ms", &mut settings.pause_mean_ms)?;
    set(read, "--max-turns", &mut settings.max_turns)?;
    set(read, "--service-share", &mut settings.service_share)?;
    set(read, "--order-share", &mut settings.order_share)?;
    set(read, "--preamble-bytes", &mut settings.preamble_bytes)?;
    set(read, "--turn-bytes", &mut settings.turn_bytes)?;
    set(read, "--answer-tokens", &mut settings.answer_tokens)?;
    set(read, "--max-in-flight", &mut settings.max_in_flight)?;
    set(read, "--max-attempts", &mut settings.max_attempts)?;
    set(read, "--answer-limit-ms", &mut settings.answer_limit_ms)?;
    if let Some(argument) = arguments.finish().first() {
        return UnknownArgumentSnafu {
            argument: argument.to_string_lossy(),
        }
        .fail();
    }
    check(&settings)?;
    Ok(settings)
}

fn set<Value>(
    arguments: &mut Arguments,
    flag: &'static str,
    field: &mut Value,
) -> Result<(), SettingsError>
where
    Value: FromStr,
    Value::Err: std::fmt::Display,
{
    let given = arguments
        .opt_value_from_str(flag)
        .context(CommandLineSnafu)?;
    if let Some(value) = given {
        *field = value;
    }
    Ok(())
}

fn check(settings: &LoadSettings) -> Result<(), SettingsError> {
    let share = |value: f64| (0.0..=1.0).contains(&value);
    let positive = |value: f64| value.is_finite() && value > 0.0;
    let weights: f64 = settings.classes.iter().map(|class| class.share).sum();
    let checks = [
        ("--entry", !settings.entries.is_empty(), "is missing"),
        (
            "--rate",
            positive(settings.requests_per_s),
            "must be above 0",
        ),
        (
            "--duration-s",
            positive(settings.duration_s),
            "must be above 0",
        ),
        ("--callers", settings.callers > 0, "must be above 0"),
        ("--workspaces", settings.workspaces > 0, "must be above 0"),
        (
            "--zipf",
            settings.zipf_exponent >= 0.0,
            "must not be negative",
        ),
        (
            "--class",
            positive(weights),
            "must have a total share above 0",
        ),
        (
            "--returning-share",
            share(settings.returning_share),
            "must be from 0 to 1",
        ),
        (
            "--warm-share",
            share(settings.warm_share),
            "must be from 0 to 1",
        ),
        (
            "--service-share",
            share(settings.service_share),
            "must be from 0 to 1",
        ),
        (
            "--order-share",
            share(settings.order_share),
            "must be from 0 to 1",
        ),
        (
            "--pause-mean-ms",
            positive(settings.pause_mean_ms),
            "must be above 0",
        ),
        ("--max-turns", settings.max_turns > 0, "must be above 0"),
        (
            "--answer-tokens",
            settings.answer_tokens > 0,
            "must be above 0",
        ),
        (
            "--max-in-flight",
            settings.max_in_flight > 0,
            "must be above 0",
        ),
        (
            "--max-attempts",
            settings.max_attempts > 0,
            "must be above 0",
        ),
        (
            "--answer-limit-ms",
            settings.answer_limit_ms > 0,
            "must be above 0",
        ),
    ];
    for (flag, holds, problem) in checks {
        ensure!(holds, ValueSnafu { flag, problem });
    }
    Ok(())
}
