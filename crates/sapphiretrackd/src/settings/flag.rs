//! The flags: each with its environment variable, its help and how it sets a value.

use std::path::PathBuf;
use std::str::FromStr;

use crate::logging::LogFormat;
use crate::settings::Settings;

/// A setting's flag; its environment variable is derived from the name.
pub struct Flag {
    /// The flag as it is written.
    pub flag: &'static str,
    /// What it sets.
    pub help: &'static str,
    /// What would be right, for an error.
    pub hint: &'static str,
    pub(super) set: fn(&mut Settings, &str) -> Result<(), String>,
    pub(super) show: fn(&Settings) -> String,
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
            "memory-snapshot-ms",
            memory_snapshot_ms,
            "how often where chats are warm is written to the platform; 0 for never",
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
