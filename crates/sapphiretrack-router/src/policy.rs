//! The table of settings that rule decisions on requests, by name: flags, help and checks read it.

use snafu::{OptionExt, Snafu, ensure};

use crate::settings::RouterSettings;

/// One setting of the request path.
#[derive(Clone, Copy, Debug)]
pub struct PolicyKey {
    /// Its name.
    pub name: &'static str,
    /// The unit of its value.
    pub unit: &'static str,
    /// The least value.
    pub min: f64,
    /// The greatest value.
    pub max: f64,
    /// What it rules, and which value switches it off.
    pub meaning: &'static str,
    get: fn(&RouterSettings) -> f64,
    set: fn(&mut RouterSettings, f64),
}

/// Why a setting is not taken.
#[derive(Debug, PartialEq, Snafu)]
pub enum PolicyError {
    /// It is not of the form KEY=VALUE.
    #[snafu(display("{text:?} is no setting (hint: KEY=VALUE, as in home-part=0.5)"))]
    Form {
        /// What was given.
        text: String,
    },
    /// No setting has this name.
    #[snafu(display("unknown setting {name:?} (hint: --policy help lists them)"))]
    Unknown {
        /// The name.
        name: String,
    },
    /// The setting has another name now.
    #[snafu(display("setting {name:?} is called {newer:?} now (hint: --policy {newer}=VALUE)"))]
    Renamed {
        /// The name that was given.
        name: &'static str,
        /// Its name now.
        newer: &'static str,
    },
    /// The value is no number.
    #[snafu(display("{name}: {value:?} is no number"))]
    Number {
        /// The setting.
        name: &'static str,
        /// What was given.
        value: String,
    },
    /// The value is out of range.
    #[snafu(display("{name}: {value} is out of range (hint: {min} to {max} {unit})"))]
    Range {
        /// The setting.
        name: &'static str,
        /// What was given.
        value: f64,
        /// The least value.
        min: f64,
        /// The greatest value.
        max: f64,
        /// The unit.
        unit: &'static str,
    },
}

impl PolicyKey {
    /// Its value in these settings.
    pub fn value(&self, settings: &RouterSettings) -> f64 {
        (self.get)(settings)
    }
}

/// Names that settings had before.
const RENAMED: &[(&str, &str)] = &[
    ("beat", "heartbeat"),
    ("keep-parts", "keep-prefixes"),
    ("least-beat", "least-heartbeat"),
];

/// Sets what a text of the form KEY=VALUE says.
pub fn set_policy(settings: &mut RouterSettings, text: &str) -> Result<(), PolicyError> {
    let (name, value) = text.split_once('=').context(FormSnafu { text })?;
    let name = name.trim();
    let renamed = RENAMED.iter().find(|(older, _)| *older == name);
    if let Some((name, newer)) = renamed {
        return RenamedSnafu {
            name: *name,
            newer: *newer,
        }
        .fail();
    }
    let mut keys = POLICY.iter();
    let key = keys.find(|key| key.name == name);
    let key = key.context(UnknownSnafu { name })?;
    let parsed = value.trim().parse().ok();
    let number: f64 = parsed.context(NumberSnafu {
        name: key.name,
        value,
    })?;
    ensure!(
        (key.min..=key.max).contains(&number),
        RangeSnafu {
            name: key.name,
            value: number,
            min: key.min,
            max: key.max,
            unit: key.unit,
        }
    );
    (key.set)(settings, number);
    Ok(())
}

/// The table as text, one setting a line.
pub fn policy_help() -> String {
    let defaults = RouterSettings::default();
    let line = |key: &PolicyKey| {
        let PolicyKey {
            name,
            unit,
            min,
            max,
            meaning,
            ..
        } = key;
        let default = key.value(&defaults);
        format!("| `{name}` | {unit} | {default} | {min} to {max} | {meaning} |\n")
    };
    let head = "| setting | unit | default | range | meaning |\n|---|---|---|---|---|\n";
    std::iter::once(head.to_owned())
        .chain(POLICY.iter().map(line))
        .collect()
}

