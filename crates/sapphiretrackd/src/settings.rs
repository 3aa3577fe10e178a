//! The daemon's settings: flags and environment variables, each checked.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

use log::LevelFilter;
use pico_args::Arguments;
use sapphiretrack_core::LoadBound;
use snafu::{ResultExt, Snafu};

use crate::logging::LogFormat;

/// All settings of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The router's name, unique in the fleet.
    pub router_name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers are served; port 0 takes a free one.
    pub caller_address: SocketAddr,
    /// Where operators are served.
    pub operator_address: SocketAddr,
    /// Where peers are served.
    pub peer_address: SocketAddr,
    /// The platform: `http://IP:PORT`.
    pub platform_url: String,
    /// How long a call to the platform may take.
    pub platform_timeout_ms: u64,
    /// The key that the routers of a cell share.
    pub cell_key: String,
    /// SHA-256 of the operators' key; none opens no operator call.
    pub operator_key_sha256: String,
    /// Certificate for callers and operators, PEM.
    pub tls_cert: Option<PathBuf>,
    /// Its private key, PEM.
    pub tls_key: Option<PathBuf>,
    /// The largest request body.
    pub max_body_bytes: usize,
    /// How long callers may keep the addresses of a lookup.
    pub entry_ttl_ms: u64,
    /// How often peers are told this router's state.
    pub heartbeat_ms: u64,
    /// When a peer that is not heard of counts as dead.
    pub dead_after_ms: u64,
    /// When a router that hears neither platform nor peers refuses new work.
    pub isolated_after_ms: u64,
    /// How many chats the placement memory holds.
    pub placement_memory_chats: usize,
    /// When a planned stop gives up waiting for the last request.
    pub stop_limit_ms: u64,
    /// The load bound of each pool.
    pub load_bound: LoadBound,
    /// Threads that carry traffic.
    pub traffic_threads: usize,
    /// How log lines look.
    pub log_format: LogFormat,
    /// Which log lines are written.
    pub log_level: LevelFilter,
    /// Only check the settings.
    pub check_settings: bool,
    /// Peers to try while the platform names none.
    pub peer_seeds: AddressList,
    /// Whether any peer is believed, without a key.
    pub open_cell: bool,
}

/// Addresses, separated by commas.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AddressList(pub Vec<SocketAddr>);

impl FromStr for AddressList {
    type Err = std::net::AddrParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split(',').map(str::trim);
        let parts = parts.filter(|part| !part.is_empty());
        parts.map(str::parse).collect::<Result<_, _>>().map(Self)
    }
}

impl std::fmt::Display for AddressList {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let parts: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        formatter.write_str(&parts.join(","))
    }
}

impl Default for Settings {
    fn default() -> Self {
        let loopback = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            router_name: String::from("router-1"),
            zone: String::from("zone-1"),
            caller_address: loopback(8080),
            operator_address: loopback(8081),
            peer_address: loopback(8082),
            platform_url: String::from("http://127.0.0.1:7000"),
            platform_timeout_ms: 2_000,
            cell_key: String::new(),
            operator_key_sha256: String::new(),
            tls_cert: None,
            tls_key: None,
            max_body_bytes: 4 << 20,
            entry_ttl_ms: 5_000,
            heartbeat_ms: 1_000,
            dead_after_ms: 3_000,
            isolated_after_ms: 10_000,
            placement_memory_chats: 100_000,
            stop_limit_ms: 600_000,
            load_bound: LoadBound::default(),
            traffic_threads: 2,
            log_format: LogFormat::Text,
            log_level: LevelFilter::Info,
            check_settings: false,
            peer_seeds: AddressList::default(),
            open_cell: false,
        }
    }
}

