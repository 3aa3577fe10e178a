//! The contract for tests of the callers' endpoint.

/// A contract with two pools.
pub const CONTRACT: &str = r#"
customer = "teranga"
caller_keys_sha256 = []
pools = ["assistant", "plant"]
default_class = "floor"
[limits]
requests_per_s = 10
tokens_per_s = 10
in_flight = 10
[classes.floor]
priority = 0
deadline_ms = 1000
"#;
