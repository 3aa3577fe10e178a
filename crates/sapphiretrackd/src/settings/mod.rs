//! The daemon's settings, read from flags and environment variables and validated.

mod check;
mod error;
mod flag;
mod parse;

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::str::FromStr;

use log::LevelFilter;
use sapphiretrack_core::LoadBound;

use crate::logging::LogFormat;

pub use error::SettingsError;
pub use flag::{Flag, flags};
pub use parse::{help_text, parse_settings};

/// All settings of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The router's name, unique in the fleet.
    pub router_name: String,
    /// The router's availability zone.
    pub zone: String,
    /// The address that serves callers; port 0 selects a free port.
    pub caller_address: SocketAddr,
    /// The address that serves operators.
    pub operator_address: SocketAddr,
    /// The address that serves peers.
    pub peer_address: SocketAddr,
    /// The URL of the platform, `http://IP:PORT`.
    pub platform_url: String,
    /// The timeout of a call to the platform.
    pub platform_timeout_ms: u64,
    /// The key shared by the routers of a cell.
    pub cell_key: String,
    /// SHA-256 digest of the operators' key in hexadecimal; if empty, no key is accepted.
    pub operator_key_sha256: String,
    /// The certificate for callers and operators (PEM).
    pub tls_cert: Option<PathBuf>,
    /// The private key of the certificate (PEM).
    pub tls_key: Option<PathBuf>,
    /// The maximum size of a request body.
    pub max_body_bytes: usize,
    /// The memory of the process, in megabytes; clients may make it hold half of it.
    pub memory_mb: usize,
    /// The maximum number of open descriptors.
    pub max_descriptors: usize,
    /// How long callers may cache the addresses of a lookup.
    pub entry_ttl_ms: u64,
    /// The interval between heartbeats to peers.
    pub heartbeat_ms: u64,
    /// The silence after which a peer counts as dead.
    pub dead_after_ms: u64,
    /// The time without platform and peers after which the router refuses new work.
    pub isolated_after_ms: u64,
    /// The maximum number of chats in the placement memory.
    pub placement_memory_chats: usize,
    /// The mean interval between snapshots of the placement memory; 0 for none.
    pub memory_snapshot_ms: u64,
    /// The time limit of a planned stop; requests in flight are cut at its end.
    pub stop_limit_ms: u64,
    /// The load bound of each pool.
    pub load_bound: LoadBound,
    /// The number of threads that serve requests.
    pub traffic_threads: usize,
    /// The format of log lines.
    pub log_format: LogFormat,
    /// The least severe level that is logged.
    pub log_level: LevelFilter,
    /// Whether to check the settings and exit.
    pub check_settings: bool,
    /// Peers to contact while the platform lists none.
    pub peer_seeds: AddressList,
    /// Whether any peer is accepted without a key.
    pub open_cell: bool,
}

/// A list of addresses, separated by commas in its text form.
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
            memory_mb: 1_024,
            max_descriptors: 4_096,
            entry_ttl_ms: 5_000,
            heartbeat_ms: 1_000,
            dead_after_ms: 3_000,
            isolated_after_ms: 10_000,
            placement_memory_chats: 100_000,
            memory_snapshot_ms: 30_000,
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
