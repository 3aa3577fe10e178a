//! Collects the log lines about one request from the logs of several routers.

use crate::LogLine;
use crate::cause::describe_cause;

/// How long before a request's first line its context begins, in milliseconds: longer than the
/// bounds on the age of keys and configurations.
const CONTEXT_MS: u64 = 10_000;
/// Events about the store, the configuration and keys.
const STORE_EVENTS: std::ops::RangeInclusive<u16> = 610..=617;
/// Events about backend servers.
const SERVER_EVENTS: std::ops::RangeInclusive<u16> = 620..=624;
/// Events about the start and stop of a router.
const PROCESS_EVENTS: std::ops::RangeInclusive<u16> = 600..=604;

/// The log lines about a request and the explanation of its end.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    /// The lines of the request, and those about the state of its routers and servers at the time,
    /// in order of time.
    pub lines: Vec<LogLine>,
    /// Why the request ended as it did, in a few sentences.
    pub cause: String,
}

/// Collects the lines about a request from `all`, which may be in any order; `None` if no line has
/// its id.
pub fn trace_request(id: &str, all: &[LogLine]) -> Option<RequestTrace> {
    let is_request_line = |line: &&LogLine| line.field("id") == Some(id);
    let mut request_lines: Vec<&LogLine> = all.iter().filter(is_request_line).collect();
    request_lines.sort_by_key(|line| line.time_ms);
    let (first, last) = (
        request_lines.first()?.time_ms,
        request_lines.last()?.time_ms,
    );
    let sources: Vec<&str> = request_lines
        .iter()
        .map(|line| line.source.as_str())
        .collect();
    let servers: Vec<&str> = request_lines
        .iter()
        .filter_map(|line| line.field("server"))
        .collect();
    let is_context = |line: &&LogLine| {
        let in_time = (first.saturating_sub(CONTEXT_MS)..=last).contains(&line.time_ms);
        let about_server = SERVER_EVENTS.contains(&line.event)
            && line
                .field("server")
                .is_some_and(|server| servers.contains(&server));
        let about_router =
            STORE_EVENTS.contains(&line.event) || PROCESS_EVENTS.contains(&line.event);
        line.field("id").is_none()
            && in_time
            && sources.contains(&line.source.as_str())
            && (about_server || about_router)
    };
    let context: Vec<&LogLine> = all.iter().filter(is_context).collect();
    let cause = describe_cause(&request_lines, &context);
    let mut lines: Vec<LogLine> = request_lines.into_iter().chain(context).cloned().collect();
    lines.sort_by_key(|line| line.time_ms);
    Some(RequestTrace { lines, cause })
}