macro_rules! policy {
    ($($name:literal, $unit:literal, $min:literal..=$max:literal, $($field:ident).+: $kind:ty, $meaning:literal;)*) => {
        /// All settings of the request path.
        pub const POLICY: &[PolicyKey] = &[$(PolicyKey {
            name: $name,
            unit: $unit,
            min: $min,
            max: $max,
            meaning: $meaning,
            get: |settings| settings.$($field).+ as f64,
            set: |settings, value| settings.$($field).+ = value as $kind,
        }),*];
    };
}

policy! {
    "prefill-rate", "tokens/ms", 1.0..=10_000.0, costs.prefill_tokens_per_ms: f64,
        "prompt tokens that an engine reads in a millisecond";
    "engine-request", "ms", 0.0..=1_000.0, costs.engine_request_ms: f64,
        "what a running request costs the others on an engine; 0: running requests do not count";
    "plain-request", "ms", 0.0..=1_000.0, costs.plain_request_ms: f64,
        "what a running request costs the others at a plain service; 0: they do not count";
    "other-zone", "ms", 0.0..=1_000.0, costs.other_zone_ms: f64,
        "cost of another availability zone; 0: no preference";
    "failure", "ms", 0.0..=60_000.0, costs.failure_ms: f64,
        "cost of a server whose attempts all fail; 0: failures do not count";
    "suspect", "ms", 0.0..=60_000.0, costs.suspect_ms: f64,
        "cost of a server that is silent or out of reach; 0: no suspicion";
    "home-part", "1", 0.0..=2.0, costs.home_part: f64,
        "part of the time to read shared prompt prefixes that draws a request to their home; 0: no homes";
    "home-load", "1", 0.1..=1_000_000.0, costs.home_load: f64,
        "requests with one prefix that a home holds at once, in means of its service; 1000000: one home a prefix";
    "home-requests", "requests", 0.1..=1_000_000.0, costs.home_requests: f64,
        "requests with one prefix that a home holds at once in any case";
    "fetch-from", "tokens", 1.0..=1_000_000_000.0, costs.min_fetch_tokens: u32,
        "prompt tokens from which on a prefix is fetched from its holder; 1000000000: never";
    "load-bound", "1", 1.0..=1_000.0, costs.bound_factor: f64,
        "load of a server above which others are tried first, in means of its service; 1000: no bound";
    "load-bound-fixed", "requests", 0.0..=1_000.0, costs.bound_requests: f64,
        "requests added to the load bound";
    "silent", "ms", 1.0..=600_000.0, health.mute_ms: u64,
        "silence of a server with requests after which it is suspected; 600000: never";
    "silent-objectives", "objectives", 0.1..=1_000.0, attempts.silent_objectives: f64,
        "time after which an idempotent request is taken from a silent server; 1000: never";
    "offers", "servers", 1.0..=16.0, attempts.max_offers: u32,
        "servers that one request is offered to; 1: no second attempt";
    "max-crashes", "servers", 1.0..=1_000.0, attempts.max_crashes: usize,
        "servers that a request may crash before it is refused; 1000: it never is";
    "full-service", "ms", 0.0..=60_000.0, retry.full_ms: u64,
        "time after a refusal for want of room in which failed attempts are not repeated; 0: they are";
    "plain-queue", "slots", 1.0..=100.0, attempts.plain_queue_factor: u32,
        "requests that a plain service's server may hold, in slots";
    "engine-queue", "slots", 0.1..=100.0, attempts.engine_queue_factor: f64,
        "requests that an engine may hold, in slots";
    "heartbeat", "ms", 5.0..=10_000.0, times.heartbeat_ms: u64,
        "time between two heartbeats to the other routers";
    "least-heartbeat", "ms", 5.0..=10_000.0, times.min_heartbeat_ms: u64,
        "time between two heartbeats in a small fleet; 10000: as in any other";
    "keep-prefixes", "ms", 0.0..=600_000.0, warm.keep_ms: u64,
        "time that a server is believed to hold a prefix after its last use; 0: nothing is believed held";
    "memory-part", "1", 0.01..=1_000.0, warm.memory_part: f64,
        "part of an engine's memory that what was used last is believed to fill; 1000: memory has no end";
    "output-part", "1", 0.0..=1.0, warm.output_part: f64,
        "part of the longest output that an answer is believed to take up in an engine's memory";
}
