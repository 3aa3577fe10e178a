//! What load is offered, and how it is set on the command line.

use std::path::PathBuf;
use std::str::FromStr;

use pico_args::Arguments;
use serde::Serialize;
use snafu::{ResultExt, Snafu, ensure};

/// The load of one customer's callers.
#[derive(Clone, Debug, Serialize)]
pub struct LoadSettings {
    /// Routers that are asked for addresses first: `http://IP:PORT`.
    pub entries: Vec<String>,
    /// A key of the customer's contract.
    #[serde(skip)]
    pub key: String,
    /// The availability zone that callers name in lookups.
    pub zone: Option<String>,
    /// The model that chats ask for.
    pub model: String,
    /// The plain service.
    pub service: String,
    /// The path of non-idempotent orders at the service.
    pub order_path: String,
    /// The path of lookups at the service.
    pub lookup_path: String,
    /// Arrivals a second, on average.
    pub requests_per_s: f64,
    /// How long arrivals come.
    pub duration_s: f64,
    /// The most arrivals; 0 for no bound.
    pub max_requests: u64,
    /// What all random choices come from.
    pub seed: u64,
    /// Processes of callers, each with addresses of its own.
    pub callers: usize,
    /// Workspaces of the customer.
    pub workspaces: usize,
    /// How steeply the workspaces' shares fall: share n is in proportion to `n ^ -exponent`.
    pub zipf_exponent: f64,
    /// The classes and their shares.
    pub classes: Vec<ClassMix>,
    /// The share of chat arrivals that are due chats coming back.
    pub returning_share: f64,
    /// The share of returning chats that send the warm value back.
    pub warm_share: f64,
    /// How long a chat pauses, on average.
    pub pause_mean_ms: f64,
    /// Turns after which a chat is over.
    pub max_turns: u32,
    /// The share of arrivals that call the plain service.
    pub service_share: f64,
    /// The share of those that are non-idempotent orders.
    pub order_share: f64,
    /// Bytes of the text that a workspace's chats share.
    pub preamble_bytes: usize,
    /// Bytes of text that each turn adds.
    pub turn_bytes: usize,
    /// Tokens of an answer.
    pub answer_tokens: u32,
    /// Requests in flight at a time; later ones wait, and their wait counts.
    pub max_in_flight: usize,
    /// Attempts of one request, the first included.
    pub max_attempts: u32,
    /// When an attempt without an end is given up.
    pub answer_limit_ms: u64,
    /// Where the report goes as a JSON line.
    #[serde(skip)]
    pub json: Option<PathBuf>,
    /// Where the plot goes.
    #[serde(skip)]
    pub plot: Option<PathBuf>,
    /// Whether progress is written while the load runs.
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

/// A class's share of the arrivals.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassMix {
    /// The class's name in the contract.
    pub name: String,
    /// Its weight against the other classes.
    pub share: f64,
    /// When a whole answer counts as late.
    pub late_after_ms: u64,
}

impl ClassMix {
    /// A class with its weight and when its answers are late.
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

    /// Reads `NAME=SHARE:LATE_AFTER_MS`.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parsed = text.split_once('=').and_then(|(name, rest)| {
            let (share, late_after_ms) = rest.split_once(':')?;
            Some(Self::new(
                name,
                share.parse().ok()?,
                late_after_ms.parse().ok()?,
            ))
        });
        parsed.ok_or_else(|| format!("{text:?} is no NAME=SHARE:LATE_AFTER_MS"))
    }
}

/// Why the settings of a load are refused.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The command line cannot be read.
    #[snafu(display("the command line cannot be read: {source}; hint: see --help"))]
    CommandLine {
        /// Why.
        source: pico_args::Error,
    },
    /// An argument that no flag takes.
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
        /// What is wrong with it.
        problem: &'static str,
    },
}

/// Reads the settings of a load from the command line.
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
            "is not above 0",
        ),
        (
            "--duration-s",
            positive(settings.duration_s),
            "is not above 0",
        ),
        ("--callers", settings.callers > 0, "is 0"),
        ("--workspaces", settings.workspaces > 0, "is 0"),
        ("--zipf", settings.zipf_exponent >= 0.0, "is below 0"),
        ("--class", positive(weights), "has no share above 0"),
        (
            "--returning-share",
            share(settings.returning_share),
            "is no share",
        ),
        ("--warm-share", share(settings.warm_share), "is no share"),
        (
            "--service-share",
            share(settings.service_share),
            "is no share",
        ),
        ("--order-share", share(settings.order_share), "is no share"),
        (
            "--pause-mean-ms",
            positive(settings.pause_mean_ms),
            "is not above 0",
        ),
        ("--max-turns", settings.max_turns > 0, "is 0"),
        ("--answer-tokens", settings.answer_tokens > 0, "is 0"),
        ("--max-in-flight", settings.max_in_flight > 0, "is 0"),
        ("--max-attempts", settings.max_attempts > 0, "is 0"),
        ("--answer-limit-ms", settings.answer_limit_ms > 0, "is 0"),
    ];
    for (flag, holds, problem) in checks {
        ensure!(holds, ValueSnafu { flag, problem });
    }
    Ok(())
}
