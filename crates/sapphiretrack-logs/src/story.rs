//! The story of one request, over the logs of several routers.

use crate::LogLine;
use crate::cause::cause;

/// How long before a request's first line the beliefs of its router still explain it: longer
/// than the bounds for keys and configurations.
const BELIEFS_MS: u64 = 10_000;
/// Events of beliefs about the store, the configuration and keys.
const STORE_EVENTS: std::ops::RangeInclusive<u16> = 610..=617;
/// Events of beliefs about backend servers.
const SERVER_EVENTS: std::ops::RangeInclusive<u16> = 620..=624;
/// Events of a router's own start and stop.
const PROCESS_EVENTS: std::ops::RangeInclusive<u16> = 600..=604;

/// What the logs tell of a request.
#[derive(Clone, Debug)]
pub struct Story {
    /// Its lines and those of beliefs that decided about it, in order of time.
    pub lines: Vec<LogLine>,
    /// Why it ended as it did, in one sentence.
    pub cause: String,
}

/// Tells the story of a request; none if no line names it. Lines may come in any order.
pub fn tell(id: &str, all: &[LogLine]) -> Option<Story> {
    let is_own = |line: &&LogLine| line.field("id") == Some(id);
    let mut own: Vec<&LogLine> = all.iter().filter(is_own).collect();
    own.sort_by_key(|line| line.time_ms);
    let (first, last) = (own.first()?.time_ms, own.last()?.time_ms);
    let sources: Vec<&str> = own.iter().map(|line| line.source.as_str()).collect();
    let servers: Vec<&str> = own.iter().filter_map(|line| line.field("server")).collect();
    let explains = |line: &&LogLine| {
        let in_time = (first.saturating_sub(BELIEFS_MS)..=last).contains(&line.time_ms);
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
    let beliefs: Vec<&LogLine> = all.iter().filter(explains).collect();
    let cause = cause(&own, &beliefs);
    let mut lines: Vec<LogLine> = own.into_iter().chain(beliefs).cloned().collect();
    lines.sort_by_key(|line| line.time_ms);
    Some(Story { lines, cause })
}
