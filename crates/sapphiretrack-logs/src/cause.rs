//! Why a request ended as it did, in one sentence.

use crate::LogLine;

const REFUSED: u16 = 640;
const SENT: u16 = 641;
const ATTEMPT_FAILED: u16 = 642;
const ANSWERED: u16 = 643;
const FAILED: u16 = 644;
const CALLER_LEFT: u16 = 645;
const CONFIGURATION_IN_FORCE: u16 = 610;
const STORE_LOST: u16 = 612;
const SERVER_LEAVING: u16 = 621;
const STOPPING: u16 = 601;

/// The cause, from a request's own lines and the beliefs around it, both in order of time.
pub(crate) fn cause(own: &[&LogLine], beliefs: &[&LogLine]) -> String {
    let end = own
        .iter()
        .rev()
        .find(|line| line.event != SENT && line.event != ATTEMPT_FAILED);
    let Some(end) = end else {
        let sent = own.iter().rev().find(|line| line.event == SENT);
        let server = sent
            .and_then(|line| line.field("server"))
            .unwrap_or("a server");
        return format!(
            "The logs end while it was at {server}: the router was killed or lost power, or it still runs."
        );
    };
    let server_story = server_story(own, beliefs);
    match end.event {
        ANSWERED => {
            let age_ms = end.field("age_ms").unwrap_or("?");
            let status = end.field("status").unwrap_or("?");
            let failure = passed_on_failure(own, status);
            format!("Answered with {status} after {age_ms} ms.{server_story}{failure}")
        }
        REFUSED => refusal(end, beliefs),
        FAILED => {
            let reason = meaning(end.field("reason").unwrap_or("?"));
            format!("It may have run and has no good answer: {reason}.{server_story}")
        }
        CALLER_LEFT => {
            let age_ms = end.field("age_ms").unwrap_or("?");
            format!(
                "The caller left after {age_ms} ms, before its answer was complete.{server_story}"
            )
        }
        _ => "Its last line tells no end.".to_owned(),
    }
}

fn refusal(end: &LogLine, beliefs: &[&LogLine]) -> String {
    let reason = end.field("reason").unwrap_or("?");
    let status = end.field("status").unwrap_or("?");
    let mut text = format!(
        "Refused with {status}, it has not run: {}.",
        meaning(reason)
    );
    let last = |event: u16| beliefs.iter().rev().find(|line| line.event == event);
    let stale = matches!(reason, "keys-stale" | "configuration-stale");
    if stale && let Some(lost) = last(STORE_LOST) {
        let since_ms = end.time_ms.saturating_sub(lost.time_ms);
        text += &format!(" The router had lost the store {since_ms} ms before.");
    }
    let decided = matches!(reason, "unknown-key" | "no-route");
    if decided && let Some(version) = last(CONFIGURATION_IN_FORCE) {
        let since_ms = end.time_ms.saturating_sub(version.time_ms);
        let number = version.field("version").unwrap_or("?");
        text += &format!(" Version {number} had come into force {since_ms} ms before.");
    }
    if reason == "leaving" && last(STOPPING).is_some() {
        text += " The router was on a planned stop.";
    }
    text
}

/// A server's own failure that was passed on as the answer leaves no line of a failed attempt.
fn passed_on_failure(own: &[&LogLine], status: &str) -> String {
    let is_failure = status.parse().is_ok_and(|status: u16| status >= 500);
    let sent = own.iter().rev().find(|line| line.event == SENT);
    let server = sent.and_then(|line| line.field("server"));
    match server {
        Some(server) if is_failure => {
            format!(" At {server}: the server failed, and its answer was passed on.")
        }
        _ => String::new(),
    }
}

/// What became of the servers that it was sent to.
fn server_story(own: &[&LogLine], beliefs: &[&LogLine]) -> String {
    let failures = own.iter().filter(|line| line.event == ATTEMPT_FAILED);
    let mut text = String::new();
    for failure in failures {
        let server = failure.field("server").unwrap_or("?");
        let reason = meaning(failure.field("reason").unwrap_or("?"));
        text += &format!(" At {server}: {reason}.");
        let left = beliefs
            .iter()
            .find(|line| line.event == SERVER_LEAVING && line.field("server") == Some(server));
        if let Some(left) = left {
            let how = left.field("reason").unwrap_or("?");
            text += &format!(" That server was leaving or gone ({how}).");
        }
    }
    text
}

/// A reason of the log in words; reasons that say it themselves stay as they are.
fn meaning(reason: &str) -> String {
    let words = match reason {
        "keys-stale" => "the router could not know whether the key was still good",
        "configuration-stale" => {
            "the router could not know whether its configuration was still the newest"
        }
        "configuration-replaced" => {
            "the router knew of a newer configuration and had not read it in time"
        }
        "servers-replaced" => {
            "the router knew of a newer list of backend servers and had not read it in time"
        }
        "crashes-servers" => "copies of it crashed several backend servers (events 650 to 654)",
        "no-configuration" => "the router had not read any configuration yet",
        "unknown-key" => "the configuration in force has no such key",
        "no-route" => "the configuration in force has no such route",
        "route-moved" => "its route had moved to another service meanwhile",
        "no-server" => "no backend server of its service was listed",
        "servers-full" => "all backend servers of its service were full",
        "servers-tried" => "all backend servers of its service had been tried",
        "server-refused" => "the server refused it as not run",
        "wrong-server" => "another server had the address",
        "unreachable" => "no connection to the server could be made",
        "connections-used" => "this router's share of the server's connections was used up",
        "connection-broke" => "the connection broke before an answer came",
        "connection-closed" => "the server had closed the connection",
        "no-answer" => "the server gave no answer in time",
        "answer-broke-off" => "the server's answer broke off",
        "answer-not-whole" => "the server's answer was not whole in time",
        "stream-broke-off" => "the server's stream broke off",
        "event-broke-off" => "the server's stream ended within an event",
        "stream-not-whole" => "the server's stream was not whole in time",
        "events-out-of-order" => "an event was missing or came twice",
        "answer-of-another-request" => "the bytes that came were another request's answer",
        "answer-not-signed" => "the answer lacked the server's signature",
        "server-error" => "the server failed",
        "retry-budget" => "the retry budget allowed no further attempt",
        "leaving" => "the router was leaving",
        "no-memory" => "too many request bodies were in memory",
        "no-time-left" => "the caller's time was over",
        other => other,
    };
    words.to_owned()
}
