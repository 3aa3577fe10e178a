//! The platform's names, read from the data file beside this crate.

use std::collections::HashMap;
use std::sync::OnceLock;

/// Returns the name for a key.
pub fn name(key: &str) -> &'static str {
    static NAMES: OnceLock<HashMap<&'static str, &'static str>> = OnceLock::new();
    let names = NAMES.get_or_init(|| {
        let lines = include_str!("../names.txt").lines();
        let lines = lines.filter(|line| !line.starts_with('#'));
        lines.filter_map(|line| line.split_once(' ')).collect()
    });
    names.get(key).copied().unwrap_or("unknown")
}
