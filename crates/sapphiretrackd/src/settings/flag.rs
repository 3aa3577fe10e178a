//! The flags, with their environment variables, help texts and parsers.

use std::path::PathBuf;
use std::str::FromStr;

use crate::logging::LogFormat;
use crate::settings::Settings;

/// The flag of a setting; its environment variable is derived from the name.
pub struct Flag {
    /// The flag as written on the command line, for example `--zone`.
    pub flag: &'static str,
    /// The help text.
    pub help: &'static str,
    /// A valid form of the value, for error messages.
    pub hint: &'static str,
    pub(super) set: fn(&mut Settings, &str) -> Result<(), String>,
    pub(super) format_value: fn(&Settings) -> String,
}

impl Flag {
    /// Returns the name of the environment variable.
    pub fn variable(&self) -> String {
        format!(
            "SAPPHIRETRACK_{}",
            self.flag
                .trim_start_matches("--")
                .replace('-', "_")
                .to_uppercase()
        )
    }

    /// Returns the default value as text.
    pub fn default_text(&self) -> String {
        (self.format_value)(&Settings::default())
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
            format_value: |settings| settings.$field$(.$sub)?.to_string(),
        }
    };
}

/// Returns all flags that take a value.
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
            "address that serves callers",
            "use IP:PORT"
        ),
        flag!(
            "operator-address",
            operator_address,
            "address that serves operators",
            "use IP:PORT"
        ),
        flag!(
            "peer-address",
            peer_address,
            "address that serves peers",
            "use IP:PORT"
        ),
        flag!(
            "platform-url",
            platform_url,
            "URL of the platform",
            "use http://IP:PORT"
        ),
        flag!(
            "cell-key",
            cell_key,
            "key shared by the routers of a cell",
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
            format_value: |_| String::from("none"),
        },
        Flag {
            flag: "--tls-key",
            help: "private key of the certificate (PEM)",
            hint: "use a file, with --tls-cert",
            set: |settings, text| {
                settings.tls_key = Some(PathBuf::from(text));
                Ok(())
            },
            format_value: |_| String::from("none"),
        },
    ]
}

fn timing_flags() -> Vec<Flag> {
    vec![
        flag!(
            "platform-timeout-ms",
            platform_timeout_ms,
            "timeout of a call to the platform",
            "use milliseconds above 0"
        ),
        flag!(
            "entry-ttl-ms",
            entry_ttl_ms,
            "how long callers may cache a lookup",
            "use milliseconds above 0"
        ),
        flag!(
            "heartbeat-ms",
            heartbeat_ms,
            "interval between heartbeats to peers",
            "use milliseconds above 0"
        ),
        flag!(
            "dead-after-ms",
            dead_after_ms,
            "silence after which a peer counts as dead",
            "use at least three times --heartbeat-ms"
        ),
        flag!(
            "isolated-after-ms",
            isolated_after_ms,
            "time without platform and peers after which new work is refused",
            "use more than --dead-after-ms"
        ),
        flag!(
            "stop-limit-ms",
            stop_limit_ms,
            "time limit of a planned stop",
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
            "memory-mb",
            memory_mb,
            "memory of the process in MB, half of which clients may make it hold",
            "use four times --max-body-bytes or more"
        ),
        flag!(
            "max-descriptors",
            max_descriptors,
            "maximum number of open descriptors",
            "use 64 or more"
        ),
        flag!(
            "placement-memory-chats",
            placement_memory_chats,
            "maximum number of chats in the placement memory",
            "use a number above 0"
        ),
        flag!(
            "memory-snapshot-ms",
            memory_snapshot_ms,
            "mean interval between snapshots of the placement memory; 0 for none",
            "use milliseconds"
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
            "threads that serve requests",
            "use a number above 0"
        ),
    ]
}

fn process_flags() -> Vec<Flag> {
    vec![
        Flag {
            flag: "--log-format",
            help: "format of log lines: text or json",
            hint: "use text or json",
            set: |settings, text| {
                settings.log_format = match text {
                    "text" => LogFormat::Text,
                    "json" => LogFormat::Json,
                    _ => return Err(String::from("it is neither text nor json")),
                };
                Ok(())
            },
            format_value: |_| String::from("text"),
        },
        flag!(
            "log-level",
            log_level,
            "log level: off, error, warn, info, debug",
            "use one of them"
        ),
        flag!(
            "peer-seeds",
            peer_seeds,
            "peers to contact while the platform lists none",
            "use IP:PORT,IP:PORT"
        ),
        flag!(
            "open-cell",
            open_cell,
            "accept any peer without a key: true or false",
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