/// Why settings are refused.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// A value cannot be used.
    #[snafu(display("{flag} (or {variable}) is {value:?}: {problem}; hint: {hint}"))]
    Value {
        /// The flag.
        flag: String,
        /// The environment variable.
        variable: String,
        /// The value.
        value: String,
        /// What is wrong with it.
        problem: String,
        /// What would be right.
        hint: &'static str,
    },
    /// The command line cannot be read.
    #[snafu(display("the command line cannot be read: {source}; hint: see --help"))]
    CommandLine {
        /// Why.
        source: pico_args::Error,
    },
    /// There is an argument that no flag takes.
    #[snafu(display("unknown argument {argument:?}; hint: see --help"))]
    UnknownArgument {
        /// The argument.
        argument: String,
    },
}

/// A setting's flag; its environment variable is derived from the name.
pub struct Flag {
    /// The flag as it is written.
    pub flag: &'static str,
    /// What it sets.
    pub help: &'static str,
    /// What would be right, for an error.
    pub hint: &'static str,
    set: fn(&mut Settings, &str) -> Result<(), String>,
    show: fn(&Settings) -> String,
}

impl Flag {
    /// The environment variable.
    pub fn variable(&self) -> String {
        format!(
            "SAPPHIRETRACK_{}",
            self.flag
                .trim_start_matches("--")
                .replace('-', "_")
                .to_uppercase()
        )
    }

    /// The default as text.
    pub fn default_text(&self) -> String {
        (self.show)(&Settings::default())
    }
}

macro_rules! flag {
    ($name:literal, $field:ident $(. $sub:ident)?, $help:literal, $hint:literal) => {
        Flag {
            flag: concat!("--", $name),
            help: $help,
            hint: $hint,
            set: |settings, text| {
                settings.$field$(.$sub)? = parse(text)?;
                Ok(())
            },
            show: |settings| settings.$field$(.$sub)?.to_string(),
        }
    };
}

/// All flags that take a value.
pub fn flags() -> Vec<Flag> {
    let mut flags = identity_flags();
    flags.extend(timing_flags());
    flags.extend(capacity_flags());
    flags.extend(process_flags());
    flags
}

fn identity_flags() -> Vec<Flag> {
    vec![
        flag!(
            "router-name",
            router_name,
            "name of the router, unique in the fleet",
            "use a name"
        ),
        flag!(
            "zone",
            zone,
            "availability zone of the router",
            "use the zone's name"
        ),
        flag!(
            "caller-address",
            caller_address,
            "where callers are served",
            "use IP:PORT"
        ),
        flag!(
            "operator-address",
            operator_address,
            "where operators are served",
            "use IP:PORT"
        ),
        flag!(
            "peer-address",
            peer_address,
            "where peers are served",
            "use IP:PORT"
        ),
        flag!(
            "platform-url",
            platform_url,
            "the platform",
            "use http://IP:PORT"
        ),
        flag!(
            "cell-key",
            cell_key,
            "key that the routers of a cell share",
            "use 16 characters"
        ),
        flag!(
            "operator-key-sha256",
            operator_key_sha256,
            "SHA-256 of the operators' key",
            "printf %s KEY | sha256sum"
        ),
        Flag {
            flag: "--tls-cert",
            help: "certificate for callers and operators (PEM)",
            hint: "use a file, with --tls-key",
            set: |settings, text| {
                settings.tls_cert = Some(PathBuf::from(text));
                Ok(())
            },
            show: |_| String::from("none"),
        },
        Flag {
            flag: "--tls-key",
            help: "private key of the certificate (PEM)",
            hint: "use a file, with --tls-cert",
            set: |settings, text| {
                settings.tls_key = Some(PathBuf::from(text));
                Ok(())
            },
            show: |_| String::from("none"),
        },
    ]
}

