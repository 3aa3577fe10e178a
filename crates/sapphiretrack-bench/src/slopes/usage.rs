//! CPU time and memory of a process, read from `/proc`.

use std::fs;

/// The usage of a process: the CPU time of its threads so far, and its resident memory.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    pub(crate) cpu_us: f64,
    pub(crate) memory_bytes: f64,
}

impl Usage {
    /// The usage of a process; an error says what could not be read.
    pub(crate) fn of(process: u32) -> Result<Self, String> {
        let mut cpu_us = 0.0;
        let tasks = format!("/proc/{process}/task");
        let entries = fs::read_dir(&tasks).map_err(|error| format!("{tasks}: {error}"))?;
        for entry in entries.flatten() {
            // A thread may end between the listing and this read.
            let Ok(text) = fs::read_to_string(entry.path().join("schedstat")) else {
                continue;
            };
            let on_cpu_ns: Option<f64> = text.split(' ').next().and_then(|ns| ns.parse().ok());
            cpu_us += on_cpu_ns.unwrap_or_default() / 1_000.0;
        }
        let path = format!("/proc/{process}/status");
        let status = fs::read_to_string(&path).map_err(|error| format!("{path}: {error}"))?;
        let resident_kb = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))
            .and_then(|rest| rest.split_whitespace().next()?.parse::<f64>().ok());
        let Some(resident_kb) = resident_kb else {
            return Err(format!("{path}: no VmRSS line"));
        };
        Ok(Self {
            cpu_us,
            memory_bytes: resident_kb * 1_024.0,
        })
    }
}
