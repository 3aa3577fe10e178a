//! The table of policy settings, which control how requests are handled. The `--policy` flag, its
//! help text and its range checks are generated from it.

use snafu::{OptionExt, Snafu, ensure};

use crate::settings::RouterSettings;

/// A policy setting.
#[derive(Clone, Copy, Debug)]
pub struct PolicyKey {
    /// The name that `--policy` takes.
    pub name: &'static str,
    /// The unit of the value.
    pub unit: &'static str,
    /// The least accepted value.
    pub min: f64,
    /// The greatest accepted value.
    pub max: f64,
    /// What the setting controls, and which value disables it.
    pub description: &'static str,
    get: fn(&RouterSettings) -> f64,
    set: fn(&mut RouterSettings, f64),
}

/// Why a setting was rejected.
#[derive(Debug, PartialEq, Snafu)]
pub enum PolicyError {
    /// The text is not of the form KEY=VALUE.
    #[snafu(display("{text:?} is not a setting (hint: KEY=VALUE, as in home-part=0.5)"))]
    Syntax {
        /// The given text.
        text: String,
    },
    /// No setting has this name.
    #[snafu(display("unknown setting {name:?} (hint: --policy help lists them)"))]
    Unknown {
        /// The given name.
        name: String,
    },
    /// The setting was renamed.
    #[snafu(display("setting {name:?} was renamed to {newer:?} (hint: --policy {newer}=VALUE)"))]
    Renamed {
        /// The given, former name.
        name: &'static str,
        /// The current name.
        newer: &'static str,
    },
    /// The value is not a number.
    #[snafu(display("{name}: {value:?} is not a number"))]
    Number {
        /// The name of the setting.
        name: &'static str,
        /// The given text.
        value: String,
    },
    /// The value is out of range.
    #[snafu(display("{name}: {value} is out of range (hint: {min} to {max} {unit})"))]
    Range {
        /// The name of the setting.
        name: &'static str,
        /// The given value.
        value: f64,
        /// The least accepted value.
        min: f64,
        /// The greatest accepted value.
        max: f64,
        /// The unit of the value.
        unit: &'static str,
    },
}

impl PolicyKey {
    /// The value of the setting in `settings`.
    pub fn value(&self, settings: &RouterSettings) -> f64 {
        (self.get)(settings)
    }
}

/// Former and current names of renamed settings.
const RENAMED: &[(&str, &str)] = &[
    ("beat", "heartbeat"),
    ("keep-parts", "keep-prefixes"),
    ("least-beat", "least-heartbeat"),
];