fn timing_flags() -> Vec<Flag> {
    vec![
        flag!(
            "platform-timeout-ms",
            platform_timeout_ms,
            "how long a call to the platform may take",
            "use milliseconds above 0"
        ),
        flag!(
            "entry-ttl-ms",
            entry_ttl_ms,
            "how long callers may keep a lookup",
            "use milliseconds above 0"
        ),
        flag!(
            "heartbeat-ms",
            heartbeat_ms,
            "how often peers are told this router's state",
            "use milliseconds above 0"
        ),
        flag!(
            "dead-after-ms",
            dead_after_ms,
            "when a silent peer counts as dead",
            "use at least three times --heartbeat-ms"
        ),
        flag!(
            "isolated-after-ms",
            isolated_after_ms,
            "when a router without platform and peers refuses new work",
            "use more than --dead-after-ms"
        ),
        flag!(
            "stop-limit-ms",
            stop_limit_ms,
            "when a planned stop gives up waiting",
            "use milliseconds above 0"
        ),
    ]
}

fn capacity_flags() -> Vec<Flag> {
    vec![
        flag!(
            "max-body-bytes",
            max_body_bytes,
            "largest request body",
            "use bytes above 0"
        ),
        flag!(
            "placement-memory-chats",
            placement_memory_chats,
            "chats whose place is remembered",
            "use a number above 0"
        ),
        flag!(
            "load-multiple",
            load_bound.load_multiple,
            "multiple of the mean load that no backend server exceeds",
            "use a number above 1"
        ),
        flag!(
            "floor-requests",
            load_bound.floor_requests,
            "requests that a backend server may always hold",
            "use a number above 0"
        ),
        flag!(
            "ceiling-requests",
            load_bound.ceiling_requests,
            "requests that a backend server never exceeds",
            "use at least --floor-requests"
        ),
        flag!(
            "traffic-threads",
            traffic_threads,
            "threads that carry traffic",
            "use a number above 0"
        ),
    ]
}

fn process_flags() -> Vec<Flag> {
    vec![
        Flag {
            flag: "--log-format",
            help: "how log lines look: text or json",
            hint: "use text or json",
            set: |settings, text| {
                settings.log_format = match text {
                    "text" => LogFormat::Text,
                    "json" => LogFormat::Json,
                    _ => return Err(String::from("it is neither")),
                };
                Ok(())
            },
            show: |_| String::from("text"),
        },
        flag!(
            "log-level",
            log_level,
            "which log lines are written: off, error, warn, info, debug",
            "use one of them"
        ),
        flag!(
            "peer-seeds",
            peer_seeds,
            "peers to try while the platform names none",
            "use IP:PORT,IP:PORT"
        ),
        flag!(
            "open-cell",
            open_cell,
            "believe any peer, without a key: true or false",
            "use it for trials only, without --cell-key"
        ),
    ]
}

fn parse<Value>(text: &str) -> Result<Value, String>
where
    Value: FromStr,
    Value::Err: std::fmt::Display,
{
    text.trim()
        .parse()
        .map_err(|error: Value::Err| error.to_string())
}

/// Reads the settings: a flag wins over an environment variable, and that over the default.
pub fn parse_settings<Variable>(
    mut arguments: Arguments,
    variable: Variable,
) -> Result<Settings, SettingsError>
where
    Variable: Fn(&str) -> Option<String>,
{
    let check_settings = arguments.contains("--check-settings");
    let mut settings = Settings {
        check_settings,
        ..Settings::default()
    };
    for flag in flags() {
        let given: Option<String> = arguments
            .opt_value_from_str(flag.flag)
            .context(CommandLineSnafu)?;
        let Some(value) = given.or_else(|| variable(&flag.variable())) else {
            continue;
        };
        if let Err(problem) = (flag.set)(&mut settings, &value) {
            return value_error(&flag, &value, &problem);
        }
    }
    if let Some(argument) = arguments.finish().first() {
        return UnknownArgumentSnafu {
            argument: argument.to_string_lossy(),
        }
        .fail();
    }
    check(&settings)?;
    Ok(settings)
}

