//! Checks of settings beyond the type of a single value.

use std::net::SocketAddr;

use crate::settings::Settings;
use crate::settings::error::{SettingsError, value_error};
use crate::settings::flag::flags;

/// Checks all values and returns the error of the first invalid one.
pub(super) fn check(settings: &Settings) -> Result<(), SettingsError> {
    const MIN_CELL_KEY_BYTES: usize = 16;
    let bound = &settings.load_bound;
    let digest = &settings.operator_key_sha256;
    let is_digest = digest.len() == 64 && digest.chars().all(|c| c.is_ascii_hexdigit());
    let checks: [(&str, bool, &str); 20] = [
        (
            "--router-name",
            !settings.router_name.is_empty(),
            "it is empty",
        ),
        ("--zone", !settings.zone.is_empty(), "it is empty"),
        (
            "--platform-url",
            is_platform_url(&settings.platform_url),
            "it is not http://IP:PORT",
        ),
        (
            "--cell-key",
            settings.open_cell || settings.cell_key.len() >= MIN_CELL_KEY_BYTES,
            "it is too short",
        ),
        (
            "--open-cell",
            !settings.open_cell || settings.cell_key.is_empty(),
            "--cell-key is also set",
        ),
        (
            "--operator-key-sha256",
            digest.is_empty() || is_digest,
            "it is not a SHA-256 digest",
        ),
        (
            "--tls-key",
            settings.tls_cert.is_some() == settings.tls_key.is_some(),
            "--tls-cert and --tls-key must be set together",
        ),
        ("--max-body-bytes", settings.max_body_bytes > 0, "it is 0"),
        (
            "--memory-mb",
            settings.memory_mb.saturating_mul(1_000_000) / 4 >= settings.max_body_bytes,
            "it is less than four times --max-body-bytes",
        ),
        (
            "--max-descriptors",
            settings.max_descriptors >= 64,
            "it is less than 64",
        ),
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
            "it is less than three times --heartbeat-ms",
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
        for (name, is_valid, problem) in &checks {
            if *name == flag.flag && !is_valid {
                // Keys are secrets, so error messages do not contain them.
                let value = if flag.flag.contains("key") {
                    String::from("(hidden)")
                } else {
                    (flag.format_value)(settings)
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
