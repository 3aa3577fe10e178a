//! Usage of processes, read from `/proc` and from `ss`.

use std::collections::BTreeMap;
use std::process::Command;

/// Clock ticks per second in `/proc/PID/stat` (`USER_HZ`).
const TICKS_PER_S: f64 = 100.0;

/// The usage of one process since its start.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// User and system CPU time in seconds.
    pub(crate) cpu_s: f64,
    /// Resident memory in bytes.
    pub(crate) resident_bytes: u64,
}

/// Payload bytes of one TCP connection of a process since it was opened.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SocketBytes {
    pub(crate) sent: u64,
    pub(crate) received: u64,
}

/// A connection: process id, local port, remote port.
pub(crate) type SocketKey = (u32, u16, u16);

/// Reads the usage of a process; an error says what could not be read.
pub(crate) fn process_usage(id: u32) -> Result<Usage, String> {
    let stat = read(&format!("/proc/{id}/stat"))?;
    // The process name in parentheses may contain spaces; the fields after it do not.
    let (_, fields) = stat
        .rsplit_once(") ")
        .ok_or("/proc/PID/stat: no process name")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    let (user, system) = (ticks(11), ticks(12));
    let cpu_s = user
        .zip(system)
        .map(|(user, system)| (user + system) / TICKS_PER_S);
    let status = read(&format!("/proc/{id}/status"))?;
    let resident = status.lines().find_map(|line| {
        let kilobytes = line.strip_prefix("VmRSS:")?.split_whitespace().next()?;
        kilobytes.parse::<u64>().ok()
    });
    Ok(Usage {
        cpu_s: cpu_s.ok_or("/proc/PID/stat: no CPU times")?,
        resident_bytes: resident.ok_or("/proc/PID/status: no VmRSS")? * 1_024,
    })
}

/// Reads the payload bytes of all established TCP connections on this machine that belong to a
/// process.
pub(crate) fn socket_bytes() -> Result<BTreeMap<SocketKey, SocketBytes>, String> {
    let output = Command::new("ss")
        .args(["-tinpHO", "state", "established"])
        .output()
        .map_err(|error| format!("ss: {error}"))?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    Ok(text.lines().filter_map(parse_socket).collect())
}

fn parse_socket(line: &str) -> Option<(SocketKey, SocketBytes)> {
    let mut columns = line.split_whitespace().skip(2);
    let port = |column: &str| column.rsplit_once(':')?.1.parse::<u16>().ok();
    let (local, remote) = (port(columns.next()?)?, port(columns.next()?)?);
    let (_, rest) = line.split_once("pid=")?;
    let id = rest.split(',').next()?.parse().ok()?;
    let number = |name: &str| {
        let (_, rest) = line.split_once(name)?;
        rest.split_whitespace().next()?.parse::<u64>().ok()
    };
    let bytes = SocketBytes {
        sent: number(" bytes_sent:").unwrap_or(0),
        received: number(" bytes_received:").unwrap_or(0),
    };
    Some(((id, local, remote), bytes))
}

fn read(path: &str) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))
}