/// The text of `--help`.
pub fn help_text() -> String {
    let mut text = String::from(
        "sapphiretrackd: a router of the fleet\n\n\
         Each flag can also be set by the environment variable behind it.\n\n",
    );
    for flag in flags() {
        text.push_str(&format!(
            "  {:<26} {} [{}] ({})\n",
            flag.flag,
            flag.help,
            flag.default_text(),
            flag.variable()
        ));
    }
    text.push_str(
        "  --check-settings           check the settings and exit\n  \
         --help                     print this text\n  \
         --version                  print the version\n\n\
         Exit codes: 0 stopped as planned, 1 cannot start, 2 bad settings, 3 stop limit reached\n",
    );
    text
}

fn value_error<T>(flag: &Flag, value: &str, problem: &str) -> Result<T, SettingsError> {
    ValueSnafu {
        flag: flag.flag,
        variable: flag.variable(),
        value,
        problem,
        hint: flag.hint,
    }
    .fail()
}

/// Checks that need more than one value, or more than its type.
fn check(settings: &Settings) -> Result<(), SettingsError> {
    const MIN_CELL_KEY_BYTES: usize = 16;
    let bound = &settings.load_bound;
    let digest = &settings.operator_key_sha256;
    let is_digest = digest.len() == 64 && digest.chars().all(|c| c.is_ascii_hexdigit());
    let checks: [(&str, bool, &str); 18] = [
        (
            "--router-name",
            !settings.router_name.is_empty(),
            "it is empty",
        ),
        ("--zone", !settings.zone.is_empty(), "it is empty"),
        (
            "--platform-url",
            is_platform_url(&settings.platform_url),
            "it is no http://IP:PORT",
        ),
        (
            "--cell-key",
            settings.open_cell || settings.cell_key.len() >= MIN_CELL_KEY_BYTES,
            "it is too short",
        ),
        (
            "--open-cell",
            !settings.open_cell || settings.cell_key.is_empty(),
            "there is a --cell-key too",
        ),
        (
            "--operator-key-sha256",
            digest.is_empty() || is_digest,
            "it is no SHA-256",
        ),
        (
            "--tls-key",
            settings.tls_cert.is_some() == settings.tls_key.is_some(),
            "one is missing",
        ),
        ("--max-body-bytes", settings.max_body_bytes > 0, "it is 0"),
        (
            "--platform-timeout-ms",
            settings.platform_timeout_ms > 0,
            "it is 0",
        ),
        ("--entry-ttl-ms", settings.entry_ttl_ms > 0, "it is 0"),
        ("--heartbeat-ms", settings.heartbeat_ms > 0, "it is 0"),
        (
            "--dead-after-ms",
            settings.dead_after_ms >= settings.heartbeat_ms.saturating_mul(3),
            "it is too near to the heartbeat",
        ),
        (
            "--isolated-after-ms",
            settings.isolated_after_ms > settings.dead_after_ms,
            "it is too short",
        ),
        (
            "--placement-memory-chats",
            settings.placement_memory_chats > 0,
            "it is 0",
        ),
        (
            "--load-multiple",
            bound.load_multiple.is_finite() && bound.load_multiple > 1.0,
            "it is not above 1",
        ),
        (
            "--ceiling-requests",
            bound.floor_requests > 0 && bound.ceiling_requests >= bound.floor_requests,
            "it is below the floor, or the floor is 0",
        ),
        ("--stop-limit-ms", settings.stop_limit_ms > 0, "it is 0"),
        ("--traffic-threads", settings.traffic_threads > 0, "it is 0"),
    ];
    for flag in flags() {
        for (name, holds, problem) in &checks {
            if *name == flag.flag && !holds {
                // Keys are secrets: their values stay out of messages.
                let value = if flag.flag.contains("key") {
                    String::from("(hidden)")
                } else {
                    (flag.show)(settings)
                };
                return value_error(&flag, &value, problem);
            }
        }
    }
    Ok(())
}

fn is_platform_url(url: &str) -> bool {
    url.strip_prefix("http://")
        .is_some_and(|rest| rest.parse::<SocketAddr>().is_ok())
}