/// Applies a setting of the form KEY=VALUE.
pub fn set_policy(settings: &mut RouterSettings, text: &str) -> Result<(), PolicyError> {
    let (name, value) = text.split_once('=').context(SyntaxSnafu { text })?;
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

/// Formats the table as Markdown, one setting per line.
pub fn policy_help() -> String {
    let defaults = RouterSettings::default();
    let line = |key: &PolicyKey| {
        let PolicyKey {
            name,
            unit,
            min,
            max,
            description,
            ..
        } = key;
        let default = key.value(&defaults);
        format!("| `{name}` | {unit} | {default} | {min} to {max} | {description} |\n")
    };
    let head = "| setting | unit | default | range | meaning |\n|---|---|---|---|---|\n";
    std::iter::once(head.to_owned())
        .chain(POLICY.iter().map(line))
        .collect()
}

macro_rules! policy {
    ($($name:literal, $unit:literal, $min:literal..=$max:literal, $($field:ident).+: $kind:ty, $description:literal;)*) => {
        /// All policy settings.
        pub const POLICY: &[PolicyKey] = &[$(PolicyKey {
            name: $name,
            unit: $unit,
            min: $min,
            max: $max,
            description: $description,
            get: |settings| settings.$($field).+ as f64,
            set: |settings, value| settings.$($field).+ = value as $kind,
        }),*];
    };
}

policy! {
    "prefill-rate", "tokens/ms", 1.0..=10_000.0, costs.prefill_tokens_per_ms: f64,
        "prompt tokens that an engine processes per millisecond";
    "engine-request", "ms", 0.0..=1_000.0, costs.engine_request_ms: f64,
        "cost of a running request to the others on an engine; 0: running requests are ignored";
    "plain-request", "ms", 0.0..=1_000.0, costs.plain_request_ms: f64,
        "cost of a running request to the others at a plain service; 0: running requests are ignored";
    "other-zone", "ms", 0.0..=1_000.0, costs.other_zone_ms: f64,
        "cost of another availability zone; 0: no preference";
    "failure", "ms", 0.0..=60_000.0, costs.failure_ms: f64,
        "cost of a server whose attempts all fail; 0: failures are ignored";
    "suspect", "ms", 0.0..=60_000.0, costs.suspect_ms: f64,
        "cost of a server that is unresponsive or unreachable; 0: no penalty";
    "cold", "ms", 0.0..=60_000.0, costs.cold_ms: f64,
        "cost of a cold server, in addition to the limit on requests to it; 0: no penalty, 60000: used only if no other server has capacity";
    "home-part", "1", 0.0..=2.0, costs.home_part: f64,
        "fraction of the time to process shared prompt prefixes that is deducted for their home server; 0: no homes";
    "home-load", "1", 0.1..=1_000_000.0, costs.home_load: f64,
        "requests with one prefix that a home may hold at once, as a multiple of its service's mean load; 1000000: one home per prefix";
    "home-requests", "requests", 0.1..=1_000_000.0, costs.home_requests: f64,
        "requests with one prefix that a home may always hold at once";
    "fetch-from", "tokens", 1.0..=1_000_000_000.0, costs.min_fetch_tokens: u32,
        "least prompt tokens for which a prefix is fetched from a server that has it cached; 1000000000: never";
    "load-bound", "1", 1.0..=1_000.0, costs.bound_factor: f64,
        "load of a server above which others are tried first, as a multiple of its service's mean load; 1000: no bound";
    "load-bound-fixed", "requests", 0.0..=1_000.0, costs.bound_requests: f64,
        "requests added to the load bound";
    "silent", "ms", 1.0..=600_000.0, health.mute_ms: u64,
        "time without progress after which a server with requests counts as unresponsive; 600000: never";
    "silent-objectives", "objectives", 0.1..=1_000.0, attempts.silent_objectives: f64,
        "time after which an idempotent request is moved from an unresponsive server, as a multiple of its route's objective; 1000: never";
    "offers", "servers", 1.0..=16.0, attempts.max_offers: u32,
        "most servers that are tried for one request; 1: no second attempt";
    "unreachable", "servers", 0.0..=64.0, attempts.max_unreachable: u32,
        "servers that may be unreachable without counting as tried; 0: all count";
    "declines", "routers", 0.0..=16.0, attempts.max_declines: usize,
        "other routers that a request is passed to without being served, where this one reaches no server for it; 0: none";
    "reported", "ms", 0.0..=60_000.0, attempts.reported_ms: u64,
        "time for which other routers' reports of servers that are gone count; 0: no reports are sent or used";
    "max-crashes", "servers", 1.0..=1_000.0, attempts.max_crashes: usize,
        "servers that a request may crash before it is refused; 1000: never refused";
    "max-prefix-crashes", "servers", 1.0..=1_000.0, attempts.max_prefix_crashes: usize,
        "servers that requests with a prompt prefix may crash before they are refused; 1000: never refused";
    "sole-version", "ms", 0.0..=600_000.0, attempts.sole_version_ms: u64,
        "time for which a service must have had servers of one software version only before the store keeps that for routers that have just started; 0: nothing is kept";
    "full-service", "ms", 0.0..=60_000.0, retry.full_ms: u64,
        "time after a refusal for lack of capacity in which failed attempts are not retried; 0: no such limit";
    "plain-queue", "slots", 1.0..=100.0, attempts.plain_queue_factor: u32,
        "requests that a plain service's server may hold, as a multiple of its slots";
    "plain-share", "1", 0.0..=1.0, plain_share.strength: f64,
        "fraction of the limit on workspaces that ask a plain service for more than their share, where no router assigns its slots; 1: they get half of the queue places, 0: no limit";
    "slot-queue", "slots", 0.0..=1_000.0, attempts.slot_queue_factor: f64,
        "slots of a plain service for each router of the fleet below which one router assigns them in order of urgency; 0: never";
    "engine-queue", "slots", 0.1..=100.0, attempts.engine_queue_factor: f64,
        "requests that an engine may hold, as a multiple of its slots";
    "engine-slow", "objectives", 0.0..=1_000.0, engine_admission.slow_objectives: f64,
        "time to the first event, as a fraction of the objective, above which it is slow; engines get fewer requests while many first events are slow; 0: no limit";
    "held-answers", "MiB", 0.0..=16_384.0, held_answers_mib: usize,
        "memory for answers that callers have not taken yet, beyond which answers are read only as fast as callers take them; 0: no limit";
    "heartbeat", "ms", 5.0..=10_000.0, times.heartbeat_ms: u64,
        "interval between heartbeats to the other routers";
    "least-heartbeat", "ms", 5.0..=10_000.0, times.min_heartbeat_ms: u64,
        "interval between heartbeats in a small fleet; 10000: the same as in any other";
    "keep-prefixes", "ms", 0.0..=600_000.0, warm.keep_ms: u64,
        "time after its last use for which a prefix is assumed to be cached; 0: nothing is assumed to be cached";
    "memory-part", "1", 0.01..=1_000.0, warm.memory_part: f64,
        "fraction of an engine's memory that recently used prefixes are assumed to fill; 1000: unlimited memory";
    "output-part", "1", 0.0..=1.0, warm.output_part: f64,
        "fraction of the longest output that an answer is assumed to occupy in an engine's memory";
}
