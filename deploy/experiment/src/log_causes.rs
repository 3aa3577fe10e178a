//! Parsing of router logs for requests that were refused or failed, and the causes.

use std::collections::BTreeMap;

/// Log line of a request that a router refused or failed, or of a failed attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct LoggedFailure {
    /// Time in seconds since the start of the day.
    pub at_s: f64,
    /// Name of the router that logged the line.
    pub router: String,
    /// Kind of failure, reason and event number, such as `failed: no-answer (644)`.
    pub cause: String,
    /// Whether the router's status is 4xx, which counts as refused for good, as with an unknown key.
    /// Most of these requests are not owed an answer.
    pub is_final: bool,
}

/// Log events of refused and failed requests and of failed attempts, and their names in causes.
const EVENTS: [(&str, &str); 3] = [
    ("event=640", "refused"),
    ("event=642", "attempt failed"),
    ("event=644", "failed"),
];

/// Parses a line that the bench printed with `--log`: the time, the router and its log line. Returns
/// `None` if the line has another form or is no such event.
pub fn parse_log_line(line: &str) -> Option<LoggedFailure> {
    let mut words = line.split_whitespace();
    let at_s = words.next()?.parse().ok()?;
    let router = words.next()?.to_owned();
    let (event, kind) = EVENTS
        .iter()
        .find(|(event, _)| line.split_whitespace().any(|word| word == *event))?;
    let field = |name: &str| {
        let mut words = line.split_whitespace();
        words.find_map(|word| word.strip_prefix(name))
    };
    let reason = field("reason=")?;
    let status: Option<u16> = field("status=").and_then(|status| status.parse().ok());
    let event = event.trim_start_matches("event=");
    Some(LoggedFailure {
        at_s,
        router,
        cause: format!("{kind}: {reason} ({event})"),
        is_final: status.is_some_and(|status| (400..500).contains(&status)),
    })
}

/// For each cause, the number of log lines and of routers that logged it, most frequent first.
pub fn count_causes(failures: &[LoggedFailure]) -> Vec<(String, usize, usize)> {
    let mut counts: BTreeMap<&str, (usize, BTreeMap<&str, usize>)> = BTreeMap::new();
    for failure in failures {
        let (count, routers) = counts.entry(&failure.cause).or_default();
        *count += 1;
        *routers.entry(&failure.router).or_default() += 1;
    }
    let mut counts: Vec<(String, usize, usize)> = counts
        .into_iter()
        .map(|(cause, (count, routers))| (cause.to_owned(), count, routers.len()))
        .collect();
    counts.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
    counts
}
